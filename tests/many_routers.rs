//! Behaviour of one router that must also hold for hundreds of routers together, and for many servers, objects and
//! parents.

mod common;
use common::*;
use linnetknot::*;
use std::collections::BTreeSet;

/// Returns the transfer seconds that `routers` routers of a location send to one warming server while each receives
/// `requests_each` requests at once.
fn transfer_s_sent(routers: u32, requests_each: usize, warming: ServerId) -> f64 {
    let mut settings = Settings {
        direct_to_upstream: false,
        ..settings()
    };
    settings.zones[1].routers = routers;
    settings.zones[2].routers = 0;
    settings.zones[1].link_kb_per_s = 1e9;
    let mut servers = fleet();
    let index = servers
        .iter()
        .position(|s| s.id == warming)
        .expect("a server of the fleet");
    servers[index].started = Some(START - S);
    let mut sum = 0.0;
    for seed in 0..u64::from(routers) {
        let mut router =
            Router::new(settings.clone(), seed.wrapping_mul(0x9e37_79b9)).expect("valid settings");
        let mut actions = Vec::new();
        router.handle(
            START,
            Event::List {
                mode: ListMode::Full,
                servers: servers.clone(),
            },
            &mut actions,
        );
        for n in 0..requests_each {
            let request = Request {
                id: n as u64 + 1,
                class: "video".into(),
                tenant: None,
                object: format!("/o/{n}"),
                part: 0,
                group: 1,
                size_kb: 500.0,
                remaining_us: 5 * S,
                is_retry: false,
            };
            router.handle(START, Event::Request(request), &mut actions);
        }
        let is_to_warming = |a: &&Action| match a {
            Action::Attempt {
                server,
                fill: Some(fill),
                ..
            } => *server == warming || fill.source == warming,
            _ => false,
        };
        sum += 0.1 * actions.iter().filter(is_to_warming).count() as f64;
    }
    sum
}

#[test]
fn one_or_hundreds_of_routers_use_a_warming_cache_within_its_budget() {
    // The cache starts with a share of 0.2 of 8 transfers, and the slow-start rule allows 3 times its capacity in 1 s.
    let limit = 0.2 * 8.0 * 3.0;
    for routers in [1, 8, 200] {
        let sum = transfer_s_sent(routers, 60, 1);
        assert!(sum > 0.0, "{routers} routers send nothing");
        assert!(
            sum < limit,
            "{routers} routers send {sum}, the limit is {limit}"
        );
    }
}

#[test]
fn one_or_hundreds_of_routers_use_a_warming_parent_within_its_budget() {
    let limit = 0.1 * 30.0 * 2.0;
    for routers in [1, 8, 200] {
        let sum = transfer_s_sent(routers, 60, 11);
        assert!(sum > 0.0, "{routers} routers send nothing");
        assert!(
            sum < limit,
            "{routers} routers send {sum}, the limit is {limit}"
        );
    }
}

#[test]
fn a_few_transfers_of_one_router_among_hundreds_do_not_fill_a_cache() {
    let mut settings = settings();
    settings.zones[1].routers = 200;
    let mut harness = RouterHarness::new(settings, fleet());
    let servers: BTreeSet<ServerId> = (0..3)
        .map(|_| harness.send_request("video", "/o/same").server)
        .collect();
    assert_eq!(servers.len(), 1, "all requests go to the object's cache");
}

