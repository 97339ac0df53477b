//! Purges, operator state, membership and trigger status in a fleet of daemon processes under link faults, stalls,
//! kills and lost disks.

use linnetknot_harness::clients::{call, poll_until, TIMEOUT};
use linnetknot_harness::fleet::{purge_at, status_path, Disk, Fleet, Setup};
use linnetknot_harness::links::LinkConditions;
use std::collections::BTreeSet;
use std::path::Path;
use std::time::Instant;

const DAEMON: &str = env!("CARGO_BIN_EXE_linnetknot");

fn fleet(proxies: usize, seed: u64) -> Fleet {
    Fleet::start(Path::new(DAEMON), proxies, seed, None).unwrap()
}

/// Starts a fleet with replication, in which a commit succeeds once it is also on the disk of one other machine.
fn replicating_fleet(proxies: usize, seed: u64) -> Fleet {
    // A long commit timeout, so that commits succeed on a busy machine.
    let within_ms = Some(3_000);
    Fleet::with(Setup {
        within_ms,
        ..Setup::replicating(Path::new(DAEMON), proxies, seed)
    })
    .unwrap()
}

fn await_agreement(what: &str, fleet: &Fleet) {
    until(what, || fleet.is_converged().unwrap());
}

fn object(n: u64) -> String {
    format!("{n:016x}")
}

/// Waits until a condition holds, and fails the test after a timeout.
fn until(what: &str, condition: impl FnMut() -> bool) {
    // Failure detection takes several seconds, and longer on a busy machine.
    assert!(poll_until(3 * TIMEOUT, condition), "never: {what}");
}

fn holds_floor(fleet: &Fleet, n: usize, object: &str) -> bool {
    fleet.holds_floor(n, object).unwrap()
}

#[test]
fn a_purge_reaches_all_proxies_over_lossy_links() {
    let lossy = LinkConditions {
        drop: 0.4,
        duplicate: 0.5,
        reorder: 0.5,
        jitter_ms: 20.0,
        ..LinkConditions::default()
    };
    let fleet = fleet(4, 11);
    fleet.links.set_all(lossy);
    for n in 0..3 {
        let object = object(n);
        assert_eq!(fleet.purge(n as usize, &object).unwrap(), 201);
        // Each purge is sent in three datagrams per link. With this seed at least one of the three arrives on every
        // link.
        for proxy in 0..4 {
            assert!(
                fleet.wait_for_purge(proxy, &object).unwrap(),
                "p{proxy}, purge {n}"
            );
        }
    }
    until("all three datagrams are sent", || {
        (1..4).all(|b| fleet.links.counters((0, b)).sent >= 3)
    });
    let lost: u64 = (1..4).map(|b| fleet.links.counters((0, b)).lost).sum();
    assert!(
        lost > 0,
        "no datagram was lost, so the test did not exercise loss"
    );
}

/// Without replication a purge that is lost on a link is never sent again.
#[test]
fn a_one_way_cut_withholds_a_purge_from_one_proxy_only() {
    let fleet = fleet(3, 5);
    let (object, after) = (object(1), object(2));
    fleet.links.set((0, 2), LinkConditions::CUT);
    assert_eq!(fleet.purge(0, &object).unwrap(), 201);
    assert!(fleet.wait_for_purge(0, &object).unwrap() && fleet.wait_for_purge(1, &object).unwrap());
    assert!(fleet.links.counters((0, 2)).came == 0 && fleet.links.counters((0, 1)).came > 0);
    assert!(
        !holds_floor(&fleet, 2, &object),
        "the purge must not cross the cut link"
    );
    // The opposite direction is not cut, so purges must arrive over it.
    assert_eq!(fleet.purge(2, &after).unwrap(), 201);
    assert!(fleet.wait_for_purge(0, &after).unwrap());
}

#[test]
fn a_stalled_process_receives_purges_sent_during_the_stall() {
    let fleet = fleet(3, 7);
    let object = object(3);
    fleet.stall(1).unwrap();
    assert_eq!(fleet.purge(0, &object).unwrap(), 201);
    assert!(fleet.wait_for_purge(2, &object).unwrap());
    until("all arrived", || fleet.links.counters((0, 1)).came >= 3);
    fleet.resume(1).unwrap();
    assert!(
        fleet.wait_for_purge(1, &object).unwrap(),
        "p1 applies the purge after it resumes"
    );
}

#[test]
fn without_replication_purges_survive_a_kill_but_not_a_lost_disk() {
    let mut fleet = fleet(3, 9);
    let object = object(4);
    assert_eq!(fleet.purge(0, &object).unwrap(), 201);
    for n in 0..3 {
        assert!(fleet.wait_for_purge(n, &object).unwrap(), "p{n}");
    }
    fleet.kill(0).unwrap();
    fleet.restart(0, Disk::Kept).unwrap();
    assert!(
        holds_floor(&fleet, 0, &object),
        "the purge is still enforced after a kill"
    );
    fleet.kill(0).unwrap();
    fleet.restart(0, Disk::Lost).unwrap();
    assert!(
        !holds_floor(&fleet, 0, &object),
        "the lost disk had the only copy of the purge"
    );
    for n in 0..3 {
        assert!(fleet.end(n).unwrap(), "p{n} exits cleanly");
    }
}

