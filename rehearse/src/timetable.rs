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
    Drain(String),
    /// A box is taken down without a word.
    Down(String),
    /// A box is started anew, empty and cold, and the proxies are told that it is ready since now.
    Back(String),
    /// A box sends nothing for this long, in microseconds.
    Stall(String, Micros),
    /// The origin is this many times as slow from now on.
    Origin(f64),
    /// The event bus ends the connections of its readers.
    CutBus,
    /// A proxy's process is killed.
    Kill(usize),
    /// A proxy's process is told to end.
    Term(usize),
    /// A proxy is started again, once its process has ended.
    Restart(usize),
    /// A proxy's process stands still.
    Freeze(usize),
    /// It goes on.
    Thaw(usize),
    /// The links of these proxies with all others have these conditions from now on; only those away from them where
    /// it is one way.
    Links(Vec<usize>, LinkConditions, bool),
}

/// The uid of the box at this place; the player names boxes so.
pub fn box_uid(n: u32) -> String {
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
fn boxes(count: u32, first: u32) -> impl Iterator<Item = String> + Clone {
    (first..first + count).map(box_uid)
}

/// So many proxies from the first on.
fn proxies(count: u32, first: u32) -> impl Iterator<Item = usize> + Clone {
    (first..first + count).map(|n| n as usize)
}

/// The steps of one fault.
fn steps_of(fault: &Fault) -> Vec<(Micros, Step)> {
    let period = Period::of(fault);
    match &fault.what {
        What::BoxDrains { boxes: n, first } => {
            period.steps(boxes(*n, *first), Step::Drain, Step::Back)
        }
        What::BoxDies { boxes: n, first } => {
            period.steps(boxes(*n, *first), Step::Down, Step::Back)
        }
        What::BoxStalls { boxes: n, first } => boxes(*n, *first)
            .map(|uid| (period.at, Step::Stall(uid, micros(fault.lasts))))
            .collect(),
        What::SlowOrigin { times } => {
            period.steps(std::iter::once(*times), Step::Origin, |_| Step::Origin(1.0))
        }
        What::BusBreaks => vec![(period.at, Step::CutBus)],
        What::ProxyKilled { proxies: n, first } => {
            period.steps(proxies(*n, *first), Step::Kill, Step::Restart)
        }
        What::ProxyStopped { proxies: n, first } => {
            period.steps(proxies(*n, *first), Step::Term, Step::Restart)
        }
        What::ProxyStalled { proxies: n, first } => {
            period.steps(proxies(*n, *first), Step::Freeze, Step::Thaw)
        }
        What::Links {
            proxies: n,
            first,
            conditions,
            one_way,
        } => {
            let which: Vec<usize> = proxies(*n, *first).collect();
            period.steps(
                std::iter::once(which),
                |which| Step::Links(which, *conditions, *one_way),
                |which| Step::Links(which, LinkConditions::default(), *one_way),
            )
        }
        What::MassPurge { .. } | What::HotObject { .. } => Vec::new(),
    }
}
