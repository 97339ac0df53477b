//! When a proxy that began without a disk has its own promises back.
//!
//! Each of its promises is on the disks of `wait` further machines at least. So once it has all that all but `wait - 1`
//! of the further machines have, it has all that it ever promised, whichever machines those were on. Until then it
//! is not ready; a machine that is gone as well must not keep it from service for ever, so that its time is bounded.

use crate::{Machine, Micros};
use std::collections::BTreeSet;

/// A proxy's wait for its own promises.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recovery {
    own: Machine,
    machines: Vec<Machine>,
    needed: usize,
    /// Peers of which it has all.
    settled: BTreeSet<usize>,
    until: Micros,
    ask: Micros,
    retry_us: Micros,
    over: bool,
}

impl Recovery {
    /// Of a proxy on this machine, among peers on these, whose promises waited for `wait` of them. It is over at
    /// `until`, whatever is missing; peers are asked each `retry_us`.
    pub fn new(
        own: Machine,
        machines: Vec<Machine>,
        wait: usize,
        (now, until, retry_us): (Micros, Micros, Micros),
    ) -> Self {
        let further: BTreeSet<Machine> = machines.iter().copied().filter(|m| *m != own).collect();
        // With `wait: 0` nothing was promised of others; who can be reached is asked all the same.
        let needed = (further.len() + 1).saturating_sub(wait.max(1));
        let over = needed == 0;
        Recovery {
            own,
            machines,
            needed,
            settled: BTreeSet::new(),
            until,
            ask: now,
            retry_us,
            over,
        }
    }

    /// Whether it is over.
    pub fn is_over(&self) -> bool {
        self.over
    }

    /// When `tick` has something to do.
    pub fn due(&self) -> Option<Micros> {
        (!self.over).then_some(self.ask.min(self.until))
    }

    /// Which peers are to be asked now; the time may be over with that, with how many machines still not heard out.
    pub fn tick(&mut self, now: Micros) -> (Vec<usize>, Option<usize>) {
        if self.over {
            return (Vec::new(), None);
        }
        if now >= self.until {
            self.over = true;
            return (Vec::new(), Some(self.needed - self.machines()));
        }
        if now < self.ask {
            return (Vec::new(), None);
        }
        self.ask = now + self.retry_us;
        (
            (0..self.machines.len())
                .filter(|peer| !self.settled.contains(peer))
                .collect(),
            None,
        )
    }

    /// What the peers have is on its way: the wait is over no sooner than this.
    pub fn extend(&mut self, until: Micros) {
        self.until = self.until.max(until);
    }

    /// This proxy has all that a peer has. True where that ended the wait.
    pub fn settled(&mut self, peer: usize) -> bool {
        if self.over || peer >= self.machines.len() {
            return false;
        }
        self.settled.insert(peer);
        self.over = self.machines() >= self.needed;
        self.over
    }

    fn machines(&self) -> usize {
        let machines = self
            .settled
            .iter()
            .map(|peer| self.machines[*peer])
            .filter(|m| *m != self.own);
        machines.collect::<BTreeSet<_>>().len()
    }
}
