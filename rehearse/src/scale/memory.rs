//! What the machine has, what this process takes, and whether a run fits.

use std::fmt;
use thiserror::Error;

/// Bytes of a member by itself: its cores, its budgets, and its datagrams on their way. This and the two below were fitted
/// to the resident memory of runs of 100 to 3,200 members, above each of them.
const MEMBER_BYTES: usize = 120_000;

/// Bytes that a member has for each peer: what it believes of it, its names, its machine and its acknowledgements.
pub const PEER_BYTES: usize = 150;

/// Bytes of an entry in a member's logs.
pub const ENTRY_BYTES: usize = 500;

/// Bytes of a log in a member's logs, besides its entries (`replication/examples/memory.rs`).
pub const LOG_BYTES: usize = 470;

/// What a run would take, or the machine has, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bytes(pub u64);

impl Bytes {
    /// In megabytes.
    pub fn megabytes(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.0} MB", self.megabytes())
    }
}

/// A run does not fit into half of the memory that is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error(
    "takes about {estimate}, more than half of the {available} that this machine has available"
)]
pub struct TooLarge {
    /// What it would take.
    pub estimate: Bytes,
    /// What is available.
    pub available: Bytes,
}

/// A figure of a file under `/proc`, which has it in kilobytes.
fn proc_figure(file: &str, key: &str) -> Option<Bytes> {
    let text = std::fs::read_to_string(file).ok()?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(key)?.strip_prefix(':'))?;
    let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(Bytes(kilobytes << 10))
}

/// What this process has resident.
pub fn resident() -> Option<Bytes> {
    proc_figure("/proc/self/status", "VmRSS")
}

/// What is available on this machine.
pub fn available() -> Option<Bytes> {
    proc_figure("/proc/meminfo", "MemAvailable")
}

/// What each member of a run comes to hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberState {
    /// Entries of its logs.
    pub entries: usize,
    /// Bytes of its compact table.
    pub table_bytes: usize,
}

/// What a run of so many members takes.
pub fn estimate(members: usize, state: MemberState) -> Bytes {
    let MemberState {
        entries,
        table_bytes,
    } = state;
    let each = MEMBER_BYTES + members * PEER_BYTES + entries * ENTRY_BYTES + table_bytes;
    Bytes(members as u64 * each as u64)
}

/// Whether a run fits into half of the available memory.
///
/// # Errors
/// Where it does not.
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
