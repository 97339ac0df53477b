//! Several processes of the daemon with fault-injecting links between them: links that lose, cut and delay, peers that stand still,
//! processes killed and started again. What each of them was told of a purge is what it must keep, and what it was
//! not told of it can't.

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

/// Proxies that copy what neighbours told, and say yes once a further machine has it on its disk.
fn copying(proxies: usize, seed: u64) -> Fleet {
    // What can be promised is, also on a machine that is busy with other tests.
    let within_ms = Some(3_000);
    Fleet::with(Setup {
        within_ms,
        ..Setup::replicating(Path::new(DAEMON), proxies, seed)
    })
    .unwrap()
}

fn agree(what: &str, fleet: &Fleet) {
    until(what, || fleet.is_converged().unwrap());
}

fn object(n: u64) -> String {
    format!("{n:016x}")
}

/// Waits until something is so; a test whose cause has gone must fail and not stand still.
fn until(what: &str, so: impl FnMut() -> bool) {
    // A death takes up to some seconds to be believed, and a machine that is busy with other tests some more.
    assert!(poll_until(3 * TIMEOUT, so), "never: {what}");
}

fn floor(fleet: &Fleet, n: usize, object: &str) -> bool {
    fleet.holds_floor(n, object).unwrap()
}

#[test]
fn a_purge_told_at_one_process_reaches_all_over_links_that_lose_double_and_reorder() {
    let rough = LinkConditions {
        drop: 0.4,
        duplicate: 0.5,
        reorder: 0.5,
        jitter_ms: 20.0,
        ..LinkConditions::default()
    };
    let fleet = fleet(4, 11);
    fleet.links.set_all(rough);
    for n in 0..3 {
        let object = object(n);
        assert_eq!(fleet.purge(n as usize, &object).unwrap(), 201);
        // Each datagram goes three times, and by this seed one of the three comes on every link.
        for proxy in 0..4 {
            assert!(
                fleet.wait_for_purge(proxy, &object).unwrap(),
                "p{proxy}, purge {n}"
            );
        }
    }
    // All three have gone by then.
    until("all three are sent", || {
        (1..4).all(|b| fleet.links.counters((0, b)).sent >= 3)
    });
    let lost: u64 = (1..4).map(|b| fleet.links.counters((0, b)).lost).sum();
    assert!(lost > 0, "else the links were clear");
}

/// What passes is told in one direction only: the proxy behind the cut goes on with its copy, which the others have
/// let go. This is what the fleet's copies of purges end, where they are on.
#[test]
fn a_one_way_cut_keeps_a_purge_from_one_process_and_from_no_other() {
    let fleet = fleet(3, 5);
    let (object, after) = (object(1), object(2));
    fleet.links.set((0, 2), LinkConditions::CUT);
    assert_eq!(fleet.purge(0, &object).unwrap(), 201);
    assert!(fleet.wait_for_purge(0, &object).unwrap() && fleet.wait_for_purge(1, &object).unwrap());
    assert!(fleet.links.counters((0, 2)).came == 0 && fleet.links.counters((0, 1)).came > 0);
    assert!(
        !floor(&fleet, 2, &object),
        "what is behind the cut has no word"
    );
    // The other way is open: what it tells is heard.
    assert_eq!(fleet.purge(2, &after).unwrap(), 201);
    assert!(fleet.wait_for_purge(0, &after).unwrap());
}

#[test]
fn a_process_that_stood_still_hears_what_was_told_meanwhile() {
    let fleet = fleet(3, 7);
    let object = object(3);
    fleet.stall(1).unwrap();
    assert_eq!(fleet.purge(0, &object).unwrap(), 201);
    assert!(fleet.wait_for_purge(2, &object).unwrap());
    // All three datagrams have reached its socket.
    until("all three came", || fleet.links.counters((0, 1)).came >= 3);
    fleet.resume(1).unwrap();
    assert!(
        fleet.wait_for_purge(1, &object).unwrap(),
        "it goes on and has heard"
    );
}

#[test]
fn a_killed_process_keeps_the_purges_of_its_disk_and_loses_them_with_it() {
    let mut fleet = fleet(3, 9);
    let object = object(4);
    assert_eq!(fleet.purge(0, &object).unwrap(), 201);
    for n in 0..3 {
        assert!(fleet.wait_for_purge(n, &object).unwrap(), "p{n}");
    }
    fleet.kill(0).unwrap();
    fleet.restart(0, Disk::Kept).unwrap();
    assert!(
        floor(&fleet, 0, &object),
        "the floor is asked for after a kill"
    );
    fleet.kill(0).unwrap();
    fleet.restart(0, Disk::Lost).unwrap();
    assert!(
        !floor(&fleet, 0, &object),
        "the disk had the only copy of the promise"
    );
    for n in 0..3 {
        assert!(fleet.end(n).unwrap(), "p{n} ends well");
    }
}

