//! Selects the connection to a cache server for an attempt.

use super::super::{ConnectError, Daemon};
use crate::core::Core;
use crate::limits::Limits;
use crate::net::{Key, TcpConnection};
use crate::upstream::UpstreamConnection;
use linnetknot::{Micros, ServerId};

/// The connection that was selected for an attempt.
pub(super) enum Selection {
    /// Send the attempt on an existing connection.
    Use {
        key: Key,
        /// Whether to also open a spare connection for later attempts.
        connect_spare: bool,
    },
    /// Open a new connection, after closing the connections in `reclaim`.
    Connect {
        reclaim: Vec<Key>,
        /// The connection to use if none can be opened.
        fallback: Option<Key>,
    },
    /// The attempt can't be sent for now.
    Unavailable(ConnectError),
}

/// How well a connection suits an attempt; lower values are better.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Preference {
    /// Whether no attempt of the same request was aborted on the connection. Connections with an aborted attempt of the
    /// request are preferred, so that the abort is read first.
    has_no_aborted_attempt: bool,
    is_blocked_by_response: bool,
    is_connecting: bool,
    open_attempts: usize,
}

impl Preference {
    /// Whether a new connection suits the attempt better: the response that blocks this one may never end.
    fn is_worse_than_new(self) -> bool {
        self.has_no_aborted_attempt && self.is_blocked_by_response
    }
}

/// The connections to one cache server, with the context of a selection.
pub(super) struct CacheConnections<'a> {
    now: Micros,
    core: &'a Core,
    limits: &'a Limits,
    connections: Vec<(Key, &'a TcpConnection, &'a UpstreamConnection)>,
}

impl<'a> CacheConnections<'a> {
    pub(super) fn of(daemon: &'a Daemon, now: Micros, server: ServerId) -> Self {
        let keys = daemon.cache_connections.get(&server).into_iter().flatten();
        let connections = keys.filter_map(|key| {
            let (conn, upstream) = daemon.cache_connection(*key)?;
            Some((*key, conn, upstream))
        });
        CacheConnections {
            now,
            core: &daemon.core,
            limits: &daemon.limits,
            connections: connections.collect(),
        }
    }

    /// Selects a connection for an attempt of the request with this id.
    pub(super) fn select(&self, id: &str) -> Selection {
        match self.best_connection(id) {
            Some(best) if best.0.is_worse_than_new() => {
                let existing = |_| self.use_existing(best);
                self.connect(Some(best.1)).unwrap_or_else(existing)
            }
            Some(best) => self.use_existing(best),
            None => self.connect(None).unwrap_or_else(Selection::Unavailable),
        }
    }

    fn use_existing(&self, (preference, key): (Preference, Key)) -> Selection {
        Selection::Use {
            key,
            connect_spare: self.wants_spare(preference.open_attempts),
        }
    }

    /// Selects a new connection, if one may be opened.
    fn connect(&self, fallback: Option<Key>) -> Result<Selection, ConnectError> {
        let reclaim = self.reclaimable();
        let connecting = self.connecting_count();
        let has_capacity =
            self.connections.len() - reclaim.len() < self.limits.max_connections_per_cache;
        if has_capacity && connecting < self.limits.max_connects_per_cache {
            return Ok(Selection::Connect { reclaim, fallback });
        }
        Err(if connecting == 0 {
            // All connections are fully used, which says nothing about the cache server.
            ConnectError::NoCapacity
        } else {
            ConnectError::Unreachable
        })
    }

    fn best_connection(&self, id: &str) -> Option<(Preference, Key)> {
        self.connections
            .iter()
            .filter_map(|(key, conn, upstream)| Some((self.preference(id, conn, upstream)?, *key)))
            .min()
    }

    /// Returns how well a connection suits an attempt; `None` if it accepts no attempt of this request now.
    fn preference(
        &self,
        id: &str,
        conn: &TcpConnection,
        upstream: &UpstreamConnection,
    ) -> Option<Preference> {
        let is_overdue = !conn.up && upstream.is_connect_overdue(self.now, self.limits);
        if upstream.is_outdated(self.core) || is_overdue || upstream.is_stale(self.now, self.limits)
        {
            return None;
        }
        Some(Preference {
            has_no_aborted_attempt: !upstream.has_aborted(id),
            is_blocked_by_response: upstream.is_blocked_by_response(self.now, self.limits),
            is_connecting: !conn.up,
            open_attempts: upstream.live_streams_if_available(id, self.core, self.limits)?,
        })
    }

    /// Returns whether to open a spare connection. A malformed response ends all attempts on its connection, so
    /// attempts are spread over several connections, and the next one is opened before it is needed.
    fn wants_spare(&self, open_attempts: usize) -> bool {
        open_attempts >= self.limits.attempts_before_new_connection
            && self.connections.len() < self.limits.max_connections_per_cache
            && self.connections.iter().all(|(_, conn, _)| conn.up)
    }

    /// Returns the idle connections that may be dead and are closed in favour of a new one. Cache servers limit the
    /// number of their connections, so dead connections must not use up that limit.
    fn reclaimable(&self) -> Vec<Key> {
        let is_reclaimable = |conn: &TcpConnection, upstream: &UpstreamConnection| {
            let is_doubtful = upstream.is_suspect() || upstream.is_stale(self.now, self.limits);
            conn.up && upstream.is_idle() && is_doubtful
        };
        self.connections
            .iter()
            .filter(|(_, conn, upstream)| is_reclaimable(conn, upstream))
            .map(|(key, _, _)| *key)
            .collect()
    }

    /// Returns the number of connections that are being established. Their number is limited, because further
    /// connections would only add load to a slow server.
    fn connecting_count(&self) -> usize {
        self.connections
            .iter()
            .filter(|(_, conn, upstream)| !upstream.is_outdated(self.core) && !conn.up)
            .count()
    }
}
