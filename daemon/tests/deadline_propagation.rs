//! The deadline forwarded to a cache never exceeds the client's remaining time, whether the request was delayed by a slow
//! connection, an earlier attempt, or a blocked event loop or process.

mod scripted_caches;
mod test_proxy;

use linnetknot_harness::clients::WebServer;
use linnetknot_harness::fakes::cache::FakeCache;
use linnetknot_harness::fakes::event_bus::{entry, Bus};
use rustix::process::{kill_process, Pid, Signal};
use scripted_caches::{
    add_parents, busy_wait, fill_accept_queue, next_command, photo_request,
    start_with_scripted_caches, take_fetches,
};
use serde_json::json;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use test_proxy::object_id;

/// Budget of the requests that `scripted_caches::photo_request` builds.
const BUDGET: Duration = Duration::from_millis(2_000);
const SLACK: Duration = Duration::from_millis(150);
/// Duration for which the event loop or the process is stopped.
const STALL: Duration = Duration::from_millis(1_000);

/// Returns the deadline in the fields of a fetch.
fn forwarded_deadline(fields: &str) -> Duration {
    let wait = fields
        .split(',')
        .find_map(|field| field.strip_prefix("wait="));
    Duration::from_millis(wait.expect("a deadline").parse().unwrap())
}

/// Asserts that the deadline in `fields` is at most the remaining budget of a request sent at `sent_at`.
fn assert_deadline_within_budget(case: &str, fields: &str, sent_at: Instant) {
    let remaining = BUDGET.saturating_sub(sent_at.elapsed());
    let forwarded_deadline = forwarded_deadline(fields);
    println!("{case}: {forwarded_deadline:?} forwarded, {remaining:?} remaining");
    assert!(
        forwarded_deadline <= remaining + SLACK,
        "{case}: {forwarded_deadline:?} of {remaining:?}"
    );
}

#[test]
fn first_attempt_retry_and_fill_carry_the_remaining_deadline() {
    // The first answer causes a retry at the other cache, the other answers cause a fill at the same cache.
    check_retry_deadline("503", "-");
    check_retry_deadline("404", "-");
    check_retry_deadline("503", "how=cut_off");
}

fn check_retry_deadline(status: &str, fields: &str) {
    let (proxy, mut caches) = start_with_scripted_caches::<2>(add_parents);
    let mut web = proxy.web();
    let sent_at = Instant::now();
    web.send(&photo_request(1, &object_id(1), 0)).unwrap();
    let (at, connection, fetch) = next_command(&mut caches);
    assert_deadline_within_budget("first attempt", &fetch[2], sent_at);
    busy_wait(Duration::from_millis(300));
    caches[at].connections[connection].respond(&fetch[1], status, fields, "");
    let (at, connection, fetch) = next_command(&mut caches);
    assert_deadline_within_budget("further attempt", &fetch[2], sent_at);
    caches[at].connections[connection].respond(
        &fetch[1],
        "200",
        "how=local,made=1,etag=t1",
        "a copy",
    );
    assert_eq!(web.end().unwrap().1.unwrap().status, 200);
    drop(web);
    proxy.stop();
}

#[test]
fn attempt_delayed_by_its_connection_carries_the_remaining_deadline() {
    let (proxy, mut caches) = start_with_scripted_caches::<1>(|config| {
        config["settings"]["limits"]["connect-timeout-us"] = json!(8_000_000);
    });
    let blocker = fill_accept_queue(&caches[0]);
    let mut web = proxy.web();
    let sent_at = Instant::now();
    web.send(&photo_request(1, &object_id(1), 0)).unwrap();
    // The kernel retransmits a SYN after one second, which delays the connection further.
    busy_wait(Duration::from_millis(300));
    let (_, connection, fetch) = next_command(&mut caches);
    assert_deadline_within_budget("late connection", &fetch[2], sent_at);
    caches[0].connections[connection].respond(
        &fetch[1],
        "200",
        "how=local,made=1,etag=t1",
        "a copy",
    );
    assert_eq!(web.end().unwrap().1.unwrap().status, 200);
    drop((blocker, web));
    proxy.stop();
}

/// The deadline counts from the arrival of the request's last byte at the socket, not from the time at which the daemon
/// reads that byte.
#[test]
fn requests_read_by_a_blocked_loop_carry_the_remaining_deadline() {
    let (mut proxy, mut caches) = start_with_scripted_caches::<1>(|_| {});
    let mut existing_client = proxy.web();
    existing_client
        .send(&photo_request(1, &object_id(1), 0))
        .unwrap();
    let (_, connection, fetch) = next_command(&mut caches);
    caches[0].connections[connection].respond(
        &fetch[1],
        "200",
        "how=local,made=1,etag=t1",
        "a copy",
    );
    assert_eq!(existing_client.end().unwrap().1.unwrap().status, 200);
    let loop_guard = proxy.hold();
    let sent_at = Instant::now();
    existing_client
        .send(&photo_request(2, &object_id(2), 0))
        .unwrap();
    let mut new_client = proxy.web();
    new_client
        .send(&photo_request(3, &object_id(3), 0))
        .unwrap();
    busy_wait(STALL);
    drop(loop_guard);
    let mut received = 0;
    while received < 2 {
        for (_, connection, id, fields) in take_fetches(&mut caches) {
            assert_deadline_within_budget("blocked event loop", &fields, sent_at);
            caches[0].connections[connection].respond(
                &id,
                "200",
                "how=local,made=1,etag=t1",
                "a copy",
            );
            received += 1;
        }
        assert!(
            sent_at.elapsed() < Duration::from_secs(10),
            "the fetches do not arrive"
        );
        std::thread::yield_now();
    }
    assert_eq!(existing_client.end().unwrap().1.unwrap().status, 200);
    assert_eq!(new_client.end().unwrap().1.unwrap().status, 200);
    // A request received after the loop resumes has its full budget.
    existing_client
        .send(&photo_request(4, &object_id(4), 0))
        .unwrap();
    let (_, _, fetch) = next_command(&mut caches);
    assert!(forwarded_deadline(&fetch[2]) > BUDGET - SLACK, "{fetch:?}");
    drop((existing_client, new_client));
    proxy.stop();
}

/// A daemon process with a fake cache, origin and event bus.
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

    /// Suspends the process and waits until it is stopped.
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

/// Sends a request and returns the time it was sent.
fn send_request(web: &mut WebServer, n: u64) -> Instant {
    let sent_at = Instant::now();
    web.ask(1, "photo", &object_id(n), BUDGET.as_millis() as u64)
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
        busy_wait(STALL);
        site.signal(Signal::CONT);
        for n in [10 * round + 2, 10 * round + 3] {
            let fetch = site
                .cache
                .wait_for(|a| a.command == "fetch" && a.field("key") == Some(&object_id(n)))
                .expect("a fetch");
            assert_deadline_within_budget("stopped process", &fetch.fields, sent_at);
        }
        assert_eq!(existing_client.end().unwrap().1.unwrap().status, 200);
        assert_eq!(new_client.end().unwrap().1.unwrap().status, 200);
    }
}
