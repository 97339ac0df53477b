//! Entries that are not, or not surely, on this proxy's disk.

use crate::{Index, LogId};
use std::collections::{BTreeMap, BTreeSet};

/// Entries that are in the log store and not, or not surely, on this proxy's disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Unsynced {
    /// Those on their way to the disk and those it did not take.
    logs: BTreeMap<LogId, BTreeSet<Index>>,
    /// Those that it did not take.
    failed: BTreeSet<(LogId, Index)>,
}

impl Unsynced {
    pub(crate) fn add(&mut self, log: LogId, index: Index) {
        self.logs.entry(log).or_default().insert(index);
    }

    pub(crate) fn synced(&mut self, log: LogId, index: Index) {
        self.failed.remove(&(log, index));
        if let Some(indexes) = self.logs.get_mut(&log) {
            indexes.remove(&index);
            if indexes.is_empty() {
                self.logs.remove(&log);
            }
        }
    }

    pub(crate) fn sync_failed(&mut self, log: LogId, index: Index) {
        if self
            .logs
            .get(&log)
            .is_some_and(|indexes| indexes.contains(&index))
        {
            self.failed.insert((log, index));
        }
    }

    /// Those that the disk did not take, which are on their way to it again from here on.
    pub(crate) fn take_failed(&mut self) -> BTreeSet<(LogId, Index)> {
        std::mem::take(&mut self.failed)
    }

    /// Whether nothing behind an index of a log is missing on the disk.
    pub(crate) fn is_last(&self, log: LogId, index: Index) -> bool {
        self.logs.get(&log).and_then(|indexes| indexes.last()) == Some(&index)
    }

    /// Up to which index all of a log that ends at `end` is on the disk.
    pub(crate) fn through(&self, log: LogId, end: Index) -> Index {
        self.logs
            .get(&log)
            .and_then(|indexes| indexes.first())
            .map_or(end, |first| (first - 1).min(end))
    }

    /// Whether the disk did not take something of a log up to an index.
    pub(crate) fn is_failed(&self, log: LogId, index: Index) -> bool {
        self.failed.range((log, 0)..=(log, index)).next().is_some()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.logs.is_empty()
    }
}
