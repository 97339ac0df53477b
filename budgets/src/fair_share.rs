//! How much each holder should have, by need: nobody gets more than it demands, what some do not want goes to the others in
//! equal shares, and a reserve is kept for whoever comes next.

use crate::{Amount, MemberIndex, Micros};
use std::collections::BTreeMap;

/// What holders said they want, and when.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Demands(BTreeMap<MemberIndex, (Amount, Micros)>);

/// One share in so many is kept for newcomers.
const NEWCOMER_DIVISOR: Amount = 25;

impl Demands {
    /// A holder wants so much. One that said nothing for `forget_us` wants nothing.
    pub(crate) fn set(&mut self, now: Micros, holder: MemberIndex, demand: Amount, forget_us: Micros) {
        self.0.retain(|_, (_, at)| *at + forget_us > now);
        self.0.insert(holder, (demand, now));
    }

    /// A holder's fair lease of so much.
    pub(crate) fn fair_share(&self, holder: MemberIndex, shared: Amount) -> Amount {
        let mut left = shared - shared / NEWCOMER_DIVISOR;
        let mut demands: Vec<(Amount, MemberIndex)> =
            self.0.iter().map(|(place, (w, _))| (*w, *place)).collect();
        // The most modest first: what they leave is the others'.
        demands.sort_unstable();
        let mut others = demands.len() as u64;
        for (demand, place) in demands {
            let share = demand.min(left / others);
            if place == holder {
                return share;
            }
            left -= share;
            others -= 1;
        }
        0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_modest_get_what_they_want_and_the_others_share_what_is_left() {
        let mut demands = Demands::default();
        for (holder, demand) in [(0, 10), (1, 1_000), (2, 1_000), (3, 0)] {
            demands.set(5, holder, demand, 100);
        }
        let shares: Vec<Amount> = (0..5).map(|holder| demands.fair_share(holder, 200)).collect();
        assert_eq!(shares, [10, 91, 91, 0, 0], "a part in 25 is kept for the next");
        demands.set(106, 1, 1_000, 100);
        assert_eq!(demands.fair_share(1, 200), 192, "those that said nothing for long want nothing");
    }
}
