//! The durable log of purges, operators' decisions and trigger statuses: a replica of the logs of all proxies
//! (`linnetknot_replication`) on a store that a worker thread writes (`linnetknot_store`).
//!
//! Peer CDNs send a purge to only one proxy, and pop caches are not notified of purges. A proxy must therefore remember
//! its purges across restarts, and obtain from its peers the purges that it missed while it was down.
//!
//! Up to a maximum number, purges are stored as single entries. When it is exceeded, the oldest purges are moved to a
//! compact table of fixed size, in memory by the replica (`Replica::compact`) and on the disk by `compaction`.

mod append;
mod codec;
mod compaction;
mod error;
mod identity;
mod in_flight;
mod legacy;
mod opening;
mod table;

use crate::peers::Purge;
use compaction::CompactionWriter;
use identity::Identity;
use in_flight::InFlightEntries;
use linnetknot::Micros;
use linnetknot_purges::{BucketBits, CompactTable};
use linnetknot_replication::{
    CommitId, CommitOutcome, Datagram, Entry, Epoch, Index, Options, Outgoing, Received,
    RejectReason, Replica, Subject, Writer,
};
use linnetknot_store::{Completion, StoreWorker};
use std::collections::BTreeMap;

pub use error::{AppendError, LedgerError};

/// The interval between searches for expired entries. It is long because a search visits all entries.
const EXPIRE_PERIOD_US: Micros = 60_000_000;

/// The limits of a ledger: how many entries the logs retain, how many writes may be queued, and how large the compact
/// table is.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The options of the replicated logs, such as the maximum number of entries.
    pub replication: Options,
    /// The maximum number of writes pending at the store's worker.
    pub queue: usize,
    /// The size of the compact table, as the binary logarithm of its number of buckets.
    pub bucket_bits: BucketBits,
}

/// The status of a trigger of any proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TriggerStatus {
    /// The proxy that received the trigger.
    pub writer: Writer,
    /// The number of the trigger at that proxy.
    pub number: u64,
    /// The status of the trigger, as encoded by `front::cdni`.
    pub text: String,
}

/// The replicated logs, and the store that makes them durable.
pub struct Ledger {
    /// `None` while the store can't be opened. Entries of peers are then only in memory and not acknowledged.
    worker: Option<StoreWorker>,
    replica: Replica,
    identity: Identity,
    in_flight: InFlightEntries,
    compaction: CompactionWriter,
    /// The part of the queue of the worker that compaction must leave free for log entries.
    reserve: usize,
    /// The time of the next search for expired entries.
    next_expiry: Micros,
}

/// Returns the subject of a purge: an object, or a group if there is no object.
fn purge_subject(object: Option<&str>, group: u64) -> Subject {
    object.map_or(Subject::Group(group), |object| {
        Subject::Object(object.to_owned())
    })
}

/// Converts an entry to a purge; `None` if it is of another kind.
pub fn purge(entry: &Entry) -> Option<Purge> {
    match &entry.subject {
        Subject::Object(object) => Some(Purge::of_object(object, entry.at)),
        Subject::Group(group) => Some(Purge::of_group(*group, entry.at)),
        Subject::Ban(_)
        | Subject::Drain
        | Subject::TriggerStatusPart { .. }
        | Subject::TriggerDeleted { .. } => None,
    }
}

/// Fault injection: whether gaps before a received entry are skipped, so that missing entries are not requested. Always
/// false without the feature `points`.
fn skips_missing() -> bool {
    fail::fail_point!("plant-skip", |_| true);
    false
}

impl Ledger {
    /// Whether the store is open, so that entries can be made durable.
    pub fn has_store(&self) -> bool {
        self.worker.is_some()
    }

    /// Returns how many writes the queue of the worker accepts now.
    fn capacity(&self) -> usize {
        self.worker.as_ref().map_or(0, StoreWorker::capacity)
    }

    /// Returns the purges that are single entries in any log. Of several purges of the same subject, only the latest is
    /// returned.
    pub fn purges(&self) -> Vec<Purge> {
        self.replica
            .log_store()
            .entries()
            .filter_map(|entry| purge(&entry))
            .collect()
    }

    /// Returns the compact table of the older purges.
    pub fn table(&self) -> &CompactTable {
        self.replica.log_store().table()
    }

    /// Whether all compactions and received snapshots are synced.
    pub fn is_compaction_synced(&self) -> bool {
        self.compaction.is_idle()
    }

    /// Returns the incarnation of this process among the members, which is greater than that of any earlier process on
    /// this store.
    pub fn incarnation(&self) -> Epoch {
        self.identity.incarnation
    }

    /// Raises the incarnation of this process, after a peer has reported an earlier process that is missing in the
    /// store.
    pub fn raise_incarnation(&mut self, incarnation: Epoch) {
        self.identity.incarnation = incarnation;
        self.replica.set_process(incarnation);
        // If the queue is full, the incarnation is not stored. The next process then receives it from the peers, as
        // this process did.
        if let Some(worker) = &mut self.worker {
            worker.submit(identity::put_incarnation(incarnation));
        }
    }

