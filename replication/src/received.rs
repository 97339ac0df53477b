//! The results of receiving a datagram, and datagrams to send.

use crate::{CompactedLog, Datagram, Entry};
use linnetknot_purges::{Bucket, BucketBits, BucketIndex};

/// A datagram to send, and its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The peer's index in the list that [`crate::Replica::set_peers`] was given.
    pub peer: usize,
    /// The datagram.
    pub datagram: Datagram,
}

/// A bucket of this replica's compact table after a peer's bucket was merged into it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MergedBucket {
    /// The size of this replica's table.
    pub bucket_bits: BucketBits,
    /// The bucket's index in that table.
    pub index: BucketIndex,
    /// Its content.
    pub bucket: Bucket,
}

/// The effects of a datagram.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// New entries, to be put in force and written to the disk.
    pub new: Vec<Entry>,
    /// Entries that arrived before others of their log, to be put in force: a purge does not wait for those before it.
    /// They are returned again as new ones later.
    pub out_of_order: Vec<Entry>,
    /// Datagrams to send to the sender.
    pub replies: Vec<Datagram>,
    /// Entries beyond the capacity, to be put in force all the same. They are requested again.
    pub rejected: Vec<Entry>,
    /// Buckets of the compact table that changed, to be put in force at once and written to the disk.
    pub buckets: Vec<MergedBucket>,
    /// Logs that a complete snapshot advanced: to be written to the disk after all buckets returned before, and confirmed
    /// by [`crate::Replica::record_snapshot_synced`].
    pub compacted: Vec<CompactedLog>,
}
