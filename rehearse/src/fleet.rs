//! Several daemons as processes of their own, with gates between every two of them: the ground on which tests and
//! plays let links fail, peers stand still and processes die in the middle of their work.
//!
//! Each proxy has a folder of its own, its disk: what outlives its process. It survives a kill and is lost only where
//! a test says so.

use crate::boxes::StandIn;
use crate::bus::{entry, Bus};
use crate::clients::{call, Answer, WebServer, PATIENCE};
use crate::gates::Gates;
use crate::process::Process;
use crate::settings;
use linnetknot_daemon::budgets;
use linnetknot_daemon::fleet::{ask as ask_status, ask_budgets, Status};
use rustix::process::Signal;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Instant;

/// How a process is to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disk {
    /// With what it had written.
    Kept,
    /// On a new machine: nothing is left.
    Lost,
}

/// What a fleet is started with.
#[derive(Clone, Debug)]
pub struct Setup<'a> {
    /// The daemon.
    pub daemon: &'a Path,
    /// Proxies that run from the start, each on a machine of its own.
    pub running: usize,
    /// Machines that are not there yet, by the names that their proxies will have: `restart` begins them.
    pub later: &'a [&'a str],
    /// Draws what the gates do.
    pub seed: u64,
    /// Further machines that a promise waits for; none: no copies are made.
    pub wait: Option<usize>,
    /// How long a promise may wait; none: as long as the daemon's default says.
    pub within_ms: Option<u64>,
    /// The machine that all of them say they stand on, whatever the others' files say; none: each on its own.
    pub machine: Option<&'a str>,
    /// What all of them spend together, as the operators' file has it; null: nothing is shared.
    pub budgets: Value,
    /// When clients give up, for all classes, in microseconds; none: as the settings of a small deployment have it.
    pub deadline_us: Option<u64>,
    /// Points that are armed in all of them, at each start (`Process::start_armed`).
    pub planted: &'a str,
    /// Purges that each of them holds one by one before older ones are compacted; none: as many as usual.
    pub exact_purges: Option<usize>,
}

impl<'a> Setup<'a> {
    /// So many proxies that copy, with promises that wait for one further machine.
    pub fn copying(daemon: &'a Path, running: usize, seed: u64) -> Self {
        Setup {
            daemon,
            running,
            later: &[],
            seed,
            wait: Some(1),
            within_ms: None,
            machine: None,
            budgets: Value::Null,
            deadline_us: None,
            planted: "",
            exact_purges: None,
        }
    }
}

/// One proxy of a fleet.
struct Member {
    name: String,
    /// The program that it is started with.
    daemon: PathBuf,
    process: Option<Process>,
    /// A bus of its own: what one proxy is told by the platform, another need not be.
    _bus: Bus,
    disk: PathBuf,
    config: Value,
}

/// Daemons with gates between them, and the boxes and origin that they share.
pub struct Fleet {
    members: Vec<Member>,
    /// Further machines that a promise waits for; none: no copies are made.
    copies: Option<usize>,
    within_ms: Option<u64>,
    budgets: Value,
    machine: Option<String>,
    planted: String,
    exact_purges: Option<usize>,
    /// The gates, to set the weather.
    pub gates: Gates,
    /// The boxes.
    pub boxes: Vec<StandIn>,
    /// The origin.
    pub origin: StandIn,
    folder: PathBuf,
}

/// Free ports of the loopback, for daemons that bind them later and again after a restart. They lie below those that the
/// system gives to whoever asks for any, so that no other socket takes one meanwhile; each process begins at another
/// and none is given twice.
pub(crate) fn free_ports(n: usize) -> io::Result<Vec<SocketAddr>> {
    const FIRST: u32 = 12_000;
    const PORTS: u32 = 20_000;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let begin = std::process::id().wrapping_mul(611) % PORTS;
    let mut found = Vec::new();
    for _ in 0..PORTS {
        if found.len() == n {
            break;
        }
        let port = FIRST + (begin + NEXT.fetch_add(1, Ordering::Relaxed)) % PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if UdpSocket::bind(address).is_ok() {
            found.push(address);
        }
    }
    if found.len() < n {
        return Err(io::Error::other(format!(
            "{n} free ports were wanted and {} found",
            found.len()
        )));
    }
    Ok(found)
}

/// A neighbour tells a proxy, by its second front, to purge a photo: the status of its answer.
pub fn purge_at(cdni: SocketAddr, object: &str) -> io::Result<u16> {
    Ok(trigger_at(cdni, &[object])?.status)
}

