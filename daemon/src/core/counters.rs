//! Counters of requests and attempts.

/// Totals since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests admitted.
    pub admitted: u64,
    /// Attempts made.
    pub attempts: u64,
    /// Requests served.
    pub served: u64,
    /// Requests rejected: a retry is harmless.
    pub rejected: u64,
    /// Requests failed.
    pub failed: u64,
    /// Requests whose client went before the answer.
    pub abandoned: u64,
}
