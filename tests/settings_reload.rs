//! New settings for a router that runs: classes appear and vanish, requests under way keep theirs, and settings
//! that are not sound change nothing.

mod common;
use common::*;
use linnetknot::*;

fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { .. }))
}

#[test]
fn new_classes_are_accepted_and_open_requests_of_removed_ones_continue() {
    let mut harness = RouterHarness::new(settings(), fleet());
    let (_, actions) = harness.request("poster", "/p/1", 5 * S);
    assert!(refused(&actions), "no such class yet");
    let under_way = harness.send_request("page", "/o/1");
    let mut new = settings();
    new.classes.retain(|c| c.name != "page");
    new.classes.push(Class {
        deadline_us: 2 * S,
        ..class("poster")
    });
    harness.router.update_settings(new).expect("sound settings");
    let (_, actions) = harness.request("poster", "/p/2", 5 * S);
    assert!(
        sent(&actions).is_some(),
        "the new class is taken: {actions:?}"
    );
    let (_, actions) = harness.request("page", "/o/2", 5 * S);
    assert!(
        refused(&actions),
        "a class that vanished takes no new request"
    );
    // The page under way still ends as its class lets it: a failure is tried again elsewhere.
    let actions = harness.end_attempt(under_way.request, 0, under_way.server, Outcome::Error);
    let again = sent(&actions).expect("tried again, as its class allows");
    assert_ne!(again.server, under_way.server);
    let actions = harness.end_attempt_with(again.request, 1, again.server, Outcome::Ok, Note::Hit);
    assert_eq!(final_answers(&actions), 0, "served, not refused or failed");
    // A second reload forgets the class that no request holds any more, and the name can be used again.
    let mut back = settings();
    back.max_attempts = 1;
    harness.router.update_settings(back).unwrap();
    let page = harness.send_request("page", "/o/3");
    let actions = harness.end_attempt(page.request, 0, page.server, Outcome::Error);
    assert!(sent(&actions).is_none(), "one attempt at most now");
    assert_eq!(final_answers(&actions), 1);
}

#[test]
fn invalid_settings_change_nothing() {
    let mut harness = RouterHarness::new(settings(), fleet());
    for broken in [
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
        assert!(harness.router.update_settings(broken).is_err());
    }
    let (_, actions) = harness.request("video", "/o/1", 5 * S);
    assert!(sent(&actions).is_some(), "the old classes stand");
    let (_, actions) = harness.request("nothing", "/o/2", 5 * S);
    assert!(refused(&actions));
}

/// Classes that change their order, their names and their effect: what is under way keeps what it began as, and a new
/// request is what its name says now.
#[test]
fn open_requests_keep_their_class_if_classes_are_reordered_renamed_or_changed() {
    let mut harness = RouterHarness::new(settings(), fleet());
    let (read, charge) = (
        harness.send_request("video", "/o/1"),
        harness.send_request("charge", "/o/2"),
    );
    let mut new = settings();
    new.classes.reverse();
    for c in &mut new.classes {
        match c.name.as_str() {
            // The read must not run twice from now on, and the charge may.
            "video" => c.repeat = Repeat::Unsafe,
            "charge" => c.repeat = Repeat::Safe,
            "order" => c.name = "bill".into(),
            _ => {}
        }
    }
    harness.router.update_settings(new).expect("sound settings");
    let actions = harness.end_attempt(charge.request, 0, charge.server, Outcome::Reset);
    assert!(
        matches!(actions[..], [Action::Fail { .. }]),
        "it may have run, as it began: {actions:?}"
    );
    let actions = harness.end_attempt(read.request, 0, read.server, Outcome::Reset);
    assert!(sent(&actions).is_some(), "it may run again, as it began");
    let (read, charge) = (
        harness.send_request("video", "/o/3"),
        harness.send_request("charge", "/o/4"),
    );
    let actions = harness.end_attempt(read.request, 0, read.server, Outcome::Reset);
    assert!(matches!(actions[..], [Action::Fail { .. }]), "{actions:?}");
    assert!(sent(&harness.end_attempt(charge.request, 0, charge.server, Outcome::Reset)).is_some());
    assert!(refused(&harness.request("order", "/o/5", 5 * S).1));
    assert!(sent(&harness.request("bill", "/o/5", 5 * S).1).is_some());
}

/// Tenants that come and go leave nothing behind: requests of any are treated alike.
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
    let under_way = harness.send_request("video", "/o/1");
    harness
        .router
        .update_settings(settings())
        .expect("sound settings");
    let actions = harness.end_attempt(under_way.request, 0, under_way.server, Outcome::Error);
    assert!(sent(&actions).is_some());
    assert!(sent(&harness.request("video", "/o/2", 5 * S).1).is_some());
}
