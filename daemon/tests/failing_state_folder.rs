//! Tests daemon processes whose state folder fails temporarily or permanently, at startup and at run time, with kills
//! in between.

use linnetknot_daemon::fleet::query_status;
use linnetknot_harness::clients::{call, poll_until, Answer};
use linnetknot_harness::fleet::{status_path, Disk, Fleet, Setup};
use std::path::Path;
use std::time::{Duration, Instant};

const DAEMON: &str = env!("CARGO_BIN_EXE_linnetknot");
/// Maximum time for a commit; syncs on a busy machine must not exceed it.
const COMMIT_TIMEOUT_MS: u64 = 4_000;
const TIMEOUT: Duration = Duration::from_secs(20);

fn start_fleet(running: usize, seed: u64, wait: Option<usize>) -> Fleet {
    Fleet::with(Setup {
        wait,
        within_ms: Some(COMMIT_TIMEOUT_MS),
        ..Setup::replicating(Path::new(DAEMON), running, seed)
    })
    .unwrap()
}

fn object_id(n: u64) -> String {
    format!("{n:016x}")
}

fn query_ready(fleet: &Fleet, n: usize) -> Answer {
    call(fleet.process(n).unwrap().admin, "GET", "/control/ready", "").unwrap()
}

fn body_text(answer: &Answer) -> String {
    String::from_utf8(answer.body.clone()).unwrap()
}

fn is_ready(fleet: &Fleet, n: usize) -> bool {
    query_ready(fleet, n).status == 200
}

/// Returns whether the daemon is ready and reports no store that failed to open.
fn has_store(fleet: &Fleet, n: usize) -> bool {
    let answer = query_ready(fleet, n);
    answer.status == 200 && !body_text(&answer).contains("can't be opened")
}

fn trigger(fleet: &Fleet, n: usize, object: &str) -> String {
    let answer = fleet.trigger(n, &[object]).unwrap();
    status_path(&answer).unwrap_or_else(|| panic!("no trigger was made: {answer:?}"))
}

fn status_of(fleet: &Fleet, n: usize, path: &str) -> u16 {
    fleet.cdni_call(n, "GET", path).unwrap().status
}

/// Checks that calls that need the store get 503, and that other requests are served.
fn check_store_calls_are_rejected(fleet: &Fleet, n: usize) {
    let answer = fleet.trigger(n, &[&object_id(900)]).unwrap();
    assert_eq!(
        (answer.status, answer.header("retry-after")),
        (503, Some("1")),
        "a trigger"
    );
    for path in [
        "/control/out-of-service",
        "/control/pop-caches/s-0b/offline",
    ] {
        let admin = fleet.process(n).unwrap().admin;
        let answer = call(admin, "POST", path, "").unwrap();
        assert_eq!(
            (answer.status, answer.header("retry-after")),
            (503, Some("1")),
            "{path}: {}",
            body_text(&answer)
        );
    }
    assert_eq!(
        fleet.ask(n, &object_id(901)).unwrap().status,
        200,
        "other requests are served"
    );
}

/// The first sync of the store at startup fails once, and a retry succeeds.
#[test]
fn a_daemon_whose_first_sync_fails_serves_and_recovers_its_store() {
    for (errno, seed) in [("EIO", 71), ("ENOSPC", 72)] {
        let mut fleet = start_fleet(1, seed, None);
        let path = trigger(&fleet, 0, &object_id(1));
        fleet.kill(0).unwrap();
        fleet
            .restart_with_fail_points(0, Disk::Kept, &format!("disk-sync={errno}*1"))
            .unwrap_or_else(|e| panic!("{errno}: {e}"));
        assert!(poll_until(TIMEOUT, || has_store(&fleet, 0)), "{errno}");
        assert!(fleet.holds_floor(0, &object_id(1)).unwrap(), "{errno}");
        assert_eq!(status_of(&fleet, 0, &path), 200, "{errno}");
        trigger(&fleet, 0, &object_id(2));
        assert!(fleet.end(0).unwrap());
    }
}

/// The folder fails for longer than one write, and no peer has its entries. Until the folder recovers, all copies made
/// earlier count as purged, and calls that need the store are rejected. A kill during the failure does not change this.
#[test]
fn without_peers_only_calls_that_need_the_store_are_rejected_until_it_recovers() {
    let mut fleet = start_fleet(1, 73, None);
    let before = fleet.ask(0, &object_id(1)).unwrap().made();
    let path = trigger(&fleet, 0, &object_id(2));
    assert_eq!(
        fleet
            .admin_call(0, "POST", "/control/pop-caches/s-0a/offline")
            .unwrap(),
        200
    );
    for lasts in ["", "@2500"] {
        fleet.kill(0).unwrap();
        fleet
            .restart_with_fail_points(0, Disk::Kept, &format!("disk-write=ENOSPC{lasts}"))
            .unwrap();
        assert!(poll_until(TIMEOUT, || is_ready(&fleet, 0)));
        let message = body_text(&query_ready(&fleet, 0));
        assert!(message.contains("No space left on device"), "{message}");
        check_store_calls_are_rejected(&fleet, 0);
        let answer = fleet.cdni_call(0, "GET", &path).unwrap();
        assert_eq!(
            (answer.status, answer.header("retry-after")),
            (503, Some("1")),
            "the status may be in the store"
        );
        assert!(fleet.ask(0, &object_id(1)).unwrap().made() > before);
    }
    assert!(poll_until(TIMEOUT, || has_store(&fleet, 0)));
    assert_eq!(
        status_of(&fleet, 0, &path),
        200,
        "the trigger that was answered 201"
    );
    assert_eq!(fleet.triggers(0).unwrap().len(), 1, "and no other trigger");
    assert_eq!(fleet.admin_call(0, "GET", "/control/ready").unwrap(), 200);
    trigger(&fleet, 0, &object_id(3));
    assert!(fleet.end(0).unwrap());
}

