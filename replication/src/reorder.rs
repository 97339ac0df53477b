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

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Subject;

    fn entry(index: Index, prev: Index) -> Entry {
        Entry {
            log: LogId::new(1, 1),
            index,
            prev,
            subject: Subject::Group(index),
            at: index,
            revoked: false,
        }
    }

    #[test]
    fn gaps_are_named_once_and_what_came_early_follows_what_was_missing() {
        let mut reorder = ReorderBuffer::default();
        // 1 is had; 2, 3 and 6 are missing, and 4 was superseded.
        let put = [entry(8, 7), entry(5, 3), entry(7, 6), entry(8, 7)].map(|e| reorder.put(&e, 9));
        assert_eq!(put, [true, true, true, false]);
        assert_eq!(reorder.gaps(LogId::new(1, 1), 1), [(1, 3), (5, 6)]);
        assert_eq!(reorder.next(LogId::new(1, 1), 2), None);
        assert_eq!(reorder.next(LogId::new(1, 1), 3), Some(entry(5, 3)));
        assert_eq!(
            (reorder.next(LogId::new(1, 1), 5), reorder.gaps(LogId::new(1, 1), 5)),
            (None, vec![(5, 6)])
        );
        // 7 came again by another way.
        assert_eq!(reorder.next(LogId::new(1, 1), 7), Some(entry(8, 7)));
        assert!(
            reorder.is_empty()
                && reorder.logs().next().is_none()
                && reorder.gaps(LogId::new(1, 1), 8).is_empty()
        );
    }

    #[test]
    fn what_comes_beyond_the_bound_is_let_go() {
        let mut reorder = ReorderBuffer::default();
        assert!(reorder.put(&entry(3, 2), 1) && !reorder.put(&entry(9, 8), 1));
        assert_eq!(reorder.gaps(LogId::new(1, 1), 1), [(1, 2)]);
        assert_eq!(reorder.next(LogId::new(1, 1), 2), Some(entry(3, 2)));
        assert!(reorder.is_empty());
    }
}
