//! Simulates a fleet in virtual time: routers, and servers, links and an origin that answer by simple formulas. The
//! simulation is single-threaded and deterministic for a seed.
#![allow(dead_code, reason = "each test file uses a part of it")]

mod attempts;
mod clients;
mod servers;

use super::trace::Trace;
use super::{class, settings, MS, S, START};
use linnetknot::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Transfer time of an object at full rate unless a test sets another: 500 KB at 5,000 KB per second.
const WORK_S: f64 = 0.1;
const KB_PER_S: f64 = 5_000.0;
const DEADLINE_US: Micros = 2_500 * MS;

pub(crate) const PARENTS: [ServerId; 2] = [901, 902];
pub(crate) const ORIGIN: ServerId = 950;

/// A simulated cache, parent or origin.
pub(crate) struct FakeServer {
    pub zone: usize,
    pub weight: f64,
    pub started: Option<Micros>,
    /// The server accepts connections.
    pub up: bool,
    /// Attempts at the server get neither an answer nor a refused connection.
    pub vanished: bool,
    pub cached: BTreeSet<u64>,
    active: f64,
    /// Recent load sent during slow start, and the highest load in one window as a fraction of what the overload rule
    /// allows.
    recent_work: VecDeque<(Micros, f64)>,
    pub max_overload: f64,
}

/// A simulated proxy.
pub(crate) struct Proxy {
    pub router: Router,
    pub zone: usize,
    open_requests: BTreeMap<RequestId, OpenRequest>,
    /// Time at which the proxy was notified that a server must get no new requests.
    withdrawn_at: BTreeMap<ServerId, Micros>,
}

struct OpenRequest {
    object: u64,
    /// Transfer time at full rate in seconds, and index of the tenant that the request belongs to.
    work_s: f64,
    tenant: usize,
    attempts: u32,
    answered: bool,
    deadline: Micros,
    arrived_at: Micros,
    sent: Option<InFlight>,
}

struct InFlight {
    server: ServerId,
    sent_at: Micros,
    uses_link: bool,
}

enum Scheduled {
    Arrival(usize),
    Timer(usize, u64),
    End(usize, RequestId, u32, Outcome, Note, Micros),
    Deadline(usize, RequestId),
    List(usize, ListMode, Vec<Server>),
    /// Calls the callback of the test with this number.
    Call(u64),
}

/// Results of the requests that arrived in one second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SecondCounts {
    pub requests: u32,
    pub in_time: u32,
    pub late: u32,
    pub failed: u32,
    /// Attempts sent to servers that were down or silent.
    pub wasted_attempts: u32,
    /// Requests that reached the origin.
    pub origin_requests: u32,
}

pub(crate) struct FleetSimulation {
    pub now: Micros,
    pub proxies: Vec<Proxy>,
    pub servers: BTreeMap<ServerId, FakeServer>,
    pub counts_by_second: Vec<SecondCounts>,
    /// Capacity of a location's link, in transfers at full rate.
    pub link_capacity: f64,
    /// Time after which a cache reports that the source of a fill does not answer.
    pub fill_timeout_us: Micros,
    /// Fraction of the requests that are writes, which must not run twice.
    pub write_share: f64,
    executed_writes: BTreeSet<RequestId>,
    /// Whether answers contain load reports.
    sends_load_reports: bool,
    transfers_by_link: Vec<f64>,
    /// Number of requests per second that the origin can answer.
    pub origin_requests_per_s: f64,
    origin_free_at: Micros,
    pub rate_per_s: f64,
    /// Mean transfer time of objects at full rate, the sigma of its logarithm, and whether requests carry the size.
    pub work_s: f64,
    pub sigma: f64,
    pub sizes_known: bool,
    /// Time after which clients stop waiting for an answer.
    pub deadline_us: Micros,
    /// Shares of the requests by tenant.
    pub tenant_shares: Vec<f64>,
    /// Transfer time, tenant, and whether it succeeded, of each finished request.
    pub answers: Vec<(f64, usize, bool)>,
    /// Number of objects; requests concentrate on a few of them.
    pub object_count: f64,
    /// Trace of the routers' actions, if enabled.
    pub trace: Option<Trace>,
    queue: BTreeMap<(Micros, u64), Scheduled>,
    number: u64,
    random: u64,
    rules: Rules,
}

