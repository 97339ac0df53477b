//! Whatever the local clock is off and whatever dates came: no age is more than the time that has really passed.

use linnetknot::Micros;
use linnetknot_daemon::origin_clock::OriginClock;
use linnetknot_purges::KeyHash;

/// The origin's time in a test, and by how much the local clock is ahead of it.
const START: Micros = 1_000_000_000_000;
const SECOND: i64 = 1_000_000;
const OFFSETS_S: [i64; 7] = [-3_600, -60, -4, 0, 4, 60, 3_600];

fn local(origin: Micros, ahead_s: i64) -> Micros {
    origin.saturating_add_signed(ahead_s * SECOND)
}

/// The age that is requested at a time, for a purge that was recorded with a date.
fn age(clock: &OriginClock, now: Micros, date: Micros) -> Micros {
    clock.now(now).saturating_sub(date)
}

#[test]
fn ages_of_dated_purges_are_right_at_every_offset() {
    for ahead in OFFSETS_S {
        let mut clock = OriginClock::default();
        clock.observe(local(START, ahead), START - 3_000);
        let (purged, received, requested) =
            (START + 1_000_000, START + 1_200_000, START + 3_000_000);
        clock.observe(local(received, ahead), purged);
        let date = clock.record_dated(local(received, ahead), KeyHash::of_group(1), purged);
        let requested_age = age(&clock, local(requested, ahead), date);
        let true_age = requested - purged;
        assert!(
            requested_age <= true_age && requested_age + 3_000 >= true_age,
            "{ahead} s: {requested_age}"
        );
    }
}

#[test]
fn ages_of_purges_without_a_date_never_exceed_the_time_since() {
    // Old copies first, then ever better dates: each makes the bound rise.
    let delays_us = [
        600_000_000,
        300_000_000,
        2_000_000,
        1_800_000,
        200_000,
        3_000,
    ];
    for ahead in OFFSETS_S {
        let mut clock = OriginClock::default();
        let key = KeyHash::of_object("film");
        let mut date = clock.record_local(local(START, ahead), key);
        for (step, delay) in delays_us.into_iter().enumerate() {
            let at = START + 1_000_000 * (step as u64 + 1);
            for (dated, later) in clock.observe(local(at, ahead), at - delay) {
                assert_eq!(dated, key);
                date = date.max(later);
            }
            let requested = age(&clock, local(at, ahead), date);
            assert!(
                requested <= at - START,
                "{ahead} s, step {step}: {requested}"
            );
        }
        let at = START + 10_000_000;
        let next = clock.record_local(local(at, ahead), key);
        let requested = age(&clock, local(at + 5_000_000, ahead), next);
        assert!(
            (4_700_000..=5_000_000).contains(&requested),
            "{ahead} s: {requested}"
        );
    }
}

#[test]
fn a_date_from_the_future_counts_as_now() {
    for ahead in OFFSETS_S {
        let mut clock = OriginClock::default();
        clock.observe(local(START, ahead), START - 3_000);
        let received = local(START + 1_000_000, ahead);
        let key = KeyHash::of_group(2);
        let date = clock.record_dated(received, key, START + 3_600_000_000);
        assert!(
            (START + 1_000_000..=START + 1_250_000).contains(&date),
            "{ahead} s"
        );
    }
}

#[test]
fn the_date_for_peers_is_never_before_the_purge() {
    for ahead in OFFSETS_S {
        let mut clock = OriginClock::default();
        clock.observe(local(START, ahead), START - 3_000);
        let date = clock.date_for_peers(local(START + 1_000_000, ahead));
        assert!(date >= START + 1_000_000, "{ahead} s");
    }
}
