//! Tests of the ledger.

use super::*;

struct Submission {
    from: MemberProcess,
    request: LeaseRequest,
}

fn request(
    member: MemberIndex,
    process: ProcessId,
    number: u64,
    current_lease: u64,
    unsettled: Amount,
) -> Submission {
    let request = LeaseRequest {
        budget: 0,
        number,
        demand: 0,
        current_lease,
        unsettled,
    };
    Submission {
        from: MemberProcess { member, process },
        request,
    }
}

/// Records a request and grants `target` of a leasable amount of 100. Returns `None` if the request is outdated.
fn submit(
    ledger: &mut Ledger,
    now: Micros,
    Submission { from, request }: Submission,
    target: Amount,
    settled_at: Micros,
) -> Option<Amount> {
    ledger
        .record(now, from, &request)
        .then(|| ledger.grant(from, &request, target, 100, settled_at))
}

#[test]
fn a_smaller_lease_counts_once_in_force_and_earlier_spending_until_it_settles() {
    let mut ledger = Ledger::default();
    assert_eq!(
        submit(&mut ledger, 0, request(1, 1, 1, 0, 0), 80, 100),
        Some(80)
    );
    // Holder 1 demands less and has 50 unsettled. It is not known whether it has received the smaller lease.
    assert_eq!(
        submit(&mut ledger, 10, request(1, 1, 2, 1, 50), 10, 110),
        Some(10)
    );
    assert_eq!(
        (
            ledger.outstanding(1),
            submit(&mut ledger, 10, request(2, 1, 1, 0, 0), 99, 110)
        ),
        (80, Some(20))
    );
    // Holder 1 has received the smaller lease, but 50 are still unsettled under the first one.
    assert_eq!(
        submit(&mut ledger, 20, request(1, 1, 3, 2, 50), 10, 120),
        Some(10)
    );
    assert_eq!(
        (
            ledger.outstanding(1),
            submit(&mut ledger, 20, request(2, 1, 2, 1, 20), 99, 120)
        ),
        (50, Some(50))
    );
    assert_eq!(
        submit(&mut ledger, 30, request(1, 1, 4, 3, 5), 10, 130),
        Some(10)
    );
    assert_eq!(
        (
            ledger.outstanding(1),
            submit(&mut ledger, 30, request(2, 1, 3, 2, 50), 99, 130)
        ),
        (10, Some(90))
    );
}

#[test]
fn an_outdated_request_is_ignored_and_changes_no_grant() {
    let mut ledger = Ledger::default();
    submit(&mut ledger, 0, request(1, 1, 1, 0, 0), 30, 100);
    submit(&mut ledger, 0, request(1, 1, 2, 1, 0), 60, 100);
    for (process, number) in [(1, 2), (1, 1), (0, 9)] {
        assert_eq!(
            submit(&mut ledger, 1, request(1, process, number, 1, 0), 99, 100),
            None
        );
    }
    assert_eq!(ledger.outstanding(1), 60);
}

#[test]
fn grants_to_an_earlier_process_count_in_addition() {
    let mut ledger = Ledger::default();
    assert_eq!(
        submit(&mut ledger, 0, request(1, 1, 7, 0, 0), 60, 100),
        Some(60)
    );
    // The next process names a lease of the previous process as its current one, which must be ignored.
    assert_eq!(
        submit(&mut ledger, 50, request(1, 2, 8, 7, 0), 60, 150),
        Some(40)
    );
    assert_eq!(
        (
            ledger.outstanding(1),
            submit(&mut ledger, 50, request(2, 1, 1, 0, 0), 60, 150)
        ),
        (100, Some(0))
    );
    assert_eq!(
        submit(&mut ledger, 100, request(2, 1, 2, 0, 0), 60, 200),
        Some(60)
    );
}
