//! Compaction moves the oldest purges of the logs to a table of fixed size.
//!
//! Every log has a compacted index. Each purge through this index is in the table, unless a later entry of the log
//! supersedes it. Entries that are not purges stay in the log. A replica whose position is before the compacted index
//! can't catch up entry by entry, and receives a snapshot of the table first.

use crate::log_store::EntryKey;
use crate::{snapshot, Entry, Index, LogId, LogStore, Micros};
use linnetknot_purges::BucketIndex;
use std::collections::{BTreeMap, BTreeSet};

/// A log and its compacted index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CompactedLog {
    /// The id of the log.
    pub log: LogId,
    /// The compacted index. Each purge through it is in the table or superseded.
    pub through: Index,
}

/// The changes of one compaction step, which the caller must write to the local disk.
///
/// The buckets must be written before the compacted indexes, or atomically with them. Only after both are synced may
/// the entries be deleted. An entry whose subject is live again ([`LogStore::is_live`]) must not be deleted, because
/// the disk stores the later entry under the same key. After a crash between these writes the entries are restored and
/// compacted again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Compaction {
    /// The changed buckets, whose content is in [`LogStore::table`].
    pub buckets: Vec<BucketIndex>,
    /// The logs whose compacted index was raised, with the new index.
    pub logs: Vec<CompactedLog>,
    /// The purges that were moved to the table.
    pub entries: Vec<Entry>,
}

/// A step moves the maximum number of entries divided by this.
const STEP_DIVISOR: usize = 8;

impl LogStore {
    /// Moves the oldest purges of each log to the table until about seven eighths of `max_entries` are left. `durable`
    /// contains the durable index of each log. Entries after it are not moved, and neither is the last entry of a log.
    /// Returns `None` if nothing could be moved.
    pub(crate) fn compact(
        &mut self,
        now: Micros,
        max_entries: usize,
        durable: &BTreeMap<LogId, Index>,
    ) -> Option<Compaction> {
        let excess = self.exact_len().saturating_sub(max_entries);
        let mut times = self.movable_times(durable);
        let mut step = excess + (max_entries / STEP_DIVISOR).max(1);
        while !times.is_empty() {
            let nth = step.min(times.len()) - 1;
            let cutoff = *times.select_nth_unstable(nth).1;
            let compaction = self.move_until(now, cutoff, durable);
            if !compaction.entries.is_empty() {
                return Some(compaction);
            }
            // With this cutoff, each log has a newer purge before all of its older ones, so none can be moved. Retry
            // with a later cutoff.
            if step >= times.len() {
                return None;
            }
            step *= 2;
        }
        None
    }

    /// Returns the times of all purges that may be moved.
    fn movable_times(&self, durable: &BTreeMap<LogId, Index>) -> Vec<Micros> {
        let mut times = Vec::with_capacity(self.live.len());
        // Entries are ordered by log, so the bound is looked up once per log.
        let mut bound = EntryKey {
            log: LogId::default(),
            index: 0,
        };
        let purges = self
            .live
            .iter()
            .filter(|(_, record)| record.subject.is_purge());
        for (key, record) in purges {
            if key.log != bound.log {
                let durable = durable.get(&key.log).copied().unwrap_or(0);
                bound = EntryKey {
                    log: key.log,
                    index: durable.min(self.last_index(key.log).saturating_sub(1)),
                };
            }
            if key.index <= bound.index {
                times.push(record.at);
            }
        }
        times
    }

    /// Moves the purges of each log that precede its first purge later than `cutoff`.
    fn move_until(
        &mut self,
        now: Micros,
        cutoff: Micros,
        durable: &BTreeMap<LogId, Index>,
    ) -> Compaction {
        let mut compaction = Compaction::default();
        let mut buckets = BTreeSet::new();
        for (log, durable) in durable {
            let through = self.movable_through(*log, cutoff, *durable);
            let keys = self.purges_through(*log, through.min(*durable));
            if keys.is_empty() {
                continue;
            }
            let superseded = self.superseded(&keys, *durable);
            let entries: Vec<Entry> = keys
                .into_iter()
                .filter_map(|key| self.remove(key))
                .collect();
            self.raise_compacted_index(*log, through);
            compaction.logs.push(CompactedLog { log: *log, through });
            let unsuperseded = entries
                .iter()
                .filter(|entry| !superseded.contains(&entry.index));
            buckets.extend(unsuperseded.filter_map(|entry| self.record_in_table(now, entry)));
            compaction.entries.extend(entries);
        }
        compaction.buckets = buckets.into_iter().collect();
        compaction
    }

    /// Returns the index through which a log can be compacted for a cutoff time.
    fn movable_through(&self, log: LogId, cutoff: Micros, durable: Index) -> Index {
        let mut through = self.compacted_through(log);
        let last_index = self.last_index(log);
        for (key, record) in self.live_after(log, through) {
            if key.index > durable || key.index == last_index {
                break;
            }
            if record.subject.is_purge() {
                if record.at > cutoff {
                    break;
                }
                through = key.index;
            } else if !snapshot::fits(&record.subject) {
                break;
            }
        }
        through
    }

    /// Returns the keys of the purges of a log through an index.
    fn purges_through(&self, log: LogId, through: Index) -> Vec<EntryKey> {
        let keys = EntryKey { log, index: 0 }..=EntryKey {
            log,
            index: through,
        };
        let purges = self
            .live
            .range(keys)
            .filter(|(_, record)| record.subject.is_purge());
        purges.map(|(key, _)| *key).collect()
    }

    /// Returns which of these purges are superseded by a later, durable purge of the same log. They are not recorded in
    /// the table, so that an object that is purged repeatedly does not fill a bucket.
    fn superseded(&self, keys: &[EntryKey], durable: Index) -> BTreeSet<Index> {
        let is_superseded = |key: &&EntryKey| {
            let at = |key: EntryKey| self.live.get(&key).map(|record| record.at);
            let subject = self.live.get(key).map(|record| &record.subject);
            let latest = subject.and_then(|subject| self.latest_index(key.log, subject));
            let latest = latest.filter(|latest| key.index < *latest && *latest <= durable);
            latest.is_some_and(|index| at(EntryKey { index, ..**key }) >= at(**key))
        };
        keys.iter()
            .filter(is_superseded)
            .map(|key| key.index)
            .collect()
    }

    /// Records a purge in the table, with a time of at most `now`. The clock that gave the purge its time may be ahead.
    /// Limiting the time is safe, because copies fetched from now on are newer than the purge.
    pub(crate) fn record_in_table(&mut self, now: Micros, entry: &Entry) -> Option<BucketIndex> {
        let key = entry.subject.purge_key()?;
        Some(self.table.record(key, entry.at.min(now)))
    }
}
