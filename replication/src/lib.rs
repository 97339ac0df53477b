//! Replication of logs between proxies. The logs contain purges, the statuses of the triggers that requested them, and
//! operator decisions.
//!
//! The package is sans-IO. Each proxy is the only writer of its own log, so no consensus is needed: an entry is
//! identified by writer, epoch and index, and never changes. Proxies exchange digests of their positions in each log,
//! and a proxy that is ahead sends the missing entries, both its own and those of other writers. A proxy that was down,
//! was partitioned from the writer, or lost its disk therefore receives an entry from any peer that stores it.
//!
//! An epoch is one incarnation of a writer's log. A proxy that restarts with its disk continues its epoch. A proxy that
//! lost its disk starts a new epoch and receives the entries of the old one from its peers.
//!
//! Memory is bounded: the oldest purges are moved to a compact table ([`compaction`]). A proxy that is behind the
//! compacted index of a log receives the table as a snapshot ([`snapshot`]).
//!
//! A commit must survive the loss of the proxy's machine. It is confirmed only after the local disk and enough peers
//! have acknowledged that they stored the entry ([`commit`]).
//!
//! # Modules
//!
//! - `entry`, `position`: logs, entries, and positions in logs.
//! - `log_store`: the logs that a proxy stores; `compaction`: moves old purges to the compact table.
//! - `replica`: the replica of one proxy, which combines the other modules; `options`: its limits, intervals and
//!   counters.
//! - `commit`, `unsynced`: track which entries are durable on which machines, and resolve commits.
//! - `reorder`: buffers entries that arrived out of order.
//! - `snapshot`: transfers the compact table to replicas that are behind it.
//! - `recovery`: determines when a proxy that lost its disk has recovered its own commits.
//! - `wire`, `status`: the encoding of datagrams, and of the texts in them.

pub mod commit;
pub mod compaction;
mod entry;
mod log_store;
mod options;
mod position;
mod received;
mod recovery;
mod reorder;
mod replica;
pub mod snapshot;
mod status;
mod unsynced;
mod wire;

pub use commit::{CommitId, CommitOutcome, Machine, RejectReason};
pub use compaction::{CompactedLog, Compaction};
pub use entry::{Entry, Epoch, Index, LogId, Micros, Subject, Writer};
pub use linnetknot_datagram::{DecodeError, MAX_DATAGRAM_BYTES};
pub use linnetknot_purges::{Bucket, BucketBits, BucketIndex, CompactTable};
pub use log_store::{Capacity, CapacityExceeded, DuplicateIndex, Insertion, LogStore, Record};
pub use options::{Counters, Options};
pub use position::{Gap, LogPosition};
pub use received::{MergedBucket, Outgoing, Received};
pub use recovery::{Recovery, RecoveryStep, RecoveryTimes};
pub use replica::Replica;
pub use snapshot::{
    SnapshotChunk, SnapshotContent, SnapshotCursor, SnapshotOffer, SnapshotRequest,
};
pub use status::split_status;
pub use wire::Datagram;
