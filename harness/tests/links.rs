//! Losses, duplicates, delays and resets of datagrams and streams on fault-injecting links.

use linnetknot_harness::links::{
    DatagramFaults, FaultyStream, Flow, LinkConditions, Pass, REORDER_DELAY_US,
};
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

#[test]
fn a_link_without_faults_delivers_each_datagram_once_without_delay_and_a_cut_link_none() {
    let mut faults = DatagramFaults::new(7, 0, 1);
    assert!((0..100).all(|_| faults.next_delays(&LinkConditions::default()) == [0]));
    assert!((0..100).all(|_| faults.next_delays(&LinkConditions::CUT).is_empty()));
}

#[test]
fn losses_duplicates_and_delays_have_the_configured_rates_and_repeat_for_a_seed() {
    let lossy = LinkConditions {
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
            .map(|_| faults.next_delays(&lossy))
            .collect::<Vec<_>>()
    };
    let sequence = all(7, 1);
    let lost = sequence.iter().filter(|f| f.is_empty()).count();
    let duplicated = sequence.iter().filter(|f| f.len() == 2).count();
    let reordered = sequence
        .iter()
        .filter(|f| f.first().is_some_and(|us| *us >= REORDER_DELAY_US))
        .count();
    assert!((2_800..3_200).contains(&lost), "{lost}");
    assert!((1_250..1_550).contains(&duplicated), "{duplicated}");
    assert!((600..800).contains(&reordered), "{reordered}");
    let is_in_range = |us: &u64| (5_000..=7_000).contains(us) || *us >= REORDER_DELAY_US + 12_000;
    assert!(sequence.iter().flatten().all(is_in_range));
    assert_eq!(sequence, all(7, 1));
    assert!(
        sequence != all(8, 1) && sequence != all(7, 2),
        "the sequence depends on the direction and the seed"
    );
}

#[test]
fn a_change_of_conditions_does_not_affect_the_draws_for_later_datagrams() {
    let (mut a, mut b) = (DatagramFaults::new(3, 1, 2), DatagramFaults::new(3, 1, 2));
    let lossy = LinkConditions {
        drop: 0.5,
        duplicate: 0.5,
        jitter_ms: 9.0,
        ..LinkConditions::default()
    };
    for _ in 0..50 {
        a.next_delays(&lossy);
        b.next_delays(&LinkConditions::CUT);
    }
    assert!((0..50).all(|_| a.next_delays(&lossy) == b.next_delays(&lossy)));
}

#[test]
fn a_stream_is_rate_limited_blocked_while_cut_and_reset_after_its_byte_limit() {
    let slow = LinkConditions {
        trickle: 1000,
        ..LinkConditions::default()
    };
    let mut flow = Flow::default();
    assert_eq!(
        flow.allowed(0, &slow, 500),
        Pass::Nothing,
        "the allowance starts at zero"
    );
    assert_eq!(flow.allowed(50_000, &slow, 500), Pass::Bytes(50));
    flow.passed(50);
    assert_eq!(flow.allowed(50_000, &slow, 500), Pass::Nothing);
    assert_eq!(
        flow.allowed(5_000_000, &slow, 500),
        Pass::Bytes(100),
        "the allowance of an idle period is limited"
    );
    assert_eq!(
        flow.allowed(5_000_000, &LinkConditions::CUT, 500),
        Pass::Nothing
    );
    assert_eq!(
        flow.allowed(9_000_000, &LinkConditions::default(), 500),
        Pass::Bytes(500)
    );
    let resetting = LinkConditions {
        reset_after: 70,
        ..LinkConditions::default()
    };
    assert_eq!(
        flow.allowed(9_000_000, &resetting, 500),
        Pass::Bytes(20),
        "50 have passed"
    );
    flow.passed(20);
    assert_eq!(flow.allowed(9_000_000, &resetting, 1), Pass::Reset);
    let half_open = LinkConditions {
        half_open: true,
        ..LinkConditions::default()
    };
    assert_eq!(Flow::default().allowed(0, &half_open, 9), Pass::Nothing);
}

#[test]
fn the_error_for_a_condition_out_of_range_names_its_key() {
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

/// Returns a link to an echo server and a connection through it.
fn connect_through_link() -> (FaultyStream, TcpStream) {
    let server = TcpListener::bind("127.0.0.1:0").unwrap();
    let link = FaultyStream::to(server.local_addr().unwrap()).unwrap();
    thread::spawn(move || {
        for mut socket in server.incoming().flatten() {
            thread::spawn(move || {
                let mut writer = socket.try_clone().unwrap();
                let _ = io::copy(&mut socket, &mut writer);
            });
        }
    });
    let client = TcpStream::connect(link.address).unwrap();
    client
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    (link, client)
}

fn echo(client: &mut TcpStream, text: &[u8]) -> io::Result<Vec<u8>> {
    client.write_all(text)?;
    let mut got = vec![0; text.len()];
    client.read_exact(&mut got).map(|()| got)
}

#[test]
fn a_link_without_faults_forwards_both_directions_and_the_end_of_the_stream() {
    let (_link, mut client) = connect_through_link();
    let text = vec![7; 200_000];
    let mut writer = client.try_clone().unwrap();
    let sent = text.clone();
    let sender = thread::spawn(move || {
        writer
            .write_all(&sent)
            .and_then(|()| writer.shutdown(Shutdown::Write))
    });
    let mut got = Vec::new();
    client.read_to_end(&mut got).unwrap();
    sender.join().unwrap().unwrap();
    assert_eq!(got, text);
}

#[test]
fn bytes_sent_during_a_cut_arrive_after_it() {
    let (link, mut client) = connect_through_link();
    assert_eq!(echo(&mut client, b"clear").unwrap(), b"clear");
    link.set_backward(LinkConditions::CUT);
    client
        .set_read_timeout(Some(Duration::from_millis(200)))
        .unwrap();
    // Bytes that the link was reading when it was cut may still pass.
    let _ = echo(&mut client, b"a");
    let error = echo(&mut client, b"b").unwrap_err().kind();
    assert!(
        matches!(error, io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut),
        "{error}"
    );
    link.set_backward(LinkConditions::default());
    client
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    let mut got = [0];
    while got != *b"b" {
        client.read_exact(&mut got).unwrap();
    }
}

#[test]
fn a_link_resets_a_connection_in_the_middle_of_a_message() {
    let (link, mut client) = connect_through_link();
    link.set_forward(LinkConditions {
        reset_after: 10,
        ..LinkConditions::default()
    });
    let mut got = Vec::new();
    client.write_all(b"twelve bytes").unwrap();
    let end = client.read_to_end(&mut got).map_err(|e| e.kind());
    assert!(got.len() <= 10, "{got:?}");
    assert!(
        !matches!(
            end,
            Err(io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
        ),
        "the connection was not closed: {end:?}"
    );
}

#[test]
fn a_half_open_link_accepts_a_connection_and_sends_nothing() {
    let (link, _) = connect_through_link();
    link.set_forward(LinkConditions {
        half_open: true,
        ..LinkConditions::default()
    });
    let mut client = TcpStream::connect(link.address).unwrap();
    client
        .set_read_timeout(Some(Duration::from_millis(200)))
        .unwrap();
    let error = echo(&mut client, b"hello").unwrap_err().kind();
    assert!(
        matches!(error, io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut),
        "{error}"
    );
}
