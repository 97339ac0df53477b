//! Connections to cache servers: which one an attempt takes, and what becomes of it.

use super::{ConnectError, Connection, Daemon, Kind, Timer};
use crate::core::{AttemptId, TRACE};
use crate::net::{Conn, Failure, FailureKind, Key};
use crate::upstream::{UpstreamConnection, UpstreamEvent};
use linnetknot::{Micros, Outcome, ServerId};
use std::collections::btree_map::Entry;

impl Daemon {
    pub(super) fn apply_events(&mut self, now: Micros, server: ServerId, told: Vec<UpstreamEvent>) {
        for t in told {
            match t {
                UpstreamEvent::AttemptStarted(attempt) => self.core.attempt_started(attempt),
                // A box that answers on another connection is there: only this one did not come up.
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

    /// Whether a connection to a box is up on which it has spoken a moment ago.
    fn is_heard_from(&self, now: Micros, server: ServerId) -> bool {
        let fresh = |(conn, link): (&Conn, &UpstreamConnection)| {
            conn.up && link.last_received() + self.limits.suspect_us > now
        };
        self.cache_connections
            .get(&server)
            .into_iter()
            .flatten()
            .any(|key| self.cache_connection(*key).is_some_and(fresh))
    }

    pub(super) fn cache_connection_mut(
        &mut self,
        key: Key,
    ) -> Option<(&mut Conn, &mut UpstreamConnection)> {
        match self.connections.get_mut(key)? {
            Connection {
                conn,
                kind: Kind::CacheServer(link),
                ..
            } => Some((conn, link)),
            _ => None,
        }
    }

    /// A connection to a box, to look at.
    fn cache_connection(&self, key: Key) -> Option<(&Conn, &UpstreamConnection)> {
        match self.connections.get(key)? {
            Connection {
                conn,
                kind: Kind::CacheServer(link),
                ..
            } => Some((conn, link)),
            _ => None,
        }
    }

    pub(super) fn send(&mut self, now: Micros, attempt: AttemptId) {
        let Some(dispatch) = self.core.dispatch(attempt) else {
            return;
        };
        let (id, server) = (dispatch.request.id.as_str(), dispatch.target.server);
        let links = self
            .cache_connections
            .get(&server)
            .map_or(&[][..], Vec::as_slice);
        let endpoint = self.core.endpoint(server);
        let leads = |key: &Key| {
            self.cache_connection(*key)
                .filter(|(_, link)| link.endpoint == endpoint)
        };
        let room = |key: &Key| {
            let (conn, link) = leads(key)?;
            let waits = !conn.up && link.is_connect_overdue(now, &self.limits)
                || link.is_stale(now, &self.limits);
            let live = link
                .streams_if_free(id, &self.core, &self.limits)
                .filter(|_| !waits)?;
            Some((
                !link.has_aborted(id),
                !conn.up,
                link.is_held_up(now, &self.limits),
                live,
            ))
        };
        let best = links
            .iter()
            .filter_map(|key| Some((room(key)?, *key)))
            .min();
        // One answer that can't be read ends all that is open on its connection: the more of them, the less is
        // lost at once. The next one is begun ahead, so that no attempt waits for it.
        let up = |key: &Key| self.cache_connection(*key).is_some_and(|(conn, _)| conn.up);
        let shared = best.is_some_and(|((.., live), _)| live >= self.limits.box_shared);
        let ahead = shared && links.len() < self.limits.box_connections && links.iter().all(up);
        // A connection that may lead nowhere gives its place up to the one that takes over from it: places at a box are
        // scarce where many proxies hold some, and what is kept in vain by all bars all.
        let vain = |key: &&Key| {
            self.cache_connection(**key).is_some_and(|(conn, link)| {
                conn.up && link.is_idle() && (link.is_suspect() || link.is_stale(now, &self.limits))
            })
        };
        let vain: Vec<Key> = links.iter().filter(vain).copied().collect();
        // Connections that are late may come up all the same: more of them than this would only add to whatever
        // keeps them.
        let late = links
            .iter()
            .filter(|key| leads(key).is_some_and(|(conn, _)| !conn.up))
            .count();
        let places = links.len() - vain.len() < self.limits.box_connections;
        let fresh = best.is_none() && places && late < self.limits.box_dials;
        if fresh {
            vain.into_iter().for_each(|key| self.close(now, key));
        }
        let key = match best {
            Some((_, key)) => Ok(key),
            None if fresh => self.connect_cache(now, server),
            // All that lead there are taken, which says nothing of the box, or none comes up.
            None if late == 0 => Err(ConnectError::NoCapacity),
            None => Err(ConnectError::Unreachable),
        };
        if ahead && self.connections.free_slots() > self.limits.spare_connections {
            let _ = self.connect_cache(now, server);
        }
        match key {
            Ok(key) => {
                let Some((conn, link)) = self.cache_connection_mut(key) else {
                    return;
                };
                link.enqueue(now, attempt);
                let up = conn.up;
                if !up {
                    self.deadlines
                        .set(now + self.limits.connect_us, Timer::CacheConnection(key));
                }
                if !self.pump(now, key) {
                    self.close(now, key);
                }
                self.watch(now, key);
            }
            // Nothing was written: it never ran.
            Err(ConnectError::Refused) => {
                self.core
                    .attempt_finished(now, attempt, Outcome::ConnectFailed.into());
            }
            Err(ConnectError::Unreachable) => self.apply_events(
                now,
                server,
                vec![UpstreamEvent::AttemptFinished(
                    attempt,
                    Outcome::Unreached.into(),
                )],
            ),
            Err(ConnectError::NoCapacity) => {
                self.core
                    .attempt_finished(now, attempt, Outcome::Moot.into());
            }
            Err(ConnectError::LocalResources) => self.send_later(now, attempt),
        }
    }

    /// Begins a connection to a box. The last places of the table are kept for others than boxes: were they taken too,
    /// the list of boxes could not be asked for any more. Connections that rest make room.
    fn connect_cache(&mut self, now: Micros, server: ServerId) -> Result<Key, ConnectError> {
        let endpoint = self.core.endpoint(server).ok_or(ConnectError::NoCapacity)?;
        if self.connections.free_slots() <= self.limits.spare_connections {
            let rests = |key: &&Key| {
                self.cache_connection(**key)
                    .is_some_and(|(_, link)| link.is_idle())
            };
            let used = |key: &Key| {
                (
                    self.cache_connection(*key)
                        .map(|(_, link)| link.last_used()),
                    *key,
                )
            };
            let longest = self
                .cache_connections
                .values()
                .flatten()
                .filter(rests)
                .map(used)
                .min();
            let (_, longest) = longest.ok_or(ConnectError::NoCapacity)?;
            self.close(now, longest);
        }
        let mut link = UpstreamConnection::new(server, &self.limits, now);
        link.endpoint = Some(endpoint);
        let key = self.connect_to(now, endpoint, Kind::CacheServer(link))?;
        let links = self.cache_connections.entry(server).or_default();
        links.push(key);
        log::debug!(target: TRACE, cache = self.core.uid(server), number = links.len(); "a connection is begun");
        Ok(key)
    }

    /// A connection is not up in time. What waits for one to a box goes on elsewhere; the connection itself is let be
    /// for longer, as it may come up yet: given up each time, a box that is slow to accept would get one after another
    /// and never be reached.
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

    /// Begins what a connection takes, and tells what has ended on it. False: it is to be closed.
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
        let forgets = link.next_forget_at(now, &self.limits);
        let due = [
            link.next_report_at(&self.limits),
            link.partial_answer_deadline(&self.limits).filter(|_| sound),
            forgets,
        ];
        for at in due.into_iter().flatten() {
            self.deadlines.set(at, Timer::CacheConnection(key));
        }
        if conn.is_stuck() {
            self.deadlines
                .set(now + self.limits.stalled_us, Timer::CacheConnection(key));
        }
        // What drains or is gone gets nothing new: once all that it owed has come, its connections are of no use,
        // and where a machine has vanished nobody else would end them.
        let moved = self
            .core
            .endpoint(server)
            .is_some_and(|at| link.endpoint != Some(at));
        let done = link.is_idle() && (moved || !self.core.is_cache_ready(server));
        self.apply_events(now, server, told);
        sound && !done
    }

    pub(super) fn check_cache_connection(&mut self, now: Micros, key: Key) {
        if let Some(Connection {
            kind: Kind::CacheServer(link),
            ..
        }) = self.connections.get_mut(key)
        {
            link.forget_finished(now, &self.limits);
        }
        if !self.pump(now, key) {
            self.close(now, key);
        }
        self.watch(now, key);
    }

    /// A connection to a box has ended, and with it all that was open on it.
    pub(super) fn cache_connection_closed(
        &mut self,
        now: Micros,
        key: Key,
        conn: &Conn,
        mut link: UpstreamConnection,
    ) {
        let server = link.server;
        log::debug!(target: TRACE, cache = self.core.uid(server), up = conn.up; "a connection has ended");
        if let Entry::Occupied(mut links) = self.cache_connections.entry(server) {
            links.get_mut().retain(|k| *k != key);
            if links.get().is_empty() {
                links.remove();
            }
        }
        let mut told = Vec::new();
        let failure = conn.connect_failure();
        if failure.is_some_and(Failure::is_local) {
            // Nothing was heard of its box: what waited for it goes on waiting.
            for attempt in link.take_queued() {
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
            if !self.pump(now, key) {
                self.close(now, key);
            }
            self.watch(now, key);
        }
    }

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
                // Its address may be given to another box.
                self.close(now, key);
            }
        }
    }

    pub(super) fn probe(&mut self, now: Micros, server: ServerId) {
        let endpoint = self.core.endpoint(server);
        let mut links = self
            .cache_connections
            .get(&server)
            .into_iter()
            .flatten()
            .copied();
        let key = links.find(|key| {
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
