//! Tests of the statistics of the event loop.

use super::{LoopStatistics, EPISODE_END_US, MAX_NORMAL_TIMER_DELAY_US};

const START: u64 = 1_000_000;

#[test]
fn an_episode_of_late_timers_is_reported_once_at_its_start_and_once_at_its_end() {
    let mut statistics = LoopStatistics::start();
    let late = MAX_NORMAL_TIMER_DELAY_US + 1;
    assert_eq!(
        statistics.record_timer(START, MAX_NORMAL_TIMER_DELAY_US),
        None
    );
    assert!(statistics.record_timer(START, late).is_some());
    assert_eq!(statistics.record_timer(START + 5, 3 * late), None);
    assert_eq!(statistics.take_ended_episode(START + EPISODE_END_US), None);
    let ended = statistics.take_ended_episode(START + 5 + EPISODE_END_US);
    let ended = ended.expect("the episode has ended");
    assert_eq!((ended.count, ended.max_delay_us), (2, 3 * late));
    assert_eq!(
        statistics.take_ended_episode(START + 6 + EPISODE_END_US),
        None
    );
    assert!(statistics
        .record_timer(START + 7 + EPISODE_END_US, late)
        .is_some());
}
