//! One member: its leases, its votes and, if it is an allocator, its grants to others.

use crate::allocation::{Allocation, GrantTerms};
use crate::election::Election;
use crate::holding::{Demand, Holding, Lease};
use crate::spec::{BudgetSpec, LimitTooSmall};
use crate::{
    Amount, LeaseGrant, LeaseRequest, MemberIndex, MemberProcess, Message, Micros, Options,
    Outgoing, OutstandingGrant, ProcessId, VoteRequest, VoteResponse,
};
use std::fmt;

/// A change that is reported to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    /// This member has started or stopped being the allocator of a group.
    Leader {
        /// The index of the group of budgets.
        group: usize,
        /// Whether this member is the allocator now.
        leads: bool,
    },
    /// This member's lease of a budget has expired, so that only the reserved minimum is left, or it has a lease again.
    ReservedOnly {
        /// The index of the budget.
        budget: usize,
        /// Whether only the reserved minimum is left now.
        active: bool,
    },
}

/// Counters since the start of this process, which are shown to operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counters {
    /// Leases that this member granted as an allocator, including leases to itself.
    pub granted: u64,
    /// Leases that this member accepted as a holder.
    pub accepted: u64,
    /// Lease grants that were received after the lease had expired or after a later grant, and requests that were
    /// received after a later request.
    pub stale: u64,
    /// Lease requests that were received while this member was not the allocator.
    pub misdirected: u64,
}

/// The error for a budget whose limit is too small for the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct InvalidBudget {
    /// The index of the budget.
    pub budget: usize,
    /// The error of the limit, with the sum that it must reach.
    pub error: LimitTooSmall,
}

impl fmt::Display for InvalidBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "budget {}: {}", self.budget, self.error)
    }
}

impl std::error::Error for InvalidBudget {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.error)
    }
}

/// One budget: this member's state as a holder and as an allocator.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Budget {
    holding: Holding,
    allocation: Allocation,
}

/// One member of the fleet: its part in the elections, and its leases and grants of all budgets.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    own: MemberProcess,
    /// By member, whether it is believed to be up.
    up: Vec<bool>,
    options: Options,
    /// This member's state in the election of each group, by group.
    elections: Vec<Election>,
    budgets: Vec<Budget>,
    /// The number of the last request.
    last_number: u64,
    due: Micros,
    outgoing: Vec<Outgoing>,
    changes: Vec<Change>,
    counters: Counters,
}

impl Member {
    /// Creates a member with these budgets. `members` is the number of configured members.
    ///
    /// # Errors
    /// Fails if a limit is less than the sum of the reserved minimums.
    pub fn new(
        own: MemberProcess,
        members: usize,
        specs: &[BudgetSpec],
        now: Micros,
        options: Options,
    ) -> Result<Self, InvalidBudget> {
        for (budget, spec) in specs.iter().enumerate() {
            spec.leasable_amount(members)
                .map_err(|error| InvalidBudget { budget, error })?;
        }
        let election = |group| Election::new(group, own, members, now, options);
        let budget = |spec: &BudgetSpec| Budget {
            holding: Holding::new(*spec),
            allocation: Allocation::default(),
        };
        Ok(Member {
            own,
            up: (0..members).map(|member| member == own.member).collect(),
            options,
            elections: (0..options.groups.max(1)).map(election).collect(),
            budgets: specs.iter().map(budget).collect(),
            last_number: 0,
            due: now,
            outgoing: Vec::new(),
            changes: Vec::new(),
            counters: Counters::default(),
        })
    }

    /// Sets whether another member is believed to be up.
    pub fn set_member_up(&mut self, member: MemberIndex, up: bool) {
        if let Some(is_up) = self
            .up
            .get_mut(member)
            .filter(|_| member != self.own.member)
        {
            *is_up = up;
        }
    }

    /// Sets the amount of a budget that this member would spend if it were granted, and the amount that it has spent
    /// and that has not settled yet. Both include the reserved minimum.
    pub fn set_demand(&mut self, budget: usize, amount: Amount, unsettled: Amount) {
        if let Some(budget) = self.budgets.get_mut(budget) {
            budget.holding.set_demand(amount, unsettled);
        }
    }

