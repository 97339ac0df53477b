//! The options and counters of a replica.

use crate::Micros;

/// The limits and intervals of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Options {
    /// The maximum number of purges and operator decisions, over all logs, that are stored as entries. When it is
    /// exceeded, the oldest purges are moved to the compact table ([`crate::Replica::compact`]). Purges that are not
    /// yet on the disk can't be moved, so the hard limit is twice this number.
    pub max_exact_entries: usize,
    /// The maximum number of entries of trigger statuses and deletions, in addition to `max_exact_entries`.
    pub expiring_entries: usize,
    /// The time after which the status of a trigger expires. Its deletion expires after twice this time.
    pub expiry_us: Micros,
    /// The maximum number of logs. Each epoch of a writer is a log.
    pub max_logs: usize,
    /// The interval at which a replica sends a digest to a random peer, in microseconds.
    pub digest_period_us: Micros,
    /// The maximum number of entries sent in reply to one range request of a peer.
    pub max_entries_per_range: usize,
    /// The maximum number of entries sent to all peers in one digest period, so that replication does not delay client
    /// requests in the event loop.
    pub max_entries_per_period: usize,
    /// The capacity of the reorder buffer, in entries.
    pub max_reordered_entries: usize,
    /// The delay before the entries in a gap of a log are requested. Datagrams that the network reordered may still
    /// arrive meanwhile.
    pub gap_request_us: Micros,
    /// The number of other machines that must acknowledge an entry before its commit is confirmed.
    pub min_acks: usize,
    /// The number of other machines to which each entry is replicated eventually.
    pub replication_factor: usize,
    /// The time after which a pending commit is rejected.
    pub commit_timeout_us: Micros,
    /// The interval at which unacknowledged entries are sent again while a commit is pending.
    pub retry_us: Micros,
    /// The maximum number of pending commits.
    pub max_pending_commits: usize,
    /// The rate at which this replica requests the parts of a snapshot, in bytes per second.
    pub snapshot_bytes_per_s: usize,
    /// The maximum number of snapshot bytes sent to all peers in one digest period.
    pub max_snapshot_bytes_per_period: usize,
    /// The minimum interval between requests for parts of a snapshot.
    pub snapshot_request_us: Micros,
    /// The time after which an incompletely received part of a snapshot is requested again.
    pub snapshot_timeout_us: Micros,
}

impl Options {
    /// Returns the number of snapshot bytes sent in reply to one request.
    pub(crate) fn snapshot_window_bytes(&self) -> usize {
        let window = self.snapshot_bytes_per_s as u64 * self.snapshot_request_us / 1_000_000;
        window as usize
    }

    /// Returns the hard limit of entries that do not expire.
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
            max_entries_per_range: 256,
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

/// Counters of a replica since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counters {
    /// Entries sent to peers.
    pub sent: u64,
    /// Entries received from peers and inserted.
    pub inserted: u64,
    /// Entries received that were already stored, or that a stored entry supersedes.
    pub duplicates: u64,
    /// Entries received out of order.
    pub out_of_order: u64,
    /// Entries and logs rejected because the capacity is exceeded.
    pub rejected: u64,
    /// Commits that were confirmed, because the required number of other machines acknowledged them.
    pub committed: u64,
    /// Commits that were rejected; see `RejectReason`.
    pub commits_rejected: u64,
    /// Purges moved to the compact table.
    pub compacted: u64,
    /// Snapshots offered to peers that are behind a compacted index.
    pub snapshots_offered: u64,
    /// Snapshot chunks sent to peers.
    pub snapshot_chunks_sent: u64,
    /// Snapshots of peers that this replica received completely.
    pub snapshots_received: u64,
    /// Snapshot transfers abandoned because the sender did not answer.
    pub snapshots_abandoned: u64,
}
