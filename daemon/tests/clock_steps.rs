//! Daemon processes whose wall clocks differ from each other, or step by an hour between two starts. No confirmed state
//! may be lost, and no purge may stay in force longer than intended.

use linnetknot_harness::clients::{poll_until, TIMEOUT};
use linnetknot_harness::fakes::cache::FakeCache;
use linnetknot_harness::fleet::{status_path, Disk, Fleet, Setup};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const DAEMON: &str = env!("CARGO_BIN_EXE_linnetknot");
/// Number of triggers created before each clock step.
const TRIGGERS: u64 = 64;

fn fleet(proxies: usize, seed: u64, points: &str) -> Fleet {
    // A long commit timeout, so that commits succeed on a busy machine.
    let within_ms = Some(3_000);
    Fleet::with(Setup {
        within_ms,
        fail_points: points,
        ..Setup::replicating(Path::new(DAEMON), proxies, seed)
    })
    .unwrap()
}

fn object(n: u64) -> String {
    format!("{n:016x}")
}

/// Returns the fail point that offsets a process's wall clock by `seconds`.
fn clock_point(seconds: i64) -> String {
    format!("clock={seconds}")
}

/// Creates triggers at a proxy and returns the paths of their statuses.
fn triggers(fleet: &Fleet, proxy: usize, from: u64) -> Vec<String> {
    (from..from + TRIGGERS)
        .map(|n| {
            let answer = fleet.trigger(proxy, &[&object(n)]).unwrap();
            status_path(&answer).expect("the trigger is created")
        })
        .collect()
}

/// Returns how many of the statuses a proxy does not serve.
fn missing(fleet: &Fleet, proxy: usize, paths: &[String]) -> usize {
    let is_served = |path: &&String| fleet.cdni_call(proxy, "GET", path).unwrap().status == 200;
    paths.len() - paths.iter().filter(is_served).count()
}

/// Restarts a proxy with its disk under each of these clock offsets in turn, and asserts that it serves all statuses after
/// each start.
fn assert_statuses_survive(seed: u64, offsets: &[i64], is_graceful: bool) {
    let mut fleet = fleet(2, seed, "");
    let mut paths = triggers(&fleet, 0, 1);
    for (restart, offset) in offsets.iter().enumerate() {
        match is_graceful {
            true => assert!(fleet.end(0).unwrap(), "p0 exits cleanly"),
            false => fleet.kill(0).unwrap(),
        }
        fleet
            .restart_with_fail_points(0, Disk::Kept, &clock_point(*offset))
            .unwrap();
        assert_eq!(
            missing(&fleet, 0, &paths),
            0,
            "restart {restart}, {offset} s"
        );
        // Status paths that were assigned before the restart must not be reused.
        let new_paths = triggers(&fleet, 0, 1 + TRIGGERS * (restart as u64 + 1));
        assert!(new_paths.iter().all(|path| !paths.contains(path)));
        paths.extend(new_paths);
        assert!(poll_until(TIMEOUT, || missing(&fleet, 1, &paths) == 0));
    }
}

#[test]
fn statuses_survive_a_restart_with_the_clock_an_hour_ahead() {
    assert_statuses_survive(61, &[3_605], true);
    assert_statuses_survive(62, &[3_605], false);
}

#[test]
fn statuses_survive_a_restart_with_the_clock_an_hour_behind() {
    assert_statuses_survive(63, &[-3_605], true);
    assert_statuses_survive(64, &[-3_605], false);
}

#[test]
fn statuses_survive_restarts_with_alternating_clock_steps() {
    assert_statuses_survive(65, &[3_605, -3_605, 3_605, 0], false);
}

#[test]
fn statuses_are_served_by_peers_with_clocks_an_hour_apart() {
    let mut fleet = fleet(2, 66, "");
    fleet.kill(1).unwrap();
    fleet
        .restart_with_fail_points(1, Disk::Kept, &clock_point(3_605))
        .unwrap();
    for (from, receiver) in [(1, 0), (1_000, 1)] {
        let paths = triggers(&fleet, receiver, from);
        for proxy in 0..2 {
            let all_served = poll_until(TIMEOUT, || missing(&fleet, proxy, &paths) == 0);
            assert!(all_served, "created at p{receiver}, requested at p{proxy}");
        }
    }
}

#[test]
fn deleted_status_names_are_not_reused_after_a_backward_clock_step() {
    let mut fleet = fleet(2, 67, "");
    let paths = triggers(&fleet, 0, 1);
    for path in &paths {
        assert_eq!(fleet.cdni_call(0, "DELETE", path).unwrap().status, 204);
    }
    fleet.kill(0).unwrap();
    fleet
        .restart_with_fail_points(0, Disk::Kept, &clock_point(-3_605))
        .unwrap();
    let later = triggers(&fleet, 0, 1_000);
    assert_eq!(missing(&fleet, 0, &later), 0);
    assert!(later.iter().all(|path| !paths.contains(path)));
}

