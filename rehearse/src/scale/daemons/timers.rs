//! Timers of the hollow members that are driven by one loop.

use linnetknot_simnet::Micros;
use std::collections::BTreeSet;

/// Timers of all members by index.
pub(super) struct Timers {
    queue: BTreeSet<(Micros, usize)>,
    set: Vec<Option<Micros>>,
}

impl Timers {
    pub(super) fn new(members: usize) -> Self {
        Timers {
            queue: BTreeSet::new(),
            set: vec![None; members],
        }
    }

    /// Sets a member's timer unless an earlier timer is already set. A member that is woken too early sets its timer
    /// again.
    pub(super) fn set(&mut self, member: usize, at: Micros) {
        match self.set[member] {
            Some(old) if old <= at => return,
            Some(old) => drop(self.queue.remove(&(old, member))),
            None => {}
        }
        self.set[member] = Some(at);
        self.queue.insert((at, member));
    }

    pub(super) fn next(&self) -> Option<Micros> {
        self.queue.first().map(|(at, _)| *at)
    }

    pub(super) fn take_due(&mut self, now: Micros) -> Option<(Micros, usize)> {
        let (at, member) = *self.queue.first().filter(|(at, _)| *at <= now)?;
        self.queue.pop_first();
        self.set[member] = None;
        Some((at, member))
    }
}
