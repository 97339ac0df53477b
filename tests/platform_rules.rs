//! Boundary cases of the rules that each router must keep: deadlines, retries, draining servers, slow start, purges.

mod common;
use common::*;
use linnetknot::purges::{BucketBits, BucketIndex, CompactTable, KeyHash};
use linnetknot::*;

fn single_cache_fleet(id: ServerId) -> Vec<Server> {
    vec![
        server(id, "town", "cache"),
        server(11, "hub", "parent"),
        server(21, "hub", "origin"),
    ]
}

#[test]
fn a_request_without_remaining_time_is_refused_immediately() {
    let mut harness = RouterHarness::new(settings(), fleet());
    let (id, actions) = harness.request("video", "/o/a", 0);
    assert_eq!(
        actions,
        vec![Action::Refuse {
            request: id,
            retry_after_us: Some(200 * MS)
        }]
    );
}

#[test]
fn a_timeout_at_the_deadline_gets_exactly_one_final_answer() {
    let mut harness = RouterHarness::new(settings(), fleet());
    let s = harness.send_request("video", "/o/a");
    harness.now += 5 * S;
    let actions = harness.end_attempt(s.request, 0, s.server, Outcome::Timeout);
    assert_eq!(final_answers(&actions), 1);
    assert!(sent(&actions).is_none());
    assert!(
        harness
            .end_attempt(s.request, 0, s.server, Outcome::Timeout)
            .is_empty(),
        "no action follows the final answer"
    );
}

#[test]
fn attempts_stay_within_the_limit() {
    let mut harness = RouterHarness::new(
        Settings {
            max_attempts: 2,
            ..settings()
        },
        fleet(),
    );
    let s = harness.send_request("video", "/o/a");
    let retry = sent(&harness.end_attempt(s.request, 0, s.server, Outcome::Error))
        .expect("a second attempt");
    let actions = harness.end_attempt(s.request, 1, retry.server, Outcome::Error);
    assert_eq!(final_answers(&actions), 1);
}

#[test]
fn an_unsafe_request_that_may_have_run_fails_and_is_not_resent() {
    let mut harness = RouterHarness::new(settings(), fleet());
    let s = harness.send_request("charge", "/o/a");
    let actions = harness.end_attempt(s.request, 0, s.server, Outcome::Reset);
    assert_eq!(actions, vec![Action::Fail { request: s.request }]);
}

#[test]
fn an_unsafe_request_that_did_not_run_may_be_resent() {
    let mut harness = RouterHarness::new(
        Settings {
            direct_to_upstream: false,
            ..settings()
        },
        fleet(),
    );
    let s = harness.send_request("charge", "/o/a");
    let retry = sent(&harness.end_attempt(s.request, 0, s.server, Outcome::Full))
        .expect("a second attempt");
    let failed = harness.end_attempt(s.request, 1, retry.server, Outcome::Error);
    assert_eq!(failed, vec![Action::Fail { request: s.request }]);
}

#[test]
fn a_keyed_request_is_resent_only_within_its_window() {
    for (wait, resent) in [(1_900 * MS, true), (2_000 * MS, false)] {
        let mut harness = RouterHarness::new(settings(), fleet());
        let s = harness.send_request("order", "/o/a");
        assert_eq!(s.server, 21, "a write goes directly to the origin");
        harness.now += wait;
        let actions = harness.end_attempt(s.request, 0, s.server, Outcome::Error);
        assert_eq!(
            sent(&actions).is_some(),
            resent,
            "the attempt failed after {wait} us"
        );
    }
}

