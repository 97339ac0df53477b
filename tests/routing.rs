//! Tests of routing without failures, and of equal decisions for equal inputs.

mod common;
use common::*;
use linnetknot::*;
use std::collections::{BTreeMap, BTreeSet};

fn cache_by_object(harness: &mut RouterHarness, n: usize) -> BTreeMap<usize, ServerId> {
    (0..n)
        .map(|n| {
            let s = harness.send_request("video", &format!("/o/{n}"));
            harness.end_attempt_with(s.request, 0, s.server, Outcome::Ok, Note::Hit);
            (n, s.server)
        })
        .collect()
}

#[test]
fn each_object_maps_to_one_cache_and_all_caches_of_the_location_are_used() {
    let mut a = RouterHarness::new(settings(), fleet());
    let mut b = RouterHarness::new(settings(), fleet());
    b.now += 60 * S;
    let (one, two) = (cache_by_object(&mut a, 300), cache_by_object(&mut b, 300));
    assert_eq!(one, two, "all routers use the same ranking");
    assert_eq!(
        one.values().collect::<BTreeSet<_>>(),
        BTreeSet::from([&1, &2, &3, &4])
    );
}

#[test]
fn removing_a_cache_moves_only_its_own_objects() {
    let before = cache_by_object(&mut RouterHarness::new(settings(), fleet()), 300);
    let fewer: Vec<Server> = fleet().into_iter().filter(|s| s.id != 3).collect();
    let after = cache_by_object(&mut RouterHarness::new(settings(), fewer), 300);
    for (n, cache) in &before {
        if *cache != 3 {
            assert_eq!(after[n], *cache);
        }
    }
}

#[test]
fn the_number_of_copies_follows_the_share_of_requests() {
    // With four caches, an object that gets a third of all requests is stored on two caches, and an object that gets
    // all requests is stored on all four.
    for (others, copies) in [(2, 2), (0, 4)] {
        let mut harness = RouterHarness::new(settings(), fleet());
        let mut used = BTreeSet::new();
        for n in 0..600 {
            let s = harness.send_request("video", "/o/hot");
            harness.end_attempt_with(s.request, 0, s.server, Outcome::Ok, Note::Hit);
            if n > 300 {
                used.insert(s.server);
            }
            for k in 0..others {
                let s = harness.send_request("video", &format!("/o/{n}-{k}"));
                harness.end_attempt_with(s.request, 0, s.server, Outcome::Ok, Note::Hit);
            }
        }
        assert_eq!(used.len(), copies);
    }
}

#[test]
fn request_counts_decay() {
    let mut harness = RouterHarness::new(settings(), fleet());
    for _ in 0..200 {
        let s = harness.send_request("video", "/o/hot");
        harness.end_attempt_with(s.request, 0, s.server, Outcome::Ok, Note::Hit);
    }
    harness.now += 300 * S;
    let mut used = BTreeSet::new();
    for n in 0..200 {
        for object in [format!("/o/{n}"), format!("/o/b{n}"), "/o/hot".to_string()] {
            let hot = object == "/o/hot";
            if hot && n % 20 != 0 {
                continue;
            }
            let s = harness.send_request("video", &object);
            harness.end_attempt_with(s.request, 0, s.server, Outcome::Ok, Note::Hit);
            if hot {
                used.insert(s.server);
            }
        }
    }
    assert_eq!(
        used.len(),
        1,
        "an object that was popular long ago has one copy"
    );
}

#[test]
fn fills_of_an_object_use_one_parent_or_the_origin_without_parents() {
    let mut harness = RouterHarness::new(settings(), fleet());
    let (a, b) = (
        harness.send_request("video", "/o/a"),
        harness.send_request("video", "/o/a"),
    );
    assert_eq!(a.fill.source, b.fill.source);
    assert!(a.fill.source == 11 || a.fill.source == 12);
    let few = fleet().into_iter().filter(|s| s.kind != "parent").collect();
    let mut harness = RouterHarness::new(
        Settings {
            parent_kind: None,
            ..settings()
        },
        few,
    );
    assert_eq!(harness.send_request("video", "/o/a").fill.source, 21);
}

#[test]
fn a_part_requested_again_is_cached_at_a_higher_rank() {
    let mut harness = RouterHarness::new(settings(), fleet());
    let (a, b) = (
        harness.send_request("video", "/o/a"),
        harness.send_request("video", "/o/a"),
    );
    assert_eq!((a.fill.cache_rank, b.fill.cache_rank), (1, 2));
}

