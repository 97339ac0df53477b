//! A snapshot datagram by datagram: which chunks are used, and what is acknowledged of them.

use linnetknot_replication::*;

const S: Micros = 1_000_000;
const OWN: LogId = LogId::new(1, 7);

fn group(n: u64) -> Subject {
    Subject::Group(n)
}

/// A replica that holds few entries and appends purges of these groups, all on its disk.
fn sender(groups: std::ops::Range<u64>, options: Options) -> Replica {
    let mut replica = Replica::new(OWN, LogStore::default(), 5, options);
    replica.set_peers(10, vec![20]);
    append(&mut replica, groups);
    replica
}

fn append(replica: &mut Replica, groups: std::ops::Range<u64>) {
    for n in groups {
        let entry = replica
            .append(group(n), n * S, false)
            .expect("there is capacity");
        replica.record_synced(entry.log, entry.index);
        replica.compact(n * S);
    }
}

fn options() -> Options {
    // Two chunks in answer to each request.
    let snapshot_bytes_per_s = 2 * MAX_DATAGRAM_BYTES * 20;
    Options {
        max_exact_entries: 8,
        snapshot_bytes_per_s,
        ..Options::default()
    }
}

fn receiver() -> Replica {
    let mut replica = Replica::new(LogId::new(2, 9), LogStore::default(), 6, options());
    replica.set_peers(20, vec![10]);
    replica
}

/// Returns the chunks with which a sender answers what a receiver requests now.
fn request(receiver: &mut Replica, sender: &mut Replica, now: Micros) -> Vec<Datagram> {
    let is_request = |out: &Outgoing| matches!(out.datagram, Datagram::SnapshotRequest(_));
    let requests = receiver.tick(now).into_iter().filter(is_request);
    requests
        .flat_map(|out| sender.receive(Micros::MAX, 0, out.datagram).replies)
        .collect()
}

fn offer(receiver: &mut Replica, sender: &mut Replica) {
    let range_request = Datagram::RangeRequest {
        positions: vec![LogPosition { log: OWN, index: 0 }],
    };
    for reply in sender.receive(Micros::MAX, 0, range_request).replies {
        assert!(
            matches!(reply, Datagram::SnapshotOffer(_)),
            "nothing that it could not take in: {reply:?}"
        );
        receiver.receive(Micros::MAX, 0, reply);
    }
}

/// Receives all that comes of asking until the snapshot is complete.
fn complete(receiver: &mut Replica, sender: &mut Replica, mut now: Micros) -> Received {
    loop {
        now += S;
        for chunk in request(receiver, sender, now) {
            let received = receiver.receive(Micros::MAX, 0, chunk);
            if !received.compacted.is_empty() {
                return received;
            }
        }
        assert!(now < 1_000 * S);
    }
}

#[test]
fn nothing_of_a_snapshot_is_acknowledged_before_the_disk_has_all_of_it() {
    let (mut sender, mut receiver) = (sender(1..100, options()), receiver());
    offer(&mut receiver, &mut sender);
    assert!(receiver.is_catching_up());
    let received = complete(&mut receiver, &mut sender, 0);
    let through = sender.log_store().compacted_through(OWN);
    assert!(through > 80, "{through}");
    assert_eq!(received.compacted, [CompactedLog { log: OWN, through }]);
    assert_eq!(
        (
            receiver.log_store().last_index(OWN),
            receiver.durable_index(OWN)
        ),
        (through, 0)
    );
    assert!(!receiver.is_synced() && !receiver.is_catching_up());
    // What stands behind it comes as entries, and a peer that asks is not told of it either.
    let rest: Vec<Datagram> = received
        .replies
        .into_iter()
        .flat_map(|request| sender.receive(Micros::MAX, 0, request).replies)
        .collect();
    for entry in rest {
        let received = receiver.receive(Micros::MAX, 0, entry);
        assert_eq!(received.new.len(), 1);
        received
            .new
            .iter()
            .for_each(|entry| assert_eq!(receiver.record_synced(entry.log, entry.index), []));
    }
    assert_eq!(
        (receiver.log_store().checksum(), receiver.durable_index(OWN)),
        (sender.log_store().checksum(), 0)
    );
    let outgoing = receiver.record_snapshot_synced(&received.compacted);
    let end = sender.log_store().last_index(OWN);
    let ack = Datagram::Ack {
        process: 6,
        positions: vec![LogPosition {
            log: OWN,
            index: end,
        }],
    };
    assert_eq!(
        outgoing,
        [Outgoing {
            peer: 0,
            datagram: ack
        }]
    );
    assert!(receiver.is_synced());
    for n in 1..100 {
        assert!(
            receiver.log_store().latest_purge(&group(n)) >= Some(n * S),
            "{n}"
        );
    }
}

