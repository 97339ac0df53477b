//! Replicated purge logs of a hollow member. Purges, commits and disk writes are handled as in the daemon.

use super::disk::{SimulatedDisk, Write};
use super::outbox::Outbox;
use super::{MemberEvent, Refusal};
use crate::scale::fleet_config::FleetConfig;
use crate::scale::purge_number::{object, purge_of, PurgeNumber};
use linnetknot_replication::{
    CommitId, CompactedLog, Datagram, DecodeError, Entry, Index, LogId, LogStore, Outgoing,
    Received, Recovery, RecoveryTimes, RejectReason, Replica, Subject,
};
use linnetknot_simnet::Micros;
use std::collections::BTreeMap;

/// Shortest time between two ticks of the replication protocol.
const MIN_PAUSE_US: Micros = 1_000;

/// Interval at which expired entries are removed.
const EXPIRY_INTERVAL_US: Micros = 60_000_000;

/// Contents of a member's disk after its process ended.
#[derive(Clone, Debug, Default)]
pub struct DiskContents {
    logs: LogStore,
    /// Log that the next process continues, set after a graceful shutdown.
    own_log: Option<LogId>,
}

impl DiskContents {
    /// Creates disk contents from logs. The next process continues `own_log`.
    pub fn with_logs(logs: LogStore, own_log: LogId) -> Self {
        DiskContents {
            logs,
            own_log: Some(own_log),
        }
    }

    /// Returns the numbers of the purges on the disk.
    pub fn purges(&self) -> impl Iterator<Item = PurgeNumber> + '_ {
        self.logs.entries().filter_map(|entry| entry_purge(&entry))
    }
}

fn entry_purge(entry: &Entry) -> Option<PurgeNumber> {
    match &entry.subject {
        Subject::Object(object) => purge_of(object),
        _ => None,
    }
}

/// Logs of one member with their disk and pending commits.
#[derive(Clone, Debug)]
pub(super) struct PurgeLog {
    replica: Replica,
    disk: SimulatedDisk,
    due: Micros,
    next_expiry: Micros,
    commits: BTreeMap<CommitId, PurgeNumber>,
    recovery: Option<Recovery>,
}

impl PurgeLog {
    pub(super) fn new(
        config: &FleetConfig,
        index: usize,
        now: Micros,
        disk: Option<DiskContents>,
    ) -> Self {
        let me = &config.members[index];
        let is_fresh = disk.is_none();
        let DiskContents { logs, own_log } = disk.unwrap_or_default();
        let own_log = own_log.unwrap_or(LogId::new(me.id, now));
        let mut replica = Replica::new(own_log, logs, now, config.replication);
        let machines: Vec<u64> = config.peers_of(index).map(|peer| peer.machine_id).collect();
        let times = RecoveryTimes {
            start: now,
            deadline: now + config.limits.recovery_timeout_us,
            retry_us: config.limits.recovery_poll_interval_us,
        };
        let min_acks = config.replication.min_acks;
        let recovery =
            is_fresh.then(|| Recovery::new(me.machine_id, machines.clone(), min_acks, times));
        replica.set_peers(me.machine_id, machines);
        PurgeLog {
            replica,
            disk: SimulatedDisk::new(config.limits.max_store_writes),
            due: now,
            next_expiry: now,
            commits: BTreeMap::new(),
            recovery,
        }
    }

    pub(super) fn replica(&self) -> &Replica {
        &self.replica
    }

    pub(super) fn pending_commits(&self) -> usize {
        self.commits.len()
    }

    pub(super) fn disk_queue(&self) -> usize {
        self.disk.len()
    }

    /// Returns whether the purge is in force through an entry or the compact table, so that copies from before `at` are
    /// not served.
    pub(super) fn is_in_force(&self, purge: PurgeNumber, at: Micros) -> bool {
        let effective = self
            .replica
            .log_store()
            .latest_purge(&Subject::Object(object(purge)));
        effective.is_some_and(|effective| effective >= at)
    }

    /// Returns whether recovery is over and the member is not catching up with the peers' snapshots.
    pub(super) fn has_recovered(&self) -> bool {
        self.recovery.as_ref().is_none_or(Recovery::is_over) && !self.replica.is_catching_up()
    }

    /// Sets the machines of this member and of its peers.
    pub(super) fn set_machines(&mut self, own_machine: u64, machines: Vec<u64>) {
        self.replica.set_peers(own_machine, machines);
    }

