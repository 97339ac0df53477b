//! Budgets shared by all proxies (`linnetknot_budgets`): reports the demand of this proxy, exchanges datagrams with the
//! other members, and passes leases to the decision module.

mod faults;
mod status;

use super::Daemon;
use crate::net::DeadlineId;
use linnetknot::{Budget, Lease, Micros};
use linnetknot_budgets::kinds::Unit;
use linnetknot_budgets::wire::{self, DecodeError};
use linnetknot_budgets::{
    Amount, InvalidBudget, Member, MemberIndex, MemberProcess, Message, Options, Outgoing,
    VoteResponse,
};
use std::collections::BTreeMap;

const MIN_TICK_INTERVAL_US: Micros = 1_000;

/// The state of this proxy as a member of the shared budgets.
pub(super) struct SharedBudgets {
    member: Member,
    /// The last lease of each budget that was passed to the decision module.
    delivered: Vec<Option<Lease>>,
    due: Option<DeadlineId>,
    /// Whether a fingerprint mismatch has been logged.
    mismatch_logged: bool,
    /// Whether the list of peers, and with it the indices of the members, has changed. From then on no messages are
    /// sent or processed, and only the reserved minimums may be spent until the next start.
    detached: bool,
}

/// An invalid budget in the configuration, which prevents this proxy from joining.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("budgets: '{name}': {}", invalid.error)]
pub(super) struct JoinBudgetsError {
    name: String,
    invalid: InvalidBudget,
}

/// For each budget of the decision module, the amount that is in use, or may still be.
struct UnsettledAmounts {
    origin: Amount,
    caches: Amount,
    parents: Amount,
}

impl UnsettledAmounts {
    fn of(&self, budget: Option<Budget>) -> Amount {
        match budget {
            Some(Budget::Origin) => self.origin,
            Some(Budget::Caches) => self.caches,
            Some(Budget::Parents) => self.parents,
            // The budget belongs to another zone, so this proxy uses none of it.
            None => 0,
        }
    }
}

impl Daemon {
    /// Joins the members that share the configured budgets.
    pub(super) fn join_budgets(&mut self, now: Micros) -> Result<(), JoinBudgetsError> {
        let config = &self.config.budgets;
        let Some(ledger) = self.ledger.as_ref().filter(|_| !config.list.is_empty()) else {
            return Ok(());
        };
        let mut specs: Vec<_> = config.list.iter().map(|budget| budget.spec).collect();
        let settling_us = specs.iter().map(|spec| spec.settling_us).max().unwrap_or(0);
        if faults::forgets_reserved() {
            specs
                .iter_mut()
                .for_each(|spec| spec.limit += spec.reserved * config.members as Amount);
        }
        let own = MemberProcess {
            member: config.index,
            process: ledger.incarnation(),
        };
        let options = Options::default().with_settling_time(settling_us);
        // Not expected to fail, because the configuration was validated with the same values.
        let member = Member::new(own, config.members, &specs, now, options).map_err(|invalid| {
            JoinBudgetsError {
                name: config.list[invalid.budget].name.clone(),
                invalid,
            }
        })?;
        let delivered = vec![None; specs.len()];
        // After the settling time, the amounts of an expired lease are assumed to be unused. No request may therefore
        // stay open longer.
        self.core.max_request_us = config.max_request_us().unwrap_or(Micros::MAX);
        self.shared_budgets = Some(SharedBudgets {
            member,
            delivered,
            due: None,
            mismatch_logged: false,
            detached: false,
        });
        self.tick_budgets(now);
        Ok(())
    }

    /// Joins again after the incarnation of this process was raised.
    pub(super) fn rejoin_budgets(&mut self, now: Micros) {
        if let Some(due) = self.shared_budgets.take().and_then(|shared| shared.due) {
            self.deadlines.cancel(due);
        }
        if let Err(e) = self.join_budgets(now) {
            log::error!("failed to share the budgets: {e}");
        }
    }

    /// Converts the index of a peer to its index among all members.
    fn member_index(&self, peer: usize) -> MemberIndex {
        peer + usize::from(peer >= self.config.budgets.index)
    }

