//! A ledger that stores few exact purges before it compacts them, on an in-memory medium that can fail from a chosen
//! operation on.
#![allow(dead_code, reason = "each test file uses only some of these items")]

use crate::medium::Medium;
use linnetknot::Micros;
use linnetknot_daemon::ledger::{Bounds, Ledger, LedgerError};
use linnetknot_purges::BucketBits;
use linnetknot_replication::{Entry, Options, Outgoing, Subject};
use linnetknot_store::{KeyValue, Keyspace, Store};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

pub(crate) const WRITER: u64 = 1;
/// Number of purges that a ledger keeps as exact entries before it compacts them.
pub(crate) const WINDOW: usize = 8;
/// Time between two purges.
pub(crate) const STEP_US: Micros = 10_000;
/// Maximum wait for the disk worker to report a completed write.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum wait for a wakeup between two ticks. The wait may end without a wakeup if no write is pending.
const TICK_TIMEOUT: Duration = Duration::from_millis(100);
const MAX_TICKS: usize = 100;

pub(crate) fn bounds(window: usize, bucket_bits: BucketBits) -> Bounds {
    let replication = Options {
        max_exact_entries: window,
        ..Options::default()
    };
    Bounds {
        replication,
        queue: 64,
        bucket_bits,
    }
}

pub(crate) fn object(n: u64) -> String {
    format!("{n:016x}")
}

pub(crate) fn subject(n: u64) -> Subject {
    Subject::Object(object(n))
}

/// Returns the contents of all keyspaces that a ledger writes.
pub(crate) fn all_pairs(store: &mut Store) -> Vec<(Keyspace, Vec<KeyValue>)> {
    let spaces = ["head", "own", "entries", "buckets", "compacted", "table"].map(Keyspace);
    spaces
        .into_iter()
        .map(|space| (space, store.scan(space).unwrap()))
        .collect()
}

pub(crate) fn open_store(medium: &Medium) -> Store {
    let clone = medium.clone();
    Store::open_on(move || clone.clone()).unwrap()
}

/// A ledger with its medium, clock and wakeups from the disk worker.
pub(crate) struct TestNode {
    pub ledger: Ledger,
    pub medium: Medium,
    wakeups: Receiver<()>,
    pub now: Micros,
}

impl TestNode {
    pub(crate) fn open(
        medium: &Medium,
        now: Micros,
        bounds: Bounds,
    ) -> Result<TestNode, LedgerError> {
        Self::open_as(WRITER, medium, now, bounds)
    }

    pub(crate) fn open_as(
        writer: u64,
        medium: &Medium,
        now: Micros,
        bounds: Bounds,
    ) -> Result<TestNode, LedgerError> {
        let (wake, wakeups) = channel();
        let clone = medium.clone();
        let store = Store::open_on(move || clone.clone())?;
        let wake = move || {
            let _ = wake.send(());
        };
        let ledger = Ledger::open_on(store, None, writer, now, bounds, wake)?;
        Ok(TestNode {
            ledger,
            medium: medium.clone(),
            wakeups,
            now,
        })
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.medium.0.lock().unwrap().remaining_operations == Some(0)
    }

    pub(crate) fn is_synced(&self) -> bool {
        self.ledger.replica().is_synced() && self.ledger.is_compaction_synced()
    }

    /// Processes completions until all writes are synced or the medium has stopped.
    pub(crate) fn settle(&mut self) -> Vec<Outgoing> {
        let mut outgoing = self.ledger.take_completions(self.now);
        while !self.is_synced() && !self.is_stopped() {
            self.wakeups
                .recv_timeout(TIMEOUT)
                .expect("a wakeup from the disk worker");
            outgoing.extend(self.ledger.take_completions(self.now));
        }
        outgoing
    }

