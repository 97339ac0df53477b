//! The last good list, as a file holds it: one line with format, checksum and length, then JSON.
//!
//! A list is only taken from a file that is whole, of a known format, of the same scope and not from the future: a
//! wrong list sends work to boxes that are long gone, which is worse than none. Only bytes are dealt with here; who
//! writes them must put them in place at once (write beside, sync, rename).

use crate::evidence::{server_id, Entry};
use linnetknot::{Micros, Server, State};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

const MARK: &str = "linnetknot-list";
/// The format that is written.
pub const FORMAT: u32 = 1;
/// The first line ends within so many bytes.
const MAX_HEAD: usize = 80;
/// How far from the future a list may seem: the clock may have been an hour ahead when it was written, and an hour behind
/// when it is read. Beyond that the time says nothing of how old it is.
const FUTURE_US: Micros = 2 * 60 * 60 * 1_000_000;

/// A list as it is kept.
#[derive(Clone, Debug, PartialEq)]
pub struct Kept {
    /// When it was last known to be good, as Unix time in microseconds.
    pub at: Micros,
    /// The boxes.
    pub entries: Vec<Entry>,
}

/// Why a kept list is not used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeptError {
    /// The file is no list of ours.
    Foreign,
    /// It is in a format of a later program.
    Format(u32),
    /// It is cut off, or longer than it says.
    Torn {
        /// Bytes that it says it has.
        told: usize,
        /// Bytes that are there.
        there: usize,
    },
    /// Its checksum does not fit.
    Damaged,
    /// What it holds can't be read.
    Unreadable(String),
    /// It is the list of something else.
    Scope {
        /// What it is the list of.
        told: String,
        /// What is wanted.
        wanted: String,
    },
    /// It was written so many microseconds from now.
    Future(Micros),
    /// It is older than allowed, by its age in microseconds.
    Old(Micros),
    /// It is longer than is ever written.
    TooLong,
}

impl fmt::Display for KeptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Foreign => write!(f, "it is no kept list"),
            Self::Format(n) => write!(
                f,
                "its format is {n}, and this program reads up to {FORMAT}"
            ),
            Self::Torn { told, there } => write!(f, "it is torn: {there} bytes of {told}"),
            Self::Damaged => write!(f, "its checksum does not fit"),
            Self::Unreadable(why) => write!(f, "it can't be read: {why}"),
            Self::Scope { told, wanted } => {
                write!(f, "it is the list of '{told}', not of '{wanted}'")
            }
            Self::Future(by) => write!(f, "it is from the future, by {} s", by / 1_000_000),
            Self::Old(age) => write!(f, "it is too old: {} s", age / 1_000_000),
            Self::TooLong => write!(f, "it is too long"),
        }
    }
}

impl std::error::Error for KeptError {}

#[derive(Serialize, Deserialize)]
struct Body {
    scope: String,
    at_us: Micros,
    boxes: Vec<KeptBox>,
}

#[derive(Serialize, Deserialize)]
struct KeptBox {
    uid: String,
    endpoint: SocketAddr,
    zone: String,
    cell: u64,
    kind: String,
    weight: f64,
    draining: bool,
    started_us: Option<Micros>,
}

/// A list as bytes. `scope` says what it is the list of: one deployment's must not be taken for another's.
pub fn write<'a>(scope: &str, at: Micros, entries: impl Iterator<Item = &'a Entry>) -> Vec<u8> {
    let kept = |e: &Entry| KeptBox {
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
        boxes: entries.map(kept).collect(),
    };
    // Of texts and numbers only: it can always be written.
    let body = serde_json::to_vec(&body).unwrap_or_default();
    let mut out = format!(
        "{MARK} {FORMAT} {:08x} {}\n",
        crc32fast::hash(&body),
        body.len()
    )
    .into_bytes();
    out.extend(body);
    out
}

/// Reads a list that may be so many bytes long and so old.
pub fn read(
    bytes: &[u8],
    scope: &str,
    now: Micros,
    max_bytes: usize,
    max_age: Micros,
) -> Result<Kept, KeptError> {
    if bytes.len() > max_bytes {
        return Err(KeptError::TooLong);
    }
    let body = verified_body(bytes)?;
    let body: Body =
        serde_json::from_slice(body).map_err(|e| KeptError::Unreadable(e.to_string()))?;
    if body.scope != scope {
        return Err(KeptError::Scope {
            told: body.scope,
            wanted: scope.to_owned(),
        });
    }
    if body.at_us > now + FUTURE_US {
        return Err(KeptError::Future(body.at_us - now));
    }
    let age = now.saturating_sub(body.at_us);
    if age > max_age {
        return Err(KeptError::Old(age));
    }
    Ok(Kept {
        at: body.at_us,
        entries: body.boxes.into_iter().map(Entry::from).collect(),
    })
}

/// The body of a list whose head is of a known format and fits it in length and checksum.
fn verified_body(bytes: &[u8]) -> Result<&[u8], KeptError> {
    let end = bytes
        .iter()
        .take(MAX_HEAD)
        .position(|b| *b == b'\n')
        .ok_or(KeptError::Foreign)?;
    let head = std::str::from_utf8(&bytes[..end]).map_err(|_| KeptError::Foreign)?;
    let body = &bytes[end + 1..];
    let mut fields = head.split(' ');
    if fields.next() != Some(MARK) {
        return Err(KeptError::Foreign);
    }
    let format = fields
        .next()
        .and_then(|w| w.parse().ok())
        .ok_or(KeptError::Foreign)?;
    if format != FORMAT {
        return Err(KeptError::Format(format));
    }
    let checksum = fields
        .next()
        .and_then(|w| u32::from_str_radix(w, 16).ok())
        .ok_or(KeptError::Foreign)?;
    let length: usize = fields
        .next()
        .and_then(|w| w.parse().ok())
        .ok_or(KeptError::Foreign)?;
    if length != body.len() {
        return Err(KeptError::Torn {
            told: length,
            there: body.len(),
        });
    }
    if crc32fast::hash(body) != checksum {
        return Err(KeptError::Damaged);
    }
    Ok(body)
}

impl From<KeptBox> for Entry {
    fn from(kept: KeptBox) -> Self {
        Entry {
            server: Server {
                id: server_id(&kept.uid),
                zone: kept.zone,
                cell: kept.cell,
                kind: kept.kind,
                weight: kept.weight,
                state: if kept.draining {
                    State::Draining
                } else {
                    State::Ready
                },
                started: kept.started_us,
            },
            uid: kept.uid,
            endpoint: kept.endpoint,
        }
    }
}
