//! Tests of the rules, the score and the waiting times, on records that the tests construct.

use linnetknot_rehearse::latency::{waits, Waits};
use linnetknot_rehearse::record::*;
use linnetknot_rehearse::rules::{judge, Breach, RULES};
use linnetknot_rehearse::score::score;
use std::collections::BTreeSet;

const MS: Micros = 1000;
const S: Micros = 1_000_000;

fn class(name: &str, repeat: Repeat, weight: f64) -> Class {
    Class {
        name: name.into(),
        repeat,
        objective_us: 300 * MS,
        stretch: 2.0,
        weight,
        late_weight: 0.2,
    }
}

fn request(id: &str, class: usize, at: Micros) -> Request {
    let key = (class == 1).then(|| format!("key-{id}"));
    let (id, object) = (id.to_owned(), "o".to_owned());
    let (first, work_us, deadline) = (id.clone(), 50 * MS, at + 2 * S);
    Request {
        id,
        first,
        class,
        proxy: 0,
        object,
        group: 3,
        key,
        work_us,
        due: at,
        at,
        deadline,
        released: None,
    }
}

fn attempt(id: &str, target: &str, at: Micros, took: Micros, ended: Ended) -> Attempt {
    Attempt {
        id: id.into(),
        proxy: 0,
        target: target.into(),
        source: None,
        first_byte: at,
        at,
        ended: Some((at + took, ended)),
        work_us: 50 * MS,
        fill_us: 0,
    }
}

fn served(id: &str, at: Micros, made: Micros) -> Answered {
    Answered {
        id: id.into(),
        at,
        answer: FinalAnswer::Served {
            made: Some(made),
            intact: true,
        },
    }
}

fn notice(at: Micros, kind: NoticeKind) -> Notice {
    Notice { proxy: 0, at, kind }
}

/// Returns a record without a breach: requests with and without a key, a retry after a refusal, a drain, a purge and a cold
/// start.
fn valid_record() -> Record {
    let mut retry = request("c2", 0, 31 * S);
    retry.first = "c1".into();
    Record {
        classes: vec![
            class("photo", Repeat::Safe, 1.0),
            class("post", Repeat::Keyed(3 * S), 3.0),
            class("pay", Repeat::Unsafe, 3.0),
        ],
        requests: vec![
            request("a", 0, 10 * S),
            request("b", 1, 20 * S),
            request("c1", 0, 30 * S),
            retry,
            request("d", 2, 40 * S),
        ],
        answered: vec![
            served("a", 10 * S + 80 * MS, 9 * S),
            served("b", 20 * S + 900 * MS, 20 * S),
            Answered {
                id: "c1".into(),
                at: 30 * S + MS,
                answer: FinalAnswer::Refused { advised: true },
            },
            served("c2", 31 * S + 90 * MS, 30 * S),
            Answered {
                id: "d".into(),
                at: 41 * S,
                answer: FinalAnswer::Failed,
            },
        ],
        attempts: vec![
            attempt("a", "box-1", 10 * S, 70 * MS, Ended::Ran),
            attempt("b", "origin", 20 * S, 100 * MS, Ended::GivenUp),
            attempt("b", "origin", 20 * S + 200 * MS, 600 * MS, Ended::Ran),
            attempt("c2", "box-2", 31 * S, 80 * MS, Ended::Ran),
            attempt("d", "origin", 40 * S, 10 * MS, Ended::Unseen),
            attempt("d", "origin", 40 * S + 20 * MS, 10 * MS, Ended::Ran),
        ],
        notices: vec![
            notice(25 * S, NoticeKind::OutOfService("box-1".into())),
            notice(
                29 * S,
                NoticeKind::Purged {
                    object: Some("o".into()),
                    group: 0,
                    at: 28 * S,
                },
            ),
        ],
        cold_starts: vec![ColdStart {
            uid: "box-2".into(),
            at: 30 * S,
            capacity: 8.0,
            share: 0.15,
            warm_us: 13 * S,
            overload_multiple: 2.5,
            overload_window_us: 3 * S,
        }],
    }
}

fn breaches_of(record: &Record) -> Vec<Breach> {
    judge(record, &Limits::default())
}

