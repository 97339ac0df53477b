//! Client requests and their final answers, as all fronts exchange them with the core.

use crate::net::Key;
use linnetknot::Micros;

/// The key of an open request.
pub type RequestKey = Key;

/// The destination of an answer: a client connection, and the number of the request on that connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Client {
    /// The connection.
    pub connection: Key,
    /// The number of the request on the connection.
    pub stream: u32,
}

/// A client request, in a form independent of the protocol that it was received with.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClientRequest {
    /// The id, chosen by the client and passed on unchanged.
    pub id: String,
    /// The name of the class.
    pub class: String,
    /// The key of the object.
    pub object: String,
    /// The number of the requested part of the object.
    pub part: u64,
    /// The group of the object, for purges of groups.
    pub group: u64,
    /// The size of the part in KB; 0 if unknown.
    pub size_kb: f64,
    /// The remaining time until the client stops waiting for an answer.
    pub remaining_us: Micros,
    /// The idempotency key, if the client gave one.
    pub idempotency_key: Option<String>,
    /// The entity tag of the copy that the client has cached, if any.
    pub cached_tag: Option<String>,
    /// The body of a write request; empty for reads.
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
    /// The copy that the client has cached is current, as the tag in the response of the cache confirms.
    Unchanged,
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The request was served.
    Served(Content),
    /// The request was rejected; a retry is safe.
    Rejected {
        /// The minimum delay before the client should retry, if known.
        retry_after_us: Option<Micros>,
    },
    /// The request failed. It may have been executed, so a retry is not known to be safe.
    Failed,
}

/// The reason for which a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdmissionError {
    /// There is no room for the request, or it is incomplete. Nothing has run, so a retry is safe.
    #[error("the request is rejected")]
    Rejected,
    /// A request with the same id is open or has ended. It is not idempotent and may have run.
    #[error("a request with the same id may have run")]
    MayHaveRun,
}

impl AdmissionError {
    /// Returns the final answer to the request. `retry_after_us` is the delay before a retry, where that is safe.
    pub fn answer(self, retry_after_us: Option<Micros>) -> Answer {
        match self {
            AdmissionError::Rejected => Answer::Rejected { retry_after_us },
            AdmissionError::MayHaveRun => Answer::Failed,
        }
    }
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
