//! Simulates fleets of up to a hundred routers that react to the same failure at once.

mod common;
use common::world::*;
use common::*;
use linnetknot::*;

fn caches(w: &FleetSimulation, zone: usize) -> Vec<ServerId> {
    let of_zone = w
        .servers
        .iter()
        .filter(|(id, server)| server.zone == zone && !PARENTS.contains(id) && **id != ORIGIN);
    of_zone.map(|(id, _)| *id).collect()
}

fn max_overload(w: &FleetSimulation) -> f64 {
    w.servers
        .values()
        .map(|server| server.max_overload)
        .fold(0.0, f64::max)
}

/// Simulates a zone whose caches fail silently at 6 s, are reported gone at 9 s and return empty at 11 s.
fn zone_loss(proxies: usize, link_capacity: f64) -> FleetSimulation {
    let mut w = FleetSimulation::new(6, proxies, 4, 16.0, 5);
    w.link_capacity = link_capacity;
    [6, 9, 11]
        .into_iter()
        .for_each(|s| w.schedule_callback(s * S, s));
    w.run(30 * S, |w, notice| {
        let zone = caches(w, 1);
        let entries = |w: &FleetSimulation, state| {
            zone.iter()
                .map(|id| w.entry(*id, state))
                .collect::<Vec<_>>()
        };
        match notice {
            Notice::Call(6) => w
                .servers
                .values_mut()
                .filter(|server| server.zone == 1)
                .for_each(|server| server.vanished = true),
            Notice::Call(9) => w.publish(0, ListMode::Delta, &entries(w, State::Gone)),
            Notice::Call(_) => {
                let now = w.now;
                zone.iter()
                    .for_each(|id| w.add_server(*id, 1, 8.0, Some(now)));
                w.publish(0, ListMode::Delta, &entries(w, State::Ready));
            }
            Notice::Outcome(_) => {}
        }
    });
    w
}
/// Simulates the replacement of three in five caches of each zone by empty caches within 7 s, reported after a delay.
fn cache_replacement(proxies: usize, delay: Micros) -> FleetSimulation {
    let mut w = FleetSimulation::new(6, proxies, 5, 8.0, 5);
    w.link_capacity = 1e3;
    (0..7).for_each(|n| w.schedule_callback((6 + n) * S, n));
    w.run(24 * S, |w, notice| {
        let Notice::Call(n) = notice else { return };
        let now = w.now;
        let mut entries = Vec::new();
        for zone in 1..=6 {
            let leaves = |id: &ServerId| *id < 100 && id % 10 < 3 && (id / 10 + id % 10) % 7 == n;
            for id in caches(w, zone).into_iter().filter(leaves) {
                w.servers.get_mut(&id).expect("a known cache").up = false;
                entries.push(w.entry(id, State::Gone));
                w.add_server(id + 100, zone, 8.0, Some(now));
                entries.push(w.entry(id + 100, State::Ready));
            }
        }
        w.publish(delay, ListMode::Delta, &entries);
    });
    w
}

/// Simulates that all caches lose their copies at 10 s, with links of this capacity.
fn caches_cleared(zones: usize, proxies: usize, link_capacity: f64) -> FleetSimulation {
    let mut w = FleetSimulation::new(zones, proxies, 4, 8.0, 5);
    w.link_capacity = link_capacity;
    w.schedule_callback(10 * S, 0);
    w.run(24 * S, |w, notice| {
        if let Notice::Call(_) = notice {
            w.servers
                .values_mut()
                .filter(|server| server.zone > 0)
                .for_each(|server| server.cached.clear());
        }
    });
    w
}

/// Returns the requests of these seconds that failed or were answered late.
fn count_missed(w: &FleetSimulation, seconds: std::ops::Range<usize>) -> u32 {
    w.sum(seconds, |s| s.failed + s.late)
}

/// Guards against budget shares that leave a returned zone half idle while it refuses requests.
#[test]
fn a_zone_restarted_cold_is_well_used_and_never_overloaded() {
    let w = zone_loss(12, 1e3);
    let max_overload_seen = max_overload(&w);
    assert!(
        (0.4..0.8).contains(&max_overload_seen),
        "its caches received up to {max_overload_seen} of the load that makes them fail"
    );
    let (failed, requests) = (
        w.sum(11..20, |s| s.failed),
        w.sum(11..20, |s| s.requests) / 6,
    );
    assert!(
        failed < 600,
        "{failed} of {requests} refused in the nine seconds after the return"
    );
    let (missed, requests) = (count_missed(&w, 20..29), w.sum(20..29, |s| s.requests));
    assert!(
        200 * missed < requests,
        "{missed} of {requests} failed or late afterwards"
    );
    let wasted = w.sum(6..11, |s| s.wasted_attempts);
    assert!(
        wasted < w.sum(6..9, |s| s.requests) / 3,
        "{wasted} attempts at silent caches"
    );
}

