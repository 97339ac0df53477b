//! Retry delays: exponential, capped, and with jitter, so that many proxies that lost one agent together do not return
//! to it together.

use linnetknot::Micros;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Doublings after which the delay stops growing, whatever its cap.
const MAX_DOUBLINGS: u32 = 20;

/// Delays that grow with each failure in a row.
#[derive(Clone, Debug)]
pub struct Backoff {
    min_us: Micros,
    max_us: Micros,
    failures: u32,
    random: SmallRng,
}

impl Backoff {
    /// Delays from `min_us` to `max_us` microseconds, before jitter.
    pub fn new(min_us: Micros, max_us: Micros, seed: u64) -> Self {
        Backoff {
            min_us,
            max_us,
            failures: 0,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Counts a failure; gives the delay before the next attempt, with jitter.
    pub fn next_delay(&mut self) -> Micros {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let delay = self.min_us.saturating_mul(1 << doublings).min(self.max_us);
        self.failures += 1;
        self.jitter(delay)
    }

    /// Counts a success: the next delay is the shortest again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Failures in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// A random duration from half to one and a half of `delay`.
    pub fn jitter(&mut self, delay: Micros) -> Micros {
        delay / 2 + self.random.random_range(0..=delay)
    }
}
