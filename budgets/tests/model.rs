//! Model check of the leases, on the real types: three members, one budget, messages that are lost, duplicated, delayed and
//! reordered, members that stall or restart at any step. The sum of all leases in force is never over the limit.

use linnetknot_budgets::spec::BudgetSpec;
use linnetknot_budgets::*;
use stateright::{Checker, HasDiscoveries, Model, Property, UniformChooser};

const MEMBERS: usize = 3;
/// A step of time, which is how often members ask.
const STEP_US: Micros = 10;
const SPEC: BudgetSpec = BudgetSpec {
    limit: 100,
    reserved: 5,
    settling_us: STEP_US,
};
/// Words under way at a time; the oldest is lost when there are more.
const MAX_IN_FLIGHT: usize = 8;
/// Who stands still does so for longer than votes last.
const STALL_US: Micros = 13 * STEP_US;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlantedBug {
    None,
    /// A member that starts votes at once, whomever it voted for before.
    VotesAtStart,
    /// It starts in the process that it had, and so still has the votes that it was given.
    ReusesProcessId,
    /// A holder is taken to go by the response to its last request, whether that came or not.
    AssumesDelivery,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    member: Member,
    process: ProcessId,
    /// It stands still, and goes on at some moment behind this.
    stalled_until: Option<Micros>,
}

/// A message on its way.
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
    /// Those on their way.
    messages: Vec<Envelope>,
    /// The allocator in calm.
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
    /// Whether it then believes that nobody else runs.
    Restart(usize, bool),
    Stall(usize),
    Resume(usize),
    /// From now on this one wants anything, and the others nothing.
    Demand(usize),
}

struct LeaseModel {
    planted_bug: PlantedBug,
    /// So many of each.
    max_faults: u8,
}

impl State {
    /// In thousandths it would be more exact; nothing here is less than one.
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
        .expect("it fits");
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

    /// All have run in calm until leases are in force.
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
                actions.extend([true, false].map(|believes_alone| Action::Restart(n, believes_alone)));
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
                let process =
                    state.nodes[n].process + u64::from(self.planted_bug != PlantedBug::ReusesProcessId);
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
            Property::always("the sum is never over the limit", |_, state: &State| {
                state.in_force() <= SPEC.limit
            }),
            Property::always("one leads at a time", |_, state: &State| {
                (0..MEMBERS).filter(|n| state.leads(*n)).count() <= 1
            }),
            Property::sometimes("leases flow again after a start", |_, state: &State| {
                state.restarts > 0
                    && state.in_force() >= 90
                    && !state.nodes.iter().any(|node| node.stalled_until.is_some())
            }),
            Property::sometimes("another leads", |_, state: &State| {
                (0..MEMBERS).any(|n| state.leads(n) && Some(n) != state.initial_allocator)
            }),
        ]
    }
}

const SAFETY_PROPERTIES: [&str; 2] = ["the sum is never over the limit", "one leads at a time"];

fn discoveries<C: Checker<LeaseModel>>(name: &str, checker: &C) -> Vec<&'static str> {
    let (unique, all) = (checker.unique_state_count(), checker.state_count());
    println!(
        "{name}: {unique} unique of {all} states, {} deep",
        checker.max_depth()
    );
    checker.discoveries().into_keys().collect()
}

/// Long walks drawn from a seed.
fn random_walks(planted_bug: PlantedBug, states: usize) -> Vec<&'static str> {
    let checker = LeaseModel { planted_bug, max_faults: 3 }.checker().threads(1);
    let checker = checker.target_max_depth(300).target_state_count(states);
    let checker = checker
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_simulation(7, UniformChooser)
        .join();
    discoveries(&format!("{planted_bug:?}, walks"), &checker)
}

#[test]
fn breadth_first_search_finds_no_violation() {
    let checker = LeaseModel {
        planted_bug: PlantedBug::None,
        max_faults: 1,
    }
    .checker()
    .threads(2);
    let checker = checker.target_state_count(300_000);
    let checker = checker
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let discoveries = discoveries("all", &checker);
    assert!(!discoveries.iter().any(|name| SAFETY_PROPERTIES.contains(name)), "{discoveries:?}");
    assert!(checker.max_depth() >= 6, "{}", checker.max_depth());
}

#[test]
fn random_walks_find_no_violation_and_leases_are_granted_after_a_restart() {
    let discoveries = random_walks(PlantedBug::None, 2_000_000);
    assert!(!discoveries.iter().any(|name| SAFETY_PROPERTIES.contains(name)), "{discoveries:?}");
    for expected in ["leases flow again after a start", "another leads"] {
        assert!(discoveries.contains(&expected), "{expected}: {discoveries:?}");
    }
}

#[test]
fn each_planted_bug_is_detected() {
    for planted_bug in [PlantedBug::VotesAtStart, PlantedBug::ReusesProcessId, PlantedBug::AssumesDelivery] {
        let discoveries = random_walks(planted_bug, 4_000_000);
        assert!(
            discoveries.iter().any(|name| SAFETY_PROPERTIES.contains(name)),
            "{planted_bug:?}: {discoveries:?}"
        );
    }
}
