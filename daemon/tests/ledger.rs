//! The ledger on a file: what was appended is there after a crash, files of earlier versions are taken over, and peers
//! are told only what is on the disk.

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

/// The time at which datagrams come; it does not matter here.
const NOW: Micros = Micros::MAX;

fn open(path: &Path, now: Micros) -> Result<(Ledger, Receiver<()>), LedgerError> {
    let (wake, woken) = channel();
    let wake = move || {
        let _ = wake.send(());
    };
    let bounds = Bounds {
        replication: Options::default(),
        queue: 64,
        bucket_bits: BucketBits::DEFAULT,
    };
    Ok((Ledger::open(path, 1, now, bounds, wake)?, woken))
}

fn file(name: &str) -> PathBuf {
    let path =
        std::env::temp_dir().join(format!("linnetknot-ledger-{name}-{}", std::process::id()));
    let _ = fs::remove_file(&path);
    let _ = fs::remove_file(path.with_extension("old"));
    path
}

/// Waits until all is on the disk: what peers are told of it.
fn written((ledger, woken): &mut (Ledger, Receiver<()>)) -> Vec<Outgoing> {
    let mut told = Vec::new();
    while !ledger.replica().is_synced() {
        woken
            .recv_timeout(Duration::from_secs(10))
            .expect("the worker has a word");
        told.extend(ledger.take_completions(100));
    }
    told
}

#[test]
fn what_was_added_is_there_after_a_crash_and_each_purge_stands_once() {
    let path = file("crash");
    let mut all = open(&path, 77).unwrap();
    for at in 1..=30 {
        all.0.append_purge(Some("0a"), 0, at).unwrap();
        all.0.append_if_newer(None, 7, 3).unwrap();
    }
    written(&mut all);
    all.0.append_if_newer(Some("0a"), 0, 4).unwrap();
    assert!(
        all.0.replica().is_synced(),
        "what is known is not written again"
    );
    // Dropped and not closed, as a crash leaves it.
    all.0.simulate_crash();
    let mut again = open(&path, 78).unwrap();
    assert_eq!(again.0.incarnation(), 78);
    let both = [Purge::of_group(7, 3), Purge::of_object("0a", 30)];
    assert_eq!(again.0.purges(), both);
    let next = again.0.append_purge(Some("0b"), 0, 9).unwrap();
    assert_eq!(
        (next.log, next.index),
        (LogId::new(1, 78), 1),
        "a place that others may know is not given again"
    );
    again.0.close().unwrap();
    let mut again = open(&path, 7).unwrap();
    assert_eq!(
        again.0.incarnation(),
        79,
        "it grows though the clock was set back"
    );
    let next = again.0.append_purge(Some("0c"), 0, 9).unwrap();
    assert_eq!(
        (next.log, next.index),
        (LogId::new(1, 78), 2),
        "the life of a store that was closed goes on"
    );
    let second = open(&path, 80).err().unwrap();
    assert!(
        matches!(second, LedgerError::Store(StoreError::Busy)),
        "one process has it: {second}"
    );
    written(&mut again);
    again.0.simulate_crash();
    assert_eq!(open(&path, 81).unwrap().0.purges().len(), 4);
    fs::remove_file(&path).unwrap();
    assert!(open(&path.join("below"), 82).is_err());
}

