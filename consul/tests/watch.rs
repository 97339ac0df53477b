//! The watch with scripted responses: blocking queries, omissions, failures, staleness and rate limits.

mod common;

use common::{
    catalog, instance, mapping, ready_instances, WatchFixture, CATALOG_PATH, HEALTH_PATH,
    MILLISECOND_US,
};
use linnetknot::{Micros, State};
use linnetknot_consul::{Consistency, Options, ResponseTimeouts, TransportError, WatchEvent};
use linnetknot_discovery::{Evidence, Reason};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{json, Value};

#[test]
fn queries_block_after_the_index_and_restart_if_it_goes_backwards() {
    let mut fixture = WatchFixture::new(|_| {});
    assert_eq!(fixture.exchange(9, &ready_instances(&["a"])), HEALTH_PATH);
    for (to, next) in [
        (9, "?index=9&wait=10000ms"),
        (3, ""),
        (4, "?index=4&wait=10000ms"),
        (0, "?index=1&wait=10000ms"),
    ] {
        fixture.exchange(to, &ready_instances(&["a"]));
        assert_eq!(
            fixture
                .watch
                .clone()
                .poll(fixture.now + 10_000_000)
                .unwrap()
                .target,
            format!("{HEALTH_PATH}{next}")
        );
    }
    assert!(matches!(
        fixture.events[..],
        [
            WatchEvent::IndexReset { from: 9, to: 3 },
            WatchEvent::IndexReset { from: 4, to: 0 }
        ]
    ));
    // A missing or malformed index counts as 0, and the next query still blocks.
    for headers in [&[][..], &[("x-consul-index", "soon")]] {
        fixture.next_call();
        fixture.respond(
            200,
            headers,
            Value::from(ready_instances(&["a"])).to_string().as_bytes(),
        );
        let next = fixture
            .watch
            .clone()
            .poll(fixture.now + 10_000_000)
            .unwrap()
            .target;
        assert_eq!(next, format!("{HEALTH_PATH}?index=1&wait=10000ms"));
    }
}

#[test]
fn options_are_query_parameters_and_the_filter_is_sent_only_to_the_health_api() {
    let mut fixture = WatchFixture::new(|options| {
        (options.datacenter, options.namespace) = (Some("dc2".into()), Some("media".into()));
        (options.tags, options.filter) = (vec!["v 1".into()], Some("Service.Port != 1".into()));
        options.consistency = Consistency::Stale;
    });
    let target = fixture.exchange(5, &ready_instances(&["a", "b", "c"]));
    assert_eq!(
        target,
        format!("{HEALTH_PATH}?stale&dc=dc2&ns=media&tag=v+1&filter=Service.Port+%21%3D+1")
    );
    fixture.exchange(6, &ready_instances(&["a", "b"]));
    assert_eq!(
        fixture.exchange(6, &catalog(&["a", "b"])),
        format!("{CATALOG_PATH}?stale&dc=dc2&ns=media&tag=v+1")
    );
}

#[test]
fn a_catalog_response_with_an_unidentified_entry_removes_nothing() {
    let mut fixture = WatchFixture::new(|_| {});
    fixture.exchange(5, &ready_instances(&["a", "b"]));
    fixture.exchange(6, &ready_instances(&["a"]));
    let mut all = catalog(&["a", "b"]);
    all[1]["ServiceID"] = json!(7);
    fixture.exchange(7, &all);
    assert_eq!(
        fixture.states(),
        [("a", State::Ready), ("b", State::Draining)]
    );
    let mut foreign = catalog(&["a", "b"]);
    (foreign[0]["Node"], foreign[1]["ServiceTags"]) = (json!(3), json!("x"));
    fixture.exchange(8, &foreign);
    assert_eq!(
        fixture.states(),
        [("a", State::Ready), ("b", State::Draining)]
    );
}

