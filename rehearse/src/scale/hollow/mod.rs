//! A hollow member: the daemon's sans-IO cores without clients, without sockets and with a simulated disk.
//!
//! The cores and their datagrams are the daemon's own. Whoever hosts a member gives it what comes (`receive`), the time
//! (`tick`, when it is `due`) and purges, and sends what it has to send (`take_outgoing`): on virtual time, or on sockets.

mod budget_share;
mod disk;
mod event;
mod inspection;
mod outbox;
mod purge_log;

pub use event::{MemberEvent, Refusal};
pub use inspection::{LogEnd, StateSize};
pub use outbox::Outgoing;
pub use purge_log::DiskContents;

use crate::scale::fleet_config::{FleetConfig, MemberName};
use crate::scale::purge_number::{object, purge_of, PurgeNumber};
use crate::scale::run::Defect;
use budget_share::BudgetShare;
use linnetknot_daemon::peers::{self, Purge};
use linnetknot_daemon::plain_purges::{PlainPurges, Treatment};
use linnetknot_discovery::server_id;
use linnetknot_membership::{
    Body, MemberState, Membership, MembershipConfig, Message, Names, Options as MembershipOptions,
    Sender,
};
use linnetknot_origin_health::{OriginHealth, ZonePosition};
use linnetknot_replication::Datagram;
use linnetknot_simnet::{peer_index, Micros};
use outbox::Outbox;
use purge_log::PurgeLog;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

/// A hollow member.
#[derive(Debug)]
pub struct HollowMember {
    config: Arc<FleetConfig>,
    index: usize,
    membership: Membership,
    membership_due: Micros,
    purge_log: PurgeLog,
    plain_purges: PlainPurges,
    /// None: nothing is shared.
    budgets: Option<BudgetShare>,
    origin_health: OriginHealth,
    outbox: Outbox,
    events: Vec<MemberEvent>,
    defect: Option<Defect>,
}

/// The address by which a peer's messages on the origin are known.
fn address(peer: usize) -> SocketAddr {
    let number = u32::try_from(peer).unwrap_or(u32::MAX);
    (Ipv4Addr::from(number), 1).into()
}

/// The names that a member reports to its peers.
fn names(member: &MemberName) -> Names {
    Names {
        name: member.name.clone(),
        machine: member.machine.clone(),
    }
}

impl HollowMember {
    /// A member that starts now, with what its disk has, or without a disk.
    ///
    /// # Panics
    /// Where a budget's limit is less than what is reserved of it.
    pub fn start(
        config: &Arc<FleetConfig>,
        index: usize,
        seed: u64,
        now: Micros,
        disk: Option<DiskContents>,
    ) -> Self {
        let me = &config.members[index];
        let peers = config.members.len() - 1;
        let membership = MembershipConfig {
            id: me.id,
            process: now,
            names: names(me),
            peers,
            seed,
            options: MembershipOptions::default(),
        };
        let zones = config
            .members
            .iter()
            .map(|member| member.zone)
            .max()
            .unwrap_or(0)
            + 1;
        let short = |n: usize| u16::try_from(n).unwrap_or(u16::MAX);
        let zone = ZonePosition {
            zone: short(me.zone),
            zones: short(zones),
        };
        HollowMember {
            config: config.clone(),
            index,
            membership: Membership::new(membership, now),
            membership_due: now,
            purge_log: PurgeLog::new(config, index, now, disk),
            plain_purges: PlainPurges::new(&config.limits),
            budgets: (!config.budgets.is_empty())
                .then(|| BudgetShare::new(config, index, now, seed)),
            origin_health: OriginHealth::new(zone, now),
            outbox: Outbox::new(peers),
            events: Vec::new(),
            defect: None,
        }
    }

    /// Its index among all members.
    pub fn index(&self) -> usize {
        self.index
    }

    /// Plants a fault, for a test.
    pub fn inject_defect(&mut self, defect: Defect) {
        self.defect = Some(defect);
    }

