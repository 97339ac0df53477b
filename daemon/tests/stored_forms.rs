//! Checks that files stored by release c1f7885 are read and rewritten byte for byte: the operators' state, the cached
//! list of caches, and a store of each format.

use linnetknot::State;
use linnetknot_admin_api::state::OperatorState;
use linnetknot_admin_api::store;
use linnetknot_daemon::ledger::{Bounds, Ledger, TriggerStatus};
use linnetknot_daemon::peers::{self, Purge};
use linnetknot_discovery::cached_snapshot;
use linnetknot_purges::{BucketBits, Micros};
use linnetknot_replication::{Entry, LogId, Options, Subject};
use linnetknot_store::{Format, KeyValue, Keyspace, Store};
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

const OPERATORS: &[u8] = include_bytes!("fixtures/operators.json");
const CACHES: &[u8] = include_bytes!("fixtures/caches.list");
const STATE_1: &[u8] = include_bytes!("fixtures/state-1.store");
const STATE_2: &[u8] = include_bytes!("fixtures/state-2.store");
/// The hash of the name `p0`.
const WRITER: u64 = 0x08d5_9807_b575_ec6d;
/// The log epochs in the two stored files, as microseconds since 1970.
const EPOCH_1: Micros = 0x0006_61a4_cc7c_0065;
const EPOCH_2: Micros = 0x0006_61a4_cc99_769b;
/// Number of triggers in each store. Each of them purges two objects.
const TRIGGERS: u64 = 6;
const OBJECTS: u64 = 12;
/// Maximum number of exact purge entries in the program that wrote the second store.
const EXACT_PURGES: usize = 4;
/// Keyspaces that a ledger writes, and the store's header.
const KEYSPACES: [&str; 6] = ["head", "own", "entries", "buckets", "compacted", "table"];
const TIMEOUT: Duration = Duration::from_secs(10);

