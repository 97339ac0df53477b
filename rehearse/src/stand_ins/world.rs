//! Boxes, hub caches and the origin store that behave: slots, waiting rooms, shared links, copies, fills, cold starts and
//! falling over. Sans-IO: requests go in with their time, answers come out with theirs; sockets are the driver's.
//!
//! All figures are data (`Figures`, `Site`). Left out on purpose: sizes of answers on the wire, noise in load reports,
//! and the transfer from a hub cache by its own link, which is wider than a site's.

use super::link::Link;
use super::memory::{Memory, Part};
use crate::record::{Attempt, Cold, Ended, Micros};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// What a node is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// An edge box: keeps copies by rank and fills from others.
    Box,
    /// A hub cache: fetches what it lacks from the origin, once for all who wait.
    Hub,
    /// The origin store: holds everything, and runs writes.
    Origin,
}

/// What a node can do.
#[derive(Clone, Debug, PartialEq)]
pub struct Figures {
    /// Requests in work.
    pub slots: usize,
    /// Requests that wait for a slot; one more is turned away unseen.
    pub waiting: usize,
    /// Its outgoing link, in transfers at full pace.
    pub capacity: f64,
    /// Its memory, in KB.
    pub memory_kb: u64,
    /// Fills at a time; of the origin, workers.
    pub fills: usize,
    /// A fill is given up if nothing has come after this.
    pub fill_timeout_us: Micros,
}

/// What the nodes share.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// The one link in, which all fills share, in transfers at full pace to a client.
    pub link: f64,
    /// How many times as fast as a transfer to a client a fill can be.
    pub fill_pace: f64,
    /// The way to a hub cache and back.
    pub near_us: Micros,
    /// The way to the origin and back.
    pub far_us: Micros,
    /// The origin's answer when it is not crowded.
    pub origin_us: Micros,
    /// How long the origin drops repeats of a key.
    pub key_us: Micros,
    /// Within this time of a purge boxes and hub caches have dropped their older copies, each in its own time.
    pub purge_takes_us: Micros,
    /// They drop what they hold, and then still keep what a fill brings that was under way.
    pub late_fills: bool,
}

/// What is purged: an object, or else a group.
pub type Purged = Result<u64, u64>;

/// For so long a node keeps out what a fill brings from before a purge: no fill takes longer.
const STRUCK_US: Micros = 600_000_000;

/// A request as it arrives at a node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fetch {
    /// Its connection, as the driver numbers them.
    pub connection: u64,
    /// The proxy at its other end.
    pub proxy: usize,
    /// Its id on the wire.
    pub id: String,
    /// The object and part.
    pub part: Part,
    /// Group of the object.
    pub group: u64,
    /// Its sending time.
    pub work_us: Micros,
    /// Its size.
    pub kb: u64,
    /// Node that a miss is filled from; none: no fill.
    pub source: Option<String>,
    /// Rank at which the copy is kept; 0: not kept.
    pub keep: u8,
    /// Oldest copy that will do, by its age.
    pub max_age_us: Micros,
    /// It may join a fill that is under way.
    pub join: bool,
    /// It is a write, under this key or none.
    pub write: Option<Option<String>>,
}

/// What a node says.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    /// An answer to a request.
    Answer {
        /// Its connection.
        connection: u64,
        /// Its id.
        id: String,
        /// `200`, `404` or `503`.
        word: &'static str,
        /// How it was made, in the protocol's words.
        how: &'static str,
        /// The wait for the source.
        waited_us: Micros,
        /// When the copy was made.
        made: Micros,
        /// The part.
        part: Part,
    },
    /// The node has fallen over: all its connections are reset.
    Fell(String),
}

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    Waiting,
    Filling,
    Sending { how: &'static str, made: Micros, waited_us: Micros },
}

#[derive(Clone, Debug)]
struct Open {
    fetch: Fetch,
    phase: Phase,
    since: Micros,
    /// Its place among the attempts.
    attempt: usize,
}

