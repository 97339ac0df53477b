//! Runs two programs alternately on the same files: the store, the operators' state and the cached list of caches. Each must
//! find the data of all previous runs, and adds to it.

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
/// The number of triggers in each run.
const TRIGGERS: u64 = 24;
const OBJECTS: u64 = 2;
/// The number of purges that a replicating proxy stores exactly. It is below the number of all purges, so that the store
/// uses the second format.
const EXACT_PURGES: usize = 32;
/// The time limit for commits, long enough for a busy disk.
const COMMIT_TIMEOUT_MS: u64 = 3_000;
/// The number of requests that show which caches are used.
const REQUESTS: u64 = 60;
/// The time for which a process that is out of service is observed.
const DRAIN_WATCH: Duration = Duration::from_millis(1_500);
/// The first of the objects that are never purged.
const FIRST_UNPURGED: u64 = 1 << 40;

/// The way in which a run ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stop {
    /// SIGKILL.
    Kill,
    /// SIGTERM.
    Terminate,
}

/// The files, the environment of the process, and the expected content of the files.
pub(crate) struct Trial {
    is_replicating: bool,
    stop: Stop,
    folder: PathBuf,
    _bus: Bus,
    agent: Agent,
    caches: [FakeCache; 3],
    config: Value,
    operator_config: Value,
    /// The body of the status of each accepted trigger, by its path.
    statuses: BTreeMap<String, Vec<u8>>,
    /// The purged objects.
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

fn call_admin(process: &Process, method: &str, path: &str) -> io::Result<u16> {
    Ok(call(process.admin, method, path, "")?.status)
}

fn is_ready(process: &Process) -> bool {
    call_admin(process, "GET", "/control/ready").is_ok_and(|status| status == 200)
}

/// Requests a photo and returns the status of the answer.
fn ask(process: &Process, object: &str) -> io::Result<u16> {
    let mut client = WebServer::connect(process.front)?;
    client.ask(1, "photo", object, 2_500)?;
    Ok(client.end()?.1.map_or(0, |answer| answer.status))
}

impl Trial {
    /// Creates an empty folder and an agent that lists three caches, the last of which is critical.
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
        let mut operator_config = json!({
            "cdni": {"listen": "127.0.0.1:0", "provider": "AS64500:0", "base": BASE,
                "footprint": ["127.0.0.0/8"], "purges": folder.join("purges").display().to_string()},
            "consul": {"address": agent.address.to_string(), "answer_ms": 500, "wait_s": 1},
            "state": {"directory": folder.join("lists").display().to_string()},
            "peers": {"copies": is_replicating},
        });
        operator_config["copies"] =
            json!({"wait": 0, "within_ms": COMMIT_TIMEOUT_MS, "machine": "machine-0"});
        if is_replicating {
            operator_config["copies"]["exact_purges"] = EXACT_PURGES.into();
        }
        Ok(Trial {
            is_replicating,
            stop,
            folder,
            _bus: bus,
            agent,
            caches,
            config,
            operator_config,
            statuses: BTreeMap::new(),
            purged: Vec::new(),
        })
    }

