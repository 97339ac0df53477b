//! The rehearsal kit against the real daemon: it finds nothing wrong, and finds what was planted.

use linnetknot_rehearse::player::{self, play};
use linnetknot_rehearse::scenario::{ClassLoad, Fault, Load, Scenario, SiteForm, What};
use linnetknot_rehearse::{rehearse, RehearsalDefect};
use std::path::Path;

fn daemon() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_linnetknot"))
}

#[test]
fn the_daemon_keeps_the_rules_in_both_cases() {
    let report = rehearse(daemon(), None).expect("the rehearsal is played");
    assert_eq!(report.breaches, [], "{report}");
    assert_eq!(report.cases.len(), 4, "{report}");
}

#[test]
fn planted_breaches_are_reported() {
    for (defect, rule) in [
        (RehearsalDefect::StaleCopies, "purge"),
        (RehearsalDefect::DrainNotSent, "drain"),
    ] {
        let report = rehearse(daemon(), Some(defect)).expect("the rehearsal is played");
        assert!(
            report.breaches.len() > 1,
            "each one is reported, not only the first: {report}"
        );
        assert!(
            report.breaches.iter().all(|b| b.rule == rule),
            "{defect:?}: {report}"
        );
    }
}

/// A few seconds of photos, posts and purges, with few objects, so that what is purged is asked for again.
fn short() -> Scenario {
    let class = |name: &str, share, keyed| ClassLoad {
        name: name.into(),
        share,
        objects: 20,
        zipf: 1.0,
        once: 0.1,
        drift: 0.0,
        parts: (1, 1),
        gap: (0.0, 0.0),
        median_kb: 40.0,
        sigma: 0.5,
        budget_ms: 1500,
        keyed,
    };
    Scenario {
        name: "short".into(),
        about: "for the tests".into(),
        seconds: 4.0,
        proxies: 2,
        peers: false,
        load: Load {
            rate: 100.0,
            shape: vec![],
            classes: vec![class("photo", 0.9, false), class("post", 0.1, true)],
            purges: 4.0,
        },
        site: SiteForm::default(),
        faults: vec![],
    }
}

#[test]
fn a_played_load_is_served_and_breaks_no_rule() {
    let out = play(daemon(), &short(), 3, None).expect("it is played");
    assert_eq!(out.breaches, []);
    assert_eq!(out.check_conclusive(), Ok(()));
    assert!(
        out.requests > 300 && out.score.total.score() > Some(0.9),
        "{out:?}"
    );
    assert!(out.writes.0 > 20 && out.writes.1 == 0, "{:?}", out.writes);
}

#[test]
fn faults_planted_under_a_played_load_are_named() {
    for (defect, rule) in [
        (player::PlayDefect::PurgesNotSent, "purges"),
        (player::PlayDefect::WrongBytes, "whole bytes"),
    ] {
        let out = play(daemon(), &short(), 3, Some(defect)).expect("it is played");
        assert!(
            out.breaches.len() > 1 && out.breaches.iter().all(|b| b.rule == rule),
            "{defect:?}: {out:?}"
        );
    }
}

#[test]
fn a_play_that_could_not_see_proves_nothing() {
    assert!(play(Path::new("/nonexistent/linnetknot"), &short(), 3, None).is_err());
    let mut out = play(
        daemon(),
        &Scenario {
            seconds: 1.0,
            ..short()
        },
        3,
        None,
    )
    .expect("it is played");
    out.lag_us.0 = player::MAX_LAG_US + 1;
    assert!(out
        .check_conclusive()
        .unwrap_err()
        .to_string()
        .contains("late"));
    out.score.total.offered = 0.0;
    assert!(out
        .check_conclusive()
        .unwrap_err()
        .to_string()
        .contains("nothing was asked"));
}

/// The short load for six seconds, with these faults: when, how long, what.
fn with(faults: &[(f64, f64, What)]) -> Scenario {
    let faults = faults.iter().map(|(at, lasts, what)| Fault {
        at: *at,
        lasts: *lasts,
        what: what.clone(),
    });
    Scenario {
        seconds: 6.0,
        faults: faults.collect(),
        ..short()
    }
}

/// Boxes that drain, die and come back cold, a stall, a slow origin and a broken bus, under a played load.
fn troubled() -> Scenario {
    with(&[
        (1.0, 2.5, What::BoxDrains { boxes: 1, first: 0 }),
        (1.5, 2.0, What::BoxDies { boxes: 3, first: 1 }),
        (2.0, 1.0, What::BoxStalls { boxes: 2, first: 4 }),
        (2.5, 1.5, What::SlowOrigin { times: 5.0 }),
        (3.0, 0.0, What::BusBreaks),
    ])
}

#[test]
fn faults_of_boxes_origin_and_bus_are_played_and_break_no_rule() {
    let out = play(daemon(), &troubled(), 3, None).expect("it is played");
    assert_eq!(out.breaches, []);
    assert_eq!(out.check_conclusive(), Ok(()));
    assert!(
        out.requests > 450 && out.score.total.score() > Some(0.6),
        "{out:?}"
    );
}

#[test]
fn a_drain_that_the_proxies_never_hear_of_is_named() {
    let out = play(
        daemon(),
        &troubled(),
        3,
        Some(player::PlayDefect::DrainsNotSent),
    )
    .expect("it is played");
    assert!(
        !out.breaches.is_empty() && out.breaches.iter().all(|b| b.rule == "drains"),
        "{:?}",
        out.breaches
    );
    assert!(
        out.breaches
            .iter()
            .all(|b| b.target.as_deref() == Some("s-00000000")),
        "{:?}",
        out.breaches
    );
}

/// A proxy killed and started again, then another told to end under load and started again.
fn crashed() -> Scenario {
    with(&[
        (
            1.0,
            1.5,
            What::ProxyKilled {
                proxies: 1,
                first: 0,
            },
        ),
        (
            3.5,
            1.0,
            What::ProxyStopped {
                proxies: 1,
                first: 1,
            },
        ),
    ])
}

#[test]
fn proxies_killed_and_stopped_under_load_break_no_rule_and_come_back() {
    let out = play(daemon(), &crashed(), 3, None).expect("it is played");
    assert_eq!(out.breaches, []);
    assert_eq!(out.check_conclusive(), Ok(()));
    assert!(out.requests > 450 && out.unsent == 0, "{out:?}");
    // What was open at the killed proxy is lost, and named where it is counted as owed.
    let out = play(
        daemon(),
        &crashed(),
        3,
        Some(player::PlayDefect::KilledRequestsDue),
    )
    .expect("it is played");
    assert!(
        !out.breaches.is_empty() && out.breaches.iter().all(|b| b.rule == "one answer"),
        "{:?}",
        out.breaches
    );
}

#[test]
fn a_play_ended_by_hand_is_judged_on_what_happened_until_then() {
    let stop = std::sync::atomic::AtomicBool::new(false);
    let progress = |seconds: f64, _| {
        if seconds >= 1.0 {
            stop.store(true, std::sync::atomic::Ordering::Relaxed);
        }
    };
    let watch = player::PlayControl {
        stop: Some(&stop),
        progress: Some(&progress),
    };
    let out = player::play_with_control(daemon(), &short(), 3, None, watch).expect("it is played");
    let at = out.interrupted.expect("it was ended");
    assert!((1.0..2.0).contains(&at), "{at}");
    assert_eq!(out.breaches, [], "what was open at the end is owed no more");
    assert!(out.requests > 50 && out.requests < 300, "{}", out.requests);
}