/// A fill under way at a node, by its part.
#[derive(Clone, Debug)]
struct Filling {
    number: u64,
    how: &'static str,
    made: Micros,
    began: Micros,
    /// Those who were or are sent it; who gives up is none of them any more.
    waiters: Vec<u64>,
    /// The first request for it, which tells its size; the rank is the highest that was asked for.
    fetch: Fetch,
}

struct Node {
    kind: Kind,
    figures: Figures,
    link: Link,
    memory: Memory,
    cold: Option<Cold>,
    sent: VecDeque<(Micros, f64)>,
    up: bool,
    stalled: bool,
    open: BTreeMap<u64, Open>,
    waiting: VecDeque<u64>,
    filling: HashMap<Part, Filling>,
    /// Of a hub cache: what it fetches, and when that will be there.
    fetching: HashMap<Part, (Micros, Micros)>,
    /// The purges that it has carried out, each with its time.
    struck: HashMap<Purged, Micros>,
}

enum Timer {
    /// The first byte of a fill has come: node, part and number of the fill.
    Begins(String, Part, u64),
    /// Nothing may have come of a fill.
    Late(String, Part, u64),
    /// The origin has worked off something.
    OriginFree,
    /// A write has run: node and request.
    Written(String, u64),
    /// A stall is over.
    Goes(String),
    /// A node carries out a purge of that time.
    Drops(String, Purged, Micros),
}

/// All nodes of a rehearsal.
pub struct World {
    site: Site,
    inward: Link,
    /// Fills on the site's link: node and part.
    inward_fills: HashMap<u64, (String, Part)>,
    nodes: BTreeMap<String, Node>,
    timers: BTreeMap<(Micros, u64), Timer>,
    next: u64,
    origin_busy: usize,
    /// How many times slower the origin is.
    origin_slow: f64,
    keys: HashMap<String, Micros>,
    /// Writes that ran, and of them those that ran under a key that had run before.
    pub writes: (u64, u64),
    /// All that has arrived.
    pub attempts: Vec<Attempt>,
}

impl World {
    /// A world without nodes.
    pub fn new(site: Site) -> Self {
        World {
            inward: Link::new(site.link),
            site,
            inward_fills: HashMap::new(),
            nodes: BTreeMap::new(),
            timers: BTreeMap::new(),
            next: 0,
            origin_busy: 0,
            origin_slow: 1.0,
            keys: HashMap::new(),
            writes: (0, 0),
            attempts: Vec::new(),
        }
    }

    /// Adds a node, or starts one anew with an empty memory. One that is given a `Cold` starts cold.
    pub fn start(&mut self, uid: &str, kind: Kind, figures: Figures, cold: Option<Cold>) {
        let capacity = cold.as_ref().map_or(figures.capacity, |c| c.capacity_at(c.at));
        let node = Node {
            kind,
            link: Link::new(capacity),
            memory: Memory::new(figures.memory_kb),
            cold,
            sent: VecDeque::new(),
            up: true,
            stalled: false,
            open: BTreeMap::new(),
            waiting: VecDeque::new(),
            filling: HashMap::new(),
            fetching: HashMap::new(),
            struck: HashMap::new(),
            figures,
        };
        self.nodes.insert(uid.to_owned(), node);
    }

    /// Takes a node down: what was open there is over.
    pub fn stop(&mut self, now: Micros, uid: &str) {
        let Some(node) = self.nodes.get_mut(uid) else { return };
        node.up = false;
        for open in std::mem::take(&mut node.open).into_values() {
            self.attempts[open.attempt].ended = Some((now, Ended::GivenUp));
        }
        node.waiting.clear();
        node.filling.clear();
        node.link = Link::new(node.figures.capacity);
    }

    /// A node sends nothing for a while.
    pub fn stall(&mut self, now: Micros, uid: &str, lasts: Micros) {
        if let Some(node) = self.nodes.get_mut(uid) {
            node.stalled = true;
            node.link.change(0.0);
            self.at(now + lasts, Timer::Goes(uid.to_owned()));
        }
    }

