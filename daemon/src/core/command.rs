//! What the core asks of the loop around it.

use super::{Answer, AttemptId, Client, RequestKey};
use linnetknot::{Micros, ServerId};

/// What the core is woken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wake {
    /// The deadline of a request.
    Request(RequestKey),
    /// The timeout of an attempt.
    Attempt(AttemptId),
    /// The decision module's timer with this tag.
    Router(u64),
}

/// What the loop is to do for the core.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send an attempt; [`super::Core::dispatch`] tells where.
    Send(AttemptId),
    /// Give an attempt up, and report its end once its cache can no longer take it for one that is out.
    Cancel(AttemptId, ServerId),
    /// Give a client its final answer.
    Answer(Client, Answer),
    /// Wake the core at this time.
    Wake(Micros, Wake),
    /// Check the health of a cache, which answers with its load report.
    Probe(ServerId),
    /// A cache is draining or gone: take back every attempt at it, or with a fill from it, that is not written yet.
    Withdraw(ServerId),
    /// The origin is slow here: tell the other proxies which share of the requests may still go to it.
    ShareOriginHealth(f64),
}
