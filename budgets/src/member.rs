//! One member's side: what it may spend, whom it votes for, and, where it is the allocator, what the others get.

use crate::fair_share::Demands;
use crate::ledger::{LeaseRequest, Ledger};
use crate::spec::{BudgetSpec, LimitTooSmall};
use crate::vote::{Candidate, Vote, Votes};
use crate::{Amount, MemberIndex, Micros, ProcessId};
use std::collections::BTreeMap;

/// Times and bounds, the same at all members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Options {
    /// A vote is given for this.
    pub vote_us: Micros,
    /// A lease is granted for this at most.
    pub lease_us: Micros,
    /// Votes and leases are asked for so often.
    pub request_interval_us: Micros,
    /// How far two clocks may drift apart, in millionths of the time that passes.
    pub drift_ppm: u64,
    /// Budgets whose allocator is one and the same; each group has its own.
    pub groups: usize,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            vote_us: 2_000_000,
            lease_us: 1_000_000,
            request_interval_us: 200_000,
            drift_ppm: 1_000,
            groups: 4,
        }
    }
}

impl Options {
    /// What is counted of a time that another counts too: by this much less it is over first, however the two clocks
    /// drift.
    fn shortened_by_drift(&self, us: Micros) -> Micros {
        us.saturating_sub(us.saturating_mul(2 * self.drift_ppm) / 1_000_000 + 1)
    }

    /// What is counted of a time that another counts, too, where this one must not be over first.
    fn extended_by_drift(&self, us: Micros) -> Micros {
        us.saturating_add(us.saturating_mul(2 * self.drift_ppm) / 1_000_000 + 1)
    }

    /// These times, for budgets of which a spend is felt for as long: votes last for a lease and what is felt of it.
    pub fn with_settling_time(self, settling_us: Micros) -> Self {
        Options { vote_us: self.vote_us.saturating_add(self.extended_by_drift(settling_us)), ..self }
    }
}

/// What members say to each other. A message says who sends it by the address it comes from, and its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// The sender would divide the budgets of a group: is the receiver's vote its?
    VoteRequest {
        /// The group.
        group: usize,
        /// Names the answer.
        number: u64,
    },
    /// It is, for the time that is the same at all, or belongs to another still.
    VoteResponse {
        /// The group.
        group: usize,
        /// Of the question.
        number: u64,
        /// Whether it is.
        granted: bool,
        /// Whose it is.
        voted_for: Option<MemberIndex>,
    },
    /// The sender wants so much of a budget.
    LeaseRequest {
        /// The budget.
        budget: usize,
        /// Names the answer.
        number: u64,
        /// How much, beyond its reserved minimum.
        demand: Amount,
        /// The question that brought the lease that it goes by; 0: none.
        current_lease: u64,
        /// What is felt still of what it spent beyond its reserved minimum.
        unsettled: Amount,
    },
    /// The receiver may spend so much beyond its reserved minimum, for so long from when it asked.
    LeaseGrant {
        /// The budget.
        budget: usize,
        /// Of the question.
        number: u64,
        /// How much.
        amount: Amount,
        /// How long.
        duration_us: Micros,
    },
}

/// A change that operators are told of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    /// This member leads a group from now on, or no longer.
    Leads {
        /// The group.
        group: usize,
        /// From now on.
        begins: bool,
    },
    /// This member lives on its reserved minimum of a budget, or no longer.
    ReservedOnly {
        /// The budget.
        budget: usize,
        /// From now on.
        begins: bool,
    },
}

