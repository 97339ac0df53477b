//! Commits of the commands of peer CDNs and operators.
//!
//! The effects of a command of a peer CDN or an operator apply immediately. The response is sent once the log entries
//! of the command are committed, which means that they are durable on this proxy and on enough peers
//! (`linnetknot_replication`). A command that is not committed within the commit timeout is rejected.

mod operators;
mod triggers;

use super::recovery::SnapshotWait;
use super::{Connection, ConnectionKind, Daemon, Timer};
use crate::front::cdni::{Effect, Response, TriggerId};
use crate::ledger::AppendError;
use crate::net::{DeadlineId, Key};
use linnetknot::Micros;
use linnetknot_replication::{CommitId, Index, Recovery, RejectReason};
use operators::OperatorResponse;
use std::collections::BTreeMap;

pub(super) use operators::OperatorDecision;

/// The pending response to a command of a peer CDN, sent once the command is committed or rejected.
pub(super) struct CdniResponse {
    /// The connection that waits for the response.
    pub(super) connection: Key,
    /// The response that is sent if the command is committed.
    pub(super) response: Response,
    /// The trigger that the command created, if any.
    pub(super) trigger: Option<TriggerId>,
}

enum PendingResponse {
    Cdni(CdniResponse),
    Operator(OperatorResponse),
}

/// The reason for which a command was not committed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
enum CommitError {
    /// The log entries of the command could not be appended.
    #[error(transparent)]
    Append(#[from] AppendError),
    /// The entries were not replicated to enough peers within the commit timeout.
    #[error("{0}")]
    Rejected(RejectReason),
    /// A later process with the same name has started and has taken over the log.
    #[error("a later process with the same name has started")]
    Replaced,
}

/// Pending commits and the state of the recovery.
#[derive(Default)]
pub(super) struct PendingCommits {
    /// The pending responses by commit, oldest first.
    responses: BTreeMap<CommitId, PendingResponse>,
    /// The recovery of a proxy that started without its store.
    pub(super) recovery: Option<Recovery>,
    pub(super) recovery_due: Option<DeadlineId>,
    /// The wait for a snapshot, if peers have compacted entries that this proxy lacks.
    pub(super) snapshot: Option<SnapshotWait>,
    /// The number of peers that had not answered the offer of a snapshot at the last tick.
    pub(super) peers_without_snapshot: usize,
    pub(super) replication_due: Option<DeadlineId>,
    /// The number of under-replicated entries at the last tick.
    pub(super) under_replicated: usize,
}

/// Fault injection: whether commands are answered before they are committed. Always false unless fail points are
/// compiled in.
fn answers_early() -> bool {
    fail::fail_point!("plant-credit", |_| true);
    false
}

impl PendingCommits {
    /// Returns the number of pending responses.
    pub(super) fn len(&self) -> usize {
        self.responses.len()
    }

    /// Returns whether all recovery is complete or has timed out.
    pub(super) fn has_recovered(&self) -> bool {
        self.recovery.as_ref().is_none_or(Recovery::is_over)
            && self.snapshot.as_ref().is_none_or(SnapshotWait::has_ended)
    }
}

impl Daemon {
    /// Applies the effects of a command of a peer CDN, and responds once they are committed.
    pub(super) fn commit_command(
        &mut self,
        now: Micros,
        response: CdniResponse,
        effects: Vec<Effect>,
    ) {
        let response = PendingResponse::Cdni(response);
        if self.lacks_store() {
            return self.finish_commit(now, response, Err(AppendError::NoStore.into()));
        }
        if !self.may_commit() {
            // Peers accept entries of this log only from the later process.
            return self.finish_commit(now, response, Err(CommitError::Replaced));
        }
        let last = self.apply_effects(now, effects);
        if answers_early() {
            return self.finish_commit(now, response, Ok(()));
        }
        match last {
            // The command appended no log entry, so there is no commit to wait for.
            Ok(None) => self.finish_commit(now, response, Ok(())),
            Ok(Some(index)) => self.open_commit(now, index, response),
            Err(e) => self.finish_commit(now, response, Err(e.into())),
        }
    }

