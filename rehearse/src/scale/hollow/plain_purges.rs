//! Purges as plain datagrams, as the daemon drives them: for peers that are not known to replicate logs.

use super::config::FleetConfig;
use super::outbox::Outbox;
use super::PurgeNumber;
use linnetknot_daemon::peers as wire;
use linnetknot_membership::{Member, Membership};
use linnetknot_simnet::Micros;
use std::collections::VecDeque;

/// How often a purge is sent again.
const RESENDS: u8 = 2;

/// The object that a purge of this number is about.
pub(super) fn object(purge: PurgeNumber) -> String {
    format!("{purge:032x}")
}

/// The purge that is about an object.
pub(super) fn purge_of(object: &str) -> Option<PurgeNumber> {
    PurgeNumber::from_str_radix(object, 16).ok()
}

/// Whether a peer is known to replicate logs: one that membership knows to run does.
fn replicates(membership: &Membership, peer: usize) -> bool {
    membership.members().get(peer).is_some_and(Member::is_up)
}

/// A purge that came as a plain datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PlainPurge {
    pub(super) purge: PurgeNumber,
    /// When it was told.
    pub(super) at: Micros,
}

/// What is to be done about a plain purge, besides that it is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Treatment {
    /// Nothing: it comes as an entry, too.
    None,
    /// Its sender is to be greeted; it is looked at again later.
    Greet,
    /// It is to be written.
    Write,
}

#[derive(Clone, Debug)]
struct Resend {
    at: Micros,
    text: String,
    left: u8,
}

/// One whose sender has still to show whether it replicates logs.
#[derive(Clone, Copy, Debug)]
struct Unwritten {
    due: Micros,
    from: usize,
    purge: PlainPurge,
}

/// Plain purges that wait.
#[derive(Clone, Debug)]
pub(super) struct PlainPurges {
    resends: VecDeque<Resend>,
    unwritten: VecDeque<Unwritten>,
    repeat_us: Micros,
    grace_us: Micros,
    capacity: usize,
}

impl PlainPurges {
    pub(super) fn new(config: &FleetConfig) -> Self {
        PlainPurges {
            resends: VecDeque::new(),
            unwritten: VecDeque::new(),
            repeat_us: config.repeat_us,
            grace_us: config.plain_purge_grace_us,
            capacity: config.unwritten_purges,
        }
    }

    pub(super) fn due(&self) -> Option<Micros> {
        let resend = self.resends.front().map(|resend| resend.at);
        let unwritten = self.unwritten.front().map(|unwritten| unwritten.due);
        resend.into_iter().chain(unwritten).min()
    }

    /// Sends a purge that was told here to the peers that may not replicate logs.
    pub(super) fn send(
        &mut self,
        purge: PurgeNumber,
        now: Micros,
        membership: &Membership,
        outbox: &mut Outbox,
    ) {
        if let Some(text) = wire::write(Some(&object(purge)), 0, now) {
            self.send_text(text, RESENDS, now, membership, outbox);
        }
    }

    fn send_text(
        &mut self,
        text: String,
        left: u8,
        now: Micros,
        membership: &Membership,
        outbox: &mut Outbox,
    ) {
        outbox.send_where(text.as_bytes(), |peer| !replicates(membership, peer));
        if left > 0 {
            self.resends.push_back(Resend { at: now + self.repeat_us, text, left: left - 1 });
        }
    }

    /// Sends again what is due; gives the purges that are to be written, as their senders did not show themselves.
    pub(super) fn tick(
        &mut self,
        now: Micros,
        membership: &Membership,
        outbox: &mut Outbox,
    ) -> Vec<PlainPurge> {
        while self.resends.front().is_some_and(|resend| resend.at <= now) {
            let Some(Resend { text, left, .. }) = self.resends.pop_front() else { break };
            self.send_text(text, left, now, membership, outbox);
        }
        let mut to_write = Vec::new();
        while self.unwritten.front().is_some_and(|unwritten| unwritten.due <= now) {
            let Some(Unwritten { from, purge, .. }) = self.unwritten.pop_front() else { break };
            if !replicates(membership, from) {
                to_write.push(purge);
            }
        }
        to_write
    }

    /// Reads a plain purge; none where the datagram is none.
    pub(super) fn read(bytes: &[u8]) -> Option<PlainPurge> {
        let (object, _, at) = wire::read(bytes)?;
        Some(PlainPurge { purge: purge_of(&object?)?, at })
    }

    /// What is to be done about a purge of a peer.
    pub(super) fn receive(
        &mut self,
        from: usize,
        purge: PlainPurge,
        now: Micros,
        membership: &Membership,
    ) -> Treatment {
        if replicates(membership, from) {
            return Treatment::None;
        }
        if self.unwritten.len() >= self.capacity {
            return Treatment::Write;
        }
        self.unwritten.push_back(Unwritten { due: now + self.grace_us, from, purge });
        Treatment::Greet
    }
}
