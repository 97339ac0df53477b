//! The logs that a proxy stores. Each log is complete through its last index, except for entries that were superseded,
//! expired or compacted. The remaining entries are live.

mod capacity;
mod decisions;
mod queries;
mod statuses;

pub use capacity::{Capacity, CapacityExceeded, DuplicateIndex, Insertion};

use crate::{CompactedLog, Entry, Index, LogId, Micros, Subject};
use linnetknot_purges::{BucketBits, CompactTable};
use std::collections::BTreeMap;

/// The last and compacted indexes of a log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct LogProgress {
    /// The last index. All entries through it are stored, superseded, expired or compacted.
    last_index: Index,
    /// The compacted index. All purges through it that were not superseded are in the table.
    compacted: Index,
}

/// The log and index of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct EntryKey {
    pub(crate) log: LogId,
    pub(crate) index: Index,
}

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Record {
    /// The subject of the entry.
    pub subject: Subject,
    /// The time of the purge, decision or status report.
    pub at: Micros,
    /// Whether the entry revokes an operator decision. Always false for purges.
    pub revoked: bool,
}

impl Record {
    pub(crate) fn into_entry(self, key: EntryKey, prev: Index) -> Entry {
        let Record {
            subject,
            at,
            revoked,
        } = self;
        Entry {
            log: key.log,
            index: key.index,
            prev,
            subject,
            at,
            revoked,
        }
    }
}

/// A subject in a log. Ordered by subject first, so that the entries of all logs for one subject are adjacent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct SubjectKey {
    subject: Subject,
    log: LogId,
}

impl SubjectKey {
    /// Returns the least key of a subject in any log.
    fn first(subject: Subject) -> Self {
        SubjectKey {
            subject,
            log: LogId::default(),
        }
    }
}

/// The logs that a proxy stores, with an index by subject and the table of compacted purges.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LogStore {
    progress: BTreeMap<LogId, LogProgress>,
    /// Live entries, and superseded purges that are not compacted yet.
    pub(crate) live: BTreeMap<EntryKey, Record>,
    /// The index of the latest entry of each log for each subject.
    latest: BTreeMap<SubjectKey, Index>,
    /// The number of entries that expire.
    expiring: usize,
    /// The times at which this process first received expiring entries of other processes, by its own clock.
    first_seen: BTreeMap<EntryKey, Micros>,
    /// The older purges, which are no longer held as entries.
    pub(crate) table: CompactTable,
    checksum: u64,
}

impl Default for LogStore {
    fn default() -> Self {
        LogStore::new(BucketBits::DEFAULT)
    }
}

/// Returns the contribution of a log to the checksum of a log store.
fn checksum_part(log: LogId, through: Index) -> u64 {
    let mut x = log.writer.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ log.epoch.rotate_left(31);
    for by in [through, 0x94d0_49bb_1331_11eb] {
        x = (x ^ (x >> 30) ^ by).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x ^= x >> 27;
    }
    x
}

impl LogStore {
    /// Creates a store without logs, and with an empty table of the given size.
    pub fn new(bucket_bits: BucketBits) -> Self {
        LogStore {
            progress: BTreeMap::new(),
            live: BTreeMap::new(),
            latest: BTreeMap::new(),
            expiring: 0,
            first_seen: BTreeMap::new(),
            table: CompactTable::new(bucket_bits),
            checksum: 0,
        }
    }

    /// Restores a store from the table, the compacted indexes and the entries on the disk. The entries may be in any
    /// order, and their `prev` is ignored. Compacted purges that are still on the disk are stored until they are
    /// compacted again.
    ///
    /// # Errors
    /// Fails if two entries have the same index in a log.
    pub fn restore(
        table: CompactTable,
        compacted: &[CompactedLog],
        mut entries: Vec<Entry>,
    ) -> Result<Self, DuplicateIndex> {
        let mut store = LogStore {
            table,
            ..LogStore::default()
        };
        for CompactedLog { log, through } in compacted {
            store.raise_compacted_index(*log, *through);
            store.raise_last_index(*log, *through);
        }
        entries.sort_unstable_by_key(|entry| EntryKey {
            log: entry.log,
            index: entry.index,
        });
        for entry in entries {
            let key = EntryKey {
                log: entry.log,
                index: entry.index,
            };
            if store.live.contains_key(&key) {
                return Err(DuplicateIndex {
                    log: entry.log,
                    index: entry.index,
                });
            }
            store.raise_last_index(entry.log, entry.index);
            store.record_if_compacted(&entry);
            store.insert(entry);
        }
        Ok(store)
    }