/// A neighbour tells a proxy, by its second front, to purge photos: its answer.
pub fn trigger_at(cdni: SocketAddr, objects: &[&str]) -> io::Result<Answer> {
    let urls: Vec<String> = objects
        .iter()
        .map(|o| format!("http://cdn.example/content/photo/{o}"))
        .collect();
    let command =
        json!({"trigger": {"type": "purge", "content.urls": urls}, "cdn-path": ["AS64501:0"]});
    call(cdni, "POST", "/cdni/triggers", &command.to_string())
}

/// The path of the status that an answer to a trigger names; none where it made no trigger.
pub fn status_path(answer: &Answer) -> Option<String> {
    let location = answer.header("location").filter(|_| answer.status == 201)?;
    location
        .strip_prefix("http://cdn.example")
        .map(str::to_owned)
}

impl Fleet {
    /// Starts so many daemons, each on a machine of its own; the seed draws what their gates do. They copy what neighbours
    /// told, with promises that wait for so many further machines, or do not.
    pub fn start(
        daemon: &Path,
        proxies: usize,
        seed: u64,
        copies: Option<usize>,
    ) -> io::Result<Self> {
        Self::with(Setup {
            wait: copies,
            ..Setup::copying(daemon, proxies, seed)
        })
    }

    /// Starts a fleet.
    pub fn with(setup: Setup<'_>) -> io::Result<Self> {
        let Setup {
            daemon,
            running,
            later,
            seed,
            wait: copies,
            within_ms,
            machine,
            budgets,
            deadline_us,
            planted,
            exact_purges,
        } = setup;
        let mut settings = settings();
        if let Some(deadline_us) = deadline_us {
            let classes = settings["categories"].as_array_mut().into_iter().flatten();
            classes.for_each(|class| class["deadline-us"] = deadline_us.into());
        }
        let names = (0..running)
            .map(|n| format!("p{n}"))
            .chain(later.iter().map(|name| (*name).to_owned()));
        let names: Vec<String> = names.collect();
        let proxies = names.len();
        static FLEETS: AtomicU64 = AtomicU64::new(0);
        let n = FLEETS.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("linnetknot-membership-{}-{n}", std::process::id()));
        let boxes = ["s-0a", "s-0b"]
            .into_iter()
            .map(StandIn::start)
            .collect::<io::Result<Vec<_>>>()?;
        let origin = StandIn::start("s-0f")?;
        let mut targets: Vec<Value> = boxes
            .iter()
            .map(|b| entry(b, "here", "box", "ready"))
            .collect();
        targets.push(entry(&origin, "hub", "origin", "ready"));
        let ports = free_ports(proxies)?;
        let gates = Gates::between(&ports, seed)?;
        let mut members = Vec::new();
        for (n, own) in ports.iter().enumerate() {
            let bus = Bus::start()?;
            let disk = folder.join(format!("machine-{n}"));
            let peer = |p: usize| gates.address((n, p)).unwrap_or(*own).to_string();
            let known = json!({"offset": 0, "batch": [{"offset": 0, "topology": {"rev": 1, "all": true, "targets": targets}}]});
            let config = json!({
                "name": names[n], "listen": "127.0.0.1:0", "bus": bus.address.to_string(), "known": known,
                "seed": format!("{:x}", seed * 64 + n as u64 + 1), "settings": settings,
                "limits": {"memory_mb": 192, "sockets": 256}, "ops": "127.0.0.1:0",
                "peer_listen": own.to_string(), "peers": (0..proxies).map(peer).collect::<Value>(),
            });
            members.push(Member {
                name: names[n].clone(),
                daemon: daemon.to_owned(),
                process: None,
                _bus: bus,
                disk,
                config,
            });
        }
        let mut fleet = Fleet {
            copies,
            within_ms,
            budgets,
            machine: machine.map(str::to_owned),
            planted: planted.to_owned(),
            exact_purges,
            members,
            gates,
            boxes,
            origin,
            folder,
        };
        (0..running).try_for_each(|n| fleet.begin(n, ""))?;
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
        let points = format!("{};{points}", self.planted);
        let started = Process::start_armed(&m.daemon, &m.disk, &m.name, (&m.config, &own), &points);
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

    /// A proxy stands still: its process runs no more until it goes on, and knows nothing of it.
    pub fn stall(&self, n: usize) -> io::Result<()> {
        self.signal(n, Signal::STOP)
    }

    /// A proxy goes on where it stood still.
    pub fn go_on(&self, n: usize) -> io::Result<()> {
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
        self.restart_armed(n, disk, "")
    }