    /// Sets the limit of a budget. Leases that were granted under the previous limit remain valid until they expire.
    /// Reserved minimums and settling times can't change while a member runs, because the duration of its votes depends
    /// on the settling times.
    ///
    /// # Errors
    /// Fails if the limit is less than the sum of the reserved minimums. The limit is then unchanged.
    pub fn set_limit(&mut self, budget: usize, limit: Amount) -> Result<(), LimitTooSmall> {
        let Some(budget) = self.budgets.get_mut(budget) else {
            return Ok(());
        };
        let spec = BudgetSpec {
            limit,
            ..budget.holding.spec
        };
        spec.leasable_amount(self.up.len())?;
        budget.holding.spec = spec;
        Ok(())
    }

    /// Returns the lease of a budget that is in force. Callers must check it whenever they spend.
    pub fn lease(&self, now: Micros, budget: usize) -> Lease {
        let none = Lease {
            amount: 0,
            until: Micros::MAX,
        };
        self.budgets
            .get(budget)
            .map_or(none, |budget| budget.holding.lease(now))
    }

    /// Returns whether this member is the allocator of a group.
    pub fn leads(&self, now: Micros, group: usize) -> bool {
        self.elections
            .get(group)
            .is_some_and(|election| election.leads(now))
    }

    /// Returns the allocator of a group if this member has learnt which member it is, otherwise the member that is
    /// expected to become the allocator.
    pub fn allocator(&self, now: Micros, group: usize) -> MemberIndex {
        self.elections
            .get(group)
            .map_or(self.own.member, |election| election.leader(now, &self.up))
    }

    /// Returns this member's demand for a budget beyond its reserved minimum.
    pub fn demand(&self, budget: usize) -> Demand {
        self.budgets
            .get(budget)
            .map_or_else(Demand::default, |budget| budget.holding.demand())
    }

    /// Returns the id of this process.
    pub fn process(&self) -> ProcessId {
        self.own.process
    }

    /// Returns the specification of a budget at this member.
    pub fn spec(&self, budget: usize) -> Option<BudgetSpec> {
        self.budgets.get(budget).map(|budget| budget.holding.spec)
    }

    /// Returns the outstanding grants of a budget by this member.
    pub fn outstanding_grants(&self, budget: usize) -> Vec<OutstandingGrant> {
        self.budgets
            .get(budget)
            .map_or_else(Vec::new, |budget| budget.allocation.outstanding().collect())
    }

    /// Returns the group of a budget.
    pub fn group(&self, budget: usize) -> usize {
        budget % self.elections.len()
    }

    /// Returns the counts of granted, accepted, stale and misdirected leases and requests since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Takes the messages to send.
    pub fn take_outgoing(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outgoing)
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the time at which [`Member::tick`] must be called next.
    pub fn due(&self) -> Micros {
        self.due
    }

    /// Requests votes in the groups in which this member is a candidate, and leases of all budgets, if requests are
    /// due.
    pub fn tick(&mut self, now: Micros) {
        if now < self.due {
            return;
        }
        self.due = now + self.options.request_interval_us;
        for group in 0..self.elections.len() {
            self.tick_election(now, group);
        }
        for budget in 0..self.budgets.len() {
            self.request_lease(now, budget);
        }
    }

    fn tick_election(&mut self, now: Micros, group: usize) {
        if self.allocator(now, group) == self.own.member {
            self.request_votes(now, group);
        } else {
            self.elections[group].withdraw();
        }
        if let Some(leads) = self.elections[group].leadership_change(now) {
            self.changes.push(Change::Leader { group, leads });
        }
    }

    fn request_votes(&mut self, now: Micros, group: usize) {
        if !self.elections[group].may_request_votes(now, self.last_number) {
            return;
        }
        let number = self.next_number();
        let request = self.elections[group].vote_request(now, number);
        // Down members are asked too, because the belief that they are down may be wrong.
        for member in 0..self.up.len() {
            self.send(now, member, Message::VoteRequest(request));
        }
    }

