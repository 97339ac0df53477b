//! One router against hundreds: what a router may do alone, summed over all of them.

mod common;
use common::*;
use linnetknot::*;
use std::collections::BTreeSet;

/// Fills that `routers` routers of a location point at one cold server while each has `each` requests at once.
fn sum_of_work(routers: u32, each: usize, cold: ServerId) -> f64 {
    let mut settings = Settings {
        direct_to_upstream: false,
        ..settings()
    };
    settings.zones[1].routers = routers;
    settings.zones[2].routers = 0;
    settings.zones[1].link_kb_per_s = 1e9;
    let mut servers = fleet();
    let place = servers
        .iter()
        .position(|s| s.id == cold)
        .expect("in the fleet");
    servers[place].started = Some(START - S);
    let mut sum = 0.0;
    for seed in 0..u64::from(routers) {
        let mut router =
            Router::new(settings.clone(), seed.wrapping_mul(0x9e37_79b9)).expect("usable");
        let mut actions = Vec::new();
        router.handle(
            START,
            Event::List {
                mode: ListMode::Full,
                servers: servers.clone(),
            },
            &mut actions,
        );
        for n in 0..each {
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
        let to_it = |a: &&Action| match a {
            Action::Attempt {
                server,
                fill: Some(fill),
                ..
            } => *server == cold || fill.source == cold,
            _ => false,
        };
        sum += 0.1 * actions.iter().filter(to_it).count() as f64;
    }
    sum
}

#[test]
fn one_or_hundreds_of_routers_use_a_warming_cache_within_its_budget() {
    // Share 0.2 to 1 in 10 s, 8 transfers, 3 times that in 1 s: 0.2 x 8 x 3 x 1 s at its start.
    let limit = 0.2 * 8.0 * 3.0;
    for routers in [1, 8, 200] {
        let sum = sum_of_work(routers, 60, 1);
        assert!(sum > 0.0, "{routers} routers leave it idle");
        assert!(sum < limit, "{routers} routers send {sum} of {limit}");
    }
}

#[test]
fn one_or_hundreds_of_routers_use_a_warming_parent_within_its_budget() {
    let limit = 0.1 * 30.0 * 2.0;
    for routers in [1, 8, 200] {
        let sum = sum_of_work(routers, 60, 11);
        assert!(sum > 0.0, "{routers} routers leave it idle");
        assert!(sum < limit, "{routers} routers send {sum} of {limit}");
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
    assert_eq!(
        servers.len(),
        1,
        "the object's cache is not full by this router's few transfers"
    );
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
        let mut later = 0;
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
            later += usize::from(n >= 40 && s.fill.source == first);
        }
        later
    };
    assert_eq!(run(900, true), 0, "six times as slow: the second");
    assert!(run(200, true) > 0, "a little slower: the first");
    assert!(run(900, false) > 0, "sizes not told: the first");
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
    let mut turned = list.clone();
    turned.reverse();
    let run = |servers: Vec<Server>| {
        let mut harness = RouterHarness::new(settings(), servers);
        (0..200)
            .map(|n| harness.request("video", &format!("/o/{}", n % 50), 5 * S).1)
            .collect::<Vec<_>>()
    };
    assert_eq!(run(list), run(turned));
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
    let mut last = None;
    for n in 0..30_000u64 {
        let often = n % 3 == 0;
        let object = if often {
            "/o/often".to_string()
        } else {
            format!("/o/{n}")
        };
        let (id, actions) = harness.request("page", &object, 5 * S);
        if let Some(s) = sent(&actions) {
            harness.end_attempt_with(id, 0, s.server, Outcome::Ok, Note::Hit);
            last = last
                .filter(|_| !often)
                .or(often.then_some(s.fill.cache_rank));
        }
        harness.now += MS / 10;
    }
    assert_eq!(last, Some(2), "asked for again while counted");
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
    let gone = Server {
        state: State::Gone,
        ..server(77, "town", "cache")
    };
    harness.handle(Event::List {
        mode: ListMode::Delta,
        servers: vec![gone],
    });
    let new = server(78, "town", "cache");
    harness.handle(Event::List {
        mode: ListMode::Delta,
        servers: vec![new],
    });
    let servers: BTreeSet<ServerId> = (0..60)
        .map(|n| harness.send_request("page", &format!("/o/{n}")).server)
        .collect();
    assert!(!servers.contains(&77), "it is gone");
    assert!(servers.contains(&78), "it is ready");
    assert!(!servers.contains(&5), "a cache of another location");
}

