//! The faults of a scenario as a timetable: what is done to which node at which microsecond of the play.
//!
//! Sans-IO: the player carries each step out on the fake site and the event buses. Steps come in the order of
//! their time; of two at one time, in the order of the faults that make them.

use crate::record::Micros;
use crate::scenario::{Fault, Scenario, What};
use linnetknot_harness::links::LinkConditions;

/// One step of the timetable.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// The proxies are told that a box drains.
    DrainCache(String),
    /// A box is taken down without a word.
    StopCache(String),
    /// A box is started anew, empty and cold, and the proxies are told that it is ready since now.
    StartCache(String),
    /// A box sends nothing for this long, in microseconds.
    StallCache(String, Micros),
    /// The origin is this many times as slow from now on.
    SlowOrigin(f64),
    /// The event bus ends the connections of its readers.
    CloseBusConnections,
    /// A proxy's process is killed.
    KillProxy(usize),
    /// A proxy's process is told to end.
    TerminateProxy(usize),
    /// A proxy is started again, once its process has ended.
    RestartProxy(usize),
    /// A proxy's process stands still.
    FreezeProxy(usize),
    /// It goes on.
    ThawProxy(usize),
    /// The links of these proxies with all others have these conditions from now on; only those away from them where
    /// it is one way.
    SetLinks(Vec<usize>, LinkConditions, bool),
}

/// The uid of the box at this place; the player names boxes so.
pub fn cache_uid(n: u32) -> String {
    format!("s-{n:08x}")
}

/// The steps of a scenario's faults, from the start of its load, in the order of time.
pub fn timetable(scenario: &Scenario) -> Vec<(Micros, Step)> {
    let mut steps: Vec<(Micros, Step)> = scenario.faults.iter().flat_map(steps_of).collect();
    // Stable: at one time, the order of the faults stands.
    steps.sort_by_key(|(at, _)| *at);
    steps
}

/// The microsecond of the play at which so many seconds have passed.
fn micros(seconds: f64) -> Micros {
    (seconds * 1e6) as Micros
}

/// When a fault begins, and when it ends if it does.
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

    /// A step for each of these when the fault begins, and one for each when it ends.
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

/// The uids of so many boxes from the first on.
fn cache_uids(count: u32, first: u32) -> impl Iterator<Item = String> + Clone {
    (first..first + count).map(cache_uid)
}

/// So many proxies from the first on.
fn proxy_indices(count: u32, first: u32) -> impl Iterator<Item = usize> + Clone {
    (first..first + count).map(|n| n as usize)
}

/// The steps of one fault.
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
