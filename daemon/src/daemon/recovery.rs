//! Recovery of a proxy that lacks purges. Until the recovery is complete or has timed out, the proxy is not ready. A
//! proxy that started without its store waits for the entries that it committed before. A proxy that lacks entries
//! which its peers have compacted waits for a snapshot from them.

use super::Daemon;
use crate::ledger::Ledger;
use crate::peers::Purge;
use linnetknot::Micros;
use linnetknot_discovery::server_id;
use linnetknot_replication::{Datagram, Outgoing, Recovery, RecoveryTimes};

/// The minimum time between two ticks, so that the event loop can serve its sockets.
const MIN_TICK_INTERVAL_US: Micros = 1_000;

/// The timeout of waiting for a snapshot. It is extended while chunks or entries are received, up to `max_deadline`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SnapshotWait {
    since: Micros,
    /// When the wait times out if nothing more is received.
    deadline: Micros,
    /// When the wait times out at the latest, whatever is received.
    max_deadline: Micros,
    has_ended: bool,
}

impl SnapshotWait {
    fn start(now: Micros, timeout_us: Micros, max_us: Micros) -> Self {
        SnapshotWait {
            since: now,
            deadline: now + timeout_us,
            max_deadline: now + max_us,
            has_ended: false,
        }
    }

    /// Extends the wait after something was received.
    fn extend(&mut self, now: Micros, timeout_us: Micros) {
        self.deadline = self.max_deadline.min(now + timeout_us);
    }

    /// Ends the wait if it has timed out. Returns whether it ended now.
    fn time_out(&mut self, now: Micros) -> bool {
        let timed_out = !self.has_ended && now >= self.deadline;
        self.has_ended |= timed_out;
        timed_out
    }

    /// Returns whether the wait has timed out.
    pub(super) fn has_ended(&self) -> bool {
        self.has_ended
    }
}

impl Daemon {
    /// Starts the recovery of the entries that this proxy committed before, if its store is new. A proxy with an
    /// existing store only requests the digests of its peers, to detect early whether it lacks entries that they have
    /// compacted.
    pub(super) fn start_recovery(&mut self, now: Micros) {
        let replication = &self.config.replication;
        let Some(ledger) = self.ledger.as_ref().filter(|_| replication.enabled) else {
            return self.start_without_peers(now);
        };
        if !ledger.is_fresh() {
            return self.request_digests((0..replication.machines.len()).collect());
        }
        let machines = replication
            .machines
            .iter()
            .map(|(_, machine)| server_id(machine))
            .collect();
        let times = RecoveryTimes {
            start: now,
            deadline: now + self.limits.recovery_timeout_us,
            retry_us: self.limits.recovery_poll_interval_us,
        };
        let recovery = Recovery::new(
            server_id(&replication.machine),
            machines,
            replication.min_acks,
            times,
        );
        self.pending_commits.recovery = Some(recovery);
        self.tick_recovery(now);
    }

    /// Handles a start without peers. If the store is not open, its purges are unknown, so every cached copy from
    /// before now is treated as purged.
    fn start_without_peers(&mut self, now: Micros) {
        if self.lacks_store() {
            log::warn!(
                "store is not open and there are no peers to recover from: treating every earlier cached copy as purged"
            );
            self.core.purges_mut().purge_all(now);
        }
    }

    /// Recovers from the peers the entries that a store opened after the start lacks. A proxy that was ready stays
    /// ready.
    pub(super) fn recover_with_store(&mut self, now: Micros) {
        if self
            .pending_commits
            .recovery
            .as_ref()
            .is_none_or(Recovery::is_over)
        {
            return self.request_digests((0..self.config.replication.machines.len()).collect());
        }
        let is_fresh = self.ledger.as_ref().is_some_and(Ledger::is_fresh);
        if !is_fresh {
            self.pending_commits.recovery = None;
        }
        self.start_recovery(now);
    }

    fn request_digests(&self, peers: Vec<usize>) {
        let requests = peers.into_iter().map(|peer| Outgoing {
            peer,
            datagram: Datagram::DigestRequest,
        });
        self.send_datagrams(requests.collect());
    }

    fn tick_recovery(&mut self, now: Micros) {
        let Some(recovery) = &mut self.pending_commits.recovery else {
            return;
        };
        let step = recovery.tick(now);
        let due = recovery.due();
        if let Some(machines) = step.missing_machines {
            log::error!(
                machines = machines;
                "recovery timed out although committed entries may be missing: treating every earlier cached copy as purged"
            );
            self.purge_all(now);
        }
        self.request_digests(step.request_from);
        match due {
            Some(due) => {
                let due = due.max(now + MIN_TICK_INTERVAL_US);
                let old = self.pending_commits.recovery_due.take();
                self.pending_commits.recovery_due =
                    self.reschedule(old, Some(due), |daemon, now| {
                        daemon.pending_commits.recovery_due = None;
                        daemon.tick_recovery(now);
                    });
            }
            None => self.announce_readiness(now),
        }
    }

