//! Commits: which entries of this proxy's own logs are on its disk and on those of enough peers.
//!
//! A peer reports for a log its durable index: through which index it has all entries in force on its disk. So a commit
//! is an index. It is given once this proxy's own durable index and those of enough peers, on machines that are neither
//! this one nor each other's, have reached it. One that does not get there in time is rejected, never given on credit; the
//! entry stays in the log all the same, as others may have it by then.

use crate::unsynced::Unsynced;
use crate::{Epoch, Index, LogId, Micros, Options};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;

/// A machine, the domain that fails as one: a hash of its name.
pub type Machine = u64;

/// Why a commit is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// This proxy's own disk did not take the entry.
    Disk,
    /// Too few further machines have acknowledged the entry.
    TooFewReplicas {
        /// How many have.
        have: usize,
        /// How many are required.
        wanted: usize,
    },
    /// Too many commits are pending.
    TooManyPending,
}

impl fmt::Display for RejectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RejectReason::Disk => f.write_str("it is not on this proxy's disk"),
            RejectReason::TooFewReplicas { have, wanted } => {
                write!(f, "{have} of {wanted} further machines have it")
            }
            RejectReason::TooManyPending => f.write_str("too many commits are pending"),
        }
    }
}

/// The number of a commit, in the order in which they were opened.
pub type CommitId = u64;

/// The outcome of a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommitOutcome {
    /// The commit.
    pub commit: CommitId,
    /// How long it took, or why it was rejected.
    pub result: Result<Micros, RejectReason>,
}

/// A commit that waits for the disk and for acknowledgements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PendingCommit {
    id: CommitId,
    /// In the log of this epoch.
    index: Index,
    opened_at: Micros,
}

/// This proxy's own log, as far as its disk has it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnLog<'a> {
    pub(crate) log: LogId,
    pub(crate) durable_index: Index,
    pub(crate) unsynced: &'a Unsynced,
}

/// The durable indexes that peers reported of this proxy's own logs, and the commits that wait for them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct PendingCommits {
    /// The durable index of each peer, by epoch of this writer.
    durable: BTreeMap<Epoch, BTreeMap<usize, Index>>,
    /// The process of each peer that reported it.
    processes: BTreeMap<usize, u64>,
    /// The machine of each peer, the failure domain of its replica.
    machines: Vec<Machine>,
    own: Machine,
    /// In the order of their indexes, which is that of their times.
    pending: VecDeque<PendingCommit>,
    last_id: CommitId,
}

impl PendingCommits {
    /// Sets the machines of this proxy and of its peers. If any differs, all durable indexes are learned anew.
    pub(crate) fn set_peers(&mut self, own: Machine, machines: Vec<Machine>) {
        if (self.own, &self.machines) != (own, &machines) {
            (self.own, self.machines) = (own, machines);
            self.durable.clear();
            self.processes.clear();
        }
    }

    /// Returns the number of peers.
    pub(crate) fn peer_count(&self) -> usize {
        self.machines.len()
    }

    /// Records a peer's durable index of an epoch. Within one process it only grows, so that a delayed message takes
    /// nothing back; the next process may have lost the disk and starts anew.
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

    /// Returns a peer's durable index of an epoch, as far as it is known.
    pub(crate) fn acked_by(&self, peer: usize, epoch: Epoch) -> Index {
        let durable = self.durable.get(&epoch);
        durable
            .and_then(|durable| durable.get(&peer))
            .copied()
            .unwrap_or(0)
    }

    /// Returns the durable index of each machine besides this one, the highest first.
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

    /// Returns the index through which at least `replicas` further machines have an epoch.
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

    /// Opens a commit of this epoch's log through an index, unless `max_pending` are open.
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

    /// Returns whether any commit is pending.
    pub(crate) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns when the oldest pending commit times out.
    pub(crate) fn next_timeout(&self, timeout_us: Micros) -> Option<Micros> {
        self.pending
            .front()
            .map(|pending| pending.opened_at + timeout_us)
    }

    /// Takes out the commits that are given or rejected by now.
    pub(crate) fn resolve(
        &mut self,
        now: Micros,
        own: OwnLog,
        options: &Options,
    ) -> Vec<CommitOutcome> {
        let mut outcomes = Vec::new();
        if self.pending.is_empty() {
            // This is called after each datagram: the machines' durable indexes are computed only if needed.
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

    /// Returns the result of a commit; `None` while it waits.
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
