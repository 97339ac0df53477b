//! What peers say, and the answers to it.

use super::Replica;
use crate::wire::MAX_LOGS_PER_DATAGRAM;
use crate::{
    CapacityExceeded, CompactedLog, Datagram, Entry, Index, Insertion, LogId, Micros, Received,
};

/// A part of a log that a peer lacks.
#[derive(Clone, Copy, Debug)]
struct Range {
    log: LogId,
    /// It has the log up to here.
    behind: Index,
    /// It lacks nothing after this.
    through: Index,
}

impl Replica {
    /// Takes in what a peer says, known by its place.
    pub fn receive(&mut self, now: Micros, from: usize, datagram: Datagram) -> Received {
        let received = self.take_in(now, from, datagram);
        for entry in &received.new {
            self.log_store.begin_expiry(now, entry);
        }
        received
    }

    fn take_in(&mut self, now: Micros, from: usize, datagram: Datagram) -> Received {
        match datagram {
            Datagram::Entry(entry) => self.take(from, entry),
            Datagram::RangeRequest { positions } => self.compare(from, &positions).0,
            Datagram::GapRequest { log, gaps } => {
                let range = |(behind, through)| Range {
                    log,
                    behind,
                    through,
                };
                self.answer(from, gaps.into_iter().map(range))
            }
            Datagram::DigestRequest => Received {
                replies: vec![self.digest()],
                ..Received::default()
            },
            Datagram::Ack { process, positions } => {
                // What others have of others' logs is for those to know.
                for (log, index) in positions {
                    if log.writer == self.own.writer {
                        self.pending
                            .durable_index((from, process), log.epoch, index);
                    }
                }
                Received::default()
            }
            Datagram::Digest {
                positions,
                all,
                sum,
            } => self.take_digest(from, &positions, all, sum),
            Datagram::SnapshotOffer(offer) => self.take_offer(from, &offer),
            Datagram::SnapshotRequest(request) => self.take_request(from, request),
            Datagram::SnapshotChunk(chunk) => self.take_chunk(now, from, &chunk),
        }
    }

    fn take_digest(
        &mut self,
        from: usize,
        positions: &[(LogId, Index)],
        all: u64,
        sum: u64,
    ) -> Received {
        let (mut received, settled) = self.compare(from, positions);
        if sum == self.log_store.checksum() {
            self.offers.remove(&from);
            return received;
        }
        if positions.len() as u64 == all {
            // Logs that the peer does not have at all.
            let logs = self
                .log_store
                .last_indexes()
                .into_iter()
                .map(|(log, _)| log);
            let unknown = logs.filter(|log| !positions.iter().any(|(named, _)| named == log));
            let ranges: Vec<Range> = unknown
                .map(|log| Range {
                    log,
                    behind: 0,
                    through: Index::MAX,
                })
                .collect();
            received
                .replies
                .extend(self.answer(from, ranges.into_iter()).replies);
        } else if settled {
            // What it named of its many is the same here: the difference is elsewhere.
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

    /// Takes in what came early of a log, as far as it follows now.
    pub(super) fn take_reordered(&mut self, from: usize, log: LogId, received: &mut Received) {
        while let Some(next) = self.reorder.next(log, self.log_store.last_index(log)) {
            self.take_one(from, next, received);
        }
    }

    fn take_one(&mut self, from: usize, entry: Entry, received: &mut Received) {
        let (log, index) = (entry.log, entry.index);
        match self.log_store.take(&entry, self.capacity()) {
            Insertion::New => {
                self.counters.learned += 1;
                self.reset_gap_requests();
                self.unsynced.add(log, index);
                self.ack_once_synced(log, index, from);
                received.new.push(entry);
            }
            Insertion::Known => {
                self.counters.known += 1;
                // Whoever sends what is known asks whether it is kept, too.
                let durable_index = self.durable_index(log);
                if durable_index >= index {
                    let positions = vec![(log, durable_index)];
                    received.replies.push(Datagram::Ack {
                        process: self.process,
                        positions,
                    });
                } else {
                    self.ack_once_synced(log, index, from);
                }
            }
            Insertion::OutOfOrder => {
                self.counters.out_of_order += 1;
                if self.reorder.put(&entry, self.options.reorder) {
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

    /// Something that was not here has come: what is missing still is asked for as soon as at first.
    fn reset_gap_requests(&mut self) {
        self.gap_request
            .iter_mut()
            .for_each(|(_, asked)| *asked = 0);
    }

    /// Sends what a peer lacks and asks for what it has more of; true where there was nothing of either.
    fn compare(&mut self, from: usize, positions: &[(LogId, Index)]) -> (Received, bool) {
        let mut wanted = Vec::new();
        let mut ranges = Vec::new();
        for (log, theirs) in positions {
            let ours = self.log_store.last_index(*log);
            if ours > *theirs {
                ranges.push(Range {
                    log: *log,
                    behind: *theirs,
                    through: Index::MAX,
                });
            } else if ours < *theirs {
                wanted.push((*log, ours));
            }
        }
        let mut received = self.answer(from, ranges.into_iter());
        let settled = wanted.is_empty() && received.replies.is_empty();
        if !wanted.is_empty() {
            received
                .replies
                .push(Datagram::RangeRequest { positions: wanted });
        }
        (received, settled)
    }

    /// Sends what a peer lacks, as much as this period leaves. Where it lacks what was compacted here, it is offered a
    /// snapshot, and is sent nothing that stands behind that: it could not take it in.
    fn answer(&mut self, peer: usize, ranges: impl Iterator<Item = Range>) -> Received {
        let mut received = Received::default();
        let mut compacted = Vec::new();
        for range in ranges {
            let through = self.log_store.compacted(range.log);
            if range.behind >= through {
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

    /// Entries of a part of a log, as many as this period leaves.
    fn send(&mut self, range: Range, replies: &mut Vec<Datagram>) {
        let capacity = self.options.batch.min(self.allowance);
        let before = replies.len();
        let entries = self.log_store.entries_after(range.log, range.behind);
        let entries = entries.take_while(|entry| entry.index <= range.through);
        replies.extend(entries.take(capacity).map(Datagram::Entry));
        let sent = replies.len() - before;
        self.allowance -= sent;
        self.counters.sent += sent as u64;
    }
}
