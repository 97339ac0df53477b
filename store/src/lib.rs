//! State that survives a crash of the process and a loss of power: keyspaces of keys and values in one file, on an
//! embedded store (redb), written by a worker thread so that no event loop ever waits for a disk.
//!
//! [`Store`] owns the file: its format version, and the errors of one that can't be used. [`StoreWorker`] owns the
//! thread: a bounded queue, group commit, and a [`Completion`] for each group that says whether its writes are on the
//! disk. Only what a completion confirms may be acknowledged to others.

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
