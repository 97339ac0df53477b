//! A drain whose state takes long to reach the disk: the loop stands still meanwhile, and clients' connections still get
//! the whole time in which the front hears the first no.

mod rig;

use linnetknot_harness::clients::call;
use rig::{object, one, Rig};
use serde_json::json;
use std::time::{Duration, Instant};

/// Longer than the time from the start of a drain to its first sweep.
const SYNC_MS: u64 = 700;

#[test]
fn idle_connections_are_swept_no_sooner_for_a_folder_that_was_slow() {
    let folder = std::env::temp_dir().join(format!("linnetknot-slow-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let shown = folder.display().to_string();
    let rig = Rig::with(&["s-0a"], move |c| {
        c["ops"] = json!("127.0.0.1:0");
        c["ops_folder"] = json!(shown);
    });
    let admin = rig.admin.expect("an admin listener");
    let status = |method: &str, target: &str| call(admin, method, target, "").unwrap().status;
    while status("GET", "/control/ready") != 200 {}
    let (mut kept, mut idle) = (rig.web(), rig.web());
    assert_eq!(one(&mut kept, "photo", &object(1)).status, 200);
    assert_eq!(one(&mut idle, "photo", &object(2)).status, 200);
    fail::cfg("admin-kept", &format!("sleep({SYNC_MS})")).unwrap();
    assert_eq!(status("POST", "/control/out-of-service"), 200);
    fail::remove("admin-kept");
    let answered = Instant::now();
    assert_eq!(status("GET", "/control/ready"), 503);
    assert_eq!(
        one(&mut kept, "photo", &object(3)).status,
        200,
        "the front has heard the first no only now"
    );
    assert!(idle.end().is_err(), "the idle connection is closed");
    assert!(
        answered.elapsed() >= Duration::from_millis(300),
        "swept {:?} after the first no could be heard",
        answered.elapsed()
    );
    assert!(
        answered.elapsed() < Duration::from_secs(2),
        "closed after {:?}",
        answered.elapsed()
    );
    rig.stop();
    let _ = std::fs::remove_dir_all(&folder);
}
