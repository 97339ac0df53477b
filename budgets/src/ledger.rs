//! An allocator's ledger of the outstanding grants of one budget. It limits the sum of all amounts that may be spent or
//! unsettled to the leasable amount, whether or not the holders have received their leases.

use crate::{Amount, LeaseRequest, MemberIndex, MemberProcess, Micros, ProcessId};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// A lease granted to a process of a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Grant {
    process: ProcessId,
    /// The number of the request that the grant answers.
    number: u64,
    amount: Amount,
    /// The time by which everything that is spent under the grant has settled.
    settled_at: Micros,
}

/// The outstanding grants to one holder, and its last request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct HolderGrants {
    /// The process of the last request.
    process: ProcessId,
    /// The number of the last request of that process.
    last_number: u64,
    grants: Vec<Grant>,
}

impl HolderGrants {
    /// Returns the maximum amount that the holder may spend or have unsettled. A process replaces one lease by the
    /// next, and may not have received the latest one, so only its largest grant counts. The grants of earlier
    /// processes are added.
    fn outstanding(&self) -> Amount {
        let mut by_process = BTreeMap::<ProcessId, Amount>::new();
        for grant in &self.grants {
            let largest = by_process.entry(grant.process).or_default();
            *largest = grant.amount.max(*largest);
        }
        by_process.into_values().sum()
    }

    /// Returns the amount of the largest grant to a process.
    fn largest_of(&self, process: ProcessId) -> Amount {
        let own = self.grants.iter().filter(|grant| grant.process == process);
        own.map(|grant| grant.amount).max().unwrap_or(0)
    }

    /// Drops the grants that the holder has replaced by a later one. The holder never uses them again, so only its
    /// unsettled spending under them still counts.
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

/// The amount that a holder may spend or have unsettled, beyond its reserved minimum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct OutstandingGrant {
    /// The member that holds the lease.
    pub holder: MemberIndex,
    /// The amount, which counts against the leasable amount.
    pub amount: Amount,
}

/// The grants to all holders of one budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Ledger(BTreeMap<MemberIndex, HolderGrants>);

impl Ledger {
    /// Records a holder's request. Returns false if a later request of the holder has already been recorded.
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

    /// Returns the maximum amount that a holder may spend or have unsettled.
    pub(crate) fn outstanding(&self, holder: MemberIndex) -> Amount {
        self.0.get(&holder).map_or(0, HolderGrants::outstanding)
    }

    /// Returns the outstanding amount of each holder.
    pub(crate) fn outstanding_by_holder(&self) -> impl Iterator<Item = OutstandingGrant> + '_ {
        let outstanding = |(holder, grants): (&MemberIndex, &HolderGrants)| OutstandingGrant {
            holder: *holder,
            amount: grants.outstanding(),
        };
        self.0.iter().map(outstanding)
    }

    /// Grants a recorded request and returns the amount. The amount is `target`, or less if the other grants leave less
    /// of `leasable`. Everything that is spent under the grant has settled by `settled_at`.
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
        // A grant of amount 0 is recorded too, because the holder replaces its previous lease by it.
        holder.grants.push(Grant {
            process: from.process,
            number: request.number,
            amount,
            settled_at,
        });
        amount
    }
}