/// A temporary folder that is removed on drop.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new(name: &str) -> Self {
        let folder =
            std::env::temp_dir().join(format!("linnetknot-stored-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        TempFolder(folder)
    }

    /// Writes a file into the folder and returns its path.
    fn write_file(&self, name: &str, bytes: &[u8]) -> PathBuf {
        let path = self.0.join(name);
        fs::write(&path, bytes).unwrap();
        path
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// An open ledger and the channel that signals completions of its worker.
struct RunningLedger {
    ledger: Ledger,
    completions: Receiver<()>,
}

impl RunningLedger {
    fn open(path: &Path, now: Micros, exact_purges: usize) -> Self {
        let (completion_sender, completions) = channel();
        let bounds = Bounds {
            replication: Options {
                max_exact_entries: exact_purges,
                ..Options::default()
            },
            queue: 64,
            bucket_bits: BucketBits::DEFAULT,
        };
        let notify_completion = move || {
            let _ = completion_sender.send(());
        };
        let ledger = Ledger::open(path, WRITER, now, bounds, notify_completion).unwrap();
        RunningLedger {
            ledger,
            completions,
        }
    }

    /// Waits until all entries and compactions are on disk.
    fn wait_until_synced(&mut self, now: Micros) {
        self.ledger.tick(now);
        while !(self.ledger.replica().is_synced() && self.ledger.is_compaction_synced()) {
            self.completions
                .recv_timeout(TIMEOUT)
                .expect("a completion from the worker");
            self.ledger.take_completions(now);
        }
    }
}

fn read_pairs(path: &Path) -> Vec<(&'static str, Vec<KeyValue>)> {
    let mut store = Store::open(path).unwrap();
    KEYSPACES
        .iter()
        .map(|keyspace| (*keyspace, store.scan(Keyspace(keyspace)).unwrap()))
        .collect()
}

/// Formats the pairs of a keyspace as text, one line per pair.
fn to_lines((keyspace, pairs): &(&str, Vec<KeyValue>)) -> Vec<String> {
    let line = |KeyValue { key, value }: &KeyValue| {
        format!("{keyspace} {}={}", key.escape_ascii(), value.escape_ascii())
    };
    pairs.iter().map(line).collect()
}

fn object_subject(n: u64) -> Subject {
    Subject::Object(format!("{n:016x}"))
}

fn ban_subject() -> Subject {
    Subject::Ban("s-0a".to_owned())
}

/// Returns the status of the n-th trigger, which was received at the second `at`.
fn status(n: u64, at: u64) -> String {
    let url = |n: u64| format!("\"http://cdn.example/content/photo/{n:016x}\"");
    format!(
        "{{\"ctime\":{at},\"mtime\":{at},\"status\":\"complete\",\"trigger\":{{\"content.urls\":[{},{}],\"type\":\"purge\"}}}}",
        url(2 * n),
        url(2 * n + 1)
    )
}

/// Checks the statuses, purges, ban and drain of a ledger.
fn check_contents(ledger: &Ledger, epoch: Micros, second: u64) {
    assert!(!ledger.is_fresh());
    assert_eq!(ledger.replica().own_log(), LogId::new(WRITER, epoch));
    let expected: Vec<_> = (0..TRIGGERS)
        .map(|n| TriggerStatus {
            writer: WRITER,
            number: epoch + n,
            text: status(n, second),
        })
        .collect();
    assert_eq!(ledger.statuses(), expected);
    let decisions = BTreeMap::from([(ban_subject(), false), (Subject::Drain, false)]);
    assert_eq!(ledger.decisions(), decisions);
    let log_store = ledger.replica().log_store();
    for n in 0..OBJECTS {
        let at = log_store.latest_purge(&object_subject(n));
        assert!(at.is_some_and(|at| at > epoch), "object {n}: {at:?}");
    }
    assert_eq!(log_store.latest_purge(&object_subject(OBJECTS)), None);
}

/// Appends the entries of a ledger to a new store in the same order and with the same times, and closes it.
fn rewrite(path: &Path, epoch: Micros, read: &Ledger, exact_purges: usize) {
    let log_store = read.replica().log_store();
    let mut entries: Vec<Entry> = log_store.entries().collect();
    entries.sort_by_key(|entry| entry.index);
    let at = |subject: &Subject| log_store.latest_purge(subject).unwrap();
    // The compaction time must not be before any compacted purge.
    let now = entries.iter().map(|entry| entry.at).max().unwrap();
    let mut running = RunningLedger::open(path, epoch, exact_purges);
    for (number, text) in read.statuses().iter().map(|s| (s.number, &s.text)) {
        for n in [2 * (number - epoch), 2 * (number - epoch) + 1] {
            running
                .ledger
                .append(object_subject(n), at(&object_subject(n)), false)
                .unwrap();
        }
        let is_of_status = |e: &&Entry| matches!(e.subject, Subject::TriggerStatusPart { number: of, .. } if of == number);
        let recorded_at = entries.iter().find(is_of_status).unwrap().at;
        running
            .ledger
            .append_status(number, text, recorded_at)
            .unwrap();
        running.wait_until_synced(now);
    }
    for entry in entries
        .iter()
        .filter(|e| [ban_subject(), Subject::Drain].contains(&e.subject))
    {
        let subject = entry.subject.clone();
        running
            .ledger
            .append(subject, entry.at, entry.revoked)
            .unwrap();
        running.wait_until_synced(now);
    }
    running.ledger.close().unwrap();
}

/// Checks that a stored file is read, that reading does not change the file, and that it is rewritten identically.
fn check_store(
    name: &str,
    bytes: &[u8],
    (epoch, second): (Micros, u64),
    (format, exact_purges): (Format, usize),
) {
    let folder = TempFolder::new(name);
    let path = folder.write_file("old", bytes);
    assert_eq!(Store::open(&path).unwrap().format(), Ok(format));
    let original = read_pairs(&path);
    // The store is opened at one minute after its epoch.
    let running = RunningLedger::open(&path, epoch + 60_000_000, exact_purges);
    check_contents(&running.ledger, epoch, second);
    let rewritten = folder.0.join("again");
    rewrite(&rewritten, epoch, &running.ledger, exact_purges);
    running.ledger.simulate_crash();
    for (written, original) in read_pairs(&rewritten).iter().zip(&original) {
        assert_eq!(
            to_lines(written),
            to_lines(original),
            "the rewritten store differs"
        );
    }
    let without_identity = |pairs: Vec<(&'static str, Vec<KeyValue>)>| -> Vec<_> {
        pairs
            .into_iter()
            .filter(|(keyspace, _)| *keyspace != "own")
            .collect()
    };
    assert_eq!(
        without_identity(read_pairs(&path)),
        without_identity(original),
        "reading has changed the store"
    );
}

#[test]
fn a_store_of_the_first_format_is_read_and_rewritten_unchanged() {
    let window = Options::default().max_exact_entries;
    check_store(
        "state-1",
        STATE_1,
        (EPOCH_1, 1_796_210_293),
        (Format::Entries, window),
    );
}

#[test]
fn a_store_of_the_second_format_is_read_and_rewritten_unchanged() {
    check_store(
        "state-2",
        STATE_2,
        (EPOCH_2, 1_796_210_295),
        (Format::Compacted, EXACT_PURGES),
    );
}

#[test]
fn the_operators_state_is_read_and_rewritten_unchanged() {
    let folder = TempFolder::new("operators");
    for copy in store::copy_paths(&folder.0) {
        fs::write(copy, OPERATORS).unwrap();
    }
    let names = store::copy_paths(&folder.0).map(|path| path.file_name().unwrap().to_owned());
    assert_eq!(names, ["linnetknot-ops.json", "linnetknot-ops.json.2"]);
    let state = store::load(&folder.0).unwrap();
    let expected = OperatorState {
        sequence: 2,
        bans: ["s-0a".to_owned()].into(),
        out_of_service: true,
        ..OperatorState::default()
    };
    assert_eq!(state, expected);
    assert_eq!(store::encode(&state), OPERATORS);
}

#[test]
fn a_cached_list_is_read_and_rewritten_unchanged() {
    const AT: Micros = 1_796_210_294_500_659;
    const SCOPE: &str = "consul   pop-cache";
    let list = cached_snapshot::decode(CACHES, SCOPE, AT + 1, CACHES.len(), 1).unwrap();
    assert_eq!(list.confirmed_at, AT);
    let listed = list.entries.iter().map(|entry| {
        let server = &entry.server;
        let address = entry.endpoint.to_string();
        (entry.uid.as_str(), address, server.weight, server.state)
    });
    let expected = [
        ("s-0a", "127.0.0.1:37047".to_owned(), 8.0, State::Ready),
        ("s-0b", "127.0.0.1:42369".to_owned(), 8.0, State::Ready),
        ("s-0c", "127.0.0.1:46555".to_owned(), 8.0, State::Draining),
    ];
    assert!(listed.eq(expected), "{:?}", list.entries);
    let rewritten = cached_snapshot::encode(SCOPE, list.confirmed_at, list.entries.iter());
    assert_eq!(rewritten, CACHES);
}

/// The formats of the other datagrams are checked by the tests of their packages.
#[test]
fn a_plain_purge_is_read_and_rewritten_unchanged() {
    let cases = [
        (
            "purge object 00000000000000a1 1796210293000000",
            Some("00000000000000a1"),
            0,
        ),
        ("purge group 70 1796210293000000", None, 70),
    ];
    for (text, object, group) in cases {
        let at = 1_796_210_293_000_000;
        let purge = object.map_or(Purge::of_group(group, at), |o| Purge::of_object(o, at));
        assert_eq!(peers::read(text.as_bytes()), Some(purge));
        assert_eq!(peers::write(object, group, at).as_deref(), Some(text));
    }
}
