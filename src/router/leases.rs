//! This router's share of the budgets that all routers share.

use super::state::{Attempt, Role};
use super::Router;
use crate::interface::{Budget, Lease, Micros, RequestId, ServerId};

/// An attempt whose request has reached its deadline, and which may still be in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ExpiredAttempt {
    request: RequestId,
    attempt: u32,
}

impl Router {
    /// Returns this router's share of a budget: the leased amount, or an equal share without a lease.
    pub(super) fn budget_share(&self, budget: Budget, routers: u32, now: Micros) -> f64 {
        match self.leases.get(&budget) {
            None => 1.0 / f64::from(routers.max(1)),
            Some(lease) => lease.amount_at(now),
        }
    }

    /// Returns the number of this router's requests that are, or may be, in flight at the origin.
    pub fn origin_requests_in_flight(&self) -> usize {
        let attempts = self.requests.values().filter_map(|o| o.in_flight.as_ref());
        let open = attempts
            .filter(|attempt| self.is_at_origin(attempt))
            .count();
        open + self.expired_origin_attempts.len()
    }

    /// Records that the request of an attempt has reached its deadline. At the origin the attempt is in flight until its
    /// abort has arrived there, although the request ends now.
    pub fn attempt_expired(&mut self, request: RequestId, attempt: u32) {
        let open = self.requests.get(&request);
        let in_flight = open.and_then(|open| open.in_flight.as_ref());
        if in_flight.is_some_and(|in_flight| self.is_at_origin(in_flight)) {
            self.expired_origin_attempts
                .insert(ExpiredAttempt { request, attempt });
        }
    }

    /// Records that an attempt has ended whose request had reached its deadline before.
    pub fn expired_attempt_ended(&mut self, request: RequestId, attempt: u32) {
        self.expired_origin_attempts
            .remove(&ExpiredAttempt { request, attempt });
    }

    fn is_at_origin(&self, attempt: &Attempt) -> bool {
        attempt.may_reach_origin || self.is_origin(attempt.server)
    }

    fn is_origin(&self, id: ServerId) -> bool {
        let server = self.endpoints.get(&id);
        server.is_some_and(|server| server.role == Role::Origin)
    }

    /// Returns whether the lease in force covers a queued attempt, which is one of the requests in flight. The lease may
    /// have ended since the attempt was queued.
    pub(super) fn origin_lease_covers(&self, now: Micros, queued: &Attempt) -> bool {
        let lease = self.leases.get(&Budget::Origin);
        !self.is_at_origin(queued)
            || lease
                .is_none_or(|lease| self.origin_requests_in_flight() as f64 <= lease.amount_at(now))
    }

    /// Returns whether one more request may be sent to the origin. Without a lease there is no limit.
    pub(super) fn origin_has_capacity(&self, now: Micros) -> bool {
        let Some(lease) = self.leases.get(&Budget::Origin) else {
            return true;
        };
        self.origin_requests_in_flight() as f64 + 1.0 <= lease.amount_at(now)
    }
}

impl Lease {
    /// Returns the amount that the router may use at the given time.
    fn amount_at(&self, now: Micros) -> f64 {
        if now < self.until {
            self.amount
        } else {
            self.reserved
        }
    }
}
