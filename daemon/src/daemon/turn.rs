//! Timing of one turn of the event loop.
//!
//! If the process is stopped or busy for a long time, client requests wait in the socket buffers before they are read,
//! and events that epoll reported earlier are stale. `Turn` estimates how long requests have waited, and detects stale
//! turns.

use linnetknot::Micros;

#[cfg(test)]
mod tests;

/// The longest wait for events. If the process is stopped during a wait, the stop can't be distinguished from the wait
/// itself. The longest delay that may go undetected is therefore this plus `MAX_NORMAL_DELAY_US`.
pub(super) const MAX_WAIT_US: Micros = 80_000;

/// If one step of a turn takes longer than this, the rest of the turn is stale and its events are polled for again.
const DELAYED_STEP_US: Micros = 50_000;
/// If all steps of a turn together take longer than this, the rest of the turn is stale as well.
const DELAYED_TURN_US: Micros = 100_000;
/// The maximum number of consecutive interrupted turns, so that all events are handled eventually.
const MAX_CONSECUTIVE_INTERRUPTED_TURNS: u32 = 3;
/// The longest delay that is regarded as normal operation.
const MAX_NORMAL_DELAY_US: Micros = 60_000;

/// The latest wait for events and the turn that follows it.
#[derive(Default)]
pub(super) struct Turn {
    /// epoll has reported all input that arrived before this time.
    reported_until: Micros,
    /// The earliest time at which the input that the latest wait reported may have arrived.
    arrived_since: Micros,
    wait_ended_at: Micros,
    /// The value that `reported_until` gets when the turn ends without interruption.
    reported_until_after_turn: Micros,
    last_step_ended_at: Micros,
    consecutive_interrupted_turns: u32,
}

impl Turn {
    pub(super) fn start(now: Micros) -> Self {
        Turn {
            reported_until: now,
            arrived_since: now,
            wait_ended_at: now,
            reported_until_after_turn: now,
            last_step_ended_at: now,
            consecutive_interrupted_turns: 0,
        }
    }

    /// Records a wait from `began` to `ended` whose timeout was `wait`.
    pub(super) fn end_wait(&mut self, began: Micros, wait: Micros, ended: Micros) {
        let slept = ended.saturating_sub(began);
        let asleep = slept.min(wait);
        self.reported_until += asleep;
        self.arrived_since = self.reported_until.min(ended);
        // If the process was stopped at the end of its wait, this wait returned at most the events from before the
        // stop. Later input is reported by the next wait.
        self.reported_until_after_turn = if slept <= wait + MAX_NORMAL_DELAY_US {
            ended
        } else {
            self.reported_until
        };
        (self.wait_ended_at, self.last_step_ended_at) = (ended, ended);
    }

    /// Returns how long input that is read now may have waited in the socket buffer; 0 if the delay is normal.
    pub(super) fn unread_delay(&self, now: Micros) -> Micros {
        let unread = now.saturating_sub(self.arrived_since);
        if unread > MAX_NORMAL_DELAY_US {
            unread
        } else {
            0
        }
    }

    /// Returns whether the remaining events of this turn are stale, and records the end of a step. A stale turn is
    /// interrupted and its events are polled for again, so that clients that disconnected meanwhile are detected
    /// first.
    pub(super) fn is_stale(&mut self, now: Micros) -> bool {
        let step = now.saturating_sub(std::mem::replace(&mut self.last_step_ended_at, now));
        let turn = now.saturating_sub(self.wait_ended_at);
        step > DELAYED_STEP_US
            && self.consecutive_interrupted_turns < MAX_CONSECUTIVE_INTERRUPTED_TURNS
            || turn > DELAYED_TURN_US && self.consecutive_interrupted_turns == 0
    }

    /// Ends the turn. The events that an interrupted turn left unhandled are reported again by the next wait.
    pub(super) fn end_turn(&mut self, interrupted: bool) {
        if interrupted {
            self.consecutive_interrupted_turns += 1;
        } else {
            self.consecutive_interrupted_turns = 0;
            self.reported_until = self.reported_until_after_turn;
        }
    }
}
