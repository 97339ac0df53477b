//! The state of a connection to a cache server, and which attempts it accepts.

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

/// A time at which the socket accepted no bytes.
#[derive(Clone, Copy)]
pub(super) struct Stall {
    /// The number of bytes written by then.
    pub(super) written: u64,
    pub(super) since: Micros,
}

/// The attempts and health checks on a connection to a cache server.
pub struct UpstreamConnection {
    /// The cache server.
    pub server: ServerId,
    /// The address that the connection was made to. If the address of the cache changes, its older connections still
    /// lead to the previous one.
    pub endpoint: Option<SocketAddr>,
    pub(super) arrays: resp::ArrayParser,
    pub(super) queue: VecDeque<QueuedAttempt>,
    /// The ids whose abort frames have not been written.
    pub(super) aborts: VecDeque<String>,
    /// The streams by their ids.
    pub(super) streams: HashMap<String, Stream>,
    pub(super) health_checks: u64,
    connecting_since: Micros,
    pub(super) last_received: Micros,
    /// The time of the last transfer in either direction.
    pub(super) last_used: Micros,
    /// The time at which the oldest finished stream is removed, as last returned by `next_removal_at`.
    pub(super) next_removal: Option<Micros>,
    /// The start of a response that has arrived in part.
    pub(super) partial_since: Option<Micros>,
    /// The silence after which the connection is suspected to be dead.
    pub(super) suspect_us: Micros,
    /// An attempt timed out here and nothing was received, so the peer may be gone without having closed.
    pub(super) suspect: bool,
    pub(super) stall: Option<Stall>,
}

impl UpstreamConnection {
    /// Creates the state of a connection that is being established.
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

    /// Returns the number of live streams if the connection accepts a further attempt with this id.
    pub fn live_streams_if_available(
        &self,
        id: &str,
        core: &Core,
        limits: &Limits,
    ) -> Option<usize> {
        let live = self.live_streams();
        // Two clients may use the same id: a second attempt with it on this connection, queued or sent, would be taken
        // to have the response of the first.
        let is_free = self.streams.get(id).is_none_or(Stream::is_free) && !self.is_queued(id, core);
        (!self.suspect && live < limits.max_attempts_per_connection && is_free).then_some(live)
    }

    fn live_streams(&self) -> usize {
        let live = self.streams.values().filter(|stream| stream.is_live());
        live.count() + self.queue.len()
    }

    /// Whether an attempt with this id is queued here.
    fn is_queued(&self, id: &str, core: &Core) -> bool {
        self.queue.iter().any(|queued| {
            core.dispatch(queued.attempt)
                .is_some_and(|dispatch| dispatch.request.id == id)
        })
    }

    /// Returns the time at which a partial response counts as truncated, or as exceeding the longest time that clients
    /// wait.
    pub fn partial_response_deadline(&self, limits: &Limits) -> Option<Micros> {
        let since = self.partial_since?;
        Some(
            (self.last_received + limits.response_stall_timeout_us)
                .min(since + limits.response_timeout_us),
        )
    }

    /// Whether a slow response would delay the response to a further attempt.
    pub fn is_blocked_by_response(&self, now: Micros, limits: &Limits) -> bool {
        self.partial_since
            .is_some_and(|since| since + limits.response_stall_timeout_us <= now)
    }

    /// Whether an attempt with this id was aborted here recently.
    pub fn has_aborted(&self, id: &str) -> bool {
        matches!(self.streams.get(id), Some(Stream::Aborted { .. }))
    }

    /// Whether no stream is open and no attempt is queued.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.streams.values().all(Stream::is_finished)
    }

    /// Whether the connection has been idle for so long that the cache may be closing it, which a new attempt would
    /// race with.
    pub fn is_stale(&self, now: Micros, limits: &Limits) -> bool {
        limits.cache_idle_timeout_us > 0
            && self.is_idle()
            && self.last_used + limits.cache_idle_timeout_us <= now
    }

    /// Whether establishing the connection takes too long for attempts to wait for it. It may still succeed.
    pub fn is_connect_overdue(&self, now: Micros, limits: &Limits) -> bool {
        self.connecting_since + limits.connect_timeout_us <= now
    }

    /// Returns the time at which an attempt to establish the connection is abandoned.
    pub fn connect_deadline(&self, limits: &Limits) -> Micros {
        self.connecting_since + limits.connect_abort_us
    }

    /// Returns the time of the last transfer in either direction.
    pub fn last_used(&self) -> Micros {
        self.last_used
    }

    /// Returns the time at which bytes were last received, or at which the connection was begun.
    pub fn last_received(&self) -> Micros {
        self.last_received
    }

    /// Whether the connection is suspected to be dead.
    pub fn is_suspect(&self) -> bool {
        self.suspect
    }
}
