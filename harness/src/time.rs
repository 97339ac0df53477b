//! Unix time in the units of the daemon's messages.

use std::time::{SystemTime, UNIX_EPOCH};

/// Unix time or a duration, in microseconds.
pub type Micros = u64;

/// Returns the current Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// Returns the current Unix time in microseconds.
pub fn unix_us() -> Micros {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as u64
}
