//! The actions that a router asks its proxy to carry out.

use super::{Micros, RequestId, ServerId};

/// How a cache fills a miss, and how it keeps the copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fill {
    /// The server to fill from; the target itself: no fill.
    pub source: ServerId,
    /// Rank at which the copy is cached, 1 to 3; 0: it is not cached.
    pub cache_rank: u8,
    /// Greatest age of a usable copy; `None`: the class's fresh time.
    pub max_age_us: Option<Micros>,
    /// A fill under way may be waited for.
    pub coalesce: bool,
    /// The source must not fetch what it does not hold.
    pub only_if_cached: bool,
    /// The parent is not to cache a copy.
    pub bypass_parent: bool,
    /// The cache may refresh an ageing copy after it has answered with it.
    pub background_refresh: bool,
}

/// An action to be carried out, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt to a server.
    Attempt {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// Time-out of the attempt; `None`: the client's deadline.
        timeout_us: Option<Micros>,
        /// How a miss is filled; `None`: it is not.
        fill: Option<Fill>,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt, counted from 0.
        attempt: u32,
    },
    /// Final answer: rejected; a retry by the client does no harm.
    Refuse {
        /// The request.
        request: RequestId,
        /// Retry-After; `None`: none is sent.
        retry_after_us: Option<Micros>,
    },
    /// Final answer: failed; the request may have run.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Send a timer event at a time.
    Timer {
        /// When the timer expires.
        at: Micros,
        /// The tag of the event.
        tag: u64,
    },
    /// Send a health check to a server.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Poll the list of servers, or follow it from now on.
    Watch,
    /// Write a log line for the operators.
    Report {
        /// The line.
        line: String,
    },
}
