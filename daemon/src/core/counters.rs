//! What the core counts for the operators.

/// Counts for the operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests taken.
    pub taken: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Served.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Left by their clients.
    pub left: u64,
}