    pub(super) fn due(&self) -> Micros {
        let recovery = self.recovery.as_ref().and_then(Recovery::due);
        [self.disk.due(), recovery]
            .into_iter()
            .flatten()
            .fold(self.due, Micros::min)
    }

    /// Handles synced writes and runs the replication and recovery timers that are due.
    pub(super) fn tick(&mut self, now: Micros, outbox: &mut Outbox, events: &mut Vec<MemberEvent>) {
        self.sync(now, outbox, events);
        if self.due <= now {
            self.run_replication(now, outbox, events);
        }
        self.recover(now, outbox);
    }

    /// Moves the oldest purges to the compact table, which the simulated disk stores at once.
    pub(super) fn compact(&mut self, now: Micros) {
        let _ = self.replica.compact(now);
    }

    fn sync(&mut self, now: Micros, outbox: &mut Outbox, events: &mut Vec<MemberEvent>) {
        let synced = self.disk.synced(now);
        if synced.is_empty() {
            return;
        }
        for Write { log, index } in synced {
            let acknowledgements = self.replica.record_synced(log, index);
            send_all(acknowledgements, outbox);
        }
        self.resolve_commits(now, events);
    }

    fn run_replication(&mut self, now: Micros, outbox: &mut Outbox, events: &mut Vec<MemberEvent>) {
        if !self.disk.is_full() {
            self.replica
                .take_failed_syncs()
                .iter()
                .for_each(|entry| self.write(entry, now));
        }
        if now >= self.next_expiry {
            self.next_expiry = now + EXPIRY_INTERVAL_US;
            self.replica.expire(now);
        }
        send_all(self.replica.tick(now), outbox);
        // The daemon computes this value for its log messages. The result is unused here, but the measured processor
        // time includes the computation.
        let _ = self.replica.under_replicated();
        self.resolve_commits(now, events);
        self.schedule_tick(now);
    }

    fn schedule_tick(&mut self, now: Micros) {
        let due = self.replica.due().max(now + MIN_PAUSE_US);
        if self.due > due || self.due <= now {
            self.due = due;
        }
    }

