//! Decides how purges are exchanged as plain datagrams with peers that do not replicate logs: older versions, and
//! proxies with replication off. This module does no I/O.
//!
//! A peer that replicates logs receives each purge as an entry of the log of the proxy that received it, so no plain
//! datagrams are sent to such a peer. A plain purge from such a peer is applied but not appended to the log of this
//! proxy, because the purge would otherwise be in two logs. Membership shows whether a peer replicates logs. If a
//! sender is unknown to membership, this proxy contacts it by a membership message, and appends the purge only if the
//! sender does not reply within a grace period.
//!
//! A peer that replicates may send a plain purge too, while it does not know that this proxy replicates. If that peer is
//! then lost with its disk before any of its entries arrive, no log contains the purge, but it is in force here. This
//! proxy therefore retains the purge until it is in a log, and appends it to its own log if the sender's process ends
//! before that, or after `MAX_GRACE_PERIODS`. Purges of log entries that arrived out of order are retained in the same way, because the entries before
//! them may be lost with their writer.

use crate::limits::Limits;
use crate::peers::Purge;
use linnetknot::Micros;
use linnetknot_replication::LogPosition;
use std::collections::VecDeque;

/// The number of times a purge is resent. Peers without replication do not request missing purges.
const RESENDS: u8 = 2;
/// The number of grace periods after which a retained purge is appended to the log of this proxy in any case. The
/// sender's log then does not provide it, for example because the process that is known is a later one without its disk.
/// A living sender that can be reached sends its entries again within a period. A purge in two logs does no harm.
const MAX_GRACE_PERIODS: u8 = 10;

/// The treatment of a received plain purge, in addition to applying it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Treatment {
    /// No further action now. The purge is in a log, or is retained until it is received as a log entry.
    Replicated,
    /// Send the sender a membership message. Whether the purge must be appended to the log is decided later.
    Greet,
    /// Append the purge to the log of this proxy, so that it persists across restarts.
    Write(Purge),
}

/// The work that is due at a tick.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DueWork {
    /// Datagrams to resend to the peers that are not known to replicate logs.
    pub resends: Vec<String>,
    /// Purges to append to the log of this proxy, because their senders are not known to replicate logs, or ended before
    /// any log contained the purge.
    pub writes: Vec<Purge>,
}

#[derive(Clone, Debug)]
struct Resend {
    at: Micros,
    text: String,
    remaining: u8,
}

/// The peer that sent a purge, as a plain datagram or as a log entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PurgeSender {
    /// The index of the sender among the peers that may replicate logs.
    pub peer: usize,
    /// The process of the sender, if it is known to replicate logs.
    pub process: Option<u64>,
}

/// A purge that was in no log when it was received, or whose sender was not known to replicate logs. At `due` its state
/// is checked, and the purge is dropped, appended to the log or retained for another grace period.
#[derive(Clone, Debug)]
struct Unwritten {
    due: Micros,
    /// The number of grace periods that began since the purge was received.
    periods: u8,
    from: PurgeSender,
    retained: RetainedPurge,
}

/// A purge that is in force and that no log contained when it was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetainedPurge {
    /// The purge.
    pub purge: Purge,
    /// The position of its log entry, if it was received as an entry. A log that has reached the position contains the
    /// purge, possibly in compacted form.
    pub position: Option<LogPosition>,
}

/// The plain purges to resend, and those that may have to be appended to the log.
#[derive(Clone, Debug)]
pub struct PlainPurges {
    resend_us: Micros,
    grace_us: Micros,
    capacity: usize,
    resends: VecDeque<Resend>,
    unwritten: VecDeque<Unwritten>,
}

impl PlainPurges {
    /// Creates an empty set with the limits of the daemon.
    pub fn new(limits: &Limits) -> Self {
        PlainPurges {
            resend_us: limits.purge_resend_interval_us,
            grace_us: limits.plain_purge_grace_us,
            capacity: limits.max_unwritten_purges,
            resends: VecDeque::new(),
            unwritten: VecDeque::new(),
        }
    }

    /// Records a datagram that is sent now and is to be resent.
    pub fn sent(&mut self, now: Micros, text: String) {
        self.resends.push_back(Resend {
            at: now + self.resend_us,
            text,
            remaining: RESENDS - 1,
        });
    }