    /// Runs the programs in this order.
    pub(crate) fn run(mut self, order: &[Program<'_>], checks: &mut Checks) -> io::Result<()> {
        let labels: Vec<&str> = order.iter().map(|program| program.label).collect();
        println!(
            "same files: {}; replication {}, each run ended by {:?}",
            labels.join(", "),
            if self.is_replicating { "on" } else { "off" },
            self.stop
        );
        for (turn, program) in order.iter().enumerate() {
            println!(" run {turn}, the {} program", program.label);
            // The first run gets the list from the agent. Later ones have only the cached list.
            let manner = if turn == 0 {
                Behaviour::Normal
            } else {
                Behaviour::Unavailable
            };
            self.agent.set_behaviour(manner);
            let process = Process::start(
                program.path,
                &self.folder,
                "p0",
                &self.config,
                &self.operator_config,
            )?;
            if turn == 0 {
                self.begin(&process, checks)?;
            } else {
                self.check_all(&process, checks)?;
            }
            self.add_triggers(&process, turn as u64, checks)?;
            self.ban_and_drain(&process, checks)?;
            self.end(process)?;
        }
        Ok(())
    }

    /// Checks in the first run that the list comes from the agent and that all ready caches are used.
    fn begin(&self, process: &Process, checks: &mut Checks) -> io::Result<()> {
        let statuses = ["passing", "passing", "critical"];
        let listed = self.caches.iter().zip(statuses);
        let listed: Vec<Value> = listed
            .map(|(cache, status)| instance(cache.uid, cache.address, status))
            .collect();
        self.agent.register(&listed);
        let is_read = self.agent.wait_until_read() && poll_until(TIMEOUT, || is_ready(process));
        checks.check("it is ready with the agent's list", is_read, || {
            is_read.to_string()
        });
        let requests_by_cache = self.requests_by_cache(process)?;
        let is_expected =
            requests_by_cache[0] > 0 && requests_by_cache[1] > 0 && requests_by_cache[2] == 0;
        checks.check("caches used before the ban", is_expected, || {
            format!("{requests_by_cache:?}")
        });
        let file = self.folder.join("lists").join("boxes-0.list");
        let is_written = poll_until(TIMEOUT, || {
            fs::read_to_string(&file).is_ok_and(|text| {
                self.caches
                    .iter()
                    .all(|c| text.contains(&c.address.to_string()))
            })
        });
        checks.check("the list is on the disk", is_written, || {
            file.display().to_string()
        });
        Ok(())
    }

    /// Checks that the drain, the list, the ban, the statuses and the purges of previous runs are in effect.
    fn check_all(&self, process: &Process, checks: &mut Checks) -> io::Result<()> {
        let came_up = poll_until(DRAIN_WATCH, || is_ready(process));
        checks.check("the drain is still in effect", !came_up, || {
            format!("ready within {} ms: {came_up}", DRAIN_WATCH.as_millis())
        });
        let status = call_admin(process, "POST", "/control/in-service")?;
        let is_back = status == 200 && poll_until(TIMEOUT, || is_ready(process));
        checks.check("it is ready once in service", is_back, || {
            format!("the call was answered {status}")
        });
        let requests_by_cache = self.requests_by_cache(process)?;
        let is_expected =
            requests_by_cache[0] == 0 && requests_by_cache[1] > 0 && requests_by_cache[2] == 0;
        checks.check(
            "the banned and the critical cache of the cached list get no requests",
            is_expected,
            || format!("{requests_by_cache:?}"),
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
        checks.check(
            "statuses are unchanged, byte for byte",
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
        checks.check(
            "requests exclude copies older than their purge",
            missing.is_empty() && !self.purged.is_empty(),
            || format!("{} objects, missed {missing:?}", self.purged.len()),
        );
        let has_unpurged_floor = self.has_floor(process, &object(FIRST_UNPURGED))?;
        checks.check(
            "an object that was never purged has no age limit",
            !has_unpurged_floor,
            || has_unpurged_floor.to_string(),
        );
        Ok(())
    }

    /// Returns the number of requests that reach each cache.
    fn requests_by_cache(&self, process: &Process) -> io::Result<[usize; 3]> {
        let count = || [0, 1, 2].map(|n: usize| self.caches[n].arrivals().len());
        let before = count();
        for n in 0..REQUESTS {
            ask(process, &object(FIRST_UNPURGED + 1 + n))?;
        }
        let after = count();
        Ok([0, 1, 2].map(|n| after[n] - before[n]))
    }

    /// Returns whether a request to a cache for this photo limits the age of the copy.
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

    /// Sends triggers for new objects as a peer CDN and reads their statuses.
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
        // A status may still change shortly after its trigger.
        thread::sleep(Duration::from_millis(500));
        for (path, body) in &mut self.statuses {
            *body = call(process.cdni, "GET", path, "")?.body;
        }
        checks.check("new triggers are answered 201", refused == 0, || {
            format!("{} of {TRIGGERS}", TRIGGERS - refused)
        });
        Ok(())
    }

    /// Bans the first cache and takes the process out of service, as an operator.
    fn ban_and_drain(&self, process: &Process, checks: &mut Checks) -> io::Result<()> {
        let ban = call_admin(process, "POST", "/control/pop-caches/s-0a/offline")?;
        let drain = call_admin(process, "POST", "/control/out-of-service")?;
        checks.check(
            "ban and drain are accepted",
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
        // Dropping the process kills it.
        Ok(())
    }
}
