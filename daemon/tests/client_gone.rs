//! Requests of a client that disconnects or aborts start no further attempt, whatever they wait for at that moment.
//! Covers each kind of disconnect, with one request and with the maximum number of requests on the connection.

mod scripted_caches;
mod test_proxy;

use linnetknot_harness::clients::WebServer;
use scripted_caches::{
    abort_record, add_parents, busy_wait, fill_accept_queue, next_command, photo_request,
    start_with_scripted_caches, take_fetches, Fetch, ScriptedCache,
};
use serde_json::json;
use std::net::Shutdown;
use std::time::{Duration, Instant};
use test_proxy::{object_id, send_and_receive, TestProxy};

/// How a client disconnects or cancels its requests.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    /// Closes the socket.
    Fin,
    /// Resets the connection.
    Reset,
    /// Aborts the requests and keeps the connection.
    Abort,
    /// Shuts down the sending half and keeps the receiving half open.
    HalfClose,
}

const DISCONNECTS: [Disconnect; 4] = [
    Disconnect::Fin,
    Disconnect::Reset,
    Disconnect::Abort,
    Disconnect::HalfClose,
];
/// Numbers of open requests per connection to test with: one, and the maximum.
const REQUEST_COUNTS: [u16; 2] = [1, 32];
/// Request number used by the client that stays connected.
const REMAINING_CLIENT_REQUEST: u16 = 100;

impl Disconnect {
    /// Disconnects a client that has `count` open requests. Returns the connection if it stays open.
    fn apply(self, mut web: WebServer, count: u16) -> Option<WebServer> {
        match self {
            Disconnect::Fin => None,
            Disconnect::Reset => {
                let linger = Some(Duration::ZERO);
                rustix::net::sockopt::set_socket_linger(web.writer().unwrap(), linger).unwrap();
                None
            }
            Disconnect::Abort => {
                let aborts: Vec<u8> = (1..=count).flat_map(abort_record).collect();
                web.send(&aborts).unwrap();
                Some(web)
            }
            Disconnect::HalfClose => {
                web.writer().unwrap().shutdown(Shutdown::Write).unwrap();
                Some(web)
            }
        }
    }
}

/// Returns the id that a cache receives for the request with this number.
fn request_id(number: u16) -> String {
    format!("{:016x}", 0xabc_0000 + u64::from(number))
}

/// Serves a client until a connection to each cache is up, so that a further attempt need not wait for a connection.
fn warm_up<const N: usize>(caches: &mut [ScriptedCache; N], web: &mut WebServer) {
    let mut n = 1_000;
    while caches.iter().any(|cache| cache.connections.is_empty()) {
        web.send(&photo_request(REMAINING_CLIENT_REQUEST, &object_id(n), 0))
            .unwrap();
        let (at, connection, fetch) = next_command(caches);
        caches[at].connections[connection].respond(
            &fetch[1],
            "200",
            "how=local,made=1,etag=t1",
            "a copy",
        );
        assert_eq!(web.end().unwrap().1.unwrap().status, 200);
        n += 1;
    }
}

/// Waits until the daemon has processed all earlier input, by a health check on this connection.
fn await_processing(web: &mut WebServer) {
    web.send(&WebServer::request(9, "/_health", &[], b""))
        .unwrap();
    web.end().unwrap();
}

/// Serves two requests of the remaining client, so that the daemon has processed all earlier input. Returns the other
/// fetches that reached the caches meanwhile.
fn serve_remaining_client_twice<const N: usize>(
    caches: &mut [ScriptedCache; N],
    web: &mut WebServer,
) -> Vec<Fetch> {
    let mut other_fetches = Vec::new();
    for n in 1..=2 {
        web.send(&photo_request(
            REMAINING_CLIENT_REQUEST + n,
            &object_id(7_000 + u64::from(n)),
            0,
        ))
        .unwrap();
        let start = Instant::now();
        let mut served = false;
        while !served {
            for fetch in take_fetches(caches) {
                if fetch.2 == request_id(REMAINING_CLIENT_REQUEST + n) {
                    let connection = &mut caches[fetch.0].connections[fetch.1];
                    connection.respond(&fetch.2, "200", "how=local,made=1,etag=t1", "a copy");
                    served = true;
                } else {
                    other_fetches.push(fetch);
                }
            }
            assert!(
                start.elapsed() < Duration::from_secs(10),
                "the remaining client's fetch does not arrive"
            );
            std::thread::yield_now();
        }
        assert_eq!(web.end().unwrap().1.unwrap().status, 200);
    }
    other_fetches
}

