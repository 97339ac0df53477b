//! Two programs in turn on the same files: the store, the operators' state and the cached list of caches. Each finds what
//! all before it wrote, and adds to it.

use crate::checks::Checks;
use crate::Program;
use linnetknot_harness::clients::{call, poll_until, WebServer, TIMEOUT};
use linnetknot_harness::fakes::cache::FakeCache;
use linnetknot_harness::fakes::consul::{instance, Agent, Behaviour};
use linnetknot_harness::fakes::event_bus::Bus;
use linnetknot_harness::fleet::{status_path, trigger_at};
use linnetknot_harness::process::Process;
use linnetknot_harness::settings;
use rustix::process::Signal;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use std::{env, fs, io, thread};

const BASE: &str = "http://cdn.example";
/// Triggers of each program's turn, and the objects of each.
const TRIGGERS: u64 = 24;
const OBJECTS: u64 = 2;
/// Purges that a replicating proxy holds one by one: fewer than are told, so that its store has the second format.
const EXACT_PURGES: usize = 32;
/// How long a promise may wait, so that a busy disk refuses none.
const WITHIN_MS: u64 = 3_000;
/// Requests by which it is seen which caches are used.
const REQUESTS: u64 = 60;
/// A process that is out of service is watched for so long.
const DRAIN_WATCH: Duration = Duration::from_millis(1_500);
/// Never purged.
const UNTOUCHED: u64 = 1 << 40;

/// How a program's turn ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stop {
    /// SIGKILL.
    Kill,
    /// SIGTERM.
    Terminate,
}

/// The files, what stands around the process, and what the files have to tell.
pub(crate) struct Trial {
    is_replicating: bool,
    stop: Stop,
    folder: PathBuf,
    _bus: Bus,
    agent: Agent,
    caches: [FakeCache; 3],
    config: Value,
    own: Value,
    /// The status of each trigger that was answered 201, by its path.
    statuses: BTreeMap<String, Vec<u8>>,
    /// The objects that were purged.
    purged: Vec<String>,
}

