//! How entries stand in the store: as a key of log and subject, under which a later entry on the same subject takes the
//! place of the one before, and a value of index and time.

use linnetknot_replication::{Entry, LogId, Subject};
use linnetknot_store::{Keyspace, Pair, StoreError, Write};

/// Entries in force.
pub(super) const ENTRIES: Keyspace = Keyspace("entries");

/// The log's writer and epoch, before the subject's kind.
const LOG_BYTES: usize = 16;
/// Index and time of an entry.
const VALUE_BYTES: usize = 16;

const OBJECT: u8 = b'o';
const GROUP: u8 = b'g';
const BAN: u8 = b'b';
const DRAIN: u8 = b'd';
const STATUS: u8 = b's';
const GONE: u8 = b'x';

/// An entry's key.
fn key(entry: &Entry) -> Vec<u8> {
    let mut key = Vec::with_capacity(40);
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
        Subject::Status { number, part, .. } => {
            key.push(STATUS);
            key.extend(number.to_be_bytes());
            key.extend(part.to_be_bytes());
        }
        Subject::Gone { writer, number } => {
            key.push(GONE);
            key.extend(writer.to_be_bytes());
            key.extend(number.to_be_bytes());
        }
    }
    key
}

/// An entry's value.
fn value(entry: &Entry) -> Vec<u8> {
    let mut value = [entry.index.to_be_bytes(), entry.at.to_be_bytes()].concat();
    match &entry.subject {
        Subject::Status { text, .. } => value.extend(text.as_bytes()),
        _ => value.extend(entry.revoked.then_some(1)),
    }
    value
}

/// The write that puts an entry into the store.
pub(super) fn put(entry: &Entry) -> Write {
    Write::put(ENTRIES, key(entry), value(entry))
}

/// The write that takes an entry out of the store, but no later one on the same subject, which has the same key.
pub(super) fn remove(entry: &Entry) -> Write {
    Write::remove_if(ENTRIES, key(entry), value(entry))
}

/// The entry of a key and its value. Which entry stands before it follows from the others.
fn read((key, value): &Pair) -> Option<Entry> {
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

/// The subject of a kind, from what stands behind the kind in the key.
fn subject(kind: u8, name: &[u8], value: &[u8]) -> Option<Subject> {
    Some(match kind {
        OBJECT => Subject::Object(String::from_utf8(name.to_vec()).ok()?),
        GROUP => Subject::Group(number(name)?),
        BAN => Subject::Ban(String::from_utf8(name.to_vec()).ok()?),
        DRAIN => Subject::Drain,
        STATUS => {
            let part = u16::from_be_bytes(name.get(8..)?.try_into().ok()?);
            let text = String::from_utf8(value.get(VALUE_BYTES..)?.to_vec()).ok()?;
            Subject::Status {
                number: number(name.get(..8)?)?,
                part,
                text,
            }
        }
        GONE => Subject::Gone {
            writer: number(name.get(..8)?)?,
            number: number(name.get(8..)?)?,
        },
        _ => return None,
    })
}

fn number(bytes: &[u8]) -> Option<u64> {
    Some(u64::from_be_bytes(bytes.try_into().ok()?))
}

/// All entries of the store's space.
pub(super) fn read_all(pairs: &[Pair]) -> Result<Vec<Entry>, StoreError> {
    let entries: Option<Vec<Entry>> = pairs.iter().map(read).collect();
    entries.ok_or_else(|| StoreError::Damaged("an entry can't be read".into()))
}
