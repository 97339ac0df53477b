//! Route flap damping (RFC 2439) for caches: a penalty that grows with each loss and decays exponentially.
//!
//! A cache is suppressed when it comes back with a penalty over `suppress`, and reused once the penalty has decayed below
//! `reuse`. The penalty has a ceiling, so that however long a cache has flapped, it is reused `max_suppressed_us` after
//! its last loss at the latest (section 4.2 of the RFC: 'max hold-down time').

use linnetknot::Micros;

/// Parameters of damping.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Damping {
    /// Time in which a penalty halves, in microseconds.
    pub half_life_us: Micros,
    /// A cache that comes back with this penalty is suppressed. Each loss adds 1.
    pub suppress: f64,
    /// A suppressed cache is reused below this penalty.
    pub reuse: f64,
    /// Longest suppression after the last loss, in microseconds.
    pub max_suppressed_us: Micros,
    /// Share of the caches of one zone and kind that may be suppressed at once, rounded down.
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

/// Why damping parameters can't be used. The text follows the parameter's name: `suppress must be above 'reuse'`.
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
    /// The share is not from 0 to 1.
    #[error("must be from 0 to 1")]
    Share,
    /// The penalty's ceiling is below the suppress threshold, so no cache would ever be suppressed.
    #[error("is too short for 'suppress' to be reached")]
    MaxSuppressed,
}

impl DampingError {
    /// The parameter at fault, by its key in the settings, without a unit.
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

    /// The highest penalty: from here it decays to `reuse` within `max_suppressed_us`.
    pub fn max_penalty(&self) -> f64 {
        self.reuse * (self.max_suppressed_us as f64 / self.half_life_us as f64).exp2()
    }
}

/// The penalty of a cache for its losses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Penalty {
    value: f64,
    updated_at: Micros,
}

/// Below this a penalty no longer matters.
const NEGLIGIBLE_PENALTY: f64 = 0.05;

impl Penalty {
    /// The penalty as it has decayed by now.
    pub fn value(&self, damping: &Damping, now: Micros) -> f64 {
        let half_lives = now.saturating_sub(self.updated_at) as f64 / damping.half_life_us as f64;
        self.value * (-half_lives).exp2()
    }

    /// Counts a loss.
    pub fn add(&mut self, damping: &Damping, now: Micros) {
        *self = Penalty {
            value: (self.value(damping, now) + 1.0).min(damping.max_penalty()),
            updated_at: now,
        };
    }

    /// When the penalty will have decayed below `level`; now, if it has.
    pub fn decays_below_at(&self, damping: &Damping, level: f64, now: Micros) -> Micros {
        let value = self.value(damping, now);
        if value < level {
            return now;
        }
        let wait = (value / level).log2() * damping.half_life_us as f64;
        now + wait as Micros + 1
    }

    /// Whether the penalty no longer matters.
    pub fn is_negligible(&self, damping: &Damping, now: Micros) -> bool {
        self.value(damping, now) < NEGLIGIBLE_PENALTY
    }
}
