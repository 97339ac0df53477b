//! A buffer for entries that arrived out of order, so that after a loss only the lost entries have to be sent again and
//! not all entries after them.

use crate::{Entry, Gap, Index, LogId};
use std::collections::BTreeMap;

/// Entries that arrived out of order. The total number of entries is bounded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct ReorderBuffer {
    logs: BTreeMap<LogId, BTreeMap<Index, Entry>>,
    len: usize,
}

impl ReorderBuffer {
    /// Inserts an entry unless the buffer contains `max_len` entries. Returns whether the entry was new.
    pub(crate) fn insert(&mut self, entry: &Entry, max_len: usize) -> bool {
        if self.len >= max_len {
            return false;
        }
        let log = self.logs.entry(entry.log).or_default();
        let is_new = log.insert(entry.index, entry.clone()).is_none();
        self.len += usize::from(is_new);
        is_new
    }

    /// Removes and returns the buffered entry that follows `last_index` of a log, if there is one. Drops entries up to
    /// `last_index`, which the replica has received in the meantime.
    pub(crate) fn take_next(&mut self, log: LogId, last_index: Index) -> Option<Entry> {
        let out_of_order = self.logs.get_mut(&log)?;
        let mut next = None;
        while let Some(first) = out_of_order.first_entry() {
            if first.get().index > last_index && first.get().prev > last_index {
                break;
            }
            let entry = first.remove();
            self.len -= 1;
            if entry.index > last_index {
                next = Some(entry);
                break;
            }
        }
        if out_of_order.is_empty() {
            self.logs.remove(&log);
        }
        next
    }

    /// Returns the gaps between `last_index` of a log and its buffered entries.
    pub(crate) fn gaps(&self, log: LogId, last_index: Index) -> Vec<Gap> {
        let mut gaps = Vec::new();
        let mut through = last_index;
        for entry in self.logs.get(&log).into_iter().flat_map(BTreeMap::values) {
            if entry.prev > through {
                gaps.push(Gap {
                    after: through,
                    through: entry.prev,
                });
            }
            through = through.max(entry.index);
        }
        gaps
    }

    /// Returns the logs with buffered entries.
    pub(crate) fn logs(&self) -> impl Iterator<Item = LogId> + '_ {
        self.logs.keys().copied()
    }

    /// Returns the number of buffered entries.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len == 0
    }
}
