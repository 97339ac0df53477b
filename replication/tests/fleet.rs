//! Fleets of replicas on virtual time. Datagrams are lost, duplicated, delayed and reordered, links are cut in one
//! direction, and members are down, stall, or restart with an empty disk. All members must eventually have all entries.

use linnetknot_replication::*;
use linnetknot_simnet::{self as simnet, Delay, Step, Timed};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, VecDeque};

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// The current time in tests whose results do not depend on it.
const NOW: Micros = Micros::MAX;

/// A member of the fleet, with its replica, the effective purges and its disk.
struct Member {
    replica: Option<Replica>,
    epoch: Epoch,
    purge_times: BTreeMap<Subject, Micros>,
    disk: LogStore,
    /// The pending writes to the disk, and when each of them completes.
    writes: VecDeque<(Micros, Entry)>,
    /// The pending commits, each with the subject and time of its purge.
    pending: Vec<(CommitId, Subject, Micros)>,
    /// The datagrams that arrived during a stall; `None` if the member is not stalled.
    stalled: Option<Vec<(usize, Vec<u8>)>>,
}

struct Fleet {
    links: simnet::Network<Vec<u8>>,
    members: Vec<Member>,
    bytes: u64,
    /// The latest time of each purge.
    purged: BTreeMap<Subject, Micros>,
    /// The duration of a write to a disk in microseconds.
    disk_us: Micros,
    /// The latest time of each committed purge.
    committed: BTreeMap<Subject, Micros>,
    rejected: Vec<RejectReason>,
    options: Options,
}

/// The next event in the simulated fleet.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Write(usize),
    Tick(usize),
}

fn writer(n: usize) -> Writer {
    1_000 + n as u64
}

impl Fleet {
    fn new(members: usize, seed: u64, link_conditions: (u64, u64, Micros)) -> Fleet {
        let (loss_percent, duplicate_percent, max_jitter_us) = link_conditions;
        let mut fleet = Fleet {
            links: simnet::Network::new(
                seed,
                Delay {
                    min_us: MS,
                    jitter_us: max_jitter_us,
                },
            ),
            members: Vec::new(),
            bytes: 0,
            purged: BTreeMap::new(),
            disk_us: 0,
            committed: BTreeMap::new(),
            rejected: Vec::new(),
            options: Options::default(),
        };
        (fleet.links.loss_percent, fleet.links.duplicate_percent) =
            (loss_percent, duplicate_percent);
        for _ in 0..members {
            fleet.members.push(Member {
                replica: None,
                epoch: 7,
                purge_times: BTreeMap::new(),
                disk: LogStore::default(),
                writes: VecDeque::new(),
                pending: Vec::new(),
                stalled: None,
            });
        }
        (0..members).for_each(|n| fleet.start(n));
        fleet
    }

    /// Starts a member with the content of its disk.
    fn start(&mut self, n: usize) {
        let machines = (0..self.members.len())
            .filter(|m| *m != n)
            .map(|m| m as Machine);
        let m = &mut self.members[n];
        m.purge_times = m.disk.entries().map(|e| (e.subject, e.at)).collect();
        let process = self.links.now + n as u64;
        let mut replica = Replica::new(
            LogId::new(writer(n), m.epoch),
            m.disk.clone(),
            process,
            self.options,
        );
        replica.set_peers(n as Machine, machines.collect());
        m.replica = Some(replica);
    }

    fn kill(&mut self, n: usize) {
        let m = &mut self.members[n];
        (m.replica, m.stalled) = (None, None);
        m.purge_times.clear();
        // Pending writes are lost.
        m.writes.clear();
        m.pending.clear();
    }

    /// Replaces a member by a new machine of the same name, with an empty disk and a new epoch.
    fn lose_disk(&mut self, n: usize) {
        self.members[n].disk = LogStore::default();
        self.members[n].epoch = self.links.now;
    }

    fn send(&mut self, from: usize, to: usize, datagram: &Datagram) {
        let Some(bytes) = datagram.encode() else {
            panic!("too long: {datagram:?}")
        };
        self.bytes += bytes.len() as u64;
        self.links.send(from, to, &bytes);
    }

