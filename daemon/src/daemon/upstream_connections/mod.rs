//! Connections to cache servers: which one an attempt takes, and what becomes of it.

mod selection;

use super::{ConnectError, Connection, Daemon, Kind, Timer};
use crate::core::{AttemptId, TRACE};
use crate::net::{Failure, FailureKind, Key, TcpConnection};
use crate::upstream::{UpstreamConnection, UpstreamEvent};
use linnetknot::{Micros, Outcome, ServerId};
use selection::{CacheConnections, Selection};
use std::collections::btree_map::Entry;

impl Daemon {
    /// Applies to the core what happened on a connection to a cache server.
    pub(super) fn apply_events(&mut self, now: Micros, server: ServerId, told: Vec<UpstreamEvent>) {
        for t in told {
            match t {
                UpstreamEvent::AttemptStarted(attempt) => self.core.attempt_started(attempt),
                // A cache server that answers on another connection is there: only this one did not come up.
                UpstreamEvent::AttemptFinished(attempt, ended)
                    if ended.outcome == Outcome::Unreached && self.is_heard_from(now, server) =>
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

    /// Whether a connection to a cache server is up on which something came from it a moment ago.
    fn is_heard_from(&self, now: Micros, server: ServerId) -> bool {
        let fresh = |(conn, link): (&TcpConnection, &UpstreamConnection)| {
            conn.up && link.last_received() + self.limits.suspect_timeout_us > now
        };
        self.cache_connections
            .get(&server)
            .into_iter()
            .flatten()
            .any(|key| self.cache_connection(*key).is_some_and(fresh))
    }

    /// A connection to a cache server.
    fn cache_connection_mut(
        &mut self,
        key: Key,
    ) -> Option<(&mut TcpConnection, &mut UpstreamConnection)> {
        match self.connections.get_mut(key)? {
            Connection {
                conn,
                kind: Kind::CacheServer(link),
                ..
            } => Some((conn, link)),
            _ => None,
        }
    }

    /// The same, to read.
    fn cache_connection(&self, key: Key) -> Option<(&TcpConnection, &UpstreamConnection)> {
        match self.connections.get(key)? {
            Connection {
                conn,
                kind: Kind::CacheServer(link),
                ..
            } => Some((conn, link)),
            _ => None,
        }
    }

    /// Sends an attempt on a connection to its cache server.
    pub(super) fn send(&mut self, now: Micros, attempt: AttemptId) {
        let Some(dispatch) = self.core.dispatch(attempt) else {
            return;
        };
        let server = dispatch.target.server;
        let selection = CacheConnections::of(self, now, server).select(&dispatch.request.id);
        match self.selected(now, server, selection) {
            Ok(key) => self.send_on(now, key, attempt),
            Err(error) => self.not_sent(now, server, attempt, error),
        }
    }

    /// The connection that was selected, begun now where that was selected.
    fn selected(
        &mut self,
        now: Micros,
        server: ServerId,
        selection: Selection,
    ) -> Result<Key, ConnectError> {
        match selection {
            Selection::Use { key, connect_spare } => {
                if connect_spare && self.connections.free_slots() > self.limits.reserved_connections
                {
                    // No attempt waits for it: where it fails, it is begun again with the next one.
                    let _ = self.connect_cache(now, server);
                }
                Ok(key)
            }
            Selection::Connect { reclaim } => {
                for key in reclaim {
                    self.close(now, key);
                }
                self.connect_cache(now, server)
            }
            Selection::Unavailable(error) => Err(error),
        }
    }

    /// Sends an attempt on this connection, at once or when it is up.
    fn send_on(&mut self, now: Micros, key: Key, attempt: AttemptId) {
        let Some((conn, link)) = self.cache_connection_mut(key) else {
            return;
        };
        link.enqueue(now, attempt);
        if !conn.up {
            self.deadlines.set(
                now + self.limits.connect_timeout_us,
                Timer::CacheConnection(key),
            );
        }
        self.pump_or_close(now, key);
    }

    /// An attempt has no connection. Nothing was written: it never ran.
    fn not_sent(&mut self, now: Micros, server: ServerId, attempt: AttemptId, error: ConnectError) {
        let outcome = match error {
            ConnectError::Refused => Outcome::ConnectFailed,
            ConnectError::NoCapacity => Outcome::Moot,
            ConnectError::LocalResources => return self.send_later(now, attempt),
            ConnectError::Unreachable => {
                let ended = UpstreamEvent::AttemptFinished(attempt, Outcome::Unreached.into());
                return self.apply_events(now, server, vec![ended]);
            }
        };
        self.core.attempt_finished(now, attempt, outcome.into());
    }

    /// Goes on with a connection, and closes it if it is over.
    fn pump_or_close(&mut self, now: Micros, key: Key) {
        if !self.pump(now, key) {
            self.close(now, key);
        }
        self.watch(now, key);
    }

    /// Begins a connection to a cache server. The last places of the table are reserved for other connections: were they
    /// taken too, the list of cache servers could not be asked for any more.
    fn connect_cache(&mut self, now: Micros, server: ServerId) -> Result<Key, ConnectError> {
        let endpoint = self.core.endpoint(server).ok_or(ConnectError::NoCapacity)?;
        if self.connections.free_slots() <= self.limits.reserved_connections {
            let idle = self.longest_idle().ok_or(ConnectError::NoCapacity)?;
            self.close(now, idle);
        }
        let mut link = UpstreamConnection::new(server, &self.limits, now);
        link.endpoint = Some(endpoint);
        let key = self.connect_to(now, endpoint, Kind::CacheServer(link))?;
        let connections = self.cache_connections.entry(server).or_default();
        connections.push(key);
        log::debug!(target: TRACE, cache = self.core.wire_id_or_dash(server), number = connections.len(); "a connection is begun");
        Ok(key)
    }

    /// The connection to any cache server that has been idle for longest.
    fn longest_idle(&self) -> Option<Key> {
        self.cache_connections
            .values()
            .flatten()
            .filter_map(|key| Some((self.cache_connection(*key)?.1, *key)))
            .filter(|(link, _)| link.is_idle())
            .map(|(link, key)| (link.last_used(), key))
            .min()
            .map(|(_, key)| key)
    }

    /// A connection is not up in time. The attempts that wait for one to a cache server go on elsewhere; the connection
    /// itself is left for longer, as it may come up yet: closed each time, a cache server that is slow to accept would get
    /// one after another and never be reached.
    pub(super) fn check_connecting(&mut self, now: Micros, key: Key) {
        let Some(c) = self.connections.get(key).filter(|c| !c.conn.up) else {
            return;
        };
        match &c.kind {
            Kind::CacheServer(link) if link.connect_deadline(&self.limits) > now => {
                let at = link.connect_deadline(&self.limits);
                self.deadlines.set(at, Timer::Connect(key));
            }
            _ => self.close(now, key),
        }
    }

    /// Sends what a connection takes, and applies what has ended on it. False: it is to be closed.
    pub(super) fn pump(&mut self, now: Micros, key: Key) -> bool {
        let Some(Connection {
            conn,
            kind: Kind::CacheServer(link),
            ..
        }) = self.connections.get_mut(key)
        else {
            return true;
        };
        let (server, mut told) = (link.server, Vec::new());
        let sound = link.flush(now, conn, &self.core, &self.limits, &mut told);
        let forgets = link.next_removal_at(now, &self.limits);
        let due = [
            link.next_report_at(&self.limits),
            link.partial_response_deadline(&self.limits)
                .filter(|_| sound),
            forgets,
        ];
        for at in due.into_iter().flatten() {
            self.deadlines.set(at, Timer::CacheConnection(key));
        }
        if conn.is_waiting_to_write() {
            self.deadlines.set(
                now + self.limits.write_stall_timeout_us,
                Timer::CacheConnection(key),
            );
        }
        // A cache server that drains or is gone gets nothing new: once all that it owed has come, its connections are of
        // no use, and where a machine has vanished nobody else would end them.
        let moved = self
            .core
            .endpoint(server)
            .is_some_and(|at| link.endpoint != Some(at));
        let done = link.is_idle() && (moved || !self.core.is_cache_ready(server));
        self.apply_events(now, server, told);
        sound && !done
    }

    /// Checks a connection to a cache server when that is due: forgets old ids, and sends what waits.
    pub(super) fn check_cache_connection(&mut self, now: Micros, key: Key) {
        if let Some(Connection {
            kind: Kind::CacheServer(link),
            ..
        }) = self.connections.get_mut(key)
        {
            link.remove_finished(now, &self.limits);
        }
        self.pump_or_close(now, key);
    }

    /// A connection to a cache server was closed, and with it all that was open on it.
    pub(super) fn cache_connection_closed(
        &mut self,
        now: Micros,
        key: Key,
        conn: &TcpConnection,
        mut link: UpstreamConnection,
    ) {
        let server = link.server;
        log::debug!(target: TRACE, cache = self.core.wire_id_or_dash(server), up = conn.up; "a connection has ended");
        if let Entry::Occupied(mut connections) = self.cache_connections.entry(server) {
            connections.get_mut().retain(|k| *k != key);
            if connections.get().is_empty() {
                connections.remove();
            }
        }
        let mut told = Vec::new();
        let failure = conn.connect_failure();
        if failure.is_some_and(Failure::is_local) {
            // Nothing was heard of the cache server: what waited for it goes on waiting.
            for attempt in link.drain_queue() {
                self.send_later(now, attempt);
            }
        }
        let unsent = match failure.map(|failure| failure.kind) {
            _ if conn.up => Outcome::Moot,
            Some(FailureKind::Refused) => Outcome::ConnectFailed,
            _ => Outcome::Unreached,
        };
        link.connection_lost(unsent, conn.written, &mut told);
        self.apply_events(now, server, told);
    }

    /// Cancels an attempt at a cache server.
    pub(super) fn give_up(&mut self, now: Micros, attempt: AttemptId, server: ServerId) {
        for key in self
            .cache_connections
            .get(&server)
            .cloned()
            .unwrap_or_default()
        {
            let Some((_, link)) = self.cache_connection_mut(key) else {
                continue;
            };
            link.abort(now, attempt);
            self.pump_or_close(now, key);
        }
    }

    /// Withdraws a cache server: nothing that is open anywhere is to be filled from it any more.
    pub(super) fn withdraw(&mut self, now: Micros, server: ServerId) {
        for key in self
            .cache_connections
            .values()
            .flatten()
            .copied()
            .collect::<Vec<_>>()
        {
            let Some(Connection {
                kind: Kind::CacheServer(link),
                ..
            }) = self.connections.get_mut(key)
            else {
                continue;
            };
            let (to, mut told) = (link.server, Vec::new());
            link.withdraw(server, &self.core, &mut told);
            let over = to == server && link.is_idle();
            self.apply_events(now, to, told);
            if over {
                // Its address may be given to another cache server.
                self.close(now, key);
            }
        }
    }

    /// Sends a health check to a cache server.
    pub(super) fn probe(&mut self, now: Micros, server: ServerId) {
        let endpoint = self.core.endpoint(server);
        let mut connections = self
            .cache_connections
            .get(&server)
            .into_iter()
            .flatten()
            .copied();
        let key = connections.find(|key| {
            self.cache_connection(*key)
                .is_some_and(|(_, link)| link.endpoint == endpoint)
        });
        let asked = key
            .and_then(|key| self.cache_connection_mut(key))
            .is_some_and(|(conn, link)| link.send_health_check(now, conn));
        match key.filter(|_| asked) {
            Some(key) => {
                self.write(now, key);
            }
            None => self
                .core
                .health_check_finished(now, server, Outcome::ConnectFailed, 0, None),
        }
    }
}
