//! Applies the ids of requests that another process of this proxy may have run, and shares those of this process.
//! `crate::shared_executions` has the records.

use super::event_loop::SHARED_EXECUTIONS_TOKEN;
use super::shared_logs::SharedLogState;
use super::startup::StartError;
use super::Daemon;
use crate::shared_executions::{machine_time_ms, Execution, ExecutionFile, ExecutionSet};
use crate::shared_log::SharedRecords;
use linnetknot::Micros;
use std::hash::{BuildHasher, Hasher, RandomState};

/// The name of the part of the daemon in errors of the start.
const PART: &str = "shared executions";

/// The executions that are shared with other processes.
pub(super) struct SharedExecutionState {
    log: SharedLogState<ExecutionSet>,
    /// A random number that identifies this process.
    process: u64,
}

impl Daemon {
    /// Reads which requests other processes of this proxy may have run, and begins to share those of this process.
    pub(super) fn start_sharing_executions(&mut self, now: Micros) -> Result<(), StartError> {
        if !self.may_overlap_other_process() {
            return Ok(());
        }
        let mut file = ExecutionFile::in_folder(&self.operator_state_folder);
        let read = file.read_new(&mut |execution| self.apply_execution(now, execution));
        if let Err(e) = read {
            log::debug!("{} can't be read: {e}", file.path().display());
        }
        let log = SharedLogState::start(file, &self.poll, SHARED_EXECUTIONS_TOKEN, PART)?;
        let process = RandomState::new().build_hasher().finish();
        self.shared_logs.executions = Some(SharedExecutionState { log, process });
        Ok(())
    }

    fn apply_execution(&mut self, now: Micros, execution: Execution) {
        if execution.is_recent(machine_time_ms()) {
            self.core
                .record_other_execution(now, execution.id, execution.may_have_run);
        }
    }

    /// Shares whether a request that must not run twice may have run in this process.
    pub(super) fn share_execution(&self, id: u64, may_have_run: bool) {
        if let Some(shared) = &self.shared_logs.executions {
            shared.log.share(Execution {
                process: shared.process,
                id,
                at_ms: machine_time_ms(),
                may_have_run,
            });
        }
    }

    /// Applies the executions that were read from the file.
    pub(super) fn receive_shared_executions(&mut self, now: Micros) {
        let Some(shared) = &mut self.shared_logs.executions else {
            return;
        };
        let own = shared.process;
        let received = shared.log.take_received().into_records();
        for execution in received.filter(|execution| execution.process != own) {
            self.apply_execution(now, execution);
        }
    }
}