/// A router among sixteen sees few fills: what those told of a crowded link must not outlive the crowd, or all
/// sixteen hold back from a link that lies idle.
#[test]
fn a_router_with_few_fills_avoids_a_congested_link_and_uses_it_again_within_seconds() {
    let mut settings = settings();
    settings
        .zones
        .iter_mut()
        .for_each(|z| z.link_kb_per_s = 0.0);
    settings.zones[1].routers = 16;
    let mut harness = RouterHarness::new(settings, fleet());
    let filled = |harness: &mut RouterHarness, n: usize| {
        let s = harness.send_request("video", &format!("/o/{n}"));
        (s.fill.source != s.server).then_some(s)
    };
    // Parts of 0.1 s of sending: in a second of crowd eight fills take four times as long.
    let out: Vec<SentAttempt> = (0..8).filter_map(|n| filled(&mut harness, n)).collect();
    assert_eq!(out.len(), 8, "nothing is known of the link yet");
    for s in out {
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
    assert!(filled(&mut harness, 100).is_none(), "the link is crowded");
    for _ in 0..60 {
        harness.now += 50 * MS;
        harness.tick();
    }
    assert!(
        filled(&mut harness, 101).is_some(),
        "nothing has come by the link for three seconds"
    );
}

/// One of a hundred routers sees hardly an answer of an origin that is asked for more than it can do: what does not
/// come back has to tell it.
#[test]
fn unanswered_fills_reduce_origin_admission_if_the_caches_are_healthy() {
    let asked = |cache_answers: bool| {
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
        let asks = (0..100).filter(|n| {
            let s = harness.send_request("video", &format!("/p/{n}"));
            harness.now += 110 * MS;
            end(&mut harness, s, Outcome::Ok, Note::Hit, 110 * MS);
            assert_ne!(s.fill.source, s.server, "the link has room");
            !s.fill.only_if_cached
        });
        asks.count()
    };
    let share = asked(true);
    assert!(
        (1..20).contains(&share),
        "{share} of 100 may have the origin asked"
    );
    assert_eq!(
        asked(false),
        100,
        "caches that answer nothing tell nothing of the origin"
    );
}

/// One of a hundred routers has an answer of the origin every half second or so: a few of them have to do what dozens
/// do among three, or the origin stays crowded for seconds and then idle for ten more.
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
    let mut follow = |first_byte_us: Micros| {
        for _ in 0..6 {
            harness.now += 500 * MS;
            end(&mut harness, Note::FilledByOrigin, first_byte_us);
        }
        (0..100).filter(|_| end(&mut harness, Note::Hit, 0)).count()
    };
    assert_eq!(follow(100 * MS), 100);
    assert!(follow(900 * MS) < 15, "late answers");
    assert!(follow(100 * MS) > 85, "it is well again");
}

/// While the origin is slow most fills may take what a parent holds only. Each parent that is asked for it keeps the
/// client waiting and costs a way through the network, times a hundred routers.
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
    let lacks = |harness: &mut RouterHarness, attempt| {
        let end = (Outcome::Miss, Note::SourceLacks);
        harness.end_attempt_with(first.request, attempt, first.server, end.0, end.1)
    };
    let second = sent(&lacks(&mut harness, 0)).expect("the second parent may hold it");
    assert!(second.server == first.server && second.fill.source != first.fill.source);
    let last = lacks(&mut harness, 1);
    assert!(matches!(last[..], [Action::Refuse { .. }]), "{last:?}");
}

/// A sibling that lacks it is the ordinary case where caches fill each other: it must not use up the parents' tries.
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
    let first = by_sibling.expect("the cold cache is filled by another");
    let lacks = harness.end_attempt_with(
        first.request,
        0,
        first.server,
        Outcome::Miss,
        Note::SourceLacks,
    );
    let second = sent(&lacks).expect("a parent is asked");
    let refused = harness.end_attempt_with(
        second.request,
        1,
        second.server,
        Outcome::Full,
        Note::SourceRefused,
    );
    let third = sent(&refused).expect("so is the other");
    assert_eq!(
        [second.fill.source, third.fill.source]
            .iter()
            .collect::<BTreeSet<_>>()
            .len(),
        2
    );
    assert!(second.fill.source > 10 && third.fill.source > 10);
}
