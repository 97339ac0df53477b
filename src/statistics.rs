//! Counts and sums that decay with time: what is remembered of requests and answers. Decides nothing; how fast things
//! decay and how much is kept is handed in.

use crate::interface::Micros;
use std::collections::HashMap;

/// Least count of the entries that stay when a table of counts overflows; doubled until it fits.
const INITIAL_EVICTION_FLOOR: f64 = 0.25;

/// What is left of a figure that was right at a time and falls by half in so many seconds.
pub(crate) fn decayed(figure: f64, at: Micros, now: Micros, half_life_s: f64) -> f64 {
    figure * (-(now.saturating_sub(at) as f64) / 1e6 / half_life_s).exp2()
}

/// A count, as it was when it was last added to.
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
    /// An empty table of at most so many entries; the least counted go first when it is full.
    pub(crate) fn new(half_life_s: f64, capacity: usize) -> Self {
        RequestCounts {
            entries: HashMap::new(),
            total: Count::default(),
            half_life_s,
            capacity,
        }
    }

    /// All that was counted, also what the table holds no more.
    pub(crate) fn total(&self, now: Micros) -> f64 {
        self.total.at(now, self.half_life_s)
    }

    /// Counts a request; gives the key's count with it.
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
            // What goes depends on each entry alone, never on the order of the table.
            self.entries
                .retain(|_, entry| entry.at(now, half_life_s) >= floor);
            floor *= 2.0;
        }
        count
    }
}

/// What recent transfers tell.
pub(crate) struct SlowdownSample {
    /// Time taken, over transfer time at full pace.
    pub(crate) slowdown: f64,
    /// Transfers that shared the server or link meanwhile.
    pub(crate) load: f64,
}

/// Decaying sums over hits or fills: time taken, transfer time at full pace, transfers that shared the server or link,
/// and their number. They fall by half in so many milliseconds.
#[derive(Clone, Copy, Default)]
pub(crate) struct SlowdownAverage<const HALF_LIFE_MS: u64> {
    took_s: f64,
    transfer_s: f64,
    load: f64,
    samples: f64,
    /// When the last of them came.
    pub(crate) updated_at: Micros,
}

impl<const HALF_LIFE_MS: u64> SlowdownAverage<HALF_LIFE_MS> {
    const HALF_LIFE_S: f64 = HALF_LIFE_MS as f64 / 1e3;

    /// Takes one in.
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

    /// What they tell, while so many of them still count.
    pub(crate) fn recent_average(&self, now: Micros, samples: f64) -> Option<SlowdownSample> {
        self.last_average(samples / self.decay_factor(now))
    }

    /// What they tell once there were so many of them, however long ago.
    pub(crate) fn last_average(&self, samples: f64) -> Option<SlowdownSample> {
        (self.samples >= samples).then(|| SlowdownSample {
            slowdown: self.took_s / self.transfer_s.max(1e-9),
            load: self.load / self.samples,
        })
    }

    /// What is left now of sums that were right when the last one came.
    fn decay_factor(&self, now: Micros) -> f64 {
        decayed(1.0, self.updated_at, now, Self::HALF_LIFE_S)
    }
}
