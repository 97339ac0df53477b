//! The receiver of a snapshot: which part it has, and what it asks for next.
//!
//! One snapshot is received at a time, of one process of one peer. Chunks may be lost, doubled and out of order: what
//! is covered without holes counts, and what came early is remembered. A sender that does not answer is given up, and
//! others are asked.

use super::{SnapshotChunk, SnapshotContent, SnapshotCursor, SnapshotOffer, SnapshotRequest};
use crate::{Entry, Index, LogId, Micros, Options};
use std::collections::BTreeMap;

/// A sender is given up after so many requests in a row of which nothing came.
const MAX_VAIN_REQUESTS: u32 = 16;
/// Peers are asked so often, once a digest period, for what a snapshot that was given up would have brought.
const MAX_ROUNDS: u32 = 120;
/// After a snapshot this many digest periods are left to the logs, before another one is begun: peers compact at
/// different times, and most of what one more would bring comes as entries meanwhile.
const SETTLING_PERIODS: u64 = 20;
/// Parts that came early and are remembered.
const MAX_EARLY: usize = 1_024;
/// Logs of which it is remembered that this replica is behind.
const MAX_MISSING: usize = 1_024;

/// A snapshot that is being received.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Transfer {
    peer: usize,
    /// The peer's process.
    process: u64,
    /// All before it is had.
    covered: SnapshotCursor,
    /// Parts behind that: where they begin and end.
    early: BTreeMap<SnapshotCursor, SnapshotCursor>,
    /// Through which index the logs are compacted.
    logs: BTreeMap<LogId, Index>,
    /// The sender's image that they were read from. What was read from an earlier one counts for nothing.
    image: u64,
    /// Entries that are to be taken in once it is complete.
    entries: Vec<Entry>,
    /// When something was last asked for; none: not yet.
    requested_at: Option<Micros>,
    /// When something is to be asked for again.
    due: Micros,
    /// Whether something came of the last request.
    has_progressed: bool,
    /// Requests in a row of which nothing came.
    vain: u32,
}

/// A snapshot that is complete.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Complete {
    /// Through which index the logs are compacted.
    pub(crate) logs: BTreeMap<LogId, Index>,
    /// What stands there and is no purge.
    pub(crate) entries: Vec<Entry>,
}

/// What a chunk brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// No end.
    Incomplete,
    /// The end.
    Complete(Complete),
}

/// What is to be asked now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Ask {
    /// The sender, for the next part.
    Sender {
        /// Its place.
        peer: usize,
        /// What.
        request: SnapshotRequest,
    },
    /// Any peer, for entries of these logs or an offer.
    Any(Vec<LogId>),
}

/// What is missing of peers' snapshots.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct CatchUp {
    transfer: Option<Transfer>,
    /// Through which index logs were offered of which less is had here.
    missing: BTreeMap<LogId, Index>,
    /// How often peers were asked since the last offer, and when they are again.
    rounds: u32,
    ask_at: Micros,
    /// Set by a complete snapshot, and until when no other one is begun, once a tick has told the time.
    settling: Option<Option<Micros>>,
    abandoned: u64,
}

impl CatchUp {
    /// A peer offers a snapshot of logs of which this replica has less.
    pub(crate) fn offer(
        &mut self,
        peer: usize,
        offer: &SnapshotOffer,
        last_index: impl Fn(LogId) -> Index,
    ) {
        let ahead = offer
            .logs
            .iter()
            .filter(|offered| offered.through > last_index(offered.log));
        let mut is_behind = false;
        for offered in ahead {
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
        if self.settling.is_some() {
            return;
        }
        let is_open =
            |transfer: &Transfer| transfer.peer != peer || transfer.process >= offer.process;
        if !self.transfer.as_ref().is_some_and(is_open) {
            self.transfer = Some(Transfer::new(peer, offer.process));
        }
    }

    /// A chunk has come. Its buckets are merged whoever sent it; what it covers counts if it is of the snapshot that is
    /// being received.
    pub(crate) fn chunk(
        &mut self,
        peer: usize,
        chunk: &SnapshotChunk,
        options: &Options,
    ) -> Progress {
        let of_this = |t: &&mut Transfer| t.peer == peer && t.process == chunk.process;
        let Some(transfer) = self.transfer.as_mut().filter(of_this) else {
            return Progress::Incomplete;
        };
        transfer.take(chunk, options);
        if transfer.covered < SnapshotCursor::End {
            return Progress::Incomplete;
        }
        let transfer = self.transfer.take();
        self.settling = Some(None);
        Progress::Complete(transfer.map(Transfer::complete).unwrap_or_default())
    }

    /// What is to be asked now, if something is.
    pub(crate) fn tick(
        &mut self,
        now: Micros,
        options: &Options,
        last_index: impl Fn(LogId) -> Index,
    ) -> Option<Ask> {
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
                return Some(Ask::Sender {
                    peer: transfer.peer,
                    request,
                });
            }
            self.transfer = None;
            self.abandoned += 1;
            self.ask_at = now;
        }
        self.ask_any(now, options)
    }

    /// Whether the logs have their time after a snapshot.
    fn is_settling(&mut self, now: Micros, options: &Options) -> bool {
        let Some(settling) = &mut self.settling else {
            return false;
        };
        let until = *settling.get_or_insert(now + SETTLING_PERIODS * options.digest_period_us);
        if now >= until {
            self.settling = None;
        }
        self.settling.is_some()
    }

    fn ask_any(&mut self, now: Micros, options: &Options) -> Option<Ask> {
        if self.missing.is_empty() || now < self.ask_at {
            return None;
        }
        if self.rounds >= MAX_ROUNDS {
            // Nobody has any more what was offered.
            self.missing.clear();
            return None;
        }
        self.rounds += 1;
        self.ask_at = now + options.digest_period_us;
        Some(Ask::Any(self.missing.keys().copied().collect()))
    }

    /// When `tick` has something to do.
    pub(crate) fn due(&self) -> Option<Micros> {
        match (&self.settling, &self.transfer) {
            (Some(until), _) => Some(until.unwrap_or(0)),
            (None, Some(transfer)) => Some(transfer.due),
            (None, None) => (!self.missing.is_empty()).then_some(self.ask_at),
        }
    }

    /// Whether a snapshot is missing.
    pub(crate) fn is_open(&self, last_index: impl Fn(LogId) -> Index) -> bool {
        let is_behind = |(log, through): (&LogId, &Index)| last_index(*log) < *through;
        self.transfer.is_some() || self.missing.iter().any(is_behind)
    }

    /// There are so many peers now: what is received of one that is no longer among them is asked of any.
    pub(crate) fn retain_peers(&mut self, count: usize) {
        if self
            .transfer
            .as_ref()
            .is_some_and(|transfer| transfer.peer >= count)
        {
            self.transfer = None;
        }
    }

    /// Snapshots that were given up.
    pub(crate) fn abandoned(&self) -> u64 {
        self.abandoned
    }
}