#[test]
fn with_copies_a_purge_comes_to_a_process_behind_a_one_way_cut_by_way_of_another() {
    let fleet = copying(3, 21);
    let object = object(1);
    fleet.links.set((0, 2), LinkConditions::CUT);
    // What was on its way at the cut may still come. It is all that was sent and not lost by then.
    let before = fleet.links.counters((0, 2));
    assert_eq!(fleet.purge(0, &object).unwrap(), 201);
    assert!(
        fleet.wait_for_purge(2, &object).unwrap(),
        "from 0 to 1 to 2"
    );
    let after = fleet.links.counters((0, 2));
    assert!(
        after.came <= before.sent - before.lost,
        "{after:?}: something has come by the cut link"
    );
    assert!(after.lost > before.lost, "{after:?}: and it was tried");
}

#[test]
fn with_copies_a_process_that_was_away_hears_what_was_told_meanwhile() {
    let mut fleet = copying(3, 22);
    let object = object(2);
    fleet.kill(1).unwrap();
    assert_eq!(fleet.purge(0, &object).unwrap(), 201);
    // The datagrams are sent three times within 80 ms; it comes back when all of them are gone.
    until("all of them are sent", || {
        fleet.links.counters((0, 1)).sent >= 4
    });
    fleet.restart(1, Disk::Kept).unwrap();
    assert!(fleet.wait_for_purge(1, &object).unwrap());
}

/// The writer's machine is lost with its disk, right after its yes: the promise holds at the others, and at the
/// machine that takes its place.
#[test]
fn with_copies_a_writer_that_lost_its_disk_has_its_own_promises_again() {
    let mut fleet = copying(3, 23);
    let objects: Vec<String> = (10..18).map(object).collect();
    for object in &objects {
        assert_eq!(fleet.purge(0, object).unwrap(), 201);
    }
    for n in 1..3 {
        assert!(
            objects.iter().all(|o| floor(&fleet, n, o)),
            "p{n} holds what p0 promised"
        );
    }
    fleet.kill(0).unwrap();
    fleet.restart(0, Disk::Lost).unwrap();
    until("p0 learns its own promises again", || {
        objects.iter().all(|o| floor(&fleet, 0, o))
    });
    // It goes on writing, in a new life; both lives are everywhere.
    let later = object(40);
    assert_eq!(fleet.purge(0, &later).unwrap(), 201);
    until("the new life is heard", || {
        (1..3).all(|n| floor(&fleet, n, &later))
    });
}

#[test]
fn with_copies_both_sides_of_a_split_agree_after_it() {
    let mut fleet = copying(5, 24);
    fleet.links.split(&[0, 1], LinkConditions::CUT);
    for n in 0..5 {
        assert_eq!(fleet.purge(n, &object(100 + n as u64)).unwrap(), 201);
    }
    // Each side is started again in it, one of its proxies without its disk: what it promised, the others hold.
    assert!(floor(&fleet, 1, &object(100)) && floor(&fleet, 3, &object(104)));
    fleet.kill(0).unwrap();
    fleet.restart(0, Disk::Lost).unwrap();
    fleet.kill(4).unwrap();
    fleet.restart(4, Disk::Kept).unwrap();
    assert!(
        (0..2).all(|n| !floor(&fleet, n, &object(102))),
        "nothing passes the split"
    );
    fleet.links.split(&[0, 1], LinkConditions::default());
    until("the sides agree", || {
        (0..5).all(|n| (0..5).all(|o| floor(&fleet, n, &object(100 + o))))
    });
}

#[test]
fn with_copies_each_purge_stands_once_in_each_store() {
    let fleet = copying(4, 25);
    let all: Vec<String> = (200..220).map(object).collect();
    for (n, object) in all.iter().enumerate() {
        assert_eq!(fleet.purge(n % 4, object).unwrap(), 201);
    }
    agree("each purge is in each store", &fleet);
    // All texts that repeat them have come by then, and were known.
    let came = |a, b| a == b || fleet.links.counters((a, b)).came >= 5 * 4;
    until("all texts came", || {
        (0..4).all(|a| (0..4).all(|b| came(a, b)))
    });
    for n in 0..4 {
        let status = fleet.status(n).unwrap();
        assert_eq!((status.logs.len(), status.committed), (4, 5), "p{n}");
        // Each purge is an entry, and the status of its trigger is two pieces.
        assert_eq!(status.entries, 3 * all.len(), "p{n}");
        assert_eq!(fleet.triggers(n).unwrap().len(), all.len(), "p{n}");
    }
}

