//! Catch-up from a peer's snapshot in a fleet with a small compaction window: a proxy that missed more purges than the
//! window holds, or lost its disk, enforces all purges before it is ready.

use linnetknot_harness::clients::{poll_until, TIMEOUT};
use linnetknot_harness::fleet::{Disk, Fleet, Setup};
use std::path::Path;

const DAEMON: &str = env!("CARGO_BIN_EXE_linnetknot");
/// Maximum number of purges that each proxy keeps as exact entries.
const WINDOW: usize = 16;
/// Number of purges sent while a proxy is down.
const PURGES: u64 = 60;

fn fleet(seed: u64) -> Fleet {
    // A long commit timeout, so that commits succeed on a busy machine.
    let within_ms = Some(3_000);
    let setup = Setup {
        within_ms,
        exact_purges: Some(WINDOW),
        ..Setup::replicating(Path::new(DAEMON), 3, seed)
    };
    Fleet::with(setup).unwrap()
}

fn object(n: u64) -> String {
    format!("{n:016x}")
}

fn until(what: &str, condition: impl FnMut() -> bool) {
    assert!(poll_until(3 * TIMEOUT, condition), "never: {what}");
}

/// Sends all purges to proxies 0 and 1 in turn, and waits until both have compacted all purges beyond the window.
fn purge_all(fleet: &Fleet) {
    for n in 0..PURGES {
        assert_eq!(
            fleet.purge((n % 2) as usize, &object(n)).unwrap(),
            201,
            "purge {n}"
        );
    }
    let compacted = |n| fleet.status(n).unwrap().compacted as u64;
    until("both proxies have compacted", || {
        (0..2).all(|n| compacted(n) >= PURGES - WINDOW as u64)
    });
}

fn is_ready(fleet: &Fleet, n: usize) -> bool {
    fleet.admin_call(n, "GET", "/control/ready").unwrap() == 200
}

/// Returns whether a proxy has the same state as another proxy, in memory and on its disk.
fn has_caught_up_with(fleet: &Fleet, n: usize, other: usize) -> bool {
    let (status, other) = (fleet.status(n).unwrap(), fleet.status(other).unwrap());
    let is_on_disk = status
        .logs
        .iter()
        .all(|log| log.last_index == log.durable_index);
    !status.catching_up && is_on_disk && status.digest == other.digest
}

fn assert_all_floors(fleet: &Fleet, n: usize) {
    let missing: Vec<u64> = (0..PURGES)
        .filter(|p| !fleet.holds_floor(n, &object(*p)).unwrap())
        .collect();
    assert!(
        missing.is_empty(),
        "p{n} does not enforce the purges {missing:?}"
    );
}

#[test]
fn a_proxy_behind_the_compaction_window_catches_up_from_a_snapshot() {
    let mut fleet = fleet(51);
    until("all members are alive", || {
        fleet.status(0).unwrap().alive_members == 3
    });
    fleet.kill(2).unwrap();
    purge_all(&fleet);
    fleet.restart(2, Disk::Kept).unwrap();
    until("p2 has caught up", || has_caught_up_with(&fleet, 2, 0));
    until("p2 is ready", || is_ready(&fleet, 2));
    assert_all_floors(&fleet, 2);
    assert!(
        !fleet.holds_floor(2, &object(PURGES)).unwrap(),
        "an object that was never purged has no floor"
    );
    assert!(fleet.status(2).unwrap().compacted > 0);
    // After a restart without peers the proxy recovers from its own disk.
    fleet.kill(2).unwrap();
    fleet.kill(0).unwrap();
    fleet.kill(1).unwrap();
    fleet.restart(2, Disk::Kept).unwrap();
    assert_all_floors(&fleet, 2);
}

#[test]
fn a_proxy_without_its_disk_is_ready_only_after_catching_up() {
    let mut fleet = fleet(52);
    purge_all(&fleet);
    fleet.kill(1).unwrap();
    fleet.restart(1, Disk::Lost).unwrap();
    until("p1 is ready", || is_ready(&fleet, 1));
    assert_all_floors(&fleet, 1);
}

#[test]
fn a_snapshot_interrupted_by_a_crash_is_transferred_after_the_restart() {
    let mut fleet = fleet(53);
    fleet.kill(2).unwrap();
    purge_all(&fleet);
    for disk in [Disk::Kept, Disk::Lost] {
        fleet
            .restart_with_fail_points(2, disk, "snapshot-chunk=die")
            .unwrap();
        until("p2 has crashed at the first chunk", || {
            fleet.process(2).is_err()
        });
        fleet.kill(2).unwrap();
    }
    fleet.restart(2, Disk::Kept).unwrap();
    until("p2 has caught up", || has_caught_up_with(&fleet, 2, 0));
    until("p2 is ready", || is_ready(&fleet, 2));
    assert_all_floors(&fleet, 2);
}

/// The snapshot never arrives, and the proxy stops waiting for it after a timeout.
#[test]
fn a_proxy_without_its_snapshot_treats_every_copy_as_purged() {
    let mut fleet = fleet(54);
    fleet.kill(2).unwrap();
    purge_all(&fleet);
    fleet
        .restart_with_fail_points(2, Disk::Lost, "snapshot-lost=fail")
        .unwrap();
    until("p2 knows that it is behind", || {
        fleet.status(2).unwrap().catching_up
    });
    assert!(!is_ready(&fleet, 2));
    until("the wait times out", || is_ready(&fleet, 2));
    assert!(fleet.status(2).unwrap().catching_up);
    assert_all_floors(&fleet, 2);
    assert!(
        fleet.holds_floor(2, &object(PURGES)).unwrap(),
        "without the snapshot every copy counts as purged"
    );
}
