//! A fleet on virtual time: many routers, and around them caches, parents, links and an origin that answer by plain
//! formulas. One thread, one queue of what happens when, one seed: the same verdict every time.
#![allow(dead_code)]

use super::trace::Trace;
use super::{class, server, settings, MS, S, T0};
use linnetknot::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Transfers to a client take this long at full pace, unless a test says otherwise: 500 KB at 5,000 KB a second.
const WORK_S: f64 = 0.1;
const KB_PER_S: f64 = 5_000.0;
const DEADLINE_US: Micros = 2_500 * MS;

pub(crate) const PARENTS: [ServerId; 2] = [901, 902];
pub(crate) const ORIGIN: ServerId = 950;

/// A box, a parent, or the origin.
pub(crate) struct Box {
    pub zone: usize,
    pub weight: f64,
    pub started: Option<Micros>,
    /// It takes connections.
    pub up: bool,
    /// It is not there and nothing says so: what is sent is never answered.
    pub vanished: bool,
    pub holds: BTreeSet<u64>,
    active: f64,
    /// Work sent to it while cold, and the most of what it bears in one window that ever was.
    pushed: VecDeque<(Micros, f64)>,
    pub pushed_most: f64,
}

/// One proxy.
pub(crate) struct Seat {
    pub router: Router,
    pub zone: usize,
    out: BTreeMap<RequestId, Out>,
    /// Since when a server must get nothing new.
    barred: BTreeMap<ServerId, Micros>,
}

struct Out {
    object: u64,
    /// What it takes to send it at full pace, and which tenant's it is.
    work_s: f64,
    tenant: usize,
    attempts: u32,
    answered: bool,
    deadline: Micros,
    at: Micros,
    sent: Option<Sending>,
}

struct Sending {
    server: ServerId,
    at: Micros,
    link: bool,
}

enum Happening {
    Arrival(usize),
    Timer(usize, u64),
    End(usize, RequestId, u32, Outcome, Note, Micros),
    Deadline(usize, RequestId),
    List(usize, ListMode, Vec<Server>),
    /// What a test wants done at a time.
    Call(u64),
}

/// What came of it, by second since the start.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Second {
    pub asked: u32,
    pub in_time: u32,
    pub late: u32,
    pub lost: u32,
    /// Attempts sent to servers that were down or had vanished.
    pub in_vain: u32,
    /// What the origin was asked for.
    pub origin: u32,
}

pub(crate) struct World {
    pub now: Micros,
    pub seats: Vec<Seat>,
    pub boxes: BTreeMap<ServerId, Box>,
    pub seconds: Vec<Second>,
    /// What a location's link fits at full pace, in transfers.
    pub link_fits: f64,
    /// How long a box waits for a source that is not there before it says so.
    pub fill_timeout_us: Micros,
    /// Share of the requests that are writes, which must not run twice; and those that ran.
    pub writes: f64,
    ran: BTreeSet<RequestId>,
    /// Answers carry load reports.
    reports: bool,
    links: Vec<f64>,
    /// What the origin can do a second.
    pub origin_per_s: f64,
    origin_free: Micros,
    pub rate_per_s: f64,
    /// What objects take at full pace in the mean, how unevenly (the sigma of their logarithms), and whether requests tell.
    pub work_s: f64,
    pub sigma: f64,
    pub sizes_told: bool,
    /// When clients give up.
    pub deadline_us: Micros,
    /// The tenants' shares of the requests.
    pub tenants: Vec<f64>,
    /// Of each request that has ended: what it takes, its tenant, and whether it was served.
    pub answers: Vec<(f64, usize, bool)>,
    /// Distinct objects; a few of them are asked for most.
    pub objects: f64,
    /// Where all that the routers do is recorded, if it is.
    pub trace: Option<Trace>,
    queue: BTreeMap<(Micros, u64), Happening>,
    number: u64,
    random: u64,
    rules: Rules,
}

impl World {
    /// A fleet of so many proxies and boxes in so many locations; each proxy is asked at this rate.
    pub(crate) fn new(
        zones: usize,
        seats: usize,
        caches: usize,
        rate_per_s: f64,
        seed: u64,
    ) -> Self {
        Self::shaped(zones, seats, caches, rate_per_s, seed, |_| ())
    }

