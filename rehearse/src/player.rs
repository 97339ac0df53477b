//! Plays a scenario's plan against real daemons and a served world, and judges the record that remains.

use crate::bus::Bus;
use crate::clients::WebServer;
use crate::fleet::free_ports;
use crate::gates::Gates;
use crate::latency::{waits, Waits};
use crate::load::{group, plan, Arrival, Plan};
use crate::process::Process;
use crate::record::{Answered, Asked, Class, Cold, Final, Limits, Micros, Record, Repeat, Told, Word};
use crate::rules::{judge, Breach};
use crate::scenario::{NodeForm, Scenario};
use crate::score::{score, Score};
use crate::stand_ins::served::{made_of, unix_us, Knows, Served};
use crate::stand_ins::world::{Figures, Kind, Site, World};
use crate::timetable::{box_uid, timetable, Step};
use rustix::process::Signal;
use serde_json::{json, Value};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// What a rehearsal came to.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// Requests sent, retries with them.
    pub asked: usize,
    /// How much later than planned requests were sent, p99 and most, in microseconds.
    pub lag_us: (Micros, Micros),
    /// The score.
    pub score: Score,
    /// How long clients waited, by class.
    pub waits: Vec<Waits>,
    /// The rules that were broken.
    pub breaches: Vec<Breach>,
    /// Writes that ran, and those among them that ran under a key that had run before.
    pub writes: (u64, u64),
    /// Requests of the plan that no proxy took: all were down, or the connection broke as it was written.
    pub unsent: usize,
    /// Where it was ended by hand: after so many seconds of its load.
    pub interrupted: Option<f64>,
}

impl Outcome {
    /// Whether it has seen anything, or why not: a rehearsal that could not see must not pass for a good one.
    pub fn has_seen(&self) -> Result<(), String> {
        if self.score.whole.score().is_none() {
            return Err("nothing was asked".into());
        }
        if self.score.whole.unanswered >= self.score.whole.asked {
            return Err("nothing was answered".into());
        }
        if self.lag_us.0 > MOST_LAG_US {
            return Err(format!("the load came {} ms late (p99)", self.lag_us.0 / 1000));
        }
        Ok(())
    }
}

/// A load generator that is later than this has measured itself.
pub const MOST_LAG_US: Micros = 50_000;
const RETRIES: u32 = 2;
/// What the proxies are told of cold boxes, and what the stand-ins do: a share at the start, warm after a time, and
/// over by a multiple of what they can do for a while.
const COLD_SHARE: f64 = 0.15;
const RAMP_US: Micros = 13_000_000;
const FALL_MULTIPLE: f64 = 2.5;
const TIP_AFTER_US: Micros = 3_000_000;
/// A connection is given up by its client before the proxy does so.
const IDLE: Duration = Duration::from_secs(3);

fn settings(scenario: &Scenario) -> Value {
    let classes = &scenario.load.classes;
    let category = |c: &crate::scenario::ClassLoad| {
        let aim_ms = if c.keyed { 700 } else { 300 };
        json!({"name": c.name, "aim-us": aim_ms * 1000, "aim-stretch": 2.0, "deadline-us": c.budget_ms * 1000,
            "repeat": if c.keyed { "token" } else { "pure" }, "dedup-scope": "all", "window-us": 3_000_000,
            "worth": if c.keyed { 3.0 } else { 1.0 }, "late-worth": 0.1})
    };
    let each = |of: &dyn Fn(&crate::scenario::ClassLoad) -> Value| classes.iter().map(of).collect::<Value>();
    json!({
        "categories": classes.iter().map(category).collect::<Value>(),
        "family-info": {
            "in-pieces": each(&|c| (c.parts.1 > 1).into()), "never-kept": each(&|c| c.keyed.into()),
            "good-for-us": each(&|c| fresh_us(scenario, c).into()), "may-pass-by": true, "can-join": true, "mid-kind": 2,
            "source-kind": 1, "seats-by-zone": [0, scenario.proxies], "attached-to": [0, 0],
            "one-flow-kb-per-s": scenario.site.flow_kb_per_s, "purge-takes-us": ms(scenario.site.purge_takes_ms), "purge-slack-us": 300_000,
            "note-level": "all",
        },
        "kinds": ["box", "origin", "hub"], "localities": ["hub", "here"], "zone": "here", "weights": "rough",
        "limits": {"try-limit": 6, "cancel": true, "retry-after": true, "max-retry-after-us": 2_000_000},
        "rules": {"drain-grace-us": 1_000_000, "cold-share": COLD_SHARE, "ramp-time-us": RAMP_US,
            "fall-multiple": FALL_MULTIPLE, "tip-after-us": TIP_AFTER_US},
    })
}

