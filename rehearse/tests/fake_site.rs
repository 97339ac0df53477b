//! Tests of the fake site on virtual time: the shared link, the cache memory and the nodes.

use linnetknot_rehearse::fakes::cache_memory::CacheMemory;
use linnetknot_rehearse::fakes::shared_link::SharedLink;
use linnetknot_rehearse::fakes::site::{
    FakeSite, Fetch, NodeKind, NodeParameters, SiteOutput, SiteParameters,
};
use linnetknot_rehearse::load::plan;
use linnetknot_rehearse::record::ColdStart;
use linnetknot_rehearse::scenario::Scenario;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const MS: u64 = 1000;

#[test]
fn transfers_run_at_full_rate_until_the_link_is_saturated() {
    let mut link = SharedLink::new(2.0);
    link.begin(1, 100 * MS);
    link.begin(2, 100 * MS);
    assert_eq!(
        link.next_due(),
        Some(100 * MS),
        "two transfers run at full rate"
    );
    assert_eq!(link.advance(50 * MS), []);
    // Four transfers run at half rate, so the first two end after another 100 ms.
    link.begin(3, 100 * MS);
    link.begin(4, 200 * MS);
    assert_eq!(link.advance(150 * MS), [(1, 150 * MS), (2, 150 * MS)]);
    // Transfer 3 has 50 ms of work left and transfer 4 has 150 ms. Both run at full rate again.
    assert!(link.cancel(3) && !link.cancel(3));
    assert_eq!(link.next_due(), Some(300 * MS));
    link.set_capacity(0.5);
    assert_eq!((link.next_due(), link.len()), (Some(450 * MS), 1));
    assert_eq!(
        link.advance(10_000 * MS),
        [(4, 450 * MS)],
        "reported with its end time"
    );
    assert!(link.is_empty() && link.next_due().is_none());
}

#[test]
fn link_delivers_all_work_and_never_exceeds_its_capacity() {
    let mut random = ChaCha8Rng::seed_from_u64(11);
    for _ in 0..50 {
        let capacity = random.random_range(0.5..6.0);
        let (mut link, mut polled_rarely) = (SharedLink::new(capacity), SharedLink::new(capacity));
        let (mut now, mut requested, mut ends, mut ends_polled_rarely) =
            (0, 0, Vec::new(), Vec::new());
        for id in 0..40 {
            now += random.random_range(0..60 * MS);
            // The first link is advanced at each event, the second only when a transfer begins.
            while let Some(due) = link.next_due().filter(|due| *due <= now) {
                ends.extend(link.advance(due));
            }
            ends.extend(link.advance(now));
            ends_polled_rarely.extend(polled_rarely.advance(now));
            let work = random.random_range(MS..300 * MS);
            requested += work;
            link.begin(id, work);
            polled_rarely.begin(id, work);
        }
        ends.extend(link.advance(u64::MAX / 4));
        ends_polled_rarely.extend(polled_rarely.advance(u64::MAX / 4));
        let end = ends.iter().map(|e| e.1).max().unwrap();
        assert_eq!((ends.len(), ends_polled_rarely.len()), (40, 40));
        assert!(
            end as f64 * capacity + 100.0 >= requested as f64,
            "{requested} of work in {end} at {capacity}"
        );
        ends.sort_unstable();
        ends_polled_rarely.sort_unstable();
        let near = |(a, b): (&(u64, u64), &(u64, u64))| a.0 == b.0 && a.1.abs_diff(b.1) < 100;
        assert!(
            ends.iter().zip(&ends_polled_rarely).all(near),
            "{ends:?}\n{ends_polled_rarely:?}"
        );
    }
}

