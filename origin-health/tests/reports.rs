//! What is received wrongly, twice, late or never, and when there is something to say.

use linnetknot_origin_health::{
    DecodeError, OriginHealth, Report, ZonePlace, REPORT_BYTES, REPORT_LIFETIME_US,
};
use proptest::prelude::*;
use std::net::SocketAddr;

const MS: u64 = 1_000;
const T0: u64 = 1_000_000 * MS;

fn peer(n: u16) -> SocketAddr {
    ([10, 0, 0, 1], 1000 + n).into()
}

fn ear() -> OriginHealth {
    OriginHealth::new(ZonePlace { zone: 1, zones: 12 }, T0)
}

fn report(number: u32, origin: f64, zone: u16) -> Report {
    Report {
        start: T0,
        number,
        origin,
        zone,
    }
}

#[test]
fn a_word_comes_back_as_it_was() {
    let sent = report(7, 0.25, 11);
    let read = Report::read(&sent.write()).unwrap();
    assert_eq!(
        (read.start, read.number, read.zone),
        (sent.start, sent.number, sent.zone)
    );
    assert!((read.origin - sent.origin).abs() < 1e-4);
}

#[test]
fn what_is_no_word_is_told_apart_counted_and_changes_nothing() {
    let good = report(1, 0.1, 2).write();
    let mut damaged = good;
    damaged[17] ^= 1;
    let mut later = good;
    later[3] = 9;
    let mut long = good.to_vec();
    long.extend([0; 257 - REPORT_BYTES]);
    let mut ear = ear();
    for (bytes, reason, is_word) in [
        (&good[..23], DecodeError::Malformed, true),
        (&good[..3], DecodeError::Malformed, true),
        (&damaged[..], DecodeError::Malformed, true),
        (&later[..], DecodeError::Version(9), true),
        (&long[..], DecodeError::TooLong, true),
        (&long[..25], DecodeError::Malformed, true),
        (b"purge group 7 1", DecodeError::Foreign, false),
        (b"", DecodeError::Foreign, false),
    ] {
        assert_eq!(Report::read(bytes), Err(reason), "{bytes:?}");
        assert_eq!(ear.receive(T0, peer(1), bytes), is_word, "{bytes:?}");
    }
    assert_eq!(ear.origin_share(T0), None);
    let t = ear.counters();
    assert_eq!((t.torn, t.version, t.too_long, t.received), (4, 1, 1, 0));
    assert_eq!(t.dropped(), 6);
}

#[test]
fn a_word_that_comes_twice_or_after_a_newer_one_is_dropped() {
    let mut ear = ear();
    for (number, origin) in [(2, 0.4), (2, 0.4), (1, 0.0)] {
        ear.receive(T0, peer(1), &report(number, origin, 2).write());
    }
    assert_eq!((ear.counters().received, ear.counters().old), (1, 2));
    let (share, until) = ear.origin_share(T0).unwrap();
    assert!((share - (1.0 - 0.6 / 12.0)).abs() < 1e-4, "{share}");
    assert_eq!(until, T0 + 1_000 * MS);
    // Started anew, it counts from 1 again; what the process before it said comes too late.
    let anew = Report {
        start: T0 + 1,
        ..report(1, 0.9, 2)
    };
    ear.receive(T0, peer(1), &anew.write());
    ear.receive(T0, peer(1), &report(3, 0.0, 2).write());
    assert_eq!((ear.counters().received, ear.counters().old), (2, 3));
    assert!(ear.origin_share(T0).unwrap().0 > 0.99);
}

#[test]
fn one_zone_in_trouble_of_its_own_lowers_the_share_by_its_part_however_many_say_so() {
    let mut ear = ear();
    (0..16).for_each(|n| _ = ear.receive(T0, peer(n), &report(1, 0.0, 3).write()));
    assert!((ear.origin_share(T0).unwrap().0 - 11.0 / 12.0).abs() < 1e-4);
    (0..12).for_each(|zone| _ = ear.receive(T0, peer(50 + zone), &report(1, 0.0, zone).write()));
    assert!(ear.origin_share(T0).unwrap().0 < 1e-4, "all zones find it");
    // Zones that there are not: never below nothing.
    (100..200).for_each(|zone| _ = ear.receive(T0, peer(zone), &report(1, 0.0, zone).write()));
    assert_eq!(ear.origin_share(T0).unwrap().0, 0.0);
}