fn fresh_us(scenario: &Scenario, c: &crate::scenario::ClassLoad) -> Micros {
    if c.keyed || c.parts.1 > 1 {
        0
    } else {
        ms(scenario.site.photo_fresh_ms)
    }
}

fn ms(ms: f64) -> Micros {
    (ms * 1e3) as Micros
}

fn figures(node: &NodeForm) -> Figures {
    Figures {
        slots: node.slots as usize,
        waiting: node.waiting as usize,
        capacity: node.capacity,
        memory_kb: node.memory_kb,
        fills: node.fills as usize,
        fill_timeout_us: node.fill_timeout_ms * 1000,
    }
}

/// A box started anew during the play: cold by the rules that the proxies are given.
fn cold(uid: &str, at: Micros, capacity: f64) -> Cold {
    Cold {
        uid: uid.to_owned(),
        at,
        capacity,
        share: COLD_SHARE,
        warm_us: RAMP_US,
        multiple: FALL_MULTIPLE,
        fall_us: TIP_AFTER_US,
    }
}

/// The nodes of a rehearsal as its site has them: boxes for each proxy, hub caches and an origin.
pub fn world(scenario: &Scenario) -> (World, Vec<(String, &'static str, &'static str, f64)>) {
    let form = &scenario.site;
    let boxes = form.boxes(scenario.proxies);
    let site = Site {
        link: form.link_per_box * boxes as f64,
        fill_pace: form.fill_pace,
        near_us: ms(form.near_ms),
        far_us: ms(form.far_ms),
        origin_us: ms(form.origin_ms),
        key_us: ms(form.key_ms),
        purge_takes_us: ms(form.purge_takes_ms),
        late_fills: form.late_fills,
    };
    let mut world = World::new(site);
    let mut nodes = Vec::new();
    let uids = (0..boxes as u32).map(|n| (box_uid(n), Kind::Box, "here", "box", &form.edge_box));
    let hubs = (0..form.hubs).map(|n| (format!("h-{n:08x}"), Kind::Hub, "hub", "hub", &form.hub));
    let origin = std::iter::once(("o-00000000".to_owned(), Kind::Origin, "hub", "origin", &form.origin));
    for (uid, kind, zone, model, node) in uids.chain(hubs).chain(origin) {
        world.start(&uid, kind, figures(node), None);
        nodes.push((uid, zone, model, node.capacity));
    }
    (world, nodes)
}

/// A try that is to be sent.
#[derive(Clone)]
struct Try {
    arrival: Arrival,
    first: String,
    number: u32,
}

/// What the readers of answers share with who sends.
struct Clients {
    record: Mutex<(Vec<Answered>, HashMap<String, Try>)>,
    again: Sender<(Micros, Try)>,
}

struct Connection {
    writer: TcpStream,
    /// Ids of what is open on it, by its number there.
    open: Arc<Mutex<HashMap<u16, String>>>,
    used: Instant,
}

