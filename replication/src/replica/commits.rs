//! Commits and acknowledgements: which entries are on which disks.

use super::Replica;
use crate::commit::OwnLog;
use crate::log_store::EntryKey;
use crate::{
    CommitId, CommitOutcome, CompactedLog, Datagram, Entry, Index, LogId, LogPosition, Micros,
    Outgoing, RejectReason,
};

impl Replica {
    /// Opens a commit of this epoch's log through an index, which [`Replica::resolve_commits`] gives or rejects later.
    /// The index must not be lower than that of any commit before.
    ///
    /// # Errors
    /// Fails if too many commits are pending.
    pub fn open_commit(&mut self, now: Micros, index: Index) -> Result<CommitId, RejectReason> {
        if !self.pending.is_waiting() {
            // The entry was sent to the peers just now, and is sent again only after a while.
            self.next_retry = now + self.options.retry_us;
        }
        let opened = self
            .pending
            .open(now, index, self.options.max_pending_commits);
        self.counters.commits_rejected += u64::from(opened.is_err());
        opened
    }

    /// Takes the commits that are given or rejected by now.
    pub fn resolve_commits(&mut self, now: Micros) -> Vec<CommitOutcome> {
        let own = OwnLog {
            log: self.own,
            durable_index: self.durable_index(self.own),
            unsynced: &self.unsynced,
        };
        let outcomes = self.pending.resolve(now, own, &self.options);
        let given = outcomes.iter().filter(|o| o.result.is_ok()).count() as u64;
        self.counters.committed += given;
        self.counters.commits_rejected += outcomes.len() as u64 - given;
        outcomes
    }

    /// Returns the index through which all entries in force of a log are on this proxy's disk.
    pub fn durable_index(&self, log: LogId) -> Index {
        let last_index = self.log_store.last_index(log);
        let durable = self.unsynced.synced_through(log, last_index);
        let pending = self.pending_snapshots.get(&log);
        pending.map_or(durable, |pending| durable.min(pending.durable))
    }

    /// Returns whether all that the log store has is on the disk.
    pub fn is_synced(&self) -> bool {
        self.unsynced.is_empty() && self.pending_snapshots.is_empty()
    }

    /// Records that an entry is on the disk. Returns the acknowledgements to send.
    pub fn record_synced(&mut self, log: LogId, index: Index) -> Vec<Outgoing> {
        self.unsynced.remove(log, index);
        self.due_acks(log)
    }

    /// Records that a snapshot is on the disk: the indexes of these logs ([`crate::Received::compacted`]) and all buckets
    /// returned up to then. Returns the acknowledgements to send. Before that, nothing that the snapshot covers is
    /// acknowledged.
    pub fn record_snapshot_synced(&mut self, logs: &[CompactedLog]) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        for CompactedLog { log, through } in logs {
            let pending = self.pending_snapshots.get(log);
            if pending.is_some_and(|pending| pending.through <= *through) {
                self.pending_snapshots.remove(log);
                outgoing.extend(self.due_acks(*log));
            }
        }
        outgoing
    }

    /// Returns the acknowledgements to the peers that wait for a log to be on the disk, as far as it is.
    fn due_acks(&mut self, log: LogId) -> Vec<Outgoing> {
        let durable_index = self.durable_index(log);
        let waiting = self.pending_acks.range((log, 0)..=(log, usize::MAX));
        let due = waiting.filter(|(_, index)| **index <= durable_index);
        let peers: Vec<usize> = due.map(|((_, peer), _)| *peer).collect();
        let ack = |peer| {
            self.pending_acks.remove(&(log, peer));
            Outgoing {
                peer,
                datagram: self.ack(log, durable_index),
            }
        };
        peers.into_iter().map(ack).collect()
    }

    /// Returns the acknowledgement of a log through its durable index.
    pub(super) fn ack(&self, log: LogId, durable_index: Index) -> Datagram {
        Datagram::Ack {
            process: self.process,
            positions: vec![LogPosition {
                log,
                index: durable_index,
            }],
        }
    }

    /// Records that a peer waits for this index to be on the disk.
    pub(super) fn ack_once_synced(&mut self, log: LogId, index: Index, peer: usize) {
        let latest = self.pending_acks.entry((log, peer)).or_insert(index);
        *latest = (*latest).max(index);
    }

    /// Records that the disk did not take an entry. It stays in force, and [`Replica::take_failed_syncs`] returns it.
    pub fn record_sync_failure(&mut self, log: LogId, index: Index) {
        self.unsynced.mark_failed(log, index);
    }

    /// Takes the entries that must be written to the disk again. One that was superseded meanwhile need not be there once
    /// all after it are, among them the one that superseded it.
    pub fn take_failed_syncs(&mut self) -> Vec<Entry> {
        let mut entries = Vec::new();
        for (log, index) in self.unsynced.take_failed() {
            let next = self.log_store.entries_after(log, index - 1).next();
            let is_in_force = |entry: &Entry| {
                let key = EntryKey { log, index };
                entry.index == index && self.log_store.is_latest(key, &entry.subject)
            };
            match next.filter(is_in_force) {
                Some(entry) => entries.push(entry),
                None if self.unsynced.is_last(log, index) => self.unsynced.remove(log, index),
                None => self.unsynced.mark_failed(log, index),
            }
        }
        entries
    }

    /// Counts the entries of its own logs that fewer further machines have acknowledged than the replication factor.
    pub fn under_replicated(&self) -> usize {
        let replicas = self.options.replication_factor;
        let under_replicated = |position: LogPosition| {
            let log = position.log;
            let replicated = self.pending.replicated_through(log.epoch, replicas);
            self.log_store.live_after(log, replicated).count()
        };
        self.own_epochs().into_iter().map(under_replicated).sum()
    }

    /// Returns the logs of all its own epochs.
    pub(super) fn own_epochs(&self) -> Vec<LogPosition> {
        let mut logs = self.log_store.last_indexes();
        logs.retain(|position| position.log.writer == self.own.writer);
        logs
    }

    /// Returns a peer's durable index of the log of this epoch, as far as it is known.
    pub fn acked_by(&self, peer: usize) -> Index {
        self.pending.acked_by(peer, self.own.epoch)
    }
}
