//! The statuses of triggers that a log store has: told of, listed, and let go once their time is over.

use super::{EntryKey, LogStore, Record, SubjectKey};
use crate::{Entry, Epoch, Index, Micros, Subject, Writer};
use std::collections::{BTreeMap, BTreeSet};

/// How far two wall clocks, or one before and after a restart, may be apart: each may be an hour off, either way.
const MAX_CLOCK_SKEW_US: Micros = 2 * 60 * 60 * 1_000_000;

impl LogStore {
    /// Takes all entries that are of use for a time only as first seen now: a process that begins can't tell by the
    /// wall clock how long ago its forerunner, or a peer, wrote them.
    pub fn restart_expiry(&mut self, now: Micros) {
        let expiring = self
            .live
            .iter()
            .filter(|(_, record)| record.subject.is_expiring());
        self.first_seen = expiring.map(|(key, _)| (*key, now)).collect();
    }

    /// An entry that another process wrote has come: from now on it is kept as long as one that is written now.
    pub(crate) fn begin_expiry(&mut self, now: Micros, entry: &Entry) {
        let key = EntryKey {
            log: entry.log,
            index: entry.index,
        };
        if entry.subject.is_expiring() && self.live.contains_key(&key) {
            self.first_seen.entry(key).or_insert(now);
        }
    }

    /// Lets go what is of use for a time only once `keep` has gone by since it was seen first. The last entry of a log
    /// stays, whatever it is: it is what others learn from how far the log goes.
    ///
    /// What another process wrote is counted from when it came here, as its time is that of another clock; by its time
    /// it goes only where that is over whatever the two clocks say. So a status outlives each step of a clock, and is
    /// not kept for ever by a proxy that starts again and again.
    ///
    /// That a status is gone is kept twice as long, as long as any proxy may have the status still.
    pub fn expire(&mut self, now: Micros, keep: Micros) -> Vec<Entry> {
        let first = SubjectKey::first(Subject::Status {
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

    /// The status of a trigger, if all of its pieces are had and no neighbour has done with it. Whether they are all is for
    /// the text to tell, of which no part is whole.
    pub fn status(&self, writer: Writer, number: u64) -> Option<String> {
        if self.latest(&Subject::Gone { writer, number }).is_some() {
            return None;
        }
        let first = SubjectKey::first(Subject::Status {
            number,
            part: 0,
            text: String::new(),
        });
        let mut epochs = BTreeMap::<Epoch, Vec<&str>>::new();
        for (key, _) in self.latest.range(first..) {
            match &key.subject {
                Subject::Status {
                    number: n,
                    part,
                    text,
                } if *n == number => {
                    let pieces = epochs.entry(key.log.epoch).or_default();
                    // Ordered by part; what comes behind a missing one is not told.
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

    /// The greatest number of a writer's triggers that is had or is known to be gone; none: nothing is told of any.
    pub fn last_trigger(&self, writer: Writer) -> Option<u64> {
        let first = SubjectKey::first(Subject::Status {
            number: 0,
            part: 0,
            text: String::new(),
        });
        let number = |key: &SubjectKey| match key.subject {
            Subject::Status { number, .. } if key.log.writer == writer => Some(number),
            Subject::Gone { writer: of, number } if of == writer => Some(number),
            _ => None,
        };
        self.latest
            .range(first..)
            .filter_map(|(key, _)| number(key))
            .max()
    }

    /// The triggers of which a status, or a part of one, is had.
    pub fn triggers(&self) -> BTreeSet<(Writer, u64)> {
        let first = SubjectKey::first(Subject::Status {
            number: 0,
            part: 0,
            text: String::new(),
        });
        let number = |(key, _): (&SubjectKey, &Index)| match key.subject {
            Subject::Status { number, .. } => Some((key.log.writer, number)),
            _ => None,
        };
        self.latest.range(first..).map_while(number).collect()
    }
}

/// Whether the time of something is over that is of use for `keep` only.
fn is_over(record: &Record, first_seen: Option<Micros>, now: Micros, keep: Micros) -> bool {
    let keep = if matches!(record.subject, Subject::Gone { .. }) {
        2 * keep
    } else {
        keep
    };
    // What has no such time was written by this process, by the clock that `now` is of.
    let since = first_seen.unwrap_or(record.at);
    since.saturating_add(keep) <= now || record.at.saturating_add(keep + MAX_CLOCK_SKEW_US) <= now
}
