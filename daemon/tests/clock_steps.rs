//! Proxies as real processes whose wall clocks are off, or step by an hour between two lives: nothing that was answered
//! is lost by it, and nothing is kept for ever.

use linnetknot_harness::clients::{poll_until, TIMEOUT};
use linnetknot_harness::fakes::cache::FakeCache;
use linnetknot_harness::fleet::{status_path, Disk, Fleet, Setup};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const DAEMON: &str = env!("CARGO_BIN_EXE_linnetknot");
/// Triggers that are answered 201 in the life before the clock steps.
const TRIGGERS: u64 = 64;

fn fleet(proxies: usize, seed: u64, planted: &str) -> Fleet {
    // What can be promised is, also on a machine that is busy with other tests.
    let within_ms = Some(3_000);
    Fleet::with(Setup {
        within_ms,
        fail_points: planted,
        ..Setup::replicating(Path::new(DAEMON), proxies, seed)
    })
    .unwrap()
}

fn object(n: u64) -> String {
    format!("{n:016x}")
}

/// The points that start a process with a wall clock that is so many seconds off.
fn clock(seconds: i64) -> String {
    format!("clock={seconds}")
}

fn triggers(fleet: &Fleet, proxy: usize, from: u64) -> Vec<String> {
    (from..from + TRIGGERS)
        .map(|n| {
            let answer = fleet.trigger(proxy, &[&object(n)]).unwrap();
            status_path(&answer).expect("a trigger is answered 201")
        })
        .collect()
}

/// How many of the statuses a proxy does not tell.
fn missing(fleet: &Fleet, proxy: usize, paths: &[String]) -> usize {
    let is_told = |path: &&String| fleet.cdni_call(proxy, "GET", path).unwrap().status == 200;
    paths.len() - paths.iter().filter(is_told).count()
}

/// Restarts a proxy with its disk under each of these offsets in turn; after each start it must tell all statuses.
fn keeps_statuses_over(seed: u64, offsets: &[i64], in_order: bool) {
    let mut fleet = fleet(2, seed, "");
    let mut paths = triggers(&fleet, 0, 1);
    for (life, offset) in offsets.iter().enumerate() {
        match in_order {
            true => assert!(fleet.end(0).unwrap(), "it ends well"),
            false => fleet.kill(0).unwrap(),
        }
        fleet
            .restart_with_fail_points(0, Disk::Kept, &clock(*offset))
            .unwrap();
        assert_eq!(missing(&fleet, 0, &paths), 0, "life {life}, {offset} s");
        // Names of the lives before must not be given again.
        let more = triggers(&fleet, 0, 1 + TRIGGERS * (life as u64 + 1));
        assert!(more.iter().all(|path| !paths.contains(path)));
        paths.extend(more);
        assert!(poll_until(TIMEOUT, || missing(&fleet, 1, &paths) == 0));
    }
}

#[test]
fn statuses_outlive_a_restart_with_the_clock_an_hour_on() {
    keeps_statuses_over(61, &[3_605], true);
    keeps_statuses_over(62, &[3_605], false);
}

#[test]
fn statuses_outlive_a_restart_with_the_clock_an_hour_back() {
    keeps_statuses_over(63, &[-3_605], true);
    keeps_statuses_over(64, &[-3_605], false);
}

#[test]
fn statuses_outlive_restarts_with_the_clock_going_to_and_fro() {
    keeps_statuses_over(65, &[3_605, -3_605, 3_605, 0], false);
}

#[test]
fn statuses_are_told_by_peers_whose_clocks_are_an_hour_apart() {
    let mut fleet = fleet(2, 66, "");
    fleet.kill(1).unwrap();
    fleet
        .restart_with_fail_points(1, Disk::Kept, &clock(3_605))
        .unwrap();
    for (from, teller) in [(1, 0), (1_000, 1)] {
        let paths = triggers(&fleet, teller, from);
        for proxy in 0..2 {
            let all = poll_until(TIMEOUT, || missing(&fleet, proxy, &paths) == 0);
            assert!(all, "told at p{teller}, asked at p{proxy}");
        }
    }
}

#[test]
fn a_name_that_is_gone_is_not_given_again_after_the_clock_went_back() {
    let mut fleet = fleet(2, 67, "");
    let paths = triggers(&fleet, 0, 1);
    for path in &paths {
        assert_eq!(fleet.cdni_call(0, "DELETE", path).unwrap().status, 204);
    }
    fleet.kill(0).unwrap();
    fleet
        .restart_with_fail_points(0, Disk::Kept, &clock(-3_605))
        .unwrap();
    let later = triggers(&fleet, 0, 1_000);
    assert_eq!(missing(&fleet, 0, &later), 0);
    assert!(later.iter().all(|path| !paths.contains(path)));
}

