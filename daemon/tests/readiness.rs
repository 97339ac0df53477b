//! A process must not say that it is ready before the purges and bans that earlier processes accepted are in effect.

mod upgrade_site;

use linnetknot_harness::clients::{call, poll_until, TIMEOUT};
use linnetknot_harness::fleet::{Disk, Fleet, Setup};
use linnetknot_harness::links::LinkConditions;
use std::path::Path;
use std::time::{Duration, Instant};
use upgrade_site::{requests_at_first_cache, send_sigterm, Site};

const DAEMON: &str = env!("CARGO_BIN_EXE_linnetknot");
/// The time within which a restarted process must be ready.
const READY_WITHIN: Duration = Duration::from_secs(10);
const PHOTO: &str = "00000000000000a1";

fn is_ready(fleet: &Fleet) -> bool {
    fleet.admin_call(0, "GET", "/control/ready").unwrap() == 200
}

/// Starts a fleet that replicates. The first proxy has a copy of the photo and has accepted its purge.
fn fleet_with_purge(seed: u64) -> Fleet {
    let fleet = Fleet::with(Setup {
        within_ms: Some(3_000),
        ..Setup::replicating(Path::new(DAEMON), 3, seed)
    })
    .unwrap();
    assert!(poll_until(TIMEOUT, || is_ready(&fleet)));
    fleet.ask(0, PHOTO).unwrap();
    assert_eq!(fleet.purge(0, PHOTO).unwrap(), 201);
    fleet
}

/// Restarts the first proxy without its disk, cut off from its peers.
fn restart_alone(fleet: &mut Fleet) {
    fleet.kill(0).unwrap();
    fleet.links.split(&[0], LinkConditions::CUT);
    fleet.restart(0, Disk::Lost).unwrap();
}

/// Guards against a front that takes in a proxy which still lacks the purges that it accepted (review, case 7).
#[test]
fn the_health_check_fails_until_accepted_purges_are_in_force_again() {
    let mut fleet = fleet_with_purge(91);
    restart_alone(&mut fleet);
    assert_eq!(fleet.health(0).unwrap(), 503);
    assert!(!is_ready(&fleet));
    fleet.links.split(&[0], LinkConditions::default());
    assert!(poll_until(TIMEOUT, || fleet.health(0).unwrap() == 200));
    assert!(fleet.holds_floor(0, PHOTO).unwrap());
}

/// Guards against copies from before a purge that are served once the time limit of the recovery has passed.
#[test]
fn a_proxy_that_can_not_recover_treats_earlier_copies_as_purged() {
    let mut fleet = fleet_with_purge(92);
    restart_alone(&mut fleet);
    let start = Instant::now();
    assert!(poll_until(READY_WITHIN, || fleet.health(0).unwrap() == 200));
    assert!(start.elapsed() < READY_WITHIN);
    assert!(fleet.holds_floor(0, PHOTO).unwrap());
}

/// Guards against a new process of an upgrade that uses a banned cache, as it can't read the stored ban at its start.
#[test]
fn a_new_process_is_not_ready_before_it_has_read_the_stored_bans() {
    let site = Site::new("unread-bans");
    let (mut old, old_admin) = site.start();
    let offline = call(old_admin, "POST", "/control/pop-caches/s-0a/offline", "");
    assert_eq!(offline.unwrap().status, 200);
    let (mut new, _) = site.start_with_fail_points("disk-read=EIO@2500");
    old.kill().unwrap();
    old.wait().unwrap();
    assert_eq!(requests_at_first_cache(&site, 1_000), 0);
    send_sigterm(&new);
    assert!(new.wait().unwrap().success());
}
