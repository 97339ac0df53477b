//! Writes compactions to the store in stages: the header of the compact table, the buckets, the markers of the logs
//! (the index through which each log is compacted), and then the removal of the entries that were moved to the buckets.
//! A stage begins once all writes of the previous stage are synced, so that each purge is always on the disk, either as
//! an entry or in a bucket.
//!
//! Writes are submitted while the queue of the worker has capacity. A failed write is submitted again in the same
//! stage. A bucket is encoded when its write is submitted, so that an older state never overwrites a newer one. The
//! compactions that are written together form a step; those that are added meanwhile form the next step.

use super::table;
use linnetknot_purges::{BucketBits, BucketIndex, CompactTable};
use linnetknot_replication::{CompactedLog, Compaction, Entry, Index, LogId};
use linnetknot_store::{Completion, StoreWorker, Write, WriteId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What a write stores or removes.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Item {
    /// The header of the table or the format of the store.
    Header(Write),
    Bucket(BucketIndex),
    Marker(CompactedLog),
    Removal(Entry),
}

/// The stage of the current step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stage {
    /// No step is being written.
    #[default]
    Idle,
    Header,
    Buckets,
    Markers,
    Removals,
}

/// Compactions that are written together.
#[derive(Debug, Default)]
struct Step {
    buckets: BTreeSet<BucketIndex>,
    markers: BTreeMap<LogId, Index>,
    entries: Vec<Entry>,
    /// Logs whose markers were advanced by a snapshot of a peer. The replica is notified once these markers are synced.
    snapshots: Vec<CompactedLog>,
}

impl Step {
    fn is_empty(&self) -> bool {
        self.buckets.is_empty() && self.markers.is_empty() && self.entries.is_empty()
    }

    fn add_marker(&mut self, marker: CompactedLog) {
        let through = self.markers.entry(marker.log).or_default();
        *through = marker.through.max(*through);
    }
}

/// A write that was submitted and has not completed.
#[derive(Debug)]
struct InFlight {
    write: WriteId,
    item: Item,
}

/// Writes compactions to the store. Holds the compactions that are not synced and the stage of their writes.
#[derive(Debug, Default)]
pub(super) struct CompactionWriter {
    stage: Stage,
    has_header: bool,
    /// The current step, without the items of the stages that have begun.
    step: Step,
    /// The items added since the current step began.
    next: Step,
    /// The items of the current stage that have not been submitted.
    unsubmitted: VecDeque<Item>,
    /// The submitted items whose writes have not completed, in order.
    in_flight: VecDeque<InFlight>,
    /// Whether a write has failed. Nothing is submitted until `retry` is called.
    is_failing: bool,
}

/// Fault injection: whether entries are removed before their buckets are synced. Always false without the feature
/// `points`.
fn removes_early() -> bool {
    fail::fail_point!("plant-early-removal", |_| true);
    false
}

impl CompactionWriter {
    /// Creates a writer for a store with or without the header of the table.
    pub(super) fn new(has_header: bool) -> Self {
        CompactionWriter {
            has_header,
            ..Self::default()
        }
    }

    /// Whether all added compactions are synced.
    pub(super) fn is_idle(&self) -> bool {
        self.stage == Stage::Idle && self.next.is_empty()
    }

    /// Adds a compaction that the replica of this process has made.
    pub(super) fn add(&mut self, compaction: Compaction) {
        self.next.buckets.extend(compaction.buckets);
        compaction
            .logs
            .into_iter()
            .for_each(|marker| self.next.add_marker(marker));
        self.next.entries.extend(compaction.entries);
    }

    /// Adds a bucket into which a bucket of a peer was merged.
    pub(super) fn add_bucket(&mut self, index: BucketIndex) {
        self.next.buckets.insert(index);
    }

    /// Adds a log whose marker was advanced by a snapshot of a peer. Must be called after all buckets of the snapshot
    /// were added.
    pub(super) fn add_snapshot(&mut self, marker: CompactedLog) {
        self.next.add_marker(marker);
        self.next.snapshots.push(marker);
    }

