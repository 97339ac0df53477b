//! A durable key-value store that survives process crashes and power failures. It consists of keyspaces in one file of
//! the embedded database redb, which a worker thread writes so that event loops do not block on the disk.
//!
//! [`Store`] manages the file, its format version and its errors. [`StoreWorker`] manages the thread, with a bounded
//! queue and group commit. It returns a [`Completion`] for each group of writes. Only writes that a completion confirms
//! may be acknowledged to others.

mod backend;
mod error;
#[doc(hidden)]
pub mod fault_points;
mod file;
mod unsynced;
mod worker;

pub use error::{is_permanent, StoreError};
pub use file::{Change, Format, KeyValue, Keyspace, Store, Write};
pub use worker::{Completion, StoreWorker, WriteId};
