//! What the core asks of the loop around it.

use super::{Answer, AttemptId, Client, Ticket};
use linnetknot::{Micros, ServerId};

/// What the core wants to be woken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wake {
    /// The client of a request gives up.
    Request(Ticket),
    /// The time of an attempt is over.
    Attempt(AttemptId),
    /// The module's timer with this tag.
    Router(u64),
}

/// What the core wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send an attempt; `sending` tells how.
    Send(AttemptId),
    /// Give an attempt up and report it ended once its box can no longer take it for one that is out.
    GiveUp(AttemptId, ServerId),
    /// Give a client its final answer.
    Answer(Client, Answer),
    /// Wake the core.
    Wake(Micros, Wake),
    /// Ask a box for its load.
    Probe(ServerId),
    /// A box drains or is gone: what is not written for it, or for a fill from it, must not be any more.
    Withdraw(ServerId),
    /// The origin is late: others should know that this share of the requests may have it asked here.
    Found(f64),
}
