//! Model check of the leases, on the real types: three members, one budget, words lost, doubled, late and in any order, a
//! member that stands still, one that starts again at any step. The sum of all parts in force is never over the whole.

use linnetknot_budgets::limit::Whole;
use linnetknot_budgets::*;
use stateright::{Checker, HasDiscoveries, Model, Property, UniformChooser};

const ALL: usize = 3;
/// A step of time, which is how often members ask.
const STEP: Micros = 10;
const WHOLE: Whole = Whole { whole: 100, floor: 5, felt_us: STEP };
/// Words under way at a time; the oldest is lost when there are more.
const MAX_DATAGRAM_BYTES: usize = 8;
/// Who stands still does so for longer than votes last.
const STALL: Micros = 13 * STEP;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Planted {
    Nothing,
    /// A member that starts votes at once, whomever it voted for before.
    NoSilence,
    /// It starts in the life that it had, and so still has the votes that it was given.
    SameLife,
    /// A holder is taken to go by the answer to its last question, whether that came or not.
    GivesUp,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    member: Member,
    life: Life,
    /// It stands still, and goes on at some moment behind this.
    stalled: Option<Micros>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: Micros,
    nodes: Vec<Node>,
    /// From whom, in which life, to whom.
    words: Vec<(Place, Life, Place, Word)>,
    /// Who divided in calm.
    first: Option<Place>,
    wants: Place,
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
    Want(usize),
}

struct Leases {
    planted: Planted,
    /// So many of each.
    faults: u8,
}

impl State {
    /// In thousandths it would be more exact; nothing here is less than one.
    fn in_force(&self) -> Amount {
        let beyond = |node: &Node| node.member.part(self.now, 0).0 - WHOLE.floor;
        ALL as Amount * WHOLE.floor + self.nodes.iter().map(beyond).sum::<Amount>()
    }

    fn divides(&self, n: usize) -> bool {
        self.nodes[n].member.divides(self.now, 0)
    }

    fn send(&mut self, n: usize) {
        let (life, sends) = (self.nodes[n].life, self.nodes[n].member.sends());
        self.words.extend(sends.into_iter().map(|(to, word)| (n, life, to, word)));
        self.nodes[n].member.changes();
        let over = self.words.len().saturating_sub(MAX_DATAGRAM_BYTES);
        self.words.drain(..over);
    }
}

impl Leases {
    fn member(&self, n: usize, life: Life, now: Micros) -> Member {
        let options =
            Options { vote_us: 10 * STEP, lease_us: 8 * STEP, ask_us: STEP, drift_ppm: 0, groups: 1 };
        let mut member =
            Member::new((n, life), ALL, &[WHOLE], now, options.felt_for(WHOLE.felt_us)).expect("it fits");
        (0..ALL).for_each(|m| member.believe(m, true));
        member
    }

    fn pass(state: &mut State) {
        state.now += STEP;
        for n in 0..ALL {
            if state.nodes[n].stalled.is_none() {
                let wanted = if n == state.wants { 1_000 } else { 0 };
                state.nodes[n].member.want(0, wanted, 0);
                state.nodes[n].member.tick(state.now);
                state.send(n);
            }
        }
    }

    fn deliver(&self, state: &mut State, (from, life, to, word): (Place, Life, Place, Word)) {
        let word = match word {
            Word::Want { budget, number, wanted, felt, .. } if self.planted == Planted::GivesUp => {
                Word::Want { budget, number, wanted, of: number - 1, felt }
            }
            word => word,
        };
        state.nodes[to].member.hear(state.now, (from, life), word);
        state.send(to);
    }

