//! The five rules at their edges.

mod common;
use common::*;
use linnetknot::purges::{BucketBits, BucketIndex, CompactTable, KeyHash};
use linnetknot::*;

fn alone(id: ServerId) -> Vec<Server> {
    vec![
        server(id, "town", "cache"),
        server(11, "hub", "parent"),
        server(21, "hub", "origin"),
    ]
}

#[test]
fn a_request_without_time_left_is_refused_at_once() {
    let mut rig = Rig::new(settings(), fleet());
    let (id, actions) = rig.ask("video", "/o/a", 0);
    assert_eq!(
        actions,
        vec![Action::Refuse {
            request: id,
            retry_after_us: Some(200 * MS)
        }]
    );
}

#[test]
fn a_timeout_at_the_deadline_still_gets_one_final_answer() {
    let mut rig = Rig::new(settings(), fleet());
    let s = rig.send("video", "/o/a");
    rig.now += 5 * S;
    let actions = rig.end(s.request, 0, s.server, Outcome::Timeout);
    assert_eq!(finals(&actions), 1);
    assert!(sent(&actions).is_none());
    assert!(
        rig.end(s.request, 0, s.server, Outcome::Timeout).is_empty(),
        "nothing after the final answer"
    );
}

#[test]
fn no_more_attempts_than_allowed() {
    let mut rig = Rig::new(
        Settings {
            max_attempts: 2,
            ..settings()
        },
        fleet(),
    );
    let s = rig.send("video", "/o/a");
    let again = sent(&rig.end(s.request, 0, s.server, Outcome::Error)).expect("a second attempt");
    let actions = rig.end(s.request, 1, again.server, Outcome::Error);
    assert_eq!(finals(&actions), 1);
}

#[test]
fn an_unsafe_request_that_may_have_run_fails_and_is_not_resent() {
    let mut rig = Rig::new(settings(), fleet());
    let s = rig.send("charge", "/o/a");
    let actions = rig.end(s.request, 0, s.server, Outcome::Reset);
    assert_eq!(actions, vec![Action::Fail { request: s.request }]);
}

#[test]
fn an_unsafe_request_that_never_ran_may_be_resent() {
    let mut rig = Rig::new(
        Settings {
            direct: false,
            ..settings()
        },
        fleet(),
    );
    let s = rig.send("charge", "/o/a");
    let again = sent(&rig.end(s.request, 0, s.server, Outcome::Full)).expect("a second attempt");
    let failed = rig.end(s.request, 1, again.server, Outcome::Error);
    assert_eq!(failed, vec![Action::Fail { request: s.request }]);
}

#[test]
fn a_keyed_request_is_resent_only_within_its_window() {
    for (wait, resent) in [(1_900 * MS, true), (2_000 * MS, false)] {
        let mut rig = Rig::new(settings(), fleet());
        let s = rig.send("order", "/o/a");
        assert_eq!(s.server, 21, "a write goes straight to the origin");
        rig.now += wait;
        let actions = rig.end(s.request, 0, s.server, Outcome::Error);
        assert_eq!(sent(&actions).is_some(), resent, "after {wait}");
    }
}

#[test]
fn a_keyed_request_stays_in_the_group_that_drops_its_repeats() {
    let mut s = Settings {
        direct: false,
        ..settings()
    };
    s.classes[2].scope = DedupScope::Cell;
    let mut rig = Rig::new(s, fleet());
    let first = rig.send("order", "/o/a");
    let again = sent(&rig.end(first.request, 0, first.server, Outcome::Error));
    assert_eq!(
        again.map(|a| a.server),
        Some(first.server),
        "each cache is a cell of its own"
    );
    let mut gone = server(first.server, "town", "cache");
    gone.state = State::Gone;
    rig.handle(Event::List {
        mode: ListMode::Delta,
        servers: vec![gone],
    });
    let last = rig.end(first.request, 1, first.server, Outcome::Error);
    assert_eq!(
        last,
        vec![Action::Fail {
            request: first.request
        }],
        "nor may it be refused"
    );
}

#[test]
fn drained_and_gone_servers_get_nothing_new() {
    for state in [State::Draining, State::Gone] {
        let mut rig = Rig::new(settings(), fleet());
        let change = |id, zone, kind| Server {
            state,
            ..server(id, zone, kind)
        };
        let servers = vec![change(1, "town", "cache"), change(11, "hub", "parent")];
        rig.handle(Event::List {
            mode: ListMode::Delta,
            servers,
        });
        for n in 0..60 {
            let s = rig.send("video", &format!("/o/{n}"));
            assert_ne!(s.server, 1);
            assert_ne!(s.fill.source, 11, "nor as the source of a fill");
            rig.end_with(s.request, 0, s.server, Outcome::Ok, Note::Hit);
        }
    }
}