#[test]
fn a_keyed_request_is_resent_only_within_its_deduplication_cell() {
    let mut s = Settings {
        direct_to_upstream: false,
        ..settings()
    };
    s.classes[2].dedup_scope = DedupScope::Cell;
    let mut harness = RouterHarness::new(s, fleet());
    let first = harness.send_request("order", "/o/a");
    let retry = sent(&harness.end_attempt(first.request, 0, first.server, Outcome::Error));
    assert_eq!(
        retry.map(|a| a.server),
        Some(first.server),
        "each cache is its own cell"
    );
    let mut removed = server(first.server, "town", "cache");
    removed.state = State::Gone;
    harness.handle(Event::List {
        mode: ListMode::Delta,
        servers: vec![removed],
    });
    let last = harness.end_attempt(first.request, 1, first.server, Outcome::Error);
    assert_eq!(
        last,
        vec![Action::Fail {
            request: first.request
        }],
        "the request must not be refused either"
    );
}

/// Returns a harness in which pages are keyed requests that caches keep. Caches 1 and 2 are cell 0, 3 and 4 cell 1; the
/// parents and the origin have the number 0, too.
fn keyed_pages(scope: DedupScope) -> RouterHarness {
    let mut s = settings();
    s.classes[1].repeat = Repeat::Keyed;
    s.classes[1].dedup_scope = scope;
    let mut fleet = fleet();
    for server in &mut fleet {
        server.cell = u64::from([3, 4].contains(&server.id));
    }
    RouterHarness::new(s, fleet)
}

fn cell_of(id: ServerId) -> Option<u64> {
    [(1..=2, 0), (3..=4, 1)]
        .into_iter()
        .find_map(|(ids, cell)| ids.contains(&id).then_some(cell))
}

/// Guards against a keyed request that runs twice, as a cache of another cell does not know its key (review, case 6).
#[test]
fn a_keyed_request_that_caches_keep_is_resent_only_within_its_cell() {
    let mut harness = keyed_pages(DedupScope::Cell);
    let mut resent = 0;
    for n in 0..100 {
        let first = harness.send_request("page", &format!("/o/{n}"));
        let cell = cell_of(first.server);
        assert!(cell.is_some(), "the first attempt goes to a cache");
        let mut server = first.server;
        let mut actions = harness.end_attempt(first.request, 0, server, Outcome::Reset);
        for attempt in 1.. {
            let Some(retry) = sent(&actions) else { break };
            assert_eq!(cell_of(retry.server), cell, "/o/{n}: {}", retry.server);
            resent += 1;
            server = retry.server;
            actions = harness.end_attempt(first.request, attempt, server, Outcome::Reset);
        }
        let failed = Action::Fail {
            request: first.request,
        };
        assert_eq!(actions, vec![failed], "a refusal would be a second run");
        harness.now += 5 * S;
    }
    assert!(resent > 0, "no request was sent again");
}

/// Guards against a repeat that skips the caches, which are all ejected, and goes to a parent of another zone.
#[test]
fn a_keyed_request_is_not_resent_to_a_parent_of_another_zone_or_cell() {
    for scope in [DedupScope::Zone, DedupScope::Cell] {
        let mut harness = keyed_pages(scope);
        let first = harness.send_request("page", "/o/a");
        for id in (1..=4).filter(|id| *id != first.server) {
            let mut gone = server(id, "town", "cache");
            gone.state = State::Gone;
            harness.handle(Event::List {
                mode: ListMode::Delta,
                servers: vec![gone],
            });
        }
        // The refused connections eject the only cache.
        for n in 0..10 {
            let (id, actions) = harness.request("video", &format!("/o/{n}"), 5 * S);
            if let Some(s) = sent(&actions).filter(|s| s.server == first.server) {
                harness.end_attempt(id, 0, s.server, Outcome::ConnectFailed);
            }
        }
        let actions = harness.end_attempt(first.request, 0, first.server, Outcome::Reset);
        let failed = Action::Fail {
            request: first.request,
        };
        assert_eq!(actions, vec![failed], "{scope:?}");
    }
}

