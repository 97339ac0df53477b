//! The endpoint table by scripts: flaps, conflicts, limits; and a relayed source, event by event.

mod common;

use common::*;
use linnetknot::{ListMode, State};
use linnetknot_discovery::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn ready(
    table: &mut EndpointTable,
    mirror: &mut Mirror,
    now: u64,
    uids: &[(&str, State)],
) -> TableUpdate {
    let reports = uids
        .iter()
        .enumerate()
        .map(|(n, (uid, state))| report(uid, 7000 + n as u16, *state));
    let out = table.apply(now, CONSUL, full(reports.collect()));
    mirror.apply(&out);
    out
}

#[test]
fn a_check_that_flips_every_second_and_a_half_is_held_back_and_let_in_again_once_steady() {
    let (mut table, mut mirror) = (table(), Mirror::default());
    let mut now = S;
    let others = ["b", "c", "d"].map(|uid| (uid, State::Ready));
    let tell = |table: &mut EndpointTable, mirror: &mut Mirror, now, state| {
        ready(table, mirror, now, &[&[("a", state)], &others[..]].concat())
    };
    tell(&mut table, &mut mirror, now, State::Ready);
    assert_eq!(
        mirror.0["a"].server.started, None,
        "of the first list nobody is known to have just started"
    );
    let mut returns = 0;
    for _ in 0..20 {
        now += 3 * S / 2;
        tell(&mut table, &mut mirror, now, State::Draining);
        assert_eq!(mirror.state("a"), State::Draining);
        now += 3 * S / 2;
        tell(&mut table, &mut mirror, now, State::Ready);
        if mirror.state("a") == State::Ready {
            returns += 1;
            assert_eq!(
                mirror.0["a"].server.started,
                Some(now),
                "each return is taken in step by step"
            );
        }
    }
    assert_eq!(returns, 2, "the third return is one too many");
    let why = table.explain("a", now).unwrap();
    assert_eq!(
        (why.status, why.reason),
        (EndpointStatus::Suppressed, Reason::Flapping)
    );
    assert!(why.penalty > 2.0);
    // From here it stays passing.
    let due = table.next_due(now).unwrap();
    assert_eq!(Some(due), why.suppressed_until);
    assert!(
        due <= now + Damping::default().max_suppressed_us,
        "not punished for long"
    );
    mirror.apply(&table.poll(due - 2));
    assert_eq!(mirror.state("a"), State::Draining);
    let out = table.poll(due);
    mirror.apply(&out);
    assert_eq!(
        (mirror.state("a"), mirror.0["a"].server.started),
        (State::Ready, Some(due))
    );
    assert_eq!(
        (out.changes[0].new, &out.changes[0].reason),
        (EndpointStatus::Ready, &Reason::PenaltyDecayed)
    );
    assert_eq!(table.next_due(due), None);
}

#[test]
fn a_wave_of_flaps_holds_back_no_more_than_the_stated_share_and_never_lifts_a_drain() {
    let (mut table, mut mirror) = (table(), Mirror::default());
    let uids: Vec<String> = (0..9).map(|n| format!("s-{n}")).collect();
    let all = |state| {
        uids.iter()
            .map(|uid| (uid.as_str(), state))
            .collect::<Vec<_>>()
    };
    let mut now = S;
    ready(&mut table, &mut mirror, now, &all(State::Ready));
    for _ in 0..6 {
        now += S;
        ready(&mut table, &mut mirror, now, &all(State::Draining));
        assert!(
            mirror.0.values().all(|e| e.server.state == State::Draining),
            "a reported drain always counts"
        );
        assert_eq!(mirror.0.len(), 9, "but the list is not emptied");
        now += S;
        ready(&mut table, &mut mirror, now, &all(State::Ready));
        let suppressed = mirror
            .0
            .values()
            .filter(|e| e.server.state != State::Ready)
            .count();
        assert!(
            suppressed <= 3,
            "{suppressed} of 9 suppressed, and a third may be"
        );
    }
    let suppressed: Vec<_> = table
        .explain_all(now)
        .filter(|e| e.status == EndpointStatus::Suppressed)
        .collect();
    assert_eq!(suppressed.len(), 3);
    let reasons: Vec<_> = table.explain_all(now).map(|e| e.reason).collect();
    assert_eq!(
        reasons
            .iter()
            .filter(|r| **r == Reason::DampingLimit)
            .count(),
        6
    );
    // An only box of its kind is never held back by damping.
    let mut only = Mirror::default();
    let mut table = common::table();
    for n in 0..9 {
        let state = if n % 2 == 0 {
            State::Ready
        } else {
            State::Draining
        };
        ready(&mut table, &mut only, now + n * S, &[("o", state)]);
    }
    assert_eq!(only.state("o"), State::Ready);
}

