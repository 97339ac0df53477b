//! Opens the ledger's store at the start, and while that fails again with a backoff.
//!
//! A proxy whose store can't be opened for a while (EIO, ENOSPC) serves without it: it learns from its peers what it
//! committed, as one that lost its disk does, acknowledges nothing, and rejects what would have to be committed. Once
//! the store opens, all that it holds is in force again. After the start the store is opened on a thread of its own, as
//! a failing disk may block for long.

use super::{Daemon, Signal};
use crate::ledger::{Bounds, Ledger, LedgerError};
use crate::peers::Purge;
use crossbeam_channel::{bounded, Receiver};
use linnetknot::Micros;
use linnetknot_consul::Backoff;
use linnetknot_replication::Writer;
use std::path::PathBuf;
use std::thread;

/// The first backoff.
const MIN_RETRY_US: Micros = 100_000;
/// About the longest backoff.
const MAX_RETRY_US: Micros = 2_000_000;

/// The most purges of peers without logs that are kept for the store.
const MAX_BUFFERED_PURGES: usize = 4_096;

/// What is needed to open a store.
#[derive(Clone, Debug)]
pub(super) struct StoreConfig {
    pub(super) path: PathBuf,
    pub(super) writer: Writer,
    pub(super) bounds: Bounds,
}

impl StoreConfig {
    /// Opens the store, for a process that began at `started`.
    fn open(
        &self,
        started: Micros,
        wake: impl Fn() + Send + 'static,
    ) -> Result<Ledger, LedgerError> {
        Ledger::open(&self.path, self.writer, started, self.bounds, wake)
    }

    /// Opens the store at the start. Where that fails for a while, the ledger has no store, and it is opened again
    /// later. A failure that stays until somebody repairs it is an error.
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
                log::error!("the store {} can't be opened, and is tried again: {e}; what must be committed is rejected until then", self.path.display());
                let ledger = Ledger::without_store(self.writer, now, self.bounds);
                let pending = PendingStore {
                    store: self,
                    started: now,
                    reason: e.to_string(),
                    backoff: Backoff::new(MIN_RETRY_US, MAX_RETRY_US, seed),
                    opening: None,
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

/// A ledger, with its store or without.
pub(super) struct OpenedLedger {
    pub(super) ledger: Ledger,
    /// The store, if it has to be opened later.
    pub(super) pending: Option<PendingStore>,
}

/// Why a store can't be used at all.
#[derive(Debug, thiserror::Error)]
#[error("cdni.purges: {}: {source}", path.display())]
pub(super) struct StoreOpenError {
    path: PathBuf,
    source: LedgerError,
}

/// A store that can't be opened for a while.
pub(super) struct PendingStore {
    store: StoreConfig,
    /// When the process began, from which its incarnation is derived.
    started: Micros,
    /// Why the last attempt failed.
    reason: String,
    backoff: Backoff,
    /// The running attempt.
    opening: Option<Receiver<Result<Ledger, LedgerError>>>,
    /// How many commands were rejected for lack of the store.
    rejected: u64,
    /// Purges that peers without logs sent meanwhile, which are to be stored.
    buffered_purges: Vec<Purge>,
}

impl PendingStore {
    /// Keeps a purge of a peer without logs until the store is open.
    pub(super) fn buffer_purge(&mut self, purge: Purge) {
        if self.buffered_purges.len() < MAX_BUFFERED_PURGES {
            self.buffered_purges.push(purge);
        }
    }

    /// Returns why the last attempt failed.
    pub(super) fn reason(&self) -> &str {
        &self.reason
    }

    /// Starts an attempt on a thread of its own, which raises the signal when it is over.
    fn start_attempt(&mut self, signal: &Signal) -> std::io::Result<()> {
        let (synced, opened) = (signal.waker()?, signal.waker()?);
        let (store, started) = (self.store.clone(), self.started);
        let (sender, receiver) = bounded(1);
        let open = move || {
            // The receiver is gone where the process ends.
            let _ = sender.send(store.open(started, synced));
            opened();
        };
        thread::Builder::new()
            .name("store-opening".into())
            .spawn(open)?;
        self.opening = Some(receiver);
        Ok(())
    }

    /// Records a failed attempt. Returns when the next is due.
    fn record_failure(&mut self, now: Micros, reason: String) -> Micros {
        // Logged once for each reason, as a full disk stays full for long.
        if self.reason != reason {
            log::error!(attempts = self.backoff.failures() + 1; "the store still can't be opened: {reason}");
            self.reason = reason;
        }
        now + self.backoff.next_delay()
    }
}

impl Daemon {
    /// Whether there is a store that can't be opened yet.
    pub(super) fn lacks_store(&self) -> bool {
        self.pending_store.is_some()
    }

    /// Counts a command that is rejected for lack of the store.
    pub(super) fn count_rejected(&mut self) {
        if let Some(pending) = &mut self.pending_store {
            pending.rejected += 1;
        }
    }

    /// Schedules the first attempt after the start.
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

    /// Processes the result of an attempt to open the store, if it is over.
    pub(super) fn finish_store_opening(&mut self, now: Micros) {
        let Some(pending) = &mut self.pending_store else {
            return;
        };
        let result = pending.opening.as_ref().map(Receiver::try_recv);
        match result {
            Some(Ok(Ok(ledger))) => self.attach_store(now, ledger),
            Some(Ok(Err(e))) => {
                pending.opening = None;
                let due = pending.record_failure(now, e.to_string());
                self.schedule(due, Daemon::start_store_opening);
            }
            Some(Err(_)) | None => {}
        }
    }

    /// Replaces the ledger without a store. Nothing that it held was acknowledged, so the peers send it again.
    fn attach_store(&mut self, now: Micros, mut ledger: Ledger) {
        let Some(pending) = self.pending_store.take() else {
            return;
        };
        log::info!(attempts = pending.backoff.failures(), rejected = pending.rejected; "the store {} is open", pending.store.path.display());
        let announced = self.ledger.as_ref().map_or(0, Ledger::incarnation);
        if announced > ledger.incarnation() {
            // Peers know this process by a greater incarnation than follows from its store.
            ledger.raise_incarnation(announced);
        }
        let before = self.ledger.replace(ledger);
        let incarnation = |ledger: &Option<Ledger>| ledger.as_ref().map(Ledger::incarnation);
        if incarnation(&before) != incarnation(&self.ledger) {
            // Its store knows of a process that began later, by a clock that was set back: this one is its successor.
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
