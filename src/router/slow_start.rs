//! The rule on servers that have just started: each gets no more than it can bear while it warms up, from all routers
//! together.

use super::state::{Endpoint, Role};
use super::Router;
use crate::hashing::share_of;
use crate::interface::{Budget, Micros, ServerId, State};
use crate::ramp::{Ramp, GOLDEN};
use linnetknot_purges::hashing::mix;

/// Used share of a cold server's budget: the rest is slack for chance.
const SLOW_START_UTILISATION: f64 = 0.55;

impl Router {
    /// Share of its capacity that a server is sure to have, in a line from its cold share.
    fn ramp_of(&self, s: &Endpoint) -> Ramp {
        let r = &self.settings.rules;
        match s.role {
            Role::Parent => Ramp {
                share: r.parent_cold_share,
                cold_us: r.parent_cold_us,
            },
            _ => Ramp {
                share: r.cold_share,
                cold_us: r.cold_us,
            },
        }
    }

    pub(super) fn warmth(&self, s: &Endpoint, at: Micros) -> f64 {
        s.started.max(s.recovered_at).map_or(1.0, |started| {
            self.ramp_of(s).at(at.saturating_sub(started))
        })
    }

    /// The greatest share of what a cold cache, or parent, bears that was sent from here; none: none is cold.
    pub fn cold_use(&self, now: Micros, parents: bool) -> Option<f64> {
        let cold = self
            .endpoints
            .values()
            .filter(|s| (s.role == Role::Parent) == parents);
        cold.filter_map(|s| self.slow_start_budget(s, now))
            .map(|(bears, spent)| spent / bears)
            .reduce(f64::max)
    }

    /// What a cold server bears within the rule's window, and what was sent from here; none: it is warm.
    pub(super) fn slow_start_budget(&self, s: &Endpoint, now: Micros) -> Option<(f64, f64)> {
        let r = &self.settings.rules;
        // What it can do in the window's mean: by the time this is judged it can do more.
        let warmth = self.warmth(s, now.saturating_sub(r.fall_us / 2));
        if warmth >= 1.0 || s.role == Role::Origin || s.state != State::Ready {
            return None;
        }
        let multiple = if s.role == Role::Parent {
            r.parent_fall_multiple
        } else {
            r.fall_multiple
        };
        let bears = SLOW_START_UTILISATION
            * multiple
            * warmth
            * self.capacity(s)
            * (r.fall_us as f64 / 1e6);
        let spent = s
            .slow_start_charges
            .iter()
            .filter(|c| c.0 + r.fall_us >= now)
            .map(|c| c.1)
            .sum();
        Some((bears, spent))
    }

    /// Rule on cold servers: this router's share of the budget, retries and fills charged with the rest.
    pub(super) fn admits_in_slow_start(
        &self,
        id: ServerId,
        s: &Endpoint,
        now: Micros,
        transfer_s: f64,
    ) -> bool {
        let Some((bears, spent)) = self.slow_start_budget(s, now) else {
            return true;
        };
        let zones = &self.settings.zones;
        let share = match s.role {
            Role::Parent => {
                self.budget_share(Budget::Parents, zones.iter().map(|z| z.routers).sum(), now)
            }
            _ => self.budget_share(Budget::Caches, zones[self.settings.zone].routers, now),
        };
        // A share below one request is spent by turns, each of the largest class's usual work. A router
        // that starts again, and has forgotten what it sent, finds them where they were, by its number.
        let (budget, turn_s) = (
            bears * share,
            self.usual_transfer_s
                .iter()
                .map(|u| u.0)
                .fold(0.0, f64::max),
        );
        let since = s.started.max(s.recovered_at).unwrap_or(0);
        let number = self
            .settings
            .rank
            .map_or(share_of(mix(self.seed)), |rank| GOLDEN * f64::from(rank));
        let own = share_of(mix(id ^ mix(since))) + number;
        let (age, window) = (now.saturating_sub(since), self.settings.rules.fall_us);
        let turn = budget < turn_s && self.ramp_of(s).is_turn(age, budget / turn_s, window, own);
        spent + transfer_s <= if turn { turn_s } else { budget }
    }
}
