//! Commits: track which entries of this proxy's own logs are durable locally and on enough peers.
//!
//! A peer reports its durable index of a log, through which all live entries are on its disk. A commit therefore waits
//! for an index. It is confirmed once the durable indexes of this proxy and of `min_acks` other machines have reached
//! the index; several peers on one machine count once. A commit that is not confirmed within the timeout is rejected.
//! The entry stays in the log, because peers may already have received it.

use crate::unsynced::Unsynced;
use crate::{Epoch, Index, LogId, Micros, Options};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;

/// The id of a machine, which is a failure domain. It is a hash of the machine's name.
pub type Machine = u64;

/// The reason for the rejection of a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The entry could not be written to the local disk.
    Disk,
    /// Too few other machines have acknowledged the entry.
    TooFewReplicas {
        /// The number of machines that have acknowledged the entry.
        have: usize,
        /// The required number of machines.
        wanted: usize,
    },
    /// The maximum number of pending commits is exceeded.
    TooManyPending,
}

impl fmt::Display for RejectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RejectReason::Disk => f.write_str("the entry is not on this proxy's disk"),
            RejectReason::TooFewReplicas { have, wanted } => {
                write!(
                    f,
                    "{have} of {wanted} other machines have acknowledged the entry"
                )
            }
            RejectReason::TooManyPending => f.write_str("too many commits are pending"),
        }
    }
}

/// The id of a commit. Commits are numbered in the order in which they are opened.
pub type CommitId = u64;

/// The outcome of a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommitOutcome {
    /// The id of the commit.
    pub commit: CommitId,
    /// The time until the confirmation, or the reason for the rejection.
    pub result: Result<Micros, RejectReason>,
}

/// A commit that waits for the local disk and for acknowledgements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PendingCommit {
    id: CommitId,
    /// The index that must become durable, in the log of the current epoch.
    index: Index,
    opened_at: Micros,
}

/// The durability of this proxy's own log on the local disk.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnLog<'a> {
    pub(crate) log: LogId,
    pub(crate) durable_index: Index,
    pub(crate) unsynced: &'a Unsynced,
}

/// Pending commits, and the durable indexes that peers have reported for this proxy's own logs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct PendingCommits {
    /// The durable index of each peer, by epoch of the own log.
    durable: BTreeMap<Epoch, BTreeMap<usize, Index>>,
    /// The id of the process of each peer that sent the reports in `durable`.
    processes: BTreeMap<usize, u64>,
    /// The machine of each peer, by the index of the peer.
    machines: Vec<Machine>,
    own: Machine,
    /// Ordered by index. As commits are opened in the order of their indexes, this is also the order of `opened_at`.
    pending: VecDeque<PendingCommit>,
    last_id: CommitId,
}

impl PendingCommits {
    /// Sets the machines of this proxy and of its peers. If any of them changes, the reported durable indexes are
    /// discarded.
    pub(crate) fn set_peers(&mut self, own: Machine, machines: Vec<Machine>) {
        if (self.own, &self.machines) != (own, &machines) {
            (self.own, self.machines) = (own, machines);
            self.durable.clear();
            self.processes.clear();
        }
    }

    pub(crate) fn peer_count(&self) -> usize {
        self.machines.len()
    }

    /// Records a peer's durable index of an epoch. The index never decreases within one process of the peer, so a
    /// delayed datagram has no effect. A restarted peer may have lost its disk, so the reports of its new process
    /// replace those of the previous one.
    pub(crate) fn record_ack(&mut self, peer: usize, process: u64, epoch: Epoch, index: Index) {
        let known = self.processes.get(&peer).copied().unwrap_or(0);
        if peer >= self.machines.len() || process < known {
            return;
        }
        if process > known {
            self.processes.insert(peer, process);
            for durable in self.durable.values_mut() {
                durable.remove(&peer);
            }
        }
        let durable = self.durable.entry(epoch).or_default();
        let durable_index = durable.entry(peer).or_insert(0);
        *durable_index = index.max(*durable_index);
    }

