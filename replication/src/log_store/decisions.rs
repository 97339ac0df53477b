//! What operators decided, as the logs of a writer have it.

use super::{EntryKey, LogStore};
use crate::{Epoch, Index, LogId, Subject, Writer};
use std::collections::BTreeMap;

impl LogStore {
    /// What the operators of a writer decided, by its latest message on each, of all its epochs: whether it is revoked.
    pub fn decisions(&self, writer: Writer) -> BTreeMap<Subject, bool> {
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
                // A later epoch's message counts, also where the clock was set back between the two.
                let message = (key.log.epoch, key.index, record.revoked);
                let known = latest.entry(record.subject.clone()).or_insert(message);
                *known = message.max(*known);
            }
        }
        latest
            .into_iter()
            .map(|(subject, (.., revoked))| (subject, revoked))
            .collect()
    }
}
