//! A hollow member's part of what all members spend, as the daemon drives it, with a demand that is drawn.

use super::config::{FleetConfig, SharedBudget};
use super::outbox::Outbox;
use linnetknot_budgets::kinds::Unit;
use linnetknot_budgets::{wire, Amount, Member as Shareholder, Word as Message};
use linnetknot_datagram::Random;
use linnetknot_simnet::{member_at, peer_index, Micros};
use std::collections::BTreeMap;

/// The loop comes to its sockets between two looks at the budgets.
const MIN_PAUSE_US: Micros = 1_000;

/// More than is spent now is asked for: so many times as much, and a little besides.
const AHEAD: Amount = 2;
const AHEAD_HELD: Amount = 4;
/// The little of what is counted in millionths.
const AHEAD_SHARE: Amount = 10;

/// Requests of the origin that a member would hold at a time, at most.
const MAX_HELD: u64 = 6;
/// Millionths of a cold cache that a member would spend, at most.
const MAX_COLD: u64 = 30_000;

/// A member's part of all budgets.
#[derive(Clone, Debug)]
pub(super) struct BudgetShare {
    index: usize,
    zone: usize,
    form: u64,
    budgets: Vec<SharedBudget>,
    core: Shareholder,
    due: Micros,
    random: Random,
}

fn demand(spent: Amount, unit: Unit) -> Amount {
    let more = match unit {
        Unit::Held => AHEAD_HELD,
        Unit::Millionths => unit.one() / AHEAD_SHARE,
    };
    if spent == 0 {
        0
    } else {
        AHEAD * spent + more
    }
}

impl BudgetShare {
    pub(super) fn new(config: &FleetConfig, index: usize, now: Micros, seed: u64) -> Self {
        let members = config.members.len();
        let core =
            Shareholder::new((index, now), members, &config.budget_limits(), now, config.budget_options());
        let core = core.unwrap_or_else(|(budget, why)| panic!("the target's budget {budget}: {why}"));
        BudgetShare {
            index,
            zone: config.members[index].zone,
            form: members as u64,
            budgets: config.budgets.clone(),
            core,
            due: now,
            random: Random::new(seed ^ (index as u64).rotate_left(20)),
        }
    }

    pub(super) fn core(&self) -> &Shareholder {
        &self.core
    }

    pub(super) fn due(&self) -> Micros {
        self.due
    }

    /// Once in a while: what is wanted and spent, who runs, and what time has brought.
    pub(super) fn tick(&mut self, now: Micros, is_up: impl Iterator<Item = bool>, outbox: &mut Outbox) {
        self.say_demand(now);
        for (peer, is_up) in is_up.enumerate() {
            self.core.believe(member_at(peer, self.index), is_up);
        }
        self.core.tick(now);
        self.send(outbox);
        self.due = self.core.due().max(now + MIN_PAUSE_US);
    }

    fn say_demand(&mut self, now: Micros) {
        for (number, budget) in self.budgets.iter().enumerate() {
            let is_spent_here = budget.zone.is_none_or(|zone| zone == self.zone);
            let wish = match budget.unit {
                Unit::Held => self.random.below(MAX_HELD + 1),
                Unit::Millionths => self.random.below(MAX_COLD + 1),
            };
            let (part, _) = self.core.part(now, number);
            let spent = if is_spent_here { wish.min(part) } else { 0 };
            let wanted = if is_spent_here { demand(wish, budget.unit) } else { 0 };
            self.core.want(number, wanted, spent);
        }
    }

    /// Takes in a datagram of the budgets; false where it is none.
    pub(super) fn receive(&mut self, from: usize, bytes: &[u8], now: Micros, outbox: &mut Outbox) -> bool {
        let (form, life, messages) = match wire::read(bytes) {
            Err(wire::DecodeError::Foreign) => return false,
            Err(_) => return true,
            Ok(read) => read,
        };
        if form == self.form {
            let from = member_at(from, self.index);
            messages.into_iter().for_each(|message| self.core.hear(now, (from, life), message));
            self.send(outbox);
        }
        true
    }

    fn send(&mut self, outbox: &mut Outbox) {
        let mut by_member = BTreeMap::<usize, Vec<Message>>::new();
        for (to, message) in self.core.sends() {
            by_member.entry(to).or_default().push(message);
        }
        for (to, messages) in by_member {
            let peer = peer_index(to, self.index);
            for bytes in wire::write(self.form, self.core.life(), &messages) {
                outbox.send(peer, bytes);
            }
        }
        self.core.changes();
    }
}
