//! The hollow members in this process: one loop drives them all, on real time.
//!
//! What they send to daemons goes out by their sockets and is counted. What they send to each other is encoded and decoded
//! as any datagram, and handed over within the process: it would cost the system's time and no daemon's.

use super::acks::PurgeAcks;
use super::sockets::MemberSockets;
use super::timers::Timers;
use super::traffic::Traffic;
use crate::scale::fleet_config::FleetConfig;
use crate::scale::hollow::{DiskContents, HollowMember, MemberEvent, Outgoing, Refusal};
use crate::scale::purge_number::PurgeNumber;
use hdrhistogram::Histogram;
use linnetknot_daemon::net::Clock;
use linnetknot_replication::{Datagram, Index, Writer, MAX_DATAGRAM_BYTES};
use linnetknot_simnet::{member_at, peer_index, Micros};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// Datagrams between hollow members that are handed over before the loop comes to its sockets and timers.
const MAX_LOCAL_BATCH: usize = 1_024;

/// Datagrams that are read from one socket before the others have their turn.
const MAX_RECEIVE_BATCH: usize = 64;

/// Introductions that daemons are sent at once, and the pause behind them.
const INTRODUCTION_BATCH: usize = 64;
const INTRODUCTION_PAUSE_US: Micros = 20_000;

/// A purge that a hollow member was refused, or can't keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RefusedPurge {
    /// At whom.
    pub member: usize,
    /// Which.
    pub purge: PurgeNumber,
    /// Why.
    pub reason: Refusal,
}

/// A datagram between two hollow members.
struct LocalDatagram {
    sent_at: Micros,
    from: usize,
    to: usize,
    bytes: Arc<[u8]>,
}

/// All hollow members. They have the indexes behind those of the daemons.
pub struct HollowHost {
    config: Arc<FleetConfig>,
    members: Vec<HollowMember>,
    sockets: MemberSockets,
    daemons: Vec<SocketAddr>,
    timers: Timers,
    local: VecDeque<LocalDatagram>,
    clock: Clock,
    traffic: Vec<Traffic>,
    acks: PurgeAcks,
    lateness: Histogram<u64>,
    refused: Vec<RefusedPurge>,
    deaths: u64,
}

impl HollowHost {
    /// Starts the members of a fleet that stand behind these daemons, acquainted with each other.
    pub fn start(
        config: Arc<FleetConfig>,
        sockets: MemberSockets,
        daemons: Vec<SocketAddr>,
        seed: u64,
    ) -> Self {
        let clock = Clock::start();
        let now = clock.now();
        let indexes = daemons.len()..config.members.len();
        let start = |index: usize| {
            let disk = Some(DiskContents::default());
            HollowMember::start(&config, index, seed ^ (index as u64) << 16, now, disk)
        };
        let mut members: Vec<HollowMember> = indexes.clone().map(start).collect();
        let introductions = introductions(&config, daemons.len(), now);
        members
            .iter_mut()
            .for_each(|member| member.receive_introductions(&introductions, now));
        let mut timers = Timers::new(config.members.len());
        indexes.for_each(|index| timers.set(index, now));
        HollowHost {
            members,
            sockets,
            timers,
            local: VecDeque::new(),
            clock,
            traffic: vec![Traffic::default(); daemons.len()],
            acks: PurgeAcks::new(daemons.len()),
            lateness: super::acks::delay_histogram(),
            refused: Vec::new(),
            deaths: 0,
            config,
            daemons,
        }
    }

    /// Makes all hollow members known to all daemons, by the answer that each would give to a greeting. They come so
    /// slowly that the daemons' sockets have room for them.
    ///
    /// # Errors
    /// Where the system can't wait for sockets.
    pub fn introduce(&mut self) -> io::Result<()> {
        let introductions = introductions(&self.config, self.daemons.len(), self.clock.now());
        for (index, introduction) in introductions.iter().enumerate().skip(self.daemons.len()) {
            for daemon in 0..self.daemons.len() {
                self.send_to_daemon(index, daemon, introduction);
            }
            if index % INTRODUCTION_BATCH == 0 {
                self.run_until(self.clock.now() + INTRODUCTION_PAUSE_US)?;
            }
        }
        Ok(())
    }

