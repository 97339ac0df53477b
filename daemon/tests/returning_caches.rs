//! Slow start of a pop cache that operators put back into service. They restart it while it is offline, and the event bus
//! may report the restart late.

mod cold_cache;
mod test_proxy;
mod upgrade_site;

use cold_cache::{assert_slow_start, slow_start, SLOW_START_S};
use linnetknot_harness::clients::{call, poll_until};
use linnetknot_harness::fakes::cache::FakeCache;
use linnetknot_harness::fakes::event_bus::{entry, Bus};
use linnetknot_harness::unix_ms;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::time::Duration;
use test_proxy::{object_id, send_and_receive, TestProxy};
use upgrade_site::{request_status, send_sigterm, Site};

fn post(admin: SocketAddr, target: &str) {
    assert_eq!(call(admin, "POST", target, "").unwrap().status, 200);
}

/// Takes the first cache out of service and puts it back.
fn return_first_cache(admin: SocketAddr) {
    post(admin, "/control/pop-caches/s-0a/offline");
    post(admin, "/control/pop-caches/s-0a/online");
}

/// Reports the first cache again as it was listed before.
fn repeat_entry(bus: &Bus, cache: &FakeCache) {
    bus.list(false, vec![entry(cache, "here", "box", "ready")]);
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("linnetknot-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn proxy_with_admin(folder: PathBuf, change: impl Fn(&mut Value)) -> TestProxy {
    TestProxy::with(&["s-0a", "s-0b"], |config| {
        config["ops"] = json!("127.0.0.1:0");
        config["ops_folder"] = json!(folder);
        change(config);
    })
}

/// Guards against a returning cache that gets its full share of the requests, because the list still has its old start
/// time (review, case 10).
#[test]
fn a_cache_that_operators_put_back_into_service_gets_a_slow_start() {
    let proxy = proxy_with_admin(folder("returning"), slow_start);
    let mut web = proxy.web();
    return_first_cache(proxy.admin.unwrap());
    repeat_entry(&proxy.bus, &proxy.caches[0]);
    assert_slow_start(&proxy.caches[0], |n| {
        send_and_receive(&mut web, "photo", &object_id(n));
    });
    proxy.stop();
}

/// Guards against a slow start that ends as soon as the bus reports a start of the cache before its return.
#[test]
fn a_late_report_of_an_earlier_start_does_not_end_the_slow_start() {
    let proxy = proxy_with_admin(folder("late-start"), slow_start);
    let mut web = proxy.web();
    return_first_cache(proxy.admin.unwrap());
    // The date of a purge tells the proxy the time of the bus, by which the start is long past.
    let purge = json!({"ban": {"url": object_id(9_999), "ts": unix_ms()}});
    proxy.bus.push(purge);
    let mut earlier = entry(&proxy.caches[0], "here", "box", "ready");
    earlier["boot_ms"] = json!(unix_ms() - 1_000 * SLOW_START_S as u64);
    // The drain of the second cache takes effect with the same event.
    let draining = entry(&proxy.caches[1], "here", "box", "draining");
    proxy.bus.list(false, vec![earlier, draining]);
    assert!(poll_until(Duration::from_secs(5), || {
        let before = proxy.caches[1].arrivals().len();
        (0..20).for_each(|n| drop(send_and_receive(&mut web, "photo", &object_id(n))));
        proxy.caches[1].arrivals().len() == before
    }));
    assert_slow_start(&proxy.caches[0], |n| {
        send_and_receive(&mut web, "photo", &object_id(n));
    });
    proxy.stop();
}

/// Guards against a new process of an upgrade that uses a cache at once which the old one has in slow start.
#[test]
fn the_new_process_of_an_upgrade_continues_a_slow_start() {
    let site = Site::with("returned-before", &Value::Null, slow_start);
    let (old, old_admin) = site.start();
    return_first_cache(old_admin);
    let (new, _) = site.start();
    end(old);
    assert_slow_start_at_site(&site);
    end(new);
}

/// Guards against a process of an upgrade that misses a ban and its end, as both came between two of its checks.
#[test]
fn a_return_during_an_upgrade_begins_a_slow_start_at_both_processes() {
    let site = Site::with("returned-during", &Value::Null, slow_start);
    let (old, old_admin) = site.start();
    let (new, _) = site.start();
    return_first_cache(old_admin);
    end(old);
    assert_slow_start_at_site(&site);
    end(new);
}

fn end(mut process: Child) {
    send_sigterm(&process);
    assert!(process.wait().unwrap().success());
}

fn assert_slow_start_at_site(site: &Site) {
    assert_slow_start(&site.caches[0], |n| {
        request_status(site.client_address, n);
    });
}

/// Guards against upgrades that repeat the slow start of each cache that was ever put back into service.
#[test]
fn the_stored_state_names_a_returned_cache_until_its_slow_start_is_over() {
    let folder = folder("slow-start-over");
    let proxy = proxy_with_admin(folder.clone(), |config| {
        config["settings"]["rules"]["ramp-time-us"] = json!(400_000);
        config["settings"]["rules"]["tip-after-us"] = json!(100_000);
    });
    return_first_cache(proxy.admin.unwrap());
    let in_slow_start = || {
        let state = linnetknot_admin_api::store::load(&folder).unwrap();
        state.in_slow_start.len()
    };
    assert_eq!(in_slow_start(), 1);
    assert!(poll_until(Duration::from_secs(5), || in_slow_start() == 0));
    proxy.stop();
}
