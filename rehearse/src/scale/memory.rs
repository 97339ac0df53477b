//! What the machine has, what this process takes, and whether a run fits.

use std::fmt;

/// Bytes of a member by itself: its cores, its budgets, and its datagrams on their way. This and the two below were fitted
/// to the resident memory of runs of 100 to 3,200 members, above each of them.
const MEMBER_BYTES: u64 = 120_000;

/// Bytes that a member has for each peer: what it believes of it, its names, its machine and its acknowledgements.
const PEER_BYTES: u64 = 150;

/// Bytes of an entry in a member's logs.
const ENTRY_BYTES: u64 = 500;

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
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLarge {
    /// What it would take.
    pub estimate: Bytes,
    /// What is available.
    pub available: Bytes,
}

impl fmt::Display for TooLarge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TooLarge { estimate, available } = self;
        write!(f, "takes about {estimate}, more than half of the {available} that this machine has available")
    }
}

impl std::error::Error for TooLarge {}

/// A figure of a file under `/proc`, which has it in kilobytes.
fn proc_figure(file: &str, key: &str) -> Option<Bytes> {
    let text = std::fs::read_to_string(file).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(key)?.strip_prefix(':'))?;
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

/// What a run of so many members takes whose logs come to so many entries.
pub fn estimate(members: usize, entries: usize) -> Bytes {
    let (members, entries) = (members as u64, entries as u64);
    Bytes(members * (MEMBER_BYTES + members * PEER_BYTES + entries * ENTRY_BYTES))
}

/// Whether a run fits into half of the available memory.
///
/// # Errors
/// Where it does not.
pub fn admit(members: usize, entries: usize, available: Bytes) -> Result<(), TooLarge> {
    let estimate = estimate(members, entries);
    if estimate.0 > available.0 / 2 {
        return Err(TooLarge { estimate, available });
    }
    Ok(())
}