    /// Makes a daemon's process known to all hollow members, as its answer to their greetings would.
    pub fn introduce_daemon(&mut self, daemon: usize, process: u64) {
        let introduction = HollowMember::introduction(&self.config, daemon, process);
        for index in self.daemons.len()..self.config.members.len() {
            let from = peer_index(daemon, index);
            self.drive(index, |member, now| {
                member.receive(from, &introduction, now);
            });
        }
    }

    /// Unix time in microseconds, by the clock that the members have.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// How many hollow members there are.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// What went between the daemons and the members since `reset`.
    pub fn traffic(&self) -> &[Traffic] {
        &self.traffic
    }

    /// How late timers ran and datagrams between hollow members were handed over since `reset`, in microseconds.
    pub fn lateness(&self) -> &Histogram<u64> {
        &self.lateness
    }

    /// Begins a new measurement.
    pub fn reset(&mut self) {
        self.traffic.fill(Traffic::default());
        self.lateness.reset();
    }

    /// Purges that hollow members told, and what the daemons have of them.
    pub fn acks(&self) -> &PurgeAcks {
        &self.acks
    }

    /// Purges that a hollow member was refused or can't keep.
    pub fn refused(&self) -> &[RefusedPurge] {
        &self.refused
    }

    /// Times that a hollow member believed another member to be dead.
    pub fn deaths(&self) -> u64 {
        self.deaths
    }

    /// Hollow members that do not know all members of the fleet.
    pub fn members_missing_peers(&self) -> usize {
        let peers = self.config.members.len() - 1;
        self.members
            .iter()
            .filter(|member| member.state_size().claims < peers)
            .count()
    }

    /// The digest that all hollow members have of their logs; none where they differ.
    pub fn common_digest(&self) -> Option<u64> {
        let first = self.members.first()?.digest();
        self.members
            .iter()
            .all(|member| member.digest() == first)
            .then_some(first)
    }

    /// A hollow member is told of a purge.
    pub fn purge(&mut self, index: usize, purge: PurgeNumber) {
        let now = self.clock.now();
        let member = &mut self.members[index - self.daemons.len()];
        member.purge(purge, now);
        let outgoing = member.take_outgoing();
        if let Some(entry) = own_entry(&outgoing, self.config.members[index].id) {
            self.acks.record_issued(index, entry, now);
        }
        self.dispatch(index, outgoing);
    }

    /// Does what is due and waits for datagrams, until a time.
    ///
    /// # Errors
    /// Where the system can't wait for sockets.
    pub fn run_until(&mut self, end: Micros) -> io::Result<()> {
        while self.clock.now() < end {
            self.step(end)?;
        }
        Ok(())
    }

    fn step(&mut self, end: Micros) -> io::Result<()> {
        self.deliver_local();
        self.run_timers();
        for member in self.sockets.wait(self.wait_us(end))? {
            self.receive_all(member);
        }
        Ok(())
    }

    fn wait_us(&self, end: Micros) -> Micros {
        if !self.local.is_empty() {
            return 0;
        }
        let next = self.timers.next().map_or(end, |next| next.min(end));
        next.saturating_sub(self.clock.now())
    }

    fn deliver_local(&mut self) {
        for _ in 0..MAX_LOCAL_BATCH {
            let Some(datagram) = self.local.pop_front() else {
                return;
            };
            let LocalDatagram {
                sent_at,
                from,
                to,
                bytes,
            } = datagram;
            self.lateness.saturating_record(self.clock.now() - sent_at);
            self.drive(to, |member, now| {
                member.receive(peer_index(from, to), &bytes, now);
            });
        }
    }

    fn run_timers(&mut self) {
        // What becomes due meanwhile has its turn after the sockets.
        let now = self.clock.now();
        while let Some((at, index)) = self.timers.take_due(now) {
            self.run_timer(index, at, now);
        }
    }

