//! Defers attempts while this machine can't open a connection.
//!
//! If this machine lacks a port, a route, a descriptor or memory, nothing was sent to the cache and the failure says
//! nothing about the cache. The attempt is deferred until a connection can be opened or the attempt times out. It
//! counts neither as a failure of the cache nor as an attempt of the request.

use super::Daemon;
use crate::core::AttemptId;
use linnetknot::{Micros, Outcome, ServerId};
use std::collections::BTreeSet;

/// Attempts to send a request to a cache that are deferred because this machine could not open a connection, and the
/// state of their retries.
#[derive(Default)]
pub(super) struct DeferredAttempts {
    attempts: Vec<AttemptId>,
    /// Whether a retry of the deferred attempts is scheduled.
    retry_scheduled: bool,
    /// Caches to which no connection could be opened since the last retry.
    failed: BTreeSet<ServerId>,
}

impl Daemon {
    /// Defers an attempt until a connection can be opened.
    pub(super) fn defer_attempt(&mut self, now: Micros, attempt: AttemptId) {
        if let Some(dispatch) = self.core.dispatch(attempt) {
            self.deferred_attempts.failed.insert(dispatch.target.server);
            self.deferred_attempts.attempts.push(attempt);
        }
        if !std::mem::replace(&mut self.deferred_attempts.retry_scheduled, true) {
            self.schedule(
                now + self.limits.accept_backoff_us,
                Daemon::retry_deferred_attempts,
            );
        }
    }

    /// Retries the deferred attempts that may still start.
    fn retry_deferred_attempts(&mut self, now: Micros) {
        self.deferred_attempts.retry_scheduled = false;
        self.deferred_attempts.failed.clear();
        for attempt in std::mem::take(&mut self.deferred_attempts.attempts) {
            let Some(dispatch) = self.core.dispatch(attempt) else {
                continue;
            };
            let server = dispatch.target.server;
            if self.core.dispatch_now(now, attempt).is_none() {
                self.core
                    .attempt_finished(now, attempt, Outcome::Moot.into());
            } else if self.deferred_attempts.failed.contains(&server) {
                // If connecting to a cache has failed since the last retry, its other attempts wait for the next retry.
                self.defer_attempt(now, attempt);
            } else {
                self.send_attempt(now, attempt);
            }
        }
    }
}
