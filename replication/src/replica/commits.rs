//! Commits, and the acknowledgements of durable entries.

use super::Replica;
use crate::commit::OwnLog;
use crate::log_store::EntryKey;
use crate::{
    CommitId, CommitOutcome, CompactedLog, Datagram, Entry, Index, LogId, LogPosition, Micros,
    Outgoing, RejectReason,
};

impl Replica {
    /// Opens a commit of the current epoch's log through an index, which [`Replica::resolve_commits`] confirms or
    /// rejects later. The index must not be lower than that of an earlier commit.
    ///
    /// # Errors
    /// Fails if too many commits are pending.
    pub fn open_commit(&mut self, now: Micros, index: Index) -> Result<CommitId, RejectReason> {
        if !self.pending_commits.has_pending() {
            // The entry has just been sent to the peers, so the first retry waits for a whole interval.
            self.next_retry = now + self.options.retry_us;
        }
        let opened = self
            .pending_commits
            .open(now, index, self.options.max_pending_commits);
        self.counters.commits_rejected += u64::from(opened.is_err());
        opened
    }

    /// Returns the outcomes of the commits that are confirmed or rejected by now.
    pub fn resolve_commits(&mut self, now: Micros) -> Vec<CommitOutcome> {
        let own = OwnLog {
            log: self.own,
            durable_index: self.durable_index(self.own),
            unsynced: &self.unsynced,
        };
        let outcomes = self.pending_commits.resolve(now, own, &self.options);
        let confirmed = outcomes.iter().filter(|o| o.result.is_ok()).count() as u64;
        self.counters.committed += confirmed;
        self.counters.commits_rejected += outcomes.len() as u64 - confirmed;
        outcomes
    }

    /// Returns the index through which all live entries of a log are on the local disk.
    pub fn durable_index(&self, log: LogId) -> Index {
        let last_index = self.log_store.last_index(log);
        let durable = self.unsynced.synced_through(log, last_index);
        let pending = self.pending_snapshots.get(&log);
        pending.map_or(durable, |pending| durable.min(pending.durable))
    }

    /// Returns whether the whole log store is on the disk.
    pub fn is_synced(&self) -> bool {
        self.unsynced.is_empty() && self.pending_snapshots.is_empty()
    }

    /// Records that an entry is on the disk. Returns the acknowledgements to send.
    pub fn record_synced(&mut self, log: LogId, index: Index) -> Vec<Outgoing> {
        self.unsynced.remove(log, index);
        self.due_acks(log)
    }

    /// Records that the compacted indexes of these logs ([`crate::Received::compacted`]) and all buckets that were
    /// returned before them are on the disk. Returns the acknowledgements to send. Nothing that the snapshot covers is
    /// acknowledged before this call.
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

    /// Removes the pending acknowledgements of a log that are now durable, and returns them to be sent.
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

    /// Records that a peer is sent an acknowledgement as soon as the log is durable through this index.
    pub(super) fn ack_once_synced(&mut self, log: LogId, index: Index, peer: usize) {
        let latest = self.pending_acks.entry((log, peer)).or_insert(index);
        *latest = (*latest).max(index);
    }

    /// Records that an entry could not be written to the disk. It stays live, and [`Replica::take_failed_syncs`]
    /// returns it.
    pub fn record_sync_failure(&mut self, log: LogId, index: Index) {
        self.unsynced.mark_failed(log, index);
    }

    /// Takes the entries that must be written to the disk again. Entries that were superseded in the meantime are not
    /// returned; such an entry counts as synced once all later entries of its log are on the disk.
    pub fn take_failed_syncs(&mut self) -> Vec<Entry> {
        let mut entries = Vec::new();
        for (log, index) in self.unsynced.take_failed() {
            let next = self.log_store.entries_after(log, index - 1).next();
            let is_latest_entry = |entry: &Entry| {
                let key = EntryKey { log, index };
                entry.index == index && self.log_store.is_latest(key, &entry.subject)
            };
            match next.filter(is_latest_entry) {
                Some(entry) => entries.push(entry),
                None if self.unsynced.is_last(log, index) => self.unsynced.remove(log, index),
                None => self.unsynced.mark_failed(log, index),
            }
        }
        entries
    }

    /// Returns the number of entries of the replica's own logs that fewer machines than the replication factor have
    /// acknowledged.
    pub fn under_replicated(&self) -> usize {
        let replicas = self.options.replication_factor;
        let under_replicated = |position: LogPosition| {
            let log = position.log;
            let replicated = self.pending_commits.replicated_through(log.epoch, replicas);
            self.log_store.live_after(log, replicated).count()
        };
        self.own_epochs().into_iter().map(under_replicated).sum()
    }

    /// Returns the positions in the logs of all of the writer's own epochs.
    pub(super) fn own_epochs(&self) -> Vec<LogPosition> {
        let mut logs = self.log_store.last_indexes();
        logs.retain(|position| position.log.writer == self.own.writer);
        logs
    }

    /// Returns a peer's last reported durable index of the current epoch's log, or 0.
    pub fn acked_by(&self, peer: usize) -> Index {
        self.pending_commits.acked_by(peer, self.own.epoch)
    }
}
