//! Client requests and their final answers, as all fronts exchange them with the core.

use crate::net::Key;
use linnetknot::Micros;

/// The key of an open request.
pub type RequestKey = Key;

/// The destination of an answer: a connection of a front, and the number of the request on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Client {
    /// The connection.
    pub connection: Key,
    /// The number of the request on the connection.
    pub stream: u32,
}

/// A client request, independent of the front that received it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClientRequest {
    /// The id, chosen by the client and passed on unchanged.
    pub id: String,
    /// The name of the class.
    pub class: String,
    /// The key of the object.
    pub object: String,
    /// The part of the object.
    pub part: u64,
    /// The group of the object, for purges of groups.
    pub group: u64,
    /// The size of the part in KB; 0 if unknown.
    pub size_kb: f64,
    /// The time that the client still waits.
    pub remaining_us: Micros,
    /// The idempotency key, if the client gave one.
    pub idempotency_key: Option<String>,
    /// The tag of the client's cached copy, if any.
    pub cached_tag: Option<String>,
    /// The body of a write.
    pub body: Vec<u8>,
}

/// The content that a cache served.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// The bytes of the part and the tag of the copy.
    Object {
        /// The bytes.
        bytes: Vec<u8>,
        /// The tag, if the cache sent one.
        tag: Option<String>,
    },
    /// The cache confirmed by its tag that the client's cached copy is current.
    Unchanged,
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The request was served.
    Served(Content),
    /// The request was rejected; a retry is safe.
    Rejected {
        /// The delay that the client should keep before a retry.
        retry_after_us: Option<Micros>,
    },
    /// The request failed.
    Failed,
}

impl Answer {
    /// Returns the name of the answer in the log.
    pub fn name(&self) -> &'static str {
        match self {
            Answer::Served(_) => "served",
            Answer::Rejected { .. } => "rejected",
            Answer::Failed => "failed",
        }
    }
}