    /// Advances the clock until all writes are synced. Each tick retries the writes that failed.
    pub(crate) fn tick_until_synced(&mut self) {
        for _ in 0..MAX_TICKS {
            self.now += 1_000_000;
            self.ledger.tick(self.now);
            self.await_wakeup();
            self.ledger.take_completions(self.now);
            if self.is_synced() {
                return;
            }
        }
        panic!("writes are not synced after {MAX_TICKS} ticks");
    }

    /// Waits up to `TICK_TIMEOUT` for a wakeup. Does not process the completions.
    pub(crate) fn await_wakeup(&self) {
        let _ = self.wakeups.recv_timeout(TICK_TIMEOUT);
    }

    /// Waits for one wakeup and processes the completions.
    pub(crate) fn await_completions(&mut self) -> Vec<Outgoing> {
        self.wakeups
            .recv_timeout(TIMEOUT)
            .expect("a wakeup from the disk worker");
        self.ledger.take_completions(self.now)
    }

    /// Purges an object and waits for the disk. Returns the entry if it is acknowledged.
    pub(crate) fn purge(&mut self, n: u64) -> Option<Entry> {
        self.now += STEP_US;
        let entry = self
            .ledger
            .append_purge(Some(&object(n)), 0, self.now)
            .ok()?;
        self.settle();
        let durable = self.ledger.replica().durable_index(entry.log);
        (durable >= entry.index).then_some(entry)
    }

    /// Returns whether a purge at least as recent as `entry` is in force, as an entry or in the table.
    pub(crate) fn contains_purge(&self, entry: &Entry) -> bool {
        self.ledger
            .replica()
            .log_store()
            .latest_purge(&entry.subject)
            >= Some(entry.at)
    }
}

/// Purges objects, some of them repeatedly, until the medium stops. Returns the acknowledged entries.
pub(crate) fn run_until_stopped(medium: &Medium, bounds: Bounds) -> Vec<Entry> {
    let mut acknowledged = Vec::new();
    // A log's epoch is its creation time, so each run after a crash needs a later clock.
    let now = 1_000_000 + medium.0.lock().unwrap().operations * 1_000_000;
    let Ok(mut node) = TestNode::open(medium, now, bounds) else {
        return acknowledged;
    };
    for n in 0..3 * WINDOW as u64 {
        acknowledged.extend(node.purge(n % 20));
        if node.is_stopped() {
            break;
        }
    }
    node.ledger.simulate_crash();
    acknowledged
}

/// Crashes a ledger at each of its operations on the medium, discards unsynced data and reopens it. Returns the
/// acknowledged purges that are no longer in force, each with the operation of the crash.
pub(crate) fn purges_lost_by_crashes(bounds: Bounds) -> Vec<(u64, Entry)> {
    let undisturbed = Medium::default();
    drop(open_store(&undisturbed));
    let setup_operations = undisturbed.0.lock().unwrap().operations;
    let all = run_until_stopped(&undisturbed, bounds);
    assert_eq!(
        all.len(),
        3 * WINDOW,
        "all purges are acknowledged on a medium that does not fail"
    );
    let operations = undisturbed.0.lock().unwrap().operations;
    let mut lost = Vec::new();
    for n in setup_operations..operations {
        let medium = Medium::default();
        drop(open_store(&medium));
        medium.0.lock().unwrap().remaining_operations = Some(n - setup_operations);
        let mut acknowledged = run_until_stopped(&medium, bounds);
        medium.0.lock().unwrap().lose_power(n);
        // The next process crashes as well, while it repeats the interrupted compaction.
        medium.0.lock().unwrap().remaining_operations = Some(20 + n % 40);
        acknowledged.extend(run_until_stopped(&medium, bounds));
        medium.0.lock().unwrap().lose_power(n + 1);
        let reopened = TestNode::open(&medium, u64::MAX / 2, bounds);
        let reopened = reopened.unwrap_or_else(|e| panic!("stopped at {n}: {e}"));
        lost.extend(
            acknowledged
                .into_iter()
                .filter(|entry| !reopened.contains_purge(entry))
                .map(|entry| (n, entry)),
        );
        reopened.ledger.simulate_crash();
    }
    lost
}
