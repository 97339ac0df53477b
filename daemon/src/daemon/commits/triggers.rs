//! The triggers of peer CDNs in the log: appends their statuses, and applies the entries of peers.

use super::CommitError;
use crate::daemon::Daemon;
use crate::front::cdni::{Response, TriggerId};
use crate::ledger::AppendError;
use linnetknot::Micros;
use linnetknot_replication::{Entry, Index, Subject};

/// Returns the trigger that an entry refers to, if any.
fn entry_trigger_id(entry: &Entry) -> Option<TriggerId> {
    match entry.subject {
        Subject::TriggerStatusPart { number, .. } => Some(TriggerId {
            writer: entry.log.writer,
            number,
        }),
        Subject::TriggerDeleted { writer, number } => Some(TriggerId { writer, number }),
        Subject::Object(_) | Subject::Group(_) | Subject::Ban(_) | Subject::Drain => None,
    }
}

impl Daemon {
    /// Appends the status of a trigger. Returns the index of its last entry; `None` without a log.
    pub(super) fn append_status(
        &mut self,
        now: Micros,
        trigger_id: TriggerId,
        text: &str,
    ) -> Result<Option<Index>, AppendError> {
        let Some(ledger) = &mut self.ledger else {
            return Ok(None);
        };
        let entries = ledger.append_status(trigger_id.number, text, now)?;
        let last = entries.last().map(|entry| entry.index);
        for entry in entries {
            self.send_entry(entry);
        }
        Ok(last)
    }

    /// Appends the deletion of a trigger. Returns the index of the entry; `None` without a log.
    pub(super) fn append_gone(
        &mut self,
        now: Micros,
        TriggerId { writer, number }: TriggerId,
    ) -> Result<Option<Index>, AppendError> {
        let Some(ledger) = &mut self.ledger else {
            return Ok(None);
        };
        let entry = ledger.append(Subject::TriggerDeleted { writer, number }, now, false)?;
        let index = entry.index;
        self.send_entry(entry);
        Ok(Some(index))
    }

    /// Deletes the trigger of a command whose commit failed. Returns the response; `None` if CDNI is not configured.
    pub(super) fn reject_trigger(
        &mut self,
        now: Micros,
        trigger: Option<TriggerId>,
        error: &CommitError,
    ) -> Option<Response> {
        let (_, trigger_api) = self.cdni.as_mut()?;
        let response = trigger_api.retract(trigger);
        let trigger_id = trigger.map_or_else(String::new, |trigger_id| trigger_id.to_string());
        if self.lacks_store() {
            self.count_rejected();
            return Some(response);
        }
        log::warn!(trigger = trigger_id.as_str(), reason = error.to_string().as_str(); "rejected a command of a peer CDN");
        // A replaced process has appended nothing, so there is nothing to undo.
        let appended = trigger.filter(|_| self.may_commit());
        if let Some(Err(e)) = appended.map(|trigger_id| self.append_gone(now, trigger_id)) {
            log::warn!(trigger = trigger_id.as_str(); "failed to append the rejection of a command to the log, so peers do not receive it: {e}");
        }
        Some(response)
    }

    /// Restores the triggers of all logs, and the next trigger number of this proxy.
    pub(in crate::daemon) fn restore_triggers(&mut self, now: Micros) {
        let (Some(ledger), Some((_, trigger_api))) = (&self.ledger, &mut self.cdni) else {
            return;
        };
        let first = TriggerId {
            writer: ledger.replica().own_log().writer,
            number: ledger.first_trigger_number(),
        };
        trigger_api.start_ids_at(first);
        for status in ledger.statuses() {
            let trigger_id = TriggerId {
                writer: status.writer,
                number: status.number,
            };
            trigger_api.insert(now, trigger_id, &status.text);
        }
    }

    /// Updates the triggers to which entries just received from a peer refer.
    pub(in crate::daemon) fn receive_triggers(&mut self, now: Micros, entries: &[Entry]) {
        let (Some(ledger), Some((_, trigger_api))) = (&self.ledger, &mut self.cdni) else {
            return;
        };
        let mut trigger_ids: Vec<TriggerId> = entries.iter().filter_map(entry_trigger_id).collect();
        trigger_ids.dedup();
        let log_store = ledger.replica().log_store();
        for trigger_id in trigger_ids {
            match log_store.trigger_status(trigger_id.writer, trigger_id.number) {
                Some(text) => trigger_api.insert(now, trigger_id, &text),
                None => trigger_api.remove(trigger_id),
            }
        }
    }
}
