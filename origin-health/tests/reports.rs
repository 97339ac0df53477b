//! Tests of malformed, duplicate, late and missing reports, and of when a report is sent.

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

/// Guards against an encoding that proxies of other versions can't decode during an upgrade.
#[test]
fn the_encoding_of_a_report_is_stable() {
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
fn an_encoded_report_decodes_unchanged() {
    let sent = report(7, 0.25, 11);
    let decoded = Report::decode(&sent.encode()).unwrap();
    assert_eq!(
        (decoded.started_at, decoded.number, decoded.zone),
        (sent.started_at, sent.number, sent.zone)
    );
    assert!((decoded.origin_share - sent.origin_share).abs() < 1e-4);
}

#[test]
fn datagrams_that_are_no_valid_report_are_rejected_and_counted_by_reason() {
    let valid = report(1, 0.1, 2).encode();
    let mut corrupt = valid;
    corrupt[17] ^= 1;
    let mut newer_version = valid;
    newer_version[3] = 9;
    let mut too_long = valid.to_vec();
    too_long.extend([0; 257 - REPORT_BYTES]);
    let mut health = origin_health();
    for (bytes, reason, is_report) in [
        (&valid[..23], DecodeError::Malformed, true),
        (&valid[..3], DecodeError::Malformed, true),
        (&corrupt[..], DecodeError::Malformed, true),
        (&newer_version[..], DecodeError::Version(9), true),
        (&too_long[..], DecodeError::TooLong, true),
        (&too_long[..25], DecodeError::Malformed, true),
        (b"purge group 7 1", DecodeError::Foreign, false),
        (b"", DecodeError::Foreign, false),
    ] {
        assert_eq!(Report::decode(bytes), Err(reason), "{bytes:?}");
        assert_eq!(health.receive(T0, peer(1), bytes), is_report, "{bytes:?}");
    }
    assert_eq!(health.origin_share(T0), None);
    let counters = health.counters();
    assert_eq!(
        (
            counters.malformed,
            counters.unknown_version,
            counters.too_long,
            counters.received
        ),
        (4, 1, 1, 0)
    );
    assert_eq!(counters.dropped(), 6);
}

#[test]
fn duplicate_and_older_reports_are_dropped() {
    let mut health = origin_health();
    for (number, origin_share) in [(2, 0.4), (2, 0.4), (1, 0.0)] {
        health.receive(T0, peer(1), &report(number, origin_share, 2).encode());
    }
    assert_eq!(
        (health.counters().received, health.counters().stale),
        (1, 2)
    );
    let OriginShare { share, until } = health.origin_share(T0).unwrap();
    assert!((share - (1.0 - 0.6 / 12.0)).abs() < 1e-4, "{share}");
    assert_eq!(until, T0 + 1_000 * MS);
    // A restarted sender counts from 1 again. Reports of its earlier process are then outdated.
    let restarted = Report {
        started_at: T0 + 1,
        ..report(1, 0.9, 2)
    };
    health.receive(T0, peer(1), &restarted.encode());
    health.receive(T0, peer(1), &report(3, 0.0, 2).encode());
    assert_eq!(
        (health.counters().received, health.counters().stale),
        (2, 3)
    );
    assert!(health.origin_share(T0).unwrap().share > 0.99);
}

#[test]
fn one_zone_lowers_the_share_by_its_part_regardless_of_the_number_of_reports() {
    let mut health = origin_health();
    (0..16).for_each(|n| _ = health.receive(T0, peer(n), &report(1, 0.0, 3).encode()));
    assert!((health.origin_share(T0).unwrap().share - 11.0 / 12.0).abs() < 1e-4);
    (0..12)
        .for_each(|zone| _ = health.receive(T0, peer(50 + zone), &report(1, 0.0, zone).encode()));
    assert!(
        health.origin_share(T0).unwrap().share < 1e-4,
        "all zones report a slow origin"
    );
    // Reports of zones that do not exist do not lower the share below zero.
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
fn reports_are_rate_limited_per_proxy_and_suppressed_within_a_zone() {
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
        "a report of another zone does not suppress this zone's"
    );
    health.receive(at + 600 * MS, peer(2), &report(1, 0.2, 1).encode());
    assert_eq!(
        health.record_late_response(at + 600 * MS, 0.1),
        None,
        "a report of the same zone does"
    );
    assert_eq!(
        (health.counters().sent, health.counters().suppressed),
        (3, 1)
    );
}

/// Returns arbitrary reports, including those of zones that do not exist.
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

    /// Receives arbitrary datagrams from several senders in any order.
    #[test]
    fn any_datagrams_result_in_a_share_that_expires_and_are_counted_once_each(
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
        let counters = health.counters();
        prop_assert_eq!(counters.received + counters.dropped(), count);
    }
}

/// Guards against discarding the reports of a restarted sender forever because its clock was set back.
#[test]
fn a_sender_whose_clock_was_set_back_is_accepted_after_its_last_report_expired() {
    let mut health = origin_health();
    let before = report(1_000, 0.5, 0);
    let started_at = before.started_at - 1;
    let after = Report {
        started_at,
        ..report(1, 0.2, 0)
    };
    health.receive(0, peer(1), &before.encode());
    health.receive(REPORT_LIFETIME_US - 1, peer(1), &after.encode());
    assert_eq!(
        health.counters().stale,
        1,
        "it may be a delayed report of an earlier process"
    );
    health.receive(REPORT_LIFETIME_US, peer(1), &after.encode());
    assert_eq!(
        (health.counters().stale, health.counters().received),
        (1, 2)
    );
    assert!(health.origin_share(REPORT_LIFETIME_US).is_some());
    health.receive(2 * REPORT_LIFETIME_US, peer(1), &after.encode());
    assert_eq!(health.counters().stale, 2, "the report is a duplicate");
}