    /// The same under settings of another shape.
    pub(crate) fn shaped(
        zones: usize,
        seats: usize,
        caches: usize,
        rate_per_s: f64,
        seed: u64,
        shape: impl FnOnce(&mut Settings),
    ) -> Self {
        let zone = |name: String, routers| Zone {
            name,
            routers,
            hub: 0,
            link_kb_per_s: 0.0,
        };
        let mut list = vec![zone("hub".into(), 0)];
        list.extend((1..=zones).map(|n| zone(format!("zone-{n}"), seats as u32)));
        let video = Class {
            objective_us: 400 * MS,
            deadline_us: DEADLINE_US,
            ..class("video")
        };
        let mut config = Settings {
            zones: list,
            classes: vec![video],
            direct: false,
            ..settings()
        };
        shape(&mut config);
        let reports = config.reports == Reports::Answers;
        let mut world = World {
            now: T0,
            seats: Vec::new(),
            boxes: BTreeMap::new(),
            seconds: Vec::new(),
            link_fits: 30.0,
            fill_timeout_us: 5 * MS,
            writes: 0.0,
            ran: BTreeSet::new(),
            reports,
            links: vec![0.0; zones + 1],
            origin_per_s: 1e6,
            origin_free: 0,
            rate_per_s,
            work_s: WORK_S,
            sigma: 0.0,
            sizes_told: true,
            deadline_us: DEADLINE_US,
            tenants: Vec::new(),
            answers: Vec::new(),
            objects: 4_000.0,
            trace: None,
            queue: BTreeMap::new(),
            number: 0,
            random: seed | 1,
            rules: config.rules.clone(),
        };
        for z in 1..=zones {
            (0..caches).for_each(|n| world.put(z as u64 * 10 + n as u64, z, 8.0, None));
        }
        PARENTS
            .into_iter()
            .for_each(|id| world.put(id, 0, 30.0, None));
        world.put(ORIGIN, 0, 1.0, None);
        for n in 0..zones * seats {
            let zone = n / seats + 1;
            let router = Router::new(
                Settings {
                    zone,
                    rank: Some(n as u32),
                    ..config.clone()
                },
                seed ^ (n as u64) << 20,
            )
            .expect("usable");
            world.seats.push(Seat {
                router,
                zone,
                out: BTreeMap::new(),
                barred: BTreeMap::new(),
            });
        }
        let all = world.listed();
        for n in 0..world.seats.len() {
            world.later(0, Happening::List(n, ListMode::Full, all.clone()));
            let wait = world.gap();
            world.later(wait, Happening::Arrival(n));
        }
        world
    }

    /// A box with nothing in it.
    pub(crate) fn put(&mut self, id: ServerId, zone: usize, weight: f64, started: Option<Micros>) {
        let new = Box {
            zone,
            weight,
            started,
            up: true,
            vanished: false,
            holds: BTreeSet::new(),
            active: 0.0,
            pushed: VecDeque::new(),
            pushed_most: 0.0,
        };
        self.boxes.insert(id, new);
    }

    /// An entry of the list for a box.
    pub(crate) fn entry(&self, id: ServerId, state: State) -> Server {
        let b = &self.boxes[&id];
        let (zone, kind) = match id {
            ORIGIN => ("hub".to_owned(), "origin"),
            _ if b.zone == 0 => ("hub".to_owned(), "parent"),
            _ => (format!("zone-{}", b.zone), "cache"),
        };
        Server {
            zone,
            weight: b.weight,
            started: b.started,
            state,
            ..server(id, "", kind)
        }
    }

    fn listed(&self) -> Vec<Server> {
        self.boxes
            .keys()
            .map(|id| self.entry(*id, State::Ready))
            .collect()
    }

    /// All routers hear of the list after a wait, each a little later than the one before.
    pub(crate) fn tell(&mut self, wait: Micros, mode: ListMode, entries: &[Server]) {
        for n in 0..self.seats.len() {
            self.later(
                wait + n as Micros,
                Happening::List(n, mode, entries.to_vec()),
            );
        }
    }

    /// `run` comes back with this number after a wait.
    pub(crate) fn call(&mut self, wait: Micros, number: u64) {
        self.later(wait, Happening::Call(number));
    }

    fn later(&mut self, wait: Micros, what: Happening) {
        self.number += 1;
        self.queue.insert((self.now + wait, self.number), what);
    }

