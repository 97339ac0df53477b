//! The purges that peer CDNs told this proxy and its peers alone: the boxes hear nothing of them, so a proxy that
//! starts again must know them, and so must one that was away. A store (`linnetknot_store`) has them as logs
//! (`linnetknot_replication`), its own and those of others; a worker thread writes it.
//!
//! Purges are held one by one up to a bound. Older ones are moved to a compact table of fixed size, in memory by the
//! replica (`Replica::compact`) and on the disk by `compaction`.

mod codec;
mod compaction;
mod error;
mod identity;
mod legacy;
mod table;

use crate::peers::Purge;
use compaction::CompactionWriter;
use identity::Identity;
use legacy::LegacyFile;
use linnetknot::Micros;
use linnetknot_purges::{BucketBits, CompactTable};
use linnetknot_replication::{
    pieces, Capacity, CommitId, CommitOutcome, Datagram, Entry, Epoch, Index, LogId, LogStore,
    Options, Outgoing, Received, RejectReason, Replica, Subject, Writer,
};
use linnetknot_store::{Completion, Store, StoreError, StoreWorker, Write, WriteId};
use std::collections::{BTreeMap, VecDeque};
use std::path::{Path, PathBuf};
use table::StoredTable;

pub use error::{AppendError, LedgerError};

/// The part of the queue to the disk that compaction leaves to entries.
const RESERVE_DIVISOR: usize = 2;

/// How often entries whose time is over are looked for: they are of use for an hour, and a look takes all of them.
const EXPIRE_PERIOD_US: Micros = 60_000_000;

/// The bounds of a ledger.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Those of the logs.
    pub replication: Options,
    /// Writes that may wait for the disk.
    pub queue: usize,
    /// The size of the compact table.
    pub bucket_bits: BucketBits,
}

/// The logs, and the store that has them.
pub struct Ledger {
    /// None while the store can't be opened: what peers tell is known in memory alone, and nothing is acknowledged.
    worker: Option<StoreWorker>,
    replica: Replica,
    identity: Identity,
    /// Entries on their way to the disk, in order.
    in_flight: VecDeque<(WriteId, LogId, Index)>,
    compaction: CompactionWriter,
    /// Writes of the queue that compaction leaves to entries.
    reserve: usize,
    /// When entries whose time is over are looked for again.
    expires: Micros,
}

/// What was purged, as entries name it.
fn subject(object: Option<&str>, group: u64) -> Subject {
    object.map_or(Subject::Group(group), |object| {
        Subject::Object(object.to_owned())
    })
}

/// An entry as the module takes a purge; none where it is no purge.
pub fn purge(entry: &Entry) -> Option<Purge> {
    match &entry.subject {
        Subject::Object(object) => Some((Some(object.clone()), 0, entry.at)),
        Subject::Group(group) => Some((None, *group, entry.at)),
        Subject::Ban(_) | Subject::Drain | Subject::Status { .. } | Subject::Gone { .. } => None,
    }
}

/// Never: only a fault that rehearsals plant has a catch-up pass over what is missing before an entry.
fn skips() -> bool {
    fail::fail_point!("plant-skip", |_| true);
    false
}

/// The next entry of those that went to the disk up to a ticket.
fn next_written(
    in_flight: &mut VecDeque<(WriteId, LogId, Index)>,
    through: WriteId,
) -> Option<(LogId, Index)> {
    in_flight
        .front()
        .filter(|(ticket, ..)| *ticket <= through)?;
    in_flight.pop_front().map(|(_, log, index)| (log, index))
}

/// Takes purges of a file that had no logs into this writer's log: the writes that keep them.
fn adopt(store: &mut LogStore, own: LogId, purges: Vec<Purge>) -> Result<Vec<Write>, LedgerError> {
    let mut latest = BTreeMap::<Subject, Micros>::new();
    for (object, group, at) in purges {
        let known = latest.entry(subject(object.as_deref(), group)).or_default();
        *known = at.max(*known);
    }
    let mut writes = Vec::new();
    for (subject, at) in latest {
        if store.latest(&subject).is_none_or(|known| known < at) {
            let entry = store.append(own, (subject, at, false), Capacity::UNLIMITED)?;
            writes.push(codec::put(&entry));
        }
    }
    Ok(writes)
}

