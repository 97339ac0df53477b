//! The endpoint table: flap damping, conflicting reports, size limits, cached snapshots and relayed sources.

mod common;

use common::*;
use linnetknot::{ListMode, State};
use linnetknot_discovery::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn apply_states(
    table: &mut EndpointTable,
    published: &mut PublishedList,
    now: u64,
    uids: &[(&str, State)],
) -> TableUpdate {
    let reports = uids
        .iter()
        .enumerate()
        .map(|(n, (uid, state))| report(uid, 7000 + n as u16, *state));
    let update = table.apply(now, CONSUL, full_list(reports.collect()));
    published.apply(&update);
    update
}

#[test]
fn a_flapping_cache_is_suppressed_and_reused_once_its_penalty_has_decayed() {
    let (mut table, mut published) = (table(), PublishedList::default());
    let mut now = SECOND_US;
    let others = ["b", "c", "d"].map(|uid| (uid, State::Ready));
    let apply_with_state =
        |table: &mut EndpointTable, published: &mut PublishedList, now, state| {
            apply_states(
                table,
                published,
                now,
                &[&[("a", state)], &others[..]].concat(),
            )
        };
    apply_with_state(&mut table, &mut published, now, State::Ready);
    assert_eq!(
        published.0["a"].server.started, None,
        "caches of the first list get no start time"
    );
    let mut returns = 0;
    for _ in 0..20 {
        now += 3 * SECOND_US / 2;
        apply_with_state(&mut table, &mut published, now, State::Draining);
        assert_eq!(published.state("a"), State::Draining);
        now += 3 * SECOND_US / 2;
        apply_with_state(&mut table, &mut published, now, State::Ready);
        if published.state("a") == State::Ready {
            returns += 1;
            assert_eq!(
                published.0["a"].server.started,
                Some(now),
                "a returning cache gets a new start time"
            );
        }
    }
    assert_eq!(
        returns, 2,
        "the third return exceeds the suppression threshold"
    );
    let explanation = table.explain("a", now).unwrap();
    assert_eq!(
        (explanation.status, explanation.reason),
        (EndpointStatus::Suppressed, Reason::Flapping)
    );
    assert!(explanation.penalty > 2.0);
    // No further change of state is reported, so the suppression must end at the time returned by `next_due`.
    let due = table.next_due(now).unwrap();
    assert_eq!(Some(due), explanation.suppressed_until);
    assert!(
        due <= now + Damping::default().max_suppressed_us,
        "the suppression is bounded"
    );
    published.apply(&table.poll(due - 2));
    assert_eq!(published.state("a"), State::Draining);
    let update = table.poll(due);
    published.apply(&update);
    assert_eq!(
        (published.state("a"), published.0["a"].server.started),
        (State::Ready, Some(due))
    );
    assert_eq!(
        (update.changes[0].new, &update.changes[0].reason),
        (EndpointStatus::Ready, &Reason::PenaltyDecayed)
    );
    assert_eq!(table.next_due(due), None);
}

#[test]
fn simultaneous_flaps_suppress_at_most_the_maximum_share_and_never_override_a_drain() {
    let (mut table, mut published) = (table(), PublishedList::default());
    let uids: Vec<String> = (0..9).map(|n| format!("s-{n}")).collect();
    let all = |state| {
        uids.iter()
            .map(|uid| (uid.as_str(), state))
            .collect::<Vec<_>>()
    };
    let mut now = SECOND_US;
    apply_states(&mut table, &mut published, now, &all(State::Ready));
    for _ in 0..6 {
        now += SECOND_US;
        apply_states(&mut table, &mut published, now, &all(State::Draining));
        assert!(
            published
                .0
                .values()
                .all(|entry| entry.server.state == State::Draining),
            "a reported drain takes effect at once"
        );
        assert_eq!(published.0.len(), 9, "draining caches stay in the list");
        now += SECOND_US;
        apply_states(&mut table, &mut published, now, &all(State::Ready));
        let suppressed = published
            .0
            .values()
            .filter(|entry| entry.server.state != State::Ready)
            .count();
        assert!(suppressed <= 3, "{suppressed} of 9 caches are suppressed");
    }
    let suppressed: Vec<_> = table
        .explain_all(now)
        .filter(|entry| entry.status == EndpointStatus::Suppressed)
        .collect();
    assert_eq!(suppressed.len(), 3);
    let reasons: Vec<_> = table.explain_all(now).map(|entry| entry.reason).collect();
    assert_eq!(
        reasons
            .iter()
            .filter(|r| **r == Reason::DampingLimit)
            .count(),
        6
    );
    // Damping never suppresses the only cache of a kind.
    let mut single_published = PublishedList::default();
    let mut table = common::table();
    for n in 0..9 {
        let state = if n % 2 == 0 {
            State::Ready
        } else {
            State::Draining
        };
        apply_states(
            &mut table,
            &mut single_published,
            now + n * SECOND_US,
            &[("o", state)],
        );
    }
    assert_eq!(single_published.state("o"), State::Ready);
}

