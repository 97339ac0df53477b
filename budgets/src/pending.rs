//! Requests that wait for their responses.

use crate::Micros;
use std::collections::BTreeMap;

/// The number of requests whose responses are still accepted; older ones have been repeated since.
const MAX_PENDING_REQUESTS: usize = 8;

/// When each of the last requests was sent, by its number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct PendingRequests(BTreeMap<u64, Micros>);

impl PendingRequests {
    /// Records that a request was sent; the oldest are forgotten.
    pub(crate) fn insert(&mut self, number: u64, now: Micros) {
        self.0.insert(number, now);
        while self.0.len() > MAX_PENDING_REQUESTS {
            self.0.pop_first();
        }
    }

    /// Returns when a request was sent that expects further responses.
    pub(crate) fn sent_at(&self, number: u64) -> Option<Micros> {
        self.0.get(&number).copied()
    }

    /// Returns when a request was sent that expects no further response.
    pub(crate) fn take(&mut self, number: u64) -> Option<Micros> {
        self.0.remove(&number)
    }
}
