//! The other proxies: who of them is there (`linnetknot_membership`), and what the admin listener tells of them and of the copies.

use super::Daemon;
use crate::fleet::{LogStatus, PeerStatus, Status, MAX_LOGS, MAX_PEERS};
use linnetknot::Micros;
use linnetknot_discovery::server_id;
use linnetknot_membership::{
    Change, DecodeError, MemberState, Membership, MembershipConfig, Names, Options,
};
use linnetknot_replication::LogPosition;
use std::net::SocketAddr;

fn shown(state: Option<MemberState>) -> &'static str {
    match state {
        None => "unknown",
        Some(MemberState::Alive) => "alive",
        Some(MemberState::Suspect) => "suspect",
        Some(MemberState::Dead) => "dead",
        Some(MemberState::Left) => "left",
    }
}

impl Daemon {
    /// Begins to look after the peers.
    pub(super) fn join_fleet(&mut self, now: Micros) {
        let Some(ledger) = self.ledger.as_ref().filter(|_| self.config.copies.on) else {
            return;
        };
        let (name, machine) = (&self.config.name, &self.config.copies.machine);
        let config = MembershipConfig {
            id: server_id(name),
            process: ledger.member(),
            names: Names {
                name: name.clone(),
                machine: machine.clone(),
            },
            peers: self.config.copies.machines.len(),
            seed: self.config.seed,
            options: Options::default(),
        };
        let mut membership = Membership::new(config, now);
        if ledger.is_fresh() {
            membership.expect_predecessor(now + self.limits.recovery_us);
        }
        self.membership = Some(membership);
        self.plan_fleet(now);
    }

    /// Whether a later process of this name has begun.
    pub(super) fn is_replaced(&self) -> bool {
        self.membership
            .as_ref()
            .is_some_and(Membership::is_replaced)
    }

    /// Whether it may promise anything: one that was replaced leaves that to its successor.
    pub(super) fn may_promise(&self) -> bool {
        fail::fail_point!("plant-no-fence", |_| true);
        !self.is_replaced()
    }

    /// Takes in a word of a member; false where it is none.
    pub(super) fn hear_member(&mut self, now: Micros, place: usize, bytes: &[u8]) -> bool {
        let Some(membership) = &mut self.membership else {
            return false;
        };
        let named = |membership: &Membership| {
            membership
                .members()
                .get(place)
                .and_then(|m| m.names.clone())
        };
        let before = (membership.is_replaced(), named(membership));
        match membership.receive(now, place, bytes) {
            Err(DecodeError::Foreign) => return false,
            Err(e) => {
                log::debug!(place = place; "{e}");
                self.dropped.1 += 1;
                return true;
            }
            Ok(()) => {}
        }
        let process = membership.process();
        if let Some(ledger) = self.ledger.as_mut().filter(|l| l.member() < process) {
            log::warn!("a process of this name that a peer knows began by a later clock: this one is numbered behind it");
            ledger.renumber(process);
        }
        let after = (membership.is_replaced(), named(membership));
        if after.0 && !before.0 {
            log::error!(
                "another process of this name has begun after this one: nothing more is promised here"
            );
        }
        if after.1 != before.1 {
            self.know_machines();
        }
        self.tend_membership(now);
        true
    }

    /// Sends what is to be said, and says what has changed.
    pub(super) fn tend_membership(&mut self, now: Micros) {
        let Some(membership) = &mut self.membership else {
            return;
        };
        let (outgoing, changes) = (membership.outgoing(), membership.changes());
        outgoing
            .iter()
            .for_each(|out| self.send_to_peer_at(out.peer, &out.datagram));
        changes
            .into_iter()
            .for_each(|change| self.say_member(change));
        self.plan_fleet(now);
    }

