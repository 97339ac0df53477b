//! The front of the platform: converts FastCGI requests to those of the core, and its answers to CGI responses.
//!
//! * `request`: the parameters of a request;
//! * `session`, `records`: the state of a connection, and its received records;
//! * `response`, `output`: the responses and their queue.

mod output;
mod records;
mod request;
mod response;
mod session;

use crate::core::{ClientRequest, RequestKey};
pub use session::Session;

/// An input from a client.
#[derive(Debug, PartialEq)]
pub enum Input {
    /// A request with this id, for which [`Session::admitted`] or a response must follow.
    Request(u16, ClientRequest),
    /// The client has aborted this request.
    ClientGone(RequestKey),
    /// A health check with this id, for which [`Session::answer_status`] must follow.
    HealthCheck(u16),
}

impl Input {
    /// Whether a response with this id must follow.
    fn is_for(&self, id: u16) -> bool {
        match self {
            Input::Request(own, _) | Input::HealthCheck(own) => *own == id,
            Input::ClientGone(_) => false,
        }
    }

    /// Whether a response must follow.
    fn requires_response(&self) -> bool {
        !matches!(self, Input::ClientGone(_))
    }
}