/// The writer dies at each point of its promise, and comes back with its disk or on a new machine. What the neighbour
/// was told yes of holds at all; what it was not told of holds at all or at none.
#[test]
fn a_writer_that_dies_at_any_point_of_a_promise_leaves_all_in_agreement() {
    // Whether others have the purge once the process has died at that point; none where that is a race.
    let points = [
        ("peers-tell", Some(false)),
        ("peers-told", Some(true)),
        ("store-commits", None),
        ("store-committed", None),
        ("promise-kept", Some(true)),
    ];
    for (seed, (point, told)) in points.into_iter().enumerate() {
        for disk in [Disk::Kept, Disk::Lost] {
            let case = format!("{point}, disk {disk:?}");
            let mut fleet = copying(3, 30 + seed as u64);
            let (first, second) = (object(300), object(301));
            assert_eq!(fleet.purge(0, &first).unwrap(), 201);
            agree("all have the first", &fleet);
            fleet.kill(0).unwrap();
            fleet
                .restart_with_fail_points(0, disk, &format!("{point}=die"))
                .unwrap();
            // On a new machine its own promise comes back, which may pass the armed point as well: it dies of that.
            let said = fleet.purge(0, &second);
            assert!(
                said.is_err(),
                "{case}: it died before it could say yes, and said {said:?}"
            );
            fleet.kill(0).unwrap();
            // What was told is on its way still, maybe; what was not can't come from anywhere.
            let others = match told {
                Some(true) => fleet.wait_for_purge(1, &second).unwrap(),
                _ => floor(&fleet, 1, &second),
            };
            fleet.restart(0, Disk::Kept).unwrap();
            agree(&format!("{case}: all agree"), &fleet);
            assert!(
                (0..3).all(|n| floor(&fleet, n, &first)),
                "{case}: the first was promised"
            );
            let held = (0..3).filter(|n| floor(&fleet, *n, &second)).count();
            assert!(held == 0 || held == 3, "{case}: {held} hold the second");
            if disk == Disk::Kept {
                assert!(
                    told.is_none_or(|told| told == others),
                    "{case}: others had it: {others}"
                );
            }
        }
    }
}

/// The writer stands still after it told its peers and before its yes: they have the purge, and the neighbour has its
/// yes once the writer goes on.
#[test]
fn a_writer_that_stands_still_before_its_yes_gives_it_when_it_goes_on() {
    let mut fleet = copying(3, 40);
    fleet.kill(0).unwrap();
    fleet
        .restart_with_fail_points(0, Disk::Kept, "peers-told=stall")
        .unwrap();
    let (fleet, object) = (&fleet, object(310));
    std::thread::scope(|scope| {
        let said = scope.spawn(|| fleet.purge(0, &object));
        assert!(
            fleet.wait_for_purge(1, &object).unwrap() && fleet.wait_for_purge(2, &object).unwrap()
        );
        assert!(
            !said.is_finished(),
            "no yes from a process that stands still"
        );
        fleet.resume(0).unwrap();
        assert_eq!(said.join().unwrap().unwrap(), 201);
    });
    assert!(floor(fleet, 0, &object));
}

/// Each machine in turn is lost with its disk the moment after its yes, over links that lose, double and reorder. The
/// yes was only given once a further machine had it on its disk, so each promise holds.
#[test]
fn a_machine_lost_the_moment_after_its_yes_takes_no_promise_along() {
    let rough = LinkConditions {
        drop: 0.3,
        duplicate: 0.3,
        reorder: 0.3,
        jitter_ms: 10.0,
        ..LinkConditions::default()
    };
    let mut fleet = copying(3, 41);
    fleet.links.set_all(rough);
    let mut promised = Vec::new();
    for round in 0..6 {
        let (writer, object) = (round % 3, object(400 + round as u64));
        let said = fleet.purge(writer, &object).unwrap();
        assert_eq!(said, 201, "round {round}");
        fleet.kill(writer).unwrap();
        promised.push(object);
        fleet.restart(writer, Disk::Lost).unwrap();
        agree(&format!("round {round}: all agree"), &fleet);
        for n in 0..3 {
            assert!(
                promised.iter().all(|o| floor(&fleet, n, o)),
                "round {round}: p{n} holds all that was promised"
            );
        }
    }
}

/// A proxy that reaches nobody, or that nobody's word reaches, says no in time; what it was told is in force all the
/// same, and once the links are back it promises again.
#[test]
fn a_proxy_that_no_further_machine_answers_promises_nothing() {
    let fleet = copying(3, 42);
    fleet.links.split(&[0], LinkConditions::CUT);
    assert_eq!(fleet.purge(0, &object(500)).unwrap(), 503);
    assert!(floor(&fleet, 0, &object(500)), "in force here");
    assert_eq!(
        fleet.purge(1, &object(501)).unwrap(),
        201,
        "the other side has a second machine"
    );
    // One way: the others hear and their word does not come back.
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
        "and they are known to be short of copies"
    );
    fleet.links.split(&[0], LinkConditions::default());
    assert_eq!(fleet.purge(0, &object(503)).unwrap(), 201);
    agree("all agree, none short", &fleet);
    assert!((0..3).all(|n| (500..504).all(|o| floor(&fleet, n, &object(o)))));
}

