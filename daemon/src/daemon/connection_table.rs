//! The table of connections: opens, reads, writes and closes them according to their kind.

use super::admin;
use super::exchange::{self, ActiveExchange};
use super::registration::Registration;
use super::turn::UnhandledInput;
use super::{Daemon, Timer};
use crate::front::cdni::{self, Waiting};
use crate::front::fastcgi::Session;
use crate::net::{connect, FailureKind, Key, Progress, ReadyEvent, TcpConnection};
use crate::upstream::UpstreamConnection;
use crate::wire::WireError;
use linnetknot::Micros;
use std::net::SocketAddr;

/// The kind of a connection, with its protocol state.
pub(super) enum ConnectionKind {
    Client(Session),
    CacheServer(Box<UpstreamConnection>),
    Cdni(Box<cdni::Session>),
    /// A client connection that this side has half-closed. Further input is discarded.
    Lingering,
    /// An outgoing connection of a client-side protocol.
    Exchange(ActiveExchange),
    /// A connection to the admin listener.
    Admin(Box<admin::AdminSession>),
}

impl ConnectionKind {
    /// Returns whether this is a connection of a client or a peer CDN.
    pub(super) fn is_client(&self) -> bool {
        matches!(
            self,
            ConnectionKind::Client(_) | ConnectionKind::Cdni(_) | ConnectionKind::Lingering
        )
    }
}

/// Why no connection could be started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectError {
    /// The remote side refused the connection.
    Refused,
    /// The remote side can't be reached, or earlier connections to it are still not established.
    Unreachable,
    /// The table has no free slot, or a connection limit is reached. This says nothing about the remote side.
    NoCapacity,
    /// This machine temporarily lacks descriptors, ports, routes or memory. This says nothing about the remote side.
    LocalResources,
}

/// An entry of the connection table.
pub(super) struct Connection {
    pub(super) conn: TcpConnection,
    pub(super) kind: ConnectionKind,
    /// When the current state of a client connection began or its last response was sent; for other connections, when
    /// they were opened.
    pub(super) state_since: Micros,
    /// For clients: whether an incomplete request was buffered at the last check.
    pub(super) has_partial_request: bool,
    /// Bytes of unsent responses of this connection, included in `Daemon::total_unsent_bytes`.
    pub(super) unsent_bytes: usize,
    /// Bytes of incomplete requests of this connection, included in `Daemon::total_partial_request_bytes`.
    pub(super) partial_request_bytes: usize,
    /// The state of the epoll registration, and whether a retry is scheduled.
    pub(super) registration: Registration,
    pub(super) registration_retry_scheduled: bool,
    /// For clients: input that the latest turn did not handle.
    pub(super) unhandled_input: Option<UnhandledInput>,
    /// For clients: when the socket was last read.
    pub(super) last_read_at: Micros,
    /// The latest turn that handled an event of this connection.
    pub(super) last_handled_turn: u64,
}

impl Daemon {
    /// Adds a connection to the table and registers it with epoll. Returns `None` if the table is full or the
    /// registration fails permanently.
    pub(super) fn add_connection(
        &mut self,
        now: Micros,
        conn: TcpConnection,
        kind: ConnectionKind,
    ) -> Option<Key> {
        let key = self.connections.insert(Connection {
            conn,
            kind,
            state_since: now,
            has_partial_request: false,
            unsent_bytes: 0,
            partial_request_bytes: 0,
            registration: Registration::Missing,
            registration_retry_scheduled: false,
            unhandled_input: None,
            last_read_at: now,
            last_handled_turn: self.turn.number(),
        });
        let key = key.ok()?;
        if !self.register(now, key) {
            self.connections.remove(key);
            return None;
        }
        Some(key)
    }

    /// Starts a connection to a remote address.
    pub(super) fn connect_to(
        &mut self,
        now: Micros,
        to: SocketAddr,
        kind: ConnectionKind,
    ) -> Result<Key, ConnectError> {
        let socket = connect(to).map_err(|failure| {
            log::debug!("failed to connect to {to}: {failure}");
            match failure.kind {
                FailureKind::Refused => ConnectError::Refused,
                FailureKind::Broken => ConnectError::Unreachable,
                FailureKind::ProgramFault => ConnectError::NoCapacity,
                FailureKind::RetryNow
                | FailureKind::WouldBlock
                | FailureKind::RetryLater
                | FailureKind::NoDescriptors => ConnectError::LocalResources,
            }
        })?;
        let conn = TcpConnection::new(
            socket,
            false,
            self.limits.input_buffer_bytes,
            self.limits.output_buffer_bytes,
        );
        let key = self
            .add_connection(now, conn.map_err(|_| ConnectError::NoCapacity)?, kind)
            .ok_or(ConnectError::NoCapacity)?;
        self.deadlines.set(
            now + self.limits.connect_timeout_us,
            Timer::ConnectTimeout(key),
        );
        Ok(key)
    }

