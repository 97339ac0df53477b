//! Tests of a daemon whose system calls fail: clients must be served and healthy caches kept.

mod fault_injection;

use fault_injection::{ask, Armed, Ports};
use linnetknot_harness::clients::WebServer;
use linnetknot_harness::fakes::cache::Behaviour;
use serde_json::{json, Value};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Sends a request on each of `count` new connections, one after another, and checks that each is answered.
fn check_new_clients(daemon: &Armed, count: u64) {
    for number in 0..count {
        let answer = ask(&mut daemon.web(), number);
        assert_eq!(answer.map(|a| a.status), Some(200), "client {number}");
    }
}

#[test]
fn a_client_is_served_although_its_epoll_registration_fails_at_first() {
    check_new_clients(
        &Armed::start("sys-epoll-ctl=errno(ENOMEM|ENOSPC):every(2)"),
        40,
    );
}

#[test]
fn clients_are_served_while_every_epoll_registration_fails() {
    let daemon = Armed::start("sys-epoll-ctl=errno(ENOSPC|ENOMEM):after(40)");
    check_new_clients(&daemon, 40);
    // Several requests on the same connection are served as well.
    let mut web = daemon.web();
    assert_eq!(ask(&mut web, 1).map(|a| a.status), Some(200));
    assert_eq!(ask(&mut web, 2).map(|a| a.status), Some(200));
}

/// Checks that idle clients stay connected, and new ones are served, while `accept` fails with these errors.
fn check_idle_clients_stay(errnos: &str) {
    let points = format!("sys-accept=errno({errnos}):after(40):every(2):times(12)");
    let daemon = Armed::start(&points);
    let mut idle_clients: Vec<WebServer> = (0..4).map(|_| daemon.web()).collect();
    for (number, web) in (0..).zip(&mut idle_clients) {
        assert_eq!(ask(web, number).map(|a| a.status), Some(200));
    }
    // Clients that have just connected are never closed.
    sleep(Duration::from_millis(400));
    check_new_clients(&daemon, 40);
    for (number, web) in (0..).zip(&mut idle_clients) {
        let answer = ask(web, number);
        assert_eq!(
            answer.map(|a| a.status),
            Some(200),
            "{errnos}: client {number} was closed"
        );
    }
}

#[test]
fn no_idle_client_is_closed_for_accept_errors_of_new_connections() {
    check_idle_clients_stay("EPROTO|ENETDOWN|EHOSTUNREACH|ENETUNREACH|EOPNOTSUPP|ETIMEDOUT|EPERM");
}

#[test]
fn no_idle_client_is_closed_when_accept_lacks_memory() {
    check_idle_clients_stay("ENOBUFS|ENOMEM");
}

/// Checks that a connect that fails for a local reason is retried until it succeeds.
fn check_connect_is_retried(points: &str) {
    let daemon = Armed::start(points);
    let started_at = Instant::now();
    let mut web = daemon.web();
    let answer = ask(&mut web, 1);
    assert_eq!(answer.map(|a| a.status), Some(200), "{points}");
    assert!(
        started_at.elapsed() >= Duration::from_millis(100),
        "{points}: no call failed"
    );
    let arrivals = daemon.cache.arrivals();
    assert_eq!(
        arrivals.len(),
        1,
        "{points}: the cache gets the request exactly once: {arrivals:?}"
    );
}

#[test]
fn a_local_connect_failure_uses_up_no_attempt_and_ejects_no_cache() {
    // The first connection is the one to the event bus.
    for points in [
        "sys-connect=errno(EADDRNOTAVAIL|ENETUNREACH|ENOBUFS|ENETDOWN|EAGAIN|EPERM):after(1):times(12)",
        "sys-socket=errno(ENFILE|EMFILE|ENOBUFS|ENOMEM):after(1):times(12)",
        "sys-connect-result=errno(ENETUNREACH|EADDRNOTAVAIL|ENOBUFS):after(1):times(12)",
    ] {
        check_connect_is_retried(points);
    }
}

#[test]
fn transient_read_and_write_errors_lose_no_response() {
    let points = "sys-read=errno(ENOMEM|ENOBUFS|EINTR|EAGAIN):every(3);\
                  sys-write=errno(ENOBUFS|ENOMEM|EINTR|EAGAIN):every(3);\
                  sys-setsockopt=errno(ENOBUFS|ENOMEM|ENOPROTOOPT):every(2)";
    let daemon = Armed::start(points);
    check_new_clients(&daemon, 30);
    let mut web = daemon.web();
    for number in 0..30 {
        assert_eq!(ask(&mut web, number).map(|a| a.status), Some(200));
    }
}

/// Adds the request class `vote`, whose requests must not be executed twice.
fn add_vote_class(config: &mut Value) {
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
fn a_request_written_before_its_connection_timed_out_may_have_run() {
    for name in ["ETIMEDOUT", "EHOSTUNREACH"] {
        // With no other cache, a repeatable photo request gets 503. A vote, which may have run, gets 502.
        for (class, status) in [("vote", 502), ("photo", 503)] {
            let points =
                |ports: Ports| format!("sys-read=errno({name}):port({}):times(1)", ports.cache);
            let daemon = Armed::placed(points, |config, _| add_vote_class(config));
            let mut web = daemon.web();
            web.ask(1, class, "00000000000000a1", 2500).unwrap();
            let answer = web.end().unwrap().1.expect("an answer");
            let fetches = daemon
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
fn a_client_whose_connection_failed_counts_as_disconnected() {
    for name in ["ETIMEDOUT", "EHOSTUNREACH", "EPIPE"] {
        let daemon = Armed::placed(
            |ports| format!("sys-write=errno({name}):port({}):times(1)", ports.front),
            |_, _| {},
        );
        daemon.cache.set_behaviour(Behaviour {
            silent: true,
            ..Behaviour::default()
        });
        let mut web = daemon.web();
        web.ask(1, "photo", "00000000000000a1", 20_000).unwrap();
        let sent = daemon.cache.wait_for(|a| a.command == "fetch").unwrap();
        // Writing the response to another request fails, so the connection and its pending requests are lost.
        web.ask(2, "post", "00000000000000a2", 20_000).unwrap();
        let aborted = daemon
            .cache
            .wait_for(|a| a.command == "abort" && a.id == sent.id);
        assert!(aborted.is_some(), "{name}");
        assert!(web.end().is_err(), "{name}: the connection is closed");
    }
}
