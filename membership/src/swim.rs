//! Probes and their time-outs, and the detector's own health.
//!
//! One member is probed in each period, in rounds of a random order. One that does not answer in time is asked for by
//! others; where none of them hears it either, it is suspected. A detector that misses what it should have heard is
//! slow itself, more often than all others are gone: it then waits longer before it blames them.

use crate::gossip::Gossip;
use crate::member::{Change, Claim, Member, Standing};
use crate::suspicion::Suspicion;
use crate::wire::{truncated, Body, Message, Sender, Update};
use crate::{DecodeError, Id, Micros, Peer, ProcessId};
use linnetknot_datagram::Random;
use std::collections::BTreeMap;

/// Times and bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// One member is probed in each.
    pub period_us: Micros,
    /// An answer is due within this; others are asked then.
    pub ack_us: Micros,
    /// So many others.
    pub indirect_probes: usize,
    /// The greatest multiple, less one, by which a slow detector waits longer.
    pub max_health: u32,
    /// Members that are dead or left are probed in one of so many rounds, as they may be back.
    pub dead_probe_interval: u64,
    /// Pings on behalf of others that wait for their answers.
    pub max_indirect: usize,
    /// Members that were never heard and are greeted in one period, besides the probe.
    pub greetings_per_period: usize,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            period_us: 500_000,
            ack_us: 150_000,
            indirect_probes: 3,
            max_health: 4,
            dead_probe_interval: 8,
            max_indirect: 64,
            greetings_per_period: 8,
        }
    }
}

/// The number of pings that greet a member and are no probes.
const GREETING: u32 = 0;

/// Counts for the operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Probes begun.
    pub probes: u64,
    /// Probes that nobody answered.
    pub failed: u64,
    /// Suspicions of itself that it refuted.
    pub refuted: u64,
    /// Times that it found itself to have stood still.
    pub stalls: u64,
    /// Datagrams that could not be read.
    pub unreadable: u64,
}

#[derive(Clone, Debug)]
struct Probe {
    peer: Peer,
    number: u32,
    begun: Micros,
    /// Others that were asked for it; none: it is not time yet.
    asked: Option<usize>,
    nacks: usize,
}

/// A ping on behalf of another.
#[derive(Clone, Debug)]
struct IndirectProbe {
    asker: Peer,
    number: u32,
    target: Id,
    until: Micros,
}

/// The members of an installation, as one of them sees the others.
#[derive(Clone, Debug)]
pub struct Membership {
    me: Sender,
    names: (String, String),
    options: Options,
    members: Vec<Member>,
    by_id: BTreeMap<Id, Peer>,
    suspicions: BTreeMap<Peer, Suspicion>,
    gossip: Gossip,
    /// Peers of this round that are still to be probed.
    round: Vec<Peer>,
    /// Peers that were not greeted yet: one that starts is to know all soon, and not after a whole round.
    ungreeted: Vec<Peer>,
    probe: Option<Probe>,
    indirect: BTreeMap<u32, IndirectProbe>,
    next: Micros,
    number: u32,
    /// How much this detector distrusts itself.
    health: u32,
    random: Random,
    left: bool,
    replaced: bool,
    /// Until then a later process of this name that peers know is one from before this one.
    predecessor_until: Micros,
    outgoing: Vec<(Peer, Vec<u8>)>,
    changes: Vec<Change>,
    counters: Counters,
}

impl Membership {
    /// A member of this id in this process, called by these names (its own and its machine's), among so many peers.
    pub fn new(
        (id, process): (Id, ProcessId),
        names: (&str, &str),
        peers: usize,
        (seed, now): (u64, Micros),
        options: Options,
    ) -> Self {
        let mut membership = Membership {
            me: Sender {
                id,
                process,
                incarnation: 0,
            },
            names: (truncated(names.0), truncated(names.1)),
            options,
            members: Vec::new(),
            by_id: BTreeMap::new(),
            suspicions: BTreeMap::new(),
            gossip: Gossip::default(),
            round: Vec::new(),
            ungreeted: Vec::new(),
            probe: None,
            indirect: BTreeMap::new(),
            next: now,
            number: 0,
            health: 0,
            random: Random::new(seed ^ id.rotate_left(17) ^ process),
            left: false,
            replaced: false,
            predecessor_until: 0,
            outgoing: Vec::new(),
            changes: Vec::new(),
            counters: Counters::default(),
        };
        // Members that are started together must not probe in step.
        membership.next += membership.random.below(options.period_us);
        membership.peers(peers);
        membership
    }

