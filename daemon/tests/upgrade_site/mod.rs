//! Daemon processes that share an inherited listening socket and a folder, as during an upgrade. `$ROUTER_SOCKET_FD`
//! names the descriptor; here it is standard input, which `std` can pass to a child without `unsafe`.
#![allow(dead_code, reason = "each test file uses only some of these items")]

use linnetknot_harness::clients::{call, WebServer};
use linnetknot_harness::fakes::cache::FakeCache;
use linnetknot_harness::fakes::event_bus::{entry, Bus};
use linnetknot_harness::reserved_address::ReservedAddress;
use linnetknot_harness::settings;
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The operators' own file in the folder of a site, if it has one.
const INTERCONNECT: &str = "interconnect.json";

pub(crate) fn start_daemon(
    listener: &TcpListener,
    config: &std::path::Path,
    admin: SocketAddr,
    folder: &std::path::Path,
    fail_points: &str,
) -> Child {
    let socket = OwnedFd::from(listener.try_clone().unwrap());
    let mut command = Command::new(env!("CARGO_BIN_EXE_linnetknot"));
    command.env_remove("LINNETKNOT_INTERCONNECT");
    let interconnect = folder.join(INTERCONNECT);
    if interconnect.exists() {
        command.env("LINNETKNOT_INTERCONNECT", interconnect);
    }
    command
        .env("ROUTER_CONFIG", config)
        .env("ROUTER_SOCKET_FD", "0")
        .env("ROUTER_OPS", admin.to_string())
        .env("TMPDIR", folder)
        .env("LINNETKNOT_POINTS", fail_points)
        .stdin(Stdio::from(socket))
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap()
}

pub(crate) fn wait_until_ready(admin: SocketAddr) {
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

pub(crate) fn request_status(client_address: SocketAddr, n: u64) -> u16 {
    let mut web = WebServer::connect(client_address).unwrap();
    web.ask(1, "photo", &format!("{n:016x}"), 2500).unwrap();
    web.end().unwrap().1.map_or(0, |a| a.status)
}

pub(crate) fn send_sigterm(child: &Child) {
    let pid = rustix::process::Pid::from_child(child);
    rustix::process::kill_process(pid, rustix::process::Signal::TERM).unwrap();
}

/// Two fake caches, an origin and an event bus, with the configuration and the socket of the daemon processes.
pub(crate) struct Site {
    pub folder: std::path::PathBuf,
    config: std::path::PathBuf,
    listener: TcpListener,
    pub client_address: SocketAddr,
    pub caches: [FakeCache; 2],
    pub bus: Bus,
    /// The addresses of the processes' admin listeners, which no other socket may take before they are bound.
    reserved: Mutex<Vec<ReservedAddress>>,
}

impl Site {
    pub(crate) fn new(name: &str) -> Site {
        Site::with(name, &Value::Null, |_| {})
    }

    /// Creates a site with the operators' own file, unless it is null, and a change of the configuration.
    pub(crate) fn with(name: &str, interconnect: &Value, change: impl FnOnce(&mut Value)) -> Site {
        let folder = std::env::temp_dir().join(format!("linnetknot-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let bus = Bus::start().unwrap();
        let caches = [
            FakeCache::start("s-0a").unwrap(),
            FakeCache::start("s-0b").unwrap(),
        ];
        let origin = FakeCache::start("s-0f").unwrap();
        let mut entries: Vec<_> = caches
            .iter()
            .map(|cache| entry(cache, "here", "box", "ready"))
            .collect();
        entries.push(entry(&origin, "hub", "origin", "ready"));
        let known = json!({"offset": 0, "batch": [{"offset": 0, "topology": {"rev": 1, "all": true, "targets": entries}}]});
        let mut config = json!({"listen": "127.0.0.1:1", "bus": bus.address.to_string(), "known": known,
            "settings": settings(), "limits": {"memory_mb": 192, "sockets": 256}});
        change(&mut config);
        if !interconnect.is_null() {
            std::fs::write(folder.join(INTERCONNECT), interconnect.to_string()).unwrap();
        }
        let path = folder.join("config.json");
        std::fs::write(&path, config.to_string()).unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let client_address = listener.local_addr().unwrap();
        Site {
            folder,
            config: path,
            listener,
            client_address,
            caches,
            bus,
            reserved: Mutex::default(),
        }
    }

    /// Starts a process and waits until it is ready.
    pub(crate) fn start(&self) -> (Child, SocketAddr) {
        self.start_with_fail_points("")
    }

    /// Starts a process with fail points and waits until it is ready.
    pub(crate) fn start_with_fail_points(&self, fail_points: &str) -> (Child, SocketAddr) {
        let (child, admin) = self.spawn(fail_points);
        wait_until_ready(admin);
        (child, admin)
    }

    /// Starts a process with fail points.
    pub(crate) fn spawn(&self, fail_points: &str) -> (Child, SocketAddr) {
        let reserved = ReservedAddress::new().unwrap();
        let admin = reserved.address();
        let child = start_daemon(
            &self.listener,
            &self.config,
            admin,
            &self.folder,
            fail_points,
        );
        self.reserved.lock().unwrap().push(reserved);
        (child, admin)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Sends twenty requests and returns how many reach the first cache.
pub(crate) fn requests_at_first_cache(site: &Site, first: u64) -> usize {
    let before = site.caches[0].arrivals().len();
    for n in first..first + 20 {
        request_status(site.client_address, n);
    }
    site.caches[0].arrivals().len() - before
}
