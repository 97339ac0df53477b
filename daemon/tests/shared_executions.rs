//! The reports by which the processes of a proxy tell each other which requests may have run.

use linnetknot_daemon::shared_executions::{Execution, ExecutionSet};
use linnetknot_daemon::shared_log::SharedRecords;

const PROCESS: u64 = 7;

fn execution(id: u64, may_have_run: bool) -> Execution {
    Execution {
        process: PROCESS,
        id,
        at_ms: 5_000,
        may_have_run,
    }
}

fn set(executions: impl IntoIterator<Item = Execution>) -> ExecutionSet {
    let mut set = ExecutionSet::default();
    executions.into_iter().for_each(|e| set.add(e));
    set
}

#[test]
fn reports_are_read_as_written() {
    let written = [execution(u64::MAX, true), execution(0, false)];
    let mut bytes = set(written).encode();
    bytes.extend_from_slice(b"nonsense\n0000000000000007 ");
    let decoded = ExecutionSet::decode(&bytes);
    assert_eq!(decoded.records, written);
    assert_eq!(&bytes[decoded.consumed..], b"0000000000000007 ");
}

/// Guards against a report that is lost, as one process withdraws what another one has reported.
#[test]
fn a_report_is_withdrawn_by_its_process_only() {
    let other = Execution {
        process: PROCESS + 1,
        ..execution(1, true)
    };
    let set = set([execution(1, true), other, execution(1, false)]);
    let records: Vec<Execution> = set.into_records().collect();
    assert_eq!(records, [execution(1, false), other]);
}

/// Guards against a withdrawal that is lost, as a failed write puts an older report back behind it.
#[test]
fn an_older_report_does_not_replace_a_newer_one() {
    let older = execution(1, true);
    let withdrawal = Execution {
        at_ms: older.at_ms + 1,
        ..execution(1, false)
    };
    let mut outgoing = set([withdrawal]);
    outgoing.merge(set([older]));
    let records: Vec<Execution> = outgoing.into_records().collect();
    assert_eq!(records, [withdrawal]);
}

/// Guards against requests that fail, as an earlier series of requests left the same ids in the file.
#[test]
fn old_reports_have_no_effect() {
    let report = execution(1, true);
    assert!(report.is_recent(report.at_ms) && report.is_recent(report.at_ms + 60_000));
    assert!(!report.is_recent(report.at_ms + 60_001), "too old");
    assert!(!report.is_recent(report.at_ms - 1), "the machine restarted");
}

#[test]
fn a_full_set_keeps_the_latest_reports() {
    let count = 2 * ExecutionSet::CAPACITY as u64;
    let set = set((0..count).map(|id| execution(id, true)));
    let ids: Vec<u64> = set.into_records().map(|e| e.id).collect();
    assert_eq!(ids, (count / 2..count).collect::<Vec<u64>>());
}
