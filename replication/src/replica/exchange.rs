//! Handling of datagrams from peers.

use super::Replica;
use crate::wire::MAX_LOGS_PER_DATAGRAM;
use crate::{
    CapacityExceeded, CompactedLog, Datagram, Entry, Gap, Index, Insertion, LogId, LogPosition,
    Micros, Received,
};

/// A range of a log that a peer is missing.
#[derive(Clone, Copy, Debug)]
struct Range {
    log: LogId,
    gap: Gap,
}

impl Range {
    /// Creates the range of a log after an index.
    fn after(log: LogId, after: Index) -> Self {
        let gap = Gap {
            after,
            through: Index::MAX,
        };
        Range { log, gap }
    }
}

/// The result of the comparison with a peer's positions.
struct Comparison {
    received: Received,
    /// Whether both sides have the same positions in the compared logs.
    is_equal: bool,
}

impl Replica {
    /// Receives a datagram from a peer.
    pub fn receive(&mut self, now: Micros, from: usize, datagram: Datagram) -> Received {
        let received = self.receive_datagram(now, from, datagram);
        for entry in &received.new {
            self.log_store.start_expiry(now, entry);
        }
        received
    }

    fn receive_datagram(&mut self, now: Micros, from: usize, datagram: Datagram) -> Received {
        match datagram {
            Datagram::Entry(entry) => self.receive_entry(from, entry),
            Datagram::RangeRequest { positions } => self.compare(from, &positions).received,
            Datagram::GapRequest { log, gaps } => {
                let ranges = gaps.into_iter().map(|gap| Range { log, gap });
                self.answer(from, ranges)
            }
            Datagram::DigestRequest => Received {
                replies: vec![self.digest()],
                ..Received::default()
            },
            Datagram::Ack { process, positions } => {
                self.receive_ack(from, process, &positions);
                Received::default()
            }
            Datagram::Digest {
                positions,
                log_count,
                checksum,
            } => self.receive_digest(from, &positions, log_count, checksum),
            Datagram::SnapshotOffer(offer) => self.receive_offer(from, &offer),
            Datagram::SnapshotRequest(request) => self.receive_snapshot_request(from, request),
            Datagram::SnapshotChunk(chunk) => self.receive_chunk(now, from, &chunk),
        }
    }

    /// Records a peer's durable indexes of this proxy's own logs. Indexes of other writers' logs are skipped.
    fn receive_ack(&mut self, from: usize, process: u64, positions: &[LogPosition]) {
        for LogPosition { log, index } in positions {
            if log.writer == self.own.writer {
                self.pending_commits
                    .record_ack(from, process, log.epoch, *index);
            }
        }
    }

    fn receive_digest(
        &mut self,
        from: usize,
        positions: &[LogPosition],
        log_count: u64,
        checksum: u64,
    ) -> Received {
        let Comparison {
            mut received,
            is_equal,
        } = self.compare(from, positions);
        if checksum == self.log_store.checksum() {
            self.offers.remove(&from);
            return received;
        }
        if positions.len() as u64 == log_count {
            // The digest lists all of the peer's logs, so the peer has no entries of any log that is missing from the
            // digest.
            let is_named = |log: &LogId| positions.iter().any(|named| named.log == *log);
            let logs = self.log_store.last_indexes().into_iter();
            let unknown = logs.map(|position| position.log).filter(|l| !is_named(l));
            let ranges: Vec<Range> = unknown.map(|log| Range::after(log, 0)).collect();
            let answer = self.answer(from, ranges.into_iter());
            received.replies.extend(answer.replies);
        } else if is_equal {
            // The listed logs are equal on both sides but the checksums differ, so the difference is in other logs.
            received.replies.push(Datagram::RangeRequest {
                positions: self.next_positions(),
            });
        }
        received
    }

    fn receive_entry(&mut self, from: usize, entry: Entry) -> Received {
        let mut received = Received::default();
        let log = entry.log;
        self.insert_entry(from, entry, &mut received);
        self.insert_reordered(from, log, &mut received);
        received
    }

