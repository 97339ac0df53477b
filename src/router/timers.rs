//! What is done at each tick: averages move on, and attempts that are overdue or stuck are called off.

use super::state::{Attempt, Open};
use super::statistics::WAY_S;
use super::Router;
use crate::interface::{Action, Micros, Repeat, ServerId};
use std::collections::BTreeMap;

/// How often overdue attempts are looked for.
pub(super) const TICK_US: Micros = 50_000;
/// So many overdue and no answer since the first was sent: silent.
const OVERDUE_COUNT: usize = 2;
/// Own transfers are averaged over so many seconds to guess the other routers'.
const MEAN_S: f64 = 3.0;
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
        let step = TICK_US as f64 / 1e6 / MEAN_S;
        for s in self.servers.values_mut() {
            s.mean_out += step * (s.out as f64 - s.mean_out);
            s.charged
                .retain(|c| c.0 + self.settings.rules.fall_us >= now);
        }
        let under_way = |o: &&Open| {
            let since = |a: &Attempt| now.saturating_sub(a.sent) as f64 / 1e6;
            // What is stuck is lost rather than filled.
            let fills = |a: &Attempt| since(a) > 1.5 * o.work_s + WAY_S && now <= a.stuck_at;
            o.out
                .as_ref()
                .is_some_and(|a| fills(a) && self.is_well(a.server, now))
        };
        self.filling = self.open.values().filter(under_way).count() as f64;
        self.mean_filling += step * (self.filling - self.mean_filling);
        let mut overdue: BTreeMap<ServerId, (usize, Micros)> = BTreeMap::new();
        for a in self
            .open
            .values()
            .filter_map(|o| o.out.as_ref())
            .filter(|a| a.overdue_at < now)
        {
            for id in [Some(a.server), a.source].into_iter().flatten() {
                let entry = overdue.entry(id).or_insert((0, a.sent));
                *entry = (entry.0 + 1, entry.1.min(a.sent));
            }
        }
        for (id, (count, since)) in overdue {
            let Some(s) = self.servers.get_mut(&id) else {
                continue;
            };
            if (count >= OVERDUE_COUNT || s.on_trial) && s.last_ok < since {
                Self::mark(s, now);
            }
        }
        for (id, o) in &mut self.open {
            let safe = self.settings.classes[o.class].repeat == Repeat::Safe && !o.begun;
            let Some(a) = o
                .out
                .as_mut()
                .filter(|a| self.settings.cancel && safe && !a.cancelled)
            else {
                continue;
            };
            let silent = |id: &ServerId| {
                self.servers
                    .get(id)
                    .is_some_and(|s| now < s.marked_until && s.last_ok < a.sent)
            };
            let hangs =
                a.overdue_at < now && (silent(&a.server) || a.source.as_ref().is_some_and(silent));
            if hangs || now > a.stuck_at {
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