/// Guards against a repeat that waits for its connection while the list moves its cache to another cell.
#[test]
fn a_queued_repeat_is_not_sent_once_its_cache_has_moved_to_another_cell() {
    let mut harness = keyed_pages(DedupScope::Cell);
    let first = harness.send_request("page", "/o/a");
    let actions = harness.end_attempt(first.request, 0, first.server, Outcome::Reset);
    let retry = sent(&actions).expect("the other cache of the cell");
    let recheck = |harness: &RouterHarness| {
        let router = &harness.router;
        router.recheck_queued_attempt(harness.now, first.request)
    };
    assert!(recheck(&harness).is_some());
    let mut moved = server(retry.server, "town", "cache");
    moved.cell = 7;
    moved.started = Some(harness.now);
    harness.handle(Event::List {
        mode: ListMode::Delta,
        servers: vec![moved],
    });
    assert!(recheck(&harness).is_none());
}

#[test]
fn draining_and_removed_servers_get_no_new_requests() {
    for state in [State::Draining, State::Gone] {
        let mut harness = RouterHarness::new(settings(), fleet());
        let change = |id, zone, kind| Server {
            state,
            ..server(id, zone, kind)
        };
        let servers = vec![change(1, "town", "cache"), change(11, "hub", "parent")];
        harness.handle(Event::List {
            mode: ListMode::Delta,
            servers,
        });
        for n in 0..60 {
            let s = harness.send_request("video", &format!("/o/{n}"));
            assert_ne!(s.server, 1);
            assert_ne!(
                s.fill.source, 11,
                "the parent is not used as a source either"
            );
            harness.end_attempt_with(s.request, 0, s.server, Outcome::Ok, Note::Hit);
        }
    }
}

#[test]
fn a_server_missing_from_a_full_list_gets_no_new_requests() {
    let mut harness = RouterHarness::new(settings(), fleet());
    harness.handle(Event::List {
        mode: ListMode::Full,
        servers: single_cache_fleet(3),
    });
    for n in 0..30 {
        let s = harness.send_request("video", &format!("/o/{n}"));
        assert_eq!(s.server, 3);
        harness.end_attempt_with(s.request, 0, s.server, Outcome::Ok, Note::Hit);
    }
}

fn count_requests_to(settings: Settings, fleet: Vec<Server>, id: ServerId) -> usize {
    let mut harness = RouterHarness::new(settings, fleet);
    (0..200)
        .filter(|n| {
            let (_, actions) = harness.request("video", &format!("/o/{n}"), 5 * S);
            sent(&actions).is_some_and(|s| s.server == id || s.fill.source == id)
        })
        .count()
}

#[test]
fn a_warming_cache_stays_within_its_budget_in_a_window() {
    let requests_to_warming_cache = |routers| {
        let mut s = Settings {
            direct_to_upstream: false,
            ..settings()
        };
        s.zones[1].routers = routers;
        let mut servers = single_cache_fleet(1);
        servers[0].started = Some(START);
        count_requests_to(s, servers, 1)
    };
    // Each request takes 0.1 s; the slow-start rule allows 3 x 0.2 x 8 transfers for one second: 48 requests.
    assert!(
        (1..=48).contains(&requests_to_warming_cache(1)),
        "{}",
        requests_to_warming_cache(1)
    );
    assert!(
        (1..=24).contains(&requests_to_warming_cache(2)),
        "two routers share the budget, and one sent {}",
        requests_to_warming_cache(2)
    );
}

#[test]
fn a_warming_parent_stays_within_its_fill_budget() {
    let mut servers = single_cache_fleet(1);
    servers[1].started = Some(START);
    servers[0].weight = 1000.0;
    let s = Settings {
        direct_to_upstream: false,
        ..settings()
    };
    let mut harness = RouterHarness::new(s, servers);
    let fills = (0..300)
        .filter(|n| {
            let (_, actions) = harness.request("page", &format!("/o/{n}"), 5 * S);
            sent(&actions).is_some_and(|s| s.fill.source == 11)
        })
        .count();
    // 2 x 0.1 x 30 transfers for one second, of which half belongs to the other location's router: 30 requests.
    assert!((1..=30).contains(&fills), "{fills}");
}

