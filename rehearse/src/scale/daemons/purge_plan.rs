//! Schedule of the purges of a run, and the clients that send the daemons' share of them.

use super::real;
use crate::scale::purge_number::{object, PurgeNumber};
use hdrhistogram::Histogram;
use linnetknot_datagram::Random;
use linnetknot_simnet::Micros;
use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const SECOND_US: Micros = 1_000_000;

/// Scheduled purge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedPurge {
    /// Time after the start of the load.
    pub after_us: Micros,
    /// Number of the purge.
    pub number: PurgeNumber,
    /// Member at which the purge is issued.
    pub member: usize,
}

/// Schedules purges at an even rate, each at a member drawn uniformly at random.
pub fn plan(members: usize, per_second: u64, seconds: u64, seed: u64) -> Vec<PlannedPurge> {
    let mut random = Random::new(seed);
    let purges = per_second * seconds;
    let planned = (0..purges).map(|number| PlannedPurge {
        after_us: seconds * SECOND_US * number / purges,
        number,
        member: random.below(members as u64) as usize,
    });
    planned.collect()
}

/// Results of the purges that one daemon received through its CDNI interface.
#[derive(Debug)]
pub struct TriggerOutcome {
    /// Response times in microseconds.
    pub response_times: Histogram<u64>,
    /// Descriptions of the refused purges.
    pub refused: Vec<String>,
}

/// Client on its own thread that sends the scheduled purges of one daemon.
pub struct TriggerClient(JoinHandle<TriggerOutcome>);

impl TriggerClient {
    /// Starts the client.
    pub fn start(cdni: SocketAddr, purges: Vec<PlannedPurge>) -> Self {
        let started_at = Instant::now();
        TriggerClient(thread::spawn(move || {
            send_triggers(cdni, &purges, started_at)
        }))
    }

    /// Returns whether all purges have been answered.
    pub fn is_finished(&self) -> bool {
        self.0.is_finished()
    }

    /// Waits until all purges have been answered.
    pub fn join(self) -> TriggerOutcome {
        let on_panic = |_| TriggerOutcome {
            response_times: super::acks::delay_histogram(),
            refused: vec!["purge client panicked".to_owned()],
        };
        self.0.join().unwrap_or_else(on_panic)
    }
}

fn send_triggers(cdni: SocketAddr, purges: &[PlannedPurge], started_at: Instant) -> TriggerOutcome {
    let mut outcome = TriggerOutcome {
        response_times: super::acks::delay_histogram(),
        refused: Vec::new(),
    };
    for purge in purges {
        let due = started_at + Duration::from_micros(purge.after_us);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let sent = Instant::now();
        match real::purge(cdni, &object(purge.number)) {
            Ok(()) => outcome
                .response_times
                .saturating_record(sent.elapsed().as_micros() as u64),
            Err(reason) => outcome
                .refused
                .push(format!("purge {}: {reason}", purge.number)),
        }
    }
    outcome
}
