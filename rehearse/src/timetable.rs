//! The faults of a scenario as a timetable: what is done to which node at which microsecond of the play.
//!
//! Sans-IO: the player carries each step out on the served world and the event buses. Steps come in the order of
//! their time; of two at one time, in the order of the faults that make them.

use crate::links::LinkConditions;
use crate::record::Micros;
use crate::scenario::{Scenario, What};

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
    let us = |seconds: f64| (seconds * 1e6) as Micros;
    let mut steps = Vec::new();
    for f in &scenario.faults {
        let (at, end) = (us(f.at), (f.lasts > 0.0).then(|| us(f.at + f.lasts)));
        let boxes = |n: &u32, first: &u32| (*first..first + n).map(box_uid);
        match &f.what {
            What::BoxDrains { boxes: n, first } | What::BoxDies { boxes: n, first } => {
                let drains = matches!(f.what, What::BoxDrains { .. });
                let gone = |uid| {
                    if drains {
                        Step::Drain(uid)
                    } else {
                        Step::Down(uid)
                    }
                };
                steps.extend(boxes(n, first).map(|uid| (at, gone(uid))));
                let back = end
                    .into_iter()
                    .flat_map(|end| boxes(n, first).map(move |uid| (end, Step::Back(uid))));
                steps.extend(back);
            }
            What::BoxStalls { boxes: n, first } => {
                steps.extend(boxes(n, first).map(|uid| (at, Step::Stall(uid, us(f.lasts)))));
            }
            What::SlowOrigin { times } => {
                steps.push((at, Step::Origin(*times)));
                steps.extend(end.map(|end| (end, Step::Origin(1.0))));
            }
            What::BusBreaks => steps.push((at, Step::CutBus)),
            What::ProxyKilled { proxies, first } | What::ProxyStopped { proxies, first } => {
                let killed = matches!(f.what, What::ProxyKilled { .. });
                let which = (*first..first + proxies).map(|n| n as usize);
                steps.extend(
                    which
                        .clone()
                        .map(|n| (at, if killed { Step::Kill(n) } else { Step::Term(n) })),
                );
                steps.extend(
                    end.into_iter()
                        .flat_map(|end| which.clone().map(move |n| (end, Step::Restart(n)))),
                );
            }
            What::ProxyStalled { proxies, first } => {
                for n in (*first..first + proxies).map(|n| n as usize) {
                    steps.push((at, Step::Freeze(n)));
                    steps.extend(end.map(|end| (end, Step::Thaw(n))));
                }
            }
            What::Links {
                proxies,
                first,
                conditions,
                one_way,
            } => {
                let which: Vec<usize> = (*first..first + proxies).map(|n| n as usize).collect();
                steps.extend(end.map(|end| {
                    (
                        end,
                        Step::Links(which.clone(), LinkConditions::default(), *one_way),
                    )
                }));
                steps.push((at, Step::Links(which, *conditions, *one_way)));
            }
            What::MassPurge { .. } | What::HotObject { .. } => {}
        }
    }
    // Stable: at one time, the order of the faults stands.
    steps.sort_by_key(|s| s.0);
    steps
}
