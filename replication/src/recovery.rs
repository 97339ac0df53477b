//! Determines when a proxy that lost its disk has recovered its own commits from its peers.
//!
//! Each commit is on the disks of at least `min_acks` other machines. Once the proxy has caught up with all but
//! `min_acks - 1` of the other machines, it therefore has every entry that it ever committed. Until then it is not
//! ready to serve. The recovery ends at a deadline, so that the proxy becomes ready even if another machine is lost
//! too.

use crate::{Machine, Micros};
use std::collections::BTreeSet;

/// The schedule of the recovery of a proxy's own commits from its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecoveryTimes {
    /// The time of the first digest requests.
    pub start: Micros,
    /// The time at which the recovery ends even if it is incomplete.
    pub deadline: Micros,
    /// The interval between digest requests to a peer.
    pub retry_us: Micros,
}

/// The actions that a recovery requires at a tick.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveryStep {
    /// The peers to request digests from.
    pub request_from: Vec<usize>,
    /// The number of machines with which the proxy had not caught up. Set only at the tick that ends the recovery at
    /// its deadline.
    pub missing_machines: Option<usize>,
}

/// The recovery of a proxy's own commits from its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recovery {
    own: Machine,
    /// The machine of each peer.
    machines: Vec<Machine>,
    /// The number of other machines that the proxy must catch up with.
    needed: usize,
    /// Peers that the proxy has caught up with.
    caught_up: BTreeSet<usize>,
    deadline: Micros,
    next_request: Micros,
    retry_us: Micros,
    is_over: bool,
}

impl Recovery {
    /// Creates the recovery of a proxy. `own` is its machine, `machines` are those of its peers, and `min_acks` is the
    /// number of other machines that had to acknowledge its commits.
    pub fn new(
        own: Machine,
        machines: Vec<Machine>,
        min_acks: usize,
        times: RecoveryTimes,
    ) -> Self {
        let further: BTreeSet<Machine> = machines.iter().copied().filter(|m| *m != own).collect();
        // If no acknowledgements were required, any machine may have the only copy of an entry, so all machines are
        // needed.
        let needed = (further.len() + 1).saturating_sub(min_acks.max(1));
        Recovery {
            own,
            machines,
            needed,
            caught_up: BTreeSet::new(),
            deadline: times.deadline,
            next_request: times.start,
            retry_us: times.retry_us,
            is_over: needed == 0,
        }
    }

    /// Returns whether the recovery is over.
    pub fn is_over(&self) -> bool {
        self.is_over
    }

    /// Returns the time at which [`Recovery::tick`] must be called next, or `None` once the recovery is over.
    pub fn due(&self) -> Option<Micros> {
        (!self.is_over).then_some(self.next_request.min(self.deadline))
    }

    /// Returns the peers to request digests from, and ends the recovery at its deadline.
    pub fn tick(&mut self, now: Micros) -> RecoveryStep {
        if self.is_over {
            return RecoveryStep::default();
        }
        if now >= self.deadline {
            self.is_over = true;
            return RecoveryStep {
                missing_machines: Some(self.needed - self.caught_up_machines()),
                ..RecoveryStep::default()
            };
        }
        if now < self.next_request {
            return RecoveryStep::default();
        }
        self.next_request = now + self.retry_us;
        let lagging = (0..self.machines.len()).filter(|peer| !self.caught_up.contains(peer));
        RecoveryStep {
            request_from: lagging.collect(),
            missing_machines: None,
        }
    }

    /// Extends the deadline to at least this time, because entries are still arriving.
    pub fn extend(&mut self, deadline: Micros) {
        self.deadline = self.deadline.max(deadline);
    }

    /// Records that the proxy has all entries of a peer. Returns whether this ended the recovery.
    pub fn record_caught_up(&mut self, peer: usize) -> bool {
        if self.is_over || peer >= self.machines.len() {
            return false;
        }
        self.caught_up.insert(peer);
        self.is_over = self.caught_up_machines() >= self.needed;
        self.is_over
    }

    /// Counts the other machines that the proxy has caught up with.
    fn caught_up_machines(&self) -> usize {
        let machines = self.caught_up.iter().map(|peer| self.machines[*peer]);
        let further: BTreeSet<Machine> = machines.filter(|machine| *machine != self.own).collect();
        further.len()
    }
}
