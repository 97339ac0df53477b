//! One daemon as a process of its own whose system calls fail as asked, with stand-ins around it.

use linnetknot_harness::clients::{call, poll_until, Answer, WebServer};
use linnetknot_harness::fakes::cache::FakeCache;
use linnetknot_harness::fakes::event_bus::{entry, Bus};
use linnetknot_harness::process::Process;
use linnetknot_harness::settings;
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// What a busy machine may take for anything here.
const TIMEOUT: Duration = Duration::from_secs(20);

/// An address that nobody listens at.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Ports by which system calls can be told apart.
#[derive(Clone, Copy)]
#[allow(
    dead_code,
    reason = "not every test that shares this module tells ports apart"
)]
pub(crate) struct Ports {
    /// Where clients connect.
    pub(crate) front: u16,
    /// The cache's.
    pub(crate) cache: u16,
}

/// The daemon and its surroundings.
pub(crate) struct Armed {
    pub(crate) process: Process,
    pub(crate) cache: FakeCache,
    _bus: Bus,
    _origin: FakeCache,
    folder: PathBuf,
}

impl Drop for Armed {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Armed {
    /// Starts it with these points and no change to its configuration.
    pub(crate) fn start(points: &str) -> Self {
        Self::with(points, |_| {})
    }

    /// Starts it with these points and a change to the operators' own file, and waits until its list has come.
    pub(crate) fn with(points: &str, change: impl Fn(&mut Value)) -> Self {
        Self::placed(|_| points.to_owned(), |_, own| change(own))
    }

    /// Starts it with points for the ports that it uses, and changes to its configuration and the operators' own file.
    pub(crate) fn placed(
        points: impl Fn(Ports) -> String,
        change: impl Fn(&mut Value, &mut Value),
    ) -> Self {
        static STARTED: AtomicUsize = AtomicUsize::new(0);
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        let name = format!("linnetknot-armed-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        let (bus, cache, origin) = (
            Bus::start().unwrap(),
            FakeCache::start("s-0a").unwrap(),
            FakeCache::start("s-0f").unwrap(),
        );
        let front = free_address();
        let points = points(Ports {
            front: front.port(),
            cache: cache.address.port(),
        });
        let mut config = json!({"listen": front.to_string(), "ops": "127.0.0.1:0", "bus": bus.address.to_string(),
            "settings": settings(), "limits": {"memory_mb": 192, "sockets": 256}});
        let mut own = json!({"cdni": {"listen": "127.0.0.1:0", "provider": "AS64500:0",
            "base": "http://cdn.example", "footprint": ["127.0.0.0/8"]}});
        change(&mut config, &mut own);
        bus.list(
            true,
            vec![
                entry(&cache, "here", "box", "ready"),
                entry(&origin, "hub", "origin", "ready"),
            ],
        );
        let program = Path::new(env!("CARGO_BIN_EXE_linnetknot"));
        let process =
            Process::start_with_fail_points(program, &folder, "armed", (&config, &own), &points)
                .unwrap();
        let armed = Armed {
            process,
            cache,
            _bus: bus,
            _origin: origin,
            folder,
        };
        let is_ready = || {
            call(armed.process.admin, "GET", "/control/ready", "")
                .is_ok_and(|answer| answer.status == 200)
        };
        assert!(poll_until(TIMEOUT, is_ready), "it never hears the list");
        armed
    }

    /// A client's connection.
    pub(crate) fn web(&self) -> WebServer {
        WebServer::connect(self.process.front).unwrap()
    }
}

/// One request on a client's connection; none where it is closed without an answer.
pub(crate) fn ask(web: &mut WebServer, number: u64) -> Option<Answer> {
    web.ask(1, "photo", &format!("{number:016x}"), 2500).ok()?;
    web.end().ok()?.1
}
