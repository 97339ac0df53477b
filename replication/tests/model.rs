//! Model checking of commits with stateright, on the real types. Three proxies append entries, while datagrams are lost,
//! duplicated and reordered, disks lag, and proxies crash at any step, with or without the loss of their disk. In every
//! reachable state all commits survive the loss of one machine, and no index of a log is used twice.

use linnetknot_replication::*;
use linnetknot_simnet::{member_at, peer_index};
use stateright::{Checker, HasDiscoveries, Model, Property, UniformChooser};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The number of proxies, each of which appends an entry.
const PROXIES: usize = 3;

/// A fault in the protocol that the properties must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InjectedFault {
    None,
    /// Commits are confirmed by the local disk alone.
    NoAcknowledgements,
    /// A log continues its epoch after a crash.
    SameEpoch,
    /// Entries are acknowledged on arrival, before they are on the disk.
    AckBeforeSync,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Proxy {
    /// The running process of the proxy, or `None` while the proxy is down.
    replica: Option<Replica>,
    epoch: Epoch,
    process: u64,
    disk: LogStore,
    /// Pending writes to the disk.
    writes: VecDeque<Entry>,
    has_appended: bool,
    ticks: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    proxies: Vec<Proxy>,
    /// All datagrams that were ever sent. Each may arrive at any time, several times or never.
    sent: BTreeSet<(usize, usize, Vec<u8>)>,
    /// The writer and subject of each confirmed commit.
    committed: BTreeSet<(usize, Subject)>,
    /// The subject that was first recorded at each index of each log.
    indexes: BTreeMap<(LogId, Index), Subject>,
    index_reused: bool,
    crashes: u8,
    /// The number of lost disks.
    lost_disks: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Append(usize),
    Write(usize),
    Deliver(usize, usize, Vec<u8>),
    Tick(usize),
    Crash(usize, bool),
    Start(usize),
}

struct Protocol {
    injected_fault: InjectedFault,
    crashes: u8,
    ticks: u8,
}

fn object(n: usize) -> Subject {
    Subject::Object(format!("{n:x}"))
}

impl Protocol {
    fn replica(&self, n: usize, (epoch, process): (Epoch, u64), disk: &LogStore) -> Replica {
        let required_acks = usize::from(self.injected_fault != InjectedFault::NoAcknowledgements);
        // Commits do not time out, so that time does not distinguish states.
        let options = Options {
            min_acks: required_acks,
            replication_factor: 1,
            commit_timeout_us: u64::MAX / 4,
            ..Options::default()
        };
        let mut replica = Replica::new(
            LogId::new(n as Writer + 1, epoch),
            disk.clone(),
            process,
            options,
        );
        replica.set_peers(
            n as Machine,
            (0..PROXIES)
                .filter(|m| *m != n)
                .map(|m| m as Machine)
                .collect(),
        );
        replica
    }

    fn send(state: &mut State, from: usize, to: usize, datagram: &Datagram) {
        state
            .sent
            .insert((from, to, datagram.encode().expect("the datagram fits")));
    }

    fn record_entry(&self, state: &mut State, n: usize, entry: &Entry) {
        let first = state
            .indexes
            .entry((entry.log, entry.index))
            .or_insert_with(|| entry.subject.clone());
        state.index_reused |= *first != entry.subject;
        state.proxies[n].writes.push_back(entry.clone());
        if self.injected_fault == InjectedFault::AckBeforeSync {
            let outgoing = state.proxies[n]
                .replica
                .as_mut()
                .map(|c| c.record_synced(entry.log, entry.index));
            self.send_and_resolve(state, n, outgoing.unwrap_or_default());
        }
    }

    fn send_and_resolve(&self, state: &mut State, n: usize, outgoing: Vec<Outgoing>) {
        for Outgoing { peer, datagram } in outgoing {
            Self::send(state, n, member_at(peer, n), &datagram);
        }
        let outcomes = state.proxies[n]
            .replica
            .as_mut()
            .map(|c| c.resolve_commits(0))
            .unwrap_or_default();
        if outcomes.iter().any(|s| s.result.is_ok()) {
            state.committed.insert((n, object(n)));
        }
    }
}

