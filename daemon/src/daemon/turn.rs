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
const MAX_CUT_SHORT: u32 = 3;
/// A delay below this is the loop's usual work, and counts as none.
const USUAL_US: Micros = 60_000;

/// The loop's latest wait for events, and what followed from it.
#[derive(Default)]
pub(super) struct Turn {
    /// The waits until now have reported all that had arrived by then.
    reported_until: Micros,
    /// What the latest wait reported arrived at that time or later.
    arrived_since: Micros,
    /// When the latest wait ended.
    waited: Micros,
    /// What `reported_until` becomes once all that the latest wait reported is handled.
    reporting_until: Micros,
    /// When the latest step of the turn ended.
    stepped: Micros,
    /// So many turns in a row were cut short, as their events were out of date.
    turns_cut_short: u32,
}

impl Turn {
    /// The loop begins.
    pub(super) fn start(now: Micros) -> Self {
        Turn {
            reported_until: now,
            arrived_since: now,
            waited: now,
            reporting_until: now,
            stepped: now,
            turns_cut_short: 0,
        }
    }

    /// A wait from `began` to `ended` that was to last for `wait` at the most.
    pub(super) fn wait_ended(&mut self, began: Micros, wait: Micros, ended: Micros) {
        let slept = ended.saturating_sub(began);
        let asleep = slept.min(wait);
        self.reported_until += asleep;
        self.arrived_since = self.reported_until.min(ended);
        // A process that is stopped at the end of its wait goes on with the events of before the stop, or with none: what
        // arrived meanwhile is reported by the next wait.
        self.reporting_until = if slept <= wait + USUAL_US {
            ended
        } else {
            self.reported_until
        };
        (self.waited, self.stepped) = (ended, ended);
    }

    /// For how long what is read now may have waited to be read.
    pub(super) fn waited_unread(&self, now: Micros) -> Micros {
        let unread = now.saturating_sub(self.arrived_since);
        if unread > USUAL_US {
            unread
        } else {
            0
        }
    }

    /// Whether the events of this turn are out of date after a step of it: then the turn is cut short, and they are polled
    /// for again, with those of clients that have gone meanwhile. Not without end, so that all events are handled in time.
    pub(super) fn is_old(&mut self, now: Micros) -> bool {
        let step = now.saturating_sub(std::mem::replace(&mut self.stepped, now));
        let turn = now.saturating_sub(self.waited);
        step > DELAYED_STEP_US && self.turns_cut_short < MAX_CUT_SHORT
            || turn > DELAYED_TURN_US && self.turns_cut_short == 0
    }

    /// This turn is over; `cut_short`: with events left, which the next wait reports once more.
    pub(super) fn over(&mut self, cut_short: bool) {
        if cut_short {
            self.turns_cut_short += 1;
        } else {
            self.turns_cut_short = 0;
            self.reported_until = self.reporting_until;
        }
    }
}