    /// Handles a digest of a peer that equals the digest of this proxy, which means that their logs are equal.
    pub(super) fn receive_equal_logs(&mut self, now: Micros, peer: usize) {
        // While a snapshot is being received, equal logs do not imply that all purges have been received.
        if self
            .ledger
            .as_ref()
            .is_some_and(|ledger| ledger.replica().is_catching_up())
        {
            return;
        }
        if self
            .pending_commits
            .recovery
            .as_mut()
            .is_some_and(|recovery| recovery.record_caught_up(peer))
        {
            let entries = self
                .ledger
                .as_ref()
                .map_or(0, |ledger| ledger.replica().log_store().len());
            log::info!(entries = entries; "recovered the committed entries of this proxy");
            self.announce_readiness(now);
        }
    }

    /// Extends the timeouts after a chunk of a snapshot, or later entries, were received.
    pub(super) fn extend_recovery(&mut self, now: Micros) {
        let timeout_us = self.limits.recovery_timeout_us;
        let Some(wait) = &mut self.pending_commits.snapshot else {
            return;
        };
        wait.extend(now, timeout_us);
        if let Some(recovery) = &mut self.pending_commits.recovery {
            recovery.extend(wait.deadline);
        }
    }

    /// Checks whether peers have compacted entries that this proxy lacks. If so, the proxy is not ready until it has
    /// received a snapshot or the wait has timed out.
    pub(super) fn check_snapshot_wait(&mut self, now: Micros) {
        let is_behind = self
            .ledger
            .as_ref()
            .is_some_and(|ledger| ledger.replica().is_catching_up());
        match &mut self.pending_commits.snapshot {
            None if is_behind => {
                let limits = &self.limits;
                let wait = SnapshotWait::start(
                    now,
                    limits.recovery_timeout_us,
                    limits.recovery_total_timeout_us,
                );
                self.pending_commits.snapshot = Some(wait);
                self.extend_recovery(now);
                log::warn!(
                    "behind the compacted entries of peers: not ready until their snapshot is received"
                );
                self.announce_readiness(now);
            }
            Some(wait) if !is_behind => {
                let took_ms = now.saturating_sub(wait.since) / 1_000;
                self.pending_commits.snapshot = None;
                let compacted = self
                    .ledger
                    .as_ref()
                    .map_or(0, |ledger| ledger.table().len());
                log::info!(took_ms = took_ms, compacted = compacted; "received the snapshot of the peers");
                self.announce_readiness(now);
            }
            Some(wait) => {
                let timed_out = wait.time_out(now);
                if timed_out {
                    self.end_snapshot_wait(now);
                }
            }
            None => {}
        }
    }

    /// Treats every cached copy from before now as purged, because purges may be unknown.
    fn purge_all(&mut self, now: Micros) {
        let at = self.core.purge_all_date(now);
        self.core.purges_mut().purge_all(at);
    }

    /// Ends the wait for a snapshot that was not received. Its purges are unknown, so all cached copies are treated as
    /// purged.
    fn end_snapshot_wait(&mut self, now: Micros) {
        self.purge_all(now);
        log::error!(
            "snapshot of the peers was not received in time: treating every earlier cached copy as purged"
        );
        self.announce_readiness(now);
    }

    /// Applies the stored purges: the individual ones and the table of compacted ones.
    pub(super) fn restore_purges(&mut self, now: Micros) {
        let Some(ledger) = &self.ledger else { return };
        let bucket_bits = ledger.table().bucket_bits();
        let exact_capacity = self.core.purges().exact_capacity();
        self.core
            .purges_mut()
            .set_capacity(exact_capacity, bucket_bits);
        for (index, bucket) in ledger.table().occupied(Default::default()) {
            if let Err(e) = self
                .core
                .purges_mut()
                .merge_bucket(bucket_bits, index, bucket)
            {
                log::error!("failed to apply purges of the store: {e}");
            }
        }
        let purges = ledger.purges();
        let (compacted, bytes) = (ledger.table().len(), ledger.table().memory_bytes());
        if !purges.is_empty() || compacted > 0 {
            log::info!(exact = purges.len(), compacted = compacted, table_bytes = bytes; "restored the purges of the store");
        }
        for Purge { object, group, at } in purges {
            self.core.record_purge(now, object, group, at);
        }
    }
}
