//! Daemons whose folder fails for a while (EIO, ENOSPC) or for good, at their start and in the middle of their work, as
//! processes of their own that are killed in between.

use linnetknot_daemon::fleet::query_status;
use linnetknot_harness::clients::{call, poll_until, Answer};
use linnetknot_harness::fleet::{status_path, Disk, Fleet, Setup};
use std::path::Path;
use std::time::{Duration, Instant};

const DAEMON: &str = env!("CARGO_BIN_EXE_linnetknot");
/// How long a commit may wait.
const WITHIN_MS: u64 = 4_000;
const TIMEOUT: Duration = Duration::from_secs(20);

fn fleet(running: usize, seed: u64, wait: Option<usize>) -> Fleet {
    Fleet::with(Setup {
        wait,
        // A busy machine may sync slowly.
        within_ms: Some(WITHIN_MS),
        ..Setup::replicating(Path::new(DAEMON), running, seed)
    })
    .unwrap()
}

fn object(n: u64) -> String {
    format!("{n:016x}")
}

fn ready(fleet: &Fleet, n: usize) -> Answer {
    call(fleet.process(n).unwrap().admin, "GET", "/control/ready", "").unwrap()
}

fn text(answer: &Answer) -> String {
    String::from_utf8(answer.body.clone()).unwrap()
}

fn is_ready(fleet: &Fleet, n: usize) -> bool {
    ready(fleet, n).status == 200
}

/// Its store is open: it says nothing of one that is not.
fn has_store(fleet: &Fleet, n: usize) -> bool {
    let answer = ready(fleet, n);
    answer.status == 200 && !text(&answer).contains("can't be opened")
}

fn trigger(fleet: &Fleet, n: usize, object: &str) -> String {
    let answer = fleet.trigger(n, &[object]).unwrap();
    status_path(&answer).unwrap_or_else(|| panic!("no trigger was made: {answer:?}"))
}

fn status_of(fleet: &Fleet, n: usize, path: &str) -> u16 {
    fleet.cdni_call(n, "GET", path).unwrap().status
}

/// What it answers to whatever needs the store, while that is away.
fn assert_rejects(fleet: &Fleet, n: usize) {
    let answer = fleet.trigger(n, &[&object(900)]).unwrap();
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
            text(&answer)
        );
    }
    assert_eq!(fleet.ask(n, &object(901)).unwrap().status, 200, "all else");
}

/// The first sync of a start fails once.
#[test]
fn a_start_whose_first_sync_fails_serves_and_has_all_once_it_is_tried_again() {
    for (errno, seed) in [("EIO", 71), ("ENOSPC", 72)] {
        let mut fleet = fleet(1, seed, None);
        let path = trigger(&fleet, 0, &object(1));
        fleet.kill(0).unwrap();
        fleet
            .restart_with_fail_points(0, Disk::Kept, &format!("disk-sync={errno}*1"))
            .unwrap_or_else(|e| panic!("{errno}: {e}"));
        assert!(poll_until(TIMEOUT, || has_store(&fleet, 0)), "{errno}");
        assert!(fleet.holds_floor(0, &object(1)).unwrap(), "{errno}");
        assert_eq!(status_of(&fleet, 0, &path), 200, "{errno}");
        trigger(&fleet, 0, &object(2));
        assert!(fleet.end(0).unwrap());
    }
}

/// The folder fails for longer, with no peer that knows what it has: copies from before count as purged, and what needs
/// the folder is rejected until it is back. A kill in the middle of it changes nothing.
#[test]
fn alone_it_rejects_what_needs_the_folder_serves_all_else_and_recovers() {
    let mut fleet = fleet(1, 73, None);
    let before = fleet.ask(0, &object(1)).unwrap().made();
    let path = trigger(&fleet, 0, &object(2));
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
        let said = text(&ready(&fleet, 0));
        assert!(said.contains("No space left on device"), "{said}");
        assert_rejects(&fleet, 0);
        let answer = fleet.cdni_call(0, "GET", &path).unwrap();
        assert_eq!(
            (answer.status, answer.header("retry-after")),
            (503, Some("1")),
            "its status may stand in the store"
        );
        assert!(fleet.ask(0, &object(1)).unwrap().made() > before);
    }
    assert!(poll_until(TIMEOUT, || has_store(&fleet, 0)));
    assert_eq!(status_of(&fleet, 0, &path), 200, "what was answered 201");
    assert_eq!(fleet.triggers(0).unwrap().len(), 1, "and nothing else");
    assert_eq!(fleet.admin_call(0, "GET", "/control/ready").unwrap(), 200);
    trigger(&fleet, 0, &object(3));
    assert!(fleet.end(0).unwrap());
}

