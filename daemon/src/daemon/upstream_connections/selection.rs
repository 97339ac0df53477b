//! Which of the connections to a cache server an attempt takes, or whether another is begun for it.

use super::super::{ConnectError, Daemon};
use crate::core::Core;
use crate::limits::Limits;
use crate::net::{Key, TcpConnection};
use crate::upstream::UpstreamConnection;
use linnetknot::{Micros, ServerId};
use std::net::SocketAddr;

/// What is to be done for an attempt.
pub(super) enum Selection {
    /// It takes this connection.
    Use {
        key: Key,
        /// A further connection is begun, which no attempt waits for yet.
        connect_spare: bool,
    },
    /// It waits for a new connection; those that are reclaimed are closed first.
    Connect { reclaim: Vec<Key> },
    /// It can't be sent for now.
    Unavailable(ConnectError),
}

/// How well a connection fits an attempt: the smallest fits best.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Preference {
    /// An attempt of the same request was not cancelled on it.
    is_new_to_request: bool,
    is_connecting: bool,
    is_blocked_by_response: bool,
    /// How many attempts are open on it.
    open_attempts: usize,
}

/// The connections to one cache server, as an attempt finds them.
pub(super) struct CacheConnections<'a> {
    now: Micros,
    core: &'a Core,
    limits: &'a Limits,
    /// Where the cache server is by now.
    endpoint: Option<SocketAddr>,
    connections: Vec<(Key, &'a TcpConnection, &'a UpstreamConnection)>,
}

impl<'a> CacheConnections<'a> {
    pub(super) fn of(daemon: &'a Daemon, now: Micros, server: ServerId) -> Self {
        let keys = daemon.cache_connections.get(&server).into_iter().flatten();
        let connections = keys.filter_map(|key| {
            let (conn, link) = daemon.cache_connection(*key)?;
            Some((*key, conn, link))
        });
        CacheConnections {
            now,
            core: &daemon.core,
            limits: &daemon.limits,
            endpoint: daemon.core.endpoint(server),
            connections: connections.collect(),
        }
    }

    /// Selects a connection for an attempt of the request with this id.
    pub(super) fn select(&self, id: &str) -> Selection {
        if let Some((preference, key)) = self.best_for(id) {
            return Selection::Use {
                key,
                connect_spare: self.wants_spare(preference.open_attempts),
            };
        }
        let reclaim = self.reclaimable();
        let connecting = self.connecting();
        let has_place =
            self.connections.len() - reclaim.len() < self.limits.max_connections_per_cache;
        if has_place && connecting < self.limits.max_connects_per_cache {
            return Selection::Connect { reclaim };
        }
        Selection::Unavailable(if connecting == 0 {
            // All that lead there are taken, which says nothing of the cache server.
            ConnectError::NoCapacity
        } else {
            ConnectError::Unreachable
        })
    }

    fn best_for(&self, id: &str) -> Option<(Preference, Key)> {
        self.connections
            .iter()
            .filter_map(|(key, conn, link)| Some((self.preference(id, conn, link)?, *key)))
            .min()
    }

    /// How well a connection fits; none if it takes no attempt of this request now.
    fn preference(
        &self,
        id: &str,
        conn: &TcpConnection,
        link: &UpstreamConnection,
    ) -> Option<Preference> {
        let is_late = !conn.up && link.is_connect_overdue(self.now, self.limits);
        if !self.leads_there(link) || is_late || link.is_stale(self.now, self.limits) {
            return None;
        }
        Some(Preference {
            is_new_to_request: !link.has_aborted(id),
            is_connecting: !conn.up,
            is_blocked_by_response: link.is_blocked_by_response(self.now, self.limits),
            open_attempts: link.live_streams_if_available(id, self.core, self.limits)?,
        })
    }

    /// Whether a connection leads to where the cache server is by now.
    fn leads_there(&self, link: &UpstreamConnection) -> bool {
        link.endpoint == self.endpoint
    }

    /// One answer that can't be read ends all that is open on its connection: the more connections, the less is lost at
    /// once. The next one is begun ahead, so that no attempt waits for it.
    fn wants_spare(&self, open_attempts: usize) -> bool {
        open_attempts >= self.limits.attempts_before_new_connection
            && self.connections.len() < self.limits.max_connections_per_cache
            && self.connections.iter().all(|(_, conn, _)| conn.up)
    }

    /// A connection that may lead nowhere gives its place up to the one that takes over from it: places at a cache server
    /// are scarce where many proxies hold some, and what is held in vain by all bars all.
    fn reclaimable(&self) -> Vec<Key> {
        let is_reclaimable = |conn: &TcpConnection, link: &UpstreamConnection| {
            let is_doubtful = link.is_suspect() || link.is_stale(self.now, self.limits);
            conn.up && link.is_idle() && is_doubtful
        };
        self.connections
            .iter()
            .filter(|(_, conn, link)| is_reclaimable(conn, link))
            .map(|(key, _, _)| *key)
            .collect()
    }

    /// How many connections have not come up. They may come up late all the same: more of them would only add to whatever
    /// keeps them.
    fn connecting(&self) -> usize {
        self.connections
            .iter()
            .filter(|(_, conn, link)| self.leads_there(link) && !conn.up)
            .count()
    }
}
