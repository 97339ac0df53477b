//! A request that must not run twice does not run again when its id comes to the other process of an upgrade.

mod upgrade_site;

use linnetknot_harness::clients::WebServer;
use linnetknot_harness::fakes::cache::{Behaviour, FakeCache};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::process::Child;
use std::time::{Duration, Instant};
use upgrade_site::{send_sigterm, Site};

/// The time after which each process knows the requests that have arrived at the other one.
const SHARING_TIME: Duration = Duration::from_millis(100);
/// The class of requests that must not run twice.
const CLASS: &str = "activate";
/// The time budget of a request.
const BUDGET_MS: &str = "1000";
/// A time budget that leaves no time for any attempt.
const NO_BUDGET_MS: &str = "1";
/// Statuses that tell a client that a retry is harmless.
const REFUSALS: [u16; 2] = [429, 503];

fn site(name: &str) -> Site {
    let site = Site::with(name, &Value::Null, |config| {
        let classes = config["settings"]["categories"].as_array_mut().unwrap();
        classes.push(
            json!({"name": CLASS, "aim-us": 800_000, "deadline-us": 3_000_000, "worth": 3.0,
            "repeat": "side_effect"}),
        );
    });
    let silent = Behaviour {
        silent: true,
        ..Behaviour::default()
    };
    site.caches.iter().for_each(|c| c.set_behaviour(silent));
    site
}

/// Sends a request under an id on a new connection.
fn send(site: &Site, id: &str, budget_ms: &str) -> WebServer {
    let fields = [
        ("HTTP_REQUEST_ID", id),
        ("HTTP_RESOURCE_KEY", "00000000000000a1"),
        ("HTTP_BUDGET_MS", budget_ms),
    ];
    let mut web = WebServer::connect(site.client_address).unwrap();
    let path = format!("/invoke/{CLASS}");
    web.send(&WebServer::request(1, &path, &fields, b""))
        .unwrap();
    web
}

/// Returns how many times a request has come to a cache.
fn runs(site: &Site, id: &str) -> usize {
    let arrivals = site.caches.iter().flat_map(FakeCache::arrivals);
    arrivals
        .filter(|arrival| arrival.command == "fetch" && arrival.id == id)
        .count()
}

/// Sends a request whose client leaves once it has come to a cache.
fn run_and_leave(site: &Site, id: &str) {
    let web = send(site, id, BUDGET_MS);
    let start = Instant::now();
    while runs(site, id) == 0 {
        assert!(start.elapsed() < Duration::from_secs(5), "no fetch of {id}");
        std::thread::yield_now();
    }
    drop(web);
}

fn assert_fails_without_second_run(site: &Site, id: &str) {
    let status = send(site, id, BUDGET_MS).end().unwrap().1.unwrap().status;
    assert_eq!(runs(site, id), 1, "{id} answered with {status}");
    assert!(status >= 500 && !REFUSALS.contains(&status), "{status}");
}

fn signal(process: &Child, signal: Signal) {
    kill_process(Pid::from_child(process), signal).unwrap();
}

fn wait_for_sharing() {
    let start = Instant::now();
    while start.elapsed() < SHARING_TIME {
        std::thread::yield_now();
    }
}

fn end(mut process: Child) {
    send_sigterm(&process);
    assert!(process.wait().unwrap().success());
}

/// Guards against a new process that runs a request again, as it does not know what the old one has run.
#[test]
fn a_request_that_ran_before_an_upgrade_does_not_run_again_after_it() {
    let site = site("ids-before-upgrade");
    let (old, _) = site.start();
    run_and_leave(&site, "9b1f03aa5c7e2d41");
    let (new, _) = site.start();
    end(old);
    assert_fails_without_second_run(&site, "9b1f03aa5c7e2d41");
    end(new);
}

/// Guards against a request that runs once in each of two processes that serve at the same time, in either order.
#[test]
fn a_request_that_ran_in_one_process_does_not_run_again_in_the_other_one() {
    let site = site("ids-in-upgrade");
    let (old, _) = site.start();
    let (new, _) = site.start();
    for (first, second, id) in [
        (&old, &new, "00000000000000c1"),
        (&new, &old, "00000000000000c2"),
    ] {
        // Only the process that is not stopped accepts connections.
        signal(second, Signal::STOP);
        run_and_leave(&site, id);
        signal(second, Signal::CONT);
        wait_for_sharing();
        signal(first, Signal::STOP);
        assert_fails_without_second_run(&site, id);
        signal(first, Signal::CONT);
    }
    end(old);
    end(new);
}

/// Guards against an id that is taken for that of a request that ran, although no process has run it.
#[test]
fn a_request_that_was_refused_in_one_process_is_sent_in_the_other_one() {
    let site = site("ids-refused");
    let (old, _) = site.start();
    let id = "00000000000000c3";
    send(&site, id, NO_BUDGET_MS).end().unwrap();
    assert_eq!(runs(&site, id), 0);
    let (new, _) = site.start();
    end(old);
    run_and_leave(&site, id);
    end(new);
}
