//! Periodic work: updates averages, ejects silent servers, and cancels attempts that are overdue or stuck.

use super::state::{Endpoint, OpenRequest};
use super::Router;
use crate::interface::{Action, Micros, Repeat, ServerId};
use std::collections::BTreeMap;

/// Interval at which the periodic work is performed.
const TICK_US: Micros = 50_000;
/// Tag of the timer that triggers the periodic work of the router.
pub(super) const TICK_TAG: u64 = 0;
/// Time over which this router's own transfers are averaged. The average is the estimate for each other router.
const AVERAGING_S: f64 = 3.0;
/// Number of overdue attempts from which a server counts as silent, if it has answered nothing since the first of them
/// was sent.
const MIN_OVERDUE: usize = 2;

/// Number of overdue attempts that a server serves or fills, and the time at which the first of them was sent.
struct Overdue {
    attempts: usize,
    first_sent_at: Micros,
}

impl Router {
    /// Schedules the timer for the next run of the periodic work.
    pub(super) fn schedule_tick(now: Micros, actions: &mut Vec<Action>) {
        actions.push(Action::Timer {
            at: now.saturating_add(TICK_US),
            tag: TICK_TAG,
        });
    }

    /// Performs the periodic work. A hung server is detected by attempts that stay unanswered; those attempts are
    /// cancelled and retried elsewhere.
    pub(super) fn tick(&mut self, now: Micros, actions: &mut Vec<Action>) {
        Self::schedule_tick(now, actions);
        let origin_now = self.origin_time(now);
        self.purges
            .compact(origin_now, self.settings.rules.purge_completion_us);
        let tick_s = TICK_US as f64 / 1e6;
        self.update_averages(now, tick_s / AVERAGING_S);
        self.relax_tail_factors(now, tick_s);
        self.eject_silent(now);
        self.cancel_stalled_attempts(now, actions);
    }

    /// Ejects servers and sources that have not answered several attempts or their trial.
    fn eject_silent(&mut self, now: Micros) {
        for (id, overdue) in self.overdue_by_server(now) {
            let Some(server) = self.endpoints.get_mut(&id) else {
                continue;
            };
            let enough = overdue.attempts >= MIN_OVERDUE || server.trial_in_flight;
            if enough && server.last_success < overdue.first_sent_at {
                server.eject(now);
            }
        }
    }

    fn overdue_by_server(&self, now: Micros) -> BTreeMap<ServerId, Overdue> {
        let mut by_server = BTreeMap::new();
        let attempts = self.requests.values().filter_map(|o| o.in_flight.as_ref());
        for attempt in attempts.filter(|attempt| attempt.overdue_at < now) {
            for id in [Some(attempt.server), attempt.source].into_iter().flatten() {
                let overdue = by_server.entry(id).or_insert(Overdue {
                    attempts: 0,
                    first_sent_at: attempt.sent_at,
                });
                overdue.attempts += 1;
                overdue.first_sent_at = overdue.first_sent_at.min(attempt.sent_at);
            }
        }
        by_server
    }

    /// Cancels repeatable attempts that are stuck or wait for a silent server.
    fn cancel_stalled_attempts(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if !self.settings.cancel {
            return;
        }
        for (id, open) in &mut self.requests {
            let repeat = self.settings.classes[open.class].repeat;
            if repeat != Repeat::Safe || open.streaming {
                continue;
            }
            if let Some(attempt) = Self::cancel_if_stalled(now, open, &self.endpoints) {
                actions.push(Action::Cancel {
                    request: *id,
                    attempt,
                });
            }
        }
    }

    /// Marks a request's attempt as cancelled if it is hung or stuck, and returns its number.
    fn cancel_if_stalled(
        now: Micros,
        open: &mut OpenRequest,
        endpoints: &BTreeMap<ServerId, Endpoint>,
    ) -> Option<u32> {
        let attempt = open.in_flight.as_mut().filter(|a| !a.cancelled)?;
        let is_silent = |id: ServerId| {
            let server = endpoints.get(&id);
            server.is_some_and(|s| now < s.ejected_until && s.last_success < attempt.sent_at)
        };
        let silent = is_silent(attempt.server) || attempt.source.is_some_and(is_silent);
        let is_hung = attempt.overdue_at < now && silent;
        if !is_hung && now <= attempt.stuck_after {
            return None;
        }
        attempt.stuck = !is_hung;
        attempt.cancelled = true;
        Some(attempt.number)
    }
}
