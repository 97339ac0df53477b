//! Tests short reads and writes on every type of connection: messages split at each byte, and transfers of one byte.

mod fault_injection;

use fault_injection::{ask, Armed};
use linnetknot_harness::clients::{call, poll_until, PeerCdn, WebServer};
use linnetknot_harness::fakes::cache::FakeCache;
use linnetknot_harness::fakes::consul::{instance, Agent};
use linnetknot_harness::fleet::purge_at;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);
/// Fail points that limit every read and write of the daemon to one byte.
const BYTE_BY_BYTE: &str = "sys-read=short(1);sys-write=short(1)";

/// Sends a message in two parts that are read separately, and returns the whole response.
fn call_in_two_parts(address: SocketAddr, message: &[u8], split_at: usize) -> Vec<u8> {
    let mut socket = TcpStream::connect(address).unwrap();
    socket.set_nodelay(true).unwrap();
    socket.set_read_timeout(Some(TIMEOUT)).unwrap();
    socket.write_all(&message[..split_at]).unwrap();
    std::thread::sleep(Duration::from_millis(1));
    socket.write_all(&message[split_at..]).unwrap();
    let mut answer = Vec::new();
    socket.read_to_end(&mut answer).unwrap();
    answer
}

#[test]
fn http_calls_at_the_cdni_and_admin_listeners_may_be_split_at_any_byte() {
    let daemon = Armed::start("");
    let message = |target: &str| {
        format!("GET {target} HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n\r\n")
            .into_bytes()
    };
    for (address, target, status_line) in [
        (daemon.process.cdni, "/cdni/triggers", "HTTP/1.1 200"),
        (daemon.process.admin, "/control/ready", "HTTP/1.1 200"),
    ] {
        let expected = call_in_two_parts(address, &message(target), 0);
        assert!(expected.starts_with(status_line.as_bytes()), "{target}");
        let status = &expected[..12];
        for split_at in 1..message(target).len() {
            let answer = call_in_two_parts(address, &message(target), split_at);
            assert_eq!(&answer[..12], status, "{target} split at {split_at}");
        }
    }
}

#[test]
fn a_fastcgi_request_may_be_split_at_any_byte() {
    let daemon = Armed::start("");
    let fields = [
        ("HTTP_REQUEST_ID", "00000000000000aa"),
        ("HTTP_RESOURCE_KEY", "00000000000000a1"),
        ("HTTP_BUDGET_MS", "2000"),
    ];
    let request = WebServer::request(7, "/invoke/photo", &fields, b"");
    let mut web = daemon.web();
    for split_at in 0..request.len() {
        web.send(&request[..split_at]).unwrap();
        std::thread::sleep(Duration::from_millis(1));
        web.send(&request[split_at..]).unwrap();
        let (id, answer) = web.end().unwrap();
        assert_eq!(
            (id, answer.unwrap().status),
            (7, 200),
            "split at {split_at}"
        );
    }
}

#[test]
fn every_connection_works_with_reads_and_writes_of_one_byte() {
    let daemon = Armed::start(BYTE_BY_BYTE);
    // Requests over the connections of clients, caches and the event bus must succeed.
    let mut web = daemon.web();
    for number in 0..20 {
        let answer = ask(&mut web, number).expect("an answer");
        assert_eq!(answer.status, 200);
        assert!(!answer.body.is_empty());
    }
    assert!(!daemon.cache.arrivals().is_empty());
    web.ask(2, "post", "0000000000000077", 2500).unwrap();
    assert_eq!(web.end().unwrap().1.map(|a| a.status), Some(200));
    // Requests to the CDNI and admin listeners must succeed.
    assert_eq!(
        purge_at(daemon.process.cdni, "0000000000000003").unwrap(),
        201
    );
    let ready = call(daemon.process.admin, "GET", "/control/ready", "").unwrap();
    assert_eq!(ready.status, 200);
}

#[test]
fn a_notice_to_a_neighbour_is_sent_with_writes_of_one_byte() {
    let peer = PeerCdn::start().unwrap();
    let daemon = Armed::with(BYTE_BY_BYTE, |interconnect| {
        interconnect["cdni"]["neighbours"] = json!([{"provider": "AS64502:0", "address": peer.address.to_string(),
            "notices": "/fci", "content": "http://other.example"}]);
    });
    let request = peer
        .requests
        .recv_timeout(TIMEOUT)
        .expect("a notice to the neighbour");
    let body = request.body;
    assert!(
        serde_json::from_str::<serde_json::Value>(&body).is_ok(),
        "{body}"
    );
    drop(daemon);
}

#[test]
fn consul_discovery_works_with_reads_and_writes_of_one_byte() {
    let agent = Agent::start().unwrap();
    let (address, cache) = (agent.address, FakeCache::start("s-0b").unwrap());
    agent.register(&[instance(cache.uid, cache.address, "passing")]);
    let daemon = Armed::with(BYTE_BY_BYTE, |interconnect| {
        interconnect["consul"] =
            json!({"address": address.to_string(), "answer_ms": 5_000, "wait_s": 1});
    });
    assert!(poll_until(TIMEOUT, || !agent.requests().is_empty()));
    assert!(
        agent.wait_until_read(),
        "the response is read and the next query sent"
    );
    drop(daemon);
}

#[test]
fn a_half_closed_caller_gets_its_response_with_writes_of_one_byte() {
    let daemon = Armed::start(BYTE_BY_BYTE);
    let mut socket = TcpStream::connect(daemon.process.admin).unwrap();
    socket.set_read_timeout(Some(TIMEOUT)).unwrap();
    socket
        .write_all(b"GET /control/ready HTTP/1.1\r\nHost: a\r\n\r\n")
        .unwrap();
    socket.shutdown(Shutdown::Write).unwrap();
    let mut answer = String::new();
    socket.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}
