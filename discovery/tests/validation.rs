//! Received lists that are empty, partial, stale, torn or contradict themselves.

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

fn answer(rev: u64, mode: ListMode, entries: Vec<Entry>) -> ReceivedList {
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

/// Zone `a` with four caches, zone `b` with one.
fn listed() -> Vec<Entry> {
    ready(&["a1", "a2", "a3", "a4", "b1"])
}

#[test]
fn an_empty_whole_list_empties_nothing() {
    let (listed, mut validator) = (listed(), ListValidator::default());
    let ValidatedList {
        mode,
        entries: retained,
        rejections,
    } = validator.validate(answer(2, ListMode::Full, vec![]), listed.iter());
    assert_eq!(
        (mode, uids(&retained)),
        (ListMode::Full, vec!["a1", "a2", "a3", "a4", "b1"])
    );
    let left = |zone: &str, retained| Rejection::Omission {
        zone: zone.into(),
        kind: "box".into(),
        retained,
    };
    assert_eq!(rejections, [left("a", 4), left("b", 1)]);
    assert!(
        rejections[0].to_string().contains("zone 'a'")
            && rejections[0].to_string().contains("4 caches are retained")
    );
}

#[test]
fn what_leaves_out_more_than_half_of_a_zone_is_partial_and_what_leaves_out_less_is_not() {
    let (listed, mut validator) = (listed(), ListValidator::default());
    let ValidatedList {
        entries: retained,
        rejections,
        ..
    } = validator.validate(
        answer(2, ListMode::Full, ready(&["a1", "b1"])),
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
        answer(3, ListMode::Full, ready(&["a1", "a2", "b1"])),
        listed.iter(),
    );
    assert_eq!(
        (mode, uids(&retained), rejections),
        (ListMode::Full, vec!["a1", "a2", "b1"], vec![])
    );
}

#[test]
fn what_is_named_as_gone_is_gone_however_much_that_is() {
    let (listed, mut validator) = (listed(), ListValidator::default());
    let gone: Vec<Entry> = listed
        .iter()
        .map(|e| entry(&e.uid, &e.server.zone, State::Gone))
        .collect();
    for mode in [ListMode::Full, ListMode::Delta] {
        let ValidatedList {
            mode: validated_mode,
            entries: retained,
            rejections,
        } = validator.validate(answer(2, mode, gone.clone()), listed.iter());
        assert_eq!(
            (validated_mode, retained, rejections),
            (mode, gone.clone(), vec![])
        );
    }
    // Caches that drain are no loss to a zone: nothing is retained for them.
    let drained: Vec<Entry> = listed
        .iter()
        .map(|e| entry(&e.uid, "a", State::Draining))
        .collect();
    let ValidatedList {
        entries: retained,
        rejections,
        ..
    } = validator.validate(answer(3, ListMode::Full, vec![]), drained.iter());
    assert_eq!((retained, rejections), (vec![], vec![]));
}

#[test]
fn older_news_takes_away_and_brings_nothing_back() {
    let (listed, mut validator) = (listed(), ListValidator::default());
    validator.validate(answer(7, ListMode::Delta, vec![]), listed.iter());
    let old = vec![
        entry("a1", "a", State::Gone),
        entry("a9", "a", State::Ready),
        entry("a2", "a", State::Draining),
    ];
    let ValidatedList {
        mode,
        entries: retained,
        rejections,
    } = validator.validate(answer(6, ListMode::Full, old), listed.iter());
    assert_eq!((mode, uids(&retained)), (ListMode::Delta, vec!["a1", "a2"]));
    assert_eq!(rejections, [Rejection::Stale { rev: 6, known: 7 }]);
    // The same revision again is a repeat and no older, and a source may number nothing at all.
    for rev in [Some(7), None] {
        let again = ReceivedList {
            rev,
            ..answer(0, ListMode::Delta, ready(&["a9"]))
        };
        assert_eq!(validator.validate(again, listed.iter()).rejections, []);
    }
}

#[test]
fn a_box_both_ready_and_gone_is_gone_unless_it_has_started_since() {
    let (gone, back) = (
        entry("a1", "a", State::Gone),
        entry("a1", "a", State::Ready),
    );
    let started = Entry {
        server: Server {
            started: Some(5),
            ..back.server.clone()
        },
        ..back.clone()
    };
    for (changes, state, contradicts) in [
        (vec![gone.clone(), back.clone()], State::Gone, true),
        (vec![back.clone(), gone.clone()], State::Gone, false),
        (vec![gone.clone(), started], State::Ready, false),
        (vec![back.clone(), back], State::Ready, false),
    ] {
        let ValidatedList {
            entries: retained,
            rejections,
            ..
        } = ListValidator::default().validate(answer(1, ListMode::Delta, changes), [].iter());
        assert_eq!((retained.len(), retained[0].server.state), (1, state));
        assert_eq!(
            rejections == [Rejection::Contradiction("a1".into())],
            contradicts
        );
    }
}

#[test]
fn what_can_not_be_read_may_be_what_is_left_out() {
    let listed = listed();
    let torn = ReceivedList {
        unreadable: vec!["field 'state' is wrong".into(), "?".into()],
        ..answer(2, ListMode::Full, ready(&["a1", "a2"]))
    };
    let ValidatedList {
        mode,
        entries: retained,
        rejections,
    } = ListValidator::default().validate(torn, listed.iter());
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