#[test]
fn an_omitted_cache_drains_and_is_removed_once_the_catalog_confirms_it() {
    let mut fixture = WatchFixture::new(|_| {});
    fixture.exchange(5, &ready_instances(&["a", "b", "c"]));
    fixture.exchange(6, &ready_instances(&["a", "b"]));
    assert_eq!(fixture.states()[2], ("c", State::Draining));
    assert_eq!(fixture.reason("c"), &Reason::NoHealth);
    assert_eq!(
        fixture.exchange(1, &catalog(&["a", "b", "c"])),
        CATALOG_PATH
    );
    assert_eq!(
        fixture.states()[2],
        ("c", State::Draining),
        "registered, but not listed with its health"
    );
    fixture.exchange(7, &ready_instances(&["a", "b"]));
    fixture.exchange(1, &catalog(&["a", "b"]));
    assert_eq!(fixture.states(), [("a", State::Ready), ("b", State::Ready)]);
    // Without omissions, the catalog is not queried.
    assert!(fixture
        .exchange(8, &ready_instances(&["a", "b"]))
        .starts_with(HEALTH_PATH));
    assert!(fixture
        .exchange(9, &ready_instances(&["a", "b"]))
        .starts_with(HEALTH_PATH));
}

const ALL_IDS: [&str; 5] = ["a", "b", "c", "d", "e"];

/// An empty list that the catalog confirms is correct and must be applied.
#[test]
fn too_many_omissions_are_applied_only_after_confirmation() {
    let mut fixture = WatchFixture::new(|options| options.agents = 2);
    fixture.exchange(5, &ready_instances(&ALL_IDS));
    fixture.exchange(6, &[]);
    assert_eq!(
        fixture
            .states()
            .iter()
            .filter(|s| s.1 == State::Ready)
            .count(),
        5,
        "no cache is removed before the confirmation"
    );
    assert!(matches!(
        fixture.events[..],
        [WatchEvent::ConfirmationPending {
            listed: 0,
            known: 5
        }]
    ));
    let call = fixture.next_call();
    assert_eq!(
        (call.target, call.agent),
        (format!("{CATALOG_PATH}?consistent"), 1),
        "the confirmation comes from the other agent"
    );
    fixture.respond(200, &[("x-consul-index", "6")], b"[]");
    assert!(fixture.list.is_empty() && fixture.events.last() == Some(&WatchEvent::Confirmed));
}

/// The empty list is wrong, since the catalog still lists the instances.
#[test]
fn omissions_that_the_catalog_contradicts_remove_no_cache() {
    let mut fixture = WatchFixture::new(|_| {});
    fixture.exchange(5, &ready_instances(&ALL_IDS));
    for _ in 0..2 {
        fixture.exchange(6, &[]);
        fixture.exchange(6, &catalog(&ALL_IDS));
        assert_eq!(
            fixture
                .states()
                .iter()
                .filter(|s| s.1 == State::Ready)
                .count(),
            5
        );
    }
    assert!(
        matches!(
            fixture.events[..],
            [
                WatchEvent::ConfirmationPending { .. },
                WatchEvent::Contradicted { registered: 5 }
            ]
        ),
        "{:?}",
        fixture.events
    );
    // After repeated contradictions the health response is applied: the omitted caches drain, but are not removed.
    fixture.exchange(6, &[]);
    fixture.exchange(6, &catalog(&ALL_IDS));
    fixture.exchange(6, &[]);
    assert!(
        fixture.states().iter().all(|s| s.1 == State::Draining),
        "{:?}",
        fixture.states()
    );
}

