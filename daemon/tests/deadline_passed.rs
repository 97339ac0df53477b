//! The deadline that is passed to a box is at most what the client has left, whatever kept the request on its way: a
//! connection that was late, an attempt before it, or a loop that stood still for a second.

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

/// Budget of `scripted_caches::photo_request`.
const BUDGET: Duration = Duration::from_millis(2_000);
const SLACK: Duration = Duration::from_millis(150);
/// So long the loop, or the process, stands still.
const STALL: Duration = Duration::from_millis(1_000);

/// What an attempt passes on.
fn passed(fields: &str) -> Duration {
    let wait = fields
        .split(',')
        .find_map(|field| field.strip_prefix("wait="));
    Duration::from_millis(wait.expect("a deadline").parse().unwrap())
}

/// Checks a deadline that came to a box against a client that asked at a time.
fn check(what: &str, fields: &str, asked: Instant) {
    let left = BUDGET.saturating_sub(asked.elapsed());
    let passed = passed(fields);
    println!("{what}: {passed:?} passed on, {left:?} left");
    assert!(passed <= left + SLACK, "{what}: {passed:?} of {left:?}");
}

#[test]
fn a_first_attempt_its_retry_and_its_fill_pass_on_what_is_left_by_then() {
    // At the other box, and at the same one with a fill.
    answered_late("503", "-");
    answered_late("404", "-");
    answered_late("503", "how=cut_off");
}

fn answered_late(word: &str, fields: &str) {
    let (rig, mut boxes) = start_with_scripted_caches::<2>(add_parents);
    let mut web = rig.web();
    let asked = Instant::now();
    web.send(&photo_request(1, &object_id(1), 0)).unwrap();
    let (at, place, fetch) = next_command(&mut boxes);
    check("a first attempt", &fetch[2], asked);
    busy_wait(Duration::from_millis(300));
    boxes[at].connections[place].respond(&fetch[1], word, fields, "");
    let (at, place, fetch) = next_command(&mut boxes);
    check("a further attempt", &fetch[2], asked);
    boxes[at].connections[place].respond(&fetch[1], "200", "how=local,made=1,etag=t1", "a copy");
    assert_eq!(web.end().unwrap().1.unwrap().status, 200);
    drop(web);
    rig.stop();
}

#[test]
fn an_attempt_that_waited_for_its_connection_passes_on_what_is_left_when_it_begins() {
    let (rig, mut boxes) = start_with_scripted_caches::<1>(|config| {
        config["settings"]["limits"]["connect-timeout-us"] = json!(8_000_000);
    });
    let filler = fill_accept_queue(&boxes[0]);
    let mut web = rig.web();
    let asked = Instant::now();
    web.send(&photo_request(1, &object_id(1), 0)).unwrap();
    // The system sends the first segment of a connection again after a second only.
    busy_wait(Duration::from_millis(300));
    let (_, place, fetch) = next_command(&mut boxes);
    check("a late connection", &fetch[2], asked);
    boxes[0].connections[place].respond(&fetch[1], "200", "how=local,made=1,etag=t1", "a copy");
    assert_eq!(web.end().unwrap().1.unwrap().status, 200);
    drop((filler, web));
    rig.stop();
}

/// A request's time runs from its last byte on, and not from when it is read.
#[test]
fn what_came_while_the_loop_was_kept_passes_on_what_is_left() {
    let (mut rig, mut boxes) = start_with_scripted_caches::<1>(|_| {});
    let mut open = rig.web();
    open.send(&photo_request(1, &object_id(1), 0)).unwrap();
    let (_, place, fetch) = next_command(&mut boxes);
    boxes[0].connections[place].respond(&fetch[1], "200", "how=local,made=1,etag=t1", "a copy");
    assert_eq!(open.end().unwrap().1.unwrap().status, 200);
    let held = rig.hold();
    let asked = Instant::now();
    open.send(&photo_request(2, &object_id(2), 0)).unwrap();
    let mut new = rig.web();
    new.send(&photo_request(3, &object_id(3), 0)).unwrap();
    busy_wait(STALL);
    drop(held);
    let mut begun = 0;
    while begun < 2 {
        for (_, place, id, fields) in take_fetches(&mut boxes) {
            check("a kept loop", &fields, asked);
            boxes[0].connections[place].respond(&id, "200", "how=local,made=1,etag=t1", "a copy");
            begun += 1;
        }
        assert!(asked.elapsed() < Duration::from_secs(10), "nothing comes");
        std::thread::yield_now();
    }
    assert_eq!(open.end().unwrap().1.unwrap().status, 200);
    assert_eq!(new.end().unwrap().1.unwrap().status, 200);
    // What comes when the loop goes on has all of its time.
    open.send(&photo_request(4, &object_id(4), 0)).unwrap();
    let (_, _, fetch) = next_command(&mut boxes);
    assert!(passed(&fetch[2]) > BUDGET - SLACK, "{fetch:?}");
    drop((open, new));
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
fn ask(web: &mut WebServer, n: u64) -> Instant {
    let asked = Instant::now();
    web.ask(1, "photo", &object_id(n), BUDGET.as_millis() as u64)
        .unwrap();
    asked
}

#[test]
fn what_came_while_the_process_was_stopped_passes_on_what_is_left() {
    let site = Site::start();
    let mut open = WebServer::connect(site.front).unwrap();
    ask(&mut open, 1);
    assert_eq!(open.end().unwrap().1.unwrap().status, 200);
    for round in 1..=3 {
        site.freeze();
        let asked = ask(&mut open, 10 * round + 2);
        let mut new = WebServer::connect(site.front).unwrap();
        ask(&mut new, 10 * round + 3);
        busy_wait(STALL);
        site.signal(Signal::CONT);
        for n in [10 * round + 2, 10 * round + 3] {
            let came = site
                .cache
                .wait_for(|a| a.word == "fetch" && a.field("key") == Some(&object_id(n)))
                .expect("a call");
            check("a stopped process", &came.fields, asked);
        }
        assert_eq!(open.end().unwrap().1.unwrap().status, 200);
        assert_eq!(new.end().unwrap().1.unwrap().status, 200);
    }
}
