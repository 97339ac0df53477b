//! An attempt as it is sent: how its miss is filled, and what is remembered of it.

use super::state::{Attempt, OpenRequest, Role, Target};
use super::Router;
use crate::interface::{Action, Fill, Micros, RequestId};
use linnetknot_purges::KeyHash;

/// Asked for again while counted: kept at rank 2, so no scan pushes it out.
const RETAINED_PART_COUNT: f64 = 1.3;
/// Stuck: so many times as long as nearly all answers of its class.
const STUCK_FACTOR: f64 = 2.2;
/// An attempt is overdue after this, and `OVERDUE_FACTOR` its usual time.
const OVERDUE_US: Micros = 250_000;
/// See `OVERDUE_US`.
const OVERDUE_FACTOR: f64 = 2.0;

impl Router {
    pub(super) fn send(
        &mut self,
        now: Micros,
        id: RequestId,
        target: Target,
        actions: &mut Vec<Action>,
    ) {
        let (server, source) = target;
        let Some(open) = self.requests.get(&id) else {
            return;
        };
        let bound = STUCK_FACTOR
            * self.tail_factor[open.class]
            * self.expected_s(open)
            * f64::from(1 << open.stuck.min(4));
        let server_load = self.endpoints.get(&server).map_or(0.0, |s| self.load(s)) + 1.0;
        let link_fills = self.link_fills() + 1.0;
        let may_reach_origin = self.may_reach_origin(now, open);
        let fills_from_upstream = source.is_some_and(|id| {
            self.endpoints
                .get(&id)
                .is_some_and(|s| s.role != Role::Cache)
        });
        let max_age_us = self.max_age_us(now, open);
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        let class = &self.settings.classes[open.class];
        let fill = Fill {
            source: source.unwrap_or(server),
            keep: if class.write {
                0
            } else {
                1 + u8::from(open.part_count >= RETAINED_PART_COUNT)
            },
            max_age_us,
            join: self.settings.joins && !class.write,
            only_held: !class.write && source.is_some() && !may_reach_origin,
            bypass_parent: false,
            renew: class.fresh_us > 0 && open.part_count >= RETAINED_PART_COUNT,
        };
        let direct = self
            .endpoints
            .get(&server)
            .is_some_and(|s| s.role != Role::Cache);
        let attempt = Attempt {
            number: open.attempts,
            server,
            source,
            sent_at: now,
            overdue_at: now + OVERDUE_US + (OVERDUE_FACTOR * open.transfer_s * 1e6) as Micros,
            server_load,
            link_fills,
            cancelled: false,
            stuck_after: now + (bound * 1e6) as Micros,
            stuck: false,
            fills_from_upstream,
            may_reach_origin: fills_from_upstream && !fill.only_held,
        };
        open.attempts += 1;
        self.active_fills += self.miss_rate;
        open.in_flight = Some(attempt);
        for s in [Some(server), source].into_iter().flatten() {
            if let Some(known) = self.endpoints.get_mut(&s) {
                known
                    .slow_start_charges
                    .push_back((now, self.usual_transfer_s[open.class].0, id));
                known.trial_in_flight = known.ejections > 0;
            }
        }
        self.endpoints
            .get_mut(&server)
            .into_iter()
            .for_each(|known| known.in_flight += 1);
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
    pub(super) fn max_age_us(&self, now: Micros, open: &OpenRequest) -> Option<Micros> {
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
