//! Whatever the own clock is off and whatever was heard: no age is more than the time that has really gone by.

use super::*;

/// The origin's time in a test, and by how much the own clock is ahead of it.
const START: Micros = 1_000_000_000_000;
const SECOND: i64 = 1_000_000;
const OFFSETS_S: [i64; 7] = [-3_600, -60, -4, 0, 4, 60, 3_600];

fn own(origin: Micros, ahead_s: i64) -> Micros {
    origin.saturating_add_signed(ahead_s * SECOND)
}

/// The age that is asked for at a time, for a purge that was recorded with a date.
fn age(clock: &OriginClock, now: Micros, date: Micros) -> Micros {
    clock.now(now).saturating_sub(date)
}

#[test]
fn ages_of_dated_purges_are_right_at_every_offset() {
    for ahead in OFFSETS_S {
        let mut clock = OriginClock::default();
        clock.heard(own(START, ahead), START - 3_000);
        let (purged, told, asked) = (START + 1_000_000, START + 1_200_000, START + 3_000_000);
        clock.heard(own(told, ahead), purged);
        let date = clock.bound(own(told, ahead), KeyHash::of_group(1), purged);
        let asked_age = age(&clock, own(asked, ahead), date);
        let true_age = asked - purged;
        assert!(
            asked_age <= true_age && asked_age + 3_000 >= true_age,
            "{ahead} s: {asked_age}"
        );
    }
}

#[test]
fn ages_of_purges_told_here_never_exceed_the_time_since() {
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
        let mut date = clock.date_own(own(START, ahead), key);
        for (step, delay) in delays_us.into_iter().enumerate() {
            let at = START + 1_000_000 * (step as u64 + 1);
            for (dated, later) in clock.heard(own(at, ahead), at - delay) {
                assert_eq!(dated, key);
                date = date.max(later);
            }
            let asked = age(&clock, own(at, ahead), date);
            assert!(asked <= at - START, "{ahead} s, step {step}: {asked}");
        }
        let at = START + 10_000_000;
        let next = clock.date_own(own(at, ahead), key);
        let asked = age(&clock, own(at + 5_000_000, ahead), next);
        assert!(
            (4_700_000..=5_000_000).contains(&asked),
            "{ahead} s: {asked}"
        );
    }
}

#[test]
fn a_date_from_the_future_counts_as_now() {
    for ahead in OFFSETS_S {
        let mut clock = OriginClock::default();
        clock.heard(own(START, ahead), START - 3_000);
        let told = own(START + 1_000_000, ahead);
        let key = KeyHash::of_group(2);
        let date = clock.bound(told, key, START + 3_600_000_000);
        assert!(
            (START + 1_000_000..=START + 1_250_000).contains(&date),
            "{ahead} s"
        );
    }
}

#[test]
fn what_peers_are_told_is_never_before_the_purge() {
    for ahead in OFFSETS_S {
        let mut clock = OriginClock::default();
        clock.heard(own(START, ahead), START - 3_000);
        let date = clock.date_for_peers(own(START + 1_000_000, ahead));
        assert!(date >= START + 1_000_000, "{ahead} s");
    }
}
