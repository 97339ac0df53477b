//! Tests of the timing of a turn.

use super::{Turn, MAX_WAIT_US};
use linnetknot::Micros;

const MS: Micros = 1_000;
const START: Micros = 1_000 * MS;
/// The largest delay that may go undetected.
const SLACK_US: Micros = 150 * MS;

/// The process may be stopped at any time during a wait, and input may arrive right after the stop begins.
#[test]
fn of_a_stop_within_a_wait_no_more_than_the_slack_is_missed() {
    for wait in [0, 1, MS, 40 * MS, MAX_WAIT_US] {
        for slept in (0..3_000 * MS).step_by(MS as usize) {
            let mut turn = Turn::start(START);
            let ended = START + slept;
            turn.end_wait(START, wait, ended);
            let missed = slept - turn.unread_delay(ended);
            assert!(
                missed <= SLACK_US,
                "{missed} us of {slept} us, in a wait of {wait} us"
            );
        }
    }
}

/// A process that is stopped at the end of a wait resumes with the events from before the stop, or with none if a
/// signal interrupted the wait.
#[test]
fn of_a_stop_at_the_end_of_a_wait_no_more_than_the_slack_is_missed() {
    for wait in [0, 1, MS, 40 * MS, MAX_WAIT_US] {
        for slept in (0..3_000 * MS).step_by(MS as usize) {
            let mut turn = Turn::start(START);
            let ended = START + slept;
            turn.end_wait(START, wait, ended);
            turn.end_turn(false);
            turn.end_wait(ended, MAX_WAIT_US, ended);
            let missed = slept - turn.unread_delay(ended);
            assert!(
                missed <= SLACK_US,
                "{missed} us of {slept} us, in a wait of {wait} us"
            );
        }
    }
}

#[test]
fn what_comes_in_a_wait_that_ends_in_time_has_not_waited() {
    let mut turn = Turn::start(START);
    let mut now = START;
    for _ in 0..100 {
        turn.end_wait(now, MAX_WAIT_US, now + MAX_WAIT_US);
        now += MAX_WAIT_US;
        assert_eq!(turn.unread_delay(now), 0);
        turn.end_turn(false);
    }
}
