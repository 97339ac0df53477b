//! The time within which a suspect can refute a suspicion. It is long while only one member suspects it, because that
//! member may itself be faulty, and shrinks as other members confirm the suspicion.

use crate::{Id, Micros};
use std::collections::BTreeSet;

/// The number of independent confirmations at which the timeout reaches its minimum, if there are enough members.
const MAX_CONFIRMATIONS: usize = 3;
/// The minimum timeout in protocol periods. It is multiplied by the decimal logarithm of the number of members.
const MIN_PERIODS: f64 = 3.0;
/// The maximum timeout as a multiple of the minimum.
const MAX_TIMEOUT_FACTOR: Micros = 5;

/// A suspicion that has not been refuted and has not timed out.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    started_at: Micros,
    min_us: Micros,
    max_us: Micros,
    /// The number of confirmations at which the timeout reaches its minimum.
    max_confirmations: usize,
    /// The members that suspect it. A repeated suspicion by the same member does not count as a confirmation.
    accusers: BTreeSet<Id>,
}

impl Suspicion {
    /// Creates a suspicion by one member. The timeouts grow with the number of members, because a refutation takes
    /// longer to reach all members of a large fleet.
    pub(crate) fn new(now: Micros, accuser: Id, members: usize, period_us: Micros) -> Self {
        let scale = (members.max(2) as f64).log10().max(1.0);
        let min_us = (MIN_PERIODS * scale * period_us as f64) as Micros;
        // Neither the suspect nor the first accuser can confirm the suspicion.
        let max_confirmations = MAX_CONFIRMATIONS.min(members.saturating_sub(2));
        Suspicion {
            started_at: now,
            min_us,
            max_us: min_us * MAX_TIMEOUT_FACTOR,
            max_confirmations,
            accusers: BTreeSet::from([accuser]),
        }
    }

    /// Records that a member confirms the suspicion. Returns whether the confirmation is new and still needed.
    pub(crate) fn confirm(&mut self, accuser: Id) -> bool {
        self.accusers.len() <= self.max_confirmations && self.accusers.insert(accuser)
    }

    /// Returns the time at which the suspect is declared dead unless it refutes.
    pub(crate) fn deadline(&self) -> Micros {
        let confirmations = (self.accusers.len() - 1).min(self.max_confirmations) as f64;
        // If no other member could confirm the suspicion, the timeout is the minimum.
        let share = if self.max_confirmations == 0 {
            1.0
        } else {
            (confirmations + 1.0).ln() / (self.max_confirmations as f64 + 1.0).ln()
        };
        self.started_at + self.max_us - ((self.max_us - self.min_us) as f64 * share) as Micros
    }

    /// Extends the timeout by the duration of a stall of this process, because a refutation may not have been processed
    /// during the stall.
    pub(crate) fn extend(&mut self, stall_us: Micros) {
        self.started_at += stall_us;
    }
}
