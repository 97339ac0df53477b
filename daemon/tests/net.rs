//! Tests of TCP connections, ring buffers, slot tables and deadlines.

use linnetknot_daemon::net::{
    Deadlines, Interest, Key, Poll, Progress, RingBuffer, SlotTable, TcpConnection,
};
use rustix::net::sockopt;
use std::io::Write;
use std::net::{TcpListener, TcpStream};

#[test]
fn shutting_down_the_writing_half_delivers_all_bytes_where_a_close_does_not() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let response = vec![7; 1 << 20];
    let send_and_close = |close: fn(TcpConnection) -> Option<TcpConnection>| {
        let mut peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        sockopt::set_socket_recv_buffer_size(&peer, 64 << 10).unwrap();
        let mut tcp =
            TcpConnection::new(listener.accept().unwrap().0, true, 4096, 2 << 20).unwrap();
        tcp.output.push(&response);
        tcp.write();
        let written = tcp.written;
        let open_half = close(tcp);
        // A request arrives after the close, while most of the response is unread.
        peer.write_all(b"crossing").unwrap();
        let mut received = Vec::new();
        let result = std::io::Read::read_to_end(&mut peer, &mut received).map_err(|e| e.kind());
        drop(open_half);
        (received.len() as u64, written, result.is_ok())
    };
    let (received, written, clean_eof) = send_and_close(|tcp| {
        tcp.shutdown_write().unwrap();
        Some(tcp)
    });
    assert!(
        written > 100_000 && received == written && clean_eof,
        "{received} of {written}"
    );
    let (received, written, clean_eof) = send_and_close(|_| None);
    assert!(
        received < written && !clean_eof,
        "a close should have lost bytes: {received} of {written}"
    );
}

#[test]
fn a_full_input_buffer_stops_reading_but_a_reset_is_still_detected() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let mut tcp = TcpConnection::new(listener.accept().unwrap().0, true, 4, 4).unwrap();
    peer.write_all(b"123456").unwrap();
    while tcp.read(false) != Progress::Blocked || tcp.input.free_bytes() > 0 {}
    let mut poll = Poll::new(4).unwrap();
    poll.add(tcp.socket(), 7, Interest::NONE).unwrap();
    sockopt::set_socket_linger(&peer, Some(std::time::Duration::ZERO)).unwrap();
    drop(peer);
    let mut ready = Vec::new();
    while ready.is_empty() {
        poll.wait(1_000_000, &mut ready).unwrap();
    }
    assert!(
        ready[0].broken && ready[0].read,
        "the reset is reported without any registered interest"
    );
    assert_eq!(
        (tcp.read(false), tcp.read(ready[0].broken)),
        (Progress::Blocked, Progress::Broken)
    );
}

/// A hang-up of the peer must be reported while the bytes that it sent before are still unread.
#[test]
fn a_hang_up_is_reported_although_the_input_buffer_is_full() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let mut tcp = TcpConnection::new(listener.accept().unwrap().0, true, 4, 4).unwrap();
    let mut poll = Poll::new(4).unwrap();
    poll.add(tcp.socket(), 7, tcp.watched()).unwrap();
    peer.write_all(b"123456").unwrap();
    while tcp.read(false) != Progress::Blocked || tcp.input.free_bytes() > 0 {}
    let interest = tcp.watch().unwrap();
    assert!(!interest.read && interest.hang_up);
    poll.change(tcp.socket(), 7, interest).unwrap();
    let mut ready = Vec::new();
    poll.wait(0, &mut ready).unwrap();
    assert!(
        ready.is_empty(),
        "no event while the bytes wait in the kernel"
    );
    drop(peer);
    while ready.is_empty() {
        poll.wait(1_000_000, &mut ready).unwrap();
    }
    assert!(ready[0].hung_up);
    // After EOF has been read the hang-up must not be reported again, or the event loop would spin.
    tcp.input.consume(4);
    while tcp.read(false) != Progress::Ended {
        tcp.input.consume(4);
    }
    let interest = tcp.watch().unwrap();
    poll.change(tcp.socket(), 7, interest).unwrap();
    ready.clear();
    poll.wait(0, &mut ready).unwrap();
    assert!(ready.is_empty(), "{ready:?}");
}

/// A frame is not buffered if the socket accepts none of its bytes. If the socket accepts some of them, the remaining
/// bytes are buffered.
#[test]
fn a_frame_is_buffered_only_once_its_first_byte_is_written() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let _peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let mut tcp = TcpConnection::new(listener.accept().unwrap().0, true, 4096, 1 << 20).unwrap();
    sockopt::set_socket_send_buffer_size(tcp.socket(), 4096).unwrap();
    let frame = vec![7; 500_000];
    while tcp.output.is_empty() {
        assert_eq!(tcp.begin(&frame), Progress::Moved);
    }
    let pending = tcp.output.len() as u64;
    assert!(pending < frame.len() as u64 && (tcp.written + pending) % frame.len() as u64 == 0);
    assert!(tcp.is_waiting_to_write());
    // Discards the buffered remaining bytes until the socket accepts no further byte.
    let before = loop {
        tcp.output.consume(tcp.output.len());
        let before = tcp.written;
        if tcp.begin(&frame) == Progress::Blocked {
            break before;
        }
    };
    assert_eq!((tcp.output.len(), tcp.written), (0, before));
    assert!(
        tcp.is_waiting_to_write(),
        "the connection waits for the socket to be writable"
    );
}

#[test]
fn a_stale_key_does_not_return_the_next_entry_of_its_slot() {
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
fn a_ring_buffer_returns_bytes_in_order_across_its_end() {
    let mut ring = RingBuffer::new(5);
    let (mut sent, mut received) = (0u8, Vec::new());
    let mut take = |bytes: &[u8]| {
        received.extend_from_slice(bytes);
        Ok::<_, std::convert::Infallible>(bytes.len())
    };
    for length in [3, 1, 4, 2, 5, 1, 3, 5] {
        let bytes: Vec<u8> = (sent..sent + length).collect();
        sent += ring.push(&bytes) as u8;
        assert_eq!(ring.push(&[0; 9][..0]), 0);
        ring.drain(&mut take).unwrap();
    }
    while !ring.is_empty() {
        ring.drain(&mut take).unwrap();
    }
    assert_eq!(received, (0..sent).collect::<Vec<_>>());
    assert_eq!((ring.push(&[7; 9]), ring.free_bytes()), (5, 0));
}

#[test]
fn deadlines_are_returned_once_in_order_and_can_be_cancelled() {
    let mut deadlines = Deadlines::default();
    let (_, cancelled) = (deadlines.set(20, 'a'), deadlines.set(30, 'b'));
    deadlines.set(10, 'c');
    deadlines.set(20, 'd');
    deadlines.cancel(cancelled);
    assert_eq!((deadlines.next(), deadlines.pop(9)), (Some(10), None));
    assert_eq!(
        [
            deadlines.pop(20),
            deadlines.pop(20),
            deadlines.pop(20),
            deadlines.pop(99)
        ],
        [Some('c'), Some('a'), Some('d'), None]
    );
}
