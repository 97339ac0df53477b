//! Compaction of the purge ledger: crash safety, rejection of unreadable stores, resizing of the purge table, and
//! acknowledgement of snapshots received from a peer.

#[path = "common/ledger_on_medium.rs"]
mod ledger_on_medium;
#[path = "../../store/tests/common/medium.rs"]
mod medium;

use ledger_on_medium::{
    all_pairs, bounds, object, open_store, purges_lost_by_crashes, run_until_stopped, subject,
    TestNode, STEP_US, WINDOW, WRITER,
};
use linnetknot_daemon::ledger::LedgerError;
use linnetknot_purges::{BucketBits, Micros};
use linnetknot_replication::{Datagram, LogPosition, Subject};
use linnetknot_store::{Format, Keyspace, StoreError, Write};
use medium::Medium;

const BITS: BucketBits = BucketBits::MIN;

fn entries_on_disk(medium: &Medium) -> usize {
    open_store(medium).scan(Keyspace("entries")).unwrap().len()
}

fn set_remaining_operations(medium: &Medium, operations: Option<u64>) {
    medium.0.lock().unwrap().remaining_operations = operations;
}

#[test]
fn no_acknowledged_purge_is_lost_by_a_crash_at_any_operation() {
    let lost = purges_lost_by_crashes(bounds(WINDOW, BITS));
    assert!(
        lost.is_empty(),
        "{} are lost, the first {:?}",
        lost.len(),
        lost[0]
    );
}

#[test]
fn compaction_bounds_stored_entries_and_upgrades_the_store_format() {
    let medium = Medium::default();
    let acknowledged = run_until_stopped(&medium, bounds(WINDOW, BITS));
    assert_eq!(open_store(&medium).format(), Ok(Format::Compacted));
    let on_disk = entries_on_disk(&medium);
    assert!(on_disk <= WINDOW + 1, "{on_disk} entries on the disk");
    let reopened = TestNode::open(&medium, 1 << 50, bounds(WINDOW, BITS)).unwrap();
    assert!(!reopened.ledger.table().is_empty());
    assert!(acknowledged
        .iter()
        .all(|entry| reopened.contains_purge(entry)));
}

#[test]
fn an_unsynced_compaction_removes_no_entries_and_is_retried() {
    for operations in 0..12 {
        let medium = Medium::default();
        let mut node = TestNode::open(&medium, 1_000_000, bounds(WINDOW, BITS)).unwrap();
        let acknowledged: Vec<_> = (0..WINDOW as u64).filter_map(|n| node.purge(n)).collect();
        assert!(node.ledger.table().is_empty());
        // The next entry exceeds the window. The medium stops `operations` operations after that entry is synced.
        node.now += STEP_US;
        node.ledger
            .append_purge(Some(&object(90)), 0, node.now)
            .unwrap();
        node.await_completions();
        set_remaining_operations(&medium, Some(operations));
        while !node.is_synced() && !node.is_stopped() {
            node.await_completions();
        }
        let before = entries_on_disk_while_stopped(&node, &medium);
        assert!(before >= 1, "stopped after {operations}: {before} entries");
        // The medium accepts operations again, and the ledger retries the compaction.
        set_remaining_operations(&medium, None);
        node.tick_until_synced();
        assert!(!node.ledger.table().is_empty());
        node.ledger.simulate_crash();
        let reopened = TestNode::open(&medium, 1 << 50, bounds(WINDOW, BITS)).unwrap();
        assert!(
            acknowledged
                .iter()
                .all(|entry| reopened.contains_purge(entry)),
            "stopped after {operations}"
        );
    }
}

/// Asserts that a crash at this point would lose no acknowledged purge. Returns the number of entries on the disk after
/// it.
fn entries_on_disk_while_stopped(node: &TestNode, medium: &Medium) -> usize {
    let copy = Medium::default();
    {
        let (from, mut to) = (medium.0.lock().unwrap(), copy.0.lock().unwrap());
        to.visible.clone_from(&from.durable);
        to.durable.clone_from(&from.durable);
    }
    let crashed = TestNode::open(&copy, 1 << 50, bounds(WINDOW, BITS)).unwrap();
    let store = node.ledger.replica().log_store();
    let lost = (0..WINDOW as u64).filter(|n| {
        let latest_purge =
            |store: &linnetknot_replication::LogStore| store.latest_purge(&subject(*n));
        latest_purge(crashed.ledger.replica().log_store())
            .is_none_or(|at| Some(at) < store.latest_entry_time(&subject(*n)))
    });
    assert_eq!(lost.count(), 0);
    crashed.ledger.simulate_crash();
    entries_on_disk(&copy)
}