impl Clients {
    /// Reads the answers of one connection until it ends.
    fn read(&self, mut web: WebServer, open: &Mutex<HashMap<u16, String>>) {
        loop {
            let ended = match web.end() {
                Ok((number, answer)) => (number, answer),
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                    if open.lock().unwrap_or_else(PoisonError::into_inner).is_empty() {
                        return;
                    }
                    continue;
                }
                Err(_) => return,
            };
            let at = unix_us();
            let Some(id) = open.lock().unwrap_or_else(PoisonError::into_inner).remove(&ended.0) else {
                continue;
            };
            let Some(answer) = ended.1 else { continue };
            let mut record = self.record.lock().unwrap_or_else(PoisonError::into_inner);
            let Some(of) = record.1.get(&id).cloned() else { continue };
            let part = (of.arrival.object, of.arrival.part);
            let wait_ms = answer.header("back-off-ms").and_then(|v| v.parse::<u64>().ok());
            let answer = match answer.status {
                200 => {
                    let made = made_of(part, &answer.body);
                    Final::Served { made: made.map(|ms| ms * 1000 + 999), whole: made.is_some() }
                }
                429 | 503 => Final::Refused { advised: wait_ms.is_some() },
                _ => Final::Failed,
            };
            record.0.push(Answered { id, at, answer });
            drop(record);
            if matches!(answer, Final::Refused { .. }) && of.number < RETRIES {
                let again = Try { number: of.number + 1, ..of };
                let _ = self.again.send((at + wait_ms.unwrap_or(200) * 1000, again));
            }
        }
    }
}

/// Sends what is planned, and what is tried again, when its time comes.
struct Pacer {
    scenario: Scenario,
    fronts: Vec<SocketAddr>,
    proxies: Proxies,
    /// Requests that no proxy took: all were down, or the connection broke as it was written.
    unsent: usize,
    /// What was open at a killed proxy is owed no more; false only to plant a fault.
    release_killed: bool,
    clients: Arc<Clients>,
    connections: Vec<Vec<Connection>>,
    asked: Vec<Asked>,
    lags: Vec<Micros>,
    seed: u64,
}

/// The proxies' processes, and what it takes to start one again.
struct Proxies {
    running: Vec<Option<Process>>,
    /// Those that stand still: they run, and nobody goes to them.
    frozen: Vec<bool>,
    /// Of those that have peers: what stands between them.
    gates: Option<Gates>,
    /// The operators' own file of each.
    own: Value,
    /// Told to end; a restart waits for the end.
    ending: Vec<Option<Process>>,
    configs: Vec<Value>,
    daemon: PathBuf,
    folder: PathBuf,
    /// Proxies started again, as they come up.
    back: (Sender<Restarted>, Receiver<Restarted>),
}

/// A proxy started again, by its place.
type Restarted = (usize, io::Result<Process>);

impl Pacer {
    /// The proxy that takes a request meant for this one: itself if it is up, else the next that is, as a balancer
    /// in front of them would do.
    fn route(&self, proxy: usize) -> Option<usize> {
        // Up: its process runs, neither killed nor told to end, or started again since.
        let (running, all) = (&self.proxies.running, self.proxies.running.len());
        let takes = |p: &usize| running[*p].is_some() && !self.proxies.frozen[*p];
        (0..all).map(|k| (proxy + k) % all).find(takes)
    }

    /// What is open at the proxies that `at` picks is owed no more from `now`: its client has left, or the rehearsal
    /// ended the process that took it.
    fn release(&mut self, now: Micros, at: impl Fn(usize) -> bool) {
        let ids = |c: &Connection| {
            c.open.lock().unwrap_or_else(PoisonError::into_inner).values().cloned().collect::<Vec<_>>()
        };
        let of = self.connections.iter().enumerate().filter(|(proxy, _)| at(*proxy));
        let open: std::collections::HashSet<String> = of.flat_map(|(_, c)| c.iter().flat_map(ids)).collect();
        for asked in self.asked.iter_mut().filter(|a| open.contains(&a.id)) {
            asked.released.get_or_insert(now);
        }
    }

