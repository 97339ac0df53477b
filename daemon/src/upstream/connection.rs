//! The state of a connection to a cache server, and which attempts it can take.

use super::stream::Stream;
use crate::core::{AttemptId, Core};
use crate::limits::Limits;
use crate::wire::resp;
use linnetknot::{Micros, ServerId};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

/// An attempt that has not started.
pub(super) struct QueuedAttempt {
    pub(super) attempt: AttemptId,
    pub(super) since: Micros,
}

/// A time at which the socket took no bytes.
#[derive(Clone, Copy)]
pub(super) struct Stall {
    /// How many bytes were written by then.
    pub(super) written: u64,
    pub(super) since: Micros,
}

/// A connection to a cache server, as far as attempts go.
pub struct UpstreamConnection {
    /// The cache server.
    pub server: ServerId,
    /// Where the connection leads: a cache may move, and its older connections then lead to what was there before.
    pub endpoint: Option<SocketAddr>,
    pub(super) arrays: resp::ArrayParser,
    pub(super) queue: VecDeque<QueuedAttempt>,
    /// Ids whose abort is not written yet.
    pub(super) aborts: VecDeque<String>,
    /// What is open under each id.
    pub(super) streams: HashMap<String, Stream>,
    pub(super) health_checks: u64,
    connecting_since: Micros,
    pub(super) last_received: Micros,
    /// When bytes last went either way.
    pub(super) last_used: Micros,
    /// When the oldest finished stream is to be forgotten, as last reported.
    pub(super) next_removal: Option<Micros>,
    /// When the answer began that has arrived in part.
    pub(super) partial_since: Option<Micros>,
    /// A connection becomes suspect once it has been silent for so long.
    pub(super) suspect_us: Micros,
    /// Nothing came back for an attempt that was given up here: the other side may have gone without closing.
    pub(super) suspect: bool,
    pub(super) stall: Option<Stall>,
}

impl UpstreamConnection {
    /// A connection to a cache server that is being made.
    pub fn new(server: ServerId, limits: &Limits, now: Micros) -> Self {
        UpstreamConnection {
            server,
            endpoint: None,
            arrays: resp::ArrayParser::new(limits.max_object_bytes),
            queue: VecDeque::new(),
            aborts: VecDeque::new(),
            streams: HashMap::new(),
            health_checks: 0,
            connecting_since: now,
            last_received: now,
            last_used: now,
            next_removal: None,
            partial_since: None,
            suspect_us: limits.suspect_timeout_us,
            suspect: false,
            stall: None,
        }
    }

    /// How many streams are live on it, if it can take one more attempt under this id.
    pub fn live_streams_if_available(
        &self,
        id: &str,
        core: &Core,
        limits: &Limits,
    ) -> Option<usize> {
        let live = self.live_streams();
        // Two clients may give one id: a second attempt under it here would take the first one's answer, also
        // where both still wait for the connection.
        let is_free = self.streams.get(id).is_none_or(Stream::is_free) && !self.is_queued(id, core);
        (!self.suspect && live < limits.max_attempts_per_connection && is_free).then_some(live)
    }

    fn live_streams(&self) -> usize {
        let live = self.streams.values().filter(|stream| stream.is_live());
        live.count() + self.queue.len()
    }

    /// Whether an attempt under this id waits here to be started.
    fn is_queued(&self, id: &str, core: &Core) -> bool {
        self.queue.iter().any(|queued| {
            core.dispatch(queued.attempt)
                .is_some_and(|dispatch| dispatch.request.id == id)
        })
    }

    /// When the answer that has arrived in part counts as stopped short, or as taking longer than anybody waits for one:
    /// some never end.
    pub fn partial_response_deadline(&self, limits: &Limits) -> Option<Micros> {
        let since = self.partial_since?;
        Some(
            (self.last_received + limits.response_stall_timeout_us)
                .min(since + limits.response_timeout_us),
        )
    }

    /// Whether an answer that arrives slowly would hold up the answer to a further attempt.
    pub fn is_blocked_by_response(&self, now: Micros, limits: &Limits) -> bool {
        self.partial_since
            .is_some_and(|since| since + limits.response_stall_timeout_us <= now)
    }

    /// Whether an attempt under this id was given up here not long ago.
    pub fn has_aborted(&self, id: &str) -> bool {
        matches!(self.streams.get(id), Some(Stream::Aborted { .. }))
    }

    /// Whether nothing is open on it.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.streams.values().all(Stream::is_finished)
    }

    /// Whether nothing has gone either way for so long that the cache may be about to close it: an attempt that is sent
    /// now may cross that.
    pub fn is_stale(&self, now: Micros, limits: &Limits) -> bool {
        limits.cache_idle_timeout_us > 0
            && self.is_idle()
            && self.last_used + limits.cache_idle_timeout_us <= now
    }

    /// Whether it should be up by now: it may yet come up, but no further attempt is to wait for it.
    pub fn is_connect_overdue(&self, now: Micros, limits: &Limits) -> bool {
        self.connecting_since + limits.connect_timeout_us <= now
    }

    /// When it is given up if it is not up by then.
    pub fn connect_deadline(&self, limits: &Limits) -> Micros {
        self.connecting_since + limits.connect_abort_us
    }

    /// When bytes last went either way.
    pub fn last_used(&self) -> Micros {
        self.last_used
    }

    /// When bytes last came from its cache, or when the connection was begun.
    pub fn last_received(&self) -> Micros {
        self.last_received
    }

    /// Whether it was silent for so long that the other side may have gone.
    pub fn is_suspect(&self) -> bool {
        self.suspect
    }
}
