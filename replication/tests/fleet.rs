//! Many proxies on virtual time: datagrams that are lost, doubled, late and out of order, links cut one way, members
//! that are away, stand still or come back with an empty disk. All that was sent anywhere is everywhere in the end.

use linnetknot_replication::*;
use linnetknot_simnet::{self as simnet, Delay, Step, Timed};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, VecDeque};

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// The time where it does not matter.
const NOW: Micros = Micros::MAX;

/// A member: its logs, what it has put in force, and its disk.
struct Member {
    replica: Option<Replica>,
    epoch: Epoch,
    in_force: BTreeMap<Subject, Micros>,
    disk: LogStore,
    /// On their way to it, and when they are there.
    writes: VecDeque<(Micros, Entry)>,
    /// Pending commits, and what was sent.
    pending: Vec<(CommitId, Subject, Micros)>,
    /// What came while it stood still.
    stalled: Option<Vec<(usize, Vec<u8>)>>,
}

struct Net {
    links: simnet::Network<Vec<u8>>,
    members: Vec<Member>,
    bytes: u64,
    /// All that was sent, and when.
    outgoing: BTreeMap<Subject, Micros>,
    /// How long a disk takes, and the commits given and refused.
    disk_us: Micros,
    committed: BTreeMap<Subject, Micros>,
    rejected: Vec<RejectReason>,
    options: Options,
}

/// What is due of a member.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Write(usize),
    Tick(usize),
}

fn writer(n: usize) -> Writer {
    1_000 + n as u64
}

impl Net {
    fn new(members: usize, seed: u64, conditions: (u64, u64, Micros)) -> Net {
        let (lost, doubled, late) = conditions;
        let mut net = Net {
            links: simnet::Network::new(
                seed,
                Delay {
                    min_us: MS,
                    jitter_us: late,
                },
            ),
            members: Vec::new(),
            bytes: 0,
            outgoing: BTreeMap::new(),
            disk_us: 0,
            committed: BTreeMap::new(),
            rejected: Vec::new(),
            options: Options::default(),
        };
        (net.links.loss_percent, net.links.duplicate_percent) = (lost, doubled);
        for _ in 0..members {
            net.members.push(Member {
                replica: None,
                epoch: 7,
                in_force: BTreeMap::new(),
                disk: LogStore::default(),
                writes: VecDeque::new(),
                pending: Vec::new(),
                stalled: None,
            });
        }
        (0..members).for_each(|n| net.start(n));
        net
    }

    /// Starts a member with what its disk holds.
    fn start(&mut self, n: usize) {
        let machines = (0..self.members.len())
            .filter(|m| *m != n)
            .map(|m| m as Machine);
        let m = &mut self.members[n];
        m.in_force = m.disk.entries().map(|e| (e.subject, e.at)).collect();
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
        m.in_force.clear();
        // What was not on the disk is lost, and the log does not continue an epoch of which others may know more.
        m.writes.clear();
        m.pending.clear();
    }

    /// A new machine under the old name.
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

    /// A neighbour tells a member of a purge.
    fn tell(&mut self, n: usize, subject: Subject) {
        let now = self.links.now;
        let Some(replica) = self.members[n].replica.as_mut() else {
            return;
        };
        let entry = replica
            .append(subject.clone(), now, false)
            .expect("there is capacity");
        let commit = replica
            .open_commit(now, entry.index)
            .expect("there is capacity");
        self.members[n].pending.push((commit, subject.clone(), now));
        self.put(n, &entry);
        self.outgoing.insert(subject, now);
        for to in (0..self.members.len()).filter(|to| *to != n) {
            self.send(n, to, &Datagram::Entry(entry.clone()));
        }
    }

    fn put(&mut self, n: usize, entry: &Entry) {
        let m = &mut self.members[n];
        let floor = m.in_force.entry(entry.subject.clone()).or_insert(0);
        *floor = entry.at.max(*floor);
        m.writes
            .push_back((self.links.now + self.disk_us, entry.clone()));
        if self.disk_us == 0 {
            self.write(n);
        }
    }

