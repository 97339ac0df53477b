//! Appends purges, operators' decisions and trigger statuses to the log of this proxy.

use super::{purge_subject, AppendError, Ledger, TriggerStatus};
use crate::peers::Purge;
use linnetknot::Micros;
use linnetknot_replication::{split_status, Entry, Subject};

impl Ledger {
    /// Appends a purge and submits its write to the store. Returns the new entry, which the caller must send to the
    /// peers.
    pub fn append_purge(
        &mut self,
        object: Option<&str>,
        group: u64,
        at: Micros,
    ) -> Result<Entry, AppendError> {
        self.append(purge_subject(object, group), at, false)
    }

    /// Appends an entry on any subject, as `append_purge` does for purges. `revoked` marks an operators' decision that
    /// is no longer in force.
    pub fn append(
        &mut self,
        subject: Subject,
        at: Micros,
        revoked: bool,
    ) -> Result<Entry, AppendError> {
        if !self.has_store() {
            return Err(AppendError::NoStore);
        }
        if self.capacity() == 0 {
            return Err(AppendError::DiskBehind);
        }
        let entry = self.replica.append(subject, at, revoked)?;
        self.write(&entry);
        Ok(entry)
    }

    /// Appends the status of a trigger of this proxy, as `append_purge` does for purges. A long text is split over
    /// several entries.
    pub fn append_status(
        &mut self,
        number: u64,
        text: &str,
        at: Micros,
    ) -> Result<Vec<Entry>, AppendError> {
        if !self.has_store() {
            return Err(AppendError::NoStore);
        }
        let pieces = split_status(text).filter(|pieces| pieces.len() <= self.capacity());
        let pieces = pieces.ok_or(AppendError::StatusTooLong)?;
        let append = |(part, text)| {
            self.append(Subject::TriggerStatusPart { number, part, text }, at, false)
        };
        pieces.into_iter().map(append).collect()
    }

    /// Returns the status of each trigger whose entries are complete.
    pub fn statuses(&self) -> Vec<TriggerStatus> {
        let log_store = self.replica.log_store();
        let status = |(writer, number)| {
            log_store
                .trigger_status(writer, number)
                .map(|text| TriggerStatus {
                    writer,
                    number,
                    text,
                })
        };
        log_store
            .triggers()
            .into_iter()
            .filter_map(status)
            .collect()
    }

    /// Returns a number for the next trigger of this proxy that none of its processes has used. The number is at least
    /// the incarnation of this process, which is a time in microseconds. It therefore exceeds the numbers used by
    /// earlier processes, even if their entries are missing in this store.
    pub fn first_trigger_number(&self) -> u64 {
        let own = self.replica.own_log().writer;
        // The numbers of deleted triggers are not reused, because peers would treat a new trigger with such a number as
        // deleted.
        let last = self.replica.log_store().last_trigger_number(own);
        let next = last.map_or(0, |number| number + 1);
        next.max(self.identity.incarnation)
    }

    /// Returns whether any log contains an entry that purges the same subject at the same time or later.
    pub fn contains_purge(&self, purge: &Purge) -> bool {
        let subject = purge_subject(purge.object.as_deref(), purge.group);
        let latest = self.replica.log_store().latest_entry_time(&subject);
        latest.is_some_and(|known| known >= purge.at)
    }

    /// Appends a purge that was received as a plain datagram, unless a purge of the same subject with an equal or
    /// later time is known.
    pub fn append_if_newer(
        &mut self,
        object: Option<&str>,
        group: u64,
        at: Micros,
    ) -> Result<(), AppendError> {
        let subject = purge_subject(object, group);
        match self.replica.log_store().latest_entry_time(&subject) {
            Some(known) if known >= at => Ok(()),
            _ => self.append(subject, at, false).map(drop),
        }
    }
}
