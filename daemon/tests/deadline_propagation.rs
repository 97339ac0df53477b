//! The deadline that is passed to a box is at most what the client has left, whatever kept the request on its way: a
//! connection that was late, an attempt before it, or a loop that stood still for a second.

mod rig;
mod scripted;

use linnetknot_harness::clients::WebServer;
use linnetknot_harness::fakes::cache::FakeCache;
use linnetknot_harness::fakes::event_bus::{entry, Bus};
use rig::object;
use rustix::process::{kill_process, Pid, Signal};
use scripted::{add_parents, fetches, full, next_of, pass, request, scripted};
use serde_json::json;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Budget of `scripted::request`.
const BUDGET: Duration = Duration::from_millis(2_000);
const SLACK: Duration = Duration::from_millis(150);
/// So long the loop, or the process, stands still.
const STALL: Duration = Duration::from_millis(1_000);

/// What an attempt passes on.
fn forwarded_deadline(fields: &str) -> Duration {
    let wait = fields
        .split(',')
        .find_map(|field| field.strip_prefix("wait="));
    Duration::from_millis(wait.expect("a deadline").parse().unwrap())
}

/// Checks a deadline that came to a box against a client that asked at a time.
fn assert_deadline_within_budget(case: &str, fields: &str, sent_at: Instant) {
    let remaining = BUDGET.saturating_sub(sent_at.elapsed());
    let forwarded_deadline = forwarded_deadline(fields);
    println!("{case}: {forwarded_deadline:?} passed on, {remaining:?} left");
    assert!(
        forwarded_deadline <= remaining + SLACK,
        "{case}: {forwarded_deadline:?} of {remaining:?}"
    );
}

#[test]
fn first_attempt_retry_and_fill_carry_the_remaining_deadline() {
    // At the other box, and at the same one with a fill.
    check_retry_deadline("503", "-");
    check_retry_deadline("404", "-");
    check_retry_deadline("503", "how=cut_off");
}

fn check_retry_deadline(status: &str, fields: &str) {
    let (rig, mut caches) = scripted::<2>(add_parents);
    let mut web = rig.web();
    let sent_at = Instant::now();
    web.send(&request(1, &object(1), 0)).unwrap();
    let (at, connection, fetch) = next_of(&mut caches);
    assert_deadline_within_budget("a first attempt", &fetch[2], sent_at);
    pass(Duration::from_millis(300));
    caches[at].wires[connection].answer(&fetch[1], status, fields, "");
    let (at, connection, fetch) = next_of(&mut caches);
    assert_deadline_within_budget("a further attempt", &fetch[2], sent_at);
    caches[at].wires[connection].answer(&fetch[1], "200", "how=local,made=1,etag=t1", "a copy");
    assert_eq!(web.end().unwrap().1.unwrap().status, 200);
    drop(web);
    rig.stop();
}

#[test]
fn attempt_delayed_by_its_connection_carries_the_remaining_deadline() {
    let (rig, mut caches) = scripted::<1>(|config| {
        config["settings"]["limits"]["connect-timeout-us"] = json!(8_000_000);
    });
    let blocker = full(&caches[0]);
    let mut web = rig.web();
    let sent_at = Instant::now();
    web.send(&request(1, &object(1), 0)).unwrap();
    // The system sends the first segment of a connection again after a second only.
    pass(Duration::from_millis(300));
    let (_, connection, fetch) = next_of(&mut caches);
    assert_deadline_within_budget("a late connection", &fetch[2], sent_at);
    caches[0].wires[connection].answer(&fetch[1], "200", "how=local,made=1,etag=t1", "a copy");
    assert_eq!(web.end().unwrap().1.unwrap().status, 200);
    drop((blocker, web));
    rig.stop();
}