/// With peers, it learns from them what it committed before, acknowledges none of it, and is one of them again once its
/// folder is back.
#[test]
fn among_peers_it_learns_from_them_and_acknowledges_nothing_until_the_folder_is_back() {
    let mut fleet = fleet(3, 74, Some(1));
    let path = trigger(&fleet, 0, &object(1));
    assert!(poll_until(TIMEOUT, || fleet.is_converged().unwrap()));
    fleet.kill(0).unwrap();
    fleet
        .restart_with_fail_points(0, Disk::Kept, "disk-open=EIO@6000")
        .unwrap();
    assert!(poll_until(TIMEOUT, || is_ready(&fleet, 0)));
    let status = query_status(fleet.process(0).unwrap().admin).unwrap();
    let why = status.store_error.expect("it says so");
    assert!(why.contains("os error 5"), "{why}");
    assert!(fleet.holds_floor(0, &object(1)).unwrap(), "by its peers");
    assert_eq!(status_of(&fleet, 0, &path), 200, "by its peers");
    assert_rejects(&fleet, 0);
    // Its memory is no copy: with the third one standing still, nobody has a second.
    fleet.stall(2).unwrap();
    assert_eq!(fleet.purge(1, &object(2)).unwrap(), 503);
    fleet.resume(2).unwrap();
    let third = trigger(&fleet, 1, &object(3));
    assert!(poll_until(TIMEOUT, || has_store(&fleet, 0)));
    assert!(poll_until(TIMEOUT, || fleet.is_converged().unwrap()));
    assert_eq!(status_of(&fleet, 0, &third), 200);
    let own = trigger(&fleet, 0, &object(4));
    // What it has is on its disk: it comes back alone.
    fleet.kill(1).unwrap();
    fleet.kill(2).unwrap();
    fleet.kill(0).unwrap();
    fleet.restart(0, Disk::Kept).unwrap();
    for path in [&path, &third, &own] {
        assert_eq!(status_of(&fleet, 0, path), 200);
    }
}

/// The operators' state: a ban or drain that was answered 503 is not in force in the next process, also where the failed
/// call was killed before it was undone; one that was answered 200 is.
#[test]
fn what_operators_were_answered_200_holds_and_what_they_were_answered_503_does_not() {
    let drain = |fleet: &Fleet| {
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
        let mut fleet = fleet(1, 76, None);
        assert_eq!(fleet.admin_call(0, "POST", ban).unwrap(), 200);
        fleet.kill(0).unwrap();
        // The store opens before the spell begins: it fails the operators' files.
        fleet
            .restart_with_fail_points(0, Disk::Kept, &format!("late-{points}"))
            .unwrap();
        assert!(poll_until(TIMEOUT, || is_ready(&fleet, 0)), "{points}");
        let armed = Duration::from_millis(700);
        std::thread::sleep(armed);
        let answer = drain(&fleet);
        assert_eq!(
            (answer.status, answer.header("retry-after")),
            (503, Some("1")),
            "{points}: {}",
            text(&answer)
        );
        assert!(is_ready(&fleet, 0), "{points}: nothing has changed");
        fleet.kill(0).unwrap();
        fleet.restart(0, Disk::Kept).unwrap();
        assert!(
            poll_until(TIMEOUT, || is_ready(&fleet, 0)),
            "{points}: what was answered 503 is claimed"
        );
        assert_eq!(fleet.admin_call(0, "POST", ban).unwrap(), 200);
        let answer = drain(&fleet);
        assert_eq!(answer.status, 200, "{points}: {}", text(&answer));
        fleet.kill(0).unwrap();
        fleet.restart(0, Disk::Kept).unwrap();
        assert_eq!(text(&ready(&fleet, 0)).trim(), "out of service", "{points}");
    }
}

