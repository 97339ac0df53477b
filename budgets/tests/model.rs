//! Model check of the leases with the production types, for three members and one budget. Messages are lost,
//! duplicated, delayed and reordered, and members stall or restart at any step. The sum of all leases in force must
//! never exceed the limit.

use linnetknot_budgets::spec::BudgetSpec;
use linnetknot_budgets::*;
use stateright::{Checker, HasDiscoveries, Model, Property, UniformChooser};

const MEMBERS: usize = 3;
/// The step by which time advances, which is also the request interval.
const STEP_US: Micros = 10;
const SPEC: BudgetSpec = BudgetSpec {
    limit: 100,
    reserved: 5,
    settling_us: STEP_US,
};
/// The maximum number of messages in flight. When it is exceeded, the oldest messages are lost.
const MAX_IN_FLIGHT: usize = 8;
/// The duration of a stall, which is longer than the duration of a vote.
const STALL_US: Micros = 13 * STEP_US;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlantedBug {
    NoBug,
    /// A restarted member votes at once, although its earlier vote may not have expired.
    VotesAtStart,
    /// A restarted member reuses its process id, so that it keeps its votes although its grants are lost.
    ReusesProcessId,
    /// The allocator assumes that each holder has received the response to its previous request.
    AssumesDelivery,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    member: Member,
    process: ProcessId,
    /// The time from which a stalled member can resume.
    stalled_until: Option<Micros>,
}

/// A message in flight, with its sender and receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Envelope {
    from: MemberProcess,
    to: MemberIndex,
    message: Message,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: Micros,
    nodes: Vec<Node>,
    /// The messages in flight, oldest first.
    messages: Vec<Envelope>,
    /// The allocator in the initial state, or `None` if no member is elected yet.
    initial_allocator: Option<MemberIndex>,
    demander: MemberIndex,
    demand_moves: u8,
    restarts: u8,
    stalls: u8,
    duplicates: u8,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Action {
    AdvanceTime,
    Deliver(usize),
    DeliverDuplicate(usize),
    /// Restarts a member. The flag states whether the member then considers all other members down.
    Restart(usize, bool),
    Stall(usize),
    Resume(usize),
    /// Makes this member the only member with a demand.
    Demand(usize),
}

struct LeaseModel {
    planted_bug: PlantedBug,
    /// The maximum number of faults of each kind.
    max_faults: u8,
}

impl State {
    /// Returns the sum of all reserved minimums and leases in force.
    fn in_force(&self) -> Amount {
        let beyond_reserved = |node: &Node| node.member.lease(self.now, 0).amount - SPEC.reserved;
        MEMBERS as Amount * SPEC.reserved + self.nodes.iter().map(beyond_reserved).sum::<Amount>()
    }

    fn leads(&self, n: usize) -> bool {
        self.nodes[n].member.leads(self.now, 0)
    }

    fn send(&mut self, n: usize) {
        let from = MemberProcess {
            member: n,
            process: self.nodes[n].process,
        };
        let outgoing = self.nodes[n].member.take_outgoing();
        self.messages.extend(
            outgoing
                .into_iter()
                .map(|Outgoing { to, message }| Envelope { from, to, message }),
        );
        self.nodes[n].member.take_changes();
        let excess = self.messages.len().saturating_sub(MAX_IN_FLIGHT);
        self.messages.drain(..excess);
    }
}

impl LeaseModel {
    fn member(&self, n: usize, process: ProcessId, now: Micros) -> Member {
        let options = Options {
            vote_duration_us: 10 * STEP_US,
            max_lease_us: 8 * STEP_US,
            request_interval_us: STEP_US,
            drift_ppm: 0,
            groups: 1,
        };
        let mut member = Member::new(
            MemberProcess { member: n, process },
            MEMBERS,
            &[SPEC],
            now,
            options.with_settling_time(SPEC.settling_us),
        )
        .expect("the limit covers the reserved minimums");
        (0..MEMBERS).for_each(|m| member.set_member_up(m, true));
        member
    }

    fn advance_time(state: &mut State) {
        state.now += STEP_US;
        for n in 0..MEMBERS {
            if state.nodes[n].stalled_until.is_none() {
                let demand = if n == state.demander { 1_000 } else { 0 };
                state.nodes[n].member.set_demand(0, demand, 0);
                state.nodes[n].member.tick(state.now);
                state.send(n);
            }
        }
    }

    fn deliver(&self, state: &mut State, Envelope { from, to, message }: Envelope) {
        let message = match message {
            Message::LeaseRequest(request) if self.planted_bug == PlantedBug::AssumesDelivery => {
                Message::LeaseRequest(LeaseRequest {
                    current_lease: request.number - 1,
                    ..request
                })
            }
            message => message,
        };
        state.nodes[to].member.receive(state.now, from, message);
        state.send(to);
    }

    /// Returns the state after the members have run without faults until leases are in force.
    fn steady_state(&self) -> State {
        let node = |n| Node {
            member: self.member(n, 1, 0),
            process: 1,
            stalled_until: None,
        };
        let nodes = (0..MEMBERS).map(node).collect();
        let mut state = State {
            now: 0,
            nodes,
            messages: Vec::new(),
            initial_allocator: None,
            demander: 1,
            demand_moves: 0,
            restarts: 0,
            stalls: 0,
            duplicates: 0,
        };
        for _ in 0..25 {
            Self::advance_time(&mut state);
            while !state.messages.is_empty() {
                let message = state.messages.remove(0);
                self.deliver(&mut state, message);
            }
        }
        state.initial_allocator = (0..MEMBERS).find(|n| state.leads(*n));
        assert!(
            state.initial_allocator.is_some_and(|n| n != state.demander) && state.in_force() > 90,
            "{state:?}"
        );
        state
    }
}

