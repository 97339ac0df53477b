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
    /// The deadline of the exchange passed.
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

/// An exchange in progress.
pub(super) struct ActiveExchange {
    protocol: Box<dyn Exchange>,
    /// The scheduled check of its deadline, which is never later than the deadline.
    check: Option<DeadlineId>,
}

impl ActiveExchange {
    fn new(protocol: Box<dyn Exchange>) -> Self {
        ActiveExchange {
            protocol,
            check: None,
        }
    }

    /// Returns the bytes to write once the connection is established.
    pub(super) fn initial_bytes(&self) -> Vec<u8> {
        self.protocol.initial_bytes()
    }

    /// Ends the exchange before it is complete, after its connection was removed. Returns a task to run, if any.
    pub(super) fn on_ended(self, end: ExchangeEnd) -> Option<Task> {
        self.protocol.on_ended(end)
    }
}

/// A protocol on one outgoing connection.
pub(super) trait Exchange {
    /// Returns the bytes to write once the connection is established.
    fn initial_bytes(&self) -> Vec<u8>;
    /// Processes all received bytes in `input`. Tasks to be run by the daemon are added to `tasks`.
    fn read(&mut self, now: Micros, input: &[u8], tasks: &mut Vec<Task>)
        -> Result<Flow, WireError>;
    /// Returns the time at which the exchange times out if it receives nothing until then; `None` if it never does.
    /// Bytes that are read may postpone it or bring it forward.
    fn deadline(&self) -> Option<Micros>;
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
    ) -> Option<Key> {
        let exchange = ActiveExchange::new(exchange);
        let key = self
            .connect_to(now, to, ConnectionKind::Exchange(exchange))
            .ok()?;
        self.schedule_exchange_check(key);
        Some(key)
    }

    fn active_exchange(&mut self, key: Key) -> Option<&mut ActiveExchange> {
        match &mut self.connections.get_mut(key)?.kind {
            ConnectionKind::Exchange(exchange) => Some(exchange),
            _ => None,
        }
    }

    /// Schedules a check at the deadline of an exchange, unless there is an earlier one: a postponed deadline costs one
    /// timer for each timeout, not one for each read.
    fn schedule_exchange_check(&mut self, key: Key) {
        let Some(exchange) = self.active_exchange(key) else {
            return;
        };
        let Some(deadline) = exchange.protocol.deadline() else {
            return;
        };
        let old = exchange.check;
        if old.is_some_and(|check| check.at <= deadline) {
            return;
        }
        let check = self.reschedule(old, Some(deadline), move |daemon, now| {
            daemon.check_exchange(now, key);
        });
        if let Some(exchange) = self.active_exchange(key) {
            exchange.check = check;
        }
    }

    /// Ends an exchange whose deadline has passed, or schedules the next check if the deadline was postponed.
    fn check_exchange(&mut self, now: Micros, key: Key) {
        let Some(exchange) = self.active_exchange(key) else {
            return;
        };
        exchange.check = None;
        let deadline = exchange.protocol.deadline();
        if deadline.is_some_and(|deadline| deadline <= now) {
            self.end_exchange(now, key, ExchangeEnd::TimedOut);
        } else {
            self.schedule_exchange_check(key);
        }
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
            result = exchange.protocol.read(now, front, &mut tasks);
            connection.conn.input.consume(consumed);
        }
        if result == Ok(Flow::Done) {
            self.connections.remove(key);
        }
        tasks.into_iter().for_each(|task| task(self, now));
        match result {
            Err(e) => self.end_exchange(now, key, ExchangeEnd::Unreadable(e)),
            Ok(Flow::NeedsInput) => self.schedule_exchange_check(key),
            Ok(Flow::Done) => {}
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
