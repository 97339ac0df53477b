//! What a connection to a cache server reports to the core.

use crate::core::{AttemptId, AttemptResult};
use linnetknot::{Load, Micros, Outcome};

/// An event on a connection to a cache server.
#[derive(Debug, PartialEq)]
pub enum UpstreamEvent {
    /// The first byte of an attempt is written: from now on the attempt can't be recalled.
    AttemptStarted(AttemptId),
    /// An attempt has ended.
    AttemptFinished(AttemptId, AttemptResult),
    /// An answer carried the time at which the origin gave out its copy, in microseconds of Unix time.
    OriginDate(Micros),
    /// A health check has ended.
    HealthCheckFinished {
        /// Its outcome.
        outcome: Outcome,
        /// How long it took.
        took_us: Micros,
        /// The load report of the cache, if it gave one.
        load: Option<Load>,
    },
}
