//! Timing of one turn of the event loop.
//!
//! If the process is stopped or busy for a long time, which may be a second or more, client requests wait in the socket
//! buffers before they are read, and events that epoll reported earlier are stale. `Turn` estimates how long requests
//! have waited, and detects stale turns.
//!
//! Each kind of events has a share of the turn. Events that exceed the share are carried over to the next turn, so that
//! due timers run between the shares and no kind of events delays the others.

use linnetknot::Micros;

#[cfg(test)]
mod tests;

/// The longest wait for events. If the process is stopped during a wait, the stop can't be distinguished from the wait
/// itself. The longest delay that may go undetected is therefore this plus `MAX_NORMAL_DELAY_US`. The sum must stay
/// below the time by which a forwarded deadline may exceed the remaining time of the client.
pub(super) const MAX_WAIT_US: Micros = 80_000;

/// If one step of a turn takes longer than this, the rest of the turn is stale and its events are polled for again.
const DELAYED_STEP_US: Micros = 50_000;
/// If all steps of a turn together take longer than this, the rest of the turn is stale as well.
const DELAYED_TURN_US: Micros = 100_000;
/// The maximum number of consecutive interrupted turns, so that all events are handled eventually.
const MAX_CONSECUTIVE_INTERRUPTED_TURNS: u32 = 3;
/// The longest delay that is regarded as normal operation. See `MAX_WAIT_US` for the limit of their sum.
const MAX_NORMAL_DELAY_US: Micros = 60_000;

/// The time that the events of one kind may take in a turn. Each kind handles at least one event.
const MAX_KIND_TIME_US: Micros = 10_000;
/// The time that due timers may take in a turn.
const MAX_TIMERS_TIME_US: Micros = 10_000;

/// The kinds of events, in the order in which a turn handles them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EventKind {
    /// A client has closed its connection.
    HangUp,
    /// Signals, and updates from operators, peers and other exchanges.
    Notification,
    /// Input of clients.
    ClientInput,
    /// Connections of clients that wait to be accepted.
    NewClient,
    /// Responses of cache servers, which may start further attempts.
    CacheResponse,
}

impl EventKind {
    /// All kinds, in the order in which a turn handles them.
    pub(super) const ALL: [EventKind; 5] = [
        EventKind::HangUp,
        EventKind::Notification,
        EventKind::ClientInput,
        EventKind::NewClient,
        EventKind::CacheResponse,
    ];

    /// Whether the time that events of this kind may take in a turn is limited. Hang-ups and notifications are always
    /// handled, because no attempt may start after them that they rule out.
    pub(super) fn has_share(self) -> bool {
        self >= EventKind::ClientInput
    }
}

/// Input of a connection that was reported or may have arrived in a turn, and that the turn did not handle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct UnhandledInput {
    /// The earliest time at which the input may have arrived.
    arrived_since: Micros,
    /// The turn that did not handle the input.
    turn: u64,
}

/// The latest wait for events and the turn that follows it.
#[derive(Default)]
pub(super) struct Turn {
    /// The number of this turn.
    number: u64,
    /// epoll has reported all input that arrived before this time.
    reported_until: Micros,
    /// The earliest time at which the input that the latest wait reported may have arrived.
    arrived_since: Micros,
    wait_ended_at: Micros,
    /// The value that `reported_until` gets when the turn ends.
    reported_until_after_turn: Micros,
    last_step_ended_at: Micros,
    consecutive_interrupted_turns: u32,
    /// The kind of the latest event of this turn, and when its share began.
    current_kind: Option<(EventKind, Micros)>,
}

impl Turn {
    pub(super) fn start(now: Micros) -> Self {
        Turn {
            number: 0,
            reported_until: now,
            arrived_since: now,
            wait_ended_at: now,
            reported_until_after_turn: now,
            last_step_ended_at: now,
            consecutive_interrupted_turns: 0,
            current_kind: None,
        }
    }

    /// Returns the number of this turn.
    pub(super) fn number(&self) -> u64 {
        self.number
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
        self.current_kind = None;
        self.number += 1;
    }

    /// Returns how long input that is read now and was reported by the latest wait may have waited in the socket buffer;
    /// 0 if the delay is normal.
    #[cfg(test)]
    pub(super) fn unread_delay(&self, now: Micros) -> Micros {
        Self::delay_since(now, self.input_arrived_since(None))
    }

    /// Returns the earliest time at which input that is read now may have arrived. `earlier` tells whether an earlier turn
    /// did not handle the input of the connection.
    pub(super) fn input_arrived_since(&self, earlier: Option<UnhandledInput>) -> Micros {
        self.current(earlier)
            .map_or(self.arrived_since, |input| input.arrived_since)
    }

    /// Returns how long this turn has been running.
    pub(super) fn age(&self, now: Micros) -> Micros {
        now.saturating_sub(self.wait_ended_at)
    }

    /// Returns the record for input that this turn does not handle.
    pub(super) fn carry_over(&self, earlier: Option<UnhandledInput>) -> UnhandledInput {
        UnhandledInput {
            arrived_since: self.input_arrived_since(earlier),
            turn: self.number,
        }
    }

    /// Returns the record for input that may have arrived at any time since `arrived_since`.
    pub(super) fn unhandled_since(&self, arrived_since: Micros) -> UnhandledInput {
        UnhandledInput {
            arrived_since,
            turn: self.number,
        }
    }

    /// Returns the record of unhandled input if it still applies. If the turn after it neither handled the input nor
    /// renewed the record, there was no input, and later input is reported anew.
    pub(super) fn current(&self, earlier: Option<UnhandledInput>) -> Option<UnhandledInput> {
        earlier.filter(|input| input.turn + 1 >= self.number)
    }

    /// Returns how long input that arrived at `since` has waited; 0 if the delay is normal.
    pub(super) fn delay_since(now: Micros, since: Micros) -> Micros {
        let delay = now.saturating_sub(since);
        if delay > MAX_NORMAL_DELAY_US {
            delay
        } else {
            0
        }
    }

    /// Returns whether the events of this kind have used their share of the turn.
    pub(super) fn has_used_share(&mut self, now: Micros, kind: EventKind) -> bool {
        match self.current_kind {
            Some((current, since)) if current == kind => {
                kind.has_share() && now.saturating_sub(since) > MAX_KIND_TIME_US
            }
            _ => {
                self.current_kind = Some((kind, now));
                false
            }
        }
    }

    /// Returns whether the timers, which began to run at `began`, have used their share of the turn.
    pub(super) fn have_timers_used_share(began: Micros, now: Micros) -> bool {
        now.saturating_sub(began) > MAX_TIMERS_TIME_US
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

    /// Ends the turn. The input that it did not handle is recorded in the connections (`UnhandledInput`), and the next
    /// wait reports it again.
    pub(super) fn end_turn(&mut self, interrupted: bool) {
        self.reported_until = self.reported_until_after_turn;
        if interrupted {
            self.consecutive_interrupted_turns += 1;
        } else {
            self.consecutive_interrupted_turns = 0;
        }
    }
}
