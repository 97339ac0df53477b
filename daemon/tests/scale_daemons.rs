//! Runs real daemons beside simulated members, and checks the report and its verdict.

use linnetknot_rehearse::scale::daemons::report::Report;
use linnetknot_rehearse::scale::daemons::run::{play, Run};
use linnetknot_rehearse::scale::target::Target;
use std::path::Path;

const DAEMONS: usize = 3;
const MEMBERS: usize = 8;
const SECONDS: u64 = 3;
const PURGES_PER_SECOND: u64 = 20;

fn small_run() -> Run {
    Run {
        program: Path::new(env!("CARGO_BIN_EXE_linnetknot")).to_owned(),
        daemons: DAEMONS,
        members: MEMBERS,
        seconds: SECONDS,
        rest_seconds: 1,
        purges_per_second: PURGES_PER_SECOND,
        seed: 1,
        target: Target::load(None).expect("the built-in target is sound"),
    }
}

#[test]
fn every_daemon_gets_all_purges_and_its_resource_usage_is_measured() {
    let run = small_run();
    let outcome = play(&run).expect("the fleet starts");
    let report = Report::of(&run, &outcome);
    assert_eq!(
        report.wrong,
        Vec::<String>::new(),
        "{}",
        report.table(&run.target.limits)
    );
    let cdni_purges: u64 = report
        .by_daemon
        .iter()
        .map(|daemon| daemon.answered.count)
        .sum();
    let purges = SECONDS * PURGES_PER_SECOND;
    assert_eq!(report.hollow_purges as u64 + cdni_purges, purges);
    assert!(
        cdni_purges > 0 && report.hollow_purges > 0,
        "both daemons and simulated members receive purges"
    );
    for (number, daemon) in report.by_daemon.iter().enumerate() {
        assert_eq!(
            daemon.acknowledged.count, report.hollow_purges as u64,
            "daemon {number}"
        );
        assert!(
            daemon.entries as u64 >= purges,
            "daemon {number} has {} entries",
            daemon.entries
        );
        assert!(daemon.under_load.memory_mb > 0.0 && daemon.under_load.counted_kilobytes > 0.0);
    }
}

#[test]
fn a_daemon_that_does_not_start_is_reported() {
    let run = Run {
        program: Path::new("/bin/false").to_owned(),
        ..small_run()
    };
    let error = play(&run).expect_err("no daemon starts").to_string();
    assert!(error.contains("did not start"), "{error}");
}