    /// Carries out a step on a proxy's process.
    fn process(&mut self, now: Micros, step: &Step) -> io::Result<()> {
        let p = &mut self.proxies;
        let signal =
            |p: &Proxies, n: usize, signal| p.running[n].as_ref().map_or(Ok(()), |p| p.signal(signal));
        match *step {
            Step::Freeze(n) => {
                signal(p, n, Signal::STOP)?;
                p.frozen[n] = true;
                // Whoever stands still can answer nobody: its clients turn to the next one.
                self.release(now, |proxy| proxy == n);
                self.connections[n].clear();
            }
            Step::Thaw(n) => {
                signal(p, n, Signal::CONT)?;
                p.frozen[n] = false;
            }
            Step::Links(ref which, weather, one_way) => {
                for (a, b) in p.gates.iter().flat_map(Gates::directions) {
                    let sends = which.contains(&a) && !which.contains(&b);
                    let hears = which.contains(&b) && !which.contains(&a);
                    if let (true, Some(gates)) = (sends || hears && !one_way, &p.gates) {
                        gates.set((a, b), weather);
                    }
                }
            }
            Step::Kill(n) => {
                if let Some(mut process) = p.running[n].take() {
                    process.child.kill()?;
                    process.child.wait()?;
                }
                // What was open there is owed no more: the rehearsal ended it.
                if self.release_killed {
                    self.release(now, |proxy| proxy == n);
                }
                self.connections[n].clear();
            }
            Step::Term(n) => {
                if let Some(process) = p.running[n].take() {
                    process.signal(Signal::TERM)?;
                    p.ending[n] = Some(process);
                }
                // Its connections stay, to read what it still answers; nothing new is sent on them.
            }
            Step::Restart(n) => {
                let ending = p.ending[n].take();
                let mut config = p.configs[n].clone();
                config["listen"] = self.fronts[n].to_string().into();
                let (daemon, folder, tell) = (p.daemon.clone(), p.folder.clone(), p.back.0.clone());
                let own = p.own.clone();
                thread::spawn(move || {
                    if let Some(mut old) = ending {
                        let _ = old.child.wait();
                    }
                    let started = Process::start(&daemon, &folder, &format!("p{n}"), &config, &own);
                    let _ = tell.send((n, started));
                });
            }
            _ => {}
        }
        Ok(())
    }

    /// Takes in the proxies that have come up again; one that could not start ends the play.
    fn restarted(&mut self) -> io::Result<()> {
        while let Ok((n, started)) = self.proxies.back.1.try_recv() {
            self.proxies.running[n] = Some(started?);
            self.connections[n].clear();
        }
        Ok(())
    }

    fn connection(&mut self, proxy: usize) -> io::Result<usize> {
        let open = |c: &Connection| c.open.lock().unwrap_or_else(PoisonError::into_inner).len();
        let of = &mut self.connections[proxy];
        of.retain(|c| c.used.elapsed() < IDLE || open(c) > 0);
        let free = |(_, c): &(usize, &Connection)| open(c) < 32 && c.used.elapsed() < IDLE;
        if let Some((n, _)) =
            of.iter().enumerate().filter(free).min_by_key(|(_, c)| open(c)).filter(|(_, c)| {
                // A few connections are kept, so that one that ends takes little with it.
                open(c) < 4 || of.len() >= 16
            })
        {
            return Ok(n);
        }
        let web = WebServer::connect(self.fronts[proxy])?;
        let (writer, open) = (web.writer()?, Arc::new(Mutex::new(HashMap::new())));
        let (clients, shared) = (self.clients.clone(), open.clone());
        thread::spawn(move || clients.read(web, &shared));
        of.push(Connection { writer, open, used: Instant::now() });
        Ok(of.len() - 1)
    }

