//! Memory of the machine and of this process, and an estimate of the memory that a run needs.

use std::fmt;
use thiserror::Error;

/// Memory of a member, excluding its peers, entries and logs. The constants here are upper bounds of the resident
/// memory per item.
const MEMBER_BYTES: usize = 120_000;

/// Memory per peer of a member: membership claim, names, machine and acknowledgements.
pub const PEER_BYTES: usize = 150;

/// Memory per log entry.
pub const ENTRY_BYTES: usize = 500;

/// Memory per log, without its entries (see `replication/examples/memory.rs`).
pub const LOG_BYTES: usize = 470;

/// Amount of memory in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bytes(pub u64);

impl Bytes {
    /// Returns the amount in megabytes.
    pub fn megabytes(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.0} MB", self.megabytes())
    }
}

/// A run needs more than half of the available memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("takes about {estimate}, more than half of the available memory of {available}")]
pub struct TooLarge {
    /// Estimated memory of the run.
    pub estimate: Bytes,
    /// Memory available on the machine.
    pub available: Bytes,
}

/// Reads a value in kilobytes from a file under `/proc`.
fn read_proc_memory(file: &str, key: &str) -> Option<Bytes> {
    let text = std::fs::read_to_string(file).ok()?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(key)?.strip_prefix(':'))?;
    let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(Bytes(kilobytes << 10))
}

/// Returns the resident memory of this process.
pub fn resident() -> Option<Bytes> {
    read_proc_memory("/proc/self/status", "VmRSS")
}

/// Returns the memory available on this machine.
pub fn available() -> Option<Bytes> {
    read_proc_memory("/proc/meminfo", "MemAvailable")
}

/// State that each member of a run accumulates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberState {
    /// Entries in its logs.
    pub entries: usize,
    /// Bytes of its compact purge table.
    pub table_bytes: usize,
}

/// Estimates the memory of a run with `members` members.
pub fn estimate(members: usize, state: MemberState) -> Bytes {
    let MemberState {
        entries,
        table_bytes,
    } = state;
    let bytes_per_member =
        MEMBER_BYTES + members * PEER_BYTES + entries * ENTRY_BYTES + table_bytes;
    Bytes(members as u64 * bytes_per_member as u64)
}

/// Checks that a run fits into half of the available memory.
///
/// # Errors
/// Returns [`TooLarge`] if it does not.
pub fn admit(members: usize, state: MemberState, available: Bytes) -> Result<(), TooLarge> {
    let estimate = estimate(members, state);
    if estimate.0 > available.0 / 2 {
        return Err(TooLarge {
            estimate,
            available,
        });
    }
    Ok(())
}