#[test]
fn files_of_earlier_versions_are_taken_over_once_and_kept_aside() {
    let texts = [
        ("bare", "purge object 0a 5\npurge group 7 6\npurge object 0a 9\npurge object 0b 1"),
        ("logs", "life 4d\ncopies1 entry 1 4d 0 1 6 group 7\ncopies1 entry 1 4d 1 2 5 object 0a\ncopies1 entry 1 4d 2 3 9 object 0a\nclosed\n"),
        ("cut", "life 4d\ncopies1 entry 1 4d 0 1 6 group 7\ncopies1 entry 2 5 0 1 9 object 0a\ncopies1 entry 1 4d 1 2 5 obj"),
    ];
    for (name, text) in texts {
        let path = file(name);
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
            "{name}: in a life of its own"
        );
        let mut aside = path.as_os_str().to_owned();
        aside.push(".old");
        assert_eq!(
            fs::read_to_string(&aside).unwrap(),
            text,
            "{name}: for a way back"
        );
        ledger.0.append_purge(Some("0a"), 0, 50).unwrap();
        written(&mut ledger);
        ledger.0.close().unwrap();
        let again = open(&path, 120).unwrap();
        assert!(
            again.0.purges().contains(&Purge::of_object("0a", 50)),
            "{name}: it is not taken over again"
        );
        assert_eq!(
            again.0.replica().own_log(),
            LogId::new(1, 99),
            "{name}: and has its life from then on"
        );
        assert!(!again.0.is_fresh());
        drop(again);
        // The store is lost and the old file is still there: what it has is better than nothing, and no place in the
        // logs that were written since is given again.
        fs::remove_file(&path).unwrap();
        let twice = open(&path, 130).unwrap();
        assert_eq!(
            (twice.0.replica().own_log(), twice.0.is_fresh()),
            (LogId::new(1, 130), true),
            "{name}"
        );
        drop(twice);
        fs::remove_file(&aside).unwrap();
        fs::remove_file(&path).unwrap();
    }
}

#[test]
fn a_peer_is_told_what_is_on_the_disk_only_once_it_is() {
    let path = file("peer");
    let mut ledger = open(&path, 77).unwrap();
    ledger.0.set_machines(10, vec![20, 30]);
    let theirs = Entry {
        log: LogId::new(2, 5),
        index: 1,
        prev: 0,
        subject: Subject::Group(3),
        at: 8,
        revoked: false,
    };
    let received = ledger.0.receive(NOW, 1, Datagram::Entry(theirs.clone()));
    assert_eq!(
        (received.new, received.replies),
        (vec![theirs.clone()], vec![]),
        "not before"
    );
    let held = Datagram::Ack {
        process: 77,
        positions: vec![LogPosition {
            log: LogId::new(2, 5),
            index: 1,
        }],
    };
    assert_eq!(
        written(&mut ledger),
        [Outgoing {
            peer: 1,
            datagram: held.clone()
        }]
    );
    assert_eq!(
        ledger
            .0
            .receive(NOW, 0, Datagram::Entry(theirs.clone()))
            .replies,
        [held]
    );
    // Its own log of an earlier life comes back from a peer; what it writes now stands in another.
    ledger.0.receive(
        NOW,
        0,
        Datagram::Entry(Entry {
            log: LogId::new(1, 4),
            ..theirs
        }),
    );
    let new = ledger.0.append_purge(Some("0c"), 0, 9).unwrap();
    assert_eq!((new.log, new.index), (LogId::new(1, 77), 1));
    let ban = || Subject::Ban("pc-1".into());
    assert!(ledger.0.is_fresh() && ledger.0.decisions().is_empty());
    ledger.0.open_commit(100, 1).unwrap();
    written(&mut ledger);
    assert_eq!(ledger.0.resolve_commits(100), [], "on this disk alone");
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
    let decided = [(ban(), false), (Subject::Drain, true)];
    assert_eq!(
        ledger.0.decisions().into_iter().collect::<Vec<_>>(),
        decided
    );
    written(&mut ledger);
    ledger.0.close().unwrap();
    let again = open(&path, 99).unwrap();
    assert_eq!(
        (
            again.0.decisions().into_iter().collect::<Vec<_>>(),
            again.0.is_fresh()
        ),
        (decided.into(), false)
    );
    assert_eq!(
        again.0.replica().own_log(),
        LogId::new(1, 77),
        "the life of the store, not of the log that came back"
    );
    drop(again);
    fs::remove_file(&path).unwrap();
}