/// An unconfirmed response is applied to the caches that it lists.
#[test]
fn an_unconfirmed_response_updates_listed_caches_and_retains_a_restored_list() {
    let mut fixture = WatchFixture::new(|_| {});
    fixture.exchange(5, &ready_instances(&ALL_IDS));
    fixture.exchange(6, &[instance("a", 7000, &[("c", "critical")])]);
    assert_eq!(
        fixture.states()[..2],
        [("a", State::Draining), ("b", State::Ready)]
    );
    // The query that should confirm the omissions fails, so the list is retained.
    fixture.next_call();
    fixture.respond(500, &[], b"No cluster leader");
    assert_eq!(fixture.states().len(), 5);
    assert_eq!(fixture.exchange(7, &ready_instances(&ALL_IDS)), HEALTH_PATH);
    assert_eq!(fixture.states()[0], ("a", State::Ready));
    // A restored list is retained in the same way.
    let cached: Vec<_> = fixture.list.values().map(|r| r.entry.clone()).collect();
    let mut fixture = WatchFixture::new(|_| {});
    let Evidence::Full(reports) = fixture.watch.restore(&cached) else {
        panic!("a full list")
    };
    assert_eq!((reports.len(), &reports[0].reason), (5, &Reason::Cached));
    fixture.list = reports
        .into_iter()
        .map(|r| (r.entry.uid.clone(), r))
        .collect();
    fixture.exchange(1, &[]);
    assert_eq!(fixture.states().len(), 5);
}

#[test]
fn failures_keep_the_list_and_lead_to_the_next_agent_with_backoff() {
    let list = Value::from(ready_instances(&["a"])).to_string();
    let truncated = &list.as_bytes()[..list.len() - 9];
    let mut fixture = WatchFixture::new(|options| options.agents = 3);
    fixture.exchange(5, &ready_instances(&["a"]));
    let start = fixture.now;
    let mut agents = Vec::new();
    for n in 0..12 {
        agents.push(fixture.next_call().agent);
        match n % 6 {
            0 => fixture.respond(500, &[], b"No cluster leader"),
            1 => fixture.respond(200, &[], truncated),
            2 => fixture.respond(200, &[], b"{}"),
            3 => fixture.respond(
                403,
                &[],
                b"Permission denied: token with AccessorID '' lacks permission",
            ),
            4 => fixture.respond(200, &[("x-consul-knownleader", "false")], list.as_bytes()),
            _ => {
                let update = fixture
                    .watch
                    .on_failure(fixture.now, TransportError::TimedOut);
                fixture.apply(update)
            }
        };
        assert_eq!(fixture.states(), [("a", State::Ready)]);
        if n == 1 {
            assert!(
                fixture.now - start < 100 * MILLISECOND_US,
                "the other agents are queried at once"
            );
        }
    }
    assert_eq!(agents, [0, 1, 2, 0, 1, 2, 0, 1, 2, 0, 1, 2]);
    let elapsed_us = fixture.now - start;
    assert!(
        (5_000_000..25_000_000).contains(&elapsed_us),
        "{elapsed_us}"
    );
    assert!(fixture
        .events
        .iter()
        .any(|n| matches!(n, WatchEvent::QueryFailed { error, .. } if error.to_string().contains("No cluster leader"))));
    fixture.exchange(9, &ready_instances(&["a", "b"]));
    assert!(matches!(
        fixture.events.last(),
        Some(WatchEvent::Recovered { failures: 12, .. })
    ));
    assert_eq!(fixture.list.len(), 2);
    // After a failover the first agent is tried again.
    let mut fixture = WatchFixture::new(|options| options.agents = 2);
    fixture.next_call();
    let update = fixture
        .watch
        .on_failure(fixture.now, TransportError::Unreachable);
    fixture.apply(update);
    fixture.exchange(5, &ready_instances(&["a"]));
    assert_eq!(fixture.next_call().agent, 1);
    fixture.now += 100_000_000;
    fixture.respond(200, &[("x-consul-index", "5")], list.as_bytes());
    assert_eq!(fixture.next_call().agent, 0);
}

/// The bounds of a response without a blocking wait: its first byte, its silence and its whole.
fn bounds_of_next_call(fixture: &mut WatchFixture) -> [Micros; 3] {
    let timeouts = fixture.next_call().timeouts;
    [
        timeouts.first_byte_us,
        timeouts.silence_us,
        timeouts.total_us,
    ]
}

fn fail_next_call(fixture: &mut WatchFixture, error: TransportError) -> [Micros; 3] {
    let bounds = bounds_of_next_call(fixture);
    let update = fixture.watch.on_failure(fixture.now, error);
    fixture.apply(update);
    bounds
}

