//! The logs that a proxy has: each complete through some index, less the entries that later ones superseded and those
//! that were compacted.

mod capacity;
mod decisions;
mod queries;
mod statuses;

pub use capacity::{Capacity, CapacityExceeded, DuplicateIndex, Insertion};

use crate::{CompactedLog, Entry, Index, LogId, Micros, Subject};
use linnetknot_purges::{BucketBits, CompactTable};
use std::collections::BTreeMap;

/// How far a log is stored and compacted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Progress {
    /// All entries through this index are stored, were superseded or are in the table.
    through: Index,
    /// All purges through this index that were not superseded are in the table.
    compacted: Index,
}

/// The position of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct EntryKey {
    pub(crate) log: LogId,
    pub(crate) index: Index,
}

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Record {
    /// The subject.
    pub subject: Subject,
    /// When it was purged, decided or reported.
    pub at: Micros,
    /// Whether an operators' decision is revoked; a purge never is.
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

/// A subject in a log. Ordered by the subject first, so that all logs' entries on one subject are adjacent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct SubjectKey {
    subject: Subject,
    log: LogId,
}

impl SubjectKey {
    /// The first key of a subject, whichever log it is in.
    fn first(subject: Subject) -> Self {
        SubjectKey {
            subject,
            log: LogId::default(),
        }
    }
}

/// Logs by writer and epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LogStore {
    progress: BTreeMap<LogId, Progress>,
    /// Entries in force, and purges that were superseded and are not compacted yet.
    pub(crate) live: BTreeMap<EntryKey, Record>,
    /// The index of the last entry in force of each log on each subject.
    latest: BTreeMap<SubjectKey, Index>,
    /// The number of entries that expire.
    expiring: usize,
    /// When the entries that expire and that another process wrote were first seen by this one, by its own clock.
    first_seen: BTreeMap<EntryKey, Micros>,
    /// The compacted purges.
    pub(crate) table: CompactTable,
    checksum: u64,
}

impl Default for LogStore {
    fn default() -> Self {
        LogStore::new(BucketBits::DEFAULT)
    }
}

/// Returns a log's part of the checksum by which two log stores are compared.
fn checksum_part(log: LogId, through: Index) -> u64 {
    let mut x = log.writer.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ log.epoch.rotate_left(31);
    for by in [through, 0x94d0_49bb_1331_11eb] {
        x = (x ^ (x >> 30) ^ by).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x ^= x >> 27;
    }
    x
}

impl LogStore {
    /// No logs, and an empty table of a size.
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

    /// Restores the logs that a process finds on its disk: the table, through which indexes the logs were compacted, and
    /// the entries, in any order and with any `prev`. Purges that were compacted and are still on the disk are stored
    /// until they are compacted again.
    ///
    /// # Errors
    /// Fails if two entries have the same position.
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
            store.set_compacted(*log, *through);
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

    /// Appends an entry to a log that is written here. A purge is never earlier than the one that it supersedes.
    ///
    /// # Errors
    /// Fails if the capacity for entries of this kind is exhausted.
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
        // The bound of logs is for those of others.
        let capacity = Capacity {
            logs: usize::MAX,
            ..capacity
        };
        match self.try_insert(&entry, capacity) {
            Insertion::New => Ok(entry),
            _ => Err(CapacityExceeded),
        }
    }

    /// Stores an entry if it is the next one of its log.
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

    /// Stores an entry that came with a snapshot, within the index to which the snapshot raised its log. Returns whether
    /// the entry is newly in force.
    pub(crate) fn take_retained(&mut self, entry: &Entry) -> bool {
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

    /// Puts an entry in force, in place of the one that it supersedes. A superseded purge stays until it is compacted: a
    /// peer that is behind both receives both, so that it has the purge whichever of them arrives.
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

    /// Removes an entry from those in force.
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

    /// Raises a log's last index.
    pub(crate) fn raise_last_index(&mut self, log: LogId, through: Index) {
        let progress = self.progress.entry(log).or_default();
        if through <= progress.through {
            return;
        }
        if progress.through > 0 {
            self.checksum = self
                .checksum
                .wrapping_sub(checksum_part(log, progress.through));
        }
        self.checksum = self.checksum.wrapping_add(checksum_part(log, through));
        progress.through = through;
    }

    /// Raises the index through which a log is compacted.
    pub(crate) fn set_compacted(&mut self, log: LogId, through: Index) {
        let progress = self.progress.entry(log).or_default();
        progress.compacted = progress.compacted.max(through);
    }

    /// Records a purge in the table, too, if its log is compacted through its index.
    fn record_if_compacted(&mut self, entry: &Entry) {
        if entry.index <= self.compacted_through(entry.log) {
            self.record(Micros::MAX, entry);
        }
    }

    /// Raises a log to the index through which a snapshot covers it. The purges of it that are stored so far are recorded
    /// in the table, too.
    pub(crate) fn raise_to_snapshot(&mut self, log: LogId, through: Index) {
        self.raise_last_index(log, through);
        self.set_compacted(log, through);
        let stored: Vec<Entry> = self.live_through(log, through).collect();
        stored
            .iter()
            .for_each(|entry| self.record_if_compacted(entry));
    }
}
