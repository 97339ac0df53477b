//! The events that a router takes in: requests, the ends of attempts, changes of the list, purges, leases and timers.

use super::{ListMode, Load, Micros, RequestId, Server, ServerId};

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Name of its class.
    pub class: String,
    /// Name of its tenant, if it has one.
    pub tenant: Option<String>,
    /// The requested object.
    pub object: String,
    /// The requested part of it.
    pub part: u64,
    /// The object's group, by which purges may name it.
    pub group: u64,
    /// Size of this part in KB; 0: unknown.
    pub size_kb: f64,
    /// Time until the client gives up.
    pub remaining_us: Micros,
    /// The client marked it as a retry.
    pub is_retry: bool,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was served.
    Ok,
    /// The server answered with an error; it may have run.
    Error,
    /// The server rejected it before it ran, or the source of its fill did.
    Full,
    /// No answer in time; it may have run or still run.
    Timeout,
    /// The connection was refused; it never ran.
    ConnectFailed,
    /// No connection came up in time, though none was refused: it never ran, and the server's process may be up.
    Unreached,
    /// The connection broke; it may have run.
    Reset,
    /// The router cancelled it; it may have run.
    Cancelled,
    /// It was never sent.
    Moot,
    /// The cache has no usable copy, and none was filled.
    Miss,
}

/// How an answer was made, or why a fill failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    /// Unknown.
    None,
    /// A hit.
    Hit,
    /// A miss, filled from the source's copy.
    Filled,
    /// A miss, filled from the origin, directly or by way of the source.
    FilledByOrigin,
    /// A miss that waited for a fill under way.
    Joined,
    /// A hit on a stale copy.
    Stale,
    /// The source rejected the fill.
    SourceRefused,
    /// The source was not reached, broke the connection or was too slow.
    SourceLost,
    /// The source has no copy and was not to fetch one.
    SourceLacks,
    /// The cache has as many fills in flight as it can.
    NoFillPlace,
    /// The origin failed behind the parent.
    OriginFailed,
}

/// A budget that all routers of a fleet share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Budget {
    /// Requests in flight at the origin, of all classes: a number.
    Origin,
    /// What each cache of the router's zone bears while it warms up: a share of it.
    Caches,
    /// What each parent bears while it warms up: a share of it.
    Parents,
}

/// A router's lease of a budget. Without one, the router takes an equal share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lease {
    /// The leased budget.
    pub budget: Budget,
    /// What may be spent before `until`, the reserved minimum included.
    pub amount: f64,
    /// When the lease expires; from then on it is worth `reserved`, until another one is received.
    pub until: Micros,
    /// The reserved minimum, which never expires.
    pub reserved: f64,
}

/// An event that a router takes in.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The list of servers, or changes to it.
    List {
        /// How much of the list.
        mode: ListMode,
        /// The entries.
        servers: Vec<Server>,
    },
    /// A client's request; the router owes it one final answer.
    Request(Request),
    /// A streamed answer has begun.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// Number of the attempt, counted from 0.
        attempt: u32,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// Number of the attempt, counted from 0.
        attempt: u32,
        /// The server it was sent to.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        took_us: Micros,
        /// The request has its final answer.
        settled: bool,
        /// How the answer was made.
        note: Note,
        /// Time to the first byte of the fill.
        first_byte_us: Micros,
        /// The server's load report.
        load: Option<Load>,
    },
    /// The client closed or cancelled: no answer is owed any more.
    ClientLeft {
        /// The request.
        request: RequestId,
    },
    /// A timer expired.
    Timer {
        /// The tag of the action.
        tag: u64,
    },
    /// A health check ended.
    ProbeEnded {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        took_us: Micros,
        /// The server's load report.
        load: Option<Load>,
    },
    /// Other routers find the origin late. That can only lower this router's share of requests that may reach it.
    OriginShareLimit {
        /// Greatest share of the requests that may reach the origin.
        origin_share: f64,
        /// How long that limit holds.
        valid_for_us: Micros,
    },
    /// A lease of a shared budget. It holds at once, also for what is in flight: nothing is cancelled for it, and
    /// nothing more is sent until enough of that has ended.
    Lease(Lease),
    /// An object, or without an object a whole group, was purged.
    Purged {
        /// The purged object.
        object: Option<String>,
        /// The object's group, or the purged one.
        group: u64,
        /// Time since the purge.
        age_us: Micros,
    },
}
