//! How much each holder should have, by need: nobody gets more than it wants, what some do not want goes to the others in
//! equal parts, and a reserve is kept for whoever comes next.

use crate::{Amount, Micros, Place};
use std::collections::BTreeMap;

/// What holders said they want, and when.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Wants(BTreeMap<Place, (Amount, Micros)>);

/// One part in so many is kept for newcomers.
const RESERVE: Amount = 25;

impl Wants {
    /// A holder wants so much. One that said nothing for `forget_us` wants nothing.
    pub(crate) fn say(&mut self, now: Micros, holder: Place, wanted: Amount, forget_us: Micros) {
        self.0.retain(|_, (_, at)| *at + forget_us > now);
        self.0.insert(holder, (wanted, now));
    }

    /// A holder's fair part of so much.
    pub(crate) fn fair(&self, holder: Place, shared: Amount) -> Amount {
        let mut left = shared - shared / RESERVE;
        let mut wants: Vec<(Amount, Place)> = self.0.iter().map(|(place, (w, _))| (*w, *place)).collect();
        // The most modest first: what they leave is the others'.
        wants.sort_unstable();
        let mut others = wants.len() as u64;
        for (wanted, place) in wants {
            let part = wanted.min(left / others);
            if place == holder {
                return part;
            }
            left -= part;
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
        let mut wants = Wants::default();
        for (holder, wanted) in [(0, 10), (1, 1_000), (2, 1_000), (3, 0)] {
            wants.say(5, holder, wanted, 100);
        }
        let parts: Vec<Amount> = (0..5).map(|holder| wants.fair(holder, 200)).collect();
        assert_eq!(parts, [10, 91, 91, 0, 0], "a part in 25 is kept for the next");
        wants.say(106, 1, 1_000, 100);
        assert_eq!(wants.fair(1, 200), 192, "those that said nothing for long want nothing");
    }
}
