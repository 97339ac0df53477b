//! Regression tests for the handling of failures.

mod common;
use common::*;
use linnetknot::*;

/// Returns the servers that receive requests for `n` objects; each request is answered as a hit.
fn servers_used(harness: &mut RouterHarness, n: usize) -> Vec<ServerId> {
    (0..n)
        .filter_map(|n| {
            let (id, actions) = harness.request("video", &format!("/o/{n}"), 5 * S);
            let s = sent(&actions)?;
            harness.end_attempt_with(id, 0, s.server, Outcome::Ok, Note::Hit);
            Some(s.server)
        })
        .collect()
}

#[test]
fn a_cache_that_refused_a_connection_returns_in_slow_start() {
    let mut harness = RouterHarness::new(
        Settings {
            direct_to_upstream: false,
            ..settings()
        },
        fleet(),
    );
    let first = harness.send_request("video", "/o/a");
    harness.end_attempt(first.request, 0, first.server, Outcome::ConnectFailed);
    assert!(
        !servers_used(&mut harness, 40).contains(&first.server),
        "the cache is ejected immediately"
    );
    harness.now += 2 * S;
    assert!(
        servers_used(&mut harness, 40).contains(&first.server),
        "the cache is tried again after its ejection"
    );
    harness.now += 2 * S;
    // All requests are sent at once and not answered. In one second, the slow-start rule allows 3 x (0.2 + 0.16) x 8
    // transfers of 0.1 s each.
    let mut accepted = 0;
    for n in 0..400 {
        let (_, actions) = harness.request("video", &format!("/o/x{n}"), 5 * S);
        accepted += usize::from(sent(&actions).is_some_and(|s| s.server == first.server));
    }
    assert!(
        (1..=86).contains(&accepted),
        "{accepted} requests to a cache that may have restarted"
    );
}

#[test]
fn a_silent_cache_is_ejected_and_its_requests_are_retried_elsewhere() {
    let mut harness = RouterHarness::new(settings(), fleet());
    let mut stuck = Vec::new();
    for n in 0..40 {
        let s = harness.send_request("video", &format!("/o/{n}"));
        if s.server == 2 {
            stuck.push(s);
        } else {
            harness.end_attempt_with(s.request, 0, s.server, Outcome::Ok, Note::Hit);
        }
    }
    assert!(stuck.len() >= 2);
    harness.now += S;
    let cancelled: Vec<RequestId> = harness
        .tick()
        .iter()
        .filter_map(|a| match a {
            Action::Cancel {
                request,
                attempt: 0,
            } => Some(*request),
            _ => None,
        })
        .collect();
    assert_eq!(
        cancelled,
        stuck.iter().map(|s| s.request).collect::<Vec<_>>()
    );
    for s in &stuck {
        let retry = harness.end_attempt(s.request, 0, 2, Outcome::Cancelled);
        assert_ne!(sent(&retry).expect("another attempt").server, 2);
    }
    assert!(!servers_used(&mut harness, 40).contains(&2));
}

#[test]
fn ejections_are_ignored_if_they_leave_no_cache() {
    let mut harness = RouterHarness::new(
        Settings {
            direct_to_upstream: false,
            ..settings()
        },
        fleet(),
    );
    for n in 0..60 {
        let (id, actions) = harness.request("video", &format!("/o/{n}"), 5 * S);
        let Some(s) = sent(&actions) else { break };
        harness.now += 2 * MS;
        let mut retry = Some(s);
        for attempt in 0..4 {
            let Some(s) = retry else { break };
            retry = sent(&harness.end_attempt(id, attempt, s.server, Outcome::Error));
        }
    }
    assert!(sent(&harness.request("video", "/o/last", 5 * S).1).is_some());
}