    /// The list of peers is another from now on: who stands at which place is found out anew. What this member knows of
    /// itself stays.
    pub fn peers(&mut self, peers: usize) {
        self.members = vec![Member::default(); peers];
        self.ungreeted = (0..peers).collect();
        self.by_id.clear();
        self.suspicions.clear();
        self.indirect.clear();
        self.round.clear();
        self.probe = None;
    }

    /// The members, by their places.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// A member's place, once it was heard.
    fn place(&self, id: Id) -> Option<Peer> {
        self.by_id.get(&id).copied()
    }

    /// How many run, itself among them.
    pub fn up(&self) -> usize {
        1 + self.members.iter().filter(|m| m.is_up()).count()
    }

    /// This process began without its disk, and can't know the number of the process before it: until then one that
    /// peers tell of is taken to be that one, and this process takes the number behind it. The wall clock may have been
    /// set back between the two.
    pub fn expect_predecessor(&mut self, until: Micros) {
        self.predecessor_until = until;
    }

    /// The number of this process among those of its name.
    pub fn process(&self) -> ProcessId {
        self.me.process
    }

    /// Whether a later process of its own name has begun: this process was replaced.
    pub fn is_replaced(&self) -> bool {
        self.replaced
    }

    /// By how much this detector waits longer than it would if it were well, in multiples of the usual time.
    pub fn health(&self) -> u32 {
        self.health
    }

    /// Counts so far.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Datagrams to be sent.
    pub fn outgoing(&mut self) -> Vec<(Peer, Vec<u8>)> {
        std::mem::take(&mut self.outgoing)
    }

    /// What has changed since it was last asked.
    pub fn changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// When `tick` has something to do.
    pub fn due(&self) -> Micros {
        let probe = self
            .probe
            .as_ref()
            .filter(|p| p.asked.is_none())
            .map(|p| p.begun + self.ack_us());
        let suspects = self.suspicions.values().map(Suspicion::until).min();
        let indirect = self.indirect.values().map(|h| h.until).min();
        [probe, suspects, indirect]
            .into_iter()
            .flatten()
            .fold(self.next, Micros::min)
    }

    fn ack_us(&self) -> Micros {
        self.options.ack_us * Micros::from(1 + self.health)
    }

    fn degrade_health(&mut self, by: u32) {
        self.health = (self.health + by).min(self.options.max_health);
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros) {
        if self.left {
            return;
        }
        self.notice_stall(now);
        self.nack(now);
        if let Some(probe) = self
            .probe
            .clone()
            .filter(|p| p.asked.is_none() && p.begun + self.ack_us() <= now)
        {
            self.request_indirect_probes(&probe);
        }
        let over: Vec<Peer> = self
            .suspicions
            .iter()
            .filter(|(_, s)| s.until() <= now)
            .map(|(peer, _)| *peer)
            .collect();
        for peer in over {
            self.suspicions.remove(&peer);
            self.claim_own(now, peer, Standing::Dead);
        }
        if now >= self.next {
            self.end_probe(now);
            self.begin_probe(now);
        }
    }

    /// A process that was stopped, or short of CPU, finds all its time-outs over at once, and what it did not hear
    /// meanwhile may wait in its socket.
    fn notice_stall(&mut self, now: Micros) {
        let late = now.saturating_sub(self.due());
        if late > 2 * self.options.ack_us {
            self.counters.stalls += 1;
            self.degrade_health(2);
            self.probe = None;
            self.indirect.clear();
            self.suspicions.values_mut().for_each(|s| s.put_off(late));
            // What came meanwhile is read before anybody is probed again.
            self.next = now + self.options.ack_us;
        }
    }

    // ---- Probes ----

