//! The watch by scripts of responses: blocking queries, lists that shrink, failures, staleness and rate limits.

mod common;

use common::{catalogue, instance, ready, Rig, CATALOGUE, HEALTH, MS};
use linnetknot::State;
use linnetknot_consul::{Consistency, TransportError, WatchEvent};
use linnetknot_discovery::{Evidence, Reason};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{json, Value};

#[test]
fn queries_block_behind_the_index_and_start_anew_where_it_can_not_be_trusted() {
    let mut rig = Rig::new(|_| {});
    assert_eq!(rig.round(9, &ready(&["a"])), HEALTH);
    for (to, next) in [
        (9, "?index=9&wait=10000ms"),
        (3, ""),
        (4, "?index=4&wait=10000ms"),
        (0, "?index=1&wait=10000ms"),
    ] {
        rig.round(to, &ready(&["a"]));
        assert_eq!(
            rig.watch.clone().poll(rig.now + 10_000_000).unwrap().target,
            format!("{HEALTH}{next}")
        );
    }
    assert!(matches!(
        rig.events[..],
        [
            WatchEvent::IndexReset { from: 9, to: 3 },
            WatchEvent::IndexReset { from: 4, to: 0 }
        ]
    ));
    // A header that is missing, or no number, is as good as 0: the next query still waits.
    for headers in [&[][..], &[("x-consul-index", "soon")]] {
        rig.call();
        rig.answer(
            200,
            headers,
            Value::from(ready(&["a"])).to_string().as_bytes(),
        );
        let next = rig.watch.clone().poll(rig.now + 10_000_000).unwrap().target;
        assert_eq!(next, format!("{HEALTH}?index=1&wait=10000ms"));
    }
}

#[test]
fn options_stand_in_the_query_and_the_filter_in_that_of_the_health_api_only() {
    let mut rig = Rig::new(|o| {
        (o.datacenter, o.namespace) = (Some("dc2".into()), Some("media".into()));
        (o.tags, o.filter) = (vec!["v 1".into()], Some("Service.Port != 1".into()));
        o.consistency = Consistency::Stale;
    });
    let target = rig.round(5, &ready(&["a", "b", "c"]));
    assert_eq!(
        target,
        format!("{HEALTH}?stale&dc=dc2&ns=media&tag=v+1&filter=Service.Port+%21%3D+1")
    );
    rig.round(6, &ready(&["a", "b"]));
    assert_eq!(
        rig.round(6, &catalogue(&["a", "b"])),
        format!("{CATALOGUE}?stale&dc=dc2&ns=media&tag=v+1")
    );
}

#[test]
fn a_catalogue_answer_that_can_not_name_a_box_does_not_make_it_gone() {
    let mut rig = Rig::new(|_| {});
    rig.round(5, &ready(&["a", "b"]));
    rig.round(6, &ready(&["a"]));
    let mut all = catalogue(&["a", "b"]);
    all[1]["ServiceID"] = json!(7);
    rig.round(7, &all);
    assert_eq!(rig.states(), [("a", State::Ready), ("b", State::Draining)]);
    let mut foreign = catalogue(&["a", "b"]);
    (foreign[0]["Node"], foreign[1]["ServiceTags"]) = (json!(3), json!("x"));
    rig.round(8, &foreign);
    assert_eq!(rig.states(), [("a", State::Ready), ("b", State::Draining)]);
}

#[test]
fn who_is_left_out_drains_at_once_and_is_gone_once_the_catalogue_says_so() {
    let mut rig = Rig::new(|_| {});
    rig.round(5, &ready(&["a", "b", "c"]));
    rig.round(6, &ready(&["a", "b"]));
    assert_eq!(rig.states()[2], ("c", State::Draining));
    assert_eq!(rig.reason("c"), &Reason::NoHealth);
    assert_eq!(rig.round(1, &catalogue(&["a", "b", "c"])), CATALOGUE);
    assert_eq!(
        rig.states()[2],
        ("c", State::Draining),
        "registered without health"
    );
    rig.round(7, &ready(&["a", "b"]));
    rig.round(1, &catalogue(&["a", "b"]));
    assert_eq!(rig.states(), [("a", State::Ready), ("b", State::Ready)]);
    // With none left out, the catalogue is not asked.
    assert!(rig.round(8, &ready(&["a", "b"])).starts_with(HEALTH));
    assert!(rig.round(9, &ready(&["a", "b"])).starts_with(HEALTH));
}

const ALL: [&str; 5] = ["a", "b", "c", "d", "e"];

