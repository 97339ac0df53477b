//! What a router is told: requests, the ends of attempts, changes of the list, purges, leases and timers.

use super::{ListMode, Load, Micros, RequestId, Server, ServerId};

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Name of its class.
    pub class: String,
    /// Its tenant.
    pub tenant: Option<String>,
    /// The object asked for.
    pub object: String,
    /// Which part of it.
    pub part: u64,
    /// The object's group, as purges may name it.
    pub group: u64,
    /// Size of this part in KB; 0: not told.
    pub size_kb: f64,
    /// Time until the client gives up.
    pub remaining_us: Micros,
    /// The client marked it as a repeat.
    pub repeated: bool,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The server failed it; it may have run.
    Error,
    /// Turned away unseen, or the source of its fill refused.
    Full,
    /// No answer in time; it may have run or still run.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// No connection came up in time, and none was refused: it never ran, and its process may be there all the same.
    Unreached,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
    /// No copy that will do, and none was filled.
    Miss,
}

/// How an answer was made, or why a fill failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    /// Not told.
    None,
    /// Found in the cache.
    Hit,
    /// Filled from the source's copy.
    Filled,
    /// Filled by way of the origin.
    FilledByOrigin,
    /// Joined a fill under way.
    Joined,
    /// A copy past its fresh time.
    Stale,
    /// The source refused.
    SourceRefused,
    /// The source was not reached, broke off or was too slow.
    SourceLost,
    /// The source lacks the object.
    SourceLacks,
    /// All places for fills are taken in the cache.
    NoFillPlace,
    /// The origin failed behind the parent.
    OriginFailed,
}

/// What all routers of a fleet spend from together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Budget {
    /// Requests that the origin holds at a time, for whichever class: a number.
    Origin,
    /// What the cold caches of this router's zone bear, each of them: a share.
    Caches,
    /// What the cold parents bear, each of them: a share.
    Parents,
}

/// A router's lease of a budget, its reserved minimum included. It goes before the router's own guess of what the others spend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lease {
    /// Of which.
    pub budget: Budget,
    /// How much may be spent until `until`.
    pub amount: f64,
    /// The time from which on the lease is `reserved`, unless another one was received.
    pub until: Micros,
    /// How much may be spent for ever.
    pub reserved: f64,
}

/// What a router hears.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The list of servers, or changes to it.
    List {
        /// How much of it.
        mode: ListMode,
        /// The entries.
        servers: Vec<Server>,
    },
    /// A client's request; the router owes it one final answer.
    Request(Request),
    /// A streamed answer has begun.
    Begun {
        /// The request.
        request: RequestId,
        /// Which attempt.
        attempt: u32,
    },
    /// An attempt ended.
    Outcome {
        /// The request.
        request: RequestId,
        /// Which attempt.
        attempt: u32,
        /// The server tried.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        took_us: Micros,
        /// The request has its final answer.
        settled: bool,
        /// How the answer was made.
        note: Note,
        /// The fill's wait for its first byte.
        waited_us: Micros,
        /// The server's report.
        load: Option<Load>,
    },
    /// The client left: no answer is owed any more.
    Left {
        /// The request.
        request: RequestId,
    },
    /// A timer came due.
    Timer {
        /// As given in the action.
        tag: u64,
    },
    /// A probe ended.
    Probed {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        took_us: Micros,
        /// The server's report.
        load: Option<Load>,
    },
    /// Other routers find the origin late: makes this one more cautious while it counts, never less.
    Heard {
        /// Share of the requests that may have the origin asked at most, by what they found.
        origin_share: f64,
        /// How long that counts.
        for_us: Micros,
    },
    /// What this router may spend of a budget of all. It holds from now on, also for what is under way: nothing is
    /// called off for it, and nothing more is sent until enough of that has ended.
    Lease(Lease),
    /// An object, or with no object a whole group, was purged.
    Purged {
        /// The object.
        object: Option<String>,
        /// Its group.
        group: u64,
        /// Time since the purge.
        age_us: Micros,
    },
}
