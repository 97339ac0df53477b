//! Route flap damping (RFC 2439) for boxes: a figure of merit that each loss raises and that time halves.
//!
//! A box is suppressed when it comes back with a figure over `suppress`, and reused once the figure has decayed
//! below `reuse`. The figure has a ceiling, so that however long a box has flapped, it is taken in again
//! `max_suppressed_us` after its last loss at the latest (section 4.2 of the RFC: 'max hold-down time').

use linnetknot::Micros;

/// The figures of damping.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Damping {
    /// Time in which a penalty halves, in microseconds.
    pub half_life_us: Micros,
    /// A box that comes back with this much is suppressed. Each loss adds 1.
    pub suppress: f64,
    /// It is taken in again below this.
    pub reuse: f64,
    /// Longest suppression after the last loss, in microseconds.
    pub max_suppressed_us: Micros,
    /// Share of the boxes of one zone and kind that may be suppressed at once, rounded down.
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

/// What makes figures of damping unusable: the name of the one at fault, and what it must be.
pub type DampingError = (&'static str, &'static str);

impl Damping {
    /// Tells what, if anything, makes these figures unusable.
    pub fn check(&self) -> Result<(), DampingError> {
        let sound = |x: f64| x.is_finite() && x > 0.0;
        if self.half_life_us == 0 {
            return Err(("half_life", "must be above 0"));
        }
        if !sound(self.reuse) {
            return Err(("reuse", "must be above 0"));
        }
        if !sound(self.suppress) || self.suppress <= self.reuse {
            return Err(("suppress", "must be above 'reuse'"));
        }
        if !(0.0..=1.0).contains(&self.max_suppressed_share) {
            return Err(("most_share", "must be from 0 to 1"));
        }
        // Under a ceiling below `suppress` no box would ever be suppressed, which should be said openly instead.
        if self.ceiling() < self.suppress {
            return Err((
                "most_suppressed",
                "is too short for 'suppress' to be reached",
            ));
        }
        Ok(())
    }

    /// The highest penalty: from here it decays to `reuse` within `max_suppressed_us`.
    pub fn ceiling(&self) -> f64 {
        self.reuse * (self.max_suppressed_us as f64 / self.half_life_us as f64).exp2()
    }
}

/// A box's figure of merit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Penalty {
    figure: f64,
    at: Micros,
}

/// Below this nothing is remembered any more.
const FORGOTTEN: f64 = 0.05;

impl Penalty {
    /// The figure by now.
    pub fn figure(&self, d: &Damping, now: Micros) -> f64 {
        let half_lives = now.saturating_sub(self.at) as f64 / d.half_life_us as f64;
        self.figure * (-half_lives).exp2()
    }

    /// Counts a loss.
    pub fn add(&mut self, d: &Damping, now: Micros) {
        *self = Penalty {
            figure: (self.figure(d, now) + 1.0).min(d.ceiling()),
            at: now,
        };
    }

    /// When the figure will have decayed below `level`; now, if it has.
    pub fn below(&self, d: &Damping, level: f64, now: Micros) -> Micros {
        let figure = self.figure(d, now);
        if figure < level {
            return now;
        }
        let wait = (figure / level).log2() * d.half_life_us as f64;
        now + wait as Micros + 1
    }

    /// Whether nothing is left that could matter.
    pub fn is_forgotten(&self, d: &Damping, now: Micros) -> bool {
        self.figure(d, now) < FORGOTTEN
    }
}
