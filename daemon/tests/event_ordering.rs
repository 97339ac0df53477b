//! Tests of event orderings that are rare in production. The event loop is paused until all events of a test are
//! pending, so that it processes them in the same order in every run.

mod scripted_caches;
mod test_proxy;

use linnetknot_daemon::wire::fastcgi;
use linnetknot_harness::clients::WebServer;
use linnetknot_harness::fakes::cache::FakeCache;
use linnetknot_harness::fakes::event_bus::entry;
use scripted_caches::{
    abort_record, busy_wait, fill_accept_queue, next_command, photo_request,
    start_with_scripted_caches,
};
use serde_json::{json, Value};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};
use test_proxy::{object_id, send_and_receive, HeldLoop, TestProxy};

/// Ids of the objects that a cache received `fetch` commands for.
fn fetched_objects(of: &FakeCache) -> Vec<String> {
    let fetched = of.arrivals().into_iter().filter(|a| a.command == "fetch");
    fetched
        .map(|a| a.field("key").unwrap().to_owned())
        .collect()
}

#[test]
fn requests_read_together_with_the_clients_disconnect_are_not_started() {
    let mut proxy = TestProxy::start();
    let mut other = proxy.web();
    assert_eq!(
        send_and_receive(&mut other, "photo", &object_id(1)).status,
        200
    );
    let mut leaving = proxy.web();
    assert_eq!(
        send_and_receive(&mut leaving, "photo", &object_id(2)).status,
        200
    );
    let loop_guard = proxy.hold();
    // Sends more bytes than the daemon takes in a single read, and then disconnects.
    for n in 0..30 {
        leaving
            .send(&photo_request(n + 1, &object_id(100 + u64::from(n)), 4_000))
            .unwrap();
    }
    drop(leaving);
    drop(loop_guard);
    assert_eq!(
        send_and_receive(&mut other, "photo", &object_id(3)).status,
        200
    );
    assert_eq!(
        fetched_objects(&proxy.caches[0]),
        [object_id(1), object_id(2), object_id(3)]
    );
    proxy.stop();
}

#[test]
fn a_request_aborted_in_the_same_read_is_not_started() {
    let mut proxy = TestProxy::start();
    let mut web = proxy.web();
    assert_eq!(
        send_and_receive(&mut web, "photo", &object_id(1)).status,
        200
    );
    let loop_guard = proxy.hold();
    let bytes = [
        photo_request(1, &object_id(2), 12_000),
        photo_request(2, &object_id(3), 12_000),
        abort_record(1),
    ]
    .concat();
    web.send(&bytes).unwrap();
    drop(loop_guard);
    let mut responses = [web.end().unwrap(), web.end().unwrap()];
    responses.sort_by_key(|response| response.0);
    assert!(responses[0].1.is_none() && responses[1].1.as_ref().is_some_and(|a| a.status == 200));
    assert_eq!(
        fetched_objects(&proxy.caches[0]),
        [object_id(1), object_id(3)]
    );
    // The request id may be reused, even within the same read.
    let bytes = [
        photo_request(1, &object_id(4), 0),
        abort_record(1),
        photo_request(1, &object_id(5), 0),
    ]
    .concat();
    web.send(&bytes).unwrap();
    assert!(web.end().unwrap().1.is_none());
    assert_eq!(web.end().unwrap().1.unwrap().status, 200);
    assert_eq!(
        fetched_objects(&proxy.caches[0]),
        [object_id(1), object_id(3), object_id(5)]
    );
    proxy.stop();
}

