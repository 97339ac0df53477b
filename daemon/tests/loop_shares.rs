//! Input that a turn of the event loop read but did not process, or did not read completely, is processed later and
//! charged with the time that it waited, no more and no less.
//!
//! The event loop is blocked with reloads, so the order of the events is the same in every run.

mod scripted_caches;
mod test_proxy;

use linnetknot_harness::clients::WebServer;
use scripted_caches::{
    busy_wait, fill_accept_queue, next_command, photo_request, start_with_scripted_caches,
    take_fetches,
};
use serde_json::json;
use std::collections::HashSet;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use test_proxy::object_id;

/// Budget of the requests that `scripted_caches::photo_request` builds.
const BUDGET: Duration = Duration::from_millis(2_000);
/// The difference that is allowed between the deadline passed on and the client's remaining time.
const SLACK: Duration = Duration::from_millis(150);
/// Longer than the step after which the rest of a turn of the event loop is stale.
const STALL: Duration = Duration::from_millis(100);

fn health_check(id: u16) -> Vec<u8> {
    WebServer::request(id, "/_health", &[], b"")
}

fn await_processing(web: &mut WebServer) {
    web.send(&health_check(9)).unwrap();
    assert_eq!(web.end().unwrap().0, 9);
}

fn forwarded_deadline(fields: &str) -> Duration {
    let wait = fields
        .split(',')
        .find_map(|field| field.strip_prefix("wait="));
    Duration::from_millis(wait.expect("a deadline").parse().unwrap())
}

/// Guards against requests that stay queued in their session for ever. An interrupted turn leaves the input of a client
/// unread; an overdue request of another client then flushes the connection that an attempt of the first client waits
/// on, so its socket is read in search of aborts. epoll does not report that socket again.
#[test]
fn a_request_that_was_read_in_search_of_aborts_is_answered() {
    let (mut proxy, caches) = start_with_scripted_caches::<1>(|config| {
        config["settings"]["limits"]["connect-timeout-us"] = json!(8_000_000);
    });
    let blocker = fill_accept_queue(&caches[0]);
    let (mut overdue, mut web) = (proxy.web(), proxy.web());
    let sent_at = Instant::now();
    let overdue_budget = Duration::from_millis(700);
    overdue
        .ask(1, "photo", &object_id(1), overdue_budget.as_millis() as u64)
        .unwrap();
    await_processing(&mut overdue);
    web.send(&photo_request(1, &object_id(2), 0)).unwrap();
    await_processing(&mut web);
    let held = proxy.hold();
    // A second request arrives on the connection whose first request waits for the cache server.
    web.send(&health_check(2)).unwrap();
    proxy.hold_in_next_turn(&held);
    assert!(
        sent_at.elapsed() < overdue_budget,
        "the machine is too slow"
    );
    busy_wait(overdue_budget.saturating_sub(sent_at.elapsed()) + STALL);
    drop(held);
    let socket = web.writer().unwrap();
    socket.set_read_timeout(Some(BUDGET * 2)).unwrap();
    let released_at = Instant::now();
    let mut answered = HashSet::new();
    while answered.len() < 2 {
        match web.end() {
            Ok((id, _)) => {
                println!("request {id} answered after {:?}", released_at.elapsed());
                answered.insert(id);
            }
            Err(e) => panic!("only {answered:?} of the requests 1 and 2 are answered: {e}"),
        }
    }
    drop((blocker, overdue, web));
    proxy.stop();
}

