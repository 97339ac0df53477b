//! The one ordered structure that holds every deadline.

use std::collections::BTreeMap;

/// Names a deadline, to take it back.
pub type Due = (u64, u64);

/// Deadlines by time, those of one time in the order in which they were set.
pub struct Deadlines<T> {
    due: BTreeMap<Due, T>,
    next: u64,
}

impl<T> Default for Deadlines<T> {
    fn default() -> Self {
        Deadlines {
            due: BTreeMap::new(),
            next: 0,
        }
    }
}

impl<T> Deadlines<T> {
    /// Sets a deadline.
    pub fn set(&mut self, at: u64, what: T) -> Due {
        self.next += 1;
        self.due.insert((at, self.next), what);
        (at, self.next)
    }

    /// Takes a deadline back, unless it has come due.
    pub fn take_back(&mut self, due: Due) {
        self.due.remove(&due);
    }

    /// The time of the earliest.
    pub fn next(&self) -> Option<u64> {
        self.due.keys().next().map(|due| due.0)
    }

    /// The earliest that has come due by now.
    pub fn pop(&mut self, now: u64) -> Option<T> {
        let first = self.due.first_entry().filter(|e| e.key().0 <= now)?;
        Some(first.remove())
    }
}
