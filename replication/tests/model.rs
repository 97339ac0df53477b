//! The logs and their holders as a model for stateright, on the real types: three proxies that all write; datagrams
//! that are lost, doubled and out of order; disks that are behind; a crash at any step, with the disk or without. In
//! every state that can be reached no commit hangs on one machine, and no index in a log is given twice.

use linnetknot_replication::*;
use linnetknot_simnet::{member_at, peer_index};
use stateright::{Checker, HasDiscoveries, Model, Property, UniformChooser};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Proxies, each of which is sent something.
const ALL: usize = 3;

/// What is left out of the protocol, for the properties to notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Planted {
    Nothing,
    /// A yes on this proxy's own disk alone.
    Credit,
    /// A log continues its epoch after a crash.
    SameEpoch,
    /// A copy counts once it has come, and not once it is on the disk.
    BeforeDisk,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Proxy {
    /// None while it is down.
    replica: Option<Replica>,
    epoch: Epoch,
    process: u64,
    disk: LogStore,
    /// Entries on their way to the disk.
    writes: VecDeque<Entry>,
    outgoing: bool,
    ticks: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    proxies: Vec<Proxy>,
    /// All that was ever sent: any of it may come at any time, more than once or never.
    sent: BTreeSet<(usize, usize, Vec<u8>)>,
    /// Commits given: the writer and the subject of each.
    committed: BTreeSet<(usize, Subject)>,
    /// What was written at each index of each log.
    indexes: BTreeMap<(LogId, Index), Subject>,
    twice: bool,
    crashes: u8,
    /// Disks that were lost.
    lost: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Tell(usize),
    Write(usize),
    Deliver(usize, usize, Vec<u8>),
    Tick(usize),
    Crash(usize, bool),
    Start(usize),
}

struct Protocol {
    planted: Planted,
    crashes: u8,
    ticks: u8,
}

fn object(n: usize) -> Subject {
    Subject::Object(format!("{n:x}"))
}

impl Protocol {
    fn replica(&self, n: usize, (epoch, process): (Epoch, u64), disk: &LogStore) -> Replica {
        let wait = usize::from(self.planted != Planted::Credit);
        // Nothing is refused for the time it takes, and no random number is drawn that would tell states apart.
        let options = Options {
            min_acks: wait,
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
            (0..ALL).filter(|m| *m != n).map(|m| m as Machine).collect(),
        );
        replica
    }

    fn send(state: &mut State, from: usize, to: usize, datagram: &Datagram) {
        state
            .sent
            .insert((from, to, datagram.encode().expect("it fits")));
    }

    fn take(&self, state: &mut State, n: usize, entry: &Entry) {
        let known = state
            .indexes
            .entry((entry.log, entry.index))
            .or_insert_with(|| entry.subject.clone());
        state.twice |= *known != entry.subject;
        state.proxies[n].writes.push_back(entry.clone());
        if self.planted == Planted::BeforeDisk {
            let outgoing = state.proxies[n]
                .replica
                .as_mut()
                .map(|c| c.record_synced(entry.log, entry.index));
            self.tell(state, n, outgoing.unwrap_or_default());
        }
    }

