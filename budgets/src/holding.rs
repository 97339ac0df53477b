//! The holder's side of a budget: what a member may spend of it, and what it asks for.

use crate::pending::PendingRequests;
use crate::spec::BudgetSpec;
use crate::{Amount, LeaseGrant, LeaseRequest, Micros, Options};

/// What a member may spend of a budget now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    /// How much, the reserved minimum included.
    pub amount: Amount,
    /// Until when, unless it is renewed. [`Micros::MAX`] where it is the reserved minimum alone, which does not expire.
    pub until: Micros,
}

/// What a member asks for of a budget, beyond its reserved minimum.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Demand {
    /// What it would spend if it could.
    pub amount: Amount,
    /// What it spent and is not settled.
    pub unsettled: Amount,
}

/// The lease that was granted last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct GrantedLease {
    /// How much, beyond the reserved minimum.
    amount: Amount,
    until: Micros,
    /// The number of the request that brought it; 0 where there was none.
    number: u64,
}

/// A member's holding of one budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Holding {
    pub(crate) spec: BudgetSpec,
    demand: Demand,
    granted: GrantedLease,
    requests: PendingRequests,
    /// Whether no lease was in force when that was last reported.
    reported_reserved_only: bool,
}

impl Holding {
    pub(crate) fn new(spec: BudgetSpec) -> Self {
        Holding {
            spec,
            demand: Demand::default(),
            granted: GrantedLease::default(),
            requests: PendingRequests::default(),
            reported_reserved_only: false,
        }
    }

    /// Sets the demand; the reserved minimum is included in both amounts.
    pub(crate) fn set_demand(&mut self, amount: Amount, unsettled: Amount) {
        let reserved = self.spec.reserved;
        self.demand = Demand {
            amount: amount.saturating_sub(reserved),
            unsettled: unsettled.saturating_sub(reserved),
        };
    }

    pub(crate) fn demand(&self) -> Demand {
        self.demand
    }

    /// Returns what may be spent now.
    pub(crate) fn lease(&self, now: Micros) -> Lease {
        let GrantedLease { amount, until, .. } = self.granted;
        if now < until {
            Lease {
                amount: self.spec.reserved + amount,
                until,
            }
        } else {
            Lease {
                amount: self.spec.reserved,
                until: Micros::MAX,
            }
        }
    }

    /// Returns a request for a lease, and records that it was sent.
    pub(crate) fn request(&mut self, now: Micros, budget: usize, number: u64) -> LeaseRequest {
        self.requests.insert(number, now);
        LeaseRequest {
            budget,
            number,
            demand: self.demand.amount,
            current_lease: self.granted.number,
            unsettled: self.demand.unsettled,
        }
    }

    /// Accepts a lease; false where it has expired, or a later one came before it.
    pub(crate) fn accept(&mut self, now: Micros, grant: LeaseGrant, options: &Options) -> bool {
        let duration_us = options.shortened_by_drift(grant.duration_us.min(options.max_lease_us));
        let until = self
            .requests
            .take(grant.number)
            .map_or(0, |sent_at| sent_at + duration_us);
        if grant.number < self.granted.number || until <= now {
            return false;
        }
        self.granted = GrantedLease {
            amount: grant.amount,
            until,
            number: grant.number,
        };
        true
    }

    /// Returns whether no lease is in force, where that is another than when it was last reported.
    pub(crate) fn reserved_only_change(&mut self, now: Micros) -> Option<bool> {
        let reserved_only = now >= self.granted.until;
        let reported = std::mem::replace(&mut self.reported_reserved_only, reserved_only);
        (reported != reserved_only).then_some(reserved_only)
    }
}