#[test]
fn copies_older_than_a_purge_stay_unusable_after_servers_have_dropped_theirs() {
    let mut harness = RouterHarness::new(settings(), fleet());
    let purge = |object: Option<&str>| Event::Purged {
        object: object.map(Into::into),
        group: 3,
        age_us: 200 * MS,
    };
    for (event, object) in [(purge(Some("/o/a")), "/o/a"), (purge(None), "/o/b")] {
        harness.handle(event);
        let start = harness.now;
        // A fill that overlapped the purge may have stored an old copy after the six seconds that servers need.
        for wait in [0, 500 * MS, 5_800 * MS, 5_801 * MS, 3_600 * S] {
            harness.now = start + wait;
            harness.tick();
            let s = harness.send_request("video", object);
            assert_eq!(
                s.fill.max_age_us,
                Some(200 * MS + wait),
                "the maximum age reaches back to the purge"
            );
            harness.end_attempt_with(s.request, 0, s.server, Outcome::Ok, Note::Hit);
        }
    }
}

#[test]
fn a_purge_older_than_the_completion_time_still_applies() {
    let mut harness = RouterHarness::new(settings(), fleet());
    harness.handle(Event::Purged {
        object: Some("/o/a".into()),
        group: 3,
        age_us: 13 * S,
    });
    assert_eq!(
        harness.send_request("video", "/o/a").fill.max_age_us,
        Some(13 * S),
        "the purge still applies after servers have completed it"
    );
}

/// Returns the requested maximum age of a copy.
fn max_age_of(harness: &mut RouterHarness, object: &str) -> Option<Micros> {
    let s = harness.send_request("video", object);
    harness.end_attempt_with(s.request, 0, s.server, Outcome::Ok, Note::Hit);
    s.fill.max_age_us
}

#[test]
fn purges_beyond_the_exact_capacity_are_compacted_and_recent_ones_stay_exact() {
    let mut harness = RouterHarness::new(settings(), fleet());
    let purge = |n: u64, age_us| Event::Purged {
        object: Some(format!("/o/{n}")),
        group: 3,
        age_us,
    };
    // Servers complete a purge in less than 10 s, so all purges of the second half are complete.
    for n in 0..16_000 {
        harness.handle(purge(n, 60 * S - n));
    }
    for n in 16_000..26_000 {
        harness.handle(purge(n, S + n));
    }
    harness.tick();
    let exact = harness.router.purges().exact_len();
    assert!((10_000..=16_384).contains(&exact), "{exact}");
    for n in 0..26_000 {
        let age_us = if n < 16_000 { 60 * S - n } else { S + n };
        let max_age_us = max_age_of(&mut harness, &format!("/o/{n}"))
            .expect("a maximum age because of the purge");
        let min_expected = if n < 16_000 {
            age_us.saturating_sub(MS)
        } else {
            age_us
        };
        assert!(
            (min_expected..=age_us).contains(&max_age_us),
            "{n}: {max_age_us} for a purge {age_us} us ago"
        );
    }
    assert_eq!(
        max_age_of(&mut harness, "/o/never"),
        None,
        "objects that were not purged have no maximum age"
    );
}

/// Guards against purges that are lost, relaxed or stored with growing memory.
#[test]
fn forty_thousand_purges_apply_permanently_and_their_age_limits_never_relax() {
    let mut harness = RouterHarness::new(settings(), fleet());
    let start = harness.now;
    let name = |n: u64| format!("/o/{n}");
    let mut purged_at = Vec::new();
    for n in 0..40_000 {
        harness.now = start + n * 9 * MS;
        purged_at.push(harness.now);
        harness.handle(Event::Purged {
            object: Some(name(n)),
            group: 3,
            age_us: 0,
        });
        if n % 500 == 0 {
            harness.tick();
        }
    }
    let mut limits = vec![0; purged_at.len()];
    for round in 0..3 {
        harness.now += 3_600 * S;
        harness.tick();
        for n in 0..40_000 {
            let oldest_usable = harness.now
                - max_age_of(&mut harness, &name(n)).expect("a maximum age because of the purge");
            assert!(
                oldest_usable >= purged_at[n as usize],
                "{n}: a copy from before its purge is usable"
            );
            assert!(
                oldest_usable >= limits[n as usize],
                "{n}: the limit was relaxed in round {round}"
            );
            limits[n as usize] = oldest_usable;
        }
        // Further purges displace the earlier ones from the exact table.
        for n in 0..40_000 {
            harness.handle(Event::Purged {
                object: Some(format!("/{round}/{n}")),
                group: 3,
                age_us: n,
            });
        }
        assert!(harness.router.purges().exact_len() <= 2 * 16_384);
        assert_eq!(
            harness.router.purges().compact_table().memory_bytes(),
            4 << 20
        );
    }
}

