//! What a divider has granted of one budget, and what it may grant: the sum of all that may be spent or felt still,
//! whether the holders have heard of their parts or not, is never over what there is to share.

use crate::{Amount, Life, Micros, Place};
use std::collections::BTreeMap;

/// A part granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Grant {
    /// The life of the holder that asked for it.
    life: Life,
    /// Its question.
    number: u64,
    amount: Amount,
    /// Until when what was spent of it may be felt.
    until: Micros,
}

/// What is known of one holder.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Holder {
    life: Life,
    /// The last question of that life.
    last: u64,
    grants: Vec<Grant>,
}

impl Holder {
    /// The most that may be felt of what it spends. In one life it takes one part for another, and may have missed the
    /// later one; what a life before it spent comes on top.
    fn most(&self) -> Amount {
        let mut lives = BTreeMap::<Life, Amount>::new();
        for grant in &self.grants {
            let most = lives.entry(grant.life).or_default();
            *most = grant.amount.max(*most);
        }
        lives.into_values().sum()
    }
}

/// What a holder says of itself when it asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Said {
    pub(crate) holder: Place,
    pub(crate) life: Life,
    /// Its question.
    pub(crate) number: u64,
    /// The question that brought the part which is in force at it.
    pub(crate) of: u64,
    /// What is felt still of what it spent beyond its floor.
    pub(crate) felt: Amount,
}

/// Parts granted, by holder.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Granted(BTreeMap<Place, Holder>);

impl Granted {
    fn sweep(&mut self, now: Micros) {
        for holder in self.0.values_mut() {
            holder.grants.retain(|grant| grant.until > now);
        }
    }

    /// Takes in what a holder says: false where it was overtaken, or another life has asked since.
    ///
    /// A holder that has taken a later part for an earlier one never goes back to that, so that what it gave up need not
    /// be counted for all its time; only what is felt of it still.
    pub(crate) fn heard(&mut self, now: Micros, said: Said) -> bool {
        self.sweep(now);
        let holder = self.0.entry(said.holder).or_default();
        if (said.life, said.number) <= (holder.life, holder.last) {
            return false;
        }
        (holder.life, holder.last) = (said.life, said.number);
        let in_force = |grant: &&Grant| grant.life == said.life && grant.number == said.of;
        let Some(amount) = holder.grants.iter().find(in_force).map(|grant| grant.amount) else {
            return true;
        };
        let given_up = |grant: &Grant| grant.life == said.life && grant.number < said.of;
        let until = holder.grants.iter().filter(|grant| given_up(grant)).map(|grant| grant.until).max();
        holder.grants.retain(|grant| !given_up(grant));
        if let Some(until) = until.filter(|_| said.felt > amount) {
            holder.grants.push(Grant { life: said.life, number: said.of, amount: said.felt, until });
        }
        true
    }

    /// The most of a holder that may be felt.
    pub(crate) fn of(&self, holder: Place) -> Amount {
        self.0.get(&holder).map_or(0, Holder::most)
    }

    /// The most that may be felt of each.
    pub(crate) fn all(&self) -> impl Iterator<Item = (Place, Amount)> + '_ {
        self.0.iter().map(|(place, holder)| (*place, holder.most()))
    }

    /// Grants up to `wanted`, to be felt until a time at most, as far as `shared` leaves.
    pub(crate) fn grant(&mut self, said: Said, wanted: Amount, shared: Amount, until: Micros) -> Amount {
        let Some(holder) = self.0.get(&said.holder) else { return 0 };
        let own =
            holder.grants.iter().filter(|grant| grant.life == said.life).map(|grant| grant.amount).max();
        let others = self.all().map(|(_, most)| most).sum::<Amount>() - own.unwrap_or(0);
        let amount = wanted.min(shared.saturating_sub(others));
        // Nothing is a part, too: that its holder goes by it says that it has given the one before up.
        if let Some(holder) = self.0.get_mut(&said.holder) {
            holder.grants.push(Grant { life: said.life, number: said.number, amount, until });
        }
        amount
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn said(holder: Place, life: Life, number: u64, of: u64, felt: Amount) -> Said {
        Said { holder, life, number, of, felt }
    }

    /// Asks for so much of a hundred, until a time.
    fn ask(all: &mut Granted, now: Micros, said: Said, wanted: Amount, until: Micros) -> Option<Amount> {
        all.heard(now, said).then(|| all.grant(said, wanted, 100, until))
    }

    #[test]
    fn a_smaller_part_counts_once_its_holder_has_taken_it_and_what_it_spent_before_as_long_as_it_is_felt() {
        let mut all = Granted::default();
        assert_eq!(ask(&mut all, 0, said(1, 1, 1, 0, 0), 80, 100), Some(80));
        // It wants less and has 50 out; whether it has heard of the smaller part is not known.
        assert_eq!(ask(&mut all, 10, said(1, 1, 2, 1, 50), 10, 110), Some(10));
        assert_eq!((all.of(1), ask(&mut all, 10, said(2, 1, 1, 0, 0), 99, 110)), (80, Some(20)));
        // It has, and 50 are felt still, until the first part would have been over.
        assert_eq!(ask(&mut all, 20, said(1, 1, 3, 2, 50), 10, 120), Some(10));
        assert_eq!((all.of(1), ask(&mut all, 20, said(2, 1, 2, 1, 20), 99, 120)), (50, Some(50)));
        assert_eq!(ask(&mut all, 30, said(1, 1, 4, 3, 5), 10, 130), Some(10));
        assert_eq!((all.of(1), ask(&mut all, 30, said(2, 1, 3, 2, 50), 99, 130)), (10, Some(90)));
    }

    #[test]
    fn a_word_that_was_overtaken_gives_nothing_up_and_gets_nothing() {
        let mut all = Granted::default();
        ask(&mut all, 0, said(1, 1, 1, 0, 0), 30, 100);
        ask(&mut all, 0, said(1, 1, 2, 1, 0), 60, 100);
        for (life, number) in [(1, 2), (1, 1), (0, 9)] {
            assert_eq!(ask(&mut all, 1, said(1, life, number, 1, 0), 99, 100), None);
        }
        assert_eq!(all.of(1), 60);
    }

    #[test]
    fn what_a_life_before_may_have_spent_comes_on_top() {
        let mut all = Granted::default();
        assert_eq!(ask(&mut all, 0, said(1, 1, 7, 0, 0), 60, 100), Some(60));
        // The next life gives the same numbers, and knows nothing of the one before.
        assert_eq!(ask(&mut all, 50, said(1, 2, 8, 7, 0), 60, 150), Some(40));
        assert_eq!((all.of(1), ask(&mut all, 50, said(2, 1, 1, 0, 0), 60, 150)), (100, Some(0)));
        assert_eq!(ask(&mut all, 100, said(2, 1, 2, 0, 0), 60, 200), Some(60));
    }
}