    /// Whether the store was empty at the start. Entries that this proxy committed earlier then exist only at the
    /// peers.
    pub fn is_fresh(&self) -> bool {
        self.identity.is_fresh
    }

    /// Returns the decisions of this proxy's operators, and whether each is revoked.
    pub fn decisions(&self) -> BTreeMap<Subject, bool> {
        self.replica
            .log_store()
            .operator_decisions(self.replica.own_log().writer)
    }

    /// Returns the replica, which exchanges the logs with the peers.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Sets the machines of this proxy and of its peers (`Replica::set_peers`).
    pub fn set_machines(&mut self, own: u64, machines: Vec<u64>) {
        self.replica.set_peers(own, machines);
    }

    /// Submits an entry to the worker. If the queue is full, the write counts as failed and is retried later.
    fn write(&mut self, entry: &Entry) {
        let worker = self.worker.as_mut();
        match worker.and_then(|worker| worker.submit(codec::put(entry))) {
            Some(write) => self.in_flight.push(write, entry),
            None => self.replica.record_sync_failure(entry.log, entry.index),
        }
    }

    /// Opens a commit of all entries of this proxy's log through an index.
    pub fn open_commit(&mut self, now: Micros, index: Index) -> Result<CommitId, RejectReason> {
        self.replica.open_commit(now, index)
    }

    /// Returns the commits that were committed or rejected since the last call.
    pub fn resolve_commits(&mut self, now: Micros) -> Vec<CommitOutcome> {
        self.replica.resolve_commits(now)
    }

    /// Processes a datagram of a peer, and writes its new entries and buckets.
    pub fn receive(&mut self, now: Micros, from: usize, datagram: Datagram) -> Received {
        let datagram = match datagram {
            Datagram::Entry(entry) if skips_missing() => {
                let last = self.replica.log_store().last_index(entry.log);
                let prev = entry.prev.min(last);
                Datagram::Entry(Entry { prev, ..entry })
            }
            datagram => datagram,
        };
        let received = self.replica.receive(now, from, datagram);
        for entry in &received.new {
            self.write(entry);
        }
        if self.worker.is_none() {
            return received;
        }
        for merged in &received.buckets {
            self.compaction.add_bucket(merged.index);
        }
        for marker in &received.compacted {
            self.compaction.add_snapshot(*marker);
        }
        received
    }

    /// Moves the oldest purges to the compact table if there are too many single entries, and submits the writes of
    /// compactions. Returns the datagrams for peers.
    fn compact(&mut self, now: Micros) -> Vec<Outgoing> {
        // A compaction is synced before the next one begins. Entries are otherwise removed from memory faster than from
        // the disk.
        if self.compaction.is_idle() {
            if let Some(compaction) = self.replica.compact(now) {
                log::debug!(entries = compaction.entries.len(), buckets = compaction.buckets.len(); "purges compacted");
                // Without a store, the compaction changes only the memory, so no writes are submitted.
                if self.worker.is_some() {
                    self.compaction.add(compaction);
                }
            }
        }
        let Some(worker) = &mut self.worker else {
            return Vec::new();
        };
        let table = self.replica.log_store().table();
        let synced = self.compaction.submit(worker, self.reserve, table);
        self.replica.record_snapshot_synced(&synced)
    }

    /// Processes the completions of writes. Returns the datagrams for peers.
    pub fn take_completions(&mut self, now: Micros) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        while let Some(completion) = self.worker.as_mut().and_then(StoreWorker::completion) {
            outgoing.extend(self.complete(&completion));
        }
        outgoing.extend(self.compact(now));
        outgoing
    }

    fn complete(&mut self, completion: &Completion) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        for entry in self.in_flight.take_through(completion.through) {
            match completion.result {
                Ok(()) => outgoing.extend(self.replica.record_synced(entry.log, entry.index)),
                Err(_) => self.replica.record_sync_failure(entry.log, entry.index),
            }
        }
        self.compaction.complete(completion);
        outgoing
    }

    /// Returns when `tick` is due.
    pub fn due(&self) -> Micros {
        self.replica.due()
    }

    /// Retries failed writes, removes expired entries and compacts. Returns the datagrams for peers.
    pub fn tick(&mut self, now: Micros) -> Vec<Outgoing> {
        if self.capacity() > 0 {
            for entry in self.replica.take_failed_syncs() {
                self.write(&entry);
            }
        }
        if now >= self.next_expiry {
            self.next_expiry = now + EXPIRE_PERIOD_US;
            self.remove_expired(now);
        }
        self.compaction.retry();
        let mut outgoing = self.compact(now);
        outgoing.extend(self.replica.tick(now));
        outgoing
    }

    /// Removes expired entries from memory and from the store. Those whose removal does not fit into the queue are
    /// removed from the store by the next process.
    fn remove_expired(&mut self, now: Micros) {
        for entry in self.replica.expire(now) {
            if let Some(worker) = &mut self.worker {
                worker.submit(codec::remove(&entry));
            }
        }
    }
}