    /// The disk has what it was given first.
    fn write(&mut self, n: usize) {
        let m = &mut self.members[n];
        let Some((_, entry)) = m.writes.pop_front() else {
            return;
        };
        let taken = m.disk.try_insert(&entry, Capacity::UNLIMITED);
        assert_eq!(
            taken,
            Insertion::New,
            "what is written to the disk follows what stands there"
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

    /// A peer by its index among the others.
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
                .expect("it is pending");
            let (_, subject, at) = m.pending.remove(index);
            match outcome.result {
                Ok(took) => {
                    assert!(took <= self.options.commit_timeout_us, "{took}");
                    let latest = self.committed.entry(subject).or_insert(0);
                    *latest = at.max(*latest);
                }
                Err(why) => self.rejected.push(why),
            }
        }
    }

    /// Commits given that nobody who runs holds at their time or later.
    fn lost(&self) -> Vec<&Subject> {
        let runs = || self.members.iter().filter(|m| m.replica.is_some());
        let is_held =
            |subject: &Subject, at: &Micros| runs().any(|m| m.in_force.get(subject) >= Some(at));
        self.committed
            .iter()
            .filter(|(subject, at)| !is_held(subject, at))
            .map(|(subject, _)| subject)
            .collect()
    }

    fn arrive(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        if let Some(waiting) = &mut self.members[to].stalled {
            return waiting.push((from, bytes));
        }
        let now = self.links.now;
        let Some(replica) = self.members[to].replica.as_mut() else {
            return;
        };
        let received = replica.receive(
            now,
            simnet::peer_index(from, to),
            Datagram::decode(&bytes).expect("it is well formed"),
        );
        received.new.iter().for_each(|e| self.put(to, e));
        for e in &received.out_of_order {
            let floor = self.members[to]
                .in_force
                .entry(e.subject.clone())
                .or_insert(0);
            *floor = e.at.max(*floor);
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
                Step::Delivered { from, to, message } => self.arrive(from, to, message),
                Step::Due(Due::Write(n)) => self.write(n),
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

    fn go_on(&mut self, n: usize) {
        for (from, bytes) in self.members[n].stalled.take().unwrap_or_default() {
            self.arrive(from, n, bytes);
        }
    }

    /// How many members that run do not hold every purge at its time or later.
    fn entries_after(&self) -> usize {
        let has_all = |m: &Member| {
            self.outgoing
                .iter()
                .all(|(subject, at)| m.in_force.get(subject) >= Some(at))
        };
        self.members
            .iter()
            .filter(|m| m.replica.is_some() && !has_all(m))
            .count()
    }
}

/// The acknowledgement of a log by a process.
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
fn all_hear_at_once_where_nothing_is_lost_and_rest_is_cheap() {
    let mut net = Net::new(16, 3, (0, 0, 5 * MS));
    net.run(S);
    for n in 0..40 {
        net.tell(
            n as usize % 16,
            if n % 4 == 0 {
                Subject::Group(n)
            } else {
                object(n)
            },
        );
    }
    net.run(10 * MS);
    assert_eq!(net.entries_after(), 0);
    net.run(10 * S);
    let before = net.bytes;
    net.run(10 * S);
    let each = (net.bytes - before) / 16 / 10;
    assert!(each < 1_200, "{each} bytes a member a second at rest");
}

#[test]
fn losses_doubles_and_a_random_order_keep_nothing_from_anybody_for_long() {
    for seed in 0..30 {
        let mut net = Net::new(9, seed, (40, 30, 400 * MS));
        for n in 0..60 {
            net.tell((n % 9) as usize, object(n % 45));
            net.run(30 * MS);
        }
        net.run(20 * S);
        assert_eq!(net.entries_after(), 0, "seed {seed}");
    }
}

/// Many entries at once, as a long trigger makes, over links that lose a quarter: a lost datagram costs itself, and not
/// all that were sent behind it, so that commits of them are given in time.
#[test]
fn a_burst_over_links_that_lose_a_quarter_is_promised_in_time() {
    for seed in 0..20 {
        let mut net = Net::new(3, seed, (25, 10, 5 * MS));
        net.run(S);
        (0..300).for_each(|n| net.tell(0, object(n)));
        net.run(net.options.commit_timeout_us);
        assert_eq!(
            (net.committed.len(), net.rejected.len()),
            (300, 0),
            "seed {seed}"
        );
        net.run(5 * S);
        assert_eq!(net.entries_after(), 0, "seed {seed}");
        let sent = net
            .members
            .iter()
            .flat_map(|m| &m.replica)
            .map(|c| c.counters().sent)
            .sum::<u64>();
        // Two peers lost a quarter each; what is said twice a second makes up for a good part of the rest.
        assert!(sent < 3 * 300, "seed {seed}: {sent} were sent again");
    }
}

/// The writer is lost with what only it had, and what it sent behind that is known: nobody asks for the rest for ever.
#[test]
fn what_nobody_has_any_more_is_asked_for_no_more_than_other_words_are_said() {
    let mut net = Net::new(3, 5, (100, 0, MS));
    net.run(S);
    net.tell(0, object(1));
    net.links.loss_percent = 0;
    net.tell(0, object(2));
    net.run(3 * MS);
    net.kill(0);
    net.run(10 * S);
    let before = net.bytes;
    net.run(10 * S);
    let each = (net.bytes - before) / 2 / 10;
    assert!(each < 600, "{each} bytes a member a second");
    assert!(
        net.members[1..]
            .iter()
            .all(|m| m.in_force.contains_key(&object(2))),
        "its floor holds"
    );
}

/// Between the two of a cut link there is always a third.
#[test]
fn a_member_that_the_writer_can_not_reach_hears_by_way_of_others() {
    let mut net = Net::new(4, 5, (0, 0, 5 * MS));
    net.links.cut(0, 3);
    (0..10).for_each(|n| net.tell(0, object(n)));
    net.run(10 * MS);
    assert_eq!(net.entries_after(), 1, "no message goes from 0 to 3");
    net.run(6 * S);
    assert_eq!(net.entries_after(), 0);
}

#[test]
fn both_sides_of_a_split_agree_after_it_and_nothing_is_undone() {
    for seed in 0..20 {
        let mut net = Net::new(5, seed, (10, 10, 50 * MS));
        for a in 0..2 {
            for b in 2..5 {
                net.links.cut(a, b);
                net.links.cut(b, a);
            }
        }
        for n in 0..20 {
            net.tell(n as usize % 5, object(n % 12));
            net.run(100 * MS);
        }
        // Each side is started again in it, one member with nothing.
        for n in [1, 4] {
            net.kill(n);
            if n == 4 {
                net.lose_disk(n);
            }
            net.start(n);
        }
        net.run(3 * S);
        net.links.restore();
        net.run(15 * S);
        assert_eq!(net.entries_after(), 0, "seed {seed}");
        assert!(
            net.members
                .iter()
                .all(|m| m.disk.checksum() == net.members[0].disk.checksum()),
            "seed {seed}: one log_store"
        );
    }
}

#[test]
fn who_was_away_or_lost_its_disk_has_all_again_and_its_own_promises_too() {
    for seed in 0..20 {
        let mut net = Net::new(4, seed, (20, 10, 50 * MS));
        (0..30).for_each(|n| net.tell(n as usize % 4, object(n)));
        net.run(10 * S);
        net.kill(2);
        (30..200).for_each(|n| net.tell(0, object(n)));
        net.run(S);
        if seed % 2 == 0 {
            net.lose_disk(2);
        }
        net.start(2);
        net.run(20 * S);
        assert_eq!(net.entries_after(), 0, "seed {seed}");
        // A new epoch writes beside the old one.
        net.tell(2, object(500));
        net.run(10 * S);
        assert_eq!(net.entries_after(), 0, "seed {seed}");
    }
}

#[test]
fn who_stood_still_goes_on_and_catches_up() {
    let mut net = Net::new(3, 1, (0, 0, 5 * MS));
    net.members[1].stalled = Some(Vec::new());
    (0..50).for_each(|n| net.tell(0, object(n)));
    net.run(5 * S);
    net.go_on(1);
    net.run(5 * S);
    assert_eq!(net.entries_after(), 0);
}

#[test]
fn whole_fleets_of_many_sizes_agree_after_all_were_started_again_at_once() {
    for members in [2, 16, 64] {
        let mut net = Net::new(members, 11, (10, 5, 20 * MS));
        (0..100).for_each(|n| net.tell(n as usize % members, object(n)));
        net.run(300 * MS);
        (0..members).for_each(|n| net.kill(n));
        net.links.drop_in_flight();
        (0..members).for_each(|n| net.start(n));
        net.run(60 * S);
        assert_eq!(net.entries_after(), 0, "{members}");
    }
}

/// Options of a replica that stores two entries, and four that can't be moved.
fn two_entries() -> Options {
    Options {
        max_exact_entries: 2,
        max_logs: 2,
        ..Options::default()
    }
}

/// The first entry of another writer's log.
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

/// Memory is bounded by moving what the disk has to the table. What the disk does not take can't be moved: twice the
/// bound of it is held, more is refused and said, and nothing that is held is let go.
#[test]
fn what_the_disk_does_not_take_is_bounded_and_told_and_nothing_held_is_let_go() {
    const OWN: LogId = LogId::new(1, 7);
    let mut replica = Replica::new(OWN, LogStore::default(), 1, two_entries());
    for n in 1..=4 {
        replica.append(object(n), 4 + n, false).unwrap();
        assert_eq!(replica.compact(100), None, "nothing is on the disk");
    }
    assert_eq!(replica.append(object(5), 9, false), Err(CapacityExceeded));
    assert_eq!(
        replica.append(object(1), 10, false),
        Err(CapacityExceeded),
        "what is purged again is one more"
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
    // The disk is back.
    (1..=4).for_each(|index| drop(replica.record_synced(OWN, index)));
    let now = 100 + S;
    let moved = replica.compact(now).expect("all but the last can be moved");
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
        "who was refused comes again"
    );
    let times = [(1, 5), (2, 6), (3, 7), (4, 8)];
    assert!(times
        .iter()
        .all(|(n, at)| replica.log_store().latest_purge(&object(*n)) >= Some(*at)));
    assert_eq!(
        replica.log_store().latest_purge(&object(5)),
        None,
        "it was refused"
    );
}

/// Forty times what is held exactly goes through one log: none is refused, and each is in force in the end.
#[test]
fn no_purge_is_refused_for_room_while_the_disk_takes_them() {
    let few = Options {
        max_exact_entries: 64,
        ..Options::default()
    };
    let mut replica = Replica::new(LogId::new(1, 7), LogStore::default(), 1, few);
    for n in 1..=2_560 {
        let entry = replica
            .append(object(n), n * MS, false)
            .expect("none is refused");
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

/// Machines are lost with their disks one after the other, at moments drawn from a seed, over links that lose, double and
/// delay, some of them cut: what was committed is held by someone at every moment, and by all in the end.
#[test]
fn what_was_promised_outlives_any_one_machine_at_any_moment() {
    let (mut committed, mut rejected, mut epochs) = (0, 0, 0);
    for seed in 0..400 {
        let mut net = Net::new(5, seed, (20, 10, 30 * MS));
        net.disk_us = 1 + net.links.draw(30 * MS);
        net.run(S);
        for n in 0..60 {
            let (writer, other) = (net.links.draw(5) as usize, net.links.draw(5) as usize);
            match net.links.draw(6) {
                0 => net.links.cut(writer, other),
                1 => net.links.restore(),
                _ => {}
            }
            net.tell(writer, object(n));
            let pause = net.links.draw(80 * MS);
            net.run(pause);
            if net.links.draw(3) == 0 {
                let lost = if net.links.draw(2) == 0 {
                    writer
                } else {
                    other
                };
                net.kill(lost);
                net.lose_disk(lost);
                assert_eq!(
                    net.lost(),
                    Vec::<&Subject>::new(),
                    "seed {seed}, {n}: p{lost} was lost with its disk"
                );
                net.start(lost);
                // The next machine is lost only once this one has all again.
                net.links.restore();
                net.run(10 * S);
                epochs += 1;
            }
        }
        net.links.restore();
        net.run(20 * S);
        let everywhere = |m: &Member| {
            net.committed
                .iter()
                .all(|(subject, at)| m.in_force.get(subject) >= Some(at))
        };
        assert!(net.members.iter().all(everywhere), "seed {seed}");
        let replica = |m: &Member| m.replica.as_ref().map_or(0, Replica::under_replicated);
        assert_eq!(
            net.members.iter().map(replica).sum::<usize>(),
            0,
            "seed {seed}: none is short of replica"
        );
        committed += net.committed.len();
        rejected += net.rejected.len();
    }
    assert!(
        committed > 15_000 && epochs > 5_000,
        "{committed} committed, {rejected} rejected, {epochs} lost"
    );
}

/// A yes before the copy: with `wait: 0` the same losses do lose commits, so that the test above would see it.
#[test]
fn without_waiting_a_lost_machine_takes_promises_along() {
    let mut lost = 0;
    for seed in 0..40 {
        let mut net = Net::new(3, seed, (0, 0, 5 * MS));
        net.options.min_acks = 0;
        (0..3).for_each(|n| net.start(n));
        net.links.cut(0, 1);
        net.links.cut(0, 2);
        net.tell(0, object(seed));
        net.run(10 * MS);
        assert_eq!(net.committed.len(), 1, "given on this disk alone");
        net.kill(0);
        net.lose_disk(0);
        lost += net.lost().len();
    }
    assert_eq!(lost, 40);
}

#[test]
fn a_side_that_reaches_no_further_machine_promises_nothing_and_says_why() {
    let mut net = Net::new(3, 5, (0, 0, 5 * MS));
    net.disk_us = MS;
    net.run(S);
    // One way: the entry arrives, and its acknowledgement does not come back.
    net.links.cut(1, 0);
    net.links.cut(2, 0);
    net.tell(0, object(1));
    net.run(900 * MS);
    assert!(
        net.rejected.is_empty() && net.committed.is_empty(),
        "it waits"
    );
    net.run(200 * MS);
    assert_eq!(
        net.rejected,
        [RejectReason::TooFewReplicas { have: 0, wanted: 1 }]
    );
    assert_eq!(
        net.members[0].replica.as_ref().unwrap().under_replicated(),
        1
    );
    net.links.restore();
    net.run(2 * S);
    assert_eq!(
        net.members[0].replica.as_ref().unwrap().under_replicated(),
        0,
        "asked again until they are known to have it"
    );
    net.tell(0, object(2));
    net.run(100 * MS);
    assert_eq!(net.committed.len(), 1);
}

/// Two proxies of one machine are one copy: the commit waits for another machine.
#[test]
fn copies_on_one_machine_count_once_and_those_on_ones_own_not_at_all() {
    let options = Options {
        min_acks: 2,
        ..Options::default()
    };
    let mut replica = Replica::new(LogId::new(1, 7), LogStore::default(), 1, options);
    // Peers 0 and 1 stand on machine 20, peer 2 on this proxy's own, peer 3 on machine 30.
    replica.set_peers(10, vec![20, 20, 10, 30]);
    let entry = replica.append(object(1), 5, false).unwrap();
    replica.open_commit(100, entry.index).unwrap();
    assert!(replica.record_synced(entry.log, entry.index).is_empty());
    let ack = || ack_of(5, LogId::new(1, 7), 1);
    for peer in [0, 1, 2] {
        replica.receive(NOW, peer, ack());
        assert_eq!(replica.resolve_commits(200), [], "{peer}");
    }
    // What one has of another's log is no copy of this one's.
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

/// A member's name and machine become known at any moment, also between an entry and its sync.
#[test]
fn an_ack_that_waits_for_the_disk_outlives_news_of_the_peers_machines() {
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
    // One whose peer is no longer in the list has nobody to go to.
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

/// The disk fails at the n-th write: that commit is refused at once, none behind it is given until it is there.
#[test]
fn what_the_disk_did_not_take_is_refused_and_given_to_it_again() {
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
    assert_eq!(replica.take_failed_syncs(), [], "it is on its way");
    replica.record_synced(LogId::new(1, 7), 2);
    assert_eq!(
        (replica.durable_index(LogId::new(1, 7)), replica.is_synced()),
        (3, true)
    );
    // A peer that asked meanwhile is acknowledged once all entries before its index are there.
    let theirs = |index| Entry {
        log: LogId::new(2, 9),
        index,
        prev: index - 1,
        subject: object(10 + index),
        at: 1,
        revoked: false,
    };
    (1..=2).for_each(|index| drop(replica.receive(NOW, 0, Datagram::Entry(theirs(index)))));
    assert_eq!(
        replica.record_synced(LogId::new(2, 9), 2),
        [],
        "the one before it is not there yet"
    );
    assert_eq!(
        replica.record_synced(LogId::new(2, 9), 1),
        [Outgoing {
            peer: 0,
            datagram: ack_of(1, LogId::new(2, 9), 2)
        }]
    );
    let again = replica.receive(NOW, 0, Datagram::Entry(theirs(1)));
    assert_eq!(
        again.replies,
        [ack_of(1, LogId::new(2, 9), 2)],
        "whoever asks again is acknowledged again"
    );
}

/// An acknowledgement that was overtaken, or of an earlier process, takes nothing back and adds nothing.
#[test]
fn a_late_word_of_what_a_peer_has_is_known_for_what_it_is() {
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
    let mut short_after = |message| {
        replica.receive(NOW, 0, message);
        replica.under_replicated()
    };
    assert_eq!(short_after(ack(5, 3)), 0);
    assert_eq!(short_after(ack(5, 1)), 0, "overtaken");
    assert_eq!(
        short_after(ack(6, 1)),
        2,
        "its next process has lost some of it"
    );
    assert_eq!(
        short_after(ack(5, 3)),
        2,
        "and the one before has nothing to say any more"
    );
    assert_eq!(short_after(ack(6, 3)), 0);
}

#[test]
fn a_promise_too_many_is_refused_at_once() {
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
    let within = Options::default().commit_timeout_us;
    assert_eq!(
        replica.resolve_commits(1 + within).len(),
        1,
        "each in its own time"
    );
    assert_eq!(
        replica.resolve_commits(2 + within),
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
    fn any_bytes_are_a_datagram_or_an_error(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = Datagram::decode(&bytes);
        let mut marked = b"copies1 entry ".to_vec();
        marked.extend(&bytes);
        if let Ok(d) = Datagram::decode(&marked) {
            prop_assert!(d.encode().is_some());
        }
    }

    #[test]
    fn what_is_written_is_read_again(
        writer: u64,
        epoch: u64,
        index in 1u64..,
        at: u64,
        group: u64,
        positions in proptest::collection::vec(any::<(u64, u64, u64)>(), 0..5),
        sum: u64,
    ) {
        let position = |(writer, epoch, index)| LogPosition { log: LogId::new(writer, epoch), index };
        let positions: Vec<LogPosition> = positions.into_iter().map(position).collect();
        let text = format!("{{\"a b\": \"{at}%\"}}");
        let status = Subject::TriggerStatusPart { number: group, part: (sum % 70_000) as u16, text };
        let gone = Subject::TriggerDeleted { writer: sum, number: group };
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
            Datagram::Digest { positions: positions.clone(), log_count: 9, checksum: sum },
            Datagram::Ack { process: at, positions: positions.clone() },
            Datagram::DigestRequest,
            gap_request,
            Datagram::RangeRequest { positions },
        ];
        for d in datagrams {
            let bytes = d.encode().expect("it fits");
            prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
            prop_assert_eq!(Datagram::decode(&bytes), Ok(d));
            for cut in 1..bytes.len() {
                // Cut off it is torn, or tells less; it never reads as what it was.
                prop_assert_ne!(Datagram::decode(&bytes[..cut]), Datagram::decode(&bytes));
            }
        }
    }
}
