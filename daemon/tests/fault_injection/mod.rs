//! A daemon process with injected system call failures and fake services around it.

use linnetknot_harness::clients::{call, poll_until, Answer, WebServer};
use linnetknot_harness::fakes::cache::FakeCache;
use linnetknot_harness::fakes::event_bus::{entry, Bus};
use linnetknot_harness::process::Process;
use linnetknot_harness::reserved_address::ReservedAddress;
use linnetknot_harness::settings;
use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Maximum duration of each wait of a test, chosen so that a busy machine does not exceed it.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Ports that fail points use to select the sockets whose calls fail.
#[derive(Clone, Copy)]
#[allow(
    dead_code,
    reason = "not every test that shares this module selects sockets by port"
)]
pub(crate) struct Ports {
    /// The port of the daemon's client listener.
    pub(crate) front: u16,
    /// The port of the fake cache.
    pub(crate) cache: u16,
}

/// A running daemon with its fake cache, origin and event bus.
pub(crate) struct Armed {
    pub(crate) process: Process,
    pub(crate) cache: FakeCache,
    _bus: Bus,
    _origin: FakeCache,
    _reserved: ReservedAddress,
    folder: PathBuf,
}

impl Drop for Armed {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Armed {
    /// Starts the daemon with the given fail points and the default configuration.
    pub(crate) fn start(points: &str) -> Self {
        Self::with(points, |_| {})
    }

    /// Starts the daemon with the given fail points and a change to its interconnect file.
    pub(crate) fn with(points: &str, change: impl Fn(&mut Value)) -> Self {
        Self::placed(
            |_| points.to_owned(),
            |_, interconnect| change(interconnect),
        )
    }

    /// Starts the daemon with fail points chosen by port and changes to its configuration and interconnect file, and
    /// waits until it is ready.
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
        let reserved = ReservedAddress::new().unwrap();
        let front = reserved.address();
        let points = points(Ports {
            front: front.port(),
            cache: cache.address.port(),
        });
        let mut config = json!({"listen": front.to_string(), "ops": "127.0.0.1:0", "bus": bus.address.to_string(),
            "settings": settings(), "limits": {"memory_mb": 192, "sockets": 256}});
        let mut interconnect = json!({"cdni": {"listen": "127.0.0.1:0", "provider": "AS64500:0",
            "base": "http://cdn.example", "footprint": ["127.0.0.0/8"]}});
        change(&mut config, &mut interconnect);
        bus.list(
            true,
            vec![
                entry(&cache, "here", "box", "ready"),
                entry(&origin, "hub", "origin", "ready"),
            ],
        );
        let program = Path::new(env!("CARGO_BIN_EXE_linnetknot"));
        let process = Process::start_with_fail_points(
            program,
            &folder,
            "armed",
            (&config, &interconnect),
            &points,
        )
        .unwrap();
        let daemon = Armed {
            process,
            cache,
            _bus: bus,
            _origin: origin,
            _reserved: reserved,
            folder,
        };
        let is_ready = || {
            call(daemon.process.admin, "GET", "/control/ready", "")
                .is_ok_and(|answer| answer.status == 200)
        };
        assert!(
            poll_until(TIMEOUT, is_ready),
            "the daemon never receives the endpoint list"
        );
        daemon
    }

    /// Opens a client connection to the daemon.
    pub(crate) fn web(&self) -> WebServer {
        WebServer::connect(self.process.front).unwrap()
    }
}

/// Sends one request on a client connection. Returns `None` if the connection closes without an answer.
pub(crate) fn ask(web: &mut WebServer, number: u64) -> Option<Answer> {
    web.ask(1, "photo", &format!("{number:016x}"), 2500).ok()?;
    web.end().ok()?.1
}