#[test]
fn requests_go_directly_to_a_parent_only_if_no_cache_is_healthy() {
    let mut harness = RouterHarness::new(settings(), fleet());
    for id in 1..=4 {
        let n = (0..100).find(|n| {
            let (r, actions) = harness.request("video", &format!("/o/{n}"), 5 * S);
            let s = sent(&actions).expect("an attempt");
            let hit = s.server == id;
            harness.end_attempt_with(
                r,
                0,
                s.server,
                if hit {
                    Outcome::ConnectFailed
                } else {
                    Outcome::Ok
                },
                Note::None,
            );
            hit
        });
        assert!(n.is_some(), "cache {id} was never selected");
    }
    let s = harness.send_request("video", "/o/z");
    assert!(s.server == 11 || s.server == 12, "{s:?}");
    assert_eq!(
        (s.fill.source, s.fill.cache_rank, s.fill.coalesce),
        (21, 0, false),
        "the parent fetches missing objects from the origin"
    );
}

#[test]
fn no_fill_starts_that_the_link_cannot_finish_in_time() {
    let mut s = settings();
    s.zones[1].link_kb_per_s = 10_000.0;
    let mut fleet = fleet();
    fleet.iter_mut().for_each(|s| s.weight = 1000.0);
    let mut harness = RouterHarness::new(s, fleet);
    let first = harness.send_request("video", "/o/0");
    assert!(first.fill.source == 11 || first.fill.source == 12);
    let last = (1..400)
        .map(|n| harness.send_request("video", &format!("/o/{n}")))
        .last()
        .expect("at least one attempt");
    assert_eq!(
        last.fill.source, last.server,
        "only the cache's own copy is requested"
    );
    assert!(
        last.fill.coalesce,
        "the request may join a fill in progress"
    );
    let answer = harness.end_attempt(last.request, 0, last.server, Outcome::Miss);
    assert_eq!(
        answer,
        vec![Action::Refuse {
            request: last.request,
            retry_after_us: Some(200 * MS)
        }]
    );
}

#[test]
fn a_source_that_rejected_a_fill_is_not_retried_for_the_same_request() {
    let mut harness = RouterHarness::new(settings(), fleet());
    let s = harness.send_request("video", "/o/a");
    let retry =
        sent(&harness.end_attempt_with(s.request, 0, s.server, Outcome::Full, Note::SourceRefused))
            .expect("another attempt");
    assert_eq!(
        retry.server, s.server,
        "the failure is not attributed to the cache"
    );
    assert_ne!(retry.fill.source, s.fill.source);
}

#[test]
fn a_lost_answer_is_requested_again_from_a_server_that_answers_others() {
    let mut harness = RouterHarness::new(settings(), fleet());
    let stuck = harness.send_request("video", "/o/a");
    let mut cancelled = Vec::new();
    for n in 0..40 {
        harness.now += 100 * MS;
        // The same cache must still be sent other requests, and answers them.
        let (id, actions) = harness.request("page", &format!("/o/{n}"), 5 * S);
        let s = sent(&actions).expect("an attempt");
        harness.end_attempt_with(id, 0, s.server, Outcome::Ok, Note::Hit);
        cancelled.extend(
            harness
                .tick()
                .into_iter()
                .filter(|a| matches!(a, Action::Cancel { .. })),
        );
    }
    assert_eq!(
        cancelled,
        vec![Action::Cancel {
            request: stuck.request,
            attempt: 0
        }]
    );
    let retry = sent(&harness.end_attempt(stuck.request, 0, stuck.server, Outcome::Cancelled))
        .expect("another attempt");
    assert_eq!(
        retry.server, stuck.server,
        "the request ran, so the server has the copy"
    );
    // The second attempt gets more time before it is cancelled and retried elsewhere.
    let mut actions = Vec::new();
    let mut waited = 0;
    while actions.is_empty() && waited < 200 {
        harness.now += 100 * MS;
        waited += 1;
        actions.extend(
            harness
                .tick()
                .into_iter()
                .filter(|a| matches!(a, Action::Cancel { .. })),
        );
    }
    assert_eq!(
        actions,
        vec![Action::Cancel {
            request: stuck.request,
            attempt: 1
        }]
    );
    assert!(
        waited > 20,
        "the second attempt was cancelled after {waited} ticks"
    );
}

