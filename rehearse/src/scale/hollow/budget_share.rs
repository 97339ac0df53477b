//! Budget protocol of a hollow member. The protocol is called as in the daemon, but the demand is random.

use super::outbox::Outbox;
use crate::scale::fleet_config::{FleetConfig, SharedBudget};
use linnetknot_budgets::kinds::Unit;
use linnetknot_budgets::{wire, Member as BudgetMember, MemberProcess, Message, Outgoing};
use linnetknot_datagram::Random;
use linnetknot_simnet::{member_at, peer_index, Micros};
use std::collections::BTreeMap;

/// Shortest time between two ticks of the budget protocol.
const MIN_PAUSE_US: Micros = 1_000;

/// Upper bound of a member's random demand for concurrent requests of the origin.
const MAX_CONCURRENT: u64 = 6;
/// Upper bound of a member's random demand on a cold cache, in millionths.
const MAX_COLD_MILLIONTHS: u64 = 30_000;

/// State of the budget protocol at one member: its shares of all budgets and its simulated demand.
#[derive(Clone, Debug)]
pub(super) struct BudgetShare {
    index: usize,
    zone: usize,
    fingerprint: u64,
    budgets: Vec<SharedBudget>,
    core: BudgetMember,
    due: Micros,
    random: Random,
}

impl BudgetShare {
    pub(super) fn new(config: &FleetConfig, index: usize, now: Micros, seed: u64) -> Self {
        let members = config.members.len();
        let own = MemberProcess {
            member: index,
            process: now,
        };
        let core = BudgetMember::new(
            own,
            members,
            &config.budget_specs(),
            now,
            config.budget_options(),
        );
        let core = core.unwrap_or_else(|error| panic!("invalid budget of the target: {error}"));
        BudgetShare {
            index,
            zone: config.members[index].zone,
            fingerprint: config.budget_fingerprint,
            budgets: config.budgets.clone(),
            core,
            due: now,
            random: Random::new(seed ^ (index as u64).rotate_left(20)),
        }
    }

    pub(super) fn core(&self) -> &BudgetMember {
        &self.core
    }

    pub(super) fn due(&self) -> Micros {
        self.due
    }

    /// Draws new demand, updates which members are up, and advances the budget protocol.
    pub(super) fn tick(
        &mut self,
        now: Micros,
        is_up: impl Iterator<Item = bool>,
        outbox: &mut Outbox,
    ) {
        self.update_demand(now);
        for (peer, is_up) in is_up.enumerate() {
            self.core.set_member_up(member_at(peer, self.index), is_up);
        }
        self.core.tick(now);
        self.send(outbox);
        self.due = self.core.due().max(now + MIN_PAUSE_US);
    }

    fn update_demand(&mut self, now: Micros) {
        for (number, budget) in self.budgets.iter().enumerate() {
            let may_spend = budget.zone.is_none_or(|zone| zone == self.zone);
            let demand = match budget.unit {
                Unit::Concurrent => self.random.below(MAX_CONCURRENT + 1),
                Unit::Millionths => self.random.below(MAX_COLD_MILLIONTHS + 1),
            };
            let lease = self.core.lease(now, number);
            let spent = if may_spend {
                demand.min(lease.amount)
            } else {
                0
            };
            let wanted = if may_spend {
                budget.unit.demand(demand)
            } else {
                0
            };
            self.core.set_demand(number, wanted, spent);
        }
    }

    /// Handles a datagram of the budget protocol; returns `false` if it belongs to another protocol.
    pub(super) fn receive(
        &mut self,
        from: usize,
        bytes: &[u8],
        now: Micros,
        outbox: &mut Outbox,
    ) -> bool {
        let datagram = match wire::decode(bytes) {
            Err(wire::DecodeError::Foreign) => return false,
            Err(_) => return true,
            Ok(read) => read,
        };
        if datagram.fingerprint == self.fingerprint {
            let from = MemberProcess {
                member: member_at(from, self.index),
                process: datagram.process,
            };
            for message in datagram.messages {
                self.core.receive(now, from, message);
            }
            self.send(outbox);
        }
        true
    }

    fn send(&mut self, outbox: &mut Outbox) {
        let mut by_member = BTreeMap::<usize, Vec<Message>>::new();
        for Outgoing { to, message } in self.core.take_outgoing() {
            by_member.entry(to).or_default().push(message);
        }
        for (to, messages) in by_member {
            let peer = peer_index(to, self.index);
            for bytes in wire::encode(self.fingerprint, self.core.process(), &messages) {
                outbox.send(peer, bytes);
            }
        }
        self.core.take_changes();
    }
}
