//! A link that its transfers share evenly, none faster than its own full pace: the outgoing link of a box, or a site's
//! link for fills. Sans-IO: whoever drives it asks when the next transfer ends.

use crate::record::Micros;
use std::collections::{BTreeMap, HashMap};

/// A link.
///
/// What one transfer was given is the same for all that are on it, so a single figure, `progress_us`, grows with time, and a
/// transfer ends when the figure has grown by its work. Each step costs the logarithm of the transfers, not their
/// number.
#[derive(Clone, Debug)]
pub struct SharedLink {
    /// In transfers at full pace.
    capacity: f64,
    /// What a transfer that was there all along has been given, in microseconds at full pace.
    progress_us: f64,
    updated_at: Micros,
    /// By the figure at which each ends, and by the order in which they came. The bits of a positive float order as
    /// it does.
    ends: BTreeMap<(u64, u64), u64>,
    positions: HashMap<u64, (u64, u64)>,
    sequence: u64,
}

impl SharedLink {
    /// An idle link.
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

    /// Transfers on it.
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Whether it is idle.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Pace of each transfer: 1 is full.
    fn rate(&self) -> f64 {
        (self.capacity / self.ends.len().max(1) as f64).min(1.0)
    }

    /// Lets time pass; gives the transfers that have ended by then, each with its time, in order.
    pub fn advance(&mut self, now: Micros) -> Vec<(u64, Micros)> {
        let mut ended = Vec::new();
        while let Some((&position, &id)) = self.ends.first_key_value() {
            // Each end makes the others faster, so they are taken one by one.
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

    /// Begins a transfer of so many microseconds at full pace. `advance` must have been called up to now.
    pub fn begin(&mut self, id: u64, work_us: Micros) {
        self.sequence += 1;
        let position = ((self.progress_us + work_us as f64).to_bits(), self.sequence);
        if let Some(old) = self.positions.insert(id, position) {
            self.ends.remove(&old);
        }
        self.ends.insert(position, id);
    }

    /// Calls a transfer off: its share is the others'.
    pub fn cancel(&mut self, id: u64) -> bool {
        self.positions
            .remove(&id)
            .is_some_and(|position| self.ends.remove(&position).is_some())
    }

    /// Another capacity, from here on: a box that is cold, or warms up.
    pub fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity.max(1e-6);
    }

    /// When the next transfer ends, if nothing changes.
    pub fn next_due(&self) -> Option<Micros> {
        let (position, _) = self.ends.first_key_value()?;
        let wait = (f64::from_bits(position.0) - self.progress_us).max(0.0) / self.rate();
        Some(self.updated_at + wait.ceil() as Micros)
    }
}
