//! Membership of the proxies (`linnetknot_membership`): datagrams, timers and logging.

use super::Daemon;
use linnetknot::Micros;
use linnetknot_discovery::server_id;
use linnetknot_membership::{
    Change, DecodeError, MemberState, Membership, MembershipConfig, Names, Options,
};

const MIN_TICK_INTERVAL_US: Micros = 1;

/// Returns the name of a member's state; `unknown` if nothing was received about it.
pub(super) fn state_name(state: Option<MemberState>) -> &'static str {
    match state {
        None => "unknown",
        Some(MemberState::Alive) => "alive",
        Some(MemberState::Suspect) => "suspect",
        Some(MemberState::Dead) => "dead",
        Some(MemberState::Left) => "left",
    }
}

/// Returns the level at which a member's new state is logged.
fn log_level(state: MemberState) -> log::Level {
    match state {
        MemberState::Alive | MemberState::Left => log::Level::Info,
        MemberState::Suspect => log::Level::Debug,
        MemberState::Dead => log::Level::Warn,
    }
}

/// Returns the process of a peer that is known to replicate logs. All members that are up do.
pub(super) fn replicating_process(membership: Option<&Membership>, peer: usize) -> Option<u64> {
    let member = membership.and_then(|membership| membership.members().get(peer));
    let claim = member.filter(|member| member.is_up())?.claim?;
    Some(claim.process)
}

impl Daemon {
    /// Joins the members that replicate logs.
    pub(super) fn join_membership(&mut self, now: Micros) {
        let replication = &self.config.replication;
        let Some(ledger) = self.ledger.as_ref().filter(|_| replication.enabled) else {
            return;
        };
        let config = MembershipConfig {
            id: server_id(&self.config.name),
            process: ledger.incarnation(),
            names: Names {
                name: self.config.name.clone(),
                machine: replication.machine.clone(),
            },
            peers: replication.machines.len(),
            seed: self.config.seed,
            options: Options::default(),
        };
        let mut membership = Membership::new(config, now);
        if ledger.is_fresh() {
            membership.expect_predecessor(now + self.limits.recovery_timeout_us);
        }
        self.membership = Some(membership);
        self.schedule_membership(now);
    }

    /// Returns whether a later process with the same name has started.
    pub(super) fn is_replaced(&self) -> bool {
        self.membership
            .as_ref()
            .is_some_and(Membership::is_replaced)
    }

    /// Returns whether this process may commit entries. It may not if a later process with the same name has started.
    pub(super) fn may_commit(&self) -> bool {
        fail::fail_point!("plant-no-fence", |_| true);
        !self.is_replaced()
    }

    /// Receives a datagram of a peer. Returns false if it belongs to another protocol.
    pub(super) fn receive_membership(&mut self, now: Micros, peer: usize, bytes: &[u8]) -> bool {
        let Some(membership) = &mut self.membership else {
            return false;
        };
        let names = |membership: &Membership| {
            let member = membership.members().get(peer);
            member.and_then(|member| member.names.clone())
        };
        let was_replaced = membership.is_replaced();
        let names_before = names(membership);
        match membership.receive(now, peer, bytes) {
            Err(DecodeError::Foreign) => return false,
            Err(e) => {
                log::debug!(peer = peer; "{e}");
                self.dropped_datagrams.1 += 1;
                return true;
            }
            Ok(()) => {}
        }
        let process = membership.process();
        let is_replaced = membership.is_replaced();
        let has_new_names = names(membership) != names_before;
        self.raise_ledger_incarnation(process);
        if is_replaced && !was_replaced {
            log::error!(
                "a later process with the same name has started: this one commits nothing more"
            );
        }
        if has_new_names {
            self.update_machines();
        }
        self.flush_membership(now);
        true
    }

    /// Raises the incarnation of the ledger to that of membership. Membership raises its incarnation if a peer knows an
    /// earlier process with the same name and a greater incarnation.
    fn raise_ledger_incarnation(&mut self, process: u64) {
        let is_behind = |ledger: &&mut crate::ledger::Ledger| ledger.incarnation() < process;
        if let Some(ledger) = self.ledger.as_mut().filter(is_behind) {
            log::warn!("a peer knows an earlier process of this name with a later incarnation: raising the incarnation of this one");
            ledger.raise_incarnation(process);
        }
    }

    /// Sends pending datagrams of membership and logs its changes.
    pub(super) fn flush_membership(&mut self, now: Micros) {
        let Some(membership) = &mut self.membership else {
            return;
        };
        let outgoing = membership.take_outgoing();
        let changes = membership.take_changes();
        for message in &outgoing {
            self.send_to_peer_at(message.peer, &message.datagram);
        }
        for change in &changes {
            self.log_member_change(change);
        }
        self.schedule_membership(now);
    }

    fn log_member_change(&self, Change { peer, old, new }: &Change) {
        let membership = self.membership.as_ref();
        let member = membership.and_then(|membership| membership.members().get(*peer));
        let name = member
            .and_then(|member| member.names.as_ref())
            .map_or("", |names| names.name.as_str());
        let configured = self.config.replication.machines.get(*peer);
        let address = configured.map_or_else(String::new, |(address, _)| address.to_string());
        log::log!(
            log_level(new.state),
            peer = address.as_str(),
            member = name,
            old = state_name(old.map(|claim| claim.state)),
            new = state_name(Some(new.state)),
            incarnation = new.process,
            up = membership.map_or(0, Membership::up);
            "state of a member changed"
        );
    }

    /// Schedules the next tick of membership, unless a tick is already scheduled at or before that time.
    fn schedule_membership(&mut self, now: Micros) {
        let Some(membership) = &self.membership else {
            return;
        };
        let due = membership.due().max(now + MIN_TICK_INTERVAL_US);
        let scheduled = self.membership_due;
        if scheduled.is_some_and(|planned| planned.at > now && planned.at <= due) {
            return;
        }
        let old = self.membership_due.take();
        self.membership_due = self.reschedule(old, Some(due), Daemon::tick_membership);
    }

    fn tick_membership(&mut self, now: Micros) {
        self.membership_due = None;
        if let Some(membership) = &mut self.membership {
            membership.tick(now);
        }
        self.flush_membership(now);
    }

    /// Announces to the members that the process is leaving, so that they need not wait for failure detection.
    pub(super) fn leave_membership(&mut self, now: Micros) {
        let Some(membership) = &mut self.membership else {
            return;
        };
        membership.leave();
        let counters = membership.counters();
        log::info!(
            up = membership.up(), probes = counters.probes, failed = counters.failed,
            refuted = counters.refuted, stalls = counters.stalls,
            unreadable = counters.unreadable, health = membership.health();
            "members of the fleet, as this one leaves"
        );
        self.flush_membership(now);
    }
}