#[test]
fn purges_of_another_router_can_be_merged() {
    let mut harness = RouterHarness::new(settings(), fleet());
    let start = harness.now;
    let mut other_table = CompactTable::new(BucketBits::new(10).unwrap());
    other_table.record(KeyHash::of_object("/o/a"), start - 3 * S);
    other_table.record(KeyHash::of_group(3), start - 8 * S);
    for (index, bucket) in other_table.occupied(BucketIndex::default()) {
        assert!(!harness
            .router
            .purges_mut()
            .merge_bucket(other_table.bucket_bits(), index, bucket)
            .unwrap()
            .is_empty());
    }
    assert_eq!(max_age_of(&mut harness, "/o/a"), Some(3 * S));
    assert_eq!(
        max_age_of(&mut harness, "/o/b"),
        Some(8 * S),
        "the purge of the group applies"
    );
    harness
        .router
        .purges_mut()
        .set_capacity(0, BucketBits::new(6).unwrap());
    assert_eq!(max_age_of(&mut harness, "/o/a"), Some(3 * S));
    harness.router.purges_mut().purge_all(start - S);
    assert_eq!(
        (
            max_age_of(&mut harness, "/o/a"),
            max_age_of(&mut harness, "/o/b")
        ),
        (Some(S), Some(S))
    );
}

#[test]
fn the_maximum_age_is_never_zero_and_never_above_the_freshness_lifetime() {
    let mut harness = RouterHarness::new(settings(), fleet());
    harness.handle(Event::Purged {
        object: Some("/o/a".into()),
        group: 3,
        age_us: 0,
    });
    assert_eq!(
        harness.send_request("page", "/o/a").fill.max_age_us,
        Some(1),
        "0 would mean the class's default"
    );
    let mut s = settings();
    s.rules.purge_completion_us = 60 * S;
    let mut harness = RouterHarness::new(s, fleet());
    harness.handle(Event::Purged {
        object: Some("/o/a".into()),
        group: 3,
        age_us: 30 * S,
    });
    assert_eq!(
        harness.send_request("page", "/o/a").fill.max_age_us,
        Some(10 * S)
    );
}

#[test]
fn a_purge_applies_permanently() {
    let mut harness = RouterHarness::new(settings(), fleet());
    let purge = |object: Option<&str>| Event::Purged {
        object: object.map(Into::into),
        group: 3,
        age_us: 0,
    };
    harness.handle(purge(None));
    harness.now += 60 * S;
    harness.tick();
    assert_eq!(
        harness.send_request("video", "/o/a").fill.max_age_us,
        Some(60 * S)
    );
    harness.handle(purge(Some("/o/a")));
    harness.now += S;
    assert_eq!(
        harness.send_request("video", "/o/a").fill.max_age_us,
        Some(S)
    );
    harness.now += 9 * S;
    assert_eq!(
        harness.send_request("video", "/o/a").fill.max_age_us,
        Some(10 * S),
        "the later purge is stricter"
    );
}

#[test]
fn retry_after_is_sent_even_if_clients_may_ignore_it() {
    let mut harness = RouterHarness::new(
        Settings {
            retry_after: false,
            max_retry_after_us: 150 * MS,
            ..settings()
        },
        vec![],
    );
    let (request, actions) = harness.request("video", "/o/a", S);
    assert_eq!(
        actions,
        vec![Action::Refuse {
            request,
            retry_after_us: Some(150 * MS)
        }]
    );
}

