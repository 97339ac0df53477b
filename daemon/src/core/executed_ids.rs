//! The ids of recent requests that may have run at a server and must not run again.
//!
//! Clients choose a new id for each request, also for a retry. An id that comes again, for example from a client that
//! has closed its connection and sends the same request on a new one, must not run a second time unless its class is
//! idempotent.

use linnetknot::Micros;
use std::collections::{HashMap, VecDeque};

/// The time for which an id is remembered after its request has ended. No client waits as long for an answer.
const RETENTION_US: Micros = 60_000_000;
/// The maximum number of remembered ids. When there are more, the oldest one is forgotten.
const MAX_IDS: usize = 32_768;

/// Ids by the time at which their requests ended.
#[derive(Debug, Default)]
pub(super) struct ExecutedIds {
    ended_at: HashMap<u64, Micros>,
    by_age: VecDeque<(Micros, u64)>,
}

/// Returns the number that an id denotes; `None` if it is not hexadecimal.
pub(super) fn number(id: &str) -> Option<u64> {
    u64::from_str_radix(id, 16).ok()
}

impl ExecutedIds {
    /// Remembers the id of a request that may have run and has ended.
    pub(super) fn insert(&mut self, now: Micros, id: u64) {
        self.forget_old(now);
        self.ended_at.insert(id, now);
        self.by_age.push_back((now, id));
        if self.by_age.len() > MAX_IDS {
            self.forget_oldest();
        }
    }

    /// Forgets the id of a request that has not run after all.
    pub(super) fn remove(&mut self, id: u64) {
        self.ended_at.remove(&id);
    }

    /// Returns whether a request with this id may have run.
    pub(super) fn contains(&mut self, now: Micros, id: u64) -> bool {
        self.forget_old(now);
        self.ended_at.contains_key(&id)
    }

    fn forget_old(&mut self, now: Micros) {
        let is_old = |(at, _): &(Micros, u64)| at.saturating_add(RETENTION_US) < now;
        while self.by_age.front().is_some_and(is_old) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((at, id)) = self.by_age.pop_front() else {
            return;
        };
        // The id may have come again since.
        if self.ended_at.get(&id) == Some(&at) {
            self.ended_at.remove(&id);
        }
    }
}