    /// Appends and commits a purge at a member.
    fn purge(&mut self, n: usize, subject: Subject) {
        let now = self.links.now;
        let Some(replica) = self.members[n].replica.as_mut() else {
            return;
        };
        let entry = replica
            .append(subject.clone(), now, false)
            .expect("the capacity is not exceeded");
        let commit = replica
            .open_commit(now, entry.index)
            .expect("the capacity is not exceeded");
        self.members[n].pending.push((commit, subject.clone(), now));
        self.apply_entry(n, &entry);
        self.purged.insert(subject, now);
        for to in (0..self.members.len()).filter(|to| *to != n) {
            self.send(n, to, &Datagram::Entry(entry.clone()));
        }
    }

    fn apply_entry(&mut self, n: usize, entry: &Entry) {
        let m = &mut self.members[n];
        let purged_at = m.purge_times.entry(entry.subject.clone()).or_insert(0);
        *purged_at = entry.at.max(*purged_at);
        m.writes
            .push_back((self.links.now + self.disk_us, entry.clone()));
        if self.disk_us == 0 {
            self.complete_write(n);
        }
    }

    /// Completes the oldest pending write.
    fn complete_write(&mut self, n: usize) {
        let m = &mut self.members[n];
        let Some((_, entry)) = m.writes.pop_front() else {
            return;
        };
        let taken = m.disk.try_insert(&entry, Capacity::UNLIMITED);
        assert_eq!(
            taken,
            Insertion::New,
            "entries must be written to the disk in order"
        );
        let outgoing = m
            .replica
            .as_mut()
            .map(|c| c.record_synced(entry.log, entry.index))
            .unwrap_or_default();
        outgoing
            .iter()
            .for_each(|out| self.send_to(n, out.peer, &out.datagram));
        self.resolve_commits(n);
    }

    /// Sends a datagram to a peer by its index among the other members.
    fn send_to(&mut self, n: usize, peer: usize, message: &Datagram) {
        self.send(n, simnet::member_at(peer, n), message);
    }

    fn resolve_commits(&mut self, n: usize) {
        let (now, m) = (self.links.now, &mut self.members[n]);
        for outcome in m
            .replica
            .as_mut()
            .map(|c| c.resolve_commits(now))
            .unwrap_or_default()
        {
            let index = m
                .pending
                .iter()
                .position(|(commit, ..)| *commit == outcome.commit)
                .expect("the commit is pending");
            let (_, subject, at) = m.pending.remove(index);
            match outcome.result {
                Ok(took) => {
                    assert!(took <= self.options.commit_timeout_us, "{took}");
                    let latest = self.committed.entry(subject).or_insert(0);
                    *latest = at.max(*latest);
                }
                Err(reason) => self.rejected.push(reason),
            }
        }
    }

    /// Returns the committed purges that no running member has, neither with their own time nor with a later time.
    fn lost_commits(&self) -> Vec<&Subject> {
        let runs = || self.members.iter().filter(|m| m.replica.is_some());
        let is_stored =
            |subject: &Subject, at: &Micros| runs().any(|m| m.purge_times.get(subject) >= Some(at));
        self.committed
            .iter()
            .filter(|(subject, at)| !is_stored(subject, at))
            .map(|(subject, _)| subject)
            .collect()
    }

    fn deliver(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        if let Some(queue) = &mut self.members[to].stalled {
            return queue.push((from, bytes));
        }
        let now = self.links.now;
        let Some(replica) = self.members[to].replica.as_mut() else {
            return;
        };
        let received = replica.receive(
            now,
            simnet::peer_index(from, to),
            Datagram::decode(&bytes).expect("the datagram is valid"),
        );
        received.new.iter().for_each(|e| self.apply_entry(to, e));
        for e in &received.out_of_order {
            let purged_at = self.members[to]
                .purge_times
                .entry(e.subject.clone())
                .or_insert(0);
            *purged_at = e.at.max(*purged_at);
        }
        received.replies.iter().for_each(|d| self.send(to, from, d));
        self.resolve_commits(to);
    }

