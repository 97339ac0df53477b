//! Time goes from one event to the next, and links are cut in both directions.

use linnetknot_simnet::{member_at, peer_index, Delay, Micros, Network, Step, Timed};

const NOTHING: Option<Timed<u8>> = None;

fn due(at: Micros) -> Option<Timed<u8>> {
    Some(Timed { at, event: 3 })
}

#[test]
fn time_goes_from_one_thing_to_the_next_and_no_further_than_its_end() {
    let mut net = Network::new(
        1,
        Delay {
            min_us: 10,
            jitter_us: 1,
        },
    );
    let begin = net.now;
    net.send(0, 1, &"a");
    let arrives = Step::Delivered {
        from: 0,
        to: 1,
        message: "a",
    };
    assert_eq!(net.step(begin + 5, NOTHING), Step::Finished);
    assert_eq!(net.now, begin + 5);
    assert_eq!(net.step(begin + 50, due(begin + 7)), Step::Due(3));
    assert_eq!(net.step(begin + 50, due(begin + 10)), arrives);
    assert_eq!(
        (net.now, net.step(begin + 50, NOTHING)),
        (begin + 10, Step::Finished)
    );
    net.partition(3, &[0]);
    net.send(0, 1, &"b");
    net.send(2, 0, &"b");
    assert_eq!(
        net.step(begin + 100, NOTHING),
        Step::Finished,
        "cut both ways"
    );
    net.send(1, 2, &"c");
    assert!(matches!(
        net.step(begin + 200, NOTHING),
        Step::Delivered { .. }
    ));
    assert_eq!(
        (
            peer_index(3, 1),
            peer_index(0, 1),
            member_at(2, 1),
            member_at(0, 1)
        ),
        (2, 0, 3, 0)
    );
}
