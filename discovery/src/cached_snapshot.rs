//! File format of the last confirmed endpoint list: a header line with format, checksum and length, followed by JSON.
//!
//! A list is used only if the file is complete, has the supported format and the expected scope, and is recent. An
//! outdated list directs requests to caches that no longer exist, which is worse than no list. This module only encodes
//! and decodes; the caller must replace the file atomically (write to a temporary file, sync, rename).

use crate::evidence::{server_id, Entry};
use linnetknot::{Micros, Server, State};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

const MAGIC: &str = "linnetknot-list";
/// Version of the file format.
pub const FORMAT_VERSION: u32 = 1;
const MAX_HEADER_BYTES: usize = 80;
/// Maximum time by which the time of a list may be in the future. The clock may have been an hour ahead when the list
/// was written, and an hour behind when the list is read. The age of a list with a later time is unknown.
const MAX_FUTURE_US: Micros = 2 * 60 * 60 * 1_000_000;

/// An endpoint list that was stored before a restart.
#[derive(Clone, Debug, PartialEq)]
pub struct CachedSnapshot {
    /// Time at which the list was last confirmed, as Unix time in microseconds.
    pub confirmed_at: Micros,
    /// The entries of the list.
    pub entries: Vec<Entry>,
}

/// An error that prevents the use of a cached list.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The file does not begin with the header of a cached snapshot.
    #[error("not a cached snapshot")]
    NotASnapshot,
    /// The file has an unsupported format.
    #[error("unsupported format {0}, expected {FORMAT_VERSION}")]
    UnsupportedFormat(u32),
    /// The body is truncated, or longer than the header states.
    #[error("the body has {actual} bytes, but the header states {stored}")]
    LengthMismatch {
        /// Length that the header states, in bytes.
        stored: usize,
        /// Length of the body, in bytes.
        actual: usize,
    },
    /// The checksum of the body does not match the header.
    #[error("checksum mismatch")]
    ChecksumMismatch,
    /// The body can't be parsed; the text is the error of the JSON parser.
    #[error("invalid body: {0}")]
    InvalidBody(String),
    /// The list belongs to another scope.
    #[error("the list is of scope '{stored}', expected '{expected}'")]
    WrongScope {
        /// The scope in the file.
        stored: String,
        /// The scope of this proxy.
        expected: String,
    },
    /// The time of the list is this many microseconds in the future.
    #[error("the time of the list is {} s in the future", .0 / 1_000_000)]
    FromFuture(Micros),
    /// The age of the list, in microseconds, exceeds the limit.
    #[error("the list is too old: {} s", .0 / 1_000_000)]
    Expired(Micros),
    /// The file exceeds the size limit.
    #[error("the file exceeds the size limit")]
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

/// Encodes a list. `scope` identifies the deployment that the list belongs to, so that no other deployment uses it.
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
    // Serialization can't fail, because the body consists of strings and numbers only.
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

/// Decodes a list of at most `max_bytes` bytes that was confirmed at most `max_age` microseconds before `now`.
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

/// Returns the body, after checking its header, length and checksum.
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