/// What a proxy says of its own machine counts: three that say the same are one, and one copy, though each other's files
/// have them on three.
#[test]
fn proxies_that_say_they_stand_on_one_machine_are_one_copy() {
    let setup = Setup {
        machine: Some("one"),
        ..Setup::replicating(Path::new(DAEMON), 3, 56)
    };
    let fleet = Fleet::with(setup).unwrap();
    until("all have said so", || {
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
        "they have it all the same"
    );
}

#[test]
fn a_holder_that_stands_still_holds_no_promise_up_while_another_has_it() {
    let fleet = copying(3, 43);
    fleet.stall(1).unwrap();
    assert_eq!(fleet.purge(0, &object(510)).unwrap(), 201, "by p2");
    fleet.stall(2).unwrap();
    assert_eq!(fleet.purge(0, &object(511)).unwrap(), 503, "by nobody");
    // They go on, know nothing of it, and take what waits in their sockets.
    fleet.resume(1).unwrap();
    fleet.resume(2).unwrap();
    assert_eq!(fleet.purge(0, &object(512)).unwrap(), 201);
    agree("all agree, none short", &fleet);
    assert!((0..3).all(|n| (510..513).all(|o| floor(&fleet, n, &object(o)))));
}

/// A holder dies before its disk has the copy, and once it has it and before it says so. The other's copy is enough,
/// and what the dead one lacks it has again once it is back.
#[test]
fn a_holder_that_dies_while_it_writes_or_before_its_word_costs_no_promise() {
    for (seed, point) in ["store-commits", "store-committed", "holder-says"]
        .into_iter()
        .enumerate()
    {
        let mut fleet = copying(3, 44 + seed as u64);
        fleet.kill(1).unwrap();
        fleet
            .restart_with_fail_points(1, Disk::Kept, &format!("{point}=die"))
            .unwrap();
        assert_eq!(fleet.purge(0, &object(520)).unwrap(), 201, "{point}: by p2");
        until(&format!("{point}: it died of it"), || {
            fleet.status(1).is_err()
        });
        // Now the writer's machine is lost too: the promise was given on p2's word alone.
        fleet.kill(0).unwrap();
        fleet.kill(1).unwrap();
        fleet.restart(0, Disk::Lost).unwrap();
        fleet.restart(1, Disk::Kept).unwrap();
        agree(&format!("{point}: all agree"), &fleet);
        assert!((0..3).all(|n| floor(&fleet, n, &object(520))), "{point}");
    }
}

/// With a promise that waits for two further machines, two of three are lost one after the other.
#[test]
fn with_two_further_copies_two_machines_of_three_may_be_lost_at_once() {
    let mut fleet = Fleet::start(Path::new(DAEMON), 3, 50, Some(2)).unwrap();
    assert_eq!(fleet.purge(0, &object(530)).unwrap(), 201);
    fleet.kill(0).unwrap();
    fleet.kill(1).unwrap();
    fleet.restart(0, Disk::Lost).unwrap();
    fleet.restart(1, Disk::Lost).unwrap();
    agree("all agree", &fleet);
    assert!((0..3).all(|n| floor(&fleet, n, &object(530))));
    fleet.stall(2).unwrap();
    assert_eq!(
        fleet.purge(0, &object(531)).unwrap(),
        503,
        "one is not enough"
    );
    fleet.resume(2).unwrap();
}

#[test]
fn a_disk_that_takes_nothing_makes_a_no_and_the_others_keep_what_was_told() {
    let mut fleet = copying(3, 51);
    assert_eq!(fleet.purge(0, &object(540)).unwrap(), 201);
    agree("all have it", &fleet);
    fleet.kill(0).unwrap();
    fleet
        .restart_with_fail_points(0, Disk::Kept, "store-fails=fail")
        .unwrap();
    assert_eq!(fleet.purge(0, &object(541)).unwrap(), 503);
    assert!(floor(&fleet, 0, &object(541)), "in force all the same");
    let status = fleet.status(0).unwrap();
    assert!(status.durable_index < status.last_index && status.rejected == 1);
    // Its word is no copy for others either.
    fleet.stall(2).unwrap();
    assert_eq!(fleet.purge(1, &object(542)).unwrap(), 503);
    fleet.resume(2).unwrap();
    assert!(fleet.end(0).unwrap(), "it ends well");
    fleet.restart(0, Disk::Kept).unwrap();
    assert_eq!(fleet.purge(0, &object(543)).unwrap(), 201);
    agree("all agree", &fleet);
    assert!((0..3).all(|n| (540..544).all(|o| floor(&fleet, n, &object(o)))));
}

#[test]
fn a_damaged_store_is_refused_by_name_and_a_new_one_is_filled_by_the_others() {
    let mut fleet = copying(3, 52);
    assert_eq!(fleet.purge(0, &object(550)).unwrap(), 201);
    agree("all have it", &fleet);
    fleet.kill(1).unwrap();
    let path = fleet.store(1);
    let length = std::fs::metadata(&path).unwrap().len() as usize;
    std::fs::write(&path, vec![0x5a; length]).unwrap();
    let said = fleet.restart(1, Disk::Kept).unwrap_err().to_string();
    assert!(
        said.contains("cdni.purges") && said.contains("damaged") && said.contains("move it away"),
        "{said}"
    );
    std::fs::rename(&path, path.with_extension("damaged")).unwrap();
    fleet.restart(1, Disk::Kept).unwrap();
    agree("all agree", &fleet);
    assert!(floor(&fleet, 1, &object(550)));
}

/// All processes are killed at once and come back in each order; promises were made by each of them.
#[test]
fn a_whole_fleet_killed_at_once_comes_back_in_any_order() {
    let mut fleet = copying(3, 53);
    let mut promised = Vec::new();
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
            promised.push(object);
        }
        order.iter().for_each(|n| fleet.kill(*n).unwrap());
        order
            .iter()
            .for_each(|n| fleet.restart(*n, Disk::Kept).unwrap());
        agree(&format!("{order:?}: all agree"), &fleet);
    }
    for n in 0..3 {
        assert!(
            promised.iter().all(|o| floor(&fleet, n, o)),
            "p{n} holds all that was promised"
        );
    }
}

