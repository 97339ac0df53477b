//! What is open on a connection under an id.

use crate::core::{AttemptId, AttemptResult};
use crate::wire::resp;
use linnetknot::Micros;

/// What is open on a connection under an id.
pub(super) enum Stream {
    /// An attempt whose answer is awaited.
    Attempt(SentAttempt),
    /// An attempt that was given up. A further attempt of the request at this cache must come behind the abort, so it
    /// takes this connection: on another one the cache might read it first and have two at once.
    Aborted {
        /// When it was given up.
        at: Micros,
        /// Its end, until that is reported.
        pending: Option<PendingEnd>,
    },
    /// Answered without being served. A cache may say so twice, and a further attempt of the request here would take
    /// the repeat for its own answer: it goes by another connection.
    Answered {
        /// When the answer came.
        at: Micros,
    },
    /// A health check.
    HealthCheck {
        /// When it was sent.
        sent_at: Micros,
    },
}

impl Stream {
    /// Whether its answer is awaited.
    pub(super) fn is_live(&self) -> bool {
        matches!(self, Stream::Attempt(_) | Stream::HealthCheck { .. })
    }

    /// Whether it is over and only remembered.
    pub(super) fn is_finished(&self) -> bool {
        self.finished_at().is_some()
    }

    /// Whether a further attempt may take its id here.
    pub(super) fn is_free(&self) -> bool {
        matches!(self, Stream::Aborted { pending: None, .. })
    }

    /// When it ended, if it is over and only remembered.
    pub(super) fn finished_at(&self) -> Option<Micros> {
        match self {
            Stream::Aborted { at, pending: None } | Stream::Answered { at } => Some(*at),
            _ => None,
        }
    }

    /// Its end that is still to be reported, if it was given up.
    pub(super) fn pending_end(&self) -> Option<&PendingEnd> {
        match self {
            Stream::Aborted { pending, .. } => pending.as_ref(),
            _ => None,
        }
    }
}

/// An attempt that was started and not answered.
pub(super) struct SentAttempt {
    pub(super) attempt: AttemptId,
    pub(super) at: Micros,
    /// What the origin's clock had reached by then, as far as was known.
    pub(super) origin_at: Micros,
    /// So many bytes are written once all of its frame is.
    pub(super) end_offset: u64,
    /// The greatest age of a copy that the request allows.
    pub(super) max_age_us: Option<Micros>,
    /// An attempt of the same request was given up here before it.
    pub(super) follows_abort: bool,
}

/// When the origin gave out the copy that an answer brings, in Unix milliseconds.
pub(super) fn made_ms(fields: &[u8]) -> Option<u64> {
    resp::field(fields, "made")?.parse().ok()
}

impl SentAttempt {
    /// Whether an answer brings a copy that is older than the request allows: no cache may give one, so it is not
    /// passed on.
    pub(super) fn is_too_old(&self, fields: &[u8]) -> bool {
        let Some((made_ms, max_age_us)) = made_ms(fields).zip(self.max_age_us) else {
            return false;
        };
        // The date is rounded down to a millisecond.
        let made_us = made_ms.saturating_add(1).saturating_mul(1000);
        made_us.saturating_add(max_age_us) < self.origin_at
    }
}

/// The end of an attempt that was given up, not reported yet.
pub(super) struct PendingEnd {
    pub(super) attempt: AttemptId,
    /// How it will be reported.
    pub(super) result: AttemptResult,
    /// So many bytes are written once all of its abort is; none: the abort is still queued.
    pub(super) end_offset: Option<u64>,
    /// When the abort was seen to be written.
    pub(super) written_at: Option<Micros>,
}