const SILENCE_US: Micros = 500 * MILLISECOND_US;

/// The usual bounds of a list, times a factor.
fn bounds_times(factor: Micros) -> [Micros; 3] {
    [SILENCE_US, SILENCE_US, 20 * SILENCE_US].map(|bound| factor * bound)
}

#[test]
fn a_list_that_was_cut_off_twice_gets_longer_bounds_until_one_is_complete() {
    let mut fixture = WatchFixture::new(|options| options.silence_timeout_us = SILENCE_US);
    let cut_off = |fixture: &mut WatchFixture| fail_next_call(fixture, TransportError::TimedOut);
    for factor in [1, 1, 2, 4, 4, 4] {
        assert_eq!(cut_off(&mut fixture), bounds_times(factor));
    }
    // Only time-outs count, and only a complete list is a reason to return to the usual bounds.
    for error in [TransportError::Unreachable, TransportError::Truncated] {
        assert_eq!(fail_next_call(&mut fixture, error), bounds_times(4));
    }
    fixture.next_call();
    fixture.respond(500, &[], b"No cluster leader");
    assert_eq!(bounds_of_next_call(&mut fixture), bounds_times(4));
    let list = Value::from(ready_instances(&["a", "b"])).to_string();
    fixture.respond(200, &[], list.as_bytes());
    // The next call blocks: the wait and its jitter are added, but not to the bound for silence.
    let wait_us = 10_000_000 + 10_000_000 / 16;
    let blocking = [wait_us + SILENCE_US, SILENCE_US, wait_us + 20 * SILENCE_US];
    assert_eq!(cut_off(&mut fixture), blocking);
    assert_eq!(cut_off(&mut fixture), bounds_times(1));
    assert_eq!(cut_off(&mut fixture), bounds_times(2));
    // Other options count from the start.
    let options = Options {
        silence_timeout_us: SILENCE_US,
        ..Options::default()
    };
    fixture.watch.reconfigure(options, mapping());
    assert_eq!(cut_off(&mut fixture), bounds_times(1));
}

/// A catalog list follows each health list, so the health lists must not return it to the usual bounds.
#[test]
fn a_catalog_list_that_is_cut_off_gets_longer_bounds_although_health_lists_are_complete() {
    let mut fixture = WatchFixture::new(|options| options.silence_timeout_us = SILENCE_US);
    fixture.exchange(5, &ready_instances(&["a", "b", "c"]));
    for factor in [1, 1, 2, 4] {
        fixture.exchange(6, &ready_instances(&["a", "b"]));
        let bounds = fail_next_call(&mut fixture, TransportError::TimedOut);
        assert_eq!(bounds, bounds_times(factor));
    }
    fixture.exchange(6, &ready_instances(&["a", "b"]));
    fixture.exchange(6, &catalog(&["a", "b", "c"]));
    fixture.exchange(7, &ready_instances(&["a", "b"]));
    assert_eq!(bounds_of_next_call(&mut fixture), bounds_times(1));
}

#[test]
fn a_response_is_due_by_its_last_byte_and_within_the_bound_for_the_whole() {
    let timeouts = ResponseTimeouts {
        first_byte_us: 30,
        silence_us: 10,
        total_us: 100,
    };
    for (last_byte_at, deadline) in [
        (None, 1030),
        (Some(1001), 1011),
        (Some(1030), 1040),
        (Some(1090), 1100),
        (Some(1099), 1100),
    ] {
        assert_eq!(timeouts.deadline(1000, last_byte_at), deadline);
    }
    assert_eq!(timeouts.deadline(Micros::MAX, None), Micros::MAX);
}

