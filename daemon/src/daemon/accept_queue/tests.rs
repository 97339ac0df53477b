//! Tests of the estimated waiting time of connections in the accept queue.

use super::{AcceptQueue, MAX_QUEUED_CONNECTIONS};
use crate::daemon::turn::Turn;
use linnetknot::Micros;

const MS: Micros = 1_000;
const START: Micros = 1_000 * MS;
const TURN: Micros = 20 * MS;

/// Begins the next turn, which follows a wait that returned at once.
fn next_turn(turn: &mut Turn, now: &mut Micros) {
    turn.end_turn(false);
    turn.end_wait(*now, 0, *now);
}

#[test]
fn time_in_the_queue_counts_until_the_queue_is_emptied() {
    let (mut turn, mut now) = (Turn::start(START), START);
    let mut queue = AcceptQueue::default();
    turn.end_wait(now, 0, now);
    for turns in 1..=50 {
        now += TURN;
        queue.partly_accepted(now, &turn);
        next_turn(&mut turn, &mut now);
        let input = queue.input_of_accepted(&turn);
        let waited = turns * TURN;
        let delay = Turn::delay_since(now, turn.input_arrived_since(Some(input)));
        assert!(delay == waited || waited <= 60 * MS, "{delay} of {waited}");
    }
    queue.emptied(&turn);
    now += TURN;
    next_turn(&mut turn, &mut now);
    next_turn(&mut turn, &mut now);
    let input = queue.input_of_accepted(&turn);
    assert_eq!(
        Turn::delay_since(now, turn.input_arrived_since(Some(input))),
        0
    );
}

/// A queue that is never empty holds at most `MAX_QUEUED_CONNECTIONS`, so the time in it is bounded by the time that
/// accepting that many takes.
#[test]
fn time_in_a_queue_that_is_never_empty_is_bounded_by_its_size() {
    const PER_TURN: usize = 128;
    let turns_per_queue = (MAX_QUEUED_CONNECTIONS / PER_TURN) as u64;
    let (mut turn, mut now) = (Turn::start(START), START);
    let mut queue = AcceptQueue::default();
    turn.end_wait(now, 0, now);
    for _ in 0..10 * turns_per_queue {
        for _ in 0..PER_TURN {
            let input = queue.input_of_accepted(&turn);
            let delay = Turn::delay_since(now, turn.input_arrived_since(Some(input)));
            assert!(delay <= (2 * turns_per_queue + 4) * TURN, "{delay}");
        }
        now += TURN;
        queue.partly_accepted(now, &turn);
        next_turn(&mut turn, &mut now);
    }
}