/// Promises are asked of a proxy that is told to end: each has its answer, yes or no, before the process has ended.
#[test]
fn promises_that_wait_are_answered_before_the_process_ends() {
    let mut fleet = copying(2, 54);
    fleet.stall(1).unwrap();
    let (front, admin) = (
        fleet.process(0).unwrap().cdni,
        fleet.process(0).unwrap().admin,
    );
    let told = std::thread::spawn(move || purge_at(front, &object(560)));
    until("the neighbour waits", || {
        fleet.status(0).unwrap().pending_commits == 1
    });
    let called =
        std::thread::spawn(move || call(admin, "POST", "/control/pop-caches/s-0a/offline", ""));
    until("the operator waits", || {
        fleet.status(0).unwrap().pending_commits == 2
    });
    assert!(fleet.end(0).unwrap());
    assert_eq!(told.join().unwrap().unwrap(), 503);
    assert_eq!(called.join().unwrap().unwrap().status, 503);
    fleet.resume(1).unwrap();
}

/// Two calls on one pop cache wait, and neither can be promised: it is as it was before the first of them, whichever is
/// refused last.
#[test]
fn calls_that_contradict_each_other_and_are_both_refused_leave_what_was_before_them() {
    // Time for all four to wait side by side on a busy machine.
    let within_ms = Some(6_000);
    let setup = Setup {
        within_ms,
        ..Setup::replicating(Path::new(DAEMON), 2, 55)
    };
    let fleet = Fleet::with(setup).unwrap();
    fleet.stall(1).unwrap();
    let admin = fleet.process(0).unwrap().admin;
    let operate = |verb: &str| {
        let path = format!("/control/pop-caches/s-0a/{verb}");
        std::thread::spawn(move || call(admin, "POST", &path, "").unwrap().status)
    };
    let mut calls = Vec::new();
    for (n, verb) in ["offline", "online", "offline", "online"]
        .into_iter()
        .enumerate()
    {
        calls.push(operate(verb));
        until("it waits", || {
            fleet.status(0).unwrap().pending_commits == n + 1
        });
    }
    assert!(calls.into_iter().all(|call| call.join().unwrap() == 503));
    comes_to_use(&fleet, 0, 0, 1500);
    fleet.resume(1).unwrap();
    agree("both agree", &fleet);
    assert_eq!(
        fleet
            .admin_call(0, "POST", "/control/pop-caches/s-0a/offline")
            .unwrap(),
        200
    );
    assert!(!uses_box(&fleet, 0, 0, 1600));
}

/// What a proxy believes of another, by its place in the fleet.
fn standing(fleet: &Fleet, at: usize, of: usize) -> String {
    let name = format!("p{of}");
    let status = fleet.status(at).unwrap();
    status
        .peers
        .iter()
        .find(|p| p.name == name)
        .map_or_else(|| "unknown".into(), |p| p.state.clone())
}

