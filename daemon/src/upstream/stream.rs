//! What is open on a link under an id.

use crate::core::{AttemptId, AttemptResult};
use crate::wire::resp;
use linnetknot::Micros;

/// What is open on a link under an id.
pub(super) enum Stream {
    Attempt(Sent),
    /// Given up at this time. A further attempt of the request at this box must come behind the abort, so it takes this
    /// connection: on another one the box might read it first and have two at once.
    GivenUp(Micros, Option<Unreported>),
    /// Answered without being served, at this time. A box may say it twice, and a further attempt of the request here
    /// would take the repeat for its own answer: it goes by another connection.
    Answered(Micros),
    /// A probe, sent at this time.
    Probe(Micros),
}

impl Stream {
    /// Whether something is out under its id.
    pub(super) fn is_live(&self) -> bool {
        matches!(self, Stream::Attempt(_) | Stream::Probe(_))
    }
}

/// An attempt on its way.
pub(super) struct Sent {
    pub(super) attempt: AttemptId,
    pub(super) at: Micros,
    /// What the origin's clock had reached by then, as far as was known.
    pub(super) origin_at: Micros,
    /// So many bytes are written once it is whole.
    pub(super) end_offset: u64,
    /// The oldest copy that will do, as its box was told.
    pub(super) max_age_us: Option<Micros>,
    /// An attempt of the same request was given up here before it.
    pub(super) behind: bool,
}

/// When the origin gave out the copy that an answer brings, in Unix milliseconds.
pub(super) fn made_ms(fields: &[u8]) -> Option<u64> {
    resp::field(fields, "made")?.parse().ok()
}

impl Sent {
    /// Whether an answer brings a copy from before what the attempt asked for: no box may give one, so it is
    /// not passed on.
    pub(super) fn is_too_old(&self, fields: &[u8]) -> bool {
        made_ms(fields)
            .zip(self.max_age_us)
            .is_some_and(|(ms, age)| {
                (ms.saturating_add(1))
                    .saturating_mul(1000)
                    .saturating_add(age)
                    < self.origin_at
            })
    }
}

/// An attempt that was given up and is not reported as ended yet.
pub(super) struct Unreported {
    pub(super) attempt: AttemptId,
    /// How it will be reported.
    pub(super) ended: AttemptResult,
    /// So many bytes are written once its abort is; none: that has not begun.
    pub(super) end_offset: Option<u64>,
    /// When that was seen.
    pub(super) written: Option<Micros>,
}
