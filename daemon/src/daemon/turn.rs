//! What one turn of the loop knows of the time. A process may be stopped, or be kept by its own work, for a second and
//! more: what clients sent meanwhile came long before it is read, and what is known of them is old by then.

use linnetknot::Micros;

#[cfg(test)]
mod tests;

/// The longest wait of the loop. A process that is stopped while it waits can't tell that from a wait for events, as long as
/// the wait could have lasted that long: so this and `USUAL_US` together stay under what a deadline may be passed on late.
pub(super) const MAX_WAIT_US: Micros = 80_000;

/// A step of a turn that takes longer than this was kept, or the process was stopped: the events of the turn that are
/// left are asked for anew before anything follows from them.
const KEPT_US: Micros = 50_000;
/// The same for a turn of many steps.
const LONG_TURN_US: Micros = 100_000;
/// So many turns in a row are broken off for a step that was kept.
const MAX_BROKEN_OFF: u32 = 3;
/// Less than this is the loop's usual work, and counts as no time at all.
const USUAL_US: Micros = 60_000;

/// The loop's latest wait for events, and what followed from it.
#[derive(Default)]
pub(super) struct Turn {
    /// All that had come by then was told by the waits until then.
    told_until: Micros,
    /// What the latest wait told came at that time or later.
    came_since: Micros,
    /// When the latest wait ended.
    waited: Micros,
    /// The same as `told_until`, once all that the latest wait told is taken up.
    telling_until: Micros,
    /// When its latest step ended.
    stepped: Micros,
    /// So many turns in a row were broken off, as their events had become old.
    broken_off: u32,
}

impl Turn {
    /// The loop begins.
    pub(super) fn start(now: Micros) -> Self {
        Turn {
            told_until: now,
            came_since: now,
            waited: now,
            telling_until: now,
            stepped: now,
            broken_off: 0,
        }
    }

    /// A wait from `began` to `ended` that was to last for `wait` at the most.
    pub(super) fn wait_ended(&mut self, began: Micros, wait: Micros, ended: Micros) {
        let slept = ended.saturating_sub(began);
        let asleep = slept.min(wait);
        self.told_until += asleep;
        self.came_since = self.told_until.min(ended);
        // A process that is stopped at the end of its wait goes on with the events of before the stop, or with none: what
        // came meanwhile is told by the next wait.
        self.telling_until = if slept <= wait + USUAL_US {
            ended
        } else {
            self.told_until
        };
        (self.waited, self.stepped) = (ended, ended);
    }

    /// For how long what is read now may have been there.
    pub(super) fn waited_unread(&self, now: Micros) -> Micros {
        let unread = now.saturating_sub(self.came_since);
        if unread > USUAL_US {
            unread
        } else {
            0
        }
    }

    /// Whether the events of this turn have become old, after a step of it: then it is broken off, and they are asked for
    /// anew, with those of clients that have gone meanwhile. Not for ever, so that all of them come to their turn.
    pub(super) fn is_old(&mut self, now: Micros) -> bool {
        let step = now.saturating_sub(std::mem::replace(&mut self.stepped, now));
        let turn = now.saturating_sub(self.waited);
        step > KEPT_US && self.broken_off < MAX_BROKEN_OFF
            || turn > LONG_TURN_US && self.broken_off == 0
    }

    /// This turn is over; `broken_off`: with events left, which the next wait tells once more.
    pub(super) fn over(&mut self, broken_off: bool) {
        if broken_off {
            self.broken_off += 1;
        } else {
            self.broken_off = 0;
            self.told_until = self.telling_until;
        }
    }
}
