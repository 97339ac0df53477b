//! Events that a connection to a cache server reports to the core.

use crate::core::{AttemptId, AttemptResult};
use linnetknot::{Load, Micros, Outcome};

/// An event on a connection to a cache server.
#[derive(Debug, PartialEq)]
pub enum UpstreamEvent {
    /// The first byte of an attempt has been written, so that the attempt can no longer be withdrawn.
    AttemptStarted(AttemptId),
    /// An attempt has ended with this result.
    AttemptFinished(AttemptId, AttemptResult),
    /// A response carried the time at which the origin served its copy, in microseconds of Unix time.
    OriginDate(Micros),
    /// A health check was answered, or its connection was lost.
    HealthCheckFinished {
        /// Whether and how the health check succeeded or failed.
        outcome: Outcome,
        /// The time from sending the health check until its end.
        took_us: Micros,
        /// The load report of the cache, if the response carried one.
        load: Option<Load>,
    },
}
