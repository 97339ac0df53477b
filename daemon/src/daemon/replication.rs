//! Drives the replica of the logs: processes completions of the store, runs its ticks, and updates the machines of the
//! peers.

use super::Daemon;
use linnetknot::Micros;
use linnetknot_discovery::server_id;
use std::net::SocketAddr;

/// The minimum time between two ticks, so that the event loop can serve its sockets.
const MIN_TICK_INTERVAL_US: Micros = 1_000;

impl Daemon {
    /// Processes completions of the store's worker and the result of opening the store.
    pub(super) fn receive_store_completions(&mut self, now: Micros) {
        if let Some(signal) = &mut self.store_signal {
            signal.drain();
        }
        self.finish_store_opening(now);
        let outgoing = self
            .ledger
            .as_mut()
            .map(|ledger| ledger.take_completions(now))
            .unwrap_or_default();
        if !outgoing.is_empty() {
            fail::fail_point!("holder-says");
        }
        self.send_datagrams(outgoing);
        self.resolve_commits(now);
    }

    /// Sends the datagrams that are due: acknowledgements, digests, requests and snapshot chunks. Schedules the next
    /// tick.
    pub(super) fn tick_replication(&mut self, now: Micros) {
        let Some(ledger) = &mut self.ledger else {
            return;
        };
        let outgoing = ledger.tick(now);
        self.log_replication();
        self.send_datagrams(outgoing);
        self.check_snapshot_wait(now);
        self.resolve_commits(now);
        self.schedule_replication(now);
    }

    /// Logs changes in the number of under-replicated entries and of peers that do not support snapshots.
    fn log_replication(&mut self) {
        let Some(ledger) = &self.ledger else {
            return;
        };
        let under_replicated = ledger.replica().under_replicated();
        let without_snapshot = ledger.replica().peers_without_snapshot().len();
        let pending = &mut self.pending_commits;
        let before = std::mem::replace(&mut pending.under_replicated, under_replicated);
        if self.config.replication.enabled && (under_replicated == 0) != (before == 0) {
            log::info!(under_replicated = under_replicated; "number of under-replicated log entries changed");
        }
        let before = std::mem::replace(&mut pending.peers_without_snapshot, without_snapshot);
        if without_snapshot > before {
            log::warn!(peers = without_snapshot; "peers of an earlier version are behind the compacted entries and do not support snapshots");
        }
    }

    /// Schedules the next tick of replication, unless a tick is already scheduled at or before that time.
    pub(super) fn schedule_replication(&mut self, now: Micros) {
        let Some(ledger) = &self.ledger else { return };
        let due = ledger.due().max(now + MIN_TICK_INTERVAL_US);
        let scheduled = self.pending_commits.replication_due;
        if scheduled.is_some_and(|planned| planned.at > now && planned.at <= due) {
            return;
        }
        let old = self.pending_commits.replication_due.take();
        self.pending_commits.replication_due = self.reschedule(old, Some(due), |daemon, now| {
            daemon.pending_commits.replication_due = None;
            daemon.tick_replication(now);
        });
    }

    /// Updates the machine of each peer in the replica: the announced one, or the configured one until the peer has
    /// announced its own.
    pub(super) fn update_machines(&mut self) {
        let replication = &self.config.replication;
        let members = self
            .membership
            .as_ref()
            .map_or(&[][..], |membership| membership.members());
        let machine = |(peer, (_, configured)): (usize, &(SocketAddr, String))| {
            let announced = members
                .get(peer)
                .and_then(|member| member.names.as_ref())
                .map(|names| &names.machine)
                .filter(|machine| !machine.is_empty());
            server_id(announced.unwrap_or(configured))
        };
        let machines = replication
            .machines
            .iter()
            .enumerate()
            .map(machine)
            .collect();
        if let Some(ledger) = &mut self.ledger {
            ledger.set_machines(server_id(&replication.machine), machines);
        }
    }
}
