//! The receiver of snapshots: which logs are behind, from whom a snapshot is received, and what is requested next.
//!
//! One snapshot is received at a time, of one process of one peer. Chunks may be lost, duplicated and out of order. A
//! sender that does not answer is given up, and other peers are asked.

use super::transfer::{CompleteSnapshot, Transfer};
use super::{SnapshotChunk, SnapshotOffer, SnapshotRequest};
use crate::{Index, LogId, Micros, Options};
use std::collections::BTreeMap;

/// How often, once a digest period, peers are asked for the logs that a snapshot which was given up would have brought.
const MAX_REQUEST_ROUNDS: u32 = 120;
/// After a snapshot no other one is received for so many digest periods: peers compact at different times, and most of
/// what another snapshot would bring arrives as entries meanwhile.
const SETTLING_PERIODS: u64 = 20;
/// The most logs that are remembered as behind.
const MAX_MISSING: usize = 1_024;

/// The effect of a chunk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// The snapshot is not complete yet.
    Incomplete,
    /// The snapshot is complete.
    Complete(CompleteSnapshot),
}

/// A request to send now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CatchUpRequest {
    /// To the sender of the snapshot, for its next part.
    Sender {
        /// The sender.
        peer: usize,
        /// The request.
        request: SnapshotRequest,
    },
    /// To any peer, for entries of these logs or the offer of a snapshot.
    Any(Vec<LogId>),
}

/// The time after a snapshot in which no other one is received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum Settling {
    /// It is over.
    #[default]
    Over,
    /// It starts with the next tick.
    Starting,
    /// It lasts until this time.
    Until(Micros),
}

/// What a replica is missing of its peers' snapshots.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct CatchUp {
    transfer: Option<Transfer>,
    /// The logs that are behind, and the indexes through which peers offered them.
    missing: BTreeMap<LogId, Index>,
    /// How often peers were asked since the last offer.
    rounds: u32,
    /// When peers are asked again.
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

    /// Receives a chunk, whose buckets are merged whoever sent it. The rest is used only if it is of the snapshot that is
    /// being received.
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

    /// Starts the settling time if it is due, and returns whether it lasts.
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
            // No peer has any more what was offered.
            self.missing.clear();
            return None;
        }
        self.rounds += 1;
        self.next_round = now + options.digest_period_us;
        Some(CatchUpRequest::Any(self.missing.keys().copied().collect()))
    }

    /// Returns when [`CatchUp::tick`] is to be called next.
    pub(crate) fn due(&self) -> Option<Micros> {
        match (self.settling, &self.transfer) {
            (Settling::Starting, _) => Some(0),
            (Settling::Until(until), _) => Some(until),
            (Settling::Over, Some(transfer)) => Some(transfer.due),
            (Settling::Over, None) => (!self.missing.is_empty()).then_some(self.next_round),
        }
    }

    /// Returns whether a snapshot is missing.
    pub(crate) fn is_behind(&self, last_index: impl Fn(LogId) -> Index) -> bool {
        let is_behind = |(log, through): (&LogId, &Index)| last_index(*log) < *through;
        self.transfer.is_some() || self.missing.iter().any(is_behind)
    }

    /// Reduces the peers to the first `count`. A transfer from any other is given up.
    pub(crate) fn retain_peers(&mut self, count: usize) {
        self.transfer.take_if(|transfer| transfer.peer >= count);
    }

    /// Returns the number of snapshots that were given up because their sender did not answer.
    pub(crate) fn abandoned(&self) -> u64 {
        self.abandoned
    }
}
