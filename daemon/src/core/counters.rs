//! Counters of requests and attempts.

/// Totals since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests admitted.
    pub admitted: u64,
    /// Attempts started.
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
