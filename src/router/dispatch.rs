//! An attempt as it is sent: how its miss is filled, and what is remembered of it.

use super::state::{Attempt, Open, Role, Target};
use super::Router;
use crate::interface::{Action, Fill, Micros, RequestId};
use linnetknot_purges::KeyHash;

/// Asked for again while counted: kept at rank 2, so no scan pushes it out.
const REPEAT_COUNT: f64 = 1.3;
/// Stuck: so many times as long as nearly all answers of its class.
const STUCK_TIMES: f64 = 2.2;
/// An attempt is overdue after this, and `OVERDUE_TIMES` its usual time.
const OVERDUE_US: Micros = 250_000;
/// See `OVERDUE_US`.
const OVERDUE_TIMES: f64 = 2.0;

impl Router {
    pub(super) fn send(
        &mut self,
        now: Micros,
        id: RequestId,
        target: Target,
        actions: &mut Vec<Action>,
    ) {
        let (server, source) = target;
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let bound = STUCK_TIMES
            * self.long[open.class]
            * self.base_s(open)
            * f64::from(1 << open.stuck.min(4));
        let held = self.servers.get(&server).map_or(0.0, |s| self.held(s)) + 1.0;
        let fills = self.fills() + 1.0;
        let may_ask = self.may_ask(now, open);
        let fetches =
            source.is_some_and(|id| self.servers.get(&id).is_some_and(|s| s.role != Role::Cache));
        let max_age_us = self.max_age_us(now, open);
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let class = &self.settings.classes[open.class];
        let fill = Fill {
            source: source.unwrap_or(server),
            keep: if class.write {
                0
            } else {
                1 + u8::from(open.repeats >= REPEAT_COUNT)
            },
            max_age_us,
            join: self.settings.joins && !class.write,
            only_held: !class.write && source.is_some() && !may_ask,
            bypass_parent: false,
            renew: class.fresh_us > 0 && open.repeats >= REPEAT_COUNT,
        };
        let direct = self
            .servers
            .get(&server)
            .is_some_and(|s| s.role != Role::Cache);
        let attempt = Attempt {
            number: open.attempts,
            server,
            source,
            sent: now,
            overdue_at: now + OVERDUE_US + (OVERDUE_TIMES * open.work_s * 1e6) as Micros,
            held,
            fills,
            cancelled: false,
            stuck_at: now + (bound * 1e6) as Micros,
            stuck: false,
            fetches,
            asks: fetches && !fill.only_held,
        };
        open.attempts += 1;
        self.filling += self.missing;
        open.out = Some(attempt);
        for s in [Some(server), source].into_iter().flatten() {
            if let Some(known) = self.servers.get_mut(&s) {
                known
                    .charged
                    .push_back((now, self.usual_s[open.class].0, id));
                known.on_trial = known.strikes > 0;
            }
        }
        self.servers
            .get_mut(&server)
            .into_iter()
            .for_each(|known| known.out += 1);
        let fill = if direct {
            Fill {
                keep: 0,
                join: false,
                renew: false,
                ..fill
            }
        } else {
            fill
        };
        actions.push(Action::Attempt {
            request: id,
            server,
            timeout_us: None,
            fill: Some(fill),
        });
    }

    /// The oldest copy that will do; none: whatever the class allows.
    pub(super) fn max_age_us(&self, now: Micros, open: &Open) -> Option<Micros> {
        let keys = [KeyHash::from(open.object), KeyHash::of_group(open.group)];
        let fresh = Some(self.settings.classes[open.class].fresh_us).filter(|us| *us > 0);
        let purged = keys
            .into_iter()
            .filter_map(|key| self.purges.latest(key))
            .max();
        purged.map(|at| {
            now.saturating_sub(at)
                .clamp(1, fresh.unwrap_or(Micros::MAX))
        })
    }
}
