//! Tests of the command line that need no daemon.

use std::process::Command;

fn run(arguments: &[&str]) -> (Option<i32>, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_linnetknot-rehearse"))
        .args(arguments)
        .output()
        .unwrap();
    (
        out.status.code(),
        String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr),
    )
}

#[test]
fn list_prints_every_shipped_scenario() {
    let (status, output) = run(&["list"]);
    assert_eq!(status, Some(0));
    for (name, _) in linnetknot_rehearse::shipped::SHIPPED {
        assert!(
            output.lines().any(|l| l.starts_with(name)),
            "{name}: {output}"
        );
    }
}

#[test]
fn unplayable_scenarios_exit_with_2_and_the_reason() {
    let (status, output) = run(&["run", "no-such-scenario.json"]);
    assert_eq!(status, Some(2));
    assert!(output.contains("no-such-scenario.json"), "{output}");
    let (status, output) = run(&["run", "calm", "--daemon", "/nonexistent/linnetknot"]);
    assert_eq!(status, Some(2));
    assert!(
        output.contains("could not be played with /nonexistent/linnetknot"),
        "{output}"
    );
}