    fn run(&mut self, for_us: Micros) {
        let end = self.links.now + for_us;
        loop {
            let due = |(n, m): (usize, &Member)| {
                let replica = m.replica.as_ref().filter(|_| m.stalled.is_none())?;
                let write = m.writes.front().map(|(at, _)| Timed {
                    at: *at,
                    event: Due::Write(n),
                });
                let tick = Timed {
                    at: replica.due(),
                    event: Due::Tick(n),
                };
                write.into_iter().chain([tick]).min()
            };
            let due = self.members.iter().enumerate().filter_map(due).min();
            match self.links.step(end, due) {
                Step::Delivered { from, to, message } => self.deliver(from, to, message),
                Step::Due(Due::Write(n)) => self.complete_write(n),
                Step::Due(Due::Tick(n)) => {
                    let now = self.links.now;
                    let messages = self.members[n]
                        .replica
                        .as_mut()
                        .map(|c| c.tick(now))
                        .unwrap_or_default();
                    messages
                        .iter()
                        .for_each(|out| self.send_to(n, out.peer, &out.datagram));
                    self.resolve_commits(n);
                }
                Step::Finished => return,
            }
        }
    }

    fn resume(&mut self, n: usize) {
        for (from, bytes) in self.members[n].stalled.take().unwrap_or_default() {
            self.deliver(from, n, bytes);
        }
    }

    /// Returns the number of running members that are missing any purge.
    fn lagging_members(&self) -> usize {
        let has_all = |m: &Member| {
            self.purged
                .iter()
                .all(|(subject, at)| m.purge_times.get(subject) >= Some(at))
        };
        self.members
            .iter()
            .filter(|m| m.replica.is_some() && !has_all(m))
            .count()
    }
}

/// Returns a datagram that acknowledges the entries of a log through an index.
fn ack_of(process: u64, log: LogId, index: Index) -> Datagram {
    Datagram::Ack {
        process,
        positions: vec![LogPosition { log, index }],
    }
}

fn object(n: u64) -> Subject {
    Subject::Object(format!("{n:016x}"))
}

#[test]
fn entries_reach_all_members_at_once_without_loss_and_idle_traffic_is_low() {
    let mut fleet = Fleet::new(16, 3, (0, 0, 5 * MS));
    fleet.run(S);
    for n in 0..40 {
        fleet.purge(
            n as usize % 16,
            if n % 4 == 0 {
                Subject::Group(n)
            } else {
                object(n)
            },
        );
    }
    fleet.run(10 * MS);
    assert_eq!(fleet.lagging_members(), 0);
    fleet.run(10 * S);
    let before = fleet.bytes;
    fleet.run(10 * S);
    let bytes_per_s = (fleet.bytes - before) / 16 / 10;
    assert!(
        bytes_per_s < 1_200,
        "an idle member sends {bytes_per_s} bytes per second"
    );
}

#[test]
fn all_members_receive_all_entries_despite_loss_duplication_and_reordering() {
    for seed in 0..30 {
        let mut fleet = Fleet::new(9, seed, (40, 30, 400 * MS));
        for n in 0..60 {
            fleet.purge((n % 9) as usize, object(n % 45));
            fleet.run(30 * MS);
        }
        fleet.run(20 * S);
        assert_eq!(fleet.lagging_members(), 0, "seed {seed}");
    }
}

/// A large trigger appends many entries at once. Only lost datagrams may be sent again, so that the commits do not time
/// out.
#[test]
fn a_burst_over_lossy_links_is_committed_in_time() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(3, seed, (25, 10, 5 * MS));
        fleet.run(S);
        (0..300).for_each(|n| fleet.purge(0, object(n)));
        fleet.run(fleet.options.commit_timeout_us);
        assert_eq!(
            (fleet.committed.len(), fleet.rejected.len()),
            (300, 0),
            "seed {seed}"
        );
        fleet.run(5 * S);
        assert_eq!(fleet.lagging_members(), 0, "seed {seed}");
        let sent = fleet
            .members
            .iter()
            .flat_map(|m| &m.replica)
            .map(|c| c.counters().sent)
            .sum::<u64>();
        // Two peers each lose a quarter of the datagrams.
        assert!(sent < 3 * 300, "seed {seed}: {sent} were sent again");
    }
}

/// The writer is killed and does not return. The other members lack one entry of its log, which only the writer had,
/// but have the next entry.
#[test]
fn gap_requests_for_lost_entries_are_as_infrequent_as_digests() {
    let mut fleet = Fleet::new(3, 5, (100, 0, MS));
    fleet.run(S);
    fleet.purge(0, object(1));
    fleet.links.loss_percent = 0;
    fleet.purge(0, object(2));
    fleet.run(3 * MS);
    fleet.kill(0);
    fleet.run(10 * S);
    let before = fleet.bytes;
    fleet.run(10 * S);
    let bytes_per_s = (fleet.bytes - before) / 2 / 10;
    assert!(
        bytes_per_s < 600,
        "each member sends {bytes_per_s} bytes per second"
    );
    assert!(
        fleet.members[1..]
            .iter()
            .all(|m| m.purge_times.contains_key(&object(2))),
        "the later purge is effective"
    );
}

