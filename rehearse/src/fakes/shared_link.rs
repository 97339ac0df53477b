//! A link with a capacity that its transfers share evenly, each up to its full rate. It models the outgoing link of a cache or
//! a site's link for fills. It does no I/O; the caller asks when the next transfer ends.

use crate::record::Micros;
use std::collections::{BTreeMap, HashMap};

/// The outgoing link of a fake node, which all its transfers share.
///
/// All transfers progress at the same rate, so a single counter, `progress_us`, grows with time, and a transfer ends when the
/// counter has grown by its work. Each operation takes logarithmic time.
#[derive(Clone, Debug)]
pub struct SharedLink {
    /// The capacity in transfers at full rate.
    capacity: f64,
    /// The progress of a transfer since the creation of the link, in microseconds at full rate.
    progress_us: f64,
    updated_at: Micros,
    /// The ids of transfers by the progress at which each ends, as the ordered bits of a positive float, and by sequence
    /// number.
    ends: BTreeMap<(u64, u64), u64>,
    positions: HashMap<u64, (u64, u64)>,
    sequence: u64,
}

impl SharedLink {
    /// Returns an idle link.
    pub fn new(capacity: f64) -> Self {
        let (ends, positions) = Default::default();
        SharedLink {
            capacity: capacity.max(1e-6),
            progress_us: 0.0,
            updated_at: 0,
            ends,
            positions,
            sequence: 0,
        }
    }

    /// Returns the number of transfers in progress.
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Returns whether no transfer is in progress.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Returns the rate of each transfer, where 1 is the full rate.
    fn rate(&self) -> f64 {
        (self.capacity / self.ends.len().max(1) as f64).min(1.0)
    }

    /// Advances the time and returns the transfers that have ended, each with its end time, in order.
    pub fn advance(&mut self, now: Micros) -> Vec<(u64, Micros)> {
        let mut ended = Vec::new();
        while let Some((&position, &id)) = self.ends.first_key_value() {
            // When a transfer ends, the rate of the remaining transfers may increase.
            let wait = (f64::from_bits(position.0) - self.progress_us).max(0.0) / self.rate();
            let end = self.updated_at as f64 + wait;
            if end > now as f64 {
                break;
            }
            self.progress_us = self.progress_us.max(f64::from_bits(position.0));
            self.updated_at = (end as Micros).max(self.updated_at);
            self.ends.remove(&position);
            self.positions.remove(&id);
            ended.push((id, self.updated_at));
        }
        if now > self.updated_at {
            if !self.ends.is_empty() {
                self.progress_us += (now - self.updated_at) as f64 * self.rate();
            }
            self.updated_at = now;
        }
        ended
    }

    /// Begins a transfer of this many microseconds at full rate. `advance` must have been called for the current time.
    pub fn begin(&mut self, id: u64, work_us: Micros) {
        self.sequence += 1;
        let position = ((self.progress_us + work_us as f64).to_bits(), self.sequence);
        if let Some(old) = self.positions.insert(id, position) {
            self.ends.remove(&old);
        }
        self.ends.insert(position, id);
    }

    /// Cancels a transfer. Returns whether it was in progress.
    pub fn cancel(&mut self, id: u64) -> bool {
        self.positions
            .remove(&id)
            .is_some_and(|position| self.ends.remove(&position).is_some())
    }

    /// Sets the capacity, as when a cache warms up.
    pub fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity.max(1e-6);
    }

    /// Returns the time at which the next transfer ends if nothing changes.
    pub fn next_due(&self) -> Option<Micros> {
        let (position, _) = self.ends.first_key_value()?;
        let wait = (f64::from_bits(position.0) - self.progress_us).max(0.0) / self.rate();
        Some(self.updated_at + wait.ceil() as Micros)
    }
}
