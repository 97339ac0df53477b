//! Short reads and writes on every type of connection: each message comes and goes in pieces of a byte, cut at each of
//! its bytes.

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
/// Every read and every write of the daemon moves a byte.
const BYTE_BY_BYTE: &str = "sys-read=short(1);sys-write=short(1)";

/// Sends a message in two parts, which the other side reads apart, and reads all that comes back.
fn cut(to: SocketAddr, message: &[u8], at: usize) -> Vec<u8> {
    let mut socket = TcpStream::connect(to).unwrap();
    socket.set_nodelay(true).unwrap();
    socket.set_read_timeout(Some(TIMEOUT)).unwrap();
    socket.write_all(&message[..at]).unwrap();
    std::thread::sleep(Duration::from_millis(1));
    socket.write_all(&message[at..]).unwrap();
    let mut answer = Vec::new();
    socket.read_to_end(&mut answer).unwrap();
    answer
}

#[test]
fn a_call_at_the_second_front_and_the_admin_listener_can_be_cut_at_each_byte() {
    let armed = Armed::start("");
    let message = |target: &str| {
        format!("GET {target} HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n\r\n")
            .into_bytes()
    };
    for (to, target, begins) in [
        (armed.process.cdni, "/cdni/triggers", "HTTP/1.1 200"),
        (armed.process.admin, "/control/ready", "HTTP/1.1 200"),
    ] {
        let whole = cut(to, &message(target), 0);
        assert!(whole.starts_with(begins.as_bytes()), "{target}");
        let status = &whole[..12];
        for at in 1..message(target).len() {
            let answer = cut(to, &message(target), at);
            assert_eq!(&answer[..12], status, "{target} cut at {at}");
        }
    }
}

#[test]
fn a_request_at_the_platforms_front_can_be_cut_at_each_byte() {
    let armed = Armed::start("");
    let fields = [
        ("HTTP_REQUEST_ID", "00000000000000aa"),
        ("HTTP_RESOURCE_KEY", "00000000000000a1"),
        ("HTTP_BUDGET_MS", "2000"),
    ];
    let request = WebServer::request(7, "/invoke/photo", &fields, b"");
    let mut web = armed.web();
    for at in 0..request.len() {
        web.send(&request[..at]).unwrap();
        std::thread::sleep(Duration::from_millis(1));
        web.send(&request[at..]).unwrap();
        let (id, answer) = web.end().unwrap();
        assert_eq!((id, answer.unwrap().status), (7, 200), "cut at {at}");
    }
}

#[test]
fn every_connection_of_the_daemon_bears_pieces_of_one_byte() {
    let armed = Armed::start(BYTE_BY_BYTE);
    // Clients, caches and the bus: the list has come, and requests with their answers go both ways.
    let mut web = armed.web();
    for number in 0..20 {
        let answer = ask(&mut web, number).expect("an answer");
        assert_eq!(answer.status, 200);
        assert!(!answer.body.is_empty());
    }
    assert!(!armed.cache.arrivals().is_empty());
    web.ask(2, "post", "0000000000000077", 2500).unwrap();
    assert_eq!(web.end().unwrap().1.map(|a| a.status), Some(200));
    // Neighbours and operators.
    assert_eq!(
        purge_at(armed.process.cdni, "0000000000000003").unwrap(),
        201
    );
    let ready = call(armed.process.admin, "GET", "/control/ready", "").unwrap();
    assert_eq!(ready.status, 200);
}

#[test]
fn a_payload_to_a_neighbour_goes_out_in_pieces_of_one_byte() {
    let peer = PeerCdn::start().unwrap();
    let armed = Armed::with(BYTE_BY_BYTE, |own| {
        own["cdni"]["neighbours"] = json!([{"provider": "AS64502:0", "address": peer.address.to_string(),
            "notices": "/fci", "content": "http://other.example"}]);
    });
    let request = peer.requests.recv_timeout(TIMEOUT).expect("it is notified");
    let body = request.body;
    assert!(
        serde_json::from_str::<serde_json::Value>(&body).is_ok(),
        "{body}"
    );
    drop(armed);
}

#[test]
fn discovery_by_consul_bears_pieces_of_one_byte() {
    let agent = Agent::start().unwrap();
    let (address, cache) = (agent.address, FakeCache::start("s-0b").unwrap());
    agent.register(&[instance(cache.uid, cache.address, "passing")]);
    let armed = Armed::with(BYTE_BY_BYTE, |own| {
        own["consul"] = json!({"address": address.to_string(), "answer_ms": 5_000, "wait_s": 1});
    });
    assert!(poll_until(TIMEOUT, || !agent.requests().is_empty()));
    assert!(
        agent.wait_until_read(),
        "the answer is taken in, and the next is waited for"
    );
    drop(armed);
}

#[test]
fn a_half_closed_caller_gets_its_answer_byte_by_byte() {
    let armed = Armed::start(BYTE_BY_BYTE);
    let mut socket = TcpStream::connect(armed.process.admin).unwrap();
    socket.set_read_timeout(Some(TIMEOUT)).unwrap();
    socket
        .write_all(b"GET /control/ready HTTP/1.1\r\nHost: a\r\n\r\n")
        .unwrap();
    socket.shutdown(Shutdown::Write).unwrap();
    let mut answer = String::new();
    socket.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}
