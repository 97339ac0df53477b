//! The ids of recent requests that may have run at a server and must not run again.
//!
//! Clients choose a new id for each request, also for a retry. An id that comes again, for example from a client that
//! has closed its connection and sends the same request on a new one, must not run a second time unless its class is
//! idempotent.

use linnetknot::Micros;
use std::collections::{HashSet, VecDeque};

/// The time for which an id is remembered after its request has ended. No client waits as long for an answer.
const RETENTION_US: Micros = 60_000_000;
/// The maximum number of remembered ids. When there are more, the oldest one is forgotten.
const MAX_IDS: usize = 32_768;

/// Ids by the time at which their requests ended.
#[derive(Debug, Default)]
pub(super) struct ExecutedIds {
    ids: HashSet<u64>,
    by_age: VecDeque<(Micros, u64)>,
}

/// Returns the number that an id denotes; `None` if it is not hexadecimal.
fn number(id: &str) -> Option<u64> {
    u64::from_str_radix(id, 16).ok()
}

impl ExecutedIds {
    /// Remembers the id of a request that may have run and has ended.
    pub(super) fn insert(&mut self, now: Micros, id: &str) {
        let Some(id) = number(id) else {
            return;
        };
        self.forget_old(now);
        if self.ids.insert(id) {
            self.by_age.push_back((now, id));
        }
        if self.by_age.len() > MAX_IDS {
            self.forget_oldest();
        }
    }

    /// Returns whether a request with this id may have run.
    pub(super) fn contains(&mut self, now: Micros, id: &str) -> bool {
        self.forget_old(now);
        number(id).is_some_and(|id| self.ids.contains(&id))
    }

    fn forget_old(&mut self, now: Micros) {
        let is_old = |(at, _): &(Micros, u64)| at.saturating_add(RETENTION_US) < now;
        while self.by_age.front().is_some_and(is_old) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, id)) = self.by_age.pop_front() {
            self.ids.remove(&id);
        }
    }
}
