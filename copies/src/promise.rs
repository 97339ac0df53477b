//! Promises: what of this proxy's own logs is on its disk and on those of others, and which answers may go out.
//!
//! A peer says for a log up to which place it has all entries in force on its disk (its mark). Marks cover all places
//! before them, so a promise is a place: it is kept once this proxy's own mark and those of enough peers, on machines
//! that are not this one and not each other's, have reached it. What can't be had in time is refused, never granted on
//! credit; the entry stays in the log all the same, as others may have it by then.

use crate::{Life, Log, Micros, Seq};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A machine, the domain that fails as one: a hash of its name.
pub type Machine = u64;

/// Why a promise can't be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// This proxy's own disk did not take it.
    Disk,
    /// Too few further machines have it.
    Copies {
        /// As many have it.
        have: usize,
        /// As many are to have it.
        wanted: usize,
    },
    /// Too many promises are open.
    Many,
}

impl std::fmt::Display for Why {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Why::Disk => f.write_str("it is not on this proxy's disk"),
            Why::Copies { have, wanted } => write!(f, "{have} of {wanted} further machines have it"),
            Why::Many => f.write_str("too many promises are open"),
        }
    }
}

/// Number of a promise, in the order in which they were asked for.
pub type Promise = u64;

/// The end of a promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settled {
    /// Which.
    pub promise: Promise,
    /// How long it took, or why it is refused.
    pub kept: Result<Micros, Why>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Open {
    promise: Promise,
    /// In the log of this life.
    place: Seq,
    since: Micros,
}

/// Entries that are in the book and not, or not surely, on this proxy's disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Unkept {
    /// Those on their way to the disk and those it did not take.
    logs: BTreeMap<Log, BTreeSet<Seq>>,
    /// Those that it did not take.
    failed: BTreeSet<(Log, Seq)>,
}

impl Unkept {
    pub(crate) fn add(&mut self, log: Log, seq: Seq) {
        self.logs.entry(log).or_default().insert(seq);
    }

    pub(crate) fn kept(&mut self, log: Log, seq: Seq) {
        self.failed.remove(&(log, seq));
        if let Some(places) = self.logs.get_mut(&log) {
            places.remove(&seq);
            if places.is_empty() {
                self.logs.remove(&log);
            }
        }
    }

    pub(crate) fn failed(&mut self, log: Log, seq: Seq) {
        if self.logs.get(&log).is_some_and(|places| places.contains(&seq)) {
            self.failed.insert((log, seq));
        }
    }

    /// Those that the disk did not take, which are on their way to it again from here on.
    pub(crate) fn again(&mut self) -> BTreeSet<(Log, Seq)> {
        std::mem::take(&mut self.failed)
    }

    /// Whether nothing behind a place of a log is missing on the disk.
    pub(crate) fn is_last(&self, log: Log, seq: Seq) -> bool {
        self.logs.get(&log).and_then(|places| places.last()) == Some(&seq)
    }

    /// Up to which place all of a log that ends at `end` is on the disk.
    pub(crate) fn through(&self, log: Log, end: Seq) -> Seq {
        self.logs.get(&log).and_then(|places| places.first()).map_or(end, |first| (first - 1).min(end))
    }

    /// Whether the disk did not take something of a log up to a place.
    fn is_failed(&self, log: Log, place: Seq) -> bool {
        self.failed.range((log, 0)..=(log, place)).next().is_some()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.logs.is_empty()
    }
}

/// The marks of the peers for this proxy's own logs, and the promises that wait for them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Promises {
    /// By this writer's lives, what each peer has on its disk.
    marks: BTreeMap<Life, BTreeMap<usize, Seq>>,
    /// The process of each peer that said so.
    begun: BTreeMap<usize, u64>,
    /// The machine of each peer; the domain of its copy.
    machines: Vec<Machine>,
    own: Machine,
    /// In the order of their places, which is that of their times.
    open: VecDeque<Open>,
    asked: Promise,
}

