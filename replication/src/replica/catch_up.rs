//! Compaction, and the exchange of snapshots with peers.

use super::Replica;
use crate::snapshot::{CatchUpRequest, CompleteSnapshot, Image, ImageReader, Progress};
use crate::wire::MAX_LOGS_PER_DATAGRAM;
use crate::{
    CompactedLog, Compaction, Datagram, Index, LogId, LogPosition, MergedBucket, Micros, Outgoing,
    Received, SnapshotChunk, SnapshotContent, SnapshotCursor, SnapshotOffer, SnapshotRequest,
    MAX_DATAGRAM_BYTES,
};
use std::collections::BTreeMap;

/// The delay before compaction is retried after an attempt that moved nothing.
const COMPACTION_RETRY_US: Micros = 1_000_000;
/// The number of digest periods with unanswered offers after which a peer counts as running a version without
/// snapshots.
const MIN_UNANSWERED_PERIODS: u32 = 64;
/// The number of digest periods after which an image that no peer has read is dropped.
const MAX_IMAGE_IDLE_PERIODS: u64 = 64;
/// The maximum number of datagrams that request the entries after a snapshot from its sender.
const MAX_REQUESTS_AFTER_SNAPSHOT: usize = 16;
/// Divisor of the maximum number of entries. While a peer reads a snapshot, compaction is deferred until the maximum is
/// exceeded by the result. The peer can then receive the entries after the snapshot without another snapshot.
const MAX_DEFERRED_DIVISOR: usize = 2;

/// A log that a snapshot advanced to a higher index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingSnapshot {
    /// The log's durable index before the snapshot.
    pub(super) durable: Index,
    /// The index to which the snapshot advanced the log.
    pub(super) through: Index,
}

/// Snapshot offers to a peer since the peer last answered one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct UnansweredOffers {
    /// The number of digest periods in which an offer was sent.
    periods: u32,
    /// The number of the last digest period in which an offer was sent.
    last_period: u64,
}

impl Replica {
    /// Moves the oldest purges to the compact table if the maximum number of entries is exceeded. Compaction is
    /// deferred, up to a limit, while a peer reads a snapshot. Should be called after each change; the call is cheap if
    /// there is nothing to move. The moved purges stay effective. The caller must update the disk as described at
    /// [`Compaction`].
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

    /// Returns whether this replica is known to be behind the compacted index of a peer. Until it has received a
    /// snapshot, it may be missing purges that are no longer replicated as entries.
    pub fn is_catching_up(&self) -> bool {
        self.catch_up
            .is_behind(|log| self.log_store.last_index(log))
    }

    /// Returns the peers that have repeatedly not answered the offer of a snapshot, which is how versions without
    /// snapshots behave. These peers do not receive the purges that were compacted while they were unreachable.
    pub fn peers_without_snapshot(&self) -> Vec<usize> {
        let unanswered = self
            .offers
            .iter()
            .filter(|(_, offers)| offers.periods >= MIN_UNANSWERED_PERIODS);
        unanswered.map(|(peer, _)| *peer).collect()
    }

    /// Creates the offer of a snapshot to a peer.
    pub(super) fn offer(&mut self, peer: usize, logs: Vec<CompactedLog>) -> Datagram {
        let offers = self.offers.entry(peer).or_default();
        if offers.last_period != self.period || offers.periods == 0 {
            *offers = UnansweredOffers {
                periods: offers.periods + 1,
                last_period: self.period,
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

    /// Requests the next part of a snapshot from its sender, or the missing logs from a random peer, if a request is
    /// due.
    pub(super) fn request_snapshot(&mut self, now: Micros, outgoing: &mut Vec<Outgoing>) {
        let store = &self.log_store;
        let peers = self.pending_commits.peer_count();
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

    pub(super) fn receive_offer(&mut self, from: usize, offer: &SnapshotOffer) -> Received {
        self.offers.remove(&from);
        let store = &self.log_store;
        self.catch_up
            .receive_offer(from, offer, |log| store.last_index(log));
        Received::default()
    }

    /// Replies to a request with a part of the snapshot, or with a new offer if the request is addressed to an earlier
    /// process.
    pub(super) fn receive_snapshot_request(
        &mut self,
        from: usize,
        request: SnapshotRequest,
    ) -> Received {
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

    /// Returns the image that a request for the given cursor is served from. A request for the start of a snapshot is
    /// served from an image that includes the latest compaction.
    fn image_for(&mut self, from: SnapshotCursor) -> Image {
        self.image_period = self.period;
        let is_start = from == SnapshotCursor::START;
        let current = self
            .image
            .take()
            .filter(|image| !is_start || image.compactions == self.compactions);
        current.unwrap_or_else(|| {
            self.image_count += 1;
            Image::new(&self.log_store, self.image_count, self.compactions)
        })
    }

    /// Drops the image if no peer has read it recently.
    pub(super) fn drop_unread_image(&mut self) {
        if self.period - self.image_period > MAX_IMAGE_IDLE_PERIODS {
            self.image = None;
        }
    }

    /// Sends one window of a snapshot, within the limit of this period. A window with log indexes contains nothing
    /// else, because the receiver needs all of them before it accepts buckets and entries.
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

    pub(super) fn receive_chunk(
        &mut self,
        now: Micros,
        from: usize,
        chunk: &SnapshotChunk,
    ) -> Received {
        self.offers.remove(&from);
        let mut received = Received::default();
        self.merge_buckets(now, &chunk.content, &mut received);
        if let Progress::Complete(complete) =
            self.catch_up.receive_chunk(from, chunk, &self.options)
        {
            self.complete_snapshot(from, complete, &mut received);
        }
        received
    }

    /// Merges the buckets of a chunk into the table. This is safe for chunks of any sender and at any time. The times
    /// in the buckets are limited to `now`, because the sender's clock may be ahead.
    fn merge_buckets(&mut self, now: Micros, content: &SnapshotContent, received: &mut Received) {
        let SnapshotContent::Buckets {
            bucket_bits,
            buckets,
        } = content
        else {
            return;
        };
        let table = &mut self.log_store.table;
        for indexed in buckets {
            let bucket = indexed.bucket.no_later_than(now);
            // The merge does not fail, because decoding has checked the index.
            let changed = table
                .merge_bucket(*bucket_bits, indexed.index, &bucket)
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

    /// Applies a complete snapshot: advances the logs to its indexes and inserts its entries.
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
            self.advance_to_snapshot(CompactedLog { log, through });
            last_indexes.insert(log, last_index);
            received.compacted.push(CompactedLog { log, through });
        }
        for entry in complete.entries {
            let is_missing = last_indexes
                .get(&entry.log)
                .is_some_and(|last| entry.index > *last);
            if is_missing && self.log_store.insert_retained(&entry) {
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
            .for_each(|log| self.insert_reordered(from, log, received));
    }

    /// Requests the entries after a snapshot from its sender, because other peers may have moved them to their tables.
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

    fn advance_to_snapshot(&mut self, CompactedLog { log, through }: CompactedLog) {
        let durable = self.durable_index(log);
        let pending = self
            .pending_snapshots
            .entry(log)
            .or_insert(PendingSnapshot { durable, through });
        pending.through = through;
        self.log_store.advance_to_snapshot(log, through);
    }
}
