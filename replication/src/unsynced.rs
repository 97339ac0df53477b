//! Entries that are not, or not surely, on this proxy's disk.

use crate::{Index, LogId};
use std::collections::{BTreeMap, BTreeSet};

/// Entries that are in the log store and not, or not surely, on this proxy's disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Unsynced {
    /// Those on their way to the disk, and those that it did not take.
    logs: BTreeMap<LogId, BTreeSet<Index>>,
    /// Those that it did not take.
    failed: BTreeSet<(LogId, Index)>,
}

impl Unsynced {
    /// Records that an entry is on its way to the disk.
    pub(crate) fn insert(&mut self, log: LogId, index: Index) {
        self.logs.entry(log).or_default().insert(index);
    }

    /// Records that an entry is on the disk.
    pub(crate) fn remove(&mut self, log: LogId, index: Index) {
        self.failed.remove(&(log, index));
        if let Some(indexes) = self.logs.get_mut(&log) {
            indexes.remove(&index);
            if indexes.is_empty() {
                self.logs.remove(&log);
            }
        }
    }

    /// Records that the disk did not take an entry.
    pub(crate) fn mark_failed(&mut self, log: LogId, index: Index) {
        let indexes = self.logs.get(&log);
        if indexes.is_some_and(|indexes| indexes.contains(&index)) {
            self.failed.insert((log, index));
        }
    }

    /// Takes the entries that the disk did not take; from here on they are on their way to it again.
    pub(crate) fn take_failed(&mut self) -> BTreeSet<(LogId, Index)> {
        std::mem::take(&mut self.failed)
    }

    /// Returns whether an entry is the last of its log that is not on the disk.
    pub(crate) fn is_last(&self, log: LogId, index: Index) -> bool {
        self.logs.get(&log).and_then(|indexes| indexes.last()) == Some(&index)
    }

    /// Returns the index through which all of a log that ends at `last_index` is on the disk.
    pub(crate) fn synced_through(&self, log: LogId, last_index: Index) -> Index {
        let first = self.logs.get(&log).and_then(|indexes| indexes.first());
        first.map_or(last_index, |first| (first - 1).min(last_index))
    }

    /// Returns whether the disk did not take an entry of a log through an index.
    pub(crate) fn is_failed(&self, log: LogId, index: Index) -> bool {
        self.failed.range((log, 0)..=(log, index)).next().is_some()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.logs.is_empty()
    }
}
