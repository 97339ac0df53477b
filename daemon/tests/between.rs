//! Several processes of the daemon with gates between them: links that lose, cut and delay, peers that stand still,
//! processes killed and started again. What each of them was told of a purge is what it must keep, and what it was
//! not told of it can't.

use linnetknot_rehearse::clients::PATIENCE;
use linnetknot_rehearse::fleet::{Disk, Fleet};
use linnetknot_rehearse::gates::Weather;
use std::path::Path;
use std::time::Instant;

const DAEMON: &str = env!("CARGO_BIN_EXE_linnetknot");

fn fleet(proxies: usize, seed: u64) -> Fleet {
    Fleet::start(Path::new(DAEMON), proxies, seed, false).unwrap()
}

/// Proxies that copy what neighbours told.
fn copying(proxies: usize, seed: u64) -> Fleet {
    Fleet::start(Path::new(DAEMON), proxies, seed, true).unwrap()
}

fn object(n: u64) -> String {
    format!("{n:016x}")
}

/// Waits until something is so; a test whose cause has gone must fail and not stand still.
fn until(what: &str, mut so: impl FnMut() -> bool) {
    let start = Instant::now();
    while !so() {
        assert!(start.elapsed() < PATIENCE, "never: {what}");
    }
}

fn floor(fleet: &Fleet, n: usize, object: &str) -> bool {
    fleet.holds_floor(n, object).unwrap()
}

#[test]
fn a_purge_told_at_one_process_reaches_all_over_links_that_lose_double_and_reorder() {
    let rough = Weather { drop: 0.4, duplicate: 0.5, reorder: 0.5, jitter_ms: 20.0, ..Weather::default() };
    let fleet = fleet(4, 11);
    for a in 0..4 {
        (0..4).filter(|b| *b != a).for_each(|b| fleet.gates.set((a, b), rough));
    }
    for n in 0..3 {
        let object = object(n);
        assert_eq!(fleet.purge(n as usize, &object).unwrap(), 201);
        // Each datagram goes three times, and by this seed one of the three comes on every link.
        for proxy in 0..4 {
            assert!(fleet.hears(proxy, &object).unwrap(), "p{proxy}, purge {n}");
        }
    }
    // All three have gone by then.
    until("all three are sent", || (1..4).all(|b| fleet.gates.tally((0, b)).sent >= 3));
    let lost: u64 = (1..4).map(|b| fleet.gates.tally((0, b)).lost).sum();
    assert!(lost > 0, "else the links were clear");
}

/// What passes is told in one direction only: the proxy behind the cut goes on with its copy, which the others have
/// let go. This is what the fleet's copies of purges end, where they are on.
#[test]
fn a_one_way_cut_keeps_a_purge_from_one_process_and_from_no_other() {
    let fleet = fleet(3, 5);
    let (object, after) = (object(1), object(2));
    fleet.gates.set((0, 2), Weather::CUT);
    assert_eq!(fleet.purge(0, &object).unwrap(), 201);
    assert!(fleet.hears(0, &object).unwrap() && fleet.hears(1, &object).unwrap());
    assert!(fleet.gates.tally((0, 2)).came == 0 && fleet.gates.tally((0, 1)).came > 0);
    assert!(!floor(&fleet, 2, &object), "what is behind the cut has no word");
    // The other way is open: what it tells is heard.
    assert_eq!(fleet.purge(2, &after).unwrap(), 201);
    assert!(fleet.hears(0, &after).unwrap());
}

#[test]
fn a_process_that_stood_still_hears_what_was_told_meanwhile() {
    let fleet = fleet(3, 7);
    let object = object(3);
    fleet.stall(1).unwrap();
    assert_eq!(fleet.purge(0, &object).unwrap(), 201);
    assert!(fleet.hears(2, &object).unwrap());
    // All three datagrams have reached its socket.
    until("all three came", || fleet.gates.tally((0, 1)).came >= 3);
    fleet.go_on(1).unwrap();
    assert!(fleet.hears(1, &object).unwrap(), "it goes on and has heard");
}

#[test]
fn a_killed_process_keeps_the_purges_of_its_disk_and_loses_them_with_it() {
    let mut fleet = fleet(3, 9);
    let object = object(4);
    assert_eq!(fleet.purge(0, &object).unwrap(), 201);
    for n in 0..3 {
        assert!(fleet.hears(n, &object).unwrap(), "p{n}");
    }
    fleet.kill(0).unwrap();
    fleet.restart(0, Disk::Kept).unwrap();
    assert!(floor(&fleet, 0, &object), "the floor is asked for after a kill");
    fleet.kill(0).unwrap();
    fleet.restart(0, Disk::Lost).unwrap();
    assert!(!floor(&fleet, 0, &object), "the disk had the only copy of the promise");
    for n in 0..3 {
        assert!(fleet.end(n).unwrap(), "p{n} ends well");
    }
}

#[test]
fn with_copies_a_purge_comes_to_a_process_behind_a_one_way_cut_by_way_of_another() {
    let fleet = copying(3, 21);
    let object = object(1);
    fleet.gates.set((0, 2), Weather::CUT);
    assert_eq!(fleet.purge(0, &object).unwrap(), 201);
    assert!(fleet.hears(2, &object).unwrap(), "from 0 to 1 to 2");
    assert_eq!(fleet.gates.tally((0, 2)).came, 0);
}

