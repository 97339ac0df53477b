//! The streams of a connection, each with an id.

use crate::core::{AttemptId, AttemptResult};
use crate::wire::resp;
use linnetknot::Micros;

/// The state of an id on a connection.
pub(super) enum Stream {
    /// An attempt that was sent and is not answered.
    Attempt(SentAttempt),
    /// An aborted attempt. A further attempt of the request at this cache must use this connection, behind the abort:
    /// on another one the cache might read it first and run both.
    Aborted {
        /// The time of the abort.
        at: Micros,
        /// The result, until it is reported.
        pending: Option<PendingEnd>,
    },
    /// An attempt that was answered but not served. The cache may repeat the response, which a further attempt of the
    /// request on this connection would take for its own, so that attempt uses another connection.
    Answered {
        /// The time of the response.
        at: Micros,
    },
    /// A health check.
    HealthCheck {
        /// The time at which it was sent.
        sent_at: Micros,
    },
}

impl Stream {
    /// Whether a response is expected.
    pub(super) fn is_live(&self) -> bool {
        matches!(self, Stream::Attempt(_) | Stream::HealthCheck { .. })
    }

    /// Whether it has ended and is only kept for later attempts with the id.
    pub(super) fn is_finished(&self) -> bool {
        self.finished_at().is_some()
    }

    /// Whether a further attempt with the id may be sent on this connection.
    pub(super) fn is_free(&self) -> bool {
        matches!(self, Stream::Aborted { pending: None, .. })
    }

    /// Returns when it ended, if it is only kept for later attempts with the id.
    pub(super) fn finished_at(&self) -> Option<Micros> {
        match self {
            Stream::Aborted { at, pending: None } | Stream::Answered { at } => Some(*at),
            _ => None,
        }
    }

    /// Returns the result that is still to be reported, if the attempt was aborted.
    pub(super) fn pending_end(&self) -> Option<&PendingEnd> {
        match self {
            Stream::Aborted { pending, .. } => pending.as_ref(),
            _ => None,
        }
    }
}

/// An attempt that was started and is not answered.
pub(super) struct SentAttempt {
    pub(super) attempt: AttemptId,
    pub(super) at: Micros,
    /// The lower bound of the origin's clock at that time.
    pub(super) origin_at: Micros,
    /// The number of bytes written on the connection at the end of its frame.
    pub(super) end_offset: u64,
    /// The maximum age of a copy that the request allows.
    pub(super) max_age_us: Option<Micros>,
    /// Whether an attempt of the same request was aborted here before.
    pub(super) follows_abort: bool,
}

/// Parses the time at which the origin served the copy, in Unix milliseconds.
pub(super) fn made_ms(fields: &[u8]) -> Option<u64> {
    resp::field(fields, "made")?.parse().ok()
}

impl SentAttempt {
    /// Whether the copy in a response is older than the request allows. Caches must not serve such copies, so it is not
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

/// The result of an aborted attempt that is not reported yet.
pub(super) struct PendingEnd {
    pub(super) attempt: AttemptId,
    /// The result to report.
    pub(super) result: AttemptResult,
    /// The number of bytes written on the connection at the end of its abort frame; `None` while the abort is queued.
    pub(super) end_offset: Option<u64>,
    /// The time at which the abort was found to be written.
    pub(super) written_at: Option<Micros>,
}
