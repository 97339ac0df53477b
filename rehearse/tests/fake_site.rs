//! A fake site in virtual time: a link that is shared, a memory with ranks, and boxes, hub caches and the
//! origin made of them.

use linnetknot_rehearse::fakes::cache_memory::CacheMemory;
use linnetknot_rehearse::fakes::shared_link::SharedLink;
use linnetknot_rehearse::fakes::site::{FakeSite, Fetch, Kind, NodeFigures, Out, SiteFigures};
use linnetknot_rehearse::load::plan;
use linnetknot_rehearse::record::ColdStart;
use linnetknot_rehearse::scenario::Scenario;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const MS: u64 = 1000;

#[test]
fn transfers_run_at_full_pace_until_the_link_is_full_and_then_share_it() {
    let mut link = SharedLink::new(2.0);
    link.begin(1, 100 * MS);
    link.begin(2, 100 * MS);
    assert_eq!(link.next_due(), Some(100 * MS), "two fit");
    assert_eq!(link.advance(50 * MS), []);
    // Two more halve the pace of all four: the first two end after another 100 ms.
    link.begin(3, 100 * MS);
    link.begin(4, 200 * MS);
    assert_eq!(link.advance(150 * MS), [(1, 150 * MS), (2, 150 * MS)]);
    // 3 has 50 ms left, 4 has 150, and both fit again.
    assert!(link.call_off(3) && !link.call_off(3));
    assert_eq!(link.next_due(), Some(300 * MS));
    link.change(0.5);
    assert_eq!((link.next_due(), link.len()), (Some(450 * MS), 1));
    assert_eq!(
        link.advance(10_000 * MS),
        [(4, 450 * MS)],
        "told with the time at which it ended"
    );
    assert!(link.is_empty() && link.next_due().is_none());
}

/// However it is looked at, a link gives no more than its capacity, and all that it was asked for in the end.
#[test]
fn a_link_gives_all_that_was_asked_and_never_more_than_it_can() {
    let mut random = ChaCha8Rng::seed_from_u64(11);
    for _ in 0..50 {
        let capacity = random.random_range(0.5..6.0);
        let (mut link, mut coarse) = (SharedLink::new(capacity), SharedLink::new(capacity));
        let (mut now, mut asked, mut ends, mut ends_coarse) = (0, 0, Vec::new(), Vec::new());
        for id in 0..40 {
            now += random.random_range(0..60 * MS);
            // One is looked at all the time, the other only when something is begun.
            while let Some(due) = link.next_due().filter(|due| *due <= now) {
                ends.extend(link.advance(due));
            }
            ends.extend(link.advance(now));
            ends_coarse.extend(coarse.advance(now));
            let work = random.random_range(MS..300 * MS);
            asked += work;
            link.begin(id, work);
            coarse.begin(id, work);
        }
        ends.extend(link.advance(u64::MAX / 4));
        ends_coarse.extend(coarse.advance(u64::MAX / 4));
        let end = ends.iter().map(|e| e.1).max().unwrap();
        assert_eq!((ends.len(), ends_coarse.len()), (40, 40));
        assert!(
            end as f64 * capacity + 100.0 >= asked as f64,
            "{asked} of work in {end} at {capacity}"
        );
        ends.sort_unstable();
        ends_coarse.sort_unstable();
        let near = |(a, b): (&(u64, u64), &(u64, u64))| a.0 == b.0 && a.1.abs_diff(b.1) < 100;
        assert!(
            ends.iter().zip(&ends_coarse).all(near),
            "{ends:?}\n{ends_coarse:?}"
        );
    }
}

#[test]
fn a_cold_box_gives_its_share_and_more_as_it_warms_up() {
    let cold = ColdStart {
        uid: "a".into(),
        at: 1000,
        capacity: 8.0,
        share: 0.25,
        warm_us: 1000,
        overload_multiple: 2.5,
        overload_window_us: 3000,
    };
    assert_eq!(
        [0, 1000, 1500, 2000, 9000].map(|at| cold.capacity_at(at)),
        [2.0, 2.0, 5.0, 8.0, 8.0]
    );
}

