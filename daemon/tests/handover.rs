//! An upgrade on loopback: two processes of the daemon on one inherited listening socket, the old one ended by
//! SIGTERM while clients go on connecting. The socket is handed over as a descriptor named by
//! `$ROUTER_SOCKET_FD`, here standard input, which std can hand to a child without `unsafe`.

use linnetknot_harness::clients::{call, WebServer};
use linnetknot_harness::fakes::cache::{Behaviour, FakeCache};
use linnetknot_harness::fakes::event_bus::{entry, Bus};
use linnetknot_harness::settings;
use serde_json::json;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

fn start(
    listener: &TcpListener,
    config: &std::path::Path,
    admin: SocketAddr,
    folder: &std::path::Path,
    points: &str,
) -> Child {
    let socket = OwnedFd::from(listener.try_clone().unwrap());
    Command::new(env!("CARGO_BIN_EXE_linnetknot"))
        .env("ROUTER_CONFIG", config)
        .env("ROUTER_SOCKET_FD", "0")
        .env("ROUTER_OPS", admin.to_string())
        .env("TMPDIR", folder)
        .env("LINNETKNOT_POINTS", points)
        .env_remove("LINNETKNOT_INTERCONNECT")
        .stdin(Stdio::from(socket))
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap()
}

fn ready(admin: SocketAddr) {
    let start = Instant::now();
    while call(admin, "GET", "/control/ready", "")
        .map(|a| a.status)
        .unwrap_or(0)
        != 200
    {
        assert!(
            start.elapsed() < Duration::from_secs(6),
            "not ready within 6 s"
        );
    }
}

fn served(front: SocketAddr, n: u64) -> u16 {
    let mut web = WebServer::connect(front).unwrap();
    web.ask(1, "photo", &format!("{n:016x}"), 2500).unwrap();
    web.end().unwrap().1.map_or(0, |a| a.status)
}

fn term(child: &Child) {
    let pid = rustix::process::Pid::from_child(child);
    rustix::process::kill_process(pid, rustix::process::Signal::TERM).unwrap();
}

/// Two boxes, an origin, a bus, and what the platform hands to each process that it starts.
struct Site {
    folder: std::path::PathBuf,
    config: std::path::PathBuf,
    listener: TcpListener,
    front: SocketAddr,
    boxes: [FakeCache; 2],
    _bus: Bus,
}