#[test]
fn replacing_three_in_five_caches_in_seven_seconds_fails_less_than_one_percent() {
    for proxies in [3, 8, 16] {
        let w = cache_replacement(proxies, 300 * MS);
        let (missed, requests) = (count_missed(&w, 6..18), w.sum(6..18, |s| s.requests));
        assert!(
            100 * missed < requests,
            "{proxies} proxies: {missed} of {requests} failed or late"
        );
        assert!(
            max_overload(&w) < 0.8,
            "{proxies} proxies: overload {}",
            max_overload(&w)
        );
        // Eighteen caches, each used by the proxies of its own zone only.
        let wasted = w.sum(6..18, |s| s.wasted_attempts);
        assert!(
            wasted as usize <= 18 * proxies,
            "{proxies} proxies: {wasted} attempts at removed caches"
        );
    }
}

/// The server list is updated 3 s late or not at all, so the proxies have to detect the replaced caches by failed
/// attempts. Each such trial may cost only a single attempt.
#[test]
fn late_or_absent_discovery_during_a_release_costs_trials_but_few_requests() {
    for (delay, trials) in [(3 * S, 3), (100 * S, 8)] {
        for proxies in [3, 8, 16] {
            let w = cache_replacement(proxies, delay);
            let (missed, requests) = (count_missed(&w, 6..18), w.sum(6..18, |s| s.requests));
            assert!(
                50 * missed < requests,
                "list {delay} us late, {proxies} proxies: {missed} of {requests} failed or late"
            );
            let wasted = w.sum(6..18, |s| s.wasted_attempts);
            assert!(
                wasted as usize <= trials * 18 * proxies,
                "list {delay} us late, {proxies} proxies: {wasted} attempts at removed caches"
            );
        }
    }
}

/// The list adds caches that do not exist and removes caches that do. Removed caches must not be used, which the
/// simulation asserts, and attempts at caches that do not exist must be rare.
#[test]
fn wrong_discovery_costs_few_attempts_per_absent_cache() {
    let mut w = FleetSimulation::new(6, 16, 4, 8.0, 5);
    w.link_capacity = 1e3;
    w.schedule_callback(6 * S, 0);
    w.run(16 * S, |w, notice| {
        let Notice::Call(_) = notice else { return };
        let mut entries = Vec::new();
        for zone in 1..=6 {
            entries.push(w.entry(caches(w, zone)[0], State::Gone));
            let absent = 500 + zone as u64;
            w.add_server(absent, zone, 8.0, None);
            w.servers.get_mut(&absent).expect("just put").up = false;
            entries.push(w.entry(absent, State::Ready));
        }
        w.publish(0, ListMode::Delta, &entries);
    });
    let (missed, requests) = (count_missed(&w, 6..15), w.sum(6..15, |s| s.requests));
    assert!(
        100 * missed < requests,
        "{missed} of {requests} failed or late"
    );
    let wasted = w.sum(6..15, |s| s.wasted_attempts);
    assert!(
        (96..=96 * 5).contains(&wasted),
        "{wasted} attempts of 96 proxies at six absent caches"
    );
}

/// All proxies send fills at the same time. Guards against congestion estimates that remain high after the congestion
/// has ended.
#[test]
fn a_link_congested_by_clearing_all_caches_recovers_within_four_seconds() {
    for (proxies, link_capacity, max_missed) in [(8, 6.0, 120), (16, 12.0, 90)] {
        let w = caches_cleared(6, proxies, link_capacity);
        let missed = count_missed(&w, 10..23);
        assert!(
            missed < max_missed,
            "{proxies} proxies: {missed} of {} failed or late",
            w.sum(10..23, |s| s.requests)
        );
        assert!(
            count_missed(&w, 14..23) < 30,
            "{proxies} proxies: {} failed or late after four seconds",
            count_missed(&w, 14..23)
        );
    }
}
