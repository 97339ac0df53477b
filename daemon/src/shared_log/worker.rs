//! The worker thread that writes and reads the file of a shared log.

use super::file::SharedFile;
use super::records::SharedRecords;
use crate::disk::FailedAttempts;
use crossbeam_channel::{bounded, Receiver, RecvTimeoutError, Sender};
use std::io;
use std::mem;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};

/// Records that one thread adds and another one takes.
type Mailbox<S> = Arc<Mutex<S>>;

fn lock<S>(mailbox: &Mailbox<S>) -> MutexGuard<'_, S> {
    mailbox.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The handle of the worker thread. Dropping it waits until the records have been written, or their write has failed.
pub struct SharedLog<S> {
    outgoing: Mailbox<S>,
    incoming: Mailbox<S>,
    wake: Option<Sender<()>>,
    worker: Option<JoinHandle<()>>,
}

impl<S: SharedRecords> SharedLog<S> {
    /// Starts the worker thread. It calls `notify` when it has read records.
    ///
    /// # Errors
    /// The thread can't be started.
    pub fn start(file: SharedFile<S>, notify: impl Fn() + Send + 'static) -> io::Result<Self> {
        let (wake, wakes) = bounded(1);
        let (outgoing, incoming) = (Mailbox::<S>::default(), Mailbox::<S>::default());
        let worker = Worker {
            file,
            outgoing: outgoing.clone(),
            incoming: incoming.clone(),
            failed_writes: FailedAttempts::default(),
            notify,
        };
        let worker = thread::Builder::new()
            .name(S::THREAD_NAME.to_owned())
            .spawn(move || worker.run(&wakes))?;
        Ok(SharedLog {
            outgoing,
            incoming,
            wake: Some(wake),
            worker: Some(worker),
        })
    }

    /// Writes a record for the other process.
    pub fn share(&self, record: S::Record) {
        lock(&self.outgoing).add(record);
        if let Some(wake) = &self.wake {
            // If the channel is full, the worker is already awake.
            let _ = wake.try_send(());
        }
    }

    /// Returns the records that were read since the last call.
    pub fn take_received(&self) -> S {
        mem::take(&mut lock(&self.incoming))
    }
}

impl<S> Drop for SharedLog<S> {
    fn drop(&mut self) {
        self.wake = None;
        if let Some(worker) = self.worker.take() {
            let _ = worker.join();
        }
    }
}

/// The state of the worker thread.
struct Worker<S, N> {
    file: SharedFile<S>,
    outgoing: Mailbox<S>,
    incoming: Mailbox<S>,
    failed_writes: FailedAttempts,
    notify: N,
}

impl<S: SharedRecords, N: Fn()> Worker<S, N> {
    fn run(mut self, wakes: &Receiver<()>) {
        loop {
            let wake = wakes.recv_timeout(S::POLL_INTERVAL);
            self.write();
            if wake == Err(RecvTimeoutError::Disconnected) {
                return;
            }
            self.read();
        }
    }

    /// Writes the outgoing records. They are kept if that fails.
    fn write(&mut self) {
        let records = mem::take(&mut *lock(&self.outgoing));
        if records.is_empty() {
            return;
        }
        let result = self.file.append(&records);
        self.failed_writes.record(self.file.path(), &result);
        if result.is_err() {
            lock(&self.outgoing).merge(records);
        }
    }

    /// Reads the records that were appended, also those of this process. A failed read is repeated at the next interval.
    fn read(&mut self) {
        let mut records = S::default();
        let result = self.file.read_new(&mut |record| records.add(record));
        if let Err(e) = result {
            log::debug!("{} can't be read: {e}", self.file.path().display());
        }
        if records.is_empty() {
            return;
        }
        lock(&self.incoming).merge(records);
        (self.notify)();
    }
}
