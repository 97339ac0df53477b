//! Model checking of compaction and snapshots with stateright, on the real types. A writer compacts its log while a follower
//! is behind, datagrams are lost, duplicated and reordered, disks lag, and proxies crash at any step. In every reachable
//! state:
//!
//! - no purge time has decreased, neither in a process nor in the state that its disk would restore;
//! - no last index or durable index covers a purge that is missing;
//! - no index of a log is used twice.

use linnetknot_replication::*;
use linnetknot_simnet::{member_at, peer_index};
use stateright::{Checker, HasDiscoveries, Model, Property, UniformChooser};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const WRITER: usize = 0;
const FOLLOWER: usize = 1;
const MS: Micros = 1_000;

/// A fault in the protocol that the properties must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InjectedFault {
    None,
    /// Compacted entries are deleted from the disk before their buckets are written.
    DeleteBeforeBuckets,
    /// `prev` is computed without the compacted index, as if compacted entries were superseded.
    PrevWithoutCompaction,
    /// A snapshot counts as complete although some of its buckets were not received.
    IncompleteBuckets,
    /// A snapshot is acknowledged before it is on the disk.
    AckBeforeSync,
    /// A log continues its epoch after a crash.
    SameEpoch,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Write {
    Entry(Entry),
    Buckets(Vec<(BucketIndex, Bucket)>),
    Compacted(Vec<CompactedLog>),
    /// The compacted indexes of a complete snapshot.
    Snapshot(Vec<CompactedLog>),
    Delete(Entry),
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Disk {
    entries: BTreeMap<(LogId, Subject), Entry>,
    buckets: BTreeMap<BucketIndex, Bucket>,
    compacted: BTreeMap<LogId, Index>,
}

fn bucket_bits() -> BucketBits {
    BucketBits::MIN
}

impl Disk {
    fn restore(&self) -> LogStore {
        let mut table = CompactTable::new(bucket_bits());
        for (index, bucket) in &self.buckets {
            table
                .merge_bucket(bucket_bits(), *index, bucket)
                .expect("a bucket of this table");
        }
        let logs = self.compacted.iter().map(|(log, through)| CompactedLog {
            log: *log,
            through: *through,
        });
        let entries = self.entries.values().cloned().collect();
        LogStore::restore(table, &logs.collect::<Vec<_>>(), entries)
            .expect("the indexes are unique")
    }

    fn apply_write(&mut self, write: &Write) {
        match write {
            Write::Entry(entry) => {
                self.entries
                    .insert((entry.log, entry.subject.clone()), entry.clone());
            }
            Write::Buckets(buckets) => self.buckets.extend(buckets.iter().copied()),
            Write::Compacted(logs) | Write::Snapshot(logs) => {
                for compacted in logs {
                    let through = self.compacted.entry(compacted.log).or_default();
                    *through = compacted.through.max(*through);
                }
            }
            Write::Delete(entry) => {
                let key = (entry.log, entry.subject.clone());
                if self
                    .entries
                    .get(&key)
                    .is_some_and(|there| there.index == entry.index)
                {
                    self.entries.remove(&key);
                }
            }
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Proxy {
    /// The running process of the proxy, or `None` while the proxy is down.
    replica: Option<Replica>,
    process: u64,
    disk: Disk,
    writes: VecDeque<Write>,
    ticks: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    proxies: Vec<Proxy>,
    /// The datagrams that were sent, and how often each was delivered.
    sent: BTreeMap<(usize, usize, Vec<u8>), u8>,
    /// The purge that was first appended at each index of each log.
    appended: BTreeMap<(LogId, Index), (Subject, Micros)>,
    purges: u8,
    crashes: u8,
    broken: BTreeSet<&'static str>,
    snapshots: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Purge,
    Compact(usize),
    Write(usize),
    Deliver(usize, usize, Vec<u8>),
    Tick(usize),
    Crash(usize),
    Start(usize),
}

struct Protocol {
    injected_fault: InjectedFault,
    purges: u8,
    crashes: u8,
    ticks: u8,
}

const LOWERED: &str = "no purge time decreases";
const PURGE_MISSING: &str = "no position covers a missing purge";
const REUSED: &str = "each index of a log is used once";

fn subject(n: usize) -> Subject {
    Subject::Object(format!("{n:x}"))
}

/// Returns the times of the latest purges that a store returns for all subjects.
fn purge_times(store: &LogStore, state: &State) -> BTreeMap<Subject, Option<Micros>> {
    state
        .appended
        .values()
        .map(|(subject, _)| (subject.clone(), store.latest_purge(subject)))
        .collect()
}

/// Returns whether a later entry for the same subject is on a disk. A disk stores one entry per log and subject, so a restored
/// process skips superseded entries, and the later entry is still replicated.
fn is_superseded_on_disk(state: &State, log: LogId, index: Index) -> bool {
    let (subject, _) = &state.appended[&(log, index)];
    let later = |proxy: &Proxy| {
        proxy
            .disk
            .entries
            .get(&(log, subject.clone()))
            .is_some_and(|e| e.index > index)
    };
    state.proxies.iter().any(later)
}

impl Protocol {
    fn start(&self, n: usize, proxy: &mut Proxy) {
        let options = Options {
            max_exact_entries: 2,
            min_acks: 0,
            // Each request is answered with two chunks.
            snapshot_bytes_per_s: 2 * 20 * MAX_DATAGRAM_BYTES,
            ..Options::default()
        };
        let epoch = if self.injected_fault == InjectedFault::SameEpoch {
            1
        } else {
            proxy.process
        };
        let own = LogId::new(n as Writer + 1, epoch);
        let mut replica = Replica::new(own, proxy.disk.restore(), proxy.process, options);
        replica.set_peers(n as Machine, vec![1 - n as Machine]);
        proxy.replica = Some(replica);
    }

    fn send(&self, state: &mut State, from: usize, to: usize, datagram: &Datagram) {
        let mut datagram = datagram.clone();
        if matches!(datagram, Datagram::Ack { .. }) {
            // No commit waits for acknowledgements in this model.
            return;
        }
        if let (InjectedFault::PrevWithoutCompaction, Datagram::Entry(entry)) =
            (self.injected_fault, &mut datagram)
        {
            let store = state.proxies[from].replica.as_ref().map(Replica::log_store);
            let live = store
                .into_iter()
                .flat_map(|store| store.entries_after(entry.log, 0));
            entry.prev = live
                .map(|e| e.index)
                .take_while(|index| *index < entry.index)
                .last()
                .unwrap_or(0);
        }
        state
            .sent
            .entry((from, to, datagram.encode().expect("the datagram fits")))
            .or_default();
    }

    fn purge(&self, state: &mut State, purged: Subject, at: Micros) -> Option<()> {
        let entry = state.proxies[WRITER]
            .replica
            .as_mut()?
            .append(purged, at, false)
            .ok()?;
        let appended = (entry.subject.clone(), entry.at);
        let known = state
            .appended
            .entry((entry.log, entry.index))
            .or_insert_with(|| appended.clone());
        if *known != appended {
            state.broken.insert(REUSED);
        }
        self.send(state, WRITER, FOLLOWER, &Datagram::Entry(entry.clone()));
        state.proxies[WRITER].writes.push_back(Write::Entry(entry));
        Some(())
    }

    fn compact(&self, state: &mut State, n: usize) -> Option<()> {
        let proxy = &mut state.proxies[n];
        let replica = proxy.replica.as_mut()?;
        // The time is later than that of every purge.
        let compaction = replica.compact(1_000 * MS)?;
        let table = replica.log_store().table();
        let buckets = compaction
            .buckets
            .iter()
            .filter_map(|index| Some((*index, *table.bucket(*index)?)));
        let table_writes = [
            Write::Buckets(buckets.collect()),
            Write::Compacted(compaction.logs),
        ];
        let delete = compaction.entries.into_iter().map(Write::Delete);
        match self.injected_fault {
            InjectedFault::DeleteBeforeBuckets => proxy.writes.extend(delete.chain(table_writes)),
            _ => proxy.writes.extend(table_writes.into_iter().chain(delete)),
        }
        Some(())
    }

    fn write(&self, state: &mut State, n: usize) -> Option<()> {
        let proxy = &mut state.proxies[n];
        let write = proxy.writes.pop_front()?;
        proxy.disk.apply_write(&write);
        let replica = proxy.replica.as_mut()?;
        match write {
            Write::Entry(entry) => drop(replica.record_synced(entry.log, entry.index)),
            Write::Snapshot(logs) => drop(replica.record_snapshot_synced(&logs)),
            Write::Buckets(_) | Write::Compacted(_) | Write::Delete(_) => {}
        }
        Some(())
    }

    fn deliver(&self, state: &mut State, (from, to): (usize, usize), bytes: &[u8]) -> Option<()> {
        *state.sent.get_mut(&(from, to, bytes.to_vec()))? += 1;
        let mut datagram = Datagram::decode(bytes).ok()?;
        if let (InjectedFault::IncompleteBuckets, Datagram::SnapshotChunk(chunk)) =
            (self.injected_fault, &mut datagram)
        {
            if let SnapshotContent::Buckets { buckets, .. } = &mut chunk.content {
                buckets.truncate(1);
            }
        }
        let proxy = &mut state.proxies[to];
        let replica = proxy.replica.as_mut()?;
        let received = replica.receive(Micros::MAX, peer_index(from, to), datagram);
        if self.injected_fault == InjectedFault::AckBeforeSync {
            replica.record_snapshot_synced(&received.compacted);
        }
        if !received.buckets.is_empty() {
            let buckets = received
                .buckets
                .iter()
                .map(|merged| (merged.index, merged.bucket))
                .collect();
            proxy.writes.push_back(Write::Buckets(buckets));
        }
        if !received.compacted.is_empty() {
            proxy.writes.push_back(Write::Snapshot(received.compacted));
            state.snapshots = 1;
        }
        proxy
            .writes
            .extend(received.new.into_iter().map(Write::Entry));
        received
            .replies
            .iter()
            .for_each(|reply| self.send(state, to, from, reply));
        Some(())
    }

    fn tick(&self, state: &mut State, n: usize) -> Option<()> {
        let proxy = &mut state.proxies[n];
        proxy.ticks += 1;
        let replica = proxy.replica.as_mut()?;
        // The ticks are so far apart that everything is due each time.
        let outgoing = replica.tick(Micros::from(proxy.ticks) * 1_000 * MS);
        outgoing
            .iter()
            .for_each(|out| self.send(state, n, member_at(out.peer, n), &out.datagram));
        Some(())
    }

    fn apply(&self, state: &mut State, action: &Action) -> Option<()> {
        match action {
            Action::Purge => {
                state.purges += 1;
                // The second purge supersedes an earlier purge.
                let purged = [4, 1, 5][usize::from(state.purges - 1) % 3];
                self.purge(
                    state,
                    subject(purged),
                    (10 + Micros::from(state.purges)) * MS,
                )
            }
            Action::Compact(n) => self.compact(state, *n),
            Action::Write(n) => self.write(state, *n),
            Action::Deliver(from, to, bytes) => self.deliver(state, (*from, *to), bytes),
            Action::Tick(n) => self.tick(state, *n),
            Action::Crash(n) => {
                state.crashes += 1;
                state.proxies[*n].replica = None;
                state.proxies[*n].writes.clear();
                Some(())
            }
            Action::Start(n) => {
                state.proxies[*n].process += 1;
                self.start(*n, &mut state.proxies[*n]);
                Some(())
            }
        }
    }

    /// Records violated invariants in a state, given the previous state.
    fn check_invariants(&self, before: &State, state: &mut State) {
        let mut broken = state.broken.clone();
        for (was, is) in before.proxies.iter().zip(&state.proxies) {
            let restored = is.disk.restore();
            let has_decreased = |old: &LogStore, new: &LogStore| {
                purge_times(old, before)
                    .iter()
                    .any(|(subject, purged_at)| new.latest_purge(subject) < *purged_at)
            };
            if was.disk != is.disk && has_decreased(&was.disk.restore(), &restored) {
                broken.insert(LOWERED);
            }
            let is_any_missing = |positions: &dyn Fn(LogId) -> Index, store: &LogStore| {
                state.appended.iter().any(|((log, index), (subject, at))| {
                    let is_covered = positions(*log) >= *index;
                    is_covered
                        && store.latest_purge(subject) < Some(*at)
                        && !is_superseded_on_disk(state, *log, *index)
                })
            };
            let mut is_missing = is_any_missing(&|log| restored.last_index(log), &restored);
            if let Some(replica) = &is.replica {
                let store = replica.log_store();
                is_missing |= is_any_missing(&|log| store.last_index(log), store);
                is_missing |= is_any_missing(&|log| replica.durable_index(log), &restored);
                let same = was.replica.as_ref().filter(|_| was.process == is.process);
                if same.is_some_and(|was| has_decreased(was.log_store(), store)) {
                    broken.insert(LOWERED);
                }
            }
            if is_missing {
                broken.insert(PURGE_MISSING);
            }
        }
        state.broken = broken;
    }

    /// Applies the actions in order. Each of them must be possible.
    fn apply_all(&self, mut state: State, actions: impl IntoIterator<Item = Action>) -> State {
        for action in actions {
            let before = state.clone();
            self.apply(&mut state, &action)
                .unwrap_or_else(|| panic!("{action:?}"));
            self.check_invariants(&before, &mut state);
        }
        state
    }

    /// Returns a state in which the writer has purged subjects 1, 2, 3 and 1 and has them on its disk, and the follower has
    /// received the first purge.
    fn state_after_appends(&self) -> State {
        let proxy = |n| {
            let (disk, writes) = (Disk::default(), VecDeque::new());
            let mut proxy = Proxy {
                replica: None,
                process: 1,
                disk,
                writes,
                ticks: 0,
            };
            self.start(n, &mut proxy);
            proxy
        };
        let mut state = State {
            proxies: vec![proxy(WRITER), proxy(FOLLOWER)],
            sent: BTreeMap::new(),
            appended: BTreeMap::new(),
            purges: 0,
            crashes: 0,
            broken: BTreeSet::new(),
            snapshots: 0,
        };
        for (at, purged) in (1..).zip([1, 2, 3, 1]) {
            self.purge(&mut state, subject(purged), at * MS)
                .expect("the capacity is not exceeded");
            self.write(&mut state, WRITER)
                .expect("the write was queued");
        }
        let first = state
            .sent
            .keys()
            .find(|(.., bytes)| bytes.ends_with(b"object 1"))
            .expect("the datagram was sent");
        let (from, to, bytes) = first.clone();
        self.apply_all(
            state,
            [Action::Deliver(from, to, bytes), Action::Write(FOLLOWER)],
        )
    }

    /// Returns the delivery of the last datagram with this prefix that was not delivered yet.
    fn last_sent(state: &State, prefix: &str) -> Action {
        let sent = state
            .sent
            .iter()
            .rfind(|((.., bytes), times)| bytes.starts_with(prefix.as_bytes()) && **times == 0);
        let ((from, to, bytes), _) =
            sent.unwrap_or_else(|| panic!("no datagram starts with {prefix}"));
        Action::Deliver(*from, *to, bytes.clone())
    }

    /// Returns a state in which the writer has compacted its log, and the follower has received the offer of a snapshot and
    /// its compacted indexes.
    fn state_after_offer(&self) -> State {
        let state = self.apply_all(self.state_after_appends(), [Action::Compact(WRITER)]);
        let state = self.apply_all(
            state,
            [
                Action::Write(WRITER),
                Action::Write(WRITER),
                Action::Tick(FOLLOWER),
            ],
        );
        let state = self.apply_all(state.clone(), [Self::last_sent(&state, "copies1 have")]);
        let state = self.apply_all(state.clone(), [Self::last_sent(&state, "copies1 offer")]);
        let state = self.apply_all(state, [Action::Tick(FOLLOWER)]);
        let state = self.apply_all(state.clone(), [Self::last_sent(&state, "copies1 fetch")]);
        self.apply_all(state.clone(), [Self::last_sent(&state, "copies1 chunk")])
    }
}

impl Model for Protocol {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![self.state_after_appends(), self.state_after_offer()]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        // Only possible actions are listed, as a walk is reproduced from the positions of its actions in this list.
        let is_possible = |action: &Action| self.apply(&mut state.clone(), action).is_some();
        if state.purges < self.purges && is_possible(&Action::Purge) {
            actions.push(Action::Purge);
        }
        for (n, proxy) in state.proxies.iter().enumerate() {
            if proxy.replica.is_none() {
                actions.push(Action::Start(n));
                continue;
            }
            if is_possible(&Action::Compact(n)) {
                actions.push(Action::Compact(n));
            }
            if !proxy.writes.is_empty() {
                actions.push(Action::Write(n));
            }
            if proxy.ticks < self.ticks {
                actions.push(Action::Tick(n));
            }
            if state.crashes < self.crashes {
                actions.push(Action::Crash(n));
            }
        }
        let runs = |to: usize| state.proxies[to].replica.is_some();
        let deliver = state
            .sent
            .iter()
            .filter(|((_, to, _), times)| runs(*to) && **times < 2);
        actions.extend(
            deliver.map(|((from, to, bytes), _)| Action::Deliver(*from, *to, bytes.clone())),
        );
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        self.apply(&mut state, &action)?;
        self.check_invariants(last, &mut state);
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(LOWERED, |_, state: &State| !state.broken.contains(LOWERED)),
            Property::always(PURGE_MISSING, |_, state: &State| {
                !state.broken.contains(PURGE_MISSING)
            }),
            Property::always(REUSED, |_, state: &State| !state.broken.contains(REUSED)),
            Property::sometimes(SNAPSHOT_COMPLETE, |_, state: &State| state.snapshots > 0),
            Property::sometimes(LOGS_EQUAL, |_, state: &State| {
                let sum = |proxy: &Proxy| proxy.replica.as_ref().map(|r| r.log_store().checksum());
                let sums: Vec<_> = state.proxies.iter().map(sum).collect();
                state.snapshots > 0 && state.crashes > 0 && sums[0].is_some() && sums[0] == sums[1]
            }),
        ]
    }
}

const SNAPSHOT_COMPLETE: &str = "a snapshot is complete";
const LOGS_EQUAL: &str = "both agree after a snapshot and a crash";
const FAILURES: [&str; 3] = [LOWERED, PURGE_MISSING, REUSED];

fn check(injected_fault: InjectedFault) -> Vec<&'static str> {
    let checker = Protocol {
        injected_fault,
        purges: 2,
        crashes: 1,
        ticks: 4,
    }
    .checker();
    // The number of states that are checked within half a minute, in breadth-first order.
    let max_states = std::env::var("MODEL_STATES")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(600_000);
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

fn walk(injected_fault: InjectedFault) -> Vec<&'static str> {
    let checker = Protocol {
        injected_fault,
        purges: 3,
        crashes: 2,
        ticks: 12,
    }
    .checker()
    .threads(1);
    let checker = checker.target_max_depth(80).target_state_count(300_000);
    let checker = checker
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_simulation(11, UniformChooser)
        .join();
    println!(
        "{injected_fault:?}, walks: {} states, {} deep",
        checker.state_count(),
        checker.max_depth()
    );
    checker.discoveries().into_keys().collect()
}

#[test]
fn reachable_states_violate_no_invariant() {
    let found = check(InjectedFault::None);
    assert!(
        !found.iter().any(|name| FAILURES.contains(name)),
        "{found:?}"
    );
    assert!(found.contains(&SNAPSHOT_COMPLETE), "{found:?}");
}

#[test]
fn random_walks_violate_no_invariant() {
    let found = walk(InjectedFault::None);
    assert!(
        !found.iter().any(|name| FAILURES.contains(name)),
        "{found:?}"
    );
    assert!(
        found.contains(&SNAPSHOT_COMPLETE) && found.contains(&LOGS_EQUAL),
        "{found:?}"
    );
}

#[test]
fn injected_faults_are_detected() {
    assert!(check(InjectedFault::DeleteBeforeBuckets).contains(&LOWERED));
    assert!(check(InjectedFault::PrevWithoutCompaction).contains(&PURGE_MISSING));
    assert!(check(InjectedFault::IncompleteBuckets).contains(&PURGE_MISSING));
    assert!(check(InjectedFault::AckBeforeSync).contains(&PURGE_MISSING));
    assert!(walk(InjectedFault::SameEpoch).contains(&REUSED));
}
