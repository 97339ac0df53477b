//! The replica of one proxy, and the digests and requests that it sends to its peers.

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
use catch_up::{PendingSnapshot, UnansweredOffers};
use linnetknot_datagram::Random;
use std::collections::BTreeMap;

/// The maximum number of logs for which gaps are requested at a time, and of request datagrams for each of them.
const MAX_GAP_LOGS: usize = 8;

/// The number of gap requests without any result after which gaps are requested at a lower rate.
const MAX_FAST_GAP_REQUESTS: u32 = 16;

/// The schedule of the requests for missing entries before buffered out-of-order entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct GapRequestTimer {
    due: Micros,
    /// The number of requests since an entry was last inserted or buffered.
    unanswered: u32,
}

/// The replica of one proxy, which contains its own log and those of its peers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Replica {
    own: LogId,
    /// The id of this process. Later processes of the proxy have greater ids.
    process: u64,
    log_store: LogStore,
    reorder_buffer: ReorderBuffer,
    /// The peer that sent the last out-of-order entry.
    reorder_sender: usize,
    /// Set while the reorder buffer contains entries.
    gap_request: Option<GapRequestTimer>,
    options: Options,
    random: Random,
    due: Micros,
    /// The number of the current digest period.
    period: u64,
    /// The number of entries that may still be sent in this period.
    allowance: usize,
    /// The number of snapshot bytes that may still be sent in this period.
    snapshot_allowance: usize,
    /// The log with which the next digest starts. Not all logs fit into one digest.
    next_digest_log: Option<LogId>,
    /// Entries that are not yet known to be on the local disk.
    unsynced: Unsynced,
    /// Logs that a snapshot advanced and whose new index is not on the disk yet.
    pending_snapshots: BTreeMap<LogId, PendingSnapshot>,
    /// The index of each log up to which a peer awaits an acknowledgement, by log and peer.
    pending_acks: BTreeMap<(LogId, usize), Index>,
    pending_commits: PendingCommits,
    /// The time at which unacknowledged entries are sent again.
    next_retry: Micros,
    /// The number of compactions and received snapshots.
    compactions: u64,
    /// The number of images created so far.
    image_count: u64,
    /// The current image, from which snapshots are sent.
    image: Option<Image>,
    /// The digest period in which the image was last read.
    image_period: u64,
    /// The earliest time of the next compaction, set after an attempt that moved nothing.
    next_compaction: Micros,
    catch_up: CatchUp,
    /// Peers that have not answered an offer of a snapshot.
    offers: BTreeMap<usize, UnansweredOffers>,
    counters: Counters,
}

impl Replica {
    /// Creates the replica of a proxy. Its own log continues after the last index that `log_store` has of it. `process`
    /// must be greater than that of all earlier processes of the proxy. It also seeds the random number generator.
    pub fn new(own: LogId, log_store: LogStore, process: u64, options: Options) -> Self {
        let random = Random::new(process ^ own.writer.rotate_left(17) ^ own.epoch);
        Replica {
            own,
            process,
            log_store,
            reorder_buffer: ReorderBuffer::default(),
            reorder_sender: 0,
            gap_request: None,
            options,
            random,
            due: 0,
            period: 0,
            allowance: options.max_entries_per_period,
            snapshot_allowance: options.max_snapshot_bytes_per_period,
            next_digest_log: None,
            unsynced: Unsynced::default(),
            pending_snapshots: BTreeMap::new(),
            pending_acks: BTreeMap::new(),
            pending_commits: PendingCommits::default(),
            next_retry: 0,
            compactions: 0,
            image_count: 0,
            image: None,
            image_period: 0,
            next_compaction: 0,
            catch_up: CatchUp::default(),
            offers: BTreeMap::new(),
            counters: Counters::default(),
        }
    }

    /// Replaces the process id that was passed to [`Replica::new`].
    pub fn set_process(&mut self, process: u64) {
        self.process = process;
    }

    /// Returns the id of the replica's own log.
    pub fn own_log(&self) -> LogId {
        self.own
    }

    /// Returns the store of all logs.
    pub fn log_store(&self) -> &LogStore {
        &self.log_store
    }