#[test]
fn replication_routes_a_purge_around_a_one_way_cut() {
    let fleet = replicating_fleet(3, 21);
    let object = object(1);
    fleet.links.set((0, 2), LinkConditions::CUT);
    // Datagrams that were in flight when the link was cut may still arrive.
    let before = fleet.links.counters((0, 2));
    assert_eq!(fleet.purge(0, &object).unwrap(), 201);
    assert!(
        fleet.wait_for_purge(2, &object).unwrap(),
        "the purge takes the route from p0 over p1 to p2"
    );
    let after = fleet.links.counters((0, 2));
    assert!(
        after.came <= before.sent - before.lost,
        "{after:?}: a datagram crossed the cut link"
    );
    assert!(
        after.lost > before.lost,
        "{after:?}: nothing was sent on the cut link"
    );
}

#[test]
fn replication_delivers_purges_missed_while_a_process_was_down() {
    let mut fleet = replicating_fleet(3, 22);
    let object = object(2);
    fleet.kill(1).unwrap();
    assert_eq!(fleet.purge(0, &object).unwrap(), 201);
    // Waits until all repetitions of the datagram are sent, so that only replication can deliver the purge.
    until("all repetitions are sent", || {
        fleet.links.counters((0, 1)).sent >= 4
    });
    fleet.restart(1, Disk::Kept).unwrap();
    assert!(fleet.wait_for_purge(1, &object).unwrap());
}

/// The writer is killed and loses its disk right after its commits. Its peers and its replacement must still enforce
/// the committed purges.
#[test]
fn replication_restores_a_writers_own_commits_after_a_lost_disk() {
    let mut fleet = replicating_fleet(3, 23);
    let objects: Vec<String> = (10..18).map(object).collect();
    for object in &objects {
        assert_eq!(fleet.purge(0, object).unwrap(), 201);
    }
    for n in 1..3 {
        assert!(
            objects.iter().all(|o| holds_floor(&fleet, n, o)),
            "p{n} holds the commits of p0"
        );
    }
    fleet.kill(0).unwrap();
    fleet.restart(0, Disk::Lost).unwrap();
    until("p0 recovers its own commits", || {
        objects.iter().all(|o| holds_floor(&fleet, 0, o))
    });
    // The new incarnation accepts further purges, which are replicated in addition to those of the previous
    // incarnation.
    let later = object(40);
    assert_eq!(fleet.purge(0, &later).unwrap(), 201);
    until("the purge of the new incarnation is replicated", || {
        (1..3).all(|n| holds_floor(&fleet, n, &later))
    });
}

#[test]
fn replication_converges_after_a_partition() {
    let mut fleet = replicating_fleet(5, 24);
    fleet.links.split(&[0, 1], LinkConditions::CUT);
    for n in 0..5 {
        assert_eq!(fleet.purge(n, &object(100 + n as u64)).unwrap(), 201);
    }
    // One proxy on each side restarts during the partition: p0 with an empty disk, p4 with its disk.
    assert!(holds_floor(&fleet, 1, &object(100)) && holds_floor(&fleet, 3, &object(104)));
    fleet.kill(0).unwrap();
    fleet.restart(0, Disk::Lost).unwrap();
    fleet.kill(4).unwrap();
    fleet.restart(4, Disk::Kept).unwrap();
    assert!(
        (0..2).all(|n| !holds_floor(&fleet, n, &object(102))),
        "no purge crosses the partition"
    );
    fleet.links.split(&[0, 1], LinkConditions::default());
    until("both sides hold all purges", || {
        (0..5).all(|n| (0..5).all(|o| holds_floor(&fleet, n, &object(100 + o))))
    });
}

#[test]
fn replication_stores_each_purge_once_on_each_proxy() {
    let fleet = replicating_fleet(4, 25);
    let all: Vec<String> = (200..220).map(object).collect();
    for (n, object) in all.iter().enumerate() {
        assert_eq!(fleet.purge(n % 4, object).unwrap(), 201);
    }
    await_agreement("all stores agree", &fleet);
    // Waits until the repeated datagrams have arrived, so that duplicates would show.
    let received_all = |a, b| a == b || fleet.links.counters((a, b)).came >= 5 * 4;
    until("all repeated datagrams have arrived", || {
        (0..4).all(|a| (0..4).all(|b| received_all(a, b)))
    });
    for n in 0..4 {
        let status = fleet.status(n).unwrap();
        assert_eq!((status.logs.len(), status.committed), (4, 5), "p{n}");
        // Each purge is one entry, and its trigger status takes two more.
        assert_eq!(status.entries, 3 * all.len(), "p{n}");
        assert_eq!(fleet.triggers(n).unwrap().len(), all.len(), "p{n}");
    }
}