    fn tell(&self, state: &mut State, n: usize, outgoing: Vec<Outgoing>) {
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
                outgoing: false,
                ticks: 0,
            }
        };
        vec![State {
            proxies: (0..ALL).map(proxy).collect(),
            sent: BTreeSet::new(),
            committed: BTreeSet::new(),
            indexes: BTreeMap::new(),
            twice: false,
            crashes: 0,
            lost: 0,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for (n, proxy) in state.proxies.iter().enumerate() {
            let Some(replica) = &proxy.replica else {
                actions.push(Action::Start(n));
                continue;
            };
            // One that lost its disk may tell again: what it wrote before is another epoch's.
            if !proxy.outgoing {
                actions.push(Action::Tell(n));
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
            Action::Tell(n) => {
                let proxy = &mut state.proxies[n];
                proxy.outgoing = true;
                let replica = proxy.replica.as_mut()?;
                let entry = replica.append(object(n), 5, false).ok()?;
                replica.open_commit(0, entry.index).ok()?;
                (0..ALL).filter(|to| *to != n).for_each(|to| {
                    Self::send(&mut state, n, to, &Datagram::Entry(entry.clone()));
                });
                self.take(&mut state, n, &entry);
            }
            Action::Write(n) => {
                let proxy = &mut state.proxies[n];
                let entry = proxy.writes.pop_front()?;
                proxy.disk.try_insert(&entry, Capacity::UNLIMITED);
                let outgoing = proxy
                    .replica
                    .as_mut()?
                    .record_synced(entry.log, entry.index);
                self.tell(&mut state, n, outgoing);
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
                    .for_each(|entry| self.take(&mut state, to, entry));
                received
                    .replies
                    .iter()
                    .for_each(|reply| Self::send(&mut state, to, from, reply));
                self.tell(&mut state, to, Vec::new());
            }
            Action::Tick(n) => {
                let proxy = &mut state.proxies[n];
                proxy.ticks += 1;
                let replica = proxy.replica.as_mut()?;
                let outgoing = replica.tick(replica.due());
                self.tell(&mut state, n, outgoing);
            }
            Action::Crash(n, lost) => {
                state.crashes += 1;
                let proxy = &mut state.proxies[n];
                proxy.replica = None;
                proxy.writes.clear();
                if lost {
                    proxy.disk = LogStore::default();
                    state.lost += 1;
                }
            }
            Action::Start(n) => {
                let same = self.planted == Planted::SameEpoch;
                let proxy = &mut state.proxies[n];
                proxy.epoch += u64::from(!same);
                proxy.process += 1;
                // A log that goes on would write something else at its next index.
                proxy.outgoing = !same;
                proxy.replica = Some(self.replica(n, (proxy.epoch, proxy.process), &proxy.disk));
                if same {
                    let entry = proxy
                        .replica
                        .as_mut()?
                        .append(object(n + ALL), 6, false)
                        .ok()?;
                    self.take(&mut state, n, &entry);
                }
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("a commit outlives one machine", |_, state: &State| {
                let on_a_disk = |subject: &Subject| {
                    state
                        .proxies
                        .iter()
                        .any(|p| p.disk.latest_entry_time(subject).is_some())
                };
                state.lost > 1
                    || state
                        .committed
                        .iter()
                        .all(|(_, subject)| on_a_disk(subject))
            }),
            Property::always("an index is given once", |_, state: &State| !state.twice),
            Property::sometimes("a commit is given", |_, state: &State| {
                !state.committed.is_empty()
            }),
            Property::sometimes("all agree after a machine was lost", |_, state: &State| {
                let books = |p: &Proxy| p.replica.as_ref().map(|c| c.log_store().clone());
                let first = books(&state.proxies[0]);
                let agree = state.proxies.iter().all(|p| books(p) == first) && first.is_some();
                state.crashes > 0 && agree && !state.committed.is_empty()
            }),
        ]
    }
}

const FAILURES: [&str; 2] = ["a commit outlives one machine", "an index is given once"];

fn check(planted: Planted) -> Vec<&'static str> {
    let checker = Protocol {
        planted,
        crashes: 1,
        ticks: 1,
    }
    .checker();
    // As many states as fit into a minute of CI, in the order of their depth: all that a few steps can reach.
    let most = std::env::var("MODEL_STATES")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(800_000);
    let checker = checker.threads(2).target_state_count(most);
    let checker = checker
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    println!(
        "{planted:?}: {} states, {} deep",
        checker.unique_state_count(),
        checker.max_depth()
    );
    checker.discoveries().into_keys().collect()
}

#[test]
fn no_state_within_reach_loses_a_promise_or_gives_a_place_twice() {
    let seen = check(Planted::Nothing);
    assert!(seen.contains(&"a commit is given"), "{seen:?}");
    assert!(!seen.iter().any(|name| FAILURES.contains(name)), "{seen:?}");
}

/// The same, far from the beginning: walks of up to 60 steps drawn from a seed, with two crashes and all that is lost,
/// late and doubled between.
#[test]
fn nor_does_any_state_of_many_long_walks() {
    let checker = Protocol {
        planted: Planted::Nothing,
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
    let seen: Vec<_> = checker.discoveries().into_keys().collect();
    assert!(
        checker.max_depth() > 50 && !seen.iter().any(|name| FAILURES.contains(name)),
        "{seen:?}"
    );
    assert!(
        seen.contains(&"all agree after a machine was lost"),
        "{seen:?}"
    );
}

#[test]
fn what_is_left_out_is_found() {
    let lost = "a commit outlives one machine";
    assert!(check(Planted::Credit).contains(&lost));
    assert!(check(Planted::BeforeDisk).contains(&lost));
    assert!(check(Planted::SameEpoch).contains(&"an index is given once"));
}
