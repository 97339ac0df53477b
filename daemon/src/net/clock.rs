//! Unix time in microseconds that never steps back.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The system's Unix clock at the start, carried on by its monotonic clock: deadlines and the ages of purges
/// are counted on one scale, and a step of the system's clock can't move either.
#[derive(Clone, Copy)]
pub struct Clock {
    unix_us: u64,
    start: Instant,
}

impl Clock {
    /// A clock set by the system's.
    pub fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            unix_us: with_test_offset(unix.as_micros() as u64),
            start: Instant::now(),
        }
    }

    /// Unix time in microseconds.
    pub fn now(&self) -> u64 {
        self.unix_us + self.start.elapsed().as_micros() as u64
    }
}

/// The system's time as it is, in every build but those of tests.
#[cfg(not(feature = "points"))]
fn with_test_offset(unix_us: u64) -> u64 {
    unix_us
}

/// The system's time as a test wants it to be off.
#[cfg(feature = "points")]
fn with_test_offset(unix_us: u64) -> u64 {
    unix_us.saturating_add_signed(crate::fail_points::clock_offset_us())
}