    /// Takes in a datagram of the peer at this place of its list.
    pub fn receive(&mut self, from_peer: usize, bytes: &[u8], now: Micros) {
        let is_dropped = match self.defect {
            Some(Defect::DropsPurges) => is_purge(bytes),
            Some(Defect::DropsSnapshots) => is_snapshot(bytes),
            _ => false,
        };
        if is_dropped {
            return;
        }
        if self.receive_membership(from_peer, bytes, now)
            || self.receive_budgets(from_peer, bytes, now)
            || self
                .purge_log
                .receive(from_peer, bytes, now, &mut self.outbox, &mut self.events)
            || self.origin_health.receive(now, address(from_peer), bytes)
        {
            return;
        }
        self.receive_plain_purge(from_peer, bytes, now);
    }

    fn receive_plain_purge(&mut self, from: usize, bytes: &[u8], now: Micros) {
        let Some(plain) = peers::read(bytes) else {
            return;
        };
        if let Some(purge) = plain.object.as_deref().and_then(purge_of) {
            self.events.push(MemberEvent::InForce { purge });
        }
        let replicates = replicates(&self.membership, from);
        match self
            .plain_purges
            .receive(now, Some(from), replicates, plain)
        {
            Treatment::Replicated => {}
            Treatment::Greet => {
                self.membership.send_discovery_ping(from);
                self.flush_membership(now);
            }
            Treatment::Write(purge) => self.write_plain_purge(&purge, now),
        }
    }

    fn write_plain_purge(&mut self, plain: &Purge, now: Micros) {
        if let Some(purge) = plain.object.as_deref().and_then(purge_of) {
            self.purge_log
                .write_plain(purge, plain.at, now, &mut self.events);
        }
    }

    fn send_where_not_replicated(&mut self, text: &str) {
        let membership = &self.membership;
        self.outbox
            .send_where(text.as_bytes(), |peer| !replicates(membership, peer));
    }

    fn receive_budgets(&mut self, from: usize, bytes: &[u8], now: Micros) -> bool {
        let outbox = &mut self.outbox;
        self.budgets
            .as_mut()
            .is_some_and(|budgets| budgets.receive(from, bytes, now, outbox))
    }

    fn receive_membership(&mut self, from: usize, bytes: &[u8], now: Micros) -> bool {
        let is_named = |membership: &Membership| membership.members()[from].names.is_some();
        let was_named = is_named(&self.membership);
        match self.membership.receive(now, from, bytes) {
            Err(linnetknot_membership::DecodeError::Foreign) => return false,
            Err(_) => return true,
            Ok(()) => {}
        }
        if is_named(&self.membership) != was_named {
            self.update_machines();
        }
        self.flush_membership(now);
        true
    }

    /// The machines of the peers: as each says itself, and until it has as the configuration says.
    fn update_machines(&mut self) {
        let known = self
            .membership
            .members()
            .iter()
            .zip(self.config.peers_of(self.index));
        let machine = |(member, peer): (&linnetknot_membership::Member, &MemberName)| {
            let reported = member.names.as_ref().map(|names| names.machine.as_str());
            server_id(reported.unwrap_or(&peer.machine))
        };
        let machines = known.map(machine).collect();
        self.purge_log
            .set_machines(self.config.members[self.index].machine_id, machines);
    }

    fn flush_membership(&mut self, now: Micros) {
        for out in self.membership.take_outgoing() {
            self.outbox.send(out.peer, out.datagram);
        }
        for change in self.membership.take_changes() {
            if change.new.state == MemberState::Dead {
                let started = change.new.process;
                self.events.push(MemberEvent::Died {
                    peer: change.peer,
                    started,
                });
            }
        }
        let due = self.membership.due().max(now + 1);
        if self.membership_due > due || self.membership_due <= now {
            self.membership_due = due;
        }
    }

