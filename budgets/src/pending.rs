//! Requests that a member has sent and that await responses.

use crate::Micros;
use std::collections::BTreeMap;

/// The maximum number of pending requests. Responses to older requests are discarded, because those requests have been
/// repeated since.
const MAX_PENDING_REQUESTS: usize = 8;

/// The times at which the latest requests were sent, by request number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct PendingRequests(BTreeMap<u64, Micros>);

impl PendingRequests {
    /// Records that a request was sent. When the maximum is exceeded, evicts the oldest requests.
    pub(crate) fn insert(&mut self, number: u64, now: Micros) {
        self.0.insert(number, now);
        while self.0.len() > MAX_PENDING_REQUESTS {
            self.0.pop_first();
        }
    }

    /// Returns when a request was sent. It stays pending, because further responses to it may arrive.
    pub(crate) fn sent_at(&self, number: u64) -> Option<Micros> {
        self.0.get(&number).copied()
    }

    /// Returns when a request was sent, and removes it, because no further response to it is expected.
    pub(crate) fn take(&mut self, number: u64) -> Option<Micros> {
        self.0.remove(&number)
    }
}