#[test]
fn a_new_box_of_a_later_list_is_taken_for_one_that_has_just_started() {
    let (mut table, mut mirror) = (table(), Mirror::default());
    ready(&mut table, &mut mirror, S, &[("a", State::Ready)]);
    ready(
        &mut table,
        &mut mirror,
        5 * S,
        &[("a", State::Ready), ("n", State::Ready)],
    );
    assert_eq!(mirror.0["n"].server.started, Some(5 * S));
    assert_eq!(mirror.0["a"].server.started, None);
    let out = ready(
        &mut table,
        &mut mirror,
        6 * S,
        &[("a", State::Ready), ("n", State::Ready)],
    );
    assert!(
        out.is_empty(),
        "nothing is published where nothing has changed: {out:?}"
    );
}

/// Applies a full list of ready caches at these ports.
fn tell(
    table: &mut EndpointTable,
    mirror: &mut Mirror,
    now: u64,
    list: &[(&str, u16)],
) -> TableUpdate {
    let reports = list
        .iter()
        .map(|(uid, port)| report(uid, *port, State::Ready))
        .collect();
    let out = table.apply(now, CONSUL, full(reports));
    mirror.apply(&out);
    out
}

#[test]
fn an_address_goes_with_the_box_that_was_told_there_last() {
    let (mut table, mut mirror) = (table(), Mirror::default());
    an_address_is_taken_over(&mut table, &mut mirror);
    addresses_are_swapped_and_inherited(&mut table, &mut mirror);
}

fn an_address_is_taken_over(table: &mut EndpointTable, mirror: &mut Mirror) {
    tell(table, mirror, S, &[("old", 1), ("b", 2)]);
    let out = tell(table, mirror, 2 * S, &[("old", 1), ("new", 1), ("b", 2)]);
    assert_eq!(
        (mirror.state("old"), mirror.state("new")),
        (State::Gone, State::Ready)
    );
    assert!(matches!(&out.notices[..], [Notice::DuplicateAddress { uid, .. }] if uid == "new"));
    assert_eq!(
        table.explain("old", 2 * S).unwrap().reason,
        Reason::AddressTaken("new".into())
    );
    // Told again and again, and it stays so.
    let out = tell(table, mirror, 3 * S, &[("old", 1), ("new", 1), ("b", 2)]);
    assert!(out.is_empty(), "{out:?}");
    // The old one moves away: it leaves and comes anew, at the new address.
    let out = tell(table, mirror, 4 * S, &[("old", 9), ("new", 1), ("b", 2)]);
    assert_eq!(
        (mirror.state("old"), mirror.0["old"].endpoint.port()),
        (State::Ready, 9)
    );
    assert!(matches!(&out.notices[..], [Notice::Moved { .. }]));
}

fn addresses_are_swapped_and_inherited(table: &mut EndpointTable, mirror: &mut Mirror) {
    // Two swap their addresses in one list.
    let out = tell(table, mirror, 5 * S, &[("old", 1), ("new", 9), ("b", 2)]);
    assert_eq!(
        (
            mirror.0["old"].endpoint.port(),
            mirror.0["new"].endpoint.port()
        ),
        (1, 9)
    );
    let states: Vec<State> = out.events[0]
        .entries
        .iter()
        .map(|e| e.server.state)
        .collect();
    assert_eq!(
        states,
        [State::Gone, State::Gone, State::Ready, State::Ready],
        "who leaves comes first"
    );
    // The one that holds an address leaves: the one that waits for it has it back.
    tell(table, mirror, 6 * S, &[("old", 1), ("x", 1), ("b", 2)]);
    assert_eq!(mirror.state("old"), State::Gone);
    tell(table, mirror, 7 * S, &[("old", 1), ("b", 2)]);
    assert_eq!(
        (mirror.state("old"), mirror.state("x")),
        (State::Ready, State::Gone)
    );
}

#[test]
fn one_id_at_two_nodes_or_in_two_sources_is_one_box_and_the_first_keeps_it() {
    let (mut table, mut mirror) = (table(), Mirror::default());
    let two = |a, b| {
        full(vec![
            report("a", a, State::Ready),
            report("a", b, State::Ready),
        ])
    };
    let out = table.apply(S, CONSUL, two(1, 2));
    mirror.apply(&out);
    assert_eq!(mirror.0["a"].endpoint.port(), 1);
    assert!(
        matches!(&out.notices[..], [Notice::DuplicateId { rejected, .. }] if rejected.port() == 2)
    );
    mirror.apply(&table.apply(2 * S, CONSUL, two(2, 1)));
    assert_eq!(
        mirror.0["a"].endpoint.port(),
        1,
        "whatever the order of the list"
    );
    // By another source the id names another box, whose drain is none of this one's.
    let mut table = common::table();
    mirror.apply(&table.apply(S, BUS, full(vec![report("a", 1, State::Ready)])));
    let out = table.apply(S, CONSUL, full(vec![report("a", 5, State::Draining)]));
    mirror.apply(&out);
    assert_eq!(
        (mirror.state("a"), mirror.0["a"].endpoint.port()),
        (State::Ready, 1)
    );
    assert!(matches!(
        &out.notices[..],
        [Notice::DuplicateId { source: CONSUL, .. }]
    ));
}

