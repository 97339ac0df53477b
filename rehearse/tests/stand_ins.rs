//! The parts of stand-ins that behave: a link that is shared, a memory with ranks.

use linnetknot_rehearse::record::Cold;
use linnetknot_rehearse::stand_ins::link::Link;
use linnetknot_rehearse::stand_ins::memory::Memory;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const MS: u64 = 1000;

#[test]
fn transfers_run_at_full_pace_until_the_link_is_full_and_then_share_it() {
    let mut link = Link::new(2.0);
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
    assert_eq!(link.advance(10_000 * MS), [(4, 450 * MS)], "told with the time at which it ended");
    assert!(link.is_empty() && link.next_due().is_none());
}

/// However it is looked at, a link gives no more than its capacity, and all that it was asked for in the end.
#[test]
fn a_link_gives_all_that_was_asked_and_never_more_than_it_can() {
    let mut random = ChaCha8Rng::seed_from_u64(11);
    for _ in 0..50 {
        let capacity = random.random_range(0.5..6.0);
        let (mut link, mut coarse) = (Link::new(capacity), Link::new(capacity));
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
        assert!(end as f64 * capacity + 100.0 >= asked as f64, "{asked} of work in {end} at {capacity}");
        ends.sort_unstable();
        ends_coarse.sort_unstable();
        let near = |(a, b): (&(u64, u64), &(u64, u64))| a.0 == b.0 && a.1.abs_diff(b.1) < 100;
        assert!(ends.iter().zip(&ends_coarse).all(near), "{ends:?}\n{ends_coarse:?}");
    }
}

#[test]
fn a_cold_box_gives_its_share_and_more_as_it_warms_up() {
    let cold = Cold {
        uid: "a".into(),
        at: 1000,
        capacity: 8.0,
        share: 0.25,
        warm_us: 1000,
        multiple: 2.5,
        fall_us: 3000,
    };
    assert_eq!([0, 1000, 1500, 2000, 9000].map(|at| cold.capacity_at(at)), [2.0, 2.0, 5.0, 8.0, 8.0]);
}

#[test]
fn low_ranks_go_first_and_nothing_goes_for_a_copy_of_lower_rank() {
    let mut memory = Memory::new(100);
    assert!(memory.keep((1, 0), 7, 40, 10, 1) && memory.keep((2, 0), 7, 40, 10, 2));
    assert!(!memory.keep((3, 0), 7, 101, 10, 3), "larger than all");
    assert!(!memory.keep((3, 0), 7, 10, 10, 0), "rank 0 is not kept");
    // 1 has the lowest rank, whatever was used last.
    assert_eq!(memory.get((1, 0), 10, 0), Some(10));
    assert!(memory.keep((3, 0), 7, 40, 10, 2));
    assert_eq!((memory.get((1, 0), 0, 0), memory.held()), (None, 80));
    // Of one rank, what was used longest ago.
    assert_eq!(memory.get((2, 0), 0, 0), Some(10));
    assert!(memory.keep((4, 0), 7, 40, 10, 2));
    assert_eq!((memory.get((3, 0), 0, 0), memory.get((2, 0), 0, 0)), (None, Some(10)));
    // One of lower rank is not kept, and costs nobody.
    assert!(!memory.keep((5, 0), 7, 40, 10, 1));
    assert_eq!(memory.held(), 80);
    // A use sets the rank anew: then it goes first.
    memory.get((4, 0), 0, 1);
    assert!(memory.keep((6, 0), 7, 50, 10, 1));
    assert_eq!((memory.get((4, 0), 0, 0), memory.get((2, 0), 0, 0)), (None, Some(10)));
    // An older copy never takes the place of a newer one, a newer one does; one that is too old will not do.
    assert!(!memory.keep((2, 0), 7, 40, 9, 3) && memory.keep((2, 0), 7, 30, 20, 3));
    assert_eq!((memory.get((2, 0), 21, 0), memory.get((2, 0), 20, 0), memory.held()), (None, Some(20), 80));
    // Purges strike what is older than they are, by object or by group.
    assert!(memory.keep((2, 1), 8, 20, 20, 3));
    assert_eq!((memory.purge(Ok(2), 20), memory.purge(Err(7), 20)), (0, 1));
    assert_eq!((memory.purge(Ok(2), 21), memory.held()), (2, 0));
}