/// Chunks of one process that were read before the logs' indexes say nothing of what was compacted between.
#[test]
fn a_late_chunk_of_an_earlier_image_counts_for_nothing() {
    let mut sender = sender(1..100, options());
    let mut first = receiver();
    offer(&mut first, &mut sender);
    let mut late = Vec::new();
    for n in 1..10 {
        let chunks = request(&mut first, &mut sender, n * S);
        chunks
            .iter()
            .for_each(|chunk| drop(first.receive(Micros::MAX, 0, chunk.clone())));
        late.extend(chunks);
    }
    assert!(!first.is_catching_up());
    // More is compacted, and another receiver begins.
    append(&mut sender, 100..300);
    let mut second = receiver();
    offer(&mut second, &mut sender);
    for chunk in request(&mut second, &mut sender, S) {
        second.receive(Micros::MAX, 0, chunk);
    }
    let is_late = |chunk: &&Datagram| matches!(chunk, Datagram::SnapshotChunk(c) if !matches!(c.content, SnapshotContent::Logs(_)));
    for chunk in late.iter().filter(is_late) {
        assert!(
            second
                .receive(Micros::MAX, 0, chunk.clone())
                .compacted
                .is_empty(),
            "{chunk:?}"
        );
    }
    assert_eq!(
        (second.is_catching_up(), second.log_store().last_index(OWN)),
        (true, 0)
    );
    complete(&mut second, &mut sender, S);
    let through = second.log_store().last_index(OWN);
    for n in 1..=through {
        assert!(
            second.log_store().latest_purge(&group(n)) >= Some(n * S),
            "{n}"
        );
    }
}

/// A log is raised with its last chunk and not before, in whichever order and how often they come.
#[test]
fn chunks_in_any_order_raise_a_log_with_the_last_of_them() {
    for seed in 0..50u64 {
        let wide = Options {
            snapshot_bytes_per_s: 1 << 20,
            ..options()
        };
        let (mut sender, mut receiver) = (sender(1..400, wide), receiver());
        offer(&mut receiver, &mut sender);
        request(&mut receiver, &mut sender, S)
            .into_iter()
            .for_each(|logs| drop(receiver.receive(Micros::MAX, 0, logs)));
        let mut chunks = request(&mut receiver, &mut sender, 2 * S);
        assert!(chunks.len() > 20);
        let count = chunks.len();
        (0..count).for_each(|n| chunks.swap(n, (n * 31 + seed as usize * 7) % count));
        let (last, others) = chunks.split_last().expect("there are some");
        for chunk in others.iter().chain(others) {
            assert!(
                receiver
                    .receive(Micros::MAX, 0, chunk.clone())
                    .compacted
                    .is_empty(),
                "seed {seed}"
            );
        }
        assert_eq!(receiver.log_store().last_index(OWN), 0);
        assert_eq!(
            receiver
                .receive(Micros::MAX, 0, last.clone())
                .compacted
                .len(),
            1,
            "seed {seed}"
        );
    }
}

/// A sender's bound holds for all that ask in one period.
#[test]
fn what_one_sends_of_snapshots_in_a_period_is_bounded() {
    let bound = 40 * MAX_DATAGRAM_BYTES;
    let options = Options {
        max_snapshot_bytes_per_period: bound,
        snapshot_bytes_per_s: 1 << 20,
        ..options()
    };
    let mut sender = sender(1..3_000, options);
    sender.tick(10_000 * S);
    let request = SnapshotRequest {
        process: 5,
        from: SnapshotCursor::BUCKETS,
    };
    let sent = |sender: &mut Replica| {
        sender
            .receive(Micros::MAX, 0, Datagram::SnapshotRequest(request))
            .replies
            .len()
    };
    assert_eq!((0..5).map(|_| sent(&mut sender)).sum::<usize>(), 40);
    sender.tick(10_001 * S);
    assert!(sent(&mut sender) > 0, "in the next period there is more");
}

/// A receiver whose sender says nothing asks any peer, and in the end counts as caught up no more than it can be.
#[test]
fn a_sender_that_does_not_answer_is_given_up() {
    let (mut sender, mut receiver) = (sender(1..100, options()), receiver());
    offer(&mut receiver, &mut sender);
    let (mut requests, mut ranges) = (0, 0);
    for n in 1..200 {
        for out in receiver.tick(n * S) {
            requests += usize::from(matches!(out.datagram, Datagram::SnapshotRequest(_)));
            ranges += usize::from(matches!(out.datagram, Datagram::RangeRequest { .. }));
        }
    }
    assert_eq!(
        (requests, ranges, receiver.counters().snapshots_abandoned),
        (17, 120, 1)
    );
    assert!(!receiver.is_catching_up(), "nobody has it any more");
}

/// Of an object that is purged again and again only what is not on the disk in a later entry goes to the table.
#[test]
fn an_object_that_is_purged_again_and_again_fills_no_bucket() {
    let mut replica = Replica::new(OWN, LogStore::default(), 5, options());
    for n in 1..1_000 {
        let entry = replica
            .append(group(3), n * S, false)
            .expect("there is capacity");
        replica.record_synced(entry.log, entry.index);
        replica.compact(n * S);
    }
    assert!(replica.log_store().table().is_empty());
    assert_eq!(replica.log_store().latest_purge(&group(3)), Some(999 * S));
    assert_eq!(replica.log_store().latest_purge(&group(4)), None);
}