/// Counts for the operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counters {
    /// Leases granted to others and itself.
    pub granted: u64,
    /// Leases taken.
    pub accepted: u64,
    /// Leases that came after their end or a later one, and requests that were overtaken.
    pub stale: u64,
    /// Requests that came while this member did not lead.
    pub misdirected: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Group {
    vote: Vote,
    /// Whose vote this member's is, or who was heard to have another's, and until when that counts. It must end, and is
    /// never told on: members that believed each other's message about a third would go on doing so for ever.
    known_leader: Option<(MemberIndex, Micros)>,
    /// Whose vote others said theirs is when they refused it, and until when that counts.
    refusals: BTreeMap<MemberIndex, (MemberIndex, Micros)>,
    /// Since when this member asks for votes without having them.
    candidate_since: Option<Micros>,
    /// It asks for none until then, so that another candidate may have them.
    backoff_until: Micros,
    votes: Votes,
    /// When each question for votes was sent.
    requests: BTreeMap<u64, Micros>,
    leads: bool,
    /// Since when it answers those that want leases.
    serving_since: Option<Micros>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Budget {
    spec: BudgetSpec,
    demand: Amount,
    unsettled: Amount,
    /// The lease in force, until when, and the question that brought it.
    lease: (Amount, Micros, u64),
    requests: BTreeMap<u64, Micros>,
    ledger: Ledger,
    demands: Demands,
    reserved_only: bool,
}

/// Questions whose answers are still taken; older ones have been asked again.
const MAX_PENDING_REQUESTS: usize = 8;

/// Notes when a question was sent; the oldest are forgotten.
fn record_request(requests: &mut BTreeMap<u64, Micros>, number: u64, now: Micros) {
    requests.insert(number, now);
    while requests.len() > MAX_PENDING_REQUESTS {
        requests.pop_first();
    }
}

/// A member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    index: MemberIndex,
    process: ProcessId,
    /// Which of the configured members are believed to run.
    up: Vec<bool>,
    options: Options,
    groups: Vec<Group>,
    budgets: Vec<Budget>,
    number: u64,
    due: Micros,
    outgoing: Vec<(MemberIndex, Message)>,
    changes: Vec<Change>,
    counters: Counters,
}

