//! The records of the file of shared purges, which are lines of text. This module does no I/O.

use crate::peers::{self, Purge};
use linnetknot::Micros;
use std::collections::BTreeMap;

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

impl Record {
    /// Returns the line of the record, without its end.
    fn line(&self) -> Option<String> {
        match self {
            Record::Purge(purge) => peers::write(purge.object.as_deref(), purge.group, purge.at),
            Record::PurgeAll(at) => Some(format!("{PURGE_ALL_PREFIX}{at}")),
        }
    }

    /// Parses a line. Returns `None` if it is not a record.
    fn parse(line: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(line).ok()?;
        match text.strip_prefix(PURGE_ALL_PREFIX) {
            Some(at) => at.parse().ok().map(Record::PurgeAll),
            None => peers::read(line).map(Record::Purge),
        }
    }
}

/// The records in a part of the file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Decoded {
    /// The records, in their order.
    pub records: Vec<Record>,
    /// The length of the complete lines, in bytes. A line without an end may be continued later.
    pub consumed: usize,
}

/// Decodes the complete lines of a part of the file. Lines that are not records are skipped: a process that was killed
/// may have left a line incomplete.
pub fn decode(bytes: &[u8]) -> Decoded {
    let Some(last_end) = bytes.iter().rposition(|byte| *byte == b'\n') else {
        return Decoded::default();
    };
    let lines = bytes[..last_end].split(|byte| *byte == b'\n');
    Decoded {
        records: lines.filter_map(Record::parse).collect(),
        consumed: last_end + 1,
    }
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

    /// Adds a record. Above the capacity, the older half of the purges is replaced by a purge of everything at the time
    /// of the latest of them.
    pub fn add(&mut self, record: Record) {
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

    fn replace_older_half(&mut self) {
        let mut times: Vec<Micros> = self.purges.values().copied().collect();
        times.sort_unstable();
        let latest_replaced = times[times.len() / 2];
        self.purges.retain(|_, at| *at > latest_replaced);
        self.purge_all = self.purge_all.max(Some(latest_replaced));
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.purges.is_empty() && self.purge_all.is_none()
    }

    /// Returns the records.
    pub fn into_records(self) -> impl Iterator<Item = Record> {
        let purges = self
            .purges
            .into_iter()
            .map(|(Subject { object, group }, at)| Record::Purge(Purge { object, group, at }));
        self.purge_all
            .map(Record::PurgeAll)
            .into_iter()
            .chain(purges)
    }

    /// Adds the records of another set.
    pub fn merge(&mut self, other: RecordSet) {
        other.into_records().for_each(|record| self.add(record));
    }

    /// Encodes the records as lines. The first one is empty, as it ends a line that a process left incomplete.
    pub fn encode(&self) -> Vec<u8> {
        let mut text = "\n".to_owned();
        for line in self.clone().into_records().filter_map(|r| r.line()) {
            text.push_str(&line);
            text.push('\n');
        }
        text.into_bytes()
    }
}
