//! New settings for a router that runs: classes appear and vanish, requests under way keep theirs, and settings
//! that are not sound change nothing.

mod common;
use common::*;
use linnetknot::*;

fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { .. }))
}

#[test]
fn a_new_class_is_taken_and_one_that_vanished_is_not_while_its_requests_go_on() {
    let mut rig = Rig::new(settings(), fleet());
    let (_, actions) = rig.ask("poster", "/p/1", 5 * S);
    assert!(refused(&actions), "no such class yet");
    let under_way = rig.send("page", "/o/1");
    let mut new = settings();
    new.classes.retain(|c| c.name != "page");
    new.classes.push(Class {
        deadline_us: 2 * S,
        ..class("poster")
    });
    rig.router.update_settings(new).expect("sound settings");
    let (_, actions) = rig.ask("poster", "/p/2", 5 * S);
    assert!(
        sent(&actions).is_some(),
        "the new class is taken: {actions:?}"
    );
    let (_, actions) = rig.ask("page", "/o/2", 5 * S);
    assert!(
        refused(&actions),
        "a class that vanished takes no new request"
    );
    // The page under way still ends as its class lets it: a failure is tried again elsewhere.
    let actions = rig.end(under_way.request, 0, under_way.server, Outcome::Error);
    let again = sent(&actions).expect("tried again, as its class allows");
    assert_ne!(again.server, under_way.server);
    let actions = rig.end_with(again.request, 1, again.server, Outcome::Ok, Note::Hit);
    assert_eq!(finals(&actions), 0, "served, not refused or failed");
    // A second reload forgets the class that no request holds any more, and the name can be used again.
    let mut back = settings();
    back.max_attempts = 1;
    rig.router.update_settings(back).unwrap();
    let page = rig.send("page", "/o/3");
    let actions = rig.end(page.request, 0, page.server, Outcome::Error);
    assert!(sent(&actions).is_none(), "one attempt at most now");
    assert_eq!(finals(&actions), 1);
}

#[test]
fn settings_that_are_not_sound_leave_the_router_as_it_was() {
    let mut rig = Rig::new(settings(), fleet());
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
        assert!(rig.router.update_settings(broken).is_err());
    }
    let (_, actions) = rig.ask("video", "/o/1", 5 * S);
    assert!(sent(&actions).is_some(), "the old classes stand");
    let (_, actions) = rig.ask("nothing", "/o/2", 5 * S);
    assert!(refused(&actions));
}

/// Classes that change their order, their names and their effect: what is under way keeps what it began as, and a new
/// request is what its name says now.
#[test]
fn requests_under_way_keep_their_effect_while_classes_change_places_names_and_effects() {
    let mut rig = Rig::new(settings(), fleet());
    let (read, charge) = (rig.send("video", "/o/1"), rig.send("charge", "/o/2"));
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
    rig.router.update_settings(new).expect("sound settings");
    let actions = rig.end(charge.request, 0, charge.server, Outcome::Reset);
    assert!(
        matches!(actions[..], [Action::Fail { .. }]),
        "it may have run, as it began: {actions:?}"
    );
    let actions = rig.end(read.request, 0, read.server, Outcome::Reset);
    assert!(sent(&actions).is_some(), "it may run again, as it began");
    let (read, charge) = (rig.send("video", "/o/3"), rig.send("charge", "/o/4"));
    let actions = rig.end(read.request, 0, read.server, Outcome::Reset);
    assert!(matches!(actions[..], [Action::Fail { .. }]), "{actions:?}");
    assert!(sent(&rig.end(charge.request, 0, charge.server, Outcome::Reset)).is_some());
    assert!(refused(&rig.ask("order", "/o/5", 5 * S).1));
    assert!(sent(&rig.ask("bill", "/o/5", 5 * S).1).is_some());
}

/// Tenants that come and go leave nothing behind: requests of any are treated alike.
#[test]
fn a_tenant_that_goes_takes_no_request_with_it() {
    let tenants = vec![Tenant {
        name: "harbour".into(),
        quota_rps: 5.0,
    }];
    let mut rig = Rig::new(
        Settings {
            tenants,
            ..settings()
        },
        fleet(),
    );
    let under_way = rig.send("video", "/o/1");
    rig.router
        .update_settings(settings())
        .expect("sound settings");
    let actions = rig.end(under_way.request, 0, under_way.server, Outcome::Error);
    assert!(sent(&actions).is_some());
    assert!(sent(&rig.ask("video", "/o/2", 5 * S).1).is_some());
}
