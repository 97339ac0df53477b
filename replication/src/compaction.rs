//! Compaction: the oldest purges of the logs are moved to a table of fixed size.
//!
//! For every log there is an index, `compacted`, through which every purge that no later entry supersedes is in the
//! table; what is no purge stays. So a replica whose position in the log is before that index can't get the log entry
//! by entry any more, and is given a snapshot of the table first.

use crate::log_store::EntryKey;
use crate::{snapshot, Entry, Index, LogId, LogStore, Micros};
use linnetknot_purges::BucketIndex;
use std::collections::{BTreeMap, BTreeSet};

/// Through which index a log is compacted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CompactedLog {
    /// The log.
    pub log: LogId,
    /// Every purge through this index is in the table, or superseded.
    pub through: Index,
}

/// One step of compaction, for the disk. First the buckets and the logs' indexes are to be written, at once or in this
/// order. Only when these are synced the entries may be deleted ([`LogStore::is_live`] says which must stay, as their
/// key has a later entry by then). A process that ends in between finds the entries again, and moves them again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Compaction {
    /// Buckets that hold what was moved, to be read from [`LogStore::table`].
    pub buckets: Vec<BucketIndex>,
    /// How far these logs are compacted now.
    pub logs: Vec<CompactedLog>,
    /// Entries that were moved.
    pub entries: Vec<Entry>,
}

/// A step moves this part of the entries that may be held.
const STEP_DIVISOR: usize = 8;

impl LogStore {
    /// Moves the oldest purges to the table, so many that about seven eighths of `max_entries` are left, of each log
    /// those through some index. `durable` gives through which index a log is on the disk; nothing behind it is moved,
    /// nor is the last entry of a log. None: nothing could be moved.
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
            // In each log something younger stands before what is that old.
            if step >= times.len() {
                return None;
            }
            step *= 2;
        }
        None
    }

    /// The times of the purges that may be moved.
    fn movable_times(&self, durable: &BTreeMap<LogId, Index>) -> Vec<Micros> {
        let mut times = Vec::with_capacity(self.live.len());
        // Entries are in the order of their logs: the bound of each log is looked up once.
        let mut bound = (LogId::default(), 0);
        for (key, record) in self
            .live
            .iter()
            .filter(|(_, record)| record.subject.is_purge())
        {
            if key.log != bound.0 {
                let durable = durable.get(&key.log).copied().unwrap_or(0);
                bound = (
                    key.log,
                    durable.min(self.last_index(key.log).saturating_sub(1)),
                );
            }
            if key.index <= bound.1 {
                times.push(record.at);
            }
        }
        times
    }

    /// Moves of each log the purges before the first one that is later than `cutoff`.
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
            self.set_compacted(*log, through);
            compaction.logs.push(CompactedLog { log: *log, through });
            let unsuperseded = entries
                .iter()
                .filter(|entry| !superseded.contains(&entry.index));
            buckets.extend(unsuperseded.filter_map(|entry| self.record(now, entry)));
            compaction.entries.extend(entries);
        }
        compaction.buckets = buckets.into_iter().collect();
        compaction
    }

    /// Through which index a log can be compacted.
    fn movable_through(&self, log: LogId, cutoff: Micros, durable: Index) -> Index {
        let mut through = self.compacted(log);
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

    /// The purges of a log through an index.
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

    /// Those of some purges of a log that a later one supersedes which is on the disk, and so need not be in the table:
    /// what is purged again and again must not fill a bucket.
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

    /// Records a purge in the table. Its time is never later than now: a copy that is made from now on is younger than
    /// the purge, whatever clock told it.
    pub(crate) fn record(&mut self, now: Micros, entry: &Entry) -> Option<BucketIndex> {
        let key = entry.subject.purge_key()?;
        Some(self.table.record(key, entry.at.min(now)))
    }
}