#[test]
fn a_member_that_the_writer_cannot_reach_receives_entries_from_others() {
    let mut fleet = Fleet::new(4, 5, (0, 0, 5 * MS));
    fleet.links.cut(0, 3);
    (0..10).for_each(|n| fleet.purge(0, object(n)));
    fleet.run(10 * MS);
    assert_eq!(fleet.lagging_members(), 1, "the link from 0 to 3 is cut");
    fleet.run(6 * S);
    assert_eq!(fleet.lagging_members(), 0);
}

#[test]
fn both_sides_of_a_partition_converge_after_it() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(5, seed, (10, 10, 50 * MS));
        for a in 0..2 {
            for b in 2..5 {
                fleet.links.cut(a, b);
                fleet.links.cut(b, a);
            }
        }
        for n in 0..20 {
            fleet.purge(n as usize % 5, object(n % 12));
            fleet.run(100 * MS);
        }
        // A member of each side restarts during the partition, one of them with an empty disk.
        for n in [1, 4] {
            fleet.kill(n);
            if n == 4 {
                fleet.lose_disk(n);
            }
            fleet.start(n);
        }
        fleet.run(3 * S);
        fleet.links.restore();
        fleet.run(15 * S);
        assert_eq!(fleet.lagging_members(), 0, "seed {seed}");
        assert!(
            fleet
                .members
                .iter()
                .all(|m| m.disk.checksum() == fleet.members[0].disk.checksum()),
            "seed {seed}: the logs differ"
        );
    }
}

#[test]
fn a_member_that_was_down_or_lost_its_disk_recovers_all_entries() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(4, seed, (20, 10, 50 * MS));
        (0..30).for_each(|n| fleet.purge(n as usize % 4, object(n)));
        fleet.run(10 * S);
        fleet.kill(2);
        (30..200).for_each(|n| fleet.purge(0, object(n)));
        fleet.run(S);
        if seed % 2 == 0 {
            fleet.lose_disk(2);
        }
        fleet.start(2);
        fleet.run(20 * S);
        assert_eq!(fleet.lagging_members(), 0, "seed {seed}");
        // The member appends to a log of its current epoch.
        fleet.purge(2, object(500));
        fleet.run(10 * S);
        assert_eq!(fleet.lagging_members(), 0, "seed {seed}");
    }
}

#[test]
fn a_stalled_member_catches_up() {
    let mut fleet = Fleet::new(3, 1, (0, 0, 5 * MS));
    fleet.members[1].stalled = Some(Vec::new());
    (0..50).for_each(|n| fleet.purge(0, object(n)));
    fleet.run(5 * S);
    fleet.resume(1);
    fleet.run(5 * S);
    assert_eq!(fleet.lagging_members(), 0);
}

#[test]
fn fleets_converge_after_all_members_restart_at_once() {
    for members in [2, 16, 64] {
        let mut fleet = Fleet::new(members, 11, (10, 5, 20 * MS));
        (0..100).for_each(|n| fleet.purge(n as usize % members, object(n)));
        fleet.run(300 * MS);
        (0..members).for_each(|n| fleet.kill(n));
        fleet.links.drop_in_flight();
        (0..members).for_each(|n| fleet.start(n));
        fleet.run(60 * S);
        assert_eq!(fleet.lagging_members(), 0, "{members}");
    }
}

/// Returns options for a replica that stores two entries, and up to four that cannot be compacted.
fn two_entries() -> Options {
    Options {
        max_exact_entries: 2,
        max_logs: 2,
        ..Options::default()
    }
}

/// Returns the first entry of another writer's log.
fn first_of_another_log() -> Datagram {
    Datagram::Entry(Entry {
        log: LogId::new(2, 7),
        index: 1,
        prev: 0,
        subject: Subject::Group(9),
        at: 1,
        revoked: false,
    })
}

