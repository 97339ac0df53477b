//! What all proxies spend together, divided among them (`linnetknot_budgets`): its datagrams, what this proxy wants and
//! has out, and what the module is told of its leases.

use super::Daemon;
use crate::budgets::{BudgetStatus, GrantStatus, Status, MAX_BUDGETS, MAX_GRANTS};
use crate::net::Due;
use linnetknot::{Budget, Lease, Micros};
use linnetknot_budgets::kinds::Unit;
use linnetknot_budgets::{wire, Amount, Change, Member, MemberIndex, Message, Options};

/// A member of those who share, and what goes with it.
pub(super) struct SharedBudgets {
    member: Member,
    /// What was last passed to the module, by budget.
    delivered: Vec<Option<Lease>>,
    due: Option<Due>,
    /// Words of proxies that share something else, or among others, were dropped: said once.
    mismatch_logged: bool,
    /// The list of peers has changed under it, and with it who stands at which place: nothing is said or heard any more,
    /// and the reserved minimum is lived on until the next start.
    detached: bool,
}

/// More than is out now, so that a lease is there before it is needed: this many times as much.
const DEMAND_FACTOR: Amount = 2;

/// What is asked for by who has so much out.
fn demand(out: Amount, unit: Unit) -> Amount {
    let more = match unit {
        Unit::Concurrent => 4,
        Unit::Millionths => unit.one() / 10,
    };
    if out == 0 {
        0
    } else {
        DEMAND_FACTOR * out + more
    }
}

impl Daemon {
    /// Begins to share what the operators' file names.
    pub(super) fn join_budgets(&mut self, now: Micros) -> Result<(), String> {
        let config = &self.config.budgets;
        let Some(ledger) = self.ledger.as_ref().filter(|_| !config.list.is_empty()) else { return Ok(()) };
        let mut specs: Vec<_> = config.list.iter().map(|budget| budget.spec).collect();
        let settling_us = specs.iter().map(|spec| spec.settling_us).max().unwrap_or(0);
        if forgets_floors() {
            specs.iter_mut().for_each(|spec| spec.limit += spec.reserved * config.members as Amount);
        }
        let me = (config.index, ledger.member());
        let member =
            Member::new(me, config.members, &specs, now, Options::default().with_settling_time(settling_us));
        // The file was checked, by the same figures.
        let member = member.map_err(|(n, e)| format!("budgets: '{}': {e}", config.list[n].name))?;
        let delivered = vec![None; specs.len()];
        // One that were open for longer than its class allows would be felt for longer, too.
        self.core.most_us = config.longest_open_us().unwrap_or(Micros::MAX);
        self.shared_budgets =
            Some(SharedBudgets { member, delivered, due: None, mismatch_logged: false, detached: false });
        self.tick_budgets(now);
        Ok(())
    }

    /// A peer's index among all that are configured.
    fn member_index(&self, peer: usize) -> MemberIndex {
        peer + usize::from(peer >= self.config.budgets.index)
    }

    /// Takes in messages of a peer; false where they are none.
    pub(super) fn receive_budgets(&mut self, now: Micros, peer: usize, bytes: &[u8]) -> bool {
        let (from, fingerprint) = (self.member_index(peer), self.config.budgets.fingerprint);
        let (theirs, process, messages) = match wire::read(bytes) {
            Err(linnetknot_budgets::wire::DecodeError::Foreign) => return false,
            Err(e) => {
                log::debug!(place = peer; "{e}");
                self.dropped.1 += 1;
                return true;
            }
            Ok(read) => read,
        };
        let Some(shared) = self.shared_budgets.as_mut().filter(|shared| !shared.detached) else {
            return true;
        };
        if theirs != fingerprint {
            if !std::mem::replace(&mut shared.mismatch_logged, true) {
                log::warn!(peer = peer; "a peer's 'budgets' or list of peers is another: nothing is shared with it");
            }
            return true;
        }
        for message in messages {
            shared.member.receive(now, (from, process), message);
        }
        self.flush_budgets(now);
        true
    }

    /// Once in a while: what is in demand and out, who runs, and what time has brought.
    fn tick_budgets(&mut self, now: Micros) {
        self.update_demand(now);
        if let Some(shared) = &mut self.shared_budgets {
            shared.member.tick(now);
        }
        self.flush_budgets(now);
        let due = self.shared_budgets.as_ref().map(|shared| shared.member.due().max(now + 1_000));
        let old = self.shared_budgets.as_mut().and_then(|shared| shared.due.take());
        let new = self.instead(old, due, |daemon, now| {
            daemon.shared_budgets.iter_mut().for_each(|shared| shared.due = None);
            daemon.tick_budgets(now);
        });
        self.shared_budgets.iter_mut().for_each(|shared| shared.due = new);
    }