#[test]
fn the_last_operator_decision_wins_after_a_backward_clock_step() {
    let mut fleet = fleet(2, 68, "");
    assert_eq!(
        fleet
            .admin_call(0, "POST", "/control/out-of-service")
            .unwrap(),
        200
    );
    fleet.kill(0).unwrap();
    fleet
        .restart_with_fail_points(0, Disk::Kept, &clock_point(-3_605))
        .unwrap();
    assert_eq!(
        fleet.admin_call(0, "POST", "/control/in-service").unwrap(),
        200
    );
    fleet.kill(0).unwrap();
    fleet
        .restart_with_fail_points(0, Disk::Kept, &clock_point(-3_600))
        .unwrap();
    let is_ready = || fleet.admin_call(0, "GET", "/control/ready").unwrap() == 200;
    assert!(poll_until(TIMEOUT, is_ready), "p0 is still drained");
}

/// Requests a photo and returns the maximum age that the proxy accepts from its cache, or `None` if it accepts any.
fn requested_max_age_ms(fleet: &Fleet, proxy: usize, object: &str) -> Option<u64> {
    fleet.ask(proxy, object).unwrap();
    let arrivals = fleet.caches.iter().flat_map(FakeCache::arrivals);
    let of_object = arrivals.filter(|a| a.field("key") == Some(object));
    let last = of_object.max_by_key(|arrival| arrival.at).unwrap();
    last.field("maxage").map(|ms| ms.parse().unwrap())
}

/// The maximum age must exclude copies older than the purge, and must grow with the time since the purge.
#[test]
fn a_purge_keeps_its_age_between_peers_with_different_clocks() {
    for (seed, offset) in [(71, -3_605), (72, 3_605)] {
        let mut fleet = fleet(2, seed, "");
        fleet.kill(0).unwrap();
        fleet
            .restart_with_fail_points(0, Disk::Kept, &clock_point(offset))
            .unwrap();
        // Both proxies estimate the origin's clock from the answers to these requests.
        for proxy in 0..2 {
            for n in 500..510 {
                fleet.ask(proxy, &object(n)).unwrap();
            }
        }
        for receiver in 0..2 {
            let purged = object(600 + receiver as u64);
            let purged_at = Instant::now();
            assert_eq!(fleet.purge(receiver, &purged).unwrap(), 201);
            for requester in 0..2 {
                assert!(fleet.wait_for_purge(requester, &purged).unwrap());
                thread::sleep(Duration::from_millis(700));
                let max_age_ms = requested_max_age_ms(&fleet, requester, &purged)
                    .expect("the purge is enforced");
                let elapsed_ms = purged_at.elapsed().as_millis() as u64;
                let case = format!("{offset} s, purged at p{receiver}, requested at p{requester}");
                assert!(
                    max_age_ms <= elapsed_ms,
                    "{case}: {max_age_ms} ms of {elapsed_ms}"
                );
                assert!(
                    max_age_ms + 500 >= elapsed_ms,
                    "{case}: {max_age_ms} ms of {elapsed_ms}"
                );
            }
        }
    }
}

/// Peers order a proxy's messages by its incarnation, which grows with each start on the same disk. A proxy that lost its
/// disk and has an earlier clock must not be ignored.
#[test]
fn peers_accept_a_proxy_with_a_lost_disk_and_an_earlier_clock() {
    let mut fleet = fleet(2, 69, "");
    assert_eq!(fleet.purge(0, &object(1)).unwrap(), 201);
    for restart in 0..2 {
        fleet.kill(0).unwrap();
        let offset = clock_point(-3_605 * (1 + restart));
        fleet
            .restart_with_fail_points(0, Disk::Lost, &offset)
            .unwrap();
        let is_settled = || {
            let status = fleet.status(0).unwrap();
            fleet.admin_call(0, "GET", "/control/ready").unwrap() == 200
                && status.peers.iter().any(|peer| peer.state == "alive")
        };
        assert!(poll_until(TIMEOUT, is_settled), "restart {restart}");
        // The purges take long enough for peers to send gossip about the previous incarnation meanwhile.
        for n in 0..20 {
            let purged = object(10 + 100 * restart as u64 + n);
            assert_eq!(
                fleet.purge(0, &purged).unwrap(),
                201,
                "restart {restart}, {n}"
            );
            let other = object(50 + 100 * restart as u64 + n);
            assert_eq!(
                fleet.purge(1, &other).unwrap(),
                201,
                "restart {restart}, {n}"
            );
            thread::sleep(Duration::from_millis(200));
        }
    }
}