#[test]
fn a_cache_that_first_appears_in_a_later_list_gets_a_start_time() {
    let (mut table, mut published) = (table(), PublishedList::default());
    apply_states(
        &mut table,
        &mut published,
        SECOND_US,
        &[("a", State::Ready)],
    );
    apply_states(
        &mut table,
        &mut published,
        5 * SECOND_US,
        &[("a", State::Ready), ("n", State::Ready)],
    );
    assert_eq!(published.0["n"].server.started, Some(5 * SECOND_US));
    assert_eq!(published.0["a"].server.started, None);
    let update = apply_states(
        &mut table,
        &mut published,
        6 * SECOND_US,
        &[("a", State::Ready), ("n", State::Ready)],
    );
    assert!(
        update.is_empty(),
        "an unchanged list publishes nothing: {update:?}"
    );
}

/// Applies a full list of ready caches with their ports.
fn apply_ready_list(
    table: &mut EndpointTable,
    published: &mut PublishedList,
    now: u64,
    list: &[(&str, u16)],
) -> TableUpdate {
    let reports = list
        .iter()
        .map(|(uid, port)| report(uid, *port, State::Ready))
        .collect();
    let update = table.apply(now, CONSUL, full_list(reports));
    published.apply(&update);
    update
}

#[test]
fn an_address_belongs_to_the_cache_that_was_reported_there_last() {
    let (mut table, mut published) = (table(), PublishedList::default());
    check_address_takeover(&mut table, &mut published);
    check_address_swap_and_return(&mut table, &mut published);
}

fn check_address_takeover(table: &mut EndpointTable, published: &mut PublishedList) {
    apply_ready_list(table, published, SECOND_US, &[("old", 1), ("b", 2)]);
    let update = apply_ready_list(
        table,
        published,
        2 * SECOND_US,
        &[("old", 1), ("new", 1), ("b", 2)],
    );
    assert_eq!(
        (published.state("old"), published.state("new")),
        (State::Gone, State::Ready)
    );
    assert!(matches!(&update.notices[..], [Notice::DuplicateAddress { uid, .. }] if uid == "new"));
    assert_eq!(
        table.explain("old", 2 * SECOND_US).unwrap().reason,
        Reason::AddressTaken("new".into())
    );
    // A list equal to the previous list changes nothing in the table.
    let update = apply_ready_list(
        table,
        published,
        3 * SECOND_US,
        &[("old", 1), ("new", 1), ("b", 2)],
    );
    assert!(update.is_empty(), "{update:?}");
    // The previous cache moves to another address: it is removed and added again.
    let update = apply_ready_list(
        table,
        published,
        4 * SECOND_US,
        &[("old", 9), ("new", 1), ("b", 2)],
    );
    assert_eq!(
        (published.state("old"), published.0["old"].endpoint.port()),
        (State::Ready, 9)
    );
    assert!(matches!(&update.notices[..], [Notice::Moved { .. }]));
}

fn check_address_swap_and_return(table: &mut EndpointTable, published: &mut PublishedList) {
    // Two caches swap their addresses in one list.
    let update = apply_ready_list(
        table,
        published,
        5 * SECOND_US,
        &[("old", 1), ("new", 9), ("b", 2)],
    );
    assert_eq!(
        (
            published.0["old"].endpoint.port(),
            published.0["new"].endpoint.port()
        ),
        (1, 9)
    );
    let states: Vec<State> = update.events[0]
        .entries
        .iter()
        .map(|entry| entry.server.state)
        .collect();
    assert_eq!(
        states,
        [State::Gone, State::Gone, State::Ready, State::Ready],
        "removals come first"
    );
    // When the cache that holds an address is removed, the other cache at that address is published again.
    apply_ready_list(
        table,
        published,
        6 * SECOND_US,
        &[("old", 1), ("x", 1), ("b", 2)],
    );
    assert_eq!(published.state("old"), State::Gone);
    apply_ready_list(table, published, 7 * SECOND_US, &[("old", 1), ("b", 2)]);
    assert_eq!(
        (published.state("old"), published.state("x")),
        (State::Ready, State::Gone)
    );
}