/// Writes a store in the format of versions that had no purge table.
#[test]
fn a_store_in_the_first_format_is_migrated() {
    let medium = Medium::default();
    let mut store = open_store(&medium);
    let put = |n: u64| {
        let name = object(n);
        let key = [
            &WRITER.to_be_bytes()[..],
            &77u64.to_be_bytes(),
            b"o",
            name.as_bytes(),
        ]
        .concat();
        let value = [(n + 1).to_be_bytes(), (1_000 * n).to_be_bytes()].concat();
        Write::put(Keyspace("entries"), key, value)
    };
    store.commit(&(0..30).map(put).collect::<Vec<_>>()).unwrap();
    let put_own = |key: &[u8], value: u64| {
        Write::put(Keyspace("own"), key.to_vec(), value.to_be_bytes().to_vec())
    };
    store
        .commit(&[put_own(b"life", 77), put_own(b"member", 77)])
        .unwrap();
    assert_eq!(store.format(), Ok(Format::Entries));
    drop(store);
    let mut node = TestNode::open(&medium, 1_000_000, bounds(WINDOW, BITS)).unwrap();
    assert!(!node.ledger.is_fresh());
    node.ledger.tick(node.now);
    node.settle();
    let contains_purge = |node: &TestNode, n: u64| {
        node.ledger.replica().log_store().latest_purge(&subject(n)) >= Some(1_000 * n)
    };
    assert!((0..30).all(|n| contains_purge(&node, n)));
    node.ledger.simulate_crash();
    assert_eq!(open_store(&medium).format(), Ok(Format::Compacted));
    assert!(entries_on_disk(&medium) <= WINDOW);
    let reopened = TestNode::open(&medium, 2_000_000, bounds(WINDOW, BITS)).unwrap();
    assert!((0..30).all(|n| contains_purge(&reopened, n)));
}

#[test]
fn newer_formats_and_damage_are_rejected_without_changing_the_store() {
    let bucket =
        |value: Vec<u8>| Write::put(Keyspace("buckets"), 3u32.to_be_bytes().to_vec(), value);
    let header = |value: &[u8]| Write::put(Keyspace("table"), b"header".to_vec(), value.to_vec());
    let format = |name: &str| Write::put(Keyspace("head"), b"format".to_vec(), name.into());
    let cases = [
        (bucket(vec![9; 5]), "it is damaged (bucket 3: "),
        (bucket(vec![]), "it is damaged (bucket 3: "),
        (
            Write::put(Keyspace("buckets"), vec![0, 0, 1, 0], vec![0; 9]),
            "it is damaged (bucket 256 of ",
        ),
        (
            Write::put(Keyspace("buckets"), vec![1], vec![0; 9]),
            "it is damaged (the index of a bucket of the purge table",
        ),
        (
            header(&[2, 4]),
            "its purge table has form 2, this program knows form 1; start the program",
        ),
        (header(&[1, 99]), "it is damaged (a purge table of 2^99"),
        (header(&[1]), "it is damaged (the purge table's header"),
        (header(&[]), "it is damaged (the purge table's header"),
        (
            Write::remove(Keyspace("table"), b"header".to_vec()),
            "it is damaged (the purge table has no header)",
        ),
        (
            Write::put(Keyspace("compacted"), vec![7; 9], vec![0; 8]),
            "it is damaged (the marker of a compacted log",
        ),
        (
            Write::put(Keyspace("compacted"), vec![7; 16], vec![0; 7]),
            "it is damaged (the marker of a compacted log",
        ),
        (
            format("linnetknot state 1"),
            "it is damaged (the store has a purge table, which its format",
        ),
        (
            format("linnetknot state 3"),
            "its format is 'linnetknot state 3', this program's are",
        ),
    ];
    for (damage, name) in cases {
        let medium = Medium::default();
        run_until_stopped(&medium, bounds(WINDOW, BITS));
        let mut store = open_store(&medium);
        store.commit(std::slice::from_ref(&damage)).unwrap();
        let is_supported_format = store.format().is_ok();
        let before = all_pairs(&mut store);
        drop(store);
        let refused = TestNode::open(&medium, 1 << 50, bounds(WINDOW, BITS)).err();
        let message = refused.map(|e| e.to_string()).unwrap_or_default();
        assert!(message.starts_with(name), "{damage:?}: {message}");
        if message.contains("damaged") {
            assert!(
                message.contains("move it away and start again"),
                "{message}"
            );
        }
        if is_supported_format {
            assert_eq!(all_pairs(&mut open_store(&medium)), before, "{damage:?}");
        }
    }
}

#[test]
fn a_rejected_store_file_is_left_unchanged() {
    let path = std::env::temp_dir().join(format!("linnetknot-refused-{}", std::process::id()));
    let _ = std::fs::remove_file(&path);
    let mut store = linnetknot_store::Store::open(&path).unwrap();
    store
        .commit(&[Write::put(
            Keyspace("head"),
            b"format".to_vec(),
            b"linnetknot state 3".to_vec(),
        )])
        .unwrap();
    drop(store);
    let before = std::fs::read(&path).unwrap();
    let open =
        || linnetknot_daemon::ledger::Ledger::open(&path, WRITER, 5, bounds(WINDOW, BITS), || {});
    assert!(matches!(
        open().err(),
        Some(LedgerError::Store(StoreError::Format(_)))
    ));
    assert!(
        std::fs::read(&path).unwrap() == before,
        "the rejected file has changed"
    );
    std::fs::remove_file(&path).unwrap();
}