#[test]
fn with_copies_a_process_that_was_away_hears_what_was_told_meanwhile() {
    let mut fleet = copying(3, 22);
    let object = object(2);
    fleet.kill(1).unwrap();
    assert_eq!(fleet.purge(0, &object).unwrap(), 201);
    // The datagrams are sent three times within 80 ms; it comes back when all of them are gone.
    until("all of them are sent", || fleet.gates.tally((0, 1)).sent >= 4);
    fleet.restart(1, Disk::Kept).unwrap();
    assert!(fleet.hears(1, &object).unwrap());
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
        assert!(objects.iter().all(|o| floor(&fleet, n, o)), "p{n} holds what p0 promised");
    }
    fleet.kill(0).unwrap();
    fleet.restart(0, Disk::Lost).unwrap();
    until("p0 learns its own promises again", || objects.iter().all(|o| floor(&fleet, 0, o)));
    // It goes on writing, in a new life; both lives are everywhere.
    let later = object(40);
    assert_eq!(fleet.purge(0, &later).unwrap(), 201);
    until("the new life is heard", || (1..3).all(|n| floor(&fleet, n, &later)));
}

#[test]
fn with_copies_both_sides_of_a_split_agree_after_it() {
    let mut fleet = copying(5, 24);
    fleet.gates.split(&[0, 1], Weather::CUT);
    for n in 0..5 {
        assert_eq!(fleet.purge(n, &object(100 + n as u64)).unwrap(), 201);
    }
    // Each side is started again in it, one of its proxies without its disk: what it promised, the others hold.
    assert!(floor(&fleet, 1, &object(100)) && floor(&fleet, 3, &object(104)));
    fleet.kill(0).unwrap();
    fleet.restart(0, Disk::Lost).unwrap();
    fleet.kill(4).unwrap();
    fleet.restart(4, Disk::Kept).unwrap();
    assert!((0..2).all(|n| !floor(&fleet, n, &object(102))), "nothing passes the split");
    fleet.gates.split(&[0, 1], Weather::default());
    until("the sides agree", || (0..5).all(|n| (0..5).all(|o| floor(&fleet, n, &object(100 + o)))));
}

#[test]
fn with_copies_each_purge_stands_once_in_each_file() {
    let fleet = copying(4, 25);
    let all: Vec<String> = (200..220).map(object).collect();
    for (n, object) in all.iter().enumerate() {
        assert_eq!(fleet.purge(n % 4, object).unwrap(), 201);
    }
    for n in 0..4 {
        until("each purge is in each file", || entries(&fleet, n).len() >= all.len());
        assert_eq!(entries(&fleet, n).len(), all.len(), "p{n}");
    }
    // All texts that repeat them have come by then, and were known.
    let came = |a, b| a == b || fleet.gates.tally((a, b)).came >= 5 * 4;
    until("all texts came", || (0..4).all(|a| (0..4).all(|b| came(a, b))));
    assert!((0..4).all(|n| fleet.kept(n).unwrap().lines().count() == 1 + all.len()));
}

/// The purges that a proxy's file has, in any order.
fn entries(fleet: &Fleet, n: usize) -> std::collections::BTreeSet<String> {
    let text = fleet.kept(n).unwrap_or_default();
    text.lines().filter(|l| l.starts_with("copies1 entry")).map(str::to_owned).collect()
}

/// The writer dies at each point of its promise, and comes back with its disk or on a new machine. What the neighbour
/// was told yes of holds at all; what it was not told of holds at all or at none.
#[test]
fn a_writer_that_dies_at_any_point_of_a_promise_leaves_all_in_agreement() {
    // Whether the purge is on the disk and whether it was told, once the process has died at that point.
    let points =
        [("ledger-writes", false, false), ("ledger-written", true, false), ("peers-told", true, true)];
    for (seed, (point, written, told)) in points.into_iter().enumerate() {
        for disk in [Disk::Kept, Disk::Lost] {
            let mut fleet = copying(3, 30 + seed as u64);
            let (first, second) = (object(300), object(301));
            assert_eq!(fleet.purge(0, &first).unwrap(), 201);
            until("all have the first", || (0..3).all(|n| entries(&fleet, n).len() == 1));
            fleet.kill(0).unwrap();
            fleet.restart_armed(0, disk, &format!("{point}=die")).unwrap();
            // On a new machine its own promise comes back, which passes the armed point as well: it dies of that.
            let said = fleet.purge(0, &second);
            assert!(said.is_err(), "{point}: it died before it could say yes, and said {said:?}");
            fleet.kill(0).unwrap();
            fleet.restart(0, Disk::Kept).unwrap();
            let holds =
                |fleet: &Fleet, n, object: &str| entries(fleet, n).iter().any(|l| l.ends_with(object));
            until(&format!("{point} {disk:?}: all agree, on the first too"), || {
                let all: Vec<_> = (0..3).map(|n| entries(&fleet, n)).collect();
                all.iter().all(|e| *e == all[0]) && holds(&fleet, 0, &first)
            });
            assert!((0..3).all(|n| floor(&fleet, n, &first)), "{point} {disk:?}: the first was promised");
            if disk == Disk::Kept {
                assert_eq!(holds(&fleet, 1, &second), written || told, "{point} {disk:?}");
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
    fleet.restart_armed(0, Disk::Kept, "peers-told=stall").unwrap();
    let (fleet, object) = (&fleet, object(310));
    std::thread::scope(|scope| {
        let said = scope.spawn(|| fleet.purge(0, &object));
        assert!(fleet.hears(1, &object).unwrap() && fleet.hears(2, &object).unwrap());
        assert!(!said.is_finished(), "no yes from a process that stands still");
        fleet.go_on(0).unwrap();
        assert_eq!(said.join().unwrap().unwrap(), 201);
    });
    assert!(floor(fleet, 0, &object));
}