/// The name of a rule and a change to the record that violates the rule.
type Fault = (&'static str, fn(&mut Record));

const FAULTS: [Fault; 17] = [
    ("one answer", |r| drop(r.answered.remove(0))),
    ("one answer", |r| r.answered[0].at = 12 * S + 1),
    ("one answer", |r| {
        r.answered.push(served("a", 11 * S, 9 * S));
    }),
    ("one answer", |r| {
        r.answered.push(served("nobody's", 11 * S, 9 * S));
    }),
    ("whole bytes", |r| {
        r.answered[0].answer = FinalAnswer::Served {
            made: Some(9 * S),
            intact: false,
        }
    }),
    ("advice", |r| {
        r.answered[2].answer = FinalAnswer::Refused { advised: false }
    }),
    ("one out", |r| {
        r.attempts[1].ended = Some((20 * S + 250 * MS, Ended::GivenUp));
    }),
    ("one out", |r| r.attempts[1].ended = None),
    ("six attempts", |r| {
        r.attempts.extend((1..7).map(|n| {
            attempt(
                "a",
                "box-3",
                10 * S + (70 + n * 9) * MS,
                5 * MS,
                Ended::Unseen,
            )
        }));
    }),
    ("repeats", |r| r.attempts[2].at = 23 * S),
    ("repeats", |r| {
        r.attempts[4].ended = Some((40 * S + 10 * MS, Ended::GivenUp));
    }),
    ("repeats", |r| r.attempts[0].id = "unknown".into()),
    ("drains", |r| r.attempts[3].target = "box-1".into()),
    ("drains", |r| r.attempts[3].source = Some("box-1".into())),
    // A repeated notice does not restart the grace period.
    ("drains", |r| {
        r.notices.push(notice(
            30 * S + 900 * MS,
            NoticeKind::OutOfService("box-1".into()),
        ));
        r.attempts[3].target = "box-1".into();
    }),
    ("cold boxes", |r| {
        let fills = (0..40).map(|n| {
            let mut a = attempt("c2", "box-9", 31 * S + 100 * MS + n, 0, Ended::Unseen);
            (a.source, a.fill_us) = (Some("box-2".into()), 400 * MS);
            a
        });
        r.attempts.extend(fills);
    }),
    ("purges", |r| {
        r.answered[3] = served("c2", 31 * S + 90 * MS, 28 * S - 1);
    }),
];

#[test]
fn overlaps_and_late_answers_within_the_tolerance_are_not_breaches() {
    let with = |tolerance_us: u64, ended: &dyn Fn(u64) -> Option<(u64, Ended)>| {
        let mut record = valid_record();
        let next = record.attempts[2].at;
        record.attempts[1].ended = ended(next);
        judge(
            &record,
            &Limits {
                tolerance_us,
                ..Limits::default()
            },
        )
        .iter()
        .any(|b| b.rule == "one out")
    };
    let by = |us: u64| move |next: u64| Some((next + us, Ended::GivenUp));
    assert!(!with(4 * MS, &by(4 * MS)) && with(4 * MS, &by(4 * MS + 1)) && with(0, &by(1)));
    assert!(with(50 * MS, &|_| None), "an attempt that never ended");
    // The tolerance also applies to an answer that was read after the client's deadline.
    let answered = |tolerance_us, after: u64| {
        let mut record = valid_record();
        record.answered[0].at = record.requests[0].deadline + after;
        judge(
            &record,
            &Limits {
                tolerance_us,
                ..Limits::default()
            },
        )
        .iter()
        .any(|b| b.rule == "one answer")
    };
    assert!(!answered(4 * MS, 4 * MS) && answered(4 * MS, 4 * MS + 1) && answered(0, 1));
}

#[test]
fn valid_record_has_no_breaches_and_each_injected_fault_is_reported() {
    assert_eq!(breaches_of(&valid_record()), []);
    let mut reported = BTreeSet::new();
    for (n, (rule, inject)) in FAULTS.iter().enumerate() {
        let mut record = valid_record();
        inject(&mut record);
        let breaches = breaches_of(&record);
        let of: Vec<&Breach> = breaches.iter().filter(|b| b.rule == *rule).collect();
        assert!(!of.is_empty(), "fault {n} breaks '{rule}': {breaches:?}");
        assert!(
            of.iter().all(|b| b.request.is_some() || b.target.is_some()),
            "{of:?}"
        );
        assert!(
            of.iter().all(|b| b.at >= 9 * S && !b.evidence.is_empty()),
            "{of:?}"
        );
        // The case with forty fills also exceeds six attempts. Every other case breaks a single rule.
        let others = breaches.iter().filter(|b| b.rule != *rule).count();
        assert!(
            others == 0 || *rule == "cold boxes",
            "fault {n}: {breaches:?}"
        );
        reported.insert(*rule);
    }
    assert_eq!(reported.len(), RULES.len(), "a fault for each rule");
    assert!(RULES.iter().all(|(rule, _)| reported.contains(rule)));
}

#[test]
fn grace_periods_and_released_requests_are_not_breaches() {
    let mut record = valid_record();
    // An attempt is sent 1 s after the notice of a drain, another 350 ms after the notice of a purge.
    record.notices = vec![
        notice(9 * S, NoticeKind::OutOfService("box-1".into())),
        notice(
            10 * S - 350 * MS,
            NoticeKind::Purged {
                object: None,
                group: 3,
                at: 9 * S + 1,
            },
        ),
    ];
    record.cold_starts.clear();
    assert_eq!(breaches_of(&record), []);
    // Sent 51 ms later, both attempts break the rules.
    record.notices.iter_mut().for_each(|t| t.at -= 51 * MS);
    let rules: Vec<&str> = breaches_of(&record).iter().map(|b| b.rule).collect();
    assert_eq!(rules, ["drains", "purges"]);
    // The attempt violates no rule if the cache became ready again before it.
    record
        .notices
        .push(notice(9 * S + MS, NoticeKind::Ready("box-1".into())));
    assert_eq!(
        breaches_of(&record)
            .iter()
            .map(|b| b.rule)
            .collect::<Vec<_>>(),
        ["purges"]
    );
    // A released request (aborted by its client, or its proxy was killed) needs no answer.
    let mut record = valid_record();
    record.answered.remove(0);
    record.requests[0].released = Some(11 * S);
    assert_eq!(breaches_of(&record), []);
    // A cold cache may be sent work up to its overload multiple.
    let mut record = valid_record();
    record.attempts[3].work_us = 7 * S;
    assert_eq!(
        breaches_of(&record),
        [],
        "8 x 2.5 x 3 s at 15% and rising exceeds this work"
    );
    record.attempts[3].work_us = 20 * S;
    assert_eq!(breaches_of(&record)[0].rule, "cold boxes");
}

#[test]
fn score_is_weight_answered_in_time_over_weight_offered() {
    let out = score(&valid_record());
    // Request a is answered within its objective. b is late and earns a fifth of its weight. c is served late by its
    // retry. d failed.
    let earned = 1.0 + 3.0 * 0.2 + 0.2;
    assert!(
        (out.total.offered - 8.0).abs() < 1e-9 && (out.total.earned - earned).abs() < 1e-9,
        "{out:?}"
    );
    assert!((out.total.late - (2.4 + 0.8)).abs() < 1e-9);
    assert_eq!(
        (out.total.failed, out.total.refused, out.total.unanswered),
        (3.0, 0.0, 0.0)
    );
    assert_eq!(
        out.classes.iter().map(|c| c.offered).collect::<Vec<_>>(),
        [2.0, 3.0, 3.0]
    );
    assert_eq!(
        (
            out.seconds.len(),
            out.seconds[0].offered,
            out.seconds[1].offered
        ),
        (31, 1.0, 0.0)
    );
    assert_eq!(
        out.worst.unwrap().1,
        0.0,
        "the window that contains only the failed request"
    );
    // Without its retry, c is refused. Without any answers, all requests are unanswered.
    let mut record = valid_record();
    record.requests.remove(3);
    record.answered.remove(3);
    assert_eq!(score(&record).total.refused, 1.0);
    record.answered.clear();
    assert_eq!(score(&record).total.unanswered, 8.0);
    // The score of a record without requests must be `None`.
    assert_eq!(score(&Record::default()).total.score(), None);
    assert_eq!(score(&Record::default()).worst, None);
}

#[test]
fn waits_are_measured_from_the_due_time_across_retries() {
    let class_of = |record: &Record, n: usize| waits(record)[n];
    let near = |us: Micros, ms: u64| us.abs_diff(ms * MS) <= ms * MS / 500;
    let mut record = Record {
        classes: vec![class("photo", Repeat::Safe, 1.0)],
        ..Record::default()
    };
    assert_eq!(class_of(&record, 0), Waits::default());
    // A hundred requests wait 20 ms each. The load generator sends the last request 2 s late, and the delay counts as
    // waiting time.
    for n in 0..100 {
        let (id, at) = (format!("{n}"), (10 + n) * S);
        record.requests.push(request(&id, 0, at));
        record.answered.push(served(&id, at + 20 * MS, at));
    }
    let delayed = Request {
        due: 198 * S,
        ..request("late", 0, 200 * S)
    };
    record.requests.push(delayed);
    record
        .answered
        .push(served("late", 200 * S + 20 * MS, 200 * S));
    // One request is refused and then served by its retry. Another request is never served.
    let retry = Request {
        first: "again".into(),
        ..request("retry", 0, 301 * S)
    };
    record.requests.extend([
        request("again", 0, 300 * S),
        retry,
        request("never", 0, 400 * S),
    ]);
    record.answered.push(Answered {
        id: "again".into(),
        at: 300 * S,
        answer: FinalAnswer::Refused { advised: true },
    });
    record
        .answered
        .push(served("retry", 301 * S + 500 * MS, 301 * S));
    let w = class_of(&record, 0);
    assert_eq!((w.requests, w.served), (103, 102));
    assert!(
        near(w.p50, 20) && near(w.p90, 20) && near(w.p99, 1500) && near(w.max, 2020),
        "{w:?}"
    );
}

#[test]
fn cold_cache_work_capacity_is_the_integral_of_its_ramp() {
    let c = ColdStart {
        uid: "a".into(),
        at: 100,
        capacity: 2.0,
        share: 0.2,
        warm_us: 1000,
        overload_multiple: 1.0,
        overload_window_us: 100,
    };
    assert!((c.work_capacity_us(100, 1100) - 2.0 * 600.0).abs() < 1e-6);
    assert!(
        (c.work_capacity_us(1100, 1200) - 200.0).abs() < 1e-6,
        "warm"
    );
    assert!((c.work_capacity_us(100, 101) - 0.4).abs() < 0.01);
    assert_eq!(
        c.work_capacity_us(0, 100),
        0.0,
        "no capacity before its start"
    );
}
