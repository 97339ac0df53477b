//! The table of open requests, bounded in their number and in the bytes of their bodies.

use super::attempt::OutstandingAttempt;
use super::{Client, ClientRequest, RequestKey};
use crate::limits::Limits;
use crate::net::SlotTable;
use linnetknot::Micros;
use std::collections::HashSet;

/// A request from its admission until it is answered and none of its attempts is out.
pub(super) struct OpenRequest {
    pub(super) client: Client,
    pub(super) request: ClientRequest,
    /// When its final answer is due at the latest.
    pub(super) deadline: Micros,
    /// Attempts made so far.
    pub(super) attempts: u32,
    /// The attempt that is out.
    pub(super) outstanding: Option<OutstandingAttempt>,
    /// The final answer is given, or none is owed any more.
    pub(super) answered: bool,
}

/// The open requests by their keys.
pub(super) struct RequestTable {
    requests: SlotTable<OpenRequest>,
    /// Ids of the open requests: a cache takes two requests of one id for one.
    ids: HashSet<String>,
    /// Bytes of the bodies of all open requests.
    body_bytes: usize,
    max_body_bytes: usize,
}

impl RequestTable {
    /// An empty table within the limits of the process.
    pub(super) fn new(limits: &Limits) -> Self {
        RequestTable {
            requests: SlotTable::new(limits.max_requests),
            ids: HashSet::new(),
            body_bytes: 0,
            max_body_bytes: limits.max_total_body_bytes,
        }
    }

    /// Whether a request's id is free and its body fits. The table may still be full.
    pub(super) fn admits(&self, request: &ClientRequest) -> bool {
        self.body_bytes + request.body.len() <= self.max_body_bytes
            && !self.ids.contains(&request.id)
    }

    /// Adds a request; none where the table is full.
    pub(super) fn insert(&mut self, open: OpenRequest) -> Option<RequestKey> {
        let id = open.request.id.clone();
        let body_bytes = open.request.body.len();
        let key = self.requests.insert(open).ok()?;
        self.ids.insert(id);
        self.body_bytes += body_bytes;
        Some(key)
    }

    /// The request of this key.
    pub(super) fn get(&self, key: RequestKey) -> Option<&OpenRequest> {
        self.requests.get(key)
    }

    /// The request of this key, to be changed.
    pub(super) fn get_mut(&mut self, key: RequestKey) -> Option<&mut OpenRequest> {
        self.requests.get_mut(key)
    }

    /// The request of this key, if its final answer is still owed.
    pub(super) fn unanswered(&self, key: RequestKey) -> Option<&OpenRequest> {
        self.get(key).filter(|open| !open.answered)
    }

    /// The request of this key, to be changed, if its final answer is still owed.
    pub(super) fn unanswered_mut(&mut self, key: RequestKey) -> Option<&mut OpenRequest> {
        self.get_mut(key).filter(|open| !open.answered)
    }

    /// The keys of all open requests.
    pub(super) fn keys(&self) -> Vec<RequestKey> {
        self.requests.keys()
    }

    /// Whether no request is open.
    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Whether at least half of the slots are taken.
    pub(super) fn is_half_full(&self) -> bool {
        self.requests.is_half_full()
    }

    /// Frees the slot of a request that is answered and has no attempt out.
    pub(super) fn release_if_finished(&mut self, key: RequestKey) {
        let is_finished = self
            .get(key)
            .is_some_and(|open| open.answered && open.outstanding.is_none());
        if !is_finished {
            return;
        }
        if let Some(open) = self.requests.remove(key) {
            self.ids.remove(&open.request.id);
            self.body_bytes -= open.request.body.len();
        }
    }
}
