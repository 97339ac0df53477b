//! Tests the ledger on a file: recovery after a crash, import of earlier formats, and acknowledgements of durable entries.

use linnetknot::Micros;
use linnetknot_daemon::ledger::{Bounds, Ledger, LedgerError};
use linnetknot_daemon::peers::Purge;
use linnetknot_purges::BucketBits;
use linnetknot_replication::{
    CommitOutcome, Datagram, Entry, LogId, LogPosition, Options, Outgoing, Subject,
};
use linnetknot_store::StoreError;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

/// Arrival time given for all datagrams; the results of these tests do not depend on it.
const NOW: Micros = Micros::MAX;

fn open(path: &Path, now: Micros) -> Result<(Ledger, Receiver<()>), LedgerError> {
    let (completion_sender, completions) = channel();
    let notify_completion = move || {
        let _ = completion_sender.send(());
    };
    let bounds = Bounds {
        replication: Options::default(),
        queue: 64,
        bucket_bits: BucketBits::DEFAULT,
    };
    Ok((
        Ledger::open(path, 1, now, bounds, notify_completion)?,
        completions,
    ))
}

fn temp_file(name: &str) -> PathBuf {
    let path =
        std::env::temp_dir().join(format!("linnetknot-ledger-{name}-{}", std::process::id()));
    let _ = fs::remove_file(&path);
    let _ = fs::remove_file(path.with_extension("old"));
    path
}

/// Waits until all entries are on disk, and returns the datagrams that result.
fn wait_until_synced((ledger, completions): &mut (Ledger, Receiver<()>)) -> Vec<Outgoing> {
    let mut datagrams = Vec::new();
    while !ledger.replica().is_synced() {
        completions
            .recv_timeout(Duration::from_secs(10))
            .expect("a completion from the worker");
        datagrams.extend(ledger.take_completions(100));
    }
    datagrams
}

#[test]
fn entries_survive_a_crash_and_each_purge_is_stored_once() {
    let path = temp_file("crash");
    let mut ledger = open(&path, 77).unwrap();
    for at in 1..=30 {
        ledger.0.append_purge(Some("0a"), 0, at).unwrap();
        ledger.0.append_if_newer(None, 7, 3).unwrap();
    }
    wait_until_synced(&mut ledger);
    ledger.0.append_if_newer(Some("0a"), 0, 4).unwrap();
    assert!(
        ledger.0.replica().is_synced(),
        "a known purge is not written again"
    );
    // The store is not closed, as after a crash.
    ledger.0.simulate_crash();
    let mut reopened = open(&path, 78).unwrap();
    assert_eq!(reopened.0.incarnation(), 78);
    let expected = [Purge::of_group(7, 3), Purge::of_object("0a", 30)];
    assert_eq!(reopened.0.purges(), expected);
    let next = reopened.0.append_purge(Some("0b"), 0, 9).unwrap();
    assert_eq!(
        (next.log, next.index),
        (LogId::new(1, 78), 1),
        "the new log does not reuse an index that peers may know"
    );
    reopened.0.close().unwrap();
    let mut reopened = open(&path, 7).unwrap();
    assert_eq!(
        reopened.0.incarnation(),
        79,
        "the incarnation grows although the clock was set back"
    );
    let next = reopened.0.append_purge(Some("0c"), 0, 9).unwrap();
    assert_eq!(
        (next.log, next.index),
        (LogId::new(1, 78), 2),
        "a store that was closed keeps its epoch"
    );
    let second = open(&path, 80).err().unwrap();
    assert!(
        matches!(second, LedgerError::Store(StoreError::Busy)),
        "a second process can't open the store: {second}"
    );
    wait_until_synced(&mut reopened);
    reopened.0.simulate_crash();
    assert_eq!(open(&path, 81).unwrap().0.purges().len(), 4);
    fs::remove_file(&path).unwrap();
    assert!(open(&path.join("below"), 82).is_err());
}

