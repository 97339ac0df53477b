//! Compaction, and snapshots to and from peers.

use super::Replica;
use crate::snapshot::{Ask, Complete, Image, Progress, Reader};
use crate::wire::MAX_LOGS_PER_DATAGRAM;
use crate::{
    CompactedLog, Compaction, Datagram, Index, LogId, MergedBucket, Micros, Outgoing, Received,
    SnapshotChunk, SnapshotContent, SnapshotCursor, SnapshotOffer, SnapshotRequest,
    MAX_DATAGRAM_BYTES,
};
use std::collections::BTreeMap;

/// When nothing could be moved, it is tried again after this.
const COMPACTION_RETRY_US: Micros = 1_000_000;
/// A peer that was offered a snapshot in so many digest periods and never answered does not know what one is.
const MIN_UNANSWERED_PERIODS: u32 = 64;

/// An image that was not read for so many digest periods is let go.
const MAX_IMAGE_PERIODS: u64 = 64;
/// Datagrams that ask the sender of a snapshot for what stands behind it.
const MAX_REQUESTS_AFTER_SNAPSHOT: usize = 16;

/// A log that a snapshot raised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingSnapshot {
    /// Up to which index it was on the disk before.
    pub(super) durable: Index,
    /// To which it was raised.
    pub(super) through: Index,
}

/// Offers to a peer since it last answered one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Offers {
    /// In how many digest periods.
    periods: u32,
    /// The last of them.
    last: u64,
}

/// While a peer reads a snapshot, so large a part of the entries that may be held is held beyond them: the peer gets as
/// entries what stands behind the snapshot, and not by another one.
const MAX_DEFERRED_DIVISOR: usize = 2;

impl Replica {
    /// Moves the oldest purges to the compact table, if there are more entries than are to be held. It waits a while for a
    /// snapshot that is being read. To be called after each change, or often: it is cheap as long as there is nothing to
    /// move. What it moved is in force as before; the disk is to be brought in line as [`Compaction`] says.
    pub fn compact(&mut self, now: Micros) -> Option<Compaction> {
        let max_entries = self.options.max_exact_entries;
        let exact_len = self.log_store.exact_len();
        if exact_len <= max_entries || now < self.next_compaction {
            return None;
        }
        if self.image.is_some() && exact_len <= max_entries + max_entries / MAX_DEFERRED_DIVISOR {
            return None;
        }
        let logs = self.log_store.last_indexes().into_iter();
        let durable: BTreeMap<LogId, Index> = logs
            .map(|(log, _)| (log, self.durable_index(log)))
            .collect();
        let compaction = self.log_store.compact(now, max_entries, &durable);
        match &compaction {
            Some(compaction) => {
                self.compactions += 1;
                self.counters.compacted += compaction.entries.len() as u64;
            }
            None => self.next_compaction = now + COMPACTION_RETRY_US,
        }
        compaction
    }

    /// Whether this replica knows that it lacks what peers have compacted. Until it has it, purges may be missing here
    /// that no log will bring.
    pub fn is_catching_up(&self) -> bool {
        self.catch_up.is_open(|log| self.log_store.last_index(log))
    }

    /// Peers that were offered a snapshot again and again and did not answer, as those of a version before snapshots:
    /// what they missed while they were away they do not get.
    pub fn peers_without_snapshot(&self) -> Vec<usize> {
        let unanswered = self
            .offers
            .iter()
            .filter(|(_, offers)| offers.periods >= MIN_UNANSWERED_PERIODS);
        unanswered.map(|(peer, _)| *peer).collect()
    }

    /// Offers a snapshot to a peer.
    pub(super) fn offer(&mut self, peer: usize, logs: Vec<CompactedLog>) -> Datagram {
        let offers = self.offers.entry(peer).or_default();
        if offers.last != self.period || offers.periods == 0 {
            *offers = Offers {
                periods: offers.periods + 1,
                last: self.period,
            };
        }
        self.counters.snapshots_offered += 1;
        let total = self.log_store.compacted_logs(LogId::default()).count() as u64;
        Datagram::SnapshotOffer(SnapshotOffer {
            process: self.process,
            total,
            logs,
        })
    }

