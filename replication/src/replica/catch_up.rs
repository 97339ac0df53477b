//! Compaction, and snapshots to and from peers.

use super::Replica;
use crate::snapshot::{CatchUpRequest, CompleteSnapshot, Image, ImageReader, Progress};
use crate::wire::MAX_LOGS_PER_DATAGRAM;
use crate::{
    CompactedLog, Compaction, Datagram, Index, LogId, LogPosition, MergedBucket, Micros, Outgoing,
    Received, SnapshotChunk, SnapshotContent, SnapshotCursor, SnapshotOffer, SnapshotRequest,
    MAX_DATAGRAM_BYTES,
};
use std::collections::BTreeMap;

/// The interval after which compaction is tried again if it could move nothing.
const COMPACTION_RETRY_US: Micros = 1_000_000;
/// A peer that was offered a snapshot in so many digest periods and never answered has a version without snapshots.
const MIN_UNANSWERED_PERIODS: u32 = 64;
/// An image that was not read for so many digest periods is dropped.
const MAX_IMAGE_PERIODS: u64 = 64;
/// The most datagrams that request from the sender of a snapshot the entries after it.
const MAX_REQUESTS_AFTER_SNAPSHOT: usize = 16;
/// While a peer reads a snapshot, compaction is deferred until one part in so many is stored beyond the usual bound: the
/// peer then receives the entries after the snapshot as such, and not by another snapshot.
const MAX_DEFERRED_DIVISOR: usize = 2;

/// A log that a snapshot raised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingSnapshot {
    /// The log's durable index before.
    pub(super) durable: Index,
    /// The index to which the log was raised.
    pub(super) through: Index,
}

/// Offers to a peer since it last answered one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Offers {
    /// The number of digest periods with an offer.
    periods: u32,
    /// The last of them.
    last: u64,
}

impl Replica {
    /// Moves the oldest purges to the compact table if there are more entries than the bound. It waits a while for a
    /// snapshot that is being read. To be called after each change, or often: it is cheap while there is nothing to move.
    /// The moved purges are in force as before; the caller must update the disk as [`Compaction`] says.
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
            .map(|position| (position.log, self.durable_index(position.log)))
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

    /// Returns whether this replica knows that it is behind what peers have compacted. Until it has that, purges may be
    /// missing here that no log will bring.
    pub fn is_catching_up(&self) -> bool {
        self.catch_up.is_open(|log| self.log_store.last_index(log))
    }

    /// Returns the peers that were offered a snapshot again and again and did not answer, as those of a version without
    /// snapshots do: they do not receive what they missed while they were away.
    pub fn peers_without_snapshot(&self) -> Vec<usize> {
        let unanswered = self
            .offers
            .iter()
            .filter(|(_, offers)| offers.periods >= MIN_UNANSWERED_PERIODS);
        unanswered.map(|(peer, _)| *peer).collect()
    }

    /// Returns the offer of a snapshot to a peer.
    pub(super) fn offer(&mut self, peer: usize, logs: Vec<CompactedLog>) -> Datagram {
        let offers = self.offers.entry(peer).or_default();
        if offers.last != self.period || offers.periods == 0 {
            *offers = Offers {
                periods: offers.periods + 1,
                last: self.period,
            };
        }
        self.counters.snapshots_offered += 1;
        let compacted_log_count = self.log_store.compacted_logs(LogId::default()).count() as u64;
        Datagram::SnapshotOffer(SnapshotOffer {
            process: self.process,
            compacted_log_count,
            logs,
        })
    }

    /// Requests the next part of a snapshot from its sender, or the missing logs from any peer.
    pub(super) fn request_snapshot(&mut self, now: Micros, outgoing: &mut Vec<Outgoing>) {
        let store = &self.log_store;
        let peers = self.pending.peer_count();
        let last_index = |log| store.last_index(log);
        match self.catch_up.tick(now, &self.options, last_index) {
            None => {}
            Some(CatchUpRequest::Sender { peer, request }) => {
                outgoing.push(Outgoing {
                    peer,
                    datagram: Datagram::SnapshotRequest(request),
                });
            }
            Some(CatchUpRequest::Any(_)) if peers == 0 => {}
            Some(CatchUpRequest::Any(logs)) => {
                let position = |log| LogPosition {
                    log,
                    index: store.last_index(log),
                };
                let logs = logs.into_iter().take(MAX_LOGS_PER_DATAGRAM);
                let positions = logs.map(position).collect();
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

    /// Replies with a part of a snapshot. A request to an earlier process is answered by an offer of this one.
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

    /// Returns the image to read from a cursor on. A snapshot that starts is read from an image of the last compaction.
    fn image_for(&mut self, from: SnapshotCursor) -> Image {
        self.image_period = self.period;
        let is_start = from == SnapshotCursor::START;
        let current = self
            .image
            .take()
            .filter(|image| !is_start || image.compactions == self.compactions);
        current.unwrap_or_else(|| {
            self.images += 1;
            Image::new(&self.log_store, self.images, self.compactions)
        })
    }

    /// Drops the image if no peer has read it lately.
    pub(super) fn drop_unread_image(&mut self) {
        if self.period - self.image_period > MAX_IMAGE_PERIODS {
            self.image = None;
        }
    }

    /// Sends one window of a snapshot, as much as this period leaves. A window that starts with the logs' indexes ends
    /// with them, as the receiver does not use what is read together with them.
    fn send_snapshot(&mut self, from: SnapshotCursor, replies: &mut Vec<Datagram>) {
        let image = self.image_for(from);
        let reader = ImageReader {
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

    /// Merges a chunk's buckets into the table, which is right whoever sent them and whenever. Their times are bounded by
    /// now, as the sender's clock may be ahead.
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
            // Decoding has checked the index, so that the merge does not fail.
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

    /// Takes a complete snapshot: the logs continue after the indexes to which it raises them.
    fn complete_snapshot(
        &mut self,
        from: usize,
        complete: CompleteSnapshot,
        received: &mut Received,
    ) {
        let mut last_indexes = BTreeMap::new();
        for (log, through) in complete.logs {
            let last_index = self.log_store.last_index(log);
            if through <= last_index {
                continue;
            }
            if last_index == 0 && self.log_store.log_count() >= self.options.max_logs {
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
                self.counters.inserted += 1;
                self.unsynced.insert(entry.log, entry.index);
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

    /// Requests the entries after a snapshot from its sender, as other peers may have compacted more by then.
    fn request_after_snapshot(&self, logs: &[CompactedLog], replies: &mut Vec<Datagram>) {
        let position = |compacted: &CompactedLog| LogPosition {
            log: compacted.log,
            index: compacted.through,
        };
        let requests = logs
            .chunks(MAX_LOGS_PER_DATAGRAM)
            .take(MAX_REQUESTS_AFTER_SNAPSHOT);
        replies.extend(requests.map(|logs| Datagram::RangeRequest {
            positions: logs.iter().map(position).collect(),
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