    fn begin_probe(&mut self, now: Micros) {
        self.next = now + self.options.period_us * Micros::from(1 + self.health);
        self.greet_some();
        if self.round.is_empty() {
            self.draw_round();
        }
        let Some(peer) = self.round.pop() else { return };
        self.number = self.number.wrapping_add(1);
        self.counters.probes += 1;
        self.probe = Some(Probe {
            peer,
            number: self.number,
            begun: now,
            asked: None,
            nacks: 0,
        });
        self.ping(peer, self.number);
    }

    /// Pings a member that was not heard yet. No probe has this ping's number: whoever does not answer is blamed for
    /// nothing.
    pub fn greet(&mut self, peer: Peer) {
        if !self.left && self.members.get(peer).is_some_and(|member| !member.is_up()) {
            self.ping(peer, GREETING);
        }
    }

    /// Pings members that were never heard: many at first, and one in a period once each was greeted.
    fn greet_some(&mut self) {
        let unheard = |membership: &Self, peer: &Peer| membership.members[*peer].claim.is_none();
        let mut most = self.options.greetings_per_period;
        if self.ungreeted.is_empty() {
            most = 1;
            let all = 0..self.members.len();
            self.ungreeted = all.filter(|peer| unheard(self, peer)).collect();
        }
        for _ in 0..most.min(self.ungreeted.len()) {
            let place = self.random.below(self.ungreeted.len() as u64) as usize;
            let peer = self.ungreeted.swap_remove(place);
            if unheard(self, &peer) {
                self.ping(peer, GREETING);
            }
        }
        if most == 1 {
            self.ungreeted.clear();
        }
    }

    /// All that may run, in a random order; of those that do not, a few.
    fn draw_round(&mut self) {
        for peer in 0..self.members.len() {
            let rests = self.members[peer].claim.is_some() && !self.members[peer].is_up();
            if !rests || self.random.below(self.options.dead_probe_interval) == 0 {
                let place = self.random.below(self.round.len() as u64 + 1) as usize;
                self.round.insert(place, peer);
            }
        }
    }

    fn ping(&mut self, peer: Peer, number: u32) {
        let names = self.members[peer].names.is_none();
        self.send(peer, Body::Ping { number, names }, None);
    }

    /// It did not answer here: others may hear it.
    fn request_indirect_probes(&mut self, probe: &Probe) {
        let mut others: Vec<Peer> = (0..self.members.len())
            .filter(|p| *p != probe.peer && self.members[*p].is_up())
            .collect();
        let mut asked = 0;
        if let Some(target) = self.members[probe.peer].id {
            while asked < self.options.indirect_probes && !others.is_empty() {
                let proxy = others.swap_remove(self.random.below(others.len() as u64) as usize);
                self.send(
                    proxy,
                    Body::PingRequest {
                        number: probe.number,
                        target,
                    },
                    None,
                );
                asked += 1;
            }
        }
        if let Some(probe) = &mut self.probe {
            probe.asked = Some(asked);
        }
    }

