//! Fault-injecting links: what becomes of datagrams and streams.

use linnetknot_harness::links::{
    DatagramFaults, FaultyStream, Flow, LinkConditions, Pass, REORDER_DELAY_US,
};
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

#[test]
fn a_clear_link_passes_each_datagram_once_and_at_once_and_a_cut_one_none() {
    let mut faults = DatagramFaults::new(7, 0, 1);
    assert!((0..100).all(|_| faults.next_delays(&LinkConditions::default()) == [0]));
    assert!((0..100).all(|_| faults.next_delays(&LinkConditions::CUT).is_empty()));
}

#[test]
fn losses_doubles_and_delays_come_in_their_shares_and_alike_for_one_seed() {
    let rough = LinkConditions {
        drop: 0.3,
        duplicate: 0.2,
        reorder: 0.1,
        delay_ms: 5.0,
        jitter_ms: 2.0,
        ..LinkConditions::default()
    };
    let all = |seed, to| {
        let mut faults = DatagramFaults::new(seed, 0, to);
        (0..10_000)
            .map(|_| faults.next_delays(&rough))
            .collect::<Vec<_>>()
    };
    let fates = all(7, 1);
    let lost = fates.iter().filter(|f| f.is_empty()).count();
    let twice = fates.iter().filter(|f| f.len() == 2).count();
    let held = fates
        .iter()
        .filter(|f| f.first().is_some_and(|us| *us >= REORDER_DELAY_US))
        .count();
    assert!((2_800..3_200).contains(&lost), "{lost}");
    assert!((1_250..1_550).contains(&twice), "{twice}");
    assert!((600..800).contains(&held), "{held}");
    let usual = |us: &u64| (5_000..=7_000).contains(us) || *us >= REORDER_DELAY_US + 12_000;
    assert!(fates.iter().flatten().all(usual));
    assert_eq!(fates, all(7, 1));
    assert!(
        fates != all(8, 1) && fates != all(7, 2),
        "each direction and seed has fates of its own"
    );
}

#[test]
fn a_change_of_conditions_shifts_no_later_fate() {
    let (mut a, mut b) = (DatagramFaults::new(3, 1, 2), DatagramFaults::new(3, 1, 2));
    let rough = LinkConditions {
        drop: 0.5,
        duplicate: 0.5,
        jitter_ms: 9.0,
        ..LinkConditions::default()
    };
    for _ in 0..50 {
        a.next_delays(&rough);
        b.next_delays(&LinkConditions::CUT);
    }
    assert!((0..50).all(|_| a.next_delays(&rough) == b.next_delays(&rough)));
}

#[test]
fn a_stream_trickles_breaks_in_the_midst_and_stands_still_while_cut() {
    let slow = LinkConditions {
        trickle: 1000,
        ..LinkConditions::default()
    };
    let mut flow = Flow::default();
    assert_eq!(
        flow.allowed(0, &slow, 500),
        Pass::Nothing,
        "nothing is earned yet"
    );
    assert_eq!(flow.allowed(50_000, &slow, 500), Pass::Bytes(50));
    flow.passed(50);
    assert_eq!(flow.allowed(50_000, &slow, 500), Pass::Nothing);
    assert_eq!(
        flow.allowed(5_000_000, &slow, 500),
        Pass::Bytes(100),
        "not all of an idle time at once"
    );
    assert_eq!(
        flow.allowed(5_000_000, &LinkConditions::CUT, 500),
        Pass::Nothing
    );
    assert_eq!(
        flow.allowed(9_000_000, &LinkConditions::default(), 500),
        Pass::Bytes(500)
    );
    let breaks = LinkConditions {
        reset_after: 70,
        ..LinkConditions::default()
    };
    assert_eq!(
        flow.allowed(9_000_000, &breaks, 500),
        Pass::Bytes(20),
        "50 have passed"
    );
    flow.passed(20);
    assert_eq!(flow.allowed(9_000_000, &breaks, 1), Pass::Reset);
    let deaf = LinkConditions {
        half_open: true,
        ..LinkConditions::default()
    };
    assert_eq!(Flow::default().allowed(0, &deaf, 9), Pass::Nothing);
}