#[test]
fn failures_of_a_parent_are_not_attributed_to_caches_if_answers_give_no_reason() {
    let mut harness = RouterHarness::new(
        Settings {
            answer_detail: AnswerDetail::Hit,
            ..settings()
        },
        fleet(),
    );
    let mut failing = None;
    for n in 0..30 {
        let s = harness.send_request("video", &format!("/o/{n}"));
        let failing_parent = *failing.get_or_insert(s.fill.source);
        if s.fill.source != failing_parent {
            harness.end_attempt_with(s.request, 0, s.server, Outcome::Ok, Note::Filled);
            continue;
        }
        let retry = sent(&harness.end_attempt(s.request, 0, s.server, Outcome::Error))
            .expect("another attempt");
        assert_ne!(
            retry.fill.source, failing_parent,
            "the next attempt excludes the parent"
        );
        harness.end_attempt_with(s.request, 1, retry.server, Outcome::Ok, Note::Filled);
    }
    let later: Vec<SentAttempt> = (0..40)
        .map(|n| harness.send_request("page", &format!("/p/{n}")))
        .collect();
    assert!(
        (1..=4).all(|id| later.iter().any(|s| s.server == id)),
        "no cache is ejected"
    );
    assert!(
        later
            .iter()
            .filter(|s| Some(s.fill.source) == failing)
            .count()
            <= 1,
        "the parent is ejected"
    );
}

#[test]
fn attempts_for_a_client_that_left_are_cancelled() {
    let mut harness = RouterHarness::new(settings(), fleet());
    let s = harness.send_request("video", "/o/a");
    assert_eq!(
        harness.handle(Event::ClientLeft { request: s.request }),
        vec![Action::Cancel {
            request: s.request,
            attempt: 0
        }]
    );
    assert!(
        harness
            .end_attempt(s.request, 0, s.server, Outcome::Cancelled)
            .is_empty(),
        "the client needs no answer"
    );
}

#[test]
fn a_started_stream_is_not_cancelled() {
    let mut harness = RouterHarness::new(settings(), fleet());
    let s = harness.send_request("stream", "/o/a");
    harness.handle(Event::StreamStarted {
        request: s.request,
        attempt: 0,
    });
    harness.now += 20 * S;
    assert!(!harness
        .tick()
        .iter()
        .any(|a| matches!(a, Action::Cancel { .. })));
}

#[test]
fn a_sibling_fills_a_warming_cache() {
    let mut servers = fleet();
    servers[0].started = Some(START - 5 * S);
    let mut harness = RouterHarness::new(
        Settings {
            siblings: Siblings::Location,
            ..settings()
        },
        servers,
    );
    let filled = (0..40)
        .map(|n| harness.send_request("video", &format!("/o/{n}")))
        .find(|s| s.server == 1);
    let source = filled.expect("an attempt at cache 1").fill.source;
    assert!((2..=4).contains(&source), "{source}");
}

#[test]
fn attempts_cancelled_as_slow_raise_the_limit_for_later_ones() {
    let mut harness = RouterHarness::new(settings(), fleet());
    let mut waits = Vec::new();
    for round in 0..4 {
        let object = format!("/o/{round}");
        let slow = sent(&harness.request("video", &object, 60 * S).1).expect("an attempt");
        let start = harness.now;
        // The server answers another request, so only this request is slow.
        harness.now += 100 * MS;
        let other = harness.send_request("video", &object);
        assert_eq!(other.server, slow.server);
        harness.end_attempt_with(other.request, 0, other.server, Outcome::Ok, Note::Hit);
        while !harness.tick().contains(&Action::Cancel {
            request: slow.request,
            attempt: 0,
        }) {
            harness.now += 50 * MS;
        }
        waits.push(harness.now - start);
        let retry = sent(&harness.end_attempt(slow.request, 0, slow.server, Outcome::Cancelled))
            .expect("another attempt");
        harness.end_attempt_with(retry.request, 1, retry.server, Outcome::Ok, Note::Hit);
    }
    assert!(
        waits.is_sorted() && waits[3] > waits[0] * 4 / 3,
        "{waits:?}"
    );
}

