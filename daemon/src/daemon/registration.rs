//! Connections in the epoll set, also while the kernel has no memory or no watches left for them.
//!
//! A connection that can't be watched is not closed: its client may have sent requests, and what is open on it must be answered.
//! It is registered again a moment later, and until that succeeds it is polled.

use super::{Daemon, Timer};
use crate::net::{Failure, FailureKind, Key, ReadyEvent};
use linnetknot::Micros;

/// How far a connection is known to the epoll set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Registration {
    /// It is watched for what it is to be watched for.
    Current,
    /// It is watched for something else.
    Outdated,
    /// It is not watched.
    Missing,
}

impl Daemon {
    /// Registers a new connection. False: it can't ever be watched.
    pub(super) fn register(&mut self, now: Micros, key: Key) -> bool {
        let done = self.try_register(key);
        self.register_later(now, key, done)
    }

    /// Has a connection watched for what it waits for by now.
    pub(super) fn watch(&mut self, now: Micros, key: Key) {
        let Some(c) = self.connections.get_mut(key) else {
            return;
        };
        if c.conn.watch().is_none() || c.registration == Registration::Missing {
            return;
        }
        c.registration = Registration::Outdated;
        let done = self.try_register(key);
        if !self.register_later(now, key, done) {
            // Whoever asks may be in the midst of it: it ends in this turn of the loop, unless it works by then.
            self.deadlines.set(now, Timer::Register(key));
        }
    }

    fn try_register(&mut self, key: Key) -> Result<(), Failure> {
        let Some(c) = self.connections.get_mut(key) else {
            return Ok(());
        };
        let (socket, token, interest) = (c.conn.socket(), key.to_u64(), c.conn.watched());
        match c.registration {
            Registration::Current => return Ok(()),
            Registration::Outdated => self.poll.change(socket, token, interest)?,
            Registration::Missing => self.poll.add(socket, token, interest)?,
        }
        c.registration = Registration::Current;
        Ok(())
    }

    /// Tries a registration that failed again in a moment. False: it failed for good.
    fn register_later(&mut self, now: Micros, key: Key, done: Result<(), Failure>) -> bool {
        let Err(failure) = done else { return true };
        if failure.kind == FailureKind::ProgramFault {
            log::debug!("a connection can't be watched: {failure}");
            return false;
        }
        let Some(c) = self.connections.get_mut(key) else {
            return true;
        };
        if !std::mem::replace(&mut c.registers_later, true) {
            let at = now + self.limits.accept_backoff_us;
            self.deadlines.set(at, Timer::Register(key));
        }
        true
    }

    /// Tries again to register a connection; while that fails, it is polled here.
    pub(super) fn register_again(&mut self, now: Micros, key: Key) {
        let Some(c) = self.connections.get_mut(key) else {
            return;
        };
        c.registers_later = false;
        let done = self.try_register(key);
        let is_watched = done.is_ok();
        if !self.register_later(now, key, done) {
            return self.close(now, key);
        }
        let is_up = self.connections.get(key).is_some_and(|c| c.conn.up);
        if is_up && !is_watched {
            self.serve(now, key, ReadyEvent::unwatched(key.to_u64()));
        }
    }
}