/// Guards against a waiting time that grows for as long as a client keeps more requests open than one step processes,
/// although each of them waits for two turns only: such a client's requests are then rejected as too late for ever.
#[test]
fn a_client_with_more_requests_than_a_step_takes_is_charged_only_for_the_time_they_waited() {
    const OPEN: u16 = 30;
    const PER_TURN: Duration = Duration::from_millis(30);
    let (mut proxy, mut caches) = start_with_scripted_caches::<1>(|_| {});
    let mut web = proxy.web();
    await_processing(&mut web);
    let socket = web.writer().unwrap();
    socket.set_nodelay(true).unwrap();
    let held = proxy.hold();
    let all: Vec<u8> = (100..100 + OPEN).flat_map(health_check).collect();
    web.send(&all).unwrap();
    socket
        .set_read_timeout(Some(Duration::from_millis(5)))
        .unwrap();
    let started_at = Instant::now();
    while started_at.elapsed() < BUDGET + Duration::from_millis(500) {
        proxy.hold_in_next_turn(&held);
        let turn_at = Instant::now();
        // Each answered request is replaced by another, which the daemon reads in this turn.
        let mut further = Vec::new();
        while let Ok((id, _)) = web.end() {
            further.extend(health_check(id));
        }
        web.send(&further).unwrap();
        busy_wait(PER_TURN.saturating_sub(turn_at.elapsed()));
    }
    web.send(&photo_request(1, &object_id(1), 0)).unwrap();
    let sent_at = Instant::now();
    drop(held);
    let mut fetched = None;
    while fetched.is_none() && sent_at.elapsed() < BUDGET {
        fetched = take_fetches(&mut caches).into_iter().next();
        std::thread::yield_now();
    }
    let waited = sent_at.elapsed();
    let (_, _, _, fields) = fetched.expect("the request is rejected and reaches no cache server");
    let forwarded = forwarded_deadline(&fields);
    println!("{forwarded:?} forwarded after {waited:?}");
    assert!(
        forwarded + waited + SLACK >= BUDGET,
        "{forwarded:?} forwarded after {waited:?}"
    );
    drop(web);
    proxy.stop();
}

/// Guards against a deadline that a cache is given beyond the client's: a turn reads a bounded number of bytes of a
/// connection, and the rest waits for several turns.
#[test]
fn input_that_several_turns_leave_in_the_socket_buffer_is_charged_for_its_wait() {
    const BODIES: u16 = 30;
    const PER_TURN: Duration = Duration::from_millis(45);
    let (mut proxy, mut caches) = start_with_scripted_caches::<1>(|_| {});
    let mut web = proxy.web();
    await_processing(&mut web);
    let held = proxy.hold();
    let body = vec![b'x'; 47_000];
    for id in 100..100 + BODIES {
        // The body of a health check is read and ignored.
        web.send(&WebServer::request(id, "/_health", &[], &body))
            .unwrap();
    }
    web.send(&photo_request(1, &object_id(1), 0)).unwrap();
    let sent_at = Instant::now();
    let mut fetched = None;
    while fetched.is_none() && sent_at.elapsed() < BUDGET {
        proxy.hold_in_next_turn(&held);
        busy_wait(PER_TURN);
        fetched = take_fetches(&mut caches).into_iter().next();
    }
    let waited = sent_at.elapsed();
    drop(held);
    let (_, _, _, fields) = fetched.expect("no fetch");
    let forwarded = forwarded_deadline(&fields);
    println!("{forwarded:?} forwarded after {waited:?}");
    // The fetch was noticed up to a turn after it was sent.
    assert!(
        forwarded <= BUDGET.saturating_sub(waited.saturating_sub(PER_TURN)) + SLACK,
        "{forwarded:?} forwarded after {waited:?}"
    );
    drop(web);
    proxy.stop();
}

/// Guards against a deadline that a cache is given beyond the client's: while the connection table is full of busy
/// clients, a connection and its request wait in the accept queue of a listener that is paused.
#[test]
fn a_request_that_waits_for_a_slot_of_the_connection_table_is_charged_for_its_wait() {
    let (proxy, mut caches) = start_with_scripted_caches::<1>(|config| {
        config["limits"]["sockets"] = json!(64);
    });
    let mut busy = Vec::new();
    for n in 1..=24 {
        let mut web = proxy.web();
        web.ask(1, "photo", &object_id(n), 60_000).unwrap();
        await_processing(&mut web);
        busy.push(web);
    }
    let mut web = proxy.web();
    let object = object_id(99);
    web.send(&photo_request(1, &object, 0)).unwrap();
    let sent_at = Instant::now();
    let fetches_of = |caches: &mut [_; 1]| {
        let fetches = take_fetches(caches).into_iter();
        fetches
            .filter(|fetch| fetch.3.contains(&object))
            .collect::<Vec<_>>()
    };
    while sent_at.elapsed() < Duration::from_millis(350) {
        let is_served = !fetches_of(&mut caches).is_empty();
        assert!(
            !is_served,
            "the table is not full after {:?}",
            sent_at.elapsed()
        );
        std::thread::yield_now();
    }
    drop(busy.pop());
    let mut fetches = Vec::new();
    while fetches.is_empty() && sent_at.elapsed() < BUDGET {
        fetches = fetches_of(&mut caches);
        std::thread::yield_now();
    }
    let waited = sent_at.elapsed();
    let forwarded = forwarded_deadline(&fetches.first().expect("no fetch").3);
    println!("{forwarded:?} forwarded after {waited:?}");
    assert!(
        forwarded <= BUDGET.saturating_sub(waited) + SLACK,
        "{forwarded:?} forwarded after {waited:?}"
    );
    drop((busy, web));
    proxy.stop();
}