#[test]
fn no_retry_starts_for_a_client_that_disconnects_as_the_overload_response_arrives() {
    let (mut proxy, mut caches) = start_with_scripted_caches::<2>(|_| {});
    let (mut leaving, mut other) = (proxy.web(), proxy.web());
    // Connect to both caches first, so that a retry would not have to wait for a connection.
    let mut n = 10;
    while caches.iter().any(|cache| cache.connections.is_empty()) {
        leaving.send(&photo_request(1, &object_id(n), 0)).unwrap();
        let (cache, connection, fetch) = next_command(&mut caches);
        caches[cache].connections[connection].respond(
            &fetch[1],
            "200",
            "how=local,made=1,etag=t1",
            "a copy",
        );
        assert_eq!(leaving.end().unwrap().1.unwrap().status, 200);
        n += 1;
    }
    // The request of a connected client is retried.
    leaving.send(&photo_request(4, &object_id(2), 0)).unwrap();
    let (cache, connection, fetch) = next_command(&mut caches);
    caches[cache].connections[connection].respond(&fetch[1], "503", "-", "");
    let (retry_cache, connection, retry) = next_command(&mut caches);
    assert_eq!(
        (&retry[..2], cache != retry_cache),
        (&fetch[..2], true),
        "the retry goes to the other cache"
    );
    caches[retry_cache].connections[connection].respond(
        &fetch[1],
        "200",
        "how=local,made=1,etag=t1",
        "a copy",
    );
    assert_eq!(leaving.end().unwrap().1.unwrap().status, 200);
    // The request of a client that disconnects is not retried.
    leaving.send(&photo_request(2, &object_id(1), 0)).unwrap();
    let (cache, connection, fetch) = next_command(&mut caches);
    let loop_guard = proxy.hold();
    caches[cache].connections[connection].respond(&fetch[1], "503", "-", "");
    drop(leaving);
    drop(loop_guard);
    other.send(&photo_request(3, &object_id(1), 0)).unwrap();
    let fetched = loop {
        let (_, _, command) = next_command(&mut caches);
        if command[0] == "fetch" {
            break command;
        }
    };
    assert_ne!(
        fetched[1], fetch[1],
        "the request of the disconnected client was retried"
    );
    proxy.stop();
}

#[test]
fn a_request_that_arrives_as_the_idle_timeout_expires_is_served() {
    let idle = Duration::from_millis(200);
    let bounds = json!({"client_idle_timeout_us": 200_000, "partial_request_timeout_us": 150_000});
    let mut proxy = TestProxy::with(&["s-0a"], |config| config["bounds"] = bounds.clone());
    let mut web = proxy.web();
    assert_eq!(
        send_and_receive(&mut web, "photo", &object_id(1)).status,
        200
    );
    // The loop is paused after polling and before it handles deadlines, until the idle timeout has passed.
    let loop_guard = proxy.hold();
    busy_wait(idle);
    web.send(&photo_request(1, &object_id(2), 0)).unwrap();
    drop(loop_guard);
    assert_eq!(web.end().unwrap().1.expect("an answer").status, 200);
    // Without a request the connection is closed with EOF, not with a reset.
    assert_eq!(web.end().unwrap_err().kind(), ErrorKind::UnexpectedEof);
    proxy.stop();
}

#[test]
fn a_client_that_never_closes_its_half_is_dropped_after_the_linger_timeout() {
    let bounds = json!({"client_idle_timeout_us": 50_000, "client_linger_timeout_us": 50_000});
    let proxy = TestProxy::with(&["s-0a"], |config| config["bounds"] = bounds.clone());
    let mut web = proxy.web();
    assert_eq!(
        send_and_receive(&mut web, "photo", &object_id(1)).status,
        200
    );
    assert_eq!(web.end().unwrap_err().kind(), ErrorKind::UnexpectedEof);
    // Writes fail once the daemon has closed the socket.
    let start = Instant::now();
    while web.send(b"x").is_ok() {
        assert!(
            start.elapsed() < Duration::from_secs(10),
            "the connection is still open after 10 s"
        );
        std::thread::yield_now();
    }
    proxy.stop();
}