impl Proxy {
    fn new(n: usize, zone: usize, config: &Settings, seed: u64) -> Self {
        let settings = Settings {
            zone,
            router_index: Some(n as u32),
            ..config.clone()
        };
        Proxy {
            router: Router::new(settings, seed ^ (n as u64) << 20).expect("valid settings"),
            zone,
            open_requests: BTreeMap::new(),
            withdrawn_at: BTreeMap::new(),
        }
    }
}

/// Returns the test settings for a number of locations, modified by `shape`.
fn shaped_settings(zones: usize, proxies: usize, shape: impl FnOnce(&mut Settings)) -> Settings {
    let zone = |name: String, routers| Zone {
        name,
        routers,
        parent_zone: 0,
        link_kb_per_s: 0.0,
    };
    let mut list = vec![zone("hub".into(), 0)];
    list.extend((1..=zones).map(|n| zone(format!("zone-{n}"), proxies as u32)));
    let video = Class {
        objective_us: 400 * MS,
        deadline_us: DEADLINE_US,
        ..class("video")
    };
    let mut config = Settings {
        zones: list,
        classes: vec![video],
        direct_to_upstream: false,
        ..settings()
    };
    shape(&mut config);
    config
}

impl FleetSimulation {
    /// Returns a fleet with this number of locations, and of proxies and caches per location. Each proxy receives
    /// requests at `rate_per_s`.
    pub(crate) fn new(
        zones: usize,
        proxies: usize,
        caches: usize,
        rate_per_s: f64,
        seed: u64,
    ) -> Self {
        Self::shaped(zones, proxies, caches, rate_per_s, seed, |_| ())
    }

    /// Like [`FleetSimulation::new`], with settings modified by `shape`.
    pub(crate) fn shaped(
        zones: usize,
        proxies: usize,
        caches: usize,
        rate_per_s: f64,
        seed: u64,
        shape: impl FnOnce(&mut Settings),
    ) -> Self {
        let config = shaped_settings(zones, proxies, shape);
        let mut world = FleetSimulation::empty(&config, rate_per_s, seed);
        for z in 1..=zones {
            (0..caches).for_each(|n| world.add_server(z as u64 * 10 + n as u64, z, 8.0, None));
        }
        for parent in PARENTS {
            world.add_server(parent, 0, 30.0, None);
        }
        world.add_server(ORIGIN, 0, 1.0, None);
        for n in 0..zones * proxies {
            world
                .proxies
                .push(Proxy::new(n, n / proxies + 1, &config, seed));
        }
        let all = world.server_list();
        for n in 0..world.proxies.len() {
            world.schedule(0, Scheduled::List(n, ListMode::Full, all.clone()));
            let wait = world.random_interarrival();
            world.schedule(wait, Scheduled::Arrival(n));
        }
        world
    }

    /// Returns a fleet without servers and proxies.
    fn empty(config: &Settings, rate_per_s: f64, seed: u64) -> Self {
        FleetSimulation {
            now: START,
            proxies: Vec::new(),
            servers: BTreeMap::new(),
            counts_by_second: Vec::new(),
            link_capacity: 30.0,
            fill_timeout_us: 5 * MS,
            write_share: 0.0,
            executed_writes: BTreeSet::new(),
            sends_load_reports: config.load_reports == LoadReports::Answers,
            transfers_by_link: vec![0.0; config.zones.len()],
            origin_requests_per_s: 1e6,
            origin_free_at: 0,
            rate_per_s,
            work_s: WORK_S,
            sigma: 0.0,
            sizes_known: true,
            deadline_us: DEADLINE_US,
            tenant_shares: Vec::new(),
            answers: Vec::new(),
            object_count: 4_000.0,
            trace: None,
            queue: BTreeMap::new(),
            number: 0,
            random: seed | 1,
            rules: config.rules.clone(),
        }
    }

