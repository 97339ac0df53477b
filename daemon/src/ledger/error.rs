//! The errors of opening and closing a ledger, and of appending to it.

use linnetknot_replication::CapacityExceeded;
use linnetknot_store::{is_permanent, StoreError};
use std::io;
use std::path::PathBuf;

/// Why the ledger can't be opened or closed.
#[derive(Debug, thiserror::Error)]
pub enum LedgerError {
    /// The store can't be used.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// Another version of the program wrote the compact table.
    #[error("its purge table has form {found}, this program knows form 1; start the program that wrote it")]
    TableForm {
        /// The form.
        found: u8,
    },
    /// A file of an earlier version can't be read or moved.
    #[error("the disk: {path}: {source}")]
    Legacy {
        /// Which file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The store's worker thread can't be started.
    #[error("the disk: {0}")]
    Worker(io::Error),
    /// The store's worker thread has ended before its time.
    #[error("the disk: the worker has ended")]
    WorkerEnded,
    /// The process ends before all entries are on the disk.
    #[error("the disk: not all of the log is on it")]
    Unsynced,
    /// The purges of an earlier version's file exceed the log's capacity.
    #[error("the disk: {0}")]
    Capacity(#[from] CapacityExceeded),
}

impl LedgerError {
    /// Whether it may go away by itself, as a full or failing disk does.
    pub fn is_transient(&self) -> bool {
        match self {
            LedgerError::Store(fault) => fault.is_transient(),
            LedgerError::Legacy { source, .. } | LedgerError::Worker(source) => {
                !is_permanent(source)
            }
            LedgerError::TableForm { .. }
            | LedgerError::WorkerEnded
            | LedgerError::Unsynced
            | LedgerError::Capacity(_) => false,
        }
    }
}

/// Why an entry is not appended to this proxy's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AppendError {
    /// The store can't be opened yet.
    #[error("the store can't be opened yet")]
    NoStore,
    /// The queue to the disk is full.
    #[error("the disk is too far behind")]
    DiskBehind,
    /// The log's capacity is exceeded.
    #[error(transparent)]
    Capacity(#[from] CapacityExceeded),
    /// A trigger's status takes more entries than the queue to the disk has capacity for, or than can be numbered.
    #[error("its status has no room on the way to the disk")]
    StatusTooLong,
}
