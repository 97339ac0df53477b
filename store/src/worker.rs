//! The worker thread that writes the store, with a bounded queue and group commit (one sync for many writes).

use crate::{Store, StoreError, Write};
use crossbeam_channel::{bounded, unbounded, Receiver, Sender};
use std::io;
use std::thread::{self, JoinHandle};

/// The id of a write. Writes are numbered in the order in which they are submitted, starting at 1.
pub type WriteId = u64;

/// The maximum number of writes that are committed with one sync.
const MAX_GROUP_WRITES: usize = 1_024;

/// The result of a group of writes that were committed together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// The last write of the group. The group contains all writes since the previous completion.
    pub through: WriteId,
    /// Success if the writes are on the disk. After an error it is unknown whether they are, and they must be submitted
    /// again.
    pub result: Result<(), StoreError>,
}

/// Writes to a store on a separate thread, so that the caller does not block on the disk.
#[derive(Debug)]
pub struct StoreWorker {
    writes: Sender<(WriteId, Write)>,
    completions: Receiver<Completion>,
    thread: JoinHandle<Store>,
    last_submitted: WriteId,
    last_completed: WriteId,
    max_pending: usize,
}

/// Commits a group. Contains fail points at which tests end the process or make the disk fail.
fn commit(store: &mut Store, group: &[Write]) -> Result<(), StoreError> {
    fail::fail_point!("store-commits");
    fail::fail_point!("store-fails", |_| Err(StoreError::Disk(
        "no space is left".into()
    )));
    store.commit(group)?;
    fail::fail_point!("store-committed");
    Ok(())
}

/// Counts consecutive failed commits. Only the first failure and the next success are logged, because a disk may stay
/// full for a long time.
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

/// Commits the submitted writes until the queue is closed, and returns the store.
fn run_worker(
    mut store: Store,
    writes: &Receiver<(WriteId, Write)>,
    completions: &Sender<Completion>,
    wake: &dyn Fn(),
) -> Store {
    let mut failures = FailureLog::default();
    while let Ok((mut through, first)) = writes.recv() {
        // Writes that were submitted during the previous commit are committed together.
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
        // Sending fails only if the `StoreWorker` was dropped, so that no receiver is left.
        let _ = completions.send(Completion { through, result });
        wake();
    }
    store
}

impl StoreWorker {
    /// Starts the thread with a name. At most `max_pending` writes may be pending. A write is pending until its
    /// completion has been taken. `wake` is called on the thread for each completion.
    pub fn start(
        name: &str,
        store: Store,
        max_pending: usize,
        wake: impl Fn() + Send + 'static,
    ) -> io::Result<Self> {
        let max_pending = max_pending.max(1);
        let (writes, submitted) = bounded(max_pending);
        // The channel needs no bound, because there are at most as many completions as pending writes.
        let (completed, completions) = unbounded();
        let body = move || run_worker(store, &submitted, &completed, &wake);
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

    /// Returns the number of writes that can be submitted now.
    pub fn capacity(&self) -> usize {
        let pending = self.last_submitted - self.last_completed;
        let pending = usize::try_from(pending).unwrap_or(usize::MAX);
        self.max_pending.saturating_sub(pending)
    }

    /// Submits a write. Returns its id, or `None` if the queue is full and the write was not submitted.
    pub fn submit(&mut self, write: Write) -> Option<WriteId> {
        if self.capacity() == 0 {
            return None;
        }
        let id = self.last_submitted + 1;
        self.writes.try_send((id, write)).ok()?;
        self.last_submitted = id;
        Some(id)
    }

    /// Removes and returns the oldest completion, if any.
    pub fn completion(&mut self) -> Option<Completion> {
        let completion = self.completions.try_recv().ok()?;
        self.last_completed = completion.through;
        Some(completion)
    }

    /// Waits until all submitted writes are committed and the thread has ended. Returns the store and the remaining
    /// completions, or `None` if the thread has panicked.
    pub fn close(self) -> Option<(Store, Vec<Completion>)> {
        drop(self.writes);
        let store = self.thread.join().ok()?;
        Some((store, self.completions.try_iter().collect()))
    }
}
