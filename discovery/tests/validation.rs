//! Validation of received lists that are empty, partial, stale, unreadable in part or contradictory.

use linnetknot::{ListMode, Server, State};
use linnetknot_discovery::{
    server_id, Entry, ListValidator, ReceivedList, Rejection, ValidatedList,
};

fn entry(uid: &str, zone: &str, state: State) -> Entry {
    let server = Server {
        id: server_id(uid),
        zone: zone.into(),
        cell: 0,
        kind: "box".into(),
        weight: 8.0,
        state,
        started: None,
    };
    Entry {
        server,
        uid: uid.into(),
        endpoint: ([10, 1, 0, 1], 6565).into(),
    }
}

fn ready(uids: &[&str]) -> Vec<Entry> {
    uids.iter()
        .map(|uid| entry(uid, &uid[..1], State::Ready))
        .collect()
}

fn received_list(rev: u64, mode: ListMode, entries: Vec<Entry>) -> ReceivedList {
    ReceivedList {
        rev: Some(rev),
        mode,
        entries,
        unreadable: vec![],
    }
}

fn uids(entries: &[Entry]) -> Vec<&str> {
    entries.iter().map(|e| e.uid.as_str()).collect()
}

/// Returns a list with four caches in zone `a` and one cache in zone `b`.
fn listed() -> Vec<Entry> {
    ready(&["a1", "a2", "a3", "a4", "b1"])
}

#[test]
fn an_empty_full_list_removes_nothing() {
    let (listed, mut validator) = (listed(), ListValidator::default());
    let ValidatedList {
        mode,
        entries: retained,
        rejections,
    } = validator.validate(received_list(2, ListMode::Full, vec![]), listed.iter());
    assert_eq!(
        (mode, uids(&retained)),
        (ListMode::Full, vec!["a1", "a2", "a3", "a4", "b1"])
    );
    let omission = |zone: &str, retained| Rejection::Omission {
        zone: zone.into(),
        kind: "box".into(),
        retained,
    };
    assert_eq!(rejections, [omission("a", 4), omission("b", 1)]);
    assert!(
        rejections[0].to_string().contains("zone 'a'")
            && rejections[0].to_string().contains("4 caches are retained")
    );
}

#[test]
fn caches_are_retained_only_if_more_than_half_of_a_zone_is_omitted() {
    let (listed, mut validator) = (listed(), ListValidator::default());
    let ValidatedList {
        entries: retained,
        rejections,
        ..
    } = validator.validate(
        received_list(2, ListMode::Full, ready(&["a1", "b1"])),
        listed.iter(),
    );
    assert_eq!(
        (uids(&retained), rejections.len()),
        (vec!["a1", "b1", "a2", "a3", "a4"], 1)
    );
    let ValidatedList {
        mode,
        entries: retained,
        rejections,
    } = validator.validate(
        received_list(3, ListMode::Full, ready(&["a1", "a2", "b1"])),
        listed.iter(),
    );
    assert_eq!(
        (mode, uids(&retained), rejections),
        (ListMode::Full, vec!["a1", "a2", "b1"], vec![])
    );
}

#[test]
fn explicit_removals_are_applied_whatever_their_number() {
    let (listed, mut validator) = (listed(), ListValidator::default());
    let removals: Vec<Entry> = listed
        .iter()
        .map(|e| entry(&e.uid, &e.server.zone, State::Gone))
        .collect();
    for mode in [ListMode::Full, ListMode::Delta] {
        let ValidatedList {
            mode: validated_mode,
            entries: retained,
            rejections,
        } = validator.validate(received_list(2, mode, removals.clone()), listed.iter());
        assert_eq!(
            (validated_mode, retained, rejections),
            (mode, removals.clone(), vec![])
        );
    }
    // Draining caches that a list omits must not be retained.
    let drained: Vec<Entry> = listed
        .iter()
        .map(|e| entry(&e.uid, "a", State::Draining))
        .collect();
    let ValidatedList {
        entries: retained,
        rejections,
        ..
    } = validator.validate(received_list(3, ListMode::Full, vec![]), drained.iter());
    assert_eq!((retained, rejections), (vec![], vec![]));
}

#[test]
fn a_stale_list_only_removes_and_drains() {
    let (listed, mut validator) = (listed(), ListValidator::default());
    validator.validate(received_list(7, ListMode::Delta, vec![]), listed.iter());
    let stale_entries = vec![
        entry("a1", "a", State::Gone),
        entry("a9", "a", State::Ready),
        entry("a2", "a", State::Draining),
    ];
    let ValidatedList {
        mode,
        entries: retained,
        rejections,
    } = validator.validate(
        received_list(6, ListMode::Full, stale_entries),
        listed.iter(),
    );
    assert_eq!((mode, uids(&retained)), (ListMode::Delta, vec!["a1", "a2"]));
    assert_eq!(rejections, [Rejection::Stale { rev: 6, known: 7 }]);
    // A list with the known revision, or without a revision, is not stale.
    for rev in [Some(7), None] {
        let repeated = ReceivedList {
            rev,
            ..received_list(0, ListMode::Delta, ready(&["a9"]))
        };
        assert_eq!(validator.validate(repeated, listed.iter()).rejections, []);
    }
}

#[test]
fn a_cache_listed_as_ready_and_gone_is_gone_unless_it_restarted() {
    let (gone_entry, ready_entry) = (
        entry("a1", "a", State::Gone),
        entry("a1", "a", State::Ready),
    );
    let restarted = Entry {
        server: Server {
            started: Some(5),
            ..ready_entry.server.clone()
        },
        ..ready_entry.clone()
    };
    for (changes, state, contradicts) in [
        (
            vec![gone_entry.clone(), ready_entry.clone()],
            State::Gone,
            true,
        ),
        (
            vec![ready_entry.clone(), gone_entry.clone()],
            State::Gone,
            false,
        ),
        (vec![gone_entry.clone(), restarted], State::Ready, false),
        (vec![ready_entry.clone(), ready_entry], State::Ready, false),
    ] {
        let ValidatedList {
            entries: retained,
            rejections,
            ..
        } = ListValidator::default()
            .validate(received_list(1, ListMode::Delta, changes), [].iter());
        assert_eq!((retained.len(), retained[0].server.state), (1, state));
        assert_eq!(
            rejections == [Rejection::Contradiction("a1".into())],
            contradicts
        );
    }
}

#[test]
fn a_list_with_unreadable_entries_removes_only_what_it_names() {
    let listed = listed();
    let partial_list = ReceivedList {
        unreadable: vec!["field 'state' is wrong".into(), "?".into()],
        ..received_list(2, ListMode::Full, ready(&["a1", "a2"]))
    };
    let ValidatedList {
        mode,
        entries: retained,
        rejections,
    } = ListValidator::default().validate(partial_list, listed.iter());
    assert_eq!((mode, uids(&retained)), (ListMode::Delta, vec!["a1", "a2"]));
    assert_eq!(
        rejections,
        [Rejection::Unreadable(vec![
            "field 'state' is wrong".into(),
            "?".into()
        ])]
    );
    assert!(rejections[0]
        .to_string()
        .starts_with("2 entries of a list can't be read (field 'state' is wrong)"));
}