    fn recover(&mut self, now: Micros, outbox: &mut Outbox) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        let step = recovery.tick(now);
        let requests = step.request_from.into_iter().map(|peer| Outgoing {
            peer,
            datagram: Datagram::DigestRequest,
        });
        send_all(requests.collect(), outbox);
    }

    fn write(&mut self, entry: &Entry, now: Micros) {
        let write = Write {
            log: entry.log,
            index: entry.index,
        };
        if !self.disk.write(write, now) {
            self.replica.record_sync_failure(entry.log, entry.index);
        }
    }

    fn append(&mut self, purge: PurgeNumber, at: Micros, now: Micros) -> Result<Entry, Refusal> {
        if self.disk.is_full() {
            return Err(Refusal::Disk);
        }
        let entry = self
            .replica
            .append(Subject::Object(object(purge)), at, false);
        let entry = entry.map_err(|_| Refusal::Capacity)?;
        self.write(&entry, now);
        Ok(entry)
    }

    /// Appends a purge issued by a client, broadcasts its entry and opens a commit.
    pub(super) fn purge(
        &mut self,
        purge: PurgeNumber,
        now: Micros,
        outbox: &mut Outbox,
        events: &mut Vec<MemberEvent>,
    ) {
        events.push(MemberEvent::InForce { purge });
        let entry = self.append(purge, now, now);
        if let Some(bytes) = entry
            .as_ref()
            .ok()
            .and_then(|entry| Datagram::Entry(entry.clone()).encode())
        {
            outbox.broadcast(&bytes);
        }
        match entry {
            Ok(entry) => self.commit(purge, entry.index, now, events),
            Err(reason) => events.push(MemberEvent::Refused { purge, reason }),
        }
        self.resolve_commits(now, events);
        self.schedule_tick(now);
    }

    fn commit(
        &mut self,
        purge: PurgeNumber,
        index: Index,
        now: Micros,
        events: &mut Vec<MemberEvent>,
    ) {
        match self.replica.open_commit(now, index) {
            Ok(commit) => drop(self.commits.insert(commit, purge)),
            Err(reason) => events.push(MemberEvent::Refused {
                purge,
                reason: refusal(reason),
            }),
        }
    }

    fn resolve_commits(&mut self, now: Micros, events: &mut Vec<MemberEvent>) {
        for resolved in self.replica.resolve_commits(now) {
            let Some(purge) = self.commits.remove(&resolved.commit) else {
                continue;
            };
            events.push(match resolved.result {
                Ok(_) => MemberEvent::Committed { purge },
                Err(reason) => MemberEvent::Refused {
                    purge,
                    reason: refusal(reason),
                },
            });
        }
    }

    /// Handles a replication datagram; returns `false` if it belongs to another protocol.
    pub(super) fn receive(
        &mut self,
        from: usize,
        bytes: &[u8],
        now: Micros,
        outbox: &mut Outbox,
        events: &mut Vec<MemberEvent>,
    ) -> bool {
        let datagram = match Datagram::decode(bytes) {
            Ok(datagram) => datagram,
            Err(DecodeError::Foreign) => return false,
            Err(_) => return true,
        };
        let peer_checksum = match &datagram {
            Datagram::Digest { checksum, .. } => Some(*checksum),
            _ => None,
        };
        let received = self.replica.receive(now, from, datagram);
        received.new.iter().for_each(|entry| self.write(entry, now));
        in_force(&received, events);
        if peer_checksum == Some(self.replica.log_store().checksum()) {
            // The result is ignored because callers query the end of recovery with `has_recovered`.
            let _ = self
                .recovery
                .as_mut()
                .map(|recovery| recovery.record_caught_up(from));
        }
        let replies = received.replies.into_iter().map(|datagram| Outgoing {
            peer: from,
            datagram,
        });
        send_all(replies.collect(), outbox);
        if !received.compacted.is_empty() {
            send_all(
                self.replica.record_snapshot_synced(&received.compacted),
                outbox,
            );
        }
        self.resolve_commits(now, events);
        // The next request or snapshot chunk may now be due earlier.
        self.schedule_tick(now);
        true
    }

    /// Returns whether a log contains an entry for this purge or a later one of its object.
    pub(super) fn contains(&self, purge: PurgeNumber, at: Micros) -> bool {
        let subject = Subject::Object(object(purge));
        let known = self.replica.log_store().latest_entry_time(&subject);
        known.is_some_and(|known| known >= at)
    }

    /// Appends a purge that was received as a plain datagram to this member's log, unless a log already contains it.
    pub(super) fn write_plain(
        &mut self,
        purge: PurgeNumber,
        at: Micros,
        now: Micros,
        events: &mut Vec<MemberEvent>,
    ) {
        if self.contains(purge, at) {
            return;
        }
        if let Err(reason) = self.append(purge, at, now) {
            events.push(MemberEvent::NotStored { purge, reason });
        }
    }

    /// Returns the disk contents for the next process of the member. The next process continues the log only after a
    /// graceful shutdown with all entries synced.
    pub(super) fn disk_contents(&self, is_in_order: bool) -> DiskContents {
        let store = self.replica.log_store();
        if is_in_order && self.replica.is_synced() {
            return DiskContents {
                logs: store.clone(),
                own_log: Some(self.replica.own_log()),
            };
        }
        let is_durable = |entry: &Entry| entry.index <= self.replica.durable_index(entry.log);
        let entries: Vec<Entry> = store.entries().filter(is_durable).collect();
        let compacted: Vec<CompactedLog> = store.compacted_logs(LogId::default()).collect();
        let logs = LogStore::restore(store.table().clone(), &compacted, entries);
        DiskContents {
            logs: logs.expect("each index of a log occurs once on the disk"),
            own_log: None,
        }
    }
}

fn refusal(reason: RejectReason) -> Refusal {
    match reason {
        RejectReason::Disk => Refusal::Disk,
        RejectReason::TooManyPending => Refusal::Capacity,
        RejectReason::TooFewReplicas { .. } => Refusal::Acknowledgements,
    }
}

/// Reports received purges as in force, including those that cannot be stored.
fn in_force(received: &Received, events: &mut Vec<MemberEvent>) {
    for entry in received
        .new
        .iter()
        .chain(&received.out_of_order)
        .chain(&received.rejected)
    {
        if let Some(purge) = entry_purge(entry) {
            events.push(MemberEvent::InForce { purge });
        }
    }
    for entry in &received.rejected {
        if let Some(purge) = entry_purge(entry) {
            events.push(MemberEvent::NotStored {
                purge,
                reason: Refusal::Capacity,
            });
        }
    }
}

fn send_all(datagrams: Vec<Outgoing>, outbox: &mut Outbox) {
    for Outgoing { peer, datagram } in datagrams {
        if let Some(bytes) = datagram.encode() {
            outbox.send(peer, bytes);
        }
    }
}
