//! What a log store has room for, and what becomes of an entry.

use crate::{Index, LogId};
use std::fmt;

/// What a log store has room for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Entries that hold for good.
    pub entries: usize,
    /// Entries that are of use for a time only: they must not take the room of the others.
    pub expiring: usize,
    /// Logs.
    pub logs: usize,
}

impl Capacity {
    /// For whatever comes.
    pub const UNLIMITED: Capacity = Capacity {
        entries: usize::MAX,
        expiring: usize::MAX,
        logs: usize::MAX,
    };
}

/// There is no room for one more entry or log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacityExceeded;

impl fmt::Display for CapacityExceeded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("there is no capacity for one more entry")
    }
}

impl std::error::Error for CapacityExceeded {}

/// Two entries have one index of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DuplicateIndex {
    /// The log.
    pub log: LogId,
    /// The index.
    pub index: Index,
}

impl fmt::Display for DuplicateIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let LogId { writer, epoch } = self.log;
        write!(
            f,
            "two entries have index {} of the log {writer:x} {epoch:x}",
            self.index
        )
    }
}

impl std::error::Error for DuplicateIndex {}

/// What became of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Insertion {
    /// It was the next one.
    New,
    /// It was there, or superseded.
    Known,
    /// Others before it are missing.
    OutOfOrder,
    /// There was no room.
    Rejected(CapacityExceeded),
}