/// The writer crashes at each step of a commit and restarts with or without its disk. Afterwards all proxies must
/// enforce a confirmed purge, and either all or none of them an unconfirmed purge.
#[test]
fn proxies_converge_after_a_writer_crash_at_any_commit_step() {
    // Fail points, and whether the peers have received the purge when the writer crashes there; `None` if either is
    // possible.
    let points = [
        ("peers-tell", Some(false)),
        ("peers-told", Some(true)),
        ("store-commits", None),
        ("store-committed", None),
        ("promise-kept", Some(true)),
    ];
    for (seed, (point, reaches_peers)) in points.into_iter().enumerate() {
        for disk in [Disk::Kept, Disk::Lost] {
            let case = format!("{point}, disk {disk:?}");
            let mut fleet = replicating_fleet(3, 30 + seed as u64);
            let (first, second) = (object(300), object(301));
            assert_eq!(fleet.purge(0, &first).unwrap(), 201);
            await_agreement("all proxies hold the first purge", &fleet);
            fleet.kill(0).unwrap();
            fleet
                .restart_with_fail_points(0, disk, &format!("{point}=die"))
                .unwrap();
            // Without its disk the proxy recovers its first purge from its peers, which may already trigger the fail point.
            let result = fleet.purge(0, &second);
            assert!(
                result.is_err(),
                "{case}: answered {result:?} although it must crash first"
            );
            fleet.kill(0).unwrap();
            // If the purge was sent before the crash, it may still be in flight. Otherwise the peer must not have it.
            let peer_has_purge = match reaches_peers {
                Some(true) => fleet.wait_for_purge(1, &second).unwrap(),
                _ => holds_floor(&fleet, 1, &second),
            };
            fleet.restart(0, Disk::Kept).unwrap();
            await_agreement(&format!("{case}: all proxies agree"), &fleet);
            assert!(
                (0..3).all(|n| holds_floor(&fleet, n, &first)),
                "{case}: the first purge was committed"
            );
            let holders = (0..3).filter(|n| holds_floor(&fleet, *n, &second)).count();
            assert!(
                holders == 0 || holders == 3,
                "{case}: {holders} proxies hold the second purge"
            );
            if disk == Disk::Kept {
                assert!(
                    reaches_peers.is_none_or(|reaches_peers| reaches_peers == peer_has_purge),
                    "{case}: the peer holds the purge: {peer_has_purge}"
                );
            }
        }
    }
}

/// The writer stalls after sending a purge to its peers and before confirming the purge to the client.
#[test]
fn a_stalled_writer_confirms_its_commit_after_resuming() {
    let mut fleet = replicating_fleet(3, 40);
    fleet.kill(0).unwrap();
    fleet
        .restart_with_fail_points(0, Disk::Kept, "peers-told=stall")
        .unwrap();
    let (fleet, object) = (&fleet, object(310));
    std::thread::scope(|scope| {
        let result = scope.spawn(|| fleet.purge(0, &object));
        assert!(
            fleet.wait_for_purge(1, &object).unwrap() && fleet.wait_for_purge(2, &object).unwrap()
        );
        assert!(!result.is_finished(), "a stalled process must not confirm");
        fleet.resume(0).unwrap();
        assert_eq!(result.join().unwrap().unwrap(), 201);
    });
    assert!(holds_floor(fleet, 0, &object));
}

/// On lossy links, each proxy in turn is killed and loses its disk right after it confirmed a commit.
#[test]
fn commits_survive_losing_the_writer_right_after_confirmation() {
    let lossy = LinkConditions {
        drop: 0.3,
        duplicate: 0.3,
        reorder: 0.3,
        jitter_ms: 10.0,
        ..LinkConditions::default()
    };
    let mut fleet = replicating_fleet(3, 41);
    fleet.links.set_all(lossy);
    let mut committed = Vec::new();
    for round in 0..6 {
        let (writer, object) = (round % 3, object(400 + round as u64));
        let result = fleet.purge(writer, &object).unwrap();
        assert_eq!(result, 201, "round {round}");
        fleet.kill(writer).unwrap();
        committed.push(object);
        fleet.restart(writer, Disk::Lost).unwrap();
        await_agreement(&format!("round {round}: all proxies agree"), &fleet);
        for n in 0..3 {
            assert!(
                committed.iter().all(|o| holds_floor(&fleet, n, o)),
                "round {round}: p{n} holds all commits"
            );
        }
    }
}

/// A proxy that is cut off in one or both directions rejects commits within the time limit, still enforces the purges
/// locally, and commits again once the links are restored.
#[test]
fn an_isolated_proxy_rejects_commits() {
    let fleet = replicating_fleet(3, 42);
    fleet.links.split(&[0], LinkConditions::CUT);
    assert_eq!(fleet.purge(0, &object(500)).unwrap(), 503);
    assert!(
        holds_floor(&fleet, 0, &object(500)),
        "the purge is enforced locally"
    );
    assert_eq!(
        fleet.purge(1, &object(501)).unwrap(),
        201,
        "the other side has a further machine"
    );
    // The peers receive the entries of p0, but their acknowledgements are lost.
    fleet.links.split(&[0], LinkConditions::default());
    fleet.links.set((1, 0), LinkConditions::CUT);
    fleet.links.set((2, 0), LinkConditions::CUT);
    assert_eq!(fleet.purge(0, &object(502)).unwrap(), 503);
    assert!(fleet.wait_for_purge(1, &object(502)).unwrap());
    let status = fleet.status(0).unwrap();
    assert_eq!(
        (status.committed, status.rejected, status.pending_commits),
        (0, 2, 0)
    );
    assert!(
        status.under_replicated > 0,
        "the rejected purges count as under-replicated"
    );
    fleet.links.split(&[0], LinkConditions::default());
    assert_eq!(fleet.purge(0, &object(503)).unwrap(), 201);
    await_agreement("all proxies agree and nothing is under-replicated", &fleet);
    assert!((0..3).all(|n| (500..504).all(|o| holds_floor(&fleet, n, &object(o)))));
}

