//! One test for each failure found.

mod common;
use common::*;
use linnetknot::*;

/// Servers that get requests for `n` objects, each answered as a hit.
fn used(harness: &mut RouterHarness, n: usize) -> Vec<ServerId> {
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
        !used(&mut harness, 40).contains(&first.server),
        "marked at once"
    );
    harness.now += 2 * S;
    assert!(
        used(&mut harness, 40).contains(&first.server),
        "tried again once the mark has run out"
    );
    harness.now += 2 * S;
    // All at once, unanswered: 3 x (0.2 + 0.16) x 8 transfers of 0.1 s for a second is what the rule allows.
    let mut got = 0;
    for n in 0..400 {
        let (_, actions) = harness.request("video", &format!("/o/x{n}"), 5 * S);
        got += usize::from(sent(&actions).is_some_and(|s| s.server == first.server));
    }
    assert!(
        (1..=86).contains(&got),
        "{got} requests to a cache that may be cold"
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
        let again = harness.end_attempt(s.request, 0, 2, Outcome::Cancelled);
        assert_ne!(sent(&again).expect("another attempt").server, 2);
    }
    assert!(!used(&mut harness, 40).contains(&2));
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
        let mut again = Some(s);
        for attempt in 0..4 {
            let Some(s) = again else { break };
            again = sent(&harness.end_attempt(id, attempt, s.server, Outcome::Error));
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
        assert!(n.is_some(), "cache {id} was never picked");
    }
    let s = harness.send_request("video", "/o/z");
    assert!(s.server == 11 || s.server == 12, "{s:?}");
    assert_eq!(
        (s.fill.source, s.fill.cache_rank, s.fill.coalesce),
        (21, 0, false),
        "the parent fetches what it lacks"
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
        .expect("one");
    assert_eq!(last.fill.source, last.server, "only looked into");
    assert!(last.fill.coalesce, "a fill under way is waited for");
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
    let again =
        sent(&harness.end_attempt_with(s.request, 0, s.server, Outcome::Full, Note::SourceRefused))
            .expect("again");
    assert_eq!(again.server, s.server, "the cache is not to blame");
    assert_ne!(again.fill.source, s.fill.source);
}

#[test]
fn a_lost_answer_is_requested_again_from_a_server_that_answers_others() {
    let mut harness = RouterHarness::new(settings(), fleet());
    let stuck = harness.send_request("video", "/o/a");
    let mut cancelled = Vec::new();
    for n in 0..40 {
        harness.now += 100 * MS;
        // The same cache goes on answering others.
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
    let again = sent(&harness.end_attempt(stuck.request, 0, stuck.server, Outcome::Cancelled))
        .expect("another attempt");
    assert_eq!(
        again.server, stuck.server,
        "the work ran: the copy is there"
    );
    // Lost a second time, it is given more time, then asked for elsewhere.
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
    assert!(waited > 20, "longer than the first: {waited}");
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
        let bad = *failing.get_or_insert(s.fill.source);
        if s.fill.source != bad {
            harness.end_attempt_with(s.request, 0, s.server, Outcome::Ok, Note::Filled);
            continue;
        }
        let again = sent(&harness.end_attempt(s.request, 0, s.server, Outcome::Error))
            .expect("another try");
        assert_ne!(
            again.fill.source, bad,
            "the parent is left out of the next try"
        );
        harness.end_attempt_with(s.request, 1, again.server, Outcome::Ok, Note::Filled);
    }
    let later: Vec<SentAttempt> = (0..40)
        .map(|n| harness.send_request("page", &format!("/p/{n}")))
        .collect();
    assert!(
        (1..=4).all(|id| later.iter().any(|s| s.server == id)),
        "no cache is marked"
    );
    assert!(
        later
            .iter()
            .filter(|s| Some(s.fill.source) == failing)
            .count()
            <= 1,
        "the parent is"
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
        "no answer is owed any more"
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
    let source = filled.expect("its part of the objects").fill.source;
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
        // Its server answers others meanwhile, so it is the work that is slow.
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
        let again = sent(&harness.end_attempt(slow.request, 0, slow.server, Outcome::Cancelled))
            .expect("another attempt");
        harness.end_attempt_with(again.request, 1, again.server, Outcome::Ok, Note::Hit);
    }
    assert!(
        waits.is_sorted() && waits[3] > waits[0] * 4 / 3,
        "{waits:?}"
    );
}

