//! A ledger with a small window on a medium that stops at a chosen operation, and what it acknowledged.
#![allow(dead_code, reason = "each test file uses a part of it")]

use crate::medium::Medium;
use linnetknot::Micros;
use linnetknot_daemon::ledger::{Bounds, Ledger, LedgerError};
use linnetknot_purges::BucketBits;
use linnetknot_replication::{Entry, Options, Outgoing, Subject};
use linnetknot_store::{KeyValue, Keyspace, Store};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

pub(crate) const WRITER: u64 = 1;
/// Purges that a ledger holds one by one.
pub(crate) const WINDOW: usize = 8;
/// Steps of time between purges.
pub(crate) const STEP_US: Micros = 10_000;
/// The worker's word is waited for so long.
const TIMEOUT: Duration = Duration::from_secs(10);
/// The same between two ticks, after which there may be nothing to say.
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

/// All pairs of the spaces that a ledger writes.
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

/// A ledger and the word of its worker.
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

    /// Takes in the worker's word until all is on the disk, or the medium has stopped.
    pub(crate) fn settle(&mut self) -> Vec<Outgoing> {
        let mut outgoing = self.ledger.take_completions(self.now);
        while !self.is_synced() && !self.is_stopped() {
            self.wakeups
                .recv_timeout(TIMEOUT)
                .expect("the worker has a word");
            outgoing.extend(self.ledger.take_completions(self.now));
        }
        outgoing
    }

    /// Lets time pass until all is on the disk: what it did not take is given to it again at each tick.
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
        panic!("the disk has not all of it after {MAX_TICKS} ticks");
    }

    /// Waits a little for a word of the worker, if none has come. What it tells is left to be taken in.
    pub(crate) fn await_wakeup(&self) {
        let _ = self.wakeups.recv_timeout(TICK_TIMEOUT);
    }

    /// Waits for one word of the worker.
    pub(crate) fn await_completions(&mut self) -> Vec<Outgoing> {
        self.wakeups
            .recv_timeout(TIMEOUT)
            .expect("the worker has a word");
        self.ledger.take_completions(self.now)
    }

    /// Purges an object and waits for the disk. Gives the entry if it is acknowledged.
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

    /// Whether a purge is in force: as an entry or in the table, no earlier than told.
    pub(crate) fn contains_purge(&self, entry: &Entry) -> bool {
        self.ledger
            .replica()
            .log_store()
            .latest_purge(&entry.subject)
            >= Some(entry.at)
    }
}

/// Purges objects, some of them again, until the medium stops. Gives what was acknowledged.
pub(crate) fn run_until_stopped(medium: &Medium, bounds: Bounds) -> Vec<Entry> {
    let mut acknowledged = Vec::new();
    // Some logs are begun by the crash before: their epoch is the time of their beginning.
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

/// Stops a ledger at each operation that it makes on the medium, loses what was not synced, and opens it again. Gives
/// what was acknowledged and is not in force then, with the operation.
pub(crate) fn purges_lost_by_crashes(bounds: Bounds) -> Vec<(u64, Entry)> {
    let undisturbed = Medium::default();
    drop(open_store(&undisturbed));
    let setup_operations = undisturbed.0.lock().unwrap().operations;
    let all = run_until_stopped(&undisturbed, bounds);
    assert_eq!(
        all.len(),
        3 * WINDOW,
        "on a calm medium all are acknowledged"
    );
    let operations = undisturbed.0.lock().unwrap().operations;
    let mut lost = Vec::new();
    for n in setup_operations..operations {
        let medium = Medium::default();
        drop(open_store(&medium));
        medium.0.lock().unwrap().remaining_operations = Some(n - setup_operations);
        let mut acknowledged = run_until_stopped(&medium, bounds);
        medium.0.lock().unwrap().lose_power(n);
        // The next process stops, too, a little later: in the midst of what it moves again.
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