/// Only entries on the disk can be moved to the compact table. Without a working disk, twice the maximum number of
/// entries is stored, and further entries are rejected.
#[test]
fn unsynced_entries_are_limited_and_none_is_dropped() {
    const OWN: LogId = LogId::new(1, 7);
    let mut replica = Replica::new(OWN, LogStore::default(), 1, two_entries());
    for n in 1..=4 {
        replica.append(object(n), 4 + n, false).unwrap();
        assert_eq!(replica.compact(100), None, "no entry is on the disk");
    }
    assert_eq!(replica.append(object(5), 9, false), Err(CapacityExceeded));
    assert_eq!(
        replica.append(object(1), 10, false),
        Err(CapacityExceeded),
        "a repeated purge is a further entry"
    );
    assert_eq!(
        (
            replica.log_store().last_index(OWN),
            replica.log_store().len()
        ),
        (4, 4)
    );
    let received = replica.receive(NOW, 0, first_of_another_log());
    assert_eq!(
        (
            received.rejected.len(),
            received.new.len(),
            replica.counters().rejected
        ),
        (1, 0, 1)
    );
    assert_eq!(replica.log_store().entries().count(), 4);
    // Writes to the disk succeed again.
    (1..=4).for_each(|index| drop(replica.record_synced(OWN, index)));
    let now = 100 + S;
    let moved = replica
        .compact(now)
        .expect("all entries but the last can be moved");
    assert_eq!(
        moved.entries.iter().map(|e| e.index).collect::<Vec<_>>(),
        [1, 2, 3]
    );
    assert_eq!(
        moved.logs,
        [CompactedLog {
            log: OWN,
            through: 3
        }]
    );
    let again = replica.receive(NOW, 0, first_of_another_log());
    assert_eq!(
        (again.rejected.len(), again.new.len()),
        (0, 1),
        "the rejected entry is accepted when it is sent again"
    );
    let times = [(1, 5), (2, 6), (3, 7), (4, 8)];
    assert!(times
        .iter()
        .all(|(n, at)| replica.log_store().latest_purge(&object(*n)) >= Some(*at)));
    assert_eq!(
        replica.log_store().latest_purge(&object(5)),
        None,
        "the purge was rejected"
    );
}

#[test]
fn no_purge_is_rejected_for_capacity_while_the_disk_works() {
    let options = Options {
        max_exact_entries: 64,
        ..Options::default()
    };
    let mut replica = Replica::new(LogId::new(1, 7), LogStore::default(), 1, options);
    for n in 1..=2_560 {
        let entry = replica
            .append(object(n), n * MS, false)
            .expect("no purge is rejected");
        replica.record_synced(entry.log, entry.index);
        replica.compact(n * MS);
        assert!(replica.log_store().len() <= 64, "{n}");
        assert_eq!(replica.log_store().last_index(entry.log), n);
    }
    assert!((1..=2_560).all(|n| replica.log_store().latest_purge(&object(n)) >= Some(n * MS)));
    assert_eq!(
        replica.counters().compacted + replica.log_store().len() as u64,
        2_560
    );
}

/// Machines are lost with their disks at random times, one after the other, over unreliable links. Each committed purge
/// must always be stored by a running member, and finally by all members.
#[test]
fn commits_survive_the_loss_of_one_machine_at_any_time() {
    let (mut committed, mut rejected, mut disk_losses) = (0, 0, 0);
    for seed in 0..400 {
        let mut fleet = Fleet::new(5, seed, (20, 10, 30 * MS));
        fleet.disk_us = 1 + fleet.links.draw(30 * MS);
        fleet.run(S);
        for n in 0..60 {
            let (writer, other) = (fleet.links.draw(5) as usize, fleet.links.draw(5) as usize);
            match fleet.links.draw(6) {
                0 => fleet.links.cut(writer, other),
                1 => fleet.links.restore(),
                _ => {}
            }
            fleet.purge(writer, object(n));
            let pause = fleet.links.draw(80 * MS);
            fleet.run(pause);
            if fleet.links.draw(3) == 0 {
                let lost = if fleet.links.draw(2) == 0 {
                    writer
                } else {
                    other
                };
                fleet.kill(lost);
                fleet.lose_disk(lost);
                assert_eq!(
                    fleet.lost_commits(),
                    Vec::<&Subject>::new(),
                    "seed {seed}, {n}: p{lost} was lost with its disk"
                );
                fleet.start(lost);
                // The next machine is lost only after the replacement of this machine has recovered.
                fleet.links.restore();
                fleet.run(10 * S);
                disk_losses += 1;
            }
        }
        fleet.links.restore();
        fleet.run(20 * S);
        let everywhere = |m: &Member| {
            fleet
                .committed
                .iter()
                .all(|(subject, at)| m.purge_times.get(subject) >= Some(at))
        };
        assert!(fleet.members.iter().all(everywhere), "seed {seed}");
        let replica = |m: &Member| m.replica.as_ref().map_or(0, Replica::under_replicated);
        assert_eq!(
            fleet.members.iter().map(replica).sum::<usize>(),
            0,
            "seed {seed}: no entry is under-replicated"
        );
        committed += fleet.committed.len();
        rejected += fleet.rejected.len();
    }
    assert!(
        committed > 15_000 && disk_losses > 5_000,
        "{committed} committed, {rejected} rejected, {disk_losses} disks lost"
    );
}

