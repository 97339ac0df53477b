//! The binary encoding of snapshot chunks. Numbers are big-endian.

use super::{IndexedBucket, SnapshotChunk, SnapshotContent, SnapshotCursor};
use crate::{wire, CompactedLog, Entry, LogId, Subject, MAX_DATAGRAM_BYTES};
use linnetknot_purges::{Bucket, BucketBits, BucketIndex};

/// The maximum length of the items of a chunk, in bytes.
pub(crate) const MAX_CONTENT_BYTES: usize =
    MAX_DATAGRAM_BYTES - wire::CHUNK_PREFIX.len() - encoded_len::HEAD;
/// The encoded length of an entry without its subject, in bytes.
const ENTRY_HEAD_BYTES: usize = 33;
/// The encoded length of a bucket's index, in bytes.
const BUCKET_HEAD_BYTES: usize = 4;
/// The encoded length of a log id and an index, in bytes.
const LOG_BYTES: usize = 24;

const LOGS: u8 = 0;
const BUCKETS: u8 = 1;
const ENTRIES: u8 = 2;
/// The flag in the kind byte that marks the last chunk of a window.
const ENDS_WINDOW_FLAG: u8 = 0x80;

/// Returns whether an entry with this subject fits into a chunk.
pub(crate) fn fits(subject: &Subject) -> bool {
    subject_len(subject).is_some_and(|len| ENTRY_HEAD_BYTES + len <= MAX_CONTENT_BYTES)
}

/// The encoded lengths of the parts of a chunk, in bytes.
pub(crate) mod encoded_len {
    use super::{subject_len, Bucket, Entry, BUCKET_HEAD_BYTES, ENTRY_HEAD_BYTES, LOG_BYTES};

    /// The length of a log id and an index.
    pub(crate) const LOG: usize = LOG_BYTES;

    /// Returns the length of an indexed bucket.
    pub(crate) fn bucket(bucket: &Bucket) -> usize {
        BUCKET_HEAD_BYTES + bucket.encoded_len()
    }

    /// Returns the length of an entry.
    pub(crate) fn entry(entry: &Entry) -> usize {
        ENTRY_HEAD_BYTES + subject_len(&entry.subject).unwrap_or(usize::MAX / 2)
    }

    /// The maximum length of a chunk without its items.
    pub(crate) const HEAD: usize = 1 + 8 + 8 + 2 * 25 + 1;
}

/// Returns the encoded length of a subject, or `None` for a purge, which is not sent in chunks.
fn subject_len(subject: &Subject) -> Option<usize> {
    let body = match subject {
        Subject::Ban(id) => id.len(),
        Subject::Drain => 0,
        Subject::TriggerStatusPart { text, .. } => 8 + 2 + text.len(),
        Subject::TriggerDeleted { .. } => 16,
        Subject::Object(_) | Subject::Group(_) => return None,
    };
    // One byte each for the kind and the length.
    Some(2 + body)
}

/// Appends the encoding of a chunk.
pub(crate) fn write_chunk(chunk: &SnapshotChunk, bytes: &mut Vec<u8>) {
    let kind = match chunk.content {
        SnapshotContent::Logs(_) => LOGS,
        SnapshotContent::Buckets { .. } => BUCKETS,
        SnapshotContent::Entries(_) => ENTRIES,
    };
    bytes.push(if chunk.ends_window {
        kind | ENDS_WINDOW_FLAG
    } else {
        kind
    });
    bytes.extend(chunk.process.to_be_bytes());
    bytes.extend(chunk.image.to_be_bytes());
    write_cursor(chunk.from, bytes);
    write_cursor(chunk.next, bytes);
    match &chunk.content {
        SnapshotContent::Logs(logs) => logs.iter().for_each(|log| write_compacted(log, bytes)),
        SnapshotContent::Buckets {
            bucket_bits,
            buckets,
        } => {
            bytes.push(bucket_bits.value());
            buckets
                .iter()
                .for_each(|indexed| write_bucket(indexed, bytes));
        }
        SnapshotContent::Entries(entries) => {
            entries.iter().for_each(|entry| write_entry(entry, bytes));
        }
    }
}

fn write_log(log: LogId, bytes: &mut Vec<u8>) {
    bytes.extend(log.writer.to_be_bytes());
    bytes.extend(log.epoch.to_be_bytes());
}

