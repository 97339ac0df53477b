//! Several processes of the daemon with gates between them: links that lose, cut and delay, peers that stand still,
//! processes killed and started again. What each of them was told of a purge is what it must keep, and what it was
//! not told of it can't.

use linnetknot_rehearse::fleet::{Disk, Fleet};
use linnetknot_rehearse::gates::Weather;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

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

/// Every proxy has served this copy, and its millisecond is over: a purge told now is later.
fn warm(fleet: &Fleet, object: &str) -> u64 {
    let made = (0..fleet.len()).map(|n| fleet.ask(n, object).unwrap().made().unwrap()).max().unwrap();
    while SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64 <= made + 1 {}
    made
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
        let made = warm(&fleet, &object);
        assert_eq!(fleet.purge(n as usize, &object).unwrap(), 201);
        // Each datagram goes three times, and by this seed one of the three comes on every link.
        for proxy in 0..4 {
            assert!(fleet.serves_newer(proxy, &object, made).unwrap(), "p{proxy}, purge {n}");
        }
    }
    // All three have gone by then.
    while (1..4).any(|b| fleet.gates.tally((0, b)).sent < 3) {}
    let lost: u64 = (1..4).map(|b| fleet.gates.tally((0, b)).lost).sum();
    assert!(lost > 0, "else the links were clear");
}

/// What passes is told in one direction only: the proxy behind the cut goes on with its copy, which the others have
/// let go. This is what the fleet's copies of purges end, where they are on.
#[test]
fn a_one_way_cut_keeps_a_purge_from_one_process_and_from_no_other() {
    let fleet = fleet(3, 5);
    let (object, after) = (object(1), object(2));
    let made = warm(&fleet, &object);
    fleet.gates.set((0, 2), Weather::CUT);
    assert_eq!(fleet.purge(0, &object).unwrap(), 201);
    assert!(fleet.serves_newer(0, &object, made).unwrap() && fleet.serves_newer(1, &object, made).unwrap());
    assert!(fleet.gates.tally((0, 2)).came == 0 && fleet.gates.tally((0, 1)).came > 0);
    // The other way is open: what it tells is heard.
    let made = warm(&fleet, &after);
    assert_eq!(fleet.purge(2, &after).unwrap(), 201);
    assert!(fleet.serves_newer(0, &after, made).unwrap());
}

#[test]
fn a_process_that_stood_still_hears_what_was_told_meanwhile_before_it_serves() {
    let fleet = fleet(3, 7);
    let object = object(3);
    let made = warm(&fleet, &object);
    fleet.stall(1).unwrap();
    assert_eq!(fleet.purge(0, &object).unwrap(), 201);
    assert!(fleet.serves_newer(2, &object, made).unwrap());
    // All three datagrams have reached its socket.
    while fleet.gates.tally((0, 1)).came < 3 {}
    fleet.go_on(1).unwrap();
    assert!(fleet.serves_newer(1, &object, made).unwrap(), "it goes on and has heard");
}

