//! What an allocator has granted of one budget, and what it may grant: the sum of all that may be spent or felt still,
//! whether the holders have heard of their leases or not, is never over what there is to share.

use crate::{Amount, MemberIndex, Micros, ProcessId};
use std::collections::BTreeMap;

/// A lease granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Grant {
    /// The process of the holder that asked for it.
    process: ProcessId,
    /// Its question.
    number: u64,
    amount: Amount,
    /// Until when what was spent of it may be felt.
    until: Micros,
}

/// What is known of one holder.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Holder {
    process: ProcessId,
    /// The last question of that process.
    last: u64,
    grants: Vec<Grant>,
}

impl Holder {
    /// The most that may be felt of what it spends. In one process it takes one lease for another, and may have missed the
    /// later one; what a process before it spent comes on top.
    fn outstanding(&self) -> Amount {
        let mut processes = BTreeMap::<ProcessId, Amount>::new();
        for grant in &self.grants {
            let most = processes.entry(grant.process).or_default();
            *most = grant.amount.max(*most);
        }
        processes.into_values().sum()
    }
}

/// What a holder says of itself when it asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LeaseRequest {
    pub(crate) holder: MemberIndex,
    pub(crate) process: ProcessId,
    /// Its question.
    pub(crate) number: u64,
    /// The question that brought the lease which is in force at it.
    pub(crate) current_lease: u64,
    /// What is felt still of what it spent beyond its reserved minimum.
    pub(crate) unsettled: Amount,
}

/// leases granted, by holder.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Ledger(BTreeMap<MemberIndex, Holder>);

impl Ledger {
    fn sweep(&mut self, now: Micros) {
        for holder in self.0.values_mut() {
            holder.grants.retain(|grant| grant.until > now);
        }
    }

    /// Takes in what a holder says: false where it was overtaken, or another process has asked since.
    ///
    /// A holder that has taken a later lease for an earlier one never goes back to that, so that what it gave up need not
    /// be counted for all its time; only what is felt of it still.
    pub(crate) fn record(&mut self, now: Micros, request: LeaseRequest) -> bool {
        self.sweep(now);
        let holder = self.0.entry(request.holder).or_default();
        if (request.process, request.number) <= (holder.process, holder.last) {
            return false;
        }
        (holder.process, holder.last) = (request.process, request.number);
        let in_force =
            |grant: &&Grant| grant.process == request.process && grant.number == request.current_lease;
        let Some(amount) = holder.grants.iter().find(in_force).map(|grant| grant.amount) else {
            return true;
        };
        let given_up =
            |grant: &Grant| grant.process == request.process && grant.number < request.current_lease;
        let until = holder.grants.iter().filter(|grant| given_up(grant)).map(|grant| grant.until).max();
        holder.grants.retain(|grant| !given_up(grant));
        if let Some(until) = until.filter(|_| request.unsettled > amount) {
            holder.grants.push(Grant {
                process: request.process,
                number: request.current_lease,
                amount: request.unsettled,
                until,
            });
        }
        true
    }

    /// The most of a holder that may be felt.
    pub(crate) fn outstanding(&self, holder: MemberIndex) -> Amount {
        self.0.get(&holder).map_or(0, Holder::outstanding)
    }

    /// The most that may be felt of each.
    pub(crate) fn outstanding_by_holder(&self) -> impl Iterator<Item = (MemberIndex, Amount)> + '_ {
        self.0.iter().map(|(holder_index, holder)| (*holder_index, holder.outstanding()))
    }

    /// Grants up to `demand`, to be felt until a time at most, as far as `shared` leaves.
    pub(crate) fn grant(
        &mut self,
        request: LeaseRequest,
        demand: Amount,
        shared: Amount,
        until: Micros,
    ) -> Amount {
        let Some(holder) = self.0.get(&request.holder) else { return 0 };
        let own = holder
            .grants
            .iter()
            .filter(|grant| grant.process == request.process)
            .map(|grant| grant.amount)
            .max();
        let others = self.outstanding_by_holder().map(|(_, most)| most).sum::<Amount>() - own.unwrap_or(0);
        let amount = demand.min(shared.saturating_sub(others));
        // Nothing is a lease, too: that its holder goes by it says that it has given the one before up.
        if let Some(holder) = self.0.get_mut(&request.holder) {
            holder.grants.push(Grant { process: request.process, number: request.number, amount, until });
        }
        amount
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn request(
        holder: MemberIndex,
        process: ProcessId,
        number: u64,
        current_lease: u64,
        unsettled: Amount,
    ) -> LeaseRequest {
        LeaseRequest { holder, process, number, current_lease, unsettled }
    }

    /// Asks for so much of a hundred, until a time.
    fn submit(
        ledger: &mut Ledger,
        now: Micros,
        request: LeaseRequest,
        demand: Amount,
        until: Micros,
    ) -> Option<Amount> {
        ledger.record(now, request).then(|| ledger.grant(request, demand, 100, until))
    }

    #[test]
    fn a_smaller_lease_counts_once_its_holder_has_taken_it_and_what_it_spent_before_as_long_as_it_is_unsettled(
    ) {
        let mut ledger = Ledger::default();
        assert_eq!(submit(&mut ledger, 0, request(1, 1, 1, 0, 0), 80, 100), Some(80));
        // It wants less and has 50 out; whether it has heard of the smaller lease is not known.
        assert_eq!(submit(&mut ledger, 10, request(1, 1, 2, 1, 50), 10, 110), Some(10));
        assert_eq!(
            (ledger.outstanding(1), submit(&mut ledger, 10, request(2, 1, 1, 0, 0), 99, 110)),
            (80, Some(20))
        );
        // It has, and 50 are felt still, until the first lease would have been over.
        assert_eq!(submit(&mut ledger, 20, request(1, 1, 3, 2, 50), 10, 120), Some(10));
        assert_eq!(
            (ledger.outstanding(1), submit(&mut ledger, 20, request(2, 1, 2, 1, 20), 99, 120)),
            (50, Some(50))
        );
        assert_eq!(submit(&mut ledger, 30, request(1, 1, 4, 3, 5), 10, 130), Some(10));
        assert_eq!(
            (ledger.outstanding(1), submit(&mut ledger, 30, request(2, 1, 3, 2, 50), 99, 130)),
            (10, Some(90))
        );
    }

    #[test]
    fn a_request_that_was_overtaken_gives_nothing_up_and_gets_nothing() {
        let mut ledger = Ledger::default();
        submit(&mut ledger, 0, request(1, 1, 1, 0, 0), 30, 100);
        submit(&mut ledger, 0, request(1, 1, 2, 1, 0), 60, 100);
        for (process, number) in [(1, 2), (1, 1), (0, 9)] {
            assert_eq!(submit(&mut ledger, 1, request(1, process, number, 1, 0), 99, 100), None);
        }
        assert_eq!(ledger.outstanding(1), 60);
    }

    #[test]
    fn what_a_process_before_may_have_spent_comes_on_top() {
        let mut ledger = Ledger::default();
        assert_eq!(submit(&mut ledger, 0, request(1, 1, 7, 0, 0), 60, 100), Some(60));
        // The next process gives the same numbers, and knows nothing of the one before.
        assert_eq!(submit(&mut ledger, 50, request(1, 2, 8, 7, 0), 60, 150), Some(40));
        assert_eq!(
            (ledger.outstanding(1), submit(&mut ledger, 50, request(2, 1, 1, 0, 0), 60, 150)),
            (100, Some(0))
        );
        assert_eq!(submit(&mut ledger, 100, request(2, 1, 2, 0, 0), 60, 200), Some(60));
    }
}
