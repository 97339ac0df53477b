//! Spans of time.

use crate::time::Micros;

/// A time in which a request was in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// Its start.
    pub from: Micros,
    /// Its end.
    pub until: Micros,
}