#[test]
fn unknown_link_capacity_is_estimated_from_fills() {
    let fills_start = |took_ms: u64, outcome: Outcome| {
        let mut s = settings();
        s.zones[1].link_kb_per_s = 0.0;
        let mut fleet = fleet();
        fleet.iter_mut().for_each(|s| s.weight = 1000.0);
        let mut harness = RouterHarness::new(s, fleet);
        let fills: Vec<SentAttempt> = (0..40)
            .map(|n| harness.send_request("video", &format!("/o/{n}")))
            .collect();
        harness.now += 200 * MS;
        servers_used(&mut harness, 8); // The caches answer other requests.
        harness.tick();
        harness.now += 600 * MS;
        for s in &fills {
            harness.handle(Event::AttemptEnded {
                request: s.request,
                attempt: 0,
                server: s.server,
                outcome,
                took_us: took_ms * MS,
                settled: outcome == Outcome::Ok,
                note: if outcome == Outcome::Ok {
                    Note::Filled
                } else {
                    Note::None
                },
                first_byte_us: 20 * MS,
                load: None,
            });
        }
        let under_load = harness.send_request("video", "/o/next");
        for _ in 0..2 {
            harness.now += 2 * S;
            harness.tick();
        }
        let after_recovery = harness.send_request("video", "/o/last");
        [under_load, after_recovery].map(|s| s.fill.source != s.server)
    };
    assert_eq!(
        fills_start(800, Outcome::Ok),
        [false, true],
        "no fill while the link is congested, and fills again after that"
    );
    assert_eq!(
        fills_start(800, Outcome::Timeout),
        [true, true],
        "timeouts say nothing about the link, as they may have waited for the origin"
    );
    assert_eq!(
        fills_start(130, Outcome::Ok),
        [true, true],
        "fast fills set no limit"
    );
}

#[test]
fn few_requests_may_reach_a_slow_origin() {
    let mut harness = RouterHarness::new(settings(), fleet());
    let mut next_id = 0;
    let mut count_admitted = |harness: &mut RouterHarness, first_byte_us: Micros, note: Note| {
        let count = (0..100).filter(|_| {
            next_id += 1;
            let s = harness.send_request("video", &format!("/o/{next_id}"));
            harness.now += 10 * MS;
            harness.handle(Event::AttemptEnded {
                request: s.request,
                attempt: 0,
                server: s.server,
                outcome: Outcome::Ok,
                took_us: first_byte_us + 100 * MS,
                settled: true,
                note,
                first_byte_us,
                load: None,
            });
            harness.tick();
            assert_ne!(s.fill.source, s.server);
            !s.fill.only_if_cached
        });
        count.count()
    };
    assert_eq!(
        count_admitted(&mut harness, 100 * MS, Note::FilledByOrigin),
        100
    );
    count_admitted(&mut harness, 900 * MS, Note::FilledByOrigin);
    let late = count_admitted(&mut harness, 900 * MS, Note::FilledByOrigin);
    assert!(
        (1..20).contains(&late),
        "{late} of 100 requests may reach the origin to detect its recovery"
    );
    assert!(
        count_admitted(&mut harness, 10 * MS, Note::Filled) < 20,
        "fills from a parent's copies say nothing about the origin"
    );
    count_admitted(&mut harness, 100 * MS, Note::FilledByOrigin);
    assert_eq!(
        count_admitted(&mut harness, 100 * MS, Note::FilledByOrigin),
        100
    );
    let [slightly_late, late_by_far] = [600 * MS, 2 * S].map(|first_byte_us| {
        let mut harness = RouterHarness::new(settings(), fleet());
        count_admitted(&mut harness, first_byte_us, Note::FilledByOrigin)
    });
    assert!(
        late_by_far < slightly_late,
        "{late_by_far} with very late answers, {slightly_late} with slightly late ones"
    );
}

