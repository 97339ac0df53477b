//! The worker thread that writes and reads the file of shared purges.

use super::file::PurgeFile;
use super::records::{Record, RecordSet};
use crate::disk::FailedAttempts;
use crate::peers::Purge;
use crossbeam_channel::{bounded, Receiver, RecvTimeoutError, Sender};
use std::io;
use std::mem;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// The interval at which the file is read, and at which failed writes are retried. A purge has to apply within 300 ms.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Records that one thread adds and another one takes.
type Mailbox = Arc<Mutex<RecordSet>>;

fn lock(mailbox: &Mailbox) -> MutexGuard<'_, RecordSet> {
    mailbox.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The handle of the worker thread. Dropping it waits until the purges have been written, or their write has failed.
pub struct SharedPurges {
    outgoing: Mailbox,
    incoming: Mailbox,
    wake: Option<Sender<()>>,
    worker: Option<JoinHandle<()>>,
}

impl SharedPurges {
    /// Starts the worker thread. It calls `notify` when it has read records.
    ///
    /// # Errors
    /// The thread can't be started.
    pub fn start(file: PurgeFile, notify: impl Fn() + Send + 'static) -> io::Result<Self> {
        let (wake, wakes) = bounded(1);
        let (outgoing, incoming) = (Mailbox::default(), Mailbox::default());
        let worker = Worker {
            file,
            outgoing: outgoing.clone(),
            incoming: incoming.clone(),
            failed_writes: FailedAttempts::default(),
            notify,
        };
        let worker = thread::Builder::new()
            .name("linnetknot-purges".to_owned())
            .spawn(move || worker.run(&wakes))?;
        Ok(SharedPurges {
            outgoing,
            incoming,
            wake: Some(wake),
            worker: Some(worker),
        })
    }

    /// Writes a purge for the other process.
    pub fn share(&self, purge: Purge) {
        lock(&self.outgoing).add(Record::Purge(purge));
        if let Some(wake) = &self.wake {
            // If the channel is full, the worker is already awake.
            let _ = wake.try_send(());
        }
    }

    /// Returns the records that were read since the last call.
    pub fn take_received(&self) -> RecordSet {
        mem::take(&mut lock(&self.incoming))
    }
}

impl Drop for SharedPurges {
    fn drop(&mut self) {
        self.wake = None;
        if let Some(worker) = self.worker.take() {
            let _ = worker.join();
        }
    }
}

/// The state of the worker thread.
struct Worker<N> {
    file: PurgeFile,
    outgoing: Mailbox,
    incoming: Mailbox,
    failed_writes: FailedAttempts,
    notify: N,
}

impl<N: Fn()> Worker<N> {
    fn run(mut self, wakes: &Receiver<()>) {
        loop {
            let wake = wakes.recv_timeout(POLL_INTERVAL);
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
        let mut records = RecordSet::default();
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