    /// Inserts the buffered entries of a log that now follow its last index.
    pub(super) fn insert_reordered(&mut self, from: usize, log: LogId, received: &mut Received) {
        while let Some(next) = self
            .reorder_buffer
            .take_next(log, self.log_store.last_index(log))
        {
            self.insert_entry(from, next, received);
        }
    }

    fn insert_entry(&mut self, from: usize, entry: Entry, received: &mut Received) {
        let (log, index) = (entry.log, entry.index);
        match self.log_store.try_insert(&entry, self.capacity()) {
            Insertion::New => {
                self.counters.inserted += 1;
                self.reset_gap_requests();
                self.unsynced.insert(log, index);
                self.ack_once_synced(log, index, from);
                received.new.push(entry);
            }
            Insertion::Duplicate => {
                self.counters.duplicates += 1;
                // A peer that sends an entry again has not received the acknowledgement of the entry.
                let durable_index = self.durable_index(log);
                if durable_index >= index {
                    received.replies.push(self.ack(log, durable_index));
                } else {
                    self.ack_once_synced(log, index, from);
                }
            }
            Insertion::OutOfOrder => {
                self.counters.out_of_order += 1;
                if self
                    .reorder_buffer
                    .insert(&entry, self.options.max_reordered_entries)
                {
                    self.reset_gap_requests();
                }
                self.reorder_sender = from;
                received.out_of_order.push(entry);
            }
            Insertion::Rejected(CapacityExceeded) => {
                self.counters.rejected += 1;
                received.rejected.push(entry);
            }
        }
    }

    /// Resets the interval of gap requests to the retry interval, after a new entry has arrived.
    fn reset_gap_requests(&mut self) {
        if let Some(timer) = &mut self.gap_request {
            timer.unanswered = 0;
        }
    }

    /// Compares this replica's positions with those of a peer. Replies with the entries that the peer is missing, and
    /// requests those that only the peer has.
    fn compare(&mut self, from: usize, positions: &[LogPosition]) -> Comparison {
        let mut behind = Vec::new();
        let mut ranges = Vec::new();
        for LogPosition { log, index: theirs } in positions {
            let ours = self.log_store.last_index(*log);
            if ours > *theirs {
                ranges.push(Range::after(*log, *theirs));
            } else if ours < *theirs {
                behind.push(LogPosition {
                    log: *log,
                    index: ours,
                });
            }
        }
        let mut received = self.answer(from, ranges.into_iter());
        let is_equal = behind.is_empty() && received.replies.is_empty();
        if !behind.is_empty() {
            received
                .replies
                .push(Datagram::RangeRequest { positions: behind });
        }
        Comparison { received, is_equal }
    }

    /// Replies with the entries that a peer is missing, within the limit of this period. A peer that is missing
    /// compacted entries of a log is offered a snapshot instead, because it could not insert the entries after them.
    fn answer(&mut self, peer: usize, ranges: impl Iterator<Item = Range>) -> Received {
        let mut received = Received::default();
        let mut compacted = Vec::new();
        for range in ranges {
            let through = self.log_store.compacted_through(range.log);
            if range.gap.after >= through {
                self.send_range(range, &mut received.replies);
            } else if compacted.len() < MAX_LOGS_PER_DATAGRAM {
                compacted.push(CompactedLog {
                    log: range.log,
                    through,
                });
            }
        }
        if !compacted.is_empty() {
            received.replies.push(self.offer(peer, compacted));
        }
        received
    }

    /// Adds the entries of a range to the replies, within the limits per range and per period.
    fn send_range(&mut self, range: Range, replies: &mut Vec<Datagram>) {
        let capacity = self.options.max_entries_per_range.min(self.allowance);
        let before = replies.len();
        let entries = self.log_store.entries_after(range.log, range.gap.after);
        let entries = entries.take_while(|entry| entry.index <= range.gap.through);
        replies.extend(entries.take(capacity).map(Datagram::Entry));
        let sent = replies.len() - before;
        self.allowance -= sent;
        self.counters.sent += sent as u64;
    }
}
