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

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario::Fault;

    fn with(faults: Vec<Fault>) -> Scenario {
        let text = include_str!("../scenarios/chuseok-evening.json");
        Scenario {
            faults,
            ..Scenario::read(text).unwrap()
        }
    }

    #[test]
    fn faults_become_steps_in_the_order_of_time() {
        let fault = |at, lasts, what| Fault { at, lasts, what };
        let scenario = with(vec![
            fault(10.0, 5.0, What::BoxDies { boxes: 2, first: 0 }),
            fault(2.0, 0.0, What::BoxDrains { boxes: 1, first: 3 }),
            fault(12.0, 1.5, What::SlowOrigin { times: 4.0 }),
            fault(
                3.0,
                2.0,
                What::BoxStalls {
                    boxes: 1,
                    first: 11,
                },
            ),
            fault(15.0, 0.0, What::BusBreaks),
            fault(
                16.0,
                2.0,
                What::ProxyKilled {
                    proxies: 2,
                    first: 1,
                },
            ),
            fault(
                17.0,
                0.0,
                What::ProxyStopped {
                    proxies: 1,
                    first: 0,
                },
            ),
            fault(
                20.0,
                2.0,
                What::ProxyStalled {
                    proxies: 1,
                    first: 2,
                },
            ),
            fault(
                21.0,
                3.0,
                What::Links {
                    proxies: 1,
                    first: 0,
                    conditions: LinkConditions::CUT,
                    one_way: true,
                },
            ),
        ]);
        let steps = timetable(&scenario);
        let (a, b) = (box_uid(0), box_uid(1));
        assert_eq!(
            steps,
            [
                (2_000_000, Step::Drain(box_uid(3))),
                (3_000_000, Step::Stall(box_uid(11), 2_000_000)),
                (10_000_000, Step::Down(a.clone())),
                (10_000_000, Step::Down(b.clone())),
                (12_000_000, Step::Origin(4.0)),
                (13_500_000, Step::Origin(1.0)),
                (15_000_000, Step::Back(a)),
                (15_000_000, Step::Back(b)),
                (15_000_000, Step::CutBus),
                (16_000_000, Step::Kill(1)),
                (16_000_000, Step::Kill(2)),
                (17_000_000, Step::Term(0)),
                (18_000_000, Step::Restart(1)),
                (18_000_000, Step::Restart(2)),
                (20_000_000, Step::Freeze(2)),
                (21_000_000, Step::Links(vec![0], LinkConditions::CUT, true)),
                (22_000_000, Step::Thaw(2)),
                (
                    24_000_000,
                    Step::Links(vec![0], LinkConditions::default(), true)
                ),
            ]
        );
        assert_eq!(timetable(&with(vec![])), []);
    }

    #[test]
    fn a_fault_of_more_boxes_than_there_are_is_refused_by_its_key() {
        let mut text: serde_json::Value =
            serde_json::from_str(include_str!("../scenarios/chuseok-evening.json")).unwrap();
        text["faults"] = serde_json::json!([{"at": 1, "what": {"box-dies": {"boxes": 13}}}]);
        let message = Scenario::read(&text.to_string()).unwrap_err().to_string();
        assert!(
            message.starts_with("faults[0].what.boxes: 13 is not from 1 to 12"),
            "{message}"
        );
        text["faults"] =
            serde_json::json!([{"at": 1, "what": {"box-stalls": {"boxes": 3, "first": 10}}}]);
        let message = Scenario::read(&text.to_string()).unwrap_err().to_string();
        assert!(
            message.starts_with("faults[0].what.boxes: 3 is not from 1 to 2"),
            "{message}"
        );
        let links = |weather: serde_json::Value| serde_json::json!([{"at": 1, "lasts": 1, "what": {"links": {"proxies": 1, "weather": weather}}}]);
        text["faults"] = links(serde_json::json!({"drop": 0.5}));
        let message = Scenario::read(&text.to_string()).unwrap_err().to_string();
        assert!(
            message.starts_with("faults[0].what.links: the proxies have no links"),
            "{message}"
        );
        text["peers"] = true.into();
        assert!(Scenario::read(&text.to_string()).is_ok());
        text["faults"] = links(serde_json::json!({"drop": 7}));
        let message = Scenario::read(&text.to_string()).unwrap_err().to_string();
        assert!(
            message.starts_with("faults[0].what.links.weather.drop: 7 is not from 0 to 1"),
            "{message}"
        );
        text["faults"] = links(serde_json::json!({"trickle": 7}));
        let message = Scenario::read(&text.to_string()).unwrap_err().to_string();
        assert!(
            message.starts_with("faults[0].what.links.weather.trickle: the proxies send"),
            "{message}"
        );
        text["faults"] = serde_json::json!([{"at": 1, "what": {"links": {"proxies": 3, "weather": {"cut": true}}}}]);
        let message = Scenario::read(&text.to_string()).unwrap_err().to_string();
        assert!(
            message.starts_with("faults[0].what.links.proxies: there are no others"),
            "{message}"
        );
        text["faults"] = serde_json::json!([{"at": 1, "what": {"proxy-stalled": {"proxies": 1}}}]);
        let message = Scenario::read(&text.to_string()).unwrap_err().to_string();
        assert!(
            message.starts_with("faults[0].lasts: a stall must end"),
            "{message}"
        );
        text["faults"] =
            serde_json::json!([{"at": 1, "what": {"proxy-killed": {"proxies": 1, "first": 3}}}]);
        let message = Scenario::read(&text.to_string()).unwrap_err().to_string();
        assert!(
            message.starts_with("faults[0].what.first: 3 is not from 0 to 2"),
            "{message}"
        );
    }
}