impl Transfer {
    fn new(peer: usize, process: u64) -> Self {
        Transfer {
            peer,
            process,
            covered: SnapshotCursor::START,
            early: BTreeMap::new(),
            logs: BTreeMap::new(),
            image: 0,
            entries: Vec::new(),
            requested_at: None,
            due: 0,
            has_progressed: false,
            vain: 0,
        }
    }

    /// The next request; none: the sender does not answer.
    fn request(&mut self, now: Micros, options: &Options) -> Option<SnapshotRequest> {
        let is_vain = self.requested_at.is_some() && !self.has_progressed;
        self.vain = if is_vain { self.vain + 1 } else { 0 };
        if self.vain > MAX_VAIN_REQUESTS {
            return None;
        }
        self.has_progressed = false;
        self.requested_at = Some(now);
        self.due = now + options.snapshot_timeout_us;
        Some(SnapshotRequest {
            process: self.process,
            from: self.covered,
        })
    }

    /// Takes in what a chunk covers, if it counts.
    fn take(&mut self, chunk: &SnapshotChunk, options: &Options) {
        let is_of_logs = matches!(chunk.content, SnapshotContent::Logs(_));
        // Buckets and entries count only if they are of the image of the logs' indexes, or of a later one.
        let counts = match self.covered < SnapshotCursor::BUCKETS {
            true => is_of_logs,
            false => !is_of_logs && chunk.image >= self.image,
        };
        if !counts {
            return;
        }
        if chunk.ends_window {
            let interval = self.requested_at.map(|at| at + options.snapshot_request_us);
            self.due = interval.unwrap_or(self.due).min(self.due);
        }
        if chunk.next <= self.covered || self.early.get(&chunk.from) >= Some(&chunk.next) {
            return;
        }
        if self.cover(chunk.from, chunk.next) {
            self.has_progressed = true;
            self.keep(chunk);
        }
    }

    /// Keeps what is needed once all is complete.
    fn keep(&mut self, chunk: &SnapshotChunk) {
        match &chunk.content {
            SnapshotContent::Logs(logs) => {
                self.image = self.image.max(chunk.image);
                for compacted in logs {
                    let through = self.logs.entry(compacted.log).or_default();
                    *through = compacted.through.max(*through);
                }
            }
            SnapshotContent::Buckets { .. } => {}
            SnapshotContent::Entries(entries) => self.entries.extend(entries.iter().cloned()),
        }
    }

    /// Covers what stands between two cursors. False where there is no room to remember it.
    fn cover(&mut self, from: SnapshotCursor, next: SnapshotCursor) -> bool {
        if from > self.covered {
            if self.early.len() >= MAX_EARLY {
                return false;
            }
            let end = self.early.entry(from).or_insert(next);
            *end = next.max(*end);
            return true;
        }
        self.covered = next.max(self.covered);
        while let Some(first) = self
            .early
            .first_entry()
            .filter(|first| *first.key() <= self.covered)
        {
            self.covered = first.remove().max(self.covered);
        }
        true
    }

    fn complete(self) -> Complete {
        let Transfer {
            logs, mut entries, ..
        } = self;
        entries.sort_unstable_by_key(|entry| (entry.log, entry.index));
        entries.retain(|entry| {
            logs.get(&entry.log)
                .is_some_and(|through| entry.index <= *through)
        });
        Complete { logs, entries }
    }
}
