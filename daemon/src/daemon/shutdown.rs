//! The graceful shutdown: from SIGTERM to the last answer, and what is logged at the end.

use super::{Daemon, Timer};
use crate::ledger::Ledger;
use crate::net::Key;
use linnetknot::Micros;
use linnetknot_origin_health::OriginHealth;
use linnetknot_replication::Counters;

impl Daemon {
    /// SIGTERM has come: the grace begins, and what is open is answered.
    pub(super) fn term(&mut self, now: Micros) {
        self.term.clear();
        if !self.is_stopping() {
            self.term_at = Some(now);
            self.core
                .set_shutdown_deadline(now + self.limits.shutdown_response_us);
            log::info!("SIGTERM: answering what is open");
            if self.inherited {
                // The next process accepts on the same socket: whatever this one took now it would have to answer
                // on its way out, and each kept connection ends after its next answer instead of being cut.
                self.drop_listener();
                for key in self.connections.keys() {
                    self.close_when_answered(key);
                    self.end_if_over(now, key);
                }
            }
            self.deadlines
                .set(now + self.limits.shutdown_accept_us, Timer::Term);
            self.deregister_from_consul(now);
            self.leave_membership(now);
        }
    }

    /// Accepts no more. The next process may hold the same socket: were it still watched here, each connection
    /// that comes would wake this one in vain.
    pub(super) fn drop_listener(&mut self) {
        if let Some(listener) = self.listener.take() {
            if let Err(e) = listener.close(&self.poll) {
                log::debug!("the listener was not watched: {e}");
            }
        }
    }

    /// Whether SIGTERM has come.
    pub(super) fn is_stopping(&self) -> bool {
        self.term_at.is_some()
    }

    /// Whether the shutdown is complete: all is answered, and no connection holds the process back.
    pub(super) fn is_done(&self) -> bool {
        let now = self.clock.now();
        self.grace_over
            && self.is_deregistered_from_consul()
            && self.core.is_idle()
            && self.waiting_answers == 0
            && {
                let holds = |key: &Key| {
                    self.connections
                        .get(*key)
                        .is_some_and(|c| self.delays_exit(now, c))
                };
                !self.connections.keys().iter().any(holds)
            }
    }

    /// Stores what the next process is to find, closes the store, and logs the sums of this process.
    pub(super) fn finish(&mut self) {
        self.write_pending_snapshots(self.clock.now());
        let replication = self.close_store();
        self.log_requests();
        self.log_budgets();
        self.log_dropped_datagrams();
        if let Some(counters) = replication {
            log_replication(counters);
        }
        self.log_origin_health();
    }

    /// Closes the store; the counters of its replication, where there is one.
    fn close_store(&mut self) -> Option<Counters> {
        let ledger = self.ledger.take()?;
        let counters = ledger.replica().counters();
        if let Err(e) = Ledger::close(ledger) {
            log::warn!(
                "the store is not closed, and the next start begins a new life of its log: {e}"
            );
        }
        Some(counters)
    }

    fn log_requests(&self) {
        let counters = self.core.counters;
        log::info!(
            "ended: {} taken, {} served, {} refused, {} failed, {} left, {} attempts",
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
            let (strangers, foreign) = self.dropped;
            log::info!(strangers = strangers, foreign = foreign; "datagrams that were dropped");
        }
    }

    fn log_origin_health(&self) {
        if let Some(t) = self.origin_health.as_ref().map(OriginHealth::counters) {
            log::info!(
                sent = t.sent,
                suppressed = t.suppressed,
                received = t.received,
                old = t.stale,
                torn = t.malformed,
                version = t.unknown_version,
                too_long = t.too_long;
                "reports of a late origin to and from peers"
            );
        }
    }
}

fn log_replication(t: Counters) {
    log::info!(
        sent = t.sent,
        learned = t.learned,
        known = t.known,
        out_of_order = t.out_of_order,
        rejected = t.rejected,
        committed = t.committed,
        commits_rejected = t.commits_rejected;
        "entries of logs copied to and from peers, and promises of them"
    );
}
