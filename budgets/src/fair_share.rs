//! The fair share of each holder, by max-min fairness. Small demands are met in full, and the rest is divided equally
//! among the holders with larger demands. A part of the leasable amount is reserved for holders that have no demand
//! yet.

use crate::{Amount, MemberIndex, Micros};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Divisor of the leasable amount. The result is the amount that is reserved for new holders.
const NEWCOMER_DIVISOR: Amount = 25;

/// A holder's demand and the time at which it was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct KnownDemand {
    amount: Amount,
    received_at: Micros,
}

/// The demands of all holders that have repeated them recently.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Demands(BTreeMap<MemberIndex, KnownDemand>);

impl Demands {
    /// Sets a holder's demand, and removes demands that were not repeated within `lifetime_us`.
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

    /// Returns a holder's fair share of the leasable amount.
    pub(crate) fn fair_share(&self, holder: MemberIndex, leasable: Amount) -> Amount {
        let mut demands: Vec<(Amount, MemberIndex)> = self
            .0
            .iter()
            .map(|(holder, demand)| (demand.amount, *holder))
            .collect();
        // Holders with the smallest demands come first, because the others share what these holders leave.
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
