//! Opens the store of the ledger at startup, and retries with a backoff if that fails temporarily.
//!
//! If the store can't be opened because of a temporary failure (EIO, ENOSPC), the proxy runs without it: it recovers
//! its committed entries from its peers as if it had lost its disk, acknowledges no entries, and rejects commands that
//! would have to be committed. Once the store is open, its content is applied. Retries run on a separate thread,
//! because calls to a failing disk may block.

use super::{Daemon, Signal};
use crate::ledger::{Bounds, Ledger, LedgerError};
use crate::peers::Purge;
use crossbeam_channel::{bounded, Receiver};
use linnetknot::Micros;
use linnetknot_consul::Backoff;
use linnetknot_replication::Writer;
use std::path::PathBuf;
use std::thread;

const MIN_RETRY_US: Micros = 100_000;
/// The longest backoff between two attempts to open the store, in microseconds, before jitter.
const MAX_RETRY_US: Micros = 2_000_000;

/// The maximum number of plain purges (from peers that do not replicate logs) that are buffered until the store is
/// open.
const MAX_BUFFERED_PURGES: usize = 4_096;

/// The parameters for opening the store of a ledger.
#[derive(Clone, Debug)]
pub(super) struct StoreConfig {
    pub(super) path: PathBuf,
    pub(super) writer: Writer,
    pub(super) bounds: Bounds,
}

impl StoreConfig {
    /// Opens the store for a process that started at `started`.
    fn open(
        &self,
        started: Micros,
        wake: impl Fn() + Send + 'static,
    ) -> Result<Ledger, LedgerError> {
        Ledger::open(&self.path, self.writer, started, self.bounds, wake)
    }

    /// Opens the store at startup. After a temporary failure the ledger has no store, and opening it is retried
    /// later. A permanent failure is an error.
    pub(super) fn start(
        self,
        now: Micros,
        seed: u64,
        wake: impl Fn() + Send + 'static,
    ) -> Result<OpenedLedger, StoreOpenError> {
        match self.open(now, wake) {
            Ok(ledger) => Ok(OpenedLedger {
                ledger,
                pending: None,
            }),
            Err(e) if e.is_transient() => {
                log::error!("failed to open the store {}, retrying: {e}; commands that need a commit are rejected until then", self.path.display());
                let ledger = Ledger::without_store(self.writer, now, self.bounds);
                let pending = PendingStore {
                    store: self,
                    started: now,
                    reason: e.to_string(),
                    backoff: Backoff::new(MIN_RETRY_US, MAX_RETRY_US, seed),
                    attempt_result: None,
                    rejected: 0,
                    buffered_purges: Vec::new(),
                };
                Ok(OpenedLedger {
                    ledger,
                    pending: Some(pending),
                })
            }
            Err(source) => Err(StoreOpenError {
                path: self.path,
                source,
            }),
        }
    }
}

/// A ledger, with or without its store.
pub(super) struct OpenedLedger {
    pub(super) ledger: Ledger,
    /// The store, if opening it failed and is to be retried.
    pub(super) pending: Option<PendingStore>,
}

/// A permanent failure to open the store.
#[derive(Debug, thiserror::Error)]
#[error("cdni.purges: {}: {source}", path.display())]
pub(super) struct StoreOpenError {
    path: PathBuf,
    source: LedgerError,
}

/// A store that could not be opened at startup, and the state of the retries.
pub(super) struct PendingStore {
    store: StoreConfig,
    /// When the process started, from which its incarnation is derived.
    started: Micros,
    /// Why the last attempt to open the store failed.
    reason: String,
    backoff: Backoff,
    /// The channel that receives the result of the current attempt to open the store.
    attempt_result: Option<Receiver<Result<Ledger, LedgerError>>>,
    /// The number of commands that were rejected because the store is not open.
    rejected: u64,
    /// Purges received meanwhile from peers that do not replicate logs, to be stored once the store is open.
    buffered_purges: Vec<Purge>,
}

impl PendingStore {
    /// Buffers a purge of a peer that does not replicate logs until the store is open. Drops the purge if the buffer is
    /// full.
    pub(super) fn buffer_purge(&mut self, purge: Purge) {
        if self.buffered_purges.len() < MAX_BUFFERED_PURGES {
            self.buffered_purges.push(purge);
        }
    }