    /// Applies all effects. Returns the index of the last appended entry, or the first error.
    fn apply_effects(
        &mut self,
        now: Micros,
        effects: Vec<Effect>,
    ) -> Result<Option<Index>, AppendError> {
        let mut last = Ok(None);
        for effect in effects {
            let appended = match effect {
                Effect::Purge(object, group) => self.apply_purge(now, object, group),
                Effect::Status(id, text) if last.is_ok() => self.append_status(now, id, &text),
                // An earlier effect failed, so the whole command fails and its trigger gets no status.
                Effect::Status(..) => Ok(None),
                Effect::Gone(id) => self.append_gone(now, id),
                Effect::Post(post) => {
                    self.deliver(now, post);
                    Ok(None)
                }
            };
            last = last.and_then(|before| appended.map(|index| index.or(before)));
        }
        last
    }

    /// Opens a commit of this proxy's log up to an index. The response is sent once the commit succeeds or fails.
    fn open_commit(&mut self, now: Micros, index: Index, response: PendingResponse) {
        let opened = self
            .ledger
            .as_mut()
            .map(|ledger| ledger.open_commit(now, index));
        match opened {
            Some(Ok(commit)) => drop(self.pending_commits.responses.insert(commit, response)),
            Some(Err(reason)) => {
                self.finish_commit(now, response, Err(CommitError::Rejected(reason)));
            }
            // Without a log there is nothing to commit.
            None => self.finish_commit(now, response, Ok(())),
        }
        self.resolve_commits(now);
        self.schedule_replication(now);
    }

    /// Sends the responses of commits that have succeeded or failed.
    pub(super) fn resolve_commits(&mut self, now: Micros) {
        let Some(ledger) = &mut self.ledger else {
            return;
        };
        for outcome in ledger.resolve_commits(now) {
            if outcome.result.is_ok() {
                fail::fail_point!("promise-kept");
            }
            if let Some(response) = self.pending_commits.responses.remove(&outcome.commit) {
                let result = outcome.result.map(drop).map_err(CommitError::Rejected);
                self.finish_commit(now, response, result);
            }
        }
    }

    /// Sends a response, or a rejection if the commit failed.
    fn finish_commit(
        &mut self,
        now: Micros,
        response: PendingResponse,
        result: Result<(), CommitError>,
    ) {
        let connection = match response {
            PendingResponse::Cdni(response) => {
                let connection = response.connection;
                if !self.finish_cdni(now, response, result) {
                    return;
                }
                connection
            }
            PendingResponse::Operator(response) => {
                let connection = response.connection;
                self.finish_operator(now, response, result);
                connection
            }
        };
        // The event loop writes the response and then reads the next request.
        self.deadlines.set(now, Timer::ResumeConnection(connection));
    }

    /// Responds to a peer CDN. Returns false if its connection is closed.
    fn finish_cdni(
        &mut self,
        now: Micros,
        response: CdniResponse,
        result: Result<(), CommitError>,
    ) -> bool {
        let CdniResponse {
            connection,
            mut response,
            trigger,
        } = response;
        if let Err(error) = result {
            if let Some(rejection) = self.reject_trigger(now, trigger, &error) {
                response = rejection;
            }
        }
        let Some(Connection {
            kind: ConnectionKind::Cdni(session),
            ..
        }) = self.connections.get_mut(connection)
        else {
            return false;
        };
        session.respond(&response);
        true
    }

    /// Applies a purge of a peer CDN, appends it to the log and sends it to the peers. Returns the index of its
    /// entry; `None` without a log.
    fn apply_purge(
        &mut self,
        now: Micros,
        object: Option<String>,
        group: u64,
    ) -> Result<Option<Index>, AppendError> {
        let at = self.core.record_local_purge(now, object.as_deref(), group);
        let appended = self
            .ledger
            .as_mut()
            .map(|ledger| ledger.append_purge(object.as_deref(), group, at))
            .transpose();
        fail::fail_point!("peers-tell");
        if let Ok(Some(entry)) = &appended {
            self.send_entry(entry.clone());
        }
        // Sent even if appending failed, because the purge is already in effect at this proxy.
        self.send_plain_purge(now, object.as_deref(), group, at);
        fail::fail_point!("peers-told");
        Ok(appended?.map(|entry| entry.index))
    }
}