#[test]
fn of_two_sources_the_one_that_says_drain_or_gone_is_believed() {
    let (mut table, mut mirror) = (table(), Mirror::default());
    mirror.apply(&table.apply(S, BUS, full(vec![report("a", 1, State::Ready)])));
    mirror.apply(&table.apply(2 * S, CONSUL, full(vec![report("a", 1, State::Draining)])));
    assert_eq!(mirror.state("a"), State::Draining);
    mirror.apply(&table.apply(3 * S, CONSUL, full(vec![report("a", 1, State::Ready)])));
    assert_eq!(mirror.state("a"), State::Ready);
    mirror.apply(&table.apply(4 * S, CONSUL, full(vec![])));
    assert_eq!(
        mirror.state("a"),
        State::Draining,
        "gone by one, still named by the other"
    );
    assert_eq!(
        table.explain("a", 4 * S).unwrap().reason,
        Reason::RemovedBySource("consul".into())
    );
    mirror.apply(&table.apply(
        5 * S,
        BUS,
        Evidence::Delta(vec![report("a", 1, State::Ready)]),
    ));
    assert_eq!(mirror.state("a"), State::Ready, "named anew");
    mirror.apply(&table.apply(
        6 * S,
        BUS,
        Evidence::Delta(vec![report("a", 1, State::Gone)]),
    ));
    assert_eq!(mirror.state("a"), State::Gone);
}

#[test]
fn a_full_table_refuses_newcomers_by_name_and_keeps_whom_it_has() {
    let limits = Limits {
        max_caches: 2,
        max_remembered: 1,
    };
    let sources = vec![source("bus", true), source("consul", false)];
    let mut table = EndpointTable::new(sources, Damping::default(), limits);
    let three: Vec<Report> = (0..3)
        .map(|n| report(&format!("s-{n}"), n, State::Ready))
        .collect();
    let out = table.apply(S, CONSUL, full(three.clone()));
    assert_eq!(out.notices, [Notice::TableFull("s-2".into())]);
    assert_eq!(table.listed().count(), 2);
    // Who is gone leaves room, and no more than so many of them are remembered.
    table.apply(2 * S, CONSUL, full(three[2..].to_vec()));
    assert_eq!(
        table
            .listed()
            .map(|(e, _)| e.uid.as_str())
            .collect::<Vec<_>>(),
        ["s-2"]
    );
    assert_eq!(
        table.explain_all(2 * S).count(),
        2,
        "one that is listed, one that is remembered"
    );
}

#[test]
fn a_list_that_is_kept_comes_back_whole_or_not_at_all() {
    let list = [entry("a", 1, State::Ready), entry("b", 2, State::Draining)];
    let bytes = cached_snapshot::encode("pop-cache", 100 * S, list.iter());
    let read = |bytes: &[u8], scope, now| cached_snapshot::decode(bytes, scope, now, 4096, 60 * S);
    assert_eq!(
        read(&bytes, "pop-cache", 130 * S).unwrap(),
        cached_snapshot::CachedSnapshot {
            confirmed_at: 100 * S,
            entries: list.to_vec()
        }
    );
    for cut in 0..bytes.len() {
        assert!(
            read(&bytes[..cut], "pop-cache", 130 * S).is_err(),
            "cut at {cut}"
        );
    }
    for position in 0..bytes.len() {
        let mut bad = bytes.clone();
        bad[position] ^= 1;
        assert!(
            read(&bad, "pop-cache", 130 * S).is_err(),
            "a flipped bit at {position}"
        );
    }
    use cached_snapshot::SnapshotError::*;
    assert_eq!(read(&bytes, "pop-cache", 161 * S), Err(Expired(61 * S)));
    // An hour's step back of the clock, twice, loses no list; what is further from the future is refused.
    let stepped = |seconds: u64| {
        cached_snapshot::encode("pop-cache", (7_300 + seconds) * S, std::iter::empty())
    };
    let read_stepped = |seconds: u64| {
        read(&stepped(seconds), "pop-cache", 100 * S).map(|snapshot| snapshot.confirmed_at)
    };
    assert_eq!(read_stepped(0), Ok(7_300 * S));
    assert_eq!(read_stepped(10), Err(FromFuture(7_210 * S)));
    assert!(matches!(
        read(&bytes, "other", 130 * S),
        Err(WrongScope { .. })
    ));
    assert_eq!(read(b"{}", "pop-cache", 0), Err(NotASnapshot));
    let later = String::from_utf8(bytes.clone())
        .unwrap()
        .replacen("list 1 ", "list 2 ", 1);
    assert_eq!(
        read(later.as_bytes(), "pop-cache", 130 * S),
        Err(UnsupportedFormat(2))
    );
    assert_eq!(
        cached_snapshot::decode(&bytes, "pop-cache", 130 * S, 20, S),
        Err(TooLong)
    );
}

