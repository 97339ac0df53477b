//! A corrupt date in an answer of a pop cache must not change what the proxy knows of the origin's clock.

mod cold_cache;
mod test_proxy;

use cold_cache::{assert_slow_start, slow_start};
use linnetknot_harness::clients::poll_until;
use linnetknot_harness::fakes::cache::{Behaviour, FakeCache};
use linnetknot_harness::fakes::event_bus::entry;
use linnetknot_harness::unix_ms;
use serde_json::json;
use std::time::Duration;
use test_proxy::{object_id, send_and_receive, TestProxy};

/// Errors of a date: one wrong digit, from the first to one of some seconds.
const ERRORS_MS: [u64; 4] = [8_000_000_000_000, 80_000_000, 3_000_000, 8_000];
/// The least age that a request can state: 0 means the fresh time of the class.
const LEAST_STATED_AGE_MS: u64 = 1;
const TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a proxy with two caches, lets it fill some objects, and one of them with a corrupt date.
fn proxy_after_corrupt_date(error_ms: u64) -> TestProxy {
    let proxy = TestProxy::with(&["s-0a", "s-0b"], slow_start);
    let mut web = proxy.web();
    let mut fill = |first: u64, count: u64| {
        for number in first..first + count {
            send_and_receive(&mut web, "photo", &object_id(number));
        }
    };
    let set_error = |made_ahead_ms| {
        let behaviour = Behaviour {
            made_ahead_ms,
            ..Behaviour::default()
        };
        let caches = proxy.caches.iter();
        caches.for_each(|cache| cache.set_behaviour(behaviour));
    };
    fill(0, 20);
    set_error(error_ms);
    fill(20, 1);
    set_error(0);
    fill(30, 10);
    proxy
}

/// Pushes a purge of an object, and returns the greatest age in milliseconds that a request for it allows since.
fn max_age_after_purge(proxy: &TestProxy, object: &str, purged_at: u64) -> u64 {
    let mut web = proxy.web();
    proxy
        .bus
        .push(json!({"ban": {"url": object, "ts": purged_at}}));
    let mut max_ms = None;
    assert!(poll_until(TIMEOUT, || {
        send_and_receive(&mut web, "photo", object);
        let arrivals = proxy.caches.iter().flat_map(FakeCache::arrivals);
        let fetches = arrivals.filter(|fetch| fetch.field("key") == Some(object));
        max_ms = fetches
            .filter_map(|fetch| fetch.field("maxage")?.parse().ok())
            .max();
        max_ms.is_some()
    }));
    max_ms.unwrap_or_default()
}

/// Guards against copies from before a purge that a cache may serve, as the request allows any age (review, case 8).
#[test]
fn a_corrupt_date_does_not_raise_the_ages_of_copies_that_requests_allow() {
    for error_ms in ERRORS_MS {
        let proxy = proxy_after_corrupt_date(error_ms);
        let purged_at = unix_ms();
        let max_ms = max_age_after_purge(&proxy, &object_id(1), purged_at);
        let elapsed_ms = unix_ms() - purged_at;
        assert!(
            max_ms <= elapsed_ms.max(LEAST_STATED_AGE_MS),
            "{error_ms} ms: {max_ms} ms allowed, {elapsed_ms} ms after the purge"
        );
        proxy.stop();
    }
}

/// Guards against a cache that starts later and counts as warm, as its start seems to be long past (review, case 8).
#[test]
fn a_corrupt_date_does_not_end_later_slow_starts() {
    for error_ms in ERRORS_MS {
        let proxy = proxy_after_corrupt_date(error_ms);
        let mut restarted = entry(&proxy.caches[0], "here", "box", "ready");
        restarted["boot_ms"] = json!(unix_ms());
        proxy.bus.list(false, vec![restarted]);
        // The entry is in force once the purge behind it is.
        max_age_after_purge(&proxy, &object_id(1), unix_ms());
        let mut web = proxy.web();
        assert_slow_start(&proxy.caches[0], |n| {
            send_and_receive(&mut web, "photo", &object_id(n));
        });
        proxy.stop();
    }
}
