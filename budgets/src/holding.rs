//! The holder's side of a budget: the lease in force, and the demand for the next one.

use crate::pending::PendingRequests;
use crate::spec::BudgetSpec;
use crate::{Amount, LeaseGrant, LeaseRequest, Micros, Options};

/// The amount of a budget that a member may currently spend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    /// The amount, including the reserved minimum.
    pub amount: Amount,
    /// The time at which the lease expires unless it is renewed. [`Micros::MAX`] if the amount is the reserved minimum
    /// alone, which does not expire.
    pub until: Micros,
}

/// A member's demand for a budget beyond its reserved minimum.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Demand {
    /// The amount that the member would spend if it were granted.
    pub amount: Amount,
    /// The amount that the member has spent and that still occupies the resource.
    pub unsettled: Amount,
}

/// The lease that the holder accepted last, which may have expired.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct GrantedLease {
    /// The amount beyond the reserved minimum.
    amount: Amount,
    until: Micros,
    /// The number of the request that the lease answers; 0 if there was none.
    number: u64,
}

/// A member's state as a holder of one budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Holding {
    pub(crate) spec: BudgetSpec,
    demand: Demand,
    granted: GrantedLease,
    requests: PendingRequests,
    /// Whether the last change that was reported to the caller was the loss of the lease.
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

    /// Sets the demand from amounts that include the reserved minimum.
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

    /// Returns the lease in force, or the reserved minimum if there is none.
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

    /// Creates a lease request, and records it as sent.
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

    /// Accepts a lease. Returns false if it has expired or does not answer a pending request, or if a later lease has
    /// already been accepted.
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

    /// Returns whether only the reserved minimum is left, if that has changed since the last call that returned a
    /// value.
    pub(crate) fn reserved_only_change(&mut self, now: Micros) -> Option<bool> {
        let reserved_only = now >= self.granted.until;
        let reported = std::mem::replace(&mut self.reported_reserved_only, reserved_only);
        (reported != reserved_only).then_some(reserved_only)
    }
}
