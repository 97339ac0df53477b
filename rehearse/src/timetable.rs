//! The faults of a scenario as a timetable of steps.
//!
//! It does no I/O; the player carries out each step on the fake site, the event buses and the proxies. Steps are in order of
//! time, and those at the same time in the order of their faults.

use crate::record::Micros;
use crate::scenario::{Fault, Scenario, What};
use linnetknot_harness::links::LinkConditions;

/// One step of the timetable.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Announces to the proxies that a cache is draining.
    DrainCache(String),
    /// Stops a cache without a notice.
    StopCache(String),
    /// Starts a cache again, empty and cold, and announces it to the proxies as ready.
    StartCache(String),
    /// Stalls a cache for this many microseconds.
    StallCache(String, Micros),
    /// Slows the origin down by this factor.
    SlowOrigin(f64),
    /// Closes the connections of the event bus's readers.
    CloseBusConnections,
    /// Kills a proxy's process (SIGKILL).
    KillProxy(usize),
    /// Terminates a proxy's process (SIGTERM).
    TerminateProxy(usize),
    /// Starts a proxy again once its process has ended.
    RestartProxy(usize),
    /// Stops a proxy's process (SIGSTOP).
    FreezeProxy(usize),
    /// Resumes a proxy's process (SIGCONT).
    ThawProxy(usize),
    /// Sets the conditions of the links between these proxies and all others, or only of those from these proxies if the
    /// flag for one direction is set.
    SetLinks(Vec<usize>, LinkConditions, bool),
}

/// Returns the uid of the edge cache with this index.
pub fn cache_uid(n: u32) -> String {
    format!("s-{n:08x}")
}

/// Returns the steps of a scenario's faults in order of time, counted from the start of the load.
pub fn timetable(scenario: &Scenario) -> Vec<(Micros, Step)> {
    let mut steps: Vec<(Micros, Step)> = scenario.faults.iter().flat_map(steps_of).collect();
    // The sort is stable and keeps the order of the faults for steps at the same time.
    steps.sort_by_key(|(at, _)| *at);
    steps
}

fn micros(seconds: f64) -> Micros {
    (seconds * 1e6) as Micros
}

/// The start of a fault and its end, if it ends.
#[derive(Clone, Copy)]
struct Period {
    at: Micros,
    end: Option<Micros>,
}

impl Period {
    fn of(fault: &Fault) -> Self {
        let lasts = fault.lasts > 0.0;
        Period {
            at: micros(fault.at),
            end: lasts.then(|| micros(fault.at + fault.lasts)),
        }
    }

    /// Returns a step for each item at the start of the fault and one for each at its end.
    fn steps<T: Clone>(
        self,
        which: impl Iterator<Item = T> + Clone,
        begin: impl Fn(T) -> Step,
        end: impl Fn(T) -> Step,
    ) -> Vec<(Micros, Step)> {
        let begun = which.clone().map(|one| (self.at, begin(one)));
        let ended = self.end.into_iter();
        let ended = ended.flat_map(|at| which.clone().map(move |one| (at, one)));
        begun.chain(ended.map(|(at, one)| (at, end(one)))).collect()
    }
}

/// Returns the uids of `count` edge caches from the index `first` on.
fn cache_uids(count: u32, first: u32) -> impl Iterator<Item = String> + Clone {
    (first..first + count).map(cache_uid)
}

/// Returns the indexes of `count` proxies from `first` on.
fn proxy_indices(count: u32, first: u32) -> impl Iterator<Item = usize> + Clone {
    (first..first + count).map(|n| n as usize)
}

fn steps_of(fault: &Fault) -> Vec<(Micros, Step)> {
    let period = Period::of(fault);
    match &fault.what {
        What::BoxDrains { boxes: n, first } => {
            period.steps(cache_uids(*n, *first), Step::DrainCache, Step::StartCache)
        }
        What::BoxDies { boxes: n, first } => {
            period.steps(cache_uids(*n, *first), Step::StopCache, Step::StartCache)
        }
        What::BoxStalls { boxes: n, first } => cache_uids(*n, *first)
            .map(|uid| (period.at, Step::StallCache(uid, micros(fault.lasts))))
            .collect(),
        What::SlowOrigin { times } => {
            period.steps(std::iter::once(*times), Step::SlowOrigin, |_| {
                Step::SlowOrigin(1.0)
            })
        }
        What::BusBreaks => vec![(period.at, Step::CloseBusConnections)],
        What::ProxyKilled { proxies: n, first } => period.steps(
            proxy_indices(*n, *first),
            Step::KillProxy,
            Step::RestartProxy,
        ),
        What::ProxyStopped { proxies: n, first } => period.steps(
            proxy_indices(*n, *first),
            Step::TerminateProxy,
            Step::RestartProxy,
        ),
        What::ProxyStalled { proxies: n, first } => period.steps(
            proxy_indices(*n, *first),
            Step::FreezeProxy,
            Step::ThawProxy,
        ),
        What::Links {
            proxies: n,
            first,
            conditions,
            one_way,
        } => {
            let which: Vec<usize> = proxy_indices(*n, *first).collect();
            period.steps(
                std::iter::once(which),
                |which| Step::SetLinks(which, *conditions, *one_way),
                |which| Step::SetLinks(which, LinkConditions::default(), *one_way),
            )
        }
        What::MassPurge { .. } | What::HotObject { .. } => Vec::new(),
    }
}
