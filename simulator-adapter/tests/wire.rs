//! Runs the adapter as a process with batches that cover each event and action, and with invalid input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_linnetknot-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child
        .stdin
        .take()
        .expect("standard input is piped")
        .write_all(input.as_bytes())
        .unwrap_or(());
    child.wait_with_output().expect("the adapter ends")
}

const SETUP: &str = r#"{"categories":[{"name":"film","aim-us":400000,"deadline-us":4000000,"repeat":"pure","extra":1},
 {"name":"post","aim-us":400000,"deadline-us":4000000,"repeat":"side_effect"}],
 "family-info":{"in-pieces":[true,false],"never-kept":[false,true],"good-for-us":[0,0],"may-pass-by":true,
 "can-join":true,"mid-kind":1,"source-kind":2,"seats-by-zone":[0,1],"attached-to":[0,0],
 "one-flow-kb-per-s":5000,"zone-link-kb-per-s":[0,90000],"purge-takes-us":6000000,"note-level":"all",
 "parent-cold-from":0.1,"upper-cold-us":9000000,"upper-fall-multiple":2,"new-key":[1,2]},
 "kinds":["box","mid","root"],"localities":["hub","here"],"zone":"here","customers":null,"weights":"nominal",
 "limits":{"try-limit":3,"cancel":true,"retry-after":true,"max-retry-after-us":900000},
 "rules":{"cold-share":0.2,"ramp-time-us":9000000,"fall-multiple":2,"tip-after-us":1000000},
 "telemetry":{"source":"inline","fields":["cpu_share"]}}"#;

const LIST: &str = r#"{"event_type":"PeersKnown","i":0,"mode":1,"seq-no":1,"items":[
 {"store":4,"campus":"here","shape":"box","group":0,"weight":9,"state":1,"born-us":null},
 {"store":5,"campus":"hub","shape":"mid","group":1,"weight":30,"state":1},
 {"store":6,"campus":"hub","shape":"root","group":2,"weight":1,"state":1,"note":"unknown fields are skipped"}]}"#;

fn without_newlines(text: &str) -> String {
    text.replace('\n', "")
}

fn batch(at: u64, round: u64, events: &[String]) -> String {
    let body: String = events.iter().map(|e| format!("{e}\n")).collect();
    format!(
        "{{\"event_type\":\"Clock\",\"at-time-us\":{at},\"round\":{round}}}\n{body}{{\"event_type\":\"End\"}}\n"
    )
}

fn born_line() -> String {
    without_newlines(&format!(
        "{{\"event_type\":\"Born\",\"i\":0,\"nonce64\":12,\"setup\":{SETUP}}}"
    ))
}

fn order_line(id: u64, class: &str, remaining: u64) -> String {
    format!(
        "{{\"event_type\":\"Order\",\"i\":0,\"request-id\":{id},\"grade\":\"{class}\",\"owner\":0,\
         \"content-id\":\"/o/{id}\",\"remaining-us\":{remaining},\"length-kb\":400,\"purge-group\":1,\"segment\":0}}"
    )
}

fn resolved_line(id: u64, store: u64, how: &str, settled: bool) -> String {
    format!(
        "{{\"event_type\":\"Resolved\",\"i\":0,\"request-id\":{id},\"store\":{store},\"how\":\"{how}\",\
         \"took-us\":9000,\"go\":0,\"settled\":{settled},\"note\":1,\"usage\":{{\"cpu_share\":0.5,\"odd\":[]}}}}"
    )
}

fn lines(out: &Output) -> Vec<String> {
    String::from_utf8_lossy(&out.stdout)
        .lines()
        .map(str::to_owned)
        .collect()
}

fn has_line_with(lines: &[String], parts: &[&str]) -> bool {
    lines
        .iter()
        .any(|line| parts.iter().all(|part| line.contains(part)))
}