#[test]
fn a_server_missing_from_a_full_list_gets_nothing_new() {
    let mut rig = Rig::new(settings(), fleet());
    rig.handle(Event::List {
        mode: ListMode::Full,
        servers: alone(3),
    });
    for n in 0..30 {
        let s = rig.send("video", &format!("/o/{n}"));
        assert_eq!(s.server, 3);
        rig.end_with(s.request, 0, s.server, Outcome::Ok, Note::Hit);
    }
}

fn accepted(settings: Settings, fleet: Vec<Server>, id: ServerId) -> usize {
    let mut rig = Rig::new(settings, fleet);
    (0..200)
        .filter(|n| {
            let (_, actions) = rig.ask("video", &format!("/o/{n}"), 5 * S);
            sent(&actions).is_some_and(|s| s.server == id || s.fill.source == id)
        })
        .count()
}

#[test]
fn a_cold_cache_gets_no_more_than_its_budget_in_a_window() {
    let cold = |routers| {
        let mut s = Settings {
            direct: false,
            ..settings()
        };
        s.zones[1].routers = routers;
        let mut servers = alone(1);
        servers[0].started = Some(T0);
        accepted(s, servers, 1)
    };
    // 0.1 s of work each; the rule allows 3 x 0.2 x 8 transfers for one second: 48 requests.
    assert!((1..=48).contains(&cold(1)), "{}", cold(1));
    assert!(
        (1..=24).contains(&cold(2)),
        "two routers share the budget: {}",
        cold(2)
    );
}

#[test]
fn a_cold_parent_gets_no_more_fills_than_its_budget() {
    let mut servers = alone(1);
    servers[1].started = Some(T0);
    servers[0].weight = 1000.0;
    let s = Settings {
        direct: false,
        ..settings()
    };
    let mut rig = Rig::new(s, servers);
    let fills = (0..300)
        .filter(|n| {
            let (_, actions) = rig.ask("page", &format!("/o/{n}"), 5 * S);
            sent(&actions).is_some_and(|s| s.fill.source == 11)
        })
        .count();
    // 2 x 0.1 x 30 transfers for one second, of which half is for the other location's router: 30 requests.
    assert!((1..=30).contains(&fills), "{fills}");
}

#[test]
fn no_copy_from_before_a_purge_will_do_also_long_after_servers_have_dropped_theirs() {
    let mut rig = Rig::new(settings(), fleet());
    let purge = |object: Option<&str>| Event::Purged {
        object: object.map(Into::into),
        group: 3,
        age_us: 200 * MS,
    };
    for (event, object) in [(purge(Some("/o/a")), "/o/a"), (purge(None), "/o/b")] {
        rig.handle(event);
        let start = rig.now;
        // A fill that ran across the purge may have left a copy behind after the six seconds that servers need.
        for wait in [0, 500 * MS, 5_800 * MS, 5_801 * MS, 3_600 * S] {
            rig.now = start + wait;
            rig.tick();
            let s = rig.send("video", object);
            assert_eq!(
                s.fill.max_age_us,
                Some(200 * MS + wait),
                "to the purge and no further"
            );
            rig.end_with(s.request, 0, s.server, Outcome::Ok, Note::Hit);
        }
    }
}

#[test]
fn a_router_that_starts_late_holds_the_purges_that_it_is_told_of() {
    let mut rig = Rig::new(settings(), fleet());
    rig.handle(Event::Purged {
        object: Some("/o/a".into()),
        group: 3,
        age_us: 13 * S,
    });
    assert_eq!(
        rig.send("video", "/o/a").fill.max_age_us,
        Some(13 * S),
        "older than servers need, and it holds"
    );
}

/// What is asked of a copy of an object.
fn floor(rig: &mut Rig, object: &str) -> Option<Micros> {
    let s = rig.send("video", object);
    rig.end_with(s.request, 0, s.server, Outcome::Ok, Note::Hit);
    s.fill.max_age_us
}

