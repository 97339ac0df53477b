//! The statuses of triggers that a log store has: told of, listed, and let go once their time is over.

use super::{EntryKey, LogStore, Record, SubjectKey};
use crate::{Entry, Epoch, Index, Micros, Subject, Writer};
use std::collections::{BTreeMap, BTreeSet};

impl LogStore {
    /// Lets go what was said `keep` or longer ago and is of use for a time only. The last entry of a log stays, whatever
    /// it is: it is what others learn from how far the log goes.
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
                && record.is_some_and(|record| is_over(record, now, keep))
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
fn is_over(record: &Record, now: Micros, keep: Micros) -> bool {
    let keep = if matches!(record.subject, Subject::Gone { .. }) {
        2 * keep
    } else {
        keep
    };
    record.at + keep <= now
}
