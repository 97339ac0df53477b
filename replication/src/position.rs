//! Positions in logs, as replicas report and request them.

use crate::{Index, LogId};

/// How far a replica has a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LogPosition {
    /// The log.
    pub log: LogId,
    /// The replica has all entries in force through this index; 0 if it has none.
    pub index: Index,
}

/// A part of a log that a replica is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Gap {
    /// The replica has what is at this index.
    pub after: Index,
    /// The last index that it is missing.
    pub through: Index,
}
