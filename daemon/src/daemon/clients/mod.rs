//! Clients' connections: what state each is in, and when it has been in that for too long.

mod accept;
mod requests;

use super::{Connection, Daemon, Kind, Timer};
use crate::limits::ClientState;
use crate::net::Key;
use linnetknot::Micros;

impl Daemon {
    /// The state of a client's connection, of either front; none if it is no client's.
    fn client_state(c: &Connection) -> Option<ClientState> {
        let (busy, half, asked) = match &c.kind {
            Kind::Client(s) => (
                s.has_pending_answers(),
                s.is_partial(),
                s.has_received_request(),
            ),
            Kind::Cdni(s) => (!s.is_idle(), s.is_partial(), s.has_received_request()),
            Kind::Lingering => return Some(ClientState::Lingering),
            _ => return None,
        };
        Some(if busy || !c.conn.output.is_empty() {
            ClientState::Busy
        } else if half || !c.conn.input.is_empty() {
            ClientState::Partial
        } else if asked {
            ClientState::Idle
        } else {
            ClientState::Silent
        })
    }

    /// How many answers a client is owed.
    fn owed(c: &Connection) -> usize {
        match &c.kind {
            Kind::Client(s) => s.unanswered(),
            Kind::Cdni(s) => usize::from(s.waiting.is_some()),
            _ => 0,
        }
    }

    /// Notes a client's state and since when it is in it, after something was read or written there.
    pub(in crate::daemon) fn note_client(&mut self, now: Micros, key: Key) {
        let Some(c) = self.connections.get_mut(key) else {
            return;
        };
        let Some(state) = Self::client_state(c) else {
            return;
        };
        let half = state == ClientState::Partial;
        // A request that comes a few bytes at a time stays the one that began with the first of them.
        if state == ClientState::Busy || half && !std::mem::replace(&mut c.half, half) {
            c.since = now;
        }
        c.half = half;
        let held = if let Kind::Client(session) = &c.kind {
            session.buffered_bytes()
        } else {
            0
        };
        let before = std::mem::replace(&mut c.held, held);
        self.held = self.held + held - before;
        if held > before {
            self.free_half_requests(now);
        }
        if self.grace_over {
            self.end_soon(now, key);
        }
    }

    /// Holds the bytes of incomplete requests to their bound. The clients with most of them give way: one that is owed
    /// answers gets these, and a rejection of what is incomplete; the connections of the others are closed.
    fn free_half_requests(&mut self, now: Micros) {
        while self.held > self.limits.max_total_body_bytes {
            let keys = self.connections.keys().into_iter();
            let held = |key: Key| Some((self.connections.get(key)?.held, key));
            let Some((before, key)) = keys.filter_map(held).max().filter(|(held, _)| *held > 0)
            else {
                return;
            };
            let Some(c) = self.connections.get_mut(key) else {
                return;
            };
            if let Kind::Client(session) = &mut c.kind {
                if session.has_unanswered_requests() {
                    session.reject_partial(Some(self.limits.overload_retry_after_us));
                    c.held = session.buffered_bytes();
                    self.held = self.held + c.held - before;
                }
            }
            if c.held == before {
                log::debug!("a connection is closed: too many bytes of incomplete requests");
                self.close(now, key);
            } else {
                self.write_client(key);
                self.watch(now, key);
            }
        }
    }

    /// Closes a client's connection that has been in its state for too long. Usual clients close theirs sooner, so none of
    /// their requests can cross this.
    pub(in crate::daemon) fn client_timeout(&mut self, now: Micros, key: Key) {
        let Some(c) = self.connections.get_mut(key) else {
            return;
        };
        let Some(state) = Self::client_state(c) else {
            return;
        };
        if state == ClientState::Idle {
            c.conn.input.release();
            c.conn.output.release();
        }
        let mut due = self.limits.close_at(state, Self::owed(c), c.since);
        if due.is_some_and(|due| due <= now) {
            // What came in this very moment changes its state, and then it stays.
            if !self.check_client(now, key) {
                return;
            }
            let Some(c) = self.connections.get(key) else {
                return;
            };
            due = Self::client_state(c)
                .and_then(|state| self.limits.close_at(state, Self::owed(c), c.since));
            if due.is_some_and(|due| due <= now) && !self.half_close(now, key) {
                return self.close(now, key);
            }
        }
        let next_check = now + self.limits.client_check_interval_us;
        let at = match due {
            Some(due) if due > now => due.min(next_check),
            _ => next_check,
        };
        self.deadlines.set(at, Timer::Client(key));
    }
}
