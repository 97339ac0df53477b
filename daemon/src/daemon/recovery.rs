//! Recovery of a proxy that lacks purges, and its readiness until then: one that began without its disk waits for what
//! it committed before, and one that is behind what its peers have compacted waits for their snapshot.

use super::Daemon;
use crate::ledger::Ledger;
use crate::peers::Purge;
use linnetknot::Micros;
use linnetknot_discovery::server_id;
use linnetknot_replication::{Datagram, Outgoing, Recovery, RecoveryTimes};

/// The shortest time to the next tick, so that the event loop always gets to its sockets.
const MIN_TICK_US: Micros = 1_000;

/// The wait for a snapshot. It is extended while chunks or entries are received, up to a bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SnapshotWait {
    since: Micros,
    /// When the wait ends if nothing more is received.
    until: Micros,
    /// When it ends in any case.
    max_until: Micros,
    has_ended: bool,
}

impl SnapshotWait {
    fn begin(now: Micros, timeout_us: Micros, max_us: Micros) -> Self {
        SnapshotWait {
            since: now,
            until: now + timeout_us,
            max_until: now + max_us,
            has_ended: false,
        }
    }

    /// Extends the wait, as something was received.
    fn extend(&mut self, now: Micros, timeout_us: Micros) {
        self.until = self.max_until.min(now + timeout_us);
    }

    /// Ends a wait that has taken too long. Returns whether it ends now.
    fn time_out(&mut self, now: Micros) -> bool {
        let ends = !self.has_ended && now >= self.until;
        self.has_ended |= ends;
        ends
    }

    /// Whether readiness no longer waits for the snapshot.
    pub(super) fn has_ended(&self) -> bool {
        self.has_ended
    }
}

impl Daemon {
    /// Begins to recover what this proxy committed before, if it began without a disk. One with its disk requests its
    /// peers' digests as well, so that it soon knows whether it is behind what they have compacted.
    pub(super) fn begin_recovery(&mut self, now: Micros) {
        let replication = &self.config.replication;
        let Some(ledger) = self.ledger.as_ref().filter(|_| replication.enabled) else {
            return self.begin_without_peers(now);
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

    /// Without peers nobody knows the purges of a store that is not open: every cached copy from before now is taken as
    /// purged.
    fn begin_without_peers(&mut self, now: Micros) {
        if self.lacks_store() {
            log::warn!(
                "no peer knows what the store has: every copy from before now is taken as purged"
            );
            self.core.purges_mut().raise_all(now);
        }
    }

    /// Recovers from the peers what a store lacks that has just been opened. A proxy that was ready before stays ready.
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
        self.begin_recovery(now);
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
        if let Some(machines) = step.missing_machines {
            log::error!(machines = machines; "not all that this proxy committed may have been recovered, and it is ready all the same");
            if self.pending_store.is_some() {
                self.core.purges_mut().raise_all(now);
            }
        }
        let due = recovery.due();
        self.request_digests(step.request_from);
        match due {
            Some(due) => {
                let due = due.max(now + MIN_TICK_US);
                let old = self.pending_commits.recovery_due.take();
                self.pending_commits.recovery_due = self.instead(old, Some(due), |daemon, now| {
                    daemon.pending_commits.recovery_due = None;
                    daemon.tick_recovery(now);
                });
            }
            None => self.notify(now),
        }
    }

    /// A peer's digest is equal to this proxy's: its logs are the same.
    pub(super) fn receive_equal_logs(&mut self, now: Micros, peer: usize) {
        // Equal logs do not imply that all their purges are here while a snapshot is being received.
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
            .is_some_and(|recovery| recovery.settled(peer))
        {
            let entries = self
                .ledger
                .as_ref()
                .map_or(0, |ledger| ledger.replica().log_store().len());
            log::info!(entries = entries; "what this proxy committed is recovered");
            self.notify(now);
        }
    }

    /// Extends the waits, as a chunk of a snapshot was received, or entries after it.
    pub(super) fn extend_recovery(&mut self, now: Micros) {
        let timeout_us = self.limits.recovery_timeout_us;
        let Some(wait) = &mut self.pending_commits.snapshot else {
            return;
        };
        wait.extend(now, timeout_us);
        if let Some(recovery) = &mut self.pending_commits.recovery {
            recovery.extend(wait.until);
        }
    }

    /// Checks whether the replica is behind its peers' snapshots. The proxy is not ready until it has them, or the wait
    /// is over.
    pub(super) fn watch_snapshot(&mut self, now: Micros) {
        let is_behind = self
            .ledger
            .as_ref()
            .is_some_and(|ledger| ledger.replica().is_catching_up());
        match &mut self.pending_commits.snapshot {
            None if is_behind => {
                let limits = &self.limits;
                let wait = SnapshotWait::begin(
                    now,
                    limits.recovery_timeout_us,
                    limits.recovery_total_timeout_us,
                );
                self.pending_commits.snapshot = Some(wait);
                self.extend_recovery(now);
                log::warn!(
                    "behind what peers have compacted: not ready until their snapshot is received"
                );
                self.notify(now);
            }
            Some(wait) if !is_behind => {
                let took_ms = now.saturating_sub(wait.since) / 1_000;
                self.pending_commits.snapshot = None;
                let compacted = self
                    .ledger
                    .as_ref()
                    .map_or(0, |ledger| ledger.table().len());
                log::info!(took_ms = took_ms, compacted = compacted; "the peers' snapshot is received");
                self.notify(now);
            }
            Some(wait) => {
                let ends = wait.time_out(now);
                if ends {
                    self.give_up_snapshot(now);
                }
            }
            None => {}
        }
    }

    /// Gives up waiting for the snapshot. Which cached copies its purges concern can't be known, so all are taken as
    /// purged.
    fn give_up_snapshot(&mut self, now: Micros) {
        let at = self.core.purge_all_date(now);
        self.core.purges_mut().raise_all(at);
        log::error!(
            "the peers' snapshot was not received in time: every copy from before now is taken as purged"
        );
        self.notify(now);
    }

    /// Puts the stored purges in force: those held one by one, and the table of older ones.
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
                log::error!("purges of the store are not in force here: {e}");
            }
        }
        let purges = ledger.purges();
        let (compacted, bytes) = (ledger.table().len(), ledger.table().memory_bytes());
        if !purges.is_empty() || compacted > 0 {
            log::info!(exact = purges.len(), compacted = compacted, table_bytes = bytes; "the store's purges are in force");
        }
        for Purge { object, group, at } in purges {
            self.core.record_purge(now, object, group, at);
        }
    }
}