    fn run_timer(&mut self, index: usize, at: Micros, now: Micros) {
        let due = self.members[index - self.daemons.len()].due();
        if due > now {
            return self.timers.set(index, due);
        }
        self.lateness.saturating_record(now - at);
        self.drive(index, HollowMember::tick);
    }

    fn receive_all(&mut self, place: usize) {
        let index = self.daemons.len() + place;
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..MAX_RECEIVE_BATCH {
            let Some(received) = self.sockets.receive(place, &mut buffer) else {
                return;
            };
            let bytes = &buffer[..received.length];
            self.traffic[received.daemon].sent(bytes);
            self.record_ack(index, received.daemon, bytes);
            self.drive(index, |member, now| {
                member.receive(peer_index(received.daemon, index), bytes, now);
            });
        }
    }

    fn record_ack(&mut self, index: usize, daemon: usize, bytes: &[u8]) {
        let Ok(Datagram::Ack { positions, .. }) = Datagram::decode(bytes) else {
            return;
        };
        let (own, now) = (self.config.members[index].id, self.clock.now());
        for position in positions {
            if position.log.writer == own {
                self.acks.acknowledged(index, daemon, position.index, now);
            }
        }
    }

    /// Gives a member something to do; what it has to send then goes out, and its timer is set.
    fn drive(&mut self, index: usize, work: impl FnOnce(&mut HollowMember, Micros)) {
        let now = self.clock.now();
        let member = &mut self.members[index - self.daemons.len()];
        work(member, now);
        let outgoing = member.take_outgoing();
        self.dispatch(index, outgoing);
    }

    fn dispatch(&mut self, index: usize, outgoing: Vec<Outgoing>) {
        let member = &mut self.members[index - self.daemons.len()];
        let (events, due) = (member.take_events(), member.due());
        outgoing
            .into_iter()
            .for_each(|outgoing| self.send(index, outgoing));
        events
            .into_iter()
            .for_each(|event| self.record_event(index, event));
        self.timers.set(index, due);
    }

    fn send(&mut self, from: usize, outgoing: Outgoing) {
        let to = member_at(outgoing.to, from);
        if to < self.daemons.len() {
            self.send_to_daemon(from, to, &outgoing.bytes);
        } else {
            let (sent_at, bytes) = (self.clock.now(), outgoing.bytes);
            self.local.push_back(LocalDatagram {
                sent_at,
                from,
                to,
                bytes,
            });
        }
    }

    fn send_to_daemon(&mut self, from: usize, daemon: usize, bytes: &[u8]) {
        let is_sent = self
            .sockets
            .send(from - self.daemons.len(), self.daemons[daemon], bytes);
        let traffic = &mut self.traffic[daemon];
        match is_sent {
            true => traffic.received(bytes),
            false => traffic.unsent += 1,
        }
    }

    fn record_event(&mut self, member: usize, event: MemberEvent) {
        match event {
            MemberEvent::Refused { purge, reason } | MemberEvent::NotStored { purge, reason } => {
                self.refused.push(RefusedPurge {
                    member,
                    purge,
                    reason,
                });
            }
            MemberEvent::Died { .. } => self.deaths += 1,
            MemberEvent::InForce { .. } | MemberEvent::Committed { .. } => {}
        }
    }
}

/// The index of the entry of this writer that goes to the first daemon.
fn own_entry(outgoing: &[Outgoing], own: Writer) -> Option<Index> {
    let mut to_first = outgoing.iter().filter(|outgoing| outgoing.to == 0);
    to_first.find_map(|outgoing| match Datagram::decode(&outgoing.bytes) {
        Ok(Datagram::Entry(entry)) if entry.log.writer == own => Some(entry.index),
        _ => None,
    })
}

/// What each hollow member says of itself, by index; nothing for daemons, which speak for themselves.
fn introductions(config: &FleetConfig, daemons: usize, now: Micros) -> Vec<Vec<u8>> {
    let introduction = |index: usize| match index < daemons {
        true => Vec::new(),
        false => HollowMember::introduction(config, index, now),
    };
    (0..config.members.len()).map(introduction).collect()
}
