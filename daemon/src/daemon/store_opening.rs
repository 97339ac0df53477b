//! The store of the ledger at the start, and again with a backoff while its folder fails.
//!
//! A proxy whose store can't be opened for a while (EIO, ENOSPC) serves without it: it learns from its peers what it
//! committed, as one that lost its disk does, acknowledges nothing, and rejects what would have to be committed. Once the
//! store opens, all that it holds is in force and owed again. Files are opened on a thread of their own, as a failing
//! disk may take long to say so.

use super::{Daemon, Signal};
use crate::ledger::{Bounds, Ledger, LedgerError};
use crate::peers::Purge;
use crossbeam_channel::{bounded, Receiver};
use linnetknot::Micros;
use linnetknot_consul::Backoff;
use linnetknot_replication::Writer;
use std::path::PathBuf;
use std::thread;

/// The first wait before the store is opened again.
const MIN_RETRY_US: Micros = 100_000;
/// About the longest wait between two attempts.
const MAX_RETRY_US: Micros = 2_000_000;

/// Purges of peers without logs that are remembered for the store.
const MAX_LEARNED: usize = 4_096;

/// Which store is opened, and for whom.
#[derive(Clone, Debug)]
pub(super) struct StoreConfig {
    pub(super) path: PathBuf,
    pub(super) writer: Writer,
    pub(super) bounds: Bounds,
}

impl StoreConfig {
    /// Opens the store of a process that began at this time.
    fn open(
        &self,
        started: Micros,
        wake: impl Fn() + Send + 'static,
    ) -> Result<Ledger, LedgerError> {
        Ledger::open(&self.path, self.writer, started, self.bounds, wake)
    }

    /// Opens the store at the start. Where it fails for a while, the ledger has none, and it is opened again later. What
    /// stays wrong until somebody mends it is an error.
    pub(super) fn start(
        self,
        now: Micros,
        seed: u64,
        wake: impl Fn() + Send + 'static,
    ) -> Result<(Ledger, Option<PendingStore>), String> {
        match self.open(now, wake) {
            Ok(ledger) => Ok((ledger, None)),
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
                    learned: Vec::new(),
                };
                Ok((ledger, Some(pending)))
            }
            Err(e) => Err(format!("cdni.purges: {}: {e}", self.path.display())),
        }
    }
}

/// A store that can't be opened for a while.
pub(super) struct PendingStore {
    store: StoreConfig,
    /// When the process began: its incarnation stays that of its start.
    started: Micros,
    /// Why it was last not opened.
    reason: String,
    backoff: Backoff,
    /// The attempt that runs.
    opening: Option<Receiver<Result<Ledger, LedgerError>>>,
    /// Commands that were rejected for the lack of it.
    rejected: u64,
    /// Purges that peers without logs told meanwhile: the store is to have them.
    learned: Vec<Purge>,
}

impl PendingStore {
    /// A peer without logs told of a purge, which is in force.
    pub(super) fn learn(&mut self, purge: Purge) {
        if self.learned.len() < MAX_LEARNED {
            self.learned.push(purge);
        }
    }

    /// Why it was last not opened.
    pub(super) fn reason(&self) -> &str {
        &self.reason
    }

    /// Begins an attempt on a thread of its own.
    fn attempt(&mut self, word: &Signal) -> std::io::Result<()> {
        let (synced, opened) = (word.raiser()?, word.raiser()?);
        let (store, started) = (self.store.clone(), self.started);
        let (sender, receiver) = bounded(1);
        let open = move || {
            // Nobody listens any more where the process ends.
            let _ = sender.send(store.open(started, synced));
            opened();
        };
        thread::Builder::new()
            .name("store-opening".into())
            .spawn(open)?;
        self.opening = Some(receiver);
        Ok(())
    }

    /// An attempt has failed: when the next is due.
    fn failed(&mut self, now: Micros, reason: String) -> Micros {
        // Said once for each reason: a full disk stays full for long.
        if self.reason != reason {
            log::error!(attempts = self.backoff.failures() + 1; "the store still can't be opened: {reason}");
            self.reason = reason;
        }
        now + self.backoff.failed()
    }
}

impl Daemon {
    /// Whether there is a store that can't be opened yet.
    pub(super) fn lacks_store(&self) -> bool {
        self.pending_store.is_some()
    }

    /// A command that must be committed is rejected for the lack of the store.
    pub(super) fn count_rejected(&mut self) {
        if let Some(pending) = &mut self.pending_store {
            pending.rejected += 1;
        }
    }

    /// Plans the first attempt after the start.
    pub(super) fn begin_reopening(&mut self, now: Micros) {
        if let Some(pending) = &mut self.pending_store {
            let due = now + pending.backoff.failed();
            self.later(due, Daemon::reopen_store);
        }
    }

    fn reopen_store(&mut self, now: Micros) {
        let (Some(pending), Some(word)) = (&mut self.pending_store, &self.store_word) else {
            return;
        };
        if let Err(e) = pending.attempt(word) {
            let due = pending.failed(now, e.to_string());
            self.later(due, Daemon::reopen_store);
        }
    }

    /// Takes in what became of an attempt to open the store, if it is over.
    pub(super) fn take_opened_store(&mut self, now: Micros) {
        let Some(pending) = &mut self.pending_store else {
            return;
        };
        let over = pending.opening.as_ref().map(Receiver::try_recv);
        match over {
            Some(Ok(Ok(ledger))) => self.attach_store(now, ledger),
            Some(Ok(Err(e))) => {
                pending.opening = None;
                let due = pending.failed(now, e.to_string());
                self.later(due, Daemon::reopen_store);
            }
            Some(Err(_)) | None => {}
        }
    }

    /// Puts the store in the place of what was known in memory: nothing of that was acknowledged, and the peers tell it
    /// again.
    fn attach_store(&mut self, now: Micros, mut ledger: Ledger) {
        let Some(pending) = self.pending_store.take() else {
            return;
        };
        log::info!(attempts = pending.backoff.failures(), rejected = pending.rejected; "the store {} is open", pending.store.path.display());
        let announced = self.ledger.as_ref().map_or(0, Ledger::incarnation);
        if announced > ledger.incarnation() {
            // Peers know this process by a later number than its store would give it.
            ledger.raise_incarnation(announced);
        }
        let before = self.ledger.replace(ledger);
        let incarnation = |ledger: &Option<Ledger>| ledger.as_ref().map(Ledger::incarnation);
        if incarnation(&before) != incarnation(&self.ledger) {
            // Its store knows of a process that began later, by a clock that went back: it is heard as that one's successor.
            self.join_membership(now);
            self.rejoin_budgets(now);
        }
        self.restore_purges(now);
        self.update_machines();
        self.restore_decisions(now);
        self.restore_triggers(now);
        self.recover_with_store(now);
        for purge in &pending.learned {
            self.write_plain_purge(purge);
        }
        self.tick_replication(now);
        self.notify(now);
    }
}