    fn unit(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    fn gap(&mut self) -> Micros {
        let mean = 1e6 / self.rate_per_s;
        (-(1.0 - self.unit()).ln() * mean) as Micros + 1
    }

    fn second(&mut self, at: Micros) -> &mut Second {
        let n = ((at - T0) / S) as usize;
        if self.seconds.len() <= n {
            self.seconds.resize(n + 1, Second::default());
        }
        &mut self.seconds[n]
    }

    /// Goes on for so long; `heed` is called with the numbers that were to be called, and after each outcome at a
    /// proxy.
    pub(crate) fn run(&mut self, for_us: Micros, mut heed: impl FnMut(&mut World, Heed)) {
        let end = self.now + for_us;
        while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= end) {
            self.now = entry.key().0;
            match entry.remove() {
                Happening::Arrival(n) => self.arrival(n),
                Happening::Timer(n, tag) => self.feed(n, Event::Timer { tag }),
                Happening::List(n, mode, servers) => self.list(n, mode, servers),
                Happening::Call(number) => heed(self, Heed::Call(number)),
                Happening::Deadline(n, id) => {
                    self.ended(n, id, None, Outcome::Timeout, Note::None, 0);
                }
                Happening::End(n, id, attempt, outcome, note, waited) => {
                    self.ended(n, id, Some(attempt), outcome, note, waited);
                    heed(self, Heed::Outcome(n));
                }
            }
        }
        self.now = end;
    }

    /// A sum over seconds, the last not counted.
    pub(crate) fn sum(&self, seconds: std::ops::Range<usize>, of: impl Fn(&Second) -> u32) -> u32 {
        self.seconds[seconds].iter().map(of).sum()
    }

    fn arrival(&mut self, n: usize) {
        let wait = self.gap();
        self.later(wait, Happening::Arrival(n));
        let object = (self.unit().powi(4) * self.objects) as u64;
        let tenant = match self.tenants.is_empty() {
            true => 0,
            false => {
                let mut draw = self.unit();
                let last = self.tenants.len() - 1;
                let place = self.tenants.iter().position(|share| {
                    draw -= share;
                    draw < 0.0
                });
                place.unwrap_or(last)
            }
        };
        self.number += 1;
        let id = self.number;
        let (now, at) = (self.now, self.now);
        self.second(now).asked += 1;
        let deadline = now + self.deadline_us;
        let work_s = self.work_of(object);
        let out = Out {
            object,
            work_s,
            tenant,
            attempts: 0,
            answered: false,
            deadline,
            at,
            sent: None,
        };
        self.seats[n].out.insert(id, out);
        self.later(self.deadline_us, Happening::Deadline(n, id));
        let write = self.writes > 0.0 && self.unit() < self.writes;
        let request = Request {
            id,
            class: if write { "activate" } else { "video" }.into(),
            tenant: self.tenants.get(tenant).map(f64::to_string),
            object: format!("/o/{object}"),
            part: 0,
            group: 1,
            size_kb: if self.sizes_told {
                work_s * KB_PER_S
            } else {
                0.0
            },
            remaining_us: self.deadline_us,
            repeated: false,
        };
        self.feed(n, Event::Request(request));
    }

