//! Stores the operators' state (bans and drains) on disk, in two copies.
//!
//! The state is read at startup, with retries if that fails. Both copies are written before a call succeeds. While the
//! copies may differ from the state in effect, writing is retried.

use super::shared_operator_state::SharedFiles;
use super::Daemon;
use crate::disk::{remove_leftovers, replace_unsynced, FailedAttempts, StagedFile};
use crate::net::DeadlineId;
use linnetknot::Micros;
use linnetknot_admin_api::state::OperatorState;
use linnetknot_admin_api::{store, AdminController};
use linnetknot_consul::Backoff;
use linnetknot_store::{fault_points, is_permanent};
use std::io;
use std::path::Path;

const MIN_RETRY_US: Micros = 100_000;
/// The longest backoff between two attempts to read or write the files, before jitter.
const MAX_RETRY_US: Micros = 2_000_000;
/// The time after which the process is ready even if the stored state can't be read.
const MAX_READINESS_DELAY_US: Micros = 5_000_000;

/// The files of the operators' state, and whether they have to be read or written again.
pub(super) struct OperatorFiles {
    backoff: Backoff,
    failed: FailedAttempts,
    /// Whether the stored state could not be read yet.
    load_pending: bool,
    /// The time at which the process becomes ready without the stored state.
    load_deadline: Micros,
    /// Whether the files may differ from the state in effect.
    write_pending: bool,
    due: Option<DeadlineId>,
    /// What this process knows of the files, which the other process of an upgrade may change.
    pub(super) shared: SharedFiles,
}

/// The operators' state at startup, and its files.
pub(super) struct LoadedState {
    pub(super) admin_controller: AdminController,
    pub(super) files: OperatorFiles,
}

fn load(directory: &Path) -> io::Result<OperatorState> {
    fault_points::read()?;
    store::load(directory)
}

impl OperatorFiles {
    /// Loads the state that an earlier process stored.
    pub(super) fn load(directory: &Path, seed: u64, now: Micros) -> LoadedState {
        store::copy_paths(directory)
            .iter()
            .for_each(|path| remove_leftovers(path));
        let mut files = OperatorFiles {
            backoff: Backoff::new(MIN_RETRY_US, MAX_RETRY_US, seed),
            failed: FailedAttempts::default(),
            load_pending: false,
            load_deadline: now.saturating_add(MAX_READINESS_DELAY_US),
            write_pending: false,
            due: None,
            shared: SharedFiles::default(),
        };
        let state = load(directory).unwrap_or_else(|e| {
            files.load_pending = !is_permanent(&e);
            log::error!(
                "failed to load the stored state of the operators from {}: {e}",
                directory.display()
            );
            OperatorState::default()
        });
        files.shared = SharedFiles::read(&state);
        LoadedState {
            admin_controller: AdminController::new(state, now),
            files,
        }
    }

    /// Returns whether the process is not ready because the stored state, which may contain bans, can't be read yet.
    pub(super) fn delays_readiness(&self, now: Micros) -> bool {
        self.load_pending && now < self.load_deadline
    }

    /// Returns whether the stored state can't be read yet. Calls can't change the state until then.
    pub(super) fn is_load_pending(&self) -> bool {
        self.load_pending
    }
}

/// Writes both copies under temporary names before either is renamed, so that a full disk leaves both files unchanged.
fn write_copies(directory: &Path, bytes: &[u8]) -> io::Result<()> {
    let [first, second] = store::copy_paths(directory);
    let staged = [
        StagedFile::write(&first, bytes)?,
        StagedFile::write(&second, bytes)?,
    ];
    for copy in staged {
        copy.install()?;
        fail::fail_point!("admin-kept-once");
    }
    Ok(())
}

impl Daemon {
    /// Stores the operators' state for the next process. Each copy is replaced atomically. Returns whether both were
    /// written. The event loop writes the copies itself instead of enqueueing them at the disk worker: a call must be
    /// stored before it succeeds, and the queue may be full. This blocks the loop briefly, but calls that change the
    /// state are rare.
    pub(super) fn save_operator_state(&mut self) -> bool {
        if self.operator_files.load_pending {
            // The stored state has not been read yet, so it must not be overwritten.
            return false;
        }
        fail::fail_point!("admin-keeps");
        let written = write_copies(
            &self.operator_state_folder,
            &store::encode(self.admin_controller.state()),
        );
        let [first, _] = store::copy_paths(&self.operator_state_folder);
        self.operator_files.failed.record(&first, &written);
        self.operator_files.write_pending = written.is_err();
        if written.is_err() {
            return false;
        }
        self.operator_files.backoff.reset();
        let state = self.admin_controller.state();
        self.operator_files.shared.record_written(state);
        fail::fail_point!("admin-kept");
        true
    }

    /// Stores the state again after a call was undone, because the files may already contain its effect. The first copy
    /// is written immediately, if possible, so that a process that starts now does not read the effect of the undone
    /// call.
    pub(super) fn save_undone_state(&mut self, now: Micros) {
        let [first, _] = store::copy_paths(&self.operator_state_folder);
        if let Err(e) = replace_unsynced(&first, &store::encode(self.admin_controller.state())) {
            log::debug!("{} may include a rejected call: {e}", first.display());
        }
        self.save_operator_state_in_time(now);
    }

    /// Stores the state in effect, with retries if that fails.
    pub(super) fn save_operator_state_in_time(&mut self, now: Micros) {
        self.save_operator_state();
        self.schedule_operator_state(now);
    }

    /// Schedules the next attempt to read or write the files, if necessary.
    pub(super) fn schedule_operator_state(&mut self, now: Micros) {
        let files = &mut self.operator_files;
        let is_scheduled = files.due.is_some_and(|planned| planned.at > now);
        if is_scheduled || !(files.load_pending || files.write_pending) {
            return;
        }
        let at = now + files.backoff.next_delay();
        let due = self.schedule(at, |daemon, now| {
            daemon.operator_files.due = None;
            daemon.retry_operator_state(now);
        });
        self.operator_files.due = Some(due);
    }

    fn retry_operator_state(&mut self, now: Micros) {
        if self.operator_files.load_pending {
            if let Ok(state) = load(&self.operator_state_folder) {
                self.apply_stored_state(now, state);
            }
        } else if self.operator_files.write_pending {
            match self.lock_operator_state(now) {
                Ok(_lock) => drop(self.save_operator_state()),
                Err(e) => log::debug!("the operators' state is stored later: {e}"),
            }
        }
        self.schedule_operator_state(now);
    }

    /// Applies the stored state once it can be read, and then the later decisions in this proxy's log.
    fn apply_stored_state(&mut self, now: Micros, state: OperatorState) {
        log::info!(attempts = self.operator_files.backoff.failures(); "loaded the stored state of the operators");
        self.operator_files.load_pending = false;
        self.operator_files.backoff.reset();
        let is_drained = state.out_of_service;
        self.operator_files.shared = SharedFiles::read(&state);
        let bans: Vec<String> = state.bans.iter().cloned().collect();
        self.admin_controller = AdminController::new(state, now);
        bans.iter().for_each(|id| self.ban(now, id));
        self.restore_slow_starts(now);
        if is_drained {
            self.start_drain(now);
        }
        self.restore_decisions(now);
        self.execute_commands(now);
    }
}
