//! The inputs and outputs of a fake site: parameters, requests and answers.

use crate::fakes::cache_memory::Part;
use crate::record::Micros;

/// The kind of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeKind {
    /// An edge cache, which stores copies by rank and fills from other nodes.
    EdgeCache,
    /// A parent cache, which fetches missing parts from the origin, once for all waiting requests.
    ParentCache,
    /// The origin, which has all objects and executes writes.
    Origin,
}

/// The parameters of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeParameters {
    /// The maximum number of requests being served.
    pub slots: usize,
    /// The maximum number of requests waiting for a slot. Further requests are rejected.
    pub waiting: usize,
    /// The capacity of the node's outgoing link, in concurrent transfers at full rate.
    pub capacity: f64,
    /// The size of the node's memory for copies, in KB.
    pub memory_kb: u64,
    /// The maximum number of concurrent fills, or the number of workers of the origin.
    pub fills: usize,
    /// The time after which a fill without a first byte is aborted.
    pub fill_timeout_us: Micros,
}

/// The parameters that the nodes share.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteParameters {
    /// The capacity of the incoming link that all fills share, in transfers to a client at full rate.
    pub link: f64,
    /// The full rate of a fill, as a multiple of the full rate of a transfer to a client.
    pub fill_pace: f64,
    /// The round-trip time to a parent cache.
    pub near_us: Micros,
    /// The round-trip time to the origin.
    pub far_us: Micros,
    /// The origin's response time without queueing.
    pub origin_us: Micros,
    /// The time for which the origin drops writes that repeat an idempotency key.
    pub key_us: Micros,
    /// The maximum delay with which a cache applies a purge. The delays differ between caches.
    pub purge_takes_us: Micros,
    /// Whether a fill that is in progress during a purge may store a copy from before the purge.
    pub late_fills: bool,
}

/// A purged object (`Ok`) or group (`Err`).
pub type PurgeTarget = Result<u64, u64>;

/// A request as it arrives at a node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fetch {
    /// The number of the connection on which the request arrived.
    pub connection: u64,
    /// The index of the proxy that sent the request.
    pub proxy: usize,
    /// The id of the request in the wire protocol.
    pub id: String,
    /// The requested object and part.
    pub part: Part,
    /// The group of the object.
    pub group: u64,
    /// The time to transfer the answer at full rate.
    pub work_us: Micros,
    /// The size of the part, in KB.
    pub kb: u64,
    /// The uid of the node to fill a miss from, if a fill is allowed.
    pub source: Option<String>,
    /// The rank of the stored copy. 0 means that it is not stored.
    pub rank: u8,
    /// The maximum age of a usable copy.
    pub max_age_us: Micros,
    /// Whether the request may wait for a fill that another request started.
    pub join: bool,
    /// `Some` for a write, containing the idempotency key if the write has one.
    pub write: Option<Option<String>>,
}

/// An effect of the fake site that its server carries out on the connections.
#[derive(Clone, Debug, PartialEq)]
pub enum SiteOutput {
    /// An answer to a request.
    Answer {
        /// The connection on which the answer is sent.
        connection: u64,
        /// The id of the answered request.
        id: String,
        /// The status of the answer: `200`, `404` or `503`.
        status: &'static str,
        /// How the copy was obtained, as in the protocol's field `how`.
        how: &'static str,
        /// The time that the request waited for the source of its fill.
        waited_us: Micros,
        /// The time at which the copy was created.
        made: Micros,
        /// The object and part that the answer contains.
        part: Part,
    },
    /// A node has crashed, and all its connections are reset.
    Crashed(String),
}
