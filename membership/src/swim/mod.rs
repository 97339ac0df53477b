//! The SWIM protocol: the state of one member and its timers.
//!
//! - `probes`: direct and indirect probes, their timeouts, and discovery pings.
//! - `exchange`: sending and receiving datagrams.
//! - `claims`: claims about members, and the refutation of claims about this member.
//!
//! A failure detector that misses many responses is more likely slow itself than surrounded by dead members. Its
//! timeouts are therefore multiplied by a factor that grows with its health score.

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

/// The amount that a stall adds to the health score.
const STALL_PENALTY: u32 = 2;
/// A tick counts as a stall if it is late by more than this multiple of the acknowledgement timeout.
const MIN_STALL_FACTOR: Micros = 2;

/// The configuration of a member.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// The member's id.
    pub id: Id,
    /// The id of the member's process.
    pub process: ProcessId,
    /// The names that it reports to others.
    pub names: Names,
    /// The number of other configured members.
    pub peers: usize,
    /// The seed of its random number generator.
    pub seed: u64,
    /// The durations and bounds of the protocol.
    pub options: Options,
}

/// A datagram to send, and its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The index of the peer to which the datagram is sent.
    pub peer: PeerIndex,
    /// The encoded datagram.
    pub datagram: Vec<u8>,
}

/// The members of an installation as seen by one of them.
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
    /// The peers that have not been sent a discovery ping yet. With discovery pings, a member that starts discovers all
    /// others sooner than with a whole round of probes.
    undiscovered: Vec<PeerIndex>,
    probe: Option<Probe>,
    /// The pending pings on behalf of other members, by number.
    indirect: BTreeMap<u32, IndirectProbe>,
    next_probe: Micros,
    last_number: u32,
    health: u32,
    random: Random,
    has_left: bool,
    is_replaced: bool,
    /// The time until which a process id above this process's own may be that of its predecessor; see
    /// [`Membership::expect_predecessor`].
    predecessor_until: Micros,
    outgoing: Vec<Outgoing>,
    changes: Vec<Change>,
    counters: Counters,
}

impl Membership {
    /// Creates a member without any claims about its peers.
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
        // A random offset keeps members that start together from probing at the same time.
        membership.next_probe += membership.random.below(options.protocol_period_us);
        membership.reset_peers(peers);
        membership
    }

    /// Sets the number of peers after the list of peers has changed, and discards all knowledge of the members, because
    /// their indexes may have changed. The state of this member itself is kept.
    pub fn reset_peers(&mut self, peers: usize) {
        self.members = vec![Member::default(); peers];
        self.undiscovered = (0..peers).collect();
        self.by_id.clear();
        self.suspicions.clear();
        self.indirect.clear();
        self.round.clear();
        self.probe = None;
    }

    /// Returns the other members, by their indexes in the list of peers.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns a member's index, if anything has been received from it.
    fn index_of(&self, id: Id) -> Option<PeerIndex> {
        self.by_id.get(&id).copied()
    }

    /// Returns the number of members that are believed to be up, including this one.
    pub fn up(&self) -> usize {
        1 + self.members.iter().filter(|m| m.is_up()).count()
    }

    /// Declares that this process started without its disk, and therefore without the id of its predecessor. The wall
    /// clock may have been set back between the start of the predecessor and the start of this process. Until the given
    /// time, a greater process id that peers report and that lies in the future of the clock is assumed to be the
    /// predecessor's, and this process adopts the id after it.
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

    /// Returns the health score of this failure detector. The score of a healthy failure detector is 0. Each point
    /// lengthens its timeouts by their usual duration.
    pub fn health(&self) -> u32 {
        self.health
    }

    /// Returns the counts of probes, failed probes, refutations, stalls and undecodable datagrams since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Takes the datagrams to send.
    pub fn take_outgoing(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outgoing)
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the time at which [`Membership::tick`] must be called next.
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

    /// Starts and ends probes and declares suspects dead if their times have come.
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

    /// Detects a stall of this process. After a stall all timeouts appear to have expired, although the responses may
    /// be waiting in the socket. The probes in progress are therefore discarded, and the suspicions extended.
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
        // Datagrams that arrived during the stall are received before the next probe.
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