    /// The origin is so many times slower from here on.
    pub fn slow_origin(&mut self, times: f64) {
        self.origin_slow = times;
    }

    /// A purge is made: each box and hub cache drops its older copies in its own time.
    pub fn purge_all(&mut self, now: Micros, what: Purged, at: Micros) {
        let uids: Vec<String> = self.nodes.keys().cloned().collect();
        for uid in uids {
            self.next += 1;
            // Spread over the whole time, differently for each purge and node, and alike in each play.
            let spread = self.next.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
            let after = self.site.purge_takes_us * spread / (1 << 24);
            self.at(now + after, Timer::Drops(uid, what, at));
        }
    }

    /// A node carries out a purge.
    pub fn purge(&mut self, uid: &str, what: Purged, at: Micros) {
        if let Some(node) = self.nodes.get_mut(uid) {
            node.memory.purge(what, at);
            node.struck.retain(|_, then| *then + STRUCK_US > at);
            let last = node.struck.entry(what).or_insert(at);
            *last = at.max(*last);
        }
    }

    /// Whether a node runs.
    pub fn is_up(&self, uid: &str) -> bool {
        self.nodes.get(uid).is_some_and(|n| n.up)
    }

    /// Requests that a node holds.
    pub fn inflight(&self, uid: &str) -> usize {
        self.nodes.get(uid).map_or(0, |n| n.open.len())
    }

    fn at(&mut self, at: Micros, timer: Timer) {
        self.next += 1;
        self.timers.insert((at, self.next), timer);
    }

    /// When `advance` has something to do.
    pub fn next_due(&self) -> Option<Micros> {
        let links = self.nodes.values().filter(|n| n.up && !n.stalled).filter_map(|n| n.link.next_due());
        let timer = self.timers.keys().next().map(|t| t.0);
        links.chain(timer).chain(self.inward.next_due()).min()
    }

    /// Lets time pass.
    pub fn advance(&mut self, now: Micros) -> Vec<Out> {
        let mut out = Vec::new();
        while let Some(due) = self.next_due().filter(|due| *due <= now) {
            self.step(due, &mut out);
        }
        self.step(now, &mut out);
        out
    }

