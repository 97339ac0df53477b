//! The transfer of one snapshot. Tracks the received parts and the next request.

use super::{SnapshotChunk, SnapshotContent, SnapshotCursor, SnapshotRequest};
use crate::{Entry, Index, LogId, Micros, Options};
use std::collections::BTreeMap;

/// The number of consecutive requests without progress after which a transfer is abandoned.
const MAX_UNANSWERED_REQUESTS: u32 = 16;
/// The maximum number of out-of-order parts that are tracked.
const MAX_OUT_OF_ORDER: usize = 1_024;

/// The transfer of a snapshot from one process of a peer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Transfer {
    pub(super) peer: usize,
    /// The peer's process id.
    pub(super) process: u64,
    /// Everything before this cursor has been received.
    received_through: SnapshotCursor,
    /// The end of each received part after `received_through`, by its start.
    out_of_order: BTreeMap<SnapshotCursor, SnapshotCursor>,
    /// The compacted indexes of the logs.
    logs: BTreeMap<LogId, Index>,
    /// The image from which the latest of the compacted indexes was read. Buckets and entries of earlier images are not
    /// used.
    image: u64,
    /// The entries to insert once the snapshot is complete.
    entries: Vec<Entry>,
    /// The time of the last request.
    requested_at: Option<Micros>,
    /// The time at which the next request is due.
    pub(super) due: Micros,
    /// Whether a new part has been received since the last request.
    has_progressed: bool,
    /// The number of consecutive requests without progress.
    unanswered: u32,
}

/// A completely received snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct CompleteSnapshot {
    /// The compacted indexes of the logs.
    pub(crate) logs: BTreeMap<LogId, Index>,
    /// The entries within the compacted indexes that are not purges.
    pub(crate) entries: Vec<Entry>,
}

impl Transfer {
    pub(super) fn new(peer: usize, process: u64) -> Self {
        Transfer {
            peer,
            process,
            received_through: SnapshotCursor::START,
            out_of_order: BTreeMap::new(),
            logs: BTreeMap::new(),
            image: 0,
            entries: Vec::new(),
            requested_at: None,
            due: 0,
            has_progressed: false,
            unanswered: 0,
        }
    }

    /// Returns the next request, or `None` if the sender does not answer.
    pub(super) fn request(&mut self, now: Micros, options: &Options) -> Option<SnapshotRequest> {
        let is_unanswered = self.requested_at.is_some() && !self.has_progressed;
        self.unanswered = if is_unanswered {
            self.unanswered + 1
        } else {
            0
        };
        if self.unanswered > MAX_UNANSWERED_REQUESTS {
            return None;
        }
        self.has_progressed = false;
        self.requested_at = Some(now);
        self.due = now + options.snapshot_timeout_us;
        Some(SnapshotRequest {
            process: self.process,
            from: self.received_through,
        })
    }

    /// Receives a chunk of this transfer. Returns whether the snapshot is complete.
    pub(super) fn receive(&mut self, chunk: &SnapshotChunk, options: &Options) -> bool {
        if !self.is_current(chunk) {
            return false;
        }
        if chunk.ends_window {
            let next_request = self.requested_at.map(|at| at + options.snapshot_request_us);
            self.due = next_request.unwrap_or(self.due).min(self.due);
        }
        let is_new = chunk.next > self.received_through
            && self.out_of_order.get(&chunk.from) < Some(&chunk.next);
        if is_new && self.record_range(chunk.from, chunk.next) {
            self.has_progressed = true;
            self.store_content(chunk);
        }
        self.received_through >= SnapshotCursor::End
    }

    /// Returns whether a chunk belongs to the section that is being received. Buckets and entries must be from the
    /// image of the compacted indexes or a later one.
    fn is_current(&self, chunk: &SnapshotChunk) -> bool {
        let is_of_logs = matches!(chunk.content, SnapshotContent::Logs(_));
        if self.received_through < SnapshotCursor::BUCKETS {
            is_of_logs
        } else {
            !is_of_logs && chunk.image >= self.image
        }
    }

    /// Stores the content that is applied once the snapshot is complete. Buckets have already been merged.
    fn store_content(&mut self, chunk: &SnapshotChunk) {
        match &chunk.content {
            SnapshotContent::Logs(logs) => {
                self.image = self.image.max(chunk.image);
                for compacted in logs {
                    let through = self.logs.entry(compacted.log).or_default();
                    *through = compacted.through.max(*through);
                }
            }
            SnapshotContent::Buckets { .. } => {}
            SnapshotContent::Entries(entries) => self.entries.extend(entries.iter().cloned()),
        }
    }

    /// Records that the part between two cursors was received. Returns false if too many parts are out of order.
    fn record_range(&mut self, from: SnapshotCursor, next: SnapshotCursor) -> bool {
        if from > self.received_through {
            if self.out_of_order.len() >= MAX_OUT_OF_ORDER {
                return false;
            }
            let end = self.out_of_order.entry(from).or_insert(next);
            *end = next.max(*end);
            return true;
        }
        self.received_through = next.max(self.received_through);
        while let Some(first) = self.out_of_order.first_entry() {
            if *first.key() > self.received_through {
                break;
            }
            self.received_through = first.remove().max(self.received_through);
        }
        true
    }

    /// Returns the complete snapshot. Drops entries after the compacted indexes, which may come from a later image.
    pub(super) fn complete(self) -> CompleteSnapshot {
        let Transfer {
            logs, mut entries, ..
        } = self;
        entries.sort_unstable_by_key(|entry| (entry.log, entry.index));
        entries.retain(|entry| {
            logs.get(&entry.log)
                .is_some_and(|through| entry.index <= *through)
        });
        CompleteSnapshot { logs, entries }
    }
}