#[test]
fn low_ranks_go_first_and_nothing_goes_for_a_copy_of_lower_rank() {
    let mut memory = CacheMemory::new(100);
    assert!(memory.keep((1, 0), 7, 40, 10, 1) && memory.keep((2, 0), 7, 40, 10, 2));
    assert!(!memory.keep((3, 0), 7, 101, 10, 3), "larger than all");
    assert!(!memory.keep((3, 0), 7, 10, 10, 0), "rank 0 is not kept");
    // 1 has the lowest rank, whatever was used last.
    assert_eq!(memory.get((1, 0), 10, 0), Some(10));
    assert!(memory.keep((3, 0), 7, 40, 10, 2));
    assert_eq!((memory.get((1, 0), 0, 0), memory.used_kb()), (None, 80));
    // Of one rank, what was used longest ago.
    assert_eq!(memory.get((2, 0), 0, 0), Some(10));
    assert!(memory.keep((4, 0), 7, 40, 10, 2));
    assert_eq!(
        (memory.get((3, 0), 0, 0), memory.get((2, 0), 0, 0)),
        (None, Some(10))
    );
    // One of lower rank is not kept, and costs nobody.
    assert!(!memory.keep((5, 0), 7, 40, 10, 1));
    assert_eq!(memory.used_kb(), 80);
    // A use sets the rank anew: then it goes first.
    memory.get((4, 0), 0, 1);
    assert!(memory.keep((6, 0), 7, 50, 10, 1));
    assert_eq!(
        (memory.get((4, 0), 0, 0), memory.get((2, 0), 0, 0)),
        (None, Some(10))
    );
    // An older copy never takes the place of a newer one, a newer one does; one that is too old will not do.
    assert!(!memory.keep((2, 0), 7, 40, 9, 3) && memory.keep((2, 0), 7, 30, 20, 3));
    assert_eq!(
        (
            memory.get((2, 0), 21, 0),
            memory.get((2, 0), 20, 0),
            memory.used_kb()
        ),
        (None, Some(20), 80)
    );
    // Purges strike what is older than they are, by object or by group.
    assert!(memory.keep((2, 1), 8, 20, 20, 3));
    assert_eq!((memory.purge(Ok(2), 20), memory.purge(Err(7), 20)), (0, 1));
    assert_eq!((memory.purge(Ok(2), 21), memory.used_kb()), (2, 0));
}

fn figures() -> NodeFigures {
    NodeFigures {
        slots: 4,
        waiting: 2,
        capacity: 2.0,
        memory_kb: 1000,
        fills: 2,
        fill_timeout_us: 2000 * MS,
    }
}

fn roomy() -> NodeFigures {
    NodeFigures {
        slots: 64,
        waiting: 64,
        capacity: 40.0,
        memory_kb: 1 << 20,
        fills: 32,
        ..figures()
    }
}

fn site_figures() -> SiteFigures {
    SiteFigures {
        link: 4.0,
        fill_pace: 2.0,
        near_us: 5 * MS,
        far_us: 20 * MS,
        origin_us: 50 * MS,
        key_us: 3000 * MS,
        purge_takes_us: 6000 * MS,
        late_fills: false,
    }
}

/// Two boxes, a hub cache and the origin.
fn site() -> FakeSite {
    let mut site = FakeSite::new(site_figures());
    for (uid, kind) in [
        ("a", Kind::Box),
        ("b", Kind::Box),
        ("hub", Kind::Hub),
        ("origin", Kind::Origin),
    ] {
        site.start(uid, kind, figures(), None);
    }
    site
}

fn fetch(id: &str, object: u64, source: Option<&str>) -> Fetch {
    Fetch {
        connection: 1,
        id: id.into(),
        part: (object, 0),
        work_us: 100 * MS,
        kb: 10,
        source: source.map(str::to_owned),
        keep: 1,
        max_age_us: u64::MAX,
        join: true,
        ..Fetch::default()
    }
}

