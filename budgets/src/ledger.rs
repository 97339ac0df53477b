//! What a divider has granted of one budget, and what it may grant: the sum of all parts that may be in force, whether
//! their holders have heard of them or not, is never over what there is to share.

use crate::{Amount, Micros, Place};
use std::collections::BTreeMap;

/// Parts granted, by holder; several of one holder may be under way at a time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Granted(BTreeMap<Place, Vec<(Amount, Micros)>>);

impl Granted {
    fn sweep(&mut self, now: Micros) {
        for parts in self.0.values_mut() {
            parts.retain(|(_, until)| *until > now);
        }
        self.0.retain(|_, parts| !parts.is_empty());
    }

    /// The most that a holder may have in force: it takes one grant for another, and may have missed the later one.
    pub(crate) fn of(&self, holder: Place) -> Amount {
        self.0.get(&holder).into_iter().flatten().map(|(amount, _)| *amount).max().unwrap_or(0)
    }

    fn all(&self) -> Amount {
        self.0.keys().map(|holder| self.of(*holder)).sum()
    }

    /// Grants up to `wanted` until a time, as far as `shared` leaves.
    pub(crate) fn grant(
        &mut self,
        now: Micros,
        (holder, wanted): (Place, Amount),
        shared: Amount,
        until: Micros,
    ) -> Amount {
        self.sweep(now);
        let others = self.all() - self.of(holder);
        let amount = wanted.min(shared.saturating_sub(others));
        if amount > 0 && until > now {
            self.0.entry(holder).or_default().push((amount, until));
        }
        amount
    }
}