    fn send(&mut self, due: Micros, one: Try) -> io::Result<()> {
        let a = &one.arrival;
        let class = self.scenario.load.classes[a.class].clone();
        let id = format!("{:016x}", (self.seed << 40) ^ (self.asked.len() as u64 + 1));
        let (object, part, lot) =
            (format!("{:016x}", a.object), a.part.to_string(), group(a.object).to_string());
        let (budget, kb) = ((a.budget / 1000).to_string(), format!("{:.1}", a.size_kb));
        let key = a.key.map(|k| format!("{k:032x}"));
        let mut fields = vec![
            ("HTTP_REQUEST_ID", id.as_str()),
            ("HTTP_RESOURCE_KEY", &object),
            ("HTTP_X_PIECE", &part),
            ("HTTP_X_LOT", &lot),
            ("HTTP_BUDGET_MS", &budget),
            ("HTTP_FOOTPRINT_KB", &kb),
        ];
        fields.extend(key.as_ref().map(|k| ("HTTP_ONCE_KEY", k.as_str())));
        let body: &[u8] = if class.keyed { b"a comment" } else { b"" };
        let Some(proxy) = self.route(a.proxy as usize) else {
            self.unsent += 1;
            return Ok(());
        };
        let Ok(n) = self.connection(proxy) else {
            self.unsent += 1;
            return Ok(());
        };
        let c = &mut self.connections[proxy][n];
        let number = {
            let mut open = c.open.lock().unwrap_or_else(PoisonError::into_inner);
            let number = (1..=u16::MAX).find(|n| !open.contains_key(n)).unwrap_or(1);
            open.insert(number, id.clone());
            number
        };
        let first = if one.first.is_empty() { id.clone() } else { one.first.clone() };
        let known = Try { first: first.clone(), ..one.clone() };
        self.clients.record.lock().unwrap_or_else(PoisonError::into_inner).1.insert(id.clone(), known);
        let bytes = WebServer::request(number, &format!("/invoke/{}", class.name), &fields, body);
        if c.writer.write_all(&bytes).is_err() {
            // Not taken: the proxy ended this connection.
            c.open.lock().unwrap_or_else(PoisonError::into_inner).remove(&number);
            self.clients.record.lock().unwrap_or_else(PoisonError::into_inner).1.remove(&id);
            self.connections[proxy].remove(n);
            self.unsent += 1;
            return Ok(());
        }
        c.used = Instant::now();
        let at = unix_us();
        self.lags.push(at.saturating_sub(due));
        self.asked.push(Asked {
            id,
            first,
            class: a.class,
            proxy,
            object,
            group: group(a.object),
            key,
            work_us: (a.size_kb / self.scenario.site.flow_kb_per_s * 1e6) as Micros,
            due,
            at,
            until: at + a.budget,
            released: None,
        });
        Ok(())
    }

