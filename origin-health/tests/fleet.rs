//! A fleet whose origin turns slow, on virtual time, with and without reports between its proxies.

#[path = "../../tests/common/mod.rs"]
mod common;

use common::world::{FleetSimulation, Notice};
use common::S;
use linnetknot::Event;
use linnetknot_origin_health::{OriginHealth, OriginShare, ZonePosition};

const ZONES: usize = 12;

/// The outcome of 20 s. From the sixth on the origin can serve a quarter of its load, for 8 s.
struct Outcome {
    requests: u32,
    in_time: u32,
    /// Fills requested from the origin in the second second of these.
    fills_in_second: u32,
    reports: u64,
}

fn slow_origin(proxies: usize, sends_reports: bool) -> Outcome {
    let mut world = FleetSimulation::new(ZONES, proxies, 4, 8.0, 11);
    (world.object_count, world.origin_requests_per_s) = (10_000.0, 1e4);
    let requests_per_s = (ZONES * proxies) as f64 * 8.0;
    let zone = |n: usize| ZonePosition {
        zone: (n / proxies) as u16,
        zones: ZONES as u16,
    };
    let address = |n: usize| ([10, 0, (n / 250) as u8, (n % 250) as u8], 7946).into();
    let mut members: Vec<OriginHealth> = (0..ZONES * proxies)
        .map(|n| OriginHealth::new(zone(n), 1))
        .collect();
    world.schedule_callback(6 * S, 1);
    world.schedule_callback(14 * S, 2);
    world.run(20 * S, |world, heed| match heed {
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
    let reports = members.iter().map(|e| e.counters().sent).sum();
    let slow_seconds = 6..16;
    Outcome {
        requests: world.sum(slow_seconds.clone(), |s| s.requests),
        in_time: world.sum(slow_seconds, |s| s.in_time),
        fills_in_second: world.counts_by_second[7].origin_requests,
        reports,
    }
}

/// Alone, each of 96 receives one response of the origin a second and continues until that one is late.
#[test]
fn a_slow_origin_is_spared_sooner_if_proxies_report_it() {
    let (alone, sent) = (slow_origin(8, false), slow_origin(8, true));
    assert_eq!((alone.reports, alone.requests), (0, sent.requests));
    let ratio = f64::from(sent.fills_in_second) / f64::from(alone.fills_in_second);
    assert!(
        ratio < 0.7,
        "in the second second it is sent {} fills of {}",
        sent.fills_in_second,
        alone.fills_in_second
    );
    assert!(
        sent.in_time > alone.in_time,
        "{} of {} in time",
        sent.in_time,
        alone.in_time
    );
}

#[test]
fn reports_grow_with_the_zones_and_not_with_the_proxies() {
    let (small, large) = (slow_origin(4, true), slow_origin(20, true));
    assert!(
        small.reports > 0 && large.reports < 3 * small.reports,
        "{} and {}",
        small.reports,
        large.reports
    );
    // A zone sends at most two reports a second, give or take those in flight, for as long as the origin is slow.
    assert!(large.reports <= 2 * 10 * ZONES as u64);
}
