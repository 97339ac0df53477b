//! Requests with thousands of short fields must not delay other clients.

mod test_proxy;

use linnetknot_daemon::wire::fastcgi::{self, kind};
use linnetknot_harness::clients::WebServer;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};
use test_proxy::{object_id, send_and_receive, TestProxy};

/// The number of clients that send such requests, within the descriptors of the proxy.
const CLIENTS: usize = 100;
/// The requests that may be open on a connection.
const REQUESTS_PER_CLIENT: u16 = 32;
/// As many fields with one letter as the longest head holds.
const FIELDS: usize = 5_000;
/// The deadline of the requests of the usual client.
const DEADLINE: Duration = Duration::from_millis(2_500);
/// A late answer only earns nothing up to this time after the deadline.
const LATE_GRACE: Duration = Duration::from_millis(500);

/// Returns the records of whole requests whose heads consist of one-letter fields.
fn requests_with_many_fields() -> Vec<u8> {
    let mut fields = Vec::new();
    (0..FIELDS).for_each(|_| fastcgi::write_pair(&mut fields, "A", ""));
    let mut out = Vec::new();
    for id in 1..=REQUESTS_PER_CLIENT {
        let begin = [0, 1, fastcgi::KEEP_CONN, 0, 0, 0, 0, 0];
        fastcgi::write_record(&mut out, kind::BEGIN, id, &begin);
        fastcgi::write_record(&mut out, kind::PARAMS, id, &fields);
        fastcgi::write_record(&mut out, kind::PARAMS, id, &[]);
        fastcgi::write_record(&mut out, kind::STDIN, id, &[]);
    }
    out
}

/// Sends the requests and reads the answers until the proxy closes the connection or `end`.
fn send_requests(to: SocketAddr, requests: &[u8], end: Instant) {
    while Instant::now() < end {
        let Ok(mut socket) = TcpStream::connect(to) else {
            continue;
        };
        // The proxy may close the connection at any time, which is an answer, too.
        let _ = socket.set_write_timeout(Some(DEADLINE));
        let _ = socket.set_read_timeout(Some(DEADLINE));
        let _ = socket.write_all(requests);
        let _ = socket.shutdown(Shutdown::Write);
        let _ = socket.read_to_end(&mut Vec::new());
    }
}

/// Guards against usual clients that get no answer in time beside clients whose requests have very many fields.
#[test]
fn requests_with_thousands_of_fields_do_not_delay_other_clients() {
    let proxy = TestProxy::start();
    let requests = requests_with_many_fields();
    let mut web = proxy.web();
    send_and_receive(&mut web, "photo", &object_id(0));
    let end = Instant::now() + 2 * DEADLINE;
    let longest = thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| send_requests(proxy.client_address, &requests, end));
        }
        let mut longest = Duration::ZERO;
        for number in 1.. {
            let sent = Instant::now();
            if sent >= end {
                break;
            }
            send_on_new_connection(&proxy, number);
            longest = longest.max(sent.elapsed());
        }
        longest
    });
    assert!(
        longest < DEADLINE + LATE_GRACE,
        "answered after {longest:?}"
    );
    proxy.stop();
}

/// Guards against answers that hold a value for each of thousands of equal names, which fill the memory while clients do
/// not read them.
#[test]
fn a_question_for_a_value_is_answered_once_however_often_it_is_named() {
    let proxy = TestProxy::start();
    let mut names = Vec::new();
    (0..3_000).for_each(|_| fastcgi::write_pair(&mut names, "FCGI_MPXS_CONNS", ""));
    let mut question = Vec::new();
    fastcgi::write_record(&mut question, kind::GET_VALUES, 0, &names);
    let mut value = Vec::new();
    fastcgi::write_pair(&mut value, "FCGI_MPXS_CONNS", "1");
    let mut expected = Vec::new();
    fastcgi::write_record(&mut expected, kind::GET_VALUES_RESULT, 0, &value);
    let mut socket = TcpStream::connect(proxy.client_address).unwrap();
    socket.set_read_timeout(Some(DEADLINE)).unwrap();
    socket.write_all(&question).unwrap();
    let mut answer = vec![0; expected.len()];
    socket.read_exact(&mut answer).unwrap();
    // The header of the record has its length.
    assert_eq!(answer, expected);
    proxy.stop();
}

/// Sends a request and waits for its answer, of any kind.
fn send_on_new_connection(proxy: &TestProxy, number: u64) {
    let mut web = WebServer::connect(proxy.client_address).unwrap();
    let deadline_ms = DEADLINE.as_millis() as u64;
    web.ask(1, "photo", &object_id(number), deadline_ms)
        .unwrap();
    web.end().expect("an answer");
}