/// The machine name that a proxy reports for itself takes precedence over the name in its peers' configuration.
#[test]
fn proxies_on_one_machine_count_as_one_replica() {
    let setup = Setup {
        machine: Some("one"),
        ..Setup::replicating(Path::new(DAEMON), 3, 56)
    };
    let fleet = Fleet::with(setup).unwrap();
    until("all peers report their machine", || {
        fleet
            .status(0)
            .unwrap()
            .peers
            .iter()
            .all(|p| p.machine == "one")
    });
    assert_eq!(fleet.purge(0, &object(505)).unwrap(), 503);
    assert!(
        fleet.wait_for_purge(1, &object(505)).unwrap(),
        "the peers still receive the purge"
    );
}

#[test]
fn a_stalled_replica_does_not_block_commits_held_by_another() {
    let fleet = replicating_fleet(3, 43);
    fleet.stall(1).unwrap();
    assert_eq!(
        fleet.purge(0, &object(510)).unwrap(),
        201,
        "acknowledged by p2"
    );
    fleet.stall(2).unwrap();
    assert_eq!(
        fleet.purge(0, &object(511)).unwrap(),
        503,
        "acknowledged by no peer"
    );
    // The peers resume and process the datagrams queued in their sockets.
    fleet.resume(1).unwrap();
    fleet.resume(2).unwrap();
    assert_eq!(fleet.purge(0, &object(512)).unwrap(), 201);
    await_agreement("all proxies agree and nothing is under-replicated", &fleet);
    assert!((0..3).all(|n| (510..513).all(|o| holds_floor(&fleet, n, &object(o)))));
}

/// A replica crashes before its write, after its write, or before its acknowledgement. The acknowledgement of the other
/// replica suffices for the commit, and the crashed replica catches up after its restart.
#[test]
fn a_replica_crash_around_its_write_loses_no_commit() {
    for (seed, point) in ["store-commits", "store-committed", "holder-says"]
        .into_iter()
        .enumerate()
    {
        let mut fleet = replicating_fleet(3, 44 + seed as u64);
        fleet.kill(1).unwrap();
        fleet
            .restart_with_fail_points(1, Disk::Kept, &format!("{point}=die"))
            .unwrap();
        assert_eq!(
            fleet.purge(0, &object(520)).unwrap(),
            201,
            "{point}: acknowledged by p2"
        );
        until(&format!("{point}: p1 has crashed"), || {
            fleet.status(1).is_err()
        });
        // The writer's machine is lost too, so only p2 has the committed purge.
        fleet.kill(0).unwrap();
        fleet.kill(1).unwrap();
        fleet.restart(0, Disk::Lost).unwrap();
        fleet.restart(1, Disk::Kept).unwrap();
        await_agreement(&format!("{point}: all proxies agree"), &fleet);
        assert!(
            (0..3).all(|n| holds_floor(&fleet, n, &object(520))),
            "{point}"
        );
    }
}

#[test]
fn two_required_replicas_survive_losing_two_of_three_machines() {
    let mut fleet = Fleet::start(Path::new(DAEMON), 3, 50, Some(2)).unwrap();
    assert_eq!(fleet.purge(0, &object(530)).unwrap(), 201);
    fleet.kill(0).unwrap();
    fleet.kill(1).unwrap();
    fleet.restart(0, Disk::Lost).unwrap();
    fleet.restart(1, Disk::Lost).unwrap();
    await_agreement("all proxies agree", &fleet);
    assert!((0..3).all(|n| holds_floor(&fleet, n, &object(530))));
    fleet.stall(2).unwrap();
    assert_eq!(
        fleet.purge(0, &object(531)).unwrap(),
        503,
        "one further machine does not suffice"
    );
    fleet.resume(2).unwrap();
}

#[test]
fn a_failing_disk_rejects_commits_while_peers_keep_the_purge() {
    let mut fleet = replicating_fleet(3, 51);
    assert_eq!(fleet.purge(0, &object(540)).unwrap(), 201);
    await_agreement("all proxies hold the purge", &fleet);
    fleet.kill(0).unwrap();
    fleet
        .restart_with_fail_points(0, Disk::Kept, "store-fails=fail")
        .unwrap();
    assert_eq!(fleet.purge(0, &object(541)).unwrap(), 503);
    assert!(
        holds_floor(&fleet, 0, &object(541)),
        "the purge is enforced locally"
    );
    let status = fleet.status(0).unwrap();
    assert!(status.durable_index < status.last_index && status.rejected == 1);
    // A proxy with a failing disk does not count as a replica for its peers.
    fleet.stall(2).unwrap();
    assert_eq!(fleet.purge(1, &object(542)).unwrap(), 503);
    fleet.resume(2).unwrap();
    assert!(fleet.end(0).unwrap(), "p0 exits cleanly");
    fleet.restart(0, Disk::Kept).unwrap();
    assert_eq!(fleet.purge(0, &object(543)).unwrap(), 201);
    await_agreement("all proxies agree", &fleet);
    assert!((0..3).all(|n| (540..544).all(|o| holds_floor(&fleet, n, &object(o)))));
}

