//! Model check of the leases, on the real types: three members, one budget, messages that are lost, duplicated, delayed and
//! reordered, members that stall or restart at any step. The sum of all leases in force is never over the limit.

use linnetknot_budgets::spec::BudgetSpec;
use linnetknot_budgets::*;
use stateright::{Checker, HasDiscoveries, Model, Property, UniformChooser};

const ALL: usize = 3;
/// A step of time, which is how often members ask.
const STEP: Micros = 10;
const SPEC: BudgetSpec = BudgetSpec {
    limit: 100,
    reserved: 5,
    settling_us: STEP,
};
/// Words under way at a time; the oldest is lost when there are more.
const MAX_IN_FLIGHT: usize = 8;
/// Who stands still does so for longer than votes last.
const STALL: Micros = 13 * STEP;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Planted {
    Nothing,
    /// A member that starts votes at once, whomever it voted for before.
    NoSilence,
    /// It starts in the process that it had, and so still has the votes that it was given.
    SameProcess,
    /// A holder is taken to go by the response to its last request, whether that came or not.
    GivesUp,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    member: Member,
    process: ProcessId,
    /// It stands still, and goes on at some moment behind this.
    stalled: Option<Micros>,
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
    first: Option<MemberIndex>,
    demanding: MemberIndex,
    turns: u8,
    crashes: u8,
    stalls: u8,
    doubled: u8,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Action {
    Pass,
    Deliver(usize),
    Double(usize),
    /// Whether it then believes that nobody else runs.
    Crash(usize, bool),
    Stall(usize),
    GoOn(usize),
    /// From now on this one wants anything, and the others nothing.
    Demand(usize),
}

struct Leases {
    planted: Planted,
    /// So many of each.
    faults: u8,
}

impl State {
    /// In thousandths it would be more exact; nothing here is less than one.
    fn in_force(&self) -> Amount {
        let beyond = |node: &Node| node.member.lease(self.now, 0).amount - SPEC.reserved;
        ALL as Amount * SPEC.reserved + self.nodes.iter().map(beyond).sum::<Amount>()
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
        let over = self.messages.len().saturating_sub(MAX_IN_FLIGHT);
        self.messages.drain(..over);
    }
}

impl Leases {
    fn member(&self, n: usize, process: ProcessId, now: Micros) -> Member {
        let options = Options {
            vote_duration_us: 10 * STEP,
            max_lease_us: 8 * STEP,
            request_interval_us: STEP,
            drift_ppm: 0,
            groups: 1,
        };
        let mut member = Member::new(
            MemberProcess { member: n, process },
            ALL,
            &[SPEC],
            now,
            options.with_settling_time(SPEC.settling_us),
        )
        .expect("it fits");
        (0..ALL).for_each(|m| member.set_member_up(m, true));
        member
    }

    fn pass(state: &mut State) {
        state.now += STEP;
        for n in 0..ALL {
            if state.nodes[n].stalled.is_none() {
                let demand = if n == state.demanding { 1_000 } else { 0 };
                state.nodes[n].member.set_demand(0, demand, 0);
                state.nodes[n].member.tick(state.now);
                state.send(n);
            }
        }
    }

    fn deliver(&self, state: &mut State, Envelope { from, to, message }: Envelope) {
        let message = match message {
            Message::LeaseRequest(request) if self.planted == Planted::GivesUp => {
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
    fn calm(&self) -> State {
        let node = |n| Node {
            member: self.member(n, 1, 0),
            process: 1,
            stalled: None,
        };
        let nodes = (0..ALL).map(node).collect();
        let mut state = State {
            now: 0,
            nodes,
            messages: Vec::new(),
            first: None,
            demanding: 1,
            turns: 0,
            crashes: 0,
            stalls: 0,
            doubled: 0,
        };
        for _ in 0..25 {
            Self::pass(&mut state);
            while !state.messages.is_empty() {
                let message = state.messages.remove(0);
                self.deliver(&mut state, message);
            }
        }
        state.first = (0..ALL).find(|n| state.leads(*n));
        assert!(
            state.first.is_some_and(|n| n != state.demanding) && state.in_force() > 90,
            "{state:?}"
        );
        state
    }
}

impl Model for Leases {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![self.calm()]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        actions.push(Action::Pass);
        for (n, envelope) in state.messages.iter().enumerate() {
            if state.nodes[envelope.to].stalled.is_none() {
                actions.push(Action::Deliver(n));
                if state.doubled < self.faults {
                    actions.push(Action::Double(n));
                }
            }
        }
        if state.turns < self.faults {
            actions.extend(
                (0..ALL)
                    .filter(|n| *n != state.demanding)
                    .map(Action::Demand),
            );
        }
        for (n, node) in state.nodes.iter().enumerate() {
            if let Some(until) = node.stalled {
                actions.extend((state.now >= until).then_some(Action::GoOn(n)));
                continue;
            }
            if state.stalls < self.faults {
                actions.push(Action::Stall(n));
            }
            if state.crashes < self.faults {
                actions.extend([true, false].map(|alone| Action::Crash(n, alone)));
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Pass => Self::pass(&mut state),
            Action::Deliver(n) => {
                let message = state.messages.remove(n);
                self.deliver(&mut state, message);
            }
            Action::Double(n) => {
                state.doubled += 1;
                let message = state.messages[n];
                self.deliver(&mut state, message);
            }
            Action::Crash(n, alone) => {
                state.crashes += 1;
                let process =
                    state.nodes[n].process + u64::from(self.planted != Planted::SameProcess);
                let now = if self.planted == Planted::NoSilence {
                    0
                } else {
                    state.now
                };
                let mut member = self.member(n, process, now);
                (0..ALL).for_each(|m| member.set_member_up(m, !alone));
                state.nodes[n] = Node {
                    member,
                    process,
                    stalled: None,
                };
            }
            Action::Stall(n) => {
                state.stalls += 1;
                state.nodes[n].stalled = Some(state.now + STALL);
            }
            Action::GoOn(n) => state.nodes[n].stalled = None,
            Action::Demand(n) => (state.demanding, state.turns) = (n, state.turns + 1),
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("the sum is never over the limit", |_, state: &State| {
                state.in_force() <= SPEC.limit
            }),
            Property::always("one leads at a time", |_, state: &State| {
                (0..ALL).filter(|n| state.leads(*n)).count() <= 1
            }),
            Property::sometimes("leases flow again after a start", |_, state: &State| {
                state.crashes > 0
                    && state.in_force() >= 90
                    && !state.nodes.iter().any(|node| node.stalled.is_some())
            }),
            Property::sometimes("another leads", |_, state: &State| {
                (0..ALL).any(|n| state.leads(n) && Some(n) != state.first)
            }),
        ]
    }
}

const FAILURES: [&str; 2] = ["the sum is never over the limit", "one leads at a time"];

fn seen<C: Checker<Leases>>(name: &str, checker: &C) -> Vec<&'static str> {
    let (unique, all) = (checker.unique_state_count(), checker.state_count());
    println!(
        "{name}: {unique} unique of {all} states, {} deep",
        checker.max_depth()
    );
    checker.discoveries().into_keys().collect()
}

/// Long walks drawn from a seed.
fn walk(planted: Planted, states: usize) -> Vec<&'static str> {
    let checker = Leases { planted, faults: 3 }.checker().threads(1);
    let checker = checker.target_max_depth(300).target_state_count(states);
    let checker = checker
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_simulation(7, UniformChooser)
        .join();
    seen(&format!("{planted:?}, walks"), &checker)
}

#[test]
fn no_state_within_reach_of_calm_has_more_in_force_than_the_limit() {
    let checker = Leases {
        planted: Planted::Nothing,
        faults: 1,
    }
    .checker()
    .threads(2);
    let checker = checker.target_state_count(300_000);
    let checker = checker
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let seen = seen("all", &checker);
    assert!(!seen.iter().any(|name| FAILURES.contains(name)), "{seen:?}");
    assert!(checker.max_depth() >= 6, "{}", checker.max_depth());
}

#[test]
fn nor_does_any_state_of_many_long_walks_and_leases_flow_again() {
    let seen = walk(Planted::Nothing, 2_000_000);
    assert!(!seen.iter().any(|name| FAILURES.contains(name)), "{seen:?}");
    for expected in ["leases flow again after a start", "another leads"] {
        assert!(seen.contains(&expected), "{expected}: {seen:?}");
    }
}

#[test]
fn what_is_left_out_is_found() {
    for planted in [Planted::NoSilence, Planted::SameProcess, Planted::GivesUp] {
        let seen = walk(planted, 4_000_000);
        assert!(
            seen.iter().any(|name| FAILURES.contains(name)),
            "{planted:?}: {seen:?}"
        );
    }
}
