//! Unix time in microseconds that never steps back.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A clock that starts at the Unix time of the system and is advanced by the monotonic clock. Deadlines and the ages of
/// purges are measured with it, so that steps of the system clock affect neither.
#[derive(Clone, Copy)]
pub struct Clock {
    unix_us: u64,
    start: Instant,
}

impl Clock {
    /// Creates a clock from the system clock.
    pub fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            unix_us: with_test_offset(unix.as_micros() as u64),
            start: Instant::now(),
        }
    }

    /// Returns the Unix time in microseconds.
    pub fn now(&self) -> u64 {
        self.unix_us + self.start.elapsed().as_micros() as u64
    }
}

/// Returns the time of the system unchanged. Only builds with the feature `points` support an offset.
#[cfg(not(feature = "points"))]
fn with_test_offset(unix_us: u64) -> u64 {
    unix_us
}

/// Returns the time of the system with the offset that a test has set.
#[cfg(feature = "points")]
fn with_test_offset(unix_us: u64) -> u64 {
    unix_us.saturating_add_signed(crate::fail_points::clock_offset_us())
}
