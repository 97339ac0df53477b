//! Tests of the network's time and of partitions.

use linnetknot_simnet::{member_at, peer_index, Delay, Micros, Network, Step, Timed};

const NO_EVENT: Option<Timed<u8>> = None;

fn due(at: Micros) -> Option<Timed<u8>> {
    Some(Timed { at, event: 3 })
}

#[test]
fn time_advances_to_the_next_event_and_partitions_drop_datagrams() {
    let mut net = Network::new(
        1,
        Delay {
            min_us: 10,
            jitter_us: 1,
        },
    );
    let start = net.now;
    net.send(0, 1, &"a");
    let delivered = Step::Delivered {
        from: 0,
        to: 1,
        message: "a",
    };
    assert_eq!(net.step(start + 5, NO_EVENT), Step::Finished);
    assert_eq!(net.now, start + 5);
    assert_eq!(net.step(start + 50, due(start + 7)), Step::Due(3));
    assert_eq!(net.step(start + 50, due(start + 10)), delivered);
    assert_eq!(
        (net.now, net.step(start + 50, NO_EVENT)),
        (start + 10, Step::Finished)
    );
    net.partition(3, &[0]);
    net.send(0, 1, &"b");
    net.send(2, 0, &"b");
    assert_eq!(
        net.step(start + 100, NO_EVENT),
        Step::Finished,
        "both directions are cut"
    );
    net.send(1, 2, &"c");
    assert!(matches!(
        net.step(start + 200, NO_EVENT),
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
