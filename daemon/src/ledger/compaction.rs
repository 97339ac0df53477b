//! The order in which a compaction comes to the disk: the store's header, the buckets, the logs' markers, and only then
//! the removal of the entries that were moved to the buckets. A stage begins once all writes of the one before it are
//! synced, so that at any moment each purge is on the disk as an entry or in a bucket.
//!
//! Writes are handed to the worker as its queue has room; one that failed is handed over again in its stage. A bucket is
//! written as it is when it is handed over, so that no earlier state of it comes behind a later one. What comes while a
//! step is on its way makes the next step.

use super::table;
use linnetknot_purges::{BucketBits, BucketIndex, CompactTable};
use linnetknot_replication::{CompactedLog, Compaction, Entry, Index, LogId};
use linnetknot_store::{Completion, StoreWorker, Write, WriteId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What a write is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Item {
    /// The store's format and the table's header.
    Begin(Write),
    Bucket(BucketIndex),
    Marker(CompactedLog),
    Removal(Entry),
}

/// What is written next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stage {
    /// Nothing is to be written.
    #[default]
    Idle,
    Header,
    Buckets,
    Markers,
    Removals,
}

/// What comes to the disk together.
#[derive(Debug, Default)]
struct Step {
    buckets: BTreeSet<BucketIndex>,
    markers: BTreeMap<LogId, Index>,
    entries: Vec<Entry>,
    /// Logs that a peer's snapshot brought further: the replica is told once their markers are synced.
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

/// Compactions on their way to the disk.
#[derive(Debug, Default)]
pub(super) struct CompactionWriter {
    stage: Stage,
    has_header: bool,
    /// The step that is written, less what was handed over.
    step: Step,
    /// What came since that began.
    next: Step,
    /// What of the stage is to be handed over.
    to_give: VecDeque<Item>,
    in_flight: VecDeque<(WriteId, Item)>,
    /// A write failed: nothing is handed over before `retry`.
    is_failing: bool,
}

/// Never: only a fault that tests plant takes entries off the disk before their buckets are synced.
fn removes_early() -> bool {
    fail::fail_point!("plant-early-removal", |_| true);
    false
}

impl CompactionWriter {
    /// Of a store that has the table's header, or not yet.
    pub(super) fn new(has_header: bool) -> Self {
        CompactionWriter {
            has_header,
            ..Self::default()
        }
    }

    /// Whether all that was added is on the disk.
    pub(super) fn is_idle(&self) -> bool {
        self.stage == Stage::Idle && self.next.is_empty()
    }

    /// Adds a compaction of this replica's logs.
    pub(super) fn add(&mut self, compaction: Compaction) {
        self.next.buckets.extend(compaction.buckets);
        compaction
            .logs
            .into_iter()
            .for_each(|marker| self.next.add_marker(marker));
        self.next.entries.extend(compaction.entries);
    }

    /// Adds a bucket that a peer's was merged into.
    pub(super) fn add_bucket(&mut self, index: BucketIndex) {
        self.next.buckets.insert(index);
    }

    /// Adds a log that a peer's snapshot brought further, after all buckets of the snapshot.
    pub(super) fn add_snapshot(&mut self, marker: CompactedLog) {
        self.next.add_marker(marker);
        self.next.snapshots.push(marker);
    }

    /// Lets writes that failed be handed over again.
    pub(super) fn retry(&mut self) {
        self.is_failing = false;
    }

    /// Hands over as much as the queue takes, less what it reserves for entries. Returns the logs of snapshots that are
    /// on the disk by now.
    pub(super) fn give(
        &mut self,
        worker: &mut StoreWorker,
        reserve: usize,
        table: &CompactTable,
    ) -> Vec<CompactedLog> {
        let mut synced = Vec::new();
        while !self.is_failing {
            if self.to_give.is_empty() && !self.in_flight.is_empty() {
                break;
            }
            let Some(item) = self.to_give.front() else {
                if self.is_idle() {
                    break;
                }
                self.advance(table.bucket_bits(), &mut synced);
                continue;
            };
            let has_room = worker.capacity() > reserve;
            let ticket = has_room
                .then(|| worker.submit(write(item, table)))
                .flatten();
            let Some(ticket) = ticket else { break };
            self.in_flight
                .extend(self.to_give.pop_front().map(|item| (ticket, item)));
        }
        synced
    }

    /// Takes in what became of writes.
    pub(super) fn settle(&mut self, done: &Completion) {
        while self
            .in_flight
            .front()
            .is_some_and(|(ticket, _)| *ticket <= done.through)
        {
            let Some((_, item)) = self.in_flight.pop_front() else {
                break;
            };
            if done.result.is_err() {
                self.is_failing = true;
                self.to_give.push_back(item);
            }
        }
    }

    /// All of the stage is on the disk: begins the next one.
    fn advance(&mut self, bucket_bits: BucketBits, synced: &mut Vec<CompactedLog>) {
        match self.stage {
            Stage::Idle => self.step = std::mem::take(&mut self.next),
            Stage::Header => self.has_header = true,
            Stage::Markers => synced.append(&mut self.step.snapshots),
            Stage::Buckets | Stage::Removals => {}
        }
        self.stage = self.next_stage();
        self.to_give = self.items(bucket_bits);
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

    /// What the stage that begins is to write.
    fn items(&mut self, bucket_bits: BucketBits) -> VecDeque<Item> {
        let step = &mut self.step;
        match self.stage {
            Stage::Idle => VecDeque::new(),
            Stage::Header if self.has_header => VecDeque::new(),
            Stage::Header => table::begin(bucket_bits).map(Item::Begin).into(),
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

fn write(item: &Item, table: &CompactTable) -> Write {
    match item {
        Item::Begin(write) => write.clone(),
        Item::Bucket(index) => table::put_bucket(table, *index),
        Item::Marker(marker) => table::put_marker(*marker),
        Item::Removal(entry) => super::codec::remove(entry),
    }
}
