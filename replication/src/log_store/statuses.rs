//! Trigger statuses in a log store, and their expiry.

use super::{EntryKey, LogStore, Record, SubjectKey};
use crate::{Entry, Epoch, Index, Micros, Subject, Writer};
use std::collections::{BTreeMap, BTreeSet};

/// The maximum skew between two wall clocks, or of one wall clock across a restart (elapsed time excluded). Each clock
/// may be off by up to an hour in either direction.
const MAX_CLOCK_SKEW_US: Micros = 2 * 60 * 60 * 1_000_000;

impl LogStore {
    /// Restarts the expiry of all expiring entries. Must be called when a process starts, because its wall clock may
    /// differ from the clocks with which the stored entries were dated.
    pub fn restart_expiry(&mut self, now: Micros) {
        let expiring = self
            .live
            .iter()
            .filter(|(_, record)| record.subject.is_expiring());
        self.first_seen = expiring.map(|(key, _)| (*key, now)).collect();
    }

    /// Starts the expiry of an entry of another process. The retention time is counted from `now`.
    pub(crate) fn start_expiry(&mut self, now: Micros, entry: &Entry) {
        let key = EntryKey {
            log: entry.log,
            index: entry.index,
        };
        if entry.subject.is_expiring() && self.live.contains_key(&key) {
            self.first_seen.entry(key).or_insert(now);
        }
    }

    /// Removes the entries that have expired, and returns them. The last entry of a log is never removed, because
    /// replicas determine the last index of the log from it.
    ///
    /// An entry expires when `retention_us` has passed since it was first seen. The time of an entry of another process
    /// was given by another clock, so it counts as first seen when it arrives. In addition, an entry expires once its
    /// own time is further in the past than the retention time and the maximum clock skew together allow. Clock steps
    /// therefore do not remove statuses early, and a proxy that restarts repeatedly does not retain them forever.
    ///
    /// The deletion of a trigger is retained twice as long, because other proxies may store the status until then.
    pub fn expire(&mut self, now: Micros, retention_us: Micros) -> Vec<Entry> {
        let first = SubjectKey::first(Subject::TriggerStatusPart {
            number: 0,
            part: 0,
            text: String::new(),
        });
        let expiring = self.latest.range(first..);
        let keys = expiring.map(|(key, index)| EntryKey {
            log: key.log,
            index: *index,
        });
        let is_removable = |key: &EntryKey| {
            let record = self.live.get(key);
            key.index != self.last_index(key.log)
                && record.is_some_and(|record| {
                    let first_seen = self.first_seen.get(key).copied();
                    has_expired(record, first_seen, now, retention_us)
                })
        };
        let mut expired: Vec<EntryKey> = keys.filter(is_removable).collect();
        expired.sort_unstable();
        expired
            .into_iter()
            .filter_map(|key| self.remove(key))
            .collect()
    }

    /// Returns the text of a trigger's status up to its first missing part, or `None` if no part is stored or the
    /// trigger was deleted. The caller must determine from the text whether it is complete.
    pub fn trigger_status(&self, writer: Writer, number: u64) -> Option<String> {
        if self
            .latest_entry_time(&Subject::TriggerDeleted { writer, number })
            .is_some()
        {
            return None;
        }
        let first = SubjectKey::first(Subject::TriggerStatusPart {
            number,
            part: 0,
            text: String::new(),
        });
        let mut epochs = BTreeMap::<Epoch, Vec<&str>>::new();
        for (key, _) in self.latest.range(first..) {
            match &key.subject {
                Subject::TriggerStatusPart {
                    number: n,
                    part,
                    text,
                } if *n == number => {
                    let parts = epochs.entry(key.log.epoch).or_default();
                    // Parts are ordered by number, so all parts after a missing part are left out.
                    if key.log.writer == writer && parts.len() == usize::from(*part) {
                        parts.push(text);
                    }
                }
                _ => break,
            }
        }
        let mut texts = epochs.into_values().rev().map(|parts| parts.concat());
        texts.find(|text| !text.is_empty())
    }

    /// Returns the greatest trigger number of a writer, including deleted triggers.
    pub fn last_trigger_number(&self, writer: Writer) -> Option<u64> {
        let first = SubjectKey::first(Subject::TriggerStatusPart {
            number: 0,
            part: 0,
            text: String::new(),
        });
        let number = |key: &SubjectKey| match key.subject {
            Subject::TriggerStatusPart { number, .. } if key.log.writer == writer => Some(number),
            Subject::TriggerDeleted { writer: of, number } if of == writer => Some(number),
            _ => None,
        };
        self.latest
            .range(first..)
            .filter_map(|(key, _)| number(key))
            .max()
    }

    /// Returns the triggers with at least one stored part of a status.
    pub fn triggers(&self) -> BTreeSet<(Writer, u64)> {
        let first = SubjectKey::first(Subject::TriggerStatusPart {
            number: 0,
            part: 0,
            text: String::new(),
        });
        let number = |(key, _): (&SubjectKey, &Index)| match key.subject {
            Subject::TriggerStatusPart { number, .. } => Some((key.log.writer, number)),
            _ => None,
        };
        self.latest.range(first..).map_while(number).collect()
    }
}

/// Returns whether a record with this retention time has expired.
fn has_expired(
    record: &Record,
    first_seen: Option<Micros>,
    now: Micros,
    retention_us: Micros,
) -> bool {
    let retention_us = if matches!(record.subject, Subject::TriggerDeleted { .. }) {
        2 * retention_us
    } else {
        retention_us
    };
    // A record without a first-seen time was written by this process, with the clock of `now`.
    let since = first_seen.unwrap_or(record.at);
    since.saturating_add(retention_us) <= now
        || record.at.saturating_add(retention_us + MAX_CLOCK_SKEW_US) <= now
}