#[test]
fn a_killed_process_keeps_the_purges_of_its_disk_and_loses_them_with_it() {
    let mut fleet = fleet(3, 9);
    let object = object(4);
    let made = warm(&fleet, &object);
    assert_eq!(fleet.purge(0, &object).unwrap(), 201);
    for n in 0..3 {
        assert!(fleet.serves_newer(n, &object, made).unwrap(), "p{n}");
    }
    // Boxes that answer with any copy and call it new are caught by the floor alone, which the disk has.
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

/// Whether a proxy holds a floor for this object: it asks its box for no copy older than something.
fn floor(fleet: &Fleet, n: usize, object: &str) -> bool {
    let before: Vec<usize> = fleet.boxes.iter().map(|b| b.arrivals().len()).collect();
    fleet.ask(n, object).unwrap();
    let mut new = fleet.boxes.iter().zip(before).flat_map(|(b, before)| b.arrivals().split_off(before));
    let asked = new.rfind(|a| a.field("key") == Some(object)).expect("a box was asked");
    asked.field("maxage").is_some()
}

#[test]
fn with_copies_a_purge_comes_to_a_process_behind_a_one_way_cut_by_way_of_another() {
    let fleet = copying(3, 21);
    let object = object(1);
    let made = warm(&fleet, &object);
    fleet.gates.set((0, 2), Weather::CUT);
    assert_eq!(fleet.purge(0, &object).unwrap(), 201);
    assert!(fleet.serves_newer(2, &object, made).unwrap(), "from 0 to 1 to 2");
    assert_eq!(fleet.gates.tally((0, 2)).came, 0);
}

#[test]
fn with_copies_a_process_that_was_away_hears_what_was_told_meanwhile() {
    let mut fleet = copying(3, 22);
    let object = object(2);
    let made = warm(&fleet, &object);
    fleet.kill(1).unwrap();
    assert_eq!(fleet.purge(0, &object).unwrap(), 201);
    // The datagrams are sent three times within 80 ms; it comes back when all of them are gone.
    while fleet.gates.tally((0, 1)).sent < 4 {}
    fleet.restart(1, Disk::Kept).unwrap();
    assert!(fleet.serves_newer(1, &object, made).unwrap());
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
    let start = std::time::Instant::now();
    while !objects.iter().all(|o| floor(&fleet, 0, o)) {
        assert!(start.elapsed().as_secs() < 10, "p0 has not learned its own promises again");
    }
    // It goes on writing, in a new life; both lives are everywhere.
    let later = object(40);
    assert_eq!(fleet.purge(0, &later).unwrap(), 201);
    while !(1..3).all(|n| floor(&fleet, n, &later)) {
        assert!(start.elapsed().as_secs() < 20, "the new life is not heard");
    }
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
    let start = std::time::Instant::now();
    while !(0..5).all(|n| (0..5).all(|o| floor(&fleet, n, &object(100 + o)))) {
        assert!(start.elapsed().as_secs() < 20, "the sides do not agree");
    }
}

#[test]
fn with_copies_each_purge_stands_once_in_each_file() {
    let fleet = copying(4, 25);
    let all: Vec<String> = (200..220).map(object).collect();
    for (n, object) in all.iter().enumerate() {
        assert_eq!(fleet.purge(n % 4, object).unwrap(), 201);
    }
    for n in 0..4 {
        let entries = || fleet.kept(n).unwrap().lines().filter(|l| l.starts_with("copies1 entry")).count();
        let start = std::time::Instant::now();
        while entries() < all.len() {
            assert!(start.elapsed().as_secs() < 10, "p{n} has {} of {}", entries(), all.len());
        }
        assert_eq!(entries(), all.len(), "p{n}");
    }
    // All texts that repeat them have come by then, and were known.
    while (0..4).any(|a| (0..4).any(|b| a != b && fleet.gates.tally((a, b)).came < 5 * 4)) {}
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
            while !(0..3).all(|n| entries(&fleet, n).len() == 1) {}
            fleet.kill(0).unwrap();
            fleet.restart_armed(0, disk, &format!("{point}=die")).unwrap();
            let start = std::time::Instant::now();
            // On a new machine its own promise comes back, which passes the armed point as well: it dies of that.
            let said = fleet.purge(0, &second);
            assert!(said.is_err(), "{point}: it died before it could say yes, and said {said:?}");
            fleet.kill(0).unwrap();
            fleet.restart(0, Disk::Kept).unwrap();
            let holds =
                |fleet: &Fleet, n, object: &str| entries(fleet, n).iter().any(|l| l.ends_with(object));
            loop {
                let all: Vec<_> = (0..3).map(|n| entries(&fleet, n)).collect();
                if all.iter().all(|e| *e == all[0]) && holds(&fleet, 0, &first) {
                    break;
                }
                assert!(start.elapsed().as_secs() < 20, "{point} {disk:?}: {all:?}");
            }
            assert!((0..3).all(|n| floor(&fleet, n, &first)), "{point} {disk:?}: the first was promised");
            if disk == Disk::Kept {
                assert_eq!(holds(&fleet, 1, &second), written || told, "{point} {disk:?}");
            }
        }
    }
}
