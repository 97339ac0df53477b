//! Tests of the event queue and of link conditions.

use linnetknot_datagram::Random;
use linnetknot_simnet::{EventQueue, LinkConditions};

#[test]
fn events_are_ordered_by_time_then_by_when_they_were_scheduled() {
    let mut queue = EventQueue::default();
    for (at, event) in [(30, "late"), (10, "first"), (10, "second"), (20, "third")] {
        queue.schedule(at, event);
    }
    let mut popped = Vec::new();
    while let Some(event) = queue.pop_due(20) {
        popped.push((event.at, event.event));
    }
    assert_eq!(popped, [(10, "first"), (10, "second"), (20, "third")]);
    assert_eq!((queue.len(), queue.is_empty()), (1, false));
}

const CONDITIONS: LinkConditions = LinkConditions {
    delay_us: 1_000,
    spread_us: 500,
    jitter_us: 200,
    loss_ppm: 100_000,
    duplication_ppm: 50_000,
    reordering_ppm: 20_000,
};

#[test]
fn losses_duplicates_and_delays_match_the_link_conditions() {
    let mut random = Random::new(7);
    let (mut lost, mut duplicated, mut reordered) = (0, 0, 0);
    for number in 0..100_000 {
        let now = number * 10;
        let arrivals = CONDITIONS.arrivals(3, now, &mut random);
        let Some(first) = arrivals.first else {
            lost += 1;
            assert_eq!(arrivals.second, None, "a lost datagram has no duplicate");
            continue;
        };
        duplicated += u32::from(arrivals.second.is_some_and(|second| second > first));
        assert!((1_000..=2_700).contains(&(first - now)));
        reordered += u32::from(first - now > 1_700);
    }
    assert!((9_000..11_000).contains(&lost), "{lost}");
    assert!((4_000..5_000).contains(&duplicated), "{duplicated}");
    assert!((1_500..2_100).contains(&reordered), "{reordered}");
}

#[test]
fn simultaneous_datagrams_stay_in_order_and_links_have_different_delays() {
    let reliable = LinkConditions {
        loss_ppm: 0,
        duplication_ppm: 0,
        reordering_ppm: 0,
        ..CONDITIONS
    };
    let mut random = Random::new(1);
    let mut arrival = |link, now| reliable.arrivals(link, now, &mut random).first.unwrap();
    assert!((0..100).all(|burst| arrival(9, burst * 5_000) < arrival(9, burst * 5_000 + 1)));
    let delays: std::collections::BTreeSet<u64> = (0..50).map(|link| arrival(link, 0)).collect();
    assert!(delays.len() > 25, "{delays:?}");
}
