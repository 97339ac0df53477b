//! Connections to cache servers: assigns attempts to connections and reports their outcomes to the core.

mod checks;
mod selection;

use super::{ConnectError, Connection, ConnectionKind, Daemon};
use crate::core::{AttemptId, TRACE};
use crate::net::{Failure, FailureKind, Key, TcpConnection};
use crate::upstream::{UpstreamConnection, UpstreamEvent};
use linnetknot::{Micros, Outcome, ServerId};
use selection::{CacheConnections, Selection};
use std::collections::btree_map::Entry;

impl Daemon {
    /// Applies the events of a connection to a cache server to the core.
    pub(super) fn apply_upstream_events(
        &mut self,
        now: Micros,
        server: ServerId,
        events: Vec<UpstreamEvent>,
    ) {
        for event in events {
            match event {
                UpstreamEvent::AttemptStarted(attempt) => self.core.attempt_started(attempt),
                // If the server has recently responded on another connection, only this connection has failed, not the
                // server.
                UpstreamEvent::AttemptFinished(attempt, ended)
                    if ended.outcome == Outcome::Unreached
                        && self.has_recent_response(now, server) =>
                {
                    self.core
                        .attempt_finished(now, attempt, Outcome::Moot.into());
                }
                UpstreamEvent::AttemptFinished(attempt, ended) => {
                    self.core.attempt_finished(now, attempt, ended);
                }
                UpstreamEvent::OriginDate(made) => self.core.observe_origin_date(now, made),
                UpstreamEvent::HealthCheckFinished {
                    outcome,
                    took_us,
                    load,
                } => {
                    self.core
                        .health_check_finished(now, server, outcome, took_us, load);
                }
            }
        }
    }

    /// Returns whether a cache server has recently responded on an established connection.
    fn has_recent_response(&self, now: Micros, server: ServerId) -> bool {
        let is_recent = |(conn, upstream): (&TcpConnection, &UpstreamConnection)| {
            conn.up && upstream.has_responded_recently(now, &self.limits)
        };
        self.cache_connections
            .get(&server)
            .into_iter()
            .flatten()
            .any(|key| self.cache_connection(*key).is_some_and(is_recent))
    }

    fn cache_connection_mut(
        &mut self,
        key: Key,
    ) -> Option<(&mut TcpConnection, &mut UpstreamConnection)> {
        match self.connections.get_mut(key)? {
            Connection {
                conn,
                kind: ConnectionKind::CacheServer(upstream),
                ..
            } => Some((conn, upstream)),
            _ => None,
        }
    }

    fn cache_connection(&self, key: Key) -> Option<(&TcpConnection, &UpstreamConnection)> {
        match self.connections.get(key)? {
            Connection {
                conn,
                kind: ConnectionKind::CacheServer(upstream),
                ..
            } => Some((conn, upstream)),
            _ => None,
        }
    }

    /// Returns the attempts that wait on a connection to a cache server and have not started.
    pub(super) fn queued_attempts(&self, key: Key) -> Vec<AttemptId> {
        self.cache_connection(key)
            .map(|(_, upstream)| upstream.queued_attempts().collect())
            .unwrap_or_default()
    }

    /// Selects or opens a connection to the cache server of an attempt, and sends the attempt.
    pub(super) fn send_attempt(&mut self, now: Micros, attempt: AttemptId) {
        fail::fail_point!("attempt-send");
        let Some(dispatch) = self.core.dispatch(attempt) else {
            return;
        };
        let server = dispatch.target.server;
        let selection = CacheConnections::of(self, now, server).select(&dispatch.request.id);
        match self.use_selection(now, server, selection) {
            Ok(key) => self.send_attempt_on(now, key, attempt),
            Err(error) => self.finish_unsent_attempt(now, server, attempt, error),
        }
    }