/// Starts a daemon, signals it to stop, and holds its loop until the deadline for accepting connections has passed.
fn start_held_at_shutdown_accept_deadline(
    change: impl Fn(&mut Value),
) -> (TestProxy, HeldLoop, WebServer) {
    let accept_period = Duration::from_millis(300);
    let mut proxy = TestProxy::with(&["s-0a"], |config| {
        config["bounds"] = json!({"shutdown_accept_us": 300_000});
        change(config);
    });
    let mut web = proxy.web();
    assert_eq!(
        send_and_receive(&mut web, "photo", &object_id(1)).status,
        200
    );
    proxy.control.stop().unwrap();
    let mut health_checks = 0;
    while health(&mut web) == 200 {
        health_checks += 1;
        assert!(
            health_checks < 1_000_000,
            "the daemon did not handle SIGTERM"
        );
    }
    let loop_guard = proxy.hold();
    busy_wait(accept_period);
    (proxy, loop_guard, web)
}

fn health(web: &mut WebServer) -> u16 {
    web.send(&WebServer::request(9, "/_health", &[], b""))
        .unwrap();
    web.end().unwrap().1.unwrap().status
}

#[test]
fn a_request_in_the_socket_buffer_at_shutdown_is_answered() {
    let (proxy, loop_guard, mut web) = start_held_at_shutdown_accept_deadline(|_| {});
    web.send(&photo_request(1, &object_id(2), 0)).unwrap();
    drop(loop_guard);
    let (id, answer) = web
        .end()
        .expect("a response before the connection is closed");
    assert_eq!(id, 1);
    assert!([200, 503].contains(&answer.unwrap().status));
    assert_eq!(
        web.end().unwrap_err().kind(),
        ErrorKind::UnexpectedEof,
        "the connection ends with EOF, not with a reset"
    );
    drop(web);
    proxy.thread.join().unwrap().unwrap();
}

#[test]
fn a_connection_in_the_accept_queue_at_shutdown_is_served() {
    let (proxy, loop_guard, web) = start_held_at_shutdown_accept_deadline(|_| {});
    let mut late = proxy.web();
    late.send(&photo_request(1, &object_id(2), 0)).unwrap();
    // This connection is accepted before its request arrives.
    let mut later = proxy.web();
    drop(loop_guard);
    assert_eq!(late.end().expect("an answer").1.unwrap().status, 200);
    later.send(&photo_request(1, &object_id(3), 0)).unwrap();
    assert_eq!(later.end().expect("an answer").1.unwrap().status, 200);
    drop((web, late, later));
    proxy.thread.join().unwrap().unwrap();
}

#[test]
fn an_idle_client_reads_eof_at_shutdown_and_later_requests_are_not_forwarded() {
    let (proxy, loop_guard, mut idle_client) = start_held_at_shutdown_accept_deadline(|_| {});
    drop(loop_guard);
    assert_eq!(
        idle_client.end().unwrap_err().kind(),
        ErrorKind::UnexpectedEof
    );
    // This request is sent after the daemon has shut down its sending half. It must not be forwarded, because it can
    // not be answered.
    idle_client
        .send(&photo_request(1, &object_id(2), 0))
        .unwrap();
    drop(idle_client);
    proxy.thread.join().unwrap().unwrap();
    assert_eq!(fetched_objects(&proxy.caches[0]), [object_id(1)]);
}

#[test]
fn repeated_signals_during_shutdown_lose_no_response() {
    let (mut proxy, mut caches) = start_with_scripted_caches::<1>(|config| {
        config["bounds"] = json!({"shutdown_accept_us": 100_000});
    });
    let mut web = proxy.web();
    web.send(&photo_request(1, &object_id(1), 0)).unwrap();
    let (_, connection, fetch) = next_command(&mut caches);
    proxy.control.stop().unwrap();
    proxy.control.reload().unwrap();
    proxy.control.stop().unwrap();
    // Signals arrive again after the accept deadline, while the response is still outstanding.
    let mut fresh = WebServer::connect(proxy.client_address);
    while fresh.is_ok() {
        fresh = WebServer::connect(proxy.client_address);
    }
    proxy.control.stop().unwrap();
    proxy.control.reload().unwrap();
    caches[0].connections[connection].respond(
        &fetch[1],
        "200",
        "how=local,made=1,etag=t1",
        "the copy",
    );
    let answer = web.end().unwrap().1.unwrap();
    assert_eq!(
        (answer.status, answer.body.as_slice()),
        (200, &b"the copy"[..])
    );
    drop((web, fresh));
    proxy.thread.join().unwrap().unwrap();
}