    /// Allows failed writes to be submitted again.
    pub(super) fn retry(&mut self) {
        self.is_failing = false;
    }

    /// Submits writes while the queue has more capacity than `reserve`, which is reserved for log entries. Returns the
    /// logs whose markers from snapshots are now synced.
    pub(super) fn submit(
        &mut self,
        worker: &mut StoreWorker,
        reserve: usize,
        table: &CompactTable,
    ) -> Vec<CompactedLog> {
        let mut synced = Vec::new();
        while !self.is_failing {
            if self.unsubmitted.is_empty() && !self.in_flight.is_empty() {
                break;
            }
            let Some(item) = self.unsubmitted.front() else {
                if self.is_idle() {
                    break;
                }
                self.advance(table.bucket_bits(), &mut synced);
                continue;
            };
            if worker.capacity() <= reserve {
                break;
            }
            let Some(write) = worker.submit(write(item, table)) else {
                break;
            };
            self.in_flight.extend(
                self.unsubmitted
                    .pop_front()
                    .map(|item| InFlight { write, item }),
            );
        }
        synced
    }

    /// Processes the completion of writes.
    pub(super) fn complete(&mut self, completion: &Completion) {
        let is_completed = |in_flight: &InFlight| in_flight.write <= completion.through;
        while self.in_flight.front().is_some_and(is_completed) {
            let Some(InFlight { item, .. }) = self.in_flight.pop_front() else {
                break;
            };
            if completion.result.is_err() {
                self.is_failing = true;
                self.unsubmitted.push_back(item);
            }
        }
    }

    /// Begins the next stage once all writes of the current one are synced.
    fn advance(&mut self, bucket_bits: BucketBits, synced: &mut Vec<CompactedLog>) {
        match self.stage {
            Stage::Idle => self.step = std::mem::take(&mut self.next),
            Stage::Header => self.has_header = true,
            Stage::Markers => synced.append(&mut self.step.snapshots),
            Stage::Buckets | Stage::Removals => {}
        }
        self.stage = self.next_stage();
        self.unsubmitted = self.take_items(bucket_bits);
    }

    fn next_stage(&self) -> Stage {
        match self.stage {
            Stage::Idle if removes_early() => Stage::Removals,
            Stage::Removals if removes_early() && !self.step.buckets.is_empty() => Stage::Header,
            Stage::Idle => Stage::Header,
            Stage::Header => Stage::Buckets,
            Stage::Buckets => Stage::Markers,
            Stage::Markers => Stage::Removals,
            Stage::Removals => Stage::Idle,
        }
    }

    /// Moves the items of the current stage out of the step.
    fn take_items(&mut self, bucket_bits: BucketBits) -> VecDeque<Item> {
        let step = &mut self.step;
        match self.stage {
            Stage::Idle => VecDeque::new(),
            Stage::Header if self.has_header => VecDeque::new(),
            Stage::Header => table::create(bucket_bits).map(Item::Header).into(),
            Stage::Buckets => std::mem::take(&mut step.buckets)
                .into_iter()
                .map(Item::Bucket)
                .collect(),
            Stage::Markers => {
                let markers = std::mem::take(&mut step.markers).into_iter();
                markers
                    .map(|(log, through)| Item::Marker(CompactedLog { log, through }))
                    .collect()
            }
            Stage::Removals => std::mem::take(&mut step.entries)
                .into_iter()
                .map(Item::Removal)
                .collect(),
        }
    }
}

/// Encodes the write of an item from the current table.
fn write(item: &Item, table: &CompactTable) -> Write {
    match item {
        Item::Header(write) => write.clone(),
        Item::Bucket(index) => table::put_bucket(table, *index),
        Item::Marker(marker) => table::put_marker(*marker),
        Item::Removal(entry) => super::codec::remove(entry),
    }
}
