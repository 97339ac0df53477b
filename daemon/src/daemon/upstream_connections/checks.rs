//! Time limits of connections to cache servers.

use crate::daemon::{Connection, ConnectionKind, Daemon, Timer};
use crate::net::{Key, Progress};
use linnetknot::Micros;

impl Daemon {
    /// Schedules the next check of a connection to a cache server, unless an earlier one is scheduled. A connection has
    /// one timer, and each check schedules the next one.
    pub(super) fn schedule_check(&mut self, key: Key, at: Micros) {
        let Some((_, upstream)) = self.cache_connection_mut(key) else {
            return;
        };
        let scheduled = upstream.check_due;
        if scheduled.is_some_and(|due| due.at <= at) {
            return;
        }
        let due = self.deadlines.set(at, Timer::CheckCacheConnection(key));
        if let Some(later) = scheduled {
            self.deadlines.cancel(later);
        }
        if let Some((_, upstream)) = self.cache_connection_mut(key) {
            upstream.check_due = Some(due);
        }
    }

    /// Handles a connection that is not established within the connect timeout. A connection to a cache server is kept
    /// until a later deadline, while the attempts that waited for it are made elsewhere: if the connection were closed
    /// each time, a server that accepts slowly could never be reached. Other connections are closed.
    pub(in crate::daemon) fn check_connect_timeout(&mut self, now: Micros, key: Key) {
        let Some(connection) = self
            .connections
            .get(key)
            .filter(|connection| !connection.conn.up)
        else {
            return;
        };
        match &connection.kind {
            ConnectionKind::CacheServer(upstream)
                if upstream.connect_deadline(&self.limits) > now =>
            {
                let at = upstream.connect_deadline(&self.limits);
                self.deadlines.set(at, Timer::ConnectTimeout(key));
            }
            _ => self.close(now, key),
        }
    }

    /// Reads on if the time limit of an incomplete response has passed: its rest may have arrived while the event loop was
    /// delayed. Returns false if the connection has to be closed.
    pub(super) fn read_overdue_response(&mut self, now: Micros, key: Key) -> bool {
        let Some(Connection {
            conn,
            kind: ConnectionKind::CacheServer(upstream),
            ..
        }) = self.connections.get_mut(key)
        else {
            return true;
        };
        let is_overdue = upstream
            .partial_response_deadline(&self.limits)
            .is_some_and(|at| at <= now);
        if !is_overdue || conn.read(false) != Progress::Moved {
            return true;
        }
        let (server, mut events) = (upstream.server, Vec::new());
        let result = upstream.read(now, conn, &self.core, &mut events);
        self.apply_upstream_events(now, server, events);
        if let Err(e) = &result {
            log::warn!("closing a connection to a cache server: {e}");
        }
        result.is_ok()
    }

    /// Removes the finished streams of a connection to a cache server, and flushes the connection.
    pub(in crate::daemon) fn check_cache_connection(&mut self, now: Micros, key: Key) {
        if let Some(Connection {
            kind: ConnectionKind::CacheServer(upstream),
            ..
        }) = self.connections.get_mut(key)
        {
            if let Some(due) = upstream.check_due.take() {
                self.deadlines.cancel(due);
            }
            upstream.remove_finished(now, &self.limits);
        }
        self.flush_or_close(now, key);
    }
}
