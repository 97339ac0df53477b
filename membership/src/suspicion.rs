//! How long a suspect has to refute: long while one member alone suspects it, which may itself be the slow one, and short
//! once others that could not reach it either confirm the suspicion.

use crate::{Id, Micros};
use std::collections::BTreeSet;

/// The number of independent confirmations at which the timeout is shortest, if there are enough members.
const MAX_CONFIRMATIONS: usize = 3;
/// The shortest timeout, in periods for each decimal power of the number of members.
const MIN_PERIODS: f64 = 3.0;
/// The longest timeout, as a multiple of the shortest.
const MAX_TIMEOUT_FACTOR: Micros = 5;

/// A suspicion that is pending.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    started_at: Micros,
    min_us: Micros,
    max_us: Micros,
    /// The number of confirmations at which the timeout is shortest.
    max_confirmations: usize,
    /// The members that suspect it. One that repeats itself confirms nothing.
    accusers: BTreeSet<Id>,
}

impl Suspicion {
    /// A suspicion by one member. The more members there are, the longer a refutation takes to reach them all.
    pub(crate) fn new(now: Micros, accuser: Id, members: usize, period_us: Micros) -> Self {
        let scale = (members.max(2) as f64).log10().max(1.0);
        let min_us = (MIN_PERIODS * scale * period_us as f64) as Micros;
        // Neither the suspect nor the first accuser can confirm.
        let max_confirmations = MAX_CONFIRMATIONS.min(members.saturating_sub(2));
        Suspicion {
            started_at: now,
            min_us,
            max_us: min_us * MAX_TIMEOUT_FACTOR,
            max_confirmations,
            accusers: BTreeSet::from([accuser]),
        }
    }

    /// Records that another member suspects it too. Returns whether that was new.
    pub(crate) fn confirm(&mut self, accuser: Id) -> bool {
        self.accusers.len() <= self.max_confirmations && self.accusers.insert(accuser)
    }

    /// Returns when the suspect is declared dead unless it refutes.
    pub(crate) fn deadline(&self) -> Micros {
        let confirmations = (self.accusers.len() - 1).min(self.max_confirmations) as f64;
        // With nobody to confirm it, there is no reason to wait.
        let share = if self.max_confirmations == 0 {
            1.0
        } else {
            (confirmations + 1.0).ln() / (self.max_confirmations as f64 + 1.0).ln()
        };
        self.started_at + self.max_us - ((self.max_us - self.min_us) as f64 * share) as Micros
    }

    /// Extends the timeout by a time in which this process stalled: what it did not receive then says nothing of the
    /// suspect.
    pub(crate) fn extend(&mut self, stall_us: Micros) {
        self.started_at += stall_us;
    }
}
