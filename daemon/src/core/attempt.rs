//! An attempt at a pop cache: its name, where it goes and how it ended.

use super::{Content, Ticket};
use linnetknot::{Fill, Load, Micros, Note, Outcome, ServerId};

/// An attempt, by its request and its place among that request's attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The request.
    pub ticket: Ticket,
    /// Which one, from 0.
    pub number: u32,
}

/// What an upstream needs to know to send an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sending {
    /// The box.
    pub server: ServerId,
    /// How a miss is filled; none: what the box holds only.
    pub fill: Option<Fill>,
    /// When it is given up at the latest.
    pub until: Micros,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// Its outcome.
    pub outcome: Outcome,
    /// How the answer was made.
    pub note: Note,
    /// The fill's wait for its first byte.
    pub waited_us: Micros,
    /// The box's report of its load.
    pub load: Option<Load>,
    /// What an answer `Ok` brought.
    pub content: Option<Content>,
}

impl From<Outcome> for Ended {
    fn from(outcome: Outcome) -> Self {
        Ended {
            outcome,
            note: Note::None,
            waited_us: 0,
            load: None,
            content: None,
        }
    }
}

/// An attempt that is out: queued for a connection, or written and not ended yet.
pub(super) struct OutstandingAttempt {
    pub(super) number: u32,
    /// When it was handed to an upstream.
    pub(super) sent_at: Micros,
    pub(super) sending: Sending,
    /// Its first byte is written. Until then no cache can know of it, and it is recalled without a trace.
    pub(super) begun: bool,
    /// Given up, with the outcome to report once that is done.
    pub(super) given_up: Option<Outcome>,
}