    fn update_demand(&mut self, now: Micros) {
        let (held, is_stopping) = (self.core.asking() as Amount, self.is_stopping());
        let millionths =
            |used: Option<f64>| used.map(|used| (used * Unit::Millionths.one() as f64) as Amount);
        let (caches, parents) =
            (millionths(self.core.cold_use(now, false)), millionths(self.core.cold_use(now, true)));
        let up: Vec<(MemberIndex, bool)> = self.membership.as_ref().map_or_else(Vec::new, |fleet| {
            let up = fleet.members().iter().enumerate();
            up.map(|(peer, member)| (self.member_index(peer), member.is_up())).collect()
        });
        let Some(shared) = &mut self.shared_budgets else { return };
        for (n, budget) in self.config.budgets.list.iter().enumerate() {
            let out = match budget.of {
                Some(Budget::Origin) => held,
                Some(Budget::Caches) => caches.unwrap_or(0),
                Some(Budget::Parents) => parents.unwrap_or(0),
                // Another zone's.
                None => 0,
            };
            // One that ends gives all up that it does not have out.
            let demand = if is_stopping { out } else { demand(out, budget.unit) };
            shared.member.set_demand(n, demand, out);
        }
        up.into_iter().for_each(|(index, up)| shared.member.set_up(index, up));
    }

    /// Sends what is to be said, says what has changed, and passes its leases to the module.
    fn flush_budgets(&mut self, now: Micros) {
        let fingerprint = self.config.budgets.fingerprint;
        let Some(shared) = &mut self.shared_budgets else { return };
        let (mut outgoing, changes) = (shared.member.outgoing(), shared.member.changes());
        if shared.detached {
            outgoing.clear();
        }
        let process = shared.member.process();
        for (to, message) in outgoing.iter().filter(|_| waits_for_no_vote()) {
            if let Message::VoteRequest { group, number } = *message {
                let vote = Message::VoteResponse { group, number, granted: true, voted_for: None };
                shared.member.receive(now, (*to, 0), vote);
            }
        }
        let grants = outgoing.iter().any(|(_, message)| matches!(message, Message::LeaseGrant { .. }));
        if grants {
            fail::fail_point!("budgets-grant");
        }
        let mut by_member = std::collections::BTreeMap::<MemberIndex, Vec<Message>>::new();
        outgoing.into_iter().for_each(|(to, message)| by_member.entry(to).or_default().push(message));
        for (to, messages) in by_member {
            let peer = to - usize::from(to > self.config.budgets.index);
            for bytes in wire::write(fingerprint, process, &messages) {
                self.send_to_place(peer, &bytes);
            }
        }
        if grants {
            fail::fail_point!("budgets-granted");
        }
        changes.into_iter().for_each(|change| self.log_change(change));
        self.deliver_leases(now);
    }

    fn deliver_leases(&mut self, now: Micros) {
        let Some(shared) = &mut self.shared_budgets else { return };
        let mut leases = Vec::new();
        for (n, budget) in self.config.budgets.list.iter().enumerate() {
            let (Some(of), Some(spec)) = (budget.of, shared.member.spec(n)) else { continue };
            let (amount, until) = shared.member.lease(now, n);
            let unit = budget.unit.one() as f64;
            let (amount, reserved) = (amount as f64 / unit, spec.reserved as f64 / unit);
            if ignores_ends() && shared.delivered[n].is_some_and(|delivered| delivered.amount > amount) {
                continue;
            }
            let until = if ignores_ends() { Micros::MAX } else { until };
            let lease = Lease { budget: of, amount, until, reserved };
            if shared.delivered[n].replace(lease) != Some(lease) {
                leases.push(lease);
            }
        }
        leases.into_iter().for_each(|lease| self.core.receive_lease(now, lease));
    }

    fn log_change(&self, change: Change) {
        let list = &self.config.budgets.list;
        let Some(shared) = &self.shared_budgets else { return };
        match change {
            Change::Leads { group, begins } => {
                let all = list.iter().enumerate().filter(|(n, _)| shared.member.group(*n) == group);
                let names: Vec<&str> = all.map(|(_, budget)| budget.name.as_str()).collect();
                if !names.is_empty() {
                    log::info!(budgets = names.join(" ").as_str(), leads = begins; "the allocator has changed");
                }
            }
            Change::ReservedOnly { budget, begins } => {
                let (name, spec) = (list[budget].name.as_str(), shared.member.spec(budget));
                let reserved = spec.map_or(0, |spec| spec.reserved);
                match begins {
                    true => {
                        log::warn!(budget = name, reserved = reserved; "no lease is in force: only the reserved minimum is spent")
                    }
                    false => log::info!(budget = name; "a lease is in force again"),
                }
            }
        }
    }

