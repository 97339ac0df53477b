//! Model checking of the endpoint table: all interleavings of reports of two sources on three caches, up to a depth.
//!
//! The properties hold in every state: a cache that a source reports as draining is not published as ready, the
//! published list is not empty while a source lists a cache, damping suppresses at most its share, and each suppression
//! ends if no further report arrives.

mod common;

use common::*;
use linnetknot::State;
use linnetknot_discovery::*;
use stateright::{Checker, Model, Property};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

const UIDS: [&str; 3] = ["a", "b", "c"];

#[derive(Clone, Debug)]
struct ModelState {
    table: EndpointTable,
    published: PublishedList,
    reported: [BTreeMap<usize, State>; 2],
    now: u64,
    /// Debug text of the other fields, by which states are compared and hashed.
    key: String,
}

impl ModelState {
    fn with_key(mut self) -> Self {
        self.key = format!(
            "{:?}{:?}{:?}{}",
            self.table, self.published, self.reported, self.now
        );
        self
    }
}

impl PartialEq for ModelState {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key
    }
}

impl Hash for ModelState {
    fn hash<H: Hasher>(&self, h: &mut H) {
        self.key.hash(h);
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    /// A source reports the state of a single cache.
    Delta(usize, usize, State),
    /// A source reports a full list that contains only this cache, as ready.
    FullList(usize, usize),
    /// Time passes, and the table is polled.
    Wait(u64),
}

struct Interleavings {
    depth_us: u64,
}

impl Model for Interleavings {
    type State = ModelState;
    type Action = Step;

    fn init_states(&self) -> Vec<ModelState> {
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
        let mut published = PublishedList::default();
        let all = (0..3)
            .map(|n| report(UIDS[n], n as u16, State::Ready))
            .collect();
        published.apply(&table.apply(SECOND_US, SourceId(1), full_list(all)));
        let reported = [BTreeMap::new(), (0..3).map(|n| (n, State::Ready)).collect()];
        vec![ModelState {
            table,
            published,
            reported,
            now: SECOND_US,
            key: String::new(),
        }
        .with_key()]
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<Step>) {
        if state.now >= self.depth_us {
            return;
        }
        for n in 0..2 {
            for reported_state in [State::Ready, State::Draining, State::Gone] {
                actions.push(Step::Delta(1, n, reported_state));
            }
            actions.push(Step::Delta(0, n, State::Draining));
            actions.push(Step::Delta(0, n, State::Ready));
        }
        actions.push(Step::FullList(1, 0));
        actions.push(Step::FullList(0, 1));
        actions.push(Step::Wait(9 * SECOND_US));
    }

    fn next_state(&self, state: &ModelState, step: Step) -> Option<ModelState> {
        let mut next = state.clone();
        next.now += SECOND_US;
        let update = match step {
            Step::Delta(source, n, reported_state) => {
                next.reported[source].insert(n, reported_state);
                let evidence = Evidence::Delta(vec![report(UIDS[n], n as u16, reported_state)]);
                next.table.apply(next.now, SourceId(source), evidence)
            }
            Step::FullList(source, n) => {
                next.reported[source] = [(n, State::Ready)].into();
                next.table.apply(
                    next.now,
                    SourceId(source),
                    full_list(vec![report(UIDS[n], n as u16, State::Ready)]),
                )
            }
            Step::Wait(us) => {
                next.now += us;
                next.table.poll(next.now)
            }
        };
        next.published.apply(&update);
        Some(next.with_key())
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "a cache that is reported as draining is not ready",
                |_, state: &ModelState| {
                    (0..3).all(|n| {
                        let is_draining = state
                            .reported
                            .iter()
                            .any(|reports| reports.get(&n) == Some(&State::Draining));
                        !is_draining || state.published.state(UIDS[n]) != State::Ready
                    })
                },
            ),
            Property::always(
                "the list is not empty while a cache is listed",
                |_, state: &ModelState| {
                    let is_listed = state.reported.iter().any(|reports| {
                        reports
                            .values()
                            .any(|reported_state| *reported_state != State::Gone)
                    });
                    !is_listed || !state.published.0.is_empty()
                },
            ),
            Property::always(
                "damping suppresses at most its share",
                |_, state: &ModelState| {
                    let suppressed = state
                        .table
                        .listed()
                        .filter(|(_, status)| *status == EndpointStatus::Suppressed);
                    suppressed.count() <= 1
                },
            ),
            Property::always("each suppression ends", |_, state: &ModelState| {
                let (mut table, mut now) = (state.table.clone(), state.now);
                let end = now + Damping::default().max_suppressed_us + 2;
                // Three caches can be reused at most three times, so the loop is bounded in case suppression never
                // ends.
                for _ in 0..4 {
                    let Some(due) = table.next_due(now).filter(|due| *due <= end) else {
                        break;
                    };
                    now = due;
                    table.poll(due);
                }
                let mut suppressed = table
                    .listed()
                    .filter(|(_, status)| *status == EndpointStatus::Suppressed);
                suppressed.next().is_none()
            }),
            // The checker has to reach states in which caches flap.
            Property::sometimes("a cache is suppressed", |_, state: &ModelState| {
                state
                    .table
                    .listed()
                    .any(|(_, status)| status == EndpointStatus::Suppressed)
            }),
            Property::sometimes(
                "a cache flaps but the maximum share is already suppressed",
                |_, state: &ModelState| {
                    state
                        .table
                        .explain_all(state.now)
                        .any(|e| e.reason == Reason::DampingLimit)
                },
            ),
        ]
    }
}

fn check_interleavings(depth: usize) -> usize {
    let checker = Interleavings {
        depth_us: 100 * SECOND_US,
    }
    .checker()
    .threads(4)
    .target_max_depth(depth);
    let checker = checker.spawn_bfs().join();
    checker.assert_properties();
    checker.unique_state_count()
}

#[test]
fn all_interleavings_of_five_steps_satisfy_the_properties() {
    let states = check_interleavings(6);
    assert!(states > 20_000, "only {states} states were reached");
}

/// Takes some minutes: `cargo test --release -p linnetknot-discovery --test model -- --ignored`.
#[test]
#[ignore = "long"]
fn all_interleavings_of_seven_steps_satisfy_the_properties() {
    check_interleavings(8);
}
