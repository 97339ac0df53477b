//! What a router asks its proxy to do.

use super::{Micros, RequestId, ServerId};

/// How a miss is filled, and what is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fill {
    /// Where from; the server itself: no fill.
    pub source: ServerId,
    /// Rank at which the copy is kept, 1 to 3; 0: not kept.
    pub keep: u8,
    /// Oldest copy that will do; none: the class's fresh time.
    pub max_age_us: Option<Micros>,
    /// Wait for a fill that is under way.
    pub join: bool,
    /// The source gives only what it holds.
    pub only_held: bool,
    /// The parent keeps no copy.
    pub bypass_parent: bool,
    /// Renew an ageing copy behind the answer.
    pub renew: bool,
}

/// What a router does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Try a server.
    Attempt {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// Time-out; none: until the client gives up.
        timeout_us: Option<Micros>,
        /// How a miss is filled; none: what the server holds only.
        fill: Option<Fill>,
    },
    /// Call an attempt off.
    Cancel {
        /// The request.
        request: RequestId,
        /// Which attempt, counted from 0.
        attempt: u32,
    },
    /// Final answer: refused; asking again does no harm.
    Refuse {
        /// The request.
        request: RequestId,
        /// When to come back; none: no advice.
        retry_after_us: Option<Micros>,
    },
    /// Final answer: failed.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Wake the router.
    Timer {
        /// When.
        at: Micros,
        /// Comes back with the event.
        tag: u64,
    },
    /// Ask a server for its load.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Follow the list of servers from now on.
    Watch,
    /// A line for the operators.
    Report {
        /// The line.
        line: String,
    },
}
