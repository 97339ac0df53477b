//! A queue of deadlines, ordered by time.

use std::collections::BTreeMap;

/// Identifies a deadline, so that it can be cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeadlineId {
    /// The time at which the deadline is due, in microseconds.
    pub at: u64,
    /// The number of the deadline, which orders deadlines with the same time.
    sequence: u64,
}

/// Deadlines, each with an item, ordered by time. Deadlines with the same time are in the order in which they were set.
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
    /// Adds a deadline at the time `at` with the item `what`. The returned id cancels it.
    pub fn set(&mut self, at: u64, what: T) -> DeadlineId {
        self.last_sequence += 1;
        let due = DeadlineId {
            at,
            sequence: self.last_sequence,
        };
        self.due.insert(due, what);
        due
    }

    /// Cancels a deadline and returns its item; `None` if the deadline was already removed by `pop`.
    pub fn cancel(&mut self, due: DeadlineId) -> Option<T> {
        self.due.remove(&due)
    }

    /// Returns the time of the earliest deadline.
    pub fn next(&self) -> Option<u64> {
        self.due.keys().next().map(|due| due.at)
    }

    /// Removes and returns the earliest deadline that is due.
    pub fn pop(&mut self, now: u64) -> Option<T> {
        let first = self.due.first_entry().filter(|e| e.key().at <= now)?;
        Some(first.remove())
    }

    /// Returns the deadlines that are due and whose items match, in order.
    pub fn due_matching(&self, now: u64, matches: impl Fn(&T) -> bool) -> Vec<DeadlineId> {
        self.due
            .iter()
            .take_while(|(due, _)| due.at <= now)
            .filter(|(_, item)| matches(item))
            .map(|(due, _)| *due)
            .collect()
    }
}