impl Ledger {
    /// Opens the store, or begins it. A file of an earlier version is put aside as `FILE.old` and taken over. `wake` is
    /// called from the worker's thread when writes have ended (`take_completions`).
    pub fn open(
        path: &Path,
        writer: Writer,
        now: Micros,
        bounds: Bounds,
        wake: impl Fn() + Send + 'static,
    ) -> Result<Self, LedgerError> {
        let aside = legacy::put_aside(path)?;
        Self::on_store(Store::open(path)?, aside, writer, now, bounds, wake)
    }

    /// As `open`, in a store that is open, with a file of an earlier version where there is one: for tests.
    #[doc(hidden)]
    pub fn on_store(
        mut store: Store,
        aside: Option<PathBuf>,
        writer: Writer,
        now: Micros,
        bounds: Bounds,
        wake: impl Fn() + Send + 'static,
    ) -> Result<Self, LedgerError> {
        let stored = StoredTable::load(&mut store, bounds.bucket_bits)?;
        let identity = Identity::of(&mut store, now)?;
        let mut entries = codec::read_all(&store.scan(codec::ENTRIES)?)?;
        let mut legacy = LegacyFile::default();
        if let Some(aside) = aside.filter(|_| identity.is_fresh) {
            legacy = LegacyFile::read(&aside)?;
        }
        let mut writes: Vec<Write> = legacy.entries.iter().map(codec::put).collect();
        entries.append(&mut legacy.entries);
        let own = LogId::new(writer, identity.epoch);
        let mut log_store = LogStore::restore(stored.table, &stored.markers, entries)
            .map_err(|e| StoreError::Damaged(e.to_string()))?;
        log_store.restart_expiry(now);
        writes.extend(adopt(&mut log_store, own, legacy.purges)?);
        writes.extend(stored.resize);
        writes.extend(identity.begin());
        // All of this is there, or nothing and the old file still is.
        store.commit(&writes)?;
        let replica = Replica::new(own, log_store, identity.incarnation, bounds.replication);
        let worker =
            StoreWorker::start("store", store, bounds.queue, wake).map_err(LedgerError::Worker)?;
        let mut ledger = Self::new(replica, identity, bounds);
        ledger.worker = Some(worker);
        ledger.compaction = CompactionWriter::new(stored.has_header);
        Ok(ledger)
    }

    /// A ledger whose store can't be opened for a while. It learns what its peers have and acknowledges none of it, and
    /// it appends nothing.
    pub fn without_store(writer: Writer, now: Micros, bounds: Bounds) -> Self {
        let identity = Identity::without_store(now);
        let own = LogId::new(writer, identity.epoch);
        let log_store = LogStore::new(bounds.bucket_bits);
        let replica = Replica::new(own, log_store, identity.incarnation, bounds.replication);
        Self::new(replica, identity, bounds)
    }

    fn new(replica: Replica, identity: Identity, bounds: Bounds) -> Self {
        Ledger {
            worker: None,
            replica,
            identity,
            in_flight: VecDeque::new(),
            compaction: CompactionWriter::new(false),
            reserve: bounds.queue / RESERVE_DIVISOR,
            expires: 0,
        }
    }

    /// Whether it has its store.
    pub fn has_store(&self) -> bool {
        self.worker.is_some()
    }

    /// Writes that the queue to the disk has room for.
    fn room(&self) -> usize {
        self.worker.as_ref().map_or(0, StoreWorker::capacity)
    }

    /// The purges that it holds one by one. Of one that several logs have, the latest counts for whoever takes them all.
    pub fn purges(&self) -> Vec<Purge> {
        self.replica
            .log_store()
            .entries()
            .filter_map(|entry| purge(&entry))
            .collect()
    }

    /// The table of all older purges.
    pub fn table(&self) -> &CompactTable {
        self.replica.log_store().table()
    }

    /// Whether all that was compacted or came by a snapshot is on the disk.
    pub fn is_compaction_synced(&self) -> bool {
        self.compaction.is_idle()
    }

    /// This process's life among the members: greater than that of any before it on this disk.
    pub fn member(&self) -> Epoch {
        self.identity.incarnation
    }