#[test]
fn every_event_is_decoded_and_each_action_is_encoded() {
    let input = batch(1_000_000, 1, &[born_line(), without_newlines(LIST)])
        + &batch(1_002_000, 2, &[order_line(7, "film", 4_000_000), order_line(8, "post", 4_000_000), order_line(9, "film", 0)])
        + &batch(1_004_000, 3, &[resolved_line(7, 4, "ok", true), resolved_line(8, 6, "reset", false)])
        + &batch(1_006_000, 4, &[order_line(10, "film", 4_000_000)])
        + &batch(1_008_000, 5, &["{\"event_type\":\"ClientLeft\",\"i\":0,\"request-id\":10}".into()])
        + &batch(
            1_060_000,
            6,
            &[
                "{\"event_type\":\"Elapsed\",\"i\":0,\"ctx\":0}".into(),
                "{\"event_type\":\"Accepted\",\"i\":0,\"request-id\":10,\"store\":4,\"took-us\":1,\"go\":0}".into(),
                "{\"event_type\":\"CheckResult\",\"i\":0,\"took-us\":1,\"how\":\"ok\",\"store\":4}".into(),
                "{\"event_type\":\"Peer\",\"i\":0,\"by\":2,\"octets\":\"hi\"}".into(),
                "{\"event_type\":\"Invalidated\",\"i\":0,\"content-id\":\"/o/11\",\"batch-id\":1,\"how-old-us\":5000}"
                    .into(),
                order_line(11, "film", 4_000_000),
                "{\"event_type\":\"SomethingNew\",\"i\":0}".into(),
            ],
        )
        + &batch(1_070_000, 7, &["{\"event_type\":\"Stop\",\"i\":0}".into()]);
    let out = run(&input);
    assert!(
        out.status.success(),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
    let reply = lines(&out);
    assert_eq!(
        reply.iter().filter(|line| line.contains("\"Ack\"")).count(),
        7
    );
    assert!(has_line_with(
        &reply,
        &[
            "ReadThrough",
            "\"request-id\":7",
            "\"store\":4",
            "\"feeder\":5",
            "\"tier-rank\":1"
        ]
    ));
    assert!(
        has_line_with(&reply, &["ReadThrough", "\"request-id\":8", "\"store\":6"]),
        "a write is sent to the origin"
    );
    assert!(has_line_with(
        &reply,
        &["PushBack", "\"request-id\":9", "\"retry-after-us\":200000"]
    ));
    assert!(has_line_with(&reply, &["Abort", "\"request-id\":8"]));
    assert!(has_line_with(
        &reply,
        &["Retract", "\"request-id\":10", "\"go\":0"]
    ));
    assert!(has_line_with(
        &reply,
        &["After", "\"at-us\":1110000", "\"ctx\":0"]
    ));
    assert!(has_line_with(
        &reply,
        &["ReadThrough", "\"request-id\":11", "\"how-old-us\":5000"]
    ));
}

#[test]
fn a_line_that_is_not_json_ends_the_adapter_with_an_error() {
    let out = run("{\"event_type\":\"Clock\",\"at-time-us\":1,\"round\":1}\nnot json\n");
    assert!(!out.status.success());
    let message = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(
        message.contains("line 2") && message.contains("not JSON"),
        "{message}"
    );
}

#[test]
fn the_error_for_a_missing_field_names_it() {
    let input = batch(
        1,
        1,
        &[
            born_line(),
            "{\"event_type\":\"Order\",\"i\":0,\"request-id\":3}".into(),
        ],
    );
    let out = run(&input);
    assert!(!out.status.success());
    let message = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(
        message.contains("line 3") && message.contains("'grade'"),
        "{message}"
    );
    let out = run("{\"event_type\":\"Clock\",\"at-time-us\":1}\n");
    assert!(String::from_utf8_lossy(&out.stderr).contains("'round'"));
}

#[test]
fn an_incomplete_batch_gets_no_reply_and_the_end_of_input_is_no_error() {
    let out = run("{\"event_type\":\"Clock\",\"at-time-us\":1,\"round\":1}\n");
    assert!(out.status.success());
    assert!(out.stdout.is_empty());
    assert!(run("").status.success());
}

#[test]
fn invalid_settings_end_the_adapter_with_an_error() {
    let born = born_line().replace("\"tip-after-us\":1000000", "\"tip-after-us\":0");
    let out = run(&batch(1, 1, &[born]));
    assert!(!out.status.success());
    assert!(String::from_utf8_lossy(&out.stderr).contains("fall time"));
}
