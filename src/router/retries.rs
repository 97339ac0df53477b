//! Whether a request is sent on, once more or not at all: what may have run is not run again, and every request
//! gets one final answer.

use super::state::OpenRequest;
use super::Router;
use crate::interface::{Action, DedupScope, Micros, Repeat, RequestId};
use linnetknot_purges::hashing::mix;

/// So many servers that fail a request: it is the request that can't be used.
const MAX_UNEXPLAINED_ERRORS: u32 = 2;
/// Least time in which an attempt can be answered.
const MIN_ATTEMPT_US: Micros = 5_000;
/// Advice with a refusal: short, so that the next try can be in time.
const RETRY_AFTER_US: Micros = 200_000;

impl Router {
    /// Sends a request on, or gives it up.
    pub(super) fn route(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        self.random = mix(self.random.wrapping_add(0x9e37_79b9_7f4a_7c15));
        let Some(open) = self.requests.get(&id) else {
            return;
        };
        let class = &self.settings.classes[open.class];
        let late = open.deadline.saturating_sub(now) < MIN_ATTEMPT_US
            || open.attempts >= self.settings.max_attempts
            || open.unexplained_errors >= MAX_UNEXPLAINED_ERRORS;
        let target = if late || self.must_not_rerun(now, open) {
            None
        } else {
            let ranked = self.rank(open.part_key);
            if class.write {
                self.pick_for_write(now, open, &ranked)
            } else {
                self.pick_cache(now, open, &ranked)
                    .or_else(|| self.pick_fallback(now, open, &ranked))
            }
        };
        match target {
            Some(target) => self.send(now, id, target, actions),
            None => self.give_up(id, actions),
        }
    }

    /// Whether a request may have run, and must not run again any more.
    fn must_not_rerun(&self, now: Micros, open: &OpenRequest) -> bool {
        let class = &self.settings.classes[open.class];
        open.may_have_run
            .is_some_and(|(sent, ..)| match class.repeat {
                Repeat::Safe => false,
                Repeat::Keyed => now.saturating_sub(sent) + MIN_ATTEMPT_US >= class.window_us,
                Repeat::Unsafe => true,
            })
    }

    /// Whether an attempt that waited for its connection may begin now, and the oldest copy that will do.
    pub fn begins(&self, now: Micros, id: RequestId) -> Option<Option<Micros>> {
        let open = self
            .requests
            .get(&id)
            .filter(|o| !o.client_left && !self.must_not_rerun(now, o))?;
        Some(self.max_age_us(now, open))
    }

    /// The client left: what is out for it is called off, so that no link carries it in vain.
    pub(super) fn client_left(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(a) = open.in_flight.as_mut() else {
            return drop(self.requests.remove(&id));
        };
        open.client_left = true;
        if self.settings.cancel && !a.cancelled && !open.streaming {
            a.cancelled = true;
            actions.push(Action::Cancel {
                request: id,
                attempt: a.number,
            });
        }
    }

    /// The final answer to a request that no server is to be tried for: at once, and a refusal if that is
    /// known to be safe.
    fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.remove(&id) else {
            return;
        };
        let class = &self.settings.classes[open.class];
        let refusable = match class.repeat {
            Repeat::Safe => true,
            Repeat::Keyed => open.may_have_run.is_none() || class.scope == DedupScope::All,
            Repeat::Unsafe => open.may_have_run.is_none(),
        };
        // Advice is given also where clients are not said to follow it: it does them no harm.
        let most = Some(self.settings.max_retry_after_us).filter(|us| *us > 0);
        let refusal = Action::Refuse {
            request: id,
            retry_after_us: most.map(|us| us.min(RETRY_AFTER_US)),
        };
        actions.push(if refusable {
            refusal
        } else {
            Action::Fail { request: id }
        });
    }
}