/// Starts a daemon with two caches, and with parents if the answer reports a failed fill.
fn start_site(status: &str, fields: &str) -> (TestProxy, [ScriptedCache; 2]) {
    let needs_parents = status == "404" || fields == "how=cut_off";
    start_with_scripted_caches::<2>(|config| {
        if needs_parents {
            add_parents(config);
        }
    })
}

/// Asserts that this answer of a cache causes a retry while the client stays connected.
fn assert_connected_client_is_retried(status: &str, fields: &str) {
    let (proxy, mut caches) = start_site(status, fields);
    let mut remaining = proxy.web();
    warm_up(&mut caches, &mut remaining);
    let mut web = proxy.web();
    web.send(&photo_request(1, &object_id(1), 0)).unwrap();
    let (at, connection, fetch) = next_command(&mut caches);
    caches[at].connections[connection].respond(&fetch[1], status, fields, "");
    let (_, _, retry) = next_command(&mut caches);
    assert_eq!(retry[..2], fetch[..2], "{status} {fields}");
    drop((remaining, web));
    proxy.stop();
}

/// Disconnects a client with open attempts, then answers each attempt in a way that would otherwise cause a retry, and
/// asserts that none starts.
fn disconnect_before_answer(status: &str, fields: &str, same_object: bool) {
    assert_connected_client_is_retried(status, fields);
    for disconnect in DISCONNECTS {
        for count in REQUEST_COUNTS {
            let case = format!("{disconnect:?} with {count}, {status} {fields}");
            let (proxy, mut caches) = start_site(status, fields);
            let mut remaining = proxy.web();
            warm_up(&mut caches, &mut remaining);
            let mut web = proxy.web();
            for id in 1..=count {
                let n = if same_object { 1 } else { u64::from(id) };
                web.send(&photo_request(id, &object_id(n), 0)).unwrap();
            }
            let mut fetches_sent = Vec::new();
            let start = Instant::now();
            while fetches_sent.len() < usize::from(count) {
                fetches_sent.extend(take_fetches(&mut caches));
                assert!(start.elapsed() < Duration::from_secs(10), "{case}");
            }
            let kept_open = disconnect.apply(web, count);
            await_processing(&mut remaining);
            for (at, connection, id, _) in fetches_sent {
                caches[at].connections[connection].respond(&id, status, fields, "");
            }
            let retries = serve_remaining_client_twice(&mut caches, &mut remaining);
            assert!(retries.is_empty(), "{case}: {retries:?}");
            drop((kept_open, remaining));
            proxy.stop();
        }
    }
}

#[test]
fn rejection_after_client_disconnect_starts_no_retry() {
    disconnect_before_answer("503", "-", false);
}

#[test]
fn failed_fill_after_client_disconnect_starts_no_other_fill() {
    disconnect_before_answer("503", "how=cut_off", false);
    disconnect_before_answer("404", "-", false);
}

/// All requests are for the same object. All except the first wait for the fill that the first request has caused.
#[test]
fn failed_shared_fill_after_client_disconnect_starts_no_retry() {
    disconnect_before_answer("503", "how=rode", true);
}

/// The requests are queued for a connection that comes up only after the client has disconnected.
#[test]
fn requests_of_a_disconnected_client_are_not_sent_on_a_late_connection() {
    std::thread::scope(|scope| {
        for disconnect in DISCONNECTS {
            for count in REQUEST_COUNTS {
                scope.spawn(move || disconnect_before_connection_is_up(disconnect, count));
            }
        }
    });
}