    /// Limits that are others after a reload; all else of budgets waits for the next start.
    pub(super) fn reload_budgets(&mut self, new: &crate::interconnect::Budgets) {
        if new.fingerprint != self.config.budgets.fingerprint {
            return log::warn!("SIGHUP: 'budgets' has changed beyond its limits, which takes effect with the next start only");
        }
        let Some(shared) = &mut self.shared_budgets else { return };
        for (n, (old, new)) in self.config.budgets.list.iter_mut().zip(&new.list).enumerate() {
            if old.spec != new.spec {
                match shared.member.set_limit(n, new.spec.limit) {
                    Ok(()) => {
                        log::info!(budget = new.name.as_str(), limit = new.spec.limit; "SIGHUP: the limit has changed");
                        old.spec = new.spec;
                    }
                    Err(e) => log::error!("SIGHUP: the limit of '{}' stays as it was: {e}", new.name),
                }
            }
        }
    }

    /// The list of peers is another, so that messages would be taken for another member's: this proxy lives on its reserved minimums.
    pub(super) fn detach_budgets(&mut self) {
        if let Some(shared) = &mut self.shared_budgets {
            shared.detached = true;
            log::error!("SIGHUP: the peers have changed: nothing is shared with them before the next start");
        }
    }

    /// Where the budgets stand; none where nothing is shared.
    pub(super) fn budgets_status(&self) -> Option<Status> {
        let (shared, now) = (self.shared_budgets.as_ref()?, self.clock.now());
        let (member, config) = (&shared.member, &self.config.budgets);
        let peer = |index: MemberIndex| match index.cmp(&config.index) {
            std::cmp::Ordering::Equal => self.config.name.clone(),
            order => {
                let peer = index - usize::from(order == std::cmp::Ordering::Greater);
                let named = self.membership.as_ref().and_then(|fleet| fleet.members().get(peer));
                let name = named.and_then(|m| m.names.as_ref()).map(|(name, _)| name.clone());
                let address = || self.config.copies.machines.get(peer).map(|(a, _)| a.to_string());
                name.or_else(address).unwrap_or_default()
            }
        };
        let budget = |(n, budget): (usize, &crate::interconnect::Shared)| {
            let spec = member.spec(n).unwrap_or(budget.spec);
            let ((lease, until), (demand, unsettled)) = (member.lease(now, n), member.demand(n));
            let (group, granted) = (member.group(n), member.granted_leases(n));
            let leads = member.leads(now, group);
            let granted = if leads { granted } else { Vec::new() };
            BudgetStatus {
                name: budget.name.clone(),
                unit: budget.unit.name().to_owned(),
                limit: spec.limit,
                reserved: spec.reserved,
                lease,
                ends_in_ms: (until != Micros::MAX).then_some(until.saturating_sub(now) / 1000),
                demand,
                unsettled,
                allocator: peer(member.allocator(now, group)),
                leads,
                reserved_only: until == Micros::MAX,
                granted_total: granted.iter().map(|(_, amount)| amount).sum(),
                holders: granted.len(),
                granted: granted
                    .into_iter()
                    .take(MAX_GRANTS)
                    .map(|(index, amount)| GrantStatus { name: peer(index), amount })
                    .collect(),
            }
        };
        Some(Status {
            name: self.config.name.clone(),
            members: config.members,
            budgets: config.list.iter().enumerate().take(MAX_BUDGETS).map(budget).collect(),
            budgets_total: config.list.len(),
        })
    }

    /// How the sharing went, as the process ends.
    pub(super) fn log_budgets(&self) {
        let Some(shared) = &self.shared_budgets else { return };
        let t = shared.member.counters();
        log::info!(
            granted = t.granted, accepted = t.accepted, stale = t.stale, misdirected = t.misdirected;
            "leases of what all proxies spend"
        );
    }
}

/// Never: only faults that rehearsals plant. A holder that goes by a lease whose time is over.
fn ignores_ends() -> bool {
    fail::fail_point!("plant-lease", |_| true);
    false
}

/// An allocator that does not wait for the votes of others.
fn waits_for_no_vote() -> bool {
    fail::fail_point!("plant-votes", |_| true);
    false
}

/// Floors that are not set aside of the limit.
fn forgets_floors() -> bool {
    fail::fail_point!("plant-floors", |_| true);
    false
}