/// The operators' files can't be read at a start: that is no sign that there are none.
#[test]
fn bans_that_cannot_be_read_at_a_start_are_in_force_once_they_can() {
    let mut fleet = fleet(1, 77, None);
    assert_eq!(
        fleet
            .admin_call(0, "POST", "/control/out-of-service")
            .unwrap(),
        200
    );
    fleet.kill(0).unwrap();
    // The log of this proxy would tell of it, too.
    std::fs::remove_file(fleet.store(0)).unwrap();
    fleet
        .restart_with_fail_points(0, Disk::Kept, "disk-read=EIO@2000")
        .unwrap();
    let admin = fleet.process(0).unwrap().admin;
    let answer = call(admin, "POST", "/control/pop-caches/s-0a/offline", "").unwrap();
    assert_eq!(answer.status, 503, "{}", text(&answer));
    assert!(poll_until(TIMEOUT, || text(&ready(&fleet, 0)).trim()
        == "out of service"));
    let files = std::fs::read_dir(fleet.store(0).parent().unwrap()).unwrap();
    let names = files.map(|f| f.unwrap().file_name().into_string().unwrap());
    assert!(names.into_iter().all(|name| !name.ends_with(".new")));
}

/// The store of a running process fails: once, for a spell, and until the process is killed. What was answered 201 is
/// there in the next process; what was answered 503 is not told of where the spell ended before the kill.
#[test]
fn a_running_store_that_fails_loses_nothing_that_was_answered_201() {
    let spells = [
        ("disk-sync=EIO*1", true),
        ("disk-sync=EIO@1500", true),
        ("disk-write=ENOSPC@1500", true),
        ("disk-truncate=ENOSPC@1500", true),
        ("disk-sync=EIO", false),
        ("disk-write=ENOSPC", false),
    ];
    for (seed, (points, passes)) in (80..).zip(spells) {
        let mut fleet = fleet(1, seed, None);
        fleet.kill(0).unwrap();
        fleet
            .restart_with_fail_points(0, Disk::Kept, &format!("late-{points}"))
            .unwrap();
        assert!(poll_until(TIMEOUT, || is_ready(&fleet, 0)), "{points}");
        let (mut committed, mut rejected) = (Vec::new(), 0);
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_secs(4) {
            let answer = fleet.trigger(0, &[&object(rejected)]).unwrap();
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
        if passes {
            let last = fleet.trigger(0, &[&object(999)]).unwrap();
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
            assert!(rejected > 0, "{points}: nothing failed");
        }
        fleet.kill(0).unwrap();
        fleet.restart(0, Disk::Kept).unwrap();
        for path in &committed {
            assert_eq!(status_of(&fleet, 0, path), 200, "{points}: {path}");
        }
        if passes {
            assert_eq!(
                fleet.triggers(0).unwrap().len(),
                committed.len() + 1,
                "{points}"
            );
        }
    }
}

/// What somebody must mend is refused by name at once.
#[test]
fn what_is_wrong_for_good_is_refused_at_once() {
    let mut fleet = fleet(1, 75, None);
    fleet.kill(0).unwrap();
    let refused = |fleet: &mut Fleet, points: &str| {
        let error = fleet
            .restart_with_fail_points(0, Disk::Kept, points)
            .unwrap_err();
        error.to_string()
    };
    let said = refused(&mut fleet, "disk-open=EACCES");
    assert!(
        said.contains("cdni.purges") && said.contains("Permission denied"),
        "{said}"
    );
    let store = fleet.store(0);
    std::fs::remove_file(&store).unwrap();
    std::fs::create_dir(&store).unwrap();
    let said = refused(&mut fleet, "");
    assert!(
        said.contains("cdni.purges") && said.contains("Is a directory"),
        "{said}"
    );
    std::fs::remove_dir(&store).unwrap();
    fleet.restart(0, Disk::Kept).unwrap();
}
