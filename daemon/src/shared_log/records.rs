//! Sets of records, and their text. This module does no I/O.

use std::time::Duration;

/// The records in a part of a file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Decoded<R> {
    /// The records, in their order.
    pub records: Vec<R>,
    /// The length of the complete lines, in bytes. A line without an end may be continued later.
    pub consumed: usize,
}

/// A set of records with a bounded size. The records of a process may be added any number of times.
pub trait SharedRecords: Clone + Default + Send + 'static {
    /// A record, which is a line of the file.
    type Record;

    /// The name of the file in the folder that the processes of a proxy share.
    const FILE_NAME: &'static str;
    /// The name of the thread that reads and writes the file.
    const THREAD_NAME: &'static str;
    /// The length above which the file is compacted. A compacted file is at most half as long.
    const MAX_FILE_BYTES: u64;
    /// The interval at which the file is read, and at which failed writes are retried.
    const POLL_INTERVAL: Duration;

    /// Adds a record.
    fn add(&mut self, record: Self::Record);

    /// Returns whether there are no records.
    fn is_empty(&self) -> bool;

    /// Returns the records.
    fn into_records(self) -> impl Iterator<Item = Self::Record>;

    /// Returns the line of a record, without its end; `None` if the record can't be written.
    fn line(record: &Self::Record) -> Option<String>;

    /// Parses a line. Returns `None` if it is not a record.
    fn parse(line: &[u8]) -> Option<Self::Record>;

    /// Adds the records of another set.
    fn merge(&mut self, other: Self) {
        other.into_records().for_each(|record| self.add(record));
    }

    /// Encodes the records as lines. The first one is empty, as it ends a line that a process left incomplete.
    fn encode(&self) -> Vec<u8> {
        let mut text = "\n".to_owned();
        let records = self.clone().into_records();
        for line in records.filter_map(|record| Self::line(&record)) {
            text.push_str(&line);
            text.push('\n');
        }
        text.into_bytes()
    }

    /// Decodes the complete lines of a part of the file. Lines that are not records are skipped: a process that was killed
    /// may have left a line incomplete.
    fn decode(bytes: &[u8]) -> Decoded<Self::Record> {
        let Some(last_end) = bytes.iter().rposition(|byte| *byte == b'\n') else {
            return Decoded {
                records: Vec::new(),
                consumed: 0,
            };
        };
        let lines = bytes[..last_end].split(|byte| *byte == b'\n');
        Decoded {
            records: lines.filter_map(Self::parse).collect(),
            consumed: last_end + 1,
        }
    }
}
