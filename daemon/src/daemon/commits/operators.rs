//! Commits the decisions of operators (bans and drains), and restores them from the log.

use super::{CommitError, PendingCommits, PendingResponse};
use crate::daemon::Daemon;
use crate::ledger::{AppendError, Ledger};
use crate::net::Key;
use linnetknot::Micros;
use linnetknot_admin_api::{Effect, Reply};
use linnetknot_replication::Subject;

/// The decision of an operator's call, as stored in the log.
pub(in crate::daemon) struct OperatorDecision {
    subject: Subject,
    revoked: bool,
    /// The last committed value of `revoked`, which is restored if this decision is rejected.
    committed_revoked: bool,
}

impl OperatorDecision {
    /// Converts the effect of a call that changed the operators' state.
    pub(in crate::daemon) fn new(effect: &Effect) -> Self {
        let (subject, revoked) = match effect {
            Effect::Ban(id) => (Subject::Ban(id.clone()), false),
            Effect::Unban(id) => (Subject::Ban(id.clone()), true),
            Effect::Drain => (Subject::Drain, false),
            Effect::Resume => (Subject::Drain, true),
        };
        OperatorDecision {
            subject,
            revoked,
            // The call changed the state, so the committed value is the opposite of the new one.
            committed_revoked: !revoked,
        }
    }
}

/// The pending response to an operator's call, sent once the call is committed or rejected.
pub(super) struct OperatorResponse {
    /// The connection that waits for the response.
    pub(super) connection: Key,
    /// The reply to the operator if the call is committed.
    reply: Reply,
    /// The decision; `None` if the call changed nothing.
    decision: Option<OperatorDecision>,
}

impl PendingCommits {
    /// Returns the pending decisions on a subject, oldest first.
    fn decisions<'a>(
        &'a mut self,
        subject: &'a Subject,
    ) -> impl Iterator<Item = &'a mut OperatorDecision> {
        let decision = |response: &'a mut PendingResponse| match response {
            PendingResponse::Operator(response) => response.decision.as_mut(),
            PendingResponse::Cdni(_) => None,
        };
        self.responses
            .values_mut()
            .filter_map(decision)
            .filter(|decision| decision.subject == *subject)
    }
}

impl Daemon {
    /// Commits an operator's call that was executed. Returns the reply if it can be sent immediately. Otherwise the
    /// reply is sent once this decision and all earlier ones are committed. A call that changed nothing has no
    /// decision of its own.
    pub(in crate::daemon) fn commit_call(
        &mut self,
        now: Micros,
        connection: Key,
        reply: Reply,
        mut decision: Option<OperatorDecision>,
    ) -> Option<Reply> {
        if let Some(decision) = &mut decision {
            // While another decision on the subject is pending, the committed value is the one that preceded the
            // oldest pending decision.
            if let Some(oldest) = self.pending_commits.decisions(&decision.subject).next() {
                decision.committed_revoked = oldest.committed_revoked;
            }
        }
        if self.lacks_store() {
            return Some(reply);
        }
        let appended = match (&decision, self.may_commit()) {
            (Some(_), false) => Err(CommitError::Replaced),
            (Some(decision), true) => self
                .append_decision(now, &decision.subject, decision.revoked)
                .map_err(CommitError::from),
            (None, _) => Ok(()),
        };
        let last = self.ledger.as_ref().map_or(0, |ledger| {
            let replica = ledger.replica();
            replica.log_store().last_index(replica.own_log())
        });
        if appended.is_ok() && last == 0 {
            return Some(reply);
        }
        let response = PendingResponse::Operator(OperatorResponse {
            connection,
            reply,
            decision,
        });
        match appended {
            Ok(()) => self.open_commit(now, last, response),
            Err(e) => self.finish_commit(now, response, Err(e)),
        }
        None
    }

