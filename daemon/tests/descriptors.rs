//! A daemon whose descriptor limit is below its configuration, with more idle connections than the daemon may hold.

use linnetknot_harness::clients::{call, WebServer};
use linnetknot_harness::fakes::cache::FakeCache;
use linnetknot_harness::fakes::event_bus::{entry, Bus};
use linnetknot_harness::reserved_address::ReservedAddress;
use linnetknot_harness::settings;
use rustix::process::{getrlimit, kill_process, setrlimit, Pid, Resource, Rlimit, Signal};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

fn until(what: &str, mut done: impl FnMut() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < Duration::from_secs(10), "{what}");
        std::thread::yield_now();
    }
}

/// Idle clients take every free connection slot while the event bus is unreachable. The bus, the caches, the operators and
/// an active client must still be served.
#[test]
fn idle_connections_at_the_descriptor_limit_do_not_starve_other_users() {
    let folder =
        std::env::temp_dir().join(format!("linnetknot-descriptors-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    let (bus, cache, origin) = (
        Bus::start().unwrap(),
        FakeCache::start("s-0a").unwrap(),
        FakeCache::start("s-0f").unwrap(),
    );
    let reserved = [(); 3].map(|()| ReservedAddress::new().unwrap());
    let [front, admin, unreachable] = reserved.each_ref().map(ReservedAddress::address);
    let config = |bus: SocketAddr| -> Value {
        json!({"listen": front.to_string(), "ops": admin.to_string(), "bus": bus.to_string(),
            "settings": settings(), "limits": {"memory_mb": 192, "sockets": 1024}})
    };
    let path = folder.join("config.json");
    std::fs::write(&path, config(unreachable).to_string()).unwrap();
    let original_limit = getrlimit(Resource::Nofile);
    setrlimit(
        Resource::Nofile,
        Rlimit {
            current: Some(64),
            maximum: original_limit.maximum,
        },
    )
    .unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_linnetknot"))
        .env("ROUTER_CONFIG", &path)
        .env("TMPDIR", &folder)
        .env_remove("LINNETKNOT_INTERCONNECT")
        .env_remove("ROUTER_SOCKET_FD")
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn();
    setrlimit(Resource::Nofile, original_limit).unwrap();
    let mut child = child.unwrap();
    until("the daemon listens", || WebServer::connect(front).is_ok());
    let open_descriptors = || {
        std::fs::read_dir(format!("/proc/{}/fd", child.id())).map_or(0, std::iter::Iterator::count)
    };
    // Open four times as many connections as the daemon may hold, over both listeners.
    let idle_clients: Vec<WebServer> = (0..200)
        .map(|_| WebServer::connect(front).unwrap())
        .collect();
    let idle_admin_clients: Vec<WebServer> = (0..56)
        .map(|_| WebServer::connect(admin).unwrap())
        .collect();
    until("all slots are taken", || open_descriptors() >= 40);
    bus.list(
        true,
        vec![
            entry(&cache, "here", "box", "ready"),
            entry(&origin, "hub", "origin", "ready"),
        ],
    );
    // The event bus is back at another address, so the daemon must reload its file and fetch the list.
    std::fs::write(&path, config(bus.address).to_string()).unwrap();
    let pid = Pid::from_child(&child);
    kill_process(pid, Signal::HUP).unwrap();
    until("the daemon is ready", || {
        call(admin, "GET", "/control/ready", "").is_ok_and(|answer| answer.status == 200)
    });
    let mut web = WebServer::connect(front).unwrap();
    web.ask(1, "photo", "00000000000000a1", 2500).unwrap();
    assert_eq!(web.end().unwrap().1.expect("an answer").status, 200);
    assert!(open_descriptors() <= 64);
    kill_process(pid, Signal::TERM).unwrap();
    drop((idle_clients, idle_admin_clients, web));
    assert!(child.wait().unwrap().success());
    let _ = std::fs::remove_dir_all(&folder);
}
