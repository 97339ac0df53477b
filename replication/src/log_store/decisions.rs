//! Operator decisions in the logs of a writer.

use super::{EntryKey, LogStore};
use crate::{Epoch, Index, LogId, Subject, Writer};
use std::collections::BTreeMap;

impl LogStore {
    /// Returns the operator decisions of a writer, each with whether it is revoked according to the writer's latest
    /// entry for it in any epoch.
    pub fn operator_decisions(&self, writer: Writer) -> BTreeMap<Subject, bool> {
        let mut latest = BTreeMap::<Subject, (Epoch, Index, bool)>::new();
        let first = EntryKey {
            log: LogId::new(writer, 0),
            index: 0,
        };
        let last = EntryKey {
            log: LogId::new(writer, Epoch::MAX),
            index: Index::MAX,
        };
        for (key, record) in self.live.range(first..=last) {
            if matches!(record.subject, Subject::Ban(_) | Subject::Drain) {
                // Entries are compared by epoch and index rather than by time, because the clock may have been set
                // back.
                let entry = (key.log.epoch, key.index, record.revoked);
                let known = latest.entry(record.subject.clone()).or_insert(entry);
                *known = entry.max(*known);
            }
        }
        latest
            .into_iter()
            .map(|(subject, (.., revoked))| (subject, revoked))
            .collect()
    }
}
