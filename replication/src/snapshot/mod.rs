//! Snapshots, which bring a replica up to date that is behind the compacted indexes of its peers.
//!
//! A snapshot is read in the order of its cursors: the compacted indexes of the logs, the buckets of all purges, and
//! the entries within the compacted indexes that are not purges. The receiver requests it in parts. The sender replies
//! from an image, which is the state at one point in time. The sender may continue from a later image: purges are only
//! added to buckets, so the buckets of a later image contain every purge within the compacted indexes of an earlier
//! one. Each chunk contains the sender's process id and the number of the image, by which the receiver recognises
//! delayed chunks of an earlier image.

mod encoding;
mod receiver;
mod sender;
mod transfer;

use crate::{CompactedLog, Entry, Index, LogId};
use linnetknot_purges::{Bucket, BucketBits, BucketIndex};

pub(crate) use encoding::{fits, read_chunk, write_chunk};
pub(crate) use receiver::{CatchUp, CatchUpRequest, Progress};
pub(crate) use sender::{Image, ImageReader};
pub(crate) use transfer::CompleteSnapshot;

/// A position in a snapshot, from which a transfer can continue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SnapshotCursor {
    /// Before the compacted index of this log.
    Log(LogId),
    /// Before this bucket of the compact table.
    Bucket(BucketIndex),
    /// Before the entry of a log at an index.
    Entry {
        /// The log that contains the entry.
        log: LogId,
        /// The index of the entry in its log.
        index: Index,
    },
    /// The end of the snapshot.
    End,
}

impl SnapshotCursor {
    /// The start of a snapshot.
    pub const START: SnapshotCursor = SnapshotCursor::Log(LogId::new(0, 0));
    /// The start of the buckets.
    pub const BUCKETS: SnapshotCursor = SnapshotCursor::Bucket(BucketIndex::FIRST);
    /// The start of the entries.
    pub const ENTRIES: SnapshotCursor = SnapshotCursor::Entry {
        log: LogId::new(0, 0),
        index: 0,
    };
}

/// An offer of a snapshot to a receiver that is behind the sender's compacted indexes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotOffer {
    /// The process id of the sender of the snapshot.
    pub process: u64,
    /// The number of the sender's compacted logs.
    pub compacted_log_count: u64,
    /// Some of the compacted logs in which the receiver is behind.
    pub logs: Vec<CompactedLog>,
}

/// A request for the part of a snapshot that starts at a cursor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotRequest {
    /// The id of the process that offered the snapshot.
    pub process: u64,
    /// The start of the requested part. The sender of the request has received everything before it.
    pub from: SnapshotCursor,
}

/// A bucket and its index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IndexedBucket {
    /// The index of the bucket in the sender's table.
    pub index: BucketIndex,
    /// The purges recorded in the bucket.
    pub bucket: Bucket,
}

/// The content of a chunk, which belongs to one of the three sections of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotContent {
    /// All compacted logs between the chunk's cursors.
    Logs(Vec<CompactedLog>),
    /// All non-empty buckets between the chunk's cursors.
    Buckets {
        /// The size of the sender's table.
        bucket_bits: BucketBits,
        /// The buckets, in the order of their indexes.
        buckets: Vec<IndexedBucket>,
    },
    /// All entries between the chunk's cursors that are not purges and are within the compacted index of their log.
    Entries(Vec<Entry>),
}

/// A part of a snapshot that fits into a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotChunk {
    /// The process id of the sender of the snapshot.
    pub process: u64,
    /// The number of the image that the chunk was read from.
    pub image: u64,
    /// The start of the chunk.
    pub from: SnapshotCursor,
    /// The start of the next chunk.
    pub next: SnapshotCursor,
    /// Whether this is the last chunk in reply to a request.
    pub ends_window: bool,
    /// The content between the two cursors.
    pub content: SnapshotContent,
}