    /// Appends an entry to a log of this writer. If it supersedes a purge with a later time, it takes over that time.
    ///
    /// # Errors
    /// Fails if the capacity for entries of this kind is exceeded.
    pub fn append(
        &mut self,
        log: LogId,
        record: Record,
        capacity: Capacity,
    ) -> Result<Entry, CapacityExceeded> {
        let Record {
            subject,
            at,
            revoked,
        } = record;
        let prev = self.prev_of(EntryKey {
            log,
            index: Index::MAX,
        });
        let superseded = self.latest_in(log, &subject).filter(|_| subject.is_purge());
        let at = at.max(superseded.map_or(0, |record| record.at));
        let entry = Entry {
            log,
            index: self.last_index(log) + 1,
            prev,
            subject,
            at,
            revoked,
        };
        // The limit on the number of logs does not apply to a writer's own log.
        let capacity = Capacity {
            logs: usize::MAX,
            ..capacity
        };
        match self.try_insert(&entry, capacity) {
            Insertion::New => Ok(entry),
            _ => Err(CapacityExceeded),
        }
    }

    /// Inserts an entry if it is the next one of its log and the capacity is not exceeded.
    pub fn try_insert(&mut self, entry: &Entry, capacity: Capacity) -> Insertion {
        let last_index = self.last_index(entry.log);
        if entry.index <= last_index {
            return Insertion::Duplicate;
        }
        if entry.prev > last_index {
            return Insertion::OutOfOrder;
        }
        let replaces = !entry.subject.is_purge() && self.is_live(entry.log, &entry.subject);
        let is_full = if entry.subject.is_expiring() {
            self.expiring >= capacity.expiring_entries
        } else {
            self.exact_len() >= capacity.entries
        };
        let is_new_log = !self.progress.contains_key(&entry.log);
        if is_new_log && self.progress.len() >= capacity.logs || !replaces && is_full {
            return Insertion::Rejected(CapacityExceeded);
        }
        self.raise_last_index(entry.log, entry.index);
        self.insert(entry.clone());
        Insertion::New
    }

    /// Inserts an entry that was received with a snapshot, unless it is superseded or its index is after the last index
    /// to which the snapshot has advanced the log. Returns whether the entry was inserted.
    pub(crate) fn insert_retained(&mut self, entry: &Entry) -> bool {
        let key = SubjectKey {
            subject: entry.subject.clone(),
            log: entry.log,
        };
        let is_superseded = self
            .latest
            .get(&key)
            .is_some_and(|index| *index >= entry.index);
        if is_superseded || entry.index > self.last_index(entry.log) {
            return false;
        }
        self.insert(entry.clone());
        true
    }

    /// Inserts an entry. The entry that it supersedes is removed, except for a purge, which is kept until it is
    /// compacted. A peer that is missing both purges then receives the subject's purge even if one of the two datagrams
    /// is lost.
    fn insert(&mut self, entry: Entry) {
        let Entry {
            log,
            index,
            subject,
            at,
            revoked,
            ..
        } = entry;
        let key = SubjectKey {
            subject: subject.clone(),
            log,
        };
        if let Some(superseded) = self
            .latest
            .get(&key)
            .copied()
            .filter(|_| !subject.is_purge())
        {
            self.remove(EntryKey {
                log,
                index: superseded,
            });
        }
        self.expiring += usize::from(subject.is_expiring());
        self.latest.insert(key, index);
        self.live.insert(
            EntryKey { log, index },
            Record {
                subject,
                at,
                revoked,
            },
        );
    }

    /// Removes an entry, and returns it if it was stored.
    pub(crate) fn remove(&mut self, key: EntryKey) -> Option<Entry> {
        let record = self.live.remove(&key)?;
        self.first_seen.remove(&key);
        self.expiring -= usize::from(record.subject.is_expiring());
        let subject_key = SubjectKey {
            subject: record.subject.clone(),
            log: key.log,
        };
        if self.latest.get(&subject_key) == Some(&key.index) {
            self.latest.remove(&subject_key);
        }
        Some(record.into_entry(key, 0))
    }

    /// Raises the last index of a log.
    pub(crate) fn raise_last_index(&mut self, log: LogId, through: Index) {
        let progress = self.progress.entry(log).or_default();
        if through <= progress.last_index {
            return;
        }
        if progress.last_index > 0 {
            self.checksum = self
                .checksum
                .wrapping_sub(checksum_part(log, progress.last_index));
        }
        self.checksum = self.checksum.wrapping_add(checksum_part(log, through));
        progress.last_index = through;
    }

    /// Raises the index through which a log is compacted.
    pub(crate) fn raise_compacted_index(&mut self, log: LogId, through: Index) {
        let progress = self.progress.entry(log).or_default();
        progress.compacted = progress.compacted.max(through);
    }

    /// Records a purge in the table if its index is within the compacted index of its log.
    fn record_if_compacted(&mut self, entry: &Entry) {
        if entry.index <= self.compacted_through(entry.log) {
            self.record_in_table(Micros::MAX, entry);
        }
    }

    /// Advances a log to the compacted index of a snapshot, and records its stored purges through that index in the
    /// table.
    pub(crate) fn advance_to_snapshot(&mut self, log: LogId, through: Index) {
        self.raise_last_index(log, through);
        self.raise_compacted_index(log, through);
        let stored: Vec<Entry> = self.live_through(log, through).collect();
        stored
            .iter()
            .for_each(|entry| self.record_if_compacted(entry));
    }
}