/// Checks that the preceding test detects lost commits.
#[test]
fn commits_without_acknowledgements_are_lost_with_their_machine() {
    let mut lost = 0;
    for seed in 0..40 {
        let mut fleet = Fleet::new(3, seed, (0, 0, 5 * MS));
        fleet.options.min_acks = 0;
        (0..3).for_each(|n| fleet.start(n));
        fleet.links.cut(0, 1);
        fleet.links.cut(0, 2);
        fleet.purge(0, object(seed));
        fleet.run(10 * MS);
        assert_eq!(
            fleet.committed.len(),
            1,
            "committed on the local disk alone"
        );
        fleet.kill(0);
        fleet.lose_disk(0);
        lost += fleet.lost_commits().len();
    }
    assert_eq!(lost, 40);
}

#[test]
fn commits_are_rejected_with_the_reason_if_no_other_machine_acknowledges() {
    let mut fleet = Fleet::new(3, 5, (0, 0, 5 * MS));
    fleet.disk_us = MS;
    fleet.run(S);
    // The entry arrives, but the acknowledgements are lost.
    fleet.links.cut(1, 0);
    fleet.links.cut(2, 0);
    fleet.purge(0, object(1));
    fleet.run(900 * MS);
    assert!(
        fleet.rejected.is_empty() && fleet.committed.is_empty(),
        "the commit is pending"
    );
    fleet.run(200 * MS);
    assert_eq!(
        fleet.rejected,
        [RejectReason::TooFewReplicas { have: 0, wanted: 1 }]
    );
    assert_eq!(
        fleet.members[0]
            .replica
            .as_ref()
            .unwrap()
            .under_replicated(),
        1
    );
    fleet.links.restore();
    fleet.run(2 * S);
    assert_eq!(
        fleet.members[0]
            .replica
            .as_ref()
            .unwrap()
            .under_replicated(),
        0,
        "the entry is sent again until it is acknowledged"
    );
    fleet.purge(0, object(2));
    fleet.run(100 * MS);
    assert_eq!(fleet.committed.len(), 1);
}

#[test]
fn peers_on_one_machine_count_once_and_those_on_the_own_machine_do_not_count() {
    let options = Options {
        min_acks: 2,
        ..Options::default()
    };
    let mut replica = Replica::new(LogId::new(1, 7), LogStore::default(), 1, options);
    // Peers 0 and 1 run on machine 20, peer 2 on this proxy's own machine, and peer 3 on machine 30.
    replica.set_peers(10, vec![20, 20, 10, 30]);
    let entry = replica.append(object(1), 5, false).unwrap();
    replica.open_commit(100, entry.index).unwrap();
    assert!(replica.record_synced(entry.log, entry.index).is_empty());
    let ack = || ack_of(5, LogId::new(1, 7), 1);
    for peer in [0, 1, 2] {
        replica.receive(NOW, peer, ack());
        assert_eq!(replica.resolve_commits(200), [], "{peer}");
    }
    // An acknowledgement of another writer's log does not count towards the commit.
    replica.receive(NOW, 3, ack_of(5, LogId::new(2, 7), 9));
    assert_eq!(
        (replica.resolve_commits(200), replica.under_replicated()),
        (vec![], 1)
    );
    replica.receive(NOW, 3, ack());
    assert_eq!(
        replica.resolve_commits(300),
        [CommitOutcome {
            commit: 1,
            result: Ok(200)
        }]
    );
    assert_eq!(replica.under_replicated(), 0);
}