#[test]
fn retry_after_delays_the_next_query_up_to_a_limit() {
    let mut fixture = WatchFixture::new(|_| {});
    fixture.next_call();
    fixture.respond(
        429,
        &[("retry-after", "7")],
        b"Your IP is issuing too many concurrent connections",
    );
    let delay = fixture.watch.due().unwrap() - fixture.now;
    assert!((7_000_000..8_000_000).contains(&delay), "{delay}");
    fixture.next_call();
    fixture.respond(503, &[("retry-after", "99999999")], b"");
    assert!(
        fixture.watch.due().unwrap() - fixture.now < 61_000_000,
        "Retry-After is limited"
    );
}

#[test]
fn a_stale_response_is_used_only_within_the_limit() {
    let mut fixture = WatchFixture::new(|options| options.consistency = Consistency::Stale);
    let list = Value::from(ready_instances(&["a"])).to_string();
    fixture.next_call();
    fixture.respond(
        200,
        &[("x-consul-lastcontact", "400"), ("x-consul-index", "5")],
        list.as_bytes(),
    );
    assert_eq!(fixture.list.len(), 1);
    assert!(fixture.next_call().target.contains("stale"));
    fixture.respond(
        200,
        &[("x-consul-lastcontact", "1001"), ("x-consul-index", "6")],
        b"[]",
    );
    assert_eq!(
        (fixture.list.len(), fixture.events.last()),
        (1, Some(&WatchEvent::StaleResponse(1_001_000)))
    );
    let call = fixture.next_call();
    assert!(
        !call.target.contains("stale"),
        "the leader is queried: {}",
        call.target
    );
}

#[test]
fn queries_are_rate_limited_after_unchanged_and_long_responses() {
    let mut fixture = WatchFixture::new(|_| {});
    fixture.exchange(5, &ready_instances(&["a"]));
    let start = fixture.now;
    for n in 0..60 {
        // The index changes with each response, but the list does not.
        fixture.exchange(6 + n, &ready_instances(&["a"]));
    }
    assert!(
        fixture.now - start > 20_000_000,
        "{} ms for 60 responses",
        (fixture.now - start) / MILLISECOND_US
    );
    // After a change the next query is due immediately.
    fixture.exchange(99, &ready_instances(&["a", "b"]));
    assert!(fixture.watch.due().unwrap() - fixture.now <= 10 * MILLISECOND_US);
    // If an agent shortens the wait to 1 s, the next query is due as soon as the agent's response arrives.
    let call = fixture.next_call();
    assert!(call.timeouts.first_byte_us > 10_000_000);
    fixture.now += 1_000_000;
    fixture.respond(
        200,
        &[("x-consul-index", "99")],
        Value::from(ready_instances(&["a", "b"]))
            .to_string()
            .as_bytes(),
    );
    assert_eq!(fixture.watch.due(), Some(fixture.now));
    fixture.next_call();
    let long_body = format!(
        "{}{}",
        Value::from(ready_instances(&["a", "b"])),
        " ".repeat(5_000_000)
    );
    fixture.respond(200, &[("x-consul-index", "99")], long_body.as_bytes());
    assert!(
        fixture.watch.due().unwrap() >= fixture.now + 50 * MILLISECOND_US,
        "the next query is delayed by the size of the body"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256, rng_seed: RngSeed::Fixed(0x11ae), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Arbitrary bytes as the body, or inserted into a valid body, must not cause a panic or empty the list.
    #[test]
    fn arbitrary_bytes_in_a_body_never_panic_or_empty_the_list(
        garbage in proptest::collection::vec(any::<u8>(), 0..64),
        position in any::<usize>(),
        status in 100u16..600,
    ) {
        let mut fixture = WatchFixture::new(|_| {});
        fixture.exchange(5, &ready_instances(&["a", "b", "c"]));
        let valid = Value::from(ready_instances(&["a", "b", "c"])).to_string().into_bytes();
        let position = position % valid.len();
        for body in [garbage.clone(), [&valid[..position], &garbage[..], &valid[position..]].concat()] {
            fixture.next_call();
            fixture.respond(if position % 2 == 0 { 200 } else { status }, &[("x-consul-index", "6")], &body);
            prop_assert!(!fixture.list.is_empty());
        }
    }
}
