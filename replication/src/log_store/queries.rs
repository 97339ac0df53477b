//! What a log store answers: how far it has each log, and which entries and purges are in force.

use super::{EntryKey, LogStore, Record, SubjectKey};
use crate::{CompactedLog, Entry, Index, LogId, Micros, Subject};
use linnetknot_purges::CompactTable;

impl LogStore {
    /// Up to which index a log is had; 0: not at all.
    pub fn last_index(&self, log: LogId) -> Index {
        self.tracks.get(&log).map_or(0, |t| t.through)
    }

    /// All logs and how far they are had.
    pub fn last_indexes(&self) -> Vec<(LogId, Index)> {
        self.tracks
            .iter()
            .map(|(log, t)| (*log, t.through))
            .collect()
    }

    /// Through which index a log is compacted; 0: not at all.
    pub fn compacted(&self, log: LogId) -> Index {
        self.tracks.get(&log).map_or(0, |t| t.compacted)
    }

    /// The logs that are compacted, from one on.
    pub fn compacted_logs(&self, from: LogId) -> impl Iterator<Item = CompactedLog> + '_ {
        let tracks = self
            .tracks
            .range(from..)
            .filter(|(_, track)| track.compacted > 0);
        tracks.map(|(log, track)| CompactedLog {
            log: *log,
            through: track.compacted,
        })
    }

    /// The table with all older purges.
    pub fn table(&self) -> &CompactTable {
        &self.table
    }

    /// How many logs there are.
    pub fn logs(&self) -> usize {
        self.tracks.len()
    }

    /// A sum over all logs and their ends: equal log stores have equal ones, and others hardly ever.
    pub fn checksum(&self) -> u64 {
        self.sum
    }

    /// Entries in force of a log behind an index, in order.
    pub fn entries_after(&self, log: LogId, index: Index) -> impl Iterator<Item = Entry> + '_ {
        let before = EntryKey {
            log,
            index: index.saturating_add(1),
        };
        let mut live_before = self.live_before(before);
        let compacted = self.compacted(log);
        self.live_after(log, index).map(move |(key, record)| {
            let prev = live_before.max(compacted.min(key.index - 1));
            live_before = key.index;
            record.clone().into_entry(*key, prev)
        })
    }

    /// Entries in force of a log behind an index.
    pub(crate) fn live_after(
        &self,
        log: LogId,
        index: Index,
    ) -> impl Iterator<Item = (&EntryKey, &Record)> {
        let last = EntryKey {
            log,
            index: Index::MAX,
        };
        let first = EntryKey {
            log,
            index: index.saturating_add(1),
        };
        self.live
            .range(first..=last)
            .filter(move |_| index < Index::MAX)
    }

    /// The last entry in force before a place of its log.
    fn live_before(&self, key: EntryKey) -> Index {
        let first = EntryKey { index: 0, ..key };
        self.live
            .range(first..key)
            .next_back()
            .map_or(0, |(key, _)| key.index)
    }

    /// What a replica must have of a log to take the entry at a place next.
    pub(super) fn prev_of(&self, key: EntryKey) -> Index {
        self.live_before(key)
            .max(self.compacted(key.log).min(key.index - 1))
    }

    /// What a log says of a subject.
    pub(super) fn latest_in(&self, log: LogId, subject: &Subject) -> Option<&Record> {
        let index = self.latest_index(log, subject)?;
        self.live.get(&EntryKey { log, index })
    }

    /// Whether an entry of a log on a subject is in force.
    pub fn is_live(&self, log: LogId, subject: &Subject) -> bool {
        self.latest_in(log, subject).is_some()
    }

    /// When something was last purged, by whoever's log, as far as entries tell.
    pub fn latest(&self, subject: &Subject) -> Option<Micros> {
        let logs = self.latest.range(SubjectKey::first(subject.clone())..);
        let of_subject = logs.take_while(|(key, _)| key.subject == *subject);
        let keys = of_subject.map(|(key, index)| EntryKey {
            log: key.log,
            index: *index,
        });
        keys.filter_map(|key| self.live.get(&key))
            .map(|record| record.at)
            .max()
    }

    /// The time before which no copy may be served: no earlier than any purge of it, of the entries or of the table.
    pub fn effective(&self, subject: &Subject) -> Option<Micros> {
        let compacted = subject.purge_key().and_then(|key| self.table.latest(key));
        self.latest(subject).max(compacted)
    }

    /// All entries in force, log by log. Purges that a later one of their log supersedes are none of them.
    pub fn entries(&self) -> impl Iterator<Item = Entry> + '_ {
        let held = self
            .tracks
            .keys()
            .flat_map(|log| self.entries_after(*log, 0));
        held.filter(|entry| {
            let key = EntryKey {
                log: entry.log,
                index: entry.index,
            };
            self.is_latest(key, &entry.subject)
        })
    }

    /// How many entries are held, with purges that are superseded and not compacted yet.
    pub fn len(&self) -> usize {
        self.live.len()
    }

    /// How many of them hold for good.
    pub fn exact_len(&self) -> usize {
        self.live.len() - self.expiring
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.live.is_empty()
    }

    /// Whether no later entry of its log supersedes the one at a place.
    pub(crate) fn is_latest(&self, key: EntryKey, subject: &Subject) -> bool {
        self.latest_index(key.log, subject) == Some(key.index)
    }

    /// Where the last entry in force of a log on a subject stands.
    pub(crate) fn latest_index(&self, log: LogId, subject: &Subject) -> Option<Index> {
        self.latest
            .get(&SubjectKey {
                subject: subject.clone(),
                log,
            })
            .copied()
    }

    /// Entries in force of a log up to an index; `prev` is not told.
    pub(super) fn live_through(&self, log: LogId, through: Index) -> impl Iterator<Item = Entry> + '_ {
        let keys = EntryKey { log, index: 0 }..=EntryKey {
            log,
            index: through,
        };
        self.live
            .range(keys)
            .map(|(key, record)| record.clone().into_entry(*key, 0))
    }
}
