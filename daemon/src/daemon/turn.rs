//! The time of one turn of the event loop. A process may be stopped, or be busy with its own work, for a second and
//! more: what clients sent meanwhile arrived long before it is read, and what is known of them is out of date by then.

use linnetknot::Micros;

#[cfg(test)]
mod tests;

/// The longest wait of the loop. A process that is stopped while it waits can't tell that from a wait for events, as long as
/// the wait could have lasted that long: so this and `USUAL_US` together stay under what a deadline may be passed on late.
pub(super) const MAX_WAIT_US: Micros = 80_000;

/// A step of a turn that takes longer than this was delayed, or the process was stopped: the remaining events of the turn
/// are polled for again before anything follows from them.
const DELAYED_STEP_US: Micros = 50_000;
/// The same for a turn of many steps.
const DELAYED_TURN_US: Micros = 100_000;
/// At most so many turns in a row are cut short for a delayed step.
const MAX_CONSECUTIVE_INTERRUPTED_TURNS: u32 = 3;
/// A delay below this is the loop's usual work, and counts as none.
const MAX_NORMAL_DELAY_US: Micros = 60_000;

/// The loop's latest wait for events, and what followed from it.
#[derive(Default)]
pub(super) struct Turn {
    /// The waits until now have reported all that had arrived by then.
    reported_until: Micros,
    /// What the latest wait reported arrived at that time or later.
    arrived_since: Micros,
    /// When the latest wait ended.
    wait_ended_at: Micros,
    /// What `reported_until` becomes once all that the latest wait reported is handled.
    reported_until_after_turn: Micros,
    /// When the latest step of the turn ended.
    last_step_ended_at: Micros,
    /// So many turns in a row were cut short, as their events were out of date.
    consecutive_interrupted_turns: u32,
}

impl Turn {
    /// The loop begins.
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

    /// A wait from `began` to `ended` that was to last for `wait` at the most.
    pub(super) fn end_wait(&mut self, began: Micros, wait: Micros, ended: Micros) {
        let slept = ended.saturating_sub(began);
        let asleep = slept.min(wait);
        self.reported_until += asleep;
        self.arrived_since = self.reported_until.min(ended);
        // A process that is stopped at the end of its wait goes on with the events of before the stop, or with none: what
        // arrived meanwhile is reported by the next wait.
        self.reported_until_after_turn = if slept <= wait + MAX_NORMAL_DELAY_US {
            ended
        } else {
            self.reported_until
        };
        (self.wait_ended_at, self.last_step_ended_at) = (ended, ended);
    }

    /// For how long what is read now may have waited to be read.
    pub(super) fn unread_delay(&self, now: Micros) -> Micros {
        let unread = now.saturating_sub(self.arrived_since);
        if unread > MAX_NORMAL_DELAY_US {
            unread
        } else {
            0
        }
    }

    /// Whether the events of this turn are out of date after a step of it: then the turn is cut short, and they are polled
    /// for again, with those of clients that have gone meanwhile. Not without end, so that all events are handled in time.
    pub(super) fn is_stale(&mut self, now: Micros) -> bool {
        let step = now.saturating_sub(std::mem::replace(&mut self.last_step_ended_at, now));
        let turn = now.saturating_sub(self.wait_ended_at);
        step > DELAYED_STEP_US
            && self.consecutive_interrupted_turns < MAX_CONSECUTIVE_INTERRUPTED_TURNS
            || turn > DELAYED_TURN_US && self.consecutive_interrupted_turns == 0
    }

    /// This turn is over; `cut_short`: with events left, which the next wait reports once more.
    pub(super) fn end_turn(&mut self, interrupted: bool) {
        if interrupted {
            self.consecutive_interrupted_turns += 1;
        } else {
            self.consecutive_interrupted_turns = 0;
            self.reported_until = self.reported_until_after_turn;
        }
    }
}
