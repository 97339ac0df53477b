//! Reports that are malformed, repeated, late or missing, and when a report is sent.

use linnetknot_origin_health::{
    DecodeError, OriginHealth, OriginShare, Report, ZonePosition, REPORT_BYTES, REPORT_LIFETIME_US,
};
use proptest::prelude::*;
use std::net::SocketAddr;

const MS: u64 = 1_000;
const T0: u64 = 1_000_000 * MS;

fn peer(n: u16) -> SocketAddr {
    ([10, 0, 0, 1], 1000 + n).into()
}

fn origin_health() -> OriginHealth {
    OriginHealth::new(ZonePosition { zone: 1, zones: 12 }, T0)
}

fn report(number: u32, origin_share: f64, zone: u16) -> Report {
    Report {
        started_at: T0,
        number,
        origin_share,
        zone,
    }
}

/// An older and a newer proxy stand beside each other while an installation is upgraded.
#[test]
fn a_report_stays_byte_for_byte() {
    let report = Report {
        started_at: 0x0102_0304_0506_0708,
        number: 0x1112_1314,
        origin_share: 0.25,
        zone: 11,
    };
    let bytes = report.encode();
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(hex, "4c4b57010102030405060708111213144000000b33d28bc4");
}

#[test]
fn a_report_is_decoded_as_it_was_encoded() {
    let sent = report(7, 0.25, 11);
    let read = Report::decode(&sent.encode()).unwrap();
    assert_eq!(
        (read.started_at, read.number, read.zone),
        (sent.started_at, sent.number, sent.zone)
    );
    assert!((read.origin_share - sent.origin_share).abs() < 1e-4);
}

#[test]
fn datagrams_that_are_no_report_are_distinguished_counted_and_change_nothing() {
    let good = report(1, 0.1, 2).encode();
    let mut damaged = good;
    damaged[17] ^= 1;
    let mut later = good;
    later[3] = 9;
    let mut long = good.to_vec();
    long.extend([0; 257 - REPORT_BYTES]);
    let mut health = origin_health();
    for (bytes, reason, is_report) in [
        (&good[..23], DecodeError::Malformed, true),
        (&good[..3], DecodeError::Malformed, true),
        (&damaged[..], DecodeError::Malformed, true),
        (&later[..], DecodeError::Version(9), true),
        (&long[..], DecodeError::TooLong, true),
        (&long[..25], DecodeError::Malformed, true),
        (b"purge group 7 1", DecodeError::Foreign, false),
        (b"", DecodeError::Foreign, false),
    ] {
        assert_eq!(Report::decode(bytes), Err(reason), "{bytes:?}");
        assert_eq!(health.receive(T0, peer(1), bytes), is_report, "{bytes:?}");
    }
    assert_eq!(health.origin_share(T0), None);
    let t = health.counters();
    assert_eq!(
        (t.malformed, t.unknown_version, t.too_long, t.received),
        (4, 1, 1, 0)
    );
    assert_eq!(t.dropped(), 6);
}

#[test]
fn a_report_that_is_repeated_or_older_than_the_last_is_dropped() {
    let mut health = origin_health();
    for (number, origin) in [(2, 0.4), (2, 0.4), (1, 0.0)] {
        health.receive(T0, peer(1), &report(number, origin, 2).encode());
    }
    assert_eq!(
        (health.counters().received, health.counters().stale),
        (1, 2)
    );
    let OriginShare { share, until } = health.origin_share(T0).unwrap();
    assert!((share - (1.0 - 0.6 / 12.0)).abs() < 1e-4, "{share}");
    assert_eq!(until, T0 + 1_000 * MS);
    // Started anew, it counts from 1 again; a report of the process before it is stale.
    let anew = Report {
        started_at: T0 + 1,
        ..report(1, 0.9, 2)
    };
    health.receive(T0, peer(1), &anew.encode());
    health.receive(T0, peer(1), &report(3, 0.0, 2).encode());
    assert_eq!(
        (health.counters().received, health.counters().stale),
        (2, 3)
    );
    assert!(health.origin_share(T0).unwrap().share > 0.99);
}

