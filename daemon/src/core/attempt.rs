//! An attempt at a pop cache: its name, where it goes and how it ended.

use super::{ClientRequest, Content, RequestKey};
use linnetknot::{Fill, Load, Micros, Note, Outcome, ServerId};

/// An attempt, by its request and its number among that request's attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The request.
    pub request: RequestKey,
    /// Its number, from 0.
    pub number: u32,
}

/// Where an attempt goes, and on what terms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptTarget {
    /// The cache that it is sent to.
    pub server: ServerId,
    /// How the cache fills a miss; none: it may only serve what it has.
    pub fill: Option<Fill>,
    /// When the attempt is given up at the latest.
    pub deadline: Micros,
}

/// What an upstream needs to know to send an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Dispatch<'a> {
    /// The request.
    pub request: &'a ClientRequest,
    /// Where the attempt goes.
    pub target: AttemptTarget,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    /// Its outcome, as the decision module takes it.
    pub outcome: Outcome,
    /// How the answer was made.
    pub note: Note,
    /// How long the fill waited for its first byte.
    pub waited_us: Micros,
    /// The cache's load report, if the answer carried one.
    pub load: Option<Load>,
    /// What an answer with the outcome `Ok` brought.
    pub content: Option<Content>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        AttemptResult {
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
    pub(super) target: AttemptTarget,
    /// Its first byte is written. Until then no cache can know of it, and it is recalled without a trace.
    pub(super) started: bool,
    /// Given up, with the outcome to report once that is done.
    pub(super) cancelled: Option<Outcome>,
}
