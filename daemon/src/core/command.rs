//! Commands of the core to the event loop.

use super::{Answer, AttemptId, Client, RequestKey};
use linnetknot::{Micros, ServerId};

/// Why the core requested to be called at a given time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wake {
    /// The deadline for the final answer to a request has been reached.
    Request(RequestKey),
    /// The timeout of an attempt has been reached.
    Attempt(AttemptId),
    /// The timer of the decision module with this tag has fired.
    Router(u64),
}

/// A command that the event loop executes for the core.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send an attempt; [`super::Core::dispatch`] returns its request and target.
    Send(AttemptId),
    /// Cancel an attempt, and report its end once the cache can no longer regard the attempt as outstanding.
    Cancel(AttemptId, ServerId),
    /// Send a client its final answer.
    Answer(Client, Answer),
    /// Wake the core at this time.
    Wake(Micros, Wake),
    /// Check the health of a cache, which responds with its load report.
    Probe(ServerId),
    /// A cache is draining, gone or replaced by a new process: withdraw every attempt that is to be sent to it, or
    /// filled from it, and has not been written yet.
    Withdraw(ServerId),
    /// The origin is slow: send the other proxies the fraction of requests (0 to 1) that may still go to the origin.
    ShareOriginHealth(f64),
    /// Tell the other process of this proxy whether a request that must not run twice may have run.
    ShareExecution {
        /// The id of the request.
        id: u64,
        /// Whether the request may have run. If not, an earlier report is withdrawn.
        may_have_run: bool,
    },
}