    /// Lets it know all peers, as one that has run for long does, by the answers to its greetings.
    pub fn receive_introductions(&mut self, introductions: &[Vec<u8>], now: Micros) {
        for (index, bytes) in introductions
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != self.index)
        {
            // What is built here can be read.
            let _ = self
                .membership
                .receive(now, peer_index(index, self.index), bytes);
        }
        self.membership.take_outgoing();
        self.membership.take_changes();
        self.update_machines();
    }

    /// The answer to a greeting by the member at an index, by which `acquaint` makes it known.
    pub fn introduction(config: &FleetConfig, index: usize, started: Micros) -> Vec<u8> {
        let me = &config.members[index];
        let names = Some(names(me));
        let from = Sender {
            id: me.id,
            process: started,
            incarnation: 0,
        };
        Message {
            from,
            body: Body::Ack {
                number: 0,
                target: None,
                names,
            },
            updates: Vec::new(),
        }
        .encode()
    }

    /// When `tick` has something to do.
    pub fn due(&self) -> Micros {
        let budgets = self.budgets.as_ref().map(BudgetShare::due);
        let others = [budgets, self.plain_purges.due()].into_iter().flatten();
        others.fold(self.membership_due.min(self.purge_log.due()), Micros::min)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Micros) {
        if self.defect != Some(Defect::NeverCompacts) {
            self.purge_log.compact(now);
        }
        self.purge_log.tick(now, &mut self.outbox, &mut self.events);
        let overdue = self
            .plain_purges
            .tick(now, |peer| replicates(&self.membership, peer));
        overdue
            .resends
            .iter()
            .for_each(|text| self.send_where_not_replicated(text));
        overdue
            .writes
            .iter()
            .for_each(|purge| self.write_plain_purge(purge, now));
        if self.membership_due <= now {
            self.membership.tick(now);
            self.flush_membership(now);
        }
        if let Some(budgets) = self.budgets.as_mut().filter(|budgets| budgets.due() <= now) {
            let is_up = self
                .membership
                .members()
                .iter()
                .map(linnetknot_membership::Member::is_up);
            budgets.tick(now, is_up, &mut self.outbox);
        }
    }

    /// A client tells it of a purge.
    pub fn purge(&mut self, purge: PurgeNumber, now: Micros) {
        self.purge_log
            .purge(purge, now, &mut self.outbox, &mut self.events);
        if let Some(text) = peers::write(Some(&object(purge)), 0, now) {
            self.send_where_not_replicated(&text);
            self.plain_purges.sent(now, text);
        }
    }

    /// An answer of the origin was late: this share of its requests may still ask it.
    pub fn record_late_origin_response(&mut self, share: f64, now: Micros) {
        if let Some(bytes) = self.origin_health.record_late_response(now, share) {
            self.outbox.broadcast(&bytes);
        }
    }

    /// It ends in order, and tells its peers.
    pub fn leave(&mut self, now: Micros) {
        self.membership.leave();
        self.flush_membership(now);
    }

    /// What the next process finds on its disk, after an end in order or a crash.
    pub fn disk_contents(&self, is_in_order: bool) -> DiskContents {
        self.purge_log.disk_contents(is_in_order)
    }

    /// What it has to send.
    pub fn take_outgoing(&mut self) -> Vec<Outgoing> {
        self.outbox.take()
    }

    /// What happened since it was last asked.
    pub fn take_events(&mut self) -> Vec<MemberEvent> {
        std::mem::take(&mut self.events)
    }
}

/// Whether a peer is known to replicate logs: one that runs does, as far as membership tells.
fn replicates(membership: &Membership, peer: usize) -> bool {
    membership
        .members()
        .get(peer)
        .is_some_and(linnetknot_membership::Member::is_up)
}

/// Whether a datagram is a part of a snapshot.
fn is_snapshot(bytes: &[u8]) -> bool {
    matches!(Datagram::decode(bytes), Ok(Datagram::SnapshotChunk(_)))
}

/// Whether a datagram is an entry or a plain purge.
fn is_purge(bytes: &[u8]) -> bool {
    matches!(Datagram::decode(bytes), Ok(Datagram::Entry(_))) || peers::read(bytes).is_some()
}