/// Returns the longest time that a health check takes while threads send datagrams to an address.
fn longest_health_check(web: &mut WebServer, to: SocketAddr) -> Duration {
    const SENDERS: usize = 4;
    let (stop, mut longest) = (AtomicBool::new(false), Duration::ZERO);
    std::thread::scope(|scope| {
        for _ in 0..SENDERS {
            scope.spawn(|| {
                let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
                while !stop.load(Ordering::Relaxed) {
                    let _ = socket.send_to(&[0; 64], to);
                }
            });
        }
        let started_at = Instant::now();
        while started_at.elapsed() < Duration::from_secs(2) {
            let sent_at = Instant::now();
            let is_answered = web.send(&health_check(9)).is_ok() && web.end().is_ok();
            longest = longest.max(sent_at.elapsed());
            if !is_answered {
                break;
            }
        }
        stop.store(true, Ordering::Relaxed);
    });
    longest
}

/// Guards against a loop that reads datagrams for as long as some arrive: timers, clients and caches then wait. The
/// sender is no peer, so its datagrams cost almost nothing each. The same load on another socket shows how fast the
/// machine is.
#[test]
fn a_client_is_answered_while_datagrams_arrive_faster_than_they_are_read() {
    const MAX_DELAY: Duration = Duration::from_millis(150);
    let reserved = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = reserved.local_addr().unwrap();
    drop(reserved);
    let proxy = test_proxy::TestProxy::with(&["s-0a"], |config| {
        config["peer_listen"] = address.to_string().into();
        config["peers"] = json!(["127.0.0.1:9"]);
    });
    let mut web = proxy.web();
    await_processing(&mut web);
    let other = UdpSocket::bind("127.0.0.1:0").unwrap();
    let control = longest_health_check(&mut web, other.local_addr().unwrap());
    let longest = longest_health_check(&mut web, address);
    println!("at most {longest:?}, and {control:?} while another socket gets the datagrams");
    assert!(longest < MAX_DELAY + 3 * control, "{longest:?}");
    drop(web);
    proxy.stop();
}

/// Guards against aborts that are dropped unprocessed when the end of the connection is read behind them: the core is
/// then not told, and makes further attempts for a client that is gone.
#[test]
fn an_abort_that_is_read_together_with_the_end_of_the_connection_starts_no_retry() {
    let (mut proxy, mut caches) = start_with_scripted_caches::<2>(|_| {});
    let mut other = proxy.web();
    let mut n = 1_000;
    // A retry needs a connection to each cache server.
    while caches.iter().any(|cache| cache.connections.is_empty()) {
        other.send(&photo_request(100, &object_id(n), 0)).unwrap();
        let (at, connection, fetch) = next_command(&mut caches);
        let fields = "how=local,made=1,etag=t1";
        caches[at].connections[connection].respond(&fetch[1], "200", fields, "a copy");
        assert_eq!(other.end().unwrap().1.unwrap().status, 200);
        n += 1;
    }
    let mut web = proxy.web();
    web.send(&photo_request(1, &object_id(1), 0)).unwrap();
    let (at, connection, fetch) = next_command(&mut caches);
    let held = proxy.hold();
    web.abort(1).unwrap();
    // The next turn has polled the abort, but not the end of the connection.
    proxy.hold_in_next_turn(&held);
    drop(web);
    drop(held);
    await_processing(&mut other);
    caches[at].connections[connection].respond(&fetch[1], "503", "-", "");
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(700) {
        let fetches = take_fetches(&mut caches);
        assert!(
            fetches.is_empty(),
            "a retry for a client that is gone: {fetches:?}"
        );
        std::thread::yield_now();
    }
    drop(other);
    proxy.stop();
}