impl Model for Protocol {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let proxy = |n| {
            let disk = LogStore::default();
            let replica = Some(self.replica(n, (1, 1), &disk));
            Proxy {
                replica,
                epoch: 1,
                process: 1,
                disk,
                writes: VecDeque::new(),
                has_appended: false,
                ticks: 0,
            }
        };
        vec![State {
            proxies: (0..PROXIES).map(proxy).collect(),
            sent: BTreeSet::new(),
            committed: BTreeSet::new(),
            indexes: BTreeMap::new(),
            index_reused: false,
            crashes: 0,
            lost_disks: 0,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for (n, proxy) in state.proxies.iter().enumerate() {
            let Some(replica) = &proxy.replica else {
                actions.push(Action::Start(n));
                continue;
            };
            // Each proxy appends one entry, and a second entry only after a restart with the fault `SameEpoch`.
            if !proxy.has_appended {
                actions.push(Action::Append(n));
            }
            if !proxy.writes.is_empty() {
                actions.push(Action::Write(n));
            }
            if proxy.ticks < self.ticks && replica.log_store().log_count() > 0 {
                actions.push(Action::Tick(n));
            }
            if state.crashes < self.crashes {
                actions.extend([true, false].map(|lost| Action::Crash(n, lost)));
            }
        }
        let runs = |to: &usize| state.proxies[*to].replica.is_some();
        let deliver = state.sent.iter().filter(|(_, to, _)| runs(to)).cloned();
        actions.extend(deliver.map(|(from, to, bytes)| Action::Deliver(from, to, bytes)));
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Append(n) => {
                let proxy = &mut state.proxies[n];
                proxy.has_appended = true;
                let replica = proxy.replica.as_mut()?;
                let entry = replica.append(object(n), 5, false).ok()?;
                replica.open_commit(0, entry.index).ok()?;
                (0..PROXIES).filter(|to| *to != n).for_each(|to| {
                    Self::send(&mut state, n, to, &Datagram::Entry(entry.clone()));
                });
                self.record_entry(&mut state, n, &entry);
            }
            Action::Write(n) => {
                let proxy = &mut state.proxies[n];
                let entry = proxy.writes.pop_front()?;
                proxy.disk.try_insert(&entry, Capacity::UNLIMITED);
                let outgoing = proxy
                    .replica
                    .as_mut()?
                    .record_synced(entry.log, entry.index);
                self.send_and_resolve(&mut state, n, outgoing);
            }
            Action::Deliver(from, to, bytes) => {
                let datagram = Datagram::decode(&bytes).ok()?;
                let received = state.proxies[to].replica.as_mut()?.receive(
                    Micros::MAX,
                    peer_index(from, to),
                    datagram,
                );
                received
                    .new
                    .iter()
                    .for_each(|entry| self.record_entry(&mut state, to, entry));
                received
                    .replies
                    .iter()
                    .for_each(|reply| Self::send(&mut state, to, from, reply));
                self.send_and_resolve(&mut state, to, Vec::new());
            }
            Action::Tick(n) => {
                let proxy = &mut state.proxies[n];
                proxy.ticks += 1;
                let replica = proxy.replica.as_mut()?;
                let outgoing = replica.tick(replica.due());
                self.send_and_resolve(&mut state, n, outgoing);
            }
            Action::Crash(n, lost) => {
                state.crashes += 1;
                let proxy = &mut state.proxies[n];
                proxy.replica = None;
                proxy.writes.clear();
                if lost {
                    proxy.disk = LogStore::default();
                    state.lost_disks += 1;
                }
            }
            Action::Start(n) => {
                let is_same_epoch = self.injected_fault == InjectedFault::SameEpoch;
                let proxy = &mut state.proxies[n];
                proxy.epoch += u64::from(!is_same_epoch);
                proxy.process += 1;
                // With the fault `SameEpoch` another entry is appended at the next index.
                proxy.has_appended = !is_same_epoch;
                proxy.replica = Some(self.replica(n, (proxy.epoch, proxy.process), &proxy.disk));
                if is_same_epoch {
                    let entry = proxy
                        .replica
                        .as_mut()?
                        .append(object(n + PROXIES), 6, false)
                        .ok()?;
                    self.record_entry(&mut state, n, &entry);
                }
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "a commit survives the loss of one machine",
                |_, state: &State| {
                    let on_a_disk = |subject: &Subject| {
                        state
                            .proxies
                            .iter()
                            .any(|p| p.disk.latest_entry_time(subject).is_some())
                    };
                    state.lost_disks > 1
                        || state
                            .committed
                            .iter()
                            .all(|(_, subject)| on_a_disk(subject))
                },
            ),
            Property::always("no index is reused", |_, state: &State| !state.index_reused),
            Property::sometimes("a commit is confirmed", |_, state: &State| {
                !state.committed.is_empty()
            }),
            Property::sometimes("all proxies agree after a crash", |_, state: &State| {
                let log_store = |p: &Proxy| p.replica.as_ref().map(|c| c.log_store().clone());
                let first = log_store(&state.proxies[0]);
                let agree = state.proxies.iter().all(|p| log_store(p) == first) && first.is_some();
                state.crashes > 0 && agree && !state.committed.is_empty()
            }),
        ]
    }
}