#[test]
fn an_inconclusive_trial_is_followed_by_another() {
    for (outcome, note) in [
        (Outcome::Miss, Note::SourceLacks),
        (Outcome::Full, Note::NoFillPlace),
    ] {
        let mut harness = RouterHarness::new(
            Settings {
                direct_to_upstream: false,
                ..settings()
            },
            fleet(),
        );
        let first = harness.send_request("video", "/o/a");
        harness.end_attempt(first.request, 0, first.server, Outcome::Reset);
        for _ in 0..3 {
            harness.now += 10 * S;
            let mut trial_seen = false;
            for n in 0..40 {
                let s = harness.send_request("video", &format!("/o/{n}"));
                let trial = s.server == first.server;
                trial_seen |= trial;
                let (outcome, note) = if trial {
                    (outcome, note)
                } else {
                    (Outcome::Ok, Note::Hit)
                };
                let (mut attempt, mut next_attempt) = (0, Some(s));
                while let Some(s) = next_attempt {
                    next_attempt = sent(
                        &harness.end_attempt_with(s.request, attempt, s.server, outcome, note),
                    );
                    attempt += 1;
                }
            }
            assert!(trial_seen, "the server is tried after its ejection");
        }
    }
}

#[test]
fn a_request_that_fails_at_every_server_is_refused_and_ejects_none() {
    let mut harness = RouterHarness::new(settings(), fleet());
    for n in 0..20 {
        let s = harness.send_request("video", &format!("/o/unknown-{n}"));
        let retry = sent(&harness.end_attempt(s.request, 0, s.server, Outcome::Error))
            .expect("another attempt");
        let actions = harness.end_attempt(s.request, 1, retry.server, Outcome::Error);
        assert!(
            matches!(actions[..], [Action::Refuse { .. }]),
            "{actions:?}"
        );
    }
    let all = servers_used(&mut harness, 60);
    assert!((1..=4).all(|id| all.contains(&id)), "{all:?}");
}

#[test]
fn a_connection_reset_counts_once_for_all_its_attempts() {
    let mut harness = RouterHarness::new(settings(), fleet());
    let sent: Vec<_> = (0..40)
        .map(|n| harness.send_request("video", &format!("/o/{n}")))
        .filter(|s| s.server == 2)
        .collect();
    assert!(sent.len() >= 4);
    for s in &sent {
        harness.end_attempt(s.request, 0, 2, Outcome::Reset);
    }
    assert!(
        servers_used(&mut harness, 60).contains(&2),
        "one reset does not eject the server"
    );
}

#[test]
fn impossible_sizes_do_not_affect_the_typical_transfer_time() {
    let mut harness = RouterHarness::new(settings(), fleet());
    for n in 0..200 {
        harness.now += MS;
        harness.request_sized(&format!("/o/huge-{n}"), 1e9);
    }
    // A warming cache accepts requests within its budget, which depends on the typical transfer time.
    let started = Server {
        started: Some(harness.now - 2 * S),
        ..server(2, "town", "cache")
    };
    harness.handle(Event::List {
        mode: ListMode::Delta,
        servers: vec![started],
    });
    let all = servers_used(&mut harness, 60);
    assert!(all.contains(&2), "{all:?}");
}

#[test]
fn loss_of_a_parent_does_not_reduce_origin_admission() {
    let mut harness = RouterHarness::new(settings(), fleet());
    for n in 0..60 {
        harness.now += 2 * MS;
        let s = harness.send_request("video", &format!("/o/{n}"));
        let note = if s.fill.source == 11 {
            Note::SourceLost
        } else {
            Note::Filled
        };
        let outcome = if s.fill.source == 11 {
            Outcome::Full
        } else {
            Outcome::Ok
        };
        let mut retry = sent(&harness.end_attempt_with(s.request, 0, s.server, outcome, note));
        for attempt in 1..6 {
            let Some(s) = retry else { break };
            retry = sent(&harness.end_attempt_with(
                s.request,
                attempt,
                s.server,
                Outcome::Ok,
                Note::Filled,
            ));
        }
    }
    let limited = (0..40)
        .filter(|n| {
            harness
                .send_request("video", &format!("/p/{n}"))
                .fill
                .only_if_cached
        })
        .count();
    assert_eq!(limited, 0, "the remaining parent may fetch from the origin");
}