fn write_cursor(cursor: SnapshotCursor, bytes: &mut Vec<u8>) {
    match cursor {
        SnapshotCursor::Log(log) => {
            bytes.push(b'l');
            write_log(log, bytes);
        }
        SnapshotCursor::Bucket(index) => {
            bytes.push(b'b');
            bytes.extend(index.value().to_be_bytes());
        }
        SnapshotCursor::ENTRIES => bytes.push(b'E'),
        SnapshotCursor::Entry { log, index } => {
            bytes.push(b'e');
            write_log(log, bytes);
            bytes.extend(index.to_be_bytes());
        }
        SnapshotCursor::End => bytes.push(b'.'),
    }
}

fn write_compacted(compacted: &CompactedLog, bytes: &mut Vec<u8>) {
    write_log(compacted.log, bytes);
    bytes.extend(compacted.through.to_be_bytes());
}

fn write_bucket(indexed: &IndexedBucket, bytes: &mut Vec<u8>) {
    bytes.extend(indexed.index.value().to_be_bytes());
    indexed.bucket.encode(bytes);
}

fn write_entry(entry: &Entry, bytes: &mut Vec<u8>) {
    write_log(entry.log, bytes);
    bytes.extend(entry.index.to_be_bytes());
    bytes.extend(entry.at.to_be_bytes());
    bytes.push(u8::from(entry.revoked));
    let mut body = Vec::new();
    let kind = match &entry.subject {
        Subject::Ban(id) => {
            body.extend(id.as_bytes());
            b'b'
        }
        Subject::Drain => b'd',
        Subject::TriggerStatusPart { number, part, text } => {
            body.extend(number.to_be_bytes());
            body.extend(part.to_be_bytes());
            body.extend(text.as_bytes());
            b's'
        }
        Subject::TriggerDeleted { writer, number } => {
            body.extend(writer.to_be_bytes());
            body.extend(number.to_be_bytes());
            b'x'
        }
        // Chunks of entries do not contain purges.
        Subject::Object(_) | Subject::Group(_) => return,
    };
    bytes.push(kind);
    bytes.push(body.len() as u8);
    bytes.extend(body);
}

/// Decodes a chunk that occupies all of `bytes`.
pub(crate) fn read_chunk(bytes: &[u8]) -> Option<SnapshotChunk> {
    let mut reader = Reader { bytes };
    let kind = reader.byte()?;
    let (process, image) = (reader.number()?, reader.number()?);
    let (from, next) = (reader.cursor()?, reader.cursor()?);
    let content = reader.content(kind & !ENDS_WINDOW_FLAG)?;
    let ends_window = kind & ENDS_WINDOW_FLAG != 0;
    let chunk = SnapshotChunk {
        process,
        image,
        from,
        next,
        ends_window,
        content,
    };
    is_valid(&chunk).then_some(chunk)
}

/// Returns the position in the snapshot of each item of a chunk.
fn item_cursors(content: &SnapshotContent) -> Vec<SnapshotCursor> {
    match content {
        SnapshotContent::Logs(logs) => logs.iter().map(|l| SnapshotCursor::Log(l.log)).collect(),
        SnapshotContent::Buckets { buckets, .. } => buckets
            .iter()
            .map(|b| SnapshotCursor::Bucket(b.index))
            .collect(),
        SnapshotContent::Entries(entries) => {
            let cursor = |entry: &Entry| SnapshotCursor::Entry {
                log: entry.log,
                index: entry.index,
            };
            entries.iter().map(cursor).collect()
        }
    }
}

/// Returns whether the items of a chunk are in order and between its cursors.
fn is_valid(chunk: &SnapshotChunk) -> bool {
    let cursors = item_cursors(&chunk.content);
    let (first, last) = match chunk.content {
        SnapshotContent::Logs(_) => (SnapshotCursor::START, SnapshotCursor::BUCKETS),
        SnapshotContent::Buckets { .. } => (SnapshotCursor::BUCKETS, SnapshotCursor::ENTRIES),
        SnapshotContent::Entries(_) => (SnapshotCursor::ENTRIES, SnapshotCursor::End),
    };
    let is_in_section = first <= chunk.from && chunk.from < chunk.next && chunk.next <= last;
    let is_between = cursors
        .iter()
        .all(|cursor| chunk.from <= *cursor && *cursor < chunk.next);
    is_in_section && is_between && cursors.windows(2).all(|pair| pair[0] < pair[1])
}

/// Decodes values from the front of a byte slice.
struct Reader<'a> {
    bytes: &'a [u8],
}

