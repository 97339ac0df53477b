//! Several daemons as child processes with fault-injecting links between each pair, for tests of failing links, stalled
//! peers and killed processes.
//!
//! Each proxy has its own folder as its disk. The folder survives a kill and is removed only by a restart with
//! [`Disk::Lost`].

mod cdni;
mod ports;
mod queries;
mod setup;

pub use cdni::{purge_at, status_path, trigger_at};
pub use ports::free_ports;
pub use setup::{Disk, Setup};

use crate::fakes::cache::FakeCache;
use crate::fakes::event_bus::{entry, Bus};
use crate::links::FaultyLinks;
use crate::process::Process;
use crate::settings;
use rustix::process::Signal;
use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

/// One proxy of a fleet.
struct Member {
    name: String,
    /// Path of the daemon's executable.
    daemon: PathBuf,
    process: Option<Process>,
    /// Its own event bus, so that events can reach a single proxy.
    _bus: Bus,
    disk: PathBuf,
    config: Value,
}

/// Daemons with fault-injecting links between them, and their shared caches and origin.
pub struct Fleet {
    members: Vec<Member>,
    /// Number of other machines that a commit waits for; `None` disables replication.
    copies: Option<usize>,
    within_ms: Option<u64>,
    budgets: Value,
    machine: Option<String>,
    fail_points: String,
    exact_purges: Option<usize>,
    /// Links between the proxies.
    pub links: FaultyLinks,
    /// Cache servers that all proxies use.
    pub caches: Vec<FakeCache>,
    /// Origin that all proxies use.
    pub origin: FakeCache,
    folder: PathBuf,
}

/// Returns a new folder name for each fleet of this process.
fn fleet_folder() -> PathBuf {
    static FLEETS: AtomicU64 = AtomicU64::new(0);
    let n = FLEETS.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("linnetknot-membership-{}-{n}", std::process::id()))
}

/// Returns the initial topology of the proxies, with these caches and this origin.
fn known_targets(caches: &[FakeCache], origin: &FakeCache) -> Value {
    let mut targets: Vec<Value> = caches
        .iter()
        .map(|cache| entry(cache, "here", "box", "ready"))
        .collect();
    targets.push(entry(origin, "hub", "origin", "ready"));
    let topology = json!({"rev": 1, "all": true, "targets": targets});
    json!({"offset": 0, "batch": [{"offset": 0, "topology": topology}]})
}

/// Returns the settings of a small deployment with the deadline of the setup.
fn settings_of(setup: &Setup<'_>) -> Value {
    let mut settings = settings();
    if let Some(deadline_us) = setup.deadline_us {
        let classes = settings["categories"].as_array_mut().into_iter().flatten();
        classes.for_each(|class| class["deadline-us"] = deadline_us.into());
    }
    settings
}

/// Creates the members of a fleet at these addresses without starting them.
fn members(
    setup: &Setup<'_>,
    folder: &Path,
    ports: &[SocketAddr],
    links: &FaultyLinks,
    known: &Value,
) -> io::Result<Vec<Member>> {
    let settings = settings_of(setup);
    let running = (0..setup.running).map(|n| format!("p{n}"));
    let later = setup.later.iter().map(|name| (*name).to_owned());
    let mut members = Vec::new();
    for (n, (name, own)) in running.chain(later).zip(ports).enumerate() {
        let bus = Bus::start()?;
        let peer = |p: usize| links.address((n, p)).unwrap_or(*own).to_string();
        let config = json!({
            "name": name, "listen": "127.0.0.1:0", "bus": bus.address.to_string(), "known": known,
            "seed": format!("{:x}", setup.seed * 64 + n as u64 + 1), "settings": settings,
            "limits": {"memory_mb": 192, "sockets": 256}, "ops": "127.0.0.1:0",
            "peer_listen": own.to_string(), "peers": (0..ports.len()).map(peer).collect::<Value>(),
        });
        members.push(Member {
            name,
            daemon: setup.daemon.to_owned(),
            process: None,
            _bus: bus,
            disk: folder.join(format!("machine-{n}")),
            config,
        });
    }
    Ok(members)
}

impl Fleet {
    /// Starts a fleet with each daemon on its own machine. `copies` is the number of other machines that a commit waits
    /// for; `None` disables replication. The seed determines the faults of the links.
    pub fn start(
        daemon: &Path,
        proxies: usize,
        seed: u64,
        copies: Option<usize>,
    ) -> io::Result<Self> {
        Self::with(Setup {
            wait: copies,
            ..Setup::replicating(daemon, proxies, seed)
        })
    }

    /// Starts a fleet from a setup.
    pub fn with(setup: Setup<'_>) -> io::Result<Self> {
        let caches = ["s-0a", "s-0b"]
            .into_iter()
            .map(FakeCache::start)
            .collect::<io::Result<Vec<_>>>()?;
        let origin = FakeCache::start("s-0f")?;
        let ports = free_ports(setup.running + setup.later.len())?;
        let links = FaultyLinks::between(&ports, setup.seed)?;
        let folder = fleet_folder();
        let known = known_targets(&caches, &origin);
        let members = members(&setup, &folder, &ports, &links, &known)?;
        let mut fleet = Fleet {
            copies: setup.wait,
            within_ms: setup.within_ms,
            budgets: setup.budgets,
            machine: setup.machine.map(str::to_owned),
            fail_points: setup.fail_points.to_owned(),
            exact_purges: setup.exact_purges,
            members,
            links,
            caches,
            origin,
            folder,
        };
        (0..setup.running).try_for_each(|n| fleet.start_member(n, ""))?;
        Ok(fleet)
    }

