//! Reports and tables of runs with real daemons, for constructed outcomes.

use linnetknot_rehearse::scale::daemons::acks::delay_histogram;
use linnetknot_rehearse::scale::daemons::host::RefusedPurge;
use linnetknot_rehearse::scale::daemons::purge_plan::TriggerOutcome;
use linnetknot_rehearse::scale::daemons::report::Report;
use linnetknot_rehearse::scale::daemons::run::{DaemonOutcome, Outcome, ResourceUsage, Run};
use linnetknot_rehearse::scale::daemons::slopes::{table, SizeOutcome, SizeRun};
use linnetknot_rehearse::scale::daemons::traffic::Traffic;
use linnetknot_rehearse::scale::hollow::Refusal;
use linnetknot_rehearse::scale::target::Target;
use std::path::PathBuf;
use std::time::Duration;

const MEGABYTE: u64 = 1_000_000;
const SECONDS: f64 = 10.0;

fn run(members: usize) -> Run {
    Run {
        program: PathBuf::new(),
        daemons: 3,
        members,
        seconds: SECONDS as u64,
        rest_seconds: SECONDS as u64,
        purges_per_second: 110,
        seed: 1,
        target: Target::load(None).expect("load built-in target"),
    }
}

/// Resources of a daemon that used this many hundredths of a core and sent this many bytes.
fn resource_usage(hundredths: u64, bytes_out: u64) -> ResourceUsage {
    ResourceUsage {
        seconds: SECONDS,
        processor_time: Duration::from_millis(hundredths * 100),
        resident_bytes: 10 * MEGABYTE,
        peak_resident_bytes: 10 * MEGABYTE,
        traffic: Traffic {
            bytes_out,
            ..Traffic::default()
        },
        dropped: 0,
    }
}

fn daemon(under_load: ResourceUsage) -> DaemonOutcome {
    DaemonOutcome {
        at_rest: resource_usage(1, 0),
        under_load,
        ack_delays: delay_histogram(),
        unacknowledged: 0,
        triggers: TriggerOutcome {
            response_times: delay_histogram(),
            refused: Vec::new(),
        },
        entries: 1_100,
        logs: 19,
        is_settled: true,
    }
}

fn valid_outcome(daemons: Vec<DaemonOutcome>) -> Outcome {
    Outcome {
        daemons,
        hollow_purges: 1_000,
        refused: Vec::new(),
        false_deaths: 0,
        warm_up_us: Some(1),
        settling_us: Some(1),
        lateness_p99_us: 10,
        lateness_max_us: 20,
        host_processor_share: 0.1,
    }
}

#[test]
fn report_of_a_valid_run_has_no_violations() {
    let report = Report::of(
        &run(16),
        &valid_outcome(vec![daemon(resource_usage(4, MEGABYTE / 10))]),
    );
    assert_eq!(
        (report.wrong.len(), report.over.len(), report.kept_pace),
        (0, 0, true)
    );
    let figures = report.by_daemon[0].under_load;
    assert_eq!(
        (
            figures.processor_percent,
            figures.memory_mb,
            figures.counted_kilobytes
        ),
        (4.0, 10.0, 10.0)
    );
    // The estimated total treats each of the other daemons as an additional hollow member.
    assert_eq!(figures.estimated_kilobytes, 10.0 * 18.0 / 16.0);
}

#[test]
fn limits_apply_to_the_worst_daemon() {
    let report = Report::of(
        &run(16),
        &valid_outcome(vec![
            daemon(resource_usage(1, 0)),
            daemon(resource_usage(6, 0)),
        ]),
    );
    assert_eq!(report.over, ["CPU % under load: 6.00 of 4.9"]);
    assert!(report
        .table(&run(16).target.limits)
        .contains("OVER CPU % under load"));
}

#[test]
fn report_lists_each_failure() {
    let mut failing = daemon(resource_usage(1, 0));
    (failing.unacknowledged, failing.is_settled) = (2, false);
    failing
        .triggers
        .refused
        .push("purge 7: answered 503".to_owned());
    let outcome = Outcome {
        refused: vec![RefusedPurge {
            member: 5,
            purge: 9,
            reason: Refusal::Acknowledgements,
        }],
        settling_us: None,
        warm_up_us: None,
        ..valid_outcome(vec![daemon(resource_usage(1, 0)), failing])
    };
    let wrong = Report::of(&run(16), &outcome).wrong;
    let expected = [
        "not all members knew each other before the run",
        "not all members had the same logs after quiet time",
        "daemon 1 acknowledged 2 of 1000 purges of hollow members not at all",
        "daemon 1 has other logs than the hollow members",
        "daemon 1 refused purge 7: answered 503",
        "hollow member 5 refused purge 9: Acknowledgements",
    ];
    assert_eq!(wrong, expected);
}

#[test]
fn failed_and_slow_sizes_are_listed_but_not_fitted() {
    let ran = |members: usize, hundredths: u64, lateness_p99_us: u64| {
        let outcome = Outcome {
            lateness_p99_us,
            ..valid_outcome(vec![daemon(resource_usage(hundredths, 0))])
        };
        SizeRun {
            members,
            outcome: SizeOutcome::Ran(Box::new(Report::of(&run(members), &outcome))),
        }
    };
    let refused = SizeRun {
        members: 9_997,
        outcome: SizeOutcome::NotRun("too few descriptors".to_owned()),
    };
    let text = table(
        &[
            ran(17, 2, 0),
            ran(37, 4, 0),
            ran(997, 90, 5_000_000),
            refused,
        ],
        120,
    );
    assert!(
        text.contains("| CPU % under load | 2.00 | 4.00 | 0.10000 | 0.00 | 0% | 1.00 | 12.0 |"),
        "{text}"
    );
    assert!(text.contains("NOT MEASURED 997 hollow members"), "{text}");
    assert!(
        text.contains("NOT RUN 9997 hollow members: too few descriptors"),
        "{text}"
    );
}
