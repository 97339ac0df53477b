//! Retries: decides whether a request is sent, sent again or answered without another attempt. A request that may have
//! run is repeated only if its class allows it, and every request gets exactly one final answer.

use super::state::{Endpoint, OpenRequest};
use super::Router;
use crate::interface::{Action, DedupScope, Micros, Repeat, RequestId, ServerId};
use linnetknot_purges::hashing::mix;

/// Number of errors without a reason after which the request itself is considered faulty.
const MAX_UNEXPLAINED_ERRORS: u32 = 2;
/// Minimum time that an attempt needs for an answer.
const MIN_ATTEMPT_US: Micros = 5_000;
/// Retry-After of a refusal, short enough for the client to retry before its deadline.
const RETRY_AFTER_US: Micros = 200_000;

impl Router {
    /// Sends an attempt of a request, or the final answer if no server can be tried.
    pub(super) fn route(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        self.random_state = mix(self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15));
        let Some(open) = self.requests.get(&id) else {
            return;
        };
        let exhausted = open.deadline.saturating_sub(now) < MIN_ATTEMPT_US
            || open.attempts >= self.settings.max_attempts
            || open.unexplained_errors >= MAX_UNEXPLAINED_ERRORS;
        let target = if exhausted || self.must_not_rerun(now, open) {
            None
        } else {
            let ranked = self.rank(open.part_key);
            if self.settings.classes[open.class].write {
                self.pick_for_write(now, open, &ranked)
            } else {
                self.pick_cache(now, open, &ranked)
                    .or_else(|| self.pick_fallback(now, open, &ranked))
            }
        };
        match target {
            Some(target) => self.send(now, id, target, actions),
            None => self.finish_unserved(id, actions),
        }
    }

    /// Returns whether a request may have run and must not be repeated.
    fn must_not_rerun(&self, now: Micros, open: &OpenRequest) -> bool {
        let Some(run) = open.may_have_run else {
            return false;
        };
        let class = &self.settings.classes[open.class];
        match class.repeat {
            Repeat::Safe => false,
            Repeat::Keyed => {
                now.saturating_sub(run.sent_at)
                    .saturating_add(MIN_ATTEMPT_US)
                    >= class.dedup_window_us
            }
            Repeat::Unsafe => true,
        }
    }

    /// Returns whether a request may be sent to a server as far as earlier attempts that may have run allow it: the
    /// repeat of a keyed request must reach a server that recognises it.
    pub(super) fn may_run_at(&self, open: &OpenRequest, id: ServerId) -> bool {
        let class = &self.settings.classes[open.class];
        let Some(run) = open.may_have_run.filter(|_| class.repeat == Repeat::Keyed) else {
            return true;
        };
        let server = self.endpoints.get(&id).map(Endpoint::location);
        let (Some(server), Some(first)) = (server, run.location) else {
            return class.dedup_scope == DedupScope::All;
        };
        match class.dedup_scope {
            DedupScope::All => true,
            DedupScope::Zone => server.zone == first.zone,
            // The servers of one cell have the same role, but the numbers of cells of other roles may be the same.
            DedupScope::Cell => server.cell == first.cell && server.role == first.role,
        }
    }

    /// Decides again whether an attempt that waited for a connection may be sent. Returns `None` if it must not be
    /// sent, otherwise the maximum age of a copy that may be served.
    pub fn recheck_queued_attempt(&self, now: Micros, id: RequestId) -> Option<Option<Micros>> {
        let open = self.requests.get(&id)?;
        let queued = open.in_flight.as_ref();
        let may_begin = !open.client_left
            && !self.must_not_rerun(now, open)
            && queued.is_none_or(|attempt| {
                self.may_run_at(open, attempt.server) && self.origin_lease_covers(now, attempt)
            });
        may_begin.then(|| self.max_age_us(now, open))
    }

    /// Cancels the attempt of a request whose client left, so that no link carries an unused transfer.
    pub(super) fn client_left(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(attempt) = open.in_flight.as_mut() else {
            self.requests.remove(&id);
            return;
        };
        open.client_left = true;
        if self.settings.cancel && !attempt.cancelled && !open.streaming {
            attempt.cancelled = true;
            actions.push(Action::Cancel {
                request: id,
                attempt: attempt.number,
            });
        }
    }

    /// Sends the final answer to a request that no server can serve: a refusal if the client can safely retry,
    /// otherwise a failure.
    fn finish_unserved(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.remove(&id) else {
            return;
        };
        if !self.may_refuse(&open) {
            actions.push(Action::Fail { request: id });
            return;
        }
        // Retry-After is sent regardless of `Settings::retry_after`, because the header does no harm to clients that do
        // not follow it.
        let max_us = Some(self.settings.max_retry_after_us).filter(|us| *us > 0);
        actions.push(Action::Refuse {
            request: id,
            retry_after_us: max_us.map(|us| us.min(RETRY_AFTER_US)),
        });
    }

    /// Returns whether the client can safely retry the request.
    fn may_refuse(&self, open: &OpenRequest) -> bool {
        let class = &self.settings.classes[open.class];
        match class.repeat {
            Repeat::Safe => true,
            Repeat::Keyed => open.may_have_run.is_none() || class.dedup_scope == DedupScope::All,
            Repeat::Unsafe => open.may_have_run.is_none(),
        }
    }
}