#[test]
fn of_more_purges_than_are_held_exactly_none_is_forgotten_and_the_young_stay_exact() {
    let mut rig = Rig::new(settings(), fleet());
    let purge = |n: u64, age_us| Event::Purged {
        object: Some(format!("/o/{n}")),
        group: 3,
        age_us,
    };
    // The rule's time for boxes to carry a purge out is below 10 s: no purge of the second half is that old.
    for n in 0..16_000 {
        rig.handle(purge(n, 60 * S - n));
    }
    for n in 16_000..26_000 {
        rig.handle(purge(n, S + n));
    }
    rig.tick();
    let exact = rig.router.purges().exact_len();
    assert!((10_000..=16_384).contains(&exact), "{exact}");
    for n in 0..26_000 {
        let age_us = if n < 16_000 { 60 * S - n } else { S + n };
        let told = floor(&mut rig, &format!("/o/{n}")).expect("none is forgotten");
        let least = if n < 16_000 {
            age_us.saturating_sub(MS)
        } else {
            age_us
        };
        assert!((least..=age_us).contains(&told), "{n}: {told} for {age_us}");
    }
    assert_eq!(
        floor(&mut rig, "/o/never"),
        None,
        "what was not purged is not bound"
    );
}

/// The module refuses no purge: each binds its object from then on, with as little memory as ever.
#[test]
fn every_one_of_forty_thousand_purges_binds_for_good_and_no_bound_is_eased() {
    let mut rig = Rig::new(settings(), fleet());
    let start = rig.now;
    let name = |n: u64| format!("/o/{n}");
    let mut purged_at = Vec::new();
    for n in 0..40_000 {
        rig.now = start + n * 9 * MS;
        purged_at.push(rig.now);
        rig.handle(Event::Purged {
            object: Some(name(n)),
            group: 3,
            age_us: 0,
        });
        if n % 500 == 0 {
            rig.tick();
        }
    }
    let mut told = vec![0; purged_at.len()];
    for round in 0..3 {
        rig.now += 3_600 * S;
        rig.tick();
        for n in 0..40_000 {
            let oldest = rig.now - floor(&mut rig, &name(n)).expect("it binds");
            assert!(
                oldest >= purged_at[n as usize],
                "{n}: a copy from before its purge would do"
            );
            assert!(oldest >= told[n as usize], "{n}: eased in round {round}");
            told[n as usize] = oldest;
        }
        // Many more purges push the others out of their places.
        for n in 0..40_000 {
            rig.handle(Event::Purged {
                object: Some(format!("/{round}/{n}")),
                group: 3,
                age_us: n,
            });
        }
        assert!(rig.router.purges().exact_len() <= 2 * 16_384);
        assert_eq!(rig.router.purges().compact_table().memory_bytes(), 4 << 20);
    }
}

#[test]
fn a_router_takes_in_the_purges_that_another_knows() {
    let mut rig = Rig::new(settings(), fleet());
    let start = rig.now;
    let mut known = CompactTable::new(BucketBits::new(10).unwrap());
    known.record(KeyHash::of_object("/o/a"), start - 3 * S);
    known.record(KeyHash::of_group(3), start - 8 * S);
    for (index, bucket) in known.occupied(BucketIndex::default()) {
        assert!(!rig
            .router
            .purges_mut()
            .merge_bucket(known.bucket_bits(), index, bucket)
            .unwrap()
            .is_empty());
    }
    assert_eq!(floor(&mut rig, "/o/a"), Some(3 * S));
    assert_eq!(floor(&mut rig, "/o/b"), Some(8 * S), "by its group");
    rig.router
        .purges_mut()
        .set_capacity(0, BucketBits::new(6).unwrap());
    assert_eq!(floor(&mut rig, "/o/a"), Some(3 * S));
    rig.router.purges_mut().purge_all(start - S);
    assert_eq!(
        (floor(&mut rig, "/o/a"), floor(&mut rig, "/o/b")),
        (Some(S), Some(S))
    );
}

#[test]
fn an_age_bound_is_never_zero_and_never_past_the_fresh_time() {
    let mut rig = Rig::new(settings(), fleet());
    rig.handle(Event::Purged {
        object: Some("/o/a".into()),
        group: 3,
        age_us: 0,
    });
    assert_eq!(
        rig.send("page", "/o/a").fill.max_age_us,
        Some(1),
        "0 would mean the default"
    );
    let mut s = settings();
    s.rules.purge_done_us = 60 * S;
    let mut rig = Rig::new(s, fleet());
    rig.handle(Event::Purged {
        object: Some("/o/a".into()),
        group: 3,
        age_us: 30 * S,
    });
    assert_eq!(rig.send("page", "/o/a").fill.max_age_us, Some(10 * S));
}