    /// All have run in calm until parts are in force.
    fn calm(&self) -> State {
        let node = |n| Node { member: self.member(n, 1, 0), life: 1, stalled: None };
        let nodes = (0..ALL).map(node).collect();
        let mut state = State {
            now: 0,
            nodes,
            words: Vec::new(),
            first: None,
            wants: 1,
            turns: 0,
            crashes: 0,
            stalls: 0,
            doubled: 0,
        };
        for _ in 0..25 {
            Self::pass(&mut state);
            while !state.words.is_empty() {
                let word = state.words.remove(0);
                self.deliver(&mut state, word);
            }
        }
        state.first = (0..ALL).find(|n| state.divides(*n));
        assert!(state.first.is_some_and(|n| n != state.wants) && state.in_force() > 90, "{state:?}");
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
        for (n, (.., to, _)) in state.words.iter().enumerate() {
            if state.nodes[*to].stalled.is_none() {
                actions.push(Action::Deliver(n));
                if state.doubled < self.faults {
                    actions.push(Action::Double(n));
                }
            }
        }
        if state.turns < self.faults {
            actions.extend((0..ALL).filter(|n| *n != state.wants).map(Action::Want));
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
                let word = state.words.remove(n);
                self.deliver(&mut state, word);
            }
            Action::Double(n) => {
                state.doubled += 1;
                let word = state.words[n];
                self.deliver(&mut state, word);
            }
            Action::Crash(n, alone) => {
                state.crashes += 1;
                let life = state.nodes[n].life + u64::from(self.planted != Planted::SameLife);
                let now = if self.planted == Planted::NoSilence { 0 } else { state.now };
                let mut member = self.member(n, life, now);
                (0..ALL).for_each(|m| member.believe(m, !alone));
                state.nodes[n] = Node { member, life, stalled: None };
            }
            Action::Stall(n) => {
                state.stalls += 1;
                state.nodes[n].stalled = Some(state.now + STALL);
            }
            Action::GoOn(n) => state.nodes[n].stalled = None,
            Action::Want(n) => (state.wants, state.turns) = (n, state.turns + 1),
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("the sum is never over the whole", |_, state: &State| {
                state.in_force() <= WHOLE.whole
            }),
            Property::always("one divides at a time", |_, state: &State| {
                (0..ALL).filter(|n| state.divides(*n)).count() <= 1
            }),
            Property::sometimes("parts flow again after a start", |_, state: &State| {
                state.crashes > 0
                    && state.in_force() >= 90
                    && !state.nodes.iter().any(|node| node.stalled.is_some())
            }),
            Property::sometimes("another divides", |_, state: &State| {
                (0..ALL).any(|n| state.divides(n) && Some(n) != state.first)
            }),
        ]
    }
}

const FAILURES: [&str; 2] = ["the sum is never over the whole", "one divides at a time"];

fn seen<C: Checker<Leases>>(name: &str, checker: &C) -> Vec<&'static str> {
    let (unique, all) = (checker.unique_state_count(), checker.state_count());
    println!("{name}: {unique} unique of {all} states, {} deep", checker.max_depth());
    checker.discoveries().into_keys().collect()
}

/// Long walks drawn from a seed.
fn walk(planted: Planted, states: usize) -> Vec<&'static str> {
    let checker = Leases { planted, faults: 3 }.checker().threads(1);
    let checker = checker.target_max_depth(300).target_state_count(states);
    let checker = checker.finish_when(HasDiscoveries::AnyFailures).spawn_simulation(7, UniformChooser).join();
    seen(&format!("{planted:?}, walks"), &checker)
}

#[test]
fn no_state_within_reach_of_calm_has_more_in_force_than_the_whole() {
    let checker = Leases { planted: Planted::Nothing, faults: 1 }.checker().threads(2);
    let checker = checker.target_state_count(300_000);
    let checker = checker.finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
    let seen = seen("all", &checker);
    assert!(!seen.iter().any(|name| FAILURES.contains(name)), "{seen:?}");
    assert!(checker.max_depth() >= 6, "{}", checker.max_depth());
}

#[test]
fn nor_does_any_state_of_many_long_walks_and_parts_flow_again() {
    let seen = walk(Planted::Nothing, 2_000_000);
    assert!(!seen.iter().any(|name| FAILURES.contains(name)), "{seen:?}");
    for wanted in ["parts flow again after a start", "another divides"] {
        assert!(seen.contains(&wanted), "{wanted}: {seen:?}");
    }
}

#[test]
fn what_is_left_out_is_found() {
    for planted in [Planted::NoSilence, Planted::SameLife, Planted::GivesUp] {
        let seen = walk(planted, 4_000_000);
        assert!(seen.iter().any(|name| FAILURES.contains(name)), "{planted:?}: {seen:?}");
    }
}