    /// Returns the selected connection, which is opened first if it does not exist.
    fn use_selection(
        &mut self,
        now: Micros,
        server: ServerId,
        selection: Selection,
    ) -> Result<Key, ConnectError> {
        match selection {
            Selection::Use { key, connect_spare } => {
                if connect_spare && self.connections.free_slots() > self.limits.reserved_connections
                {
                    // A failure to open the spare connection is ignored, because no attempt depends on it. The next
                    // attempt opens another.
                    let _ = self.connect_cache(now, server);
                }
                Ok(key)
            }
            Selection::Connect { reclaim, fallback } => {
                for key in reclaim {
                    self.close(now, key);
                }
                let connected = self.connect_cache(now, server);
                connected.or_else(|error| fallback.ok_or(error))
            }
            Selection::Unavailable(error) => Err(error),
        }
    }

    /// Sends an attempt on a connection, or queues it until the connection is established.
    fn send_attempt_on(&mut self, now: Micros, key: Key, attempt: AttemptId) {
        let Some((_, upstream)) = self.cache_connection_mut(key) else {
            return;
        };
        upstream.enqueue(now, attempt);
        self.flush_or_close(now, key);
    }

    /// Finishes an attempt for which there is no connection, so that nothing was sent.
    fn finish_unsent_attempt(
        &mut self,
        now: Micros,
        server: ServerId,
        attempt: AttemptId,
        error: ConnectError,
    ) {
        let outcome = match error {
            ConnectError::Refused => Outcome::ConnectFailed,
            ConnectError::NoCapacity => Outcome::Moot,
            ConnectError::LocalResources => return self.defer_attempt(now, attempt),
            ConnectError::Unreachable => {
                let ended = UpstreamEvent::AttemptFinished(attempt, Outcome::Unreached.into());
                return self.apply_upstream_events(now, server, vec![ended]);
            }
        };
        self.core.attempt_finished(now, attempt, outcome.into());
    }

    /// Flushes a connection, and closes it if it is finished.
    fn flush_or_close(&mut self, now: Micros, key: Key) {
        if !self.flush_upstream(now, key) {
            self.close(now, key);
        }
        self.update_interest(now, key);
    }

    /// Opens a connection to a cache server. The last slots of the table are reserved for other connections, such as
    /// those to the sources of the endpoint list, which could otherwise no longer be queried.
    fn connect_cache(&mut self, now: Micros, server: ServerId) -> Result<Key, ConnectError> {
        let endpoint = self.core.endpoint(server).ok_or(ConnectError::NoCapacity)?;
        if self.connections.free_slots() <= self.limits.reserved_connections {
            let idle = self.longest_idle().ok_or(ConnectError::NoCapacity)?;
            self.close(now, idle);
        }
        let mut upstream = UpstreamConnection::new(server, &self.limits, now);
        upstream.endpoint = Some(endpoint);
        let key = self.connect_to(
            now,
            endpoint,
            ConnectionKind::CacheServer(Box::new(upstream)),
        )?;
        let connections = self.cache_connections.entry(server).or_default();
        connections.push(key);
        log::debug!(target: TRACE, cache = self.core.wire_id_or_dash(server), number = connections.len(); "connecting to cache server");
        Ok(key)
    }

    /// Returns the connection to any cache server that has been idle the longest.
    fn longest_idle(&self) -> Option<Key> {
        self.cache_connections
            .values()
            .flatten()
            .filter_map(|key| Some((self.cache_connection(*key)?.1, *key)))
            .filter(|(upstream, _)| upstream.is_idle())
            .map(|(upstream, key)| (upstream.last_used(), key))
            .min()
            .map(|(_, key)| key)
    }

