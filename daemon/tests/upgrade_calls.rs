//! Operators' calls during an upgrade, while two processes serve. A call that one of them accepts applies to both, up to the
//! exit of the old process, as both are one edge proxy to the operators.

mod upgrade_site;

use linnetknot_harness::clients::call;
use std::net::SocketAddr;
use std::process::Child;
use std::time::{Duration, Instant};
use upgrade_site::{requests_at_first_cache, send_sigterm, Site};

/// The time after a call within which it must apply: the grace of drains and the slack of sockets.
const CALL_DEADLINE: Duration = Duration::from_millis(1_000 + 50);
/// The time after a call within which a cache that is back is used.
const RETURN_DEADLINE: Duration = Duration::from_secs(5);

fn status(admin: SocketAddr, method: &str, target: &str) -> u16 {
    call(admin, method, target, "").unwrap().status
}

/// Makes a call that is accepted, and returns when.
fn accepted(admin: SocketAddr, target: &str) -> Instant {
    assert_eq!(status(admin, "POST", target), 200, "{target}");
    Instant::now()
}

fn end(mut process: Child) {
    send_sigterm(&process);
    assert!(process.wait().unwrap().success());
}

/// Asserts that the first cache gets no request that is sent later than the deadline of its ban.
fn assert_first_cache_unused(site: &Site, banned: Instant) {
    let mut first = 1_000;
    while requests_at_first_cache(site, first) > 0 {
        assert!(banned.elapsed() < CALL_DEADLINE, "the banned cache is used");
        first += 20;
    }
}

/// Guards against a new process that does not know the ban that the old one accepts before SIGTERM (review, case 3).
#[test]
fn a_ban_that_the_old_process_accepts_before_sigterm_applies_to_the_new_one() {
    let site = Site::new("ban-before-sigterm");
    let (old, old_admin) = site.start();
    let (new, _) = site.start();
    let accepted = accepted(old_admin, "/control/pop-caches/s-0a/offline");
    end(old);
    assert_first_cache_unused(&site, accepted);
    end(new);
}

/// Guards against a new process that does not know the ban that the old one accepts after SIGTERM, until it exits (review,
/// case 3).
#[test]
fn a_ban_that_the_old_process_accepts_after_sigterm_applies_to_the_new_one() {
    let site = Site::new("ban-after-sigterm");
    let (mut old, old_admin) = site.start();
    let (new, _) = site.start();
    send_sigterm(&old);
    while status(old_admin, "GET", "/control/ready") == 200 {}
    let accepted = accepted(old_admin, "/control/pop-caches/s-0a/offline");
    assert!(old.wait().unwrap().success());
    assert_first_cache_unused(&site, accepted);
    end(new);
}

/// Guards against a return of a cache that only one of the processes knows, in either direction.
#[test]
fn a_ban_and_its_end_apply_to_the_other_process_whichever_accepts_them() {
    let site = Site::new("ban-and-end");
    let (old, old_admin) = site.start();
    accepted(old_admin, "/control/pop-caches/s-0a/offline");
    let (new, new_admin) = site.start();
    accepted(old_admin, "/control/pop-caches/s-0a/online");
    let at_new = accepted(new_admin, "/control/pop-caches/s-0b/offline");
    // The new process ends first, so that the requests show what the old one has learnt from it.
    end(new);
    let mut first = 1_000;
    while requests_at_first_cache(&site, first) == 0 {
        assert!(at_new.elapsed() < RETURN_DEADLINE, "s-0a is not used again");
        first += 20;
    }
    while at_new.elapsed() < CALL_DEADLINE {
        std::thread::yield_now();
    }
    let before = site.caches[1].arrivals().len();
    requests_at_first_cache(&site, 5_000);
    assert_eq!(site.caches[1].arrivals().len(), before, "s-0b is banned");
    end(old);
}

/// Guards against a drain, or its end, that only one of the processes knows: the front would be sent to a proxy that the
/// operators have taken out of service, or never again to one that is back.
#[test]
fn a_drain_and_its_end_apply_to_both_processes() {
    let site = Site::new("drain-in-upgrade");
    let (old, old_admin) = site.start();
    let (new, new_admin) = site.start();
    for (target, ready, doors) in [
        ("/control/out-of-service", 503, [old_admin, new_admin]),
        ("/control/in-service", 200, [old_admin, new_admin]),
        ("/control/out-of-service", 503, [new_admin, old_admin]),
        ("/control/in-service", 200, [new_admin, old_admin]),
    ] {
        let accepted = accepted(doors[0], target);
        for door in doors {
            while status(door, "GET", "/control/ready") != ready {
                assert!(accepted.elapsed() < CALL_DEADLINE, "{target} at {door}");
            }
        }
    }
    end(old);
    end(new);
}

/// Guards against a process that overwrites the call which the other one has just accepted.
#[test]
fn calls_that_both_processes_accept_at_once_are_all_kept() {
    let site = Site::new("calls-at-once");
    let (old, old_admin) = site.start();
    let (new, new_admin) = site.start();
    for _ in 0..10 {
        for (state, count) in [("offline", 2), ("online", 0)] {
            let targets = ["s-0a", "s-0b"].map(|id| format!("/control/pop-caches/{id}/{state}"));
            std::thread::scope(|scope| {
                scope.spawn(|| accepted(old_admin, &targets[0]));
                scope.spawn(|| accepted(new_admin, &targets[1]));
            });
            let stored = linnetknot_admin_api::store::load(&site.folder).unwrap();
            assert_eq!(stored.bans.len(), count, "{stored:?}");
        }
    }
    end(old);
    end(new);
}
