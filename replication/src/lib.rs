//! What one proxy was told and all must keep: purges by neighbours and the status of their triggers, and what
//! operators decided, as logs that are copied from proxy to proxy.
//!
//! Sans-IO. Each proxy is the only writer of its own log, so nothing has to be agreed on: an entry is named by writer,
//! epoch and sequence and never changes. Proxies tell each other how far they have each log, and whoever has more
//! sends what is missing, its own entries and those of others alike. So an entry reaches a proxy that was away, that
//! is cut off from the writer alone, or whose disk is lost, by way of any other that has it.
//!
//! An epoch is one run of a log. A proxy that starts with its disk goes on with its epoch; one that lost it begins a new
//! one, and the entries of its old epoch come back from the others as any entry does.
//!
//! What a proxy committed must outlive its machine. So it is told by its disk and by its peers what each has for good,
//! and says which commits may be given (`commit`).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod commit;
mod log_store;
mod recovery;
mod reorder;
mod status;
mod wire;

use commit::{PendingCommits, Unsynced};
use linnetknot_datagram::Random;
use reorder::ReorderBuffer;
use std::collections::BTreeMap;

pub use commit::{CommitId, CommitOutcome, Machine, RejectReason};
pub use linnetknot_datagram::{DecodeError, MAX_DATAGRAM_BYTES};
pub use log_store::{Capacity, CapacityExceeded, Insertion, LogStore};
pub use recovery::Recovery;
pub use status::pieces;
pub use wire::Datagram;

/// Time or duration in microseconds, Unix time where it is a time of day.
pub type Micros = u64;
/// A writer: a hash of the proxy's name.
pub type Writer = u64;
/// An epoch of a writer's log: the time of its beginning.
pub type Epoch = u64;
/// Place in a log, from 1.
pub type Index = u64;
/// A log: what one writer appends within one epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LogId {
    /// Whose log it is.
    pub writer: Writer,
    /// In which of the writer's epochs.
    pub epoch: Epoch,
}

impl LogId {
    /// The log of a writer's epoch.
    pub const fn new(writer: Writer, epoch: Epoch) -> Self {
        LogId { writer, epoch }
    }
}

/// A datagram that is to be sent, and to whom.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The peer's place in the list that [`Replica::peers`] was given.
    pub peer: usize,
    /// What it is sent.
    pub datagram: Datagram,
}

/// What an entry is about: what was purged, what the operators of its writer decided, or a trigger's status.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    /// An object.
    Object(String),
    /// All objects of a group.
    Group(u64),
    /// An operator's ban of a pop cache, by its id.
    Ban(String),
    /// An operator's drain of the proxy.
    Drain,
    /// One of the pieces, from 0, into which the status of a trigger is cut (`pieces`). It never changes.
    Status {
        /// The trigger's number, its writer's alone.
        number: u64,
        /// Which piece.
        part: u16,
        /// Its text.
        text: String,
    },
    /// A neighbour has done with the status of a trigger, which another proxy may have written.
    Gone {
        /// Whose trigger it was.
        writer: Writer,
        /// Its number there.
        number: u64,
    },
}

impl Subject {
    /// Whether an entry of this is of use for a time only, and gone after it.
    pub fn is_expiring(&self) -> bool {
        matches!(self, Subject::Status { .. } | Subject::Gone { .. })
    }
}

/// An entry of a log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Entry {
    /// Its log.
    pub log: LogId,
    /// Its index there.
    pub index: Index,
    /// The index of the entry before it that is still in force, or 0: all between the two were superseded.
    pub prev: Index,
    /// What it is about.
    pub subject: Subject,
    /// When.
    pub at: Micros,
    /// What the operators decided is over; a purge never is.
    pub revoked: bool,
}

