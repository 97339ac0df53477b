//! The logs that the two processes of an upgrade share, each with the signal that some records were read.

use super::shared_executions::SharedExecutionState;
use super::signals::Signal;
use super::startup::{registration_error, system_error, StartError};
use crate::net::Poll;
use crate::shared_log::{SharedFile, SharedLog, SharedRecords};
use crate::shared_purges::RecordSet;

/// The shared logs of a process. There are none if no other process of this proxy can serve at the same time.
#[derive(Default)]
pub(super) struct SharedLogs {
    /// The purges of peers.
    pub(super) purges: Option<SharedLogState<RecordSet>>,
    /// The requests that must not run twice.
    pub(super) executions: Option<SharedExecutionState>,
}

/// A shared log, and the signal that some records were read.
pub(super) struct SharedLogState<S> {
    log: SharedLog<S>,
    signal: Signal,
}

impl<S: SharedRecords> SharedLogState<S> {
    /// Starts to write and read the file. The event loop watches the signal under this token. `part` names the part of
    /// the daemon in errors.
    pub(super) fn start(
        file: SharedFile<S>,
        poll: &Poll,
        token: u64,
        part: &'static str,
    ) -> Result<Self, StartError> {
        let signal = Signal::new().map_err(system_error(part))?;
        poll.add_at_start(&signal.reader, token)
            .map_err(registration_error(part))?;
        let wake = signal.waker().map_err(system_error(part))?;
        let log = SharedLog::start(file, wake).map_err(system_error(part))?;
        Ok(SharedLogState { log, signal })
    }

    /// Writes a record for the other process.
    pub(super) fn share(&self, record: S::Record) {
        self.log.share(record);
    }

    /// Returns the records that were read since the last call.
    pub(super) fn take_received(&mut self) -> S {
        self.signal.drain();
        self.log.take_received()
    }
}
