//! What release c1f7885 stored, read by this program and written again byte for byte: the operators' state, the cached list
//! of caches, and a store of each format.

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
/// When the stores were begun.
const EPOCH_1: Micros = 0x0006_61a4_cc7c_0065;
const EPOCH_2: Micros = 0x0006_61a4_cc99_769b;
/// Triggers that the stores have, each a purge of two objects.
const TRIGGERS: u64 = 6;
const OBJECTS: u64 = 12;
/// Purges that the second store's program held one by one.
const EXACT_PURGES: usize = 4;
/// Spaces that a ledger writes, and the head.
const SPACES: [&str; 6] = ["head", "own", "entries", "buckets", "compacted", "table"];
const PATIENCE: Duration = Duration::from_secs(10);

/// A folder that goes with its value.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let folder =
            std::env::temp_dir().join(format!("linnetknot-stored-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        Folder(folder)
    }

    /// A file in it.
    fn put(&self, name: &str, bytes: &[u8]) -> PathBuf {
        let path = self.0.join(name);
        fs::write(&path, bytes).unwrap();
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A ledger and the word of its worker.
struct Running {
    ledger: Ledger,
    woken: Receiver<()>,
}

impl Running {
    fn open(path: &Path, now: Micros, exact_purges: usize) -> Self {
        let (wake, woken) = channel();
        let bounds = Bounds {
            replication: Options {
                max_exact_entries: exact_purges,
                ..Options::default()
            },
            queue: 64,
            bucket_bits: BucketBits::DEFAULT,
        };
        let wake = move || {
            let _ = wake.send(());
        };
        let ledger = Ledger::open(path, WRITER, now, bounds, wake).unwrap();
        Running { ledger, woken }
    }

    /// Waits until all is on the disk.
    fn settle(&mut self, now: Micros) {
        self.ledger.tick(now);
        while !(self.ledger.replica().is_synced() && self.ledger.is_compaction_synced()) {
            self.woken
                .recv_timeout(PATIENCE)
                .expect("the worker has a word");
            self.ledger.take_completions(now);
        }
    }
}

fn pairs(path: &Path) -> Vec<(&'static str, Vec<KeyValue>)> {
    let mut store = Store::open(path).unwrap();
    SPACES
        .iter()
        .map(|space| (*space, store.scan(Keyspace(space)).unwrap()))
        .collect()
}

/// A space's pairs as text, a line each.
fn shown((space, pairs): &(&str, Vec<KeyValue>)) -> Vec<String> {
    let line = |KeyValue { key, value }: &KeyValue| {
        format!("{space} {}={}", key.escape_ascii(), value.escape_ascii())
    };
    pairs.iter().map(line).collect()
}

fn object(n: u64) -> Subject {
    Subject::Object(format!("{n:016x}"))
}

fn ban() -> Subject {
    Subject::Ban("s-0a".to_owned())
}

/// The status of the n-th trigger, `at` the second at which it was told.
fn status(n: u64, at: u64) -> String {
    let url = |n: u64| format!("\"http://cdn.example/content/photo/{n:016x}\"");
    format!(
        "{{\"ctime\":{at},\"mtime\":{at},\"status\":\"complete\",\"trigger\":{{\"content.urls\":[{},{}],\"type\":\"purge\"}}}}",
        url(2 * n),
        url(2 * n + 1)
    )
}

/// All that a store tells: statuses, purges, ban and drain.
fn check(ledger: &Ledger, epoch: Micros, second: u64) {
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
    let decided = BTreeMap::from([(ban(), false), (Subject::Drain, false)]);
    assert_eq!(ledger.decisions(), decided);
    let log_store = ledger.replica().log_store();
    for n in 0..OBJECTS {
        let at = log_store.latest_purge(&object(n));
        assert!(at.is_some_and(|at| at > epoch), "object {n}: {at:?}");
    }
    assert_eq!(log_store.latest_purge(&object(OBJECTS)), None);
}

/// Appends what the old program appended, in its order and with its times, to a new store, and ends in order.
fn write_again(path: &Path, epoch: Micros, read: &Ledger, exact_purges: usize) {
    let log_store = read.replica().log_store();
    let mut entries: Vec<Entry> = log_store.entries().collect();
    entries.sort_by_key(|entry| entry.index);
    let at = |subject: &Subject| log_store.latest_purge(subject).unwrap();
    // No purge of the table is later than the time of its compaction.
    let now = entries.iter().map(|entry| entry.at).max().unwrap();
    let mut running = Running::open(path, epoch, exact_purges);
    for (number, text) in read.statuses().iter().map(|s| (s.number, &s.text)) {
        for n in [2 * (number - epoch), 2 * (number - epoch) + 1] {
            running
                .ledger
                .append(object(n), at(&object(n)), false)
                .unwrap();
        }
        let is_of_status = |e: &&Entry| matches!(e.subject, Subject::TriggerStatusPart { number: of, .. } if of == number);
        let told_at = entries.iter().find(is_of_status).unwrap().at;
        running.ledger.append_status(number, text, told_at).unwrap();
        running.settle(now);
    }
    for entry in entries
        .iter()
        .filter(|e| [ban(), Subject::Drain].contains(&e.subject))
    {
        let subject = entry.subject.clone();
        running
            .ledger
            .append(subject, entry.at, entry.revoked)
            .unwrap();
        running.settle(now);
    }
    running.ledger.close().unwrap();
}

/// Reads a stored file, keeps it as it is, and writes the same again.
fn check_store(
    name: &str,
    bytes: &[u8],
    (epoch, second): (Micros, u64),
    (format, exact_purges): (Format, usize),
) {
    let folder = Folder::new(name);
    let path = folder.put("old", bytes);
    assert_eq!(Store::open(&path).unwrap().format(), Ok(format));
    let stored = pairs(&path);
    // A minute later.
    let running = Running::open(&path, epoch + 60_000_000, exact_purges);
    check(&running.ledger, epoch, second);
    let again = folder.0.join("again");
    write_again(&again, epoch, &running.ledger, exact_purges);
    running.ledger.simulate_crash();
    for (written, stored) in pairs(&again).iter().zip(&stored) {
        assert_eq!(shown(written), shown(stored), "written again");
    }
    let kept = |pairs: Vec<(&'static str, Vec<KeyValue>)>| -> Vec<_> {
        pairs
            .into_iter()
            .filter(|(space, _)| *space != "own")
            .collect()
    };
    assert_eq!(kept(pairs(&path)), kept(stored), "kept as it was read");
}

#[test]
fn a_store_of_the_first_format_is_read_and_written_again() {
    let window = Options::default().max_exact_entries;
    check_store(
        "state-1",
        STATE_1,
        (EPOCH_1, 1_796_210_293),
        (Format::Entries, window),
    );
}

#[test]
fn a_store_of_the_second_format_is_read_and_written_again() {
    check_store(
        "state-2",
        STATE_2,
        (EPOCH_2, 1_796_210_295),
        (Format::Compacted, EXACT_PURGES),
    );
}

#[test]
fn the_operators_state_is_read_and_written_again() {
    let folder = Folder::new("operators");
    for copy in store::copy_paths(&folder.0) {
        fs::write(copy, OPERATORS).unwrap();
    }
    let names = store::copy_paths(&folder.0).map(|path| path.file_name().unwrap().to_owned());
    assert_eq!(names, ["linnetknot-ops.json", "linnetknot-ops.json.2"]);
    let kept = store::load(&folder.0).unwrap();
    let expected = OperatorState {
        sequence: 2,
        bans: ["s-0a".to_owned()].into(),
        out_of_service: true,
    };
    assert_eq!(kept, expected);
    assert_eq!(store::encode(&kept), OPERATORS);
}

#[test]
fn a_cached_list_is_read_and_written_again() {
    const AT: Micros = 1_796_210_294_500_659;
    const SCOPE: &str = "consul   pop-cache";
    let list = cached_snapshot::decode(CACHES, SCOPE, AT + 1, CACHES.len(), 1).unwrap();
    assert_eq!(list.confirmed_at, AT);
    let seen = list.entries.iter().map(|entry| {
        let server = &entry.server;
        let address = entry.endpoint.to_string();
        (entry.uid.as_str(), address, server.weight, server.state)
    });
    let expected = [
        ("s-0a", "127.0.0.1:37047".to_owned(), 8.0, State::Ready),
        ("s-0b", "127.0.0.1:42369".to_owned(), 8.0, State::Ready),
        ("s-0c", "127.0.0.1:46555".to_owned(), 8.0, State::Draining),
    ];
    assert!(seen.eq(expected), "{:?}", list.entries);
    let again = cached_snapshot::encode(SCOPE, list.confirmed_at, list.entries.iter());
    assert_eq!(again, CACHES);
}

/// The datagrams of the other kinds are pinned in the tests of their packages.
#[test]
fn a_plain_purge_is_read_and_written_again() {
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
