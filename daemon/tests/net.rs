//! Sockets, what becomes of bytes at the end of a connection, rings, slots and deadlines.

use linnetknot_daemon::net::{
    Deadlines, Interest, Key, Poll, Progress, RingBuffer, SlotTable, TcpConnection,
};
use rustix::net::sockopt;
use std::io::Write;
use std::net::{TcpListener, TcpStream};

#[test]
fn an_ended_half_delivers_all_though_more_comes_in_where_a_close_would_not() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let whole = vec![7; 1 << 20];
    let read = |ends: fn(TcpConnection) -> Option<TcpConnection>| {
        let mut far = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        sockopt::set_socket_recv_buffer_size(&far, 64 << 10).unwrap();
        let mut conn =
            TcpConnection::new(listener.accept().unwrap().0, true, 4096, 2 << 20).unwrap();
        conn.output.push(&whole);
        conn.write();
        let written = conn.written;
        let kept = ends(conn);
        // A further request crosses the end, while most of the answer is not read.
        far.write_all(b"crossing").unwrap();
        let mut got = Vec::new();
        let end = std::io::Read::read_to_end(&mut far, &mut got).map_err(|e| e.kind());
        drop(kept);
        (got.len() as u64, written, end.is_ok())
    };
    let (got, written, ended) = read(|conn| {
        conn.shutdown_write().unwrap();
        Some(conn)
    });
    assert!(
        written > 100_000 && got == written && ended,
        "{got} of {written}"
    );
    let (got, written, ended) = read(|_| None);
    assert!(
        got < written && !ended,
        "else this test proves nothing: {got} of {written}"
    );
}

#[test]
fn a_full_ring_makes_the_other_side_wait_but_not_where_that_is_gone() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut far = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let mut conn = TcpConnection::new(listener.accept().unwrap().0, true, 4, 4).unwrap();
    far.write_all(b"123456").unwrap();
    while conn.read(false) != Progress::Blocked || conn.input.free_bytes() > 0 {}
    let mut poll = Poll::new(4).unwrap();
    poll.add(conn.socket(), 7, Interest::NONE).unwrap();
    sockopt::set_socket_linger(&far, Some(std::time::Duration::ZERO)).unwrap();
    drop(far);
    let mut ready = Vec::new();
    while ready.is_empty() {
        poll.wait(1_000_000, &mut ready).unwrap();
    }
    assert!(
        ready[0].broken && ready[0].read,
        "told of although nothing is watched"
    );
    assert_eq!(
        (conn.read(false), conn.read(ready[0].broken)),
        (Progress::Blocked, Progress::Broken)
    );
}

/// The end of the other side is told ahead of the bytes that it sent before, also while nobody reads them.
#[test]
fn an_end_is_told_of_though_a_full_ring_bars_the_bytes_before_it() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut far = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let mut conn = TcpConnection::new(listener.accept().unwrap().0, true, 4, 4).unwrap();
    let mut poll = Poll::new(4).unwrap();
    poll.add(conn.socket(), 7, conn.watched()).unwrap();
    far.write_all(b"123456").unwrap();
    while conn.read(false) != Progress::Blocked || conn.input.free_bytes() > 0 {}
    let interest = conn.watch().unwrap();
    assert!(!interest.read && interest.hang_up);
    poll.change(conn.socket(), 7, interest).unwrap();
    let mut ready = Vec::new();
    poll.wait(0, &mut ready).unwrap();
    assert!(ready.is_empty(), "the bytes wait");
    drop(far);
    while ready.is_empty() {
        poll.wait(1_000_000, &mut ready).unwrap();
    }
    assert!(ready[0].hung_up);
    // Once the end is read it is not told of again: the loop would spin.
    conn.input.consume(4);
    while conn.read(false) != Progress::Ended {
        conn.input.consume(4);
    }
    let interest = conn.watch().unwrap();
    poll.change(conn.socket(), 7, interest).unwrap();
    ready.clear();
    poll.wait(0, &mut ready).unwrap();
    assert!(ready.is_empty(), "{ready:?}");
}

/// A frame of which nothing was taken leaves no trace, and one of which a byte was is kept to its end.
#[test]
fn a_frame_begins_with_its_first_byte_or_not_at_all() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let _far = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let mut conn = TcpConnection::new(listener.accept().unwrap().0, true, 4096, 1 << 20).unwrap();
    sockopt::set_socket_send_buffer_size(conn.socket(), 4096).unwrap();
    let frame = vec![7; 500_000];
    while conn.output.is_empty() {
        assert_eq!(conn.begin(&frame), Progress::Moved);
    }
    let kept = conn.output.len() as u64;
    assert!(kept < frame.len() as u64 && (conn.written + kept) % frame.len() as u64 == 0);
    assert!(conn.is_waiting_to_write());
    // The rest of each is dropped until the socket takes nothing at all.
    let before = loop {
        conn.output.consume(conn.output.len());
        let before = conn.written;
        if conn.begin(&frame) == Progress::Blocked {
            break before;
        }
    };
    assert_eq!((conn.output.len(), conn.written), (0, before));
    assert!(conn.is_waiting_to_write(), "it is to be tried again");
}

#[test]
fn a_stale_key_misses_the_slots_next_entry() {
    let mut slots = SlotTable::new(1);
    let old = slots.insert("old").unwrap();
    assert_eq!(slots.insert("no room"), Err("no room"));
    assert_eq!(slots.remove(old), Some("old"));
    let new = slots.insert("new").unwrap();
    assert_eq!((slots.get(old), slots.get(new)), (None, Some(&"new")));
    assert_eq!(slots.remove(old), None);
    assert_eq!(Key::from_u64(new.to_u64()), new);
}

#[test]
fn bytes_come_out_as_they_went_in_around_the_end() {
    let mut ring = RingBuffer::new(5);
    let (mut sent, mut got) = (0u8, Vec::new());
    let mut take = |bytes: &[u8]| {
        got.extend_from_slice(bytes);
        Ok::<_, std::convert::Infallible>(bytes.len())
    };
    for step in [3, 1, 4, 2, 5, 1, 3, 5] {
        let bytes: Vec<u8> = (sent..sent + step).collect();
        sent += ring.push(&bytes) as u8;
        assert_eq!(ring.push(&[0; 9][..0]), 0);
        ring.drain(&mut take).unwrap();
    }
    while !ring.is_empty() {
        ring.drain(&mut take).unwrap();
    }
    assert_eq!(got, (0..sent).collect::<Vec<_>>());
    assert_eq!((ring.push(&[7; 9]), ring.free_bytes()), (5, 0));
}

#[test]
fn deadlines_come_in_order_once_and_can_be_cancelled() {
    let mut d = Deadlines::default();
    let (_, late) = (d.set(20, 'a'), d.set(30, 'b'));
    d.set(10, 'c');
    d.set(20, 'd');
    d.cancel(late);
    assert_eq!((d.next(), d.pop(9)), (Some(10), None));
    assert_eq!(
        [d.pop(20), d.pop(20), d.pop(20), d.pop(99)],
        [Some('c'), Some('a'), Some('d'), None]
    );
}
