//! Options for starting a fleet of daemons in a test.

use serde_json::Value;
use std::path::Path;

/// What happens to the disk of a proxy at a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disk {
    /// The proxy finds all files that it had written.
    Kept,
    /// The proxy starts with an empty disk, as on a new machine.
    Lost,
}

/// Setup of a fleet.
#[derive(Clone, Debug)]
pub struct Setup<'a> {
    /// Path of the daemon's executable.
    pub daemon: &'a Path,
    /// Number of proxies that run from the start, each on its own machine.
    pub running: usize,
    /// Names of proxies that are not started yet; `restart` starts them.
    pub later: &'a [&'a str],
    /// Seed of the faults of the links.
    pub seed: u64,
    /// Number of other machines that a commit waits for; `None` disables replication.
    pub wait: Option<usize>,
    /// Timeout of a commit, in milliseconds; `None` uses the daemon's default.
    pub within_ms: Option<u64>,
    /// Machine name that all proxies use for themselves, in conflict with their peers' files; `None` gives each its
    /// own.
    pub machine: Option<&'a str>,
    /// The `budgets` section of the operators' file; null disables shared budgets.
    pub budgets: Value,
    /// Request deadline of all classes, in microseconds; `None` uses the deadlines of `settings`.
    pub deadline_us: Option<u64>,
    /// Fail points enabled in all proxies at each start (`Process::start_with_fail_points`).
    pub fail_points: &'a str,
    /// Number of purges stored individually before older ones are compacted; `None` uses the daemon's default.
    pub exact_purges: Option<usize>,
}

impl<'a> Setup<'a> {
    /// Returns the setup of proxies that replicate, with commits that wait for one other machine.
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
