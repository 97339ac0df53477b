//! The transfer of a snapshot between two replicas, datagram by datagram.

use linnetknot_replication::*;

const S: Micros = 1_000_000;
const OWN: LogId = LogId::new(1, 7);

fn group(n: u64) -> Subject {
    Subject::Group(n)
}

/// Returns a replica that has appended and synced purges of these groups, and compacts them beyond a few entries.
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
            .expect("the capacity is not exceeded");
        replica.record_synced(entry.log, entry.index);
        replica.compact(n * S);
    }
}

fn options() -> Options {
    // Each request is answered with two chunks.
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

/// Returns the chunks that the sender replies to the requests that the receiver sends now.
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
            "entries that the receiver could not insert: {reply:?}"
        );
        receiver.receive(Micros::MAX, 0, reply);
    }
}

/// Requests and receives chunks until the snapshot is complete.
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
fn a_snapshot_is_acknowledged_only_after_it_is_completely_synced() {
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
    // The entries after the snapshot arrive, and are not acknowledged either.
    let entries_after: Vec<Datagram> = received
        .replies
        .into_iter()
        .flat_map(|request| sender.receive(Micros::MAX, 0, request).replies)
        .collect();
    for entry in entries_after {
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

/// A chunk that was read earlier than the compacted indexes lacks purges that were compacted between the two reads.
#[test]
fn delayed_chunks_of_an_earlier_image_do_not_complete_a_snapshot() {
    let mut sender = sender(1..100, options());
    let mut first = receiver();
    offer(&mut first, &mut sender);
    let mut delayed = Vec::new();
    for n in 1..10 {
        let chunks = request(&mut first, &mut sender, n * S);
        chunks
            .iter()
            .for_each(|chunk| drop(first.receive(Micros::MAX, 0, chunk.clone())));
        delayed.extend(chunks);
    }
    assert!(!first.is_catching_up());
    // More purges are compacted, and another receiver starts.
    append(&mut sender, 100..300);
    let mut second = receiver();
    offer(&mut second, &mut sender);
    for chunk in request(&mut second, &mut sender, S) {
        second.receive(Micros::MAX, 0, chunk);
    }
    let is_delayed = |chunk: &&Datagram| matches!(chunk, Datagram::SnapshotChunk(c) if !matches!(c.content, SnapshotContent::Logs(_)));
    for chunk in delayed.iter().filter(is_delayed) {
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

#[test]
fn a_log_advances_with_the_last_chunk_in_any_order() {
    for seed in 0..50u64 {
        let fast_options = Options {
            snapshot_bytes_per_s: 1 << 20,
            ..options()
        };
        let (mut sender, mut receiver) = (sender(1..400, fast_options), receiver());
        offer(&mut receiver, &mut sender);
        request(&mut receiver, &mut sender, S)
            .into_iter()
            .for_each(|logs| drop(receiver.receive(Micros::MAX, 0, logs)));
        let mut chunks = request(&mut receiver, &mut sender, 2 * S);
        assert!(chunks.len() > 20);
        let count = chunks.len();
        (0..count).for_each(|n| chunks.swap(n, (n * 31 + seed as usize * 7) % count));
        let (last, others) = chunks.split_last().expect("there are chunks");
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

#[test]
fn the_snapshot_bytes_sent_per_period_are_limited() {
    let limit = 40 * MAX_DATAGRAM_BYTES;
    let options = Options {
        max_snapshot_bytes_per_period: limit,
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
    assert!(sent(&mut sender) > 0, "the next period has a new limit");
}

/// The receiver then requests the snapshot from random peers and finally stops, so that its state does not remain
/// 'catching up' forever.
#[test]
fn the_transfer_from_a_sender_that_does_not_answer_is_abandoned() {
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
    assert!(
        !receiver.is_catching_up(),
        "no peer has the snapshot any more"
    );
}

#[test]
fn repeated_purges_of_one_key_do_not_fill_a_bucket() {
    let mut replica = Replica::new(OWN, LogStore::default(), 5, options());
    for n in 1..1_000 {
        let entry = replica
            .append(group(3), n * S, false)
            .expect("the capacity is not exceeded");
        replica.record_synced(entry.log, entry.index);
        replica.compact(n * S);
    }
    assert!(replica.log_store().table().is_empty());
    assert_eq!(replica.log_store().latest_purge(&group(3)), Some(999 * S));
    assert_eq!(replica.log_store().latest_purge(&group(4)), None);
}

#[test]
fn superseded_purges_are_sent_but_not_listed_as_entries() {
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
            .expect("the capacity is not exceeded");
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

#[test]
fn a_clock_that_is_set_back_does_not_make_a_purge_earlier() {
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
        .expect("the capacity is not exceeded");
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
        .expect("the capacity is not exceeded");
    assert_eq!(
        (entry.at, store.latest_purge(&group(3))),
        (9 * S, Some(9 * S))
    );
}

/// The disk stores only the latest purge of a key. After a restart the compacted range may contain a purge whose only
/// stored record is the later one. A receiver that advances past that index must still receive the purge.
#[test]
fn a_snapshot_contains_purges_whose_superseding_entry_is_not_compacted() {
    // The purge of group 1 at index 1 was superseded by the purge at index 5.
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
        .expect("the entries are valid");
    let limited_options = Options {
        max_exact_entries: 3,
        ..options()
    };
    let mut sender = Replica::new(LogId::new(1, 8), store, 5, limited_options);
    sender.set_peers(10, vec![20]);
    let compaction = sender.compact(100 * S).expect("there are too many entries");
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

#[test]
fn a_transfer_continues_when_the_machine_of_a_peer_changes() {
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
        "the sender is no longer a peer"
    );
}

/// A purge time in the future would invalidate all copies of its keys until then.
#[test]
fn purge_times_of_a_peer_whose_clock_is_ahead_are_limited_to_now() {
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
        let purged_at = receiver
            .log_store()
            .latest_purge(&group(n))
            .expect("the snapshot contains the purge");
        assert!(purged_at >= NOW.min(n * S), "group {n}: {purged_at}");
        assert!(
            purged_at <= NOW,
            "group {n}: {purged_at}, {} s ahead",
            (purged_at - NOW) / S
        );
    }
}
