//! Tests of the timetable of faults and of invalid faults.

use linnetknot_harness::links::LinkConditions;
use linnetknot_rehearse::scenario::{Fault, Scenario, What};
use linnetknot_rehearse::timetable::{cache_uid, timetable, Step};

fn with(faults: Vec<Fault>) -> Scenario {
    let text = include_str!("../scenarios/chuseok-evening.json");
    Scenario {
        faults,
        ..Scenario::read(text).unwrap()
    }
}

fn fault(at: f64, lasts: f64, what: What) -> Fault {
    Fault { at, lasts, what }
}

/// Returns a fault of each kind that adds steps to the timetable. The faults are not sorted by time.
fn faults() -> Vec<Fault> {
    vec![
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
    ]
}

#[test]
fn faults_become_steps_in_time_order() {
    let steps = timetable(&with(faults()));
    let (a, b) = (cache_uid(0), cache_uid(1));
    assert_eq!(
        steps,
        [
            (2_000_000, Step::DrainCache(cache_uid(3))),
            (3_000_000, Step::StallCache(cache_uid(11), 2_000_000)),
            (10_000_000, Step::StopCache(a.clone())),
            (10_000_000, Step::StopCache(b.clone())),
            (12_000_000, Step::SlowOrigin(4.0)),
            (13_500_000, Step::SlowOrigin(1.0)),
            (15_000_000, Step::StartCache(a)),
            (15_000_000, Step::StartCache(b)),
            (15_000_000, Step::CloseBusConnections),
            (16_000_000, Step::KillProxy(1)),
            (16_000_000, Step::KillProxy(2)),
            (17_000_000, Step::TerminateProxy(0)),
            (18_000_000, Step::RestartProxy(1)),
            (18_000_000, Step::RestartProxy(2)),
            (20_000_000, Step::FreezeProxy(2)),
            (
                21_000_000,
                Step::SetLinks(vec![0], LinkConditions::CUT, true)
            ),
            (22_000_000, Step::ThawProxy(2)),
            (
                24_000_000,
                Step::SetLinks(vec![0], LinkConditions::default(), true)
            ),
        ]
    );
    assert_eq!(timetable(&with(vec![])), []);
}

#[test]
fn invalid_faults_are_rejected_with_the_path_of_the_key() {
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
    text["faults"] =
        serde_json::json!([{"at": 1, "what": {"links": {"proxies": 3, "weather": {"cut": true}}}}]);
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
