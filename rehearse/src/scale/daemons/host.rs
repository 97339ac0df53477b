//! Host of the hollow members of this process. A single loop runs all members on real time.
//!
//! Datagrams to daemons are sent over sockets and counted. Datagrams between hollow members are encoded and decoded as
//! usual but delivered within the process, because sending them would cost system time without involving a daemon.

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

/// Datagrams between hollow members that are delivered before the loop polls sockets and timers.
const MAX_LOCAL_BATCH: usize = 1_024;

/// Datagrams that are read from one socket before the next socket is served.
const MAX_RECEIVE_BATCH: usize = 64;

/// Number of introductions in a batch, and the pause after each batch.
const INTRODUCTION_BATCH: usize = 64;
const INTRODUCTION_PAUSE_US: Micros = 20_000;

/// Purge that a hollow member refused or could not store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RefusedPurge {
    /// Index of the member.
    pub member: usize,
    /// Number of the purge.
    pub purge: PurgeNumber,
    /// Reason of the refusal.
    pub reason: Refusal,
}

/// Datagram between two hollow members.
struct LocalDatagram {
    sent_at: Micros,
    from: usize,
    to: usize,
    bytes: Arc<[u8]>,
}

/// Host of all hollow members. Their indexes follow those of the daemons.
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
    /// Starts the hollow members of a fleet. Each member's membership view already contains all other hollow members.
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

    /// Introduces all hollow members to all daemons, in batches that fit into the daemons' socket buffers.
    ///
    /// # Errors
    /// Returns an error if waiting for sockets fails.
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

    /// Introduces a daemon's process to all hollow members.
    pub fn introduce_daemon(&mut self, daemon: usize, process: u64) {
        let introduction = HollowMember::introduction(&self.config, daemon, process);
        for index in self.daemons.len()..self.config.members.len() {
            let from = peer_index(daemon, index);
            self.drive(index, |member, now| {
                member.receive(from, &introduction, now);
            });
        }
    }

    /// Returns the Unix time in microseconds by the members' clock.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Returns the number of hollow members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether there are no hollow members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the traffic between each daemon and the hollow members since `reset`.
    pub fn traffic(&self) -> &[Traffic] {
        &self.traffic
    }

    /// Returns the delays of timers and of datagrams between hollow members since `reset`, in microseconds.
    pub fn lateness(&self) -> &Histogram<u64> {
        &self.lateness
    }

    /// Starts a new measurement.
    pub fn reset(&mut self) {
        self.traffic.fill(Traffic::default());
        self.lateness.reset();
    }

    /// Returns the purges of hollow members and their acknowledgements by daemons.
    pub fn acks(&self) -> &PurgeAcks {
        &self.acks
    }

    /// Returns the purges that a hollow member refused or could not store.
    pub fn refused(&self) -> &[RefusedPurge] {
        &self.refused
    }

    /// Returns how often a hollow member (a member simulated without clients) declared another member dead.
    pub fn deaths(&self) -> u64 {
        self.deaths
    }

    /// Returns the number of hollow members whose membership view is incomplete.
    pub fn members_missing_peers(&self) -> usize {
        let peers = self.config.members.len() - 1;
        self.members
            .iter()
            .filter(|member| member.state_size().claims < peers)
            .count()
    }

    /// Returns the digest of the logs if it is equal for all hollow members.
    pub fn common_digest(&self) -> Option<u64> {
        let first = self.members.first()?.digest();
        self.members
            .iter()
            .all(|member| member.digest() == first)
            .then_some(first)
    }

    /// Issues a purge at a hollow member.
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

    /// Runs timers and handles datagrams until the given time.
    ///
    /// # Errors
    /// Returns an error if waiting for sockets fails.
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
        // Timers that become due during this loop run after the sockets are polled.
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

    fn receive_all(&mut self, member: usize) {
        let index = self.daemons.len() + member;
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..MAX_RECEIVE_BATCH {
            let Some(received) = self.sockets.receive(member, &mut buffer) else {
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
        let (writer_id, now) = (self.config.members[index].id, self.clock.now());
        for position in positions {
            if position.log.writer == writer_id {
                self.acks.acknowledged(index, daemon, position.index, now);
            }
        }
    }

    /// Runs `work` on a member, sends the resulting datagrams and reschedules the member's timer.
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

/// Returns the log index of the writer's own entry, taken from the datagrams addressed to the first daemon.
fn own_entry(outgoing: &[Outgoing], writer_id: Writer) -> Option<Index> {
    let mut to_first = outgoing.iter().filter(|outgoing| outgoing.to == 0);
    to_first.find_map(|outgoing| match Datagram::decode(&outgoing.bytes) {
        Ok(Datagram::Entry(entry)) if entry.log.writer == writer_id => Some(entry.index),
        _ => None,
    })
}

/// Returns the encoded introductions of all members by index. The entries of the daemons are empty.
fn introductions(config: &FleetConfig, daemons: usize, now: Micros) -> Vec<Vec<u8>> {
    let introduction = |index: usize| match index < daemons {
        true => Vec::new(),
        false => HollowMember::introduction(config, index, now),
    };
    (0..config.members.len()).map(introduction).collect()
}
