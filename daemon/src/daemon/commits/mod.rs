//! Commits of commands. What a peer CDN or an operator orders is in force at once; its response waits until the entries
//! that the command appended to this proxy's log are committed, which means durable here and on the disks of enough
//! peers (`linnetknot_replication`). A command that can't be committed in time is rejected.

mod operators;
mod triggers;

use super::recovery::SnapshotWait;
use super::{Connection, Daemon, Kind, Timer};
use crate::front::cdni::{Effect, Response, TriggerId};
use crate::ledger::AppendError;
use crate::net::{DeadlineId, Key};
use linnetknot::Micros;
use linnetknot_replication::{CommitId, Index, Recovery, RejectReason};
use operators::OperatorResponse;
use std::collections::BTreeMap;

pub(super) use operators::OperatorDecision;

/// The response to a command of a peer CDN.
pub(super) struct CdniResponse {
    /// The connection on which it is awaited.
    pub(super) connection: Key,
    /// The response, if the command is committed.
    pub(super) response: Response,
    /// The trigger that the command created, if any.
    pub(super) trigger: Option<TriggerId>,
}

/// A response that waits for a commit.
enum PendingResponse {
    Cdni(CdniResponse),
    Operator(OperatorResponse),
}

/// Why a command is not committed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
enum CommitError {
    /// Its entries can't be appended to the log.
    #[error(transparent)]
    Append(#[from] AppendError),
    /// They were not replicated in time.
    #[error("{0}")]
    Rejected(RejectReason),
    /// A later process of this name writes the log.
    #[error("another process of this name has begun after this one")]
    Replaced,
}

/// The pending commits, and the recovery of what was committed before.
#[derive(Default)]
pub(super) struct PendingCommits {
    /// By their commits, oldest first.
    responses: BTreeMap<CommitId, PendingResponse>,
    /// The recovery of a proxy that began without its disk.
    pub(super) recovery: Option<Recovery>,
    /// When the recovery is due.
    pub(super) recovery_due: Option<DeadlineId>,
    /// The wait of a proxy that is behind what its peers have compacted.
    pub(super) snapshot: Option<SnapshotWait>,
    /// How many peers were offered a snapshot and did not answer, at the last tick.
    pub(super) without_snapshot: usize,
    /// When replication is due.
    pub(super) replication_due: Option<DeadlineId>,
    /// How many entries were under-replicated at the last tick.
    pub(super) under_replicated: usize,
}

/// A planted fault of rehearsals: commands are answered before they are committed. Always false in an ordinary build.
fn answers_early() -> bool {
    fail::fail_point!("plant-credit", |_| true);
    false
}

impl PendingCommits {
    /// Returns how many responses wait.
    pub(super) fn len(&self) -> usize {
        self.responses.len()
    }

    /// Whether the proxy has all that it ever committed and what its peers have compacted, or waits for it no longer.
    pub(super) fn has_recovered(&self) -> bool {
        self.recovery.as_ref().is_none_or(Recovery::is_over)
            && self.snapshot.as_ref().is_none_or(SnapshotWait::has_ended)
    }
}

impl Daemon {
    /// Applies the effects of a peer CDN's command, and responds once they are committed.
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
            // Peers turn to the later process for what this name has committed.
            return self.finish_commit(now, response, Err(CommitError::Replaced));
        }
        let last = self.apply_effects(now, effects);
        if answers_early() {
            return self.finish_commit(now, response, Ok(()));
        }
        match last {
            // Nothing was appended.
            Ok(None) => self.finish_commit(now, response, Ok(())),
            Ok(Some(index)) => self.open_commit(now, index, response),
            Err(e) => self.finish_commit(now, response, Err(e.into())),
        }
    }

    /// Applies all effects. Returns the index of the last entry that was appended, or the first error.
    fn apply_effects(
        &mut self,
        now: Micros,
        effects: Vec<Effect>,
    ) -> Result<Option<Index>, AppendError> {
        let mut last = Ok(None);
        for effect in effects {
            let appended = match effect {
                Effect::Purge(object, group) => self.apply_purge(now, object, group),
                Effect::Status(name, text) if last.is_ok() => self.append_status(now, name, &text),
                // The command fails as a whole, so its trigger has no status.
                Effect::Status(..) => Ok(None),
                Effect::Gone(name) => self.append_gone(now, name),
                Effect::Post(post) => {
                    self.send_out(now, post);
                    Ok(None)
                }
            };
            last = last.and_then(|before| appended.map(|index| index.or(before)));
        }
        last
    }

    /// Opens a commit of this proxy's log through an index. The response is sent when it is resolved.
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
            // Without a log nothing has an index.
            None => self.finish_commit(now, response, Ok(())),
        }
        self.resolve_commits(now);
        self.schedule_replication(now);
    }

    /// Sends the responses whose commits are committed, or rejected.
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

    /// Sends a response, or the rejection in its place.
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
        // The event loop writes it, and reads what the client sent after its request.
        self.deadlines.set(now, Timer::Serve(connection));
    }

    /// Responds to a peer CDN; false where its connection has gone.
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
            kind: Kind::Cdni(session),
            ..
        }) = self.connections.get_mut(connection)
        else {
            return false;
        };
        session.respond(&response);
        true
    }

    /// Puts a purge that a peer CDN ordered in force, sends it to the peers and appends it to the log. Returns its
    /// index; none where there is no log.
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
        // Also where it was not appended: it is in force.
        self.send_plain_purge(now, object.as_deref(), group, at);
        fail::fail_point!("peers-told");
        Ok(appended?.map(|entry| entry.index))
    }
}