    /// Returns the treatment of a purge. `from` is the sender, if known, and `is_logged` states whether a log contains
    /// the purge.
    pub fn receive(
        &mut self,
        now: Micros,
        from: Option<PurgeSender>,
        is_logged: bool,
        purge: Purge,
    ) -> Treatment {
        let replicates = from.is_some_and(|from| from.process.is_some());
        match from {
            _ if replicates && is_logged => Treatment::Replicated,
            Some(from) if self.has_capacity() => {
                let position = None;
                self.retain(now, from, RetainedPurge { purge, position });
                if replicates {
                    Treatment::Replicated
                } else {
                    Treatment::Greet
                }
            }
            _ => Treatment::Write(purge),
        }
    }

    /// Retains the purge of a log entry that arrived out of order. The purge is in force, but no log contains it until
    /// the entries before it arrive. Above the capacity the purge is not retained: appending it at once would put most
    /// entries of a long catch-up into two logs.
    pub fn receive_out_of_order(
        &mut self,
        now: Micros,
        from: PurgeSender,
        purge: Purge,
        position: LogPosition,
    ) {
        if self.has_capacity() {
            let position = Some(position);
            self.retain(now, from, RetainedPurge { purge, position });
        }
    }

    fn has_capacity(&self) -> bool {
        self.unwritten.len() < self.capacity
    }

    fn retain(&mut self, now: Micros, from: PurgeSender, retained: RetainedPurge) {
        self.unwritten.push_back(Unwritten {
            due: now + self.grace_us,
            periods: 1,
            from,
            retained,
        });
    }

    /// Returns the number of retained purges that no log contains, according to the function `is_logged`.
    pub fn unlogged(&self, is_logged: impl Fn(&RetainedPurge) -> bool) -> usize {
        let is_unlogged = |unwritten: &&Unwritten| !is_logged(&unwritten.retained);
        self.unwritten.iter().filter(is_unlogged).count()
    }

    /// Returns when the next tick is due.
    pub fn due(&self) -> Option<Micros> {
        let resend = self.resends.front().map(|resend| resend.at);
        let unwritten = self.unwritten.front().map(|unwritten| unwritten.due);
        resend.into_iter().chain(unwritten).min()
    }

    /// Returns the work that is due at `now`. The function `process` returns the process of a peer that is known to
    /// replicate logs, and `is_logged` whether a log contains a purge.
    pub fn tick(
        &mut self,
        now: Micros,
        process: impl Fn(usize) -> Option<u64>,
        is_logged: impl Fn(&RetainedPurge) -> bool,
    ) -> DueWork {
        let mut due_work = DueWork::default();
        while let Some(resend) = pop_if(&mut self.resends, |resend| resend.at <= now) {
            due_work.resends.push(resend.text.clone());
            if resend.remaining > 0 {
                let at = now + self.resend_us;
                self.resends.push_back(Resend {
                    at,
                    remaining: resend.remaining - 1,
                    ..resend
                });
            }
        }
        while let Some(unwritten) = pop_if(&mut self.unwritten, |unwritten| unwritten.due <= now) {
            if is_logged(&unwritten.retained) {
                continue;
            }
            let PurgeSender { peer, process: old } = unwritten.from;
            let new = process(peer);
            let has_same_process = new.is_some() && (old.is_none() || old == new);
            if has_same_process && unwritten.periods < MAX_GRACE_PERIODS {
                // The sender's process has the purge, and its log entry may still arrive.
                self.unwritten.push_back(Unwritten {
                    due: now + self.grace_us,
                    periods: unwritten.periods + 1,
                    from: PurgeSender { peer, process: new },
                    ..unwritten
                });
            } else {
                due_work.writes.push(unwritten.retained.purge);
            }
        }
        due_work
    }

    /// Removes and returns all purges that may have to be appended to the log. Called before the indices of the peers
    /// change.
    pub fn take_unwritten(&mut self) -> Vec<Purge> {
        self.unwritten
            .drain(..)
            .map(|unwritten| unwritten.retained.purge)
            .collect()
    }
}

/// Removes and returns the first element of a queue if it meets a condition.
fn pop_if<T>(queue: &mut VecDeque<T>, condition: impl Fn(&T) -> bool) -> Option<T> {
    queue.front().filter(|first| condition(first))?;
    queue.pop_front()
}
