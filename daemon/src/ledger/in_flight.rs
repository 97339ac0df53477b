//! The entries that were submitted to the store's worker and whose completion has not been processed.

use linnetknot_replication::{Entry, Index, LogId};
use linnetknot_store::WriteId;
use std::collections::VecDeque;

/// An entry whose write was submitted to the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct InFlightEntry {
    write: WriteId,
    /// The log of the entry.
    pub(super) log: LogId,
    /// The index of the entry.
    pub(super) index: Index,
}

/// The submitted entries that are not known to be durable, in the order of their writes.
#[derive(Debug, Default)]
pub(super) struct InFlightEntries(VecDeque<InFlightEntry>);

impl InFlightEntries {
    /// Adds an entry. Its write must have been submitted after those of all earlier entries.
    pub(super) fn push(&mut self, write: WriteId, entry: &Entry) {
        self.0.push_back(InFlightEntry {
            write,
            log: entry.log,
            index: entry.index,
        });
    }

    /// Removes and returns all entries whose writes were submitted up to and including `through`, oldest first.
    pub(super) fn take_through(&mut self, through: WriteId) -> Vec<InFlightEntry> {
        let completed = self.0.partition_point(|entry| entry.write <= through);
        self.0.drain(..completed).collect()
    }
}
