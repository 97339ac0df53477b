//! Answers of discovery that are empty, partial, stale, torn or at odds with themselves.

use linnetknot::{ListMode, Server, State};
use linnetknot_discovery::{server_id, Answer, Entry, PassedOver, Vetting};

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

fn answer(rev: u64, mode: ListMode, entries: Vec<Entry>) -> Answer {
    Answer {
        rev: Some(rev),
        mode,
        entries,
        unreadable: vec![],
    }
}

fn uids(entries: &[Entry]) -> Vec<&str> {
    entries.iter().map(|e| e.uid.as_str()).collect()
}

/// Zone `a` with four boxes, zone `b` with one.
fn listed() -> Vec<Entry> {
    ready(&["a1", "a2", "a3", "a4", "b1"])
}

#[test]
fn an_empty_whole_list_empties_nothing() {
    let (listed, mut vetting) = (listed(), Vetting::default());
    let (mode, kept, passed) = vetting.vet(answer(2, ListMode::Full, vec![]), listed.iter());
    assert_eq!(
        (mode, uids(&kept)),
        (ListMode::Full, vec!["a1", "a2", "a3", "a4", "b1"])
    );
    let left = |zone: &str, kept| PassedOver::LeftOut {
        zone: zone.into(),
        kind: "box".into(),
        kept,
    };
    assert_eq!(passed, [left("a", 4), left("b", 1)]);
    assert!(
        passed[0].to_string().contains("zone 'a'")
            && passed[0].to_string().contains("4 boxes are kept")
    );
}

#[test]
fn what_leaves_out_more_than_half_of_a_zone_is_partial_and_what_leaves_out_less_is_not() {
    let (listed, mut vetting) = (listed(), Vetting::default());
    let (_, kept, passed) = vetting.vet(
        answer(2, ListMode::Full, ready(&["a1", "b1"])),
        listed.iter(),
    );
    assert_eq!(
        (uids(&kept), passed.len()),
        (vec!["a1", "b1", "a2", "a3", "a4"], 1)
    );
    let (mode, kept, passed) = vetting.vet(
        answer(3, ListMode::Full, ready(&["a1", "a2", "b1"])),
        listed.iter(),
    );
    assert_eq!(
        (mode, uids(&kept), passed),
        (ListMode::Full, vec!["a1", "a2", "b1"], vec![])
    );
}

#[test]
fn what_is_named_as_gone_is_gone_however_much_that_is() {
    let (listed, mut vetting) = (listed(), Vetting::default());
    let gone: Vec<Entry> = listed
        .iter()
        .map(|e| entry(&e.uid, &e.server.zone, State::Gone))
        .collect();
    for mode in [ListMode::Full, ListMode::Delta] {
        let (said, kept, passed) = vetting.vet(answer(2, mode, gone.clone()), listed.iter());
        assert_eq!((said, kept, passed), (mode, gone.clone(), vec![]));
    }
    // Boxes that drain are no loss to a zone: nothing is kept for them.
    let drained: Vec<Entry> = listed
        .iter()
        .map(|e| entry(&e.uid, "a", State::Draining))
        .collect();
    let (_, kept, passed) = vetting.vet(answer(3, ListMode::Full, vec![]), drained.iter());
    assert_eq!((kept, passed), (vec![], vec![]));
}

#[test]
fn older_news_takes_away_and_brings_nothing_back() {
    let (listed, mut vetting) = (listed(), Vetting::default());
    vetting.vet(answer(7, ListMode::Delta, vec![]), listed.iter());
    let old = vec![
        entry("a1", "a", State::Gone),
        entry("a9", "a", State::Ready),
        entry("a2", "a", State::Draining),
    ];
    let (mode, kept, passed) = vetting.vet(answer(6, ListMode::Full, old), listed.iter());
    assert_eq!((mode, uids(&kept)), (ListMode::Delta, vec!["a1", "a2"]));
    assert_eq!(passed, [PassedOver::Stale { rev: 6, known: 7 }]);
    // The same revision again is a repeat and no older, and a source may number nothing at all.
    for rev in [Some(7), None] {
        let again = Answer {
            rev,
            ..answer(0, ListMode::Delta, ready(&["a9"]))
        };
        assert_eq!(vetting.vet(again, listed.iter()).2, []);
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
    for (words, state, contradicts) in [
        (vec![gone.clone(), back.clone()], State::Gone, true),
        (vec![back.clone(), gone.clone()], State::Gone, false),
        (vec![gone.clone(), started], State::Ready, false),
        (vec![back.clone(), back], State::Ready, false),
    ] {
        let (_, kept, passed) =
            Vetting::default().vet(answer(1, ListMode::Delta, words), [].iter());
        assert_eq!((kept.len(), kept[0].server.state), (1, state));
        assert_eq!(
            passed == [PassedOver::Contradiction("a1".into())],
            contradicts
        );
    }
}

#[test]
fn what_can_not_be_read_may_be_what_is_left_out() {
    let listed = listed();
    let torn = Answer {
        unreadable: vec!["field 'state' is wrong".into(), "?".into()],
        ..answer(2, ListMode::Full, ready(&["a1", "a2"]))
    };
    let (mode, kept, passed) = Vetting::default().vet(torn, listed.iter());
    assert_eq!((mode, uids(&kept)), (ListMode::Delta, vec!["a1", "a2"]));
    assert_eq!(
        passed,
        [PassedOver::Unreadable(vec![
            "field 'state' is wrong".into(),
            "?".into()
        ])]
    );
    assert!(passed[0]
        .to_string()
        .starts_with("2 entries of a list can't be read (field 'state' is wrong)"));
}
