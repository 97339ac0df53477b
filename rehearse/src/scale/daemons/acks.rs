//! Tracks which daemons have acknowledged the purges of hollow members.
//!
//! A daemon acknowledges an entry once it is in force and on its disk. The measured delay therefore includes the disk
//! commit and the network delay of the acknowledgement, and exceeds the time until the purge is in force.

use hdrhistogram::Histogram;
use linnetknot_replication::Index;
use linnetknot_simnet::Micros;
use std::collections::BTreeMap;

/// Purge in the log of the member that issued it.
#[derive(Clone, Copy, Debug)]
struct IssuedPurge {
    index: Index,
    at: Micros,
}

/// Purges issued by one member.
#[derive(Clone, Debug)]
struct WriterLog {
    purges: Vec<IssuedPurge>,
    /// For each daemon, how many of the member's purges it has acknowledged.
    acknowledged: Vec<usize>,
}

/// Acknowledgements of the purges of all hollow members.
#[derive(Debug)]
pub struct PurgeAcks {
    writers: BTreeMap<usize, WriterLog>,
    /// Delays by daemon, in microseconds.
    delays: Vec<Histogram<u64>>,
}

/// Upper bound of the delay histograms; longer delays are recorded as this value.
const MAX_DELAY_US: u64 = 600_000_000;

/// Returns an empty histogram of delays in microseconds.
pub fn delay_histogram() -> Histogram<u64> {
    // Creation fails only for unsupported bounds or precision, and these are supported.
    Histogram::new_with_bounds(1, MAX_DELAY_US, 3).expect("valid histogram bounds")
}

impl PurgeAcks {
    /// Creates a tracker for this number of daemons.
    pub fn new(daemons: usize) -> Self {
        PurgeAcks {
            writers: BTreeMap::new(),
            delays: (0..daemons).map(|_| delay_histogram()).collect(),
        }
    }

    /// Records a purge that a member issued at an index of its log.
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

    /// Records that a daemon acknowledged a member's log up to an index.
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

    /// Returns the number of purges issued by hollow members.
    pub fn total(&self) -> usize {
        self.writers.values().map(|log| log.purges.len()).sum()
    }

    /// Returns the number of purges that a daemon has not acknowledged.
    pub fn missing(&self, daemon: usize) -> usize {
        self.writers
            .values()
            .map(|log| log.purges.len() - log.acknowledged[daemon])
            .sum()
    }

    /// Returns the acknowledgement delays of a daemon.
    pub fn delays(&self, daemon: usize) -> &Histogram<u64> {
        &self.delays[daemon]
    }
}
