//! The actions that a router returns for its proxy to carry out.

use super::{Micros, RequestId, ServerId};

/// How a cache fills a miss and stores the copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fill {
    /// Server to fill from; the target server itself if the miss must not be filled.
    pub source: ServerId,
    /// Rank at which the copy is cached, from 1 to 3; 0 if it is not cached.
    pub cache_rank: u8,
    /// Maximum age of a copy that the cache may serve; `None` if only the class's freshness lifetime limits it.
    pub max_age_us: Option<Micros>,
    /// The request may wait for a fill of the same object that is already in progress.
    pub coalesce: bool,
    /// The source may serve the fill only from its own copy.
    pub only_if_cached: bool,
    /// The parent does not cache a copy.
    pub bypass_parent: bool,
    /// The cache may serve an ageing copy and refresh it afterwards.
    pub background_refresh: bool,
}

/// An action for the proxy; actions are carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends an attempt to a server.
    Attempt {
        /// Id of the request.
        request: RequestId,
        /// Id of the server.
        server: ServerId,
        /// Timeout of the attempt; `None` for the client's deadline.
        timeout_us: Option<Micros>,
        /// How the server fills a miss; `None` if it does not.
        fill: Option<Fill>,
    },
    /// Cancels an attempt that is in flight.
    Cancel {
        /// Id of the request.
        request: RequestId,
        /// Number of the attempt within its request, starting at 0.
        attempt: u32,
    },
    /// Answers the client that its request was rejected and is safe to retry.
    Refuse {
        /// Id of the request.
        request: RequestId,
        /// Value of Retry-After; `None` if the header is not sent.
        retry_after_us: Option<Micros>,
    },
    /// Answers the client that its request failed; the request may have run.
    Fail {
        /// Id of the request.
        request: RequestId,
    },
    /// Schedules a timer event.
    Timer {
        /// Time at which the timer expires.
        at: Micros,
        /// Tag that the event returns.
        tag: u64,
    },
    /// Sends a health check to a server.
    Probe {
        /// Id of the server.
        server: ServerId,
    },
    /// Polls the server list, or subscribes to it where it is pushed.
    Watch,
    /// Writes a log line for the operators.
    Report {
        /// Text of the log line.
        line: String,
    },
}
