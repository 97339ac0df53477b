//! The table of connections: what each is for, and how it is opened, read, written and closed.

use super::admin;
use super::exchange::{self, Exchange};
use super::registration::Registration;
use super::{Daemon, Timer};
use crate::front::cdni::{self, Waiting};
use crate::front::fastcgi::Session;
use crate::net::{connect, FailureKind, Key, Progress, ReadyEvent, TcpConnection};
use crate::upstream::UpstreamConnection;
use crate::wire::WireError;
use linnetknot::Micros;
use std::net::SocketAddr;

/// What a connection is for.
pub(super) enum Kind {
    Client(Session),
    CacheServer(UpstreamConnection),
    Cdni(Box<cdni::Session>),
    /// A client's that this side has ended, with all answered: what still comes is thrown away.
    Lingering,
    /// What this side has begun.
    Exchange(Box<dyn Exchange>),
    /// An operator's call at the admin listener.
    Admin(Box<admin::Caller>),
}

impl Kind {
    /// Whether it is a client's, of either front.
    pub(super) fn is_client(&self) -> bool {
        matches!(self, Kind::Client(_) | Kind::Cdni(_) | Kind::Lingering)
    }
}

/// Why a connection was not begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectError {
    /// The other side refused it: nobody listens there.
    Refused,
    /// Others that were begun before have not come up, or this one can't.
    Unreachable,
    /// No place in the table is left here, which says nothing of the other side.
    NoCapacity,
    /// No descriptor, port, route or memory is left here for now, which says nothing of the other side.
    LocalResources,
}

/// A connection and what the daemon knows of it.
pub(super) struct Connection {
    pub(super) conn: TcpConnection,
    pub(super) kind: Kind,
    /// A client's: when it was last waited for here, or what it is now at began.
    pub(super) since: Micros,
    /// A client's: a request had come in part when that was last looked at.
    pub(super) half: bool,
    /// Bytes of waiting answers that the daemon's sum holds for it.
    pub(super) waiting: usize,
    /// Bytes of requests that have not come whole, the same.
    pub(super) held: usize,
    /// How far it is known to the epoll set, and whether that is due to be tried again.
    pub(super) registration: Registration,
    pub(super) registers_later: bool,
}

impl Daemon {
    /// Puts a connection into the table and has it watched. None: there is no place, or it can't be watched.
    pub(super) fn open(&mut self, now: Micros, conn: TcpConnection, kind: Kind) -> Option<Key> {
        let key = self.connections.insert(Connection {
            conn,
            kind,
            since: now,
            half: false,
            waiting: 0,
            held: 0,
            registration: Registration::Missing,
            registers_later: false,
        });
        let key = key.ok()?;
        if !self.register(now, key) {
            self.connections.remove(key);
            return None;
        }
        Some(key)
    }

