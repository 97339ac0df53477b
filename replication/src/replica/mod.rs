//! One proxy's replica of all logs, and the digests and requests that it sends to its peers.

mod catch_up;
mod commits;
mod exchange;

use crate::commit::PendingCommits;
use crate::reorder::ReorderBuffer;
use crate::snapshot::{CatchUp, Image};
use crate::unsynced::Unsynced;
use crate::wire::{MAX_GAPS_PER_DATAGRAM, MAX_LOGS_PER_DATAGRAM};
use crate::{
    Capacity, CapacityExceeded, Counters, Datagram, Entry, Index, LogId, LogPosition, LogStore,
    Machine, Micros, Options, Outgoing, Record, Subject,
};
use catch_up::{Offers, PendingSnapshot};
use linnetknot_datagram::Random;
use std::collections::BTreeMap;

/// The most logs whose gaps are requested at a time, and the most datagrams for the gaps of one.
const MAX_GAP_LOGS: usize = 8;

/// How many requests for gaps follow each other at the retry interval while none of them brings anything.
const MAX_FAST_GAP_REQUESTS: u32 = 16;

/// When gaps are requested next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct GapRequestTimer {
    due: Micros,
    /// Requests since any of them brought something.
    unanswered: u32,
}

/// One proxy's replica of all logs.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Replica {
    own: LogId,
    /// This process; later processes of the proxy have greater ids.
    process: u64,
    log_store: LogStore,
    reorder: ReorderBuffer,
    /// The peer that sent the last entry out of order.
    reorder_from: usize,
    /// Set while entries are out of order.
    gap_request: Option<GapRequestTimer>,
    options: Options,
    random: Random,
    due: Micros,
    /// The number of digest periods so far.
    period: u64,
    /// The entries that may still be sent in this period.
    allowance: usize,
    /// The bytes of snapshots that may still be sent in this period.
    snapshot_allowance: usize,
    /// The log with which the next digest begins, if not all fit into one.
    next: Option<LogId>,
    /// Entries that are not on this proxy's disk.
    unsynced: Unsynced,
    /// Logs that a snapshot raised, until that is on the disk.
    pending_snapshots: BTreeMap<LogId, PendingSnapshot>,
    /// The peers that wait for an acknowledgement, by log, and the index that they wait for.
    pending_acks: BTreeMap<(LogId, usize), Index>,
    pending: PendingCommits,
    /// When unacknowledged entries are sent again.
    next_retry: Micros,
    /// How often anything was compacted here, or came with a snapshot.
    compactions: u64,
    /// The number of images so far, the last image, and the period in which it was last read.
    images: u64,
    image: Option<Image>,
    image_period: u64,
    /// When compaction is tried again after it could move nothing.
    next_compaction: Micros,
    catch_up: CatchUp,
    /// Snapshots offered to peers that have not answered yet.
    offers: BTreeMap<usize, Offers>,
    counters: Counters,
}

impl Replica {
    /// The replica of a proxy. Its own log continues in this epoch after what `log_store` has of it. `process` grows with
    /// each process of the proxy, and seeds the random numbers.
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

    /// Sets another process id than was assumed at the start.
    pub fn set_process(&mut self, process: u64) {
        self.process = process;
    }

    /// Returns its own log.
    pub fn own_log(&self) -> LogId {
        self.own
    }