/// With peers, the daemon fetches the committed entries from them, but acknowledges none until its folder recovers.
#[test]
fn with_peers_the_entries_are_fetched_but_not_acknowledged_until_the_folder_recovers() {
    let mut fleet = start_fleet(3, 74, Some(1));
    let path = trigger(&fleet, 0, &object_id(1));
    assert!(poll_until(TIMEOUT, || fleet.is_converged().unwrap()));
    fleet.kill(0).unwrap();
    fleet
        .restart_with_fail_points(0, Disk::Kept, "disk-open=EIO@6000")
        .unwrap();
    assert!(poll_until(TIMEOUT, || is_ready(&fleet, 0)));
    let status = query_status(fleet.process(0).unwrap().admin).unwrap();
    let reason = status
        .store_error
        .expect("the status reports the store error");
    assert!(reason.contains("os error 5"), "{reason}");
    assert!(fleet.holds_floor(0, &object_id(1)).unwrap(), "by its peers");
    assert_eq!(status_of(&fleet, 0, &path), 200, "by its peers");
    check_store_calls_are_rejected(&fleet, 0);
    // Entries held only in memory do not count: with the third daemon stalled, no second copy is durable.
    fleet.stall(2).unwrap();
    assert_eq!(fleet.purge(1, &object_id(2)).unwrap(), 503);
    fleet.resume(2).unwrap();
    let peer_trigger = trigger(&fleet, 1, &object_id(3));
    assert!(poll_until(TIMEOUT, || has_store(&fleet, 0)));
    assert!(poll_until(TIMEOUT, || fleet.is_converged().unwrap()));
    assert_eq!(status_of(&fleet, 0, &peer_trigger), 200);
    let own_trigger = trigger(&fleet, 0, &object_id(4));
    // The disk of the daemon has all entries, so the daemon recovers without its peers.
    fleet.kill(1).unwrap();
    fleet.kill(2).unwrap();
    fleet.kill(0).unwrap();
    fleet.restart(0, Disk::Kept).unwrap();
    for path in [&path, &peer_trigger, &own_trigger] {
        assert_eq!(status_of(&fleet, 0, path), 200);
    }
}

/// A ban or drain that was answered 503 is not in force after a restart, even if the daemon was killed before it undid
/// the failed write. A ban or drain that was answered 200 is in force after the restart.
#[test]
fn operator_changes_answered_200_persist_and_those_answered_503_do_not() {
    let post_drain = |fleet: &Fleet| {
        let admin = fleet.process(0).unwrap().admin;
        call(admin, "POST", "/control/out-of-service", "").unwrap()
    };
    let ban = "/control/pop-caches/s-0a/offline";
    for points in [
        "disk-open=ENOSPC*1",
        "disk-open=EIO",
        "disk-write=ENOSPC*1",
        "disk-write=ENOSPC",
        "disk-sync=EIO*1",
        "disk-sync=EIO",
        "disk-sync=EIO+1",
        "disk-sync=EIO+2",
        "disk-sync=EIO+3*1",
        "disk-sync=EIO+3",
        "disk-rename=EIO*1",
        "disk-rename=EIO",
        "disk-rename=EIO+1*1",
        "disk-rename=EIO+1",
        "disk-rename=ENOSPC+1",
    ] {
        let mut fleet = start_fleet(1, 76, None);
        assert_eq!(fleet.admin_call(0, "POST", ban).unwrap(), 200);
        fleet.kill(0).unwrap();
        // The failures start after the store has been opened, so that they affect the files of the operators' state.
        fleet
            .restart_with_fail_points(0, Disk::Kept, &format!("late-{points}"))
            .unwrap();
        assert!(poll_until(TIMEOUT, || is_ready(&fleet, 0)), "{points}");
        let failure_delay = Duration::from_millis(700);
        std::thread::sleep(failure_delay);
        let answer = post_drain(&fleet);
        assert_eq!(
            (answer.status, answer.header("retry-after")),
            (503, Some("1")),
            "{points}: {}",
            body_text(&answer)
        );
        assert!(
            is_ready(&fleet, 0),
            "{points}: the rejected drain is not in force"
        );
        fleet.kill(0).unwrap();
        fleet.restart(0, Disk::Kept).unwrap();
        assert!(
            poll_until(TIMEOUT, || is_ready(&fleet, 0)),
            "{points}: a drain that was answered 503 is in force"
        );
        assert_eq!(fleet.admin_call(0, "POST", ban).unwrap(), 200);
        let answer = post_drain(&fleet);
        assert_eq!(answer.status, 200, "{points}: {}", body_text(&answer));
        fleet.kill(0).unwrap();
        fleet.restart(0, Disk::Kept).unwrap();
        assert_eq!(
            body_text(&query_ready(&fleet, 0)).trim(),
            "out of service",
            "{points}"
        );
    }
}

