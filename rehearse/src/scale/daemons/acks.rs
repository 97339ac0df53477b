//! Which purges that hollow members told each daemon has, by its acknowledgements.
//!
//! A daemon acknowledges an entry once it is in force there and on its disk. So the delay that is measured contains the
//! daemon's commit to its disk and the way back, and is longer than the time until the purge is in force.

use hdrhistogram::Histogram;
use linnetknot_replication::Index;
use linnetknot_simnet::Micros;
use std::collections::BTreeMap;

/// A purge in the log of the member that told it.
#[derive(Clone, Copy, Debug)]
struct IssuedPurge {
    index: Index,
    at: Micros,
}

/// The purges that one member told.
#[derive(Clone, Debug)]
struct WriterLog {
    purges: Vec<IssuedPurge>,
    /// By daemon, how many of them it has acknowledged.
    acknowledged: Vec<usize>,
}

/// The purges of all hollow members.
#[derive(Debug)]
pub struct PurgeAcks {
    writers: BTreeMap<usize, WriterLog>,
    /// By daemon, in microseconds.
    delays: Vec<Histogram<u64>>,
}

/// Delays above this count as this; longer than any run, in microseconds.
const MAX_DELAY_US: u64 = 600_000_000;

/// A histogram of delays in microseconds.
pub fn delay_histogram() -> Histogram<u64> {
    // Bounds and precision are ones that the histogram has.
    Histogram::new_with_bounds(1, MAX_DELAY_US, 3).expect("the bounds are in order")
}

impl PurgeAcks {
    /// For so many daemons.
    pub fn new(daemons: usize) -> Self {
        PurgeAcks {
            writers: BTreeMap::new(),
            delays: (0..daemons).map(|_| delay_histogram()).collect(),
        }
    }

    /// A member tells a purge that stands at an index of its log.
    pub fn record_issued(&mut self, writer: usize, index: Index, at: Micros) {
        let daemons = self.delays.len();
        let new = || WriterLog {
            purges: Vec::new(),
            acknowledged: vec![0; daemons],
        };
        self.writers
            .entry(writer)
            .or_insert_with(new)
            .purges
            .push(IssuedPurge { index, at });
    }

    /// A daemon acknowledges a member's log up to an index.
    pub fn acknowledged(&mut self, writer: usize, daemon: usize, index: Index, now: Micros) {
        let Some(log) = self.writers.get_mut(&writer) else {
            return;
        };
        let waiting = &log.purges[log.acknowledged[daemon]..];
        let settled = waiting.iter().take_while(|purge| purge.index <= index);
        for purge in settled {
            log.acknowledged[daemon] += 1;
            self.delays[daemon].saturating_record(now.saturating_sub(purge.at));
        }
    }

    /// Purges that were told.
    pub fn total(&self) -> usize {
        self.writers.values().map(|log| log.purges.len()).sum()
    }

    /// Purges that a daemon has not acknowledged.
    pub fn missing(&self, daemon: usize) -> usize {
        self.writers
            .values()
            .map(|log| log.purges.len() - log.acknowledged[daemon])
            .sum()
    }

    /// The delays of a daemon's acknowledgements.
    pub fn delays(&self, daemon: usize) -> &Histogram<u64> {
        &self.delays[daemon]
    }
}