#[test]
fn sigterm_before_the_first_cache_list_ends_the_process() {
    let mut proxy = TestProxy::with(&[], |config| {
        config["known"] = Value::Null;
        config["bounds"] = json!({"shutdown_accept_us": 50_000});
    });
    let mut web = proxy.web();
    assert_eq!(health(&mut web), 503);
    proxy.control.stop().unwrap();
    assert_eq!(web.end().unwrap_err().kind(), ErrorKind::UnexpectedEof);
    drop(web);
    proxy.thread.join().unwrap().unwrap();
}

/// A slow connect must be kept for later attempts. If each attempt started a new connect, no connection would ever be
/// established.
#[test]
fn slow_connects_are_kept_without_further_dials_and_their_requests_are_not_sent() {
    let (proxy, mut caches) = start_with_scripted_caches::<1>(|config| {
        config["settings"]["limits"]["connect-timeout-us"] = json!(100_000);
    });
    let queued_connection = fill_accept_queue(&caches[0]);
    let mut web = proxy.web();
    for n in 1..=6 {
        web.send(&photo_request(n, &object_id(u64::from(n)), 0))
            .unwrap();
        let (_, answer) = web.end().unwrap();
        assert_eq!(
            answer.unwrap().status,
            503,
            "the request was not sent, so it may be repeated"
        );
    }
    // A client that disconnects while its request waits for a connection.
    let mut leaving = proxy.web();
    leaving.send(&photo_request(7, &object_id(7), 0)).unwrap();
    drop(leaving);
    // The accept queue has room again; the kernel retransmits a SYN after one second.
    let start = Instant::now();
    while caches[0].connections.len() < 3 {
        assert_eq!(
            caches[0].take_commands(),
            [],
            "requests that waited for the connection are not sent"
        );
        assert!(
            start.elapsed() < Duration::from_secs(8),
            "only {} connections were established",
            caches[0].connections.len() - 1
        );
        std::thread::yield_now();
    }
    drop(queued_connection);
    web.send(&photo_request(8, &object_id(8), 0)).unwrap();
    let (_, connection, fetch) = next_command(&mut caches);
    assert!(fetch[2].contains(&object_id(8)) && connection > 0);
    caches[0].connections[connection].respond(
        &fetch[1],
        "200",
        "how=local,made=1,etag=t1",
        "a copy",
    );
    assert_eq!(web.end().unwrap().1.unwrap().status, 200);
    assert_eq!(
        caches[0].connections.len(),
        3,
        "two dials for six requests, and the connection that filled the queue"
    );
    proxy.stop();
}

/// An event bus whose every response is sent by the test.
struct ScriptedBus(TcpListener);