/// A purge that is superseded is held for those who are behind both, and is not in force.
#[test]
fn a_superseded_purge_is_sent_and_not_in_force() {
    let mut store = LogStore::default();
    for (at, n) in [(1, 3), (2, 4), (3, 3)] {
        store
            .append(
                OWN,
                Record {
                    subject: group(n),
                    at: at * S,
                    revoked: false,
                },
                Capacity::UNLIMITED,
            )
            .expect("there is capacity");
    }
    assert_eq!(
        store.entries().map(|entry| entry.index).collect::<Vec<_>>(),
        [2, 3]
    );
    let sent: Vec<_> = store
        .entries_after(OWN, 0)
        .map(|entry| (entry.prev, entry.index))
        .collect();
    assert_eq!((sent, store.len()), (vec![(0, 1), (1, 2), (2, 3)], 3));
}

/// A purge is never earlier than the one that it supersedes, whatever the clock does.
#[test]
fn a_clock_that_is_set_back_lowers_no_floor() {
    let mut store = LogStore::default();
    store
        .append(
            OWN,
            Record {
                subject: group(3),
                at: 9 * S,
                revoked: false,
            },
            Capacity::UNLIMITED,
        )
        .expect("there is capacity");
    let entry = store
        .append(
            OWN,
            Record {
                subject: group(3),
                at: 4 * S,
                revoked: false,
            },
            Capacity::UNLIMITED,
        )
        .expect("there is capacity");
    assert_eq!(
        (entry.at, store.latest_purge(&group(3))),
        (9 * S, Some(9 * S))
    );
}

/// On a disk a later purge takes the earlier one's place. A process that starts with it knows the later one alone, which
/// stands behind what it compacts: whoever is raised past the earlier one must have a floor of it all the same.
#[test]
fn what_the_senders_disk_has_in_a_later_entry_alone_is_in_its_snapshot() {
    // The purge of group 1 at index 1 was superseded by the one at index 5.
    let entry = |index: Index, n| Entry {
        log: OWN,
        index,
        prev: 0,
        subject: group(n),
        at: index * S,
        revoked: false,
    };
    let entries = vec![entry(5, 1), entry(2, 2), entry(3, 3), entry(4, 4)];
    let store = LogStore::restore(CompactTable::new(BucketBits::DEFAULT), &[], entries)
        .expect("it is sound");
    let few = Options {
        max_exact_entries: 3,
        ..options()
    };
    let mut sender = Replica::new(LogId::new(1, 8), store, 5, few);
    sender.set_peers(10, vec![20]);
    let compaction = sender.compact(100 * S).expect("there are too many");
    assert!(
        compaction
            .logs
            .iter()
            .all(|log| (2..5).contains(&log.through)),
        "{compaction:?}"
    );
    let mut receiver = receiver();
    offer(&mut receiver, &mut sender);
    complete(&mut receiver, &mut sender, 0);
    assert!((2..5).contains(&receiver.log_store().last_index(OWN)));
    assert!(
        receiver.log_store().latest_purge(&group(1)) >= Some(S),
        "the purge at index 1 was received"
    );
}

/// A peer's machine becomes known at any moment; its place in the list stays.
#[test]
fn a_snapshot_goes_on_when_the_peers_machines_become_known() {
    let (mut sender, mut receiver) = (sender(1..400, options()), receiver());
    receiver.set_peers(20, vec![10, 30]);
    offer(&mut receiver, &mut sender);
    for n in 1..10 {
        request(&mut receiver, &mut sender, n * S)
            .into_iter()
            .for_each(|chunk| drop(receiver.receive(Micros::MAX, 0, chunk)));
    }
    let request = |receiver: &mut Replica, now| {
        let requests = receiver.tick(now).into_iter().map(|out| out.datagram);
        let from = requests.filter_map(|datagram| match datagram {
            Datagram::SnapshotRequest(request) => Some(request.from),
            _ => None,
        });
        from.collect::<Vec<_>>()
    };
    receiver.set_peers(20, vec![10, 31]);
    let from = request(&mut receiver, 10 * S);
    assert!(from.first() > Some(&SnapshotCursor::BUCKETS), "{from:?}");
    receiver.set_peers(20, vec![]);
    assert_eq!(
        (request(&mut receiver, 11 * S), receiver.is_catching_up()),
        (vec![], true),
        "its sender is gone"
    );
}

/// A floor in the future would cost every copy of its keys until then.
#[test]
fn buckets_of_a_peer_whose_clock_is_ahead_bring_no_floor_in_the_future() {
    const NOW: Micros = 30 * S;
    let (mut sender, mut receiver) = (sender(1..100, options()), receiver());
    offer(&mut receiver, &mut sender);
    for round in 1..100 {
        for chunk in request(&mut receiver, &mut sender, round * S) {
            receiver.receive(NOW, 0, chunk);
        }
    }
    assert!(!receiver.is_catching_up());
    for n in 1..=80 {
        let floor = receiver
            .log_store()
            .latest_purge(&group(n))
            .expect("the snapshot has it");
        assert!(floor >= NOW.min(n * S), "group {n}: {floor}");
        assert!(
            floor <= NOW,
            "group {n}: {floor}, {} s ahead",
            (floor - NOW) / S
        );
    }
}
