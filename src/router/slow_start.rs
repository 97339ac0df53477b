//! Slow start: limits the load that all routers together send to a server that has recently started.

use super::state::{Endpoint, Role};
use super::Router;
use crate::hashing::hash_to_unit;
use crate::interface::{Budget, Micros, ServerId, State};
use crate::ramp::{Ramp, GOLDEN_RATIO_CONJUGATE};
use linnetknot_purges::hashing::mix;

/// Usable fraction of a warming server's budget; the rest absorbs random variation.
const SLOW_START_UTILISATION: f64 = 0.55;

/// Slow-start budget of a server for one window of the overload rule, in seconds of transfer.
pub(super) struct SlowStartBudget {
    /// Maximum load that all routers together may send to the server.
    limit_s: f64,
    /// Load that this router has sent to the server within the window.
    used_s: f64,
}

impl Router {
    /// Returns the growth of a server's capacity after its start that routers may rely on.
    fn ramp_of(&self, server: &Endpoint) -> Ramp {
        let rules = &self.settings.rules;
        match server.role {
            Role::Parent => Ramp {
                initial_share: rules.parent_slow_start_share,
                duration_us: rules.parent_slow_start_us,
            },
            Role::Cache | Role::Origin => Ramp {
                initial_share: rules.slow_start_share,
                duration_us: rules.slow_start_us,
            },
        }
    }

    /// Returns the share of its capacity that a server has at a time; 1 once slow start is over.
    pub(super) fn warmth(&self, server: &Endpoint, at: Micros) -> f64 {
        server.warming_since().map_or(1.0, |since| {
            self.ramp_of(server).share_at(at.saturating_sub(since))
        })
    }

    /// Returns the highest fraction of its slow-start budget that this router has used at any warming cache, or parent
    /// if `parents` is set; `None` if no such server is warming up.
    pub fn max_slow_start_usage(&self, now: Micros, parents: bool) -> Option<f64> {
        let servers = self.endpoints.values();
        servers
            .filter(|server| (server.role == Role::Parent) == parents)
            .filter_map(|server| self.slow_start_budget(server, now))
            .map(|budget| budget.used_s / budget.limit_s)
            .reduce(f64::max)
    }

    /// Returns the slow-start budget of a server; `None` if it needs none.
    fn slow_start_budget(&self, server: &Endpoint, now: Micros) -> Option<SlowStartBudget> {
        let rules = &self.settings.rules;
        let window_us = rules.overload_window_us;
        // Uses the capacity in the middle of the window, because the overload rule sums the load over the whole window.
        let warmth = self.warmth(server, now.saturating_sub(window_us / 2));
        if warmth >= 1.0 || server.role == Role::Origin || server.state != State::Ready {
            return None;
        }
        let overload = match server.role {
            Role::Parent => rules.parent_overload_multiple,
            Role::Cache | Role::Origin => rules.overload_multiple,
        };
        let capacity = self.capacity(server);
        let window_s = window_us as f64 / 1e6;
        let recent = server.slow_start_charges.iter();
        Some(SlowStartBudget {
            limit_s: SLOW_START_UTILISATION * overload * warmth * capacity * window_s,
            used_s: recent
                .filter(|charge| charge.at.saturating_add(window_us) >= now)
                .map(|charge| charge.transfer_s)
                .sum(),
        })
    }

    /// Returns whether a request fits into this router's share of a warming server's budget, to which retries and fills
    /// are charged too.
    ///
    /// If the share is below one request, the router sends one request per send slot, sized for the class with the
    /// longest typical transfer.
    pub(super) fn admits_in_slow_start(
        &self,
        id: ServerId,
        server: &Endpoint,
        now: Micros,
        transfer_s: f64,
    ) -> bool {
        let Some(budget) = self.slow_start_budget(server, now) else {
            return true;
        };
        let own_limit_s = budget.limit_s * self.own_budget_share(server, now);
        let transfers = self.class_statistics.iter().map(|class| class.transfer_s);
        let slot_s = transfers.fold(0.0, f64::max);
        let in_slot =
            own_limit_s < slot_s && self.in_own_send_slot(id, server, now, own_limit_s / slot_s);
        budget.used_s + transfer_s <= if in_slot { slot_s } else { own_limit_s }
    }

    /// Returns this router's share of a warming server's budget.
    fn own_budget_share(&self, server: &Endpoint, now: Micros) -> f64 {
        let zones = &self.settings.zones;
        match server.role {
            Role::Parent => {
                let routers = zones.iter().map(|zone| zone.routers).sum();
                self.budget_share(Budget::Parents, routers, now)
            }
            Role::Cache | Role::Origin => {
                let routers = zones[self.settings.zone].routers;
                self.budget_share(Budget::Caches, routers, now)
            }
        }
    }

    /// Returns whether a send slot of this router is open at a server. The slots derive from the router's index and from
    /// the server's id and start time, so a restarted router keeps its slots although it has lost its record of sent
    /// requests.
    fn in_own_send_slot(
        &self,
        id: ServerId,
        server: &Endpoint,
        now: Micros,
        slots_per_window: f64,
    ) -> bool {
        let since = server.warming_since().unwrap_or(0);
        let phase_offset = match self.settings.router_index {
            None => hash_to_unit(mix(self.seed)),
            Some(index) => GOLDEN_RATIO_CONJUGATE * f64::from(index),
        };
        let phase = hash_to_unit(mix(id ^ mix(since))) + phase_offset;
        let age = now.saturating_sub(since);
        let window_us = self.settings.rules.overload_window_us;
        self.ramp_of(server)
            .in_send_slot(age, slots_per_window, window_us, phase)
    }
}