#[test]
fn what_can_not_be_is_told_by_its_key() {
    let bad = LinkConditions {
        drop: 1.5,
        ..LinkConditions::default()
    };
    assert_eq!(
        bad.check().map_err(|error| error.to_string()),
        Err("drop: 1.5 is not from 0 to 1".into())
    );
    let bad = LinkConditions {
        delay_ms: f64::NAN,
        ..LinkConditions::default()
    };
    assert!(bad.check().unwrap_err().to_string().starts_with("delay_ms"));
    assert_eq!(LinkConditions::CUT.check(), Ok(()));
}

/// A link in front of a server that sends everything back, and a connection through it.
fn through() -> (FaultyStream, TcpStream) {
    let server = TcpListener::bind("127.0.0.1:0").unwrap();
    let link = FaultyStream::to(server.local_addr().unwrap()).unwrap();
    thread::spawn(move || {
        for mut socket in server.incoming().flatten() {
            thread::spawn(move || {
                let mut back = socket.try_clone().unwrap();
                let _ = io::copy(&mut socket, &mut back);
            });
        }
    });
    let near = TcpStream::connect(link.address).unwrap();
    near.set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    (link, near)
}

fn echo(near: &mut TcpStream, text: &[u8]) -> io::Result<Vec<u8>> {
    near.write_all(text)?;
    let mut got = vec![0; text.len()];
    near.read_exact(&mut got).map(|()| got)
}

#[test]
fn a_clear_link_passes_all_both_ways_and_tells_the_end() {
    let (_gate, mut near) = through();
    let text = vec![7; 200_000];
    let mut other = near.try_clone().unwrap();
    let sent = text.clone();
    let sender = thread::spawn(move || {
        other
            .write_all(&sent)
            .and_then(|()| other.shutdown(Shutdown::Write))
    });
    let mut got = Vec::new();
    near.read_to_end(&mut got).unwrap();
    sender.join().unwrap().unwrap();
    assert_eq!(got, text);
}

#[test]
fn over_a_cut_nothing_comes_and_all_of_it_once_that_is_over() {
    let (link, mut near) = through();
    assert_eq!(echo(&mut near, b"clear").unwrap(), b"clear");
    link.set_backward(LinkConditions::CUT);
    near.set_read_timeout(Some(Duration::from_millis(200)))
        .unwrap();
    // What the link was reading when it was cut may still pass; the next does not.
    let _ = echo(&mut near, b"a");
    let lost = echo(&mut near, b"b").unwrap_err().kind();
    assert!(
        matches!(lost, io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut),
        "{lost}"
    );
    link.set_backward(LinkConditions::default());
    near.set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    let mut got = [0];
    while got != *b"b" {
        near.read_exact(&mut got).unwrap();
    }
}

#[test]
fn a_reset_comes_in_the_midst_of_a_frame() {
    let (link, mut near) = through();
    link.set_forward(LinkConditions {
        reset_after: 10,
        ..LinkConditions::default()
    });
    let mut got = Vec::new();
    near.write_all(b"twelve bytes").unwrap();
    let end = near.read_to_end(&mut got).map_err(|e| e.kind());
    assert!(got.len() <= 10, "{got:?}");
    assert!(
        !matches!(
            end,
            Err(io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
        ),
        "it ended: {end:?}"
    );
}

#[test]
fn a_half_open_link_takes_a_connection_and_says_nothing() {
    let (link, _) = through();
    link.set_forward(LinkConditions {
        half_open: true,
        ..LinkConditions::default()
    });
    let mut near = TcpStream::connect(link.address).unwrap();
    near.set_read_timeout(Some(Duration::from_millis(200)))
        .unwrap();
    let silent = echo(&mut near, b"hello").unwrap_err().kind();
    assert!(
        matches!(silent, io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut),
        "{silent}"
    );
}