#[test]
fn a_duplicate_id_stays_with_the_cache_that_was_reported_first() {
    let (mut table, mut published) = (table(), PublishedList::default());
    let duplicate_reports = |a, b| {
        full_list(vec![
            report("a", a, State::Ready),
            report("a", b, State::Ready),
        ])
    };
    let update = table.apply(SECOND_US, CONSUL, duplicate_reports(1, 2));
    published.apply(&update);
    assert_eq!(published.0["a"].endpoint.port(), 1);
    assert!(
        matches!(&update.notices[..], [Notice::DuplicateId { rejected, .. }] if rejected.port() == 2)
    );
    published.apply(&table.apply(2 * SECOND_US, CONSUL, duplicate_reports(2, 1)));
    assert_eq!(
        published.0["a"].endpoint.port(),
        1,
        "independent of the order of the list"
    );
    // Another source uses the same id for a different cache. The drain of that cache must not affect the first cache.
    let mut table = common::table();
    published.apply(&table.apply(
        SECOND_US,
        BUS,
        full_list(vec![report("a", 1, State::Ready)]),
    ));
    let update = table.apply(
        SECOND_US,
        CONSUL,
        full_list(vec![report("a", 5, State::Draining)]),
    );
    published.apply(&update);
    assert_eq!(
        (published.state("a"), published.0["a"].endpoint.port()),
        (State::Ready, 1)
    );
    assert!(matches!(
        &update.notices[..],
        [Notice::DuplicateId { source: CONSUL, .. }]
    ));
}

#[test]
fn a_drain_or_removal_by_either_source_takes_effect() {
    let (mut table, mut published) = (table(), PublishedList::default());
    published.apply(&table.apply(
        SECOND_US,
        BUS,
        full_list(vec![report("a", 1, State::Ready)]),
    ));
    published.apply(&table.apply(
        2 * SECOND_US,
        CONSUL,
        full_list(vec![report("a", 1, State::Draining)]),
    ));
    assert_eq!(published.state("a"), State::Draining);
    published.apply(&table.apply(
        3 * SECOND_US,
        CONSUL,
        full_list(vec![report("a", 1, State::Ready)]),
    ));
    assert_eq!(published.state("a"), State::Ready);
    published.apply(&table.apply(4 * SECOND_US, CONSUL, full_list(vec![])));
    assert_eq!(
        published.state("a"),
        State::Draining,
        "removed by one source, still listed by the other"
    );
    assert_eq!(
        table.explain("a", 4 * SECOND_US).unwrap().reason,
        Reason::RemovedBySource("consul".into())
    );
    published.apply(&table.apply(
        5 * SECOND_US,
        BUS,
        Evidence::Delta(vec![report("a", 1, State::Ready)]),
    ));
    assert_eq!(published.state("a"), State::Ready, "listed again");
    published.apply(&table.apply(
        6 * SECOND_US,
        BUS,
        Evidence::Delta(vec![report("a", 1, State::Gone)]),
    ));
    assert_eq!(published.state("a"), State::Gone);
}

/// Guards against a full load on a cache that was restarted while Consul had it out of service, as the bus, which lists it
/// too, does not report the restart yet.
#[test]
fn a_cache_that_one_source_returns_to_service_gets_a_start_time_beside_the_other() {
    for out_of_service in [vec![report("a", 1, State::Draining)], vec![]] {
        let (mut table, mut published) = (table(), PublishedList::default());
        let ready = || vec![report("a", 1, State::Ready)];
        published.apply(&table.apply(SECOND_US, BUS, full_list(ready())));
        published.apply(&table.apply(2 * SECOND_US, CONSUL, full_list(ready())));
        assert_eq!(published.started("a"), None, "it has not returned");
        published.apply(&table.apply(3 * SECOND_US, CONSUL, full_list(out_of_service)));
        assert_eq!(published.state("a"), State::Draining);
        published.apply(&table.apply(4 * SECOND_US, CONSUL, full_list(ready())));
        assert_eq!(published.started("a"), Some(4 * SECOND_US));
        published.apply(&table.apply(5 * SECOND_US, BUS, Evidence::Delta(ready())));
        assert_eq!(published.started("a"), Some(4 * SECOND_US), "it is kept");
    }
}