    fn request_lease(&mut self, now: Micros, budget: usize) {
        let allocator = self.allocator(now, self.group(budget));
        let number = self.next_number();
        let request = self.budgets[budget].holding.request(now, budget, number);
        self.send(now, allocator, Message::LeaseRequest(request));
        self.report_reserved_only(now, budget);
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn report_reserved_only(&mut self, now: Micros, budget: usize) {
        if let Some(active) = self.budgets[budget].holding.reserved_only_change(now) {
            self.changes.push(Change::ReservedOnly { budget, active });
        }
    }

    /// Queues a message. A message to this member itself is received at once.
    fn send(&mut self, now: Micros, to: MemberIndex, message: Message) {
        if to == self.own.member {
            self.receive(now, self.own, message);
        } else {
            self.outgoing.push(Outgoing { to, message });
        }
    }

    /// Receives a message. `now` must be the time at which the message was read. The duration of a lease is counted
    /// from when the holder sent the request, so a response that is delayed by a stall does not extend the lease.
    pub fn receive(&mut self, now: Micros, from: MemberProcess, message: Message) {
        if from.member >= self.up.len() {
            return;
        }
        match message {
            Message::VoteRequest(request) => self.receive_vote_request(now, from, request),
            Message::VoteResponse(response) => self.receive_vote_response(now, from, response),
            Message::LeaseRequest(request) => self.receive_lease_request(now, from, request),
            Message::LeaseGrant(grant) => self.receive_lease_grant(now, grant),
        }
    }

    fn receive_vote_request(&mut self, now: Micros, from: MemberProcess, request: VoteRequest) {
        let Some(election) = self.elections.get_mut(request.group) else {
            return;
        };
        let response = election.receive_request(now, from, request);
        self.send(now, from.member, Message::VoteResponse(response));
    }

    fn receive_vote_response(&mut self, now: Micros, from: MemberProcess, response: VoteResponse) {
        if let Some(election) = self.elections.get_mut(response.group) {
            election.receive_response(now, from.member, response);
        }
    }

    fn receive_lease_request(&mut self, now: Micros, from: MemberProcess, request: LeaseRequest) {
        let group = self.group(request.budget);
        let Some(spec) = self.spec(request.budget) else {
            return;
        };
        // Amounts that are spent at the end of the lease remain unsettled for the settling time, and the votes must not
        // expire before that.
        let settling_us = self.options.extended_by_drift(spec.settling_us);
        let votes_until = self.elections[group].majority_until();
        let max_until = votes_until.saturating_sub(settling_us);
        let until = max_until.min(now + self.options.max_lease_us);
        if until <= now {
            self.elections[group].stop_serving();
            self.counters.misdirected += 1;
            return;
        }
        let leasable = spec.leasable_amount(self.up.len()).unwrap_or(0);
        let terms = GrantTerms {
            leasable,
            max_amount: self.max_grant(now, group, leasable),
            settled_at: until + settling_us,
            demand_lifetime_us: self.options.max_lease_us,
        };
        let allocation = &mut self.budgets[request.budget].allocation;
        let Some(amount) = allocation.grant(now, from, &request, terms) else {
            self.counters.stale += 1;
            return;
        };
        self.counters.granted += 1;
        let grant = LeaseGrant {
            budget: request.budget,
            number: request.number,
            amount,
            duration_us: until - now,
        };
        self.send(now, from.member, Message::LeaseGrant(grant));
    }

    /// Returns the maximum amount that this allocator may grant to one holder. The maximum is an equal share until all
    /// holders have had the time to send a request, so that the first holders do not receive the shares of the others.
    fn max_grant(&mut self, now: Micros, group: usize, leasable: Amount) -> Amount {
        let serving_since = self.elections[group].start_serving(now);
        let all_known_at = serving_since + 2 * self.options.request_interval_us;
        if now < all_known_at {
            leasable / self.up.len() as u64
        } else {
            Amount::MAX
        }
    }

    fn receive_lease_grant(&mut self, now: Micros, grant: LeaseGrant) {
        let Some(budget) = self.budgets.get_mut(grant.budget) else {
            return;
        };
        if !budget.holding.accept(now, grant, &self.options) {
            self.counters.stale += 1;
            return;
        }
        self.counters.accepted += 1;
        self.report_reserved_only(now, grant.budget);
    }
}