/// Files that earlier versions have written must stay readable.
#[test]
fn the_stored_form_of_a_cached_list_is_as_it_was() {
    let list = [entry("a", 1, State::Ready), entry("b", 2, State::Draining)];
    let stored = include_bytes!("cached_list_format_1.list");
    let written = cached_snapshot::encode("pop-cache", 100 * S, list.iter());
    assert_eq!(
        String::from_utf8_lossy(&written),
        String::from_utf8_lossy(stored)
    );
    let read = cached_snapshot::decode(stored, "pop-cache", 130 * S, 4096, 60 * S).unwrap();
    assert_eq!(read.entries, list);
}

fn state() -> impl Strategy<Value = State> {
    prop_oneof![3 => Just(State::Ready), 1 => Just(State::Draining), 1 => Just(State::Gone)]
}

fn event() -> impl Strategy<Value = (bool, Vec<Entry>)> {
    let one = (0u8..5, 0u16..6, state(), any::<bool>()).prop_map(|(n, port, state, late)| {
        let mut e = entry(&format!("s-{n}"), port, state);
        e.server.started = late.then_some(u64::from(port) * S);
        e.server.weight = f64::from(port + 1);
        e
    });
    (any::<bool>(), proptest::collection::vec(one, 0..6))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256, rng_seed: RngSeed::Fixed(0x11ae), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Where the bus is the only source, the module must receive its events as they came.
    #[test]
    fn a_relayed_source_alone_is_passed_on_to_the_event(events in proptest::collection::vec(event(), 1..12)) {
        let mut table = table();
        for (n, (is_full, entries)) in events.into_iter().enumerate() {
            let reports = entries.iter().cloned().map(Report::from).collect();
            let (mode, evidence) = match is_full {
                true => (ListMode::Full, Evidence::Full(reports)),
                false => (ListMode::Delta, Evidence::Delta(reports)),
            };
            let out = table.apply(n as u64 * S, BUS, evidence);
            prop_assert_eq!(out.events, vec![ListEvent { mode, entries }]);
        }
    }

    /// Whatever two sources report in whatever order: what one of them reports as draining is not published as ready, no list
    /// is emptied while a cache is listed, and what is reported ready and steady is ready in the end.
    #[test]
    fn words_of_two_sources_are_kept(steps in proptest::collection::vec(
        (any::<bool>(), any::<bool>(), 0u64..4000, proptest::collection::vec((0u8..4, state()), 0..5)), 1..30)) {
        let mut table = EndpointTable::new(
            vec![source("file", false), source("consul", false)], Damping::default(), Limits { max_caches: 100, max_remembered: 4 });
        let mut mirror = Mirror::default();
        let mut reported = [std::collections::BTreeMap::new(), std::collections::BTreeMap::new()];
        let mut now = S;
        for (first, is_full, wait_ms, changes) in steps {
            now += wait_ms * 1000;
            let at = usize::from(!first);
            let mut seen = std::collections::BTreeSet::new();
            let changes: Vec<_> = changes.into_iter().filter(|(n, _)| seen.insert(*n)).collect();
            if is_full {
                reported[at].clear();
            }
            for (n, state) in &changes {
                reported[at].insert(*n, *state);
            }
            let reports = changes.iter().map(|(n, s)| report(&format!("s-{n}"), u16::from(*n), *s)).collect();
            let evidence = if is_full { Evidence::Full(reports) } else { Evidence::Delta(reports) };
            mirror.apply(&table.poll(now));
            mirror.apply(&table.apply(now, SourceId(at), evidence));
            for n in 0..4u8 {
                let state_by = |at: usize| reported[at].get(&n).copied().unwrap_or(State::Gone);
                let (a, b) = (state_by(0), state_by(1));
                let published = mirror.state(&format!("s-{n}"));
                if a == State::Draining || b == State::Draining {
                    prop_assert!(published != State::Ready, "s-{} is reported as draining", n);
                }
                prop_assert_eq!(published == State::Gone, a == State::Gone && b == State::Gone, "s-{}: {:?}", n, (a, b));
            }
        }
        while let Some(due) = table.next_due(now) {
            prop_assert!(due <= now + Damping::default().max_suppressed_us + 1);
            mirror.apply(&table.poll(due));
            now = due;
        }
        prop_assert!(table.listed().all(|(_, status)| status != EndpointStatus::Suppressed));
    }
}
