//! Tests that requested ages never exceed the true time since a purge, for any clock offset and any origin dates.

use linnetknot::Micros;
use linnetknot_daemon::origin_clock::OriginClock;
use linnetknot_purges::KeyHash;

/// The origin's time at the start of a test.
const START: Micros = 1_000_000_000_000;
const SECOND: i64 = 1_000_000;
/// Offsets by which the local clock is ahead of the origin's clock.
const OFFSETS_S: [i64; 7] = [-3_600, -60, -4, 0, 4, 60, 3_600];
/// The greatest error of a date that a correct one confirms. The grace after a purge is longer.
const CONFIRMED_ERROR_US: Micros = 250_000;

fn local_time(origin: Micros, ahead_s: i64) -> Micros {
    origin.saturating_add_signed(ahead_s * SECOND)
}

/// Returns the age requested at the time `now` for a purge with this recorded date.
fn age(clock: &OriginClock, now: Micros, date: Micros) -> Micros {
    clock.now(now).saturating_sub(date)
}

#[test]
fn ages_for_dated_purges_are_correct_at_every_clock_offset() {
    for ahead_s in OFFSETS_S {
        let mut clock = OriginClock::default();
        clock.observe(local_time(START, ahead_s), START - 3_000);
        let (purged, received, requested) =
            (START + 1_000_000, START + 1_200_000, START + 3_000_000);
        clock.observe(local_time(received, ahead_s), purged);
        let date = clock.record_dated(local_time(received, ahead_s), KeyHash::of_group(1), purged);
        let requested_age = age(&clock, local_time(requested, ahead_s), date);
        let true_age = requested - purged;
        assert!(
            requested_age <= true_age && requested_age + 3_000 >= true_age,
            "{ahead_s} s: {requested_age}"
        );
    }
}

#[test]
fn ages_for_undated_purges_never_exceed_the_elapsed_time() {
    // Dates with decreasing delays: each of them raises the lower bound of the origin's time.
    let date_delays_us = [
        600_000_000,
        300_000_000,
        2_000_000,
        1_800_000,
        200_000,
        3_000,
    ];
    for ahead_s in OFFSETS_S {
        let mut clock = OriginClock::default();
        let key = KeyHash::of_object("film");
        let mut date = clock.record_local(local_time(START, ahead_s), key);
        for (step, delay_us) in date_delays_us.into_iter().enumerate() {
            let observed_at = START + 1_000_000 * (step as u64 + 1);
            for (dated, raised_date) in
                clock.observe(local_time(observed_at, ahead_s), observed_at - delay_us)
            {
                assert_eq!(dated, key);
                date = date.max(raised_date);
            }
            let requested = age(&clock, local_time(observed_at, ahead_s), date);
            assert!(
                requested <= observed_at - START,
                "{ahead_s} s, step {step}: {requested}"
            );
        }
        let observed_at = START + 10_000_000;
        let next = clock.record_local(local_time(observed_at, ahead_s), key);
        let requested = age(&clock, local_time(observed_at + 5_000_000, ahead_s), next);
        assert!(
            (4_700_000..=5_000_000).contains(&requested),
            "{ahead_s} s: {requested}"
        );
    }
}

#[test]
fn a_purge_date_in_the_future_counts_as_now() {
    for ahead_s in OFFSETS_S {
        let mut clock = OriginClock::default();
        clock.observe(local_time(START, ahead_s), START - 3_000);
        let received = local_time(START + 1_000_000, ahead_s);
        let key = KeyHash::of_group(2);
        let date = clock.record_dated(received, key, START + 3_600_000_000);
        assert!(
            (START + 1_000_000..=START + 1_250_000).contains(&date),
            "{ahead_s} s"
        );
    }
}

#[test]
fn the_purge_date_for_peers_is_never_before_the_purge() {
    for ahead_s in OFFSETS_S {
        let mut clock = OriginClock::default();
        clock.observe(local_time(START, ahead_s), START - 3_000);
        let date = clock.date_for_peers(local_time(START + 1_000_000, ahead_s));
        assert!(date >= START + 1_000_000, "{ahead_s} s");
    }
}

/// Guards against ages of purges that are too great for good, after one corrupt date of a copy (review, case 8).
#[test]
fn a_single_corrupt_date_does_not_move_the_clock() {
    // Each digit of a date in milliseconds, replaced by a greater one.
    let errors_ms = (0..13).map(|digit| 8 * 10_u64.pow(digit));
    for (error_ms, ahead_s) in errors_ms.flat_map(|error| OFFSETS_S.map(|ahead| (error, ahead))) {
        let mut clock = OriginClock::default();
        for n in 0..4 {
            let made = START + n * 1_000_000;
            clock.observe(local_time(made + 3_000, ahead_s), made);
        }
        let received = START + 4_000_000;
        clock.observe(local_time(received, ahead_s), received + 1_000 * error_ms);
        let at = START + 5_000_000;
        let bound = clock.now(local_time(at, ahead_s));
        assert!(
            (at - 3_000..=at + CONFIRMED_ERROR_US).contains(&bound),
            "{error_ms} ms, {ahead_s} s: {bound}"
        );
    }
}

/// Guards against a proxy whose first dates are corrupt, and which has no others to compare them with.
#[test]
fn corrupt_dates_are_forgotten() {
    let mut clock = OriginClock::default();
    for n in 0..3 {
        let received = START + n * 100_000;
        clock.observe(received, received + 60_000_000);
    }
    for n in 1..=70 {
        let received = START + n * 1_000_000;
        clock.observe(received, received - 3_000);
    }
    let at = START + 71_000_000;
    assert_eq!(clock.now(at), at - 3_000);
}

/// Guards against dates of copies that agree with each other but not with the event bus.
#[test]
fn dates_of_copies_are_at_most_as_far_ahead_of_events_as_these_may_be_late() {
    let mut clock = OriginClock::default();
    clock.observe_event(START, START - 100_000);
    for n in 1..=20 {
        let received = START + n * 100_000;
        clock.observe(received, received + 3_600_000_000);
    }
    let at = START + 3_000_000;
    assert!(clock.now(at) <= at + 10_000_000);
}
