//! Why fail points can't be armed.

use super::{CLOCK, VARIABLE};
use std::num::ParseIntError;

/// A fault in the environment variable that arms the fail points.
#[derive(Debug, thiserror::Error)]
pub enum ArmError {
    /// The offset of the wall clock is not a number.
    #[error("{VARIABLE}: '{CLOCK}={offset}': {source}")]
    ClockOffset {
        /// The offset, as the variable has it.
        offset: String,
        /// Why it can't be read.
        source: ParseIntError,
    },
    /// No point has this name.
    #[error("{VARIABLE}: there is no point '{0}'")]
    UnknownPoint(String),
    /// A point can't be armed in this way.
    #[error("{VARIABLE}: '{0}' is none of NAME=die, NAME=stall, NAME=fail and NAME=ERRNO")]
    UnknownAction(String),
    /// A system call can't be armed in this way.
    #[error("{VARIABLE}: {part}: {reason}")]
    SystemCall {
        /// The part of the variable at fault.
        part: String,
        /// What is wrong with it.
        reason: String,
    },
    /// The crate `fail` does not accept an action.
    #[error("{VARIABLE}: {0}")]
    Action(String),
    /// The process is armed already.
    #[error("{0}")]
    AlreadyArmed(String),
}
