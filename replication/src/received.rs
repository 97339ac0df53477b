//! What comes of a datagram, and what is to be sent.

use crate::{CompactedLog, Datagram, Entry};
use linnetknot_purges::{Bucket, BucketBits, BucketIndex};

/// A datagram that is to be sent, and to whom.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The peer's place in the list that [`crate::Replica::peers`] was given.
    pub peer: usize,
    /// What it is sent.
    pub datagram: Datagram,
}

/// A bucket of this replica's compact table, as it is after a peer's was merged into it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MergedBucket {
    /// The size of this replica's table.
    pub bucket_bits: BucketBits,
    /// The bucket's place there.
    pub index: BucketIndex,
    /// Its content.
    pub bucket: Bucket,
}

/// What came of a datagram.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// Entries that were not known here, to be put in force and on the disk.
    pub new: Vec<Entry>,
    /// Entries before which others are missing: to be put in force, as a floor does not wait for those before it. They
    /// come again.
    pub out_of_order: Vec<Entry>,
    /// What the sender is to be told.
    pub replies: Vec<Datagram>,
    /// An entry that there was no room for. It is asked for again; in force it must be all the same.
    pub rejected: Vec<Entry>,
    /// Buckets of the compact table that changed: to be put in force at once, and on the disk.
    pub buckets: Vec<MergedBucket>,
    /// Logs that a snapshot brought further, once it is complete: to be written to the disk after all buckets that were
    /// given before, and confirmed by [`crate::Replica::snapshot_synced`].
    pub compacted: Vec<CompactedLog>,
}
