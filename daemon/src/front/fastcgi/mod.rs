//! The platform's front: FastCGI requests become the core's, and its answers CGI responses.
//!
//! * `request`: the parameters of a request;
//! * `session`, `records`: the state of a connection, and the records that come in on it;
//! * `response`, `output`: answers, and their way out.

mod output;
mod records;
mod request;
mod response;
mod session;

use crate::core::{ClientRequest, RequestKey};
pub use session::Session;

/// What a client wants.
#[derive(Debug, PartialEq)]
pub enum Input {
    /// A request under this id: [`Session::admitted`] or an answer must follow.
    Request(u16, ClientRequest),
    /// The client no longer waits for the answer to this request.
    ClientGone(RequestKey),
    /// A health check under this id: [`Session::answer_status`] must follow.
    HealthCheck(u16),
}

impl Input {
    /// Whether an answer under this id must follow.
    fn is_for(&self, id: u16) -> bool {
        match self {
            Input::Request(own, _) | Input::HealthCheck(own) => *own == id,
            Input::ClientGone(_) => false,
        }
    }

    /// Whether an answer must follow.
    fn wants_answer(&self) -> bool {
        !matches!(self, Input::ClientGone(_))
    }
}
