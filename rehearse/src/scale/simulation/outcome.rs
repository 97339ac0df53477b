//! What a run came to.

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

/// What a run came to.
#[derive(Debug)]
pub struct Outcome {
    /// Where the members stood.
    pub layout: Layout,
    /// The time in which it was measured.
    pub window: Window,
    /// What each member spent while it was measured.
    pub meters: Vec<Meter>,
    /// What each member that ran held when the measured time ended.
    pub states: BTreeMap<MemberIndex, StateSize>,
    /// Those that allocated a budget at any time.
    pub allocators: BTreeSet<MemberIndex>,
    /// Those that started while it was measured.
    pub starters: BTreeSet<MemberIndex>,
    /// The purges.
    pub purges: PurgeTracker,
    /// From a member's death until each other believed it.
    pub death_delays: Histogram<u64>,
    /// Times that a member which ran was believed to be dead.
    pub false_deaths: u64,
    /// How long a member that joined took until it had all that was there when it started.
    pub join_us: Option<Micros>,
    /// How long it took after the last purge until all connected members had the same logs.
    pub settling_us: Option<Micros>,
    /// What is wrong.
    pub verdict: Verdict,
    /// Events handled.
    pub events: u64,
    /// Real time of the whole run.
    pub real: Duration,
}
