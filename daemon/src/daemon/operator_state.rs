//! The operators' state on the disk. It is read at the start, and again with a backoff while that fails. Both copies
//! are written before a call succeeds, and again with a backoff while they differ from the state in force.

use super::Daemon;
use crate::disk::{remove_leftovers, replace_unsynced, FailedAttempts, Staged};
use crate::net::Due;
use linnetknot::Micros;
use linnetknot_admin_api::state::OperatorState;
use linnetknot_admin_api::{store, AdminController};
use linnetknot_consul::Backoff;
use linnetknot_store::{fault_points, is_lasting};
use std::io;
use std::path::Path;

/// The first backoff.
const MIN_RETRY_US: Micros = 100_000;
/// About the longest backoff.
const MAX_RETRY_US: Micros = 2_000_000;

/// The files, and whether they have to be read or written again.
pub(super) struct OperatorFiles {
    backoff: Backoff,
    failed: FailedAttempts,
    /// The stored state can't be read yet.
    is_unread: bool,
    /// The files may differ from the state in force.
    is_stale: bool,
    due: Option<Due>,
}

/// The operators' state at the start, and its files.
pub(super) struct LoadedState {
    pub(super) operations: AdminController,
    pub(super) files: OperatorFiles,
}

fn load(folder: &Path) -> io::Result<OperatorState> {
    fault_points::read()?;
    store::load(folder)
}

impl OperatorFiles {
    /// Loads the state that an earlier process stored.
    pub(super) fn load(folder: &Path, seed: u64, now: Micros) -> LoadedState {
        store::copy_paths(folder)
            .iter()
            .for_each(|path| remove_leftovers(path));
        let mut files = OperatorFiles {
            backoff: Backoff::new(MIN_RETRY_US, MAX_RETRY_US, seed),
            failed: FailedAttempts::default(),
            is_unread: false,
            is_stale: false,
            due: None,
        };
        let state = load(folder).unwrap_or_else(|e| {
            files.is_unread = !is_lasting(&e);
            log::error!(
                "what the operators decided before can't be read in {}: {e}",
                folder.display()
            );
            OperatorState::default()
        });
        LoadedState {
            operations: AdminController::new(state, now),
            files,
        }
    }

    /// Whether the stored state can't be read yet. No call may change it until then.
    pub(super) fn is_unread(&self) -> bool {
        self.is_unread
    }
}

/// Writes both copies under temporary names and then renames them in turn, so that a full disk leaves both as they
/// were.
fn write_copies(folder: &Path, bytes: &[u8]) -> io::Result<()> {
    let [first, second] = store::copy_paths(folder);
    let staged = [
        Staged::write(&first, bytes)?,
        Staged::write(&second, bytes)?,
    ];
    for copy in staged {
        copy.place()?;
        fail::fail_point!("admin-kept-once");
    }
    Ok(())
}

impl Daemon {
    /// Stores the operators' state for the next process: both copies in turn, each replaced atomically. Returns whether
    /// both have it. The event loop does this itself, before a call succeeds, and not the disk worker, whose queue may
    /// be full: a call that succeeded outlives the process. Calls that change something are few.
    pub(super) fn save_operator_state(&mut self) -> bool {
        if self.operator_state.is_unread {
            // The stored state must not be overwritten by one that does not include it.
            return false;
        }
        fail::fail_point!("admin-keeps");
        let written = write_copies(&self.ops_folder, &store::encode(self.ops.state()));
        let [first, _] = store::copy_paths(&self.ops_folder);
        self.operator_state.failed.take(&first, &written);
        self.operator_state.is_stale = written.is_err();
        if written.is_err() {
            return false;
        }
        self.operator_state.backoff.reset();
        fail::fail_point!("admin-kept");
        true
    }

    /// Stores the state again after a call was undone, which one copy or both may hold: the first copy at once, if the
    /// disk allows it, so that a process that starts before both are written finds the state without the call.
    pub(super) fn save_undone_state(&mut self, now: Micros) {
        let [first, _] = store::copy_paths(&self.ops_folder);
        if let Err(e) = replace_unsynced(&first, &store::encode(self.ops.state())) {
            log::debug!("{} may hold a call that was rejected: {e}", first.display());
        }
        self.save_operator_state_in_time(now);
    }

    /// Stores the state in force, and where that fails again with a backoff.
    pub(super) fn save_operator_state_in_time(&mut self, now: Micros) {
        self.save_operator_state();
        self.schedule_operator_state(now);
    }

    /// Schedules the next attempt to read or write the files, where one is needed.
    pub(super) fn schedule_operator_state(&mut self, now: Micros) {
        let files = &mut self.operator_state;
        let is_scheduled = files.due.is_some_and(|planned| planned.at > now);
        if is_scheduled || !(files.is_unread || files.is_stale) {
            return;
        }
        let at = now + files.backoff.next_delay();
        let due = self.later(at, |daemon, now| {
            daemon.operator_state.due = None;
            daemon.retry_operator_state(now);
        });
        self.operator_state.due = Some(due);
    }

    fn retry_operator_state(&mut self, now: Micros) {
        if self.operator_state.is_unread {
            if let Ok(state) = load(&self.ops_folder) {
                self.apply_stored_state(now, state);
            }
        } else if self.operator_state.is_stale {
            self.save_operator_state();
        }
        self.schedule_operator_state(now);
    }

    /// Puts the stored state in force, as it can be read now, and then what this proxy's log says since.
    fn apply_stored_state(&mut self, now: Micros, state: OperatorState) {
        log::info!(attempts = self.operator_state.backoff.failures(); "what the operators decided before is read");
        self.operator_state.is_unread = false;
        self.operator_state.backoff.reset();
        let is_drained = state.out_of_service;
        let bans: Vec<String> = state.bans.iter().cloned().collect();
        self.ops = AdminController::new(state, now);
        bans.iter().for_each(|id| self.ban(now, id));
        if is_drained {
            self.start_drain(now);
        }
        self.restore_decisions(now);
        self.settle(now);
    }
}
