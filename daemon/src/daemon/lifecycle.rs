//! The life cycle of a client connection of both listener types (FastCGI and CDNI).
//!
//! | state | meaning | next states |
//! | --- | --- | --- |
//! | open | requests are accepted | draining, half-closed, closed |
//! | draining | the connection is closed once all its requests are answered | half-closed, closed |
//! | half-closed (lingering) | the output is shut down, and further input is discarded | closed |
//! | closed | the connection is closed, and its open requests are cancelled | |
//!
//! Closing a socket with unread input resets the connection, and the client may lose responses that it has not read
//! yet. Requests that arrive after the output is shut down can't be answered. Therefore the input is read once more
//! before a half-close, and the connection is half-closed only if it is still idle. The socket is closed when the
//! client closes its side or after a timeout.

use super::clients::AcceptLimit;
use super::{Connection, ConnectionKind, Daemon, Timer};
use crate::net::{Key, Progress};
use linnetknot::Micros;

impl Daemon {
    /// Marks a client connection to be closed once its requests are answered.
    pub(super) fn close_when_answered(&mut self, key: Key) {
        if let Some(Connection {
            kind: ConnectionKind::Client(session),
            ..
        }) = self.connections.get_mut(key)
        {
            session.close_when_answered();
        }
    }

    /// Returns whether a client connection has no open request, no partial input and no pending output.
    pub(super) fn is_idle(connection: &Connection) -> bool {
        let is_idle = match &connection.kind {
            ConnectionKind::Client(session) => session.is_idle() && !session.is_partial(),
            ConnectionKind::Cdni(session) => session.is_idle() && !session.is_partial(),
            _ => false,
        };
        is_idle && connection.conn.output.is_empty() && connection.conn.input.is_empty()
    }

    /// Returns whether a connection that is to be closed has sent all its responses.
    pub(super) fn is_finished(connection: &Connection) -> bool {
        matches!(&connection.kind, ConnectionKind::Client(session) if session.is_finished() && connection.conn.output.is_empty())
    }

    /// Schedules a half-close in this turn of the loop. The caller may be reading the connection, so it is not closed
    /// directly.
    pub(super) fn schedule_half_close(&mut self, now: Micros, key: Key) {
        if self.connections.get(key).is_some_and(Self::is_idle) {
            self.deadlines.set(now, Timer::HalfClose(key));
        }
    }

    /// Schedules the half-close of a connection that is to be closed, as soon as its last response is written. If this
    /// waited for the next event of the connection, another request could arrive meanwhile, which would be accepted but
    /// never answered.
    pub(super) fn half_close_if_finished(&mut self, now: Micros, key: Key) {
        let is_finished =
            self.connections
                .get(key)
                .is_some_and(|connection| match &connection.kind {
                    // The first request of a connection that was just accepted may be in transit.
                    ConnectionKind::Client(session) => {
                        session.is_finished() && session.has_received_request()
                    }
                    _ => false,
                });
        if is_finished {
            self.schedule_half_close(now, key);
        }
    }

    /// Reads and processes the available input of a client connection. Returns false if the connection is closed.
    pub(super) fn poll_client(&mut self, now: Micros, key: Key) -> bool {
        let Some(connection) = self.connections.get_mut(key) else {
            return false;
        };
        let is_open = match &connection.kind {
            ConnectionKind::Client(_) => self.read_client(now, key),
            ConnectionKind::Cdni(_) if connection.conn.input.free_bytes() > 0 => {
                match connection.conn.read(false) {
                    Progress::Moved => {
                        self.read_cdni(now, key);
                        Ok(true)
                    }
                    progress => Ok(progress == Progress::Blocked),
                }
            }
            // The client may have closed its side meanwhile.
            ConnectionKind::Lingering => Ok(self.drain_lingering(key)),
            _ => return true,
        };
        if !matches!(is_open, Ok(true)) {
            self.close(now, key);
            return false;
        }
        self.update_unhandled_input(key);
        self.write(now, key);
        self.close_if_broken(now, key);
        self.update_client_state(now, key);
        self.connections.get(key).is_some()
    }

    /// Half-closes a client connection if it is idle after its input was read. Returns false if it is not idle.
    pub(super) fn half_close(&mut self, now: Micros, key: Key) -> bool {
        if !self.poll_client(now, key) {
            return true;
        }
        let Some(connection) = self.connections.get_mut(key) else {
            return true;
        };
        if !Self::is_idle(connection) {
            return false;
        }
        if connection.conn.shutdown_write().is_err() {
            self.close(now, key);
            return true;
        }
        self.total_unsent_bytes -= std::mem::take(&mut connection.unsent_bytes);
        self.total_partial_request_bytes -= std::mem::take(&mut connection.partial_request_bytes);
        (connection.kind, connection.state_since) = (ConnectionKind::Lingering, now);
        self.update_interest(now, key);
        true
    }

    /// Discards the input of a half-closed connection. Returns false if the client has closed its side.
    pub(super) fn drain_lingering(&mut self, key: Key) -> bool {
        let Some(connection) = self.connections.get_mut(key) else {
            return false;
        };
        for _ in 0..self.limits.max_reads_per_client {
            match connection.conn.read(false) {
                Progress::Moved => connection.conn.input.consume(connection.conn.input.len()),
                Progress::Blocked => return true,
                Progress::Ended | Progress::Broken => return false,
            }
        }
        true
    }

    /// Ends the grace period of a shutdown: accepts the connections that are pending in the kernel and then stops
    /// accepting. Half-closes each client connection once its requests are answered.
    pub(super) fn close_clients(&mut self, now: Micros) {
        self.accept_clients(now, AcceptLimit::TableSize);
        self.accept_cdni(now, AcceptLimit::TableSize);
        self.shutdown_grace_over = true;
        self.close_client_listener();
        for key in self.connections.keys() {
            self.close_when_answered(key);
            let is_recent = self.connections.get(key).is_some_and(|connection| {
                connection.state_since + self.limits.client_eviction_grace_us > now
            });
            if !is_recent {
                self.schedule_half_close(now, key);
            }
        }
        // Recently accepted connections are closed later, because their first requests may be in transit.
        self.schedule(now + self.limits.client_eviction_grace_us, |daemon, now| {
            daemon
                .connections
                .keys()
                .into_iter()
                .for_each(|key| daemon.schedule_half_close(now, key));
        });
    }

    /// Returns whether a connection delays the exit of a process that is shutting down.
    pub(super) fn delays_exit(&self, now: Micros, connection: &Connection) -> bool {
        match &connection.kind {
            ConnectionKind::Client(_) | ConnectionKind::Cdni(_) => true,
            ConnectionKind::Lingering => self
                .sigterm_at
                .is_some_and(|at| now < at + self.limits.shutdown_linger_us),
            ConnectionKind::Admin(session) => {
                session.awaits_commit() || !connection.conn.output.is_empty()
            }
            _ => false,
        }
    }
}
