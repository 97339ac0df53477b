//! The operators' state on the disk: read at the start, and again where it can't be read for a while; both copies
//! written before a yes, and again in time where what stands there is not what is in force.

use super::Daemon;
use crate::disk::{remove_leftovers, replace_unsynced, FailedAttempts, Staged};
use crate::net::Due;
use linnetknot::Micros;
use linnetknot_consul::Backoff;
use linnetknot_ops::state::Kept;
use linnetknot_ops::{store, Operations};
use linnetknot_store::{fault_points, is_lasting};
use std::io;
use std::path::Path;

/// The first wait before it is read or written again.
const MIN_RETRY_US: Micros = 100_000;
/// About the longest wait between two attempts.
const MAX_RETRY_US: Micros = 2_000_000;

/// How the files stand.
pub(super) struct OperatorState {
    backoff: Backoff,
    failed: FailedAttempts,
    /// What was kept before can't be read yet.
    is_unread: bool,
    /// The files may tell of what is not in force.
    is_stale: bool,
    due: Option<Due>,
}

fn load(folder: &Path) -> io::Result<Kept> {
    fault_points::read()?;
    store::load(folder)
}

impl OperatorState {
    /// Reads what an earlier process kept.
    pub(super) fn load(folder: &Path, seed: u64, now: Micros) -> (Operations, Self) {
        store::copies(folder)
            .iter()
            .for_each(|path| remove_leftovers(path));
        let mut state = OperatorState {
            backoff: Backoff::new(MIN_RETRY_US, MAX_RETRY_US, seed),
            failed: FailedAttempts::default(),
            is_unread: false,
            is_stale: false,
            due: None,
        };
        let kept = load(folder).unwrap_or_else(|e| {
            state.is_unread = !is_lasting(&e);
            log::error!(
                "what the operators decided before can't be read in {}: {e}",
                folder.display()
            );
            Kept::default()
        });
        (Operations::new(kept, now), state)
    }

    /// Whether what was kept before can't be read yet: no call may change it until then.
    pub(super) fn is_unread(&self) -> bool {
        self.is_unread
    }
}

/// Writes both copies and then puts them in place in turn, so that a full disk leaves both as they were.
fn write_copies(folder: &Path, bytes: &[u8]) -> io::Result<()> {
    let [first, second] = store::copies(folder);
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
    /// Keeps the operators' state for the next process: both copies in turn, each put in place whole. This is
    /// done before the yes, on the loop, and not by the disk worker: the yes promises that the state outlives the
    /// process, and the worker's queue may refuse a job. Calls that change something are few.
    pub(super) fn keep_ops(&mut self) -> bool {
        if self.operator_state.is_unread {
            // What is there must not be overwritten by what does not know of it.
            return false;
        }
        fail::fail_point!("admin-keeps");
        let written = write_copies(&self.ops_folder, &store::encode(self.ops.kept()));
        let [first, _] = store::copies(&self.ops_folder);
        self.operator_state.failed.take(&first, &written);
        self.operator_state.is_stale = written.is_err();
        if written.is_err() {
            return false;
        }
        self.operator_state.backoff.reset();
        fail::fail_point!("admin-kept");
        true
    }

    /// A call is answered no, as not both copies have it. They are to tell of what was before: one of them at once, as far
    /// as the disk lets it, so that a process that begins before both do has that.
    pub(super) fn undo_ops(&mut self, now: Micros) {
        let [first, _] = store::copies(&self.ops_folder);
        if let Err(e) = replace_unsynced(&first, &store::encode(self.ops.kept())) {
            log::debug!(
                "{} may tell of a call that was refused: {e}",
                first.display()
            );
        }
        self.keep_ops_in_time(now);
    }

    /// Keeps what is in force, and where that fails does it again until the files have it.
    pub(super) fn keep_ops_in_time(&mut self, now: Micros) {
        self.keep_ops();
        self.plan_operator_state(now);
    }

    /// Plans the next attempt, where one is owed.
    pub(super) fn plan_operator_state(&mut self, now: Micros) {
        let state = &mut self.operator_state;
        let is_planned = state.due.is_some_and(|planned| planned.at > now);
        if is_planned || !(state.is_unread || state.is_stale) {
            return;
        }
        let at = now + state.backoff.next_delay();
        let due = self.later(at, |daemon, now| {
            daemon.operator_state.due = None;
            daemon.tend_operator_state(now);
        });
        self.operator_state.due = Some(due);
    }

    fn tend_operator_state(&mut self, now: Micros) {
        if self.operator_state.is_unread {
            if let Ok(kept) = load(&self.ops_folder) {
                self.take_kept(now, kept);
            }
        } else if self.operator_state.is_stale {
            self.keep_ops();
        }
        self.plan_operator_state(now);
    }

    /// What was kept before can be read: it is in force from now on, with what this proxy's log says since.
    fn take_kept(&mut self, now: Micros, kept: Kept) {
        log::info!(attempts = self.operator_state.backoff.failures(); "what the operators decided before is read");
        self.operator_state.is_unread = false;
        self.operator_state.backoff.reset();
        let is_drained = kept.out_of_service;
        let bans: Vec<String> = kept.bans.iter().cloned().collect();
        self.ops = Operations::new(kept, now);
        bans.iter().for_each(|id| self.ban(now, id));
        if is_drained {
            self.start_drain(now);
        }
        self.begin_decided(now);
        self.settle(now);
    }
}