    /// Asks for the next part of a snapshot, or any peer for one.
    pub(super) fn request_snapshot(&mut self, now: Micros, outgoing: &mut Vec<Outgoing>) {
        let store = &self.log_store;
        let peers = self.pending.count();
        match self
            .catch_up
            .tick(now, &self.options, |log| store.last_index(log))
        {
            None => {}
            Some(Ask::Sender { peer, request }) => {
                outgoing.push(Outgoing {
                    peer,
                    datagram: Datagram::SnapshotRequest(request),
                });
            }
            Some(Ask::Any(_)) if peers == 0 => {}
            Some(Ask::Any(logs)) => {
                let logs = logs.into_iter().take(MAX_LOGS_PER_DATAGRAM);
                let positions = logs
                    .map(|log| (log, self.log_store.last_index(log)))
                    .collect();
                let peer = self.random.below(peers as u64) as usize;
                outgoing.push(Outgoing {
                    peer,
                    datagram: Datagram::RangeRequest { positions },
                });
            }
        }
    }

    pub(super) fn take_offer(&mut self, from: usize, offer: &SnapshotOffer) -> Received {
        self.offers.remove(&from);
        let store = &self.log_store;
        self.catch_up
            .offer(from, offer, |log| store.last_index(log));
        Received::default()
    }

    /// Answers with a part of a snapshot. Who names an earlier process is told of this one.
    pub(super) fn take_request(&mut self, from: usize, request: SnapshotRequest) -> Received {
        self.offers.remove(&from);
        let mut received = Received::default();
        if request.process == self.process {
            self.send_snapshot(request.from, &mut received.replies);
            return received;
        }
        let compacted = self.log_store.compacted_logs(LogId::default());
        let logs: Vec<CompactedLog> = compacted.take(MAX_LOGS_PER_DATAGRAM).collect();
        if !logs.is_empty() {
            received.replies.push(self.offer(from, logs));
        }
        received
    }

    /// The image that is to be read from a cursor on. A snapshot that begins has one of the last compaction.
    fn image_for(&mut self, from: SnapshotCursor) -> Image {
        self.image_period = self.period;
        let is_begin = from == SnapshotCursor::START;
        let known = self
            .image
            .take()
            .filter(|image| !is_begin || image.compactions == self.compactions);
        known.unwrap_or_else(|| {
            self.images += 1;
            Image::new(&self.log_store, self.images, self.compactions)
        })
    }

    /// Lets the image go that nobody has asked for lately.
    pub(super) fn drop_unread_image(&mut self) {
        if self.period - self.image_period > MAX_IMAGE_PERIODS {
            self.image = None;
        }
    }

    /// One window of a snapshot, as far as this period leaves it. It does not go beyond the logs' indexes where it begins
    /// with them: what is read together with them counts for nothing.
    fn send_snapshot(&mut self, from: SnapshotCursor, replies: &mut Vec<Datagram>) {
        let image = self.image_for(from);
        let reader = Reader {
            image: &image,
            store: &self.log_store,
            process: self.process,
        };
        let window = self.options.snapshot_window_bytes().max(MAX_DATAGRAM_BYTES);
        let max_chunks = window.min(self.snapshot_allowance) / MAX_DATAGRAM_BYTES;
        let end = if from < SnapshotCursor::BUCKETS {
            SnapshotCursor::BUCKETS
        } else {
            SnapshotCursor::End
        };
        let mut cursor = from;
        let mut chunks = 0;
        while chunks < max_chunks && cursor < end {
            let Some(mut chunk) = reader.chunk(cursor) else {
                break;
            };
            cursor = chunk.next;
            chunks += 1;
            chunk.ends_window = chunks == max_chunks || cursor >= end;
            replies.push(Datagram::SnapshotChunk(chunk));
        }
        self.image = Some(image);
        self.snapshot_allowance -= chunks * MAX_DATAGRAM_BYTES;
        self.counters.snapshot_chunks_sent += chunks as u64;
    }

