//! Compaction and snapshots as a model for stateright, on the real types: a writer that compacts, a follower that is
//! behind; datagrams that are lost, doubled and out of order; disks that are behind, each of whose writes may be the
//! last; crashes at any step. In no state that can be reached
//!
//! - has a floor fallen, of what a process holds or of what its disk would give back;
//! - is a position told, by a process, by its disk or by what it says is durable, that covers a purge of which there is
//!   no floor;
//! - is an index of a log given twice.

use linnetknot_replication::*;
use linnetknot_simnet::{member_at, peer_index};
use stateright::{Checker, HasDiscoveries, Model, Property, UniformChooser};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const WRITER: usize = 0;
const FOLLOWER: usize = 1;
const MS: Micros = 1_000;

/// What is left out of the protocol, for the properties to notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Planted {
    Nothing,
    /// Entries are deleted before the buckets that hold them are written.
    DeletedFirst,
    /// An entry names the one in force before it as if those that were compacted were superseded.
    SkippingPrev,
    /// A log is raised before the last of the buckets has come.
    RaisedEarly,
    /// What a snapshot brought counts as durable before the disk has it.
    AckedEarly,
    /// A log continues its epoch after a crash.
    SameEpoch,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Write {
    Entry(Entry),
    Buckets(Vec<(BucketIndex, Bucket)>),
    Compacted(Vec<CompactedLog>),
    /// Indexes that a snapshot brought.
    Snapshot(Vec<CompactedLog>),
    Delete(Entry),
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Disk {
    entries: BTreeMap<(LogId, Subject), Entry>,
    buckets: BTreeMap<BucketIndex, Bucket>,
    compacted: BTreeMap<LogId, Index>,
}

fn bits() -> BucketBits {
    BucketBits::MIN
}

impl Disk {
    fn restore(&self) -> LogStore {
        let mut table = CompactTable::new(bits());
        for (index, bucket) in &self.buckets {
            table
                .merge_bucket(bits(), *index, bucket)
                .expect("a bucket of this table");
        }
        let logs = self.compacted.iter().map(|(log, through)| CompactedLog {
            log: *log,
            through: *through,
        });
        let entries = self.entries.values().cloned().collect();
        LogStore::restore(table, &logs.collect::<Vec<_>>(), entries)
            .expect("each index stands once")
    }

    fn take(&mut self, write: &Write) {
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
    /// None while it is down.
    replica: Option<Replica>,
    process: u64,
    disk: Disk,
    writes: VecDeque<Write>,
    ticks: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    proxies: Vec<Proxy>,
    /// What was sent, and how often it came.
    sent: BTreeMap<(usize, usize, Vec<u8>), u8>,
    /// What was written at each index of each log.
    appended: BTreeMap<(LogId, Index), (Subject, Micros)>,
    tells: u8,
    crashes: u8,
    broken: BTreeSet<&'static str>,
    snapshots: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Tell,
    Compact(usize),
    Write(usize),
    Deliver(usize, usize, Vec<u8>),
    Tick(usize),
    Crash(usize),
    Start(usize),
}

struct Protocol {
    planted: Planted,
    tells: u8,
    crashes: u8,
    ticks: u8,
}

const FALLEN: &str = "no floor falls";
const UNCOVERED: &str = "a position covers no purge without a floor";
const TWICE: &str = "an index is given once";

fn subject(n: usize) -> Subject {
    Subject::Object(format!("{n:x}"))
}

/// The floors that a store gives for all that was told.
fn floors(store: &LogStore, state: &State) -> BTreeMap<Subject, Option<Micros>> {
    state
        .appended
        .values()
        .map(|(subject, _)| (subject.clone(), store.latest_purge(subject)))
        .collect()
}

/// Whether a later entry of a log on the same subject is on a disk, so that it is still to come everywhere: a disk has
/// one entry of a log on each subject, and who starts with it passes over those that were superseded.
fn is_to_come(state: &State, log: LogId, index: Index) -> bool {
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
            // Two chunks in answer to each request.
            snapshot_bytes_per_s: 2 * 20 * MAX_DATAGRAM_BYTES,
            ..Options::default()
        };
        let epoch = if self.planted == Planted::SameEpoch {
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
            // Nothing here waits for one.
            return;
        }
        if let (Planted::SkippingPrev, Datagram::Entry(entry)) = (self.planted, &mut datagram) {
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
            .entry((from, to, datagram.encode().expect("it fits")))
            .or_default();
    }

    fn tell(&self, state: &mut State, purged: Subject, at: Micros) -> Option<()> {
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
            state.broken.insert(TWICE);
        }
        self.send(state, WRITER, FOLLOWER, &Datagram::Entry(entry.clone()));
        state.proxies[WRITER].writes.push_back(Write::Entry(entry));
        Some(())
    }

    fn compact(&self, state: &mut State, n: usize) -> Option<()> {
        let proxy = &mut state.proxies[n];
        let replica = proxy.replica.as_mut()?;
        // Its time is behind that of every purge.
        let compaction = replica.compact(1_000 * MS)?;
        let table = replica.log_store().table();
        let buckets = compaction
            .buckets
            .iter()
            .filter_map(|index| Some((*index, *table.bucket(*index)?)));
        let hold = [
            Write::Buckets(buckets.collect()),
            Write::Compacted(compaction.logs),
        ];
        let delete = compaction.entries.into_iter().map(Write::Delete);
        match self.planted {
            Planted::DeletedFirst => proxy.writes.extend(delete.chain(hold)),
            _ => proxy.writes.extend(hold.into_iter().chain(delete)),
        }
        Some(())
    }

    fn write(&self, state: &mut State, n: usize) -> Option<()> {
        let proxy = &mut state.proxies[n];
        let write = proxy.writes.pop_front()?;
        proxy.disk.take(&write);
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
        if let (Planted::RaisedEarly, Datagram::SnapshotChunk(chunk)) =
            (self.planted, &mut datagram)
        {
            if let SnapshotContent::Buckets { buckets, .. } = &mut chunk.content {
                buckets.truncate(1);
            }
        }
        let proxy = &mut state.proxies[to];
        let replica = proxy.replica.as_mut()?;
        let received = replica.receive(Micros::MAX, peer_index(from, to), datagram);
        if self.planted == Planted::AckedEarly {
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
        // So far apart that all is due each time.
        let outgoing = replica.tick(Micros::from(proxy.ticks) * 1_000 * MS);
        outgoing
            .iter()
            .for_each(|out| self.send(state, n, member_at(out.peer, n), &out.datagram));
        Some(())
    }

    fn act(&self, state: &mut State, action: &Action) -> Option<()> {
        match action {
            Action::Tell => {
                state.tells += 1;
                // The second one supersedes one that was told before.
                let purged = [4, 1, 5][usize::from(state.tells - 1) % 3];
                self.tell(
                    state,
                    subject(purged),
                    (10 + Micros::from(state.tells)) * MS,
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

    /// Notes in a state what must not be, given the one before it.
    fn judge(&self, before: &State, state: &mut State) {
        let mut broken = state.broken.clone();
        for (was, is) in before.proxies.iter().zip(&state.proxies) {
            let restored = is.disk.restore();
            let fell = |old: &LogStore, new: &LogStore| {
                floors(old, before)
                    .iter()
                    .any(|(subject, floor)| new.latest_purge(subject) < *floor)
            };
            if was.disk != is.disk && fell(&was.disk.restore(), &restored) {
                broken.insert(FALLEN);
            }
            let uncovered = |positions: &dyn Fn(LogId) -> Index, store: &LogStore| {
                state.appended.iter().any(|((log, index), (subject, at))| {
                    let is_covered = positions(*log) >= *index;
                    is_covered
                        && store.latest_purge(subject) < Some(*at)
                        && !is_to_come(state, *log, *index)
                })
            };
            let mut is_uncovered = uncovered(&|log| restored.last_index(log), &restored);
            if let Some(replica) = &is.replica {
                let store = replica.log_store();
                is_uncovered |= uncovered(&|log| store.last_index(log), store);
                is_uncovered |= uncovered(&|log| replica.durable_index(log), &restored);
                let same = was.replica.as_ref().filter(|_| was.process == is.process);
                if same.is_some_and(|was| fell(was.log_store(), store)) {
                    broken.insert(FALLEN);
                }
            }
            if is_uncovered {
                broken.insert(UNCOVERED);
            }
        }
        state.broken = broken;
    }

    /// All actions in turn, each of which must be possible.
    fn play(&self, mut state: State, actions: impl IntoIterator<Item = Action>) -> State {
        for action in actions {
            let before = state.clone();
            self.act(&mut state, &action)
                .unwrap_or_else(|| panic!("{action:?}"));
            self.judge(&before, &mut state);
        }
        state
    }

    /// The writer has told of subjects 1, 2, 1, 3 and again 3, all on its disk, the follower has the first.
    fn appended(&self) -> State {
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
            tells: 0,
            crashes: 0,
            broken: BTreeSet::new(),
            snapshots: 0,
        };
        for (at, purged) in (1..).zip([1, 2, 3, 1]) {
            self.tell(&mut state, subject(purged), at * MS)
                .expect("there is capacity");
            self.write(&mut state, WRITER).expect("it was appended");
        }
        let first = state
            .sent
            .keys()
            .find(|(.., bytes)| bytes.ends_with(b"object 1"))
            .expect("it was sent");
        let (from, to, bytes) = first.clone();
        self.play(
            state,
            [Action::Deliver(from, to, bytes), Action::Write(FOLLOWER)],
        )
    }

    /// What was sent last of those that begin so.
    fn sent(state: &State, mark: &str) -> Action {
        let sent = state
            .sent
            .iter()
            .rfind(|((.., bytes), times)| bytes.starts_with(mark.as_bytes()) && **times == 0);
        let ((from, to, bytes), _) = sent.unwrap_or_else(|| panic!("no {mark}"));
        Action::Deliver(*from, *to, bytes.clone())
    }

    /// The writer has compacted, and the follower was offered a snapshot and sent the logs' indexes.
    fn offered(&self) -> State {
        let state = self.play(self.appended(), [Action::Compact(WRITER)]);
        let state = self.play(
            state,
            [
                Action::Write(WRITER),
                Action::Write(WRITER),
                Action::Tick(FOLLOWER),
            ],
        );
        let state = self.play(state.clone(), [Self::sent(&state, "copies1 have")]);
        let state = self.play(state.clone(), [Self::sent(&state, "copies1 offer")]);
        let state = self.play(state, [Action::Tick(FOLLOWER)]);
        let state = self.play(state.clone(), [Self::sent(&state, "copies1 fetch")]);
        self.play(state.clone(), [Self::sent(&state, "copies1 chunk")])
    }
}

impl Model for Protocol {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![self.appended(), self.offered()]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        // Only what is possible: walks are played again by the places of their actions in this list.
        let is_possible = |action: &Action| self.act(&mut state.clone(), action).is_some();
        if state.tells < self.tells && is_possible(&Action::Tell) {
            actions.push(Action::Tell);
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
        self.act(&mut state, &action)?;
        self.judge(last, &mut state);
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(FALLEN, |_, state: &State| !state.broken.contains(FALLEN)),
            Property::always(UNCOVERED, |_, state: &State| {
                !state.broken.contains(UNCOVERED)
            }),
            Property::always(TWICE, |_, state: &State| !state.broken.contains(TWICE)),
            Property::sometimes(COMPLETE, |_, state: &State| state.snapshots > 0),
            Property::sometimes(AGREE, |_, state: &State| {
                let sum = |proxy: &Proxy| proxy.replica.as_ref().map(|r| r.log_store().checksum());
                let sums: Vec<_> = state.proxies.iter().map(sum).collect();
                state.snapshots > 0 && state.crashes > 0 && sums[0].is_some() && sums[0] == sums[1]
            }),
        ]
    }
}

const COMPLETE: &str = "a snapshot is complete";
const AGREE: &str = "both agree after a snapshot and a crash";
const FAILURES: [&str; 3] = [FALLEN, UNCOVERED, TWICE];

fn check(planted: Planted) -> Vec<&'static str> {
    let checker = Protocol {
        planted,
        tells: 2,
        crashes: 1,
        ticks: 4,
    }
    .checker();
    // As many states as fit into half a minute of CI, in the order of their depth.
    let most = std::env::var("MODEL_STATES")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(600_000);
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

fn walk(planted: Planted) -> Vec<&'static str> {
    let checker = Protocol {
        planted,
        tells: 3,
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
        "{planted:?}, walks: {} states, {} deep",
        checker.state_count(),
        checker.max_depth()
    );
    checker.discoveries().into_keys().collect()
}

#[test]
fn no_state_within_reach_lets_a_floor_fall_or_covers_what_has_none() {
    let seen = check(Planted::Nothing);
    assert!(!seen.iter().any(|name| FAILURES.contains(name)), "{seen:?}");
    assert!(seen.contains(&COMPLETE), "{seen:?}");
}

#[test]
fn nor_does_any_state_of_many_long_walks() {
    let seen = walk(Planted::Nothing);
    assert!(!seen.iter().any(|name| FAILURES.contains(name)), "{seen:?}");
    assert!(
        seen.contains(&COMPLETE) && seen.contains(&AGREE),
        "{seen:?}"
    );
}

#[test]
fn what_is_left_out_is_found() {
    assert!(check(Planted::DeletedFirst).contains(&FALLEN));
    assert!(check(Planted::SkippingPrev).contains(&UNCOVERED));
    assert!(check(Planted::RaisedEarly).contains(&UNCOVERED));
    assert!(check(Planted::AckedEarly).contains(&UNCOVERED));
    assert!(walk(Planted::SameEpoch).contains(&TWICE));
}