    /// Returns a peer's last reported durable index of an epoch, or 0.
    pub(crate) fn acked_by(&self, peer: usize, epoch: Epoch) -> Index {
        let durable = self.durable.get(&epoch);
        durable
            .and_then(|durable| durable.get(&peer))
            .copied()
            .unwrap_or(0)
    }

    /// Returns the highest durable index of any peer on each other machine, in descending order.
    fn durable_by_machine(&self, epoch: Epoch) -> Vec<Index> {
        let mut by_machine = BTreeMap::<Machine, Index>::new();
        for (peer, durable_index) in self.durable.get(&epoch).into_iter().flatten() {
            let machine = self.machines.get(*peer);
            if let Some(machine) = machine.filter(|machine| **machine != self.own) {
                let highest = by_machine.entry(*machine).or_default();
                *highest = (*highest).max(*durable_index);
            }
        }
        let mut durable: Vec<Index> = by_machine.into_values().collect();
        durable.sort_unstable_by(|a, b| b.cmp(a));
        durable
    }

    /// Returns the index through which an epoch is durable on at least `replicas` other machines.
    pub(crate) fn replicated_through(&self, epoch: Epoch, replicas: usize) -> Index {
        match replicas.checked_sub(1) {
            None => Index::MAX,
            Some(nth) => self
                .durable_by_machine(epoch)
                .get(nth)
                .copied()
                .unwrap_or(0),
        }
    }

    /// Opens a commit of the current epoch's log through an index, unless `max_pending` commits are pending.
    pub(crate) fn open(
        &mut self,
        now: Micros,
        index: Index,
        max_pending: usize,
    ) -> Result<CommitId, RejectReason> {
        if self.pending.len() >= max_pending {
            return Err(RejectReason::TooManyPending);
        }
        self.last_id += 1;
        self.pending.push_back(PendingCommit {
            id: self.last_id,
            index,
            opened_at: now,
        });
        Ok(self.last_id)
    }

    pub(crate) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the time at which the oldest pending commit times out.
    pub(crate) fn next_timeout(&self, timeout_us: Micros) -> Option<Micros> {
        self.pending
            .front()
            .map(|pending| pending.opened_at + timeout_us)
    }

    /// Removes the commits that are confirmed or rejected by now, and returns their outcomes.
    pub(crate) fn resolve(
        &mut self,
        now: Micros,
        own: OwnLog,
        options: &Options,
    ) -> Vec<CommitOutcome> {
        let mut outcomes = Vec::new();
        if self.pending.is_empty() {
            // This method is called after each datagram, so it skips the computation below if no commit is pending.
            return outcomes;
        }
        let replicated = self.replicated_through(own.log.epoch, options.min_acks);
        while let Some(pending) = self.pending.front().copied() {
            let Some(result) = self.result(now, pending, own, replicated, options) else {
                break;
            };
            self.pending.pop_front();
            outcomes.push(CommitOutcome {
                commit: pending.id,
                result,
            });
        }
        outcomes
    }

    /// Returns the result of a commit, or `None` while it is pending.
    fn result(
        &self,
        now: Micros,
        pending: PendingCommit,
        own: OwnLog,
        replicated: Index,
        options: &Options,
    ) -> Option<Result<Micros, RejectReason>> {
        let PendingCommit {
            index, opened_at, ..
        } = pending;
        let is_durable = own.durable_index >= index;
        let has_timed_out = opened_at + options.commit_timeout_us <= now;
        if is_durable && replicated >= index {
            return Some(Ok(now.saturating_sub(opened_at)));
        }
        if own.unsynced.is_failed(own.log, index) || !is_durable && has_timed_out {
            return Some(Err(RejectReason::Disk));
        }
        has_timed_out.then(|| {
            let by_machine = self.durable_by_machine(own.log.epoch);
            Err(RejectReason::TooFewReplicas {
                have: by_machine.into_iter().filter(|i| *i >= index).count(),
                wanted: options.min_acks,
            })
        })
    }
}