    /// What an object takes at full pace: drawn once for each, by its number.
    fn work_of(&self, object: u64) -> f64 {
        // A sum of twelve even draws is close to a normal one.
        let draw = |n: u64| {
            let x = (object * 12 + n + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            ((x ^ (x >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 11) as f64 / (1u64 << 53) as f64
        };
        let normal = (0..12).map(draw).sum::<f64>() - 6.0;
        self.work_s * (self.sigma * normal - self.sigma * self.sigma / 2.0).exp()
    }

    /// The share that is answered: of all requests, and of the tenth that take longest.
    pub(crate) fn answered(&self) -> (f64, f64) {
        let mut answers = self.answers.clone();
        answers.sort_by(|a, b| b.0.total_cmp(&a.0));
        let share =
            |of: &[(f64, usize, bool)]| of.iter().filter(|a| a.2).count() as f64 / of.len() as f64;
        (share(&answers), share(&answers[..answers.len() / 10]))
    }

    fn list(&mut self, n: usize, mode: ListMode, servers: Vec<Server>) {
        for s in &servers {
            match s.state {
                State::Ready => _ = self.seats[n].barred.remove(&s.id),
                _ => _ = self.seats[n].barred.entry(s.id).or_insert(self.now),
            }
        }
        self.feed(n, Event::List { mode, servers });
    }

    fn ended(
        &mut self,
        n: usize,
        id: RequestId,
        attempt: Option<u32>,
        outcome: Outcome,
        note: Note,
        waited_us: Micros,
    ) {
        let Some(out) = self.seats[n].out.get_mut(&id) else {
            return;
        };
        let last = attempt.is_none();
        // An end that comes after the attempt was called off says nothing.
        let live = out.sent.is_some() && attempt.is_none_or(|a| a + 1 == out.attempts);
        if !live {
            if last {
                self.finish(n, id, false);
            }
            return;
        }
        let Some(sent) = out.sent.take() else { return };
        let (number, object, at) = (out.attempts - 1, out.object, out.at);
        let settled = outcome == Outcome::Ok || last;
        let zone = self.seats[n].zone;
        self.links[zone] -= f64::from(u8::from(sent.link));
        if let Some(b) = self.boxes.get_mut(&sent.server) {
            b.active = (b.active - 1.0).max(0.0);
            if outcome == Outcome::Ok {
                b.holds.insert(object);
            }
        }
        if outcome == Outcome::Ok {
            let now = self.now;
            let in_time = now - at <= 400 * MS + 150 * MS;
            let second = self.second(at);
            *(if in_time {
                &mut second.in_time
            } else {
                &mut second.late
            }) += 1;
        }
        if settled {
            self.finish(n, id, outcome == Outcome::Ok);
        }
        let took_us = self.now - sent.at;
        let event = Event::Outcome {
            request: id,
            attempt: number,
            server: sent.server,
            outcome,
            took_us,
            settled,
            note,
            waited_us,
            load: self.reports.then(|| self.load(sent.server)),
        };
        self.feed(n, event);
        self.tidy(n, id);
    }

    /// What a server reports of itself: what it holds, and how full its location's link is.
    fn load(&self, server: ServerId) -> Load {
        let b = &self.boxes[&server];
        let link = self.links.get(b.zone).map(|l| l / self.link_fits);
        Load {
            inflight: Some(b.active),
            link_use: link,
            ..Load::default()
        }
    }

    fn finish(&mut self, n: usize, id: RequestId, served: bool) {
        let Some(out) = self.seats[n].out.get_mut(&id) else {
            return;
        };
        assert!(!out.answered, "two final answers");
        out.answered = true;
        let (at, answer) = (out.at, (out.work_s, out.tenant, served));
        self.answers.push(answer);
        if !served {
            self.second(at).lost += 1;
        }
        self.tidy(n, id);
    }

    fn tidy(&mut self, n: usize, id: RequestId) {
        if self.seats[n]
            .out
            .get(&id)
            .is_some_and(|o| o.answered && o.sent.is_none())
        {
            self.seats[n].out.remove(&id);
        }
    }

    /// Gives a router an event and carries out what follows.
    pub(crate) fn feed(&mut self, n: usize, event: Event) {
        let mut actions = Vec::new();
        let router = &mut self.seats[n].router;
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
                    self.later(
                        0,
                        Happening::End(n, request, attempt, Outcome::Cancelled, Note::None, 0),
                    );
                }
                Action::Refuse { request, .. } | Action::Fail { request } => {
                    self.finish(n, request, false);
                }
                Action::Timer { at, tag } => self.later(at - self.now, Happening::Timer(n, tag)),
                other => panic!("{other:?} is not expected here"),
            }
        }
    }

