//! When a proxy that began without a disk has its own promises back.

use linnetknot_replication::Recovery;

#[test]
fn it_is_over_once_no_promise_can_be_missing_or_when_its_time_is() {
    // Peers 0 and 1 stand on machine 20, 2 on its own, 3 on 30; promises waited for one of the two machines.
    let new = |wait| Recovery::new(10, vec![20, 20, 10, 30], wait, (0, 100, 10));
    let mut one = new(1);
    assert_eq!(one.tick(0), (vec![0, 1, 2, 3], None));
    assert!(
        !one.settled(0) && !one.settled(1) && !one.settled(2),
        "a promise may be on machine 30 alone"
    );
    assert_eq!(
        (one.tick(5), one.tick(10)),
        ((vec![], None), (vec![3], None))
    );
    assert!(one.settled(3) && one.is_over() && one.due().is_none());
    // PendingCommits that waited for both are on each.
    let mut both = new(2);
    assert!(both.settled(3));
    let mut late = new(1);
    late.settled(3);
    assert_eq!(
        (late.tick(99).1, late.tick(100).1, late.is_over()),
        (None, Some(1), true)
    );
    assert!(
        Recovery::new(10, vec![], 0, (0, 100, 10)).is_over(),
        "nobody to ask"
    );
}