fn lives(fleet: &Fleet, at: usize, of: &str) -> Vec<String> {
    fleet
        .status(at)
        .unwrap()
        .peers
        .iter()
        .filter(|p| p.name == of)
        .map(|p| p.incarnation.clone())
        .collect()
}

fn believe(fleet: &Fleet, at: &[usize], of: usize, wanted: &str) {
    until(&format!("{at:?} believe p{of} to be {wanted}"), || {
        at.iter().all(|n| standing(fleet, *n, of) == wanted)
    });
}

#[test]
fn members_that_are_killed_end_and_come_back_are_seen_by_all() {
    let mut fleet = copying(4, 60);
    (0..4).for_each(|of| {
        believe(
            &fleet,
            &(0..4).filter(|n| *n != of).collect::<Vec<_>>(),
            of,
            "alive",
        );
    });
    let before = lives(&fleet, 0, "p3");
    fleet.kill(3).unwrap();
    believe(&fleet, &[0, 1, 2], 3, "dead");
    assert_eq!(fleet.status(0).unwrap().alive_members, 3);
    fleet.restart(3, Disk::Kept).unwrap();
    believe(&fleet, &[0, 1, 2], 3, "alive");
    assert!(lives(&fleet, 0, "p3") > before, "in a later life");
    assert!(fleet.end(3).unwrap());
    believe(&fleet, &[0, 1, 2], 3, "left");
}

