//! Counts and sums that fade with time: what is remembered of requests and answers. Decides nothing; how fast
//! things fade and how much is kept is handed in.

use crate::interface::Micros;
use std::collections::HashMap;

/// What is left of a figure that was right at a time and falls by half in so many seconds.
pub(crate) fn faded((figure, at): (f64, Micros), now: Micros, half_s: f64) -> f64 {
    figure * (-(now.saturating_sub(at) as f64) / 1e6 / half_s).exp2()
}

/// Aged counts in a bounded table.
pub(crate) struct Counts {
    entries: HashMap<u64, (f64, Micros)>,
    total: (f64, Micros),
    half_s: f64,
    most: usize,
}

impl Counts {
    /// An empty table of at most so many entries; the least counted go first when it is full.
    pub(crate) fn new(half_s: f64, most: usize) -> Self {
        Counts {
            entries: HashMap::new(),
            total: (0.0, 0),
            half_s,
            most,
        }
    }

    /// All that was counted, also what the table holds no more.
    pub(crate) fn total(&self, now: Micros) -> f64 {
        faded(self.total, now, self.half_s)
    }

    /// Counts a request; gives the key's count with it.
    pub(crate) fn add(&mut self, key: u64, now: Micros) -> f64 {
        let half_s = self.half_s;
        self.total = (self.total(now) + 1.0, now);
        let entry = self.entries.entry(key).or_insert((0.0, now));
        *entry = (faded(*entry, now, half_s) + 1.0, now);
        let count = entry.0;
        let mut floor = 0.25;
        while self.entries.len() > self.most {
            // What goes depends on each entry alone, never on the order of the table.
            self.entries.retain(|_, e| faded(*e, now, half_s) >= floor);
            floor *= 2.0;
        }
        count
    }
}

/// Aged sums over hits or fills: time taken, sending time, transfers held meanwhile, their number. They fall by half in
/// so many milliseconds.
#[derive(Clone, Copy, Default)]
pub(crate) struct Pace<const HALF_MS: u64> {
    took_s: f64,
    work_s: f64,
    held: f64,
    number: f64,
    /// When the last of them came.
    pub(crate) at: Micros,
}

impl<const HALF_MS: u64> Pace<HALF_MS> {
    const HALF_S: f64 = HALF_MS as f64 / 1e3;

    /// Takes one in.
    pub(crate) fn add(&mut self, now: Micros, took_s: f64, work_s: f64, held: f64) {
        let old = faded((1.0, self.at), now, Self::HALF_S);
        let (took_s, work_s) = (self.took_s * old + took_s, self.work_s * old + work_s);
        *self = Pace {
            took_s,
            work_s,
            held: self.held * old + held,
            number: self.number * old + 1.0,
            at: now,
        };
    }

    /// Time taken over sending time, and transfers held, while so many of them still tell.
    pub(crate) fn told(&self, now: Micros, number: f64) -> Option<(f64, f64)> {
        self.shown(number / faded((1.0, self.at), now, Self::HALF_S))
    }

    /// The same once there were so many of them, however long ago.
    pub(crate) fn shown(&self, number: f64) -> Option<(f64, f64)> {
        (self.number >= number)
            .then(|| (self.took_s / self.work_s.max(1e-9), self.held / self.number))
    }
}
