//! Several daemons as processes of their own, with fault-injecting links between every two of them: tests and plays let
//! links fail, peers stop and processes die in the middle of their work.
//!
//! Each proxy has a folder of its own, its disk: what outlives its process. It survives a kill and is lost only where
//! a test says so.

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
    /// The program that it is started with.
    daemon: PathBuf,
    process: Option<Process>,
    /// A bus of its own: an event that one proxy gets, another need not get.
    _bus: Bus,
    disk: PathBuf,
    config: Value,
}

/// Daemons with fault-injecting links between them, and the caches and origin that they share.
pub struct Fleet {
    members: Vec<Member>,
    /// Further machines that a commit waits for; none: nothing is replicated.
    copies: Option<usize>,
    within_ms: Option<u64>,
    budgets: Value,
    machine: Option<String>,
    fail_points: String,
    exact_purges: Option<usize>,
    /// The links, to set their conditions.
    pub links: FaultyLinks,
    /// The cache servers.
    pub caches: Vec<FakeCache>,
    /// The origin.
    pub origin: FakeCache,
    folder: PathBuf,
}

/// A folder of its own for each fleet of this process.
fn fleet_folder() -> PathBuf {
    static FLEETS: AtomicU64 = AtomicU64::new(0);
    let n = FLEETS.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("linnetknot-membership-{}-{n}", std::process::id()))
}

/// The platform's topology with these caches and this origin, as proxies know it when they start.
fn known_targets(caches: &[FakeCache], origin: &FakeCache) -> Value {
    let mut targets: Vec<Value> = caches
        .iter()
        .map(|b| entry(b, "here", "box", "ready"))
        .collect();
    targets.push(entry(origin, "hub", "origin", "ready"));
    let topology = json!({"rev": 1, "all": true, "targets": targets});
    json!({"offset": 0, "batch": [{"offset": 0, "topology": topology}]})
}

/// The settings of a small deployment, with the deadline that a setup asks for.
fn settings_of(setup: &Setup<'_>) -> Value {
    let mut settings = settings();
    if let Some(deadline_us) = setup.deadline_us {
        let classes = settings["categories"].as_array_mut().into_iter().flatten();
        classes.for_each(|class| class["deadline-us"] = deadline_us.into());
    }
    settings
}

/// The members of a fleet at these addresses; none of them runs yet.
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
    /// Starts so many daemons, each on a machine of its own; the seed draws what their links do. They replicate
    /// what peer CDNs purge, with commits that wait for so many further machines, or do not.
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

    /// Starts a fleet.
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
        (0..setup.running).try_for_each(|n| fleet.begin(n, ""))?;
        Ok(fleet)
    }

    /// The operators' own file of a proxy.
    fn own(&self, n: usize) -> Value {
        let m = &self.members[n];
        // All of them share an address here, so that their machines are named.
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

    fn begin(&mut self, n: usize, points: &str) -> io::Result<()> {
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

    /// A proxy that runs; none that has ended, as its addresses may be another server's by then.
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

    /// Stops a proxy's process (SIGSTOP) until it goes on; it knows nothing of it.
    pub fn stall(&self, n: usize) -> io::Result<()> {
        self.signal(n, Signal::STOP)
    }

    /// A proxy goes on where it stood still.
    pub fn resume(&self, n: usize) -> io::Result<()> {
        self.signal(n, Signal::CONT)
    }

    /// Kills a proxy's process (SIGKILL).
    pub fn kill(&mut self, n: usize) -> io::Result<()> {
        // Ending a process kills it and waits for it.
        self.members[n]
            .process
            .take()
            .map(drop)
            .ok_or_else(|| io::Error::other(format!("p{n} does not run")))
    }

    /// Tells a proxy to end (SIGTERM) and waits until it has: whether it ended well.
    pub fn end(&mut self, n: usize) -> io::Result<bool> {
        self.signal(n, Signal::TERM)?;
        match self.members[n].process.take() {
            Some(mut process) => Ok(process.child.wait()?.success()),
            None => Ok(false),
        }
    }

    /// Starts a proxy again under its name, its process ended before.
    pub fn restart(&mut self, n: usize, disk: Disk) -> io::Result<()> {
        self.restart_with_fail_points(n, disk, "")
    }

    /// Starts a proxy with another program from its next start on, as an upgrade does.
    pub fn set_daemon(&mut self, n: usize, daemon: &Path) {
        self.members[n].daemon = daemon.to_owned();
    }

    /// As `restart`, with points armed (`Process::start_with_fail_points`).
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
        self.begin(n, points)
    }

    /// What all spend together is another from now on: every proxy that runs reads its files again (SIGHUP), and those that
    /// start later have it.
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

    /// A proxy's list of peers is in another order from now on, and it reads its files again (SIGHUP).
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