#[test]
fn files_of_earlier_versions_are_imported_once_and_kept() {
    let texts = [
        ("bare", "purge object 0a 5\npurge group 7 6\npurge object 0a 9\npurge object 0b 1"),
        ("logs", "life 4d\ncopies1 entry 1 4d 0 1 6 group 7\ncopies1 entry 1 4d 1 2 5 object 0a\ncopies1 entry 1 4d 2 3 9 object 0a\nclosed\n"),
        ("cut", "life 4d\ncopies1 entry 1 4d 0 1 6 group 7\ncopies1 entry 2 5 0 1 9 object 0a\ncopies1 entry 1 4d 1 2 5 obj"),
    ];
    for (name, text) in texts {
        let path = temp_file(name);
        fs::write(&path, text).unwrap();
        let mut ledger = open(&path, 99).unwrap();
        let mut purges = ledger.0.purges();
        purges.sort();
        assert_eq!(
            purges,
            [Purge::of_group(7, 6), Purge::of_object("0a", 9)],
            "{name}"
        );
        assert_eq!(
            ledger.0.replica().own_log(),
            LogId::new(1, 99),
            "{name}: the import starts a new epoch"
        );
        let mut old_copy = path.as_os_str().to_owned();
        old_copy.push(".old");
        assert_eq!(
            fs::read_to_string(&old_copy).unwrap(),
            text,
            "{name}: the old file is kept for a downgrade"
        );
        ledger.0.append_purge(Some("0a"), 0, 50).unwrap();
        wait_until_synced(&mut ledger);
        ledger.0.close().unwrap();
        let reopened = open(&path, 120).unwrap();
        assert!(
            reopened.0.purges().contains(&Purge::of_object("0a", 50)),
            "{name}: the old file is not imported again"
        );
        assert_eq!(
            reopened.0.replica().own_log(),
            LogId::new(1, 99),
            "{name}: the epoch is unchanged"
        );
        assert!(!reopened.0.is_fresh());
        drop(reopened);
        // If the store is lost, the old file is imported again under a new epoch, so that no index is reused.
        fs::remove_file(&path).unwrap();
        let reopened = open(&path, 130).unwrap();
        assert_eq!(
            (reopened.0.replica().own_log(), reopened.0.is_fresh()),
            (LogId::new(1, 130), true),
            "{name}"
        );
        drop(reopened);
        fs::remove_file(&old_copy).unwrap();
        fs::remove_file(&path).unwrap();
    }
}

#[test]
fn entries_are_acknowledged_only_after_they_are_on_disk() {
    let path = temp_file("peer");
    let mut ledger = open(&path, 77).unwrap();
    ledger.0.set_machines(10, vec![20, 30]);
    let entry = Entry {
        log: LogId::new(2, 5),
        index: 1,
        prev: 0,
        subject: Subject::Group(3),
        at: 8,
        revoked: false,
    };
    let received = ledger.0.receive(NOW, 1, Datagram::Entry(entry.clone()));
    assert_eq!(
        (received.new, received.replies),
        (vec![entry.clone()], vec![]),
        "no acknowledgement before the entry is on disk"
    );
    let ack = Datagram::Ack {
        process: 77,
        positions: vec![LogPosition {
            log: LogId::new(2, 5),
            index: 1,
        }],
    };
    assert_eq!(
        wait_until_synced(&mut ledger),
        [Outgoing {
            peer: 1,
            datagram: ack.clone()
        }]
    );
    assert_eq!(
        ledger
            .0
            .receive(NOW, 0, Datagram::Entry(entry.clone()))
            .replies,
        [ack]
    );
    // A peer returns an entry of this writer from an earlier epoch. New entries use the current epoch.
    ledger.0.receive(
        NOW,
        0,
        Datagram::Entry(Entry {
            log: LogId::new(1, 4),
            ..entry
        }),
    );
    let new = ledger.0.append_purge(Some("0c"), 0, 9).unwrap();
    assert_eq!((new.log, new.index), (LogId::new(1, 77), 1));
    let ban = || Subject::Ban("pc-1".into());
    assert!(ledger.0.is_fresh() && ledger.0.decisions().is_empty());
    ledger.0.open_commit(100, 1).unwrap();
    wait_until_synced(&mut ledger);
    assert_eq!(
        ledger.0.resolve_commits(100),
        [],
        "the entry is only on the local disk"
    );
    ledger.0.receive(
        NOW,
        0,
        Datagram::Ack {
            process: 1,
            positions: vec![LogPosition {
                log: LogId::new(1, 77),
                index: 1,
            }],
        },
    );
    assert_eq!(
        ledger.0.resolve_commits(200),
        [CommitOutcome {
            commit: 1,
            result: Ok(100)
        }]
    );
    ledger.0.append(ban(), 10, false).unwrap();
    ledger.0.append(Subject::Drain, 11, false).unwrap();
    ledger.0.append(Subject::Drain, 12, true).unwrap();
    let decisions = [(ban(), false), (Subject::Drain, true)];
    assert_eq!(
        ledger.0.decisions().into_iter().collect::<Vec<_>>(),
        decisions
    );
    wait_until_synced(&mut ledger);
    ledger.0.close().unwrap();
    let reopened = open(&path, 99).unwrap();
    assert_eq!(
        (
            reopened.0.decisions().into_iter().collect::<Vec<_>>(),
            reopened.0.is_fresh()
        ),
        (decisions.into(), false)
    );
    assert_eq!(
        reopened.0.replica().own_log(),
        LogId::new(1, 77),
        "the epoch of the store, not of the log that the peer returned"
    );
    drop(reopened);
    fs::remove_file(&path).unwrap();
}