    /// Begins a connection. An error tells whether the other side refused it, or none could be begun from here.
    pub(super) fn connect_to(
        &mut self,
        now: Micros,
        to: SocketAddr,
        kind: Kind,
    ) -> Result<Key, ConnectError> {
        let socket = connect(to).map_err(|failure| {
            log::debug!("no connection to {to}: {failure}");
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
            .open(now, conn.map_err(|_| ConnectError::NoCapacity)?, kind)
            .ok_or(ConnectError::NoCapacity)?;
        self.deadlines
            .set(now + self.limits.connect_timeout_us, Timer::Connect(key));
        Ok(key)
    }

    /// Serves a connection of which the epoll set has told.
    pub(super) fn serve(&mut self, now: Micros, key: Key, ready: ReadyEvent) {
        // A stale event, of a connection that ended earlier in the same round, misses by its generation.
        let Some(c) = self.connections.get_mut(key) else {
            return;
        };
        if ready.write && !c.conn.up {
            if c.conn.finish_connect().is_err() {
                return self.close(now, key);
            }
            if let Kind::Exchange(exchange) = &c.kind {
                c.conn.output.push(&exchange.opening());
            }
        }
        if matches!(c.kind, Kind::Client(_) | Kind::Cdni(_)) && ready.hung_up {
            // Whatever it sent before, nobody is left to take the answers.
            return self.close(now, key);
        }
        if matches!(c.kind, Kind::Client(_) | Kind::Lingering) {
            if self.check_client(now, key) && self.connections.get(key).is_some_and(Self::is_over) {
                self.half_close(now, key);
            }
            return;
        }
        let mut over = false;
        if ready.read && c.conn.up {
            let got = c.conn.read(ready.broken);
            let ended = matches!(got, Progress::Ended | Progress::Broken);
            // A caller at the admin listener may end its half once its call is sent: its answer is still owed.
            over = ended && !(matches!(c.kind, Kind::Admin(_)) && got == Progress::Ended);
            if let Err(e) = self.read(now, key, ended) {
                // Whoever sends garbage must not fill the log with it.
                let client = self
                    .connections
                    .get(key)
                    .is_some_and(|c| c.kind.is_client());
                log::log!(
                    if client {
                        log::Level::Debug
                    } else {
                        log::Level::Warn
                    },
                    "a connection is ended: {e}"
                );
                over = true;
            }
        }
        if over {
            return self.close(now, key);
        }
        if !self.write(now, key) && !self.half_close(now, key) {
            return self.close(now, key);
        }
        self.note_client(now, key);
    }

    fn read(&mut self, now: Micros, key: Key, ended: bool) -> Result<(), WireError> {
        let Some(c) = self.connections.get_mut(key) else {
            return Ok(());
        };
        match &mut c.kind {
            // These are read by `check_client`.
            Kind::Client(_) | Kind::Lingering => Ok(()),
            Kind::Cdni(_) => {
                self.read_cdni(now, key);
                Ok(())
            }
            Kind::Exchange(_) => {
                self.read_exchange(now, key);
                Ok(())
            }
            Kind::Admin(_) => {
                self.read_admin(now, key, ended);
                Ok(())
            }
            Kind::CacheServer(link) => {
                let mut told = Vec::new();
                let result = link.read(now, &mut c.conn, &self.core, &mut told);
                let server = link.server;
                self.apply_events(now, server, told);
                result
            }
        }
    }

    /// Writes what is waiting; false where the connection is over.
    pub(super) fn write(&mut self, now: Micros, key: Key) -> bool {
        let Some(c) = self.connections.get_mut(key) else {
            return true;
        };
        let sound = match &mut c.kind {
            Kind::Client(_) => {
                self.write_client(key);
                self.connections.get(key).is_none_or(|c| match &c.kind {
                    Kind::Client(s) => {
                        !(c.conn.is_broken() || s.is_finished() && c.conn.output.is_empty())
                    }
                    _ => true,
                })
            }
            Kind::CacheServer(_) => self.pump(now, key),
            Kind::Cdni(_) => self.write_cdni(key),
            Kind::Exchange(_) => c.conn.write() != Progress::Broken,
            Kind::Lingering => true,
            Kind::Admin(caller) => {
                let over = caller.is_over();
                c.conn.write() != Progress::Broken && !(over && c.conn.output.is_empty())
            }
        };
        self.watch(now, key);
        sound
    }

    /// Closes a connection and takes it out of the table; what was open on it ends in the way of its kind.
    pub(super) fn close(&mut self, now: Micros, key: Key) {
        let Some(c) = self.connections.remove(key) else {
            return;
        };
        match c.kind {
            Kind::Client(session) => {
                self.clients -= 1;
                self.waiting_answers -= c.waiting;
                self.held -= c.held;
                session
                    .open_requests()
                    .into_iter()
                    .for_each(|ticket| self.core.client_gone(now, ticket));
            }
            Kind::CacheServer(link) => self.cache_connection_closed(now, key, &c.conn, link),
            Kind::Cdni(session) => {
                self.clients -= 1;
                if let Some(Waiting::Core(ticket)) = session.waiting {
                    self.core.client_gone(now, ticket);
                }
            }
            Kind::Lingering => self.clients -= 1,
            Kind::Admin(_) => self.callers -= 1,
            Kind::Exchange(exchange) => {
                let end = if c.conn.up {
                    exchange::End::Closed
                } else {
                    exchange::End::Unreachable
                };
                if let Some(effect) = exchange.ended(end) {
                    effect(self, now);
                }
            }
        }
    }
}