    /// This process's life is a later one than its empty disk told: a peer knows of one before it.
    pub fn renumber(&mut self, incarnation: Epoch) {
        self.identity.incarnation = incarnation;
        self.replica.renumber(incarnation);
        // Where there is no room for it, the next start on this disk learns it as this one did.
        if let Some(worker) = &mut self.worker {
            worker.submit(identity::incarnation(incarnation));
        }
    }

    /// Whether it began without anything on its disk: what this proxy promised, others have.
    pub fn is_fresh(&self) -> bool {
        self.identity.is_fresh
    }

    /// What this proxy's operators decided, and whether it is lifted.
    pub fn decided(&self) -> BTreeMap<Subject, bool> {
        self.replica
            .log_store()
            .decisions(self.replica.own().writer)
    }

    /// The logs, to look at.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Whose machine is which (`Copies::peers`).
    pub fn peers(&mut self, own: u64, machines: Vec<u64>) {
        self.replica.peers(own, machines);
    }

    /// Hands an entry to the worker. What has no room there is given again later, as what the disk did not take.
    fn write(&mut self, entry: &Entry) {
        let given = self
            .worker
            .as_mut()
            .map(|worker| worker.submit(codec::put(entry)));
        match given.flatten() {
            Some(ticket) => self.in_flight.push_back((ticket, entry.log, entry.index)),
            None => self.replica.sync_failed(entry.log, entry.index),
        }
    }

    /// Adds a purge to this proxy's log, and gives its entry, to be told to the peers. It is on its way to the disk.
    pub fn append_purge(
        &mut self,
        object: Option<&str>,
        group: u64,
        at: Micros,
    ) -> Result<Entry, AppendError> {
        self.append(subject(object, group), at, false)
    }

    /// Adds what the operators decided, or that it is over, as `append_purge` does a purge.
    pub fn append(
        &mut self,
        subject: Subject,
        at: Micros,
        revoked: bool,
    ) -> Result<Entry, AppendError> {
        if self.worker.is_none() {
            return Err(AppendError::NoStore);
        }
        if self.room() == 0 {
            return Err(AppendError::DiskBehind);
        }
        let entry = self.replica.append(subject, at, revoked)?;
        self.write(&entry);
        Ok(entry)
    }

    /// Adds the status of a trigger as `append_purge` does a purge, in as many entries as it takes.
    pub fn append_status(
        &mut self,
        number: u64,
        text: &str,
        at: Micros,
    ) -> Result<Vec<Entry>, AppendError> {
        if self.worker.is_none() {
            return Err(AppendError::NoStore);
        }
        let pieces = pieces(text).filter(|pieces| pieces.len() <= self.room());
        let pieces = pieces.ok_or(AppendError::StatusTooLong)?;
        let append = |(part, text)| self.append(Subject::Status { number, part, text }, at, false);
        pieces.into_iter().map(append).collect()
    }

    /// The triggers that can be told of, by writer and number, with their status.
    pub fn statuses(&self) -> Vec<(Writer, u64, String)> {
        let log_store = self.replica.log_store();
        let status = |(writer, number)| Some((writer, number, log_store.status(writer, number)?));
        log_store
            .triggers()
            .into_iter()
            .filter_map(status)
            .collect()
    }

    /// A number for this writer's next trigger that none of its lives has given, as far as their entries tell: from the
    /// time of its start on, as nobody starts again sooner than it can answer.
    pub fn first_number(&self) -> u64 {
        let own = self.replica.own().writer;
        // Those that are gone count, too: a name that is given again would name something that is known to be gone.
        let known = self.replica.log_store().last_trigger(own);
        known
            .map_or(0, |number| number + 1)
            .max(self.identity.incarnation)
    }

    /// Adds a purge that a peer of an earlier version told; one that is known is not added again.
    pub fn learn_purge(
        &mut self,
        object: Option<&str>,
        group: u64,
        at: Micros,
    ) -> Result<(), AppendError> {
        match self.replica.log_store().latest(&subject(object, group)) {
            Some(known) if known >= at => Ok(()),
            _ => self.append_purge(object, group, at).map(drop),
        }
    }

    /// An answer waits for what stands in this log up to a place.
    pub fn open_commit(&mut self, now: Micros, place: Index) -> Result<CommitId, RejectReason> {
        self.replica.open_commit(now, place)
    }

    /// Promises that can be given, and those that can't.
    pub fn resolve_commits(&mut self, now: Micros) -> Vec<CommitOutcome> {
        self.replica.resolve_commits(now)
    }

