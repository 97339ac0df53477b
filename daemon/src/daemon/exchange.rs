//! Outgoing connections with a client-side protocol, such as those to the event bus and Consul.
//!
//! The event loop connects, writes, reads and enforces timeouts; an [`Exchange`] interprets the bytes. It returns its
//! effects as tasks, which run once the connection is no longer borrowed.

use super::{ConnectionKind, Daemon, Timer};
use crate::net::{DeadlineId, Key};
use crate::wire::WireError;
use linnetknot::Micros;
use std::net::SocketAddr;

/// A deferred action on the daemon.
pub(super) type Task = Box<dyn FnOnce(&mut Daemon, Micros)>;

/// Why an exchange ended before it was complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ExchangeEnd {
    /// The connection could not be established.
    Unreachable,
    /// The remote side closed the connection, or the connection failed.
    Closed,
    /// The exchange exceeded its timeout.
    TimedOut,
    /// The received bytes are malformed.
    Unreadable(WireError),
}

/// The state of an exchange after it has read input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Flow {
    /// The exchange needs more input.
    NeedsInput,
    /// The exchange is complete, and its connection is closed.
    Done,
}

/// A protocol on one outgoing connection.
pub(super) trait Exchange {
    /// Returns the bytes to write once the connection is established.
    fn initial_bytes(&self) -> Vec<u8>;
    /// Processes all received bytes in `input`. Tasks to be run by the daemon are added to `tasks`.
    fn read(&mut self, input: &[u8], tasks: &mut Vec<Task>) -> Result<Flow, WireError>;
    /// Called if the connection ends before `Flow::Done`. Returns a task to run, if any.
    fn on_ended(self: Box<Self>, end: ExchangeEnd) -> Option<Task>;
}

impl Daemon {
    /// Starts an exchange. Returns `None`, without calling `on_ended`, if no connection can be opened.
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

    /// Cancels the previous deadline, if any, and schedules the task for the new one, if any.
    pub(super) fn reschedule(
        &mut self,
        old: Option<DeadlineId>,
        at: Option<Micros>,
        task: impl FnOnce(&mut Daemon, Micros) + 'static,
    ) -> Option<DeadlineId> {
        if let Some(old) = old {
            self.deadlines.cancel(old);
        }
        at.map(|at| self.schedule(at, task))
    }

    /// Schedules a task to run at a time. The returned id cancels it.
    pub(super) fn schedule(
        &mut self,
        at: Micros,
        task: impl FnOnce(&mut Daemon, Micros) + 'static,
    ) -> DeadlineId {
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

    /// Ends an exchange, if it is still open, and closes its connection.
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
