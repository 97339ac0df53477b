//! An attempt at a pop cache: its id, its target and its result.

use super::{ClientRequest, Content, RequestKey};
use linnetknot::{Fill, Load, Micros, Note, Outcome, ServerId};

/// Identifies an attempt by its request and its number among the attempts of that request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The request that the attempt belongs to.
    pub request: RequestKey,
    /// The position of the attempt among the attempts of its request, starting at 0.
    pub number: u32,
}

/// The cache that an attempt is sent to, with its fill and its deadline.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptTarget {
    /// The cache that the attempt is sent to.
    pub server: ServerId,
    /// How the cache fills a miss. If `None`, it serves only what it has cached.
    pub fill: Option<Fill>,
    /// The time at which the attempt times out.
    pub deadline: Micros,
}

/// The request and the target of an attempt, from which its frame is written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Dispatch<'a> {
    /// The request that the attempt belongs to.
    pub request: &'a ClientRequest,
    /// The cache, the fill and the deadline of the attempt.
    pub target: AttemptTarget,
}

/// The result of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    /// The outcome that is reported to the decision module.
    pub outcome: Outcome,
    /// How the cache produced its response, for example from its copy or by a fill.
    pub note: Note,
    /// How long the fill of the cache waited for the first byte from its source.
    pub waited_us: Micros,
    /// The load report of the cache, if the response carried one.
    pub load: Option<Load>,
    /// The content of a response with the outcome `Ok`.
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

/// An attempt that is queued for a connection, or written and not finished.
pub(super) struct OutstandingAttempt {
    pub(super) number: u32,
    /// The time at which the attempt was passed to an upstream connection.
    pub(super) sent_at: Micros,
    pub(super) target: AttemptTarget,
    /// Whether the first byte of the attempt has been written to the connection. Before that, the cache has received
    /// nothing, so the attempt can be cancelled locally.
    pub(super) started: bool,
    /// The outcome to report once the cancellation is done, if the attempt was cancelled.
    pub(super) cancelled: Option<Outcome>,
}