impl Site {
    fn new(name: &str) -> Site {
        let folder = std::env::temp_dir().join(format!("linnetknot-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let bus = Bus::start().unwrap();
        let boxes = [
            FakeCache::start("s-0a").unwrap(),
            FakeCache::start("s-0b").unwrap(),
        ];
        let origin = FakeCache::start("s-0f").unwrap();
        let mut list: Vec<_> = boxes
            .iter()
            .map(|b| entry(b, "here", "box", "ready"))
            .collect();
        list.push(entry(&origin, "hub", "origin", "ready"));
        let known = json!({"offset": 0, "batch": [{"offset": 0, "topology": {"rev": 1, "all": true, "targets": list}}]});
        let config = json!({"listen": "127.0.0.1:1", "bus": bus.address.to_string(), "known": known,
            "settings": settings(), "limits": {"memory_mb": 192, "sockets": 256}});
        let path = folder.join("config.json");
        std::fs::write(&path, config.to_string()).unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let front = listener.local_addr().unwrap();
        Site {
            folder,
            config: path,
            listener,
            front,
            boxes,
            _bus: bus,
        }
    }

    /// Starts a process and waits until it is ready.
    fn start(&self) -> (Child, SocketAddr) {
        self.start_armed("")
    }

    /// The same with points armed at which it dies.
    fn start_armed(&self, points: &str) -> (Child, SocketAddr) {
        let admin = free_address();
        let child = start(&self.listener, &self.config, admin, &self.folder, points);
        ready(admin);
        (child, admin)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

#[test]
fn two_processes_share_the_inherited_socket_and_the_old_one_ends_at_sigterm() {
    let site = Site::new("handover");
    let front = site.front;
    let (mut old, _) = site.start();
    assert_eq!(served(front, 1), 200);
    let (mut new, _) = site.start();
    term(&old);
    // Clients go on connecting while the old process ends: every one is served, by one process or the other.
    let mut n = 2;
    let status = loop {
        assert_eq!(served(front, n), 200, "request {n}");
        n += 1;
        if let Some(status) = old.try_wait().unwrap() {
            break status;
        }
        assert!(n < 100_000, "the old process never ended");
    };
    assert!(status.success(), "the old process ends well: {status}");
    for m in n..n + 20 {
        assert_eq!(served(front, m), 200, "served by the new process alone");
    }
    term(&new);
    assert!(new.wait().unwrap().success());
}

/// A request that crosses the end of its connection must not cost the answers that a slow client has not read yet: a
/// closed socket meets it with a reset, which strikes from the kernel what is still on its way out.
#[test]
fn an_answer_that_a_slow_client_reads_while_the_old_process_ends_comes_whole() {
    const BYTES: usize = 240_000;
    let site = Site::new("slow");
    let (mut old, admin) = site.start();
    site.boxes.iter().for_each(|b| {
        b.set_behaviour(Behaviour {
            padding: BYTES,
            ..Behaviour::default()
        });
    });
    let mut slow: Vec<WebServer> = (0..4)
        .map(|n| {
            let mut web = WebServer::connect(site.front).unwrap();
            rustix::net::sockopt::set_socket_recv_buffer_size(web.writer().unwrap(), 32 << 10)
                .unwrap();
            web.ask(1, "photo", &format!("{n:016x}"), 2500).unwrap();
            // The answer has begun to come: all of it that the kernel takes is written.
            web.writer().unwrap().peek(&mut [0]).unwrap();
            web
        })
        .collect();
    let (mut new, _) = site.start();
    term(&old);
    // Once the old process says no it has heard the signal, and ended what was answered.
    while call(admin, "GET", "/control/ready", "").is_ok_and(|a| a.status == 200) {}
    for (n, web) in slow.iter_mut().enumerate() {
        web.ask(2, "photo", &format!("{:016x}", 100 + n), 2500)
            .unwrap();
    }
    for (n, web) in slow.iter_mut().enumerate() {
        let (number, answer) = web
            .end()
            .unwrap_or_else(|e| panic!("answer {n} was lost: {e}"));
        let answer = answer.expect("an answer");
        assert_eq!((number, answer.status), (1, 200));
        assert!(
            answer.body.len() >= BYTES,
            "answer {n} has {} bytes",
            answer.body.len()
        );
    }
    drop(slow);
    assert!(old.wait().unwrap().success(), "the old process ends well");
    term(&new);
    assert!(new.wait().unwrap().success());
}

/// How many of twenty requests reach the first box.
fn reach_the_first(site: &Site, from: u64) -> usize {
    let before = site.boxes[0].arrivals().len();
    for n in from..from + 20 {
        served(site.front, n);
    }
    site.boxes[0].arrivals().len() - before
}

/// A process that dies at any point of a ban leaves a state that the next one starts with, whole: the ban or none. One
/// that the operators were told yes of holds.
#[test]
fn a_process_that_dies_in_the_midst_of_a_ban_leaves_it_whole_or_not_at_all() {
    for (point, holds) in [
        ("admin-keeps", Some(false)),
        ("admin-kept-once", None),
        ("admin-kept", Some(true)),
    ] {
        let site = Site::new(point);
        let (mut old, admin) = site.start_armed(&format!("{point}=die"));
        assert!(reach_the_first(&site, 1) > 0);
        assert!(
            call(admin, "POST", "/control/pop-caches/s-0a/offline", "").is_err(),
            "{point}: it died"
        );
        assert!(!old.wait().unwrap().success());
        let (mut next, admin) = site.start();
        let banned = reach_the_first(&site, 100) == 0;
        assert!(
            holds.is_none_or(|holds| holds == banned),
            "{point}: {banned}"
        );
        // It goes on from there: one more ban and its yes, and the yes holds after a kill.
        assert_eq!(
            call(admin, "POST", "/control/pop-caches/s-0a/offline", "")
                .unwrap()
                .status,
            200
        );
        next.kill().unwrap();
        next.wait().unwrap();
        let (mut last, _) = site.start();
        assert_eq!(reach_the_first(&site, 200), 0, "{point}");
        term(&last);
        assert!(last.wait().unwrap().success());
    }
}

#[test]
fn a_ban_that_can_not_be_kept_is_no_ban_and_the_operators_are_told_no() {
    let site = Site::new("full");
    let (mut only, admin) = site.start();
    // A folder stands where each of its two files would have to: nothing can be put in their place.
    let files: Vec<_> = linnetknot_admin_api::store::copy_paths(&site.folder)
        .into_iter()
        .collect();
    for file in &files {
        let _ = std::fs::remove_file(file);
        std::fs::create_dir_all(file.join("in the way")).unwrap();
    }
    assert_eq!(
        call(admin, "POST", "/control/pop-caches/s-0a/offline", "")
            .unwrap()
            .status,
        503
    );
    assert!(reach_the_first(&site, 1) > 0, "nothing has changed");
    files
        .iter()
        .for_each(|file| std::fs::remove_dir_all(file).unwrap());
    assert_eq!(
        call(admin, "POST", "/control/pop-caches/s-0a/offline", "")
            .unwrap()
            .status,
        200
    );
    assert_eq!(reach_the_first(&site, 100), 0);
    term(&only);
    assert!(only.wait().unwrap().success());
}