/// Bounds and times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Options {
    /// Entries of all logs together that hold for good.
    pub entries: usize,
    /// Those of the status of triggers, besides.
    pub expiring: usize,
    /// These are of use for so long.
    pub expiry_us: Micros,
    /// Logs: writers by their epochs.
    pub logs: usize,
    /// How often a peer is sent how far the logs are had here.
    pub digest_period_us: Micros,
    /// Entries sent in answer to one message of a peer that has less.
    pub batch: usize,
    /// Entries sent in one period, to all: copying must leave the loop to requests.
    pub max_entries_per_period: usize,
    /// Entries that came early, kept until those before them come.
    pub reorder: usize,
    /// What stands before those is asked for after this.
    pub gap_request_us: Micros,
    /// Further machines that must have a commit on their disks before it is given.
    pub min_acks: usize,
    /// Further machines that are to have each entry in the end.
    pub replication_factor: usize,
    /// A commit that can't be given within this is refused.
    pub commit_timeout_us: Micros,
    /// Peers are asked so often what they have, while a commit waits for them.
    pub retry_us: Micros,
    /// Commits that may wait at a time.
    pub max_pending: usize,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            entries: 20_000,
            expiring: 20_000,
            expiry_us: 3_600_000_000,
            logs: 1_024,
            digest_period_us: 500_000,
            batch: 256,
            max_entries_per_period: 512,
            reorder: 1_024,
            gap_request_us: 10_000,
            min_acks: 1,
            replication_factor: 2,
            commit_timeout_us: 1_000_000,
            retry_us: 50_000,
            max_pending: 1_024,
        }
    }
}

/// Logs of which what is missing is asked for at a time, and datagrams that name it of one.
const MAX_GAP_LOGS: usize = 8;

/// What is missing is asked for so often in haste, while nothing comes of it.
const MAX_FAST_GAP_REQUESTS: u32 = 16;

/// What came of a datagram.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// Entries that were not known here, to be put in force and on the disk.
    pub new: Vec<Entry>,
    /// Entries before which others are missing: to be put in force, as a floor does not wait for those before it. They
    /// come again.
    pub out_of_order: Vec<Entry>,
    /// What the sender is to be told.
    pub replies: Vec<Datagram>,
    /// An entry that there was no room for. It is asked for again; in force it must be all the same.
    pub rejected: Vec<Entry>,
}

/// Counts for the operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counters {
    /// Entries sent to peers.
    pub sent: u64,
    /// Entries that were new here.
    pub learned: u64,
    /// Entries that were known.
    pub known: u64,
    /// Entries that came before ones that are missing still.
    pub out_of_order: u64,
    /// Entries for which there was no room.
    pub rejected: u64,
    /// Commits given.
    pub committed: u64,
    /// Commits refused.
    pub commits_rejected: u64,
}

/// The logs that one proxy has, and what it tells its peers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Replica {
    own: LogId,
    /// This process among those of its name.
    process: u64,
    log_store: LogStore,
    reorder: ReorderBuffer,
    /// Who sent the last of them.
    reorder_from: usize,
    /// When peers are asked for what stands before those, and how often they were since anything came of it.
    gap_request: Option<(Micros, u32)>,
    options: Options,
    random: Random,
    due: Micros,
    /// Entries that may still be sent in this period.
    allowance: usize,
    /// The log with which the next message begins, where they don't fit into one.
    next: Option<LogId>,
    /// What is not on this proxy's disk.
    unsynced: Unsynced,
    /// Peers that are to be sent once it is, by log, up to the index that they sent.
    pending_acks: BTreeMap<(LogId, usize), Index>,
    pending: PendingCommits,
    /// When peers are asked again what they have.
    next_retry: Micros,
    counters: Counters,
}

impl Replica {
    /// The logs of a proxy: its own goes on in this epoch, behind what `log_store` holds of it. `process` grows with each process
    /// of this name, and seeds what it draws.
    pub fn new(own: LogId, log_store: LogStore, process: u64, options: Options) -> Self {
        let random = Random::new(process ^ own.writer.rotate_left(17) ^ own.epoch);
        Replica {
            own,
            process,
            log_store,
            reorder: ReorderBuffer::default(),
            reorder_from: 0,
            gap_request: None,
            options,
            random,
            due: 0,
            allowance: options.max_entries_per_period,
            next: None,
            unsynced: Unsynced::default(),
            pending_acks: BTreeMap::new(),
            pending: PendingCommits::default(),
            next_retry: 0,
            counters: Counters::default(),
        }
    }

    /// Its own log.
    pub fn own(&self) -> LogId {
        self.own
    }

    /// What it has.
    pub fn log_store(&self) -> &LogStore {
        &self.log_store
    }

    /// Counts so far.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Whose machine is which: this proxy's own and those of its peers, by whose indexes in this list they are known
    /// from here on.
    pub fn peers(&mut self, own: Machine, peers: Vec<Machine>) {
        self.pending.peers(own, peers);
        self.pending_acks.clear();
    }

