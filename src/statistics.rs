//! Exponentially decaying counts and averages of requests and answers. Half-lives and table sizes are chosen by the
//! callers.

use crate::interface::Micros;
use std::collections::HashMap;

/// Count below which the first eviction pass removes entries of a full table; doubled with each further pass.
const INITIAL_EVICTION_FLOOR: f64 = 0.25;

/// Returns a value that was recorded at `at`, decayed to `now`.
pub(crate) fn decayed(value: f64, at: Micros, now: Micros, half_life_s: f64) -> f64 {
    value * (-(now.saturating_sub(at) as f64) / 1e6 / half_life_s).exp2()
}

/// A decaying count, stored with the time of its last update.
#[derive(Clone, Copy, Default)]
struct Count {
    value: f64,
    updated_at: Micros,
}

impl Count {
    fn at(&self, now: Micros, half_life_s: f64) -> f64 {
        decayed(self.value, self.updated_at, now, half_life_s)
    }

    fn add_one(&mut self, now: Micros, half_life_s: f64) {
        self.value = self.at(now, half_life_s) + 1.0;
        self.updated_at = now;
    }
}

/// Decaying counts of requests by key, in a bounded table.
pub(crate) struct RequestCounts {
    entries: HashMap<u64, Count>,
    total: Count,
    half_life_s: f64,
    capacity: usize,
}

impl RequestCounts {
    /// Returns an empty table. When it holds more than `capacity` entries, those with the lowest counts are evicted.
    pub(crate) fn new(half_life_s: f64, capacity: usize) -> Self {
        RequestCounts {
            entries: HashMap::new(),
            total: Count::default(),
            half_life_s,
            capacity,
        }
    }

    /// Returns the decayed count of all requests, including those of evicted keys.
    pub(crate) fn total(&self, now: Micros) -> f64 {
        self.total.at(now, self.half_life_s)
    }

    /// Counts a request and returns the updated count of its key.
    pub(crate) fn add(&mut self, key: u64, now: Micros) -> f64 {
        let half_life_s = self.half_life_s;
        self.total.add_one(now, half_life_s);
        let entry = self.entries.entry(key).or_insert(Count {
            value: 0.0,
            updated_at: now,
        });
        entry.add_one(now, half_life_s);
        let count = entry.value;
        let mut floor = INITIAL_EVICTION_FLOOR;
        while self.entries.len() > self.capacity {
            // Eviction depends on the counts alone, not on the iteration order of the map.
            self.entries
                .retain(|_, entry| entry.at(now, half_life_s) >= floor);
            floor *= 2.0;
        }
        count
    }
}

/// Averages over recent transfers of a server or a link.
pub(crate) struct SlowdownEstimate {
    /// Duration of the transfers, as a multiple of their duration at full rate.
    pub(crate) slowdown: f64,
    /// Concurrent transfers on the server or link.
    pub(crate) load: f64,
}

/// Decaying sums over hits or fills: actual duration, duration at full rate, concurrent transfers on the server or
/// link, and number of samples.
#[derive(Clone, Copy, Default)]
pub(crate) struct SlowdownAverage<const HALF_LIFE_MS: u64> {
    took_s: f64,
    transfer_s: f64,
    load: f64,
    samples: f64,
    /// Time of the last sample.
    pub(crate) updated_at: Micros,
}

impl<const HALF_LIFE_MS: u64> SlowdownAverage<HALF_LIFE_MS> {
    const HALF_LIFE_S: f64 = HALF_LIFE_MS as f64 / 1e3;

    /// Adds a sample.
    pub(crate) fn add(&mut self, now: Micros, took_s: f64, transfer_s: f64, load: f64) {
        let decay = self.decay_factor(now);
        *self = SlowdownAverage {
            took_s: self.took_s * decay + took_s,
            transfer_s: self.transfer_s * decay + transfer_s,
            load: self.load * decay + load,
            samples: self.samples * decay + 1.0,
            updated_at: now,
        };
    }

    /// Returns the averages if the decayed number of samples is at least `min_samples`.
    pub(crate) fn recent_average(&self, now: Micros, min_samples: f64) -> Option<SlowdownEstimate> {
        self.last_average(min_samples / self.decay_factor(now))
    }

    /// Returns the averages if the number of samples was at least `min_samples` at the last update, however long ago.
    pub(crate) fn last_average(&self, min_samples: f64) -> Option<SlowdownEstimate> {
        (self.samples >= min_samples).then(|| SlowdownEstimate {
            slowdown: self.took_s / self.transfer_s.max(1e-9),
            load: self.load / self.samples,
        })
    }

    /// Returns the factor by which the sums have decayed since the last sample.
    fn decay_factor(&self, now: Micros) -> f64 {
        decayed(1.0, self.updated_at, now, Self::HALF_LIFE_S)
    }
}