    /// Returns the logs that it has.
    pub fn log_store(&self) -> &LogStore {
        &self.log_store
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> Counters {
        Counters {
            snapshots_abandoned: self.catch_up.abandoned(),
            ..self.counters
        }
    }

    /// Sets the machines of this proxy and of its peers. From here on peers are identified by their indexes in this list.
    pub fn set_peers(&mut self, own: Machine, peers: Vec<Machine>) {
        let count = peers.len();
        self.pending.set_peers(own, peers);
        // Pending acknowledgements and a snapshot in progress are kept: acknowledgements are true whoever receives them,
        // and a writer whose peer's machine becomes known between an entry and its sync would have to request them.
        self.pending_acks.retain(|(_, peer), _| *peer < count);
        self.offers.retain(|peer, _| *peer < count);
        self.catch_up.retain_peers(count);
    }

    /// Appends an entry to its own log. The caller must write it to the disk and send it to all peers at once; those that
    /// miss it receive it later.
    ///
    /// # Errors
    /// Fails if the capacity for entries of this kind is exhausted.
    pub fn append(
        &mut self,
        subject: Subject,
        at: Micros,
        revoked: bool,
    ) -> Result<Entry, CapacityExceeded> {
        let record = Record {
            subject,
            at,
            revoked,
        };
        let entry = self.log_store.append(self.own, record, self.capacity())?;
        self.unsynced.insert(entry.log, entry.index);
        Ok(entry)
    }

    fn capacity(&self) -> Capacity {
        let Options {
            expiring_entries,
            max_logs,
            ..
        } = self.options;
        Capacity {
            entries: self.options.max_entries(),
            expiring_entries,
            logs: max_logs,
        }
    }

    /// Removes the entries that have expired, and returns them to be deleted from the disk.
    pub fn expire(&mut self, now: Micros) -> Vec<Entry> {
        self.log_store.expire(now, self.options.expiry_us)
    }

    /// Returns when [`Replica::tick`] or [`Replica::resolve_commits`] is to be called next.
    pub fn due(&self) -> Micros {
        let timeout = self.pending.next_timeout(self.options.commit_timeout_us);
        let commit = timeout.map(|timeout| timeout.min(self.next_retry));
        let gap_request =
            (!self.reorder.is_empty()).then_some(self.gap_request.map_or(0, |timer| timer.due));
        let catch_up = self.catch_up.due();
        [commit, gap_request, catch_up]
            .into_iter()
            .flatten()
            .fold(self.due, Micros::min)
    }

    /// Returns the datagrams to send now: a digest once a period, requests for what is missing, and unacknowledged
    /// entries, which are sent more often while a commit waits.
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

    /// Begins a digest period: renews what may be sent in it, and sends a digest to a random peer.
    fn begin_period(&mut self, now: Micros, outgoing: &mut Vec<Outgoing>) {
        // Spread by up to a quarter, so that the digests of many proxies do not coincide.
        self.due = now
            + self.options.digest_period_us
            + self.random.below(self.options.digest_period_us / 4);
        self.period += 1;
        self.drop_unread_image();
        self.allowance = self.options.max_entries_per_period;
        self.snapshot_allowance = self.options.max_snapshot_bytes_per_period;
        let peers = self.pending.peer_count();
        if peers > 0 {
            let peer = self.random.below(peers as u64) as usize;
            let datagram = self.digest();
            outgoing.push(Outgoing { peer, datagram });
        }
    }

    /// Requests the gaps before entries that arrived out of order, when it is time.
    fn request_gaps(&mut self, now: Micros, outgoing: &mut Vec<Outgoing>) {
        let peers = self.pending.peer_count();
        if self.reorder.is_empty() || peers == 0 {
            self.gap_request = None;
            return;
        }
        // Most of what is missing at first was overtaken on its way, and arrives by itself.
        let GapRequestTimer { due, unanswered } =
            *self.gap_request.get_or_insert(GapRequestTimer {
                due: now + self.options.gap_request_us,
                unanswered: 0,
            });
        if now < due {
            return;
        }
        // Entries that nobody has any more, as their writer was lost with them, are requested as seldom as digests.
        let interval_us = if unanswered < MAX_FAST_GAP_REQUESTS {
            self.options.retry_us
        } else {
            self.options.digest_period_us
        };
        self.gap_request = Some(GapRequestTimer {
            due: now + interval_us,
            unanswered: unanswered + 1,
        });
        let peer = self.gap_request_target(peers);
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

    /// Draws the peer to request gaps from: half of the time the one that sent what is after them, which mostly has them;
    /// else any, should the link to that one be cut.
    fn gap_request_target(&mut self, peers: usize) -> usize {
        let drawn = self.random.below(2 * peers as u64) as usize;
        if drawn < peers {
            drawn
        } else {
            self.reorder_from
        }
    }

    /// Sends the last entry of each of its own epochs to the peers that have not acknowledged it: a peer that has it
    /// acknowledges it again, and one that is missing entries before it requests them.
    fn resend_unacked(&mut self, outgoing: &mut Vec<Outgoing>) {
        for LogPosition { log, index: last } in self.own_epochs() {
            let Some(entry) = self.log_store.entries_after(log, last - 1).next() else {
                continue;
            };
            let peers = 0..self.pending.peer_count();
            for peer in peers.filter(|peer| self.pending.acked_by(*peer, log.epoch) < last) {
                if self.allowance == 0 {
                    return;
                }
                self.allowance -= 1;
                outgoing.push(Outgoing {
                    peer,
                    datagram: Datagram::Entry(entry.clone()),
                });
            }
        }
    }

    /// Returns a digest of its logs. A replica without any sends one too, as that is how it receives them.
    fn digest(&mut self) -> Datagram {
        Datagram::Digest {
            positions: self.some_positions(),
            log_count: self.log_store.log_count() as u64,
            checksum: self.log_store.checksum(),
        }
    }

    /// Returns the positions of as many logs as fit into a datagram, of different ones each time.
    fn some_positions(&mut self) -> Vec<LogPosition> {
        let all = self.log_store.last_indexes();
        let first = self
            .next
            .and_then(|next| all.iter().position(|position| position.log >= next))
            .unwrap_or(0);
        let count = all.len().min(MAX_LOGS_PER_DATAGRAM);
        let cyclic = all.iter().cycle().skip(first);
        let some: Vec<LogPosition> = cyclic.take(count).copied().collect();
        let next = all.get((first + some.len()) % all.len().max(1));
        self.next = next.map(|position| position.log);
        some
    }
}
