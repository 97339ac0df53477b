//! Errors of opening, closing and appending to a ledger.

use linnetknot_replication::CapacityExceeded;
use linnetknot_store::{is_permanent, StoreError};
use std::io;
use std::path::PathBuf;

/// An error of opening or closing the ledger.
#[derive(Debug, thiserror::Error)]
pub enum LedgerError {
    /// The store could not be read or written.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The compact table was written by an incompatible version of the program.
    #[error("its purge table has form {found}, this program knows form 1; start the program that wrote it")]
    TableForm {
        /// The version of the encoding of the stored table.
        found: u8,
    },
    /// A file of an earlier version could not be read or renamed.
    #[error("store: {path}: {source}")]
    Legacy {
        /// The path of the file.
        path: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
    /// The worker thread of the store could not be started.
    #[error("store: {0}")]
    Worker(io::Error),
    /// The worker thread of the store has ended unexpectedly.
    #[error("store: the worker thread has ended")]
    WorkerEnded,
    /// The ledger was closed before all log entries were synced.
    #[error("store: closed before all log entries were synced")]
    Unsynced,
    /// The purges of an earlier version's file exceed the capacity of the log.
    #[error("store: {0}")]
    Capacity(#[from] CapacityExceeded),
}

impl LedgerError {
    /// Whether the error may disappear without a change of the deployment, such as the error of a full disk.
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

/// The reason for which an entry is not appended to the log of this proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AppendError {
    /// The store is not open yet, so nothing can be appended.
    #[error("the store is not open yet")]
    NoStore,
    /// The queue of the store's worker is full.
    #[error("the queue of the store is full")]
    DiskBehind,
    /// The capacity of the log is exceeded.
    #[error(transparent)]
    Capacity(#[from] CapacityExceeded),
    /// The status of a trigger requires more entries than the queue of the worker accepts, or than can be numbered.
    #[error("the trigger status exceeds the capacity of the store's queue")]
    StatusTooLong,
}
