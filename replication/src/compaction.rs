//! Compaction: the oldest purges of the logs are moved to a table of fixed size.
//!
//! Every log has an index, `compacted`, through which every purge that no later entry supersedes is in the table; other
//! entries stay. So a replica whose position in the log is before that index can't receive the log entry by entry any
//! more, and receives a snapshot of the table first.

use crate::log_store::EntryKey;
use crate::{snapshot, Entry, Index, LogId, LogStore, Micros};
use linnetknot_purges::BucketIndex;
use std::collections::{BTreeMap, BTreeSet};

/// The index through which a log is compacted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CompactedLog {
    /// The log.
    pub log: LogId,
    /// Every purge through this index is in the table, or superseded.
    pub through: Index,
}

/// One step of compaction, for the disk.
///
/// First the buckets and the logs' indexes must be written, at once or in this order. Only when these are synced may the
/// entries be deleted, except those that [`LogStore::is_live`] reports, as their key has a later entry by then. A process
/// that ends in between finds the entries again, and moves them again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Compaction {
    /// The buckets of the moved entries, to be read from [`LogStore::table`].
    pub buckets: Vec<BucketIndex>,
    /// The indexes through which these logs are compacted now.
    pub logs: Vec<CompactedLog>,
    /// The moved entries.
    pub entries: Vec<Entry>,
}

/// A step moves one part in so many of the entries that may be stored.
const STEP_DIVISOR: usize = 8;

impl LogStore {
    /// Moves the oldest purges to the table, of each log those through some index, so that about seven eighths of
    /// `max_entries` are left. Nothing after a log's index in `durable`, through which the log is on the disk, is moved,
    /// nor is the last entry of a log. Returns `None` if nothing could be moved.
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
            // Each log has a younger entry before those that are old enough.
            if step >= times.len() {
                return None;
            }
            step *= 2;
        }
        None
    }

    /// Returns the times of the purges that may be moved.
    fn movable_times(&self, durable: &BTreeMap<LogId, Index>) -> Vec<Micros> {
        let mut times = Vec::with_capacity(self.live.len());
        // Entries are in the order of their logs: the bound of each log is looked up once.
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

    /// Moves the purges of each log before the first one that is later than `cutoff`.
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

    /// Returns the index through which a log can be compacted.
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

    /// Returns the purges of a log through an index.
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

    /// Returns which of these purges of a log a later one on the disk supersedes. They need not be in the table: an object
    /// that is purged again and again must not fill a bucket.
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

    /// Records a purge in the table, no later than now: a copy that is made from now on is younger than the purge,
    /// whichever clock gave the purge its time.
    pub(crate) fn record(&mut self, now: Micros, entry: &Entry) -> Option<BucketIndex> {
        let key = entry.subject.purge_key()?;
        Some(self.table.record(key, entry.at.min(now)))
    }
}