    pub(super) fn take_chunk(
        &mut self,
        now: Micros,
        from: usize,
        chunk: &SnapshotChunk,
    ) -> Received {
        self.offers.remove(&from);
        let mut received = Received::default();
        self.merge_buckets(now, &chunk.content, &mut received);
        if let Progress::Complete(complete) = self.catch_up.chunk(from, chunk, &self.options) {
            self.complete_snapshot(from, complete, &mut received);
        }
        received
    }

    /// Takes a chunk's buckets into the table: that is right whoever sent them, and whenever. The sender's clock may be
    /// ahead.
    fn merge_buckets(&mut self, now: Micros, content: &SnapshotContent, received: &mut Received) {
        let SnapshotContent::Buckets {
            bucket_bits,
            buckets,
        } = content
        else {
            return;
        };
        let table = &mut self.log_store.table;
        for placed in buckets {
            let bucket = placed.bucket.no_later_than(now);
            // A bucket that such a table does not have was not read.
            let changed = table
                .merge_bucket(*bucket_bits, placed.index, &bucket)
                .unwrap_or_default();
            let bucket_bits = table.bucket_bits();
            let merged = changed.into_iter().filter_map(|index| {
                let bucket = *table.bucket(index)?;
                Some(MergedBucket {
                    bucket_bits,
                    index,
                    bucket,
                })
            });
            received.buckets.extend(merged);
        }
    }

    /// All of a snapshot is here: the logs go on from where it leaves them.
    fn complete_snapshot(&mut self, from: usize, complete: Complete, received: &mut Received) {
        let mut last_indexes = BTreeMap::new();
        for (log, through) in complete.logs {
            let last_index = self.log_store.last_index(log);
            if through <= last_index {
                continue;
            }
            if last_index == 0 && self.log_store.logs() >= self.options.max_logs {
                self.counters.rejected += 1;
                continue;
            }
            self.raise_to_snapshot(CompactedLog { log, through });
            last_indexes.insert(log, last_index);
            received.compacted.push(CompactedLog { log, through });
        }
        for entry in complete.entries {
            let is_missing = last_indexes
                .get(&entry.log)
                .is_some_and(|last| entry.index > *last);
            if is_missing && self.log_store.take_retained(&entry) {
                self.counters.learned += 1;
                self.unsynced.add(entry.log, entry.index);
                received.new.push(entry);
            }
        }
        self.compactions += 1;
        self.counters.snapshots_received += 1;
        self.request_after_snapshot(&received.compacted, &mut received.replies);
        last_indexes
            .into_keys()
            .for_each(|log| self.take_reordered(from, log, received));
    }

    /// Asks the sender of a snapshot for what stands behind it: others may have compacted more by then.
    fn request_after_snapshot(&self, logs: &[CompactedLog], replies: &mut Vec<Datagram>) {
        let requests = logs
            .chunks(MAX_LOGS_PER_DATAGRAM)
            .take(MAX_REQUESTS_AFTER_SNAPSHOT);
        replies.extend(requests.map(|logs| {
            let positions = logs
                .iter()
                .map(|compacted| (compacted.log, compacted.through));
            Datagram::RangeRequest {
                positions: positions.collect(),
            }
        }));
    }

    fn raise_to_snapshot(&mut self, CompactedLog { log, through }: CompactedLog) {
        let durable = self.durable_index(log);
        let pending = self
            .pending_snapshots
            .entry(log)
            .or_insert(PendingSnapshot { durable, through });
        pending.through = through;
        self.log_store.raise_to_snapshot(log, through);
    }
}