impl Model for LeaseModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![self.steady_state()]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        actions.push(Action::AdvanceTime);
        for (n, envelope) in state.messages.iter().enumerate() {
            if state.nodes[envelope.to].stalled_until.is_none() {
                actions.push(Action::Deliver(n));
                if state.duplicates < self.max_faults {
                    actions.push(Action::DeliverDuplicate(n));
                }
            }
        }
        if state.demand_moves < self.max_faults {
            actions.extend(
                (0..MEMBERS)
                    .filter(|n| *n != state.demander)
                    .map(Action::Demand),
            );
        }
        for (n, node) in state.nodes.iter().enumerate() {
            if let Some(until) = node.stalled_until {
                actions.extend((state.now >= until).then_some(Action::Resume(n)));
                continue;
            }
            if state.stalls < self.max_faults {
                actions.push(Action::Stall(n));
            }
            if state.restarts < self.max_faults {
                actions
                    .extend([true, false].map(|believes_alone| Action::Restart(n, believes_alone)));
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::AdvanceTime => Self::advance_time(&mut state),
            Action::Deliver(n) => {
                let message = state.messages.remove(n);
                self.deliver(&mut state, message);
            }
            Action::DeliverDuplicate(n) => {
                state.duplicates += 1;
                let message = state.messages[n];
                self.deliver(&mut state, message);
            }
            Action::Restart(n, believes_alone) => {
                state.restarts += 1;
                let process = state.nodes[n].process
                    + u64::from(self.planted_bug != PlantedBug::ReusesProcessId);
                let now = if self.planted_bug == PlantedBug::VotesAtStart {
                    0
                } else {
                    state.now
                };
                let mut member = self.member(n, process, now);
                (0..MEMBERS).for_each(|m| member.set_member_up(m, !believes_alone));
                state.nodes[n] = Node {
                    member,
                    process,
                    stalled_until: None,
                };
            }
            Action::Stall(n) => {
                state.stalls += 1;
                state.nodes[n].stalled_until = Some(state.now + STALL_US);
            }
            Action::Resume(n) => state.nodes[n].stalled_until = None,
            Action::Demand(n) => (state.demander, state.demand_moves) = (n, state.demand_moves + 1),
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("leases never exceed the limit", |_, state: &State| {
                state.in_force() <= SPEC.limit
            }),
            Property::always("at most one member leads", |_, state: &State| {
                (0..MEMBERS).filter(|n| state.leads(*n)).count() <= 1
            }),
            Property::sometimes("leases are granted after a restart", |_, state: &State| {
                state.restarts > 0
                    && state.in_force() >= 90
                    && !state.nodes.iter().any(|node| node.stalled_until.is_some())
            }),
            Property::sometimes("the allocator changes", |_, state: &State| {
                (0..MEMBERS).any(|n| state.leads(n) && Some(n) != state.initial_allocator)
            }),
        ]
    }
}

const SAFETY_PROPERTIES: [&str; 2] = ["leases never exceed the limit", "at most one member leads"];

fn report_discoveries<C: Checker<LeaseModel>>(name: &str, checker: &C) -> Vec<&'static str> {
    let (unique, all) = (checker.unique_state_count(), checker.state_count());
    println!(
        "{name}: {unique} unique of {all} states, depth {}",
        checker.max_depth()
    );
    checker.discoveries().into_keys().collect()
}

/// Checks long random walks from a fixed seed.
fn random_walks(planted_bug: PlantedBug, states: usize) -> Vec<&'static str> {
    let checker = LeaseModel {
        planted_bug,
        max_faults: 3,
    }
    .checker()
    .threads(1);
    let checker = checker.target_max_depth(300).target_state_count(states);
    let checker = checker
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_simulation(7, UniformChooser)
        .join();
    report_discoveries(&format!("{planted_bug:?}, random walks"), &checker)
}

#[test]
fn breadth_first_search_finds_no_violation() {
    let checker = LeaseModel {
        planted_bug: PlantedBug::NoBug,
        max_faults: 1,
    }
    .checker()
    .threads(2);
    let checker = checker.target_state_count(300_000);
    let checker = checker
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let discoveries = report_discoveries("breadth-first search", &checker);
    assert!(
        !discoveries
            .iter()
            .any(|name| SAFETY_PROPERTIES.contains(name)),
        "{discoveries:?}"
    );
    assert!(checker.max_depth() >= 6, "{}", checker.max_depth());
}

#[test]
fn random_walks_find_no_violation_and_leases_are_granted_after_a_restart() {
    let discoveries = random_walks(PlantedBug::NoBug, 2_000_000);
    assert!(
        !discoveries
            .iter()
            .any(|name| SAFETY_PROPERTIES.contains(name)),
        "{discoveries:?}"
    );
    for expected in [
        "leases are granted after a restart",
        "the allocator changes",
    ] {
        assert!(
            discoveries.contains(&expected),
            "{expected}: {discoveries:?}"
        );
    }
}

#[test]
fn each_planted_bug_is_detected() {
    for planted_bug in [
        PlantedBug::VotesAtStart,
        PlantedBug::ReusesProcessId,
        PlantedBug::AssumesDelivery,
    ] {
        let discoveries = random_walks(planted_bug, 4_000_000);
        assert!(
            discoveries
                .iter()
                .any(|name| SAFETY_PROPERTIES.contains(name)),
            "{planted_bug:?}: {discoveries:?}"
        );
    }
}
