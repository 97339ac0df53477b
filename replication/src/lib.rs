//! Replicated logs of what one proxy received and all proxies must have: purges, the statuses of the triggers that they
//! belong to, and operators' decisions.
//!
//! The package is sans-IO. Each proxy is the only writer of its own log, so no agreement is needed: an entry is identified
//! by writer, epoch and index, and never changes. Proxies send each other digests of how far they have each log, and
//! whoever has more sends the missing entries, its own and those of others alike. So an entry reaches a proxy that was
//! away, that is cut off from the writer alone, or whose disk is lost, by way of any other that has it.
//!
//! An epoch is one run of a log. A proxy that starts with its disk continues its epoch. One that lost its disk begins a
//! new epoch, and receives the entries of the old one from the others as any entry.
//!
//! Memory is bounded: the oldest purges are moved to a compact table ([`compaction`]), which a proxy that is behind them
//! receives as a snapshot ([`snapshot`]).
//!
//! What a proxy committed must outlive its machine. So its disk and its peers acknowledge what they have stored, and a
//! commit is given only once enough of them have ([`commit`]).
//!
//! # Modules
//!
//! - `entry`, `position`: logs, entries, and positions in logs.
//! - `log_store`: the logs that a proxy has; `compaction`: the move of old purges to the compact table.
//! - `replica`: one proxy's replica, which joins the others; `options`: its bounds, times and counters.
//! - `commit`, `unsynced`: which entries are on which disks, and which commits may be given.
//! - `reorder`: entries that arrived before others of their log.
//! - `snapshot`: the compact table for replicas that are behind it.
//! - `recovery`: when a proxy that lost its disk has its own commits back.
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
