//! Tests of what a turn of the loop knows of the time.

use super::{Turn, MAX_WAIT_US};
use linnetknot::Micros;

const MS: Micros = 1_000;
const START: Micros = 1_000 * MS;
/// How much more than a client has left may be passed on.
const SLACK_US: Micros = 150 * MS;

/// A process that waits may be stopped at once, and what a client sends may come at once as well.
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

/// Stopped at the end of a wait, it goes on with the events of before the stop, or with none where a signal interrupted
/// the wait, and the next wait tells of all others.
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
