//! Positions in logs that replicas report, and gaps that they request.

use crate::{Index, LogId};

/// The position of a replica in a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LogPosition {
    /// The id of the log.
    pub log: LogId,
    /// The replica has all live entries through this index. 0 if it has none.
    pub index: Index,
}

/// A range of a log that a replica is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Gap {
    /// The last index before the gap. The replica has the log through this index.
    pub after: Index,
    /// The last missing index, inclusive.
    pub through: Index,
}
