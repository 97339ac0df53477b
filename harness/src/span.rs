//! Time intervals in which requests were in flight.

use crate::time::Micros;

/// The interval during which a request was in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// Time at which the request was received.
    pub from: Micros,
    /// Time of the answer, the abort or the end of the connection; the time of the query while the request is open.
    pub until: Micros,
}