#[test]
fn a_full_table_rejects_new_caches_and_retains_known_ones() {
    let limits = Limits {
        max_caches: 2,
        max_remembered: 1,
    };
    let sources = vec![source("bus", true), source("consul", false)];
    let mut table = EndpointTable::new(sources, Damping::default(), limits);
    let reports: Vec<Report> = (0..3)
        .map(|n| report(&format!("s-{n}"), n, State::Ready))
        .collect();
    let update = table.apply(SECOND_US, CONSUL, full_list(reports.clone()));
    assert_eq!(update.notices, [Notice::TableFull("s-2".into())]);
    assert_eq!(table.listed().count(), 2);
    // Removed caches free capacity, and at most `max_remembered` of them are remembered.
    table.apply(2 * SECOND_US, CONSUL, full_list(reports[2..].to_vec()));
    assert_eq!(
        table
            .listed()
            .map(|(entry, _)| entry.uid.as_str())
            .collect::<Vec<_>>(),
        ["s-2"]
    );
    assert_eq!(
        table.explain_all(2 * SECOND_US).count(),
        2,
        "one listed cache and one remembered cache"
    );
}

#[test]
fn a_cached_snapshot_is_decoded_only_if_it_is_intact_and_recent() {
    let list = [entry("a", 1, State::Ready), entry("b", 2, State::Draining)];
    let bytes = cached_snapshot::encode("pop-cache", 100 * SECOND_US, list.iter());
    let read =
        |bytes: &[u8], scope, now| cached_snapshot::decode(bytes, scope, now, 4096, 60 * SECOND_US);
    assert_eq!(
        read(&bytes, "pop-cache", 130 * SECOND_US).unwrap(),
        cached_snapshot::CachedSnapshot {
            confirmed_at: 100 * SECOND_US,
            entries: list.to_vec()
        }
    );
    for cut in 0..bytes.len() {
        assert!(
            read(&bytes[..cut], "pop-cache", 130 * SECOND_US).is_err(),
            "cut at {cut}"
        );
    }
    for position in 0..bytes.len() {
        let mut corrupted = bytes.clone();
        corrupted[position] ^= 1;
        assert!(
            read(&corrupted, "pop-cache", 130 * SECOND_US).is_err(),
            "bit flipped at {position}"
        );
    }
    use cached_snapshot::SnapshotError::*;
    assert_eq!(
        read(&bytes, "pop-cache", 161 * SECOND_US),
        Err(Expired(61 * SECOND_US))
    );
    // Two clock steps of one hour are tolerated; a list with a later time is rejected.
    let stepped = |seconds: u64| {
        cached_snapshot::encode(
            "pop-cache",
            (7_300 + seconds) * SECOND_US,
            std::iter::empty(),
        )
    };
    let read_stepped = |seconds: u64| {
        read(&stepped(seconds), "pop-cache", 100 * SECOND_US).map(|snapshot| snapshot.confirmed_at)
    };
    assert_eq!(read_stepped(0), Ok(7_300 * SECOND_US));
    assert_eq!(read_stepped(10), Err(FromFuture(7_210 * SECOND_US)));
    assert!(matches!(
        read(&bytes, "other", 130 * SECOND_US),
        Err(WrongScope { .. })
    ));
    assert_eq!(read(b"{}", "pop-cache", 0), Err(NotASnapshot));
    let later = String::from_utf8(bytes.clone())
        .unwrap()
        .replacen("list 1 ", "list 2 ", 1);
    assert_eq!(
        read(later.as_bytes(), "pop-cache", 130 * SECOND_US),
        Err(UnsupportedFormat(2))
    );
    assert_eq!(
        cached_snapshot::decode(&bytes, "pop-cache", 130 * SECOND_US, 20, SECOND_US),
        Err(TooLong)
    );
}

