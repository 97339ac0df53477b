//! Opens a ledger on its store, with the import of an earlier version's file, and closes it.

use super::compaction::CompactionWriter;
use super::identity::{self, Identity};
use super::in_flight::InFlightEntries;
use super::legacy::{self, LegacyFile};
use super::table::StoredTable;
use super::{codec, purge_subject, Bounds, Ledger, LedgerError};
use crate::peers::Purge;
use linnetknot::Micros;
use linnetknot_replication::{Capacity, LogId, LogStore, Record, Replica, Subject, Writer};
use linnetknot_store::{Store, StoreError, StoreWorker, Write};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// The queue capacity of the worker is divided by this to get the part that compaction leaves free for log entries.
const RESERVE_DIVISOR: usize = 2;

/// Appends imported purges that belong to no log to the log of this writer. Returns the writes that store the new
/// entries.
fn import_purges(
    store: &mut LogStore,
    own: LogId,
    purges: Vec<Purge>,
) -> Result<Vec<Write>, LedgerError> {
    let mut latest = BTreeMap::<Subject, Micros>::new();
    for Purge { object, group, at } in purges {
        let subject = purge_subject(object.as_deref(), group);
        let known = latest.entry(subject).or_default();
        *known = at.max(*known);
    }
    let mut writes = Vec::new();
    for (subject, at) in latest {
        if store
            .latest_entry_time(&subject)
            .is_none_or(|known| known < at)
        {
            let record = Record {
                subject,
                at,
                revoked: false,
            };
            let entry = store.append(own, record, Capacity::UNLIMITED)?;
            writes.push(codec::put(&entry));
        }
    }
    Ok(writes)
}

impl Ledger {
    /// Opens or creates the store. A file of an earlier version is renamed to `FILE.old` and imported. `wake` is called
    /// on the worker's thread for each completion (`take_completions`).
    pub fn open(
        path: &Path,
        writer: Writer,
        now: Micros,
        bounds: Bounds,
        wake: impl Fn() + Send + 'static,
    ) -> Result<Self, LedgerError> {
        let legacy = legacy::rename_legacy(path)?;
        Self::open_on(Store::open(path)?, legacy, writer, now, bounds, wake)
    }

    /// Does the same as `open`, but with a store that is already open and, if there is one, the renamed file of an
    /// earlier version. For tests.
    #[doc(hidden)]
    pub fn open_on(
        mut store: Store,
        legacy: Option<PathBuf>,
        writer: Writer,
        now: Micros,
        bounds: Bounds,
        wake: impl Fn() + Send + 'static,
    ) -> Result<Self, LedgerError> {
        let stored = StoredTable::load(&mut store, bounds.bucket_bits)?;
        let identity = Identity::load(&mut store, now)?;
        let mut entries = codec::read_all(&store.scan(codec::ENTRIES)?)?;
        let mut imported = LegacyFile::default();
        if let Some(legacy) = legacy.filter(|_| identity.is_fresh) {
            imported = LegacyFile::read(&legacy)?;
        }
        let mut writes: Vec<Write> = imported.entries.iter().map(codec::put).collect();
        entries.append(&mut imported.entries);
        let own = LogId::new(writer, identity.epoch);
        let mut log_store = LogStore::restore(stored.table, &stored.markers, entries)
            .map_err(|e| StoreError::Damaged(e.to_string()))?;
        log_store.restart_expiry(now);
        writes.extend(import_purges(&mut log_store, own, imported.purges)?);
        writes.extend(stored.resize);
        writes.extend(identity.writes());
        // The writes are atomic: after a crash, either all are stored or the import is repeated.
        store.commit(&writes)?;
        let replica = Replica::new(own, log_store, identity.incarnation, bounds.replication);
        let worker =
            StoreWorker::start("store", store, bounds.queue, wake).map_err(LedgerError::Worker)?;
        let mut ledger = Self::new(replica, identity, bounds);
        ledger.worker = Some(worker);
        ledger.compaction = CompactionWriter::new(stored.has_header);
        Ok(ledger)
    }

    /// Creates a ledger whose store can't be opened yet. It receives the entries of its peers without acknowledging
    /// them, and nothing can be appended to it.
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
            in_flight: InFlightEntries::default(),
            compaction: CompactionWriter::new(false),
            reserve: bounds.queue / RESERVE_DIVISOR,
            next_expiry: 0,
        }
    }

    /// Closes the store at the end of the process. Blocks until all writes are done. The next process continues this
    /// log if all of it is durable.
    pub fn close(self) -> Result<(), LedgerError> {
        let Ledger {
            worker,
            mut replica,
            mut in_flight,
            ..
        } = self;
        let Some(worker) = worker else { return Ok(()) };
        let (mut store, completions) = worker.close().ok_or(LedgerError::WorkerEnded)?;
        for completion in completions {
            for entry in in_flight.take_through(completion.through) {
                if completion.result.is_ok() {
                    replica.record_synced(entry.log, entry.index);
                }
            }
        }
        if !replica.is_synced() {
            return Err(LedgerError::Unsynced);
        }
        Ok(store.commit(&[identity::put_closed()])?)
    }

    /// Ends the worker and leaves the store as after a crash, without closing it. For tests.
    #[doc(hidden)]
    pub fn simulate_crash(self) {
        drop(self.worker.map(StoreWorker::close));
    }
}
