//! The interface of protocols in which this side is the client: the loop connects, writes, reads and keeps the time;
//! what the bytes mean is up to the protocol. What follows from them is handed back as effects, which run once the connection is no
//! longer borrowed.

use super::{ConnectionKind, Daemon, Timer};
use crate::net::{Due, Key};
use crate::wire::WireError;
use linnetknot::Micros;
use std::net::SocketAddr;

/// Something to be done by the daemon.
pub(super) type Task = Box<dyn FnOnce(&mut Daemon, Micros)>;

/// How a connection ended before its exchange was done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ExchangeEnd {
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
    NeedsInput,
    /// Nothing: the connection is of no further use.
    Done,
}

/// One connection's worth of a protocol that this side begins.
pub(super) trait Exchange {
    /// What is written once the connection is up.
    fn initial_bytes(&self) -> Vec<u8>;
    /// Takes in all of `input`.
    fn read(&mut self, input: &[u8], tasks: &mut Vec<Task>) -> Result<Flow, WireError>;
    /// The connection has ended before `Flow::Done`.
    fn on_ended(self: Box<Self>, end: ExchangeEnd) -> Option<Task>;
}

impl Daemon {
    /// Begins an exchange; none if there is no connection to be had, and `ended` is not called then.
    pub(super) fn start_exchange(
        &mut self,
        now: Micros,
        to: SocketAddr,
        exchange: Box<dyn Exchange>,
        timeout_us: Option<Micros>,
    ) -> Option<Key> {
        let key = self
            .connect_to(now, to, ConnectionKind::Exchange(exchange))
            .ok()?;
        if let Some(timeout_us) = timeout_us {
            self.schedule(now + timeout_us, move |daemon, now| {
                daemon.end_exchange(now, key, ExchangeEnd::TimedOut);
            });
        }
        Some(key)
    }

    /// Reschedules: cancels what was due, and has this done at a time, if at all.
    pub(super) fn reschedule(
        &mut self,
        old: Option<Due>,
        at: Option<Micros>,
        task: impl FnOnce(&mut Daemon, Micros) + 'static,
    ) -> Option<Due> {
        if let Some(old) = old {
            self.deadlines.cancel(old);
        }
        at.map(|at| self.schedule(at, task))
    }

    /// Does something later.
    pub(super) fn schedule(
        &mut self,
        at: Micros,
        task: impl FnOnce(&mut Daemon, Micros) + 'static,
    ) -> Due {
        self.deadlines.set(at, Timer::Run(Box::new(task)))
    }

    pub(super) fn read_exchange(&mut self, now: Micros, key: Key) {
        let mut tasks = Vec::new();
        let mut result = Ok(Flow::NeedsInput);
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let ConnectionKind::Exchange(exchange) = &mut connection.kind else {
            return;
        };
        while !connection.conn.input.is_empty() && result == Ok(Flow::NeedsInput) {
            let front = connection.conn.input.front();
            let consumed = front.len();
            result = exchange.read(front, &mut tasks);
            connection.conn.input.consume(consumed);
        }
        if result == Ok(Flow::Done) {
            self.connections.remove(key);
        }
        tasks.into_iter().for_each(|task| task(self, now));
        if let Err(e) = result {
            self.end_exchange(now, key, ExchangeEnd::Unreadable(e));
        }
    }

    /// Ends an exchange's connection, if it is still there.
    pub(super) fn end_exchange(&mut self, now: Micros, key: Key, end: ExchangeEnd) {
        if !matches!(self.connections.get(key), Some(connection) if matches!(connection.kind, ConnectionKind::Exchange(_)))
        {
            return;
        }
        let Some(ConnectionKind::Exchange(exchange)) = self
            .connections
            .remove(key)
            .map(|connection| connection.kind)
        else {
            return;
        };
        if let Some(task) = exchange.on_ended(end) {
            task(self, now);
        }
    }
}
