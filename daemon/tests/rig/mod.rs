//! The daemon on loopback, with the stand-ins of the rehearsal kit around it.
#![allow(dead_code, reason = "each test file uses a part of it")]

use linnetknot_daemon::config::Config;
use linnetknot_daemon::daemon::{Control, Daemon};
use linnetknot_harness::clients::{Answer, WebServer};
use linnetknot_harness::fakes::cache::FakeCache;
use linnetknot_harness::fakes::event_bus::{entry, Bus};
use linnetknot_harness::settings;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::JoinHandle;

/// A daemon on a thread of its own, with stand-ins around it.
pub(crate) struct Rig {
    pub front: SocketAddr,
    pub cdni: SocketAddr,
    /// The admin listener, where the configuration has one.
    pub admin: Option<SocketAddr>,
    pub control: Control,
    /// What the daemon reads on SIGHUP.
    pub file: Arc<Mutex<Value>>,
    /// How often the daemon has begun to read that.
    reads: Arc<AtomicUsize>,
    gate: Arc<Gate>,
    pub run: JoinHandle<std::io::Result<()>>,
    pub bus: Bus,
    pub boxes: Vec<FakeCache>,
    pub origin: FakeCache,
}

/// What the daemon waits at before it reads its configuration again.
#[derive(Default)]
struct Gate {
    shut: Mutex<bool>,
    opened: Condvar,
}

/// Holds a daemon's loop for as long as it lives.
pub(crate) struct Held(Arc<Gate>);

impl Drop for Held {
    fn drop(&mut self) {
        *self.0.shut.lock().unwrap() = false;
        self.0.opened.notify_all();
    }
}

pub(crate) const READY: &str = "ready";

impl Rig {
    pub(crate) fn start() -> Rig {
        Rig::with(&["s-0a"], |_| {})
    }

    pub(crate) fn with(boxes: &[&'static str], change: impl Fn(&mut Value)) -> Rig {
        let bus = Bus::start().unwrap();
        let boxes: Vec<FakeCache> = boxes
            .iter()
            .map(|uid| FakeCache::start(uid).unwrap())
            .collect();
        let origin = FakeCache::start("s-0f").unwrap();
        let mut list: Vec<Value> = boxes
            .iter()
            .map(|b| entry(b, "here", "box", READY))
            .collect();
        list.push(entry(&origin, "hub", "origin", READY));
        let known = json!({"offset": 0, "batch": [
            {"offset": 0, "topology": {"rev": 1, "all": true, "targets": list}},
        ]});
        let mut config = json!({
            "listen": "127.0.0.1:0", "bus": bus.address.to_string(), "known": known, "settings": settings(),
            "limits": {"memory_mb": 192, "sockets": 256},
        });
        change(&mut config);
        let file = Arc::new(Mutex::new(config));
        let (source, reads) = (file.clone(), Arc::new(AtomicUsize::new(0)));
        let (counted, gate) = (reads.clone(), Arc::new(Gate::default()));
        let passed = gate.clone();
        let read = move || {
            counted.fetch_add(1, Ordering::SeqCst);
            drop(
                passed
                    .opened
                    .wait_while(passed.shut.lock().unwrap(), |shut| *shut)
                    .unwrap(),
            );
            let mut file = source.lock().unwrap().clone();
            let mut own = json!({"cdni": {"listen": "127.0.0.1:0", "provider": "AS64500:0",
                "base": "http://cdn.example", "footprint": ["127.0.0.0/8"], "purges": file["purges"].take()}});
            own["consul"] = file["consul"].take();
            let folder = file["ops_folder"].take();
            let bounds = file["bounds"].take();
            own["peers"] = json!({"tell": file["tell"].take() == true});
            if file["state"].is_object() {
                own["state"] = file["state"].take();
            }
            let mut config = Config::read(file.as_object().unwrap())?;
            config.interconnect(own.as_object().unwrap())?;
            if let Some(folder) = folder.as_str() {
                config.operator_state_folder = folder.into();
            }
            for (name, us) in bounds.as_object().into_iter().flatten() {
                let limits = &mut config.limits;
                let bound = match name.as_str() {
                    "partial_request_timeout_us" => &mut limits.partial_request_timeout_us,
                    "client_idle_timeout_us" => &mut limits.client_idle_timeout_us,
                    "client_linger_timeout_us" => &mut limits.client_linger_timeout_us,
                    "shutdown_accept_us" => &mut limits.shutdown_accept_us,
                    "shutdown_linger_us" => &mut limits.shutdown_linger_us,
                    "bus_read_timeout_us" => &mut limits.bus_read_timeout_us,
                    _ => panic!("no bound is called {name}"),
                };
                *bound = us.as_u64().unwrap();
            }
            Ok(config)
        };
        let config = read().unwrap();
        // A daemon stays on the thread that started it.
        let (tell, told) = std::sync::mpsc::channel();
        let run = std::thread::spawn(move || {
            let mut daemon = Daemon::start(config, Box::new(read)).unwrap();
            let addresses = (
                daemon.address().unwrap(),
                daemon.cdni_address().unwrap(),
                daemon.admin_address(),
            );
            tell.send((addresses, daemon.control().unwrap())).unwrap();
            daemon.run()
        });
        let ((front, cdni, admin), control) = told.recv().unwrap();
        Rig {
            front,
            cdni,
            admin,
            control,
            file,
            reads,
            gate,
            run,
            bus,
            boxes,
            origin,
        }
    }

    /// Holds the daemon's loop fast, in the midst of a reload, for as long as the guard lives: whatever comes meanwhile it
    /// finds all at once, in its next turn.
    pub(crate) fn hold(&mut self) -> Held {
        *self.gate.shut.lock().unwrap() = true;
        let before = self.reads.load(Ordering::SeqCst);
        self.control.reload().unwrap();
        while self.reads.load(Ordering::SeqCst) == before {
            std::thread::yield_now();
        }
        Held(self.gate.clone())
    }

    pub(crate) fn web(&self) -> WebServer {
        WebServer::connect(self.front).unwrap()
    }

    /// Stops the daemon, which must end well.
    pub(crate) fn stop(mut self) {
        self.control.stop().unwrap();
        self.run.join().unwrap().unwrap();
    }
}

pub(crate) fn one(web: &mut WebServer, class: &str, object: &str) -> Answer {
    web.ask(1, class, object, 2500).unwrap();
    web.end().unwrap().1.expect("an answer")
}

pub(crate) fn object(n: u64) -> String {
    format!("{n:016x}")
}