/// Empty, and true.
#[test]
fn an_answer_that_leaves_out_too_many_is_held_until_it_is_confirmed() {
    let mut rig = Rig::new(|o| o.agents = 2);
    rig.round(5, &ready(&ALL));
    rig.round(6, &[]);
    assert_eq!(
        rig.states().iter().filter(|s| s.1 == State::Ready).count(),
        5,
        "nothing is lost yet"
    );
    assert!(matches!(
        rig.events[..],
        [WatchEvent::ConfirmationPending {
            listed: 0,
            known: 5
        }]
    ));
    let call = rig.call();
    assert_eq!(
        (call.target, call.agent),
        (format!("{CATALOGUE}?consistent"), 1),
        "from the other agent"
    );
    rig.answer(200, &[("x-consul-index", "6")], b"[]");
    assert!(rig.list.is_empty() && rig.events.last() == Some(&WatchEvent::Confirmed));
}

/// Empty, and not true: a server that was restored from nothing.
#[test]
fn an_answer_that_the_catalog_contradicts_removes_nobody() {
    let mut rig = Rig::new(|_| {});
    rig.round(5, &ready(&ALL));
    for _ in 0..2 {
        rig.round(6, &[]);
        rig.round(6, &catalogue(&ALL));
        assert_eq!(
            rig.states().iter().filter(|s| s.1 == State::Ready).count(),
            5
        );
    }
    assert!(
        matches!(
            rig.events[..],
            [
                WatchEvent::ConfirmationPending { .. },
                WatchEvent::Contradicted { registered: 5 }
            ]
        ),
        "{:?}",
        rig.events
    );
    // Where it is said again and again, the catalogue is the one that errs; still nobody is gone by it.
    rig.round(6, &[]);
    rig.round(6, &catalogue(&ALL));
    rig.round(6, &[]);
    assert!(
        rig.states().iter().all(|s| s.1 == State::Draining),
        "{:?}",
        rig.states()
    );
}

/// What a held answer says of those that it names counts at once.
#[test]
fn a_held_answer_counts_for_those_that_it_names_and_a_cached_list_is_defended() {
    let mut rig = Rig::new(|_| {});
    rig.round(5, &ready(&ALL));
    rig.round(6, &[instance("a", 7000, &[("c", "critical")])]);
    assert_eq!(
        rig.states()[..2],
        [("a", State::Draining), ("b", State::Ready)]
    );
    // The confirmation fails: the list holds.
    rig.call();
    rig.answer(500, &[], b"No cluster leader");
    assert_eq!(rig.states().len(), 5);
    assert_eq!(rig.round(7, &ready(&ALL)), HEALTH);
    assert_eq!(rig.states()[0], ("a", State::Ready));
    // A list that was kept over a restart is defended in the same way.
    let cached: Vec<_> = rig.list.values().map(|r| r.entry.clone()).collect();
    let mut rig = Rig::new(|_| {});
    let Evidence::Full(reports) = rig.watch.restore(&cached) else {
        panic!("a full list")
    };
    assert_eq!((reports.len(), &reports[0].reason), (5, &Reason::Cached));
    rig.list = reports
        .into_iter()
        .map(|r| (r.entry.uid.clone(), r))
        .collect();
    rig.round(1, &[]);
    assert_eq!(rig.states().len(), 5);
}

#[test]
fn failures_change_nothing_and_are_followed_by_the_next_agent_and_growing_waits() {
    let list = Value::from(ready(&["a"])).to_string();
    let cut = &list.as_bytes()[..list.len() - 9];
    let mut rig = Rig::new(|o| o.agents = 3);
    rig.round(5, &ready(&["a"]));
    let start = rig.now;
    let mut agents = Vec::new();
    for n in 0..12 {
        agents.push(rig.call().agent);
        match n % 6 {
            0 => rig.answer(500, &[], b"No cluster leader"),
            1 => rig.answer(200, &[], cut),
            2 => rig.answer(200, &[], b"{}"),
            3 => rig.answer(
                403,
                &[],
                b"Permission denied: token with AccessorID '' lacks permission",
            ),
            4 => rig.answer(200, &[("x-consul-knownleader", "false")], list.as_bytes()),
            _ => {
                let update = rig.watch.on_failure(rig.now, TransportError::TimedOut);
                rig.apply(update)
            }
        };
        assert_eq!(rig.states(), [("a", State::Ready)]);
        if n == 1 {
            assert!(
                rig.now - start < 100 * MS,
                "the other agents are queried at once"
            );
        }
    }
    assert_eq!(agents, [0, 1, 2, 0, 1, 2, 0, 1, 2, 0, 1, 2]);
    let waited = rig.now - start;
    assert!((5_000_000..25_000_000).contains(&waited), "{waited}");
    assert!(rig
        .events
        .iter()
        .any(|n| matches!(n, WatchEvent::QueryFailed { error, .. } if error.to_string().contains("No cluster leader"))));
    rig.round(9, &ready(&["a", "b"]));
    assert!(matches!(
        rig.events.last(),
        Some(WatchEvent::Recovered { failures: 12, .. })
    ));
    assert_eq!(rig.list.len(), 2);
    // The first agent is the one that was wanted: after a while it is tried again.
    let mut rig = Rig::new(|o| o.agents = 2);
    rig.call();
    let update = rig.watch.on_failure(rig.now, TransportError::Unreachable);
    rig.apply(update);
    rig.round(5, &ready(&["a"]));
    assert_eq!(rig.call().agent, 1);
    rig.now += 100_000_000;
    rig.answer(200, &[("x-consul-index", "5")], list.as_bytes());
    assert_eq!(rig.call().agent, 0);
}

