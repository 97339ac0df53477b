//! Time intervals.

use crate::time::Micros;

/// The interval during which a request was in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// Start.
    pub from: Micros,
    /// End.
    pub until: Micros,
}
