//! Simulates a deployment without peers and probes: load reports arrive in answers only, link capacities are known,
//! caches of a location fill each other, and writes must not run twice. Proxies have to detect failures themselves.

mod common;
use common::world::*;
use common::*;
use linnetknot::*;

/// Capacity of a location's link, in transfers at full rate.
const LINK_CAPACITY: f64 = 12.0;

/// Returns a fleet of four locations with two proxies each, two parents and an origin, with a hundred requests per
/// second.
fn constrained_deployment() -> FleetSimulation {
    let mut w = FleetSimulation::shaped(4, 2, 4, 24.0, 5, |s| {
        s.zones
            .iter_mut()
            .skip(1)
            .for_each(|z| z.link_kb_per_s = LINK_CAPACITY * s.flow_kb_per_s);
        s.classes.push(Class {
            repeat: Repeat::Unsafe,
            write: true,
            multipart: false,
            ..class("activate")
        });
        s.siblings = Siblings::Location;
        s.load_reports = LoadReports::Answers;
        s.hedged_requests = true;
        s.direct_to_upstream = true;
        s.max_retry_after_us = 500 * MS;
        s.rules.drain_grace_us = 500 * MS;
        s.rules.overload_multiple = 4.0;
        s.rules.overload_window_us = 2 * S;
        s.rules.slow_start_share = 0.15;
        s.rules.slow_start_us = 18 * S;
    });
    w.link_capacity = LINK_CAPACITY;
    w.fill_timeout_us = 1_500 * MS;
    w.object_count = 20_000.0;
    w.write_share = 0.04;
    w
}

fn count_failed(w: &FleetSimulation, seconds: std::ops::Range<usize>) -> (u32, u32) {
    (
        w.sum(seconds.clone(), |s| s.failed),
        w.sum(seconds, |s| s.requests),
    )
}

/// One parent fails silently at 16 s and the other at 20 s, and the server list reports it seconds later. One parent
/// returns empty at 30 s. The origin could serve all missing objects throughout.
fn parents_lost() -> FleetSimulation {
    let mut w = constrained_deployment();
    [12, 16, 20, 23, 27, 30]
        .into_iter()
        .for_each(|s| w.schedule_callback(s * S, s));
    w.run(50 * S, |w, notice| {
        let now = w.now;
        let vanish = |w: &mut FleetSimulation, n: usize| {
            w.servers
                .get_mut(&PARENTS[n])
                .expect("a known parent")
                .vanished = true;
        };
        match notice {
            Notice::Call(12) => w.origin_requests_per_s = 200.0,
            Notice::Call(16) => vanish(w, 0),
            Notice::Call(20) => vanish(w, 1),
            Notice::Call(23) => w.publish(0, ListMode::Delta, &[w.entry(PARENTS[0], State::Gone)]),
            Notice::Call(27) => w.publish(0, ListMode::Delta, &[w.entry(PARENTS[1], State::Gone)]),
            Notice::Call(_) => {
                w.add_server(PARENTS[0], 0, 30.0, Some(now));
                w.publish(0, ListMode::Delta, &[w.entry(PARENTS[0], State::Ready)]);
            }
            Notice::Outcome(_) => {}
        }
    });
    w
}

/// Guards against proxies that keep using lost parents, or that refuse requests because the returned parent is in slow
/// start, although the origin has capacity.
#[test]
fn the_origin_serves_fills_while_all_parents_are_lost() {
    let w = parents_lost();
    let (failed, all) = count_failed(&w, 8..16);
    assert!(
        100 * failed < all,
        "{failed} of {all} failed before the loss"
    );
    let (failed, all) = count_failed(&w, 23..30);
    assert!(
        10 * failed < all,
        "{failed} of {all} failed while only the origin could serve fills"
    );
    let (failed, all) = count_failed(&w, 30..49);
    assert!(
        20 * failed < all,
        "{failed} of {all} failed while one parent was in slow start"
    );
    assert!(
        w.sum(23..30, |s| s.origin_requests) > 0,
        "the origin received requests"
    );
    // Proxies detect the lost servers by attempts that get no answer. The number of these attempts is limited too.
    let (failed, all) = count_failed(&w, 16..23);
    assert!(
        4 * failed < all,
        "{failed} of {all} failed while the losses were detected"
    );
    let max_overload = PARENTS.map(|p| w.servers[&p].max_overload);
    assert!(
        max_overload.iter().all(|p| *p < 0.9),
        "the parents received {max_overload:?} of the load that makes them fail"
    );
}

/// A location's caches fail silently at 6 s and return empty at 14 s. Five seconds later the location refuses almost no
/// requests.
#[test]
fn a_location_restarted_cold_refuses_almost_nothing_after_five_seconds() {
    let mut w = constrained_deployment();
    [6, 10, 14]
        .into_iter()
        .for_each(|s| w.schedule_callback(s * S, s));
    w.run(40 * S, |w, notice| {
        let zone: Vec<ServerId> = (10..14).collect();
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
            Notice::Call(10) => w.publish(0, ListMode::Delta, &entries(w, State::Gone)),
            Notice::Call(_) => {
                let now = w.now;
                zone.iter()
                    .for_each(|id| w.add_server(*id, 1, 8.0, Some(now)));
                w.publish(0, ListMode::Delta, &entries(w, State::Ready));
            }
            Notice::Outcome(_) => {}
        }
    });
    let (refused, all) = count_failed(&w, 19..39);
    assert!(
        100 * refused < all,
        "{refused} of {all} refused from five seconds after the return"
    );
    let max_overload = (10..14)
        .map(|id| w.servers[&id].max_overload)
        .fold(0.0, f64::max);
    assert!(
        max_overload < 0.9,
        "a cache received {max_overload} of the load that makes it fail"
    );
}
