//! Purges as plain datagrams, for peers that do not replicate logs: versions before replication, and proxies that have
//! it switched off. Sans-IO.
//!
//! A peer that replicates logs has each purge as an entry of its writer's log. It is sent no plain datagrams, and one
//! that is received from it is put in force and not written: otherwise the same purge would be in two logs, and the
//! second entry would have an index that no other peer was sent. Whether a peer replicates is known from membership,
//! which runs where replication does. A sender that membership does not know yet is greeted, and its purge is written
//! only if it does not answer.

use crate::limits::Limits;
use crate::peers::Purge;
use linnetknot::Micros;
use std::collections::VecDeque;

/// How often a purge is sent again, as peers that do not replicate logs do not request what they miss.
const RESENDS: u8 = 2;

/// What is to be done with a plain purge, besides putting it in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Treatment {
    /// Nothing: it is received as an entry, too.
    Replicated,
    /// Greet its sender. Whether it has to be written is known later.
    Greet,
    /// Write it, so that it outlives the process.
    Write(Purge),
}

/// What is due at a tick.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DueWork {
    /// Datagrams to send to the peers that are not known to replicate logs.
    pub resends: Vec<String>,
    /// Purges to write, as their senders are still not known to replicate logs.
    pub writes: Vec<Purge>,
}

#[derive(Clone, Debug)]
struct Resend {
    at: Micros,
    text: String,
    left: u8,
}

/// A purge whose sender is not known to replicate logs yet.
#[derive(Clone, Debug)]
struct Unwritten {
    due: Micros,
    from: usize,
    purge: Purge,
}

/// Plain purges that are to be sent again, and those that may have to be written.
#[derive(Clone, Debug)]
pub struct PlainPurges {
    resend_us: Micros,
    grace_us: Micros,
    capacity: usize,
    resends: VecDeque<Resend>,
    unwritten: VecDeque<Unwritten>,
}

impl PlainPurges {
    /// Creates an empty set, within the daemon's limits.
    pub fn new(limits: &Limits) -> Self {
        PlainPurges {
            resend_us: limits.purge_resend_interval_us,
            grace_us: limits.plain_purge_grace_us,
            capacity: limits.max_unwritten_purges,
            resends: VecDeque::new(),
            unwritten: VecDeque::new(),
        }
    }

    /// Records a datagram that is sent now, and is to be sent again.
    pub fn sent(&mut self, now: Micros, text: String) {
        self.resends.push_back(Resend {
            at: now + self.resend_us,
            text,
            left: RESENDS - 1,
        });
    }

    /// Decides what to do with a purge of the peer with this index, which is known to replicate logs or not. Without an
    /// index its sender can't be greeted.
    pub fn receive(
        &mut self,
        now: Micros,
        from: Option<usize>,
        replicates: bool,
        purge: Purge,
    ) -> Treatment {
        match from {
            _ if replicates => Treatment::Replicated,
            Some(from) if self.unwritten.len() < self.capacity => {
                self.unwritten.push_back(Unwritten {
                    due: now + self.grace_us,
                    from,
                    purge,
                });
                Treatment::Greet
            }
            _ => Treatment::Write(purge),
        }
    }

    /// Returns when the next tick is due.
    pub fn due(&self) -> Option<Micros> {
        let resend = self.resends.front().map(|resend| resend.at);
        let unwritten = self.unwritten.front().map(|unwritten| unwritten.due);
        resend.into_iter().chain(unwritten).min()
    }

    /// Takes what is due. `replicates` says whether a peer is known to replicate logs by now.
    pub fn tick(&mut self, now: Micros, replicates: impl Fn(usize) -> bool) -> DueWork {
        let mut overdue = DueWork::default();
        while let Some(resend) = pop_if(&mut self.resends, |resend| resend.at <= now) {
            overdue.resends.push(resend.text.clone());
            if resend.left > 0 {
                let at = now + self.resend_us;
                self.resends.push_back(Resend {
                    at,
                    left: resend.left - 1,
                    ..resend
                });
            }
        }
        while let Some(unwritten) = pop_if(&mut self.unwritten, |unwritten| unwritten.due <= now) {
            if !replicates(unwritten.from) {
                overdue.writes.push(unwritten.purge);
            }
        }
        overdue
    }

    /// Takes all purges that may have to be written, as the peers' indices change now.
    pub fn take_unwritten(&mut self) -> Vec<Purge> {
        self.unwritten
            .drain(..)
            .map(|unwritten| unwritten.purge)
            .collect()
    }
}

/// Removes the first element of a queue if it meets a condition.
fn pop_if<T>(queue: &mut VecDeque<T>, condition: impl Fn(&T) -> bool) -> Option<T> {
    queue.front().filter(|first| condition(first))?;
    queue.pop_front()
}
