//! The capacity of a log store, and the outcome of an insertion.

use crate::{Index, LogId};
use std::fmt;

/// The capacity of a log store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// The most entries that do not expire.
    pub entries: usize,
    /// The most entries that expire, which must not take the capacity of the others.
    pub expiring_entries: usize,
    /// The most logs.
    pub logs: usize,
}

impl Capacity {
    /// No bound.
    pub const UNLIMITED: Capacity = Capacity {
        entries: usize::MAX,
        expiring_entries: usize::MAX,
        logs: usize::MAX,
    };
}

/// The error of an entry or log beyond the capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacityExceeded;

impl fmt::Display for CapacityExceeded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("there is no capacity for one more entry")
    }
}

impl std::error::Error for CapacityExceeded {}

/// The error of two entries at the same position.
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

/// The outcome of an insertion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Insertion {
    /// The entry was the next one of its log, and is in force.
    New,
    /// The entry is stored already, or was superseded.
    Duplicate,
    /// Entries before it are missing.
    OutOfOrder,
    /// The capacity is exhausted.
    Rejected(CapacityExceeded),
}
