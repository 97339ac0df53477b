//! Tests of writing, reading and comparing report files.

use linnetknot_rehearse::report::{compare, Part, Report};

fn part(name: &str, in_time: f64, p99: Option<f64>) -> Part {
    let refused = 1.0 - in_time;
    let waits_ms = p99.map(|p99| [50.0, p99, 2.0 * p99]);
    Part {
        name: name.into(),
        offered: 100.0,
        in_time,
        late: 0.0,
        refused,
        failed: 0.0,
        unanswered: 0.0,
        waits_ms,
    }
}

fn report(in_time: f64, breaches: &[&str]) -> Report {
    Report {
        format_version: 1,
        scenario: "evening".into(),
        seed: 7,
        requests: 100,
        unsent: 0,
        interrupted: None,
        lag_ms: 0.5,
        inconclusive: None,
        total: part("all", in_time, None),
        classes: vec![part("photo", in_time, Some(120.0))],
        worst: Some((3, in_time / 2.0)),
        breaches: breaches
            .iter()
            .map(std::string::ToString::to_string)
            .collect(),
    }
}

#[test]
fn report_round_trips_and_invalid_reports_name_the_key() {
    let good = report(0.9, &["cold boxes: s-0a"]);
    assert_eq!(Report::read(&good.write().unwrap()).unwrap(), good);
    // Files of earlier versions lack the number of unsent requests and must still be read.
    let older = good.write().unwrap().replacen("\n  \"unsent\": 0,", "", 1);
    assert_ne!(older, good.write().unwrap());
    assert_eq!(Report::read(&older).unwrap(), good);
    for (from, to, key) in [
        ("\"form\": 1", "\"form\": 2", "form"),
        ("\"seed\": 7", "\"seed\": \"x\"", "seed"),
        ("\"asked\": 100,\n  \"unsent\"", "\"unsent\"", "asked"),
        ("\"name\": \"photo\"", "\"name\": 3", "classes[0].name"),
        ("\"worst\"", "\"best\"", "best"),
    ] {
        let text = good.write().unwrap();
        assert!(text.contains(from), "{from}");
        let message = Report::read(&text.replacen(from, to, 1))
            .unwrap_err()
            .to_string();
        assert!(message.contains(key), "{key}: {message}");
    }
}

#[test]
fn comparison_lists_both_reports_by_class() {
    let text = compare(&report(0.9, &[]), &report(0.75, &["x"])).unwrap();
    for line in [
        "| photo | 90.0% | 75.0% | 0.0% | 0.0% | 10.0% | 25.0% | 0.0% | 0.0% | 120 | 120 |",
        "worst ten seconds: 0.450 and 0.375",
        "breaches: 0 and 1",
    ] {
        assert!(text.contains(line), "{line} in\n{text}");
    }
}

#[test]
fn inconclusive_reports_and_different_scenarios_are_not_compared() {
    let other = Report {
        scenario: "calm".into(),
        ..report(0.9, &[])
    };
    assert!(compare(&report(0.9, &[]), &other)
        .unwrap_err()
        .to_string()
        .contains("different scenarios"));
    let inconclusive = Report {
        inconclusive: Some("no request was sent".into()),
        ..report(0.9, &[])
    };
    assert!(compare(&inconclusive, &report(0.9, &[]))
        .unwrap_err()
        .to_string()
        .contains("the first report is inconclusive"));
}
