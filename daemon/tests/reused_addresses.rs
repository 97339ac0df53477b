//! A new process of a cache at the address of one that has gone. No attempt may be sent on a connection to the old one.

mod scripted_caches;
mod test_proxy;

use linnetknot_harness::clients::WebServer;
use linnetknot_harness::unix_ms;
use scripted_caches::{photo_request, take_fetches, ScriptedCache};
use serde_json::{json, Value};
use std::time::{Duration, Instant};
use test_proxy::{object_id, TestProxy};

/// The time within which the platform's news must apply.
const NEWS_TIMEOUT: Duration = Duration::from_secs(2);
/// The cache that takes the address.
const SUCCESSOR: &str = "s-0c";

/// Starts a daemon with one scripted cache.
fn start() -> (TestProxy, [ScriptedCache; 1]) {
    scripted_caches::start_with_scripted_caches(|_| {})
}

fn target(cache: &ScriptedCache, uid: &str, state: &str, boot_ms: u64) -> Value {
    json!({"uid": uid, "endpoint": cache.address(), "az": "here", "model": "box", "pod_group": 0,
        "state": state, "capacity_hint": 8, "boot_ms": boot_ms})
}

/// Serves a request, and returns the index of the connection on which it came, and the fields of the fetch.
fn serve(proxy: &TestProxy, caches: &mut [ScriptedCache; 1], number: u16) -> (usize, String) {
    let mut web = proxy.web();
    web.send(&photo_request(number, &object_id(u64::from(number)), 0))
        .unwrap();
    let start = Instant::now();
    loop {
        for (at, connection, id, fields) in take_fetches(caches) {
            let answer = format!("how=local,made={},etag=t1", unix_ms());
            caches[at].connections[connection].respond(&id, "200", &answer, "a copy");
            if id == format!("{:016x}", 0xabc_0000 + u64::from(number)) {
                assert_eq!(web.end().unwrap().1.unwrap().status, 200);
                return (connection, fields);
            }
        }
        assert!(start.elapsed() < Duration::from_secs(10), "no fetch");
        std::thread::yield_now();
    }
}

/// Starts a request that stays unanswered, so that its connection does not become idle.
fn keep_one_open(proxy: &TestProxy, caches: &mut [ScriptedCache; 1]) -> WebServer {
    let mut web = proxy.web();
    web.send(&photo_request(500, &object_id(500), 0)).unwrap();
    let start = Instant::now();
    while take_fetches(caches).is_empty() {
        assert!(start.elapsed() < Duration::from_secs(10), "no fetch");
        std::thread::yield_now();
    }
    web
}

/// Sends a list on the event bus, and waits until it is in force: a purge behind it is.
fn apply_news(proxy: &TestProxy, caches: &mut [ScriptedCache; 1], news: Vec<Value>) {
    let number = 1_000;
    proxy.bus.list(false, news);
    proxy
        .bus
        .push(json!({"ban": {"url": object_id(u64::from(number)), "ts": unix_ms()}}));
    let start = Instant::now();
    while !serve(proxy, caches, number).1.contains("maxage=") {
        assert!(start.elapsed() < NEWS_TIMEOUT, "the news is not in force");
    }
}

/// Asserts that after this news no request is sent on the connections of before.
fn assert_old_connections_unused(
    proxy: &TestProxy,
    caches: &mut [ScriptedCache; 1],
    news: Vec<Value>,
) {
    let old_connections = caches[0].connections.len();
    apply_news(proxy, caches, news);
    for number in 2_000..2_020 {
        let connection = serve(proxy, caches, number).0;
        assert!(
            connection >= old_connections,
            "{number}: a connection to the old process is used"
        );
    }
}

/// Guards against attempts for a new cache on connections to the one that had its address before.
#[test]
fn a_cache_at_the_address_of_one_that_has_gone_gets_its_own_connections() {
    for keeps_one_open in [false, true] {
        let (proxy, mut caches) = start();
        serve(&proxy, &mut caches, 1);
        let open = keeps_one_open.then(|| keep_one_open(&proxy, &mut caches));
        let news = vec![
            target(&caches[0], "s-0a", "gone", 0),
            target(&caches[0], SUCCESSOR, "ready", unix_ms()),
        ];
        assert_old_connections_unused(&proxy, &mut caches, news);
        drop(open);
        proxy.stop();
    }
}

/// Guards against attempts for a cache on connections to another one, which the list still names at its address.
#[test]
fn a_cache_at_the_address_of_a_listed_one_gets_its_own_connections() {
    for keeps_one_open in [false, true] {
        let (proxy, mut caches) = start();
        serve(&proxy, &mut caches, 1);
        let open = keeps_one_open.then(|| keep_one_open(&proxy, &mut caches));
        let news = vec![target(&caches[0], SUCCESSOR, "ready", unix_ms())];
        assert_old_connections_unused(&proxy, &mut caches, news);
        drop(open);
        proxy.stop();
    }
}

/// Guards against attempts on connections to a process that has gone, where the new one has its id and its address.
#[test]
fn a_restarted_cache_gets_no_attempts_on_connections_from_before_its_start() {
    for keeps_one_open in [false, true] {
        let (proxy, mut caches) = start();
        serve(&proxy, &mut caches, 1);
        let open = keeps_one_open.then(|| keep_one_open(&proxy, &mut caches));
        let news = vec![target(&caches[0], "s-0a", "ready", unix_ms())];
        assert_old_connections_unused(&proxy, &mut caches, news);
        drop(open);
        proxy.stop();
    }
}