    /// Converts the index of another member to its index among the peers.
    fn peer_index(&self, member: MemberIndex) -> usize {
        member - usize::from(member > self.config.budgets.index)
    }

    /// Receives a datagram of a peer. Returns false if it belongs to another protocol.
    pub(super) fn receive_budgets(&mut self, now: Micros, peer: usize, bytes: &[u8]) -> bool {
        let datagram = match wire::decode(bytes) {
            Err(DecodeError::Foreign) => return false,
            Err(e) => {
                log::debug!(peer = peer; "{e}");
                self.dropped_datagrams.1 += 1;
                return true;
            }
            Ok(datagram) => datagram,
        };
        let from = MemberProcess {
            member: self.member_index(peer),
            process: datagram.process,
        };
        let Some(shared) = self
            .shared_budgets
            .as_mut()
            .filter(|shared| !shared.detached)
        else {
            return true;
        };
        if datagram.fingerprint != self.config.budgets.fingerprint {
            if !std::mem::replace(&mut shared.mismatch_logged, true) {
                log::warn!(
                    peer = peer;
                    "a peer has different 'budgets' or peers: nothing is shared with it"
                );
            }
            return true;
        }
        for message in datagram.messages {
            shared.member.receive(now, from, message);
        }
        self.flush_budgets(now);
        true
    }

    /// Updates the state of the member, sends its messages and schedules the next tick.
    fn tick_budgets(&mut self, now: Micros) {
        self.update_members_up();
        self.update_demand(now);
        if let Some(shared) = &mut self.shared_budgets {
            shared.member.tick(now);
        }
        self.flush_budgets(now);
        let due = self
            .shared_budgets
            .as_ref()
            .map(|shared| shared.member.due().max(now + MIN_TICK_INTERVAL_US));
        let old = self
            .shared_budgets
            .as_mut()
            .and_then(|shared| shared.due.take());
        let new = self.reschedule(old, due, |daemon, now| {
            daemon
                .shared_budgets
                .iter_mut()
                .for_each(|shared| shared.due = None);
            daemon.tick_budgets(now);
        });
        self.shared_budgets
            .iter_mut()
            .for_each(|shared| shared.due = new);
    }

    fn update_demand(&mut self, now: Micros) {
        let is_stopping = self.is_stopping();
        let unsettled_amounts = self.unsettled(now);
        let Some(shared) = &mut self.shared_budgets else {
            return;
        };
        for (index, budget) in self.config.budgets.list.iter().enumerate() {
            let unsettled = unsettled_amounts.of(budget.module_budget);
            // A process that is shutting down demands only what is still unsettled, so that the rest of its leases is
            // returned.
            let amount = if is_stopping {
                unsettled
            } else {
                budget.unit.demand(unsettled)
            };
            shared.member.set_demand(index, amount, unsettled);
        }
    }

    fn unsettled(&self, now: Micros) -> UnsettledAmounts {
        let millionths =
            |share: Option<f64>| (share.unwrap_or(0.0) * Unit::Millionths.scale() as f64) as Amount;
        UnsettledAmounts {
            origin: self.core.origin_in_flight() as Amount,
            caches: millionths(self.core.slow_start_use(now, false)),
            parents: millionths(self.core.slow_start_use(now, true)),
        }
    }

    fn update_members_up(&mut self) {
        let Some(membership) = &self.membership else {
            return;
        };
        let members = membership.members().iter().enumerate();
        let up: Vec<(MemberIndex, bool)> = members
            .map(|(peer, member)| (self.member_index(peer), member.is_up()))
            .collect();
        let Some(shared) = &mut self.shared_budgets else {
            return;
        };
        up.into_iter()
            .for_each(|(index, up)| shared.member.set_member_up(index, up));
    }

    /// Sends the pending messages of the member, logs its state changes, and passes its leases to the decision module.
    fn flush_budgets(&mut self, now: Micros) {
        let Some(shared) = &mut self.shared_budgets else {
            return;
        };
        let mut outgoing = shared.member.take_outgoing();
        let changes = shared.member.take_changes();
        if shared.detached {
            outgoing.clear();
        }
        if faults::assumes_votes() {
            assume_votes(&mut shared.member, now, &outgoing);
        }
        self.send_budgets(outgoing);
        changes
            .into_iter()
            .for_each(|change| self.log_change(change));
        self.deliver_leases(now);
    }

