//! The events that a router handles: requests, ends of attempts, changes to the server list, purges, leases and timers.

use super::{ListMode, Load, Micros, RequestId, Server, ServerId};

/// A client's request, as the proxy passes it to the router.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// Name of its class.
    pub class: String,
    /// Name of its tenant, if it has one.
    pub tenant: Option<String>,
    /// The requested object.
    pub object: String,
    /// Number of the requested part of the object.
    pub part: u64,
    /// Purge group of the object.
    pub group: u64,
    /// Size of the requested part in KB; 0 if unknown.
    pub size_kb: f64,
    /// Remaining time until the client's deadline, in microseconds.
    pub remaining_us: Micros,
    /// The client marked the request as a retry.
    pub is_retry: bool,
}

/// Result of an attempt or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered successfully.
    Ok,
    /// The server answered with an error; the request may have run.
    Error,
    /// The server, or the source of its fill, rejected the request before it ran.
    Full,
    /// No answer arrived within the timeout; the request may have run or may still be running.
    Timeout,
    /// The connection was refused; the request did not run.
    ConnectFailed,
    /// No connection was established within the timeout, although none was refused. The request did not run, and the
    /// server's process may be running.
    Unreached,
    /// The connection was reset; the request may have run.
    Reset,
    /// The router cancelled the attempt; the request may have run.
    Cancelled,
    /// The attempt was not executed, for a reason that does not indicate whether its server is healthy.
    Moot,
    /// The cache has no usable copy and did not fill one.
    Miss,
}

impl Outcome {
    /// Returns whether the request may have run at the server.
    pub fn may_have_run(self) -> bool {
        !matches!(
            self,
            Outcome::Full
                | Outcome::ConnectFailed
                | Outcome::Unreached
                | Outcome::Moot
                | Outcome::Miss
        )
    }
}

/// How the answer was produced, or why a fill failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    /// The answer did not contain this detail.
    None,
    /// The server answered from its cache.
    Hit,
    /// A miss that was filled from the source's copy.
    Filled,
    /// A miss that was filled from the origin, directly or through the source.
    FilledByOrigin,
    /// A miss that waited for a fill already in progress and was answered from it.
    Joined,
    /// A cache hit on a stale copy.
    Stale,
    /// The source rejected the fill.
    SourceRefused,
    /// The source could not be reached, closed the connection or was too slow.
    SourceLost,
    /// The source has no copy and was asked not to fetch one.
    SourceLacks,
    /// The cache has reached its limit of concurrent fills.
    NoFillPlace,
    /// The parent's request to the origin failed.
    OriginFailed,
}

/// A budget shared by all routers of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Budget {
    /// Number of requests of all classes in flight at the origin.
    Origin,
    /// Fraction of the slow-start capacity of each cache in the router's zone.
    Caches,
    /// Fraction of the slow-start capacity of each parent.
    Parents,
}

/// A router's lease on a shared budget. A router without a lease uses an equal share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lease {
    /// The shared budget of which the router has leased a part.
    pub budget: Budget,
    /// Amount that may be used before `until`, including the reserved minimum.
    pub amount: f64,
    /// Expiry time of the lease; after it, `reserved` applies until another lease is received.
    pub until: Micros,
    /// Reserved minimum, which does not expire.
    pub reserved: f64,
}

/// An event for a router to handle.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A new server list or changes to it.
    List {
        /// Extent of the list.
        mode: ListMode,
        /// Entries of the list.
        servers: Vec<Server>,
    },
    /// A client's request, to which the router gives exactly one final answer.
    Request(Request),
    /// The server has started to stream its answer.
    StreamStarted {
        /// Id of the request.
        request: RequestId,
        /// Number of the attempt, counted from 0.
        attempt: u32,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Id of the request.
        request: RequestId,
        /// Number of the attempt, counted from 0.
        attempt: u32,
        /// Server to which the attempt was sent.
        server: ServerId,
        /// Outcome of the attempt.
        outcome: Outcome,
        /// Time from sending the attempt to its end.
        took_us: Micros,
        /// The client has received its final answer, so the request is closed.
        settled: bool,
        /// How the answer was produced.
        note: Note,
        /// Time to the first byte of the fill.
        first_byte_us: Micros,
        /// The server's load report.
        load: Option<Load>,
    },
    /// The client disconnected or cancelled its request; it needs no answer.
    ClientLeft {
        /// Id of the request.
        request: RequestId,
    },
    /// A timer expired.
    Timer {
        /// Tag given in the timer action.
        tag: u64,
    },
    /// A health check ended.
    ProbeEnded {
        /// Id of the server.
        server: ServerId,
        /// Outcome of the health check.
        outcome: Outcome,
        /// Time from sending the health check to its end.
        took_us: Micros,
        /// The server's load report.
        load: Option<Load>,
    },
    /// Other routers measured a slow origin. The event can only lower this router's share of requests that may reach
    /// the origin.
    OriginShareLimit {
        /// Maximum share of the requests that may reach the origin.
        origin_share: f64,
        /// Time for which the limit applies, from the time of the event.
        valid_for_us: Micros,
    },
    /// A lease on a shared budget, which takes effect immediately. If more requests are in flight than it allows, none
    /// are cancelled, and no new ones are sent until enough of them have ended.
    Lease(Lease),
    /// An object, or a whole group if no object is given, was purged.
    Purged {
        /// The purged object; `None` if the whole group was purged.
        object: Option<String>,
        /// Group of the object, or the purged group.
        group: u64,
        /// Time since the purge.
        age_us: Micros,
    },
}