/// Ids, words and notes, in order.
fn said(out: Vec<Out>) -> Vec<(String, &'static str, &'static str)> {
    out.into_iter()
        .map(|o| match o {
            Out::Answer { id, word, how, .. } => (id, word, how),
            Out::Fell(uid) => (uid, "fell", ""),
        })
        .collect()
}

fn one(
    id: &str,
    word: &'static str,
    how: &'static str,
) -> Vec<(String, &'static str, &'static str)> {
    vec![(id.to_owned(), word, how)]
}

#[test]
fn a_miss_is_filled_by_way_of_the_hub_and_found_afterwards() {
    let mut w = site();
    assert_eq!(w.fetch(0, "a", fetch("1", 7, Some("hub"))), []);
    // The way to the origin, its answer and the way to the hub cache pass before the first byte comes.
    assert_eq!(w.advance(170 * MS), []);
    assert_eq!(said(w.advance(175 * MS)), one("1", "200", "pulled_far"));
    w.fetch(200 * MS, "a", fetch("2", 7, None));
    assert_eq!(said(w.advance(300 * MS)), one("2", "200", "local"));
    // The other box finds it in the hub cache.
    w.fetch(300 * MS, "b", fetch("3", 7, Some("hub")));
    assert_eq!(said(w.advance(405 * MS)), one("3", "200", "pulled"));
    // From a sibling; and one that joins is sent what the first is waiting for.
    w.fetch(500 * MS, "b", fetch("4", 8, Some("hub")));
    w.advance(510 * MS);
    w.fetch(510 * MS, "b", fetch("5", 8, Some("hub")));
    let both = said(w.advance(700 * MS));
    assert_eq!(
        both,
        [one("4", "200", "pulled_far"), one("5", "200", "rode")].concat()
    );
    w.fetch(700 * MS, "a", fetch("6", 8, Some("b")));
    assert_eq!(said(w.advance(900 * MS)), one("6", "200", "pulled"));
    // A purge: the copy is gone, and an age that is asked for keeps older ones out.
    w.purge("a", Ok(8), 10_000 * MS);
    assert_eq!(
        said(w.fetch(900 * MS, "a", fetch("7", 8, None))),
        one("7", "404", "")
    );
    let mut young = fetch("8", 7, None);
    young.max_age_us = 100 * MS;
    assert_eq!(said(w.fetch(900 * MS, "a", young)), one("8", "404", ""));
}

/// A fill that runs across a purge brings a copy from before it, by way of a sibling too. The platform's word is that
/// all older copies go, so such a one is not kept; a box that knows no better keeps it.
#[test]
fn what_a_fill_brings_from_before_a_purge_is_kept_only_where_late_fills_are() {
    for late_fills in [false, true] {
        let mut w = FakeSite::new(SiteFigures {
            late_fills,
            ..site_figures()
        });
        for (uid, kind) in [
            ("a", Kind::Box),
            ("b", Kind::Box),
            ("hub", Kind::Hub),
            ("origin", Kind::Origin),
        ] {
            w.start(uid, kind, figures(), None);
        }
        // The hub cache has a copy made at 70 ms.
        w.fetch(0, "a", fetch("1", 7, Some("hub")));
        w.advance(1000 * MS);
        // The sibling is filled from it, and the purge is carried out everywhere while that runs.
        w.fetch(1000 * MS, "b", fetch("2", 7, Some("a")));
        w.advance(1010 * MS);
        ["a", "b", "hub"]
            .iter()
            .for_each(|uid| w.purge(uid, Ok(7), 1010 * MS));
        assert_eq!(said(w.advance(2000 * MS)), one("2", "200", "pulled"));
        let found = said(
            [
                w.fetch(9000 * MS, "b", fetch("3", 7, None)),
                w.advance(9500 * MS),
            ]
            .concat(),
        );
        let expected = if late_fills {
            one("3", "200", "local")
        } else {
            one("3", "404", "")
        };
        assert_eq!(found, expected, "late fills: {late_fills}");
        // Whatever the box keeps, an age that is asked for holds.
        let young = Fetch {
            max_age_us: 7990 * MS,
            ..fetch("4", 7, None)
        };
        let found = said([w.fetch(10_000 * MS, "b", young), w.advance(10_500 * MS)].concat());
        assert_eq!(found, one("4", "404", ""));
    }
}

