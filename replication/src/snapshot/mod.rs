//! Snapshots: how a replica that is behind what its peers compacted gets it.
//!
//! A snapshot is read in the order of its cursors: through which index each log is compacted, the buckets of all purges,
//! and the entries that stand through those indexes and are no purges. The receiver asks for it part by part. The sender
//! answers from an image of one moment, or from a later one: since buckets only grow, what was compacted through the
//! indexes of one image is in the buckets of each later one. A chunk names the sender's process and the image's number,
//! so that a late chunk of an earlier one is known for what it is.

mod encoding;
mod receiver;
mod sender;

use crate::{CompactedLog, Entry, Index, LogId};
use linnetknot_purges::{Bucket, BucketBits, BucketIndex};

pub(crate) use encoding::{fits, read_chunk, write_chunk};
pub(crate) use receiver::{Ask, CatchUp, Complete, Progress};
pub(crate) use sender::{Image, Reader};

/// A place in a snapshot; all that stands before it is had or sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SnapshotCursor {
    /// The index of this log, or the next one that has one.
    Log(LogId),
    /// A bucket.
    Bucket(BucketIndex),
    /// The entry of a log at an index, or the next one.
    Entry {
        /// The log.
        log: LogId,
        /// The index.
        index: Index,
    },
    /// Behind all.
    End,
}

impl SnapshotCursor {
    /// The begin of a snapshot.
    pub const START: SnapshotCursor = SnapshotCursor::Log(LogId::new(0, 0));
    /// Where the buckets begin.
    pub const BUCKETS: SnapshotCursor = SnapshotCursor::Bucket(BucketIndex::FIRST);
    /// Where the entries begin.
    pub const ENTRIES: SnapshotCursor = SnapshotCursor::Entry {
        log: LogId::new(0, 0),
        index: 0,
    };
}

/// The receiver is behind what the sender compacted, and may ask for a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotOffer {
    /// The sender's process.
    pub process: u64,
    /// How many logs the sender has compacted.
    pub total: u64,
    /// Some of those of which the receiver is behind.
    pub logs: Vec<CompactedLog>,
}

/// The sender wants the part of a snapshot that begins at a cursor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotRequest {
    /// The receiver's process that offered it.
    pub process: u64,
    /// All before it is had.
    pub from: SnapshotCursor,
}

/// A bucket and its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacedBucket {
    /// Its place.
    pub index: BucketIndex,
    /// Its content.
    pub bucket: Bucket,
}

/// What stands in a chunk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotContent {
    /// All compacted logs between its cursors.
    Logs(Vec<CompactedLog>),
    /// All buckets between its cursors that are not empty.
    Buckets {
        /// The size of the sender's table.
        bucket_bits: BucketBits,
        /// The buckets.
        buckets: Vec<PlacedBucket>,
    },
    /// All entries between its cursors, if any: those that stand through the index to which their log is compacted.
    Entries(Vec<Entry>),
}

/// A part of a snapshot that fits into a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotChunk {
    /// The sender's process.
    pub process: u64,
    /// The number of the sender's image that it was read from.
    pub image: u64,
    /// Where it begins.
    pub from: SnapshotCursor,
    /// Where the next chunk begins.
    pub next: SnapshotCursor,
    /// Whether it is the last one in answer to a request.
    pub ends_window: bool,
    /// All that stands between.
    pub content: SnapshotContent,
}
