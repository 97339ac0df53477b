//! How long a suspect has to refute: long while one proxy alone suspects it, which may be the slow one itself, and short
//! once others that could not reach it either say so.

use crate::{Id, Micros};
use std::collections::BTreeSet;

/// Independent confirmations after which the time is at its shortest, where there are members enough to give them.
const MAX_CONFIRMATIONS: usize = 3;

/// A suspicion that runs.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    since: Micros,
    least: Micros,
    most: Micros,
    enough: usize,
    /// Who suspects it. Whoever repeats itself confirms nothing.
    by: BTreeSet<Id>,
}

impl Suspicion {
    /// One that `by` began. The more members there are, the longer a refutation takes to come round.
    pub(crate) fn new(now: Micros, by: Id, members: usize, period: Micros) -> Self {
        let rounds = (members.max(2) as f64).log10().max(1.0);
        let least = (3.0 * rounds * period as f64) as Micros;
        // Besides the suspect and whoever began it.
        let enough = MAX_CONFIRMATIONS.min(members.saturating_sub(2));
        Suspicion {
            since: now,
            least,
            most: least * 5,
            enough,
            by: BTreeSet::from([by]),
        }
    }

    /// Another suspects it too; true where that was new.
    pub(crate) fn confirm(&mut self, by: Id) -> bool {
        self.by.len() <= self.enough && self.by.insert(by)
    }

    /// When the suspect is dead, unless it refutes.
    pub(crate) fn until(&self) -> Micros {
        let confirmed = (self.by.len() - 1).min(self.enough) as f64;
        // With nobody to confirm it, nobody is waited for.
        let share = if self.enough == 0 {
            1.0
        } else {
            (confirmed + 1.0).ln() / (self.enough as f64 + 1.0).ln()
        };
        self.since + self.most - ((self.most - self.least) as f64 * share) as Micros
    }

    /// The one that waits stood still itself: what it did not hear in that time says nothing of the suspect.
    pub(crate) fn put_off(&mut self, by: Micros) {
        self.since += by;
    }
}