fn disconnect_before_connection_is_up(disconnect: Disconnect, count: u16) {
    let (proxy, mut caches) = start_with_scripted_caches::<1>(|config| {
        config["settings"]["limits"]["connect-timeout-us"] = json!(8_000_000);
    });
    let blocker = fill_accept_queue(&caches[0]);
    let (mut web, mut remaining) = (proxy.web(), proxy.web());
    for id in 1..=count {
        web.send(&photo_request(id, &object_id(u64::from(id)), 0))
            .unwrap();
    }
    await_processing(&mut remaining);
    let kept_open = disconnect.apply(web, count);
    await_processing(&mut remaining);
    remaining
        .send(&photo_request(REMAINING_CLIENT_REQUEST, &object_id(99), 0))
        .unwrap();
    let (_, connection, fetch) = next_command(&mut caches);
    assert!(
        fetch[2].contains(&object_id(99)),
        "{disconnect:?} with {count}: {fetch:?}"
    );
    caches[0].connections[connection].respond(
        &fetch[1],
        "200",
        "how=local,made=1,etag=t1",
        "a copy",
    );
    assert_eq!(remaining.end().unwrap().1.unwrap().status, 200);
    assert!(
        take_fetches(&mut caches).is_empty(),
        "{disconnect:?} with {count}"
    );
    drop((blocker, kept_open, remaining));
    proxy.stop();
}

/// Returns one object that is routed to cache `s-0a` first, and one that is routed to `s-0b` first.
fn objects_by_cache() -> [String; 2] {
    let proxy = TestProxy::with(&["s-0a", "s-0b"], |_| {});
    let mut web = proxy.web();
    let mut n = 500;
    while proxy.caches.iter().any(|cache| cache.arrivals().is_empty()) {
        assert_eq!(
            send_and_receive(&mut web, "photo", &object_id(n)).status,
            200
        );
        n += 1;
    }
    let first = |n: usize| {
        proxy.caches[n].arrivals()[0]
            .field("key")
            .unwrap()
            .to_owned()
    };
    let objects = [first(0), first(1)];
    drop(web);
    proxy.stop();
    objects
}

/// The event loop is blocked past the connect timeout. It must process the disconnect before the expired timer.
#[test]
fn connect_timeout_in_a_blocked_loop_starts_no_retry_for_a_disconnected_client() {
    let objects = objects_by_cache();
    let timeout = Duration::from_secs(1);
    for disconnect in [None, Some(Disconnect::Fin), Some(Disconnect::Abort)] {
        let (mut proxy, mut caches) = start_with_scripted_caches::<2>(|config| {
            config["settings"]["limits"]["connect-timeout-us"] = json!(1_000_000);
        });
        let mut remaining = proxy.web();
        remaining
            .send(&photo_request(REMAINING_CLIENT_REQUEST, &objects[1], 0))
            .unwrap();
        let (at, connection, fetch) = next_command(&mut caches);
        assert_eq!(at, 1);
        caches[1].connections[connection].respond(
            &fetch[1],
            "200",
            "how=local,made=1,etag=t1",
            "a copy",
        );
        assert_eq!(remaining.end().unwrap().1.unwrap().status, 200);
        let blocker = fill_accept_queue(&caches[0]);
        let mut web = proxy.web();
        await_processing(&mut web);
        web.send(&photo_request(1, &objects[0], 0)).unwrap();
        await_processing(&mut remaining);
        let loop_guard = proxy.hold();
        assert_eq!(
            caches[1].take_commands(),
            [],
            "the attempt waits for its connection"
        );
        let kept_open = match disconnect {
            Some(disconnect) => disconnect.apply(web, 1),
            None => Some(web),
        };
        busy_wait(timeout + Duration::from_millis(200));
        drop(loop_guard);
        let retries = serve_remaining_client_twice(&mut caches, &mut remaining);
        let retries: Vec<&str> = retries.iter().map(|fetch| fetch.2.as_str()).collect();
        match disconnect {
            None => assert_eq!(
                retries,
                [request_id(1)],
                "a client that stays connected gets its retry"
            ),
            Some(disconnect) => assert_eq!(retries, [""; 0], "{disconnect:?}"),
        }
        drop((blocker, kept_open, remaining));
        proxy.stop();
    }
}
