//! Retries: whether a request is forwarded, once more or not at all. What may have run is not run again unless its class
//! allows it, and every request gets one final answer.

use super::state::OpenRequest;
use super::Router;
use crate::interface::{Action, DedupScope, Micros, Repeat, RequestId};
use linnetknot_purges::hashing::mix;

/// A request that so many servers fail without a reason is itself at fault.
const MAX_UNEXPLAINED_ERRORS: u32 = 2;
/// Least time in which an attempt can be answered.
const MIN_ATTEMPT_US: Micros = 5_000;
/// Advice with a refusal: short, so that the client's next request can be in time.
const RETRY_AFTER_US: Micros = 200_000;

impl Router {
    /// Sends an attempt of a request, or gives the request up.
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

    /// Whether a request may have run, and must not run again any more.
    fn must_not_rerun(&self, now: Micros, open: &OpenRequest) -> bool {
        let Some(run) = open.may_have_run else {
            return false;
        };
        let class = &self.settings.classes[open.class];
        match class.repeat {
            Repeat::Safe => false,
            Repeat::Keyed => {
                now.saturating_sub(run.sent_at) + MIN_ATTEMPT_US >= class.dedup_window_us
            }
            Repeat::Unsafe => true,
        }
    }

    /// Whether an attempt that waited for its connection may begin now, and the oldest copy that will do.
    pub fn recheck_queued_attempt(&self, now: Micros, id: RequestId) -> Option<Option<Micros>> {
        let open = self.requests.get(&id)?;
        let may_begin = !open.client_left && !self.must_not_rerun(now, open);
        may_begin.then(|| self.max_age_us(now, open))
    }

    /// The client left: what is in flight for it is cancelled, so that no link carries it in vain.
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

    /// The final answer to a request that no server is to be tried for: at once, and a refusal if that is known to be
    /// safe.
    fn finish_unserved(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.remove(&id) else {
            return;
        };
        if !self.may_refuse(&open) {
            actions.push(Action::Fail { request: id });
            return;
        }
        // Advice is given also where clients are not said to follow it: it does them no harm.
        let max_us = Some(self.settings.max_retry_after_us).filter(|us| *us > 0);
        actions.push(Action::Refuse {
            request: id,
            retry_after_us: max_us.map(|us| us.min(RETRY_AFTER_US)),
        });
    }

    /// Whether a client may be told that asking again does no harm.
    fn may_refuse(&self, open: &OpenRequest) -> bool {
        let class = &self.settings.classes[open.class];
        match class.repeat {
            Repeat::Safe => true,
            Repeat::Keyed => open.may_have_run.is_none() || class.dedup_scope == DedupScope::All,
            Repeat::Unsafe => open.may_have_run.is_none(),
        }
    }
}