impl Drop for Trial {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn object(n: u64) -> String {
    format!("{n:016x}")
}

fn operate(process: &Process, method: &str, path: &str) -> io::Result<u16> {
    Ok(call(process.admin, method, path, "")?.status)
}

fn is_ready(process: &Process) -> bool {
    operate(process, "GET", "/control/ready").is_ok_and(|status| status == 200)
}

/// Asks for a photo, and gives the status of the answer.
fn ask(process: &Process, object: &str) -> io::Result<u16> {
    let mut client = WebServer::connect(process.front)?;
    client.ask(1, "photo", object, 2_500)?;
    Ok(client.end()?.1.map_or(0, |answer| answer.status))
}

impl Trial {
    /// An empty folder, an agent that lists three caches, the last of them critical, and no process yet.
    pub(crate) fn start(is_replicating: bool, stop: Stop) -> io::Result<Self> {
        static TRIALS: AtomicU64 = AtomicU64::new(0);
        let n = TRIALS.fetch_add(1, Ordering::Relaxed);
        let folder = env::temp_dir().join(format!("linnetknot-upgrade-{}-{n}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let (bus, agent) = (Bus::start()?, Agent::start()?);
        let caches = [
            FakeCache::start("s-0a")?,
            FakeCache::start("s-0b")?,
            FakeCache::start("s-0c")?,
        ];
        let peer: SocketAddr = UdpSocket::bind("127.0.0.1:0")?.local_addr()?;
        let config = json!({
            "name": "p0", "listen": "127.0.0.1:0", "bus": bus.address.to_string(), "known": null,
            "seed": "1f", "settings": settings(), "limits": {"memory_mb": 192, "sockets": 256},
            "ops": "127.0.0.1:0", "peer_listen": peer.to_string(), "peers": [peer.to_string()],
        });
        let mut own = json!({
            "cdni": {"listen": "127.0.0.1:0", "provider": "AS64500:0", "base": BASE,
                "footprint": ["127.0.0.0/8"], "purges": folder.join("purges").display().to_string()},
            "consul": {"address": agent.address.to_string(), "answer_ms": 500, "wait_s": 1},
            "state": {"directory": folder.join("lists").display().to_string()},
            "peers": {"copies": is_replicating},
        });
        own["copies"] = json!({"wait": 0, "within_ms": WITHIN_MS, "machine": "machine-0"});
        if is_replicating {
            own["copies"]["exact_purges"] = EXACT_PURGES.into();
        }
        Ok(Trial {
            is_replicating,
            stop,
            folder,
            _bus: bus,
            agent,
            caches,
            config,
            own,
            statuses: BTreeMap::new(),
            purged: Vec::new(),
        })
    }

    /// Each program has its turn on the files.
    pub(crate) fn run(mut self, order: &[Program<'_>], checks: &mut Checks) -> io::Result<()> {
        let labels: Vec<&str> = order.iter().map(|program| program.label).collect();
        println!(
            "same files: {}; replication {}, each turn ended by {:?}",
            labels.join(", "),
            if self.is_replicating { "on" } else { "off" },
            self.stop
        );
        for (turn, program) in order.iter().enumerate() {
            println!(" turn {turn}, the {} program", program.label);
            // The first learns the list from the agent. The others have the cached one only.
            let manner = if turn == 0 {
                Behaviour::Normal
            } else {
                Behaviour::Unavailable
            };
            self.agent.set_behaviour(manner);
            let process =
                Process::start(program.path, &self.folder, "p0", &self.config, &self.own)?;
            if turn == 0 {
                self.begin(&process, checks)?;
            } else {
                self.check_all(&process, checks)?;
            }
            self.add_triggers(&process, turn as u64, checks)?;
            self.decide(&process, checks)?;
            self.end(process)?;
        }
        Ok(())
    }

    /// The first turn: the list comes from the agent, and all caches that are ready are used.
    fn begin(&self, process: &Process, checks: &mut Checks) -> io::Result<()> {
        let statuses = ["passing", "passing", "critical"];
        let listed = self.caches.iter().zip(statuses);
        let listed: Vec<Value> = listed
            .map(|(cache, status)| instance(cache.uid, cache.address, status))
            .collect();
        self.agent.register(&listed);
        let is_read = self.agent.wait_until_read() && poll_until(TIMEOUT, || is_ready(process));
        checks.that("it is ready with the agent's list", is_read, || {
            is_read.to_string()
        });
        let used = self.used(process)?;
        let is_expected = used[0] > 0 && used[1] > 0 && used[2] == 0;
        checks.that("caches used before the ban", is_expected, || {
            format!("{used:?}")
        });
        let file = self.folder.join("lists").join("boxes-0.list");
        let is_written = poll_until(TIMEOUT, || {
            fs::read_to_string(&file).is_ok_and(|text| {
                self.caches
                    .iter()
                    .all(|c| text.contains(&c.address.to_string()))
            })
        });
        checks.that("the list is on the disk", is_written, || {
            file.display().to_string()
        });
        Ok(())
    }

    /// What the turns before wrote is found: drain, list, ban, statuses and purges.
    fn check_all(&self, process: &Process, checks: &mut Checks) -> io::Result<()> {
        let came_up = poll_until(DRAIN_WATCH, || is_ready(process));
        checks.that("the drain is kept", !came_up, || {
            format!("ready within {} ms: {came_up}", DRAIN_WATCH.as_millis())
        });
        let status = operate(process, "POST", "/control/in-service")?;
        let is_back = status == 200 && poll_until(TIMEOUT, || is_ready(process));
        checks.that("it is ready once in service", is_back, || {
            format!("the call was answered {status}")
        });
        let used = self.used(process)?;
        let is_expected = used[0] == 0 && used[1] > 0 && used[2] == 0;
        checks.that(
            "of the cached list the banned and the draining cache get nothing",
            is_expected,
            || format!("{used:?}"),
        );
        self.check_statuses(process, checks)?;
        self.check_floors(process, checks)
    }

    fn check_statuses(&self, process: &Process, checks: &mut Checks) -> io::Result<()> {
        let mut missing = Vec::new();
        for (path, expected) in &self.statuses {
            let answer = call(process.cdni, "GET", path, "")?;
            if answer.status != 200 || answer.body != *expected {
                missing.push((path, answer.status));
            }
        }
        checks.that(
            "statuses are told as before, byte for byte",
            missing.is_empty() && !self.statuses.is_empty(),
            || format!("{} of them, missed {missing:?}", self.statuses.len()),
        );
        Ok(())
    }

    fn check_floors(&self, process: &Process, checks: &mut Checks) -> io::Result<()> {
        let mut missing = Vec::new();
        for object in &self.purged {
            if !self.has_floor(process, object)? {
                missing.push(object);
            }
        }
        checks.that(
            "no copy older than its purge is asked for",
            missing.is_empty() && !self.purged.is_empty(),
            || format!("{} objects, missed {missing:?}", self.purged.len()),
        );
        let untouched = self.has_floor(process, &object(UNTOUCHED))?;
        checks.that("what was never purged has no floor", !untouched, || {
            untouched.to_string()
        });
        Ok(())
    }

    /// How many requests each cache gets.
    fn used(&self, process: &Process) -> io::Result<[usize; 3]> {
        let count = || [0, 1, 2].map(|n: usize| self.caches[n].arrivals().len());
        let before = count();
        for n in 0..REQUESTS {
            ask(process, &object(UNTOUCHED + 1 + n))?;
        }
        let after = count();
        Ok([0, 1, 2].map(|n| after[n] - before[n]))
    }

    /// Whether a cache is asked for no copy of a photo that is older than something.
    fn has_floor(&self, process: &Process, object: &str) -> io::Result<bool> {
        let before = [0, 1, 2].map(|n: usize| self.caches[n].arrivals().len());
        ask(process, object)?;
        let mut arrivals = self
            .caches
            .iter()
            .zip(before)
            .flat_map(|(cache, before)| cache.arrivals().split_off(before));
        let request = arrivals.find(|a| a.field("key") == Some(object));
        let request = request.ok_or_else(|| io::Error::other("no cache was asked"))?;
        Ok(request.field("maxage").is_some())
    }

    /// A neighbour tells triggers, each of them new objects, and reads their statuses.
    fn add_triggers(
        &mut self,
        process: &Process,
        turn: u64,
        checks: &mut Checks,
    ) -> io::Result<()> {
        let mut refused = 0;
        for trigger in 0..TRIGGERS {
            let first = (turn * TRIGGERS + trigger) * OBJECTS;
            let names: Vec<String> = (first..first + OBJECTS).map(object).collect();
            let names_of: Vec<&str> = names.iter().map(String::as_str).collect();
            match status_path(&trigger_at(process.cdni, &names_of)?) {
                Some(path) => {
                    self.statuses.insert(path, Vec::new());
                    self.purged.extend(names);
                }
                None => refused += 1,
            }
        }
        // What a status says settles within moments of its trigger.
        thread::sleep(Duration::from_millis(500));
        for (path, body) in &mut self.statuses {
            *body = call(process.cdni, "GET", path, "")?.body;
        }
        checks.that("new triggers are answered 201", refused == 0, || {
            format!("{} of {TRIGGERS}", TRIGGERS - refused)
        });
        Ok(())
    }

    /// An operator bans the first cache and takes the process out of service.
    fn decide(&self, process: &Process, checks: &mut Checks) -> io::Result<()> {
        let ban = operate(process, "POST", "/control/pop-caches/s-0a/offline")?;
        let drain = operate(process, "POST", "/control/out-of-service")?;
        checks.that(
            "ban and drain are taken",
            (ban, drain) == (200, 200),
            || format!("{ban}, {drain}"),
        );
        Ok(())
    }

    fn end(&self, mut process: Process) -> io::Result<()> {
        if self.stop == Stop::Terminate {
            process.signal(Signal::TERM)?;
            let status = process.child.wait()?;
            if !status.success() {
                return Err(io::Error::other(format!("it ended with {status}")));
            }
        }
        // Dropped, it is killed.
        Ok(())
    }
}
