//! The book by scripts: flaps, conflicts, bounds; and a relayed source, event by event.

mod common;

use common::*;
use linnetknot::{ListMode, State};
use linnetknot_discovery::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn ready(book: &mut Discovery, mirror: &mut Mirror, now: u64, uids: &[(&str, State)]) -> Output {
    let reports = uids
        .iter()
        .enumerate()
        .map(|(n, (uid, state))| report(uid, 7000 + n as u16, *state));
    let out = book.tell(now, CONSUL, full(reports.collect()));
    mirror.hear(&out);
    out
}

#[test]
fn a_check_that_flips_every_second_and_a_half_is_held_back_and_let_in_again_once_steady() {
    let (mut book, mut mirror) = (book(), Mirror::default());
    let mut now = S;
    let others = ["b", "c", "d"].map(|uid| (uid, State::Ready));
    let tell = |book: &mut Discovery, mirror: &mut Mirror, now, state| {
        ready(book, mirror, now, &[&[("a", state)], &others[..]].concat())
    };
    tell(&mut book, &mut mirror, now, State::Ready);
    assert_eq!(
        mirror.0["a"].server.started, None,
        "of the first list nobody is known to have just started"
    );
    let mut returns = 0;
    for _ in 0..20 {
        now += 3 * S / 2;
        tell(&mut book, &mut mirror, now, State::Draining);
        assert_eq!(mirror.state("a"), State::Draining);
        now += 3 * S / 2;
        tell(&mut book, &mut mirror, now, State::Ready);
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
    let why = book.explain("a", now).unwrap();
    assert_eq!(
        (why.standing, why.reason),
        (Standing::Suppressed, Reason::Flapping)
    );
    assert!(why.penalty > 2.0);
    // From here it stays passing.
    let due = book.next_due(now).unwrap();
    assert_eq!(Some(due), why.until);
    assert!(
        due <= now + Damping::default().most_us,
        "not punished for long"
    );
    mirror.hear(&book.poll(due - 2));
    assert_eq!(mirror.state("a"), State::Draining);
    let out = book.poll(due);
    mirror.hear(&out);
    assert_eq!(
        (mirror.state("a"), mirror.0["a"].server.started),
        (State::Ready, Some(due))
    );
    assert_eq!(
        (out.changes[0].new, &out.changes[0].reason),
        (Standing::Ready, &Reason::Steady)
    );
    assert_eq!(book.next_due(due), None);
}

#[test]
fn a_wave_of_flaps_holds_back_no_more_than_the_stated_share_and_never_lifts_a_drain() {
    let (mut book, mut mirror) = (book(), Mirror::default());
    let uids: Vec<String> = (0..9).map(|n| format!("s-{n}")).collect();
    let all = |state| {
        uids.iter()
            .map(|uid| (uid.as_str(), state))
            .collect::<Vec<_>>()
    };
    let mut now = S;
    ready(&mut book, &mut mirror, now, &all(State::Ready));
    for _ in 0..6 {
        now += S;
        ready(&mut book, &mut mirror, now, &all(State::Draining));
        assert!(
            mirror.0.values().all(|e| e.server.state == State::Draining),
            "told drains always hold"
        );
        assert_eq!(mirror.0.len(), 9, "but the list is not emptied");
        now += S;
        ready(&mut book, &mut mirror, now, &all(State::Ready));
        let held = mirror
            .0
            .values()
            .filter(|e| e.server.state != State::Ready)
            .count();
        assert!(held <= 3, "{held} of 9 held back, and a third may be");
    }
    let held: Vec<_> = book
        .explain_all(now)
        .filter(|e| e.standing == Standing::Suppressed)
        .collect();
    assert_eq!(held.len(), 3);
    let reasons: Vec<_> = book.explain_all(now).map(|e| e.reason).collect();
    assert_eq!(reasons.iter().filter(|r| **r == Reason::Panic).count(), 6);
    // An only box of its kind is never held back by damping.
    let mut only = Mirror::default();
    let mut book = common::book();
    for n in 0..9 {
        let state = if n % 2 == 0 {
            State::Ready
        } else {
            State::Draining
        };
        ready(&mut book, &mut only, now + n * S, &[("o", state)]);
    }
    assert_eq!(only.state("o"), State::Ready);
}

#[test]
fn a_new_box_of_a_later_list_is_taken_for_one_that_has_just_started() {
    let (mut book, mut mirror) = (book(), Mirror::default());
    ready(&mut book, &mut mirror, S, &[("a", State::Ready)]);
    ready(
        &mut book,
        &mut mirror,
        5 * S,
        &[("a", State::Ready), ("n", State::Ready)],
    );
    assert_eq!(mirror.0["n"].server.started, Some(5 * S));
    assert_eq!(mirror.0["a"].server.started, None);
    let out = ready(
        &mut book,
        &mut mirror,
        6 * S,
        &[("a", State::Ready), ("n", State::Ready)],
    );
    assert!(
        out.is_empty(),
        "nothing is told where nothing has changed: {out:?}"
    );
}

#[test]
fn an_address_goes_with_the_box_that_was_told_there_last() {
    let (mut book, mut mirror) = (book(), Mirror::default());
    let tell = |book: &mut Discovery, mirror: &mut Mirror, now, list: &[(&str, u16)]| {
        let reports = list
            .iter()
            .map(|(uid, port)| report(uid, *port, State::Ready))
            .collect();
        let out = book.tell(now, CONSUL, full(reports));
        mirror.hear(&out);
        out
    };
    tell(&mut book, &mut mirror, S, &[("old", 1), ("b", 2)]);
    let out = tell(
        &mut book,
        &mut mirror,
        2 * S,
        &[("old", 1), ("new", 1), ("b", 2)],
    );
    assert_eq!(
        (mirror.state("old"), mirror.state("new")),
        (State::Gone, State::Ready)
    );
    assert!(matches!(&out.notices[..], [Notice::SameAddress { uid, .. }] if uid == "new"));
    assert_eq!(
        book.explain("old", 2 * S).unwrap().reason,
        Reason::AddressTaken("new".into())
    );
    // Told again and again, and it stays so.
    let out = tell(
        &mut book,
        &mut mirror,
        3 * S,
        &[("old", 1), ("new", 1), ("b", 2)],
    );
    assert!(out.is_empty(), "{out:?}");
    // The old one moves away: it leaves and comes anew, at the new address.
    let out = tell(
        &mut book,
        &mut mirror,
        4 * S,
        &[("old", 9), ("new", 1), ("b", 2)],
    );
    assert_eq!(
        (mirror.state("old"), mirror.0["old"].endpoint.port()),
        (State::Ready, 9)
    );
    assert!(matches!(&out.notices[..], [Notice::Moved { .. }]));
    // Two swap their addresses in one list.
    let out = tell(
        &mut book,
        &mut mirror,
        5 * S,
        &[("old", 1), ("new", 9), ("b", 2)],
    );
    assert_eq!(
        (
            mirror.0["old"].endpoint.port(),
            mirror.0["new"].endpoint.port()
        ),
        (1, 9)
    );
    let states: Vec<State> = out.events[0].1.iter().map(|e| e.server.state).collect();
    assert_eq!(
        states,
        [State::Gone, State::Gone, State::Ready, State::Ready],
        "who leaves comes first"
    );
    // The one that holds an address leaves: the one that waits for it has it back.
    tell(
        &mut book,
        &mut mirror,
        6 * S,
        &[("old", 1), ("x", 1), ("b", 2)],
    );
    assert_eq!(mirror.state("old"), State::Gone);
    tell(&mut book, &mut mirror, 7 * S, &[("old", 1), ("b", 2)]);
    assert_eq!(
        (mirror.state("old"), mirror.state("x")),
        (State::Ready, State::Gone)
    );
}

#[test]
fn one_id_at_two_nodes_or_in_two_sources_is_one_box_and_the_first_keeps_it() {
    let (mut book, mut mirror) = (book(), Mirror::default());
    let two = |a, b| {
        full(vec![
            report("a", a, State::Ready),
            report("a", b, State::Ready),
        ])
    };
    let out = book.tell(S, CONSUL, two(1, 2));
    mirror.hear(&out);
    assert_eq!(mirror.0["a"].endpoint.port(), 1);
    assert!(matches!(&out.notices[..], [Notice::SameId { refused, .. }] if refused.port() == 2));
    mirror.hear(&book.tell(2 * S, CONSUL, two(2, 1)));
    assert_eq!(
        mirror.0["a"].endpoint.port(),
        1,
        "whatever the order of the list"
    );
    // By another source the id names another box, whose drain is none of this one's.
    let mut book = common::book();
    mirror.hear(&book.tell(S, BUS, full(vec![report("a", 1, State::Ready)])));
    let out = book.tell(S, CONSUL, full(vec![report("a", 5, State::Draining)]));
    mirror.hear(&out);
    assert_eq!(
        (mirror.state("a"), mirror.0["a"].endpoint.port()),
        (State::Ready, 1)
    );
    assert!(matches!(
        &out.notices[..],
        [Notice::SameId { source: CONSUL, .. }]
    ));
}

#[test]
fn of_two_sources_the_one_that_says_drain_or_gone_is_believed() {
    let (mut book, mut mirror) = (book(), Mirror::default());
    mirror.hear(&book.tell(S, BUS, full(vec![report("a", 1, State::Ready)])));
    mirror.hear(&book.tell(2 * S, CONSUL, full(vec![report("a", 1, State::Draining)])));
    assert_eq!(mirror.state("a"), State::Draining);
    mirror.hear(&book.tell(3 * S, CONSUL, full(vec![report("a", 1, State::Ready)])));
    assert_eq!(mirror.state("a"), State::Ready);
    mirror.hear(&book.tell(4 * S, CONSUL, full(vec![])));
    assert_eq!(
        mirror.state("a"),
        State::Draining,
        "gone by one, still named by the other"
    );
    assert_eq!(
        book.explain("a", 4 * S).unwrap().reason,
        Reason::GoneElsewhere("consul".into())
    );
    mirror.hear(&book.tell(
        5 * S,
        BUS,
        Evidence::Delta(vec![report("a", 1, State::Ready)]),
    ));
    assert_eq!(mirror.state("a"), State::Ready, "named anew");
    mirror.hear(&book.tell(
        6 * S,
        BUS,
        Evidence::Delta(vec![report("a", 1, State::Gone)]),
    ));
    assert_eq!(mirror.state("a"), State::Gone);
}

#[test]
fn a_full_table_refuses_newcomers_by_name_and_keeps_whom_it_has() {
    let bounds = Bounds {
        boxes: 2,
        remembered: 1,
    };
    let sources = vec![source("bus", true), source("consul", false)];
    let mut book = Discovery::new(sources, Damping::default(), bounds);
    let three: Vec<Report> = (0..3)
        .map(|n| report(&format!("s-{n}"), n, State::Ready))
        .collect();
    let out = book.tell(S, CONSUL, full(three.clone()));
    assert_eq!(out.notices, [Notice::Full("s-2".into())]);
    assert_eq!(book.listed().count(), 2);
    // Who is gone leaves room, and no more than so many of them are remembered.
    book.tell(2 * S, CONSUL, full(three[2..].to_vec()));
    assert_eq!(
        book.listed()
            .map(|(e, _)| e.uid.as_str())
            .collect::<Vec<_>>(),
        ["s-2"]
    );
    assert_eq!(
        book.explain_all(2 * S).count(),
        2,
        "one that is listed, one that is remembered"
    );
}

#[test]
fn a_list_that_is_kept_comes_back_whole_or_not_at_all() {
    let list = [entry("a", 1, State::Ready), entry("b", 2, State::Draining)];
    let bytes = kept::write("pop-cache", 100 * S, list.iter());
    let read = |bytes: &[u8], scope, now| kept::read(bytes, scope, now, 4096, 60 * S);
    assert_eq!(
        read(&bytes, "pop-cache", 130 * S).unwrap(),
        kept::Kept {
            at: 100 * S,
            entries: list.to_vec()
        }
    );
    for cut in 0..bytes.len() {
        assert!(
            read(&bytes[..cut], "pop-cache", 130 * S).is_err(),
            "cut at {cut}"
        );
    }
    for place in 0..bytes.len() {
        let mut bad = bytes.clone();
        bad[place] ^= 1;
        assert!(
            read(&bad, "pop-cache", 130 * S).is_err(),
            "a flipped bit at {place}"
        );
    }
    use kept::KeptError::*;
    assert_eq!(read(&bytes, "pop-cache", 161 * S), Err(Old(61 * S)));
    // An hour's step back of the clock, twice, loses no list; what is further from the future is refused.
    let stepped =
        |seconds: u64| kept::write("pop-cache", (7_300 + seconds) * S, std::iter::empty());
    let read_stepped =
        |seconds: u64| read(&stepped(seconds), "pop-cache", 100 * S).map(|kept| kept.at);
    assert_eq!(read_stepped(0), Ok(7_300 * S));
    assert_eq!(read_stepped(10), Err(Future(7_210 * S)));
    assert!(matches!(read(&bytes, "other", 130 * S), Err(Scope { .. })));
    assert_eq!(read(b"{}", "pop-cache", 0), Err(Foreign));
    let later = String::from_utf8(bytes.clone())
        .unwrap()
        .replacen("list 1 ", "list 2 ", 1);
    assert_eq!(read(later.as_bytes(), "pop-cache", 130 * S), Err(Format(2)));
    assert_eq!(
        kept::read(&bytes, "pop-cache", 130 * S, 20, S),
        Err(TooLong)
    );
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

    /// On the platform the bus alone tells: the module must hear what it heard before there was a book.
    #[test]
    fn a_relayed_source_alone_is_passed_on_to_the_event(events in proptest::collection::vec(event(), 1..12)) {
        let mut book = book();
        for (n, (whole, entries)) in events.into_iter().enumerate() {
            let reports = entries.iter().cloned().map(Report::from).collect();
            let (mode, evidence) = match whole {
                true => (ListMode::Full, Evidence::Full(reports)),
                false => (ListMode::Delta, Evidence::Delta(reports)),
            };
            let out = book.tell(n as u64 * S, BUS, evidence);
            prop_assert_eq!(out.events, vec![(mode, entries)]);
        }
    }

    /// Whatever two sources say in whatever order: what one of them says drains is not given out as ready, no list
    /// is emptied while a box is named, and what is told ready and steady is ready in the end.
    #[test]
    fn words_of_two_sources_are_kept(steps in proptest::collection::vec(
        (any::<bool>(), any::<bool>(), 0u64..4000, proptest::collection::vec((0u8..4, state()), 0..5)), 1..30)) {
        let mut book = Discovery::new(
            vec![source("file", false), source("consul", false)], Damping::default(), Bounds { boxes: 100, remembered: 4 });
        let mut mirror = Mirror::default();
        let mut told = [std::collections::BTreeMap::new(), std::collections::BTreeMap::new()];
        let mut now = S;
        for (first, whole, wait_ms, words) in steps {
            now += wait_ms * 1000;
            let at = usize::from(!first);
            let mut seen = std::collections::BTreeSet::new();
            let words: Vec<_> = words.into_iter().filter(|(n, _)| seen.insert(*n)).collect();
            if whole {
                told[at].clear();
            }
            for (n, state) in &words {
                told[at].insert(*n, *state);
            }
            let reports = words.iter().map(|(n, s)| report(&format!("s-{n}"), u16::from(*n), *s)).collect();
            let evidence = if whole { Evidence::Full(reports) } else { Evidence::Delta(reports) };
            mirror.hear(&book.poll(now));
            mirror.hear(&book.tell(now, SourceId(at), evidence));
            for n in 0..4u8 {
                let says = |at: usize| told[at].get(&n).copied().unwrap_or(State::Gone);
                let (a, b) = (says(0), says(1));
                let given = mirror.state(&format!("s-{n}"));
                if a == State::Draining || b == State::Draining {
                    prop_assert!(given != State::Ready, "s-{} is told to drain", n);
                }
                prop_assert_eq!(given == State::Gone, a == State::Gone && b == State::Gone, "s-{}: {:?}", n, (a, b));
            }
        }
        while let Some(due) = book.next_due(now) {
            prop_assert!(due <= now + Damping::default().most_us + 1);
            mirror.hear(&book.poll(due));
            now = due;
        }
        prop_assert!(book.listed().all(|(_, standing)| standing != Standing::Suppressed));
    }
}
