//! Tests a drain whose state is written to a slow disk, which blocks the event loop. Idle connections must still stay
//! open for the full period that follows the first failing readiness check.

mod test_proxy;

use linnetknot_harness::clients::call;
use serde_json::json;
use std::time::{Duration, Instant};
use test_proxy::{object_id, send_and_receive, TestProxy};

/// The duration of a sync of the slow disk. It exceeds the time from the start of a drain to the closing of idle
/// connections.
const SYNC_DELAY_MS: u64 = 700;

#[test]
fn after_a_slow_sync_idle_connections_are_still_closed_after_the_full_delay() {
    let folder = std::env::temp_dir().join(format!("linnetknot-slow-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let folder_name = folder.display().to_string();
    let proxy = TestProxy::with(&["s-0a"], move |config| {
        config["ops"] = json!("127.0.0.1:0");
        config["ops_folder"] = json!(folder_name);
    });
    let admin = proxy.admin.expect("an admin listener");
    let status = |method: &str, target: &str| call(admin, method, target, "").unwrap().status;
    while status("GET", "/control/ready") != 200 {}
    let (mut active, mut idle) = (proxy.web(), proxy.web());
    assert_eq!(
        send_and_receive(&mut active, "photo", &object_id(1)).status,
        200
    );
    assert_eq!(
        send_and_receive(&mut idle, "photo", &object_id(2)).status,
        200
    );
    fail::cfg("admin-kept", &format!("sleep({SYNC_DELAY_MS})")).unwrap();
    assert_eq!(status("POST", "/control/out-of-service"), 200);
    fail::remove("admin-kept");
    let drained_at = Instant::now();
    assert_eq!(status("GET", "/control/ready"), 503);
    assert_eq!(
        send_and_receive(&mut active, "photo", &object_id(3)).status,
        200,
        "connections stay open right after the first failing readiness check"
    );
    assert!(idle.end().is_err(), "the idle connection is closed");
    assert!(
        drained_at.elapsed() >= Duration::from_millis(300),
        "closed only {:?} after the first failing readiness check",
        drained_at.elapsed()
    );
    assert!(
        drained_at.elapsed() < Duration::from_secs(2),
        "closed after {:?}",
        drained_at.elapsed()
    );
    proxy.stop();
    let _ = std::fs::remove_dir_all(&folder);
}
