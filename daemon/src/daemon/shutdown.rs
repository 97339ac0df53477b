//! The graceful shutdown, from SIGTERM to the last response, and the log lines at its end.

use super::{Daemon, Timer};
use crate::ledger::Ledger;
use crate::net::Key;
use linnetknot::Micros;
use linnetknot_origin_health::OriginHealth;
use linnetknot_replication::Counters;

impl Daemon {
    /// Handles SIGTERM: starts the grace period, in which open requests are answered.
    pub(super) fn handle_sigterm(&mut self, now: Micros) {
        self.sigterm.drain();
        if !self.is_stopping() {
            self.sigterm_at = Some(now);
            self.core
                .set_shutdown_deadline(now + self.limits.shutdown_response_us);
            log::info!("SIGTERM received: answering open requests before exit");
            if self.listener_inherited {
                // The next process accepts on the same socket. This process would have to answer newly accepted
                // connections during its shutdown, so it accepts no more, and closes existing connections after their
                // next response.
                self.close_client_listener();
                for key in self.connections.keys() {
                    self.close_when_answered(key);
                    self.half_close_if_finished(now, key);
                }
            }
            self.deadlines
                .set(now + self.limits.shutdown_accept_us, Timer::ShutdownGrace);
            self.deregister_from_consul(now);
            self.leave_membership(now);
        }
    }

    /// Stops accepting clients and watching the listener. The next process may share the socket, and its connections
    /// would otherwise wake this process.
    pub(super) fn close_client_listener(&mut self) {
        if let Some(listener) = self.client_listener.take() {
            if let Err(e) = listener.close(&self.poll) {
                log::debug!("client listener was not registered with epoll: {e}");
            }
        }
    }

    /// Returns whether SIGTERM was received.
    pub(super) fn is_stopping(&self) -> bool {
        self.sigterm_at.is_some()
    }

    /// Returns whether the shutdown is complete: all requests are answered, and no connection delays the exit.
    pub(super) fn is_shutdown_complete(&self) -> bool {
        let now = self.clock.now();
        self.shutdown_grace_over
            && self.is_deregistered_from_consul()
            && self.core.is_idle()
            && self.total_unsent_bytes == 0
            && {
                let is_delaying = |key: &Key| {
                    self.connections
                        .get(*key)
                        .is_some_and(|connection| self.delays_exit(now, connection))
                };
                !self.connections.keys().iter().any(is_delaying)
            }
    }

    /// Writes pending state, closes the store, and logs the counters of this process.
    pub(super) fn finish(&mut self) {
        let now = self.clock.now();
        self.write_pending_snapshots(now);
        self.hand_over_purges(now);
        // Dropping the handle writes the executions for the next process.
        self.shared_logs.executions = None;
        let replication = self.close_store();
        self.log_requests();
        self.log_budgets();
        self.log_dropped_datagrams();
        if let Some(counters) = replication {
            log_replication(counters);
        }
        self.log_origin_health();
        self.loop_statistics.log();
    }

    /// Closes the store. Returns the counters of its replication, if there is one.
    fn close_store(&mut self) -> Option<Counters> {
        let ledger = self.ledger.take()?;
        let counters = ledger.replica().counters();
        if let Err(e) = Ledger::close(ledger) {
            log::warn!(
                "failed to close the store, so the next start begins a new epoch of its log: {e}"
            );
        }
        Some(counters)
    }

    fn log_requests(&self) {
        let counters = self.core.counters;
        log::info!(
            "exiting: {} admitted, {} served, {} rejected, {} failed, {} abandoned, {} attempts",
            counters.admitted,
            counters.served,
            counters.rejected,
            counters.failed,
            counters.abandoned,
            counters.attempts
        );
    }

    fn log_dropped_datagrams(&self) {
        if self.peers.is_some() {
            let (strangers, foreign) = self.dropped_datagrams;
            log::info!(strangers = strangers, foreign = foreign; "dropped datagrams");
        }
    }

    fn log_origin_health(&self) {
        if let Some(counters) = self.origin_health.as_ref().map(OriginHealth::counters) {
            log::info!(
                sent = counters.sent,
                suppressed = counters.suppressed,
                received = counters.received,
                old = counters.stale,
                torn = counters.malformed,
                version = counters.unknown_version,
                too_long = counters.too_long;
                "origin health reports exchanged with peers"
            );
        }
    }
}

fn log_replication(counters: Counters) {
    log::info!(
        sent = counters.sent,
        learned = counters.inserted,
        known = counters.duplicates,
        out_of_order = counters.out_of_order,
        rejected = counters.rejected,
        committed = counters.committed,
        commits_rejected = counters.commits_rejected;
        "log entries replicated to and from peers, and commits"
    );
}
