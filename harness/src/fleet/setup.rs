//! What a fleet is started with.

use serde_json::Value;
use std::path::Path;

/// How a process is to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disk {
    /// With what it had written.
    Kept,
    /// On a new machine: nothing is left.
    Lost,
}

/// What a fleet is started with.
#[derive(Clone, Debug)]
pub struct Setup<'a> {
    /// The daemon.
    pub daemon: &'a Path,
    /// Proxies that run from the start, each on a machine of its own.
    pub running: usize,
    /// Machines that are not there yet, by the names that their proxies will have: `restart` begins them.
    pub later: &'a [&'a str],
    /// Draws what the links do.
    pub seed: u64,
    /// Further machines that a commit waits for; none: nothing is replicated.
    pub wait: Option<usize>,
    /// How long a commit may wait; none: as long as the daemon's default says.
    pub within_ms: Option<u64>,
    /// The machine that all of them say they stand on, whatever the others' files say; none: each on its own.
    pub machine: Option<&'a str>,
    /// What all of them spend together, as the operators' file has it; null: nothing is shared.
    pub budgets: Value,
    /// When clients give up, for all classes, in microseconds; none: as the settings of a small deployment have it.
    pub deadline_us: Option<u64>,
    /// Points that are armed in all of them, at each start (`Process::start_with_fail_points`).
    pub fail_points: &'a str,
    /// Purges that each of them holds one by one before older ones are compacted; none: as many as usual.
    pub exact_purges: Option<usize>,
}

impl<'a> Setup<'a> {
    /// So many proxies that replicate, with commits that wait for one further machine.
    pub fn replicating(daemon: &'a Path, running: usize, seed: u64) -> Self {
        Setup {
            daemon,
            running,
            later: &[],
            seed,
            wait: Some(1),
            within_ms: None,
            machine: None,
            budgets: Value::Null,
            deadline_us: None,
            fail_points: "",
            exact_purges: None,
        }
    }
}