#[test]
fn cold_cache_capacity_rises_as_it_warms_up() {
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
fn eviction_follows_rank_and_never_favours_a_lower_rank() {
    let mut memory = CacheMemory::new(100);
    assert!(memory.insert((1, 0), 7, 40, 10, 1) && memory.insert((2, 0), 7, 40, 10, 2));
    assert!(
        !memory.insert((3, 0), 7, 101, 10, 3),
        "larger than the memory"
    );
    assert!(!memory.insert((3, 0), 7, 10, 10, 0), "rank 0 is not stored");
    // Copy 1 has the lowest rank, although it was used last.
    assert_eq!(memory.get((1, 0), 10, 0), Some(10));
    assert!(memory.insert((3, 0), 7, 40, 10, 2));
    assert_eq!((memory.get((1, 0), 0, 0), memory.used_kb()), (None, 80));
    // Within a rank, the least recently used copy is evicted.
    assert_eq!(memory.get((2, 0), 0, 0), Some(10));
    assert!(memory.insert((4, 0), 7, 40, 10, 2));
    assert_eq!(
        (memory.get((3, 0), 0, 0), memory.get((2, 0), 0, 0)),
        (None, Some(10))
    );
    // A copy of lower rank is not stored and evicts nothing.
    assert!(!memory.insert((5, 0), 7, 40, 10, 1));
    assert_eq!(memory.used_kb(), 80);
    // Reading a copy sets its rank, so this copy now has the lowest rank and is evicted first.
    memory.get((4, 0), 0, 1);
    assert!(memory.insert((6, 0), 7, 50, 10, 1));
    assert_eq!(
        (memory.get((4, 0), 0, 0), memory.get((2, 0), 0, 0)),
        (None, Some(10))
    );
    // A copy is replaced only by a newer copy, and is not returned if it is older than requested.
    assert!(!memory.insert((2, 0), 7, 40, 9, 3) && memory.insert((2, 0), 7, 30, 20, 3));
    assert_eq!(
        (
            memory.get((2, 0), 21, 0),
            memory.get((2, 0), 20, 0),
            memory.used_kb()
        ),
        (None, Some(20), 80)
    );
    // A purge removes older copies by object or by group.
    assert!(memory.insert((2, 1), 8, 20, 20, 3));
    assert_eq!((memory.purge(Ok(2), 20), memory.purge(Err(7), 20)), (0, 1));
    assert_eq!((memory.purge(Ok(2), 21), memory.used_kb()), (2, 0));
}

fn node_parameters() -> NodeParameters {
    NodeParameters {
        slots: 4,
        waiting: 2,
        capacity: 2.0,
        memory_kb: 1000,
        fills: 2,
        fill_timeout_us: 2000 * MS,
    }
}

fn large_node_parameters() -> NodeParameters {
    NodeParameters {
        slots: 64,
        waiting: 64,
        capacity: 40.0,
        memory_kb: 1 << 20,
        fills: 32,
        ..node_parameters()
    }
}

fn site_parameters() -> SiteParameters {
    SiteParameters {
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

/// Returns a site of two edge caches, a parent cache and the origin.
fn two_tier_site() -> FakeSite {
    let mut site = FakeSite::new(site_parameters());
    for (uid, kind) in [
        ("a", NodeKind::EdgeCache),
        ("b", NodeKind::EdgeCache),
        ("hub", NodeKind::ParentCache),
        ("origin", NodeKind::Origin),
    ] {
        site.start(uid, kind, node_parameters(), None);
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
        rank: 1,
        max_age_us: u64::MAX,
        join: true,
        ..Fetch::default()
    }
}

/// Returns the id, the status and the `how` field of each output, in order.
fn answers(out: Vec<SiteOutput>) -> Vec<(String, &'static str, &'static str)> {
    out.into_iter()
        .map(|o| match o {
            SiteOutput::Answer {
                id, status, how, ..
            } => (id, status, how),
            SiteOutput::Crashed(uid) => (uid, "crashed", ""),
        })
        .collect()
}

fn answer(
    id: &str,
    status: &'static str,
    how: &'static str,
) -> Vec<(String, &'static str, &'static str)> {
    vec![(id.to_owned(), status, how)]
}

#[test]
fn miss_is_filled_through_the_parent_and_cached() {
    let mut site = two_tier_site();
    assert_eq!(site.fetch(0, "a", fetch("1", 7, Some("hub"))), []);
    // The first byte takes the round trips to the origin and the parent cache and the origin's response time.
    assert_eq!(site.advance(170 * MS), []);
    assert_eq!(
        answers(site.advance(175 * MS)),
        answer("1", "200", "pulled_far")
    );
    site.fetch(200 * MS, "a", fetch("2", 7, None));
    assert_eq!(answers(site.advance(300 * MS)), answer("2", "200", "local"));
    // The other edge cache is filled with the copy from the parent cache.
    site.fetch(300 * MS, "b", fetch("3", 7, Some("hub")));
    assert_eq!(
        answers(site.advance(405 * MS)),
        answer("3", "200", "pulled")
    );
    // A second request joins the fill, and a later request is filled from the sibling.
    site.fetch(500 * MS, "b", fetch("4", 8, Some("hub")));
    site.advance(510 * MS);
    site.fetch(510 * MS, "b", fetch("5", 8, Some("hub")));
    let both = answers(site.advance(700 * MS));
    assert_eq!(
        both,
        [answer("4", "200", "pulled_far"), answer("5", "200", "rode")].concat()
    );
    site.fetch(700 * MS, "a", fetch("6", 8, Some("b")));
    assert_eq!(
        answers(site.advance(900 * MS)),
        answer("6", "200", "pulled")
    );
    // A purge removes the copy, and a maximum age excludes older copies.
    site.purge("a", Ok(8), 10_000 * MS);
    assert_eq!(
        answers(site.fetch(900 * MS, "a", fetch("7", 8, None))),
        answer("7", "404", "")
    );
    let mut fresh_only = fetch("8", 7, None);
    fresh_only.max_age_us = 100 * MS;
    assert_eq!(
        answers(site.fetch(900 * MS, "a", fresh_only)),
        answer("8", "404", "")
    );
}

/// A fill in progress during a purge may bring an older copy, also through a sibling. This copy is stored only if the
/// site is configured with late fills.
#[test]
fn fill_older_than_a_purge_is_cached_only_with_late_fills() {
    for late_fills in [false, true] {
        let mut site = FakeSite::new(SiteParameters {
            late_fills,
            ..site_parameters()
        });
        for (uid, kind) in [
            ("a", NodeKind::EdgeCache),
            ("b", NodeKind::EdgeCache),
            ("hub", NodeKind::ParentCache),
            ("origin", NodeKind::Origin),
        ] {
            site.start(uid, kind, node_parameters(), None);
        }
        // The parent cache has a copy that was created at 70 ms.
        site.fetch(0, "a", fetch("1", 7, Some("hub")));
        site.advance(1000 * MS);
        // The sibling is filled from the parent cache, and all nodes apply the purge during the fill.
        site.fetch(1000 * MS, "b", fetch("2", 7, Some("a")));
        site.advance(1010 * MS);
        ["a", "b", "hub"]
            .iter()
            .for_each(|uid| site.purge(uid, Ok(7), 1010 * MS));
        assert_eq!(
            answers(site.advance(2000 * MS)),
            answer("2", "200", "pulled")
        );
        let found = answers(
            [
                site.fetch(9000 * MS, "b", fetch("3", 7, None)),
                site.advance(9500 * MS),
            ]
            .concat(),
        );
        let expected = if late_fills {
            answer("3", "200", "local")
        } else {
            answer("3", "404", "")
        };
        assert_eq!(found, expected, "late fills: {late_fills}");
        // With a maximum age in the request, the copy must not be served in either case.
        let fresh_only = Fetch {
            max_age_us: 7990 * MS,
            ..fetch("4", 7, None)
        };
        let found = answers(
            [
                site.fetch(10_000 * MS, "b", fresh_only),
                site.advance(10_500 * MS),
            ]
            .concat(),
        );
        assert_eq!(found, answer("4", "404", ""));
    }
}

#[test]
fn request_does_not_join_a_fill_that_is_too_old() {
    let mut site = two_tier_site();
    site.fetch(0, "a", fetch("1", 7, Some("hub")));
    site.advance(1000 * MS);
    site.fetch(1000 * MS, "b", fetch("2", 7, Some("hub")));
    let fresh_only = Fetch {
        max_age_us: 500 * MS,
        ..fetch("3", 7, Some("hub"))
    };
    assert_eq!(
        answers(site.fetch(1001 * MS, "b", fresh_only)),
        answer("3", "404", "rode")
    );
}

#[test]
fn caches_apply_a_purge_at_different_times_within_the_limit() {
    let mut site = two_tier_site();
    for (n, uid) in ["a", "b"].iter().enumerate() {
        site.fetch(0, uid, fetch(&n.to_string(), 7, Some("origin")));
    }
    site.advance(1000 * MS);
    site.purge_all(1000 * MS, Err(0), 1000 * MS);
    let held = |site: &mut FakeSite, at: u64| {
        site.advance(at);
        let all =
            ["a", "b"].map(|uid| answers(site.fetch(at, uid, fetch("x", 7, None))).is_empty());
        site.advance(at + 200 * MS);
        all.iter().filter(|held| **held).count()
    };
    assert_eq!(
        held(&mut site, 1000 * MS),
        2,
        "no cache has applied the purge yet"
    );
    assert_eq!(
        held(&mut site, 7000 * MS),
        0,
        "both caches have applied it within six seconds"
    );
}

#[test]
fn unservable_requests_are_rejected_with_their_reason() {
    let mut site = two_tier_site();
    assert_eq!(
        answers(site.fetch(0, "a", fetch("none", 1, None))),
        answer("none", "404", "")
    );
    assert_eq!(
        answers(site.fetch(0, "a", fetch("lacks", 1, Some("b")))),
        answer("lacks", "503", "not_there")
    );
    site.stop(0, "hub");
    assert_eq!(
        answers(site.fetch(0, "a", fetch("lost", 1, Some("hub")))),
        answer("lost", "503", "cut_off")
    );
    site.start("hub", NodeKind::ParentCache, node_parameters(), None);
    // The cache has two fills, four slots and a queue of two. A further request is rejected.
    for n in 0..2 {
        assert_eq!(
            site.fetch(0, "a", fetch(&n.to_string(), 10 + n, Some("origin"))),
            []
        );
    }
    assert_eq!(
        answers(site.fetch(0, "a", fetch("place", 20, Some("origin")))),
        answer("place", "503", "no_place")
    );
    for n in 2..6 {
        assert_eq!(
            site.fetch(0, "a", fetch(&n.to_string(), 10, Some("origin"))),
            [],
            "{n} joins or waits"
        );
    }
    assert_eq!(
        answers(site.fetch(0, "a", fetch("full", 10, None))),
        answer("full", "503", "")
    );
    // An aborted request frees its slot, and its fill is cancelled.
    site.abort(MS, "a", 1, Some("1"));
    assert_eq!(site.inflight("a"), 5);
    assert_eq!(answers(site.advance(10_000 * MS)).len(), 5);
    assert_eq!(site.inflight("a"), 0);
    // The cache aborts a fill from an origin that is too slow.
    site.set_origin_slowdown(100.0);
    site.fetch(20_000 * MS, "a", fetch("late", 30, Some("origin")));
    assert_eq!(answers(site.advance(21_999 * MS)), []);
    assert_eq!(
        answers(site.advance(22_001 * MS)),
        answer("late", "503", "cut_off")
    );
}

#[test]
fn stalled_cache_sends_nothing_and_overloaded_cold_cache_crashes() {
    let mut site = two_tier_site();
    site.fetch(0, "origin", fetch("1", 1, None));
    site.stall(50 * MS, "origin", 500 * MS);
    site.advance(50 * MS);
    assert_eq!(site.advance(540 * MS), []);
    assert_eq!(answers(site.advance(700 * MS)), answer("1", "200", "local"));
    let cold = |uid: &str| ColdStart {
        uid: uid.into(),
        at: 0,
        capacity: 2.0,
        share: 0.15,
        warm_us: 13_000 * MS,
        overload_multiple: 2.5,
        overload_window_us: 3000 * MS,
    };
    // The crash limit in a 3 s window is about 4 s of work: overload factor 2.5 x capacity 2 x 3 s, at 15% of the
    // capacity and rising. Rejected requests count as work, too.
    for (uid, target, source) in [("a", "a", None), ("hub", "a", Some("hub"))] {
        let mut site = two_tier_site();
        site.start("a", NodeKind::EdgeCache, large_node_parameters(), None);
        let kind = if uid == "a" {
            NodeKind::EdgeCache
        } else {
            NodeKind::ParentCache
        };
        site.start(uid, kind, node_parameters(), Some(cold(uid)));
        let mut crashed_at = 0;
        for n in 0..60 {
            let out =
                answers(site.fetch(n * 40 * MS, target, fetch(&n.to_string(), 100 + n, source)));
            site.advance((n + 1) * 40 * MS);
            if out.contains(&(uid.to_owned(), "crashed", "")) {
                crashed_at = n;
                break;
            }
        }
        assert!(
            (30..58).contains(&crashed_at),
            "{uid} crashed at {crashed_at}"
        );
        assert!(!site.is_up(uid));
    }
}

#[test]
fn write_runs_once_within_its_key_window() {
    let mut site = two_tier_site();
    let post = |id: &str| Fetch {
        write: Some(Some("k".into())),
        ..fetch(id, 1, None)
    };
    assert_eq!(
        answers(site.fetch(0, "a", post("0"))),
        answer("0", "404", ""),
        "only the origin runs writes"
    );
    site.fetch(0, "origin", post("1"));
    assert_eq!(answers(site.advance(50 * MS)), answer("1", "200", "local"));
    site.fetch(1000 * MS, "origin", post("2"));
    assert_eq!(
        (answers(site.advance(1100 * MS)), site.writes),
        (answer("2", "200", "local"), (1, 0))
    );
    site.fetch(3100 * MS, "origin", post("3"));
    site.advance(3200 * MS);
    assert_eq!(
        site.writes,
        (2, 1),
        "after the key window the write runs again and counts as repeated"
    );
}

#[test]
fn every_request_of_a_scenario_ends_once() {
    let scenario = Scenario::read(include_str!("../scenarios/chuseok-evening.json")).unwrap();
    let mut site = two_tier_site();
    for (uid, kind) in [
        ("a", NodeKind::EdgeCache),
        ("b", NodeKind::EdgeCache),
        ("hub", NodeKind::ParentCache),
        ("origin", NodeKind::Origin),
    ] {
        site.start(uid, kind, large_node_parameters(), None);
    }
    let (mut out, mut sent) = (Vec::new(), 0);
    for (n, a) in plan(&scenario, 1).arrivals.iter().enumerate() {
        out.extend(site.advance(a.at));
        let target = if a.object % 2 == 0 { "a" } else { "b" };
        let f = Fetch {
            part: (a.object, a.part),
            work_us: (a.size_kb / 4.0 * 1e3) as u64,
            ..fetch("", 0, Some("hub"))
        };
        out.extend(site.fetch(
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
    out.extend(site.advance(u64::MAX / 4));
    let mut ids: Vec<_> = answers(out);
    assert_eq!(ids.len(), sent);
    let hits = ids.iter().filter(|a| a.2 == "local").count();
    assert!(hits * 2 > sent, "{hits} hits of {sent} requests");
    ids.sort();
    ids.dedup_by(|a, b| a.0 == b.0);
    assert_eq!(ids.len(), sent, "one answer for each request");
    assert!(site
        .attempts
        .iter()
        .all(|a| a.ended.is_some_and(|(end, _)| end >= a.at)));
    assert_eq!(
        (site.inflight("a"), site.inflight("b"), site.next_due()),
        (0, 0, None)
    );
}
