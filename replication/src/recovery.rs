//! When a proxy that started without a disk has its own commits back.
//!
//! Each commit is on the disks of at least `min_acks` further machines. So once the proxy has all entries that all but
//! `min_acks - 1` of the further machines have, it has every entry that it ever committed, whichever machines those were
//! on. Until then it is not ready. A machine that is lost as well must not keep it from service for ever, so the
//! recovery ends at a deadline.

use crate::{Machine, Micros};
use std::collections::BTreeSet;

/// The times of a recovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecoveryTimes {
    /// When the peers are asked first.
    pub start: Micros,
    /// The recovery ends then, whatever is missing.
    pub deadline: Micros,
    /// The interval in which peers are asked again.
    pub retry_us: Micros,
}

/// What a recovery requires at a tick.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveryStep {
    /// The peers to request digests from now.
    pub request_from: Vec<usize>,
    /// Set when the deadline passes: how many more machines would have been needed.
    pub missing_machines: Option<usize>,
}

/// The recovery of a proxy's own commits from its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recovery {
    own: Machine,
    /// The machine of each peer.
    machines: Vec<Machine>,
    /// How many further machines the proxy must be level with.
    needed: usize,
    /// Peers of which the proxy has all entries.
    caught_up: BTreeSet<usize>,
    deadline: Micros,
    next_request: Micros,
    retry_us: Micros,
    is_over: bool,
}

impl Recovery {
    /// The recovery of a proxy on the machine `own`, whose peers are on `machines` and whose commits waited for
    /// `min_acks` further machines.
    pub fn new(
        own: Machine,
        machines: Vec<Machine>,
        min_acks: usize,
        times: RecoveryTimes,
    ) -> Self {
        let further: BTreeSet<Machine> = machines.iter().copied().filter(|m| *m != own).collect();
        // With no acknowledgements required nothing was committed elsewhere; the peers are asked all the same.
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

    /// Returns when [`Recovery::tick`] is to be called next; `None` once the recovery is over.
    pub fn due(&self) -> Option<Micros> {
        (!self.is_over).then_some(self.next_request.min(self.deadline))
    }

    /// Returns the peers to ask now, and ends the recovery at its deadline.
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

    /// Extends the deadline to at least this time: entries are on their way.
    pub fn extend(&mut self, deadline: Micros) {
        self.deadline = self.deadline.max(deadline);
    }

    /// Records that the proxy has all entries that a peer has. Returns whether that ended the recovery.
    pub fn record_caught_up(&mut self, peer: usize) -> bool {
        if self.is_over || peer >= self.machines.len() {
            return false;
        }
        self.caught_up.insert(peer);
        self.is_over = self.caught_up_machines() >= self.needed;
        self.is_over
    }

    /// Counts the further machines of which the proxy has all entries.
    fn caught_up_machines(&self) -> usize {
        let machines = self.caught_up.iter().map(|peer| self.machines[*peer]);
        let further: BTreeSet<Machine> = machines.filter(|machine| *machine != self.own).collect();
        further.len()
    }
}