    /// All that comes due at one moment.
    fn step(&mut self, now: Micros, out: &mut Vec<Out>) {
        for (fill, _) in self.inward.advance(now) {
            if let Some((uid, part)) = self.inward_fills.remove(&fill) {
                self.filled(&uid, part, fill);
            }
        }
        let uids: Vec<String> = self.nodes.keys().cloned().collect();
        for uid in &uids {
            let Some(node) = self.nodes.get_mut(uid) else { continue };
            let ended = node.link.advance(now);
            if let Some(cold) = node.cold.as_ref().filter(|_| !node.stalled) {
                node.link.change(cold.capacity_at(now));
            }
            for (request, at) in ended {
                let Some(open) = node.open.remove(&request) else { continue };
                let Phase::Sending { how, made, waited_us } = open.phase else { continue };
                self.attempts[open.attempt].ended = Some((at, Ended::Ran));
                let Fetch { connection, id, part, .. } = open.fetch;
                out.push(Out::Answer { connection, id, word: "200", how, waited_us, made, part });
            }
            self.admit(now, uid, out);
        }
        while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= now) {
            let timer = entry.remove();
            self.timer(now, timer, out);
        }
    }

    fn timer(&mut self, now: Micros, timer: Timer, out: &mut Vec<Out>) {
        match timer {
            Timer::Begins(uid, part, number) => {
                let Some(node) = self.nodes.get_mut(&uid) else { return };
                let Some(fill) = node.filling.get(&part).filter(|f| f.number == number) else { return };
                // Passed on while it comes: clients are sent what there is by now.
                let (how, made, began) = (fill.how, fill.made, fill.began);
                let (waiters, work) = (fill.waiters.clone(), fill.fetch.work_us);
                for (n, request) in waiters.into_iter().enumerate() {
                    let Some(open) = node.open.get_mut(&request) else { continue };
                    let how = if n == 0 { how } else { "rode" };
                    open.phase = Phase::Sending { how, made, waited_us: now - began };
                    node.link.begin(request, open.fetch.work_us);
                }
                self.inward_fills.insert(number, (uid, part));
                self.inward.begin(number, (work as f64 / self.site.fill_pace) as Micros);
            }
            Timer::Late(uid, part, number) => {
                let Some(node) = self.nodes.get_mut(&uid) else { return };
                let waits = |f: &&Filling| {
                    let all = f.waiters.iter().filter_map(|r| node.open.get(r));
                    f.number == number && all.into_iter().any(|o| o.phase == Phase::Filling)
                };
                if node.filling.get(&part).filter(waits).is_some() {
                    let fill = node.filling.remove(&part);
                    let waiters = fill.map(|f| f.waiters).unwrap_or_default();
                    waiters.into_iter().for_each(|r| self.turn_away(now, &uid, r, "503", "cut_off", out));
                }
            }
            Timer::OriginFree => self.origin_busy = self.origin_busy.saturating_sub(1),
            Timer::Written(uid, request) => {
                let Some(open) = self.nodes.get_mut(&uid).and_then(|n| n.open.remove(&request)) else {
                    return;
                };
                self.attempts[open.attempt].ended = Some((now, Ended::Ran));
                let Fetch { connection, id, write, part, .. } = open.fetch;
                let key = write.flatten();
                let known = key.as_ref().and_then(|k| self.keys.get(k)).copied();
                if known.is_none_or(|at| now >= at + self.site.key_us) {
                    self.writes.0 += 1;
                    self.writes.1 += u64::from(known.is_some());
                    self.keys.extend(key.map(|k| (k, now)));
                }
                out.push(Out::Answer {
                    connection,
                    id,
                    word: "200",
                    how: "local",
                    waited_us: 0,
                    made: now,
                    part,
                });
            }
            Timer::Drops(uid, what, at) => self.purge(&uid, what, at),
            Timer::Goes(uid) => {
                if let Some(node) = self.nodes.get_mut(&uid) {
                    node.stalled = false;
                    node.link
                        .change(node.cold.as_ref().map_or(node.figures.capacity, |c| c.capacity_at(now)));
                }
            }
        }
    }

    /// A request arrives. `advance` must have been called up to now.
    pub fn fetch(&mut self, now: Micros, uid: &str, fetch: Fetch) -> Vec<Out> {
        let mut out = Vec::new();
        let Some(node) = self.nodes.get_mut(uid).filter(|n| n.up) else { return out };
        self.next += 1;
        let request = self.next;
        self.attempts.push(Attempt {
            id: fetch.id.clone(),
            proxy: fetch.proxy,
            target: uid.to_owned(),
            source: fetch.source.clone(),
            first_byte: now,
            at: now,
            ended: None,
            work_us: fetch.work_us,
            fill_us: 0,
        });
        let attempt = self.attempts.len() - 1;
        let full = node.open.len() >= node.figures.slots + node.figures.waiting;
        let work = fetch.work_us as f64;
        node.open.insert(request, Open { fetch, phase: Phase::Waiting, since: now, attempt });
        if self.push(now, uid, work, &mut out) {
            return out;
        }
        if full {
            self.turn_away(now, uid, request, "503", "", &mut out);
        } else if let Some(node) = self.nodes.get_mut(uid) {
            node.waiting.push_back(request);
            self.admit(now, uid, &mut out);
        }
        out
    }

    /// A request is given up, or its connection has ended.
    pub fn abort(&mut self, now: Micros, uid: &str, connection: u64, id: Option<&str>) {
        let Some(node) = self.nodes.get_mut(uid) else { return };
        let meant = |o: &Open| o.fetch.connection == connection && id.is_none_or(|id| o.fetch.id == id);
        let over: Vec<u64> = node.open.iter().filter(|(_, o)| meant(o)).map(|(r, _)| *r).collect();
        for request in &over {
            node.link.call_off(*request);
            node.waiting.retain(|r| r != request);
            if let Some(open) = node.open.remove(request) {
                self.attempts[open.attempt].ended = Some((now, Ended::GivenUp));
            }
        }
        // A fill whose clients have all left is dropped.
        let (inward, fills) = (&mut self.inward, &mut self.inward_fills);
        node.filling.retain(|_, f| {
            f.waiters.retain(|r| !over.contains(r));
            if f.waiters.is_empty() {
                inward.call_off(f.number);
                fills.remove(&f.number);
            }
            !f.waiters.is_empty()
        });
    }

    /// Work is sent to a node: one that is cold falls over if that is too much. Whether it has.
    fn push(&mut self, now: Micros, uid: &str, work_us: f64, out: &mut Vec<Out>) -> bool {
        let Some(node) = self.nodes.get_mut(uid) else { return false };
        let Some(cold) = node.cold.clone().filter(|c| now < c.at + c.warm_us) else { return false };
        node.sent.push_back((now, work_us));
        while node.sent.front().is_some_and(|s| s.0 + cold.fall_us < now) {
            node.sent.pop_front();
        }
        let sum: f64 = node.sent.iter().map(|s| s.1).sum();
        let from = now.saturating_sub(cold.fall_us).max(cold.at);
        if sum <= cold.multiple * cold.able(from, from + cold.fall_us) {
            return false;
        }
        self.stop(now, uid);
        out.push(Out::Fell(uid.to_owned()));
        true
    }

    fn turn_away(
        &mut self,
        now: Micros,
        uid: &str,
        request: u64,
        word: &'static str,
        how: &'static str,
        out: &mut Vec<Out>,
    ) {
        let Some(open) = self.nodes.get_mut(uid).and_then(|n| n.open.remove(&request)) else { return };
        self.attempts[open.attempt].ended = Some((now, Ended::Unseen));
        let Fetch { connection, id, part, .. } = open.fetch;
        out.push(Out::Answer { connection, id, word, how, waited_us: now - open.since, made: 0, part });
    }

    /// Begins what waits, as far as there are slots.
    fn admit(&mut self, now: Micros, uid: &str, out: &mut Vec<Out>) {
        loop {
            let Some(node) = self.nodes.get_mut(uid) else { return };
            let busy = node.open.len() - node.waiting.len();
            if busy >= node.figures.slots || node.stalled {
                return;
            }
            let Some(request) = node.waiting.pop_front() else { return };
            self.begin(now, uid, request, out);
        }
    }

    fn begin(&mut self, now: Micros, uid: &str, request: u64, out: &mut Vec<Out>) {
        let Some(node) = self.nodes.get_mut(uid) else { return };
        let Some(open) = node.open.get_mut(&request) else { return };
        let f = open.fetch.clone();
        if f.write.is_some() {
            open.phase = Phase::Filling;
            if node.kind == Kind::Origin {
                let took = self.ask_origin(now);
                return self.at(now + took, Timer::Written(uid.to_owned(), request));
            }
            return self.turn_away(now, uid, request, "404", "", out);
        }
        let oldest = now.saturating_sub(f.max_age_us);
        let held =
            if node.kind == Kind::Origin { Some(now) } else { node.memory.get(f.part, oldest, f.keep) };
        if let Some(made) = held {
            open.phase = Phase::Sending { how: "local", made, waited_us: 0 };
            return node.link.begin(request, f.work_us);
        }
        open.phase = Phase::Filling;
        if let Some(fill) = node.filling.get_mut(&f.part) {
            // One that is under way from a copy that is too old for this one is nothing to join.
            if !f.join || fill.made < oldest {
                return self.turn_away(now, uid, request, "404", "rode", out);
            }
            fill.waiters.push(request);
            fill.fetch.keep = fill.fetch.keep.max(f.keep);
            let (made, sending) = (fill.made, self.inward_fills.contains_key(&fill.number));
            if sending {
                // It has begun to come: this one is sent it from here on.
                open.phase = Phase::Sending { how: "rode", made, waited_us: 0 };
                node.link.begin(request, f.work_us);
            }
            return;
        }
        let Some(source) = f.source.clone() else {
            return self.turn_away(now, uid, request, "404", "", out);
        };
        if node.filling.len() >= node.figures.fills {
            return self.turn_away(now, uid, request, "503", "no_place", out);
        }
        let (timeout, attempt) = (node.figures.fill_timeout_us, open.attempt);
        self.attempts[attempt].fill_us = f.work_us;
        if self.push(now, &source, f.work_us as f64, out) || !self.is_up(&source) {
            return self.turn_away(now, uid, request, "503", "cut_off", out);
        }
        let Some((wait, how, made)) = self.ask(now, &source, &f) else {
            return self.turn_away(now, uid, request, "503", "not_there", out);
        };
        self.next += 1;
        let number = self.next;
        let part = f.part;
        let filling = Filling { number, how, made, began: now, waiters: vec![request], fetch: f };
        if let Some(node) = self.nodes.get_mut(uid) {
            node.filling.insert(part, filling);
        }
        self.at(now + wait, Timer::Begins(uid.to_owned(), part, number));
        self.at(now + timeout, Timer::Late(uid.to_owned(), part, number));
    }

    /// The origin is asked: how long it takes, more where it is crowded.
    fn ask_origin(&mut self, now: Micros) -> Micros {
        let workers =
            self.nodes.values().find(|n| n.kind == Kind::Origin).map_or(1, |n| n.figures.fills.max(1));
        self.origin_busy += 1;
        let crowd = (self.origin_busy as f64 / workers as f64).max(1.0);
        let took = (self.site.origin_us as f64 * self.origin_slow * crowd) as Micros;
        self.at(now + took, Timer::OriginFree);
        took
    }

    /// A source is asked for a part: the wait for its first byte, how it was made and when; none: it lacks it.
    fn ask(&mut self, now: Micros, source: &str, f: &Fetch) -> Option<(Micros, &'static str, Micros)> {
        let kind = self.nodes.get(source)?.kind;
        if kind == Kind::Origin {
            let took = self.ask_origin(now);
            return Some((self.site.far_us + took, "pulled", now + took));
        }
        let oldest = now.saturating_sub(f.max_age_us);
        let near = self.site.near_us;
        let node = self.nodes.get_mut(source)?;
        if let Some(made) = node.memory.get(f.part, oldest, 0) {
            return Some((near, "pulled", made));
        }
        if kind == Kind::Box {
            return None;
        }
        node.fetching.retain(|_, (until, _)| *until > now);
        if let Some((until, made)) = node.fetching.get(&f.part).copied() {
            return Some((near + (until - now), "pulled_far", made));
        }
        let took = self.site.far_us + self.ask_origin(now);
        let node = self.nodes.get_mut(source)?;
        node.fetching.insert(f.part, (now + took, now + took));
        node.memory.keep(f.part, f.group, f.kb, now + took, 1);
        Some((near + took, "pulled_far", now + took))
    }

    /// A fill has come whole: its copy is kept, by the highest rank that was asked for.
    fn filled(&mut self, uid: &str, part: Part, number: u64) {
        let Some(node) = self.nodes.get_mut(uid) else { return };
        if node.filling.get(&part).is_some_and(|f| f.number == number) {
            let Some(Filling { fetch: f, made, .. }) = node.filling.remove(&part) else { return };
            // A copy from before a purge that was carried out here while it came is one of those that must go.
            let struck =
                [Ok(part.0), Err(f.group)].iter().any(|w| node.struck.get(w).is_some_and(|at| made < *at));
            if struck && !self.site.late_fills {
                return;
            }
            node.memory.keep(part, f.group, f.kb, made, f.keep);
        }
    }
}