#[test]
fn a_damaged_store_is_rejected_and_its_replacement_filled_by_peers() {
    let mut fleet = replicating_fleet(3, 52);
    assert_eq!(fleet.purge(0, &object(550)).unwrap(), 201);
    await_agreement("all proxies hold the purge", &fleet);
    fleet.kill(1).unwrap();
    let path = fleet.store(1);
    let length = std::fs::metadata(&path).unwrap().len() as usize;
    std::fs::write(&path, vec![0x5a; length]).unwrap();
    let message = fleet.restart(1, Disk::Kept).unwrap_err().to_string();
    assert!(
        message.contains("cdni.purges")
            && message.contains("damaged")
            && message.contains("move it away"),
        "{message}"
    );
    std::fs::rename(&path, path.with_extension("damaged")).unwrap();
    fleet.restart(1, Disk::Kept).unwrap();
    await_agreement("all proxies agree", &fleet);
    assert!(holds_floor(&fleet, 1, &object(550)));
}

#[test]
fn a_killed_fleet_recovers_in_any_restart_order() {
    let mut fleet = replicating_fleet(3, 53);
    let mut committed = Vec::new();
    for (round, order) in [
        [0, 1, 2],
        [0, 2, 1],
        [1, 0, 2],
        [1, 2, 0],
        [2, 0, 1],
        [2, 1, 0],
    ]
    .into_iter()
    .enumerate()
    {
        for n in 0..3 {
            let object = object(600 + 10 * round as u64 + n as u64);
            assert_eq!(fleet.purge(n, &object).unwrap(), 201);
            committed.push(object);
        }
        order.iter().for_each(|n| fleet.kill(*n).unwrap());
        order
            .iter()
            .for_each(|n| fleet.restart(*n, Disk::Kept).unwrap());
        await_agreement(&format!("{order:?}: all proxies agree"), &fleet);
    }
    for n in 0..3 {
        assert!(
            committed.iter().all(|o| holds_floor(&fleet, n, o)),
            "p{n} holds all commits"
        );
    }
}

#[test]
fn pending_commits_are_answered_before_the_process_exits() {
    let mut fleet = replicating_fleet(2, 54);
    fleet.stall(1).unwrap();
    let (front, admin) = (
        fleet.process(0).unwrap().cdni,
        fleet.process(0).unwrap().admin,
    );
    let purge = std::thread::spawn(move || purge_at(front, &object(560)));
    until("the purge is pending", || {
        fleet.status(0).unwrap().pending_commits == 1
    });
    let operator_call =
        std::thread::spawn(move || call(admin, "POST", "/control/pop-caches/s-0a/offline", ""));
    until("the operator's call is pending", || {
        fleet.status(0).unwrap().pending_commits == 2
    });
    assert!(fleet.end(0).unwrap());
    assert_eq!(purge.join().unwrap().unwrap(), 503);
    assert_eq!(operator_call.join().unwrap().unwrap().status, 503);
    fleet.resume(1).unwrap();
}

/// If all pending calls are rejected, the pop cache returns to its state before the first call, whatever the order of
/// the rejections.
#[test]
fn rejected_conflicting_operator_calls_restore_the_previous_state() {
    // With this commit timeout all four calls are pending at once, even on a busy machine.
    let within_ms = Some(6_000);
    let setup = Setup {
        within_ms,
        ..Setup::replicating(Path::new(DAEMON), 2, 55)
    };
    let fleet = Fleet::with(setup).unwrap();
    fleet.stall(1).unwrap();
    let admin = fleet.process(0).unwrap().admin;
    let spawn_operator_call = |verb: &str| {
        let path = format!("/control/pop-caches/s-0a/{verb}");
        std::thread::spawn(move || call(admin, "POST", &path, "").unwrap().status)
    };
    let mut calls = Vec::new();
    for (n, verb) in ["offline", "online", "offline", "online"]
        .into_iter()
        .enumerate()
    {
        calls.push(spawn_operator_call(verb));
        until("the call is pending", || {
            fleet.status(0).unwrap().pending_commits == n + 1
        });
    }
    assert!(calls.into_iter().all(|call| call.join().unwrap() == 503));
    await_cache_use(&fleet, 0, 0, 1500);
    fleet.resume(1).unwrap();
    await_agreement("both proxies agree", &fleet);
    assert_eq!(
        fleet
            .admin_call(0, "POST", "/control/pop-caches/s-0a/offline")
            .unwrap(),
        200
    );
    assert!(!uses_cache(&fleet, 0, 0, 1600));
}

/// Returns the state that proxy `at` reports for proxy `of`.
fn peer_state(fleet: &Fleet, at: usize, of: usize) -> String {
    let name = format!("p{of}");
    let status = fleet.status(at).unwrap();
    status
        .peers
        .iter()
        .find(|p| p.name == name)
        .map_or_else(|| "unknown".into(), |p| p.state.clone())
}

fn incarnations(fleet: &Fleet, at: usize, of: &str) -> Vec<String> {
    fleet
        .status(at)
        .unwrap()
        .peers
        .iter()
        .filter(|p| p.name == of)
        .map(|p| p.incarnation.clone())
        .collect()
}