    /// A new entry of its own log. It is for the caller to put it on the disk and to send it to all peers at once;
    /// those whom that misses get it later.
    pub fn append(&mut self, subject: Subject, at: Micros, revoked: bool) -> Result<Entry, CapacityExceeded> {
        let entry = self.log_store.append(self.own, (subject, at, revoked), self.capacity())?;
        self.unsynced.add(entry.log, entry.index);
        Ok(entry)
    }

    fn capacity(&self) -> Capacity {
        let Options { entries, expiring, logs, .. } = self.options;
        Capacity { entries, expiring, logs }
    }

    /// Lets entries go whose time is over, to be taken off the disk, too.
    pub fn expire(&mut self, now: Micros) -> Vec<Entry> {
        self.log_store.expire(now, self.options.expiry_us)
    }

    /// When `tick` or `settle` has something to do.
    pub fn due(&self) -> Micros {
        let waits =
            self.pending.until(self.options.commit_timeout_us).map(|until| until.min(self.next_retry));
        let gap_request = (!self.reorder.is_empty()).then_some(self.gap_request.map_or(0, |(at, _)| at));
        [waits, gap_request].into_iter().flatten().fold(self.due, Micros::min)
    }

    /// Once a period: what to tell which peer, by its place. While a commit waits, those that it may wait for are
    /// asked more often.
    pub fn tick(&mut self, now: Micros) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        let peers = self.pending.count();
        self.request_gaps(now, &mut outgoing);
        let (is_waiting, is_due) = (self.pending.is_waiting(), now >= self.due);
        if is_due {
            // Spread by up to a quarter, so that the messages of many proxies do not fall together.
            self.due =
                now + self.options.digest_period_us + self.random.below(self.options.digest_period_us / 4);
            self.allowance = self.options.max_entries_per_period;
            if peers > 0 {
                let peer = self.random.below(peers as u64) as usize;
                let datagram = self.digest();
                outgoing.push(Outgoing { peer, datagram });
            }
        } else if !is_waiting || now < self.next_retry {
            return outgoing;
        }
        self.next_retry = now + self.options.retry_us;
        self.resend_unacked(&mut outgoing);
        outgoing
    }

    /// Asks a peer for what stands before entries that came early; any may have it.
    fn request_gaps(&mut self, now: Micros, outgoing: &mut Vec<Outgoing>) {
        let peers = self.pending.count() as u64;
        if self.reorder.is_empty() || peers == 0 {
            self.gap_request = None;
            return;
        }
        // Most of what is missing at first was overtaken on its way, and comes by itself.
        let (at, asked) = *self.gap_request.get_or_insert((now + self.options.gap_request_us, 0));
        if now < at {
            return;
        }
        // What nobody has any more, as its writer was lost with it, is asked for as seldom as all else.
        let wait =
            if asked < MAX_FAST_GAP_REQUESTS { self.options.retry_us } else { self.options.digest_period_us };
        self.gap_request = Some((now + wait, asked + 1));
        // Who sent what is behind it has it mostly; any other may, should that one's link be cut.
        let drawn = self.random.below(2 * peers) as usize;
        let peer = if drawn < peers as usize { drawn } else { self.reorder_from };
        for log in self.reorder.logs().take(MAX_GAP_LOGS) {
            let gaps = self.reorder.gaps(log, self.log_store.last_index(log));
            let messages = gaps.chunks(wire::MAX_GAPS_PER_DATAGRAM).take(MAX_GAP_LOGS);
            outgoing.extend(messages.map(|gaps| {
                let datagram = Datagram::GapRequest { log, gaps: gaps.to_vec() };
                Outgoing { peer, datagram }
            }));
        }
    }

    /// Sends the last entry of each of its own epochs to those peers that are not known to have it on their disks:
    /// whoever has it says so again, and whoever lacks entries before it asks for them.
    fn resend_unacked(&mut self, outgoing: &mut Vec<Outgoing>) {
        let own = self.own.writer;
        let epochs = self.log_store.last_indexes().into_iter().filter(|(log, _)| log.writer == own);
        for (log, end) in epochs.collect::<Vec<_>>() {
            let Some(last) = self.log_store.entries_after(log, end - 1).next() else { continue };
            for peer in (0..self.pending.count()).filter(|peer| self.pending.of(*peer, log.epoch) < end) {
                if self.allowance == 0 {
                    return;
                }
                self.allowance -= 1;
                outgoing.push(Outgoing { peer, datagram: Datagram::Entry(last.clone()) });
            }
        }
    }

    // ---- PendingCommits ----

    /// The answer to whoever told what stands in this epoch's log up to an index is to wait until it is kept, or can't be.
    /// Places never go down from one commit to the next.
    pub fn open_commit(&mut self, now: Micros, index: Index) -> Result<CommitId, RejectReason> {
        if !self.pending.is_waiting() {
            // Peers were sent the entry just now: they are asked again only after a while.
            self.next_retry = now + self.options.retry_us;
        }
        let opened = self.pending.open(now, index, self.options.max_pending);
        self.counters.commits_rejected += u64::from(opened.is_err());
        opened
    }

    /// Commits that are kept, and those that can't be.
    pub fn resolve_commits(&mut self, now: Micros) -> Vec<CommitOutcome> {
        let durable_index = self.durable_index(self.own);
        let (min_acks, timeout_us) = (self.options.min_acks, self.options.commit_timeout_us);
        let outcomes = self.pending.resolve_commits(
            now,
            self.own,
            (durable_index, &self.unsynced),
            (min_acks, timeout_us),
        );
        let kept = outcomes.iter().filter(|s| s.result.is_ok()).count() as u64;
        self.counters.committed += kept;
        self.counters.commits_rejected += outcomes.len() as u64 - kept;
        outcomes
    }

    /// Up to which index all that is in force of a log is on this proxy's disk.
    pub fn durable_index(&self, log: LogId) -> Index {
        self.unsynced.through(log, self.log_store.last_index(log))
    }

    /// Whether all that the log store has is on the disk.
    pub fn is_synced(&self) -> bool {
        self.unsynced.is_empty()
    }

    /// An entry is on the disk: which peers are to be told so.
    pub fn synced(&mut self, log: LogId, index: Index) -> Vec<Outgoing> {
        self.unsynced.synced(log, index);
        let durable_index = self.durable_index(log);
        let due = self
            .pending_acks
            .range((log, 0)..=(log, usize::MAX))
            .filter(|(_, index)| **index <= durable_index);
        let peers: Vec<usize> = due.map(|((_, peer), _)| *peer).collect();
        let tell = |peer| {
            self.pending_acks.remove(&(log, peer));
            let positions = vec![(log, durable_index)];
            Outgoing { peer, datagram: Datagram::Ack { process: self.process, positions } }
        };
        peers.into_iter().map(tell).collect()
    }

    /// The disk did not take an entry. It is in force, and is given again by `again`.
    pub fn sync_failed(&mut self, log: LogId, index: Index) {
        self.unsynced.sync_failed(log, index);
    }

    /// Entries to be put on the disk again. One that was superseded meanwhile need not be there once all behind it are,
    /// the one in its place among them.
    pub fn take_failed(&mut self) -> Vec<Entry> {
        let mut entries = Vec::new();
        for (log, index) in self.unsynced.take_failed() {
            match self.log_store.entries_after(log, index - 1).next().filter(|entry| entry.index == index) {
                Some(entry) => entries.push(entry),
                None if self.unsynced.is_last(log, index) => self.unsynced.synced(log, index),
                None => self.unsynced.sync_failed(log, index),
            }
        }
        entries
    }

    /// Entries of its own logs that fewer further machines are known to have than are to.
    pub fn under_replicated(&self) -> usize {
        let epochs =
            self.log_store.last_indexes().into_iter().filter(|(log, _)| log.writer == self.own.writer);
        let short = |(log, _): (LogId, Index)| {
            self.log_store
                .entries_after(log, self.pending.through(log.epoch, self.options.replication_factor))
                .count()
        };
        epochs.map(short).sum()
    }

    /// How far a peer is known to have the log of this epoch on its disk.
    pub fn acked_by(&self, peer: usize) -> Index {
        self.pending.of(peer, self.own.epoch)
    }

    /// How far it has its logs. One without any says so too, as that is how it gets them.
    fn digest(&mut self) -> Datagram {
        let (all, sum) = (self.log_store.logs() as u64, self.log_store.checksum());
        Datagram::Digest { positions: self.some_positions(), all, sum }
    }

    /// As many logs as fit into a datagram, a different part each time.
    fn some_positions(&mut self) -> Vec<(LogId, Index)> {
        let all = self.log_store.last_indexes();
        let from = self.next.and_then(|next| all.iter().position(|(log, _)| *log >= next)).unwrap_or(0);
        let some: Vec<_> =
            all.iter().cycle().skip(from).take(all.len().min(wire::MAX_LOGS_PER_DATAGRAM)).copied().collect();
        self.next = all.get((from + some.len()) % all.len().max(1)).map(|(log, _)| *log);
        some
    }

    /// Takes in what a peer says, known by its place.
    pub fn receive(&mut self, from: usize, datagram: Datagram) -> Received {
        match datagram {
            Datagram::Entry(entry) => self.take(from, entry),
            Datagram::RangeRequest { positions } => self.compare(&positions).0,
            Datagram::GapRequest { log, gaps } => {
                let mut received = Received::default();
                gaps.into_iter().for_each(|(behind, through)| {
                    self.send(log, (behind, through), &mut received.replies);
                });
                received
            }
            Datagram::DigestRequest => Received { replies: vec![self.digest()], ..Received::default() },
            Datagram::Ack { process, positions } => {
                // What others have of others' logs is for those to know.
                for (log, index) in positions {
                    if log.writer == self.own.writer {
                        self.pending.durable_index((from, process), log.epoch, index);
                    }
                }
                Received::default()
            }
            Datagram::Digest { positions, all, sum } => {
                let (mut received, settled) = self.compare(&positions);
                if sum == self.log_store.checksum() {
                    return received;
                }
                if positions.len() as u64 == all {
                    // Logs that the peer does not have at all.
                    let logs = self.log_store.last_indexes().into_iter().map(|(log, _)| log);
                    let unknown: Vec<LogId> =
                        logs.filter(|log| !positions.iter().any(|(named, _)| named == log)).collect();
                    unknown
                        .into_iter()
                        .for_each(|log| self.send(log, (0, Index::MAX), &mut received.replies));
                } else if settled {
                    // What it named of its many is the same here: the difference is elsewhere.
                    received.replies.push(Datagram::RangeRequest { positions: self.some_positions() });
                }
                received
            }
        }
    }

    fn take(&mut self, from: usize, entry: Entry) -> Received {
        let mut received = Received::default();
        let log = entry.log;
        self.take_one(from, entry, &mut received);
        while let Some(next) = self.reorder.next(log, self.log_store.last_index(log)) {
            self.take_one(from, next, &mut received);
        }
        received
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
                    received
                        .replies
                        .push(Datagram::Ack { process: self.process, positions: vec![(log, durable_index)] });
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
        self.gap_request.iter_mut().for_each(|(_, asked)| *asked = 0);
    }

    /// A peer is to be told once this index is on the disk.
    fn ack_once_synced(&mut self, log: LogId, index: Index, peer: usize) {
        let latest = self.pending_acks.entry((log, peer)).or_insert(index);
        *latest = (*latest).max(index);
    }

    /// Sends what a peer lacks and asks for what it has more of; true where there was nothing of either.
    fn compare(&mut self, positions: &[(LogId, Index)]) -> (Received, bool) {
        let mut received = Received::default();
        let mut wanted = Vec::new();
        for (log, theirs) in positions {
            let ours = self.log_store.last_index(*log);
            if ours > *theirs {
                self.send(*log, (*theirs, Index::MAX), &mut received.replies);
            } else if ours < *theirs {
                wanted.push((*log, ours));
            }
        }
        let settled = wanted.is_empty() && received.replies.is_empty();
        if !wanted.is_empty() {
            received.replies.push(Datagram::RangeRequest { positions: wanted });
        }
        (received, settled)
    }

    /// Entries of a log behind an index and up to another, as many as this period leaves.
    fn send(&mut self, log: LogId, (index, through): (Index, Index), replies: &mut Vec<Datagram>) {
        let capacity = self.options.batch.min(self.allowance);
        let before = replies.len();
        let entries = self.log_store.entries_after(log, index).take_while(|entry| entry.index <= through);
        replies.extend(entries.take(capacity).map(Datagram::Entry));
        let sent = replies.len() - before;
        self.allowance -= sent;
        self.counters.sent += sent as u64;
    }
}
