//! The logs that one proxy has, and what it tells its peers.

mod catch_up;
mod commits;
mod exchange;

use crate::commit::PendingCommits;
use crate::reorder::ReorderBuffer;
use crate::snapshot::{CatchUp, Image};
use crate::unsynced::Unsynced;
use crate::wire::{MAX_GAPS_PER_DATAGRAM, MAX_LOGS_PER_DATAGRAM};
use crate::{
    Capacity, CapacityExceeded, Counters, Datagram, Entry, Index, LogId, LogStore, Machine, Micros,
    Options, Outgoing, Subject,
};
use catch_up::{Offers, PendingSnapshot};
use linnetknot_datagram::Random;
use std::collections::BTreeMap;

/// Logs of which what is missing is asked for at a time, and datagrams that name it of one.
const MAX_GAP_LOGS: usize = 8;

/// What is missing is asked for so often in haste, while nothing comes of it.
const MAX_FAST_GAP_REQUESTS: u32 = 16;

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
    /// Digest periods so far.
    period: u64,
    /// Entries that may still be sent in this period.
    allowance: usize,
    /// Bytes of snapshots that may still be sent in this period.
    snapshot_allowance: usize,
    /// The log with which the next message begins, where they don't fit into one.
    next: Option<LogId>,
    /// What is not on this proxy's disk.
    unsynced: Unsynced,
    /// Logs that a snapshot raised, until the disk has that.
    pending_snapshots: BTreeMap<LogId, PendingSnapshot>,
    /// Peers that are to be sent once it is, by log, up to the index that they sent.
    pending_acks: BTreeMap<(LogId, usize), Index>,
    pending: PendingCommits,
    /// When peers are asked again what they have.
    next_retry: Micros,
    /// How often something was compacted here, or came by a snapshot.
    compactions: u64,
    /// Images that were made so far, the last of them, and the period in which it was last read.
    images: u64,
    image: Option<Image>,
    image_period: u64,
    /// When compaction is tried again, after it could move nothing.
    next_compaction: Micros,
    catch_up: CatchUp,
    /// Peers to whom snapshots were offered, and who did not answer yet.
    offers: BTreeMap<usize, Offers>,
    counters: Counters,
}