    /// Sends queued attempts and applies the events of a connection. Returns false if the connection has to be
    /// closed.
    pub(super) fn flush_upstream(&mut self, now: Micros, key: Key) -> bool {
        self.read_clients_of_queued_attempts(now, key);
        if !self.read_overdue_response(now, key) {
            return false;
        }
        let Some(Connection {
            conn,
            kind: ConnectionKind::CacheServer(upstream),
            ..
        }) = self.connections.get_mut(key)
        else {
            return true;
        };
        let (server, mut events) = (upstream.server, Vec::new());
        let clock = self.clock;
        let is_open = upstream.flush(
            now,
            &|| clock.now().max(now),
            conn,
            &self.core,
            &self.limits,
            &mut events,
        );
        let check_at = upstream.next_check_at(now, conn.up, &self.limits);
        // A server that is draining, gone or replaced by a new process gets no new attempts on this connection, so the
        // connection is closed once idle. If the machine of the server has failed, nothing else would close it.
        let is_done = upstream.is_idle() && upstream.is_retired(&self.core);
        if let Some(at) = check_at.filter(|_| is_open) {
            self.schedule_check(key, at);
        }
        self.apply_upstream_events(now, server, events);
        is_open && !is_done
    }

    /// Finishes the attempts of a connection to a cache server that was closed.
    pub(super) fn upstream_closed(
        &mut self,
        now: Micros,
        key: Key,
        conn: &TcpConnection,
        mut upstream: UpstreamConnection,
    ) {
        let server = upstream.server;
        log::debug!(target: TRACE, cache = self.core.wire_id_or_dash(server), up = conn.up; "connection to cache server closed");
        if let Entry::Occupied(mut connections) = self.cache_connections.entry(server) {
            connections.get_mut().retain(|k| *k != key);
            if connections.get().is_empty() {
                connections.remove();
            }
        }
        let mut events = Vec::new();
        let failure = conn.connect_failure();
        if failure.is_some_and(Failure::is_local) {
            // The failure has a local cause and says nothing about the server, so queued attempts are deferred.
            for attempt in upstream.drain_queue() {
                self.defer_attempt(now, attempt);
            }
        }
        let queued_outcome = match failure.map(|failure| failure.kind) {
            _ if conn.up => Outcome::Moot,
            Some(FailureKind::Refused) => Outcome::ConnectFailed,
            _ => Outcome::Unreached,
        };
        upstream.connection_lost(queued_outcome, conn.written, &mut events);
        self.apply_upstream_events(now, server, events);
    }

    pub(super) fn cancel_attempt(&mut self, now: Micros, attempt: AttemptId, server: ServerId) {
        for key in self
            .cache_connections
            .get(&server)
            .cloned()
            .unwrap_or_default()
        {
            let Some((_, upstream)) = self.cache_connection_mut(key) else {
                continue;
            };
            upstream.abort(now, attempt);
            self.flush_or_close(now, key);
        }
    }

    /// Withdraws a cache server: cancels the attempts that have not started and would be sent to this server or filled
    /// from it, and closes its idle connections.
    pub(super) fn withdraw_server(&mut self, now: Micros, server: ServerId) {
        for key in self
            .cache_connections
            .values()
            .flatten()
            .copied()
            .collect::<Vec<_>>()
        {
            let Some(Connection {
                kind: ConnectionKind::CacheServer(upstream),
                ..
            }) = self.connections.get_mut(key)
            else {
                continue;
            };
            let (to, mut events) = (upstream.server, Vec::new());
            upstream.withdraw(server, &self.core, &mut events);
            let should_close =
                to == server && upstream.is_idle() && upstream.is_retired(&self.core);
            self.apply_upstream_events(now, to, events);
            if should_close {
                // The address may be reassigned to another cache server.
                self.close(now, key);
            }
        }
    }

    /// Sends a health check to a cache server.
    pub(super) fn send_health_check(&mut self, now: Micros, server: ServerId) {
        let mut connections = self
            .cache_connections
            .get(&server)
            .into_iter()
            .flatten()
            .copied();
        let key = connections.find(|key| {
            self.cache_connection(*key)
                .is_some_and(|(_, upstream)| !upstream.is_outdated(&self.core))
        });
        let is_sent = key
            .and_then(|key| self.cache_connection_mut(key))
            .is_some_and(|(conn, upstream)| upstream.send_health_check(now, conn));
        match key.filter(|_| is_sent) {
            Some(key) => {
                self.write(now, key);
            }
            None => self
                .core
                .health_check_finished(now, server, Outcome::ConnectFailed, 0, None),
        }
    }
}
