//! Counters of requests and attempts.

/// Totals since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// The number of requests admitted to the request table.
    pub admitted: u64,
    /// The number of attempts started, including repeated attempts of the same request.
    pub attempts: u64,
    /// Requests answered with [`super::Answer::Served`].
    pub served: u64,
    /// Requests rejected before any effect, so that clients can retry them safely.
    pub rejected: u64,
    /// Requests answered with [`super::Answer::Failed`].
    pub failed: u64,
    /// Requests whose client disconnected before the answer.
    pub abandoned: u64,
}
