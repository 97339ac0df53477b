//! The effects of a received datagram, and datagrams to send.

use crate::{CompactedLog, Datagram, Entry};
use linnetknot_purges::{Bucket, BucketBits, BucketIndex};

/// A datagram to send, and its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The peer's index in the list that [`crate::Replica::set_peers`] was given.
    pub peer: usize,
    /// The datagram, to be encoded by the caller.
    pub datagram: Datagram,
}

/// A bucket of this replica's compact table after a peer's bucket was merged into it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MergedBucket {
    /// The size of this replica's table.
    pub bucket_bits: BucketBits,
    /// The bucket's index in that table.
    pub index: BucketIndex,
    /// The contents of the bucket after the merge.
    pub bucket: Bucket,
}

/// The effects of a received datagram, which the caller must carry out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// New entries. The caller must apply them and write them to the disk.
    pub new: Vec<Entry>,
    /// Entries that arrived out of order. The caller must apply them at once, because the effect of a purge does not
    /// depend on the entries before it. They are returned again in `new` once the gap before them is filled.
    pub out_of_order: Vec<Entry>,
    /// Datagrams to send back to the sender.
    pub replies: Vec<Datagram>,
    /// Entries that were not stored because they exceed the capacity. The caller must apply them nevertheless. They are
    /// requested again later.
    pub rejected: Vec<Entry>,
    /// Buckets of the compact table that changed. The caller must apply them at once and write them to the disk.
    pub buckets: Vec<MergedBucket>,
    /// Logs that a complete snapshot advanced. After the caller has written all buckets returned so far to the disk, it
    /// must write these logs, and then call [`crate::Replica::record_snapshot_synced`].
    pub compacted: Vec<CompactedLog>,
}