#[test]
fn a_purge_holds_for_good() {
    let mut rig = Rig::new(settings(), fleet());
    let purge = |object: Option<&str>| Event::Purged {
        object: object.map(Into::into),
        group: 3,
        age_us: 0,
    };
    rig.handle(purge(None));
    rig.now += 60 * S;
    rig.tick();
    assert_eq!(rig.send("video", "/o/a").fill.max_age_us, Some(60 * S));
    rig.handle(purge(Some("/o/a")));
    rig.now += S;
    assert_eq!(rig.send("video", "/o/a").fill.max_age_us, Some(S));
    rig.now += 9 * S;
    assert_eq!(
        rig.send("video", "/o/a").fill.max_age_us,
        Some(10 * S),
        "the later one is the stricter"
    );
}

#[test]
fn a_refused_client_is_told_when_to_come_back_also_where_none_is_said_to_listen() {
    let mut rig = Rig::new(
        Settings {
            retry_after: false,
            max_retry_after_us: 150 * MS,
            ..settings()
        },
        vec![],
    );
    let (request, actions) = rig.ask("video", "/o/a", S);
    assert_eq!(
        actions,
        vec![Action::Refuse {
            request,
            retry_after_us: Some(150 * MS)
        }]
    );
}

/// An attempt that had to wait for its connection is bound by the time at which it begins: the window for repeats may be
/// over by then, a purge may have been told, and its client may have left.
#[test]
fn what_waited_for_a_connection_begins_only_as_its_class_lets_it_by_then() {
    let mut s = settings();
    s.classes[2].window_us = 350 * MS;
    let mut rig = Rig::new(s, fleet());
    let first = rig.send("order", "/o/1");
    assert_eq!(rig.router.begins(rig.now, first.request), Some(None));
    assert!(
        rig.router
            .begins(rig.now + 600 * MS, first.request)
            .is_some(),
        "nothing may have run yet"
    );
    rig.now += 300 * MS;
    let actions = rig.end(first.request, 0, first.server, Outcome::Reset);
    assert!(
        sent(&actions).is_some(),
        "within the window it is sent again"
    );
    assert!(rig
        .router
        .begins(rig.now + 40 * MS, first.request)
        .is_some());
    assert_eq!(
        rig.router.begins(rig.now + 50 * MS, first.request),
        None,
        "the window is over"
    );
    // It never began, so it ends as never sent: by now it is barred, and its keyed class lets it be refused.
    rig.now += 50 * MS;
    let actions = rig.end(first.request, 1, first.server, Outcome::Moot);
    assert!(
        sent(&actions).is_none() && matches!(actions[..], [Action::Refuse { .. }]),
        "{actions:?}"
    );
    let read = rig.send("video", "/o/2");
    let purge = Event::Purged {
        object: Some("/o/2".into()),
        group: 0,
        age_us: 10 * MS,
    };
    rig.handle(purge);
    assert_eq!(
        rig.router.begins(rig.now + 90 * MS, read.request),
        Some(Some(100 * MS))
    );
    rig.handle(Event::Left {
        request: read.request,
    });
    assert_eq!(rig.router.begins(rig.now, read.request), None);
}

/// A connection that did not come up says that nothing ran, and nothing of a process that has started anew.
#[test]
fn a_box_that_was_not_reached_in_time_is_not_taken_for_a_cold_one() {
    for (outcome, cold) in [(Outcome::Unreached, false), (Outcome::ConnectFailed, true)] {
        let mut rig = Rig::new(
            Settings {
                direct: false,
                ..settings()
            },
            fleet(),
        );
        let first = rig.send("video", "/o/1");
        let again = sent(&rig.end(first.request, 0, first.server, outcome)).expect("elsewhere");
        assert_ne!(again.server, first.server);
        rig.end(again.request, 1, again.server, Outcome::Ok);
        assert_eq!(rig.router.cold_use(rig.now, false), None);
        // Once its mark is over it is tried again, and answers.
        rig.now += 5 * S;
        let back = (0..200)
            .map(|n| rig.send("video", &format!("/o/{n}")))
            .find(|s| s.server == first.server);
        let back = back.expect("tried again");
        rig.end(back.request, 0, back.server, Outcome::Ok);
        assert_eq!(
            rig.router.cold_use(rig.now, false).is_some(),
            cold,
            "{outcome:?}"
        );
        // A write that was not reached may be refused, whatever its class.
        let charge = rig.send("charge", "/o/1");
        let actions = rig.end(charge.request, 0, charge.server, outcome);
        assert!(
            !actions.iter().any(|a| matches!(a, Action::Fail { .. })),
            "{outcome:?}: {actions:?}"
        );
    }
}
