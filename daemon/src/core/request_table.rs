//! The table of open requests, bounded in the number of requests and the bytes of their bodies.

use super::attempt::OutstandingAttempt;
use super::executed_ids::{number, ExecutedIds};
use super::{AdmissionError, Client, ClientRequest, RequestKey};
use crate::limits::Limits;
use crate::net::SlotTable;
use linnetknot::Micros;
use std::collections::HashSet;

/// A request from its admission until it is answered and has no outstanding attempt.
pub(super) struct OpenRequest {
    pub(super) client: Client,
    pub(super) request: ClientRequest,
    /// The time by which the final answer is due.
    pub(super) deadline: Micros,
    /// The number of attempts started so far for the request.
    pub(super) attempts: u32,
    /// The attempt that has started and not ended, if any.
    pub(super) outstanding: Option<OutstandingAttempt>,
    /// Whether the final answer was given, or the client has disconnected.
    pub(super) answered: bool,
    /// Whether the request is idempotent, so that it may run again.
    pub(super) is_idempotent: bool,
    /// Whether an attempt that has ended may have run.
    pub(super) may_have_run: bool,
    /// Whether the other process of this proxy was told that the request may have run.
    pub(super) is_shared: bool,
}

impl OpenRequest {
    fn must_not_run_again(&self) -> bool {
        self.may_have_run && !self.is_idempotent
    }
}

/// The open requests by their keys.
pub(super) struct RequestTable {
    requests: SlotTable<OpenRequest>,
    /// The ids of the open requests. They must be unique, because caches identify requests by id.
    ids: HashSet<String>,
    /// The ids of requests that are no longer open and must not run again.
    executed_ids: ExecutedIds,
    /// The ids of requests that the other process of this proxy may have run.
    other_executed_ids: ExecutedIds,
    /// The total bytes of the bodies of all open requests.
    body_bytes: usize,
    max_body_bytes: usize,
}

impl RequestTable {
    /// Creates an empty table with the limits of the process.
    pub(super) fn new(limits: &Limits) -> Self {
        RequestTable {
            requests: SlotTable::new(limits.max_requests),
            ids: HashSet::new(),
            executed_ids: ExecutedIds::default(),
            other_executed_ids: ExecutedIds::default(),
            body_bytes: 0,
            max_body_bytes: limits.max_total_body_bytes,
        }
    }

    /// Checks that the id of a request is unused and its body fits. The table may still be full.
    ///
    /// # Errors
    /// Fails with the reason for which the request must not run.
    pub(super) fn check(
        &mut self,
        now: Micros,
        request: &ClientRequest,
        is_idempotent: bool,
    ) -> Result<(), AdmissionError> {
        let is_open = self.ids.contains(&request.id);
        let is_executed = number(&request.id).is_some_and(|id| {
            self.executed_ids.contains(now, id) || self.other_executed_ids.contains(now, id)
        });
        let may_have_run = is_open && !is_idempotent || is_executed;
        if may_have_run {
            return Err(AdmissionError::MayHaveRun);
        }
        let has_room = self.body_bytes + request.body.len() <= self.max_body_bytes;
        if is_open || !has_room {
            return Err(AdmissionError::Rejected);
        }
        Ok(())
    }

    /// Adds a request. Returns `None` if the table is full.
    pub(super) fn insert(&mut self, open: OpenRequest) -> Option<RequestKey> {
        let id = open.request.id.clone();
        let body_bytes = open.request.body.len();
        let key = self.requests.insert(open).ok()?;
        self.ids.insert(id);
        self.body_bytes += body_bytes;
        Some(key)
    }

    /// Returns the request with a key.
    pub(super) fn get(&self, key: RequestKey) -> Option<&OpenRequest> {
        self.requests.get(key)
    }

    /// Returns the request with a key, mutably.
    pub(super) fn get_mut(&mut self, key: RequestKey) -> Option<&mut OpenRequest> {
        self.requests.get_mut(key)
    }

    /// Returns the request with a key if it has no final answer yet.
    pub(super) fn unanswered(&self, key: RequestKey) -> Option<&OpenRequest> {
        self.get(key).filter(|open| !open.answered)
    }

    /// Returns the request with a key, mutably, if it has no final answer yet.
    pub(super) fn unanswered_mut(&mut self, key: RequestKey) -> Option<&mut OpenRequest> {
        self.get_mut(key).filter(|open| !open.answered)
    }

    /// Returns the keys of all open requests.
    pub(super) fn keys(&self) -> Vec<RequestKey> {
        self.requests.keys()
    }

    /// Whether no request is open.
    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Whether at least half of the slots are in use.
    pub(super) fn is_half_full(&self) -> bool {
        self.requests.is_half_full()
    }

    /// Remembers that another process may have run a request, or forgets it.
    pub(super) fn record_other_execution(&mut self, now: Micros, id: u64, may_have_run: bool) {
        if may_have_run {
            self.other_executed_ids.insert(now, id);
        } else {
            self.other_executed_ids.remove(id);
        }
    }

    /// Frees the slot of a request that is answered and has no outstanding attempt. Returns the request if so.
    #[must_use]
    pub(super) fn release_if_finished(
        &mut self,
        now: Micros,
        key: RequestKey,
    ) -> Option<OpenRequest> {
        let open = self.get(key)?;
        if !open.answered || open.outstanding.is_some() {
            return None;
        }
        let open = self.requests.remove(key)?;
        self.ids.remove(&open.request.id);
        self.body_bytes -= open.request.body.len();
        if let Some(id) = number(&open.request.id).filter(|_| open.must_not_run_again()) {
            self.executed_ids.insert(now, id);
        }
        Some(open)
    }
}
