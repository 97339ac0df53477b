//! Commits: what of this proxy's own logs is on its disk and on those of others, and which answers may go out.
//!
//! A peer says for a log up to which index it has all entries in force on its disk (its durable index). Durable indexes cover all indexes
//! before them, so a commit is an index: it is kept once this proxy's own durable index and those of enough peers, on machines
//! that are not this one and not each other's, have reached it. What can't be had in time is refused, never granted on
//! credit; the entry stays in the log all the same, as others may have it by then.

use crate::unsynced::Unsynced;
use crate::{Epoch, Index, LogId, Micros};
use std::collections::{BTreeMap, VecDeque};

/// A machine, the domain that fails as one: a hash of its name.
pub type Machine = u64;

/// Why a commit can't be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// This proxy's own disk did not take it.
    Disk,
    /// Too few further machines have it.
    TooFewReplicas {
        /// As many have it.
        have: usize,
        /// As many are to have it.
        wanted: usize,
    },
    /// Too many commits are open.
    TooManyPending,
}

impl std::fmt::Display for RejectReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RejectReason::Disk => f.write_str("it is not on this proxy's disk"),
            RejectReason::TooFewReplicas { have, wanted } => {
                write!(f, "{have} of {wanted} further machines have it")
            }
            RejectReason::TooManyPending => f.write_str("too many pending are open"),
        }
    }
}

/// Number of a commit, in the order in which they were asked for.
pub type CommitId = u64;

/// The end of a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommitOutcome {
    /// Which.
    pub commit: CommitId,
    /// How long it took, or why it is refused.
    pub result: Result<Micros, RejectReason>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Open {
    commit: CommitId,
    /// In the log of this epoch.
    index: Index,
    since: Micros,
}

/// The durable indexes of the peers for this proxy's own logs, and the commits that wait for them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct PendingCommits {
    /// By this writer's epochs, what each peer has on its disk.
    durable: BTreeMap<Epoch, BTreeMap<usize, Index>>,
    /// The process of each peer that said so.
    process: BTreeMap<usize, u64>,
    /// The machine of each peer; the domain of its copy.
    machines: Vec<Machine>,
    own: Machine,
    /// In the order of their indexes, which is that of their times.
    open: VecDeque<Open>,
    asked: CommitId,
}

impl PendingCommits {
    /// Whose machine is which. What the durable indexes said of the peers before is asked for anew.
    pub(crate) fn peers(&mut self, own: Machine, machines: Vec<Machine>) {
        if (self.own, &self.machines) != (own, &machines) {
            (self.own, self.machines) = (own, machines);
            self.durable.clear();
            self.process.clear();
        }
    }

    pub(crate) fn count(&self) -> usize {
        self.machines.len()
    }

    /// A peer says how far it has a log of this writer on its disk. In one process that only grows, so that a message that
    /// was overtaken takes nothing back; the next process may have lost the disk, and begins anew.
    pub(crate) fn durable_index(
        &mut self,
        (peer, process): (usize, u64),
        epoch: Epoch,
        index: Index,
    ) {
        let known = self.process.get(&peer).copied().unwrap_or(0);
        if peer >= self.machines.len() || process < known {
            return;
        }
        if process > known {
            self.process.insert(peer, process);
            for durable in self.durable.values_mut() {
                durable.remove(&peer);
            }
        }
        let durable_index = self
            .durable
            .entry(epoch)
            .or_default()
            .entry(peer)
            .or_insert(0);
        *durable_index = index.max(*durable_index);
    }

    /// What a peer is known to have of an epoch.
    pub(crate) fn of(&self, peer: usize, epoch: Epoch) -> Index {
        self.durable
            .get(&epoch)
            .and_then(|durable| durable.get(&peer))
            .copied()
            .unwrap_or(0)
    }

    /// Up to which index each machine besides this one has an epoch, the furthest first.
    fn furthest(&self, epoch: Epoch) -> Vec<Index> {
        let mut best = BTreeMap::<Machine, Index>::new();
        for (peer, durable_index) in self.durable.get(&epoch).into_iter().flatten() {
            if let Some(machine) = self
                .machines
                .get(*peer)
                .filter(|machine| **machine != self.own)
            {
                let most = best.entry(*machine).or_default();
                *most = (*most).max(*durable_index);
            }
        }
        let mut durable: Vec<Index> = best.into_values().collect();
        durable.sort_unstable_by(|a, b| b.cmp(a));
        durable
    }

    /// The index up to which as many further machines have an epoch.
    pub(crate) fn through(&self, epoch: Epoch, wanted: usize) -> Index {
        match wanted.checked_sub(1) {
            None => Index::MAX,
            Some(n) => self.furthest(epoch).get(n).copied().unwrap_or(0),
        }
    }

    pub(crate) fn open(
        &mut self,
        now: Micros,
        index: Index,
        most: usize,
    ) -> Result<CommitId, RejectReason> {
        if self.open.len() >= most {
            return Err(RejectReason::TooManyPending);
        }
        self.asked += 1;
        self.open.push_back(Open {
            commit: self.asked,
            index,
            since: now,
        });
        Ok(self.asked)
    }

    pub(crate) fn is_waiting(&self) -> bool {
        !self.open.is_empty()
    }

    /// When the oldest commit is to be refused.
    pub(crate) fn until(&self, within: Micros) -> Option<Micros> {
        self.open.front().map(|open| open.since + within)
    }

    /// Takes out the commits that are kept, that this proxy's disk did not take or that have waited for too long.
    pub(crate) fn resolve_commits(
        &mut self,
        now: Micros,
        log: LogId,
        (durable_index, unsynced): (Index, &Unsynced),
        (min_acks, timeout_us): (usize, Micros),
    ) -> Vec<CommitOutcome> {
        let mut outcomes = Vec::new();
        if self.open.is_empty() {
            // This is asked after each datagram: the acks of all machines are looked through only where it matters.
            return outcomes;
        }
        let replicated = self.through(log.epoch, min_acks);
        while let Some(Open {
            commit,
            index,
            since,
        }) = self.open.front().copied()
        {
            let result = if durable_index >= index && replicated >= index {
                Ok(now.saturating_sub(since))
            } else if unsynced.is_failed(log, index)
                || durable_index < index && since + timeout_us <= now
            {
                Err(RejectReason::Disk)
            } else if since + timeout_us <= now {
                let have = self
                    .furthest(log.epoch)
                    .into_iter()
                    .filter(|durable_index| *durable_index >= index)
                    .count();
                Err(RejectReason::TooFewReplicas {
                    have,
                    wanted: min_acks,
                })
            } else {
                break;
            };
            self.open.pop_front();
            outcomes.push(CommitOutcome { commit, result });
        }
        outcomes
    }
}