#[test]
fn pending_acknowledgements_are_retained_when_the_machine_of_a_peer_changes() {
    let mut replica = Replica::new(LogId::new(1, 7), LogStore::default(), 1, Options::default());
    replica.set_peers(10, vec![20, 30]);
    let entry = Entry {
        log: LogId::new(2, 9),
        index: 1,
        prev: 0,
        subject: object(1),
        at: 1,
        revoked: false,
    };
    replica.receive(NOW, 1, Datagram::Entry(entry));
    replica.set_peers(10, vec![20, 31]);
    let ack = ack_of(1, LogId::new(2, 9), 1);
    assert_eq!(
        replica.record_synced(LogId::new(2, 9), 1),
        [Outgoing {
            peer: 1,
            datagram: ack
        }]
    );
    // A pending acknowledgement is dropped if the peer to which it would be sent was removed.
    let entry = Entry {
        log: LogId::new(2, 9),
        index: 2,
        prev: 1,
        subject: object(2),
        at: 1,
        revoked: false,
    };
    replica.receive(NOW, 1, Datagram::Entry(entry));
    replica.set_peers(10, vec![20]);
    assert_eq!(replica.record_synced(LogId::new(2, 9), 2), []);
}

/// The failed write also rejects the commits of later entries, which are not durable without the failed one.
#[test]
fn a_failed_write_rejects_its_commit_and_is_retried() {
    let mut replica = Replica::new(LogId::new(1, 7), LogStore::default(), 1, Options::default());
    replica.set_peers(10, vec![20]);
    let all: Vec<Entry> = (1..=3)
        .map(|n| replica.append(object(n), n, false).unwrap())
        .collect();
    for e in &all {
        replica.open_commit(100, e.index).unwrap();
    }
    replica.receive(NOW, 0, ack_of(5, LogId::new(1, 7), 3));
    replica.record_synced(LogId::new(1, 7), 1);
    replica.record_sync_failure(LogId::new(1, 7), 2);
    replica.record_synced(LogId::new(1, 7), 3);
    let outcomes = replica.resolve_commits(100);
    assert_eq!(
        outcomes.iter().map(|s| s.result).collect::<Vec<_>>(),
        [Ok(0), Err(RejectReason::Disk), Err(RejectReason::Disk)]
    );
    assert_eq!(
        (replica.durable_index(LogId::new(1, 7)), replica.is_synced()),
        (1, false)
    );
    assert_eq!(replica.take_failed_syncs(), [all[1].clone()]);
    assert_eq!(
        replica.take_failed_syncs(),
        [],
        "the entry is already being written again"
    );
    replica.record_synced(LogId::new(1, 7), 2);
    assert_eq!(
        (replica.durable_index(LogId::new(1, 7)), replica.is_synced()),
        (3, true)
    );
    // A peer is sent an acknowledgement only once all entries through its index are synced.
    let peer_entry = |index| Entry {
        log: LogId::new(2, 9),
        index,
        prev: index - 1,
        subject: object(10 + index),
        at: 1,
        revoked: false,
    };
    (1..=2).for_each(|index| drop(replica.receive(NOW, 0, Datagram::Entry(peer_entry(index)))));
    assert_eq!(
        replica.record_synced(LogId::new(2, 9), 2),
        [],
        "the entry before it is not synced"
    );
    assert_eq!(
        replica.record_synced(LogId::new(2, 9), 1),
        [Outgoing {
            peer: 0,
            datagram: ack_of(1, LogId::new(2, 9), 2)
        }]
    );
    let again = replica.receive(NOW, 0, Datagram::Entry(peer_entry(1)));
    assert_eq!(
        again.replies,
        [ack_of(1, LogId::new(2, 9), 2)],
        "an entry that is sent again is acknowledged again"
    );
}

