//! The options of a replica, and its counters.

use crate::Micros;

/// Bounds and times of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Options {
    /// The most purges and operators' decisions of all logs together that are stored as entries. Above it the oldest
    /// purges are moved to the compact table ([`crate::Replica::compact`]). The hard bound is twice as many, for entries
    /// that can't be moved because the disk does not take them.
    pub max_exact_entries: usize,
    /// The most entries of triggers' statuses, in addition.
    pub expiring_entries: usize,
    /// How long those entries are of use.
    pub expiry_us: Micros,
    /// The most logs, which are writers by their epochs.
    pub max_logs: usize,
    /// The interval between two digests.
    pub digest_period_us: Micros,
    /// The most entries sent in answer to one message of a peer that has fewer.
    pub max_entries_per_reply: usize,
    /// The most entries sent in one digest period to all peers: replication must leave the event loop to requests.
    pub max_entries_per_period: usize,
    /// The most entries in the reorder buffer.
    pub max_reordered_entries: usize,
    /// How long after the first entry out of order the gap before it is requested.
    pub gap_request_us: Micros,
    /// How many further machines must have a commit on their disks before it is given.
    pub min_acks: usize,
    /// How many further machines are to have each entry in the end.
    pub replication_factor: usize,
    /// The time after which a commit is rejected.
    pub commit_timeout_us: Micros,
    /// The interval in which entries are sent again while a commit waits for peers.
    pub retry_us: Micros,
    /// The most pending commits.
    pub max_pending_commits: usize,
    /// The bytes of a snapshot per second that this replica requests.
    pub snapshot_bytes_per_s: usize,
    /// The most bytes of snapshots sent in one digest period to all peers.
    pub max_snapshot_bytes_per_period: usize,
    /// The shortest interval between two requests for parts of a snapshot.
    pub snapshot_request_us: Micros,
    /// The time after which an incomplete part of a snapshot is requested again.
    pub snapshot_timeout_us: Micros,
}

impl Options {
    /// Returns how many bytes of a snapshot one request is answered with.
    pub(crate) fn snapshot_window_bytes(&self) -> usize {
        let window = self.snapshot_bytes_per_s as u64 * self.snapshot_request_us / 1_000_000;
        window as usize
    }

    /// Returns the hard bound of entries that do not expire.
    pub(crate) fn max_entries(&self) -> usize {
        self.max_exact_entries.saturating_mul(2)
    }
}

impl Default for Options {
    fn default() -> Self {
        Options {
            max_exact_entries: 65_536,
            expiring_entries: 20_000,
            expiry_us: 3_600_000_000,
            max_logs: 16_384,
            digest_period_us: 500_000,
            max_entries_per_reply: 256,
            max_entries_per_period: 512,
            max_reordered_entries: 1_024,
            gap_request_us: 10_000,
            min_acks: 1,
            replication_factor: 2,
            commit_timeout_us: 1_000_000,
            retry_us: 50_000,
            max_pending_commits: 1_024,
            snapshot_bytes_per_s: 262_144,
            max_snapshot_bytes_per_period: 524_288,
            snapshot_request_us: 50_000,
            snapshot_timeout_us: 200_000,
        }
    }
}

/// Counters for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counters {
    /// Entries sent to peers.
    pub sent: u64,
    /// Entries that were new here.
    pub inserted: u64,
    /// Entries that were known.
    pub duplicates: u64,
    /// Entries that arrived before others of their log.
    pub out_of_order: u64,
    /// Entries beyond the capacity.
    pub rejected: u64,
    /// Commits given.
    pub committed: u64,
    /// Commits rejected.
    pub commits_rejected: u64,
    /// Purges moved to the compact table.
    pub compacted: u64,
    /// Snapshots offered to peers that are behind what was compacted here.
    pub snapshots_offered: u64,
    /// Datagrams of snapshots sent to peers.
    pub snapshot_chunks_sent: u64,
    /// Snapshots received in full.
    pub snapshots_received: u64,
    /// Snapshots abandoned because their sender did not answer.
    pub snapshots_abandoned: u64,
}
