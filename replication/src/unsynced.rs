//! The set of stored entries that are not yet known to be on the local disk.

use crate::{Index, LogId};
use std::collections::{BTreeMap, BTreeSet};

/// Entries in the log store that are not yet known to be on the local disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Unsynced {
    /// Entries with a pending or failed write.
    logs: BTreeMap<LogId, BTreeSet<Index>>,
    /// Entries with a failed write.
    failed: BTreeSet<(LogId, Index)>,
}

impl Unsynced {
    /// Adds an entry whose write is pending.
    pub(crate) fn insert(&mut self, log: LogId, index: Index) {
        self.logs.entry(log).or_default().insert(index);
    }

    /// Removes an entry that is on the disk.
    pub(crate) fn remove(&mut self, log: LogId, index: Index) {
        self.failed.remove(&(log, index));
        if let Some(indexes) = self.logs.get_mut(&log) {
            indexes.remove(&index);
            if indexes.is_empty() {
                self.logs.remove(&log);
            }
        }
    }

    /// Records that the write of an entry failed.
    pub(crate) fn mark_failed(&mut self, log: LogId, index: Index) {
        let indexes = self.logs.get(&log);
        if indexes.is_some_and(|indexes| indexes.contains(&index)) {
            self.failed.insert((log, index));
        }
    }

    /// Takes the entries with a failed write. The caller writes them again, so they count as pending.
    pub(crate) fn take_failed(&mut self) -> BTreeSet<(LogId, Index)> {
        std::mem::take(&mut self.failed)
    }

    /// Returns whether an entry is the last unsynced entry of its log.
    pub(crate) fn is_last(&self, log: LogId, index: Index) -> bool {
        self.logs.get(&log).and_then(|indexes| indexes.last()) == Some(&index)
    }

    /// Returns the index through which a log that ends at `last_index` is on the disk without a gap.
    pub(crate) fn synced_through(&self, log: LogId, last_index: Index) -> Index {
        let first = self.logs.get(&log).and_then(|indexes| indexes.first());
        first.map_or(last_index, |first| (first - 1).min(last_index))
    }

    /// Returns whether the write of any entry of a log through an index has failed.
    pub(crate) fn is_failed(&self, log: LogId, index: Index) -> bool {
        self.failed.range((log, 0)..=(log, index)).next().is_some()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.logs.is_empty()
    }
}