    /// Takes in what a peer says of the logs. What is new is on its way to the disk.
    pub fn receive(&mut self, now: Micros, from: usize, datagram: Datagram) -> Received {
        let datagram = match datagram {
            Datagram::Entry(entry) if skips() => {
                let prev = entry
                    .prev
                    .min(self.replica.log_store().last_index(entry.log));
                Datagram::Entry(Entry { prev, ..entry })
            }
            datagram => datagram,
        };
        let received = self.replica.receive(now, from, datagram);
        received.new.iter().for_each(|entry| self.write(entry));
        if self.worker.is_none() {
            return received;
        }
        received
            .buckets
            .iter()
            .for_each(|merged| self.compaction.add_bucket(merged.index));
        received
            .compacted
            .iter()
            .for_each(|marker| self.compaction.add_snapshot(*marker));
        received
    }

    /// Moves the oldest purges to the table where there are too many, and hands over what of that the disk is to have.
    /// Gives what peers are to be told of it.
    fn compact(&mut self, now: Micros) -> Vec<Outgoing> {
        // Once the disk has the step before: entries must not leave memory faster than they leave the disk.
        if self.compaction.is_idle() {
            if let Some(compaction) = self.replica.compact(now) {
                log::debug!(entries = compaction.entries.len(), buckets = compaction.buckets.len(); "purges are compacted");
                // Without a store there is nothing on the disk that it would be taken off.
                if self.worker.is_some() {
                    self.compaction.add(compaction);
                }
            }
        }
        let Some(worker) = &mut self.worker else {
            return Vec::new();
        };
        let table = self.replica.log_store().table();
        let synced = self.compaction.give(worker, self.reserve, table);
        self.replica.snapshot_synced(&synced)
    }

    /// Takes in the worker's word of what is on the disk: what peers are to be told of it.
    pub fn take_completions(&mut self, now: Micros) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        while let Some(done) = self.worker.as_mut().and_then(StoreWorker::completion) {
            outgoing.extend(self.settle(&done));
        }
        outgoing.extend(self.compact(now));
        outgoing
    }

    /// Takes in what became of writes.
    fn settle(&mut self, done: &Completion) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        while let Some((log, index)) = next_written(&mut self.in_flight, done.through) {
            match done.result {
                Ok(()) => outgoing.extend(self.replica.synced(log, index)),
                Err(_) => self.replica.sync_failed(log, index),
            }
        }
        self.compaction.settle(done);
        outgoing
    }

    /// When `tick` is due.
    pub fn due(&self) -> Micros {
        self.replica.due()
    }

    /// What to tell which peer now. What the disk did not take is given to it again.
    pub fn tick(&mut self, now: Micros) -> Vec<Outgoing> {
        if self.room() > 0 {
            self.replica
                .take_failed()
                .iter()
                .for_each(|entry| self.write(entry));
        }
        if now >= self.expires {
            self.expires = now + EXPIRE_PERIOD_US;
            for entry in self.replica.expire(now) {
                // One that finds no room there is found by the next process.
                if let Some(worker) = &mut self.worker {
                    worker.submit(codec::remove(&entry));
                }
            }
        }
        self.compaction.retry();
        let mut outgoing = self.compact(now);
        outgoing.extend(self.replica.tick(now));
        outgoing
    }

    /// The process ends in order: the next one goes on with this life, if the disk has all of it. Waits for the disk.
    pub fn close(self) -> Result<(), LedgerError> {
        let Ledger {
            worker,
            mut replica,
            mut in_flight,
            ..
        } = self;
        let Some(worker) = worker else { return Ok(()) };
        let (mut store, last) = worker.close().ok_or(LedgerError::WorkerEnded)?;
        for done in last {
            while let Some((log, index)) = next_written(&mut in_flight, done.through) {
                if done.result.is_ok() {
                    replica.synced(log, index);
                }
            }
        }
        if !replica.is_synced() {
            return Err(LedgerError::Unsynced);
        }
        Ok(store.commit(&[identity::closed()])?)
    }

    /// Ends the worker and leaves the store as a crash does, not closed: for tests.
    #[doc(hidden)]
    pub fn abandon(self) {
        drop(self.worker.map(StoreWorker::close));
    }
}