    /// Returns why the last attempt to open the store failed.
    pub(super) fn reason(&self) -> &str {
        &self.reason
    }

    /// Starts an attempt to open the store on a separate thread, which raises the signal when the attempt is done.
    fn start_attempt(&mut self, signal: &Signal) -> std::io::Result<()> {
        let (synced, opened) = (signal.waker()?, signal.waker()?);
        let (store, started) = (self.store.clone(), self.started);
        let (sender, receiver) = bounded(1);
        let open = move || {
            // The receiver is dropped if the process ends first.
            let _ = sender.send(store.open(started, synced));
            opened();
        };
        thread::Builder::new()
            .name("store-opening".into())
            .spawn(open)?;
        self.attempt_result = Some(receiver);
        Ok(())
    }

    /// Records a failed attempt to open the store. Returns the time of the next attempt.
    fn record_failure(&mut self, now: Micros, reason: String) -> Micros {
        // A reason is logged only when it changes, because a disk may stay full for a long time.
        if self.reason != reason {
            log::error!(attempts = self.backoff.failures() + 1; "failed again to open the store: {reason}");
            self.reason = reason;
        }
        now + self.backoff.next_delay()
    }
}

impl Daemon {
    /// Returns whether there is a store that can't be opened yet.
    pub(super) fn lacks_store(&self) -> bool {
        self.pending_store.is_some()
    }

    /// Counts a command that is rejected because the store is not open.
    pub(super) fn count_rejected(&mut self) {
        if let Some(pending) = &mut self.pending_store {
            pending.rejected += 1;
        }
    }

    /// Schedules the first retry of opening the store after startup.
    pub(super) fn schedule_store_opening(&mut self, now: Micros) {
        if let Some(pending) = &mut self.pending_store {
            let due = now + pending.backoff.next_delay();
            self.schedule(due, Daemon::start_store_opening);
        }
    }

    fn start_store_opening(&mut self, now: Micros) {
        let (Some(pending), Some(signal)) = (&mut self.pending_store, &self.store_signal) else {
            return;
        };
        if let Err(e) = pending.start_attempt(signal) {
            let due = pending.record_failure(now, e.to_string());
            self.schedule(due, Daemon::start_store_opening);
        }
    }

    /// Processes the result of an attempt to open the store, if it is done.
    pub(super) fn finish_store_opening(&mut self, now: Micros) {
        let Some(pending) = &mut self.pending_store else {
            return;
        };
        let result = pending.attempt_result.as_ref().map(Receiver::try_recv);
        match result {
            Some(Ok(Ok(ledger))) => self.attach_store(now, ledger),
            Some(Ok(Err(e))) => {
                pending.attempt_result = None;
                let due = pending.record_failure(now, e.to_string());
                self.schedule(due, Daemon::start_store_opening);
            }
            Some(Err(_)) | None => {}
        }
    }

    /// Replaces the ledger without a store by the opened one. The entries that the old ledger received from peers were
    /// not acknowledged, so the peers send them again.
    fn attach_store(&mut self, now: Micros, mut ledger: Ledger) {
        let Some(pending) = self.pending_store.take() else {
            return;
        };
        log::info!(attempts = pending.backoff.failures(), rejected = pending.rejected; "opened the store {}", pending.store.path.display());
        let announced = self.ledger.as_ref().map_or(0, Ledger::incarnation);
        if announced > ledger.incarnation() {
            // Peers already know this process by a greater incarnation than the store contains.
            ledger.raise_incarnation(announced);
        }
        let before = self.ledger.replace(ledger);
        let incarnation = |ledger: &Option<Ledger>| ledger.as_ref().map(Ledger::incarnation);
        if incarnation(&before) != incarnation(&self.ledger) {
            // The store contains a greater incarnation than this process announced, because the clock was set back. The
            // process joins again with the incarnation that follows it.
            self.join_membership(now);
            self.rejoin_budgets(now);
        }
        self.restore_purges(now);
        self.update_machines();
        self.restore_decisions(now);
        self.restore_triggers(now);
        self.recover_with_store(now);
        for purge in &pending.buffered_purges {
            self.write_plain_purge(purge);
        }
        self.tick_replication(now);
        self.announce_readiness(now);
    }
}