#[test]
fn delayed_acknowledgements_have_no_effect() {
    let mut replica = Replica::new(
        LogId::new(1, 7),
        LogStore::default(),
        1,
        Options {
            replication_factor: 1,
            ..Options::default()
        },
    );
    replica.set_peers(10, vec![20]);
    (1..=3).for_each(|n| drop(replica.append(object(n), n, false).unwrap()));
    let ack = |process, index| Datagram::Ack {
        process,
        positions: vec![LogPosition {
            log: LogId::new(1, 7),
            index,
        }],
    };
    let mut under_replicated_after = |message| {
        replica.receive(NOW, 0, message);
        replica.under_replicated()
    };
    assert_eq!(under_replicated_after(ack(5, 3)), 0);
    assert_eq!(
        under_replicated_after(ack(5, 1)),
        0,
        "an older acknowledgement of the same process"
    );
    assert_eq!(
        under_replicated_after(ack(6, 1)),
        2,
        "the next process of the peer has lost entries"
    );
    assert_eq!(
        under_replicated_after(ack(5, 3)),
        2,
        "an acknowledgement of the previous process"
    );
    assert_eq!(under_replicated_after(ack(6, 3)), 0);
}

#[test]
fn commits_beyond_the_maximum_are_rejected_at_once() {
    let mut replica = Replica::new(
        LogId::new(1, 7),
        LogStore::default(),
        1,
        Options {
            max_pending_commits: 2,
            ..Options::default()
        },
    );
    replica.set_peers(10, vec![20]);
    for n in 1..=2 {
        let entry = replica.append(object(n), n, false).unwrap();
        assert_eq!(replica.open_commit(n, entry.index), Ok(n));
    }
    let entry = replica.append(object(3), 3, false).unwrap();
    assert_eq!(
        replica.open_commit(3, entry.index),
        Err(RejectReason::TooManyPending)
    );
    let timeout = Options::default().commit_timeout_us;
    assert_eq!(
        replica.resolve_commits(1 + timeout).len(),
        1,
        "each commit has its own timeout"
    );
    assert_eq!(
        replica.resolve_commits(2 + timeout),
        [CommitOutcome {
            commit: 2,
            result: Err(RejectReason::Disk)
        }]
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128, rng_seed: RngSeed::Fixed(0x11af), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn any_bytes_are_decoded_or_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = Datagram::decode(&bytes);
        let mut prefixed = b"copies1 entry ".to_vec();
        prefixed.extend(&bytes);
        if let Ok(d) = Datagram::decode(&prefixed) {
            prop_assert!(d.encode().is_some());
        }
    }

    #[test]
    fn encoded_datagrams_are_decoded(
        writer: u64,
        epoch: u64,
        index in 1u64..,
        at: u64,
        group: u64,
        positions in proptest::collection::vec(any::<(u64, u64, u64)>(), 0..5),
        any_checksum: u64,
    ) {
        let position = |(writer, epoch, index)| LogPosition { log: LogId::new(writer, epoch), index };
        let positions: Vec<LogPosition> = positions.into_iter().map(position).collect();
        let text = format!("{{\"a b\": \"{at}%\"}}");
        let status = Subject::TriggerStatusPart { number: group, part: (any_checksum % 70_000) as u16, text };
        let gone = Subject::TriggerDeleted { writer: any_checksum, number: group };
        let ban = Subject::Ban(format!("pc-{group:x}"));
        let subjects = [Subject::Group(group), ban, Subject::Drain, object(group), status, gone];
        let revoked = matches!(group % 6, 1 | 2) && group % 12 > 5;
        let subject = subjects[(group % 6) as usize].clone();
        let gap = |position: &LogPosition| {
            let after = position.index / 2;
            Gap { after, through: after + 1 }
        };
        let gaps = positions.iter().map(gap).collect();
        let gap_request = Datagram::GapRequest { log: LogId::new(writer, epoch), gaps };
        let entry = Entry { log: LogId::new(writer, epoch), index, prev: index - 1, subject, at, revoked };
        let datagrams = [
            Datagram::Entry(entry),
            Datagram::Digest { positions: positions.clone(), log_count: 9, checksum: any_checksum },
            Datagram::Ack { process: at, positions: positions.clone() },
            Datagram::DigestRequest,
            gap_request,
            Datagram::RangeRequest { positions },
        ];
        for d in datagrams {
            let bytes = d.encode().expect("the datagram fits");
            prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
            prop_assert_eq!(Datagram::decode(&bytes), Ok(d));
            for cut in 1..bytes.len() {
                // A truncated datagram is rejected, or decoded to a datagram that differs from the complete one.
                prop_assert_ne!(Datagram::decode(&bytes[..cut]), Datagram::decode(&bytes));
            }
        }
    }
}
