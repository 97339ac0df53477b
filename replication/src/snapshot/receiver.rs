//! The receiver of snapshots. Tracks the logs in which this replica is behind, the current transfer and the next
//! request.
//!
//! One snapshot is received at a time, from one process of a peer. Chunks may be lost, duplicated or reordered. If the
//! sender does not answer, the transfer is abandoned and other peers are asked.

use super::transfer::{CompleteSnapshot, Transfer};
use super::{SnapshotChunk, SnapshotOffer, SnapshotRequest};
use crate::{Index, LogId, Micros, Options};
use std::collections::BTreeMap;

/// The maximum number of requests to random peers, one per digest period, for logs that no snapshot has brought up to
/// date.
const MAX_REQUEST_ROUNDS: u32 = 120;
/// The number of digest periods after a snapshot in which no other snapshot is received. Peers compact at different
/// times, and most of what another snapshot contains arrives as entries within these periods.
const SETTLING_PERIODS: u64 = 20;
/// The maximum number of logs that are tracked in `missing`.
const MAX_MISSING: usize = 1_024;

/// The state of a snapshot transfer after a chunk was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// Parts of the snapshot are missing.
    Incomplete,
    /// All parts of the snapshot have been received.
    Complete(CompleteSnapshot),
}

/// A request to send now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CatchUpRequest {
    /// Requests the next part of the snapshot from its sender.
    Sender {
        /// The sender of the snapshot.
        peer: usize,
        /// The request to send.
        request: SnapshotRequest,
    },
    /// Requests entries of these logs, or the offer of a snapshot, from any peer.
    Any(Vec<LogId>),
}

/// The settling time, a pause after a snapshot in which no other snapshot is received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum Settling {
    /// There was no snapshot, or its settling time is over.
    #[default]
    Over,
    /// The settling time starts with the next tick.
    Starting,
    /// The settling time lasts until this time.
    Until(Micros),
}

/// The state of a replica that catches up with the compacted indexes of its peers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct CatchUp {
    transfer: Option<Transfer>,
    /// The logs in which this replica is behind, with the greatest compacted index that a peer has offered.
    missing: BTreeMap<LogId, Index>,
    /// The number of requests to random peers since the last offer.
    rounds: u32,
    /// The time of the next request to a random peer.
    next_round: Micros,
    settling: Settling,
    abandoned: u64,
}

impl CatchUp {
    /// Receives a peer's offer of a snapshot.
    pub(crate) fn receive_offer(
        &mut self,
        peer: usize,
        offer: &SnapshotOffer,
        last_index: impl Fn(LogId) -> Index,
    ) {
        let is_ahead = |through: Index, log: LogId| through > last_index(log);
        let mut is_behind = false;
        for offered in &offer.logs {
            if !is_ahead(offered.through, offered.log) {
                continue;
            }
            is_behind = true;
            if self.missing.len() < MAX_MISSING || self.missing.contains_key(&offered.log) {
                let through = self.missing.entry(offered.log).or_default();
                *through = offered.through.max(*through);
            }
        }
        if !is_behind {
            return;
        }
        self.rounds = 0;
        if self.settling != Settling::Over {
            return;
        }
        let continues =
            |transfer: &Transfer| transfer.peer != peer || transfer.process >= offer.process;
        if !self.transfer.as_ref().is_some_and(continues) {
            self.transfer = Some(Transfer::new(peer, offer.process));
        }
    }

    /// Receives a chunk. Its log indexes and entries are used only if it belongs to the current transfer. The caller
    /// merges its buckets in any case.
    pub(crate) fn receive_chunk(
        &mut self,
        peer: usize,
        chunk: &SnapshotChunk,
        options: &Options,
    ) -> Progress {
        let is_from_sender =
            |transfer: &&mut Transfer| transfer.peer == peer && transfer.process == chunk.process;
        let transfer = self.transfer.as_mut().filter(is_from_sender);
        if !transfer.is_some_and(|transfer| transfer.receive(chunk, options)) {
            return Progress::Incomplete;
        }
        let transfer = self.transfer.take();
        self.settling = Settling::Starting;
        Progress::Complete(transfer.map(Transfer::complete).unwrap_or_default())
    }

    /// Returns the request to send now, if any.
    pub(crate) fn tick(
        &mut self,
        now: Micros,
        options: &Options,
        last_index: impl Fn(LogId) -> Index,
    ) -> Option<CatchUpRequest> {
        self.missing
            .retain(|log, through| last_index(*log) < *through);
        if self.is_settling(now, options) {
            return None;
        }
        if let Some(transfer) = &mut self.transfer {
            if now < transfer.due {
                return None;
            }
            if let Some(request) = transfer.request(now, options) {
                return Some(CatchUpRequest::Sender {
                    peer: transfer.peer,
                    request,
                });
            }
            self.transfer = None;
            self.abandoned += 1;
            self.next_round = now;
        }
        self.request_from_any(now, options)
    }

    /// Starts or ends the settling time if due. Returns whether it is running.
    fn is_settling(&mut self, now: Micros, options: &Options) -> bool {
        let until = match self.settling {
            Settling::Over => return false,
            Settling::Starting => now + SETTLING_PERIODS * options.digest_period_us,
            Settling::Until(until) => until,
        };
        self.settling = if now >= until {
            Settling::Over
        } else {
            Settling::Until(until)
        };
        self.settling != Settling::Over
    }

    fn request_from_any(&mut self, now: Micros, options: &Options) -> Option<CatchUpRequest> {
        if self.missing.is_empty() || now < self.next_round {
            return None;
        }
        if self.rounds >= MAX_REQUEST_ROUNDS {
            // No peer has replied with these logs, so the replica stops requesting them.
            self.missing.clear();
            return None;
        }
        self.rounds += 1;
        self.next_round = now + options.digest_period_us;
        Some(CatchUpRequest::Any(self.missing.keys().copied().collect()))
    }

    /// Returns the time at which [`CatchUp::tick`] must be called next, if it has anything to do.
    pub(crate) fn due(&self) -> Option<Micros> {
        match (self.settling, &self.transfer) {
            (Settling::Starting, _) => Some(0),
            (Settling::Until(until), _) => Some(until),
            (Settling::Over, Some(transfer)) => Some(transfer.due),
            (Settling::Over, None) => (!self.missing.is_empty()).then_some(self.next_round),
        }
    }

    /// Returns whether a transfer is running or this replica is behind in any log.
    pub(crate) fn is_behind(&self, last_index: impl Fn(LogId) -> Index) -> bool {
        let is_behind = |(log, through): (&LogId, &Index)| last_index(*log) < *through;
        self.transfer.is_some() || self.missing.iter().any(is_behind)
    }

    /// Limits the peers to those with an index below `count`. Abandons a transfer from any other peer.
    pub(crate) fn retain_peers(&mut self, count: usize) {
        self.transfer.take_if(|transfer| transfer.peer >= count);
    }

    /// Returns the number of transfers that were abandoned because the sender did not answer.
    pub(crate) fn abandoned(&self) -> u64 {
        self.abandoned
    }
}
