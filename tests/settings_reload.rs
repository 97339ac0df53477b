//! Replacement of the settings of a running router: classes are added and removed, open requests keep the class with
//! which they started, and invalid settings change nothing.

mod common;
use common::*;
use linnetknot::*;

fn is_refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { .. }))
}

#[test]
fn new_classes_are_accepted_and_open_requests_of_removed_ones_continue() {
    let mut harness = RouterHarness::new(settings(), fleet());
    let (_, actions) = harness.request("poster", "/p/1", 5 * S);
    assert!(is_refused(&actions), "the class does not exist yet");
    let open = harness.send_request("page", "/o/1");
    let mut new_settings = settings();
    new_settings.classes.retain(|c| c.name != "page");
    new_settings.classes.push(Class {
        deadline_us: 2 * S,
        ..class("poster")
    });
    harness
        .router
        .update_settings(new_settings)
        .expect("valid settings");
    let (_, actions) = harness.request("poster", "/p/2", 5 * S);
    assert!(
        sent(&actions).is_some(),
        "the new class is accepted: {actions:?}"
    );
    let (_, actions) = harness.request("page", "/o/2", 5 * S);
    assert!(
        is_refused(&actions),
        "a removed class accepts no new requests"
    );
    // The open page request keeps the rules of its class: it is retried elsewhere after a failure.
    let actions = harness.end_attempt(open.request, 0, open.server, Outcome::Error);
    let retry = sent(&actions).expect("a retry, which its class allows");
    assert_ne!(retry.server, open.server);
    let actions = harness.end_attempt_with(retry.request, 1, retry.server, Outcome::Ok, Note::Hit);
    assert_eq!(final_answers(&actions), 0, "the client has been served");
    // A second reload drops the unused class, and its name can be used again.
    let mut restored = settings();
    restored.max_attempts = 1;
    harness.router.update_settings(restored).unwrap();
    let page = harness.send_request("page", "/o/3");
    let actions = harness.end_attempt(page.request, 0, page.server, Outcome::Error);
    assert!(sent(&actions).is_none(), "only one attempt is allowed now");
    assert_eq!(final_answers(&actions), 1);
}

#[test]
fn invalid_settings_change_nothing() {
    let mut harness = RouterHarness::new(settings(), fleet());
    for invalid in [
        Settings {
            classes: vec![],
            ..settings()
        },
        Settings {
            max_attempts: 0,
            ..settings()
        },
        Settings {
            classes: vec![Class {
                deadline_us: 0,
                ..class("video")
            }],
            ..settings()
        },
    ] {
        assert!(harness.router.update_settings(invalid).is_err());
    }
    let (_, actions) = harness.request("video", "/o/1", 5 * S);
    assert!(sent(&actions).is_some(), "the old classes are still in use");
    let (_, actions) = harness.request("nothing", "/o/2", 5 * S);
    assert!(is_refused(&actions));
}

/// Open requests keep the class that they started with, and new requests use the current class of that name.
#[test]
fn open_requests_keep_their_class_if_classes_are_reordered_renamed_or_changed() {
    let mut harness = RouterHarness::new(settings(), fleet());
    let (read, charge) = (
        harness.send_request("video", "/o/1"),
        harness.send_request("charge", "/o/2"),
    );
    let mut new_settings = settings();
    new_settings.classes.reverse();
    for c in &mut new_settings.classes {
        match c.name.as_str() {
            // After the reload, requests of the class for reads must not run twice, and those of the class for charges
            // may.
            "video" => c.repeat = Repeat::Unsafe,
            "charge" => c.repeat = Repeat::Safe,
            "order" => c.name = "bill".into(),
            _ => {}
        }
    }
    harness
        .router
        .update_settings(new_settings)
        .expect("valid settings");
    let actions = harness.end_attempt(charge.request, 0, charge.server, Outcome::Reset);
    assert!(
        matches!(actions[..], [Action::Fail { .. }]),
        "not retried under its original class: {actions:?}"
    );
    let actions = harness.end_attempt(read.request, 0, read.server, Outcome::Reset);
    assert!(sent(&actions).is_some(), "retried under its original class");
    let (read, charge) = (
        harness.send_request("video", "/o/3"),
        harness.send_request("charge", "/o/4"),
    );
    let actions = harness.end_attempt(read.request, 0, read.server, Outcome::Reset);
    assert!(matches!(actions[..], [Action::Fail { .. }]), "{actions:?}");
    assert!(sent(&harness.end_attempt(charge.request, 0, charge.server, Outcome::Reset)).is_some());
    assert!(is_refused(&harness.request("order", "/o/5", 5 * S).1));
    assert!(sent(&harness.request("bill", "/o/5", 5 * S).1).is_some());
}

/// Requests of all tenants are treated alike, also after a tenant is removed.
#[test]
fn removing_a_tenant_affects_no_request() {
    let tenants = vec![Tenant {
        name: "harbour".into(),
        quota_rps: 5.0,
    }];
    let mut harness = RouterHarness::new(
        Settings {
            tenants,
            ..settings()
        },
        fleet(),
    );
    let open = harness.send_request("video", "/o/1");
    harness
        .router
        .update_settings(settings())
        .expect("valid settings");
    let actions = harness.end_attempt(open.request, 0, open.server, Outcome::Error);
    assert!(sent(&actions).is_some());
    assert!(sent(&harness.request("video", "/o/2", 5 * S).1).is_some());
}
