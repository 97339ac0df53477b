//! Queries of a log store: positions in logs, live entries and effective purges.

use super::{EntryKey, LogStore, Record, SubjectKey};
use crate::{CompactedLog, Entry, Index, LogId, LogPosition, Micros, Subject};
use linnetknot_purges::CompactTable;

impl LogStore {
    /// Returns the last index of a log, or 0 if there is no such log.
    pub fn last_index(&self, log: LogId) -> Index {
        self.progress
            .get(&log)
            .map_or(0, |progress| progress.last_index)
    }

    /// Returns the last indexes of all logs.
    pub fn last_indexes(&self) -> Vec<LogPosition> {
        let position = |(log, progress): (&LogId, &super::LogProgress)| LogPosition {
            log: *log,
            index: progress.last_index,
        };
        self.progress.iter().map(position).collect()
    }

    /// Returns the index through which a log is compacted, or 0 if it is not.
    pub fn compacted_through(&self, log: LogId) -> Index {
        self.progress
            .get(&log)
            .map_or(0, |progress| progress.compacted)
    }

    /// Returns the compacted logs, starting with `from`.
    pub fn compacted_logs(&self, from: LogId) -> impl Iterator<Item = CompactedLog> + '_ {
        let logs = self.progress.range(from..);
        let compacted = logs.filter(|(_, progress)| progress.compacted > 0);
        compacted.map(|(log, progress)| CompactedLog {
            log: *log,
            through: progress.compacted,
        })
    }

    /// Returns the table of compacted purges.
    pub fn table(&self) -> &CompactTable {
        &self.table
    }

    /// Returns the number of logs.
    pub fn log_count(&self) -> usize {
        self.progress.len()
    }

    /// Returns a checksum over the ids and last indexes of all logs. Equal log stores have equal checksums, and
    /// different ones hardly ever do.
    pub fn checksum(&self) -> u64 {
        self.checksum
    }

    /// Returns the live entries of a log after an index, in order.
    pub fn entries_after(&self, log: LogId, index: Index) -> impl Iterator<Item = Entry> + '_ {
        let next = EntryKey {
            log,
            index: index.saturating_add(1),
        };
        let mut live_before = self.live_before(next);
        let compacted = self.compacted_through(log);
        self.live_after(log, index).map(move |(key, record)| {
            let prev = live_before.max(compacted.min(key.index - 1));
            live_before = key.index;
            record.clone().into_entry(*key, prev)
        })
    }

    /// Returns the live records of a log after an index, in order.
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

    /// Returns the live entries of a log through an index. Their `prev` is not set.
    pub(super) fn live_through(
        &self,
        log: LogId,
        through: Index,
    ) -> impl Iterator<Item = Entry> + '_ {
        let first = EntryKey { log, index: 0 };
        let last = EntryKey {
            log,
            index: through,
        };
        self.live
            .range(first..=last)
            .map(|(key, record)| record.clone().into_entry(*key, 0))
    }

    /// Returns the index of the last live entry before a position in its log, or 0 if there is none.
    fn live_before(&self, key: EntryKey) -> Index {
        let first = EntryKey { index: 0, ..key };
        let before = self.live.range(first..key).next_back();
        before.map_or(0, |(key, _)| key.index)
    }

    /// Returns the value of `prev` for an entry at a position.
    pub(super) fn prev_of(&self, key: EntryKey) -> Index {
        self.live_before(key)
            .max(self.compacted_through(key.log).min(key.index - 1))
    }

    /// Returns the index of the latest entry of a log for a subject.
    pub(crate) fn latest_index(&self, log: LogId, subject: &Subject) -> Option<Index> {
        let key = SubjectKey {
            subject: subject.clone(),
            log,
        };
        self.latest.get(&key).copied()
    }

    /// Returns the latest record of a log for a subject.
    pub(super) fn latest_in(&self, log: LogId, subject: &Subject) -> Option<&Record> {
        let index = self.latest_index(log, subject)?;
        self.live.get(&EntryKey { log, index })
    }

    /// Returns whether the entry at a position is the latest one of its log for the subject.
    pub(crate) fn is_latest(&self, key: EntryKey, subject: &Subject) -> bool {
        self.latest_index(key.log, subject) == Some(key.index)
    }

    /// Returns whether a log has a live entry for a subject.
    pub fn is_live(&self, log: LogId, subject: &Subject) -> bool {
        self.latest_in(log, subject).is_some()
    }

    /// Returns the time of the latest entry for a subject in any log. Compacted purges are not included.
    pub fn latest_entry_time(&self, subject: &Subject) -> Option<Micros> {
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

    /// Returns the time of the latest purge of a subject, from entries and the compact table. Copies that are older
    /// must not be served. The returned time may be later than that of the actual purge, but is never earlier.
    pub fn latest_purge(&self, subject: &Subject) -> Option<Micros> {
        let compacted = subject.purge_key().and_then(|key| self.table.latest(key));
        self.latest_entry_time(subject).max(compacted)
    }

    /// Returns all live entries by log, without purges that a later entry of the same log supersedes.
    pub fn entries(&self) -> impl Iterator<Item = Entry> + '_ {
        let logs = self.progress.keys();
        let entries = logs.flat_map(|log| self.entries_after(*log, 0));
        entries.filter(|entry| {
            let key = EntryKey {
                log: entry.log,
                index: entry.index,
            };
            self.is_latest(key, &entry.subject)
        })
    }

    /// Returns the number of stored entries, including superseded purges that are not compacted yet.
    pub fn len(&self) -> usize {
        self.live.len()
    }

    /// Returns the number of stored entries that do not expire.
    pub fn exact_len(&self) -> usize {
        self.live.len() - self.expiring
    }

    /// Returns whether the store contains no entries.
    pub fn is_empty(&self) -> bool {
        self.live.is_empty()
    }
}
