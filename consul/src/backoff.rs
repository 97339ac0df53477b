//! Exponential backoff with an upper bound and jitter. The jitter prevents proxies that lost an agent at the same time
//! from reconnecting at the same time.

use linnetknot::Micros;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Maximum number of doublings, which limits the bit shift that computes the delay.
const MAX_DOUBLINGS: u32 = 20;

/// Delays that grow with each consecutive failure.
#[derive(Clone, Debug)]
pub struct Backoff {
    min_us: Micros,
    max_us: Micros,
    failures: u32,
    random: SmallRng,
}

impl Backoff {
    /// Creates a backoff with delays from `min_us` to `max_us` microseconds, before jitter.
    pub fn new(min_us: Micros, max_us: Micros, seed: u64) -> Self {
        Backoff {
            min_us,
            max_us,
            failures: 0,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Records a failure, and returns the delay before the next attempt, including jitter.
    pub fn next_delay(&mut self) -> Micros {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let delay = self.min_us.saturating_mul(1 << doublings).min(self.max_us);
        self.failures += 1;
        self.jitter(delay)
    }

    /// Records a success, which resets the next delay to the minimum.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the number of consecutive failures.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns a random duration between 0.5 and 1.5 times `delay`.
    pub fn jitter(&mut self, delay: Micros) -> Micros {
        delay / 2 + self.random.random_range(0..=delay)
    }
}
