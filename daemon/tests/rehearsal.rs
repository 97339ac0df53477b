//! Runs the load-test tool (`linnetknot-rehearse`) against the real daemon. It must report no rule violation of the
//! daemon, and must report violations that are injected on purpose.

use linnetknot_rehearse::player::{self, play};
use linnetknot_rehearse::scenario::{ClassLoad, Fault, Load, Scenario, SiteForm, What};
use linnetknot_rehearse::{rehearse, RehearsalDefect};
use std::path::Path;

fn daemon() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_linnetknot"))
}

#[test]
fn the_daemon_breaks_no_rule_in_the_rehearsal() {
    let report = rehearse(daemon(), None).expect("the rehearsal runs");
    assert_eq!(report.breaches, [], "{report}");
    assert_eq!(report.cases.len(), 4, "{report}");
}

#[test]
fn planted_breaches_of_the_rehearsal_are_reported() {
    for (defect, rule) in [
        (RehearsalDefect::StaleCopies, "purge"),
        (RehearsalDefect::DrainNotSent, "drain"),
    ] {
        let report = rehearse(daemon(), Some(defect)).expect("the rehearsal runs");
        assert!(
            report.breaches.len() > 1,
            "every breach is reported, not only the first: {report}"
        );
        assert!(
            report.breaches.iter().all(|b| b.rule == rule),
            "{defect:?}: {report}"
        );
    }
}

/// A load of photo requests, posts and purges for four seconds, with few objects so that purged objects are requested
/// again.
fn short_scenario() -> Scenario {
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
fn a_load_scenario_is_served_and_breaks_no_rule() {
    let outcome = play(daemon(), &short_scenario(), 3, None).expect("the scenario runs");
    assert_eq!(outcome.breaches, []);
    assert_eq!(outcome.check_conclusive(), Ok(()));
    assert!(
        outcome.requests > 300 && outcome.score.total.score() > Some(0.9),
        "{outcome:?}"
    );
    assert!(
        outcome.writes.0 > 20 && outcome.writes.1 == 0,
        "{:?}",
        outcome.writes
    );
}

#[test]
fn planted_faults_under_load_are_reported_by_rule() {
    for (defect, rule) in [
        (player::PlayDefect::PurgesNotSent, "purges"),
        (player::PlayDefect::WrongBytes, "whole bytes"),
    ] {
        let outcome =
            play(daemon(), &short_scenario(), 3, Some(defect)).expect("the scenario runs");
        assert!(
            outcome.breaches.len() > 1 && outcome.breaches.iter().all(|b| b.rule == rule),
            "{defect:?}: {outcome:?}"
        );
    }
}

#[test]
fn a_run_without_valid_measurements_is_rejected() {
    assert!(play(
        Path::new("/nonexistent/linnetknot"),
        &short_scenario(),
        3,
        None
    )
    .is_err());
    let mut outcome = play(
        daemon(),
        &Scenario {
            seconds: 1.0,
            ..short_scenario()
        },
        3,
        None,
    )
    .expect("the scenario runs");
    outcome.lag_us.0 = player::MAX_LAG_US + 1;
    assert!(outcome
        .check_conclusive()
        .unwrap_err()
        .to_string()
        .contains("late"));
    outcome.score.total.offered = 0.0;
    assert!(outcome
        .check_conclusive()
        .unwrap_err()
        .to_string()
        .contains("nothing was asked"));
}

/// The short scenario extended to six seconds, with faults given as start, duration and kind.
fn scenario_with_faults(faults: &[(f64, f64, What)]) -> Scenario {
    let faults = faults.iter().map(|(at, lasts, what)| Fault {
        at: *at,
        lasts: *lasts,
        what: what.clone(),
    });
    Scenario {
        seconds: 6.0,
        faults: faults.collect(),
        ..short_scenario()
    }
}

/// Injects caches that drain, stall, or die and restart cold, a slow origin and a broken event bus.
fn cache_and_origin_faults() -> Scenario {
    scenario_with_faults(&[
        (1.0, 2.5, What::BoxDrains { boxes: 1, first: 0 }),
        (1.5, 2.0, What::BoxDies { boxes: 3, first: 1 }),
        (2.0, 1.0, What::BoxStalls { boxes: 2, first: 4 }),
        (2.5, 1.5, What::SlowOrigin { times: 5.0 }),
        (3.0, 0.0, What::BusBreaks),
    ])
}

#[test]
fn cache_origin_and_bus_faults_under_load_break_no_rule() {
    let outcome = play(daemon(), &cache_and_origin_faults(), 3, None).expect("the scenario runs");
    assert_eq!(outcome.breaches, []);
    assert_eq!(outcome.check_conclusive(), Ok(()));
    assert!(
        outcome.requests > 450 && outcome.score.total.score() > Some(0.6),
        "{outcome:?}"
    );
}

#[test]
fn a_drain_that_never_reaches_the_proxies_is_reported() {
    let outcome = play(
        daemon(),
        &cache_and_origin_faults(),
        3,
        Some(player::PlayDefect::DrainsNotSent),
    )
    .expect("the scenario runs");
    assert!(
        !outcome.breaches.is_empty() && outcome.breaches.iter().all(|b| b.rule == "drains"),
        "{:?}",
        outcome.breaches
    );
    assert!(
        outcome
            .breaches
            .iter()
            .all(|b| b.target.as_deref() == Some("s-00000000")),
        "{:?}",
        outcome.breaches
    );
}

/// Kills and restarts a proxy, then stops and restarts another proxy.
fn proxy_restarts() -> Scenario {
    scenario_with_faults(&[
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
fn killed_and_stopped_proxies_restart_under_load_without_breaches() {
    let outcome = play(daemon(), &proxy_restarts(), 3, None).expect("the scenario runs");
    assert_eq!(outcome.breaches, []);
    assert_eq!(outcome.check_conclusive(), Ok(()));
    assert!(outcome.requests > 450 && outcome.unsent == 0, "{outcome:?}");
    // With this injected fault, requests that are lost at the killed proxy count as violations.
    let outcome = play(
        daemon(),
        &proxy_restarts(),
        3,
        Some(player::PlayDefect::KilledRequestsDue),
    )
    .expect("the scenario runs");
    assert!(
        !outcome.breaches.is_empty() && outcome.breaches.iter().all(|b| b.rule == "one answer"),
        "{:?}",
        outcome.breaches
    );
}

#[test]
fn an_interrupted_run_is_judged_on_the_time_until_the_interrupt() {
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
    let outcome = player::play_with_control(daemon(), &short_scenario(), 3, None, watch)
        .expect("the scenario runs");
    let interrupted_at = outcome.interrupted.expect("the run was interrupted");
    assert!((1.0..2.0).contains(&interrupted_at), "{interrupted_at}");
    assert_eq!(
        outcome.breaches,
        [],
        "requests open at the interrupt need no response"
    );
    assert!(
        outcome.requests > 50 && outcome.requests < 300,
        "{}",
        outcome.requests
    );
}
