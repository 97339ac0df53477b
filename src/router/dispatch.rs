//! Sends attempts: determines how a miss is filled and records the attempt.

use super::state::{Attempt, Charge, Endpoint, OpenRequest, Role, Target};
use super::Router;
use crate::interface::{Action, Fill, Micros, RequestId, ServerId};

/// Request count from which a part is cached at rank 2, where scans of other objects do not evict it.
const RETAINED_PART_COUNT: f64 = 1.3;
/// An attempt is stuck after this multiple of the duration that nearly all answers of its class stay within.
const STUCK_FACTOR: f64 = 2.2;
/// Maximum number of times that the stuck timeout is doubled for a request whose earlier attempts were stuck.
const MAX_STUCK_DOUBLINGS: u32 = 4;
/// An attempt without an answer is overdue after this time plus `OVERDUE_FACTOR` times its transfer time.
const OVERDUE_US: Micros = 250_000;
/// Multiple of the transfer time in the overdue timeout; see `OVERDUE_US`.
const OVERDUE_FACTOR: f64 = 2.0;

impl Router {
    /// Sends an attempt of a request.
    pub(super) fn send(
        &mut self,
        now: Micros,
        id: RequestId,
        target: Target,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.requests.get(&id) else {
            return;
        };
        let fill = self.fill_for(now, open, target);
        let attempt = self.new_attempt(now, open, target, &fill);
        let transfer_s = self.class_statistics[open.class].transfer_s;
        if let Some(open) = self.requests.get_mut(&id) {
            open.attempts += 1;
            open.in_flight = Some(attempt);
        }
        self.active_fills += self.miss_rate;
        for server in [Some(target.server), target.source].into_iter().flatten() {
            let charge = Charge {
                at: now,
                transfer_s,
                request: id,
            };
            self.charge(server, charge);
        }
        if let Some(server) = self.endpoints.get_mut(&target.server) {
            server.in_flight += 1;
        }
        actions.push(Action::Attempt {
            request: id,
            server: target.server,
            timeout_us: None,
            fill: Some(fill),
        });
    }

    /// Returns how a miss is filled and cached.
    fn fill_for(&self, now: Micros, open: &OpenRequest, target: Target) -> Fill {
        let class = &self.settings.classes[open.class];
        let retained = open.part_count >= RETAINED_PART_COUNT;
        let target_is_cache = !self.is_upstream(target.server);
        let rank = if class.write {
            0
        } else {
            1 + u8::from(retained)
        };
        Fill {
            source: target.source.unwrap_or(target.server),
            cache_rank: if target_is_cache { rank } else { 0 },
            max_age_us: self.max_age_us(now, open),
            coalesce: target_is_cache && self.settings.coalesces_fills && !class.write,
            only_if_cached: !class.write
                && target.source.is_some()
                && !self.may_reach_origin(now, open),
            bypass_parent: false,
            background_refresh: target_is_cache && class.fresh_us > 0 && retained,
        }
    }

    fn new_attempt(&self, now: Micros, open: &OpenRequest, target: Target, fill: &Fill) -> Attempt {
        let server = self.endpoints.get(&target.server);
        let fills_from_upstream = target.source.is_some_and(|id| self.is_upstream(id));
        let stuck_s = STUCK_FACTOR
            * self.class_statistics[open.class].tail_factor
            * self.expected_s(open)
            * f64::from(1 << open.stuck.min(MAX_STUCK_DOUBLINGS));
        Attempt {
            number: open.attempts,
            server: target.server,
            source: target.source,
            location: server.map(Endpoint::location),
            sent_at: now,
            overdue_at: now
                .saturating_add(OVERDUE_US)
                .saturating_add((OVERDUE_FACTOR * open.transfer_s * 1e6) as Micros),
            server_load: server.map_or(0.0, |server| self.load(server)) + 1.0,
            link_fills: self.link_fills() + 1.0,
            cancelled: false,
            stuck_after: now.saturating_add((stuck_s * 1e6) as Micros),
            stuck: false,
            fills_from_upstream,
            may_reach_origin: fills_from_upstream && !fill.only_if_cached,
        }
    }

    /// Returns whether a server is a parent or the origin.
    fn is_upstream(&self, id: ServerId) -> bool {
        let server = self.endpoints.get(&id);
        server.is_some_and(|server| server.role != Role::Cache)
    }

    /// Charges the slow-start budget of a server that receives an attempt or is the source of its fill. The first
    /// attempt to a server after its ejection is its trial.
    fn charge(&mut self, id: ServerId, charge: Charge) {
        if let Some(server) = self.endpoints.get_mut(&id) {
            server.slow_start_charges.push_back(charge);
            server.trial_in_flight = server.ejections > 0;
        }
    }
}
