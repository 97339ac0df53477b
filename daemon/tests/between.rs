//! Several processes of the daemon with gates between them: links that lose, cut and delay, peers that stand still,
//! processes killed and started again. What each of them was told of a purge is what it must keep, and what it was
//! not told of it can't.

use linnetknot_rehearse::fleet::{Disk, Fleet};
use linnetknot_rehearse::gates::Weather;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

const DAEMON: &str = env!("CARGO_BIN_EXE_linnetknot");

fn fleet(proxies: usize, seed: u64) -> Fleet {
    Fleet::start(Path::new(DAEMON), proxies, seed, |_, _| {}).unwrap()
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
    let lost: u64 = (1..4).map(|b| fleet.gates.tally((0, b)).lost).sum();
    assert!(lost > 0, "else the links were clear");
}

/// What passes is told in one direction only: the proxy behind the cut goes on with its copy, which the others have
/// let go. This is what the fleet's copies of purges are to end.
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
    fleet.ask(0, &object).unwrap();
    let asked = |fleet: &Fleet| {
        let all = fleet.boxes.iter().flat_map(|b| b.arrivals());
        let last = all.filter(|a| a.field("key") == Some(&object)).max_by_key(|a| a.at);
        last.and_then(|a| a.field("maxage").map(str::to_owned))
    };
    assert!(asked(&fleet).is_some(), "the floor is asked for after a kill");
    fleet.kill(0).unwrap();
    fleet.restart(0, Disk::Lost).unwrap();
    while SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64 <= made + 50 {}
    fleet.ask(0, &object).unwrap();
    assert!(asked(&fleet).is_none(), "the disk had the only copy of the promise");
    for n in 0..3 {
        assert!(fleet.end(n).unwrap(), "p{n} ends well");
    }
}
