//! Times and bounds of the protocol.

use crate::Micros;

/// Times and bounds of the protocol, the same at all members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Options {
    /// How long a vote lasts.
    pub vote_us: Micros,
    /// How long a lease lasts at most.
    pub lease_us: Micros,
    /// The interval between two requests for votes, and for leases.
    pub request_interval_us: Micros,
    /// How far two clocks may drift apart, in millionths of the time that passes.
    pub drift_ppm: u64,
    /// The number of groups. Each group of budgets elects an allocator of its own.
    pub groups: usize,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            vote_us: 2_000_000,
            lease_us: 1_000_000,
            request_interval_us: 200_000,
            drift_ppm: 1_000,
            groups: 4,
        }
    }
}

impl Options {
    /// The most that two clocks drift apart in a time, rounded up. Each may drift in its own direction.
    fn max_drift(&self, us: Micros) -> Micros {
        us.saturating_mul(2 * self.drift_ppm) / 1_000_000 + 1
    }

    /// Shortens a time that another member counts too, so that it is over here first.
    pub(crate) fn shortened_by_drift(&self, us: Micros) -> Micros {
        us.saturating_sub(self.max_drift(us))
    }

    /// Extends a time that another member counts too, so that it is over there first.
    pub(crate) fn extended_by_drift(&self, us: Micros) -> Micros {
        us.saturating_add(self.max_drift(us))
    }

    /// Returns these options for budgets with a settling time: votes outlast a lease and what is unsettled of it.
    pub fn with_settling_time(self, settling_us: Micros) -> Self {
        let vote_us = self
            .vote_us
            .saturating_add(self.extended_by_drift(settling_us));
        Options { vote_us, ..self }
    }
}