/// Files that earlier versions wrote must stay readable.
#[test]
fn the_snapshot_format_is_unchanged() {
    let list = [entry("a", 1, State::Ready), entry("b", 2, State::Draining)];
    let stored = include_bytes!("cached_list_format_1.list");
    let written = cached_snapshot::encode("pop-cache", 100 * SECOND_US, list.iter());
    assert_eq!(
        String::from_utf8_lossy(&written),
        String::from_utf8_lossy(stored)
    );
    let read = cached_snapshot::decode(stored, "pop-cache", 130 * SECOND_US, 4096, 60 * SECOND_US)
        .unwrap();
    assert_eq!(read.entries, list);
}

fn any_state() -> impl Strategy<Value = State> {
    prop_oneof![3 => Just(State::Ready), 1 => Just(State::Draining), 1 => Just(State::Gone)]
}

fn any_event() -> impl Strategy<Value = (bool, Vec<Entry>)> {
    let any_entry =
        (0u8..5, 0u16..6, any_state(), any::<bool>()).prop_map(|(n, port, state, late)| {
            let mut entry = entry(&format!("s-{n}"), port, state);
            entry.server.started = late.then_some(u64::from(port) * SECOND_US);
            entry.server.weight = f64::from(port + 1);
            entry
        });
    (any::<bool>(), proptest::collection::vec(any_entry, 0..6))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256, rng_seed: RngSeed::Fixed(0x11ae), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// If the bus is the only source, the decision module must receive its events unchanged.
    #[test]
    fn events_of_a_single_relayed_source_are_published_unchanged(events in proptest::collection::vec(any_event(), 1..12)) {
        let mut table = table();
        for (n, (is_full, entries)) in events.into_iter().enumerate() {
            let reports = entries.iter().cloned().map(Report::from).collect();
            let (mode, evidence) = match is_full {
                true => (ListMode::Full, Evidence::Full(reports)),
                false => (ListMode::Delta, Evidence::Delta(reports)),
            };
            let update = table.apply(n as u64 * SECOND_US, BUS, evidence);
            prop_assert_eq!(update.events, vec![ListEvent { mode, entries }]);
        }
    }

    /// For any reports of two sources: a cache that one of them reports as draining is not published as ready, a listed
    /// cache is published, and every suppression ends.
    #[test]
    fn random_reports_of_two_sources_preserve_the_invariants(steps in proptest::collection::vec(
        (any::<bool>(), any::<bool>(), 0u64..4000, proptest::collection::vec((0u8..4, any_state()), 0..5)), 1..30)) {
        let mut table = EndpointTable::new(
            vec![source("file", false), source("consul", false)], Damping::default(), Limits { max_caches: 100, max_remembered: 4 });
        let mut published = PublishedList::default();
        let mut reported = [std::collections::BTreeMap::new(), std::collections::BTreeMap::new()];
        let mut now = SECOND_US;
        for (is_first, is_full, wait_ms, changes) in steps {
            now += wait_ms * 1000;
            let source_index = usize::from(!is_first);
            let mut seen = std::collections::BTreeSet::new();
            let changes: Vec<_> = changes.into_iter().filter(|(n, _)| seen.insert(*n)).collect();
            if is_full {
                reported[source_index].clear();
            }
            for (n, state) in &changes {
                reported[source_index].insert(*n, *state);
            }
            let reports = changes.iter().map(|(n, state)| report(&format!("s-{n}"), u16::from(*n), *state)).collect();
            let evidence = if is_full { Evidence::Full(reports) } else { Evidence::Delta(reports) };
            published.apply(&table.poll(now));
            published.apply(&table.apply(now, SourceId(source_index), evidence));
            for n in 0..4u8 {
                let state_by = |index: usize| reported[index].get(&n).copied().unwrap_or(State::Gone);
                let (a, b) = (state_by(0), state_by(1));
                let published_state = published.state(&format!("s-{n}"));
                if a == State::Draining || b == State::Draining {
                    prop_assert!(published_state != State::Ready, "s-{} is reported as draining", n);
                }
                prop_assert_eq!(published_state == State::Gone, a == State::Gone && b == State::Gone, "s-{}: {:?}", n, (a, b));
            }
        }
        while let Some(due) = table.next_due(now) {
            prop_assert!(due <= now + Damping::default().max_suppressed_us + 1);
            published.apply(&table.poll(due));
            now = due;
        }
        prop_assert!(table.listed().all(|(_, status)| status != EndpointStatus::Suppressed));
    }
}