/// A member's weight for a group: the highest of those that run is to lead it.
fn weight(member: MemberIndex, group: usize) -> u64 {
    let mut x = (member as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (group as u64 + 1).rotate_left(32);
    for by in [0xbf58_476d_1ce4_e5b9, 0x94d0_49bb_1331_11eb] {
        x = (x ^ (x >> 30)).wrapping_mul(by);
    }
    x ^ (x >> 31)
}

impl Member {
    /// A member at this index of so many that are configured, in this process, with these budgets.
    ///
    /// # Errors
    /// Where a limit is less than its reserved minimums: the budget's index, and by how much.
    pub fn new(
        (index, process): (MemberIndex, ProcessId),
        members: usize,
        specs: &[BudgetSpec],
        now: Micros,
        options: Options,
    ) -> Result<Self, (usize, LimitTooSmall)> {
        for (budget, spec) in specs.iter().enumerate() {
            spec.shared(members).map_err(|e| (budget, e))?;
        }
        let group = |_| Group {
            vote: Vote::new(now, options.vote_us),
            known_leader: None,
            refusals: BTreeMap::new(),
            candidate_since: None,
            backoff_until: 0,
            votes: Votes::default(),
            requests: BTreeMap::new(),
            leads: false,
            serving_since: None,
        };
        let budget = |spec: &BudgetSpec| Budget {
            spec: *spec,
            demand: 0,
            unsettled: 0,
            lease: (0, 0, 0),
            requests: BTreeMap::new(),
            ledger: Ledger::default(),
            demands: Demands::default(),
            reserved_only: false,
        };
        Ok(Member {
            index,
            process,
            up: (0..members).map(|m| m == index).collect(),
            options,
            groups: (0..options.groups.max(1)).map(group).collect(),
            budgets: specs.iter().map(budget).collect(),
            number: 0,
            due: now,
            outgoing: Vec::new(),
            changes: Vec::new(),
            counters: Counters::default(),
        })
    }

    // ---- To be told ----

    /// Whether another member is believed to run.
    pub fn set_up(&mut self, member: MemberIndex, up: bool) {
        if let Some(known) = self.up.get_mut(member).filter(|_| member != self.index) {
            *known = up;
        }
    }

    /// How much of a budget would be spent if it could be, and what is felt still of what was; reserved minimums included.
    pub fn set_demand(&mut self, budget: usize, demand: Amount, unsettled: Amount) {
        if let Some(b) = self.budgets.get_mut(budget) {
            (b.demand, b.unsettled) =
                (demand.saturating_sub(b.spec.reserved), unsettled.saturating_sub(b.spec.reserved));
        }
    }

    /// A budget's limit is another from now on. What was granted of the one before holds until it ends. Reserved minimums, and how
    /// long a spend is felt, belong to a start: votes are given for longer than that.
    ///
    /// # Errors
    /// Where it is less than its reserved minimums; it stays as it was.
    pub fn set_limit(&mut self, budget: usize, limit: Amount) -> Result<(), LimitTooSmall> {
        let Some(b) = self.budgets.get_mut(budget) else { return Ok(()) };
        let next = BudgetSpec { limit, ..b.spec };
        next.shared(self.up.len())?;
        b.spec = next;
        Ok(())
    }

    // ---- To be asked ----

    /// How much of a budget may be spent now, and until when that holds without more message: reserved minimum and lease. It is to be
    /// asked at the moment of each spend.
    pub fn lease(&self, now: Micros, budget: usize) -> (Amount, Micros) {
        let Some(b) = self.budgets.get(budget) else { return (0, Micros::MAX) };
        match b.lease {
            (amount, until, _) if now < until => (b.spec.reserved + amount, until),
            _ => (b.spec.reserved, Micros::MAX),
        }
    }

    /// Whether this member leads a group: more than half of all vote for it.
    pub fn leads(&self, now: Micros, group: usize) -> bool {
        self.groups.get(group).is_some_and(|g| g.votes.majority_until(self.up.len()) > now)
    }

    /// What this member wants of a budget beyond its reserved minimum, and has out.
    pub fn demand(&self, budget: usize) -> (Amount, Amount) {
        self.budgets.get(budget).map_or((0, 0), |b| (b.demand, b.unsettled))
    }

    /// Its process.
    pub fn process(&self) -> ProcessId {
        self.process
    }

    /// A budget as it is set here.
    pub fn spec(&self, budget: usize) -> Option<BudgetSpec> {
        self.budgets.get(budget).map(|b| b.spec)
    }

    /// What this member has granted of a budget and may be felt still, by holder; reserved minimums are not in it.
    pub fn granted_leases(&self, budget: usize) -> Vec<(MemberIndex, Amount)> {
        self.budgets
            .get(budget)
            .map_or_else(Vec::new, |b| b.ledger.outstanding_by_holder().filter(|(_, a)| *a > 0).collect())
    }

    /// The group of a budget.
    pub fn group(&self, budget: usize) -> usize {
        budget % self.groups.len()
    }

    /// Who leads a group, as far as this member knows.
    pub fn allocator(&self, now: Micros, group: usize) -> MemberIndex {
        if self.leads(now, group) {
            return self.index;
        }
        // Whoever has the votes goes on: a member that comes back must not take them away.
        let known = self.groups.get(group).and_then(|g| g.known_leader).filter(|(_, until)| now < *until);
        let up = (0..self.up.len()).filter(|member| self.up[*member]);
        let best = || up.max_by_key(|member| weight(*member, group)).unwrap_or(self.index);
        known.map_or_else(best, |(member, _)| member)
    }

    /// Counts so far.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Words to be sent.
    pub fn outgoing(&mut self) -> Vec<(MemberIndex, Message)> {
        std::mem::take(&mut self.outgoing)
    }

    /// What has changed.
    pub fn changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// When `tick` has something to do.
    pub fn due(&self) -> Micros {
        self.due
    }

    // ---- Time ----

    /// Asks for votes where this member is to lead, and for leases of whoever does.
    pub fn tick(&mut self, now: Micros) {
        if now < self.due {
            return;
        }
        self.due = now + self.options.request_interval_us;
        for group in 0..self.groups.len() {
            if self.allocator(now, group) == self.index {
                self.request_votes(now, group);
            } else {
                self.groups[group].candidate_since = None;
            }
            self.report_leads(now, group);
        }
        for budget in 0..self.budgets.len() {
            let allocator = self.allocator(now, self.group(budget));
            self.number += 1;
            let number = self.number;
            let b = &mut self.budgets[budget];
            record_request(&mut b.requests, number, now);
            let request = Message::LeaseRequest {
                budget,
                number,
                demand: b.demand,
                current_lease: b.lease.2,
                unsettled: b.unsettled,
            };
            self.send(now, allocator, request);
            self.report_reserved_only(now, budget);
        }
    }

    /// Asks for votes. Candidates that share them out among themselves would renew them for ever and none would have
    /// enough: one that does not get them rests, each for a time of its own, until they are over.
    fn request_votes(&mut self, now: Micros, group: usize) {
        let (leads, vote_us) = (self.leads(now, group), self.options.vote_us);
        let g = &mut self.groups[group];
        if now < g.backoff_until {
            return;
        }
        let since = *g.candidate_since.get_or_insert(now);
        if leads {
            g.candidate_since = Some(now);
        } else if now >= since + (2 + g.votes.count(now)) * vote_us {
            // The fewer it has the sooner, so that they come together.
            let own = weight(self.index, group) ^ self.process.rotate_left(17) ^ self.number;
            (g.candidate_since, g.backoff_until) = (None, now + vote_us + own % vote_us.max(1));
            return;
        }
        self.number += 1;
        let number = self.number;
        record_request(&mut self.groups[group].requests, number, now);
        for member in 0..self.up.len() {
            // All that are configured, as more than half of all must vote, and who runs is a belief.
            self.send(now, member, Message::VoteRequest { group, number });
        }
    }

    fn report_leads(&mut self, now: Micros, group: usize) {
        let begins = self.leads(now, group);
        if std::mem::replace(&mut self.groups[group].leads, begins) != begins {
            self.changes.push(Change::Leads { group, begins });
        }
    }

    fn report_reserved_only(&mut self, now: Micros, budget: usize) {
        let b = &mut self.budgets[budget];
        let begins = now >= b.lease.1;
        if std::mem::replace(&mut b.reserved_only, begins) != begins {
            self.changes.push(Change::ReservedOnly { budget, begins });
        }
    }

    /// Sends a message; one to itself is heard at once.
    fn send(&mut self, now: Micros, to: MemberIndex, message: Message) {
        if to == self.index {
            self.receive(now, (self.index, self.process), message);
        } else {
            self.outgoing.push((to, message));
        }
    }

    // ---- Words ----

    /// Takes in a message of a member in one of its processes. `now` is when it was read: what is granted on it counts from
    /// the holder's question, so that a process which stands still before it sends the answer grants nothing late.
    pub fn receive(&mut self, now: Micros, from: Candidate, message: Message) {
        if from.0 >= self.up.len() {
            return;
        }
        match message {
            Message::VoteRequest { group, number } => self.receive_vote_request(now, from, group, number),
            Message::VoteResponse { group, number, granted, voted_for } => {
                self.receive_vote_response(now, from.0, (group, number), granted, voted_for)
            }
            Message::LeaseRequest { budget, number, demand, current_lease, unsettled } => {
                let request =
                    LeaseRequest { holder: from.0, process: from.1, number, current_lease, unsettled };
                self.receive_lease_request(now, budget, request, demand);
            }
            Message::LeaseGrant { budget, number, amount, duration_us } => {
                self.receive_lease_grant(now, (budget, number), amount, duration_us);
            }
        }
    }

    fn receive_vote_request(&mut self, now: Micros, from: Candidate, group: usize, number: u64) {
        let (vote_us, own) = (self.options.vote_us, self.index);
        let leads = self.leads(now, group);
        let Some(g) = self.groups.get_mut(group) else { return };
        let granted = g.vote.request(now, from, vote_us);
        // A candidate that has not the votes gives way to one that comes before it; should that one not get them either,
        // it rests.
        let is_candidate = g.known_leader.is_none_or(|(leader, until)| leader == own || now >= until);
        let yields = !leads && is_candidate && weight(from.0, group) > weight(own, group);
        if granted || yields {
            g.known_leader = Some((from.0, now + vote_us));
        }
        let voted_for = g.vote.voted_for(now);
        self.send(now, from.0, Message::VoteResponse { group, number, granted, voted_for });
    }

    fn receive_vote_response(
        &mut self,
        now: Micros,
        from: MemberIndex,
        (group, number): (usize, u64),
        granted: bool,
        voted_for: Option<MemberIndex>,
    ) {
        let (vote_us, own, members) = (self.options.vote_us, self.index, self.up.len());
        let counted = self.options.shortened_by_drift(vote_us);
        let Some(g) = self.groups.get_mut(group) else { return };
        let Some(sent) = g.requests.get(&number) else { return };
        match (granted, voted_for) {
            (true, _) => {
                g.refusals.remove(&from);
                g.votes.add(from, sent + counted);
            }
            // Where more than half say so another leads, and leases are asked of that one.
            (false, Some(leader)) if leader != own => {
                g.refusals.insert(from, (leader, now + vote_us));
                let same = g
                    .refusals
                    .values()
                    .filter(|(voted_for, until)| *voted_for == leader && now < *until)
                    .count();
                if same > members / 2 && g.votes.majority_until(members) <= now {
                    g.known_leader = Some((leader, now + vote_us));
                }
            }
            _ => {}
        }
    }

    fn receive_lease_request(&mut self, now: Micros, budget: usize, request: LeaseRequest, demand: Amount) {
        let (members, options, group) = (self.up.len(), self.options, self.group(budget));
        let Some(b) = self.budgets.get_mut(budget) else { return };
        // What is spent at the last moment of a lease is felt before the votes are over, too.
        let settling_us = options.extended_by_drift(b.spec.settling_us);
        let votes = self.groups[group].votes.majority_until(members).saturating_sub(settling_us);
        let until = votes.min(now + options.lease_us);
        if until <= now {
            self.groups[group].serving_since = None;
            self.counters.misdirected += 1;
            return;
        }
        let serving_since = *self.groups[group].serving_since.get_or_insert(now);
        if !b.ledger.record(now, request) {
            self.counters.stale += 1;
            return;
        }
        let holder = request.holder;
        let shared = b.spec.shared(members).unwrap_or(0);
        b.demands.set(now, holder, demand, options.lease_us);
        let (mut share, held) = (b.demands.fair_share(holder, shared), b.ledger.outstanding(holder));
        if now < serving_since + 2 * options.request_interval_us {
            // Not all have asked this allocator yet: the first must not get what the others will want.
            share = share.min(shared / members as u64);
        }
        // Up at once, as far as there is room; down by halves, so that no lease swings with each question.
        let due = if share < held && demand > 0 { share + (held - share) / 2 } else { share };
        let amount = b.ledger.grant(request, due, shared, until + settling_us);
        self.counters.granted += 1;
        self.send(
            now,
            holder,
            Message::LeaseGrant { budget, number: request.number, amount, duration_us: until - now },
        );
    }

    fn receive_lease_grant(
        &mut self,
        now: Micros,
        (budget, number): (usize, u64),
        amount: Amount,
        duration_us: Micros,
    ) {
        let counted = self.options.shortened_by_drift(duration_us.min(self.options.lease_us));
        let Some(b) = self.budgets.get_mut(budget) else { return };
        let until = b.requests.remove(&number).map_or(0, |sent| sent + counted);
        if number < b.lease.2 || until <= now {
            self.counters.stale += 1;
            return;
        }
        b.lease = (amount, until, number);
        self.counters.accepted += 1;
        self.report_reserved_only(now, budget);
    }
}
