//! The worker thread that writes the store: a bounded queue, group commit (many writes to one sync), and a completion
//! for each group.

use crate::{Store, StoreError, Write};
use crossbeam_channel::{bounded, unbounded, Receiver, Sender};
use std::io;
use std::thread::{self, JoinHandle};

/// Identifies a write: writes are numbered in the order in which they are submitted, from 1.
pub type WriteId = u64;

/// The most writes that are committed with one sync.
const MAX_GROUP_WRITES: usize = 1_024;

/// The result of writes that were committed together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// The last write of the group, which holds all writes since the completion before.
    pub through: WriteId,
    /// Whether the writes are on the disk. After an error each of them may be there or not, and is to be submitted
    /// again.
    pub result: Result<(), StoreError>,
}

/// Writes a store from a thread of its own, so that the caller never waits for the disk.
#[derive(Debug)]
pub struct StoreWorker {
    writes: Sender<(WriteId, Write)>,
    completions: Receiver<Completion>,
    thread: JoinHandle<Store>,
    last_submitted: WriteId,
    last_completed: WriteId,
    max_pending: usize,
}

/// Commits a group, with the fail points at which tests end the process or have the disk fail.
fn commit(store: &mut Store, group: &[Write]) -> Result<(), StoreError> {
    fail::fail_point!("store-commits");
    fail::fail_point!("store-fails", |_| Err(StoreError::Disk(
        "no space is left".into()
    )));
    store.commit(group)?;
    fail::fail_point!("store-committed");
    Ok(())
}

/// Counts commits that failed in a row. They are logged when the first fails and when one succeeds again, as a full
/// disk stays full for long.
#[derive(Default)]
struct FailureLog {
    commits: u64,
    writes: u64,
}

impl FailureLog {
    fn record(&mut self, result: &Result<(), StoreError>, writes: usize) {
        match result {
            Ok(()) if self.commits > 0 => {
                let FailureLog { commits, writes } = std::mem::take(self);
                log::info!(failed_commits = commits, failed_writes = writes; "the store is written again");
            }
            Ok(()) => {}
            Err(e) => {
                if self.commits == 0 {
                    log::error!(writes = writes; "the store can't be written: {e}");
                }
                self.commits += 1;
                self.writes += writes as u64;
            }
        }
    }
}

/// The body of the thread: commits what is submitted until the queue is closed, and returns the store.
fn run(
    mut store: Store,
    writes: &Receiver<(WriteId, Write)>,
    completions: &Sender<Completion>,
    wake: &dyn Fn(),
) -> Store {
    let mut failures = FailureLog::default();
    while let Ok((mut through, first)) = writes.recv() {
        // All that was submitted while the disk was busy is committed with the next sync.
        let mut group = vec![first];
        while group.len() < MAX_GROUP_WRITES {
            let Ok((id, next)) = writes.try_recv() else {
                break;
            };
            group.push(next);
            through = id;
        }
        let result = commit(&mut store, &group);
        failures.record(&result, group.len());
        // The receiver is gone once the worker is being closed.
        let _ = completions.send(Completion { through, result });
        wake();
    }
    store
}

impl StoreWorker {
    /// Starts the thread under a name. At most `max_pending` writes may be submitted whose completion was not taken
    /// yet. `wake` is called on the thread for each completion.
    pub fn start(
        name: &str,
        store: Store,
        max_pending: usize,
        wake: impl Fn() + Send + 'static,
    ) -> io::Result<Self> {
        let max_pending = max_pending.max(1);
        let (writes, submitted) = bounded(max_pending);
        // Never longer than the number of pending writes, which is bounded.
        let (completed, completions) = unbounded();
        let body = move || run(store, &submitted, &completed, &wake);
        let thread = thread::Builder::new().name(name.to_owned()).spawn(body)?;
        Ok(StoreWorker {
            writes,
            completions,
            thread,
            last_submitted: 0,
            last_completed: 0,
            max_pending,
        })
    }

    /// Returns how many writes may be submitted now.
    pub fn capacity(&self) -> usize {
        let pending = self.last_submitted - self.last_completed;
        let pending = usize::try_from(pending).unwrap_or(usize::MAX);
        self.max_pending.saturating_sub(pending)
    }

    /// Submits a write. Returns none where the queue is full: nothing was taken then.
    pub fn submit(&mut self, write: Write) -> Option<WriteId> {
        if self.capacity() == 0 {
            return None;
        }
        let id = self.last_submitted + 1;
        self.writes.try_send((id, write)).ok()?;
        self.last_submitted = id;
        Some(id)
    }

    /// Takes the oldest completion, if there is one.
    pub fn completion(&mut self) -> Option<Completion> {
        let completion = self.completions.try_recv().ok()?;
        self.last_completed = completion.through;
        Some(completion)
    }

    /// Ends the thread once all that was submitted is written, and returns the store with the remaining completions, or
    /// none if the thread has panicked. Blocks until the disk is done.
    pub fn close(self) -> Option<(Store, Vec<Completion>)> {
        drop(self.writes);
        let store = self.thread.join().ok()?;
        Some((store, self.completions.try_iter().collect()))
    }
}
