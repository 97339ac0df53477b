//! Client connections: their states and timeouts.

mod accept;
mod requests;

pub(super) use accept::AcceptLimit;

use super::{Connection, ConnectionKind, Daemon, Timer};
use crate::limits::ClientState;
use crate::net::Key;
use linnetknot::Micros;

impl Daemon {
    /// Returns the state of a FastCGI or CDNI client connection; `None` for other connections.
    fn client_state(connection: &Connection) -> Option<ClientState> {
        let (is_busy, is_partial, has_request) = match &connection.kind {
            ConnectionKind::Client(session) => (
                session.has_pending_answers() || session.has_inputs(),
                session.is_partial(),
                session.has_received_request(),
            ),
            ConnectionKind::Cdni(session) => (
                !session.is_idle(),
                session.is_partial(),
                session.has_received_request(),
            ),
            ConnectionKind::Lingering => return Some(ClientState::Lingering),
            _ => return None,
        };
        Some(if is_busy || !connection.conn.output.is_empty() {
            ClientState::Busy
        } else if is_partial || !connection.conn.input.is_empty() {
            ClientState::Partial
        } else if has_request {
            ClientState::Idle
        } else {
            ClientState::Silent
        })
    }

    /// Returns the number of requests on a connection that have no response yet.
    fn unanswered(connection: &Connection) -> usize {
        match &connection.kind {
            ConnectionKind::Client(session) => session.unanswered(),
            ConnectionKind::Cdni(session) => usize::from(session.waiting.is_some()),
            _ => 0,
        }
    }

    /// Updates the state of a client connection, and the time at which the state began, after input or output.
    pub(in crate::daemon) fn update_client_state(&mut self, now: Micros, key: Key) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let Some(state) = Self::client_state(connection) else {
            return;
        };
        let is_partial = state == ClientState::Partial;
        // A partial request keeps the time of its first bytes when more bytes arrive.
        if state == ClientState::Busy
            || is_partial && !std::mem::replace(&mut connection.has_partial_request, is_partial)
        {
            connection.state_since = now;
        }
        connection.has_partial_request = is_partial;
        let partial_bytes = if let ConnectionKind::Client(session) = &connection.kind {
            session.buffered_bytes()
        } else {
            0
        };
        let before = std::mem::replace(&mut connection.partial_request_bytes, partial_bytes);
        self.total_partial_request_bytes =
            self.total_partial_request_bytes + partial_bytes - before;
        if partial_bytes > before {
            self.limit_partial_requests(now);
        }
        if self.shutdown_grace_over {
            self.schedule_half_close(now, key);
        }
    }

    /// Enforces the limit on buffered bytes of incomplete requests, beginning with the client that has the most. If the
    /// client also has complete requests that are unanswered, only its incomplete requests are rejected; otherwise its
    /// connection is closed.
    fn limit_partial_requests(&mut self, now: Micros) {
        while self.total_partial_request_bytes > self.limits.max_total_body_bytes {
            let keys = self.connections.keys().into_iter();
            let bytes_and_key =
                |key: Key| Some((self.connections.get(key)?.partial_request_bytes, key));
            let Some((before, key)) = keys
                .filter_map(bytes_and_key)
                .max()
                .filter(|(bytes, _)| *bytes > 0)
            else {
                return;
            };
            let Some(connection) = self.connections.get_mut(key) else {
                return;
            };
            if let ConnectionKind::Client(session) = &mut connection.kind {
                if session.has_unanswered_requests() {
                    session.reject_partial(Some(self.limits.overload_retry_after_us));
                    connection.partial_request_bytes = session.buffered_bytes();
                    self.total_partial_request_bytes = self.total_partial_request_bytes
                        + connection.partial_request_bytes
                        - before;
                }
            }
            if connection.partial_request_bytes == before {
                log::debug!("closing a client connection: too many bytes of incomplete requests");
                self.close(now, key);
            } else {
                self.write_client(key);
                self.update_interest(now, key);
            }
        }
    }

    /// Closes a client connection that has exceeded the timeout of its state. The timeouts are longer than those of
    /// usual clients, so that the client closes first and no request is lost.
    pub(in crate::daemon) fn check_client_timeout(&mut self, now: Micros, key: Key) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let Some(state) = Self::client_state(connection) else {
            return;
        };
        if state == ClientState::Idle {
            connection.conn.input.release();
            connection.conn.output.release();
        }
        let mut due =
            self.limits
                .close_at(state, Self::unanswered(connection), connection.state_since);
        if due.is_some_and(|due| due <= now) {
            // Input is read first. If some has just arrived, the state changes and the connection stays open.
            if !self.poll_client(now, key) {
                return;
            }
            let Some(connection) = self.connections.get(key) else {
                return;
            };
            due = Self::client_state(connection).and_then(|state| {
                self.limits
                    .close_at(state, Self::unanswered(connection), connection.state_since)
            });
            if due.is_some_and(|due| due <= now) && !self.half_close(now, key) {
                return self.close(now, key);
            }
        }
        let next_check = now + self.limits.client_check_interval_us;
        let at = match due {
            Some(due) if due > now => due.min(next_check),
            _ => next_check,
        };
        self.deadlines.set(at, Timer::CheckClient(key));
    }
}
