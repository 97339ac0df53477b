//! The encoding of log entries in the store. A key contains the log and the subject, so that a later entry on the same
//! subject replaces the earlier one. The value contains the index and the time.

use linnetknot_replication::{Entry, LogId, Subject};
use linnetknot_store::{KeyValue, Keyspace, StoreError, Write};

/// The keyspace of the log entries in force, that is, not superseded or compacted.
pub(super) const ENTRIES: Keyspace = Keyspace("entries");

/// The combined length of writer and epoch at the start of a key, before the kind of the subject.
const LOG_BYTES: usize = 16;
/// The combined length of index and time at the start of a value.
const VALUE_BYTES: usize = 16;

/// The initial capacity of the buffer for an encoded key, in bytes.
const KEY_CAPACITY: usize = 40;

const OBJECT: u8 = b'o';
const GROUP: u8 = b'g';
const BAN: u8 = b'b';
const DRAIN: u8 = b'd';
const STATUS: u8 = b's';
const GONE: u8 = b'x';

/// Encodes the key of an entry.
fn key(entry: &Entry) -> Vec<u8> {
    let mut key = Vec::with_capacity(KEY_CAPACITY);
    key.extend(entry.log.writer.to_be_bytes());
    key.extend(entry.log.epoch.to_be_bytes());
    match &entry.subject {
        Subject::Object(object) => {
            key.push(OBJECT);
            key.extend(object.as_bytes());
        }
        Subject::Group(group) => {
            key.push(GROUP);
            key.extend(group.to_be_bytes());
        }
        Subject::Ban(id) => {
            key.push(BAN);
            key.extend(id.as_bytes());
        }
        Subject::Drain => key.push(DRAIN),
        Subject::TriggerStatusPart { number, part, .. } => {
            key.push(STATUS);
            key.extend(number.to_be_bytes());
            key.extend(part.to_be_bytes());
        }
        Subject::TriggerDeleted { writer, number } => {
            key.push(GONE);
            key.extend(writer.to_be_bytes());
            key.extend(number.to_be_bytes());
        }
    }
    key
}

/// Encodes the value of an entry.
fn value(entry: &Entry) -> Vec<u8> {
    let mut value = [entry.index.to_be_bytes(), entry.at.to_be_bytes()].concat();
    match &entry.subject {
        Subject::TriggerStatusPart { text, .. } => value.extend(text.as_bytes()),
        _ => value.extend(entry.revoked.then_some(1)),
    }
    value
}

/// Returns the write that stores an entry.
pub(super) fn put(entry: &Entry) -> Write {
    Write::put(ENTRIES, key(entry), value(entry))
}

/// Returns the write that removes an entry. The write has no effect if a later entry on the same subject has replaced
/// the entry under the same key.
pub(super) fn remove(entry: &Entry) -> Write {
    Write::remove_if(ENTRIES, key(entry), value(entry))
}

/// Decodes an entry. The index of the preceding entry is not stored, because it can be derived from the other entries
/// of the log.
fn read(KeyValue { key, value }: &KeyValue) -> Option<Entry> {
    let log = LogId::new(number(key.get(..8)?)?, number(key.get(8..LOG_BYTES)?)?);
    let subject = subject(*key.get(LOG_BYTES)?, key.get(LOG_BYTES + 1..)?, value)?;
    let revoked = !subject.is_expiring() && value.len() > VALUE_BYTES;
    let (index, at) = (
        number(value.get(..8)?)?,
        number(value.get(8..VALUE_BYTES)?)?,
    );
    Some(Entry {
        log,
        index,
        prev: 0,
        subject,
        at,
        revoked,
    })
}

/// Decodes a subject from its kind, the rest of the key, and the value.
fn subject(kind: u8, name: &[u8], value: &[u8]) -> Option<Subject> {
    Some(match kind {
        OBJECT => Subject::Object(String::from_utf8(name.to_vec()).ok()?),
        GROUP => Subject::Group(number(name)?),
        BAN => Subject::Ban(String::from_utf8(name.to_vec()).ok()?),
        DRAIN => Subject::Drain,
        STATUS => {
            let part = u16::from_be_bytes(name.get(8..)?.try_into().ok()?);
            let text = String::from_utf8(value.get(VALUE_BYTES..)?.to_vec()).ok()?;
            Subject::TriggerStatusPart {
                number: number(name.get(..8)?)?,
                part,
                text,
            }
        }
        GONE => Subject::TriggerDeleted {
            writer: number(name.get(..8)?)?,
            number: number(name.get(8..)?)?,
        },
        _ => return None,
    })
}

fn number(bytes: &[u8]) -> Option<u64> {
    Some(u64::from_be_bytes(bytes.try_into().ok()?))
}

/// Decodes all entries of the store.
pub(super) fn read_all(pairs: &[KeyValue]) -> Result<Vec<Entry>, StoreError> {
    let entries: Option<Vec<Entry>> = pairs.iter().map(read).collect();
    entries.ok_or_else(|| StoreError::Damaged("a log entry is malformed".into()))
}
