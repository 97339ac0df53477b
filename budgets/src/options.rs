//! Durations and bounds of the protocol.

use crate::Micros;

/// Durations and bounds of the protocol. They must be the same at all members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Options {
    /// The time for which a vote is valid, by the voter's clock.
    pub vote_duration_us: Micros,
    /// The maximum duration of a lease.
    pub max_lease_us: Micros,
    /// The interval between two vote requests of a candidate, and between two lease requests for a budget.
    pub request_interval_us: Micros,
    /// The maximum drift of one clock from true time, in parts per million.
    pub drift_ppm: u64,
    /// The number of groups of budgets. Each group elects its own allocator.
    pub groups: usize,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            vote_duration_us: 2_000_000,
            max_lease_us: 1_000_000,
            request_interval_us: 200_000,
            drift_ppm: 1_000,
            groups: 4,
        }
    }
}

impl Options {
    /// Returns the maximum difference that builds up between two clocks in a duration, rounded up. The factor of two
    /// allows for clocks that drift in opposite directions.
    fn max_drift(&self, duration_us: Micros) -> Micros {
        duration_us.saturating_mul(2 * self.drift_ppm) / 1_000_000 + 1
    }

    /// Shortens a duration so that it ends here before another member's clock has counted the full duration.
    pub(crate) fn shortened_by_drift(&self, duration_us: Micros) -> Micros {
        duration_us.saturating_sub(self.max_drift(duration_us))
    }

    /// Extends a duration so that it ends here after another member's clock has counted the full duration.
    pub(crate) fn extended_by_drift(&self, duration_us: Micros) -> Micros {
        duration_us.saturating_add(self.max_drift(duration_us))
    }

    /// Returns these options with votes that outlast a lease and its settling time.
    pub fn with_settling_time(self, settling_us: Micros) -> Self {
        let vote_duration_us = self
            .vote_duration_us
            .saturating_add(self.extended_by_drift(settling_us));
        Options {
            vote_duration_us,
            ..self
        }
    }
}