    /// Replies to an operator, and undoes the decision if it was rejected.
    pub(super) fn finish_operator(
        &mut self,
        now: Micros,
        response: OperatorResponse,
        result: Result<(), CommitError>,
    ) {
        let OperatorResponse {
            connection,
            mut reply,
            decision,
        } = response;
        match result {
            Ok(()) => {
                if let Some(committed) = &decision {
                    // If a later pending decision is rejected, this value, which is now committed, is restored.
                    for later in self.pending_commits.decisions(&committed.subject) {
                        later.committed_revoked = committed.revoked;
                    }
                }
            }
            Err(error) => {
                let reason = error.to_string();
                log::warn!(call = reply.text.as_str(), reason = reason.as_str(); "rejected an operator's call");
                if let Some(decision) = decision {
                    self.undo_decision(now, decision);
                }
                reply = Reply::unavailable(format!("nothing changed: {reason}"));
            }
        }
        self.send_admin_reply(connection, &reply);
    }

    /// Undoes a rejected decision: reverts its effect, and appends the reverse decision to the log because peers may
    /// have the entry. If a later decision on the subject is pending, the later decision stays in effect; if that is
    /// rejected too, the last committed value is restored.
    fn undo_decision(&mut self, now: Micros, decision: OperatorDecision) {
        let OperatorDecision {
            subject,
            committed_revoked,
            ..
        } = decision;
        if self.pending_commits.decisions(&subject).next().is_some()
            || !self.apply_decision(now, &subject, committed_revoked)
        {
            return;
        }
        self.save_undone_state(now);
        if let Err(e) = self.append_decision(now, &subject, committed_revoked) {
            log::error!("failed to undo a rejected call in the log, where it stays until the next one on its subject: {e}");
        }
    }

    /// Appends a decision to the log and sends it to the peers.
    fn append_decision(
        &mut self,
        now: Micros,
        subject: &Subject,
        revoked: bool,
    ) -> Result<(), AppendError> {
        let Some(ledger) = &mut self.ledger else {
            return Ok(());
        };
        let entry = ledger.append(subject.clone(), now, revoked)?;
        self.send_entry(entry);
        Ok(())
    }

    /// Restores the bans and drains of the operators from the log. Those found only in the local operator state file
    /// are appended to the log.
    pub(in crate::daemon) fn restore_decisions(&mut self, now: Micros) {
        self.apply_decisions(now);
        if self.lacks_store() {
            return;
        }
        let Some(logged_decisions) = self.ledger.as_ref().map(Ledger::decisions) else {
            return;
        };
        let bans = self
            .admin_controller
            .bans()
            .map(|id| Subject::Ban(id.to_owned()));
        let drain = (!self.admin_controller.in_service()).then_some(Subject::Drain);
        let in_files: Vec<Subject> = bans.chain(drain).collect();
        for subject in in_files {
            if logged_decisions.contains_key(&subject) {
                continue;
            }
            if let Err(e) = self.append_decision(now, &subject, false) {
                log::error!("a decision of the operators is not replicated yet: {e}");
            }
        }
    }

    /// Applies this proxy's decisions in the log, including entries that it had lost and received again from peers.
    pub(in crate::daemon) fn apply_decisions(&mut self, now: Micros) {
        let Some(decisions) = self.ledger.as_ref().map(Ledger::decisions) else {
            return;
        };
        let mut changed = false;
        for (subject, revoked) in decisions {
            changed |= self.apply_decision(now, &subject, revoked);
        }
        if changed {
            self.save_operator_state_in_time(now);
        }
    }

    /// Applies or revokes a decision. Returns whether the operators' state has changed.
    fn apply_decision(&mut self, now: Micros, subject: &Subject, revoked: bool) -> bool {
        let effect = match subject {
            Subject::Ban(id) => self.admin_controller.set_banned(id, !revoked),
            Subject::Drain => self.admin_controller.set_out_of_service(now, !revoked),
            Subject::Object(_)
            | Subject::Group(_)
            | Subject::TriggerStatusPart { .. }
            | Subject::TriggerDeleted { .. } => None,
        };
        let Some(effect) = effect else {
            return false;
        };
        log::warn!(revoked = revoked; "restored a decision of the operators from this proxy's log: {subject:?}");
        self.apply_operator_effect(now, effect);
        true
    }
}