    fn play(
        &mut self,
        (plan, steps): (&Plan, &[(Micros, Step)]),
        start: Micros,
        again: &Receiver<(Micros, Try)>,
        watch: &Watch<'_>,
        mut due: impl FnMut(Due<'_>),
    ) -> io::Result<Option<f64>> {
        let mut later: BinaryHeap<Reverse<(Micros, u64)>> = BinaryHeap::new();
        let mut tries: HashMap<u64, Try> = HashMap::new();
        let (mut next, mut purged, mut count, mut done) = (0, 0, 0, 0);
        let longest = plan.arrivals.iter().map(|a| a.budget).max().unwrap_or(0);
        let end = start + (self.scenario.seconds * 1e6) as Micros + longest;
        let mut told = Instant::now();
        loop {
            let now = unix_us();
            if watch.stop.is_some_and(|stop| stop.load(Ordering::Relaxed)) {
                // Ended by hand: clients give up on what is open, so it is owed no more.
                self.release(now, |_| true);
                return Ok(Some(now.saturating_sub(start) as f64 / 1e6));
            }
            if let Some(progress) = watch.progress.filter(|_| told.elapsed() >= Duration::from_millis(100)) {
                told = Instant::now();
                progress(now.saturating_sub(start) as f64 / 1e6, self.asked.len());
            }
            while let Ok((at, one)) = again.try_recv() {
                count += 1;
                later.push(Reverse((at, count)));
                tries.insert(count, one);
            }
            if now >= end {
                return Ok(None);
            }
            while plan.purges.get(purged).is_some_and(|p| start + p.at <= now) {
                due(Due::Purge(purged));
                purged += 1;
            }
            self.restarted()?;
            while let Some((_, step)) = steps.get(done).filter(|s| start + s.0 <= now) {
                match step {
                    Step::Kill(_) | Step::Term(_) | Step::Restart(_) => self.process(now, step)?,
                    Step::Freeze(_) | Step::Thaw(_) | Step::Links(..) => self.process(now, step)?,
                    _ => due(Due::Step(step)),
                }
                done += 1;
            }
            while let Some(a) = plan.arrivals.get(next).filter(|a| start + a.at <= now) {
                next += 1;
                self.send(start + a.at, Try { arrival: a.clone(), first: String::new(), number: 0 })?;
            }
            while let Some(Reverse((at, n))) = later.peek().copied().filter(|r| r.0 .0 <= now) {
                later.pop();
                if let Some(one) = tries.remove(&n) {
                    self.send(at, one)?;
                }
            }
            thread::sleep(Duration::from_micros(500));
        }
    }
}

/// What falls due in a play besides requests.
enum Due<'a> {
    /// The purge of the plan at this place.
    Purge(usize),
    /// A step of the timetable.
    Step(&'a Step),
}

/// A fault of the stand-ins' own, to see that it is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    /// Purges count as told, but neither proxies nor nodes hear of them.
    PurgesUntold,
    /// Every tenth answer's bytes are another part's.
    WrongBytes,
    /// Drains count as told, but the proxies never hear of them.
    DrainsUntold,
    /// What was open at a proxy that the rehearsal killed is still counted as owed.
    KillsOwed,
}

/// What watches a play from outside.
#[derive(Clone, Copy, Default)]
pub struct Watch<'a> {
    /// Set, by a handler of SIGINT say, to end the play at once: what is open then is owed no more, and the outcome
    /// is judged on what happened until then.
    pub stop: Option<&'a AtomicBool>,
    /// Told some ten times a second how far the play is: seconds from the start of its load, and requests sent.
    pub progress: Option<&'a dyn Fn(f64, usize)>,
}

/// Plays a scenario with this daemon. Errors are those of the play itself.
pub fn play(daemon: &Path, scenario: &Scenario, seed: u64, plant: Option<Plant>) -> io::Result<Outcome> {
    play_watched(daemon, scenario, seed, plant, Watch::default())
}