impl Replica {
    /// The logs of a proxy: its own goes on in this epoch, behind what `log_store` holds of it. `process` grows with
    /// each process of this name, and seeds what it draws.
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
            period: 0,
            allowance: options.max_entries_per_period,
            snapshot_allowance: options.max_snapshot_bytes_per_period,
            next: None,
            unsynced: Unsynced::default(),
            pending_snapshots: BTreeMap::new(),
            pending_acks: BTreeMap::new(),
            pending: PendingCommits::default(),
            next_retry: 0,
            compactions: 0,
            images: 0,
            image: None,
            image_period: 0,
            next_compaction: 0,
            catch_up: CatchUp::default(),
            offers: BTreeMap::new(),
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
        Counters {
            snapshots_abandoned: self.catch_up.abandoned(),
            ..self.counters
        }
    }

    /// Whose machine is which: this proxy's own and those of its peers, by whose indexes in this list they are known
    /// from here on.
    pub fn peers(&mut self, own: Machine, peers: Vec<Machine>) {
        let count = peers.len();
        self.pending.peers(own, peers);
        // An ack is true whoever is told it. Dropped where a peer's machine becomes known between an entry and its sync,
        // the writer would have to ask for it. So is a snapshot that is under way.
        self.pending_acks.retain(|(_, peer), _| *peer < count);
        self.offers.retain(|peer, _| *peer < count);
        self.catch_up.retain_peers(count);
    }

    /// A new entry of its own log. It is for the caller to put it on the disk and to send it to all peers at once;
    /// those whom that misses get it later.
    pub fn append(
        &mut self,
        subject: Subject,
        at: Micros,
        revoked: bool,
    ) -> Result<Entry, CapacityExceeded> {
        let entry = self
            .log_store
            .append(self.own, (subject, at, revoked), self.capacity())?;
        self.unsynced.add(entry.log, entry.index);
        Ok(entry)
    }

    fn capacity(&self) -> Capacity {
        let Options {
            expiring, max_logs, ..
        } = self.options;
        Capacity {
            entries: self.options.max_entries(),
            expiring,
            logs: max_logs,
        }
    }

    /// Lets entries go whose time is over, to be taken off the disk, too.
    pub fn expire(&mut self, now: Micros) -> Vec<Entry> {
        self.log_store.expire(now, self.options.expiry_us)
    }

    /// When `tick` or `resolve_commits` has something to do.
    pub fn due(&self) -> Micros {
        let waits = self
            .pending
            .until(self.options.commit_timeout_us)
            .map(|until| until.min(self.next_retry));
        let gap_request =
            (!self.reorder.is_empty()).then_some(self.gap_request.map_or(0, |(at, _)| at));
        let catch_up = self.catch_up.due();
        [waits, gap_request, catch_up]
            .into_iter()
            .flatten()
            .fold(self.due, Micros::min)
    }

    /// Once a period: what to tell which peer, by its place. While a commit waits, those that it may wait for are
    /// asked more often.
    pub fn tick(&mut self, now: Micros) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        self.request_gaps(now, &mut outgoing);
        self.request_snapshot(now, &mut outgoing);
        let (is_waiting, is_due) = (self.pending.is_waiting(), now >= self.due);
        if is_due {
            self.begin_period(now, &mut outgoing);
        } else if !is_waiting || now < self.next_retry {
            return outgoing;
        }
        self.next_retry = now + self.options.retry_us;
        self.resend_unacked(&mut outgoing);
        outgoing
    }

    /// Sends a digest to a peer; what may be sent in a period may be sent again.
    fn begin_period(&mut self, now: Micros, outgoing: &mut Vec<Outgoing>) {
        // Spread by up to a quarter, so that the messages of many proxies do not fall together.
        self.due = now
            + self.options.digest_period_us
            + self.random.below(self.options.digest_period_us / 4);
        self.period += 1;
        self.drop_unread_image();
        self.allowance = self.options.max_entries_per_period;
        self.snapshot_allowance = self.options.max_snapshot_bytes_per_period;
        let peers = self.pending.count();
        if peers > 0 {
            let peer = self.random.below(peers as u64) as usize;
            let datagram = self.digest();
            outgoing.push(Outgoing { peer, datagram });
        }
    }

    /// Asks a peer for what stands before entries that came early; any may have it.
    fn request_gaps(&mut self, now: Micros, outgoing: &mut Vec<Outgoing>) {
        let peers = self.pending.count() as u64;
        if self.reorder.is_empty() || peers == 0 {
            self.gap_request = None;
            return;
        }
        // Most of what is missing at first was overtaken on its way, and comes by itself.
        let (at, asked) = *self
            .gap_request
            .get_or_insert((now + self.options.gap_request_us, 0));
        if now < at {
            return;
        }
        // What nobody has any more, as its writer was lost with it, is asked for as seldom as all else.
        let wait = if asked < MAX_FAST_GAP_REQUESTS {
            self.options.retry_us
        } else {
            self.options.digest_period_us
        };
        self.gap_request = Some((now + wait, asked + 1));
        // Who sent what is behind it has it mostly; any other may, should that one's link be cut.
        let drawn = self.random.below(2 * peers) as usize;
        let peer = if drawn < peers as usize {
            drawn
        } else {
            self.reorder_from
        };
        for log in self.reorder.logs().take(MAX_GAP_LOGS) {
            let gaps = self.reorder.gaps(log, self.log_store.last_index(log));
            let messages = gaps.chunks(MAX_GAPS_PER_DATAGRAM).take(MAX_GAP_LOGS);
            outgoing.extend(messages.map(|gaps| {
                let datagram = Datagram::GapRequest {
                    log,
                    gaps: gaps.to_vec(),
                };
                Outgoing { peer, datagram }
            }));
        }
    }

    /// Sends the last entry of each of its own epochs to those peers that are not known to have it on their disks:
    /// whoever has it says so again, and whoever lacks entries before it asks for them.
    fn resend_unacked(&mut self, outgoing: &mut Vec<Outgoing>) {
        let own = self.own.writer;
        let epochs = self
            .log_store
            .last_indexes()
            .into_iter()
            .filter(|(log, _)| log.writer == own);
        for (log, end) in epochs.collect::<Vec<_>>() {
            let Some(last) = self.log_store.entries_after(log, end - 1).next() else {
                continue;
            };
            for peer in
                (0..self.pending.count()).filter(|peer| self.pending.of(*peer, log.epoch) < end)
            {
                if self.allowance == 0 {
                    return;
                }
                self.allowance -= 1;
                outgoing.push(Outgoing {
                    peer,
                    datagram: Datagram::Entry(last.clone()),
                });
            }
        }
    }

    /// How far it has its logs. One without any says so too, as that is how it gets them.
    fn digest(&mut self) -> Datagram {
        let (all, sum) = (self.log_store.logs() as u64, self.log_store.checksum());
        Datagram::Digest {
            positions: self.some_positions(),
            all,
            sum,
        }
    }

    /// As many logs as fit into a datagram, a different part each time.
    fn some_positions(&mut self) -> Vec<(LogId, Index)> {
        let all = self.log_store.last_indexes();
        let from = self
            .next
            .and_then(|next| all.iter().position(|(log, _)| *log >= next))
            .unwrap_or(0);
        let count = all.len().min(MAX_LOGS_PER_DATAGRAM);
        let some: Vec<_> = all.iter().cycle().skip(from).take(count).copied().collect();
        self.next = all
            .get((from + some.len()) % all.len().max(1))
            .map(|(log, _)| *log);
        some
    }
}
