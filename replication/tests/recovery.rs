//! When a proxy that started without a disk has its own commits back.

use linnetknot_replication::{Recovery, RecoveryStep, RecoveryTimes};

const TIMES: RecoveryTimes = RecoveryTimes {
    start: 0,
    deadline: 100,
    retry_us: 10,
};

/// The step that requests from these peers and ends nothing.
fn requests(peers: &[usize]) -> RecoveryStep {
    RecoveryStep {
        request_from: peers.to_vec(),
        missing_machines: None,
    }
}

#[test]
fn it_is_over_once_no_commit_can_be_missing_or_at_its_deadline() {
    // Peers 0 and 1 are on machine 20, 2 is on the proxy's own, 3 on 30; commits waited for one of the two machines.
    let new = |min_acks| Recovery::new(10, vec![20, 20, 10, 30], min_acks, TIMES);
    let mut one = new(1);
    assert_eq!(one.tick(0), requests(&[0, 1, 2, 3]));
    assert!(
        !one.record_caught_up(0) && !one.record_caught_up(1) && !one.record_caught_up(2),
        "a commit may be on machine 30 alone"
    );
    assert_eq!((one.tick(5), one.tick(10)), (requests(&[]), requests(&[3])));
    assert!(one.record_caught_up(3) && one.is_over() && one.due().is_none());
    // Commits that waited for both are on each.
    let mut both = new(2);
    assert!(both.record_caught_up(3));
    let mut late = new(1);
    late.record_caught_up(3);
    assert_eq!(
        (
            late.tick(99).missing_machines,
            late.tick(100).missing_machines,
            late.is_over()
        ),
        (None, Some(1), true)
    );
    assert!(
        Recovery::new(10, vec![], 0, TIMES).is_over(),
        "nobody to ask"
    );
}
