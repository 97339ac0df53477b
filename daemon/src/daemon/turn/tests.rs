//! Tests of the timing of a turn of the event loop.

use super::{Turn, MAX_WAIT_US};
use linnetknot::Micros;

const MS: Micros = 1_000;
const START: Micros = 1_000 * MS;
/// The largest delay of a turn that may go undetected, in microseconds.
const MAX_UNDETECTED_DELAY_US: Micros = 150 * MS;

/// Checks the estimated delay when the process is stopped during a wait and input arrives right after the stop begins.
#[test]
fn undetected_delay_of_a_stop_during_a_wait_is_bounded() {
    for wait in [0, 1, MS, 40 * MS, MAX_WAIT_US] {
        for slept in (0..3_000 * MS).step_by(MS as usize) {
            let mut turn = Turn::start(START);
            let ended = START + slept;
            turn.end_wait(START, wait, ended);
            let undetected = slept - turn.unread_delay(ended);
            assert!(
                undetected <= MAX_UNDETECTED_DELAY_US,
                "{undetected} us of {slept} us, in a wait of {wait} us"
            );
        }
    }
}

/// Checks the estimated delay when the process is stopped at the end of a wait. The wait then returns the events from
/// before the stop, or none if a signal interrupted it.
#[test]
fn undetected_delay_of_a_stop_at_the_end_of_a_wait_is_bounded() {
    for wait in [0, 1, MS, 40 * MS, MAX_WAIT_US] {
        for slept in (0..3_000 * MS).step_by(MS as usize) {
            let mut turn = Turn::start(START);
            let ended = START + slept;
            turn.end_wait(START, wait, ended);
            turn.end_turn(false);
            turn.end_wait(ended, MAX_WAIT_US, ended);
            let undetected = slept - turn.unread_delay(ended);
            assert!(
                undetected <= MAX_UNDETECTED_DELAY_US,
                "{undetected} us of {slept} us, in a wait of {wait} us"
            );
        }
    }
}

#[test]
fn input_during_a_timely_wait_has_no_unread_delay() {
    let mut turn = Turn::start(START);
    let mut now = START;
    for _ in 0..100 {
        turn.end_wait(now, MAX_WAIT_US, now + MAX_WAIT_US);
        now += MAX_WAIT_US;
        assert_eq!(turn.unread_delay(now), 0);
        turn.end_turn(false);
    }
}
