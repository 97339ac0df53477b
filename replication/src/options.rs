//! Bounds and times of a replica, and its counters.

use crate::Micros;

/// Bounds and times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Options {
    /// Purges and operators' decisions of all logs together that are held as entries. Above it the oldest purges are
    /// moved to the compact table ([`crate::Replica::compact`]). Twice as many is the hard bound, for what can't be
    /// moved since the disk does not take it.
    pub max_exact_entries: usize,
    /// Entries of the status of triggers, besides.
    pub expiring: usize,
    /// These are of use for so long.
    pub expiry_us: Micros,
    /// Logs: writers by their epochs.
    pub max_logs: usize,
    /// How often a peer is sent how far the logs are had here.
    pub digest_period_us: Micros,
    /// Entries sent in answer to one message of a peer that has less.
    pub batch: usize,
    /// Entries sent in one period, to all: copying must leave the loop to requests.
    pub max_entries_per_period: usize,
    /// Entries that came early, kept until those before them come.
    pub reorder: usize,
    /// What stands before those is asked for after this.
    pub gap_request_us: Micros,
    /// Further machines that must have a commit on their disks before it is given.
    pub min_acks: usize,
    /// Further machines that are to have each entry in the end.
    pub replication_factor: usize,
    /// A commit that can't be given within this is refused.
    pub commit_timeout_us: Micros,
    /// Peers are asked so often what they have, while a commit waits for them.
    pub retry_us: Micros,
    /// Commits that may wait at a time.
    pub max_pending: usize,
    /// Bytes a second of a snapshot that this replica asks for.
    pub snapshot_bytes_per_s: usize,
    /// Bytes of snapshots sent in one digest period, to all.
    pub max_snapshot_bytes_per_period: usize,
    /// A part of a snapshot is asked for this long after the one before it, at least.
    pub snapshot_request_us: Micros,
    /// A part of which the end has not come is asked for again after this.
    pub snapshot_timeout_us: Micros,
}

impl Options {
    /// Bytes of a snapshot that one request is answered with.
    pub(crate) fn snapshot_window_bytes(&self) -> usize {
        let window = self.snapshot_bytes_per_s as u64 * self.snapshot_request_us / 1_000_000;
        window as usize
    }

    /// The hard bound of entries that hold for good.
    pub(crate) fn max_entries(&self) -> usize {
        self.max_exact_entries.saturating_mul(2)
    }
}

impl Default for Options {
    fn default() -> Self {
        Options {
            max_exact_entries: 65_536,
            expiring: 20_000,
            expiry_us: 3_600_000_000,
            max_logs: 16_384,
            digest_period_us: 500_000,
            batch: 256,
            max_entries_per_period: 512,
            reorder: 1_024,
            gap_request_us: 10_000,
            min_acks: 1,
            replication_factor: 2,
            commit_timeout_us: 1_000_000,
            retry_us: 50_000,
            max_pending: 1_024,
            snapshot_bytes_per_s: 262_144,
            max_snapshot_bytes_per_period: 524_288,
            snapshot_request_us: 50_000,
            snapshot_timeout_us: 200_000,
        }
    }
}

/// Counts for the operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counters {
    /// Entries sent to peers.
    pub sent: u64,
    /// Entries that were new here.
    pub learned: u64,
    /// Entries that were known.
    pub known: u64,
    /// Entries that came before ones that are missing still.
    pub out_of_order: u64,
    /// Entries for which there was no room.
    pub rejected: u64,
    /// Commits given.
    pub committed: u64,
    /// Commits refused.
    pub commits_rejected: u64,
    /// Purges moved to the compact table.
    pub compacted: u64,
    /// Snapshots offered to peers that are behind what was compacted here.
    pub snapshots_offered: u64,
    /// Datagrams of snapshots sent to peers.
    pub snapshot_chunks_sent: u64,
    /// Snapshots received in full.
    pub snapshots_received: u64,
    /// Snapshots given up, as their sender did not answer.
    pub snapshots_abandoned: u64,
}
