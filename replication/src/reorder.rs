//! Entries that came before others of their log which are missing still. They are kept until those come, so that a lost
//! datagram costs itself alone and not all that were sent behind it.

use crate::{Entry, Index, LogId};
use std::collections::BTreeMap;

/// What came early, bounded in all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct ReorderBuffer {
    logs: BTreeMap<LogId, BTreeMap<Index, Entry>>,
    len: usize,
}

impl ReorderBuffer {
    /// Keeps an entry, if there is room. True where it was not here.
    pub(crate) fn put(&mut self, entry: &Entry, most: usize) -> bool {
        if self.len >= most {
            return false;
        }
        let log = self.logs.entry(entry.log).or_default();
        let is_new = log.insert(entry.index, entry.clone()).is_none();
        self.len += usize::from(is_new);
        is_new
    }

    /// The next entry of a log that is had up to `have`, if it is here.
    pub(crate) fn next(&mut self, log: LogId, have: Index) -> Option<Entry> {
        let out_of_order = self.logs.get_mut(&log)?;
        let mut next = None;
        while let Some(first) = out_of_order.first_entry() {
            if first.get().index > have && first.get().prev > have {
                break;
            }
            let entry = first.remove();
            self.len -= 1;
            // What is had by now, by another way, is let go.
            if entry.index > have {
                next = Some(entry);
                break;
            }
        }
        if out_of_order.is_empty() {
            self.logs.remove(&log);
        }
        next
    }

    /// What is missing of a log that is had up to `have`: behind the first index of each, up to the second.
    pub(crate) fn gaps(&self, log: LogId, have: Index) -> Vec<(Index, Index)> {
        let mut gaps = Vec::new();
        let mut through = have;
        for entry in self.logs.get(&log).into_iter().flat_map(BTreeMap::values) {
            if entry.prev > through {
                gaps.push((through, entry.prev));
            }
            through = through.max(entry.index);
        }
        gaps
    }

    /// The logs of which something came early.
    pub(crate) fn logs(&self) -> impl Iterator<Item = LogId> + '_ {
        self.logs.keys().copied()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len == 0
    }
}