/// A request's time runs from its last byte on, and not from when it is read.
#[test]
fn requests_read_by_a_blocked_loop_carry_the_remaining_deadline() {
    let (mut rig, mut caches) = scripted::<1>(|_| {});
    let mut existing_client = rig.web();
    existing_client.send(&request(1, &object(1), 0)).unwrap();
    let (_, connection, fetch) = next_of(&mut caches);
    caches[0].wires[connection].answer(&fetch[1], "200", "how=local,made=1,etag=t1", "a copy");
    assert_eq!(existing_client.end().unwrap().1.unwrap().status, 200);
    let loop_guard = rig.hold();
    let sent_at = Instant::now();
    existing_client.send(&request(2, &object(2), 0)).unwrap();
    let mut new_client = rig.web();
    new_client.send(&request(3, &object(3), 0)).unwrap();
    pass(STALL);
    drop(loop_guard);
    let mut received = 0;
    while received < 2 {
        for (_, connection, id, fields) in fetches(&mut caches) {
            assert_deadline_within_budget("a kept loop", &fields, sent_at);
            caches[0].wires[connection].answer(&id, "200", "how=local,made=1,etag=t1", "a copy");
            received += 1;
        }
        assert!(sent_at.elapsed() < Duration::from_secs(10), "nothing comes");
        std::thread::yield_now();
    }
    assert_eq!(existing_client.end().unwrap().1.unwrap().status, 200);
    assert_eq!(new_client.end().unwrap().1.unwrap().status, 200);
    // What comes when the loop goes on has all of its time.
    existing_client.send(&request(4, &object(4), 0)).unwrap();
    let (_, _, fetch) = next_of(&mut caches);
    assert!(forwarded_deadline(&fetch[2]) > BUDGET - SLACK, "{fetch:?}");
    drop((existing_client, new_client));
    rig.stop();
}

/// A daemon as a process, one box and the origin.
struct Site {
    folder: std::path::PathBuf,
    child: Child,
    front: SocketAddr,
    cache: FakeCache,
    _origin: FakeCache,
    _bus: Bus,
}

impl Site {
    fn start() -> Site {
        let folder = std::env::temp_dir().join(format!("linnetknot-stall-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let (bus, cache) = (Bus::start().unwrap(), FakeCache::start("s-0a").unwrap());
        let origin = FakeCache::start("s-0f").unwrap();
        let list = [
            entry(&cache, "here", "box", "ready"),
            entry(&origin, "hub", "origin", "ready"),
        ];
        let known = json!({"offset": 0, "batch": [{"offset": 0, "topology": {"rev": 1, "all": true, "targets": list}}]});
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let front = listener.local_addr().unwrap();
        let config = json!({"listen": front.to_string(), "bus": bus.address.to_string(), "known": known,
            "settings": linnetknot_harness::settings(), "limits": {"memory_mb": 192, "sockets": 256}});
        let path = folder.join("config.json");
        std::fs::write(&path, config.to_string()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_linnetknot"))
            .env("ROUTER_CONFIG", &path)
            .env("ROUTER_SOCKET_FD", "0")
            .env("TMPDIR", &folder)
            .env_remove("LINNETKNOT_INTERCONNECT")
            .stdin(Stdio::from(std::os::fd::OwnedFd::from(listener)))
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Site {
            folder,
            child,
            front,
            cache,
            _origin: origin,
            _bus: bus,
        }
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Stops the process, and waits until it stands still.
    fn freeze(&self) {
        self.signal(Signal::STOP);
        let path = format!("/proc/{}/stat", self.child.id());
        while !std::fs::read_to_string(&path).unwrap().contains(") T ") {
            std::thread::yield_now();
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A request of the process, and when it was asked.
fn send_request(web: &mut WebServer, n: u64) -> Instant {
    let sent_at = Instant::now();
    web.ask(1, "photo", &object(n), BUDGET.as_millis() as u64)
        .unwrap();
    sent_at
}

#[test]
fn requests_received_by_a_stopped_process_carry_the_remaining_deadline() {
    let site = Site::start();
    let mut existing_client = WebServer::connect(site.front).unwrap();
    send_request(&mut existing_client, 1);
    assert_eq!(existing_client.end().unwrap().1.unwrap().status, 200);
    for round in 1..=3 {
        site.freeze();
        let sent_at = send_request(&mut existing_client, 10 * round + 2);
        let mut new_client = WebServer::connect(site.front).unwrap();
        send_request(&mut new_client, 10 * round + 3);
        pass(STALL);
        site.signal(Signal::CONT);
        for n in [10 * round + 2, 10 * round + 3] {
            let fetch = site
                .cache
                .wait_for(|a| a.word == "fetch" && a.field("key") == Some(&object(n)))
                .expect("a call");
            assert_deadline_within_budget("a stopped process", &fetch.fields, sent_at);
        }
        assert_eq!(existing_client.end().unwrap().1.unwrap().status, 200);
        assert_eq!(new_client.end().unwrap().1.unwrap().status, 200);
    }
}
