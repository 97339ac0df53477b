//! The streams of a connection. Each has the id of a request or a health check.

use crate::core::{AttemptId, AttemptResult};
use crate::wire::resp;
use linnetknot::Micros;

/// The state of the stream with an id on a connection.
pub(super) enum Stream {
    /// An attempt that was sent and has no response yet.
    Attempt(SentAttempt),
    /// An aborted attempt. A further attempt of the same request at this cache must use this connection, so that the
    /// cache reads the abort first. On another connection, the cache might read the new attempt first and execute both.
    Aborted {
        /// The time at which the abort was queued.
        at: Micros,
        /// The result of the attempt; `None` once the result is reported to the core.
        pending: Option<PendingEnd>,
    },
    /// An attempt that was answered without content. The cache may repeat this response, and on the same connection it
    /// would be attributed to a further attempt of the request. Such an attempt therefore uses another connection.
    Answered {
        /// The time at which the response arrived.
        at: Micros,
    },
    /// A health check that was sent and has no response yet.
    HealthCheck {
        /// The time at which the health check was sent.
        sent_at: Micros,
    },
}

impl Stream {
    /// Whether a response to this stream is expected.
    pub(super) fn is_live(&self) -> bool {
        matches!(self, Stream::Attempt(_) | Stream::HealthCheck { .. })
    }

    /// Whether the stream has ended and is kept only as a record for later attempts with the same id.
    pub(super) fn is_finished(&self) -> bool {
        self.finished_at().is_some()
    }

    /// Whether a further attempt with the same id may be sent on this connection.
    pub(super) fn is_free(&self) -> bool {
        matches!(self, Stream::Aborted { pending: None, .. })
    }

    /// Returns when the stream ended, if it is finished.
    pub(super) fn finished_at(&self) -> Option<Micros> {
        match self {
            Stream::Aborted { at, pending: None } | Stream::Answered { at } => Some(*at),
            _ => None,
        }
    }

    /// Returns the result of an aborted attempt that is not reported yet.
    pub(super) fn pending_end(&self) -> Option<&PendingEnd> {
        match self {
            Stream::Aborted { pending, .. } => pending.as_ref(),
            _ => None,
        }
    }
}

/// An attempt that was started and has no response yet.
pub(super) struct SentAttempt {
    pub(super) attempt: AttemptId,
    pub(super) at: Micros,
    /// The lower bound of the origin clock when the attempt was started.
    pub(super) origin_at: Micros,
    /// The offset on the connection at which the frame of the attempt ends.
    pub(super) end_offset: u64,
    /// The maximum age of a copy that the request allows.
    pub(super) max_age_us: Option<Micros>,
    /// Whether an earlier attempt of the same request was aborted on this connection.
    pub(super) follows_abort: bool,
}

/// Parses the time at which the origin served the copy, in Unix milliseconds.
pub(super) fn made_ms(fields: &[u8]) -> Option<u64> {
    resp::field(fields, "made")?.parse().ok()
}

impl SentAttempt {
    /// Whether the copy in a response is older than the request allows. Caches must not serve such copies, so the
    /// response is not passed to the client.
    pub(super) fn is_too_old(&self, fields: &[u8]) -> bool {
        let Some((made_ms, max_age_us)) = made_ms(fields).zip(self.max_age_us) else {
            return false;
        };
        // The date has been rounded down to a millisecond, so the copy may be up to 1 ms newer.
        let made_us = made_ms.saturating_add(1).saturating_mul(1000);
        made_us.saturating_add(max_age_us) < self.origin_at
    }
}

/// The result of an aborted attempt that is not reported yet.
pub(super) struct PendingEnd {
    pub(super) attempt: AttemptId,
    /// The result of the attempt, to be reported to the core.
    pub(super) result: AttemptResult,
    /// The offset on the connection at which the abort frame ends; `None` while the abort is queued.
    pub(super) end_offset: Option<u64>,
    /// The time at which the abort frame was first seen to be written completely.
    pub(super) written_at: Option<Micros>,
}
