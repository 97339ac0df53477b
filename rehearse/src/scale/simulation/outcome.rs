//! Results of a run.

use crate::scale::delivery::PurgeTracker;
use crate::scale::fault::Window;
use crate::scale::hollow::StateSize;
use crate::scale::layout::{Layout, MemberIndex};
use crate::scale::meter::Meter;
use crate::scale::verdict::Verdict;
use hdrhistogram::Histogram;
use linnetknot_simnet::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Results of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Locations of the members.
    pub layout: Layout,
    /// Measured interval.
    pub window: Window,
    /// Resource use of each member in the measured interval.
    pub meters: Vec<Meter>,
    /// State of each running member at the end of the measured interval.
    pub states: BTreeMap<MemberIndex, StateSize>,
    /// Members that allocated a budget at any time.
    pub allocators: BTreeSet<MemberIndex>,
    /// Members that started after the beginning of the run.
    pub starters: BTreeSet<MemberIndex>,
    /// Purges of the run.
    pub purges: PurgeTracker,
    /// Delays from the crash of a member until each other member detected it.
    pub death_delays: Histogram<u64>,
    /// Number of times that a running member was considered dead.
    pub false_deaths: u64,
    /// Time that a joining member needed to receive all log entries that existed when it started.
    pub join_us: Option<Micros>,
    /// Time from the end of the measured interval until all connected members had the same logs.
    pub settling_us: Option<Micros>,
    /// Rules that were broken.
    pub verdict: Verdict,
    /// Number of events handled.
    pub events: u64,
    /// Wall-clock time of the whole run.
    pub wall_time: Duration,
}
