//! Deadlines: the one ordered structure that has all of them.

use std::collections::BTreeMap;

/// A deadline that is set, by which it can be cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeadlineId {
    /// Its time.
    pub at: u64,
    /// Its number among all that were set, which orders those of one time.
    sequence: u64,
}

/// Deadlines by time, those of one time in the order in which they were set.
pub struct Deadlines<T> {
    due: BTreeMap<DeadlineId, T>,
    last_sequence: u64,
}

impl<T> Default for Deadlines<T> {
    fn default() -> Self {
        Deadlines {
            due: BTreeMap::new(),
            last_sequence: 0,
        }
    }
}

impl<T> Deadlines<T> {
    /// Sets a deadline.
    pub fn set(&mut self, at: u64, what: T) -> DeadlineId {
        self.last_sequence += 1;
        let due = DeadlineId {
            at,
            sequence: self.last_sequence,
        };
        self.due.insert(due, what);
        due
    }

    /// Cancels a deadline, unless it has come due.
    pub fn cancel(&mut self, due: DeadlineId) {
        self.due.remove(&due);
    }

    /// The time of the earliest.
    pub fn next(&self) -> Option<u64> {
        self.due.keys().next().map(|due| due.at)
    }

    /// Takes out the earliest that has come due by now.
    pub fn pop(&mut self, now: u64) -> Option<T> {
        let first = self.due.first_entry().filter(|e| e.key().at <= now)?;
        Some(first.remove())
    }
}
