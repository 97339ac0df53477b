//! What of the logs is on which disk, and which commits may be given.

use super::Replica;
use crate::log_store::EntryKey;
use crate::{
    CommitId, CommitOutcome, CompactedLog, Datagram, Entry, Index, LogId, Micros, Outgoing,
    RejectReason,
};

impl Replica {
    /// The answer to whoever told what stands in this epoch's log up to an index is to wait until it is kept, or can't be.
    /// Places never go down from one commit to the next.
    pub fn open_commit(&mut self, now: Micros, index: Index) -> Result<CommitId, RejectReason> {
        if !self.pending.is_waiting() {
            // Peers were sent the entry just now: they are asked again only after a while.
            self.next_retry = now + self.options.retry_us;
        }
        let opened = self.pending.open(now, index, self.options.max_pending);
        self.counters.commits_rejected += u64::from(opened.is_err());
        opened
    }

    /// Commits that are kept, and those that can't be.
    pub fn resolve_commits(&mut self, now: Micros) -> Vec<CommitOutcome> {
        let durable_index = self.durable_index(self.own);
        let (min_acks, timeout_us) = (self.options.min_acks, self.options.commit_timeout_us);
        let outcomes = self.pending.resolve_commits(
            now,
            self.own,
            (durable_index, &self.unsynced),
            (min_acks, timeout_us),
        );
        let kept = outcomes.iter().filter(|s| s.result.is_ok()).count() as u64;
        self.counters.committed += kept;
        self.counters.commits_rejected += outcomes.len() as u64 - kept;
        outcomes
    }

    /// Up to which index all that is in force of a log is on this proxy's disk.
    pub fn durable_index(&self, log: LogId) -> Index {
        let durable = self.unsynced.through(log, self.log_store.last_index(log));
        let pending = self.pending_snapshots.get(&log);
        pending.map_or(durable, |pending| durable.min(pending.durable))
    }

    /// Whether all that the log store has is on the disk.
    pub fn is_synced(&self) -> bool {
        self.unsynced.is_empty() && self.pending_snapshots.is_empty()
    }

    /// An entry is on the disk: which peers are to be told so.
    pub fn synced(&mut self, log: LogId, index: Index) -> Vec<Outgoing> {
        self.unsynced.synced(log, index);
        self.due_acks(log)
    }

    /// What a snapshot brought is on the disk, the indexes of these logs ([`crate::Received::compacted`]) and all buckets
    /// that were given up to then: which peers are to be told so. Before that, none is told of what the snapshot covers.
    pub fn snapshot_synced(&mut self, logs: &[CompactedLog]) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        for CompactedLog { log, through } in logs {
            if self
                .pending_snapshots
                .get(log)
                .is_some_and(|pending| pending.through <= *through)
            {
                self.pending_snapshots.remove(log);
                outgoing.extend(self.due_acks(*log));
            }
        }
        outgoing
    }

    /// Tells the peers that wait for a log to be on the disk.
    fn due_acks(&mut self, log: LogId) -> Vec<Outgoing> {
        let durable_index = self.durable_index(log);
        let waiting = self.pending_acks.range((log, 0)..=(log, usize::MAX));
        let due = waiting.filter(|(_, index)| **index <= durable_index);
        let peers: Vec<usize> = due.map(|((_, peer), _)| *peer).collect();
        let tell = |peer| {
            self.pending_acks.remove(&(log, peer));
            let positions = vec![(log, durable_index)];
            Outgoing {
                peer,
                datagram: Datagram::Ack {
                    process: self.process,
                    positions,
                },
            }
        };
        peers.into_iter().map(tell).collect()
    }

    /// A peer is to be told once this index is on the disk.
    pub(super) fn ack_once_synced(&mut self, log: LogId, index: Index, peer: usize) {
        let latest = self.pending_acks.entry((log, peer)).or_insert(index);
        *latest = (*latest).max(index);
    }

    /// The disk did not take an entry. It is in force, and is given again by [`Replica::take_failed`].
    pub fn sync_failed(&mut self, log: LogId, index: Index) {
        self.unsynced.sync_failed(log, index);
    }

    /// Entries to be put on the disk again. One that was superseded meanwhile need not be there once all behind it are,
    /// the one in its place among them.
    pub fn take_failed(&mut self) -> Vec<Entry> {
        let mut entries = Vec::new();
        for (log, index) in self.unsynced.take_failed() {
            let next = self.log_store.entries_after(log, index - 1).next();
            let is_in_force = |entry: &Entry| {
                let key = EntryKey { log, index };
                entry.index == index && self.log_store.is_latest(key, &entry.subject)
            };
            match next.filter(is_in_force) {
                Some(entry) => entries.push(entry),
                None if self.unsynced.is_last(log, index) => self.unsynced.synced(log, index),
                None => self.unsynced.sync_failed(log, index),
            }
        }
        entries
    }

    /// Entries of its own logs that fewer further machines are known to have than are to.
    pub fn under_replicated(&self) -> usize {
        let own = self.own.writer;
        let epochs = self
            .log_store
            .last_indexes()
            .into_iter()
            .filter(|(log, _)| log.writer == own);
        let short = |(log, _): (LogId, Index)| {
            let replicated = self
                .pending
                .through(log.epoch, self.options.replication_factor);
            self.log_store.live_after(log, replicated).count()
        };
        epochs.map(short).sum()
    }

    /// How far a peer is known to have the log of this epoch on its disk.
    pub fn acked_by(&self, peer: usize) -> Index {
        self.pending.of(peer, self.own.epoch)
    }
}