/// While an attempt waits for its connection, the deduplication window may end, a purge may arrive, and the client may
/// disconnect.
#[test]
fn a_queued_attempt_is_checked_again_before_it_is_sent() {
    let mut s = settings();
    s.classes[2].dedup_window_us = 350 * MS;
    let mut harness = RouterHarness::new(s, fleet());
    let first = harness.send_request("order", "/o/1");
    assert_eq!(
        harness
            .router
            .recheck_queued_attempt(harness.now, first.request),
        Some(None)
    );
    assert!(
        harness
            .router
            .recheck_queued_attempt(harness.now + 600 * MS, first.request)
            .is_some(),
        "the request has not run yet"
    );
    harness.now += 300 * MS;
    let actions = harness.end_attempt(first.request, 0, first.server, Outcome::Reset);
    assert!(
        sent(&actions).is_some(),
        "the request is retried within the window"
    );
    assert!(harness
        .router
        .recheck_queued_attempt(harness.now + 40 * MS, first.request)
        .is_some());
    assert_eq!(
        harness
            .router
            .recheck_queued_attempt(harness.now + 50 * MS, first.request),
        None,
        "the window has ended"
    );
    // The attempt was not sent. Its deduplication window has ended, so the request is not retried. It is refused, as
    // its class allows.
    harness.now += 50 * MS;
    let actions = harness.end_attempt(first.request, 1, first.server, Outcome::Moot);
    assert!(
        sent(&actions).is_none() && matches!(actions[..], [Action::Refuse { .. }]),
        "{actions:?}"
    );
    let read = harness.send_request("video", "/o/2");
    let purge = Event::Purged {
        object: Some("/o/2".into()),
        group: 0,
        age_us: 10 * MS,
    };
    harness.handle(purge);
    assert_eq!(
        harness
            .router
            .recheck_queued_attempt(harness.now + 90 * MS, read.request),
        Some(Some(100 * MS))
    );
    harness.handle(Event::ClientLeft {
        request: read.request,
    });
    assert_eq!(
        harness
            .router
            .recheck_queued_attempt(harness.now, read.request),
        None
    );
}

/// A server that could not be reached has not executed the request. That it was unreachable does not prove that its
/// process has restarted.
#[test]
fn an_unreachable_cache_is_not_treated_as_restarted() {
    for (outcome, restarted) in [(Outcome::Unreached, false), (Outcome::ConnectFailed, true)] {
        let mut harness = RouterHarness::new(
            Settings {
                direct_to_upstream: false,
                ..settings()
            },
            fleet(),
        );
        let first = harness.send_request("video", "/o/1");
        let retry = sent(&harness.end_attempt(first.request, 0, first.server, outcome))
            .expect("an attempt at another server");
        assert_ne!(retry.server, first.server);
        harness.end_attempt(retry.request, 1, retry.server, Outcome::Ok);
        assert_eq!(
            harness.router.max_slow_start_usage(harness.now, false),
            None
        );
        // The server is tried again after its ejection and answers.
        harness.now += 5 * S;
        let retry_after_ejection = (0..200)
            .map(|n| harness.send_request("video", &format!("/o/{n}")))
            .find(|s| s.server == first.server);
        let retry_after_ejection = retry_after_ejection.expect("an attempt after the ejection");
        harness.end_attempt(
            retry_after_ejection.request,
            0,
            retry_after_ejection.server,
            Outcome::Ok,
        );
        assert_eq!(
            harness
                .router
                .max_slow_start_usage(harness.now, false)
                .is_some(),
            restarted,
            "{outcome:?}"
        );
        // A write that did not reach the server may be refused whatever its class.
        let charge = harness.send_request("charge", "/o/1");
        let actions = harness.end_attempt(charge.request, 0, charge.server, outcome);
        assert!(
            !actions.iter().any(|a| matches!(a, Action::Fail { .. })),
            "{outcome:?}: {actions:?}"
        );
    }
}