    fn attempt(&mut self, n: usize, id: RequestId, server: ServerId, fill: Fill) {
        let (now, zone) = (self.now, self.seats[n].zone);
        let source = (fill.source != server).then_some(fill.source);
        for s in [Some(server), source].into_iter().flatten() {
            let told = self.seats[n].barred.get(&s);
            assert!(
                told.is_none(),
                "{s} was told to be gone {} us ago",
                now - told.unwrap_or(&now)
            );
        }
        let out = self.seats[n]
            .out
            .get_mut(&id)
            .expect("a request that is open");
        assert!(out.sent.is_none() && !out.answered && out.attempts < 6 && now < out.deadline);
        let (attempt, object, work_s) = (out.attempts, out.object, out.work_s);
        out.attempts += 1;
        self.push(server);
        let (up, vanished, held) = {
            let b = self.boxes.get_mut(&server).expect("a server of the list");
            b.active += 1.0;
            (b.up, b.vanished, b.holds.contains(&object))
        };
        let mut link = false;
        let end = if vanished {
            None
        } else if !up {
            Some((MS, Outcome::ConnectFailed, Note::None, 0))
        } else if server == ORIGIN {
            assert!(self.ran.insert(id), "a write that must not run twice");
            Some((80 * MS, Outcome::Ok, Note::Hit, 0))
        } else if held {
            Some((self.sending(server, work_s), Outcome::Ok, Note::Hit, 0))
        } else if let Some(source) = source {
            let (took, outcome, note, waited) =
                self.fill(source, (object, work_s), fill.only_held, zone);
            link = outcome == Outcome::Ok;
            Some((
                took + if link {
                    self.sending(server, work_s)
                } else {
                    0
                },
                outcome,
                note,
                waited,
            ))
        } else {
            Some((5 * MS, Outcome::Miss, Note::None, 0))
        };
        if end.is_none_or(|e| e.1 == Outcome::ConnectFailed) {
            self.second(now).in_vain += 1;
        }
        self.links[zone] += f64::from(u8::from(link));
        let sent = Sending {
            server,
            at: now,
            link,
        };
        self.seats[n].out.get_mut(&id).expect("it is open").sent = Some(sent);
        if let Some((took, outcome, note, waited)) = end {
            self.later(took, Happening::End(n, id, attempt, outcome, note, waited));
        }
    }

    /// How long a fill from a source takes, and how it ends.
    fn fill(
        &mut self,
        source: ServerId,
        (object, work_s): (u64, f64),
        only_held: bool,
        zone: usize,
    ) -> (Micros, Outcome, Note, Micros) {
        self.push(source);
        let shared = ((self.links[zone] + 1.0) / self.link_fits).max(1.0) - 1.0;
        let moving = (work_s * shared * 1e6) as Micros;
        let b = self.boxes.get_mut(&source).expect("a source of the list");
        if !b.up || b.vanished {
            return (self.fill_timeout_us, Outcome::Full, Note::SourceLost, 0);
        }
        if b.holds.contains(&object) && source != ORIGIN {
            return (10 * MS + moving, Outcome::Ok, Note::Filled, 10 * MS);
        }
        if only_held {
            return (10 * MS, Outcome::Miss, Note::SourceLacks, 10 * MS);
        }
        b.holds.insert(object);
        let now = self.now;
        self.origin_free = self.origin_free.max(now) + (1e6 / self.origin_per_s) as Micros;
        let waited = self.origin_free - now + 80 * MS;
        self.second(now).origin += 1;
        (waited + moving, Outcome::Ok, Note::FilledByOrigin, waited)
    }

    fn sending(&self, server: ServerId, work_s: f64) -> Micros {
        let b = &self.boxes[&server];
        (work_s * (b.active / (b.weight * self.warmth(b))).max(1.0) * 1e6) as Micros
    }

    fn warmth(&self, b: &Box) -> f64 {
        let r = &self.rules;
        let (share, cold_us) = if b.zone == 0 {
            (r.parent_slow_start_share, r.parent_slow_start_us)
        } else {
            (r.slow_start_share, r.slow_start_us)
        };
        let age = b
            .started
            .map_or(Micros::MAX, |s| self.now.saturating_sub(s));
        (share + (1.0 - share) * age as f64 / cold_us as f64).min(1.0)
    }

    /// Notes work sent to a server while it is cold, against what it bears.
    fn push(&mut self, id: ServerId) {
        let now = self.now;
        let warmth = self.warmth(&self.boxes[&id]);
        let r = &self.rules;
        let (multiple, window) = match self.boxes[&id].zone {
            0 => (r.parent_overload_multiple, r.fall_us),
            _ => (r.overload_multiple, r.fall_us),
        };
        let b = self.boxes.get_mut(&id).expect("a server of the list");
        if id == ORIGIN || warmth >= 1.0 {
            return;
        }
        b.pushed.push_back((now, self.work_s));
        while b.pushed.front().is_some_and(|p| p.0 + window < now) {
            b.pushed.pop_front();
        }
        let sum: f64 = b.pushed.iter().map(|p| p.1).sum();
        b.pushed_most = b
            .pushed_most
            .max(sum / (multiple * warmth * b.weight * window as f64 / 1e6));
    }
}

/// Why `run` calls back.
pub(crate) enum Heed {
    /// This number was to be called.
    Call(u64),
    /// An attempt of this proxy has ended.
    Outcome(usize),
}
