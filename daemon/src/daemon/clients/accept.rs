//! New connections of clients, and which other connection is closed where there is no place for one more.

use crate::daemon::{Daemon, Kind, Timer};
use crate::limits::ClientState;
use crate::net::{FailureKind, Key, TcpConnection};
use linnetknot::Micros;
use std::io;

impl Daemon {
    /// The connection that is evicted for one more client; an error where none can be. The one that is likeliest to be of
    /// no use any more goes: a crowd that says nothing, or clients that ask once and keep their connection for good, must
    /// not shut all others out. One that came a moment ago stays, as its request is on its way, and so does one that a
    /// last check shows to have asked after all.
    pub(in crate::daemon) fn eviction_candidate(&mut self, now: Micros) -> io::Result<Key> {
        loop {
            let keys = self.connections.keys();
            let candidates = keys
                .iter()
                .filter_map(|key| Some((self.eviction_rank(now, *key)?, *key)));
            let (rank, key) = candidates.min().ok_or(io::ErrorKind::OutOfMemory)?;
            // Bytes that came meanwhile give it another rank: then it is not the one to evict.
            if !self.check_client(now, key) || self.eviction_rank(now, key) == Some(rank) {
                return Ok(key);
            }
        }
    }

    /// When a client's connection is evicted: the smallest first; none if it stays.
    fn eviction_rank(&self, now: Micros, key: Key) -> Option<(ClientState, Micros)> {
        let connection = self.connections.get(key)?;
        let state = Self::client_state(connection)?;
        let is_settled =
            connection.since <= now.saturating_sub(self.limits.client_eviction_grace_us);
        (state != ClientState::Busy && is_settled).then_some((state, connection.since))
    }

    /// The connection that is evicted for one more client, or none where there is a place; an error where none can be.
    pub(in crate::daemon) fn room_for_client(&mut self, now: Micros) -> io::Result<Option<Key>> {
        if self.clients < self.limits.max_client_connections && !self.connections.is_full() {
            return Ok(None);
        }
        self.eviction_candidate(now).map(Some)
    }

    /// Accepts what waits at the clients' listener.
    pub(in crate::daemon) fn accept(&mut self, now: Micros) {
        let mut has_evicted = false;
        // No more in one turn than the table holds: clients that are closed and connect again at once must not keep the loop.
        let mut accepted = 0;
        while self.listener.is_some() && accepted < self.limits.max_client_connections {
            // With no place left, connections wait in the kernel's queue: others end, and these are accepted then.
            let Ok(mut evicted) = self.room_for_client(now) else {
                return self.pause_accepting(now);
            };
            let Some(listener) = &self.listener else {
                return;
            };
            let socket = match listener.accept() {
                Ok(Some(socket)) => socket,
                Ok(None) => break,
                // No descriptor is left though the table has places: one idle connection is evicted for that too. More than
                // one would be closed for something else than descriptors.
                Err(failure) if failure.kind == FailureKind::NoDescriptors => {
                    let candidate = match evicted.take() {
                        Some(key) => Ok(key),
                        None => self.eviction_candidate(now),
                    };
                    let was_tried = std::mem::replace(&mut has_evicted, true);
                    let Some(key) = candidate.ok().filter(|_| !was_tried) else {
                        return self.pause_accepting(now);
                    };
                    self.close(now, key);
                    continue;
                }
                // Short of memory, say, which no eviction would mend.
                Err(_) => return self.pause_accepting(now),
            };
            has_evicted = false;
            accepted += 1;
            let conn = TcpConnection::new(
                socket,
                true,
                self.limits.input_buffer_bytes,
                self.limits.output_buffer_bytes,
            );
            if let Ok(conn) = conn {
                self.take_in(now, conn, Kind::Client(Default::default()), evicted);
            }
        }
        let resumed = self.listener.as_mut().is_none_or(|l| l.resume(&self.poll));
        if !resumed {
            self.accept_later(now);
        }
    }

    /// No place left: the listener would stay readable and the loop spin on it.
    fn pause_accepting(&mut self, now: Micros) {
        if let Some(listener) = &mut self.listener {
            listener.pause(&self.poll);
        }
        self.accept_later(now);
    }

    /// Accepts again in a moment. Both fronts may ask for it: were each to set a deadline of its own, every one
    /// of them would set two more while the table stays full.
    pub(in crate::daemon) fn accept_later(&mut self, now: Micros) {
        if !std::mem::replace(&mut self.accepts_later, true) {
            self.deadlines
                .set(now + self.limits.accept_backoff_us, Timer::Accept);
        }
    }

    /// Puts a client's new connection, of either front, into the table, after closing the one that is evicted for it.
    pub(in crate::daemon) fn take_in(
        &mut self,
        now: Micros,
        conn: TcpConnection,
        kind: Kind,
        evicted: Option<Key>,
    ) {
        if let Some(evicted) = evicted {
            self.close(now, evicted);
        }
        if let Some(key) = self.open(now, conn, kind) {
            if !self.ops.in_service() {
                self.close_when_answered(key);
            }
            self.clients += 1;
            self.deadlines.set(
                now + self.limits.partial_request_timeout_us,
                Timer::Client(key),
            );
            if self.turn.waited_unread(now) > 0 {
                // Its requests have been there since before the loop was delayed: in the next turn they would seem new.
                self.check_client(now, key);
            }
        }
    }
}
