//! Tests of series of runs over many seeds, and of the shipped scenarios.

use linnetknot_rehearse::series::{run_in_parallel, Seeds, Summary, Verdict, Verdicts};
use linnetknot_rehearse::shipped::{expand_names, find, SHIPPED};
use std::sync::atomic::{AtomicUsize, Ordering};

fn played(broken: &[(&'static str, usize)], score: f64) -> Verdict {
    Verdict::Played {
        broken: broken.iter().copied().collect(),
        score,
    }
}

#[test]
fn seed_ranges_are_parsed_and_invalid_ones_rejected() {
    assert_eq!("1..20".parse(), Ok(Seeds(1..=20)));
    assert_eq!("7".parse(), Ok(Seeds(7..=7)));
    let error = |text: &str| text.parse::<Seeds>().unwrap_err().to_string();
    assert_eq!(error("20..1"), "20..1 holds no seed");
    assert_eq!(error("1..x"), "'x' is no seed; seeds read as 1..20");
    assert!("0..10000".parse::<Seeds>().is_err() && "0..9999".parse::<Seeds>().is_ok());
}

#[test]
fn summary_lists_broken_rules_by_seed_and_reports_the_worst_status() {
    let clean = played(&[], 0.9);
    let mut all: Verdicts = [
        (1, clean.clone()),
        (2, played(&[("purges", 3), ("drains", 1)], 0.7)),
    ]
    .into();
    let calm = Verdicts::from([(1, clean)]);
    let summary = Summary(vec![
        ("calm".into(), calm.clone()),
        ("storm".into(), all.clone()),
    ]);
    assert_eq!(summary.status(), 1);
    let text = summary.to_string();
    assert!(
        text.contains("| calm | 1 | 1 | none | none | 0.900 |"),
        "{text}"
    );
    assert!(
        text.contains("| storm | 2 | 1 | drains: 2 (1); purges: 2 (3) | none | 0.700 |"),
        "{text}"
    );
    all.insert(3, Verdict::Inconclusive("no daemon".into()));
    let worse = Summary(vec![("storm".into(), all)]);
    assert_eq!(worse.status(), 2);
    assert!(worse.to_string().contains("| 3: no daemon |"), "{worse}");
    assert_eq!(Summary(vec![("calm".into(), calm)]).status(), 0);
    assert_eq!(
        Summary::default().status(),
        2,
        "a series without plays is inconclusive"
    );
}

#[test]
fn jobs_run_in_parallel_up_to_the_limit() {
    let (running, most) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let meet = std::sync::Barrier::new(3);
    let jobs: Vec<u64> = (0..9).collect();
    let doubled = run_in_parallel(&jobs, 3, |n| {
        let now = running.fetch_add(1, Ordering::SeqCst) + 1;
        most.fetch_max(now, Ordering::SeqCst);
        // The barrier releases the jobs only when three of them run at the same time.
        meet.wait();
        running.fetch_sub(1, Ordering::SeqCst);
        n * 2
    });
    assert_eq!(
        doubled,
        jobs.iter().map(|n| n * 2).collect::<Vec<_>>(),
        "in the jobs' order"
    );
    assert_eq!(most.load(Ordering::SeqCst), 3);
    assert!(run_in_parallel(&Vec::<u64>::new(), 3, |n| *n).is_empty());
}

#[test]
fn all_expands_to_every_shipped_scenario_and_names_are_found() {
    let chosen = expand_names(&["x.json".into(), "all".into()]);
    assert_eq!(chosen.len(), 1 + SHIPPED.len());
    assert_eq!(
        (chosen[0].as_str(), chosen[1].as_str(), chosen[8].as_str()),
        ("x.json", "calm", "rolling-restart")
    );
    assert_eq!(
        find("half-crash").and_then(|read| Some(read.ok()?.proxies)),
        Some(3)
    );
    assert!(find("meteor").is_none());
}
