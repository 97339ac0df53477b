//! The sender of a snapshot: an image of what is in force at one moment, read chunk by chunk.
//!
//! An image's buckets hold the purges that are entries still, too. So whatever stood in a log through the index to which
//! it is compacted has its floor from the image alone: also a purge that a later entry superseded which stands behind
//! that index, and which the receiver does not have yet.

use super::encoding::{encoded_len, MAX_CONTENT_BYTES};
use super::{PlacedBucket, SnapshotChunk, SnapshotContent, SnapshotCursor};
use crate::{CompactedLog, Entry, Index, LogId, LogStore};
use linnetknot_purges::{BucketIndex, CompactTable};
use std::collections::BTreeMap;

/// What was in force at one moment.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Image {
    /// Images of one process are counted.
    pub(crate) number: u64,
    /// In which order they stand in the process's compactions.
    pub(crate) compactions: u64,
    /// Through which index the logs were compacted.
    logs: BTreeMap<LogId, Index>,
    /// All purges.
    table: CompactTable,
}

impl Image {
    /// What is in force now.
    pub(crate) fn new(store: &LogStore, number: u64, compactions: u64) -> Self {
        let mut table = store.table().clone();
        for record in store.live.values() {
            if let Some(key) = record.subject.purge_key() {
                table.record(key, record.at);
            }
        }
        let logs = store
            .compacted_logs(LogId::default())
            .map(|compacted| (compacted.log, compacted.through));
        Image {
            number,
            compactions,
            logs: logs.collect(),
            table,
        }
    }
}

/// What is read, and in whose name.
pub(crate) struct Reader<'a> {
    /// The logs and all purges.
    pub(crate) image: &'a Image,
    /// What is no purge.
    pub(crate) store: &'a LogStore,
    /// This process.
    pub(crate) process: u64,
}

impl Reader<'_> {
    /// The chunk that begins at a cursor; none at the end.
    pub(crate) fn chunk(&self, from: SnapshotCursor) -> Option<SnapshotChunk> {
        let (content, next) = match from {
            SnapshotCursor::Log(log) => self.logs(log),
            SnapshotCursor::Bucket(index) => self.buckets(index),
            SnapshotCursor::Entry { log, index } => self.entries(log, index),
            SnapshotCursor::End => return None,
        };
        let (process, image) = (self.process, self.image.number);
        Some(SnapshotChunk {
            process,
            image,
            from,
            next,
            ends_window: false,
            content,
        })
    }

    fn logs(&self, from: LogId) -> (SnapshotContent, SnapshotCursor) {
        const MAX_LOGS: usize = MAX_CONTENT_BYTES / encoded_len::LOG;
        let compacted = |(log, through): (&LogId, &Index)| CompactedLog {
            log: *log,
            through: *through,
        };
        let mut logs = self.image.logs.range(from..).map(compacted);
        let some = logs.by_ref().take(MAX_LOGS).collect();
        let next = logs.next().map_or(SnapshotCursor::BUCKETS, |next| {
            SnapshotCursor::Log(next.log)
        });
        (SnapshotContent::Logs(some), next)
    }

    fn buckets(&self, from: BucketIndex) -> (SnapshotContent, SnapshotCursor) {
        // Cursors of buckets are shorter than the longest.
        const SHORTER: usize = 2 * 20;
        let mut room = MAX_CONTENT_BYTES + SHORTER;
        let mut buckets = Vec::new();
        let mut next = SnapshotCursor::ENTRIES;
        for (index, bucket) in self.image.table.occupied(from) {
            match room.checked_sub(encoded_len::bucket(bucket)) {
                Some(left) => room = left,
                None => {
                    next = SnapshotCursor::Bucket(index);
                    break;
                }
            }
            buckets.push(PlacedBucket {
                index,
                bucket: *bucket,
            });
        }
        let bucket_bits = self.image.table.bucket_bits();
        (
            SnapshotContent::Buckets {
                bucket_bits,
                buckets,
            },
            next,
        )
    }

    fn entries(&self, log: LogId, index: Index) -> (SnapshotContent, SnapshotCursor) {
        let mut room = MAX_CONTENT_BYTES;
        let mut some = Vec::new();
        for entry in self.store.retained(log, index) {
            match room.checked_sub(encoded_len::entry(&entry)) {
                Some(left) => room = left,
                None => {
                    let next = SnapshotCursor::Entry {
                        log: entry.log,
                        index: entry.index,
                    };
                    return (SnapshotContent::Entries(some), next);
                }
            }
            some.push(entry);
        }
        (SnapshotContent::Entries(some), SnapshotCursor::End)
    }
}

impl LogStore {
    /// Entries that are no purges and stand through the index to which their log is compacted, from a place on.
    pub(crate) fn retained(&self, log: LogId, index: Index) -> impl Iterator<Item = Entry> + '_ {
        let first = self
            .compacted_logs(log)
            .take_while(move |compacted| compacted.log == log);
        let first = first.map(move |compacted| (compacted, index.saturating_sub(1)));
        let later = log
            .successor()
            .into_iter()
            .flat_map(|next| self.compacted_logs(next));
        let logs = first.chain(later.map(|compacted| (compacted, 0)));
        logs.flat_map(|(compacted, behind)| {
            let live = self.live_after(compacted.log, behind);
            let retained = live.take_while(move |(key, _)| key.index <= compacted.through);
            let retained = retained.filter(|(_, record)| !record.subject.is_purge());
            retained.map(|(key, record)| record.clone().into_entry(*key, 0))
        })
    }
}
