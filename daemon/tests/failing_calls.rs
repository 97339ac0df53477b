//! A daemon whose system calls fail: what becomes of its clients' requests, and of its caches.

mod fault_injection;

use fault_injection::{ask, Armed, Ports};
use linnetknot_harness::clients::WebServer;
use linnetknot_harness::fakes::cache::Behaviour;
use serde_json::{json, Value};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Clients that ask on new connections, one after the other: each is to be answered.
fn serves_new_clients(armed: &Armed, clients: u64) {
    for number in 0..clients {
        let answer = ask(&mut armed.web(), number);
        assert_eq!(answer.map(|a| a.status), Some(200), "client {number}");
    }
}

#[test]
fn a_client_that_cannot_be_watched_at_once_is_answered() {
    serves_new_clients(
        &Armed::start("sys-epoll-ctl=errno(ENOMEM|ENOSPC):every(2)"),
        40,
    );
}

#[test]
fn clients_are_served_while_no_connection_can_be_watched_at_all() {
    let armed = Armed::start("sys-epoll-ctl=errno(ENOSPC|ENOMEM):after(40)");
    serves_new_clients(&armed, 40);
    // One that has gone is noticed too, and what it asked is not answered by an attempt that begins later.
    let mut web = armed.web();
    assert_eq!(ask(&mut web, 1).map(|a| a.status), Some(200));
    assert_eq!(ask(&mut web, 2).map(|a| a.status), Some(200));
}

/// Clients that rest, and one that comes while `accept` fails.
fn resting_clients_stay(errnos: &str) {
    let points = format!("sys-accept=errno({errnos}):after(40):every(2):times(12)");
    let armed = Armed::start(&points);
    let mut resting: Vec<WebServer> = (0..4).map(|_| armed.web()).collect();
    for (number, web) in (0..).zip(&mut resting) {
        assert_eq!(ask(web, number).map(|a| a.status), Some(200));
    }
    // Those that came a moment ago are let be in any case.
    sleep(Duration::from_millis(400));
    serves_new_clients(&armed, 40);
    for (number, web) in (0..).zip(&mut resting) {
        let answer = ask(web, number);
        assert_eq!(
            answer.map(|a| a.status),
            Some(200),
            "{errnos}: client {number} was closed"
        );
    }
}

#[test]
fn no_resting_client_is_closed_for_errors_of_connections_to_come() {
    resting_clients_stay("EPROTO|ENETDOWN|EHOSTUNREACH|ENETUNREACH|EOPNOTSUPP|ETIMEDOUT|EPERM");
}

#[test]
fn no_resting_client_is_closed_for_memory() {
    resting_clients_stay("ENOBUFS|ENOMEM");
}

/// A cache to which no connection can be begun for a while, by a fault of this machine, is tried again in time.
fn waits_for_this_machine(points: &str) {
    let armed = Armed::start(points);
    let begun = Instant::now();
    let mut web = armed.web();
    let answer = ask(&mut web, 1);
    assert_eq!(answer.map(|a| a.status), Some(200), "{points}");
    assert!(
        begun.elapsed() >= Duration::from_millis(100),
        "{points}: nothing failed"
    );
    let fetched = armed.cache.arrivals();
    assert_eq!(
        fetched.len(),
        1,
        "{points}: the cache itself, and once: {fetched:?}"
    );
}

#[test]
fn a_failure_of_this_machine_to_connect_spends_no_attempt_and_ejects_no_cache() {
    // The first connection is the bus's.
    for points in [
        "sys-connect=errno(EADDRNOTAVAIL|ENETUNREACH|ENOBUFS|ENETDOWN|EAGAIN|EPERM):after(1):times(12)",
        "sys-socket=errno(ENFILE|EMFILE|ENOBUFS|ENOMEM):after(1):times(12)",
        "sys-connect-result=errno(ENETUNREACH|EADDRNOTAVAIL|ENOBUFS):after(1):times(12)",
    ] {
        waits_for_this_machine(points);
    }
}

#[test]
fn transfers_that_fail_for_a_moment_lose_no_answer() {
    let points = "sys-read=errno(ENOMEM|ENOBUFS|EINTR|EAGAIN):every(3);\
                  sys-write=errno(ENOBUFS|ENOMEM|EINTR|EAGAIN):every(3);\
                  sys-setsockopt=errno(ENOBUFS|ENOMEM|ENOPROTOOPT):every(2)";
    let armed = Armed::start(points);
    serves_new_clients(&armed, 30);
    let mut web = armed.web();
    for number in 0..30 {
        assert_eq!(ask(&mut web, number).map(|a| a.status), Some(200));
    }
}

/// A third class, whose requests must not run twice.
fn with_votes(config: &mut Value) {
    let categories = config["settings"]["categories"].as_array_mut().unwrap();
    let mut votes = categories[0].clone();
    (votes["name"], votes["repeat"]) = ("vote".into(), "never".into());
    categories.push(votes);
    for (name, value) in [
        ("in-pieces", json!(false)),
        ("never-kept", json!(false)),
        ("good-for-us", json!(8_000_000)),
    ] {
        let values = &mut config["settings"]["family-info"][name];
        values.as_array_mut().unwrap().push(value);
    }
}

#[test]
fn what_a_cache_was_sent_before_its_connection_timed_out_may_have_run() {
    for name in ["ETIMEDOUT", "EHOSTUNREACH"] {
        // No other cache is there for a photo: it is refused, which only what is safe to repeat may be.
        for (class, status) in [("vote", 502), ("photo", 503)] {
            let points =
                |ports: Ports| format!("sys-read=errno({name}):port({}):times(1)", ports.cache);
            let armed = Armed::placed(points, |config, _| with_votes(config));
            let mut web = armed.web();
            web.ask(1, class, "00000000000000a1", 2500).unwrap();
            let answer = web.end().unwrap().1.expect("an answer");
            let fetches = armed
                .cache
                .arrivals()
                .iter()
                .filter(|a| a.command == "fetch")
                .count();
            assert_eq!((answer.status, fetches), (status, 1), "{name}: {class}");
        }
    }
}

#[test]
fn a_client_whose_connection_timed_out_has_gone() {
    for name in ["ETIMEDOUT", "EHOSTUNREACH", "EPIPE"] {
        let armed = Armed::placed(
            |ports| format!("sys-write=errno({name}):port({}):times(1)", ports.front),
            |_, _| {},
        );
        armed.cache.set_behaviour(Behaviour {
            silent: true,
            ..Behaviour::default()
        });
        let mut web = armed.web();
        web.ask(1, "photo", "00000000000000a1", 20_000).unwrap();
        let sent = armed.cache.wait_for(|a| a.command == "fetch").unwrap();
        // The answer to another request can't be written: its connection, and who waits on it, has gone.
        web.ask(2, "post", "00000000000000a2", 20_000).unwrap();
        let aborted = armed
            .cache
            .wait_for(|a| a.command == "abort" && a.id == sent.id);
        assert!(aborted.is_some(), "{name}");
        assert!(web.end().is_err(), "{name}: nothing is written any more");
    }
}