const FAILURES: [&str; 2] = [
    "a commit survives the loss of one machine",
    "no index is reused",
];

fn check(injected_fault: InjectedFault) -> Vec<&'static str> {
    let checker = Protocol {
        injected_fault,
        crashes: 1,
        ticks: 1,
    }
    .checker();
    // The number of states that are checked within a minute, in breadth-first order.
    let max_states = std::env::var("MODEL_STATES")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(800_000);
    let checker = checker.threads(2).target_state_count(max_states);
    let checker = checker
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    println!(
        "{injected_fault:?}: {} states, {} deep",
        checker.unique_state_count(),
        checker.max_depth()
    );
    checker.discoveries().into_keys().collect()
}

#[test]
fn reachable_states_lose_no_commit_and_use_no_index_twice() {
    let found = check(InjectedFault::None);
    assert!(found.contains(&"a commit is confirmed"), "{found:?}");
    assert!(
        !found.iter().any(|name| FAILURES.contains(name)),
        "{found:?}"
    );
}

/// Random walks of up to 60 steps with two crashes, which reach states that are too deep for the exhaustive check.
#[test]
fn random_walks_lose_no_commit_and_use_no_index_twice() {
    let checker = Protocol {
        injected_fault: InjectedFault::None,
        crashes: 2,
        ticks: 2,
    }
    .checker()
    .threads(1);
    let checker = checker.target_max_depth(60).target_state_count(400_000);
    let checker = checker.finish_when(HasDiscoveries::AnyFailures);
    let checker = checker.spawn_simulation(11, UniformChooser).join();
    println!(
        "walks: {} states, {} deep",
        checker.state_count(),
        checker.max_depth()
    );
    let found: Vec<_> = checker.discoveries().into_keys().collect();
    assert!(
        checker.max_depth() > 50 && !found.iter().any(|name| FAILURES.contains(name)),
        "{found:?}"
    );
    assert!(
        found.contains(&"all proxies agree after a crash"),
        "{found:?}"
    );
}

#[test]
fn injected_faults_are_detected() {
    let lost = "a commit survives the loss of one machine";
    assert!(check(InjectedFault::NoAcknowledgements).contains(&lost));
    assert!(check(InjectedFault::AckBeforeSync).contains(&lost));
    assert!(check(InjectedFault::SameEpoch).contains(&"no index is reused"));
}
