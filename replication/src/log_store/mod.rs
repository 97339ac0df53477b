//! The logs that a proxy has: each without holes up to some index, less what later entries superseded and what was
//! compacted.

mod capacity;
mod decisions;
mod queries;
mod statuses;

pub use capacity::{Capacity, CapacityExceeded, DuplicateIndex, Insertion};

use crate::{CompactedLog, Entry, Index, LogId, Micros, Subject};
use linnetknot_purges::{BucketBits, CompactTable};
use std::collections::BTreeMap;

/// How far a log is had.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Track {
    /// All entries up to here are had, were superseded or are in the table.
    through: Index,
    /// All purges up to here that were not superseded are in the table.
    compacted: Index,
}

/// An entry by its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct EntryKey {
    pub(crate) log: LogId,
    pub(crate) index: Index,
}

/// What stands at a place of a log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Record {
    pub(crate) subject: Subject,
    pub(crate) at: Micros,
    pub(crate) revoked: bool,
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

/// What a log says of a subject. Ordered by the subject first, so that all logs' entries of one stand together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct SubjectKey {
    subject: Subject,
    log: LogId,
}

impl SubjectKey {
    /// Before the key of any log.
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
    tracks: BTreeMap<LogId, Track>,
    /// Entries in force.
    pub(crate) live: BTreeMap<EntryKey, Record>,
    /// Where the last entry in force of each log on each subject stands.
    latest: BTreeMap<SubjectKey, Index>,
    /// Those of them that are of use for a time only.
    expiring: usize,
    /// All older purges.
    pub(crate) table: CompactTable,
    sum: u64,
}

impl Default for LogStore {
    fn default() -> Self {
        LogStore::new(BucketBits::DEFAULT)
    }
}

/// A log's part of the sum by which two log stores are compared.
fn part(log: LogId, through: Index) -> u64 {
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
            tracks: BTreeMap::new(),
            live: BTreeMap::new(),
            latest: BTreeMap::new(),
            expiring: 0,
            table: CompactTable::new(bucket_bits),
            sum: 0,
        }
    }

    /// The logs that a process finds on its disk: the table, through which indexes logs were compacted, and the entries,
    /// in any order and with any `prev`. Purges that were compacted and are still on the disk are held until they are
    /// compacted again.
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

    /// Adds the next entry of a log that is written here. A purge is never earlier than the one that it supersedes.
    pub fn append(
        &mut self,
        log: LogId,
        (subject, at, revoked): (Subject, Micros, bool),
        capacity: Capacity,
    ) -> Result<Entry, CapacityExceeded> {
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
        // A log of one's own is always had in full.
        match self.take(
            &entry,
            Capacity {
                logs: usize::MAX,
                ..capacity
            },
        ) {
            Insertion::New => Ok(entry),
            _ => Err(CapacityExceeded),
        }
    }

    /// Takes an entry in, if it is the next one of its log.
    pub fn take(&mut self, entry: &Entry, capacity: Capacity) -> Insertion {
        let have = self.last_index(entry.log);
        if entry.index <= have {
            return Insertion::Known;
        }
        if entry.prev > have {
            return Insertion::OutOfOrder;
        }
        let replaces = !entry.subject.is_purge() && self.is_live(entry.log, &entry.subject);
        let full = match entry.subject.is_expiring() {
            true => self.expiring >= capacity.expiring,
            false => self.exact_len() >= capacity.entries,
        };
        let is_new_log = !self.tracks.contains_key(&entry.log);
        if is_new_log && self.tracks.len() >= capacity.logs || !replaces && full {
            return Insertion::Rejected(CapacityExceeded);
        }
        self.raise_last_index(entry.log, entry.index);
        self.insert(entry.clone());
        Insertion::New
    }

    /// Takes in an entry that a snapshot brought, which stands through the index to which that raised its log. True where
    /// it is in force now, and was not.
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

    /// Puts an entry in force, in place of the one that it supersedes. A purge that is superseded stays until it is
    /// compacted: a peer that is behind both gets both, so that it has a floor whichever of them comes.
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

    /// Takes an entry out of those in force.
    pub(crate) fn remove(&mut self, key: EntryKey) -> Option<Entry> {
        let record = self.live.remove(&key)?;
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

    /// Raises the index up to which a log is had.
    pub(crate) fn raise_last_index(&mut self, log: LogId, through: Index) {
        let track = self.tracks.entry(log).or_default();
        if through <= track.through {
            return;
        }
        if track.through > 0 {
            self.sum = self.sum.wrapping_sub(part(log, track.through));
        }
        self.sum = self.sum.wrapping_add(part(log, through));
        track.through = through;
    }

    /// Raises the index through which a log is compacted.
    pub(crate) fn set_compacted(&mut self, log: LogId, through: Index) {
        let track = self.tracks.entry(log).or_default();
        track.compacted = track.compacted.max(through);
    }

    /// A purge that stands where its log is compacted is in the table, too.
    fn record_if_compacted(&mut self, entry: &Entry) {
        if entry.index <= self.compacted(entry.log) {
            self.record(Micros::MAX, entry);
        }
    }

    /// Raises a log to the index through which the table has it from a snapshot. What is held of it so far is recorded
    /// in the table, too.
    pub(crate) fn raise_to_snapshot(&mut self, log: LogId, through: Index) {
        self.raise_last_index(log, through);
        self.set_compacted(log, through);
        let held: Vec<Entry> = self.live_through(log, through).collect();
        held.iter()
            .for_each(|entry| self.record_if_compacted(entry));
    }
}