impl ScriptedBus {
    fn start() -> ScriptedBus {
        ScriptedBus(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    fn address(&self) -> Value {
        self.0.local_addr().unwrap().to_string().into()
    }

    /// Accepts the next request. Returns its connection and its `Last-Event-ID`.
    fn accept(&self) -> (TcpStream, u64) {
        let (mut socket, _) = self.0.accept().unwrap();
        socket
            .set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
        let (mut head, mut byte) = (Vec::new(), [0]);
        while !head.ends_with(b"\r\n\r\n") {
            socket.read_exact(&mut byte).unwrap();
            head.extend(byte);
        }
        let head = String::from_utf8(head).unwrap();
        let last = head
            .lines()
            .find_map(|line| line.strip_prefix("Last-Event-ID: "))
            .unwrap();
        (socket, last.parse().unwrap())
    }
}

/// The response head that the event bus sends before a stream of events.
const EVENT_STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

fn event(offset: u64, body: Value) -> String {
    let mut event = body;
    event["offset"] = offset.into();
    format!("id: {offset}\ndata: {event}\n\n")
}

fn topology(entries: Vec<Value>) -> Value {
    json!({"topology": {"all": false, "targets": entries}})
}

#[test]
fn a_silent_bus_stream_resumes_after_the_last_event_and_a_missed_drain_applies() {
    let bus = ScriptedBus::start();
    let address = bus.address();
    let proxy = TestProxy::with(&["s-0a", "s-0b"], |config| {
        config["bus"] = address.clone();
        config["bounds"] = json!({"bus_read_timeout_us": 150_000});
    });
    // The bus stops sending before the first event, once without and once with a response head.
    let (_no_head, last) = bus.accept();
    assert_eq!(last, 0);
    let (mut head_only, last) = bus.accept();
    assert_eq!(last, 0);
    head_only.write_all(EVENT_STREAM_HEAD.as_bytes()).unwrap();
    // The bus stops sending in the middle of the second event. It sends that event again after the reconnect.
    let (mut cut_off, last) = bus.accept();
    assert_eq!(last, 0);
    let purge = |tag: u64| json!({"ban": {"tag": tag, "ts": 1}});
    let next_event = event(2, purge(8));
    cut_off
        .write_all(
            [
                EVENT_STREAM_HEAD,
                &event(1, purge(7)),
                &next_event[..next_event.len() / 2],
            ]
            .concat()
            .as_bytes(),
        )
        .unwrap();
    let (mut stream, last) = bus.accept();
    assert_eq!(
        last, 1,
        "the stream is resumed after the last complete event"
    );
    let drain = topology(vec![entry(&proxy.caches[0], "here", "box", "draining")]);
    stream
        .write_all(
            [EVENT_STREAM_HEAD, &event(2, purge(8)), &event(3, drain)]
                .concat()
                .as_bytes(),
        )
        .unwrap();
    let (_resumed, last) = bus.accept();
    assert_eq!(last, 3);
    let mut web = proxy.web();
    for n in 0..40 {
        assert_eq!(
            send_and_receive(&mut web, "photo", &object_id(n)).status,
            200
        );
    }
    assert_eq!(
        fetched_objects(&proxy.caches[0]),
        [] as [String; 0],
        "the cache drains since the interruption"
    );
    proxy.stop();
}

#[test]
fn after_a_reload_during_a_reconnect_only_the_new_bus_address_is_read() {
    let (old, new) = (ScriptedBus::start(), ScriptedBus::start());
    let address = old.address();
    let mut proxy = TestProxy::with(&["s-0a"], |config| config["bus"] = address.clone());
    let (mut first, _) = old.accept();
    first
        .write_all(
            [
                EVENT_STREAM_HEAD,
                &event(1, json!({"ban": {"tag": 1, "ts": 1}})),
            ]
            .concat()
            .as_bytes(),
        )
        .unwrap();
    // The stream breaks, and the reload comes while the daemon is reconnecting.
    drop(first);
    let (mut reconnecting, last) = old.accept();
    assert_eq!(last, 1);
    proxy.config_file.lock().unwrap()["bus"] = new.address();
    proxy.control.reload().unwrap();
    let (mut at_new_address, last) = new.accept();
    assert_eq!(last, 1);
    // Events from the old address must be discarded; this event would remove the last cache.
    let leaving = topology(vec![entry(&proxy.caches[0], "here", "box", "gone")]);
    let _ = reconnecting.write_all([EVENT_STREAM_HEAD, &event(9, leaving)].concat().as_bytes());
    drop(reconnecting);
    at_new_address
        .write_all(
            [
                EVENT_STREAM_HEAD,
                &event(2, json!({"ban": {"tag": 2, "ts": 1}})),
            ]
            .concat()
            .as_bytes(),
        )
        .unwrap();
    drop(at_new_address);
    let (_resumed, last) = new.accept();
    assert_eq!(
        last, 2,
        "the stream is resumed without the event of the old address"
    );
    assert_eq!(
        send_and_receive(&mut proxy.web(), "photo", &object_id(1)).status,
        200
    );
    proxy.stop();
}

#[test]
fn reconnects_to_an_unavailable_bus_back_off_up_to_a_bound() {
    let bus = ScriptedBus::start();
    let address = bus.address();
    let proxy = TestProxy::with(&["s-0a"], |config| config["bus"] = address.clone());
    // Each connection is accepted and closed at once.
    let accepted: Vec<Instant> = (0..7)
        .map(|_| (drop(bus.accept()), Instant::now()).1)
        .collect();
    let gaps: Vec<Duration> = accepted.windows(2).map(|pair| pair[1] - pair[0]).collect();
    let minimum = [50, 100, 200, 400, 400, 400].map(Duration::from_millis);
    assert!(
        gaps.iter()
            .zip(minimum)
            .all(|(gap, minimum)| *gap >= minimum),
        "{gaps:?}"
    );
    assert!(
        gaps.iter().all(|gap| *gap < Duration::from_secs(3)),
        "{gaps:?}"
    );
    proxy.stop();
}

/// Partial requests are buffered until they are complete. The memory that they may use in total is bounded.
#[test]
fn partial_requests_of_many_clients_are_bounded_and_others_are_served() {
    let proxy = TestProxy::with(&["s-0a"], |config| {
        config["limits"]["memory_mb"] = json!(16);
        // This timeout exceeds the duration of the test, so it closes no connection.
        config["bounds"] = json!({"partial_request_timeout_us": 60_000_000});
    });
    let request = WebServer::request(
        1,
        "/invoke/photo",
        &[("HTTP_REQUEST_ID", "0a")],
        &[b'x'; 40_000],
    );
    let mut clients: Vec<WebServer> = (0..120).map(|_| proxy.web()).collect();
    // 120 times 40 KB exceed the limit of 4 MB.
    clients
        .iter_mut()
        .for_each(|web| web.send(&request[..request.len() - 8]).unwrap_or(()));
    assert_eq!(
        send_and_receive(&mut proxy.web(), "photo", &object_id(1)).status,
        200
    );
    let mut closed = 0;
    for web in &mut clients {
        let socket = web.writer().unwrap();
        socket.set_nonblocking(true).unwrap();
        closed += usize::from(
            socket.peek(&mut [0]).is_ok_and(|n| n == 0) || socket.take_error().unwrap().is_some(),
        );
    }
    assert!(
        (10..60).contains(&closed),
        "{closed} connections were closed"
    );
    drop(clients);
    proxy.stop();
}

/// Each unread response takes memory, including those that only reject a request for lack of capacity.
#[test]
fn a_client_that_sends_requests_without_reading_responses_is_disconnected() {
    let proxy = TestProxy::start();
    let mut web = proxy.web();
    let mut begin_records = Vec::new();
    for id in 1..=60_000 {
        fastcgi::write_record(
            &mut begin_records,
            fastcgi::kind::BEGIN,
            id,
            &[0, 1, 1, 0, 0, 0, 0, 0],
        );
    }
    let start = Instant::now();
    while web.send(&begin_records).is_ok() {
        assert!(
            start.elapsed() < Duration::from_secs(10),
            "the client is still connected after 10 s"
        );
    }
    assert_eq!(
        send_and_receive(&mut proxy.web(), "photo", &object_id(1)).status,
        200
    );
    proxy.stop();
}
