//! Accepts client connections, and evicts others when the table is full.

use crate::daemon::{ConnectionKind, Daemon, Timer};
use crate::limits::ClientState;
use crate::net::{FailureKind, Key, TcpConnection};
use linnetknot::Micros;
use std::io;

impl Daemon {
    /// Returns the client connection to evict for a new one, or an error if none may be evicted. Prefers connections
    /// that are least likely to be used again, so that idle clients can't exhaust the table. Connections that have just
    /// changed state are not evicted, nor are those with unread input.
    pub(in crate::daemon) fn eviction_candidate(&mut self, now: Micros) -> io::Result<Key> {
        loop {
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
        if self.client_count < self.limits.max_client_connections && !self.connections.is_full() {
            return Ok(None);
        }
        self.eviction_candidate(now).map(Some)
    }

    /// Accepts pending connections of the client listener.
    pub(in crate::daemon) fn accept_clients(&mut self, now: Micros) {
        let mut has_evicted = false;
        // Bounded per turn, so that clients that reconnect immediately can't occupy the loop.
        let mut accepted = 0;
        while self.client_listener.is_some() && accepted < self.limits.max_client_connections {
            // While the table is full, new connections wait in the kernel's queue.
            let Ok(mut evicted) = self.required_eviction(now) else {
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
                    let candidate = match evicted.take() {
                        Some(key) => Ok(key),
                        None => self.eviction_candidate(now),
                    };
                    let already_evicted = std::mem::replace(&mut has_evicted, true);
                    let Some(key) = candidate.ok().filter(|_| !already_evicted) else {
                        return self.pause_accepting_clients(now);
                    };
                    self.close(now, key);
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
            if let Ok(conn) = conn {
                self.add_client(
                    now,
                    conn,
                    ConnectionKind::Client(Default::default()),
                    evicted,
                );
            }
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

    /// Adds an accepted FastCGI or CDNI connection to the table, after closing the evicted connection.
    pub(in crate::daemon) fn add_client(
        &mut self,
        now: Micros,
        conn: TcpConnection,
        kind: ConnectionKind,
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
            if self.turn.unread_delay(now) > 0 {
                // After a delay of the loop, requests may already have arrived on the connection. They are read now,
                // because the delay would not be deducted from their time budgets in the next turn.
                self.poll_client(now, key);
            }
        }
    }
}