fn await_peer_state(fleet: &Fleet, at: &[usize], of: usize, expected: &str) {
    until(&format!("{at:?} report p{of} as {expected}"), || {
        at.iter().all(|n| peer_state(fleet, *n, of) == expected)
    });
}

#[test]
fn kills_exits_and_restarts_are_seen_by_all_members() {
    let mut fleet = replicating_fleet(4, 60);
    (0..4).for_each(|of| {
        await_peer_state(
            &fleet,
            &(0..4).filter(|n| *n != of).collect::<Vec<_>>(),
            of,
            "alive",
        );
    });
    let before = incarnations(&fleet, 0, "p3");
    fleet.kill(3).unwrap();
    await_peer_state(&fleet, &[0, 1, 2], 3, "dead");
    assert_eq!(fleet.status(0).unwrap().alive_members, 3);
    fleet.restart(3, Disk::Kept).unwrap();
    await_peer_state(&fleet, &[0, 1, 2], 3, "alive");
    assert!(
        incarnations(&fleet, 0, "p3") > before,
        "p3 has a later incarnation"
    );
    assert!(fleet.end(3).unwrap());
    await_peer_state(&fleet, &[0, 1, 2], 3, "left");
}

/// Because of indirect probes through a third proxy, the proxies at both ends of a cut link stay alive. Only a proxy
/// whose links are all cut is marked dead.
#[test]
fn a_cut_link_marks_nobody_dead_but_an_isolated_proxy_is() {
    let fleet = replicating_fleet(5, 61);
    (0..5).for_each(|of| {
        await_peer_state(
            &fleet,
            &(0..5).filter(|n| *n != of).collect::<Vec<_>>(),
            of,
            "alive",
        );
    });
    fleet.links.set((0, 1), LinkConditions::CUT);
    fleet.links.set((1, 2), LinkConditions::CUT);
    fleet.links.set((2, 1), LinkConditions::CUT);
    fleet.links.split(&[4], LinkConditions::CUT);
    await_peer_state(&fleet, &[0, 1, 2, 3], 4, "dead");
    await_peer_state(&fleet, &[4], 0, "dead");
    for (at, of) in [(0, 1), (1, 0), (1, 2), (2, 1), (3, 1)] {
        assert_ne!(peer_state(&fleet, at, of), "dead", "p{at} of p{of}");
    }
    fleet.links.split(&[4], LinkConditions::default());
    await_peer_state(&fleet, &[0, 1, 2, 3], 4, "alive");
    await_peer_state(&fleet, &[4], 0, "alive");
}

#[test]
fn a_stalled_member_refutes_its_death_and_suspects_nobody() {
    let fleet = replicating_fleet(4, 62);
    (0..4).for_each(|of| {
        await_peer_state(
            &fleet,
            &(0..4).filter(|n| *n != of).collect::<Vec<_>>(),
            of,
            "alive",
        );
    });
    let before = incarnations(&fleet, 0, "p3");
    fleet.stall(3).unwrap();
    await_peer_state(&fleet, &[0, 1, 2], 3, "dead");
    fleet.resume(3).unwrap();
    await_peer_state(&fleet, &[0, 1, 2], 3, "alive");
    assert_eq!(
        incarnations(&fleet, 0, "p3"),
        before,
        "p3 keeps its incarnation"
    );
    assert!(
        (0..3).all(|n| peer_state(&fleet, 3, n) != "dead"),
        "p3 marks no peer dead"
    );
    assert_eq!(fleet.purge(3, &object(700)).unwrap(), 201);
}

/// A stalled process resumes after a replacement process has started under the same name. The old process must reject
/// commits, and the replacement must enforce the commits that the old process had confirmed.
#[test]
fn a_replaced_incarnation_that_resumes_is_fenced() {
    let setup = Setup {
        later: &["p0"],
        ..Setup::replicating(Path::new(DAEMON), 3, 63)
    };
    let mut fleet = Fleet::with(setup).unwrap();
    assert_eq!(fleet.purge(0, &object(710)).unwrap(), 201);
    (1..3).for_each(|n| await_peer_state(&fleet, &[n], 0, "alive"));
    fleet.stall(0).unwrap();
    fleet.restart(3, Disk::Lost).unwrap();
    assert!(
        fleet.wait_for_purge(3, &object(710)).unwrap(),
        "the replacement holds the commits of the previous incarnation"
    );
    assert_eq!(fleet.purge(3, &object(711)).unwrap(), 201);
    until("the others know the replacement", || {
        (1..3).all(|n| fleet.status(n).unwrap().peers[3 - 1].name == "p0")
    });
    fleet.resume(0).unwrap();
    until("the old process learns of its replacement", || {
        fleet.status(0).unwrap().replaced
    });
    assert_eq!(
        fleet.purge(0, &object(712)).unwrap(),
        503,
        "the replaced process rejects commits"
    );
    assert!(!fleet.status(3).unwrap().replaced);
    assert_eq!(fleet.purge(3, &object(713)).unwrap(), 201);
    assert!(
        fleet.wait_for_purge(0, &object(713)).unwrap(),
        "the replaced process still receives commits of others"
    );
}

fn is_ready(fleet: &Fleet, n: usize) -> bool {
    fleet.admin_call(n, "GET", "/control/ready").unwrap() == 200
}

