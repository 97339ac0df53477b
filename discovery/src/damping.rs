//! Route flap damping (RFC 2439) for caches: a penalty that grows with each loss and decays exponentially.
//!
//! A cache is suppressed when it returns with a penalty of at least `suppress`, and reused once the penalty has decayed
//! below `reuse`. The penalty is bounded, so that a cache is reused at the latest `max_suppressed_us` after its last
//! loss, however often it has flapped (section 4.2 of the RFC: 'max hold-down time').

use linnetknot::Micros;

/// Parameters of flap damping.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Damping {
    /// Half-life of a penalty, in microseconds.
    pub half_life_us: Micros,
    /// Suppression threshold. A cache whose penalty is at least this value when it returns is suppressed. Each loss
    /// adds 1 to the penalty.
    pub suppress: f64,
    /// Reuse threshold: a suppressed cache is reused once its penalty is below this value.
    pub reuse: f64,
    /// Maximum duration of a suppression after the last loss, in microseconds.
    pub max_suppressed_us: Micros,
    /// Maximum share of the caches of one zone and kind that are suppressed at the same time; the number of caches is
    /// rounded down.
    pub max_suppressed_share: f64,
}

impl Default for Damping {
    fn default() -> Self {
        Damping {
            half_life_us: 15_000_000,
            suppress: 2.0,
            reuse: 1.0,
            max_suppressed_us: 30_000_000,
            max_suppressed_share: 0.34,
        }
    }
}

/// An invalid damping parameter. The message completes a sentence that begins with the name of the parameter, such as
/// `suppress must be above 'reuse'`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DampingError {
    /// The half-life is 0.
    #[error("must be above 0")]
    HalfLife,
    /// The reuse threshold is not a finite number above 0.
    #[error("must be above 0")]
    Reuse,
    /// The suppress threshold is not a finite number above the reuse threshold.
    #[error("must be above 'reuse'")]
    Suppress,
    /// The share is not between 0 and 1.
    #[error("must be from 0 to 1")]
    Share,
    /// The maximum penalty is below the suppression threshold, so no cache would ever be suppressed.
    #[error("is too short for 'suppress' to be reached")]
    MaxSuppressed,
}

impl DampingError {
    /// Returns the settings key of the invalid parameter, without its unit.
    pub fn key(self) -> &'static str {
        match self {
            Self::HalfLife => "half_life",
            Self::Reuse => "reuse",
            Self::Suppress => "suppress",
            Self::Share => "most_share",
            Self::MaxSuppressed => "most_suppressed",
        }
    }
}

impl Damping {
    /// Validates the parameters.
    pub fn validate(&self) -> Result<(), DampingError> {
        let is_positive = |x: f64| x.is_finite() && x > 0.0;
        if self.half_life_us == 0 {
            return Err(DampingError::HalfLife);
        }
        if !is_positive(self.reuse) {
            return Err(DampingError::Reuse);
        }
        if !is_positive(self.suppress) || self.suppress <= self.reuse {
            return Err(DampingError::Suppress);
        }
        if !(0.0..=1.0).contains(&self.max_suppressed_share) {
            return Err(DampingError::Share);
        }
        if self.max_penalty() < self.suppress {
            return Err(DampingError::MaxSuppressed);
        }
        Ok(())
    }

    /// Returns the maximum penalty, which decays to `reuse` within `max_suppressed_us`.
    pub fn max_penalty(&self) -> f64 {
        self.reuse * (self.max_suppressed_us as f64 / self.half_life_us as f64).exp2()
    }
}

/// The flap penalty of a cache, stored with the time of its last update.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Penalty {
    value: f64,
    updated_at: Micros,
}

/// A penalty below this value is treated as 0.
const NEGLIGIBLE_PENALTY: f64 = 0.05;

impl Penalty {
    /// Returns the penalty, decayed to its value at `now`.
    pub fn value(&self, damping: &Damping, now: Micros) -> f64 {
        let half_lives = now.saturating_sub(self.updated_at) as f64 / damping.half_life_us as f64;
        self.value * (-half_lives).exp2()
    }

    /// Adds the penalty for one loss.
    pub fn add(&mut self, damping: &Damping, now: Micros) {
        *self = Penalty {
            value: (self.value(damping, now) + 1.0).min(damping.max_penalty()),
            updated_at: now,
        };
    }

    /// Returns the time from which the penalty is below `level`, or `now` if it already is.
    pub fn decays_below_at(&self, damping: &Damping, level: f64, now: Micros) -> Micros {
        let value = self.value(damping, now);
        if value < level {
            return now;
        }
        let wait = (value / level).log2() * damping.half_life_us as f64;
        now + wait as Micros + 1
    }

    /// Returns whether the penalty is so low that it is treated as 0.
    pub fn is_negligible(&self, damping: &Damping, now: Micros) -> bool {
        self.value(damping, now) < NEGLIGIBLE_PENALTY
    }
}
