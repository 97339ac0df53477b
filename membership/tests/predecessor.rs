//! A process that started without its disk receives a claim about a process with a greater id. That process is either
//! the predecessor, if the clock has been set back since, or a successor.

use linnetknot_membership::*;

const SECOND_US: Micros = 1_000_000;
const START: Micros = 1_000_000 * SECOND_US;
/// Time after its start during which the process expects reports of its predecessor.
const WINDOW_US: Micros = 5 * SECOND_US;
const OWN_ID: Id = 1;
const PEER_ID: Id = 2;

fn process_without_disk() -> Membership {
    let config = MembershipConfig {
        id: OWN_ID,
        process: START,
        names: Names {
            name: "p0".to_owned(),
            machine: "m0".to_owned(),
        },
        peers: 1,
        seed: 1,
        options: Options::default(),
    };
    let mut membership = Membership::new(config, START);
    membership.expect_predecessor(START + WINDOW_US);
    membership
}

/// Returns a peer's datagram that reports a process of this member.
fn report(process: ProcessId) -> Vec<u8> {
    let claim = Claim {
        process,
        incarnation: 0,
        state: MemberState::Alive,
    };
    Message {
        from: Sender {
            id: PEER_ID,
            process: START,
            incarnation: 0,
        },
        body: Body::Ping {
            number: 1,
            names: false,
        },
        updates: vec![Update {
            id: OWN_ID,
            observer: PEER_ID,
            claim,
        }],
    }
    .encode()
}

fn receive(membership: &mut Membership, now: Micros, process: ProcessId) {
    membership
        .receive(now, 0, &report(process))
        .expect("the datagram can be decoded");
}

#[test]
fn a_process_id_in_the_future_is_taken_for_the_predecessor() {
    let mut membership = process_without_disk();
    let predecessor = START + 3_600 * SECOND_US;
    receive(&mut membership, START + SECOND_US, predecessor);
    assert!(!membership.is_replaced());
    assert_eq!(membership.process(), predecessor + 1);
}

/// Guards against a successor that is taken for the predecessor. A successor's id is a time that the clock has reached.
#[test]
fn a_process_that_started_later_replaces_this_one() {
    for started_after_us in [1, SECOND_US, 4 * SECOND_US] {
        let mut membership = process_without_disk();
        receive(
            &mut membership,
            START + 4 * SECOND_US,
            START + started_after_us,
        );
        assert!(
            membership.is_replaced(),
            "started {started_after_us} us later"
        );
        assert_eq!(membership.process(), START);
    }
}

#[test]
fn after_the_window_every_later_process_replaces_this_one() {
    let mut membership = process_without_disk();
    receive(
        &mut membership,
        START + WINDOW_US,
        START + 3_600 * SECOND_US,
    );
    assert!(membership.is_replaced());
}
