//! The interface of protocols in which this side is the client: the loop connects, writes, reads and keeps the time;
//! what the bytes mean is up to the protocol. What follows from them is handed back as effects, which run once the connection is no
//! longer borrowed.

use super::{Daemon, Kind, Timer};
use crate::net::{DeadlineId, Key};
use crate::wire::WireError;
use linnetknot::Micros;
use std::net::SocketAddr;

/// Something to be done by the daemon.
pub(super) type Effect = Box<dyn FnOnce(&mut Daemon, Micros)>;

/// How a connection ended before its exchange was done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// It never came up.
    Unreachable,
    /// The other side ended it, or it broke.
    Closed,
    /// Its time was over.
    TimedOut,
    /// What came can't be read.
    Unreadable(WireError),
}

/// What an exchange needs next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Flow {
    /// More bytes.
    More,
    /// Nothing: the connection is of no further use.
    Done,
}

/// One connection's worth of a protocol that this side begins.
pub(super) trait Exchange {
    /// What is written once the connection is up.
    fn opening(&self) -> Vec<u8>;
    /// Takes in all of `input`.
    fn read(&mut self, input: &[u8], effects: &mut Vec<Effect>) -> Result<Flow, WireError>;
    /// The connection has ended before `Flow::Done`.
    fn ended(self: Box<Self>, end: End) -> Option<Effect>;
}

impl Daemon {
    /// Begins an exchange; none if there is no connection to be had, and `ended` is not called then.
    pub(super) fn exchange(
        &mut self,
        now: Micros,
        to: SocketAddr,
        exchange: Box<dyn Exchange>,
        timeout_us: Option<Micros>,
    ) -> Option<Key> {
        let key = self.connect_to(now, to, Kind::Exchange(exchange)).ok()?;
        if let Some(us) = timeout_us {
            self.later(now + us, move |daemon, now| {
                daemon.end(now, key, End::TimedOut);
            });
        }
        Some(key)
    }

    /// Reschedules: cancels what was due, and has this done at a time, if at all.
    pub(super) fn instead(
        &mut self,
        old: Option<DeadlineId>,
        at: Option<Micros>,
        what: impl FnOnce(&mut Daemon, Micros) + 'static,
    ) -> Option<DeadlineId> {
        if let Some(old) = old {
            self.deadlines.cancel(old);
        }
        at.map(|at| self.later(at, what))
    }

    /// Does something later.
    pub(super) fn later(
        &mut self,
        at: Micros,
        what: impl FnOnce(&mut Daemon, Micros) + 'static,
    ) -> DeadlineId {
        self.deadlines.set(at, Timer::Task(Box::new(what)))
    }

    pub(super) fn read_exchange(&mut self, now: Micros, key: Key) {
        let mut effects = Vec::new();
        let mut result = Ok(Flow::More);
        let Some(c) = self.connections.get_mut(key) else {
            return;
        };
        let Kind::Exchange(exchange) = &mut c.kind else {
            return;
        };
        while !c.conn.input.is_empty() && result == Ok(Flow::More) {
            let front = c.conn.input.front();
            let taken = front.len();
            result = exchange.read(front, &mut effects);
            c.conn.input.consume(taken);
        }
        if result == Ok(Flow::Done) {
            self.connections.remove(key);
        }
        effects.into_iter().for_each(|effect| effect(self, now));
        if let Err(e) = result {
            self.end(now, key, End::Unreadable(e));
        }
    }

    /// Ends an exchange's connection, if it is still there.
    pub(super) fn end(&mut self, now: Micros, key: Key, end: End) {
        if !matches!(self.connections.get(key), Some(c) if matches!(c.kind, Kind::Exchange(_))) {
            return;
        }
        let Some(Kind::Exchange(exchange)) = self.connections.remove(key).map(|c| c.kind) else {
            return;
        };
        if let Some(effect) = exchange.ended(end) {
            effect(self, now);
        }
    }
}
