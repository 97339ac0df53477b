//! What is done at each tick: averages move on, and attempts that are overdue or stuck are called off.

use super::state::{Attempt, OpenRequest};
use super::statistics::ROUND_TRIP_S;
use super::Router;
use crate::interface::{Action, Micros, Repeat, ServerId};
use std::collections::BTreeMap;

/// How often overdue attempts are looked for.
pub(super) const TICK_US: Micros = 50_000;
/// So many overdue and no answer since the first was sent: silent.
const MIN_OVERDUE: usize = 2;
/// Own transfers are averaged over so many seconds to guess the other routers'.
const AVERAGING_S: f64 = 3.0;
/// Tag of the recurring timer.
pub(super) const TICK_TAG: u64 = 0;

impl Router {
    /// Silence: a server that hangs shows only in what does not come back. All that is overdue there is
    /// called off and goes elsewhere.
    pub(super) fn tick(&mut self, now: Micros, actions: &mut Vec<Action>) {
        actions.push(Action::Timer {
            at: now + TICK_US,
            tag: TICK_TAG,
        });
        self.purges.compact(now, self.settings.rules.purge_done_us);
        let step = TICK_US as f64 / 1e6 / AVERAGING_S;
        for s in self.endpoints.values_mut() {
            s.mean_in_flight += step * (s.in_flight as f64 - s.mean_in_flight);
            s.slow_start_charges
                .retain(|c| c.0 + self.settings.rules.fall_us >= now);
        }
        let under_way = |o: &&OpenRequest| {
            let since = |a: &Attempt| now.saturating_sub(a.sent_at) as f64 / 1e6;
            // What is stuck is lost rather than filled.
            let fills =
                |a: &Attempt| since(a) > 1.5 * o.transfer_s + ROUND_TRIP_S && now <= a.stuck_after;
            o.in_flight
                .as_ref()
                .is_some_and(|a| fills(a) && self.is_healthy(a.server, now))
        };
        self.active_fills = self.requests.values().filter(under_way).count() as f64;
        self.mean_active_fills += step * (self.active_fills - self.mean_active_fills);
        let mut overdue: BTreeMap<ServerId, (usize, Micros)> = BTreeMap::new();
        for a in self
            .requests
            .values()
            .filter_map(|o| o.in_flight.as_ref())
            .filter(|a| a.overdue_at < now)
        {
            for id in [Some(a.server), a.source].into_iter().flatten() {
                let entry = overdue.entry(id).or_insert((0, a.sent_at));
                *entry = (entry.0 + 1, entry.1.min(a.sent_at));
            }
        }
        for (id, (count, since)) in overdue {
            let Some(s) = self.endpoints.get_mut(&id) else {
                continue;
            };
            if (count >= MIN_OVERDUE || s.trial_in_flight) && s.last_success < since {
                Self::eject(s, now);
            }
        }
        for (id, o) in &mut self.requests {
            let safe = self.settings.classes[o.class].repeat == Repeat::Safe && !o.streaming;
            let Some(a) = o
                .in_flight
                .as_mut()
                .filter(|a| self.settings.cancel && safe && !a.cancelled)
            else {
                continue;
            };
            let silent = |id: &ServerId| {
                self.endpoints
                    .get(id)
                    .is_some_and(|s| now < s.ejected_until && s.last_success < a.sent_at)
            };
            let hangs =
                a.overdue_at < now && (silent(&a.server) || a.source.as_ref().is_some_and(silent));
            if hangs || now > a.stuck_after {
                a.stuck = !hangs;
                a.cancelled = true;
                actions.push(Action::Cancel {
                    request: *id,
                    attempt: a.number,
                });
            }
        }
    }
}
