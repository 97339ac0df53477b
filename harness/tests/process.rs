//! Tests of the error that the harness returns for a daemon that does not start.

use linnetknot_harness::process::Process;
use serde_json::Value;
use std::path::Path;

#[test]
fn the_error_for_a_daemon_that_exits_at_start_names_its_exit_status() {
    let folder = std::env::temp_dir().join(format!("linnetknot-process-{}", std::process::id()));
    let started = Process::start(
        Path::new("/bin/false"),
        &folder,
        "ends",
        &Value::Null,
        &Value::Null,
    );
    let _ = std::fs::remove_dir_all(&folder);
    let error = started
        .err()
        .expect("the program does not listen")
        .to_string();
    assert!(
        error.contains("'ends' did not start: it exited (exit status: 1)"),
        "{error}"
    );
}
