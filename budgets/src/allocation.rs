//! The allocator's side of a budget, which decides the amount of each lease.

use crate::fair_share::Demands;
use crate::ledger::{Ledger, OutstandingGrant};
use crate::{Amount, LeaseRequest, MemberIndex, MemberProcess, Micros};

/// An allocator's state for one budget: the holders' demands and the outstanding grants.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Allocation {
    ledger: Ledger,
    demands: Demands,
}

/// The limits that a grant must respect, computed for each lease request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GrantTerms {
    /// The amount that can be leased to all holders together.
    pub(crate) leasable: Amount,
    /// The maximum amount for this holder.
    pub(crate) max_amount: Amount,
    /// The time by which everything that is spent under the lease has settled.
    pub(crate) settled_at: Micros,
    /// The time after which a demand no longer counts unless the holder has repeated it.
    pub(crate) demand_lifetime_us: Micros,
}

impl Allocation {
    /// Grants a lease. Returns its amount, or `None` if a later request of the holder has already been processed.
    pub(crate) fn grant(
        &mut self,
        now: Micros,
        from: MemberProcess,
        request: &LeaseRequest,
        terms: GrantTerms,
    ) -> Option<Amount> {
        if !self.ledger.record(now, from, request) {
            return None;
        }
        self.demands
            .set(now, from.member, request.demand, terms.demand_lifetime_us);
        let share = self
            .demands
            .fair_share(from.member, terms.leasable)
            .min(terms.max_amount);
        let target = self.next_amount(from.member, request.demand, share);
        Some(
            self.ledger
                .grant(from, request, target, terms.leasable, terms.settled_at),
        )
    }

    /// Returns the target amount of the next lease. A lease grows to a larger fair share at once, but shrinks only by
    /// half of the difference to a smaller one with each request, so that leases do not oscillate.
    fn next_amount(&self, holder: MemberIndex, demand: Amount, share: Amount) -> Amount {
        let outstanding = self.ledger.outstanding(holder);
        if share < outstanding && demand > 0 {
            share + (outstanding - share) / 2
        } else {
            share
        }
    }

    /// Returns the outstanding amount of each holder that has one.
    pub(crate) fn outstanding(&self) -> impl Iterator<Item = OutstandingGrant> + '_ {
        self.ledger
            .outstanding_by_holder()
            .filter(|grant| grant.amount > 0)
    }
}