/// Requests the forty photos with numbers from `from` on, and returns whether the proxy fetched any from the given
/// cache.
fn uses_cache(fleet: &Fleet, n: usize, cache: usize, from: u64) -> bool {
    let before = fleet.caches[cache].arrivals().len();
    (from..from + 40).for_each(|o| drop(fleet.ask(n, &object(o)).unwrap()));
    fleet.caches[cache].arrivals().len() > before
}

/// Waits until the proxy fetches from the given cache. On a busy machine the proxy may avoid a slow cache for some
/// seconds.
fn await_cache_use(fleet: &Fleet, n: usize, cache: usize, from: u64) {
    until(&format!("p{n} uses cache {cache}"), || {
        uses_cache(fleet, n, cache, from)
    });
}

/// A proxy on a replacement machine is not ready before it has recovered the bans and drains set by operators.
#[test]
fn bans_and_drains_survive_replacing_a_lost_machine() {
    let mut fleet = replicating_fleet(3, 70);
    assert_eq!(
        fleet
            .admin_call(0, "POST", "/control/pop-caches/s-0a/offline")
            .unwrap(),
        200
    );
    assert_eq!(
        fleet
            .admin_call(1, "POST", "/control/out-of-service")
            .unwrap(),
        200
    );
    assert_eq!(
        fleet
            .admin_call(2, "POST", "/control/pop-caches/s-0b/offline")
            .unwrap(),
        200
    );
    assert_eq!(
        fleet
            .admin_call(2, "POST", "/control/pop-caches/s-0b/online")
            .unwrap(),
        200
    );
    for n in 0..3 {
        fleet.kill(n).unwrap();
        fleet.restart(n, Disk::Lost).unwrap();
        until("the proxy has recovered its entries", || {
            fleet.status(n).unwrap().entries >= 3
        });
        await_agreement("all proxies agree", &fleet);
    }
    until("both ready", || is_ready(&fleet, 0) && is_ready(&fleet, 2));
    assert!(
        !uses_cache(&fleet, 0, 0, 800),
        "p0 sends nothing to the banned cache"
    );
    await_cache_use(&fleet, 0, 1, 900);
    // The ban of cache `s-0b` was lifted, so recovery must not restore it.
    await_cache_use(&fleet, 2, 1, 1000);
    assert!(!is_ready(&fleet, 1), "p1 is still out of service");
    assert_eq!(
        fleet.admin_call(1, "POST", "/control/in-service").unwrap(),
        200
    );
    until("p1 is in service", || is_ready(&fleet, 1));
}

#[test]
fn an_unreplicated_ban_is_rejected_without_effect() {
    let fleet = replicating_fleet(3, 71);
    until("p0 has recovered from its peers", || is_ready(&fleet, 0));
    fleet.links.split(&[0], LinkConditions::CUT);
    assert_eq!(
        fleet
            .admin_call(0, "POST", "/control/pop-caches/s-0a/offline")
            .unwrap(),
        503
    );
    assert_eq!(
        fleet
            .admin_call(0, "POST", "/control/out-of-service")
            .unwrap(),
        503
    );
    assert!(is_ready(&fleet, 0));
    await_cache_use(&fleet, 0, 0, 1100);
    fleet.links.split(&[0], LinkConditions::default());
    assert_eq!(
        fleet
            .admin_call(0, "POST", "/control/pop-caches/s-0a/offline")
            .unwrap(),
        200
    );
    // A repeated ban succeeds because the first one is committed.
    assert_eq!(
        fleet
            .admin_call(0, "POST", "/control/pop-caches/s-0a/offline")
            .unwrap(),
        200
    );
    assert!(!uses_cache(&fleet, 0, 0, 1200));
    await_agreement("all proxies agree", &fleet);
}

/// A proxy that starts with an empty disk is not ready until it has recovered from its peers or a time limit has
/// passed. A proxy that starts with its disk is ready without its peers.
#[test]
fn a_machine_without_its_disk_is_ready_only_after_recovery() {
    let mut fleet = replicating_fleet(3, 72);
    until("all are ready", || (0..3).all(|n| is_ready(&fleet, n)));
    assert_eq!(
        fleet
            .admin_call(0, "POST", "/control/pop-caches/s-0a/offline")
            .unwrap(),
        200
    );
    await_agreement("all proxies agree", &fleet);
    fleet.kill(0).unwrap();
    fleet.links.split(&[0], LinkConditions::CUT);
    fleet.restart(0, Disk::Kept).unwrap();
    until("p0 is ready from its own disk", || is_ready(&fleet, 0));
    assert!(!uses_cache(&fleet, 0, 0, 1300));
    fleet.kill(0).unwrap();
    fleet.restart(0, Disk::Lost).unwrap();
    let start = Instant::now();
    assert!(!is_ready(&fleet, 0));
    fleet.links.split(&[0], LinkConditions::default());
    until("p0 has recovered from its peers", || is_ready(&fleet, 0));
    assert!(
        start.elapsed().as_secs() < 5,
        "recovery takes less than the time limit"
    );
    assert!(!uses_cache(&fleet, 0, 0, 1400));
    fleet.kill(0).unwrap();
    fleet.links.split(&[0], LinkConditions::CUT);
    fleet.restart(0, Disk::Lost).unwrap();
    let start = Instant::now();
    until("p0 is ready after the time limit", || is_ready(&fleet, 0));
    assert!(
        start.elapsed().as_millis() >= 4_500,
        "ready before the time limit, after {:?}",
        start.elapsed()
    );
}

