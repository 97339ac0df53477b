//! The rehearsal kit against the real daemon: it finds nothing wrong, and finds what was planted.

use linnetknot_rehearse::{rehearse, Plant};
use std::path::Path;

fn daemon() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_linnetknot"))
}

#[test]
fn the_daemon_keeps_the_rules_in_both_cases() {
    let report = rehearse(daemon(), None).expect("the rehearsal is played");
    assert_eq!(report.breaches, [], "{report}");
    assert_eq!(report.played.len(), 4, "{report}");
}

#[test]
fn planted_breaches_are_reported() {
    for (plant, rule) in [(Plant::StaleCopies, "purge"), (Plant::DrainUntold, "drain")] {
        let report = rehearse(daemon(), Some(plant)).expect("the rehearsal is played");
        assert!(report.breaches.len() > 1, "each one is reported, not only the first: {report}");
        assert!(report.breaches.iter().all(|b| b.rule == rule), "{plant:?}: {report}");
    }
}
