//! The triggers of peer CDNs in the log: the entries of their statuses, here and from peers.

use super::CommitError;
use crate::daemon::Daemon;
use crate::front::cdni::{Response, TriggerId};
use crate::ledger::AppendError;
use linnetknot::Micros;
use linnetknot_replication::{Entry, Index, Subject};

/// Returns the trigger that an entry is about, if it is about one.
fn trigger_name(entry: &Entry) -> Option<TriggerId> {
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
    /// Appends the status of a trigger. Returns the index of its last entry; none where there is no log.
    pub(super) fn append_status(
        &mut self,
        now: Micros,
        name: TriggerId,
        text: &str,
    ) -> Result<Option<Index>, AppendError> {
        let Some(ledger) = &mut self.ledger else {
            return Ok(None);
        };
        let entries = ledger.append_status(name.number, text, now)?;
        let last = entries.last().map(|entry| entry.index);
        for entry in entries {
            self.send_entry(entry);
        }
        Ok(last)
    }

    /// Appends that a trigger is gone. Returns the entry's index; none where there is no log.
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

    /// Undoes a command that is not committed: its trigger is gone. Returns the response; none where no peer CDN is
    /// served.
    pub(super) fn reject_trigger(
        &mut self,
        now: Micros,
        trigger: Option<TriggerId>,
        error: &CommitError,
    ) -> Option<Response> {
        let (_, trigger_api) = self.trigger_api.as_mut()?;
        let response = trigger_api.retract(trigger);
        let name = trigger.map_or_else(String::new, |name| name.to_string());
        if self.lacks_store() {
            self.count_rejected();
            return Some(response);
        }
        log::warn!(trigger = name.as_str(), reason = error.to_string().as_str(); "a command of a peer CDN is rejected");
        // A process that was replaced has appended nothing that would have to be undone.
        let appended = trigger.filter(|_| self.may_commit());
        if let Some(Err(e)) = appended.map(|name| self.append_gone(now, name)) {
            log::warn!(trigger = name.as_str(); "that the command is rejected can't be appended to the log, and its peers do not know it: {e}");
        }
        Some(response)
    }

    /// Restores the triggers of the log, of this proxy and of others, and the numbering of those to come.
    pub(in crate::daemon) fn restore_triggers(&mut self, now: Micros) {
        let (Some(ledger), Some((_, trigger_api))) = (&self.ledger, &mut self.trigger_api) else {
            return;
        };
        let first = TriggerId {
            writer: ledger.replica().own_log().writer,
            number: ledger.first_trigger_number(),
        };
        trigger_api.start_ids_at(first);
        for status in ledger.statuses() {
            let name = TriggerId {
                writer: status.writer,
                number: status.number,
            };
            trigger_api.insert(now, name, &status.text);
        }
    }

    /// Updates the triggers that new entries of a peer are about.
    pub(in crate::daemon) fn receive_triggers(&mut self, now: Micros, entries: &[Entry]) {
        let (Some(ledger), Some((_, trigger_api))) = (&self.ledger, &mut self.trigger_api) else {
            return;
        };
        let mut names: Vec<TriggerId> = entries.iter().filter_map(trigger_name).collect();
        names.dedup();
        let log_store = ledger.replica().log_store();
        for name in names {
            match log_store.trigger_status(name.writer, name.number) {
                Some(text) => trigger_api.insert(now, name, &text),
                None => trigger_api.remove(name),
            }
        }
    }
}
