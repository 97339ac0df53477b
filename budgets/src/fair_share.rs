//! How much each holder should have: nobody gets more than its demand, what some do not demand goes to the others in equal
//! shares, and a part is reserved for newcomers.

use crate::{Amount, MemberIndex, Micros};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// One part in so many is reserved for newcomers.
const NEWCOMER_DIVISOR: Amount = 25;

/// A holder's demand, and when it was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct KnownDemand {
    amount: Amount,
    received_at: Micros,
}

/// The demands of all holders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Demands(BTreeMap<MemberIndex, KnownDemand>);

impl Demands {
    /// Sets a holder's demand, and forgets those that were not repeated within `lifetime_us`.
    pub(crate) fn set(
        &mut self,
        now: Micros,
        holder: MemberIndex,
        amount: Amount,
        lifetime_us: Micros,
    ) {
        self.0
            .retain(|_, demand| now < demand.received_at + lifetime_us);
        self.0.insert(
            holder,
            KnownDemand {
                amount,
                received_at: now,
            },
        );
    }

    /// Returns a holder's fair share of so much.
    pub(crate) fn fair_share(&self, holder: MemberIndex, leasable: Amount) -> Amount {
        let mut demands: Vec<(Amount, MemberIndex)> = self
            .0
            .iter()
            .map(|(holder, demand)| (demand.amount, *holder))
            .collect();
        // The smallest first: what they leave goes to the others.
        demands.sort_unstable();
        let mut available = leasable - leasable / NEWCOMER_DIVISOR;
        let mut remaining = demands.len() as u64;
        for (demand, member) in demands {
            let share = demand.min(available / remaining);
            if member == holder {
                return share;
            }
            available -= share;
            remaining -= 1;
        }
        0
    }
}