#[test]
fn an_agent_that_says_when_to_come_back_is_left_alone_until_then() {
    let mut rig = Rig::new(|_| {});
    rig.call();
    rig.answer(
        429,
        &[("retry-after", "7")],
        b"Your IP is issuing too many concurrent connections",
    );
    let wait = rig.watch.due().unwrap() - rig.now;
    assert!((7_000_000..8_000_000).contains(&wait), "{wait}");
    rig.call();
    rig.answer(503, &[("retry-after", "99999999")], b"");
    assert!(
        rig.watch.due().unwrap() - rig.now < 61_000_000,
        "but not for as long as it likes"
    );
}

#[test]
fn a_stale_answer_counts_only_within_its_bound() {
    let mut rig = Rig::new(|o| o.consistency = Consistency::Stale);
    let list = Value::from(ready(&["a"])).to_string();
    rig.call();
    rig.answer(
        200,
        &[("x-consul-lastcontact", "400"), ("x-consul-index", "5")],
        list.as_bytes(),
    );
    assert_eq!(rig.list.len(), 1);
    assert!(rig.call().target.contains("stale"));
    rig.answer(
        200,
        &[("x-consul-lastcontact", "1001"), ("x-consul-index", "6")],
        b"[]",
    );
    assert_eq!(
        (rig.list.len(), rig.events.last()),
        (1, Some(&WatchEvent::StaleResponse(1_001_000)))
    );
    let call = rig.call();
    assert!(
        !call.target.contains("stale"),
        "the leader is queried: {}",
        call.target
    );
}

#[test]
fn answers_without_news_are_paced_and_long_ones_too() {
    let mut rig = Rig::new(|_| {});
    rig.round(5, &ready(&["a"]));
    let start = rig.now;
    for n in 0..60 {
        // An index that moves all the time without a change.
        rig.round(6 + n, &ready(&["a"]));
    }
    assert!(
        rig.now - start > 20_000_000,
        "{} ms for 60 answers",
        (rig.now - start) / MS
    );
    // A change is followed at once all the same.
    rig.round(99, &ready(&["a", "b"]));
    assert!(rig.watch.due().unwrap() - rig.now <= 10 * MS);
    // An agent that cuts the wait short to a second is asked again as soon as it has answered.
    let call = rig.call();
    assert!(call.timeout_us > 10_000_000);
    rig.now += 1_000_000;
    rig.answer(
        200,
        &[("x-consul-index", "99")],
        Value::from(ready(&["a", "b"])).to_string().as_bytes(),
    );
    assert_eq!(rig.watch.due(), Some(rig.now));
    rig.call();
    let long = format!(
        "{}{}",
        Value::from(ready(&["a", "b"])),
        " ".repeat(5_000_000)
    );
    rig.answer(200, &[("x-consul-index", "99")], long.as_bytes());
    assert!(
        rig.watch.due().unwrap() >= rig.now + 50 * MS,
        "reading it took time from requests"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256, rng_seed: RngSeed::Fixed(0x11ae), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Any bytes in a valid answer's place, or in its midst, are an answer or a failure, never a panic, and a failure
    /// changes nothing.
    #[test]
    fn garbage_is_no_list(
        garbage in proptest::collection::vec(any::<u8>(), 0..64),
        at in any::<usize>(),
        status in 100u16..600,
    ) {
        let mut rig = Rig::new(|_| {});
        rig.round(5, &ready(&["a", "b", "c"]));
        let valid = Value::from(ready(&["a", "b", "c"])).to_string().into_bytes();
        let at = at % valid.len();
        for body in [garbage.clone(), [&valid[..at], &garbage[..], &valid[at..]].concat()] {
            rig.call();
            rig.answer(if at % 2 == 0 { 200 } else { status }, &[("x-consul-index", "6")], &body);
            prop_assert!(!rig.list.is_empty());
        }
    }
}