#[test]
fn what_was_heard_is_forgotten_and_so_is_who_is_a_peer_no_more() {
    let mut ear = ear();
    ear.receive(T0, peer(1), &report(1, 0.0, 2).write());
    assert!(ear.origin_share(T0 + 999 * MS).is_some());
    assert_eq!(ear.origin_share(T0 + 1_000 * MS), None);
    ear.retain_peers(|p| *p == peer(2));
    assert_eq!(ear.origin_share(T0), None);
}

#[test]
fn a_proxy_speaks_when_it_is_in_trouble_seldom_and_not_when_its_zone_just_has() {
    let mut ear = ear();
    assert_eq!(ear.observe(T0, 0.9), None, "no trouble");
    let first = Report::read(&ear.observe(T0, 0.2).unwrap()).unwrap();
    assert_eq!((first.number, first.zone), (1, 1));
    assert_eq!(ear.observe(T0 + 499 * MS, 0.1), None);
    let second = Report::read(&ear.observe(T0 + 500 * MS, 0.1).unwrap()).unwrap();
    assert_eq!((second.number, second.start), (2, T0));
    let at = T0 + 2_000 * MS;
    ear.receive(at, peer(1), &report(1, 0.2, 2).write());
    assert!(
        ear.observe(at, 0.1).is_some(),
        "another zone's report does not stand for this one's"
    );
    ear.receive(at + 600 * MS, peer(2), &report(1, 0.2, 1).write());
    assert_eq!(ear.observe(at + 600 * MS, 0.1), None, "its zone's does");
    assert_eq!((ear.counters().sent, ear.counters().suppressed), (3, 1));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Whatever comes, from whomever and in whatever order.
    #[test]
    fn whatever_is_heard_is_a_share_for_a_while_and_each_word_is_counted_once(
        datagrams in prop::collection::vec(
            (0u64..3_000, 0u16..6, prop_oneof![
                prop::collection::vec(any::<u8>(), 0..300),
                (any::<u64>(), any::<u32>(), 0.0..1.0f64, 0u16..14)
                    .prop_map(|(start, number, origin, zone)| Report { start, number, origin, zone }.write().to_vec()),
            ]),
            0..60,
        )
    ) {
        let mut ear = ear();
        let mut count = 0;
        for (at, from, bytes) in datagrams {
            let now = T0 + at * MS;
            count += u64::from(ear.receive(now, peer(from), &bytes));
            if let Some((share, until)) = ear.origin_share(now) {
                prop_assert!((0.0..=1.0).contains(&share));
                prop_assert!(until > now);
            }
        }
        let t = ear.counters();
        prop_assert_eq!(t.received + t.dropped(), count);
    }
}

/// A process that starts after its clock was set back tells an earlier start than the one before it.
#[test]
fn a_sender_whose_clock_went_back_is_heard_once_its_last_report_is_over() {
    let mut ear = ear();
    let before = report(1_000, 0.5, 0);
    let start = before.start - 1;
    let after = Report {
        start,
        ..report(1, 0.2, 0)
    };
    ear.receive(0, peer(1), &before.write());
    ear.receive(REPORT_LIFETIME_US - 1, peer(1), &after.write());
    assert_eq!(ear.counters().old, 1, "it may have been overtaken");
    ear.receive(REPORT_LIFETIME_US, peer(1), &after.write());
    assert_eq!((ear.counters().old, ear.counters().received), (1, 2));
    assert!(ear.origin_share(REPORT_LIFETIME_US).is_some());
    ear.receive(2 * REPORT_LIFETIME_US, peer(1), &after.write());
    assert_eq!(ear.counters().old, 2, "the same report twice");
}
