//! Registers connections with epoll, and retries if the kernel lacks memory or the limit of watches is reached.
//!
//! A connection that can't be registered is not closed, because its open requests must be answered. The registration is
//! retried, and until it succeeds, the connection is read and written at each retry without waiting for events.

use super::{Daemon, Timer};
use crate::net::{Failure, FailureKind, Key, ReadyEvent};
use linnetknot::Micros;

/// The state of the epoll registration of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Registration {
    /// The events that epoll watches are those that the connection needs.
    Current,
    /// The connection is registered, but needs other events than epoll watches.
    Outdated,
    /// The connection is not registered with epoll.
    Missing,
}

impl Daemon {
    /// Registers a new connection. Returns false if the registration failed permanently.
    pub(super) fn register(&mut self, now: Micros, key: Key) -> bool {
        let result = self.try_register(key);
        self.schedule_registration_retry(now, key, result)
    }

    /// Updates the events for which epoll watches a connection.
    pub(super) fn update_interest(&mut self, now: Micros, key: Key) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if connection.conn.watch().is_none() || connection.registration == Registration::Missing {
            return;
        }
        connection.registration = Registration::Outdated;
        let result = self.try_register(key);
        if !self.schedule_registration_retry(now, key, result) {
            // The caller may be using the connection, so it must not be closed in this function. The timer retries the
            // registration in this turn of the loop, and closes the connection if that fails too.
            self.deadlines.set(now, Timer::RetryRegistration(key));
        }
    }

    fn try_register(&mut self, key: Key) -> Result<(), Failure> {
        let Some(connection) = self.connections.get_mut(key) else {
            return Ok(());
        };
        let (socket, token, interest) = (
            connection.conn.socket(),
            key.to_u64(),
            connection.conn.watched(),
        );
        match connection.registration {
            Registration::Current => return Ok(()),
            Registration::Outdated => self.poll.change(socket, token, interest)?,
            Registration::Missing => self.poll.add(socket, token, interest)?,
        }
        connection.registration = Registration::Current;
        Ok(())
    }

    /// Schedules a retry of a failed registration. Returns false if the failure is permanent.
    fn schedule_registration_retry(
        &mut self,
        now: Micros,
        key: Key,
        result: Result<(), Failure>,
    ) -> bool {
        let Err(failure) = result else { return true };
        if failure.kind == FailureKind::ProgramFault {
            log::debug!("epoll registration failed permanently: {failure}");
            return false;
        }
        let Some(connection) = self.connections.get_mut(key) else {
            return true;
        };
        if !std::mem::replace(&mut connection.registration_retry_scheduled, true) {
            let at = now + self.limits.accept_backoff_us;
            self.deadlines.set(at, Timer::RetryRegistration(key));
        }
        true
    }

    /// Retries the registration of a connection, and polls the connection if that fails.
    pub(super) fn retry_registration(&mut self, now: Micros, key: Key) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        connection.registration_retry_scheduled = false;
        let result = self.try_register(key);
        let is_watched = result.is_ok();
        if !self.schedule_registration_retry(now, key, result) {
            return self.close(now, key);
        }
        let is_up = self
            .connections
            .get(key)
            .is_some_and(|connection| connection.conn.up);
        if is_up && !is_watched {
            self.handle_ready(now, key, ReadyEvent::unwatched(key.to_u64()));
        }
    }
}
