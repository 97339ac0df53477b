//! The status of replication, commits and membership for `linnetknot fleet status`.

use super::membership::state_name;
use super::Daemon;
use crate::fleet::{LogStatus, PeerStatus, Status, MAX_LOGS, MAX_PEERS};
use linnetknot_membership::Membership;
use linnetknot_replication::{LogPosition, Replica};
use std::net::SocketAddr;

fn log_status(replica: &Replica, LogPosition { log, index }: LogPosition) -> LogStatus {
    LogStatus {
        writer: format!("{:016x}", log.writer),
        epoch: format!("{:x}", log.epoch),
        own: log.writer == replica.own_log().writer,
        last_index: index,
        durable_index: replica.durable_index(log),
    }
}

impl Daemon {
    /// Returns the status; `None` if logs are not replicated.
    pub(super) fn fleet_status(&self) -> Option<Status> {
        let replication = &self.config.replication;
        let replica = self
            .ledger
            .as_ref()
            .filter(|_| replication.enabled)?
            .replica();
        let own = replica.own_log();
        let log_store = replica.log_store();
        let counters = replica.counters();
        let logs = log_store.last_indexes();
        let store_error = self.pending_store.as_ref();
        let peers = replication.machines.iter().enumerate().take(MAX_PEERS);
        Some(Status {
            name: self.config.name.clone(),
            machine: replication.machine.clone(),
            epoch: format!("{:x}", own.epoch),
            min_acks: replication.min_acks,
            replication_factor: replication.replication_factor,
            last_index: log_store.last_index(own),
            durable_index: replica.durable_index(own),
            entries: log_store.len(),
            compacted: log_store.table().len(),
            table_bytes: log_store.table().memory_bytes(),
            store_error: store_error.map(|pending| pending.reason().to_owned()),
            catching_up: replica.is_catching_up(),
            digest: format!("{:016x}", log_store.checksum()),
            pending_commits: self.pending_commits.len(),
            under_replicated: replica.under_replicated(),
            unlogged_purges: self.unlogged_purges(),
            reordered_entries: replica.reordered_entries(),
            committed: counters.committed,
            rejected: counters.commits_rejected,
            alive_members: self.membership.as_ref().map_or(1, Membership::up),
            replaced: self.is_replaced(),
            peers: peers
                .map(|(peer, (address, machine))| {
                    self.peer_status(replica, peer, *address, machine)
                })
                .collect(),
            peers_total: replication.machines.len(),
            logs: logs
                .iter()
                .take(MAX_LOGS)
                .map(|last| log_status(replica, *last))
                .collect(),
            logs_total: logs.len(),
        })
    }

    /// Returns the status of a peer. The machine is that announced by the peer, or the configured machine until then.
    fn peer_status(
        &self,
        replica: &Replica,
        peer: usize,
        address: SocketAddr,
        configured_machine: &str,
    ) -> PeerStatus {
        let membership = self.membership.as_ref();
        let member = membership.and_then(|membership| membership.members().get(peer));
        let claim = member.and_then(|member| member.claim);
        let names = member.and_then(|member| member.names.as_ref());
        let (name, machine) = names.map_or(("", configured_machine), |names| {
            (names.name.as_str(), names.machine.as_str())
        });
        let acked = replica.acked_by(peer);
        let last_index = replica.log_store().last_index(replica.own_log());
        PeerStatus {
            address,
            machine: machine.to_owned(),
            name: name.to_owned(),
            state: state_name(claim.map(|claim| claim.state)).to_owned(),
            incarnation: claim.map_or_else(String::new, |claim| format!("{:x}", claim.process)),
            acked_index: acked,
            lag: last_index.saturating_sub(acked),
        }
    }
}