    /// Returns the number of entries that arrived out of order and wait for the entries before them.
    pub fn reordered_entries(&self) -> usize {
        self.reorder_buffer.len()
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> Counters {
        Counters {
            snapshots_abandoned: self.catch_up.abandoned(),
            ..self.counters
        }
    }

    /// Sets the machines of this proxy and of its peers. From then on peers are identified by their index in this list.
    pub fn set_peers(&mut self, own: Machine, peers: Vec<Machine>) {
        let count = peers.len();
        self.pending_commits.set_peers(own, peers);
        // Pending acknowledgements and a snapshot transfer are retained when only the machine of a peer becomes known.
        // The acknowledgements stay true for any receiver, and the writers would otherwise have to request them again.
        self.pending_acks.retain(|(_, peer), _| *peer < count);
        self.offers.retain(|peer, _| *peer < count);
        self.catch_up.retain_peers(count);
    }

    /// Appends an entry to the replica's own log. The caller must write it to the disk and send it to all peers at
    /// once. Peers that do not receive the entry request it later.
    ///
    /// # Errors
    /// Fails if the capacity for entries of this kind is exceeded.
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

    /// Removes the entries that have expired and returns them. The caller must delete them from the disk.
    pub fn expire(&mut self, now: Micros) -> Vec<Entry> {
        self.log_store.expire(now, self.options.expiry_us)
    }

    /// Returns the time at which [`Replica::tick`] and [`Replica::resolve_commits`] must be called next.
    pub fn due(&self) -> Micros {
        let timeout = self
            .pending_commits
            .next_timeout(self.options.commit_timeout_us);
        let commit = timeout.map(|timeout| timeout.min(self.next_retry));
        let gap_request = (!self.reorder_buffer.is_empty())
            .then_some(self.gap_request.map_or(0, |timer| timer.due));
        let catch_up = self.catch_up.due();
        [commit, gap_request, catch_up]
            .into_iter()
            .flatten()
            .fold(self.due, Micros::min)
    }

    /// Returns the datagrams to send now: a digest once per period, requests for gaps and snapshots, and unacknowledged
    /// entries, which are sent more often while a commit is pending.
    pub fn tick(&mut self, now: Micros) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        self.request_gaps(now, &mut outgoing);
        self.request_snapshot(now, &mut outgoing);
        let (has_pending, is_due) = (self.pending_commits.has_pending(), now >= self.due);
        if is_due {
            self.begin_period(now, &mut outgoing);
        } else if !has_pending || now < self.next_retry {
            return outgoing;
        }
        self.next_retry = now + self.options.retry_us;
        self.resend_unacked(&mut outgoing);
        outgoing
    }

    /// Starts a digest period: resets the limits per period, and sends a digest to a random peer.
    fn begin_period(&mut self, now: Micros, outgoing: &mut Vec<Outgoing>) {
        // A jitter of up to a quarter of the period spreads the digests of the proxies.
        self.due = now
            + self.options.digest_period_us
            + self.random.below(self.options.digest_period_us / 4);
        self.period += 1;
        self.drop_unread_image();
        self.allowance = self.options.max_entries_per_period;
        self.snapshot_allowance = self.options.max_snapshot_bytes_per_period;
        let peers = self.pending_commits.peer_count();
        if peers > 0 {
            let peer = self.random.below(peers as u64) as usize;
            let datagram = self.digest();
            outgoing.push(Outgoing { peer, datagram });
        }
    }

    /// Requests the gaps before buffered out-of-order entries, if the request is due.
    fn request_gaps(&mut self, now: Micros, outgoing: &mut Vec<Outgoing>) {
        let peers = self.pending_commits.peer_count();
        if self.reorder_buffer.is_empty() || peers == 0 {
            self.gap_request = None;
            return;
        }
        // The first request is delayed, because datagrams that the network only reordered arrive meanwhile.
        let GapRequestTimer { due, unanswered } =
            *self.gap_request.get_or_insert(GapRequestTimer {
                due: now + self.options.gap_request_us,
                unanswered: 0,
            });
        if now < due {
            return;
        }
        // If the writer was lost, no peer may have the missing entries. The requests then become as rare as digests.
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
        for log in self.reorder_buffer.logs().take(MAX_GAP_LOGS) {
            let gaps = self
                .reorder_buffer
                .gaps(log, self.log_store.last_index(log));
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

    /// Selects the peer to request gaps from. Half of the requests go to the sender of the last out-of-order entry,
    /// which probably has the missing entries. The others go to a random peer, in case that sender is unreachable.
    fn gap_request_target(&mut self, peers: usize) -> usize {
        let drawn = self.random.below(2 * peers as u64) as usize;
        if drawn < peers {
            drawn
        } else {
            self.reorder_sender
        }
    }

    /// Sends the last entry of each of the replica's own epochs to the peers that have not acknowledged it. A peer that
    /// already has the entry repeats its acknowledgement, and a peer that is missing entries before it requests them.
    fn resend_unacked(&mut self, outgoing: &mut Vec<Outgoing>) {
        for LogPosition { log, index: last } in self.own_epochs() {
            let Some(entry) = self.log_store.entries_after(log, last - 1).next() else {
                continue;
            };
            let peers = 0..self.pending_commits.peer_count();
            for peer in peers.filter(|peer| self.pending_commits.acked_by(*peer, log.epoch) < last)
            {
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

    /// Returns a digest of the logs. An empty replica also sends digests, so that peers reply with the entries of their
    /// logs.
    fn digest(&mut self) -> Datagram {
        Datagram::Digest {
            positions: self.next_positions(),
            log_count: self.log_store.log_count() as u64,
            checksum: self.log_store.checksum(),
        }
    }

    /// Returns the positions in as many logs as fit into a datagram, cycling through all logs over successive calls.
    fn next_positions(&mut self) -> Vec<LogPosition> {
        let all = self.log_store.last_indexes();
        let first = self
            .next_digest_log
            .and_then(|next| all.iter().position(|position| position.log >= next))
            .unwrap_or(0);
        let count = all.len().min(MAX_LOGS_PER_DATAGRAM);
        let cyclic = all.iter().cycle().skip(first);
        let some: Vec<LogPosition> = cyclic.take(count).copied().collect();
        let next = all.get((first + some.len()) % all.len().max(1));
        self.next_digest_log = next.map(|position| position.log);
        some
    }
}
