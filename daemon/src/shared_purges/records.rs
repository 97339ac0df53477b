//! The records of the file of shared purges, which are lines of text. This module does no I/O.

use crate::peers::{self, Purge};
use crate::shared_log::SharedRecords;
use linnetknot::Micros;
use linnetknot_datagram::MAX_DATAGRAM_BYTES;
use std::collections::BTreeMap;
use std::time::Duration;

/// The start of a record that purges everything.
const PURGE_ALL_PREFIX: &str = "all ";

/// A record of the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A purge of an object or of a group.
    Purge(Purge),
    /// A purge of everything, with its time by the origin clock. It replaces records that exceed the capacity.
    PurgeAll(Micros),
}

/// What a purge applies to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Subject {
    object: Option<String>,
    group: u64,
}

/// A set of records with a bounded size: the latest purge of each object and group, and the latest purge of everything.
/// Records may be added in any order and any number of times.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordSet {
    purges: BTreeMap<Subject, Micros>,
    purge_all: Option<Micros>,
}

impl RecordSet {
    /// The maximum number of purges of objects and groups.
    pub const CAPACITY: usize = 16_384;

    fn replace_older_half(&mut self) {
        let mut times: Vec<Micros> = self.purges.values().copied().collect();
        times.sort_unstable();
        let latest_replaced = times[times.len() / 2];
        self.purges.retain(|_, at| *at > latest_replaced);
        self.purge_all = self.purge_all.max(Some(latest_replaced));
    }
}

impl SharedRecords for RecordSet {
    type Record = Record;

    const FILE_NAME: &'static str = "linnetknot-purges.log";
    const THREAD_NAME: &'static str = "linnetknot-purges";
    const MAX_FILE_BYTES: u64 = 2 * (Self::CAPACITY * MAX_DATAGRAM_BYTES) as u64;
    // A purge has to apply within 300 ms.
    const POLL_INTERVAL: Duration = Duration::from_millis(50);

    /// Adds a record. Above the capacity, the older half of the purges is replaced by a purge of everything at the time
    /// of the latest of them.
    fn add(&mut self, record: Record) {
        match record {
            Record::PurgeAll(at) => self.purge_all = self.purge_all.max(Some(at)),
            Record::Purge(Purge { object, group, at }) => {
                let latest = self.purges.entry(Subject { object, group }).or_default();
                *latest = at.max(*latest);
            }
        }
        if self.purges.len() > Self::CAPACITY {
            self.replace_older_half();
        }
    }

    fn is_empty(&self) -> bool {
        self.purges.is_empty() && self.purge_all.is_none()
    }

    fn into_records(self) -> impl Iterator<Item = Record> {
        let purges = self
            .purges
            .into_iter()
            .map(|(Subject { object, group }, at)| Record::Purge(Purge { object, group, at }));
        self.purge_all
            .map(Record::PurgeAll)
            .into_iter()
            .chain(purges)
    }

    fn line(record: &Record) -> Option<String> {
        match record {
            Record::Purge(purge) => peers::write(purge.object.as_deref(), purge.group, purge.at),
            Record::PurgeAll(at) => Some(format!("{PURGE_ALL_PREFIX}{at}")),
        }
    }

    fn parse(line: &[u8]) -> Option<Record> {
        let text = std::str::from_utf8(line).ok()?;
        match text.strip_prefix(PURGE_ALL_PREFIX) {
            Some(at) => at.parse().ok().map(Record::PurgeAll),
            None => peers::read(line).map(Record::Purge),
        }
    }
}