/// A link that is cut one way, and one that is cut both ways, for as long as a death takes to be known: another hears
/// all of them, so nobody is dead to anybody but the one that is cut off from all.
#[test]
fn a_cut_link_makes_nobody_dead_and_a_cut_proxy_is() {
    let fleet = copying(5, 61);
    (0..5).for_each(|of| {
        believe(
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
    believe(&fleet, &[0, 1, 2, 3], 4, "dead");
    believe(&fleet, &[4], 0, "dead");
    for (at, of) in [(0, 1), (1, 0), (1, 2), (2, 1), (3, 1)] {
        assert_ne!(standing(&fleet, at, of), "dead", "p{at} of p{of}");
    }
    fleet.links.split(&[4], LinkConditions::default());
    believe(&fleet, &[0, 1, 2, 3], 4, "alive");
    believe(&fleet, &[4], 0, "alive");
}

#[test]
fn a_member_that_stood_still_for_longer_than_its_death_refutes_it_and_blames_nobody() {
    let fleet = copying(4, 62);
    (0..4).for_each(|of| {
        believe(
            &fleet,
            &(0..4).filter(|n| *n != of).collect::<Vec<_>>(),
            of,
            "alive",
        );
    });
    let before = lives(&fleet, 0, "p3");
    fleet.stall(3).unwrap();
    believe(&fleet, &[0, 1, 2], 3, "dead");
    fleet.resume(3).unwrap();
    believe(&fleet, &[0, 1, 2], 3, "alive");
    assert_eq!(lives(&fleet, 0, "p3"), before, "in the same life");
    assert!(
        (0..3).all(|n| standing(&fleet, 3, n) != "dead"),
        "and it blames nobody"
    );
    assert_eq!(fleet.purge(3, &object(700)).unwrap(), 201);
}

/// A machine that stood still comes back after another has taken its name: the old process promises nothing more, and
/// what it promised before is its successor's too.
#[test]
fn an_old_life_that_goes_on_after_its_successor_has_begun_is_fenced() {
    let setup = Setup {
        later: &["p0"],
        ..Setup::replicating(Path::new(DAEMON), 3, 63)
    };
    let mut fleet = Fleet::with(setup).unwrap();
    assert_eq!(fleet.purge(0, &object(710)).unwrap(), 201);
    (1..3).for_each(|n| believe(&fleet, &[n], 0, "alive"));
    fleet.stall(0).unwrap();
    fleet.restart(3, Disk::Lost).unwrap();
    assert!(
        fleet.wait_for_purge(3, &object(710)).unwrap(),
        "it has the promises of the life before"
    );
    assert_eq!(fleet.purge(3, &object(711)).unwrap(), 201);
    until("the others have met it", || {
        (1..3).all(|n| fleet.status(n).unwrap().peers[3 - 1].name == "p0")
    });
    fleet.resume(0).unwrap();
    until("the old one learns of it", || {
        fleet.status(0).unwrap().replaced
    });
    assert_eq!(
        fleet.purge(0, &object(712)).unwrap(),
        503,
        "and promises nothing more"
    );
    assert!(!fleet.status(3).unwrap().replaced);
    assert_eq!(fleet.purge(3, &object(713)).unwrap(), 201);
    assert!(
        fleet.wait_for_purge(0, &object(713)).unwrap(),
        "what others promise it goes on keeping"
    );
}

fn ready(fleet: &Fleet, n: usize) -> bool {
    fleet.admin_call(n, "GET", "/control/ready").unwrap() == 200
}

/// Whether a proxy that is asked for forty photos from one on asks a box for any of them.
fn uses_box(fleet: &Fleet, n: usize, place: usize, from: u64) -> bool {
    let before = fleet.caches[place].arrivals().len();
    (from..from + 40).for_each(|o| drop(fleet.ask(n, &object(o)).unwrap()));
    fleet.caches[place].arrivals().len() > before
}

/// A proxy sends something to a box in the end: on a busy machine a box may be late, and is let be for a while.
fn comes_to_use(fleet: &Fleet, n: usize, place: usize, from: u64) {
    until(&format!("p{n} uses box {place}"), || {
        uses_box(fleet, n, place, from)
    });
}

/// Rule 3 over the loss of a machine: the operators were told yes, and the proxy that takes its place is not ready before
/// it knows of the ban again.
#[test]
fn a_ban_and_a_drain_hold_at_the_machine_that_takes_the_place_of_a_lost_one() {
    let mut fleet = copying(3, 70);
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
        until("it has its promises back", || {
            fleet.status(n).unwrap().entries >= 3
        });
        agree("all agree", &fleet);
    }
    until("it is ready", || ready(&fleet, 0) && ready(&fleet, 2));
    assert!(
        !uses_box(&fleet, 0, 0, 800),
        "p0 sends nothing to the box that its operators banned"
    );
    comes_to_use(&fleet, 0, 1, 900);
    // A ban that was lifted stays lifted.
    comes_to_use(&fleet, 2, 1, 1000);
    assert!(!ready(&fleet, 1), "p1 is out of service still");
    assert_eq!(
        fleet.admin_call(1, "POST", "/control/in-service").unwrap(),
        200
    );
    until("it is back", || ready(&fleet, 1));
}

#[test]
fn a_ban_that_no_further_machine_has_is_refused_and_nothing_has_changed() {
    let fleet = copying(3, 71);
    until("it has heard the others", || ready(&fleet, 0));
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
    assert!(ready(&fleet, 0));
    comes_to_use(&fleet, 0, 0, 1100);
    fleet.links.split(&[0], LinkConditions::default());
    assert_eq!(
        fleet
            .admin_call(0, "POST", "/control/pop-caches/s-0a/offline")
            .unwrap(),
        200
    );
    // The same again is yes only because the first one is kept by now.
    assert_eq!(
        fleet
            .admin_call(0, "POST", "/control/pop-caches/s-0a/offline")
            .unwrap(),
        200
    );
    assert!(!uses_box(&fleet, 0, 0, 1200));
    agree("all agree", &fleet);
}

/// A new machine whose peers can't be reached does not know what its operators decided: it is not ready, and is after a
/// bounded time, saying so. One whose disk is kept asks nobody.
#[test]
fn a_machine_without_its_disk_is_not_ready_before_its_promises_are_back() {
    let mut fleet = copying(3, 72);
    until("all are ready", || (0..3).all(|n| ready(&fleet, n)));
    assert_eq!(
        fleet
            .admin_call(0, "POST", "/control/pop-caches/s-0a/offline")
            .unwrap(),
        200
    );
    agree("all agree", &fleet);
    fleet.kill(0).unwrap();
    fleet.links.split(&[0], LinkConditions::CUT);
    fleet.restart(0, Disk::Kept).unwrap();
    until("with its disk it needs nobody", || ready(&fleet, 0));
    assert!(!uses_box(&fleet, 0, 0, 1300));
    fleet.kill(0).unwrap();
    fleet.restart(0, Disk::Lost).unwrap();
    let begun = Instant::now();
    assert!(!ready(&fleet, 0));
    fleet.links.split(&[0], LinkConditions::default());
    until("it has heard the others", || ready(&fleet, 0));
    assert!(
        begun.elapsed().as_secs() < 5,
        "that took no longer than it must"
    );
    assert!(!uses_box(&fleet, 0, 0, 1400));
    fleet.kill(0).unwrap();
    fleet.links.split(&[0], LinkConditions::CUT);
    fleet.restart(0, Disk::Lost).unwrap();
    let begun = Instant::now();
    until("it does not wait for ever", || ready(&fleet, 0));
    assert!(
        begun.elapsed().as_millis() >= 4_500,
        "and not for less: {:?}",
        begun.elapsed()
    );
}

/// What a proxy answers when asked for the status of a trigger.
fn status_of(fleet: &Fleet, n: usize, path: &str) -> (u16, Vec<u8>) {
    let answer = fleet.cdni_call(n, "GET", path).unwrap();
    (answer.status, answer.body)
}

/// The status of a trigger is longer than a datagram. It is told by every proxy, also once the machine that was told is
/// lost with its disk, and the machine in its place gives no name again.
#[test]
fn a_triggers_status_is_told_by_all_and_outlives_the_machine_that_was_told() {
    let mut fleet = copying(3, 80);
    let rough = LinkConditions {
        drop: 0.25,
        duplicate: 0.2,
        reorder: 0.3,
        jitter_ms: 5.0,
        ..LinkConditions::default()
    };
    fleet.links.set_all(rough);
    let objects: Vec<String> = (2000..2060).map(object).collect();
    let all: Vec<&str> = objects.iter().map(String::as_str).collect();
    let answer = fleet.trigger(0, &all).unwrap();
    let path = status_path(&answer).expect("it is promised");
    fleet.kill(0).unwrap();
    for n in 1..3 {
        until("it is told by those that are left", || {
            status_of(&fleet, n, &path) == (200, answer.body.clone())
        });
    }
    fleet.restart(0, Disk::Lost).unwrap();
    agree("all agree", &fleet);
    let second = status_path(&fleet.trigger(0, &all[..1]).unwrap()).expect("it is promised");
    assert_ne!(second, path);
    agree("all agree", &fleet);
    for n in 0..3 {
        assert_eq!(
            status_of(&fleet, n, &path),
            (200, answer.body.clone()),
            "p{n}"
        );
        assert_eq!(
            fleet.triggers(n).unwrap(),
            BTreeSet::from([path.clone(), second.clone()]),
            "p{n}"
        );
        assert!(floor(&fleet, n, &objects[59]), "p{n}");
    }
    // All at once, with their disks: what stands on these is read again.
    (0..3).for_each(|n| fleet.kill(n).unwrap());
    (0..3).for_each(|n| fleet.restart(n, Disk::Kept).unwrap());
    assert!((0..3).all(|n| status_of(&fleet, n, &path) == (200, answer.body.clone())));
    let third = status_path(&fleet.trigger(0, &all[..1]).unwrap()).expect("it is promised");
    assert!(third != path && third != second);
}

/// A neighbour has done with a status and says so at another proxy than it told. It stays gone, whoever is lost and
/// whoever was away meanwhile.
#[test]
fn a_status_that_a_neighbour_has_done_with_does_not_come_back() {
    let mut fleet = copying(3, 81);
    let path = status_path(&fleet.trigger(0, &[&object(2100)]).unwrap()).expect("it is promised");
    agree("all have it", &fleet);
    fleet.kill(2).unwrap();
    assert_eq!(fleet.cdni_call(1, "DELETE", &path).unwrap().status, 204);
    until("it is gone at the proxy that was told", || {
        status_of(&fleet, 0, &path).0 == 404
    });
    fleet.kill(1).unwrap();
    fleet.restart(1, Disk::Lost).unwrap();
    fleet.restart(2, Disk::Kept).unwrap();
    agree("all agree", &fleet);
    for n in 0..3 {
        assert_eq!(status_of(&fleet, n, &path).0, 404, "p{n}");
        assert!(fleet.triggers(n).unwrap().is_empty(), "p{n}");
        assert!(
            floor(&fleet, n, &object(2100)),
            "p{n}: its purge holds for good"
        );
    }
}

/// A trigger that could not be promised is none, at any proxy, also once the links are back; one that is refused as such
/// is a promise too, as its status is.
#[test]
fn a_trigger_that_was_not_promised_is_told_by_nobody() {
    let fleet = copying(3, 82);
    fleet.links.split(&[0], LinkConditions::CUT);
    assert_eq!(fleet.purge(0, &object(2200)).unwrap(), 503);
    assert!(fleet.triggers(0).unwrap().is_empty());
    let odd =
        r#"{"trigger": {"type": "purge", "content.patterns": ["*"]}, "cdn-path": ["AS64501:0"]}"#;
    let cdni = fleet.process(0).unwrap().cdni;
    let failed = || call(cdni, "POST", "/cdni/triggers", odd).unwrap();
    assert_eq!(
        failed().status,
        503,
        "nobody else could tell what became of it"
    );
    fleet.links.split(&[0], LinkConditions::default());
    let path = status_path(&failed()).expect("it is promised");
    agree("all agree", &fleet);
    for n in 0..3 {
        assert_eq!(
            fleet.triggers(n).unwrap(),
            BTreeSet::from([path.clone()]),
            "p{n}"
        );
        let (status, body) = status_of(&fleet, n, &path);
        assert_eq!(
            (status, String::from_utf8(body).unwrap().contains("ereject")),
            (200, true),
            "p{n}"
        );
    }
}
