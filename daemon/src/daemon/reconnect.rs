//! Reconnecting: attempts for which this machine can't begin a connection for now.
//!
//! Without a local port, a route, a descriptor or memory nothing is known of the cache, and nothing was sent to it. Such
//! an attempt stays out, has not begun, and waits here until a connection can be begun or its time is over: the cache is
//! not judged by it, and the request has not spent an attempt.

use super::Daemon;
use crate::core::AttemptId;
use linnetknot::{Micros, Outcome, ServerId};
use std::collections::BTreeSet;

/// The attempts that wait.
#[derive(Default)]
pub(super) struct WaitingAttempts {
    attempts: Vec<AttemptId>,
    /// Whether they are due to be looked at.
    is_due: bool,
    /// Caches to which no connection could be begun in this round.
    failed: BTreeSet<ServerId>,
}

impl Daemon {
    /// Has an attempt wait until a connection can be begun.
    pub(super) fn send_later(&mut self, now: Micros, attempt: AttemptId) {
        if let Some(dispatch) = self.core.dispatch(attempt) {
            self.reconnect.failed.insert(dispatch.target.server);
            self.reconnect.attempts.push(attempt);
        }
        if !std::mem::replace(&mut self.reconnect.is_due, true) {
            self.later(now + self.limits.accept_backoff_us, Daemon::send_again);
        }
    }

    /// Sends the attempts that wait and may still begin.
    fn send_again(&mut self, now: Micros) {
        self.reconnect.is_due = false;
        self.reconnect.failed.clear();
        for attempt in std::mem::take(&mut self.reconnect.attempts) {
            let Some(dispatch) = self.core.dispatch(attempt) else {
                continue;
            };
            let server = dispatch.target.server;
            if self.core.dispatch_now(now, attempt).is_none() {
                self.core
                    .attempt_finished(now, attempt, Outcome::Moot.into());
            } else if self.reconnect.failed.contains(&server) {
                // One failure a round is enough to know of: the others wait for the next.
                self.send_later(now, attempt);
            } else {
                self.send(now, attempt);
            }
        }
    }
}