/// What the operators decided last counts, also where the process that heard it has an earlier clock than the one
/// before.
#[test]
fn the_last_decision_counts_after_the_clock_went_back() {
    let mut fleet = fleet(2, 68, "");
    assert_eq!(
        fleet
            .admin_call(0, "POST", "/control/out-of-service")
            .unwrap(),
        200
    );
    fleet.kill(0).unwrap();
    fleet
        .restart_with_fail_points(0, Disk::Kept, &clock(-3_605))
        .unwrap();
    assert_eq!(
        fleet.admin_call(0, "POST", "/control/in-service").unwrap(),
        200
    );
    fleet.kill(0).unwrap();
    fleet
        .restart_with_fail_points(0, Disk::Kept, &clock(-3_600))
        .unwrap();
    let is_ready = || fleet.admin_call(0, "GET", "/control/ready").unwrap() == 200;
    assert!(poll_until(TIMEOUT, is_ready), "resumed, not drained");
}

/// The greatest age, in milliseconds, of which a proxy asks its box for a photo after a purge; none: of any.
fn age_asked(fleet: &Fleet, proxy: usize, object: &str) -> Option<u64> {
    fleet.ask(proxy, object).unwrap();
    let arrivals = fleet.caches.iter().flat_map(FakeCache::arrivals);
    let of_object = arrivals.filter(|a| a.field("key") == Some(object));
    let last = of_object.max_by_key(|arrival| arrival.at).unwrap();
    last.field("maxage").map(|ms| ms.parse().unwrap())
}

/// Purges are told between proxies whose clocks are an hour apart: no proxy asks for a copy that may be older than the
/// purge, and none for ever for a new one.
#[test]
fn a_purge_has_its_true_age_at_peers_whose_clocks_are_an_hour_apart() {
    for (seed, offset) in [(71, -3_605), (72, 3_605)] {
        let mut fleet = fleet(2, seed, "");
        fleet.kill(0).unwrap();
        fleet
            .restart_with_fail_points(0, Disk::Kept, &clock(offset))
            .unwrap();
        // Both have answers from the origin, which date it.
        for proxy in 0..2 {
            for n in 500..510 {
                fleet.ask(proxy, &object(n)).unwrap();
            }
        }
        for teller in 0..2 {
            let purged = object(600 + teller as u64);
            let told = Instant::now();
            assert_eq!(fleet.purge(teller, &purged).unwrap(), 201);
            for asker in 0..2 {
                assert!(fleet.wait_for_purge(asker, &purged).unwrap());
                thread::sleep(Duration::from_millis(700));
                let asked = age_asked(&fleet, asker, &purged).expect("it holds a floor");
                let gone_by = told.elapsed().as_millis() as u64;
                let what = format!("{offset} s, told at p{teller}, asked at p{asker}");
                assert!(asked <= gone_by, "{what}: {asked} ms of {gone_by}");
                assert!(asked + 500 >= gone_by, "{what}: {asked} ms of {gone_by}");
            }
        }
    }
}

/// Peers hear a proxy by the number of its process, which grows with each start on one disk. One that lost its disk, and
/// whose clock went back, has to be heard all the same.
#[test]
fn a_proxy_that_lost_its_disk_and_whose_clock_went_back_is_heard() {
    let mut fleet = fleet(2, 69, "");
    assert_eq!(fleet.purge(0, &object(1)).unwrap(), 201);
    for life in 0..2 {
        fleet.kill(0).unwrap();
        let offset = clock(-3_605 * (1 + life));
        fleet
            .restart_with_fail_points(0, Disk::Lost, &offset)
            .unwrap();
        let is_settled = || {
            let status = fleet.status(0).unwrap();
            fleet.admin_call(0, "GET", "/control/ready").unwrap() == 200
                && status.peers.iter().any(|peer| peer.state == "alive")
        };
        assert!(poll_until(TIMEOUT, is_settled), "life {life}");
        // Long enough for peers to tell of the process before.
        for n in 0..20 {
            let purged = object(10 + 100 * life as u64 + n);
            assert_eq!(fleet.purge(0, &purged).unwrap(), 201, "life {life}, {n}");
            let other = object(50 + 100 * life as u64 + n);
            assert_eq!(fleet.purge(1, &other).unwrap(), 201, "life {life}, {n}");
            thread::sleep(Duration::from_millis(200));
        }
    }
}
