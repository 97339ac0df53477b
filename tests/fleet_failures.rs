//! A hundred routers together, on virtual time: what each may do alone, and all of them do at once.

mod common;
use common::world::*;
use common::*;
use linnetknot::*;

fn caches(w: &FleetSimulation, zone: usize) -> Vec<ServerId> {
    let of_zone = w
        .servers
        .iter()
        .filter(|(id, b)| b.zone == zone && !PARENTS.contains(id) && **id != ORIGIN);
    of_zone.map(|(id, _)| *id).collect()
}

fn max_overload(w: &FleetSimulation) -> f64 {
    w.servers
        .values()
        .map(|b| b.max_overload)
        .fold(0.0, f64::max)
}

/// A zone whose caches vanish without a word at 6 s, are told to be gone at 9 s and come back cold at 11 s.
fn zone_lost(proxies: usize, link_capacity: f64) -> FleetSimulation {
    let mut w = FleetSimulation::new(6, proxies, 4, 16.0, 5);
    w.link_capacity = link_capacity;
    [6, 9, 11]
        .into_iter()
        .for_each(|s| w.schedule_callback(s * S, s));
    w.run(30 * S, |w, notify| {
        let zone = caches(w, 1);
        let word = |w: &FleetSimulation, state| {
            zone.iter()
                .map(|id| w.entry(*id, state))
                .collect::<Vec<_>>()
        };
        match notify {
            Notice::Call(6) => w
                .servers
                .values_mut()
                .filter(|b| b.zone == 1)
                .for_each(|b| b.vanished = true),
            Notice::Call(9) => w.publish(0, ListMode::Delta, &word(w, State::Gone)),
            Notice::Call(_) => {
                let now = w.now;
                zone.iter()
                    .for_each(|id| w.add_server(*id, 1, 8.0, Some(now)));
                w.publish(0, ListMode::Delta, &word(w, State::Ready));
            }
            Notice::Outcome(_) => {}
        }
    });
    w
}
/// Three in five caches of each zone are replaced by cold ones within 7 s; the word comes this late.
fn replaced(proxies: usize, late: Micros) -> FleetSimulation {
    let mut w = FleetSimulation::new(6, proxies, 5, 8.0, 5);
    w.link_capacity = 1e3;
    (0..7).for_each(|n| w.schedule_callback((6 + n) * S, n));
    w.run(24 * S, |w, notify| {
        let Notice::Call(n) = notify else { return };
        let now = w.now;
        let mut word = Vec::new();
        for zone in 1..=6 {
            let leaves = |id: &ServerId| *id < 100 && id % 10 < 3 && (id / 10 + id % 10) % 7 == n;
            for id in caches(w, zone).into_iter().filter(leaves) {
                w.servers.get_mut(&id).expect("it is there").up = false;
                word.push(w.entry(id, State::Gone));
                w.add_server(id + 100, zone, 8.0, Some(now));
                word.push(w.entry(id + 100, State::Ready));
            }
        }
        w.publish(late, ListMode::Delta, &word);
    });
    w
}

/// All copies in caches are void at 10 s, while a location's link fits this.
fn void(zones: usize, proxies: usize, link_capacity: f64) -> FleetSimulation {
    let mut w = FleetSimulation::new(zones, proxies, 4, 8.0, 5);
    w.link_capacity = link_capacity;
    w.schedule_callback(10 * S, 0);
    w.run(24 * S, |w, notify| {
        if let Notice::Call(_) = notify {
            w.servers
                .values_mut()
                .filter(|b| b.zone > 0)
                .for_each(|b| b.cached.clear());
        }
    });
    w
}

/// Requests of these seconds that were not answered while they were wanted.
fn missed(w: &FleetSimulation, seconds: std::ops::Range<usize>) -> u32 {
    w.sum(seconds, |s| s.failed + s.late)
}

