//! How long a plain purge of a replicating peer is retained, and when it is appended to the own log, without sockets.

use linnetknot_daemon::limits::Limits;
use linnetknot_daemon::peers::Purge;
use linnetknot_daemon::plain_purges::{PlainPurges, PurgeSender, RetainedPurge, Treatment};
use linnetknot_replication::{LogId, LogPosition};

/// The index of the sender.
const PEER: usize = 1;
/// The sender's process when it sends the purge.
const PROCESS: u64 = 7;
/// The sender's process after a restart.
const LATER_PROCESS: u64 = 8;
/// The number of grace periods after which a purge is appended in any case.
const MAX_GRACE_PERIODS: u64 = 10;
/// The time at which the purge is received, in microseconds.
const RECEIVED_AT: u64 = 5_000_000;

fn limits() -> Limits {
    Limits::for_machine(256, 32)
}

fn purge() -> Purge {
    Purge::of_object("00000000000000b2", RECEIVED_AT)
}

/// Receives a purge that no log contains, from a sender with this process.
fn receive(process: Option<u64>) -> PlainPurges {
    let mut purges = PlainPurges::new(&limits());
    let sender = PurgeSender {
        peer: PEER,
        process,
    };
    let treatment = purges.receive(RECEIVED_AT, Some(sender), false, purge());
    let expected = process.map_or(Treatment::Greet, |_| Treatment::Replicated);
    assert_eq!(treatment, expected);
    assert_eq!(purges.unlogged(|_| false), 1);
    purges
}

/// Runs the tick at the end of the grace period with this number, and returns the purges to append. `process` is the
/// process of the sender at that time, if it is known to replicate logs.
fn writes(
    purges: &mut PlainPurges,
    periods: u64,
    process: Option<u64>,
    is_logged: bool,
) -> Vec<Purge> {
    let now = RECEIVED_AT + periods * limits().plain_purge_grace_us;
    assert_eq!(purges.due(), Some(now));
    let process_of = |peer| {
        assert_eq!(peer, PEER);
        process
    };
    purges.tick(now, process_of, |_| is_logged).writes
}

#[test]
fn a_purge_is_retained_while_the_process_that_sent_it_runs() {
    for known in [Some(PROCESS), None] {
        let mut purges = receive(known);
        for period in 1..MAX_GRACE_PERIODS {
            assert_eq!(writes(&mut purges, period, Some(PROCESS), false), []);
            assert_eq!(purges.unlogged(|_| false), 1);
        }
        assert_eq!(
            writes(&mut purges, MAX_GRACE_PERIODS, Some(LATER_PROCESS), false),
            [purge()]
        );
        assert_eq!((purges.due(), purges.unlogged(|_| false)), (None, 0));
    }
}

/// A sender that was unknown at first may have been replaced by a process without its disk, which does not have the
/// purge. Therefore no purge is retained for ever.
#[test]
fn a_purge_that_does_not_arrive_as_an_entry_is_appended_whatever_its_sender_does() {
    for (known, later) in [(None, LATER_PROCESS), (Some(PROCESS), PROCESS)] {
        let mut purges = receive(known);
        for period in 1..MAX_GRACE_PERIODS {
            assert_eq!(writes(&mut purges, period, Some(later), false), []);
        }
        let appended = writes(&mut purges, MAX_GRACE_PERIODS, Some(later), false);
        assert_eq!(appended, [purge()]);
        assert_eq!((purges.due(), purges.unlogged(|_| false)), (None, 0));
    }
}

#[test]
fn a_purge_of_a_sender_that_is_down_is_appended() {
    for known in [Some(PROCESS), None] {
        assert_eq!(writes(&mut receive(known), 1, None, false), [purge()]);
    }
}

#[test]
fn a_purge_that_a_log_contains_is_not_appended() {
    for later in [Some(PROCESS), Some(LATER_PROCESS), None] {
        let mut purges = receive(Some(PROCESS));
        assert_eq!(purges.unlogged(|_| true), 0);
        assert_eq!(writes(&mut purges, 1, later, true), []);
        assert_eq!(purges.due(), None);
    }
    let mut purges = PlainPurges::new(&limits());
    let sender = PurgeSender {
        peer: PEER,
        process: Some(PROCESS),
    };
    let treatment = purges.receive(RECEIVED_AT, Some(sender), true, purge());
    assert_eq!((treatment, purges.due()), (Treatment::Replicated, None));
}

#[test]
fn a_purge_of_an_entry_that_arrived_out_of_order_is_retained_like_a_plain_purge() {
    let mut purges = PlainPurges::new(&limits());
    let sender = PurgeSender {
        peer: PEER,
        process: Some(PROCESS),
    };
    let capacity = limits().max_unwritten_purges;
    let position = |index| LogPosition {
        log: LogId::new(3, 4),
        index,
    };
    for index in 0..=capacity as u64 {
        purges.receive_out_of_order(RECEIVED_AT, sender, purge(), position(index));
    }
    let is_reached = |retained: &RetainedPurge| {
        retained
            .position
            .is_some_and(|position| position.index < 10)
    };
    assert_eq!(purges.unlogged(is_reached), capacity - 10);
    assert_eq!(purges.unlogged(|_| false), capacity);
    assert_eq!(writes(&mut purges, 1, Some(PROCESS), false), []);
    let appended = writes(&mut purges, 2, Some(LATER_PROCESS), false);
    assert_eq!(appended, vec![purge(); capacity]);
}

/// A purge beyond the capacity can't be retained, so it is appended at once.
#[test]
fn no_purge_is_forgotten_when_the_capacity_is_reached() {
    let mut purges = receive(Some(PROCESS));
    let sender = PurgeSender {
        peer: PEER,
        process: Some(PROCESS),
    };
    for _ in 1..limits().max_unwritten_purges {
        let treatment = purges.receive(RECEIVED_AT, Some(sender), false, purge());
        assert_eq!(treatment, Treatment::Replicated);
    }
    let treatment = purges.receive(RECEIVED_AT, Some(sender), false, purge());
    assert_eq!(treatment, Treatment::Write(purge()));
}