    fn say_member(&self, Change { peer, old, new }: Change) {
        let membership = self.membership.as_ref();
        let member = membership.and_then(|m| m.members().get(peer));
        let name = member
            .and_then(|m| m.names.as_ref())
            .map_or("", |names| names.name.as_str());
        let address = self
            .config
            .copies
            .machines
            .get(peer)
            .map_or_else(String::new, |(a, _)| a.to_string());
        let level = match new.state {
            MemberState::Alive | MemberState::Left => log::Level::Info,
            MemberState::Suspect => log::Level::Debug,
            MemberState::Dead => log::Level::Warn,
        };
        log::log!(
            level, peer = address.as_str(), member = name, old = shown(old.map(|c| c.state)),
            new = shown(Some(new.state)), life = new.process, up = membership.map_or(0, Membership::up);
            "a member's standing has changed"
        );
    }

    fn plan_fleet(&mut self, now: Micros) {
        let Some(membership) = &self.membership else {
            return;
        };
        let due = membership.due().max(now + 1);
        if self
            .fleet_due
            .is_none_or(|planned| planned.at > due || planned.at <= now)
        {
            let old = self.fleet_due.take();
            self.fleet_due = self.instead(old, Some(due), |daemon, now| {
                daemon.fleet_due = None;
                daemon
                    .membership
                    .iter_mut()
                    .for_each(|membership| membership.tick(now));
                daemon.tend_membership(now);
            });
        }
    }

    /// The process ends: the others need not find it out.
    pub(super) fn leave_fleet(&mut self, now: Micros) {
        let Some(membership) = &mut self.membership else {
            return;
        };
        membership.leave();
        let t = membership.counters();
        log::info!(
            up = membership.up(), probes = t.probes, failed = t.failed, refuted = t.refuted, stalls = t.stalls,
            unreadable = t.unreadable, health = membership.health();
            "members of the fleet, as this one leaves"
        );
        self.tend_membership(now);
    }

    /// Where this proxy's copies and promises stand; none where it makes no copies.
    pub(super) fn fleet_status(&self) -> Option<Status> {
        let copies = &self.config.copies;
        let ledger = self.ledger.as_ref().filter(|_| copies.on)?.replica();
        let (own, counters, ends) = (
            ledger.own(),
            ledger.counters(),
            ledger.log_store().last_indexes(),
        );
        let end = ledger.log_store().last_index(own);
        let membership = self.membership.as_ref();
        let peer = |(place, (address, machine)): (usize, &(SocketAddr, String))| {
            let held = ledger.acked_by(place);
            let member = membership.and_then(|m| m.members().get(place));
            let (claim, names) = (
                member.and_then(|m| m.claim),
                member.and_then(|m| m.names.as_ref()),
            );
            PeerStatus {
                address: *address,
                machine: names.map_or(machine, |names| &names.machine).clone(),
                name: names.map_or_else(String::new, |names| names.name.clone()),
                standing: shown(claim.map(|c| c.state)).to_owned(),
                life: claim.map_or_else(String::new, |c| format!("{:x}", c.process)),
                held,
                behind: end.saturating_sub(held),
            }
        };
        let log = |LogPosition { log, index: end }: &LogPosition| LogStatus {
            writer: format!("{:016x}", log.writer),
            life: format!("{:x}", log.epoch),
            own: log.writer == own.writer,
            end: *end,
            on_disk: ledger.durable_index(*log),
        };
        Some(Status {
            name: self.config.name.clone(),
            machine: copies.machine.clone(),
            life: format!("{:x}", own.epoch),
            wait: copies.wait,
            holders: copies.holders,
            end,
            on_disk: ledger.durable_index(own),
            entries: ledger.log_store().len(),
            compacted: ledger.log_store().table().len(),
            table_bytes: ledger.log_store().table().memory_bytes(),
            store_error: self
                .pending_store
                .as_ref()
                .map(|pending| pending.reason().to_owned()),
            catching_up: ledger.is_catching_up(),
            digest: format!("{:016x}", ledger.log_store().checksum()),
            waiting: self.promised.waiting(),
            short: ledger.under_replicated(),
            promised: counters.committed,
            refused: counters.commits_rejected,
            up: membership.map_or(1, Membership::up),
            replaced: self.is_replaced(),
            peers: copies
                .machines
                .iter()
                .enumerate()
                .take(MAX_PEERS)
                .map(peer)
                .collect(),
            peers_in_all: copies.machines.len(),
            logs: ends.iter().take(MAX_LOGS).map(log).collect(),
            logs_in_all: ends.len(),
        })
    }
}
