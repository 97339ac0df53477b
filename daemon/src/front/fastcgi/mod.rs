//! The FastCGI protocol, for clients that are web servers: converts FastCGI requests to requests for the core, and the
//! answers of the core to CGI responses.
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

/// An input from a client that the event loop has to process.
#[derive(Debug, PartialEq)]
pub enum Input {
    /// A request with its id on the connection. The event loop must call [`Session::admitted`] or queue a response.
    Request(u16, ClientRequest),
    /// The client has aborted this request.
    ClientGone(RequestKey),
    /// A health check with its id on the connection. The event loop must call [`Session::answer_status`].
    HealthCheck(u16),
}

impl Input {
    /// Whether the input requires a response with this id.
    fn is_for(&self, id: u16) -> bool {
        match self {
            Input::Request(own, _) | Input::HealthCheck(own) => *own == id,
            Input::ClientGone(_) => false,
        }
    }

    /// Whether the input requires a response.
    fn requires_response(&self) -> bool {
        !matches!(self, Input::ClientGone(_))
    }
}
