//! Three processes of the daemon that hold few purges one by one: one that was away past that, or lost its disk, has
//! the floors of all purges before it is ready, from its peers' snapshot.

use linnetknot_harness::clients::{poll_until, TIMEOUT};
use linnetknot_harness::fleet::{Disk, Fleet, Setup};
use std::path::Path;

const DAEMON: &str = env!("CARGO_BIN_EXE_linnetknot");
/// Purges that each proxy holds one by one.
const WINDOW: usize = 16;
/// Purges that are told while a proxy is away.
const PURGES: u64 = 60;

fn fleet(seed: u64) -> Fleet {
    // What can be promised is, also on a machine that is busy with other tests.
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

fn until(what: &str, so: impl FnMut() -> bool) {
    assert!(poll_until(3 * TIMEOUT, so), "never: {what}");
}

/// Tells proxies 0 and 1 of all purges in turn, and waits until both have compacted all beyond the window.
fn purge_all(fleet: &Fleet) {
    for n in 0..PURGES {
        assert_eq!(
            fleet.purge((n % 2) as usize, &object(n)).unwrap(),
            201,
            "purge {n}"
        );
    }
    let compacted = |n| fleet.status(n).unwrap().compacted as u64;
    until("they have compacted", || {
        (0..2).all(|n| compacted(n) >= PURGES - WINDOW as u64)
    });
}

fn is_ready(fleet: &Fleet, n: usize) -> bool {
    fleet.admin_call(n, "GET", "/control/ready").unwrap() == 200
}

/// Whether a proxy has what another has, on its disk.
fn has_all_of(fleet: &Fleet, n: usize, other: usize) -> bool {
    let (own, other) = (fleet.status(n).unwrap(), fleet.status(other).unwrap());
    let is_on_disk = own
        .logs
        .iter()
        .all(|log| log.last_index == log.durable_index);
    !own.catching_up && is_on_disk && own.digest == other.digest
}

fn assert_all_floors(fleet: &Fleet, n: usize) {
    let missing: Vec<u64> = (0..PURGES)
        .filter(|p| !fleet.holds_floor(n, &object(*p)).unwrap())
        .collect();
    assert!(missing.is_empty(), "p{n} asks for any copy of {missing:?}");
}

#[test]
fn a_proxy_that_was_away_past_the_window_has_all_floors_by_a_snapshot() {
    let mut fleet = fleet(51);
    until("all know each other", || {
        fleet.status(0).unwrap().alive_members == 3
    });
    fleet.kill(2).unwrap();
    purge_all(&fleet);
    fleet.restart(2, Disk::Kept).unwrap();
    until("p2 has what p0 has", || has_all_of(&fleet, 2, 0));
    until("p2 is ready", || is_ready(&fleet, 2));
    assert_all_floors(&fleet, 2);
    assert!(
        !fleet.holds_floor(2, &object(PURGES)).unwrap(),
        "what was never purged has no floor"
    );
    assert!(fleet.status(2).unwrap().compacted > 0);
    // And after another start, from its own disk.
    fleet.kill(2).unwrap();
    fleet.kill(0).unwrap();
    fleet.kill(1).unwrap();
    fleet.restart(2, Disk::Kept).unwrap();
    assert_all_floors(&fleet, 2);
}

#[test]
fn a_proxy_that_lost_its_disk_is_ready_only_with_all_floors() {
    let mut fleet = fleet(52);
    purge_all(&fleet);
    fleet.kill(1).unwrap();
    fleet.restart(1, Disk::Lost).unwrap();
    until("p1 is ready", || is_ready(&fleet, 1));
    assert_all_floors(&fleet, 1);
}

#[test]
fn a_proxy_that_is_killed_in_the_midst_of_a_snapshot_gets_it_at_its_next_start() {
    let mut fleet = fleet(53);
    fleet.kill(2).unwrap();
    purge_all(&fleet);
    for disk in [Disk::Kept, Disk::Lost] {
        fleet
            .restart_with_fail_points(2, disk, "snapshot-chunk=die")
            .unwrap();
        until("a chunk has come, and p2 is dead", || {
            fleet.process(2).is_err()
        });
        fleet.kill(2).unwrap();
    }
    fleet.restart(2, Disk::Kept).unwrap();
    until("p2 has what p0 has", || has_all_of(&fleet, 2, 0));
    until("p2 is ready", || is_ready(&fleet, 2));
    assert_all_floors(&fleet, 2);
}

/// Nothing of a snapshot comes, and the wait for it ends: every copy is taken as purged, those that never were too.
#[test]
fn a_proxy_whose_snapshot_does_not_come_takes_every_copy_as_purged() {
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
    until("the wait is over", || is_ready(&fleet, 2));
    assert!(fleet.status(2).unwrap().catching_up);
    assert_all_floors(&fleet, 2);
    assert!(
        fleet.holds_floor(2, &object(PURGES)).unwrap(),
        "nothing is known of any copy"
    );
}
