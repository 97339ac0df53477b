//! The SWIM protocol: the state of one member, and when it acts.
//!
//! - `probes`: probes and their timeouts, direct and indirect, and greetings.
//! - `exchange`: datagrams sent and received.
//! - `claims`: claims about members, and the refutation of those about itself.
//!
//! A failure detector that does not receive what it should is more often slow itself than all others are gone: it then
//! waits longer before it suspects them. How much longer is its health score.

mod claims;
mod exchange;
mod probes;

use crate::gossip::Gossip;
use crate::member::{Change, Member, MemberState, Names};
use crate::suspicion::Suspicion;
use crate::wire::{truncated, Sender};
use crate::{Counters, Id, Micros, Options, PeerIndex, ProcessId};
use linnetknot_datagram::Random;
use probes::{IndirectProbe, Probe};
use std::collections::BTreeMap;

/// How much a stall adds to the health score.
const STALL_PENALTY: u32 = 2;
/// A tick that is late by more than this many times the probe timeout is a stall.
const MIN_STALL_FACTOR: Micros = 2;

/// How a member is set up.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// Its id.
    pub id: Id,
    /// Its process.
    pub process: ProcessId,
    /// Its names, which it reports to others.
    pub names: Names,
    /// The number of its peers.
    pub peers: usize,
    /// The seed of its random numbers.
    pub seed: u64,
    /// Times and bounds.
    pub options: Options,
}

/// A datagram to send, and its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver.
    pub peer: PeerIndex,
    /// The datagram.
    pub datagram: Vec<u8>,
}

/// The members of an installation, as one of them sees the others.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Sender,
    names: Names,
    options: Options,
    members: Vec<Member>,
    by_id: BTreeMap<Id, PeerIndex>,
    suspicions: BTreeMap<PeerIndex, Suspicion>,
    gossip: Gossip,
    /// The peers that are still to be probed in this round.
    round: Vec<PeerIndex>,
    /// The peers that were not greeted yet: a member that starts should know all soon, and not only after a whole round.
    undiscovered: Vec<PeerIndex>,
    probe: Option<Probe>,
    /// The pending pings on behalf of others, by their numbers.
    indirect: BTreeMap<u32, IndirectProbe>,
    next_probe: Micros,
    last_number: u32,
    health: u32,
    random: Random,
    has_left: bool,
    is_replaced: bool,
    /// Until then a later process of this member that peers know of is taken for an earlier one.
    predecessor_until: Micros,
    outgoing: Vec<Outgoing>,
    changes: Vec<Change>,
    counters: Counters,
}

impl Membership {
    /// Creates a member that knows nothing of its peers yet.
    pub fn new(config: MembershipConfig, now: Micros) -> Self {
        let MembershipConfig {
            id,
            process,
            names,
            peers,
            seed,
            options,
        } = config;
        let mut membership = Membership {
            own: Sender {
                id,
                process,
                incarnation: 0,
            },
            names: Names {
                name: truncated(&names.name),
                machine: truncated(&names.machine),
            },
            options,
            members: Vec::new(),
            by_id: BTreeMap::new(),
            suspicions: BTreeMap::new(),
            gossip: Gossip::default(),
            round: Vec::new(),
            undiscovered: Vec::new(),
            probe: None,
            indirect: BTreeMap::new(),
            next_probe: now,
            last_number: 0,
            health: 0,
            random: Random::new(seed ^ id.rotate_left(17) ^ process),
            has_left: false,
            is_replaced: false,
            predecessor_until: 0,
            outgoing: Vec::new(),
            changes: Vec::new(),
            counters: Counters::default(),
        };
        // Members that are started together must not probe in step.
        membership.next_probe += membership.random.below(options.protocol_period_us);
        membership.reset_peers(peers);
        membership
    }

    /// Sets the number of peers after the list of peers has changed: which member has which index is learned anew. What
    /// this member knows of itself stays.
    pub fn reset_peers(&mut self, peers: usize) {
        self.members = vec![Member::default(); peers];
        self.undiscovered = (0..peers).collect();
        self.by_id.clear();
        self.suspicions.clear();
        self.indirect.clear();
        self.round.clear();
        self.probe = None;
    }

    /// Returns the members, by their indexes in the list of peers.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns a member's index, if anything was received from it.
    fn index_of(&self, id: Id) -> Option<PeerIndex> {
        self.by_id.get(&id).copied()
    }

    /// Counts the members that are believed to run, itself included.
    pub fn up(&self) -> usize {
        1 + self.members.iter().filter(|m| m.is_up()).count()
    }

    /// Declares that this process started without its disk, and can't know the id of the process before it. Until a time,
    /// a greater process id that peers report is taken for that process, and this one takes the id after it: the wall
    /// clock may have been set back between the two.
    pub fn expect_predecessor(&mut self, until: Micros) {
        self.predecessor_until = until;
    }

    /// Returns the id of this process.
    pub fn process(&self) -> ProcessId {
        self.own.process
    }

    /// Returns whether a later process of this member has started.
    pub fn is_replaced(&self) -> bool {
        self.is_replaced
    }

    /// Returns the health score of this failure detector: 0 if it is well, else by how many multiples of the usual time it
    /// waits longer.
    pub fn health(&self) -> u32 {
        self.health
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Takes the datagrams that are to be sent.
    pub fn take_outgoing(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outgoing)
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Returns when [`Membership::tick`] is to be called next.
    pub fn due(&self) -> Micros {
        let probe = self.probe.as_ref().filter(|probe| probe.is_direct());
        let probe_timeout = probe.map(|probe| probe.started_at + self.scaled_ack_timeout_us());
        let suspicion = self.suspicions.values().map(Suspicion::deadline).min();
        let indirect = self.indirect.values().map(|probe| probe.deadline).min();
        [probe_timeout, suspicion, indirect]
            .into_iter()
            .flatten()
            .fold(self.next_probe, Micros::min)
    }

    fn scaled_ack_timeout_us(&self) -> Micros {
        self.options.ack_timeout_us * Micros::from(1 + self.health)
    }

    fn degrade_health(&mut self, penalty: u32) {
        self.health = (self.health + penalty).min(self.options.max_health);
    }

    /// Does what is due by now.
    pub fn tick(&mut self, now: Micros) {
        if self.has_left {
            return;
        }
        self.detect_stall(now);
        self.expire_indirect_probes(now);
        self.extend_probe(now);
        self.expire_suspicions(now);
        if now >= self.next_probe {
            self.end_probe(now);
            self.begin_probe(now);
        }
    }

    /// A process that was stopped, or short of CPU, finds all its timeouts expired at once, while the answers may wait in
    /// its socket.
    fn detect_stall(&mut self, now: Micros) {
        let late_us = now.saturating_sub(self.due());
        if late_us <= MIN_STALL_FACTOR * self.options.ack_timeout_us {
            return;
        }
        self.counters.stalls += 1;
        self.degrade_health(STALL_PENALTY);
        self.probe = None;
        self.indirect.clear();
        self.suspicions
            .values_mut()
            .for_each(|suspicion| suspicion.extend(late_us));
        // What arrived meanwhile is read before any member is probed again.
        self.next_probe = now + self.options.ack_timeout_us;
    }

    fn expire_suspicions(&mut self, now: Micros) {
        let suspicions = self.suspicions.iter();
        let expired: Vec<PeerIndex> = suspicions
            .filter(|(_, suspicion)| suspicion.deadline() <= now)
            .map(|(peer, _)| *peer)
            .collect();
        for peer in expired {
            self.suspicions.remove(&peer);
            self.claim_observed(now, peer, MemberState::Dead);
        }
    }
}
