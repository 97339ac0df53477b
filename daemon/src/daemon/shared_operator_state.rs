//! Shares the operators' state between the two processes of an upgrade.
//!
//! Both processes serve while an upgrade lasts, and each has an admin listener. A call that one of them accepts must apply
//! to the other as well. The files of the state are the only thing that they share: a process locks them for a change,
//! adopts what the other process has stored before it stores its own change, and checks regularly whether they have
//! changed.

use super::Daemon;
use linnetknot::Micros;
use linnetknot_admin_api::state::OperatorState;
use linnetknot_admin_api::store;
use linnetknot_store::fault_points;
use rustix::fs::{flock, FlockOperation};
use rustix::io::Errno;
use std::fs::{File, Metadata};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// The interval at which the files are checked for changes by the other process. Bans must apply within a second.
const CHECK_INTERVAL_US: Micros = 100_000;
/// The time to wait while the other process changes the files. The event loop is blocked meanwhile.
const LOCK_TIMEOUT: Duration = Duration::from_millis(100);
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(1);

/// What identifies the content of a file that is only ever replaced; `None` if it is absent.
type FileVersion = Option<(u64, i64, i64)>;

/// What this process knows of the files.
#[derive(Debug, Default)]
pub(super) struct SharedFiles {
    /// The state that was last read from the files or written to them.
    base: OperatorState,
    /// The versions of the two copies that `base` was read from.
    versions: Option<[FileVersion; 2]>,
}

impl SharedFiles {
    /// Creates the knowledge of a process that has read this state.
    pub(super) fn read(state: &OperatorState) -> Self {
        SharedFiles {
            base: state.clone(),
            versions: None,
        }
    }

    /// Records that this process has written a state.
    pub(super) fn record_written(&mut self, state: &OperatorState) {
        self.base.clone_from(state);
    }
}

/// Keeps the files locked until it is dropped.
pub(super) struct FilesLock {
    _file: File,
}

/// The reason why a call can't change the state.
#[derive(Debug, thiserror::Error)]
pub(super) enum ShareError {
    /// The other process holds the lock.
    #[error("another process is changing the state")]
    Busy,
    /// The state that the other process may have stored can't be read.
    #[error("the stored state can't be read: {0}")]
    Unreadable(io::Error),
}

/// Locks the files of a folder. Returns `None` if the file system does not support locks.
fn lock(folder: &Path) -> Result<Option<FilesLock>, ShareError> {
    let Ok(file) = File::create(store::lock_path(folder)) else {
        // If the folder can't be written, the change can't be stored either, and the call fails for that reason.
        return Ok(None);
    };
    let start = Instant::now();
    loop {
        match flock(&file, FlockOperation::NonBlockingLockExclusive) {
            Ok(()) => return Ok(Some(FilesLock { _file: file })),
            Err(Errno::WOULDBLOCK | Errno::INTR) if start.elapsed() < LOCK_TIMEOUT => {
                thread::sleep(LOCK_RETRY_INTERVAL);
            }
            Err(Errno::WOULDBLOCK | Errno::INTR) => return Err(ShareError::Busy),
            Err(_) => return Ok(None),
        }
    }
}

fn version(metadata: io::Result<Metadata>) -> FileVersion {
    let metadata = metadata.ok()?;
    Some((metadata.ino(), metadata.mtime(), metadata.mtime_nsec()))
}

fn versions(folder: &Path) -> [FileVersion; 2] {
    store::copy_paths(folder).map(|path| version(path.metadata()))
}

impl Daemon {
    /// Returns whether another process of this proxy may serve at the same time: only a process that shares its client
    /// listener is upgraded while it runs. A store of purges can be open in one process only, so there is no such upgrade
    /// with one.
    pub(super) fn may_overlap_other_process(&self) -> bool {
        self.listener_inherited && self.ledger.is_none() && self.pending_store.is_none()
    }

    /// Returns whether another process may change the files.
    fn shares_operator_state(&self) -> bool {
        self.may_overlap_other_process()
            && self.admin_listener.is_some()
            && !self.operator_files.is_load_pending()
    }

    /// Locks the files before a change of the state, and adopts the calls of the other process. Returns `None` if there
    /// is no other process.
    pub(super) fn lock_operator_state(
        &mut self,
        now: Micros,
    ) -> Result<Option<FilesLock>, ShareError> {
        if !self.shares_operator_state() {
            return Ok(None);
        }
        let lock = lock(&self.operator_state_folder)?;
        self.adopt_stored_state(now)
            .map_err(ShareError::Unreadable)?;
        Ok(lock)
    }

    /// Applies the calls that the other process has accepted and stored. Missing or corrupt files change nothing.
    fn adopt_stored_state(&mut self, now: Micros) -> io::Result<()> {
        fault_points::read()?;
        let Some(stored) = store::load_complete(&self.operator_state_folder)? else {
            return Ok(());
        };
        let base = &self.operator_files.shared.base;
        let merged = self.admin_controller.state().merge(base, &stored);
        self.operator_files.shared.base = stored;
        for effect in self.admin_controller.adopt(now, merged) {
            log::info!(
                "applied a call that another process of this proxy has accepted: {effect:?}"
            );
            self.apply_operator_effect(now, effect);
        }
        Ok(())
    }

    /// Checks whether the other process has changed the files, and schedules the next check.
    pub(super) fn check_shared_operator_state(&mut self, now: Micros) {
        if !self.listener_inherited || self.admin_listener.is_none() {
            return;
        }
        if self.shares_operator_state() {
            let versions = versions(&self.operator_state_folder);
            let has_changed = self.operator_files.shared.versions != Some(versions);
            if has_changed && self.adopt_stored_state(now).is_ok() {
                self.operator_files.shared.versions = Some(versions);
                self.execute_commands(now);
            }
        }
        self.schedule(now + CHECK_INTERVAL_US, Daemon::check_shared_operator_state);
    }
}
