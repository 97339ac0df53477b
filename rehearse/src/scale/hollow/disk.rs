//! Simulated disk that commits all queued writes as one batch; writes queued during a commit are part of the next one.

use linnetknot_replication::{Index, LogId};
use linnetknot_simnet::Micros;
use std::collections::VecDeque;

const COMMIT_DURATION_US: Micros = 3_000;

/// Log entry to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Write {
    pub(super) log: LogId,
    pub(super) index: Index,
}

/// Simulated disk with a bounded write queue.
#[derive(Clone, Debug)]
pub(super) struct SimulatedDisk {
    queue: VecDeque<Write>,
    capacity: usize,
    /// Number of writes in the current commit.
    committing: usize,
    /// End of the current commit.
    commit_ends_at: Option<Micros>,
}

impl SimulatedDisk {
    pub(super) fn new(capacity: usize) -> Self {
        SimulatedDisk {
            queue: VecDeque::new(),
            capacity,
            committing: 0,
            commit_ends_at: None,
        }
    }

    pub(super) fn is_full(&self) -> bool {
        self.queue.len() >= self.capacity
    }

    /// Queues a write; returns `false` if the queue is full.
    pub(super) fn write(&mut self, write: Write, now: Micros) -> bool {
        if self.is_full() {
            return false;
        }
        self.queue.push_back(write);
        if self.commit_ends_at.is_none() {
            self.start_commit(now);
        }
        true
    }

    fn start_commit(&mut self, now: Micros) {
        self.committing = self.queue.len();
        self.commit_ends_at = (self.committing > 0).then_some(now + COMMIT_DURATION_US);
    }

    /// Returns the end of the current commit.
    pub(super) fn due(&self) -> Option<Micros> {
        self.commit_ends_at
    }

    /// Returns the entries that have been committed by `now`.
    pub(super) fn synced(&mut self, now: Micros) -> Vec<Write> {
        if self
            .commit_ends_at
            .is_none_or(|commit_ends_at| commit_ends_at > now)
        {
            return Vec::new();
        }
        let synced = self.queue.drain(..self.committing).collect();
        self.start_commit(now);
        synced
    }

    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }
}