#[test]
fn resizing_the_purge_table_is_atomic() {
    let full = Medium::default();
    let acknowledged = run_until_stopped(&full, bounds(WINDOW, BITS));
    for bits in [5, 9] {
        let bits = BucketBits::new(bits).unwrap();
        let start = copy(&full);
        let before = start.0.lock().unwrap().operations;
        TestNode::open(&start, 1 << 50, bounds(WINDOW, bits))
            .unwrap()
            .ledger
            .simulate_crash();
        let operations = start.0.lock().unwrap().operations - before;
        for n in 0..operations {
            let medium = copy(&full);
            set_remaining_operations(&medium, Some(n));
            if let Ok(node) = TestNode::open(&medium, 1 << 50, bounds(WINDOW, bits)) {
                node.ledger.simulate_crash();
            }
            medium.0.lock().unwrap().lose_power(n);
            // A store with a purge table of either size can be opened with either configured size.
            for bits in [BITS, bits, BITS] {
                let reopened = TestNode::open(&medium, 1 << 51, bounds(WINDOW, bits)).unwrap();
                assert_eq!(reopened.ledger.table().bucket_bits(), bits);
                assert!(
                    acknowledged
                        .iter()
                        .all(|entry| reopened.contains_purge(entry)),
                    "stopped at {n}"
                );
                reopened.ledger.simulate_crash();
            }
        }
    }
}

fn copy(medium: &Medium) -> Medium {
    let copy = Medium::default();
    let bytes = medium.0.lock().unwrap().durable.clone();
    copy.0.lock().unwrap().visible.clone_from(&bytes);
    copy.0.lock().unwrap().durable = bytes;
    copy
}

/// Delivers all datagrams between two ledgers at time `now`, and collects the acknowledgements of the second one.
fn exchange(nodes: &mut [TestNode; 2], now: u64, acks: &mut Vec<LogPosition>) {
    let mut pending: Vec<(usize, Datagram)> = Vec::new();
    for (n, node) in nodes.iter_mut().enumerate() {
        node.now = now;
        let mut outgoing = node.ledger.tick(now);
        outgoing.extend(node.ledger.take_completions(now));
        pending.extend(outgoing.into_iter().map(|out| (n, out.datagram)));
    }
    while let Some((from, datagram)) = pending.pop() {
        if let (1, Datagram::Ack { positions, .. }) = (from, &datagram) {
            acks.extend(positions.iter().copied());
        }
        let datagram = Datagram::decode(&datagram.encode().unwrap()).unwrap();
        let received = nodes[1 - from].ledger.receive(Micros::MAX, 0, datagram);
        pending.extend(received.replies.into_iter().map(|reply| (1 - from, reply)));
    }
}

#[test]
fn a_snapshot_is_acknowledged_only_after_its_data_is_synced() {
    let options = bounds(WINDOW, BITS);
    let (sender_medium, receiver_medium) = (Medium::default(), Medium::default());
    let mut sender = TestNode::open_as(1, &sender_medium, 1_000_000, options).unwrap();
    sender.ledger.set_machines(10, vec![20]);
    let purged: Vec<_> = (0..40).filter_map(|n| sender.purge(n)).collect();
    assert_eq!(purged.len(), 40);
    let log = sender.ledger.replica().own_log();
    let mut receiver = TestNode::open_as(2, &receiver_medium, 1_000_001, options).unwrap();
    receiver.ledger.set_machines(20, vec![10]);
    let mut nodes = [sender, receiver];
    let mut now = nodes[0].now + 1_000_000;
    let mut acks = Vec::new();
    // From here on, the receiver's disk rejects all operations.
    set_remaining_operations(&receiver_medium, Some(0));
    for _ in 0..200 {
        now += 50_000;
        exchange(&mut nodes, now, &mut acks);
    }
    let store = nodes[1].ledger.replica().log_store();
    assert!(
        purged.iter().all(|entry| nodes[1].contains_purge(entry)),
        "all purges are in force in memory"
    );
    assert!(store.last_index(log) > 0 && !nodes[1].ledger.replica().is_catching_up());
    assert_eq!(acks, [], "nothing is acknowledged before it is synced");
    assert!(!nodes[1].is_synced());
    // The receiver's disk accepts operations again.
    set_remaining_operations(&receiver_medium, None);
    let start = std::time::Instant::now();
    while acks.last() != Some(&LogPosition { log, index: 40 }) {
        assert!(
            start.elapsed() < std::time::Duration::from_secs(20),
            "{acks:?}"
        );
        now += 500_000;
        exchange(&mut nodes, now, &mut acks);
        if !nodes[1].is_synced() {
            nodes[1].await_wakeup();
        }
    }
    assert_eq!(nodes[0].ledger.replica().acked_by(0), 40);
    let [_, receiver] = nodes;
    receiver.ledger.simulate_crash();
    let reopened = TestNode::open_as(2, &receiver_medium, now, options).unwrap();
    assert!(purged.iter().all(|entry| reopened.contains_purge(entry)));
    assert_eq!(reopened.ledger.replica().log_store().last_index(log), 40);
    assert!(matches!(purged[0].subject, Subject::Object(_)));
}
