//! Simulated fleets with an origin that becomes slow, with and without reports between the proxies.

#[path = "../../tests/common/mod.rs"]
mod common;

use common::world::{FleetSimulation, Notice};
use common::S;
use linnetknot::Event;
use linnetknot_origin_health::{OriginHealth, OriginShare, ZonePosition};

const ZONES: usize = 12;

/// The outcome of a run of 20 s, in which the origin is slow from 6 s to 14 s.
struct Outcome {
    requests: u32,
    in_time: u32,
    /// Fills requested from the origin in the second second of the slow phase.
    fills_in_second: u32,
    reports: u64,
}

fn slow_origin(proxies_per_zone: usize, sends_reports: bool) -> Outcome {
    let mut world = FleetSimulation::new(ZONES, proxies_per_zone, 4, 8.0, 11);
    (world.object_count, world.origin_requests_per_s) = (10_000.0, 1e4);
    let requests_per_s = (ZONES * proxies_per_zone) as f64 * 8.0;
    let zone = |n: usize| ZonePosition {
        zone: (n / proxies_per_zone) as u16,
        zones: ZONES as u16,
    };
    let address = |n: usize| ([10, 0, (n / 250) as u8, (n % 250) as u8], 7946).into();
    let mut members: Vec<OriginHealth> = (0..ZONES * proxies_per_zone)
        .map(|n| OriginHealth::new(zone(n), 1))
        .collect();
    world.schedule_callback(6 * S, 1);
    world.schedule_callback(14 * S, 2);
    world.run(20 * S, |world, event| match event {
        Notice::Call(1) => world.origin_requests_per_s = requests_per_s / 10.0,
        Notice::Call(_) => world.origin_requests_per_s = 1e4,
        Notice::Outcome(n) => {
            let (now, found) = (
                world.now,
                world.proxies[n].router.take_origin_share_report(),
            );
            let Some(report) = found
                .filter(|_| sends_reports)
                .and_then(|share| members[n].record_late_response(now, share))
            else {
                return;
            };
            for (other, member) in members
                .iter_mut()
                .enumerate()
                .filter(|(other, _)| *other != n)
            {
                member.receive(now, address(n), &report);
                if let Some(OriginShare { share, until }) = member.origin_share(now) {
                    world.feed(
                        other,
                        Event::OriginShareLimit {
                            origin_share: share,
                            valid_for_us: until - now,
                        },
                    );
                }
            }
        }
    });
    let reports = members.iter().map(|member| member.counters().sent).sum();
    let slow_seconds = 6..16;
    Outcome {
        requests: world.sum(slow_seconds.clone(), |s| s.requests),
        in_time: world.sum(slow_seconds, |s| s.in_time),
        fills_in_second: world.counts_by_second[7].origin_requests,
        reports,
    }
}

/// Guards against proxies that keep sending requests to a slow origin until each has received a late response itself.
#[test]
fn reports_reduce_the_load_on_a_slow_origin_sooner() {
    let (without_reports, with_reports) = (slow_origin(8, false), slow_origin(8, true));
    assert_eq!(
        (without_reports.reports, without_reports.requests),
        (0, with_reports.requests)
    );
    let ratio =
        f64::from(with_reports.fills_in_second) / f64::from(without_reports.fills_in_second);
    assert!(
        ratio < 0.7,
        "fills in the second second with reports: {}, without: {}",
        with_reports.fills_in_second,
        without_reports.fills_in_second
    );
    assert!(
        with_reports.in_time > without_reports.in_time,
        "requests served in time with reports: {}, without: {}",
        with_reports.in_time,
        without_reports.in_time
    );
}

#[test]
fn the_number_of_reports_grows_with_zones_and_not_with_proxies() {
    let (small, large) = (slow_origin(4, true), slow_origin(20, true));
    assert!(
        small.reports > 0 && large.reports < 3 * small.reports,
        "reports of a small fleet: {}, of a large one: {}",
        small.reports,
        large.reports
    );
    // While the origin is slow, each zone sends at most two reports per second.
    assert!(large.reports <= 2 * 10 * ZONES as u64);
}
