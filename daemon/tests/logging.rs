//! Tests the JSON format of log lines.

use linnetknot_daemon::logging::json;
use log::kv::Value;
use log::Record;

#[test]
fn a_record_is_one_json_object_with_its_key_values() {
    let pairs: [(&str, Value<'_>); 4] = [
        ("box", "s-\"1\n".into()),
        ("penalty", 1.5f64.into()),
        ("n", 7u64.into()),
        ("level", "mine".into()),
    ];
    let record = Record::builder()
        .args(format_args!("a line\nof two"))
        .level(log::Level::Warn)
        .target("t")
        .key_values(&pairs)
        .build();
    let line = json(&record, 12);
    assert!(!line.contains('\n'), "one line: {line}");
    let value: serde_json::Value = serde_json::from_str(&line).unwrap();
    assert_eq!(
        value,
        serde_json::json!({"ts_ms": 12, "level": "WARN", "target": "t", "message": "a line\nof two",
            "box": "s-\"1\n", "penalty": 1.5, "n": 7, "kv": {"level": "mine"}})
    );
}
