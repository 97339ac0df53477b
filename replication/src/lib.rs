//! What one proxy was told and all must keep: purges by neighbours and the status of their triggers, and what
//! operators decided, as logs that are copied from proxy to proxy.
//!
//! Sans-IO. Each proxy is the only writer of its own log, so nothing has to be agreed on: an entry is named by writer,
//! epoch and sequence and never changes. Proxies tell each other how far they have each log, and whoever has more
//! sends what is missing, its own entries and those of others alike. So an entry reaches a proxy that was away, that
//! is cut off from the writer alone, or whose disk is lost, by way of any other that has it.
//!
//! An epoch is one run of a log. A proxy that starts with its disk goes on with its epoch; one that lost it begins a new
//! one, and the entries of its old epoch come back from the others as any entry does.
//!
//! Memory is bounded: the oldest purges are moved to a compact table ([`compaction`]), which a proxy that is behind
//! them gets as a snapshot ([`snapshot`]).
//!
//! What a proxy committed must outlive its machine. So it is told by its disk and by its peers what each has for good,
//! and says which commits may be given ([`commit`]).

pub mod commit;
pub mod compaction;
mod entry;
mod log_store;
mod options;
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
pub use log_store::{Capacity, CapacityExceeded, DuplicateIndex, Insertion, LogStore};
pub use options::{Counters, Options};
pub use received::{MergedBucket, Outgoing, Received};
pub use recovery::Recovery;
pub use replica::Replica;
pub use snapshot::{
    SnapshotChunk, SnapshotContent, SnapshotCursor, SnapshotOffer, SnapshotRequest,
};
pub use status::pieces;
pub use wire::Datagram;
