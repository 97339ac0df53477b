//! The figures of slow start that tests set, and the number of requests that a cold cache may get by them.
#![allow(dead_code, reason = "each test file uses only some of these items")]

use linnetknot_harness::fakes::cache::FakeCache;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

const COLD_SHARE: f64 = 0.01;
pub(crate) const SLOW_START_S: f64 = 600.0;
const OVERLOAD_MULTIPLE: f64 = 2.5;
const OVERLOAD_WINDOW: Duration = Duration::from_secs(3);
/// The capacity of a fake cache in the endpoint list.
const CAPACITY: f64 = 8.0;
/// The transfer time of a request of the harness: 40 KB at the 4,000 KB/s of its settings.
const TRANSFER_S: f64 = 0.01;
/// Enough requests to exceed the budget of a cold cache if half of them reach it.
const REQUESTS: u64 = 400;

/// Sets the figures of slow start in the settings of a configuration.
pub(crate) fn slow_start(config: &mut Value) {
    config["settings"]["rules"] = json!({"drain-grace-us": 1_000_000, "cold-share": COLD_SHARE,
        "ramp-time-us": SLOW_START_S * 1e6, "fall-multiple": OVERLOAD_MULTIPLE,
        "tip-after-us": OVERLOAD_WINDOW.as_micros() as u64});
}

/// Returns the number of requests in the first window after a start above which a cache is overloaded.
fn max_requests_of_cold_cache() -> f64 {
    let window_s = OVERLOAD_WINDOW.as_secs_f64();
    let share = COLD_SHARE + (1.0 - COLD_SHARE) * window_s / 2.0 / SLOW_START_S;
    let n = OVERLOAD_MULTIPLE * share * CAPACITY * window_s / TRANSFER_S;
    n + 2.0 * n.sqrt() + 2.0
}

/// Sends requests within a window, and asserts that a cache receives no more of them than a cold one may get.
pub(crate) fn assert_slow_start(cache: &FakeCache, send: impl FnMut(u64)) {
    let (before, start) = (cache.arrivals().len(), Instant::now());
    (0..REQUESTS)
        .take_while(|_| start.elapsed() < OVERLOAD_WINDOW)
        .for_each(send);
    let received = cache.arrivals().len() - before;
    let max = max_requests_of_cold_cache();
    assert!(
        received as f64 <= max,
        "{received} requests within {:?}, allowed {max:.0}",
        start.elapsed()
    );
}
