//! A simulated disk: a worker commits all that waits at once, and what comes meanwhile goes with the next commit.

use linnetknot_replication::{Index, LogId};
use linnetknot_simnet::Micros;
use std::collections::VecDeque;

/// How long one commit takes.
const COMMIT_DURATION_US: Micros = 3_000;

/// An entry on its way to the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Write {
    pub(super) log: LogId,
    pub(super) index: Index,
}

/// The disk's queue.
#[derive(Clone, Debug)]
pub(super) struct SimulatedDisk {
    queue: VecDeque<Write>,
    capacity: usize,
    /// The writes of the commit that runs.
    committing: usize,
    /// When it ends.
    ends: Option<Micros>,
}

impl SimulatedDisk {
    pub(super) fn new(capacity: usize) -> Self {
        SimulatedDisk {
            queue: VecDeque::new(),
            capacity,
            committing: 0,
            ends: None,
        }
    }

    pub(super) fn is_full(&self) -> bool {
        self.queue.len() >= self.capacity
    }

    /// Takes an entry; false where the queue is full.
    pub(super) fn write(&mut self, write: Write, now: Micros) -> bool {
        if self.is_full() {
            return false;
        }
        self.queue.push_back(write);
        if self.ends.is_none() {
            self.begin(now);
        }
        true
    }

    fn begin(&mut self, now: Micros) {
        self.committing = self.queue.len();
        self.ends = (self.committing > 0).then_some(now + COMMIT_DURATION_US);
    }

    /// When the commit that runs ends.
    pub(super) fn due(&self) -> Option<Micros> {
        self.ends
    }

    /// The entries that are on the disk by now.
    pub(super) fn synced(&mut self, now: Micros) -> Vec<Write> {
        if self.ends.is_none_or(|ends| ends > now) {
            return Vec::new();
        }
        let synced = self.queue.drain(..self.committing).collect();
        self.begin(now);
        synced
    }

    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }
}