#[test]
fn a_fill_from_too_old_a_copy_is_nothing_to_join() {
    let mut w = site();
    w.fetch(0, "a", fetch("1", 7, Some("hub")));
    w.advance(1000 * MS);
    w.fetch(1000 * MS, "b", fetch("2", 7, Some("hub")));
    let young = Fetch {
        max_age_us: 500 * MS,
        ..fetch("3", 7, Some("hub"))
    };
    assert_eq!(
        said(w.fetch(1001 * MS, "b", young)),
        one("3", "404", "rode")
    );
}

#[test]
fn each_box_carries_a_purge_out_in_its_own_time_and_all_have_by_the_end() {
    let mut w = site();
    for (n, uid) in ["a", "b"].iter().enumerate() {
        w.fetch(0, uid, fetch(&n.to_string(), 7, Some("origin")));
    }
    w.advance(1000 * MS);
    w.purge_all(1000 * MS, Err(0), 1000 * MS);
    let held = |w: &mut FakeSite, at: u64| {
        w.advance(at);
        let all = ["a", "b"].map(|uid| said(w.fetch(at, uid, fetch("x", 7, None))).is_empty());
        w.advance(at + 200 * MS);
        all.iter().filter(|held| **held).count()
    };
    assert_eq!(held(&mut w, 1000 * MS), 2, "neither at once");
    assert_eq!(held(&mut w, 7000 * MS), 0, "both within six seconds");
}

#[test]
fn what_can_not_be_taken_or_filled_is_turned_away_with_its_reason() {
    let mut w = site();
    assert_eq!(
        said(w.fetch(0, "a", fetch("none", 1, None))),
        one("none", "404", "")
    );
    assert_eq!(
        said(w.fetch(0, "a", fetch("lacks", 1, Some("b")))),
        one("lacks", "503", "not_there")
    );
    w.stop(0, "hub");
    assert_eq!(
        said(w.fetch(0, "a", fetch("lost", 1, Some("hub")))),
        one("lost", "503", "cut_off")
    );
    w.start("hub", Kind::Hub, figures(), None);
    // Two places for fills, four slots, two that wait; one more is full.
    for n in 0..2 {
        assert_eq!(
            w.fetch(0, "a", fetch(&n.to_string(), 10 + n, Some("origin"))),
            []
        );
    }
    assert_eq!(
        said(w.fetch(0, "a", fetch("place", 20, Some("origin")))),
        one("place", "503", "no_place")
    );
    for n in 2..6 {
        assert_eq!(
            w.fetch(0, "a", fetch(&n.to_string(), 10, Some("origin"))),
            [],
            "{n} joins or waits"
        );
    }
    assert_eq!(
        said(w.fetch(0, "a", fetch("full", 10, None))),
        one("full", "503", "")
    );
    // One is given up: its place is the next one's, and its fill is dropped.
    w.abort(MS, "a", 1, Some("1"));
    assert_eq!(w.inflight("a"), 5);
    assert_eq!(said(w.advance(10_000 * MS)).len(), 5);
    assert_eq!(w.inflight("a"), 0);
    // An origin that is too slow: the fill is given up by the box itself.
    w.slow_origin(100.0);
    w.fetch(20_000 * MS, "a", fetch("late", 30, Some("origin")));
    assert_eq!(said(w.advance(21_999 * MS)), []);
    assert_eq!(said(w.advance(22_001 * MS)), one("late", "503", "cut_off"));
}

