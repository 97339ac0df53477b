//! The last confirmed endpoint list as a file stores it: one line with format, checksum and length, then JSON.
//!
//! A list is only taken from a file that is complete, of a known format, of the same scope and recent: a wrong list sends
//! work to caches that are long gone, which is worse than no list. This module deals with bytes only; whoever writes them
//! must replace the file atomically (write beside, sync, rename).

use crate::evidence::{server_id, Entry};
use linnetknot::{Micros, Server, State};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

const MAGIC: &str = "linnetknot-list";
/// Version of the format that is written.
pub const FORMAT_VERSION: u32 = 1;
/// Longest first line, in bytes.
const MAX_HEADER_BYTES: usize = 80;
/// How far from the future a list may seem: the clock may have been an hour ahead when it was written, and an hour behind
/// when it is read. Beyond that the time says nothing of how old it is.
const MAX_FUTURE_US: Micros = 2 * 60 * 60 * 1_000_000;

/// A cached list.
#[derive(Clone, Debug, PartialEq)]
pub struct CachedSnapshot {
    /// When it was last confirmed, as Unix time in microseconds.
    pub confirmed_at: Micros,
    /// Its entries.
    pub entries: Vec<Entry>,
}

/// Why a cached list is not used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The file is no cached list.
    #[error("it is no cached snapshot")]
    NotASnapshot,
    /// Its format is of a later version of the program.
    #[error("its format is {0}, and this program reads up to {FORMAT_VERSION}")]
    UnsupportedFormat(u32),
    /// It is truncated, or longer than its head states.
    #[error("it is torn: {actual} bytes of {stored}")]
    LengthMismatch {
        /// Length that its head states, in bytes.
        stored: usize,
        /// Its length, in bytes.
        actual: usize,
    },
    /// Its checksum does not match.
    #[error("its checksum does not match")]
    ChecksumMismatch,
    /// Its body can't be parsed; the text is the parser's.
    #[error("it can't be read: {0}")]
    InvalidBody(String),
    /// It is the list of another scope.
    #[error("it is the list of '{stored}', not of '{expected}'")]
    WrongScope {
        /// The scope that it states.
        stored: String,
        /// The scope of this proxy.
        expected: String,
    },
    /// Its time is this far in the future, in microseconds.
    #[error("it is from the future, by {} s", .0 / 1_000_000)]
    FromFuture(Micros),
    /// Its age, in microseconds, is above the limit.
    #[error("it is too old: {} s", .0 / 1_000_000)]
    Expired(Micros),
    /// It is longer than the limit.
    #[error("it is too long")]
    TooLong,
}

#[derive(Serialize, Deserialize)]
struct Body {
    scope: String,
    at_us: Micros,
    #[serde(rename = "boxes")]
    entries: Vec<SnapshotEntry>,
}

#[derive(Serialize, Deserialize)]
struct SnapshotEntry {
    uid: String,
    endpoint: SocketAddr,
    zone: String,
    cell: u64,
    kind: String,
    weight: f64,
    draining: bool,
    started_us: Option<Micros>,
}

/// Encodes a list. `scope` identifies what it is the list of, so that one deployment's is never used by another.
pub fn encode<'a>(scope: &str, at: Micros, entries: impl Iterator<Item = &'a Entry>) -> Vec<u8> {
    let entry = |e: &Entry| SnapshotEntry {
        uid: e.uid.clone(),
        endpoint: e.endpoint,
        zone: e.server.zone.clone(),
        cell: e.server.cell,
        kind: e.server.kind.clone(),
        weight: e.server.weight,
        draining: e.server.state == State::Draining,
        started_us: e.server.started,
    };
    let body = Body {
        scope: scope.to_owned(),
        at_us: at,
        entries: entries.map(entry).collect(),
    };
    // It consists of strings and numbers only, which can always be encoded.
    let body = serde_json::to_vec(&body).unwrap_or_default();
    let mut out = format!(
        "{MAGIC} {FORMAT_VERSION} {:08x} {}\n",
        crc32fast::hash(&body),
        body.len()
    )
    .into_bytes();
    out.extend(body);
    out
}

/// Decodes a list of at most `max_bytes` that was confirmed at most `max_age` ago.
pub fn decode(
    bytes: &[u8],
    scope: &str,
    now: Micros,
    max_bytes: usize,
    max_age: Micros,
) -> Result<CachedSnapshot, SnapshotError> {
    if bytes.len() > max_bytes {
        return Err(SnapshotError::TooLong);
    }
    let body = verified_body(bytes)?;
    let body: Body =
        serde_json::from_slice(body).map_err(|e| SnapshotError::InvalidBody(e.to_string()))?;
    if body.scope != scope {
        return Err(SnapshotError::WrongScope {
            stored: body.scope,
            expected: scope.to_owned(),
        });
    }
    if body.at_us > now + MAX_FUTURE_US {
        return Err(SnapshotError::FromFuture(body.at_us - now));
    }
    let age = now.saturating_sub(body.at_us);
    if age > max_age {
        return Err(SnapshotError::Expired(age));
    }
    Ok(CachedSnapshot {
        confirmed_at: body.at_us,
        entries: body.entries.into_iter().map(Entry::from).collect(),
    })
}

/// The body, if the head's format is known and its length and checksum match.
fn verified_body(bytes: &[u8]) -> Result<&[u8], SnapshotError> {
    let end = bytes
        .iter()
        .take(MAX_HEADER_BYTES)
        .position(|b| *b == b'\n')
        .ok_or(SnapshotError::NotASnapshot)?;
    let head = std::str::from_utf8(&bytes[..end]).map_err(|_| SnapshotError::NotASnapshot)?;
    let body = &bytes[end + 1..];
    let mut fields = head.split(' ');
    if fields.next() != Some(MAGIC) {
        return Err(SnapshotError::NotASnapshot);
    }
    let format = fields
        .next()
        .and_then(|w| w.parse().ok())
        .ok_or(SnapshotError::NotASnapshot)?;
    if format != FORMAT_VERSION {
        return Err(SnapshotError::UnsupportedFormat(format));
    }
    let checksum = fields
        .next()
        .and_then(|w| u32::from_str_radix(w, 16).ok())
        .ok_or(SnapshotError::NotASnapshot)?;
    let length: usize = fields
        .next()
        .and_then(|w| w.parse().ok())
        .ok_or(SnapshotError::NotASnapshot)?;
    if length != body.len() {
        return Err(SnapshotError::LengthMismatch {
            stored: length,
            actual: body.len(),
        });
    }
    if crc32fast::hash(body) != checksum {
        return Err(SnapshotError::ChecksumMismatch);
    }
    Ok(body)
}

impl From<SnapshotEntry> for Entry {
    fn from(entry: SnapshotEntry) -> Self {
        Entry {
            server: Server {
                id: server_id(&entry.uid),
                zone: entry.zone,
                cell: entry.cell,
                kind: entry.kind,
                weight: entry.weight,
                state: if entry.draining {
                    State::Draining
                } else {
                    State::Ready
                },
                started: entry.started_us,
            },
            uid: entry.uid,
            endpoint: entry.endpoint,
        }
    }
}