#[test]
fn the_second_parent_fills_if_the_first_is_clearly_slower() {
    let parent_of =
        |harness: &mut RouterHarness, n: usize| harness.send_request("video", &format!("/o/{n}"));
    let run = |slow_ms: u64, size_told: bool| {
        let flow = if size_told { 5_000.0 } else { 0.0 };
        let mut harness = RouterHarness::new(
            Settings {
                flow_kb_per_s: flow,
                ..settings()
            },
            fleet(),
        );
        let first = parent_of(&mut harness, 0).fill.source;
        let mut uses_of_first = 0;
        for n in 0..60 {
            let s = parent_of(&mut harness, n % 6);
            let took_us = if s.fill.source == first {
                slow_ms * MS
            } else {
                150 * MS
            };
            harness.now += 20 * MS;
            harness.handle(Event::AttemptEnded {
                request: s.request,
                attempt: 0,
                server: s.server,
                outcome: Outcome::Ok,
                took_us,
                settled: true,
                note: Note::Filled,
                first_byte_us: 0,
                load: None,
            });
            uses_of_first += usize::from(n >= 40 && s.fill.source == first);
        }
        uses_of_first
    };
    assert_eq!(run(900, true), 0, "the first parent is six times slower");
    assert!(
        run(200, true) > 0,
        "the first parent is only slightly slower"
    );
    assert!(run(900, false) > 0, "sizes are unknown");
}

#[test]
fn actions_do_not_depend_on_the_order_of_the_server_list() {
    let list: Vec<Server> = (1..=300)
        .map(|id| server(id, if id % 20 == 0 { "town" } else { "shore" }, "cache"))
        .chain([
            server(1011, "hub", "parent"),
            server(1012, "hub", "parent"),
            server(1021, "hub", "origin"),
        ])
        .collect();
    let mut reversed = list.clone();
    reversed.reverse();
    let run = |servers: Vec<Server>| {
        let mut harness = RouterHarness::new(settings(), servers);
        (0..200)
            .map(|n| harness.request("video", &format!("/o/{}", n % 50), 5 * S).1)
            .collect::<Vec<_>>()
    };
    assert_eq!(run(list), run(reversed));
}

#[test]
fn invalid_load_reports_are_ignored() {
    let run = |load: Option<Load>| {
        let mut harness = RouterHarness::new(settings(), fleet());
        (0..50)
            .map(|n| {
                let s = harness.send_request("video", &format!("/o/{n}"));
                harness.now += 10 * MS;
                harness.handle(Event::AttemptEnded {
                    request: s.request,
                    attempt: 0,
                    server: s.server,
                    outcome: Outcome::Ok,
                    took_us: 100 * MS,
                    settled: true,
                    note: Note::Hit,
                    first_byte_us: 0,
                    load,
                });
                s
            })
            .collect::<Vec<_>>()
    };
    let calm = run(None);
    for value in [f64::NAN, f64::INFINITY, -1.0, 0.0, 1e300] {
        let all = Some(value);
        assert_eq!(
            run(Some(Load {
                cpu_utilisation: all,
                in_flight: all,
                hit_ratio: all,
                link_utilisation: all
            })),
            calm
        );
    }
}

#[test]
fn popular_objects_stay_counted_if_the_table_is_full() {
    let mut harness = RouterHarness::new(settings(), fleet());
    let mut last_rank = None;
    for n in 0..30_000u64 {
        let popular = n % 3 == 0;
        let object = if popular {
            "/o/often".to_string()
        } else {
            format!("/o/{n}")
        };
        let (id, actions) = harness.request("page", &object, 5 * S);
        if let Some(s) = sent(&actions) {
            harness.end_attempt_with(id, 0, s.server, Outcome::Ok, Note::Hit);
            last_rank = last_rank
                .filter(|_| !popular)
                .or(popular.then_some(s.fill.cache_rank));
        }
        harness.now += MS / 10;
    }
    assert_eq!(last_rank, Some(2), "the object is still counted");
}

#[test]
fn unknown_classes_are_refused_and_unknown_servers_are_added() {
    let mut harness = RouterHarness::new(settings(), fleet());
    let (id, actions) = harness.request("no-such-class", "/o/a", 5 * S);
    assert_eq!(
        actions,
        vec![Action::Refuse {
            request: id,
            retry_after_us: None
        }]
    );
    let removed = Server {
        state: State::Gone,
        ..server(77, "town", "cache")
    };
    harness.handle(Event::List {
        mode: ListMode::Delta,
        servers: vec![removed],
    });
    let new = server(78, "town", "cache");
    harness.handle(Event::List {
        mode: ListMode::Delta,
        servers: vec![new],
    });
    let servers: BTreeSet<ServerId> = (0..60)
        .map(|n| harness.send_request("page", &format!("/o/{n}")).server)
        .collect();
    assert!(!servers.contains(&77), "the removed server is not used");
    assert!(servers.contains(&78), "the added server is used");
    assert!(
        !servers.contains(&5),
        "a cache of another location is not used"
    );
}

