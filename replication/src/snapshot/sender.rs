//! The sender of a snapshot, which reads chunks from an image of the log store at one point in time.
//!
//! The buckets of an image also contain the purges that are still stored as entries. The image therefore covers every
//! purge within the compacted indexes, including purges that were superseded by an entry after the compacted index,
//! which the receiver does not have yet.

use super::encoding::{encoded_len, MAX_CONTENT_BYTES};
use super::{IndexedBucket, SnapshotChunk, SnapshotContent, SnapshotCursor};
use crate::{CompactedLog, Entry, Index, LogId, LogStore};
use linnetknot_purges::{BucketIndex, CompactTable};
use std::collections::BTreeMap;

/// The compacted indexes and all purges of a log store at one point in time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Image {
    /// The number of the image within the process.
    pub(crate) number: u64,
    /// The number of compactions and received snapshots before the image was created.
    pub(crate) compactions: u64,
    /// The compacted indexes of the logs.
    logs: BTreeMap<LogId, Index>,
    /// All purges, both those in the compact table and those stored as entries.
    table: CompactTable,
}

impl Image {
    /// Creates an image of the current state.
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

/// Reads the chunks of a snapshot.
pub(crate) struct ImageReader<'a> {
    /// The source of the compacted indexes and of the buckets.
    pub(crate) image: &'a Image,
    /// The source of the entries that are not purges.
    pub(crate) store: &'a LogStore,
    /// The id of this process.
    pub(crate) process: u64,
}

impl ImageReader<'_> {
    /// Returns the chunk that starts at a cursor, or `None` at the end.
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
        let chunk = logs.by_ref().take(MAX_LOGS).collect();
        let next = logs.next().map_or(SnapshotCursor::BUCKETS, |next| {
            SnapshotCursor::Log(next.log)
        });
        (SnapshotContent::Logs(chunk), next)
    }

    fn buckets(&self, from: BucketIndex) -> (SnapshotContent, SnapshotCursor) {
        // The maximum length of a chunk's head allows for the longest cursors. The two cursors of a chunk of buckets
        // are shorter by this many bytes.
        const SHORTER_CURSORS: usize = 2 * 20;
        let mut remaining = MAX_CONTENT_BYTES + SHORTER_CURSORS;
        let mut buckets = Vec::new();
        let mut next = SnapshotCursor::ENTRIES;
        for (index, bucket) in self.image.table.occupied(from) {
            match remaining.checked_sub(encoded_len::bucket(bucket)) {
                Some(left) => remaining = left,
                None => {
                    next = SnapshotCursor::Bucket(index);
                    break;
                }
            }
            buckets.push(IndexedBucket {
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
        let mut remaining = MAX_CONTENT_BYTES;
        let mut entries = Vec::new();
        for entry in self.store.retained(log, index) {
            match remaining.checked_sub(encoded_len::entry(&entry)) {
                Some(left) => remaining = left,
                None => {
                    let next = SnapshotCursor::Entry {
                        log: entry.log,
                        index: entry.index,
                    };
                    return (SnapshotContent::Entries(entries), next);
                }
            }
            entries.push(entry);
        }
        (SnapshotContent::Entries(entries), SnapshotCursor::End)
    }
}

impl LogStore {
    /// Returns the entries from a position on that are not purges and are within the compacted index of their log.
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
        logs.flat_map(|(compacted, after)| {
            let live = self.live_after(compacted.log, after);
            let retained = live.take_while(move |(key, _)| key.index <= compacted.through);
            let retained = retained.filter(|(_, record)| !record.subject.is_purge());
            retained.map(|(key, record)| record.clone().into_entry(*key, 0))
        })
    }
}