fn replay_step(router: &mut Router, seed: u64, step: u64) -> Vec<Action> {
    let mut actions = Vec::new();
    let now = START + step * 7 * MS;
    let request = Request {
        id: step + 1,
        class: if step % 3 == 0 { "page" } else { "video" }.into(),
        tenant: None,
        object: format!("/o/{}", (step * step + seed) % 17),
        part: step % 5,
        group: 1,
        size_kb: 300.0,
        remaining_us: 3 * S,
        is_retry: false,
    };
    router.handle(now, Event::Request(request), &mut actions);
    if let Some(s) = sent(&actions).filter(|_| step % 4 != 0) {
        let event = Event::AttemptEnded {
            request: s.request,
            attempt: 0,
            server: s.server,
            outcome: if step % 7 == 0 {
                Outcome::Error
            } else {
                Outcome::Ok
            },
            took_us: 50 * MS,
            settled: step % 7 != 0,
            note: Note::Hit,
            first_byte_us: 0,
            load: None,
        };
        router.handle(now + MS, event, &mut actions);
    }
    if step % 10 == 0 {
        router.handle(now + MS, Event::Timer { tag: 0 }, &mut actions);
    }
    actions
}

fn started_router(seed: u64) -> Router {
    let mut router = Router::new(settings(), seed).expect("valid settings");
    router.handle(
        START,
        Event::List {
            mode: ListMode::Full,
            servers: fleet(),
        },
        &mut Vec::new(),
    );
    router
}

#[test]
fn equal_events_give_equal_actions_and_routers_share_no_state() {
    let (mut a, mut b) = (started_router(1), started_router(2));
    let first_actions: Vec<_> = (0..500).map(|n| replay_step(&mut a, 1, n)).collect();
    let second_actions: Vec<_> = (0..500).map(|n| replay_step(&mut b, 2, n)).collect();
    let (mut a, mut b) = (started_router(1), started_router(2));
    for n in 0..500 {
        assert_eq!(replay_step(&mut a, 1, n), first_actions[n as usize]);
        assert_eq!(replay_step(&mut b, 2, n), second_actions[n as usize]);
    }
}

#[test]
fn events_for_unknown_requests_and_servers_are_ignored() {
    let mut harness = RouterHarness::new(settings(), fleet());
    assert!(harness.end_attempt(999, 0, 1, Outcome::Error).is_empty());
    assert!(harness.end_attempt(999, 3, 777, Outcome::Ok).is_empty());
    assert!(harness.handle(Event::Timer { tag: 12_345 }).is_empty());
    assert!(harness
        .handle(Event::ClientLeft { request: 999 })
        .is_empty());
    assert!(harness
        .handle(Event::StreamStarted {
            request: 999,
            attempt: 0
        })
        .is_empty());
    let outcome = Outcome::Ok;
    assert!(harness
        .handle(Event::ProbeEnded {
            server: 777,
            outcome,
            took_us: 1,
            load: None
        })
        .is_empty());
    let gone = Server {
        state: State::Gone,
        ..server(777, "nowhere", "thing")
    };
    assert!(harness
        .handle(Event::List {
            mode: ListMode::Delta,
            servers: vec![gone]
        })
        .is_empty());
    let s = harness.send_request("video", "/o/a");
    assert!(
        harness
            .end_attempt(s.request, 5, s.server, Outcome::Error)
            .is_empty(),
        "no such attempt"
    );
    let (id, actions) = harness.request("no such class", "/o/a", 5 * S);
    assert_eq!(
        actions,
        vec![Action::Refuse {
            request: id,
            retry_after_us: None
        }]
    );
}

#[test]
fn requests_are_refused_immediately_without_servers() {
    let mut harness = RouterHarness::new(settings(), vec![]);
    for class in ["video", "page", "order", "charge"] {
        assert_eq!(final_answers(&harness.request(class, "/o/a", 5 * S).1), 1);
    }
}

#[test]
fn invalid_settings_are_rejected() {
    let error = |change: &dyn Fn(&mut Settings)| {
        let mut s = settings();
        change(&mut s);
        Router::new(s, 1).err()
    };
    assert_eq!(error(&|s| s.classes.clear()), Some(SettingsError::NoClass));
    assert_eq!(error(&|s| s.zone = 3), Some(SettingsError::ZoneOutOfRange));
    assert_eq!(
        error(&|s| s.zones[1].parent_zone = 9),
        Some(SettingsError::ZoneOutOfRange)
    );
    assert_eq!(
        error(&|s| s.rules.overload_window_us = 0),
        Some(SettingsError::InvalidValue("fall time"))
    );
    assert_eq!(
        error(&|s| s.max_attempts = 0),
        Some(SettingsError::InvalidValue("attempts"))
    );
    assert_eq!(
        error(&|s| s.flow_kb_per_s = f64::NAN),
        Some(SettingsError::InvalidValue("flow"))
    );
    assert_eq!(
        error(&|s| s.rules.slow_start_share = -1.0),
        Some(SettingsError::InvalidValue("cold share"))
    );
    assert_eq!(error(&|_| ()), None);
}
