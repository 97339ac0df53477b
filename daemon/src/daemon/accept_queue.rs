//! How long the connections that a listener accepts may have waited in the kernel's accept queue.
//!
//! A turn may accept only some of the connections that wait. The input of the others waits as well, and the time counts
//! against the deadlines of their requests.

use super::turn::{Turn, UnhandledInput};
use linnetknot::Micros;

#[cfg(test)]
mod tests;

/// The maximum number of connections that wait in an accept queue (the usual `net.core.somaxconn`).
const MAX_QUEUED_CONNECTIONS: usize = 4_096;

/// A point in time, and the number of connections that were accepted since.
#[derive(Clone, Copy, Debug)]
struct Checkpoint {
    at: Micros,
    accepted: usize,
}

/// The state of a listener's accept queue.
#[derive(Debug, Default)]
pub(super) struct AcceptQueue {
    /// Set while connections wait that an earlier turn did not accept.
    unhandled: Option<UnhandledInput>,
    /// Once as many connections as fit into the queue were accepted after the checkpoint, all that were queued then have
    /// been accepted.
    checkpoint: Option<Checkpoint>,
    /// The latest turn that accepted connections.
    last_handled_turn: u64,
}

impl AcceptQueue {
    /// Returns the latest turn that accepted connections.
    pub(super) fn last_handled_turn(&self) -> u64 {
        self.last_handled_turn
    }

    /// Returns the record for the input of a connection that is accepted now.
    pub(super) fn input_of_accepted(&mut self, turn: &Turn) -> UnhandledInput {
        if let Some(checkpoint) = &mut self.checkpoint {
            checkpoint.accepted += 1;
        }
        turn.carry_over(self.unhandled)
    }

    /// Records that this turn accepts no connections although some wait.
    pub(super) fn carry_over(&mut self, turn: &Turn) {
        self.unhandled = Some(turn.carry_over(self.unhandled));
    }

    /// Records that this turn has accepted all connections that waited, or that how long others wait is not recorded: the
    /// listener is paused, or evictions took the time of the step.
    pub(super) fn emptied(&mut self, turn: &Turn) {
        self.unhandled = None;
        self.checkpoint = None;
        self.last_handled_turn = turn.number();
    }

    /// Records that this turn has accepted as many connections as a step may, and that others may still wait.
    pub(super) fn partly_accepted(&mut self, now: Micros, turn: &Turn) {
        self.last_handled_turn = turn.number();
        let checkpoint = self.checkpoint.unwrap_or(Checkpoint {
            at: now,
            accepted: 0,
        });
        if checkpoint.accepted >= MAX_QUEUED_CONNECTIONS {
            self.unhandled = Some(turn.unhandled_since(checkpoint.at));
            self.checkpoint = None;
        } else {
            self.carry_over(turn);
            self.checkpoint = Some(checkpoint);
        }
    }
}
