//! Accepts client connections, and evicts others when the table is full.

use crate::daemon::turn::UnhandledInput;
use crate::daemon::{ConnectionKind, Daemon, Timer};
use crate::limits::ClientState;
use crate::net::{FailureKind, Key, TcpConnection};
use linnetknot::Micros;
use std::io;

/// The time after which an accept step evicts no further connection, which may take long, although others wait.
const MAX_EVICTING_STEP_US: Micros = 5_000;

/// How many of the connections that wait an accept step accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::daemon) enum AcceptLimit {
    /// As many as the table can hold, and as the time of a step allows if others are evicted. The next turn continues.
    StepTime,
    /// As many as the table can hold, because no further step follows.
    TableSize,
}

impl Daemon {
    /// Returns whether an accept step that began at `began` and has accepted this number of connections continues.
    pub(in crate::daemon) fn continues_accepting(
        &self,
        limit: AcceptLimit,
        began: Micros,
        accepted: usize,
    ) -> bool {
        let has_time = limit == AcceptLimit::TableSize
            || !self.is_client_table_full()
            || self.clock.now().saturating_sub(began) <= MAX_EVICTING_STEP_US;
        accepted < self.limits.max_client_connections && (has_time || accepted == 0)
    }

    fn is_client_table_full(&self) -> bool {
        self.client_count >= self.limits.max_client_connections || self.connections.is_full()
    }

    /// Returns the client connection to evict for a new one, or an error if none may be evicted. Prefers connections
    /// that are least likely to be used again, so that idle clients can't exhaust the table: neither those that send no
    /// request, nor those that send one and keep the connection. Connections that have just changed state are not
    /// evicted, because their request may be on its way, nor are those with unread input. At most `max_eviction_polls`
    /// candidates are read.
    pub(in crate::daemon) fn eviction_candidate(&mut self, now: Micros) -> io::Result<Key> {
        for _ in 0..self.limits.max_eviction_polls {
            let keys = self.connections.keys();
            let candidates = keys
                .iter()
                .filter_map(|key| Some((self.eviction_rank(now, *key)?, *key)));
            let (rank, key) = candidates.min().ok_or(io::ErrorKind::OutOfMemory)?;
            // Reading input that has arrived meanwhile may change the rank. The candidates are then ranked again.
            if !self.poll_client(now, key) || self.eviction_rank(now, key) == Some(rank) {
                return Ok(key);
            }
        }
        Err(io::ErrorKind::OutOfMemory.into())
    }

    /// Returns the eviction rank of a connection; the lowest is evicted first. `None` if it must not be evicted.
    fn eviction_rank(&self, now: Micros, key: Key) -> Option<(ClientState, Micros)> {
        let connection = self.connections.get(key)?;
        let state = Self::client_state(connection)?;
        let is_settled =
            connection.state_since <= now.saturating_sub(self.limits.client_eviction_grace_us);
        (state != ClientState::Busy && is_settled).then_some((state, connection.state_since))
    }

    /// Returns the connection to evict for a new client, `None` if there is a free slot, and an error if there is
    /// neither.
    pub(in crate::daemon) fn required_eviction(&mut self, now: Micros) -> io::Result<Option<Key>> {
        if !self.is_client_table_full() {
            return Ok(None);
        }
        self.eviction_candidate(now).map(Some)
    }

    /// Accepts pending connections of the client listener. They are read when epoll reports their input.
    pub(in crate::daemon) fn accept_clients(&mut self, now: Micros, limit: AcceptLimit) {
        let mut has_evicted = false;
        let (began, mut accepted) = (self.clock.now(), 0);
        while self.client_listener.is_some() && self.continues_accepting(limit, began, accepted) {
            // While the table is full, new connections wait in the kernel's queue.
            let Ok(evicted) = self.required_eviction(now) else {
                return self.pause_accepting_clients(now);
            };
            let Some(listener) = &self.client_listener else {
                return;
            };
            let socket = match listener.accept() {
                Ok(Some(socket)) => socket,
                Ok(None) => break,
                // Out of descriptors: one idle connection is evicted. If accepting still fails, further evictions would
                // not help.
                Err(failure) if failure.kind == FailureKind::NoDescriptors => {
                    let already_evicted = std::mem::replace(&mut has_evicted, true);
                    if already_evicted || !self.evict(now, evicted) {
                        return self.pause_accepting_clients(now);
                    }
                    continue;
                }
                // Other failures, such as lack of memory, are not resolved by an eviction.
                Err(_) => return self.pause_accepting_clients(now),
            };
            has_evicted = false;
            accepted += 1;
            let conn = TcpConnection::new(
                socket,
                true,
                self.limits.input_buffer_bytes,
                self.limits.output_buffer_bytes,
            );
            let input = self.client_queue.input_of_accepted(&self.turn);
            if let Ok(conn) = conn {
                let kind = ConnectionKind::Client(Default::default());
                self.add_client(now, conn, kind, input, evicted);
            }
        }
        self.finish_accepting_clients(now, accepted);
    }

    /// Closes this connection, or the eviction candidate if there is none. Returns false if nothing can be evicted.
    fn evict(&mut self, now: Micros, key: Option<Key>) -> bool {
        let candidate = key.map_or_else(|| self.eviction_candidate(now), Ok);
        let Ok(key) = candidate else {
            return false;
        };
        self.close(now, key);
        true
    }

    /// Ends an accept step that was not paused.
    fn finish_accepting_clients(&mut self, now: Micros, accepted: usize) {
        if accepted < self.limits.max_client_connections {
            self.client_queue.emptied(&self.turn);
        } else {
            self.client_queue.partly_accepted(now, &self.turn);
        }
        let resumed = self
            .client_listener
            .as_mut()
            .is_none_or(|listener| listener.resume(&self.poll));
        if !resumed {
            self.schedule_accept_retry(now);
        }
    }

    /// Stops watching the listener, which would otherwise stay readable and keep the loop busy.
    fn pause_accepting_clients(&mut self, now: Micros) {
        if let Some(listener) = &mut self.client_listener {
            listener.pause(&self.poll);
        }
        self.client_queue.emptied(&self.turn);
        self.schedule_accept_retry(now);
    }

    /// Schedules another attempt to accept. Both listeners share one timer, so that timers do not multiply while the
    /// table is full.
    pub(in crate::daemon) fn schedule_accept_retry(&mut self, now: Micros) {
        if !std::mem::replace(&mut self.accept_retry_scheduled, true) {
            self.deadlines
                .set(now + self.limits.accept_backoff_us, Timer::RetryAccept);
        }
    }

    /// Adds an accepted FastCGI or CDNI connection to the table, after closing the evicted connection. `input` tells since
    /// when requests may wait on it.
    pub(in crate::daemon) fn add_client(
        &mut self,
        now: Micros,
        conn: TcpConnection,
        kind: ConnectionKind,
        input: UnhandledInput,
        evicted: Option<Key>,
    ) {
        if let Some(evicted) = evicted {
            self.close(now, evicted);
        }
        if let Some(key) = self.add_connection(now, conn, kind) {
            if !self.admin_controller.in_service() {
                self.close_when_answered(key);
            }
            self.client_count += 1;
            self.deadlines.set(
                now + self.limits.partial_request_timeout_us,
                Timer::CheckClient(key),
            );
            if let Some(connection) = self.connections.get_mut(key) {
                connection.unhandled_input = Some(input);
            }
        }
    }
}