/// A failure to read the operators' state at startup must not be taken for an absent state.
#[test]
fn operator_state_that_is_unreadable_at_startup_applies_once_it_is_readable() {
    let mut fleet = start_fleet(1, 77, None);
    assert_eq!(
        fleet
            .admin_call(0, "POST", "/control/out-of-service")
            .unwrap(),
        200
    );
    fleet.kill(0).unwrap();
    // Remove the store, whose log also holds the drain.
    std::fs::remove_file(fleet.store(0)).unwrap();
    fleet
        .restart_with_fail_points(0, Disk::Kept, "disk-read=EIO@2000")
        .unwrap();
    let admin = fleet.process(0).unwrap().admin;
    let answer = call(admin, "POST", "/control/pop-caches/s-0a/offline", "").unwrap();
    assert_eq!(answer.status, 503, "{}", body_text(&answer));
    assert!(poll_until(TIMEOUT, || body_text(&query_ready(&fleet, 0))
        .trim()
        == "out of service"));
    let files = std::fs::read_dir(fleet.store(0).parent().unwrap()).unwrap();
    let names = files.map(|f| f.unwrap().file_name().into_string().unwrap());
    assert!(names.into_iter().all(|name| !name.ends_with(".new")));
}

/// The store of a running daemon fails once, for a while, or until the daemon is killed. Triggers that were answered 201
/// exist after a restart. Triggers that were answered 503 do not exist if the failure ended before the kill.
#[test]
fn a_store_failure_at_run_time_loses_no_trigger_answered_201() {
    let failures = [
        ("disk-sync=EIO*1", true),
        ("disk-sync=EIO@1500", true),
        ("disk-write=ENOSPC@1500", true),
        ("disk-truncate=ENOSPC@1500", true),
        ("disk-sync=EIO", false),
        ("disk-write=ENOSPC", false),
    ];
    for (seed, (points, recovers)) in (80..).zip(failures) {
        let mut fleet = start_fleet(1, seed, None);
        fleet.kill(0).unwrap();
        fleet
            .restart_with_fail_points(0, Disk::Kept, &format!("late-{points}"))
            .unwrap();
        assert!(poll_until(TIMEOUT, || is_ready(&fleet, 0)), "{points}");
        let (mut committed, mut rejected) = (Vec::new(), 0);
        let started_at = Instant::now();
        while started_at.elapsed() < Duration::from_secs(4) {
            let answer = fleet.trigger(0, &[&object_id(rejected)]).unwrap();
            match status_path(&answer) {
                Some(path) => committed.push(path),
                None => {
                    assert_eq!(
                        (answer.status, answer.header("retry-after")),
                        (503, Some("1")),
                        "{points}"
                    );
                    rejected += 1;
                }
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        if recovers {
            let last = fleet.trigger(0, &[&object_id(999)]).unwrap();
            assert_eq!(
                last.status,
                201,
                "{points}: {} and {rejected} before",
                committed.len()
            );
            assert!(poll_until(TIMEOUT, || {
                let status = fleet.triggers(0).unwrap();
                status.len() == committed.len() + 1
            }));
        } else {
            assert!(rejected > 0, "{points}: no trigger was rejected");
        }
        fleet.kill(0).unwrap();
        fleet.restart(0, Disk::Kept).unwrap();
        for path in &committed {
            assert_eq!(status_of(&fleet, 0, path), 200, "{points}: {path}");
        }
        if recovers {
            assert_eq!(
                fleet.triggers(0).unwrap().len(),
                committed.len() + 1,
                "{points}"
            );
        }
    }
}

/// An error that only an operator can fix must fail the start, with a message that names the setting.
#[test]
fn a_permanent_folder_error_fails_the_start_at_once() {
    let mut fleet = start_fleet(1, 75, None);
    fleet.kill(0).unwrap();
    let start_error = |fleet: &mut Fleet, points: &str| {
        let error = fleet
            .restart_with_fail_points(0, Disk::Kept, points)
            .unwrap_err();
        error.to_string()
    };
    let message = start_error(&mut fleet, "disk-open=EACCES");
    assert!(
        message.contains("cdni.purges") && message.contains("Permission denied"),
        "{message}"
    );
    let store = fleet.store(0);
    std::fs::remove_file(&store).unwrap();
    std::fs::create_dir(&store).unwrap();
    let message = start_error(&mut fleet, "");
    assert!(
        message.contains("cdni.purges") && message.contains("Is a directory"),
        "{message}"
    );
    std::fs::remove_dir(&store).unwrap();
    fleet.restart(0, Disk::Kept).unwrap();
}
