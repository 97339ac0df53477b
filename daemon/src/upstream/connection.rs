//! The state of a connection to a cache server, and which attempts it accepts.

use super::stream::Stream;
use crate::core::{AttemptId, Core};
use crate::limits::Limits;
use crate::net::DeadlineId;
use crate::wire::resp;
use linnetknot::{Micros, ServerId};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

/// An attempt that waits in the queue of a connection and has not started.
pub(super) struct QueuedAttempt {
    pub(super) attempt: AttemptId,
    pub(super) since: Micros,
}

/// The start of a period in which the socket accepts no bytes.
#[derive(Clone, Copy)]
pub(super) struct Stall {
    /// The number of bytes written on the connection before the stall.
    pub(super) written: u64,
    pub(super) since: Micros,
}

/// The attempts and health checks on a connection to a cache server.
pub struct UpstreamConnection {
    /// The cache server that the connection leads to.
    pub server: ServerId,
    /// The address that the connection was made to. It differs from the current address of the cache if that has
    /// changed since.
    pub endpoint: Option<SocketAddr>,
    pub(super) arrays: resp::ArrayParser,
    pub(super) queue: VecDeque<QueuedAttempt>,
    /// The ids of aborted attempts whose abort frames have not been written yet.
    pub(super) aborts: VecDeque<String>,
    /// The open and the recently finished streams, by id.
    pub(super) streams: HashMap<String, Stream>,
    pub(super) health_checks: u64,
    connecting_since: Micros,
    pub(super) last_received: Micros,
    /// The time of the last whole response, or, if there was none, at which connecting began.
    pub(super) last_response: Micros,
    /// The time of the last transfer in either direction.
    pub(super) last_used: Micros,
    /// The time at which the oldest finished stream is removed, as last returned by `next_removal_at`.
    pub(super) next_removal: Option<Micros>,
    /// The time at which the first bytes of a still incomplete response arrived.
    pub(super) partial_since: Option<Micros>,
    /// The time without a whole response after which the connection is suspected to be dead.
    pub(super) suspect_us: Micros,
    /// Whether an attempt timed out on this connection while no whole response arrived, so that the peer may have failed
    /// without closing the connection.
    pub(super) suspect: bool,
    pub(super) stall: Option<Stall>,
    /// The timer of the next check of this connection.
    pub check_due: Option<DeadlineId>,
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
            last_response: now,
            last_used: now,
            next_removal: None,
            partial_since: None,
            suspect_us: limits.suspect_timeout_us,
            suspect: false,
            stall: None,
            check_due: None,
        }
    }

    /// Whether the connection leads to an earlier process of its cache server.
    pub fn is_outdated(&self, core: &Core) -> bool {
        core.is_connection_outdated(self.server, self.endpoint, self.connecting_since)
    }

    /// Whether the connection gets no new attempts: its cache server is draining, gone or replaced by a new process.
    pub fn is_retired(&self, core: &Core) -> bool {
        self.is_outdated(core) || !core.is_cache_ready(self.server)
    }

    /// Returns the number of streams that await a response and queued attempts, if the connection accepts a further
    /// attempt with this id.
    pub fn live_streams_if_available(
        &self,
        id: &str,
        core: &Core,
        limits: &Limits,
    ) -> Option<usize> {
        let live = self.live_streams();
        // Two clients may use the same id. If both attempts were on this connection, the response to the first could be
        // attributed to the second. This also holds while both are still queued.
        let is_free = self.streams.get(id).is_none_or(Stream::is_free) && !self.is_queued(id, core);
        (!self.suspect && live < limits.max_attempts_per_connection && is_free).then_some(live)
    }

    fn live_streams(&self) -> usize {
        let live = self.streams.values().filter(|stream| stream.is_live());
        live.count() + self.queue.len()
    }

    /// Returns the attempts that have not started.
    pub fn queued_attempts(&self) -> impl Iterator<Item = AttemptId> + '_ {
        self.queue.iter().map(|queued| queued.attempt)
    }

    /// Whether an attempt with this id is queued on this connection.
    fn is_queued(&self, id: &str, core: &Core) -> bool {
        self.queue.iter().any(|queued| {
            core.dispatch(queued.attempt)
                .is_some_and(|dispatch| dispatch.request.id == id)
        })
    }

    /// Returns the time at which a partial response is regarded as truncated: no further bytes have arrived for too
    /// long, or the response takes longer than any client waits.
    pub fn partial_response_deadline(&self, limits: &Limits) -> Option<Micros> {
        let since = self.partial_since?;
        Some(
            (self.last_received + limits.response_stall_timeout_us)
                .min(since + limits.response_timeout_us),
        )
    }

    /// Whether a response is arriving so slowly that it would delay the response to a further attempt.
    pub fn is_blocked_by_response(&self, now: Micros, limits: &Limits) -> bool {
        self.partial_since
            .is_some_and(|since| since + limits.response_stall_timeout_us <= now)
    }

    /// Whether an attempt with this id was recently aborted on this connection.
    pub fn has_aborted(&self, id: &str) -> bool {
        matches!(self.streams.get(id), Some(Stream::Aborted { .. }))
    }

    /// Whether no attempt is queued and no stream is open. Finished streams that are kept as records do not count.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.streams.values().all(Stream::is_finished)
    }

    /// Whether the connection has been idle for so long that the cache may be closing it. A new attempt could then be
    /// lost.
    pub fn is_stale(&self, now: Micros, limits: &Limits) -> bool {
        limits.cache_idle_timeout_us > 0
            && self.is_idle()
            && self.last_used + limits.cache_idle_timeout_us <= now
    }

    /// Whether attempts should no longer wait for this connection to be established. The connection itself may still
    /// be established later.
    pub fn is_connect_overdue(&self, now: Micros, limits: &Limits) -> bool {
        self.connecting_since + limits.connect_timeout_us <= now
    }

    /// Returns the time at which the connection is closed if it is not established.
    pub fn connect_deadline(&self, limits: &Limits) -> Micros {
        self.connecting_since + limits.connect_abort_us
    }

    /// Returns the time of the last transfer in either direction.
    pub fn last_used(&self) -> Micros {
        self.last_used
    }

    /// Whether a whole response has arrived recently, or connecting began recently. Bytes of a response that never ends
    /// say nothing about the server.
    pub fn has_responded_recently(&self, now: Micros, limits: &Limits) -> bool {
        self.last_response + limits.suspect_timeout_us > now
    }

    /// Whether the connection is suspected to be dead.
    pub fn is_suspect(&self) -> bool {
        self.suspect
    }
}