    /// The period is over: whoever did not answer by any way is suspected.
    fn end_probe(&mut self, now: Micros) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        self.counters.failed += 1;
        if !self.members[probe.peer].is_up() {
            return;
        }
        // Helpers say so where the member does not answer them. Where some say nothing at all, they were not reached or
        // their messages not heard: that speaks against this detector, though no more for each of them, as one of them
        // may be gone itself and links cut, and a detector that waits ever longer would not find that out.
        if probe
            .asked
            .is_none_or(|asked| asked == 0 || probe.nacks < asked)
        {
            self.degrade_health(1);
        }
        self.claim_own(now, probe.peer, Standing::Suspect);
    }

    /// Pings on behalf of others that were not answered in time.
    fn nack(&mut self, now: Micros) {
        let over: Vec<u32> = self
            .indirect
            .iter()
            .filter(|(_, h)| h.until <= now)
            .map(|(n, _)| *n)
            .collect();
        for number in over {
            if let Some(indirect) = self.indirect.remove(&number) {
                self.send(
                    indirect.asker,
                    Body::Nack {
                        number: indirect.number,
                    },
                    None,
                );
            }
        }
    }

    // ---- Words ----

    /// A datagram with claims; one of them on its receiver, where it is to know it.
    fn send(&mut self, peer: Peer, body: Body, on_receiver: Option<Update>) {
        let (members, receiver) = (self.members.len() + 1, self.members[peer].id);
        let mut updates: Vec<Update> = on_receiver.into_iter().collect();
        for claim in self.gossip.take(6, members, receiver) {
            if !updates.contains(&claim) {
                updates.push(claim);
            }
        }
        self.outgoing.push((
            peer,
            Message {
                from: self.me,
                body,
                updates,
            }
            .write(),
        ));
    }

    /// Takes in a datagram from a peer's address.
    ///
    /// # Errors
    /// Where it can't be read. It has no effect then, and is counted.
    pub fn receive(&mut self, now: Micros, peer: Peer, bytes: &[u8]) -> Result<(), DecodeError> {
        let message = Message::read(bytes).inspect_err(|_| self.counters.unreadable += 1)?;
        if peer >= self.members.len() || self.left {
            return Ok(());
        }
        let from = message.from;
        if from.id == self.me.id {
            // Another process under this name.
            self.replaced |= from.process > self.me.process;
            return Ok(());
        }
        self.observe(now, peer, from);
        message
            .updates
            .iter()
            .for_each(|updates| self.claim(now, *updates));
        // Whoever is believed to be worse than it says is to hear it: it alone can refute, or learn its successor.
        let said = Claim {
            process: from.process,
            incarnation: from.incarnation,
            standing: Standing::Alive,
        };
        let known = self
            .place(from.id)
            .and_then(|place| self.members[place].claim);
        let worse = known.filter(|claim| *claim > said);
        let on_receiver = worse.map(|claim| Update {
            id: from.id,
            by: self.me.id,
            claim,
        });
        match message.body {
            Body::Ping { number, names } => {
                let names = names.then(|| self.names.clone());
                self.send(
                    peer,
                    Body::Ack {
                        number,
                        of: None,
                        names,
                    },
                    on_receiver,
                );
            }
            Body::Ack { number, of, names } => {
                if let Some(names) = names.filter(|_| of.is_none()) {
                    self.members[peer].names = Some((truncated(&names.0), truncated(&names.1)));
                }
                self.acked(number, of.unwrap_or(from.id));
            }
            Body::PingRequest { number, target } => self.probe_for(now, peer, number, target),
            Body::Nack { number } => {
                if let Some(probe) = self.probe.as_mut().filter(|p| p.number == number) {
                    probe.nacks += 1;
                }
            }
            Body::Leave => {
                let claim = Claim {
                    standing: Standing::Left,
                    ..said
                };
                self.claim(
                    now,
                    Update {
                        id: from.id,
                        by: from.id,
                        claim,
                    },
                );
            }
        }
        Ok(())
    }

    /// A peer is heard itself, by this id and process.
    fn observe(&mut self, now: Micros, peer: Peer, from: Sender) {
        if let Some(other) = self.place(from.id).filter(|other| *other != peer) {
            // Two processes of one name: the later one stands for it, wherever it is.
            if self.members[other]
                .claim
                .is_some_and(|claim| claim.process > from.process)
            {
                return;
            }
            self.members[other] = Member::default();
            self.suspicions.remove(&other);
        }
        let known = &mut self.members[peer];
        if known.id != Some(from.id) {
            // Another member stands at this address now.
            if let Some(old) = known.id {
                self.by_id.remove(&old);
            }
            *known = Member {
                id: Some(from.id),
                ..Member::default()
            };
            self.suspicions.remove(&peer);
            self.by_id.insert(from.id, peer);
        }
        if known
            .claim
            .is_some_and(|claim| claim.process < from.process)
        {
            // It may have been given other names.
            known.names = None;
        }
        let claim = Claim {
            process: from.process,
            incarnation: from.incarnation,
            standing: Standing::Alive,
        };
        self.claim(
            now,
            Update {
                id: from.id,
                by: from.id,
                claim,
            },
        );
    }

    fn acked(&mut self, number: u32, of: Id) {
        if let Some(indirect) = self.indirect.get(&number).filter(|h| h.target == of) {
            let (asker, theirs, of) = (indirect.asker, indirect.number, Some(indirect.target));
            self.indirect.remove(&number);
            return self.send(
                asker,
                Body::Ack {
                    number: theirs,
                    of,
                    names: None,
                },
                None,
            );
        }
        let probed = self
            .probe
            .as_ref()
            .filter(|p| p.number == number && self.members[p.peer].id == Some(of));
        if probed.is_some() {
            self.probe = None;
            self.health = self.health.saturating_sub(1);
        }
    }

    fn probe_for(&mut self, now: Micros, asker: Peer, number: u32, target: Id) {
        match self.place(target) {
            Some(peer) if self.indirect.len() < self.options.max_indirect && peer != asker => {
                self.number = self.number.wrapping_add(1);
                let until = now + self.options.ack_us;
                self.indirect.insert(
                    self.number,
                    IndirectProbe {
                        asker,
                        number,
                        target,
                        until,
                    },
                );
                self.ping(peer, self.number);
            }
            _ => self.send(asker, Body::Nack { number }, None),
        }
    }

    // ---- Claims ----

    /// What this detector finds of a member.
    fn claim_own(&mut self, now: Micros, peer: Peer, standing: Standing) {
        let member = &self.members[peer];
        if let (Some(id), Some(claim)) = (member.id, member.claim) {
            self.claim(
                now,
                Update {
                    id,
                    by: self.me.id,
                    claim: Claim { standing, ..claim },
                },
            );
        }
    }

    /// Takes in a claim, its own or another's.
    fn claim(&mut self, now: Micros, update: Update) {
        if update.id == self.me.id {
            return self.refute(now, update.claim);
        }
        // Members come from the configuration, and are known once they were heard.
        let Some(peer) = self.place(update.id) else {
            return;
        };
        let known = &mut self.members[peer];
        let Some(old) = known.believe(update.claim) else {
            let again =
                known.claim == Some(update.claim) && update.claim.standing == Standing::Suspect;
            if again
                && self
                    .suspicions
                    .get_mut(&peer)
                    .is_some_and(|s| s.confirm(update.by))
            {
                self.gossip.add(update);
            }
            return;
        };
        self.suspicions.remove(&peer);
        if update.claim.standing == Standing::Suspect {
            let suspicion = Suspicion::new(now, update.by, self.up(), self.options.period_us);
            self.suspicions.insert(peer, suspicion);
        }
        // That a member is there each finds out by itself, and cares for no claim on one that it has not heard. In a large
        // fleet that starts, such claims would leave no room for refutations.
        if old.is_some() || update.claim.standing != Standing::Alive {
            self.gossip.add(update);
        }
        self.changes.push(Change {
            peer,
            old,
            new: update.claim,
        });
    }

    fn refute(&mut self, now: Micros, claim: Claim) {
        if claim.process > self.me.process {
            match claim.process.checked_add(1) {
                Some(next) if now < self.predecessor_until && !self.replaced => {
                    (self.me.process, self.me.incarnation) = (next, 0);
                    self.counters.refuted += 1;
                    self.announce_self();
                }
                _ => self.replaced = true,
            }
        } else if claim.process == self.me.process
            && claim.standing != Standing::Alive
            && claim.incarnation >= self.me.incarnation
        {
            self.me.incarnation = claim.incarnation + 1;
            self.counters.refuted += 1;
            self.degrade_health(1);
            self.announce_self();
        }
    }

    fn announce_self(&mut self) {
        let Sender {
            id,
            process,
            incarnation,
        } = self.me;
        let claim = Claim {
            process,
            incarnation,
            standing: Standing::Alive,
        };
        self.gossip.add(Update { id, by: id, claim });
    }

    /// It ends: the others are told, and it says nothing more.
    pub fn leave(&mut self) {
        for peer in 0..self.members.len() {
            if self.members[peer].is_up() {
                self.send(peer, Body::Leave, None);
            }
        }
        // Nothing is due any more.
        (self.left, self.next, self.probe) = (true, Micros::MAX, None);
        self.suspicions.clear();
        self.indirect.clear();
    }
}
