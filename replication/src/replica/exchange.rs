//! Datagrams from peers, and the replies to them.

use super::Replica;
use crate::wire::MAX_LOGS_PER_DATAGRAM;
use crate::{
    CapacityExceeded, CompactedLog, Datagram, Entry, Gap, Index, Insertion, LogId, LogPosition,
    Micros, Received,
};

/// A part of a log that a peer is missing.
#[derive(Clone, Copy, Debug)]
struct Range {
    log: LogId,
    gap: Gap,
}

impl Range {
    /// All of a log after an index.
    fn after(log: LogId, after: Index) -> Self {
        let gap = Gap {
            after,
            through: Index::MAX,
        };
        Range { log, gap }
    }
}

/// The replies to a peer's positions.
struct Comparison {
    received: Received,
    /// Whether both have the same of these logs.
    is_equal: bool,
}

impl Replica {
    /// Receives a datagram from a peer.
    pub fn receive(&mut self, now: Micros, from: usize, datagram: Datagram) -> Received {
        let received = self.receive_datagram(now, from, datagram);
        for entry in &received.new {
            self.log_store.begin_expiry(now, entry);
        }
        received
    }

    fn receive_datagram(&mut self, now: Micros, from: usize, datagram: Datagram) -> Received {
        match datagram {
            Datagram::Entry(entry) => self.take(from, entry),
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
                self.take_ack(from, process, &positions);
                Received::default()
            }
            Datagram::Digest {
                positions,
                log_count,
                checksum,
            } => self.take_digest(from, &positions, log_count, checksum),
            Datagram::SnapshotOffer(offer) => self.take_offer(from, &offer),
            Datagram::SnapshotRequest(request) => self.take_request(from, request),
            Datagram::SnapshotChunk(chunk) => self.take_chunk(now, from, &chunk),
        }
    }

    /// Records what a peer has of this proxy's own logs; only their writer needs to know.
    fn take_ack(&mut self, from: usize, process: u64, positions: &[LogPosition]) {
        for LogPosition { log, index } in positions {
            if log.writer == self.own.writer {
                self.pending.record_ack(from, process, log.epoch, *index);
            }
        }
    }

    fn take_digest(
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
            // The peer named all its logs: it has no other.
            let is_named = |log: &LogId| positions.iter().any(|named| named.log == *log);
            let logs = self.log_store.last_indexes().into_iter();
            let unknown = logs.map(|position| position.log).filter(|l| !is_named(l));
            let ranges: Vec<Range> = unknown.map(|log| Range::after(log, 0)).collect();
            let answer = self.answer(from, ranges.into_iter());
            received.replies.extend(answer.replies);
        } else if is_equal {
            // The logs that it named are the same here: the difference is in others.
            received.replies.push(Datagram::RangeRequest {
                positions: self.some_positions(),
            });
        }
        received
    }

    fn take(&mut self, from: usize, entry: Entry) -> Received {
        let mut received = Received::default();
        let log = entry.log;
        self.take_one(from, entry, &mut received);
        self.take_reordered(from, log, &mut received);
        received
    }

    /// Takes the entries of a log from the reorder buffer that follow now.
    pub(super) fn take_reordered(&mut self, from: usize, log: LogId, received: &mut Received) {
        while let Some(next) = self.reorder.next(log, self.log_store.last_index(log)) {
            self.take_one(from, next, received);
        }
    }

    fn take_one(&mut self, from: usize, entry: Entry, received: &mut Received) {
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
                // A peer that sends a known entry also asks for its acknowledgement.
                let durable_index = self.durable_index(log);
                if durable_index >= index {
                    received.replies.push(self.ack(log, durable_index));
                } else {
                    self.ack_once_synced(log, index, from);
                }
            }
            Insertion::OutOfOrder => {
                self.counters.out_of_order += 1;
                if self.reorder.put(&entry, self.options.max_reordered_entries) {
                    self.reset_gap_requests();
                }
                self.reorder_from = from;
                received.out_of_order.push(entry);
            }
            Insertion::Rejected(CapacityExceeded) => {
                self.counters.rejected += 1;
                received.rejected.push(entry);
            }
        }
    }

    /// Something new arrived: the remaining gaps are requested at the retry interval again.
    fn reset_gap_requests(&mut self) {
        if let Some(timer) = &mut self.gap_request {
            timer.unanswered = 0;
        }
    }

    /// Sends the entries that a peer is missing, and requests those that it has beyond.
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

    /// Sends the entries that a peer is missing, as many as this period leaves. A peer that is missing compacted entries
    /// of a log is offered a snapshot, and sent no later entries, which it could not take.
    fn answer(&mut self, peer: usize, ranges: impl Iterator<Item = Range>) -> Received {
        let mut received = Received::default();
        let mut compacted = Vec::new();
        for range in ranges {
            let through = self.log_store.compacted_through(range.log);
            if range.gap.after >= through {
                self.send(range, &mut received.replies);
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

    /// Sends the entries of a part of a log, as many as this period leaves.
    fn send(&mut self, range: Range, replies: &mut Vec<Datagram>) {
        let capacity = self.options.max_entries_per_reply.min(self.allowance);
        let before = replies.len();
        let entries = self.log_store.entries_after(range.log, range.gap.after);
        let entries = entries.take_while(|entry| entry.index <= range.gap.through);
        replies.extend(entries.take(capacity).map(Datagram::Entry));
        let sent = replies.len() - before;
        self.allowance -= sent;
        self.counters.sent += sent as u64;
    }
}
