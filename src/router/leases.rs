//! What this router may spend of the budgets that all routers share.

use super::state::Role;
use super::Router;
use crate::interface::{Budget, Lease, Micros};

impl Router {
    /// What this router may spend of a budget of all: by its lease, else one of so many equal shares.
    pub(super) fn budget_share(&self, budget: Budget, routers: u32, now: Micros) -> f64 {
        let leased = |lease: &Lease| {
            if now < lease.until {
                lease.amount
            } else {
                lease.reserved
            }
        };
        self.leases
            .get(&budget)
            .map_or(1.0 / f64::from(routers.max(1)), leased)
    }

    /// Requests from here that the origin holds, or may hold.
    pub fn asking(&self) -> usize {
        let origin = |id| {
            self.endpoints
                .get(&id)
                .is_some_and(|s| s.role == Role::Origin)
        };
        self.requests
            .values()
            .filter_map(|o| o.in_flight.as_ref())
            .filter(|a| a.may_reach_origin || origin(a.server))
            .count()
    }

    /// Whether the origin may hold one more: without a lease of its places there is no bound.
    pub(super) fn origin_has_capacity(&self, now: Micros) -> bool {
        let of = Budget::Origin;
        !self.leases.contains_key(&of)
            || self.asking() as f64 + 1.0 <= self.budget_share(of, 1, now)
    }
}