#[test]
fn a_fault_of_one_zone_lowers_the_share_by_its_part_however_many_report_it() {
    let mut health = origin_health();
    (0..16).for_each(|n| _ = health.receive(T0, peer(n), &report(1, 0.0, 3).encode()));
    assert!((health.origin_share(T0).unwrap().share - 11.0 / 12.0).abs() < 1e-4);
    (0..12)
        .for_each(|zone| _ = health.receive(T0, peer(50 + zone), &report(1, 0.0, zone).encode()));
    assert!(
        health.origin_share(T0).unwrap().share < 1e-4,
        "all zones report it"
    );
    // Zones that do not exist: the share is never below zero.
    (100..200).for_each(|zone| _ = health.receive(T0, peer(zone), &report(1, 0.0, zone).encode()));
    assert_eq!(health.origin_share(T0).unwrap().share, 0.0);
}

#[test]
fn reports_expire_and_those_of_former_peers_are_dropped() {
    let mut health = origin_health();
    health.receive(T0, peer(1), &report(1, 0.0, 2).encode());
    assert!(health.origin_share(T0 + 999 * MS).is_some());
    assert_eq!(health.origin_share(T0 + 1_000 * MS), None);
    health.retain_peers(|p| *p == peer(2));
    assert_eq!(health.origin_share(T0), None);
}

#[test]
fn a_proxy_reports_a_slow_origin_seldom_and_not_when_its_zone_just_has() {
    let mut health = origin_health();
    assert_eq!(
        health.record_late_response(T0, 0.9),
        None,
        "the origin is not slow"
    );
    let first = Report::decode(&health.record_late_response(T0, 0.2).unwrap()).unwrap();
    assert_eq!((first.number, first.zone), (1, 1));
    assert_eq!(health.record_late_response(T0 + 499 * MS, 0.1), None);
    let second = Report::decode(&health.record_late_response(T0 + 500 * MS, 0.1).unwrap()).unwrap();
    assert_eq!((second.number, second.started_at), (2, T0));
    let at = T0 + 2_000 * MS;
    health.receive(at, peer(1), &report(1, 0.2, 2).encode());
    assert!(
        health.record_late_response(at, 0.1).is_some(),
        "another zone's report does not stand for this one's"
    );
    health.receive(at + 600 * MS, peer(2), &report(1, 0.2, 1).encode());
    assert_eq!(
        health.record_late_response(at + 600 * MS, 0.1),
        None,
        "its zone's does"
    );
    assert_eq!(
        (health.counters().sent, health.counters().suppressed),
        (3, 1)
    );
}

/// Any report, also of a zone that does not exist.
fn any_report() -> impl Strategy<Value = Report> {
    (any::<u64>(), any::<u32>(), 0.0..1.0f64, 0u16..14).prop_map(
        |(started_at, number, origin_share, zone)| Report {
            started_at,
            number,
            origin_share,
            zone,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Any datagrams, from any senders and in any order.
    #[test]
    fn whatever_is_received_gives_a_share_that_expires_and_each_report_is_counted_once(
        datagrams in prop::collection::vec(
            (0u64..3_000, 0u16..6, prop_oneof![
                prop::collection::vec(any::<u8>(), 0..300),
                any_report().prop_map(|report| report.encode().to_vec()),
            ]),
            0..60,
        )
    ) {
        let mut health = origin_health();
        let mut count = 0;
        for (at, from, bytes) in datagrams {
            let now = T0 + at * MS;
            count += u64::from(health.receive(now, peer(from), &bytes));
            if let Some(OriginShare { share, until }) = health.origin_share(now) {
                prop_assert!((0.0..=1.0).contains(&share));
                prop_assert!(until > now);
            }
        }
        let t = health.counters();
        prop_assert_eq!(t.received + t.dropped(), count);
    }
}

/// A process that starts after its clock was set back reports an earlier start than the one before it.
#[test]
fn a_sender_whose_clock_went_back_is_accepted_once_its_last_report_has_expired() {
    let mut health = origin_health();
    let before = report(1_000, 0.5, 0);
    let started_at = before.started_at - 1;
    let after = Report {
        started_at,
        ..report(1, 0.2, 0)
    };
    health.receive(0, peer(1), &before.encode());
    health.receive(REPORT_LIFETIME_US - 1, peer(1), &after.encode());
    assert_eq!(health.counters().stale, 1, "it may have been overtaken");
    health.receive(REPORT_LIFETIME_US, peer(1), &after.encode());
    assert_eq!(
        (health.counters().stale, health.counters().received),
        (1, 2)
    );
    assert!(health.origin_share(REPORT_LIFETIME_US).is_some());
    health.receive(2 * REPORT_LIFETIME_US, peer(1), &after.encode());
    assert_eq!(health.counters().stale, 2, "the same report twice");
}