    fn send_budgets(&mut self, outgoing: Vec<Outgoing>) {
        let Some(process) = self
            .shared_budgets
            .as_ref()
            .map(|shared| shared.member.process())
        else {
            return;
        };
        let grants = outgoing
            .iter()
            .any(|outgoing| matches!(outgoing.message, Message::LeaseGrant(_)));
        if grants {
            fail::fail_point!("budgets-grant");
        }
        let mut by_member = BTreeMap::<MemberIndex, Vec<Message>>::new();
        for Outgoing { to, message } in outgoing {
            by_member.entry(to).or_default().push(message);
        }
        for (to, messages) in by_member {
            let peer = self.peer_index(to);
            for bytes in wire::encode(self.config.budgets.fingerprint, process, &messages) {
                self.send_to_peer_at(peer, &bytes);
            }
        }
        if grants {
            fail::fail_point!("budgets-granted");
        }
    }

    /// Passes leases that have changed to the decision module.
    fn deliver_leases(&mut self, now: Micros) {
        let Some(shared) = &mut self.shared_budgets else {
            return;
        };
        let mut changed = Vec::new();
        for (index, budget) in self.config.budgets.list.iter().enumerate() {
            let (Some(of), Some(spec)) = (budget.module_budget, shared.member.spec(index)) else {
                continue;
            };
            let unit = budget.unit.scale() as f64;
            let lease = shared.member.lease(now, index);
            let mut lease = Lease {
                budget: of,
                amount: lease.amount as f64 / unit,
                until: lease.until,
                reserved: spec.reserved as f64 / unit,
            };
            if faults::ignores_lease_ends() {
                if shared.delivered[index].is_some_and(|delivered| delivered.amount > lease.amount)
                {
                    continue;
                }
                lease.until = Micros::MAX;
            }
            if shared.delivered[index].replace(lease) != Some(lease) {
                changed.push(lease);
            }
        }
        changed
            .into_iter()
            .for_each(|lease| self.core.receive_lease(now, lease));
    }

    /// Applies changed limits of a reloaded configuration. Other changes of the budgets need a restart.
    pub(super) fn reload_budgets(&mut self, new: &crate::interconnect::Budgets) {
        if new.fingerprint != self.config.budgets.fingerprint {
            return log::warn!("SIGHUP: changes of 'budgets' other than limits need a restart");
        }
        let Some(shared) = &mut self.shared_budgets else {
            return;
        };
        let budgets = self
            .config
            .budgets
            .list
            .iter_mut()
            .zip(&new.list)
            .enumerate();
        for (index, (old, new)) in budgets.filter(|(_, (old, new))| old.spec != new.spec) {
            match shared.member.set_limit(index, new.spec.limit) {
                Ok(()) => {
                    log::info!(
                        budget = new.name.as_str(), limit = new.spec.limit;
                        "SIGHUP: limit of a budget changed"
                    );
                    old.spec = new.spec;
                }
                Err(e) => log::error!("SIGHUP: the limit of '{}' is unchanged: {e}", new.name),
            }
        }
    }

    /// Stops exchanging messages with the other members. Their indices have changed, so messages would be attributed to
    /// the wrong member. Only the reserved minimums may be spent until the next start.
    pub(super) fn detach_budgets(&mut self) {
        if let Some(shared) = &mut self.shared_budgets {
            shared.detached = true;
            log::error!(
                "SIGHUP: the peers have changed: no budgets are shared with them until the next start"
            );
        }
    }
}

/// Fault injection: grants each vote request of this candidate on behalf of the receiver.
fn assume_votes(member: &mut Member, now: Micros, outgoing: &[Outgoing]) {
    for Outgoing { to, message } in outgoing {
        if let Message::VoteRequest(request) = message {
            let response = VoteResponse {
                group: request.group,
                number: request.number,
                granted: true,
                voted_for: None,
            };
            let from = MemberProcess {
                member: *to,
                process: 0,
            };
            member.receive(now, from, Message::VoteResponse(response));
        }
    }
}