    /// Returns the operators' file of a proxy.
    fn own(&self, n: usize) -> Value {
        let m = &self.members[n];
        // All proxies share one IP address, so the file maps each peer to its machine.
        let peers = m.config["peers"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(Value::as_str);
        let machines = peers
            .enumerate()
            .map(|(p, peer)| (peer.to_owned(), format!("machine-{p}").into()));
        let machines: serde_json::Map<String, Value> = machines.collect();
        let machine = self
            .machine
            .clone()
            .unwrap_or_else(|| format!("machine-{n}"));
        let mut own = json!({"cdni": {"listen": "127.0.0.1:0", "provider": "AS64500:0",
            "base": "http://cdn.example", "footprint": ["127.0.0.0/8"],
            "purges": m.disk.join("purges").display().to_string()},
            "peers": {"copies": self.copies.is_some()},
            "copies": {"wait": self.copies.unwrap_or(0), "machine": machine, "machines": machines}});
        if let Some(within_ms) = self.within_ms {
            own["copies"]["within_ms"] = within_ms.into();
        }
        if let Some(exact_purges) = self.exact_purges {
            own["copies"]["exact_purges"] = exact_purges.into();
        }
        if !self.budgets.is_null() {
            own["budgets"] = self.budgets.clone();
        }
        own
    }

    fn start_member(&mut self, n: usize, points: &str) -> io::Result<()> {
        let own = self.own(n);
        let m = &mut self.members[n];
        std::fs::create_dir_all(&m.disk)?;
        let points = format!("{};{points}", self.fail_points);
        let started = Process::start_with_fail_points(
            &m.daemon,
            &m.disk,
            &m.name,
            (&m.config, &own),
            &points,
        );
        m.process = Some(started?);
        Ok(())
    }

    /// Returns the process of a proxy.
    ///
    /// # Errors
    /// Returns an error if the proxy does not run, because its addresses may then belong to another program.
    pub fn process(&self, n: usize) -> io::Result<&Process> {
        let process = self.members[n]
            .process
            .as_ref()
            .filter(|process| !process.has_ended());
        process.ok_or_else(|| io::Error::other(format!("p{n} does not run")))
    }

    fn signal(&self, n: usize, signal: Signal) -> io::Result<()> {
        self.process(n)?.signal(signal)
    }

    /// Stops the process of a proxy with SIGSTOP until `resume`.
    pub fn stall(&self, n: usize) -> io::Result<()> {
        self.signal(n, Signal::STOP)
    }

    /// Continues the process of a stalled proxy with SIGCONT.
    pub fn resume(&self, n: usize) -> io::Result<()> {
        self.signal(n, Signal::CONT)
    }

    /// Kills the process of a proxy with SIGKILL.
    pub fn kill(&mut self, n: usize) -> io::Result<()> {
        // Dropping a `Process` kills it and waits for its exit.
        self.members[n]
            .process
            .take()
            .map(drop)
            .ok_or_else(|| io::Error::other(format!("p{n} does not run")))
    }

    /// Terminates a proxy with SIGTERM and waits for its exit. Returns whether it exited with success.
    pub fn end(&mut self, n: usize) -> io::Result<bool> {
        self.signal(n, Signal::TERM)?;
        match self.members[n].process.take() {
            Some(mut process) => Ok(process.child.wait()?.success()),
            None => Ok(false),
        }
    }

    /// Restarts a proxy whose process has been killed or ended.
    pub fn restart(&mut self, n: usize, disk: Disk) -> io::Result<()> {
        self.restart_with_fail_points(n, disk, "")
    }

    /// Sets the program for later starts of a proxy, as for an upgrade.
    pub fn set_daemon(&mut self, n: usize, daemon: &Path) {
        self.members[n].daemon = daemon.to_owned();
    }

    /// Like `restart`, with fail points enabled (`Process::start_with_fail_points`).
    pub fn restart_with_fail_points(
        &mut self,
        n: usize,
        disk: Disk,
        points: &str,
    ) -> io::Result<()> {
        if self.members[n].process.is_some() {
            return Err(io::Error::other(format!("p{n} still runs")));
        }
        if disk == Disk::Lost {
            match std::fs::remove_dir_all(&self.members[n].disk) {
                Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
                _ => {}
            }
        }
        self.start_member(n, points)
    }

    /// Changes the shared budgets. Running proxies reload their files (SIGHUP); proxies started later use the new
    /// budgets.
    pub fn set_budgets(&mut self, budgets: Value) -> io::Result<()> {
        self.budgets = budgets;
        for n in 0..self.members.len() {
            if self.process(n).is_ok() {
                let (own, m) = (self.own(n), &self.members[n]);
                std::fs::write(m.disk.join(format!("{}-own.json", m.name)), own.to_string())?;
                self.signal(n, Signal::HUP)?;
            }
        }
        Ok(())
    }

    /// Reverses the peer list of a proxy and makes it reload its files (SIGHUP).
    pub fn reorder_peers(&mut self, n: usize) -> io::Result<()> {
        let m = &mut self.members[n];
        m.config["peers"]
            .as_array_mut()
            .into_iter()
            .for_each(|peers| peers.reverse());
        std::fs::write(
            m.disk.join(format!("{}.json", m.name)),
            m.config.to_string(),
        )?;
        self.signal(n, Signal::HUP)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.members.iter_mut().for_each(|m| m.process = None);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
