//! What an allocator has granted of one budget, and what it may grant: the sum of all that may be spent or unsettled,
//! whether the holders have received their leases or not, is never over what there is to share.

use crate::{Amount, LeaseRequest, MemberIndex, MemberProcess, Micros, ProcessId};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// A lease granted to a process of a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Grant {
    process: ProcessId,
    /// The number of the request that it answers.
    number: u64,
    amount: Amount,
    /// Until when what was spent of it may be unsettled.
    settled_at: Micros,
}

/// The grants to one holder.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct HolderGrants {
    /// The process of the last request.
    process: ProcessId,
    /// The number of the last request of that process.
    last_number: u64,
    grants: Vec<Grant>,
}

impl HolderGrants {
    /// Returns the most that the holder may spend or have unsettled. A process replaces one lease by the next and may not
    /// have received the last one, so its largest counts; what its earlier processes spent comes on top.
    fn outstanding(&self) -> Amount {
        let mut by_process = BTreeMap::<ProcessId, Amount>::new();
        for grant in &self.grants {
            let largest = by_process.entry(grant.process).or_default();
            *largest = grant.amount.max(*largest);
        }
        by_process.into_values().sum()
    }

    /// Returns the largest grant to one process.
    fn largest_of(&self, process: ProcessId) -> Amount {
        let own = self.grants.iter().filter(|grant| grant.process == process);
        own.map(|grant| grant.amount).max().unwrap_or(0)
    }

    /// Drops the grants that the holder gave up for a later one. It never returns to them, so that they need not be counted
    /// until they expire, except for what is unsettled of them.
    fn drop_replaced(&mut self, process: ProcessId, request: &LeaseRequest) {
        let is_current =
            |grant: &&Grant| grant.process == process && grant.number == request.current_lease;
        let Some(current) = self.grants.iter().find(is_current).copied() else {
            return;
        };
        let is_replaced = |grant: &Grant| grant.process == process && grant.number < current.number;
        let replaced = self.grants.iter().filter(|grant| is_replaced(grant));
        let settled_at = replaced.map(|grant| grant.settled_at).max();
        self.grants.retain(|grant| !is_replaced(grant));
        if let Some(settled_at) = settled_at.filter(|_| request.unsettled > current.amount) {
            self.grants.push(Grant {
                amount: request.unsettled,
                settled_at,
                ..current
            });
        }
    }
}

/// What a holder may spend or have unsettled, beyond its reserved minimum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct OutstandingGrant {
    /// The holder.
    pub holder: MemberIndex,
    /// How much.
    pub amount: Amount,
}

/// The grants to all holders of one budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Ledger(BTreeMap<MemberIndex, HolderGrants>);

impl Ledger {
    /// Records a holder's request. Returns false where a later request, or one of a later process, came before it.
    pub(crate) fn record(
        &mut self,
        now: Micros,
        from: MemberProcess,
        request: &LeaseRequest,
    ) -> bool {
        self.drop_expired(now);
        let holder = self.0.entry(from.member).or_default();
        if (from.process, request.number) <= (holder.process, holder.last_number) {
            return false;
        }
        holder.process = from.process;
        holder.last_number = request.number;
        holder.drop_replaced(from.process, request);
        true
    }

    fn drop_expired(&mut self, now: Micros) {
        for holder in self.0.values_mut() {
            holder.grants.retain(|grant| grant.settled_at > now);
        }
    }

    /// Returns the most that a holder may spend or have unsettled.
    pub(crate) fn outstanding(&self, holder: MemberIndex) -> Amount {
        self.0.get(&holder).map_or(0, HolderGrants::outstanding)
    }

    /// Returns the same of each holder.
    pub(crate) fn outstanding_by_holder(&self) -> impl Iterator<Item = OutstandingGrant> + '_ {
        let outstanding = |(holder, grants): (&MemberIndex, &HolderGrants)| OutstandingGrant {
            holder: *holder,
            amount: grants.outstanding(),
        };
        self.0.iter().map(outstanding)
    }

    /// Grants a recorded request up to `target`, as far as `leasable` leaves; it may be unsettled until `settled_at`.
    pub(crate) fn grant(
        &mut self,
        from: MemberProcess,
        request: &LeaseRequest,
        target: Amount,
        leasable: Amount,
        settled_at: Micros,
    ) -> Amount {
        let total: Amount = self.outstanding_by_holder().map(|grant| grant.amount).sum();
        let Some(holder) = self.0.get_mut(&from.member) else {
            return 0;
        };
        let other_grants = total - holder.largest_of(from.process);
        let amount = target.min(leasable.saturating_sub(other_grants));
        // An empty lease is recorded, too: once it is in force, its holder has given up the one before.
        holder.grants.push(Grant {
            process: from.process,
            number: request.number,
            amount,
            settled_at,
        });
        amount
    }
}
