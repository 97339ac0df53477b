//! The endpoint table under a model checker: all interleavings of evidence of two sources on three caches, up to a depth.
//!
//! A state is the table itself beside the list as the module has it and what each source last reported. Checked in
//! every state: nothing that a source reports as draining is published as ready; the list is not empty while a source lists
//! a cache; damping suppresses no more than its share; and from here on, if nothing more is reported, no cache stays
//! suppressed.

mod common;

use common::*;
use linnetknot::State;
use linnetknot_discovery::*;
use stateright::{Checker, Model, Property};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

const NAMES: [&str; 3] = ["a", "b", "c"];

#[derive(Clone, Debug)]
struct Seen {
    table: EndpointTable,
    mirror: Mirror,
    reported: [BTreeMap<usize, State>; 2],
    now: u64,
    /// All that the future depends on, in words.
    key: String,
}

impl Seen {
    fn keyed(mut self) -> Self {
        self.key = format!(
            "{:?}{:?}{:?}{}",
            self.table, self.mirror, self.reported, self.now
        );
        self
    }
}

impl PartialEq for Seen {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key
    }
}

impl Hash for Seen {
    fn hash<H: Hasher>(&self, h: &mut H) {
        self.key.hash(h);
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    /// One source says of one box.
    Say(usize, usize, State),
    /// One source's whole list names only this box, ready.
    Only(usize, usize),
    /// Time passes, and the book is polled.
    Wait(u64),
}

struct Interleavings {
    depth_us: u64,
}

impl Model for Interleavings {
    type State = Seen;
    type Action = Step;

    fn init_states(&self) -> Vec<Seen> {
        let damping = Damping {
            suppress: 0.85,
            reuse: 0.5,
            max_suppressed_share: 0.34,
            ..Damping::default()
        };
        let sources = vec![source("file", false), source("consul", false)];
        let mut table = EndpointTable::new(
            sources,
            damping,
            Limits {
                max_caches: 8,
                max_remembered: 2,
            },
        );
        let mut mirror = Mirror::default();
        let all = (0..3)
            .map(|n| report(NAMES[n], n as u16, State::Ready))
            .collect();
        mirror.apply(&table.apply(S, SourceId(1), full(all)));
        let reported = [BTreeMap::new(), (0..3).map(|n| (n, State::Ready)).collect()];
        vec![Seen {
            table,
            mirror,
            reported,
            now: S,
            key: String::new(),
        }
        .keyed()]
    }

    fn actions(&self, seen: &Seen, actions: &mut Vec<Step>) {
        if seen.now >= self.depth_us {
            return;
        }
        for n in 0..2 {
            for state in [State::Ready, State::Draining, State::Gone] {
                actions.push(Step::Say(1, n, state));
            }
            actions.push(Step::Say(0, n, State::Draining));
            actions.push(Step::Say(0, n, State::Ready));
        }
        actions.push(Step::Only(1, 0));
        actions.push(Step::Only(0, 1));
        actions.push(Step::Wait(9 * S));
    }

    fn next_state(&self, seen: &Seen, step: Step) -> Option<Seen> {
        let mut next = seen.clone();
        next.now += S;
        let out = match step {
            Step::Say(source, n, state) => {
                next.reported[source].insert(n, state);
                let evidence = Evidence::Delta(vec![report(NAMES[n], n as u16, state)]);
                next.table.apply(next.now, SourceId(source), evidence)
            }
            Step::Only(source, n) => {
                next.reported[source] = [(n, State::Ready)].into();
                next.table.apply(
                    next.now,
                    SourceId(source),
                    full(vec![report(NAMES[n], n as u16, State::Ready)]),
                )
            }
            Step::Wait(us) => {
                next.now += us;
                next.table.poll(next.now)
            }
        };
        next.mirror.apply(&out);
        Some(next.keyed())
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no fresh work where a drain is told", |_, s: &Seen| {
                (0..3).all(|n| {
                    let drains = s
                        .reported
                        .iter()
                        .any(|t| t.get(&n) == Some(&State::Draining));
                    !drains || s.mirror.state(NAMES[n]) != State::Ready
                })
            }),
            Property::always("no empty list while a box is named", |_, s: &Seen| {
                let named = s
                    .reported
                    .iter()
                    .any(|t| t.values().any(|state| *state != State::Gone));
                !named || !s.mirror.0.is_empty()
            }),
            Property::always("damping stays within its share", |_, s: &Seen| {
                let suppressed = s
                    .table
                    .listed()
                    .filter(|(_, status)| *status == EndpointStatus::Suppressed);
                suppressed.count() <= 1
            }),
            Property::always("no box is suppressed for ever", |_, s: &Seen| {
                let (mut table, mut now) = (s.table.clone(), s.now);
                let end = now + Damping::default().max_suppressed_us + 2;
                // Three boxes have three releases at most; a book that never lets go must not hang the check.
                for _ in 0..4 {
                    let Some(due) = table.next_due(now).filter(|due| *due <= end) else {
                        break;
                    };
                    now = due;
                    table.poll(due);
                }
                let mut suppressed = table
                    .listed()
                    .filter(|(_, s)| *s == EndpointStatus::Suppressed);
                suppressed.next().is_none()
            }),
            // That the checker reaches what the properties are about at all.
            Property::sometimes("a box is suppressed", |_, s: &Seen| {
                s.table
                    .listed()
                    .any(|(_, status)| status == EndpointStatus::Suppressed)
            }),
            Property::sometimes(
                "a box flaps but is one too many to be held back",
                |_, s: &Seen| {
                    s.table
                        .explain_all(s.now)
                        .any(|e| e.reason == Reason::DampingLimit)
                },
            ),
        ]
    }
}

fn check(depth: usize) -> usize {
    let checker = Interleavings { depth_us: 100 * S }
        .checker()
        .threads(4)
        .target_max_depth(depth);
    let checker = checker.spawn_bfs().join();
    checker.assert_properties();
    checker.unique_state_count()
}

#[test]
fn all_interleavings_of_five_words_keep_the_promises() {
    let states = check(6);
    assert!(states > 20_000, "{states} states were seen");
}

/// Some minutes: `cargo test --release -p linnetknot-discovery --test model -- --ignored`.
#[test]
#[ignore = "long"]
fn all_interleavings_of_seven_words_keep_the_promises() {
    check(8);
}