    /// Starts a proxy with another program from its next start on, as an upgrade does.
    pub fn set_daemon(&mut self, n: usize, daemon: &Path) {
        self.members[n].daemon = daemon.to_owned();
    }

    /// As `restart`, with points armed (`Process::start_armed`).
    pub fn restart_armed(&mut self, n: usize, disk: Disk, points: &str) -> io::Result<()> {
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

    /// What a proxy tells operators of what all spend together.
    pub fn budgets(&self, n: usize) -> io::Result<budgets::Status> {
        ask_budgets(self.process(n)?.admin)
    }

    /// The file in which a proxy keeps what neighbours told.
    pub fn store(&self, n: usize) -> PathBuf {
        self.members[n].disk.join("purges")
    }

    /// An operator's call at a proxy's admin listener: the status of its answer.
    pub fn operate(&self, n: usize, method: &str, path: &str) -> io::Result<u16> {
        Ok(call(self.process(n)?.admin, method, path, "")?.status)
    }

    /// What a proxy tells operators of its copies.
    pub fn status(&self, n: usize) -> io::Result<Status> {
        ask_status(self.process(n)?.admin)
    }

    /// Whether all proxies that run have the same entries, all of them on their disks and none short of copies.
    pub fn agrees(&self) -> io::Result<bool> {
        let runs = (0..self.members.len()).filter(|n| self.members[*n].process.is_some());
        let all = runs
            .map(|n| self.status(n))
            .collect::<io::Result<Vec<_>>>()?;
        let settled = |s: &Status| {
            s.short == 0 && s.waiting == 0 && s.logs.iter().all(|l| l.end == l.on_disk)
        };
        Ok(all
            .iter()
            .all(|s| settled(s) && s.digest == all[0].digest && s.entries == all[0].entries))
    }

    /// Asks a proxy for a photo.
    pub fn ask(&self, n: usize, object: &str) -> io::Result<Answer> {
        let mut web = WebServer::connect(self.process(n)?.front)?;
        web.ask(1, "photo", object, 2500)?;
        web.end()?
            .1
            .ok_or_else(|| io::Error::other("it was aborted"))
    }

    /// A neighbour tells one proxy to purge a photo: the status of its answer.
    pub fn purge(&self, n: usize, object: &str) -> io::Result<u16> {
        purge_at(self.process(n)?.cdni, object)
    }

    /// A neighbour tells one proxy to purge photos: its answer.
    pub fn trigger(&self, n: usize, objects: &[&str]) -> io::Result<Answer> {
        trigger_at(self.process(n)?.cdni, objects)
    }

    /// A neighbour asks a proxy of a path: its answer.
    pub fn neighbour(&self, n: usize, method: &str, path: &str) -> io::Result<Answer> {
        call(self.process(n)?.cdni, method, path, "")
    }

    /// The triggers that a proxy lists, by the paths of their status.
    pub fn triggers(&self, n: usize) -> io::Result<BTreeSet<String>> {
        let answer = self.neighbour(n, "GET", "/cdni/triggers")?;
        let list: Value = serde_json::from_slice(&answer.body).map_err(io::Error::other)?;
        let urls = list["triggers"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(Value::as_str);
        Ok(urls
            .filter_map(|url| Some(url.strip_prefix("http://cdn.example")?.to_owned()))
            .collect())
    }

    /// Whether a proxy holds a floor for a photo: it asks its box for no copy older than something. What it serves
    /// tells less, as the boxes are shared: one proxy that holds a floor has the box fetch anew for all.
    pub fn holds_floor(&self, n: usize, object: &str) -> io::Result<bool> {
        let before: Vec<usize> = self.boxes.iter().map(|b| b.arrivals().len()).collect();
        self.ask(n, object)?;
        let mut new = self
            .boxes
            .iter()
            .zip(before)
            .flat_map(|(b, before)| b.arrivals().split_off(before));
        let asked = new.rfind(|a| a.field("key") == Some(object));
        let asked = asked.ok_or_else(|| io::Error::other(format!("p{n} asked no box")))?;
        Ok(asked.field("maxage").is_some())
    }

    /// Waits until a proxy holds a floor for a photo, or patience ends: whether it does.
    pub fn hears(&self, n: usize, object: &str) -> io::Result<bool> {
        let start = Instant::now();
        while start.elapsed() < PATIENCE {
            if self.holds_floor(n, object)? {
                return Ok(true);
            }
        }
        Ok(false)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.members.iter_mut().for_each(|m| m.process = None);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
