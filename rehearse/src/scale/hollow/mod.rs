//! Hollow members: simulated proxies that run the daemon's sans-IO protocol code with a simulated disk, but without
//! clients and sockets.
//!
//! The host of a member passes received datagrams (`receive`), timer events (`tick`, at the time `due`) and purges to
//! the member, and sends the member's outgoing datagrams (`take_outgoing`). The host may run on virtual time or on real
//! sockets.

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
use linnetknot_daemon::plain_purges::{PlainPurges, PurgeSender, Treatment};
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

/// A simulated proxy without clients or sockets.
#[derive(Debug)]
pub struct HollowMember {
    config: Arc<FleetConfig>,
    index: usize,
    membership: Membership,
    membership_due: Micros,
    purge_log: PurgeLog,
    plain_purges: PlainPurges,
    /// `None` if no budgets are shared.
    budgets: Option<BudgetShare>,
    origin_health: OriginHealth,
    outbox: Outbox,
    events: Vec<MemberEvent>,
    defect: Option<Defect>,
}

/// Returns the placeholder address that identifies a peer in origin health messages.
fn address(peer: usize) -> SocketAddr {
    let number = u32::try_from(peer).unwrap_or(u32::MAX);
    (Ipv4Addr::from(number), 1).into()
}

/// Returns the names that a member announces to its peers.
fn names(member: &MemberName) -> Names {
    Names {
        name: member.name.clone(),
        machine: member.machine.clone(),
    }
}

impl HollowMember {
    /// Starts a member with the contents of its disk, or without a disk.
    ///
    /// # Panics
    /// Panics if a budget's reserved amounts exceed its limit.
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
        let to_u16 = |n: usize| u16::try_from(n).unwrap_or(u16::MAX);
        let zone = ZonePosition {
            zone: to_u16(me.zone),
            zones: to_u16(zones),
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

    /// Returns the member's index in the fleet.
    pub fn index(&self) -> usize {
        self.index
    }

    /// Injects a defect, for tests.
    pub fn inject_defect(&mut self, defect: Defect) {
        self.defect = Some(defect);
    }

    /// Handles a datagram from the peer at this index of the peer list.
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
        let sender = PurgeSender {
            peer: from,
            process: replicating_process(&self.membership, from),
        };
        let is_logged = is_logged(&self.purge_log, &plain);
        match self
            .plain_purges
            .receive(now, Some(sender), is_logged, plain)
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
        self.outbox.send_where(text.as_bytes(), |peer| {
            replicating_process(membership, peer).is_none()
        });
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

    /// Updates the machine of each peer from the name that the peer announced, or from the configuration if it
    /// announced none.
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

    /// Completes the membership view from the peers' introductions, as if the member had been running for a long time.
    pub fn receive_introductions(&mut self, introductions: &[Vec<u8>], now: Micros) {
        for (index, bytes) in introductions
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != self.index)
        {
            // The introductions are built by this module, so decoding cannot fail.
            let _ = self
                .membership
                .receive(now, peer_index(index, self.index), bytes);
        }
        self.membership.take_outgoing();
        self.membership.take_changes();
        self.update_machines();
    }

    /// Encodes the ping acknowledgement by which a member introduces itself; see `receive_introductions`.
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

    /// Returns the time at which the host must call `tick` next.
    pub fn due(&self) -> Micros {
        let budgets = self.budgets.as_ref().map(BudgetShare::due);
        let others = [budgets, self.plain_purges.due()].into_iter().flatten();
        others.fold(self.membership_due.min(self.purge_log.due()), Micros::min)
    }

    /// Runs all timers that are due.
    pub fn tick(&mut self, now: Micros) {
        if self.defect != Some(Defect::NeverCompacts) {
            self.purge_log.compact(now);
        }
        self.purge_log.tick(now, &mut self.outbox, &mut self.events);
        let overdue = self.plain_purges.tick(
            now,
            |peer| replicating_process(&self.membership, peer),
            |retained| is_logged(&self.purge_log, &retained.purge),
        );
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

    /// Handles a purge issued by a client at this member.
    pub fn purge(&mut self, purge: PurgeNumber, now: Micros) {
        self.purge_log
            .purge(purge, now, &mut self.outbox, &mut self.events);
        if let Some(text) = peers::write(Some(&object(purge)), 0, now) {
            self.send_where_not_replicated(&text);
            self.plain_purges.sent(now, text);
        }
    }

    /// Records a late response of the origin; `share` is the fraction of requests that may still be sent to it.
    pub fn record_late_origin_response(&mut self, share: f64, now: Micros) {
        if let Some(bytes) = self.origin_health.record_late_response(now, share) {
            self.outbox.broadcast(&bytes);
        }
    }

    /// Announces a graceful shutdown to the peers.
    pub fn leave(&mut self, now: Micros) {
        self.membership.leave();
        self.flush_membership(now);
    }

    /// Returns the disk contents with which the member's next process starts after a graceful shutdown or a crash.
    pub fn disk_contents(&self, is_in_order: bool) -> DiskContents {
        self.purge_log.disk_contents(is_in_order)
    }

    /// Takes the datagrams to be sent.
    pub fn take_outgoing(&mut self) -> Vec<Outgoing> {
        self.outbox.take()
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<MemberEvent> {
        std::mem::take(&mut self.events)
    }
}

/// Returns the process of a peer that replicates logs. All peers that membership considers up do.
fn replicating_process(membership: &Membership, peer: usize) -> Option<u64> {
    let member = membership.members().get(peer);
    let claim = member.filter(|member| member.is_up())?.claim?;
    Some(claim.process)
}

/// Returns whether a log contains a plain purge. Only purges of objects are logged here.
fn is_logged(purge_log: &PurgeLog, plain: &Purge) -> bool {
    let purge = plain.object.as_deref().and_then(purge_of);
    purge.is_none_or(|purge| purge_log.contains(purge, plain.at))
}

fn is_snapshot(bytes: &[u8]) -> bool {
    matches!(Datagram::decode(bytes), Ok(Datagram::SnapshotChunk(_)))
}

/// Returns whether a datagram carries a log entry or a plain purge.
fn is_purge(bytes: &[u8]) -> bool {
    matches!(Datagram::decode(bytes), Ok(Datagram::Entry(_))) || peers::read(bytes).is_some()
}
