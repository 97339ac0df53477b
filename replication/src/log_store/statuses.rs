//! The statuses of triggers in a log store, and their expiry.

use super::{EntryKey, LogStore, Record, SubjectKey};
use crate::{Entry, Epoch, Index, Micros, Subject, Writer};
use std::collections::{BTreeMap, BTreeSet};

/// How far two wall clocks, or one before and after a restart, may be apart: each may be off by an hour in either direction.
const MAX_CLOCK_SKEW_US: Micros = 2 * 60 * 60 * 1_000_000;

impl LogStore {
    /// Restarts the expiry of all entries that expire. To be called when a process starts, which can't tell by its wall
    /// clock how long ago its predecessor, or a peer, wrote them.
    pub fn restart_expiry(&mut self, now: Micros) {
        let expiring = self
            .live
            .iter()
            .filter(|(_, record)| record.subject.is_expiring());
        self.first_seen = expiring.map(|(key, _)| (*key, now)).collect();
    }

    /// Starts the expiry of an entry that another process wrote: it is stored as long as one that is written now.
    pub(crate) fn begin_expiry(&mut self, now: Micros, entry: &Entry) {
        let key = EntryKey {
            log: entry.log,
            index: entry.index,
        };
        if entry.subject.is_expiring() && self.live.contains_key(&key) {
            self.first_seen.entry(key).or_insert(now);
        }
    }

    /// Removes the entries that have expired, and returns them. The last entry of a log stays in any case, as others learn
    /// from it how far the log goes.
    ///
    /// An entry expires when `keep` has passed since it was first seen. For an entry of another process that is when it
    /// arrived here, as its time is that of another clock; by its own time it expires only once that is past whatever the
    /// two clocks say. So a status outlives any step of a clock, and yet does not stay for ever in a proxy that restarts
    /// again and again.
    ///
    /// The deletion of a trigger is stored twice as long, for as long as any proxy may still have the status.
    pub fn expire(&mut self, now: Micros, keep: Micros) -> Vec<Entry> {
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
        let is_over = |key: &EntryKey| {
            let record = self.live.get(key);
            key.index != self.last_index(key.log)
                && record.is_some_and(|record| {
                    let first_seen = self.first_seen.get(key).copied();
                    is_over(record, first_seen, now, keep)
                })
        };
        let mut over: Vec<EntryKey> = keys.filter(is_over).collect();
        over.sort_unstable();
        over.into_iter()
            .filter_map(|key| self.remove(key))
            .collect()
    }

    /// Returns the status of a trigger as far as its pieces are stored without a gap; `None` if there is none, or the
    /// trigger was deleted. Whether the text is complete must follow from the text itself.
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
                    let pieces = epochs.entry(key.log.epoch).or_default();
                    // Ordered by part: those after a missing one are left out.
                    if key.log.writer == writer && pieces.len() == usize::from(*part) {
                        pieces.push(text);
                    }
                }
                _ => break,
            }
        }
        let mut texts = epochs.into_values().rev().map(|pieces| pieces.concat());
        texts.find(|text| !text.is_empty())
    }

    /// Returns the greatest number of a writer's triggers that is stored or known to be deleted.
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

    /// Returns the triggers of which at least a part of a status is stored.
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

/// Returns whether a record has expired that is stored for `keep`.
fn is_over(record: &Record, first_seen: Option<Micros>, now: Micros, keep: Micros) -> bool {
    let keep = if matches!(record.subject, Subject::TriggerDeleted { .. }) {
        2 * keep
    } else {
        keep
    };
    // A record that was not first seen was written by this process, by the clock of `now`.
    let since = first_seen.unwrap_or(record.at);
    since.saturating_add(keep) <= now || record.at.saturating_add(keep + MAX_CLOCK_SKEW_US) <= now
}
