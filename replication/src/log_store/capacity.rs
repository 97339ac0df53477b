//! The capacity of a log store, and the outcome of an insertion.

use crate::{Index, LogId};
use std::fmt;

/// The limits of a log store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// The maximum number of entries that do not expire.
    pub entries: usize,
    /// The maximum number of entries that expire. The separate limit keeps them from taking the space of other entries.
    pub expiring_entries: usize,
    /// The maximum number of logs. Each epoch of a writer is a log.
    pub logs: usize,
}

impl Capacity {
    /// A capacity that no insertion exceeds.
    pub const UNLIMITED: Capacity = Capacity {
        entries: usize::MAX,
        expiring_entries: usize::MAX,
        logs: usize::MAX,
    };
}

/// The error of an insertion that exceeds the capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacityExceeded;

impl fmt::Display for CapacityExceeded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("there is no capacity for one more entry")
    }
}

impl std::error::Error for CapacityExceeded {}

/// The error returned if a log on the disk contains two entries with the same index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DuplicateIndex {
    /// The log that contains the entries.
    pub log: LogId,
    /// The index of both entries.
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
    /// The entry was inserted: it is the next entry of its log.
    New,
    /// The index is not after the last index of the log: the entry is already stored or was superseded.
    Duplicate,
    /// The entry was not inserted, because entries before it are missing.
    OutOfOrder,
    /// The entry was not inserted, because it exceeds the capacity.
    Rejected(CapacityExceeded),
}