/// Plays a scenario as `play` does, watched.
pub fn play_watched(
    daemon: &Path,
    scenario: &Scenario,
    seed: u64,
    plant: Option<Plant>,
    watch: Watch<'_>,
) -> io::Result<Outcome> {
    let plan = plan(scenario, seed);
    // Plays may run side by side in one process, with the same seed and in the same microsecond: each has a number.
    static PLAYS: AtomicU64 = AtomicU64::new(0);
    let n = PLAYS.fetch_add(1, Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("linnetknot-play-{}-{seed}-{n}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let result = play_in(&folder, daemon, scenario, (seed, plant, watch), &plan);
    let _ = std::fs::remove_dir_all(&folder);
    result
}

fn play_in(
    folder: &Path,
    daemon: &Path,
    scenario: &Scenario,
    (seed, plant, watch): (u64, Option<Plant>, Watch<'_>),
    plan: &Plan,
) -> io::Result<Outcome> {
    let proxies = scenario.proxies as usize;
    let (world, nodes) = world(scenario);
    let uids: Vec<String> = nodes.iter().map(|n| n.0.clone()).collect();
    let parts = plan.arrivals.iter().map(|a| ((a.object, a.part), (a.size_kb, group(a.object)))).collect();
    let classes =
        scenario.load.classes.iter().map(|c| (c.name.clone(), (fresh_us(scenario, c), c.keyed))).collect();
    let spoil = plant == Some(Plant::WrongBytes);
    let knows = Knows { parts, flow_kb_per_s: scenario.site.flow_kb_per_s, classes, spoil };
    let served = Served::start(world, &uids, proxies, knows)?;
    // One bus for each proxy: each is told the addresses at which it reaches the nodes.
    let buses = (0..proxies).map(|_| Bus::start()).collect::<io::Result<Vec<_>>>()?;
    // A node as a proxy's bus lists it: at the address at which that proxy reaches it.
    let listed = |proxy: usize,
                  (uid, zone, model, capacity): &(String, &str, &str, f64),
                  state: &str,
                  boot_ms| {
        let endpoint = served.addresses[&(proxy, uid.clone())].to_string();
        json!({"uid": uid, "endpoint": endpoint, "az": zone, "model": model, "pod_group": 0, "state": state,
            "capacity_hint": capacity, "boot_ms": boot_ms})
    };
    let (mut running, mut configs) = (Vec::new(), Vec::new());
    let ports = if scenario.peers { free_ports(proxies)? } else { Vec::new() };
    let gates = scenario.peers.then(|| Gates::between(&ports, seed)).transpose()?;
    // Nothing else of the operators' own file: a rehearsal is of the platform's side.
    let own = if scenario.peers { json!({"peers": {"tell": true}}) } else { json!({}) };
    for (n, bus) in buses.iter().enumerate() {
        let targets = nodes.iter().map(|node| listed(n, node, "ready", 0)).collect::<Value>();
        let known = json!({"offset": 0, "batch": [{"offset": 0, "topology": {"rev": 1, "all": true,
            "targets": targets}}]});
        let mut config = json!({"name": format!("p{n}"), "listen": "127.0.0.1:0", "seed": format!("{:x}", seed * 64 + n as u64 + 1),
            "bus": bus.address.to_string(), "known": known, "settings": settings(scenario),
            "limits": {"memory_mb": 192, "sockets": 1024}});
        if let Some(gates) = &gates {
            let peer = |p: usize| gates.address((n, p)).unwrap_or(ports[n]).to_string();
            config["peer_listen"] = ports[n].to_string().into();
            config["peers"] = (0..proxies).map(peer).collect();
        }
        running.push(Some(Process::start(daemon, folder, &format!("p{n}"), &config, &own)?));
        configs.push(config);
    }
    let fronts: Vec<SocketAddr> = running.iter().flatten().map(|p| p.front).collect();
    let (tell, again) = mpsc::channel();
    let clients = Arc::new(Clients { record: Mutex::default(), again: tell });
    let mut sender = Pacer {
        scenario: scenario.clone(),
        fronts,
        proxies: Proxies {
            running,
            frozen: vec![false; proxies],
            gates,
            own,
            ending: (0..proxies).map(|_| None).collect(),
            configs,
            daemon: daemon.to_owned(),
            folder: folder.to_owned(),
            back: mpsc::channel(),
        },
        unsent: 0,
        release_killed: plant != Some(Plant::KillsOwed),
        clients: clients.clone(),
        connections: (0..proxies).map(|_| Vec::new()).collect(),
        asked: Vec::new(),
        lags: Vec::new(),
        seed,
    };
    let (mut told, mut started) = (Vec::new(), Vec::new());
    let begin = unix_us() + 200_000;
    let steps = timetable(scenario);
    let interrupted = sender.play((plan, &steps), begin, &again, &watch, |due| {
        let n = match due {
            Due::Purge(n) => n,
            Due::Step(step) => {
                let at = unix_us();
                // The proxies are told of a drain, and of a box that is back, each on its own bus.
                let told_of = match step {
                    Step::Drain(uid) => Some((uid, Word::Out(uid.clone()), "draining", 0)),
                    Step::Back(uid) => Some((uid, Word::Ready(uid.clone()), "ready", at / 1000)),
                    _ => None,
                };
                let node = told_of.as_ref().and_then(|(uid, ..)| nodes.iter().find(|n| n.0 == **uid));
                if let (Some((_, word, state, boot_ms)), Some(node)) = (told_of, node) {
                    for (proxy, bus) in buses.iter().enumerate() {
                        if state == "ready" || plant != Some(Plant::DrainsUntold) {
                            bus.list(false, vec![listed(proxy, node, state, boot_ms)]);
                        }
                        told.push(Told { proxy, at, word: word.clone() });
                    }
                }
                if matches!(step, Step::CutBus) {
                    buses.iter().for_each(Bus::cut);
                }
                if let Step::Back(uid) = step {
                    started.push(cold(uid, at, scenario.site.edge_box.capacity));
                }
                let (step, form) = (step.clone(), scenario.site.edge_box.clone());
                served.change(move |world, now| match step {
                    Step::Down(uid) => world.stop(now, &uid),
                    Step::Back(uid) => {
                        world.stop(now, &uid);
                        world.start(&uid, Kind::Box, figures(&form), Some(cold(&uid, now, form.capacity)));
                    }
                    Step::Stall(uid, lasts) => world.stall(now, &uid, lasts),
                    Step::Origin(times) => world.slow_origin(times),
                    _ => {}
                });
                return;
            }
        };
        let p = &plan.purges[n];
        let at = unix_us();
        let (object, lot) = (p.what.ok().map(|o| format!("{o:016x}")), p.what.err().unwrap_or(0));
        let ban = match &object {
            Some(object) => json!({"ban": {"url": object, "ts": at / 1000}}),
            None => json!({"ban": {"tag": lot, "ts": at / 1000}}),
        };
        if plant != Some(Plant::PurgesUntold) {
            buses.iter().for_each(|bus| bus.push(ban.clone()));
        }
        let word = Word::Purged { object, group: lot, at: at / 1000 * 1000 };
        told.extend((0..proxies).map(|proxy| Told { proxy, at, word: word.clone() }));
        // The nodes hear of it by themselves, each in its own time.
        let what = p.what;
        if plant == Some(Plant::PurgesUntold) {
            return;
        }
        served.change(move |world, now| world.purge_all(now, what, at));
    })?;
    let world = served.end()?;
    drop(sender.proxies);
    let class = |c: &crate::scenario::ClassLoad| Class {
        name: c.name.clone(),
        repeat: if c.keyed { Repeat::Keyed(3_000_000) } else { Repeat::Safe },
        aim_us: if c.keyed { 700_000 } else { 300_000 },
        stretch: 2.0,
        worth: if c.keyed { 3.0 } else { 1.0 },
        late_worth: 0.1,
    };
    let answered = std::mem::take(&mut clients.record.lock().unwrap_or_else(PoisonError::into_inner).0);
    let record = Record {
        classes: scenario.load.classes.iter().map(class).collect(),
        asked: sender.asked,
        answered,
        attempts: world.attempts,
        told,
        cold: started,
    };
    sender.lags.sort_unstable();
    let lag =
        |q: f64| sender.lags.get((sender.lags.len() as f64 * q) as usize).or(sender.lags.last()).copied();
    let late = lag(0.99).unwrap_or(0).min(MOST_LAG_US);
    Ok(Outcome {
        asked: record.asked.len(),
        lag_us: (lag(0.99).unwrap_or(0), lag(1.0).unwrap_or(0)),
        score: score(&record),
        waits: waits(&record),
        breaches: judge(&record, &Limits { late_us: late, ..Limits::default() }),
        writes: world.writes,
        unsent: sender.unsent,
        interrupted,
    })
}
