//! The allocator's side of a budget: what it grants to whom.

use crate::fair_share::Demands;
use crate::ledger::{Ledger, OutstandingGrant};
use crate::{Amount, LeaseRequest, MemberIndex, MemberProcess, Micros};

/// What an allocator knows of one budget's demands and grants.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Allocation {
    ledger: Ledger,
    demands: Demands,
}

/// The bounds of a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GrantTerms {
    /// What there is to share among all holders.
    pub(crate) leasable: Amount,
    /// The most that this holder may have.
    pub(crate) max_amount: Amount,
    /// Until when what is spent of the lease may be unsettled.
    pub(crate) settled_at: Micros,
    /// How long a demand counts that is not repeated.
    pub(crate) demand_lifetime_us: Micros,
}

impl Allocation {
    /// Grants a lease; none where a later request came before this one.
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

    /// A lease grows at once and shrinks by halves, so that it does not swing with each request.
    fn next_amount(&self, holder: MemberIndex, demand: Amount, share: Amount) -> Amount {
        let outstanding = self.ledger.outstanding(holder);
        if share < outstanding && demand > 0 {
            share + (outstanding - share) / 2
        } else {
            share
        }
    }

    /// Returns what each holder may spend or have unsettled.
    pub(crate) fn outstanding(&self) -> impl Iterator<Item = OutstandingGrant> + '_ {
        self.ledger
            .outstanding_by_holder()
            .filter(|grant| grant.amount > 0)
    }
}
