//! Statistics of the event loop: how long its turns and steps take, and how late its timers run.
//!
//! The delay of a timer is recorded twice: in real time, and in processor time of the loop's thread. The second excludes
//! the time in which the machine ran other threads, so it shows what the loop itself has caused.

use super::turn::EventKind;
use hdrhistogram::Histogram;
use linnetknot::Micros;
use rustix::time::{clock_gettime, ClockId};

#[cfg(test)]
mod tests;

/// Delays over this many microseconds are recorded as this value.
const MAX_RECORDED_US: Micros = 60_000_000;
/// The number of significant decimal digits of recorded values.
const PRECISION_DIGITS: u8 = 2;
/// Up to this delay no processor time is read.
const NEGLIGIBLE_DELAY_US: Micros = 1_000;
/// A timer that runs later than this is reported in the log.
const MAX_NORMAL_TIMER_DELAY_US: Micros = 100_000;
/// An episode of late timers ends after this time without one.
const EPISODE_END_US: Micros = 10_000_000;

/// A period in which timers run late. It is logged once at its start and once at its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LateTimers {
    latest_at: Micros,
    /// The number of late timers.
    pub(super) count: u64,
    /// The largest delay, in microseconds.
    pub(super) max_delay_us: Micros,
}

/// Statistics since the start of the process.
pub(super) struct LoopStatistics {
    turns: Histogram<u64>,
    timer_delays: Histogram<u64>,
    timer_cpu_delays: Histogram<u64>,
    /// The longest step of each kind of events, in the order of `EventKind::ALL`.
    longest_steps_us: [Micros; EventKind::ALL.len()],
    /// The processor time of the thread when all due timers had last run.
    cpu_at_timers_us: Micros,
    episode: Option<LateTimers>,
}

/// Returns the processor time that this thread has used, in microseconds.
fn thread_cpu_time() -> Micros {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as Micros * 1_000_000 + time.tv_nsec as Micros / 1_000
}

fn histogram() -> Histogram<u64> {
    // The bounds are constants that `Histogram` accepts.
    Histogram::new_with_bounds(1, MAX_RECORDED_US, PRECISION_DIGITS).expect("valid bounds")
}

impl LoopStatistics {
    /// Creates empty statistics. To be called on the thread of the loop.
    pub(super) fn start() -> Self {
        LoopStatistics {
            turns: histogram(),
            timer_delays: histogram(),
            timer_cpu_delays: histogram(),
            longest_steps_us: [0; EventKind::ALL.len()],
            cpu_at_timers_us: thread_cpu_time(),
            episode: None,
        }
    }

    /// Records a step that handled an event.
    pub(super) fn record_step(&mut self, kind: EventKind, took_us: Micros) {
        let longest = &mut self.longest_steps_us[kind as usize];
        *longest = took_us.max(*longest);
    }

    /// Records the duration of a turn without its wait.
    pub(super) fn record_turn(&mut self, took_us: Micros) {
        self.turns.saturating_record(took_us);
    }

    /// Records that a timer runs that was due `delay_us` ago. Returns the episode if this timer begins one.
    pub(super) fn record_timer(&mut self, now: Micros, delay_us: Micros) -> Option<LateTimers> {
        self.timer_delays.saturating_record(delay_us);
        self.timer_cpu_delays
            .saturating_record(self.cpu_delay(delay_us));
        if delay_us <= MAX_NORMAL_TIMER_DELAY_US {
            return None;
        }
        let earlier = self.episode;
        self.episode = Some(LateTimers {
            latest_at: now,
            count: earlier.map_or(0, |episode| episode.count) + 1,
            max_delay_us: earlier
                .map_or(0, |episode| episode.max_delay_us)
                .max(delay_us),
        });
        self.episode.filter(|_| earlier.is_none())
    }

    /// Returns how much processor time the loop may have used since a timer fell due.
    fn cpu_delay(&self, delay_us: Micros) -> Micros {
        if delay_us <= NEGLIGIBLE_DELAY_US {
            return delay_us;
        }
        // The timer fell due after all due timers had last run, so this is the largest possible value.
        let used_us = thread_cpu_time().saturating_sub(self.cpu_at_timers_us);
        used_us.min(delay_us)
    }

    /// Records that all due timers have run.
    pub(super) fn timers_finished(&mut self) {
        self.cpu_at_timers_us = thread_cpu_time();
    }

    /// Returns the episode of late timers that has ended, once.
    pub(super) fn take_ended_episode(&mut self, now: Micros) -> Option<LateTimers> {
        self.episode
            .take_if(|episode| episode.latest_at + EPISODE_END_US <= now)
    }

    /// Logs the statistics at the exit of the process.
    pub(super) fn log(&self) {
        let longest = |kind: EventKind| self.longest_steps_us[kind as usize];
        log::info!(
            turns = self.turns.len(),
            longest_turn_us = self.turns.max(),
            timers = self.timer_delays.len(),
            timer_delay_p99_us = self.timer_delays.value_at_quantile(0.99),
            longest_timer_delay_us = self.timer_delays.max(),
            longest_timer_delay_cpu_us = self.timer_cpu_delays.max(),
            longest_hang_up_us = longest(EventKind::HangUp),
            longest_notification_us = longest(EventKind::Notification),
            longest_client_input_us = longest(EventKind::ClientInput),
            longest_accept_us = longest(EventKind::NewClient),
            longest_cache_response_us = longest(EventKind::CacheResponse);
            "turns, steps and timers of the event loop"
        );
    }
}