impl<'a> Reader<'a> {
    fn take(&mut self, count: usize) -> Option<&'a [u8]> {
        let (taken, rest) = self.bytes.split_at_checked(count)?;
        self.bytes = rest;
        Some(taken)
    }

    fn byte(&mut self) -> Option<u8> {
        self.take(1).map(|bytes| bytes[0])
    }

    fn number(&mut self) -> Option<u64> {
        Some(u64::from_be_bytes(self.take(8)?.try_into().ok()?))
    }

    fn bucket_index(&mut self) -> Option<BucketIndex> {
        let index = u32::from_be_bytes(self.take(4)?.try_into().ok()?);
        Some(BucketIndex::from(index))
    }

    fn log(&mut self) -> Option<LogId> {
        Some(LogId {
            writer: self.number()?,
            epoch: self.number()?,
        })
    }

    fn cursor(&mut self) -> Option<SnapshotCursor> {
        match self.byte()? {
            b'l' => Some(SnapshotCursor::Log(self.log()?)),
            b'b' => Some(SnapshotCursor::Bucket(self.bucket_index()?)),
            b'E' => Some(SnapshotCursor::ENTRIES),
            b'e' => Some(SnapshotCursor::Entry {
                log: self.log()?,
                index: self.number()?,
            }),
            b'.' => Some(SnapshotCursor::End),
            _ => None,
        }
    }

    fn content(&mut self, kind: u8) -> Option<SnapshotContent> {
        match kind {
            LOGS => self.read_all(Self::compacted).map(SnapshotContent::Logs),
            BUCKETS => {
                let bucket_bits = BucketBits::new(self.byte()?).ok()?;
                let buckets = self.read_all(Self::bucket)?;
                let in_range = buckets
                    .iter()
                    .all(|indexed| (indexed.index.value() as usize) < bucket_bits.buckets());
                in_range.then_some(SnapshotContent::Buckets {
                    bucket_bits,
                    buckets,
                })
            }
            ENTRIES => self.read_all(Self::entry).map(SnapshotContent::Entries),
            _ => None,
        }
    }

    /// Reads items up to the end of the bytes.
    fn read_all<T>(&mut self, read: impl Fn(&mut Self) -> Option<T>) -> Option<Vec<T>> {
        let mut items = Vec::new();
        while !self.bytes.is_empty() {
            items.push(read(self)?);
        }
        Some(items)
    }

    fn compacted(&mut self) -> Option<CompactedLog> {
        Some(CompactedLog {
            log: self.log()?,
            through: self.number()?,
        })
    }

    fn bucket(&mut self) -> Option<IndexedBucket> {
        let index = self.bucket_index()?;
        let slots = usize::from(*self.bytes.first()?);
        let encoded = self.take(1 + 8 + 8 * slots)?;
        Some(IndexedBucket {
            index,
            bucket: Bucket::decode(encoded).ok()?,
        })
    }

    fn entry(&mut self) -> Option<Entry> {
        let (log, index, at) = (self.log()?, self.number()?, self.number()?);
        let revoked = match self.byte()? {
            0 => false,
            1 => true,
            _ => return None,
        };
        let (kind, len) = (self.byte()?, self.byte()?);
        let mut body = Reader {
            bytes: self.take(usize::from(len))?,
        };
        let subject = body.subject(kind)?;
        let is_valid = body.bytes.is_empty() && index > 0 && !(revoked && subject.is_expiring());
        is_valid.then_some(Entry {
            log,
            index,
            prev: 0,
            subject,
            at,
            revoked,
        })
    }

    fn subject(&mut self, kind: u8) -> Option<Subject> {
        match kind {
            b'b' => {
                Some(Subject::Ban(self.text()?)).filter(|ban| *ban != Subject::Ban(String::new()))
            }
            b'd' => Some(Subject::Drain),
            b's' => {
                let number = self.number()?;
                let part = u16::from_be_bytes(self.take(2)?.try_into().ok()?);
                Some(Subject::TriggerStatusPart {
                    number,
                    part,
                    text: self.text()?,
                })
            }
            b'x' => Some(Subject::TriggerDeleted {
                writer: self.number()?,
                number: self.number()?,
            }),
            _ => None,
        }
    }

    /// Reads the remaining bytes as text.
    fn text(&mut self) -> Option<String> {
        let bytes = self.take(self.bytes.len())?;
        String::from_utf8(bytes.to_vec()).ok()
    }
}