#[test]
fn unknown_link_capacity_is_estimated_from_fills() {
    let run = |took_ms: u64, outcome: Outcome| {
        let mut s = settings();
        s.zones[1].link_kb_per_s = 0.0;
        let mut fleet = fleet();
        fleet.iter_mut().for_each(|s| s.weight = 1000.0);
        let mut harness = RouterHarness::new(s, fleet);
        let fills: Vec<SentAttempt> = (0..40)
            .map(|n| harness.send_request("video", &format!("/o/{n}")))
            .collect();
        harness.now += 200 * MS;
        used(&mut harness, 8); // The caches answer others meanwhile.
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
        let calm = harness.send_request("video", "/o/last");
        [under_load, calm].map(|s| s.fill.source != s.server)
    };
    assert_eq!(
        run(800, Outcome::Ok),
        [false, true],
        "only looked into, and filled once the link is free"
    );
    assert_eq!(
        run(800, Outcome::Timeout),
        [true, true],
        "what timed out may have waited for the origin"
    );
    assert_eq!(
        run(130, Outcome::Ok),
        [true, true],
        "quick ones set no bound"
    );
}

#[test]
fn few_requests_may_reach_a_slow_origin() {
    let mut harness = RouterHarness::new(settings(), fleet());
    let mut next = 0;
    let mut asking = |harness: &mut RouterHarness, first_byte_us: Micros, note: Note| {
        let count = (0..100).filter(|_| {
            next += 1;
            let s = harness.send_request("video", &format!("/o/{next}"));
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
    assert_eq!(asking(&mut harness, 100 * MS, Note::FilledByOrigin), 100);
    asking(&mut harness, 900 * MS, Note::FilledByOrigin);
    let late = asking(&mut harness, 900 * MS, Note::FilledByOrigin);
    assert!(
        (1..20).contains(&late),
        "{late}: a few find out whether it is well again"
    );
    assert!(
        asking(&mut harness, 10 * MS, Note::Filled) < 20,
        "a parent's own copies tell nothing of the origin"
    );
    asking(&mut harness, 100 * MS, Note::FilledByOrigin);
    assert_eq!(asking(&mut harness, 100 * MS, Note::FilledByOrigin), 100);
    let [little, much] = [600 * MS, 2 * S].map(|first_byte_us| {
        let mut harness = RouterHarness::new(settings(), fleet());
        asking(&mut harness, first_byte_us, Note::FilledByOrigin)
    });
    assert!(
        much < little,
        "{much}, {little}: the later, the further it falls"
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
            let mut tried = false;
            for n in 0..40 {
                let s = harness.send_request("video", &format!("/o/{n}"));
                let trial = s.server == first.server;
                tried |= trial;
                let (outcome, note) = if trial {
                    (outcome, note)
                } else {
                    (Outcome::Ok, Note::Hit)
                };
                let (mut attempt, mut out) = (0, Some(s));
                while let Some(s) = out {
                    out = sent(
                        &harness.end_attempt_with(s.request, attempt, s.server, outcome, note),
                    );
                    attempt += 1;
                }
            }
            assert!(tried, "tried once its mark has run out");
        }
    }
}

#[test]
fn a_request_that_fails_at_every_server_is_refused_and_ejects_none() {
    let mut harness = RouterHarness::new(settings(), fleet());
    for n in 0..20 {
        let s = harness.send_request("video", &format!("/o/unknown-{n}"));
        let again = sent(&harness.end_attempt(s.request, 0, s.server, Outcome::Error))
            .expect("another attempt");
        let actions = harness.end_attempt(s.request, 1, again.server, Outcome::Error);
        assert!(
            matches!(actions[..], [Action::Refuse { .. }]),
            "{actions:?}"
        );
    }
    let all = used(&mut harness, 60);
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
        used(&mut harness, 60).contains(&2),
        "an answer that could not be read is not the end of a process"
    );
}

#[test]
fn impossible_sizes_do_not_affect_the_typical_transfer_time() {
    let mut harness = RouterHarness::new(settings(), fleet());
    for n in 0..200 {
        harness.now += MS;
        harness.request_sized(&format!("/o/huge-{n}"), 1e9);
    }
    // A cache that has just started takes what its budget fits, judged by what is usual.
    let started = Server {
        started: Some(harness.now - 2 * S),
        ..server(2, "town", "cache")
    };
    harness.handle(Event::List {
        mode: ListMode::Delta,
        servers: vec![started],
    });
    let all = used(&mut harness, 60);
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
        let mut again = sent(&harness.end_attempt_with(s.request, 0, s.server, outcome, note));
        for attempt in 1..6 {
            let Some(s) = again else { break };
            again = sent(&harness.end_attempt_with(
                s.request,
                attempt,
                s.server,
                Outcome::Ok,
                Note::Filled,
            ));
        }
    }
    let held = (0..40)
        .filter(|n| {
            harness
                .send_request("video", &format!("/p/{n}"))
                .fill
                .only_if_cached
        })
        .count();
    assert_eq!(
        held, 0,
        "the parent that is left asks the origin for what it lacks"
    );
}