/// Guards against routers with few fills that avoid a link long after its congestion has ended.
#[test]
fn a_router_with_few_fills_avoids_a_congested_link_and_uses_it_again_within_seconds() {
    let mut settings = settings();
    settings
        .zones
        .iter_mut()
        .for_each(|z| z.link_kb_per_s = 0.0);
    settings.zones[1].routers = 16;
    let mut harness = RouterHarness::new(settings, fleet());
    let fill = |harness: &mut RouterHarness, n: usize| {
        let s = harness.send_request("video", &format!("/o/{n}"));
        (s.fill.source != s.server).then_some(s)
    };
    // Transfers of 0.1 s each: during one second of congestion, eight fills take four times as long.
    let fills: Vec<SentAttempt> = (0..8).filter_map(|n| fill(&mut harness, n)).collect();
    assert_eq!(fills.len(), 8, "the link's capacity is not known yet");
    for s in fills {
        harness.now += 60 * MS;
        harness.tick();
        harness.handle(Event::AttemptEnded {
            request: s.request,
            attempt: 0,
            server: s.server,
            outcome: Outcome::Ok,
            took_us: 480 * MS,
            settled: true,
            note: Note::Filled,
            first_byte_us: 0,
            load: None,
        });
    }
    assert!(fill(&mut harness, 100).is_none(), "the link is congested");
    for _ in 0..60 {
        harness.now += 50 * MS;
        harness.tick();
    }
    assert!(
        fill(&mut harness, 101).is_some(),
        "the link has been idle for three seconds"
    );
}

/// Guards against an overloaded origin that goes unnoticed because one of a hundred routers sees few of its answers.
#[test]
fn unanswered_fills_reduce_origin_admission_if_the_caches_are_healthy() {
    let admitted_if = |cache_answers: bool| {
        let mut settings = settings();
        settings.zones[1].link_kb_per_s = 1e9;
        let mut harness = RouterHarness::new(settings, fleet());
        let end = |harness: &mut RouterHarness, s: SentAttempt, outcome, note, took_us| {
            harness.handle(Event::AttemptEnded {
                request: s.request,
                attempt: 0,
                server: s.server,
                outcome,
                took_us,
                settled: outcome == Outcome::Ok,
                note,
                first_byte_us: 0,
                load: None,
            })
        };
        for n in 0..30 {
            let fill = harness.send_request("video", &format!("/o/{n}"));
            let others: Vec<SentAttempt> = (0..12)
                .map(|m| harness.send_request("video", &format!("/hit/{m}")))
                .collect();
            harness.now += 200 * MS;
            for s in others {
                let outcome = if cache_answers {
                    Outcome::Ok
                } else {
                    Outcome::Miss
                };
                end(&mut harness, s, outcome, Note::Hit, 110 * MS);
            }
            harness.now += 800 * MS;
            end(&mut harness, fill, Outcome::Timeout, Note::None, S);
        }
        let admitted = (0..100).filter(|n| {
            let s = harness.send_request("video", &format!("/p/{n}"));
            harness.now += 110 * MS;
            end(&mut harness, s, Outcome::Ok, Note::Hit, 110 * MS);
            assert_ne!(s.fill.source, s.server, "the link has capacity");
            !s.fill.only_if_cached
        });
        admitted.count()
    };
    let share = admitted_if(true);
    assert!(
        (1..20).contains(&share),
        "{share} of 100 requests may reach the origin"
    );
    assert_eq!(
        admitted_if(false),
        100,
        "silent caches say nothing about the origin"
    );
}