#[test]
fn a_stalled_box_says_nothing_and_a_cold_one_that_is_pushed_over_stays_down() {
    let mut w = site();
    w.fetch(0, "origin", fetch("1", 1, None));
    w.stall(50 * MS, "origin", 500 * MS);
    w.advance(50 * MS);
    assert_eq!(w.advance(540 * MS), []);
    assert_eq!(said(w.advance(700 * MS)), one("1", "200", "local"));
    let cold = |uid: &str| ColdStart {
        uid: uid.into(),
        at: 0,
        capacity: 2.0,
        share: 0.15,
        warm_us: 13_000 * MS,
        overload_multiple: 2.5,
        overload_window_us: 3000 * MS,
    };
    // 2.5 x 2 x 3 s at 15% and rising is some 4 s of work: requests that are turned away count too.
    for (uid, target, source) in [("a", "a", None), ("hub", "a", Some("hub"))] {
        let mut w = site();
        w.start("a", Kind::Box, roomy(), None);
        let kind = if uid == "a" { Kind::Box } else { Kind::Hub };
        w.start(uid, kind, figures(), Some(cold(uid)));
        let mut fell = 0;
        for n in 0..60 {
            let out = said(w.fetch(n * 40 * MS, target, fetch(&n.to_string(), 100 + n, source)));
            w.advance((n + 1) * 40 * MS);
            if out.contains(&(uid.to_owned(), "fell", "")) {
                fell = n;
                break;
            }
        }
        assert!((30..58).contains(&fell), "{uid} fell at {fell}");
        assert!(!w.is_up(uid));
    }
}

#[test]
fn a_write_runs_once_for_its_key_while_the_key_is_held() {
    let mut w = site();
    let post = |id: &str| Fetch {
        write: Some(Some("k".into())),
        ..fetch(id, 1, None)
    };
    assert_eq!(
        said(w.fetch(0, "a", post("0"))),
        one("0", "404", ""),
        "only the origin runs it"
    );
    w.fetch(0, "origin", post("1"));
    assert_eq!(said(w.advance(50 * MS)), one("1", "200", "local"));
    w.fetch(1000 * MS, "origin", post("2"));
    assert_eq!(
        (said(w.advance(1100 * MS)), w.writes),
        (one("2", "200", "local"), (1, 0))
    );
    w.fetch(3100 * MS, "origin", post("3"));
    w.advance(3200 * MS);
    assert_eq!(
        w.writes,
        (2, 1),
        "the key was held no more: it has run twice, and that is counted"
    );
}

/// An evening against boxes that behave, in virtual time: each request that arrives has one end, and the rules on
/// attempts hold in the record that the site has kept.
#[test]
fn a_whole_evening_ends_every_request_once() {
    let scenario = Scenario::read(include_str!("../scenarios/chuseok-evening.json")).unwrap();
    let mut w = site();
    for (uid, kind) in [
        ("a", Kind::Box),
        ("b", Kind::Box),
        ("hub", Kind::Hub),
        ("origin", Kind::Origin),
    ] {
        w.start(uid, kind, roomy(), None);
    }
    let (mut out, mut sent) = (Vec::new(), 0);
    for (n, a) in plan(&scenario, 1).arrivals.iter().enumerate() {
        out.extend(w.advance(a.at));
        let target = if a.object % 2 == 0 { "a" } else { "b" };
        let f = Fetch {
            part: (a.object, a.part),
            work_us: (a.size_kb / 4.0 * 1e3) as u64,
            ..fetch("", 0, Some("hub"))
        };
        out.extend(w.fetch(
            a.at,
            target,
            Fetch {
                id: n.to_string(),
                kb: a.size_kb as u64,
                ..f
            },
        ));
        sent += 1;
    }
    out.extend(w.advance(u64::MAX / 4));
    let mut ids: Vec<_> = said(out);
    assert_eq!(ids.len(), sent);
    let hits = ids.iter().filter(|a| a.2 == "local").count();
    assert!(hits * 2 > sent, "{hits} of {sent} were found");
    ids.sort();
    ids.dedup_by(|a, b| a.0 == b.0);
    assert_eq!(ids.len(), sent, "one end each");
    assert!(w
        .attempts
        .iter()
        .all(|a| a.ended.is_some_and(|(end, _)| end >= a.at)));
    assert_eq!(
        (w.inflight("a"), w.inflight("b"), w.next_due()),
        (0, 0, None)
    );
}