impl Promises {
    /// Whose machine is which. What the marks said of the peers before is asked for anew.
    pub(crate) fn peers(&mut self, own: Machine, machines: Vec<Machine>) {
        if (self.own, &self.machines) != (own, &machines) {
            (self.own, self.machines) = (own, machines);
            self.marks.clear();
            self.begun.clear();
        }
    }

    pub(crate) fn count(&self) -> usize {
        self.machines.len()
    }

    /// A peer says how far it has a log of this writer on its disk. In one process that only grows, so that a word that
    /// was overtaken takes nothing back; the next process may have lost the disk, and begins anew.
    pub(crate) fn mark(&mut self, (peer, begun): (usize, u64), life: Life, place: Seq) {
        let known = self.begun.get(&peer).copied().unwrap_or(0);
        if peer >= self.machines.len() || begun < known {
            return;
        }
        if begun > known {
            self.begun.insert(peer, begun);
            for marks in self.marks.values_mut() {
                marks.remove(&peer);
            }
        }
        let mark = self.marks.entry(life).or_default().entry(peer).or_insert(0);
        *mark = place.max(*mark);
    }

    /// What a peer is known to have of a life.
    pub(crate) fn of(&self, peer: usize, life: Life) -> Seq {
        self.marks.get(&life).and_then(|marks| marks.get(&peer)).copied().unwrap_or(0)
    }

    /// Up to which place each machine besides this one has a life, the furthest first.
    fn furthest(&self, life: Life) -> Vec<Seq> {
        let mut best = BTreeMap::<Machine, Seq>::new();
        for (peer, mark) in self.marks.get(&life).into_iter().flatten() {
            if let Some(machine) = self.machines.get(*peer).filter(|machine| **machine != self.own) {
                let most = best.entry(*machine).or_default();
                *most = (*most).max(*mark);
            }
        }
        let mut marks: Vec<Seq> = best.into_values().collect();
        marks.sort_unstable_by(|a, b| b.cmp(a));
        marks
    }

    /// The place up to which as many further machines have a life.
    pub(crate) fn through(&self, life: Life, wanted: usize) -> Seq {
        match wanted.checked_sub(1) {
            None => Seq::MAX,
            Some(n) => self.furthest(life).get(n).copied().unwrap_or(0),
        }
    }

    pub(crate) fn open(&mut self, now: Micros, place: Seq, most: usize) -> Result<Promise, Why> {
        if self.open.len() >= most {
            return Err(Why::Many);
        }
        self.asked += 1;
        self.open.push_back(Open { promise: self.asked, place, since: now });
        Ok(self.asked)
    }

    pub(crate) fn is_waiting(&self) -> bool {
        !self.open.is_empty()
    }

    /// When the oldest promise is to be refused.
    pub(crate) fn until(&self, within: Micros) -> Option<Micros> {
        self.open.front().map(|open| open.since + within)
    }

    /// Takes out the promises that are kept, that this proxy's disk did not take or that have waited for too long.
    pub(crate) fn settle(
        &mut self,
        now: Micros,
        log: Log,
        (mark, unkept): (Seq, &Unkept),
        (wait, within): (usize, Micros),
    ) -> Vec<Settled> {
        let copied = self.through(log.1, wait);
        let mut settled = Vec::new();
        while let Some(Open { promise, place, since }) = self.open.front().copied() {
            let kept = if mark >= place && copied >= place {
                Ok(now.saturating_sub(since))
            } else if unkept.is_failed(log, place) || mark < place && since + within <= now {
                Err(Why::Disk)
            } else if since + within <= now {
                let have = self.furthest(log.1).into_iter().filter(|mark| *mark >= place).count();
                Err(Why::Copies { have, wanted: wait })
            } else {
                break;
            };
            self.open.pop_front();
            settled.push(Settled { promise, kept });
        }
        settled
    }
}
