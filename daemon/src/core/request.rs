//! A client's request and its final answer, as every front hands them over.

use crate::net::Key;
use linnetknot::Micros;

/// A request in the table.
pub type Ticket = Key;

/// Where a request's answer goes: a connection of some front, and the front's own number for the request there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Client {
    /// The connection.
    pub connection: Key,
    /// The request's number on it.
    pub stream: u32,
}

/// A request as any front gives it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Asked {
    /// The client's id of it, passed on unchanged.
    pub id: String,
    /// Name of its class.
    pub class: String,
    /// The object.
    pub object: String,
    /// Part of the object.
    pub part: u64,
    /// Group of the object.
    pub group: u64,
    /// Size of the part in KB; 0: not told.
    pub size_kb: f64,
    /// How long the client still waits.
    pub remaining_us: Micros,
    /// The client's idempotency key.
    pub once: Option<String>,
    /// Tag of the copy that the client holds.
    pub have: Option<String>,
    /// What a write brings.
    pub body: Vec<u8>,
}

/// What a box gave for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// The bytes of the part, and the tag of the copy.
    Object {
        /// The bytes.
        bytes: Vec<u8>,
        /// The tag, if it was told.
        tag: Option<String>,
    },
    /// The client's copy is the one that would be served.
    Unchanged,
}

/// A final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Served.
    Served(Content),
    /// Refused: trying again is harmless, best after this time.
    Refused {
        /// When to come back.
        wait_us: Option<Micros>,
    },
    /// Failed.
    Failed,
}

impl Answer {
    /// Its name in the log.
    pub fn name(&self) -> &'static str {
        match self {
            Answer::Served(_) => "served",
            Answer::Refused { .. } => "refused",
            Answer::Failed => "failed",
        }
    }
}