    /// Handles a readiness event of a connection.
    pub(super) fn handle_ready(&mut self, now: Micros, key: Key, ready: ReadyEvent) {
        // The key of a connection that was closed earlier in this turn is stale, so its events are ignored.
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if ready.write && !connection.conn.up {
            if connection.conn.finish_connect().is_err() {
                return self.close(now, key);
            }
            if let ConnectionKind::Exchange(exchange) = &connection.kind {
                connection.conn.output.push(&exchange.initial_bytes());
            }
        }
        if matches!(
            connection.kind,
            ConnectionKind::Client(_) | ConnectionKind::Cdni(_)
        ) && ready.hung_up
        {
            // The connection is broken or closed in both directions, so the client can't receive responses any more.
            return self.close(now, key);
        }
        if matches!(
            connection.kind,
            ConnectionKind::Client(_) | ConnectionKind::Lingering
        ) {
            if self.poll_client(now, key)
                && self.connections.get(key).is_some_and(Self::is_finished)
            {
                self.half_close(now, key);
            }
            return;
        }
        if self.read_ready(now, key, ready) {
            return self.close(now, key);
        }
        if !self.write(now, key) && !self.half_close(now, key) {
            return self.close(now, key);
        }
        self.update_unhandled_input(key);
        self.update_client_state(now, key);
    }

    /// Reads and processes the input of a connection that is not read by `poll_client`. Returns true if the connection is
    /// to be closed.
    fn read_ready(&mut self, now: Micros, key: Key, ready: ReadyEvent) -> bool {
        let Some(connection) = self.connections.get_mut(key) else {
            return false;
        };
        if !ready.read || !connection.conn.up {
            return false;
        }
        let progress = connection.conn.read(ready.broken);
        let input_ended = matches!(progress, Progress::Ended | Progress::Broken);
        // A client of the admin listener may half-close its connection after the call and still receive the reply.
        let is_half_closed =
            matches!(connection.kind, ConnectionKind::Admin(_)) && progress == Progress::Ended;
        let is_client = connection.kind.is_client();
        if let Err(e) = self.read_input(now, key, input_ended) {
            // Malformed input of clients is logged at debug, so that it can't flood the log.
            let level = if is_client {
                log::Level::Debug
            } else {
                log::Level::Warn
            };
            log::log!(level, "closing a connection: {e}");
            return true;
        }
        input_ended && !is_half_closed
    }

    fn read_input(&mut self, now: Micros, key: Key, input_ended: bool) -> Result<(), WireError> {
        let Some(connection) = self.connections.get_mut(key) else {
            return Ok(());
        };
        match &mut connection.kind {
            // Client connections are read by `poll_client`.
            ConnectionKind::Client(_) | ConnectionKind::Lingering => Ok(()),
            ConnectionKind::Cdni(_) => {
                self.read_cdni(now, key);
                Ok(())
            }
            ConnectionKind::Exchange(_) => {
                self.read_exchange(now, key);
                Ok(())
            }
            ConnectionKind::Admin(_) => {
                self.read_admin(now, key, input_ended);
                Ok(())
            }
            ConnectionKind::CacheServer(upstream) => {
                let mut events = Vec::new();
                let result = upstream.read(now, &mut connection.conn, &self.core, &mut events);
                let server = upstream.server;
                self.apply_upstream_events(now, server, events);
                result
            }
        }
    }

    /// Writes pending output. Returns false if the connection has to be closed.
    pub(super) fn write(&mut self, now: Micros, key: Key) -> bool {
        let Some(connection) = self.connections.get_mut(key) else {
            return true;
        };
        let is_open = match &mut connection.kind {
            ConnectionKind::Client(_) => {
                self.write_client(key);
                self.connections
                    .get(key)
                    .is_none_or(|connection| match &connection.kind {
                        ConnectionKind::Client(session) => {
                            !(connection.conn.is_broken()
                                || session.is_finished() && connection.conn.output.is_empty())
                        }
                        _ => true,
                    })
            }
            ConnectionKind::CacheServer(_) => self.flush_upstream(now, key),
            ConnectionKind::Cdni(_) => self.write_cdni(key),
            ConnectionKind::Exchange(_) => connection.conn.write() != Progress::Broken,
            ConnectionKind::Lingering => true,
            ConnectionKind::Admin(session) => {
                let is_over = session.is_answered();
                connection.conn.write() != Progress::Broken
                    && !(is_over && connection.conn.output.is_empty())
            }
        };
        self.update_interest(now, key);
        is_open
    }

    /// Removes a connection from the table and closes it. Its open requests and attempts end.
    pub(super) fn close(&mut self, now: Micros, key: Key) {
        let Some(connection) = self.connections.remove(key) else {
            return;
        };
        match connection.kind {
            ConnectionKind::Client(session) => {
                self.client_count -= 1;
                self.total_unsent_bytes -= connection.unsent_bytes;
                self.total_partial_request_bytes -= connection.partial_request_bytes;
                session
                    .open_requests()
                    .into_iter()
                    .for_each(|request_key| self.core.client_gone(now, request_key));
            }
            ConnectionKind::CacheServer(upstream) => {
                self.upstream_closed(now, key, &connection.conn, *upstream);
            }
            ConnectionKind::Cdni(session) => {
                self.client_count -= 1;
                if let Some(Waiting::Core(request_key)) = session.waiting {
                    self.core.client_gone(now, request_key);
                }
            }
            ConnectionKind::Lingering => self.client_count -= 1,
            ConnectionKind::Admin(_) => self.admin_connection_count -= 1,
            ConnectionKind::Exchange(exchange) => {
                let end = if connection.conn.up {
                    exchange::ExchangeEnd::Closed
                } else {
                    exchange::ExchangeEnd::Unreachable
                };
                if let Some(task) = exchange.on_ended(end) {
                    task(self, now);
                }
            }
        }
    }
}