/// One of a hundred routers receives an origin answer about every half second. Guards against reacting so slowly that
/// the origin stays overloaded for seconds and then idle.
#[test]
fn origin_admission_follows_the_origin_within_six_answers() {
    let mut settings = settings();
    settings.zones[1].link_kb_per_s = 1e9;
    let mut harness = RouterHarness::new(settings, fleet());
    let mut next = 0;
    let mut end = |harness: &mut RouterHarness, note: Note, first_byte_us: Micros| {
        next += 1;
        let s = harness.send_request("video", &format!("/o/{next}"));
        harness.now += 110 * MS + first_byte_us;
        harness.handle(Event::AttemptEnded {
            request: s.request,
            attempt: 0,
            server: s.server,
            outcome: Outcome::Ok,
            took_us: 110 * MS + first_byte_us,
            settled: true,
            note,
            first_byte_us,
            load: None,
        });
        !s.fill.only_if_cached
    };
    let mut admitted_after_answers = |first_byte_us: Micros| {
        for _ in 0..6 {
            harness.now += 500 * MS;
            end(&mut harness, Note::FilledByOrigin, first_byte_us);
        }
        (0..100).filter(|_| end(&mut harness, Note::Hit, 0)).count()
    };
    assert_eq!(admitted_after_answers(100 * MS), 100);
    assert!(
        admitted_after_answers(900 * MS) < 15,
        "the share falls with late answers"
    );
    assert!(
        admitted_after_answers(100 * MS) > 85,
        "the share rises with timely answers"
    );
}

/// While the origin is slow, most fills may use only a parent's copy. Guards against asking each parent in turn, which
/// delays the client and adds load.
#[test]
fn a_miss_in_two_parents_is_not_retried_at_a_third_or_in_the_cache() {
    let mut servers = fleet();
    servers.extend([server(13, "hub", "parent"), server(14, "hub", "parent")]);
    let mut harness = RouterHarness::new(
        Settings {
            direct_to_upstream: false,
            ..settings()
        },
        servers,
    );
    let first = harness.send_request("video", "/o/a");
    let miss = |harness: &mut RouterHarness, attempt| {
        let end = (Outcome::Miss, Note::SourceLacks);
        harness.end_attempt_with(first.request, attempt, first.server, end.0, end.1)
    };
    let second = sent(&miss(&mut harness, 0)).expect("an attempt with the second parent");
    assert!(second.server == first.server && second.fill.source != first.fill.source);
    let last = miss(&mut harness, 1);
    assert!(matches!(last[..], [Action::Refuse { .. }]), "{last:?}");
}

/// Guards against cache misses at siblings that use up the attempts allowed at parents.
#[test]
fn a_miss_in_a_sibling_is_still_retried_at_two_parents() {
    let mut servers = fleet();
    servers[0].started = Some(START - 9 * S);
    let config = Settings {
        siblings: Siblings::Location,
        direct_to_upstream: false,
        ..settings()
    };
    let mut harness = RouterHarness::new(config, servers);
    let by_sibling = (0..40)
        .map(|n| harness.send_request("video", &format!("/o/{n}")))
        .find(|s| s.fill.source <= 4);
    let first = by_sibling.expect("a fill of the warming cache from another cache");
    let miss = harness.end_attempt_with(
        first.request,
        0,
        first.server,
        Outcome::Miss,
        Note::SourceLacks,
    );
    let second = sent(&miss).expect("an attempt with a parent");
    let refused = harness.end_attempt_with(
        second.request,
        1,
        second.server,
        Outcome::Full,
        Note::SourceRefused,
    );
    let third = sent(&refused).expect("an attempt with the other parent");
    assert_eq!(
        [second.fill.source, third.fill.source]
            .iter()
            .collect::<BTreeSet<_>>()
            .len(),
        2
    );
    assert!(second.fill.source > 10 && third.fill.source > 10);
}
