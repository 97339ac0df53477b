//! Components of runs with real daemons: acknowledgements, datagram kinds, purge schedules and sockets.

use linnetknot_rehearse::scale::daemons::acks::PurgeAcks;
use linnetknot_rehearse::scale::daemons::kind::Kind;
use linnetknot_rehearse::scale::daemons::purge_plan::plan;
use linnetknot_rehearse::scale::daemons::sockets::{
    admit, MemberSockets, ReceivedDatagram, OTHER_DESCRIPTORS,
};
use linnetknot_replication::Datagram;
use rustix::process::{getrlimit, Resource};
use std::net::UdpSocket;

const SECOND_US: u64 = 1_000_000;

#[test]
fn acknowledgement_covers_earlier_purges_once() {
    let mut acks = PurgeAcks::new(2);
    acks.record_issued(5, 1, 100);
    acks.record_issued(5, 3, 200);
    acks.record_issued(5, 4, 300);
    acks.acknowledged(5, 0, 3, 1_000);
    acks.acknowledged(5, 0, 3, 9_000);
    assert_eq!((acks.total(), acks.missing(0), acks.missing(1)), (3, 1, 3));
    assert_eq!((acks.delays(0).len(), acks.delays(0).max()), (2, 900));
    acks.acknowledged(5, 0, 4, 20_000_300);
    assert!(
        acks.delays(0).max() >= 20_000_000,
        "{}",
        acks.delays(0).max()
    );
    acks.acknowledged(7, 0, 3, 9_000);
    assert_eq!((acks.missing(0), acks.missing(1)), (0, 3));
}

#[test]
fn datagrams_are_classified_by_protocol() {
    let digest_request = Datagram::DigestRequest.encode().expect("encode datagram");
    assert_eq!(Kind::of(&digest_request), Kind::Digests);
    let ack = Datagram::Ack {
        process: 1,
        positions: vec![linnetknot_replication::LogPosition {
            log: linnetknot_replication::LogId::new(1, 2),
            index: 3,
        }],
    };
    assert_eq!(
        Kind::of(&ack.encode().expect("encode datagram")),
        Kind::Acks
    );
    assert_eq!(Kind::of(b"purge object a 1"), Kind::Other);
}

#[test]
fn purges_are_scheduled_evenly_over_time_and_members() {
    let purges = plan(4, 100, 2, 1);
    assert_eq!((purges.len(), purges[100].after_us), (200, SECOND_US));
    assert!((0..4).all(|member| purges.iter().any(|purge| purge.member == member)));
    assert_eq!(purges, plan(4, 100, 2, 1));
    assert!(plan(4, 0, 2, 1).is_empty());
}

#[test]
fn sockets_accept_datagrams_from_daemons_only() {
    let daemon = UdpSocket::bind("127.0.0.1:0").expect("bind socket");
    let stranger = UdpSocket::bind("127.0.0.1:0").expect("bind socket");
    let daemon_address = daemon.local_addr().expect("local address");
    let mut sockets = MemberSockets::bind(3, &[daemon_address]).expect("bind member sockets");
    let second = sockets.addresses()[1];
    stranger
        .send_to(b"stranger", second)
        .expect("send datagram");
    daemon.send_to(b"daemon", second).expect("send datagram");
    assert_eq!(sockets.wait(1_000_000).expect("wait for datagrams"), [1]);
    let mut buffer = [0; 16];
    let received = sockets.receive(1, &mut buffer);
    assert_eq!(
        received,
        Some(ReceivedDatagram {
            daemon: 0,
            length: 6
        })
    );
    assert_eq!(&buffer[..6], b"daemon");
    assert_eq!(sockets.receive(1, &mut buffer), None);
}

#[test]
fn sockets_beyond_the_descriptor_limit_are_rejected() {
    assert_eq!(admit(1), Ok(()));
    let error = admit(usize::MAX - OTHER_DESCRIPTORS);
    assert!(
        error.is_err() || getrlimit(Resource::Nofile).current.is_none(),
        "{error:?}"
    );
}