/// With a part of the budget that none of many may use up, a zone that is back stays half idle while it refuses.
#[test]
fn a_zone_restarted_cold_is_well_used_and_never_overloaded() {
    let w = zone_lost(12, 1e3);
    let most = max_overload(&w);
    assert!(
        (0.4..0.8).contains(&most),
        "its caches were sent {most} of what makes them fall"
    );
    let (lost, asked) = (
        w.sum(11..20, |s| s.failed),
        w.sum(11..20, |s| s.requests) / 6,
    );
    assert!(
        lost < 600,
        "{lost} of {asked} refused in the nine seconds after"
    );
    let (late, asked) = (missed(&w, 20..29), w.sum(20..29, |s| s.requests));
    assert!(
        200 * late < asked,
        "then it is as before: {late} of {asked}"
    );
    let vain = w.sum(6..11, |s| s.wasted_attempts);
    assert!(
        vain < w.sum(6..9, |s| s.requests) / 3,
        "{vain} attempts at caches that are not there"
    );
}

#[test]
fn replacing_three_in_five_caches_in_seven_seconds_fails_less_than_one_percent() {
    for proxies in [3, 8, 16] {
        let w = replaced(proxies, 300 * MS);
        let (lost, asked) = (missed(&w, 6..18), w.sum(6..18, |s| s.requests));
        assert!(100 * lost < asked, "{proxies}: {lost} of {asked}");
        assert!(max_overload(&w) < 0.8, "{proxies}: {}", max_overload(&w));
        // Eighteen caches, each known to the proxies of its own zone alone.
        let vain = w.sum(6..18, |s| s.wasted_attempts);
        assert!(
            vain as usize <= 18 * proxies,
            "{proxies}: {vain} attempts at caches that had left"
        );
    }
}

/// The list is 3 s late, or never comes: what a proxy finds out has to do. Its trials cost one attempt each.
#[test]
fn late_or_absent_discovery_during_a_release_costs_trials_but_few_requests() {
    for (late, trials) in [(3 * S, 3), (100 * S, 8)] {
        for proxies in [3, 8, 16] {
            let w = replaced(proxies, late);
            let (lost, asked) = (missed(&w, 6..18), w.sum(6..18, |s| s.requests));
            assert!(50 * lost < asked, "{late} {proxies}: {lost} of {asked}");
            let vain = w.sum(6..18, |s| s.wasted_attempts);
            assert!(
                vain as usize <= trials * 18 * proxies,
                "{late} {proxies}: {vain} attempts in vain"
            );
        }
    }
}

/// The list names caches that are not there, and takes others away that are: what it takes away is left alone (the
/// world sees to that), what it adds wrongly is tried and then left alone.
#[test]
fn wrong_discovery_costs_few_attempts_per_absent_cache() {
    let mut w = FleetSimulation::new(6, 16, 4, 8.0, 5);
    w.link_capacity = 1e3;
    w.schedule_callback(6 * S, 0);
    w.run(16 * S, |w, notify| {
        let Notice::Call(_) = notify else { return };
        let mut word = Vec::new();
        for zone in 1..=6 {
            word.push(w.entry(caches(w, zone)[0], State::Gone));
            let ghost = 500 + zone as u64;
            w.add_server(ghost, zone, 8.0, None);
            w.servers.get_mut(&ghost).expect("just put").up = false;
            word.push(w.entry(ghost, State::Ready));
        }
        w.publish(0, ListMode::Delta, &word);
    });
    let (lost, asked) = (missed(&w, 6..15), w.sum(6..15, |s| s.requests));
    assert!(100 * lost < asked, "{lost} of {asked}");
    let vain = w.sum(6..15, |s| s.wasted_attempts);
    assert!(
        (96..=96 * 5).contains(&vain),
        "{vain} attempts of 96 proxies at six caches that are not there"
    );
}

/// All proxies fill at once. What a fill told of the crowd must not count for longer than the crowd lasts.
#[test]
fn a_link_congested_by_clearing_all_caches_recovers_within_four_seconds() {
    for (proxies, link_capacity, most) in [(8, 6.0, 120), (16, 12.0, 90)] {
        let w = void(6, proxies, link_capacity);
        let lost = missed(&w, 10..23);
        assert!(
            lost < most,
            "{proxies}: {lost} of {}",
            w.sum(10..23, |s| s.requests)
        );
        assert!(
            missed(&w, 14..23) < 30,
            "{proxies}: {} after four seconds",
            missed(&w, 14..23)
        );
    }
}
