//! The recovery of a proxy's own commits after it has lost its disk.

use linnetknot_replication::{Recovery, RecoveryStep, RecoveryTimes};

const TIMES: RecoveryTimes = RecoveryTimes {
    start: 0,
    deadline: 100,
    retry_us: 10,
};

/// Returns the step that requests digests from these peers.
fn requests_to(peers: &[usize]) -> RecoveryStep {
    RecoveryStep {
        request_from: peers.to_vec(),
        missing_machines: None,
    }
}

#[test]
fn recovery_ends_once_all_commits_are_received_or_at_the_deadline() {
    // Peers 0 and 1 run on machine 20, peer 2 on the proxy's own machine and peer 3 on machine 30.
    let new = |min_acks| Recovery::new(10, vec![20, 20, 10, 30], min_acks, TIMES);
    let mut one_ack = new(1);
    assert_eq!(one_ack.tick(0), requests_to(&[0, 1, 2, 3]));
    assert!(
        !one_ack.record_caught_up(0)
            && !one_ack.record_caught_up(1)
            && !one_ack.record_caught_up(2),
        "a commit may be stored only on machine 30"
    );
    assert_eq!(
        (one_ack.tick(5), one_ack.tick(10)),
        (requests_to(&[]), requests_to(&[3]))
    );
    assert!(one_ack.record_caught_up(3) && one_ack.is_over() && one_ack.due().is_none());
    // If a commit needs two acknowledgements, each commit is on both machines. It suffices to catch up with a
    // peer on either machine.
    let mut two_acks = new(2);
    assert!(two_acks.record_caught_up(3));
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
        "there are no peers"
    );
}
