//! Purges as plain datagrams: the form for peers that do not replicate logs, which are versions before replication and
//! proxies that have it off. Sans-IO.
//!
//! A peer that replicates has each purge as an entry of its writer's log. It is not sent plain datagrams, and one that
//! comes from it is put in force and not written: written here as well, the same purge would stand in two logs, and the
//! second would have an index that nobody else was sent. Whether a peer replicates is known from membership, which runs
//! where replication does; a sender that was not met yet is greeted, and its purge written only if it does not answer.

use crate::limits::Limits;
use crate::peers::Purge;
use linnetknot::Micros;
use std::collections::VecDeque;

/// How often a purge is sent again: peers that do not replicate logs do not ask for what they miss.
const RESENDS: u8 = 2;

/// What is to be done about a plain purge, besides that it is in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Treatment {
    /// Nothing: it comes as an entry, too.
    Replicated,
    /// Its sender is to be greeted. Whether it has to be written shows later.
    Greet,
    /// It is to be written, so that the next process knows it.
    Write(Purge),
}

/// What time has brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Overdue {
    /// To be sent to the peers that are not known to replicate logs.
    pub resends: Vec<String>,
    /// To be written: their senders did not show that they replicate logs.
    pub writes: Vec<Purge>,
}

#[derive(Clone, Debug)]
struct Resend {
    at: Micros,
    text: String,
    left: u8,
}

/// A purge whose sender has still to show whether it replicates logs.
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
    /// None yet, within a daemon's bounds.
    pub fn new(limits: &Limits) -> Self {
        PlainPurges {
            resend_us: limits.repeat_us,
            grace_us: limits.plain_purge_grace_us,
            capacity: limits.unwritten_purges,
            resends: VecDeque::new(),
            unwritten: VecDeque::new(),
        }
    }

    /// A datagram is sent now to the peers that are not known to replicate logs, and is to be sent again.
    pub fn sent(&mut self, now: Micros, text: String) {
        self.resends.push_back(Resend {
            at: now + self.resend_us,
            text,
            left: RESENDS - 1,
        });
    }

    /// What is to be done about a purge of the peer at this place, which is known to replicate logs or not. None: of a
    /// peer that can't be greeted.
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

    /// When `tick` has something to do.
    pub fn due(&self) -> Option<Micros> {
        let resend = self.resends.front().map(|resend| resend.at);
        let unwritten = self.unwritten.front().map(|unwritten| unwritten.due);
        resend.into_iter().chain(unwritten).min()
    }

    /// What is due, by which peers are known to replicate logs by now.
    pub fn tick(&mut self, now: Micros, replicates: impl Fn(usize) -> bool) -> Overdue {
        let mut overdue = Overdue::default();
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

    /// Takes out all that may have to be written, as the peers' places are others from now on.
    pub fn take_unwritten(&mut self) -> Vec<Purge> {
        self.unwritten
            .drain(..)
            .map(|unwritten| unwritten.purge)
            .collect()
    }
}

/// Takes the first of a queue, if it meets a condition.
fn pop_if<T>(queue: &mut VecDeque<T>, condition: impl Fn(&T) -> bool) -> Option<T> {
    queue.front().filter(|first| condition(first))?;
    queue.pop_front()
}
