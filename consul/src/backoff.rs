//! Waits between tries: doubling, capped, and spread by chance, so that many proxies that lost one agent together do
//! not come back to it together.

use linnetknot::Micros;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Waits that grow with each failure in a row.
#[derive(Clone, Debug)]
pub struct Backoff {
    min_us: Micros,
    max_us: Micros,
    failures: u32,
    random: SmallRng,
}

impl Backoff {
    /// The first wait is about `min_us`, and none is about more than `max_us`, in microseconds.
    pub fn new(min_us: Micros, max_us: Micros, seed: u64) -> Self {
        Backoff {
            min_us,
            max_us,
            failures: 0,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// A try has failed: how long to wait before the next, from half to one and a half of the doubled wait.
    pub fn next_delay(&mut self) -> Micros {
        let wait = self
            .min_us
            .saturating_mul(1 << self.failures.min(20))
            .min(self.max_us);
        self.failures += 1;
        self.jitter(wait)
    }

    /// A try has succeeded.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Failures in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// A time from half to one and a half of this.
    pub fn jitter(&mut self, wait: Micros) -> Micros {
        wait / 2 + self.random.random_range(0..=wait)
    }
}