/// Requests a trigger status from a proxy, and returns the HTTP status code and the body of the response.
fn trigger_status(fleet: &Fleet, n: usize, path: &str) -> (u16, Vec<u8>) {
    let answer = fleet.cdni_call(n, "GET", path).unwrap();
    (answer.status, answer.body)
}

/// A trigger status that does not fit into one datagram is served by every proxy after the machine that created it is
/// lost with its disk. The replacement must not reuse the path of the status.
#[test]
fn a_trigger_status_is_served_by_all_and_survives_its_machine() {
    let mut fleet = replicating_fleet(3, 80);
    let lossy = LinkConditions {
        drop: 0.25,
        duplicate: 0.2,
        reorder: 0.3,
        jitter_ms: 5.0,
        ..LinkConditions::default()
    };
    fleet.links.set_all(lossy);
    let objects: Vec<String> = (2000..2060).map(object).collect();
    let all: Vec<&str> = objects.iter().map(String::as_str).collect();
    let answer = fleet.trigger(0, &all).unwrap();
    let path = status_path(&answer).expect("the trigger is committed");
    fleet.kill(0).unwrap();
    for n in 1..3 {
        until("the remaining proxies serve the status", || {
            trigger_status(&fleet, n, &path) == (200, answer.body.clone())
        });
    }
    fleet.restart(0, Disk::Lost).unwrap();
    await_agreement("all proxies agree", &fleet);
    let second =
        status_path(&fleet.trigger(0, &all[..1]).unwrap()).expect("the trigger is committed");
    assert_ne!(second, path);
    await_agreement("all proxies agree", &fleet);
    for n in 0..3 {
        assert_eq!(
            trigger_status(&fleet, n, &path),
            (200, answer.body.clone()),
            "p{n}"
        );
        assert_eq!(
            fleet.triggers(n).unwrap(),
            BTreeSet::from([path.clone(), second.clone()]),
            "p{n}"
        );
        assert!(holds_floor(&fleet, n, &objects[59]), "p{n}");
    }
    // All proxies restart at once with their disks.
    (0..3).for_each(|n| fleet.kill(n).unwrap());
    (0..3).for_each(|n| fleet.restart(n, Disk::Kept).unwrap());
    assert!((0..3).all(|n| trigger_status(&fleet, n, &path) == (200, answer.body.clone())));
    let third =
        status_path(&fleet.trigger(0, &all[..1]).unwrap()).expect("the trigger is committed");
    assert!(third != path && third != second);
}

/// A status that is created at one proxy and deleted through another stays deleted after restarts and lost disks.
#[test]
fn a_deleted_trigger_status_does_not_reappear() {
    let mut fleet = replicating_fleet(3, 81);
    let path = status_path(&fleet.trigger(0, &[&object(2100)]).unwrap())
        .expect("the trigger is committed");
    await_agreement("all proxies hold the purge", &fleet);
    fleet.kill(2).unwrap();
    assert_eq!(fleet.cdni_call(1, "DELETE", &path).unwrap().status, 204);
    until("the status is deleted at its first proxy", || {
        trigger_status(&fleet, 0, &path).0 == 404
    });
    fleet.kill(1).unwrap();
    fleet.restart(1, Disk::Lost).unwrap();
    fleet.restart(2, Disk::Kept).unwrap();
    await_agreement("all proxies agree", &fleet);
    for n in 0..3 {
        assert_eq!(trigger_status(&fleet, n, &path).0, 404, "p{n}");
        assert!(fleet.triggers(n).unwrap().is_empty(), "p{n}");
        assert!(
            holds_floor(&fleet, n, &object(2100)),
            "p{n}: the purge is still enforced"
        );
    }
}

/// A trigger that could not be committed appears on no proxy, even after the links are restored. The status of an invalid
/// trigger needs a commit as well.
#[test]
fn an_uncommitted_trigger_is_served_by_no_proxy() {
    let fleet = replicating_fleet(3, 82);
    fleet.links.split(&[0], LinkConditions::CUT);
    assert_eq!(fleet.purge(0, &object(2200)).unwrap(), 503);
    assert!(fleet.triggers(0).unwrap().is_empty());
    let unsupported =
        r#"{"trigger": {"type": "purge", "content.patterns": ["*"]}, "cdn-path": ["AS64501:0"]}"#;
    let cdni = fleet.process(0).unwrap().cdni;
    let post_unsupported = || call(cdni, "POST", "/cdni/triggers", unsupported).unwrap();
    assert_eq!(
        post_unsupported().status,
        503,
        "the status of an invalid trigger can not be committed either"
    );
    fleet.links.split(&[0], LinkConditions::default());
    let path = status_path(&post_unsupported()).expect("the trigger is committed");
    await_agreement("all proxies agree", &fleet);
    for n in 0..3 {
        assert_eq!(
            fleet.triggers(n).unwrap(),
            BTreeSet::from([path.clone()]),
            "p{n}"
        );
        let (status, body) = trigger_status(&fleet, n, &path);
        assert_eq!(
            (status, String::from_utf8(body).unwrap().contains("ereject")),
            (200, true),
            "p{n}"
        );
    }
}