    /// Delivers list entries to all routers after a delay, to each slightly later than to the previous one.
    pub(crate) fn publish(&mut self, wait: Micros, mode: ListMode, entries: &[Server]) {
        for n in 0..self.proxies.len() {
            self.schedule(
                wait + n as Micros,
                Scheduled::List(n, mode, entries.to_vec()),
            );
        }
    }

    /// Schedules a callback from `run` with this number after a delay.
    pub(crate) fn schedule_callback(&mut self, wait: Micros, number: u64) {
        self.schedule(wait, Scheduled::Call(number));
    }

    fn schedule(&mut self, wait: Micros, what: Scheduled) {
        self.number += 1;
        self.queue.insert((self.now + wait, self.number), what);
    }

    fn random_unit(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    fn random_interarrival(&mut self) -> Micros {
        let mean = 1e6 / self.rate_per_s;
        (-(1.0 - self.random_unit()).ln() * mean) as Micros + 1
    }

    fn counts_at(&mut self, at: Micros) -> &mut SecondCounts {
        let n = ((at - START) / S) as usize;
        if self.counts_by_second.len() <= n {
            self.counts_by_second.resize(n + 1, SecondCounts::default());
        }
        &mut self.counts_by_second[n]
    }

    /// Runs the simulation for a duration. `notify` is called for scheduled callbacks and after each attempt that ends.
    pub(crate) fn run(
        &mut self,
        for_us: Micros,
        mut notify: impl FnMut(&mut FleetSimulation, Notice),
    ) {
        let end = self.now + for_us;
        while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= end) {
            self.now = entry.key().0;
            match entry.remove() {
                Scheduled::Arrival(n) => self.arrival(n),
                Scheduled::Timer(n, tag) => self.feed(n, Event::Timer { tag }),
                Scheduled::List(n, mode, servers) => self.list(n, mode, servers),
                Scheduled::Call(number) => notify(self, Notice::Call(number)),
                Scheduled::Deadline(n, id) => {
                    self.ended(n, id, None, Outcome::Timeout, Note::None, 0);
                }
                Scheduled::End(n, id, attempt, outcome, note, waited) => {
                    self.ended(n, id, Some(attempt), outcome, note, waited);
                    notify(self, Notice::Outcome(n));
                }
            }
        }
        self.now = end;
    }

    /// Sums a count over a range of seconds.
    pub(crate) fn sum(
        &self,
        seconds: std::ops::Range<usize>,
        of: impl Fn(&SecondCounts) -> u32,
    ) -> u32 {
        self.counts_by_second[seconds].iter().map(of).sum()
    }

    fn list(&mut self, n: usize, mode: ListMode, servers: Vec<Server>) {
        for s in &servers {
            match s.state {
                State::Ready => _ = self.proxies[n].withdrawn_at.remove(&s.id),
                _ => _ = self.proxies[n].withdrawn_at.entry(s.id).or_insert(self.now),
            }
        }
        self.feed(n, Event::List { mode, servers });
    }

    /// Passes an event to a router and carries out its actions.
    pub(crate) fn feed(&mut self, n: usize, event: Event) {
        let mut actions = Vec::new();
        let router = &mut self.proxies[n].router;
        router.handle(self.now, event, &mut actions);
        if let Some(trace) = &mut self.trace {
            trace.record(self.now, router, &actions);
        }
        for action in actions {
            match action {
                Action::Attempt {
                    request,
                    server,
                    fill: Some(fill),
                    ..
                } => self.attempt(n, request, server, fill),
                Action::Cancel { request, attempt } => {
                    self.schedule(
                        0,
                        Scheduled::End(n, request, attempt, Outcome::Cancelled, Note::None, 0),
                    );
                }
                Action::Refuse { request, .. } | Action::Fail { request } => {
                    self.finish(n, request, false);
                }
                Action::Timer { at, tag } => self.schedule(at - self.now, Scheduled::Timer(n, tag)),
                other => panic!("unexpected action: {other:?}"),
            }
        }
    }
}

/// Reason for which `run` calls the `notify` callback of the test.
pub(crate) enum Notice {
    /// A callback that the test scheduled, with the number that the test gave it.
    Call(u64),
    /// An attempt of the proxy with this index has ended.
    Outcome(usize),
}
