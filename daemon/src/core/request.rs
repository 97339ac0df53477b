//! A client's request and its final answer, as every front hands them over.

use crate::net::Key;
use linnetknot::Micros;

/// The key of an open request.
pub type RequestKey = Key;

/// Where a request's answer goes: a connection of some front, and the front's own number for the request there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Client {
    /// The connection.
    pub connection: Key,
    /// The request's number on it.
    pub stream: u32,
}

/// A request as every front hands it over.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClientRequest {
    /// Its id, given by the client and passed on unchanged.
    pub id: String,
    /// The name of its class.
    pub class: String,
    /// The key of the object.
    pub object: String,
    /// Which part of the object.
    pub part: u64,
    /// The group of the object, by which groups are purged.
    pub group: u64,
    /// The size of the part in KB; 0: unknown.
    pub size_kb: f64,
    /// How long the client still waits from now on.
    pub remaining_us: Micros,
    /// The idempotency key, if the client gave one.
    pub idempotency_key: Option<String>,
    /// The tag of the copy that the client has cached, if any.
    pub cached_tag: Option<String>,
    /// The body of a write.
    pub body: Vec<u8>,
}

/// What a cache served.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// The bytes of the part, and the tag of the copy.
    Object {
        /// The bytes.
        bytes: Vec<u8>,
        /// The tag, if the cache named one.
        tag: Option<String>,
    },
    /// The copy that the client has cached is current: the cache named its tag.
    Unchanged,
}

/// A final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Served.
    Served(Content),
    /// Rejected: a retry is harmless.
    Rejected {
        /// How long the client best waits before a retry.
        retry_after_us: Option<Micros>,
    },
    /// Failed.
    Failed,
}

impl Answer {
    /// Its name in the log.
    pub fn name(&self) -> &'static str {
        match self {
            Answer::Served(_) => "served",
            Answer::Rejected { .. } => "rejected",
            Answer::Failed => "failed",
        }
    }
}
