//! Snapshots, by which a replica that is behind what its peers compacted receives it.
//!
//! A snapshot is read in the order of its cursors: the index through which each log is compacted, the buckets of all
//! purges, and the entries within those indexes that are no purges. The receiver requests it part by part. The sender
//! answers from an image of one point in time, or from a later one: since buckets only grow, what was compacted through
//! the indexes of one image is in the buckets of each later one. A chunk names the sender's process and the image's
//! number, by which a delayed chunk of an earlier one is recognised.

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

/// A position in a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SnapshotCursor {
    /// Before the index of this log.
    Log(LogId),
    /// Before this bucket.
    Bucket(BucketIndex),
    /// Before the entry of a log at an index.
    Entry {
        /// The log.
        log: LogId,
        /// The index.
        index: Index,
    },
    /// After everything.
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

/// An offer of a snapshot to a receiver that is behind what the sender compacted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotOffer {
    /// The sender's process.
    pub process: u64,
    /// The number of logs that the sender has compacted.
    pub compacted_log_count: u64,
    /// Some of those that the receiver is behind in.
    pub logs: Vec<CompactedLog>,
}

/// A request for the part of a snapshot that starts at a cursor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotRequest {
    /// The process that offered the snapshot.
    pub process: u64,
    /// The sender of the request has everything before this cursor.
    pub from: SnapshotCursor,
}

/// A bucket and its index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IndexedBucket {
    /// The index.
    pub index: BucketIndex,
    /// The bucket.
    pub bucket: Bucket,
}

/// The content of a chunk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotContent {
    /// All compacted logs between its cursors.
    Logs(Vec<CompactedLog>),
    /// All buckets between its cursors that are not empty.
    Buckets {
        /// The size of the sender's table.
        bucket_bits: BucketBits,
        /// The buckets.
        buckets: Vec<IndexedBucket>,
    },
    /// All entries between its cursors that are no purges, each within the index through which its log is compacted.
    Entries(Vec<Entry>),
}

/// A part of a snapshot that fits into a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotChunk {
    /// The sender's process.
    pub process: u64,
    /// The number of the sender's image that the chunk was read from.
    pub image: u64,
    /// Where the chunk starts.
    pub from: SnapshotCursor,
    /// Where the next chunk starts.
    pub next: SnapshotCursor,
    /// Whether the chunk is the last one in reply to a request.
    pub ends_window: bool,
    /// Everything between the two cursors.
    pub content: SnapshotContent,
}
