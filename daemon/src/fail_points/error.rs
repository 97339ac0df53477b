//! Errors in the environment variable that sets fail points.

use super::{CLOCK, VARIABLE};
use std::num::ParseIntError;

/// An error in the environment variable that sets fail points.
#[derive(Debug, thiserror::Error)]
pub enum ArmError {
    /// The offset of the wall clock is not a number.
    #[error("{VARIABLE}: '{CLOCK}={offset}': {source}")]
    ClockOffset {
        /// The offset in the variable.
        offset: String,
        /// The error of parsing the offset.
        source: ParseIntError,
    },
    /// There is no fail point with this name.
    #[error("{VARIABLE}: there is no point '{0}'")]
    UnknownPoint(String),
    /// The action of a point is unknown.
    #[error("{VARIABLE}: '{0}' is none of NAME=die, NAME=stall, NAME=fail and NAME=ERRNO")]
    UnknownAction(String),
    /// The name or the plan of a system call is invalid.
    #[error("{VARIABLE}: {part}: {reason}")]
    SystemCall {
        /// The part of the variable at fault.
        part: String,
        /// Why the value was rejected.
        reason: String,
    },
    /// The crate `fail` rejected an action.
    #[error("{VARIABLE}: {0}")]
    Action(String),
    /// Failures of system calls have already been set for the process.
    #[error("{0}")]
    AlreadyArmed(String),
}
