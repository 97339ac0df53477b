//! A second deployment's shape on virtual time: no peers and no probes, loads told in answers only, links told, fills
//! from siblings of the location, writes that must not run twice. What a proxy can't be told it must find out.

mod common;
use common::world::*;
use common::*;
use linnetknot::*;

/// What a location's link fits, in transfers at full pace.
const LINK: f64 = 12.0;

/// Two proxies in each of four locations, two hub caches, an origin; a hundred requests a second.
fn constrained_deployment() -> FleetSimulation {
    let mut w = FleetSimulation::shaped(4, 2, 4, 24.0, 5, |s| {
        s.zones
            .iter_mut()
            .skip(1)
            .for_each(|z| z.link_kb_per_s = LINK * s.flow_kb_per_s);
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
    w.link_capacity = LINK;
    w.fill_timeout_us = 1_500 * MS;
    w.object_count = 20_000.0;
    w.write_share = 0.04;
    w
}

fn lost(w: &FleetSimulation, seconds: std::ops::Range<usize>) -> (u32, u32) {
    (
        w.sum(seconds.clone(), |s| s.failed),
        w.sum(seconds, |s| s.requests),
    )
}

/// Once all is warm, one hub cache vanishes without a word at 16 s and the other at 20 s; the list says so seconds late;
/// one is back cold and empty at 30 s. The origin could fill all that is missing throughout.
fn parents_lost() -> FleetSimulation {
    let mut w = constrained_deployment();
    [12, 16, 20, 23, 27, 30]
        .into_iter()
        .for_each(|s| w.schedule_callback(s * S, s));
    w.run(50 * S, |w, notify| {
        let now = w.now;
        let vanish = |w: &mut FleetSimulation, n: usize| {
            w.servers
                .get_mut(&PARENTS[n])
                .expect("it is there")
                .vanished = true;
        };
        match notify {
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

/// With no hub cache that is well, a proxy that went on naming dead ones, or refused for want of room at one that is
/// back cold, would turn away all that its caches lack, though the origin has places.
#[test]
fn the_origin_serves_fills_while_all_parents_are_lost() {
    let w = parents_lost();
    let (before, all) = lost(&w, 8..16);
    assert!(100 * before < all, "{before} of {all} lost on a calm day");
    let (late, all) = lost(&w, 23..30);
    assert!(
        10 * late < all,
        "{late} of {all} lost while the origin alone could fill"
    );
    let (late, all) = lost(&w, 30..49);
    assert!(
        20 * late < all,
        "{late} of {all} lost beside a hub cache that is back cold"
    );
    assert!(
        w.sum(23..30, |s| s.origin_requests) > 0,
        "the origin was asked"
    );
    // Each loss is found out by attempts that wait in vain; what they cost is bounded too.
    let (late, all) = lost(&w, 16..23);
    assert!(
        4 * late < all,
        "{late} of {all} lost while both were found out"
    );
    let recent_work = PARENTS.map(|p| w.servers[&p].max_overload);
    assert!(
        recent_work.iter().all(|p| *p < 0.9),
        "{recent_work:?} of what makes a cold hub cache fall"
    );
}

/// A location's caches vanish at 6 s and are back, cold and empty, at 14 s. Five seconds after that nothing is turned
/// away that its link could have brought.
#[test]
fn a_location_restarted_cold_refuses_almost_nothing_after_five_seconds() {
    let mut w = constrained_deployment();
    [6, 10, 14]
        .into_iter()
        .for_each(|s| w.schedule_callback(s * S, s));
    w.run(40 * S, |w, notify| {
        let zone: Vec<ServerId> = (10..14).collect();
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
            Notice::Call(10) => w.publish(0, ListMode::Delta, &word(w, State::Gone)),
            Notice::Call(_) => {
                let now = w.now;
                zone.iter()
                    .for_each(|id| w.add_server(*id, 1, 8.0, Some(now)));
                w.publish(0, ListMode::Delta, &word(w, State::Ready));
            }
            Notice::Outcome(_) => {}
        }
    });
    let (refused, all) = lost(&w, 19..39);
    assert!(
        100 * refused < all,
        "{refused} of {all} turned away from five seconds after the return on"
    );
    let recent_work = (10..14)
        .map(|id| w.servers[&id].max_overload)
        .fold(0.0, f64::max);
    assert!(
        recent_work < 0.9,
        "{recent_work} of what makes a cold box fall"
    );
}
