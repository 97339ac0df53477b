//! A daemon that does not start.

use linnetknot_harness::process::Process;
use serde_json::Value;
use std::path::Path;

#[test]
fn a_daemon_that_ends_at_once_is_told_with_its_end() {
    let folder = std::env::temp_dir().join(format!("linnetknot-process-{}", std::process::id()));
    let started = Process::start(
        Path::new("/bin/false"),
        &folder,
        "ends",
        &Value::Null,
        &Value::Null,
    );
    let _ = std::fs::remove_dir_all(&folder);
    let said = started.err().expect("nothing listens").to_string();
    assert!(
        said.contains("'ends' did not start: it ended (exit status: 1)"),
        "{said}"
    );
}
