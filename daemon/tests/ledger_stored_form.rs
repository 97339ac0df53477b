//! Checks the byte format of a stored ledger, which released versions read and write.

use linnetknot_daemon::ledger::{Bounds, Ledger};
use linnetknot_purges::BucketBits;
use linnetknot_replication::{Options, Subject};
use linnetknot_store::{KeyValue, Keyspace, Store};
use std::sync::mpsc::channel;
use std::time::Duration;

const WRITER: u64 = 1;
/// The start time of the process, which is the epoch of its log.
const START: u64 = 0x4d;
const TIMEOUT: Duration = Duration::from_secs(10);

/// Encodes the key of a log entry: writer, epoch, kind of the subject, and the subject.
fn entry_key(kind: u8, subject: &[u8]) -> Vec<u8> {
    let mut key = vec![0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0x4d, kind];
    key.extend(subject);
    key
}

/// Encodes the value of a log entry: index, time, and the remaining bytes.
fn entry_value(index: u8, at: u8, rest: &[u8]) -> Vec<u8> {
    let mut value = vec![0, 0, 0, 0, 0, 0, 0, index, 0, 0, 0, 0, 0, 0, 0, at];
    value.extend(rest);
    value
}

fn pair(key: impl Into<Vec<u8>>, value: impl Into<Vec<u8>>) -> KeyValue {
    KeyValue {
        key: key.into(),
        value: value.into(),
    }
}

#[test]
fn entries_and_the_identity_are_stored_in_the_released_form() {
    let path = std::env::temp_dir().join(format!("linnetknot-stored-form-{}", std::process::id()));
    let _ = std::fs::remove_file(&path);
    let bounds = Bounds {
        replication: Options::default(),
        queue: 64,
        bucket_bits: BucketBits::DEFAULT,
    };
    let (completion_sender, completions) = channel();
    let notify_completion = move || {
        let _ = completion_sender.send(());
    };
    let mut ledger = Ledger::open(&path, WRITER, START, bounds, notify_completion).unwrap();
    ledger.append_purge(Some("0a"), 0, 5).unwrap();
    ledger.append_purge(None, 7, 6).unwrap();
    ledger
        .append(Subject::Ban("pc-1".into()), 7, false)
        .unwrap();
    ledger.append(Subject::Drain, 8, true).unwrap();
    ledger.append_status(9, "{}", 9).unwrap();
    let deletion = Subject::TriggerDeleted {
        writer: 2,
        number: 3,
    };
    ledger.append(deletion, 10, false).unwrap();
    while !ledger.replica().is_synced() {
        completions.recv_timeout(TIMEOUT).expect("a completion");
        ledger.take_completions(100);
    }
    ledger.close().unwrap();
    let mut store = Store::open(&path).unwrap();
    assert_eq!(
        store.scan(Keyspace("entries")).unwrap(),
        [
            pair(entry_key(b'b', b"pc-1"), entry_value(3, 7, &[])),
            pair(entry_key(b'd', &[]), entry_value(4, 8, &[1])),
            pair(
                entry_key(b'g', &[0, 0, 0, 0, 0, 0, 0, 7]),
                entry_value(2, 6, &[])
            ),
            pair(entry_key(b'o', b"0a"), entry_value(1, 5, &[])),
            pair(
                entry_key(b's', &[0, 0, 0, 0, 0, 0, 0, 9, 0, 0]),
                entry_value(5, 9, b"{}")
            ),
            pair(
                entry_key(b'x', &[0, 0, 0, 0, 0, 0, 0, 2, 0, 0, 0, 0, 0, 0, 0, 3]),
                entry_value(6, 10, &[])
            ),
        ]
    );
    assert_eq!(
        store.scan(Keyspace("own")).unwrap(),
        [
            pair("closed", "1"),
            pair("life", START.to_be_bytes()),
            pair("member", START.to_be_bytes()),
        ]
    );
    assert_eq!(
        store.scan(Keyspace("head")).unwrap(),
        [pair("format", "linnetknot state 1")]
    );
    drop(store);
    std::fs::remove_file(&path).unwrap();
}
