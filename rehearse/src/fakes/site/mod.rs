//! A fake site of caches, parent caches and the origin, with slots, queues, shared links, stored copies, fills, slow
//! starts and crashes under load. It does no I/O: the caller passes requests with their arrival times and receives
//! answers with their sending times.
//!
//! It does not model the sizes of answers on the wire, noise in load reports, or the outgoing link of a parent cache during
//! fills.

mod fills;
mod forms;
mod requests;
mod timers;

pub use forms::{Fetch, NodeKind, NodeParameters, PurgeTarget, SiteOutput, SiteParameters};

use super::cache_memory::{CacheMemory, Part};
use super::shared_link::SharedLink;
use crate::record::{Attempt, ColdStart, Ended, Micros};
use std::collections::{BTreeMap, HashMap, VecDeque};
use timers::Timer;

/// The time for which a node remembers a purge, in order to reject older copies from fills. It exceeds the duration of
/// any fill.
const PURGE_RETENTION_US: Micros = 600_000_000;

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    Waiting,
    Filling,
    Sending {
        how: &'static str,
        made: Micros,
        waited_us: Micros,
    },
}

#[derive(Clone, Debug)]
struct Open {
    fetch: Fetch,
    phase: Phase,
    since: Micros,
    /// The index of the request's attempt in `FakeSite::attempts`.
    attempt: usize,
}

impl Open {
    /// Returns the answer and the index of the attempt, or `None` if the answer was not yet being sent.
    fn into_answer(self) -> Option<(usize, SiteOutput)> {
        let Phase::Sending {
            how,
            made,
            waited_us,
        } = self.phase
        else {
            return None;
        };
        let answer = SiteOutput::Answer {
            connection: self.fetch.connection,
            id: self.fetch.id,
            status: "200",
            how,
            waited_us,
            made,
            part: self.fetch.part,
        };
        Some((self.attempt, answer))
    }
}

/// A fill in progress at a node.
#[derive(Clone, Debug)]
struct FillInProgress {
    number: u64,
    how: &'static str,
    made: Micros,
    started_at: Micros,
    /// The requests that the fill serves, without aborted ones.
    waiters: Vec<u64>,
    /// The request that started the fill, with the highest rank of all requests that the fill serves.
    fetch: Fetch,
}

struct Node {
    kind: NodeKind,
    parameters: NodeParameters,
    link: SharedLink,
    memory: CacheMemory,
    cold: Option<ColdStart>,
    sent: VecDeque<(Micros, f64)>,
    up: bool,
    stalled: bool,
    open: BTreeMap<u64, Open>,
    waiting: VecDeque<u64>,
    filling: HashMap<Part, FillInProgress>,
    /// At a parent cache, the fetches in progress, each with its end time and the time at which the origin sent the
    /// copy.
    fetching: HashMap<Part, (Micros, Micros)>,
    /// The applied purges with the times at which they were issued.
    applied_purges: HashMap<PurgeTarget, Micros>,
}

/// The fake nodes of a test run: edge caches, parent caches and the origin.
pub struct FakeSite {
    site: SiteParameters,
    site_link: SharedLink,
    /// The node and part of each fill on the site's link, by number.
    fills_on_link: HashMap<u64, (String, Part)>,
    nodes: BTreeMap<String, Node>,
    timers: BTreeMap<(Micros, u64), Timer>,
    next: u64,
    origin_requests: usize,
    /// The factor by which the origin's response time is multiplied.
    origin_slowdown: f64,
    keys: HashMap<String, Micros>,
    /// The number of executed writes, and how many of these repeated an earlier idempotency key.
    pub writes: (u64, u64),
    /// The attempts that have arrived.
    pub attempts: Vec<Attempt>,
}

impl FakeSite {
    /// Returns a site without nodes.
    pub fn new(site: SiteParameters) -> Self {
        FakeSite {
            site_link: SharedLink::new(site.link),
            site,
            fills_on_link: HashMap::new(),
            nodes: BTreeMap::new(),
            timers: BTreeMap::new(),
            next: 0,
            origin_requests: 0,
            origin_slowdown: 1.0,
            keys: HashMap::new(),
            writes: (0, 0),
            attempts: Vec::new(),
        }
    }

    /// Adds a node, or restarts an existing node with an empty memory. With a `ColdStart`, the node starts with reduced
    /// capacity.
    pub fn start(
        &mut self,
        uid: &str,
        kind: NodeKind,
        parameters: NodeParameters,
        cold: Option<ColdStart>,
    ) {
        let capacity = cold
            .as_ref()
            .map_or(parameters.capacity, |c| c.capacity_at(c.at));
        let node = Node {
            kind,
            link: SharedLink::new(capacity),
            memory: CacheMemory::new(parameters.memory_kb),
            cold,
            sent: VecDeque::new(),
            up: true,
            stalled: false,
            open: BTreeMap::new(),
            waiting: VecDeque::new(),
            filling: HashMap::new(),
            fetching: HashMap::new(),
            applied_purges: HashMap::new(),
            parameters,
        };
        self.nodes.insert(uid.to_owned(), node);
    }

    /// Stops a node and ends its open requests.
    pub fn stop(&mut self, now: Micros, uid: &str) {
        let Some(node) = self.nodes.get_mut(uid) else {
            return;
        };
        node.up = false;
        for open in std::mem::take(&mut node.open).into_values() {
            self.attempts[open.attempt].ended = Some((now, Ended::GivenUp));
        }
        node.waiting.clear();
        node.filling.clear();
        node.link = SharedLink::new(node.parameters.capacity);
    }

    /// Stalls a node for the given time. A stalled node sends nothing.
    pub fn stall(&mut self, now: Micros, uid: &str, lasts: Micros) {
        if let Some(node) = self.nodes.get_mut(uid) {
            node.stalled = true;
            node.link.set_capacity(0.0);
            self.schedule(now + lasts, Timer::StallEnd(uid.to_owned()));
        }
    }

    /// Sets the factor by which the origin's response time is multiplied.
    pub fn set_origin_slowdown(&mut self, times: f64) {
        self.origin_slowdown = times;
    }

    /// Purges an object or group at all nodes. Each node applies the purge after an individual delay.
    pub fn purge_all(&mut self, now: Micros, what: PurgeTarget, at: Micros) {
        let uids: Vec<String> = self.nodes.keys().cloned().collect();
        for uid in uids {
            self.next += 1;
            // Spreads the delays deterministically over the allowed time.
            let spread = self.next.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
            let after = self.site.purge_takes_us * spread / (1 << 24);
            self.schedule(now + after, Timer::ApplyPurge(uid, what, at));
        }
    }

    /// Applies a purge at a node.
    pub fn purge(&mut self, uid: &str, what: PurgeTarget, at: Micros) {
        if let Some(node) = self.nodes.get_mut(uid) {
            node.memory.purge(what, at);
            node.applied_purges
                .retain(|_, then| *then + PURGE_RETENTION_US > at);
            let last = node.applied_purges.entry(what).or_insert(at);
            *last = at.max(*last);
        }
    }

    /// Returns whether a node is running.
    pub fn is_up(&self, uid: &str) -> bool {
        self.nodes.get(uid).is_some_and(|n| n.up)
    }

    /// Returns the number of open requests at a node.
    pub fn inflight(&self, uid: &str) -> usize {
        self.nodes.get(uid).map_or(0, |n| n.open.len())
    }

    fn schedule(&mut self, at: Micros, timer: Timer) {
        self.next += 1;
        self.timers.insert((at, self.next), timer);
    }

    /// Returns the time of the next event.
    pub fn next_due(&self) -> Option<Micros> {
        let links = self
            .nodes
            .values()
            .filter(|n| n.up && !n.stalled)
            .filter_map(|n| n.link.next_due());
        let timer = self.timers.keys().next().map(|t| t.0);
        links.chain(timer).chain(self.site_link.next_due()).min()
    }

    /// Advances the time and returns the outputs.
    pub fn advance(&mut self, now: Micros) -> Vec<SiteOutput> {
        let mut out = Vec::new();
        while let Some(due) = self.next_due().filter(|due| *due <= now) {
            self.step(due, &mut out);
        }
        self.step(now, &mut out);
        out
    }

    /// Handles all events that are due at one time.
    fn step(&mut self, now: Micros, out: &mut Vec<SiteOutput>) {
        for (fill, _) in self.site_link.advance(now) {
            if let Some((uid, part)) = self.fills_on_link.remove(&fill) {
                self.finish_fill(&uid, part, fill);
            }
        }
        let uids: Vec<String> = self.nodes.keys().cloned().collect();
        for uid in &uids {
            let Some(node) = self.nodes.get_mut(uid) else {
                continue;
            };
            let ended = node.link.advance(now);
            if let Some(cold) = node.cold.as_ref().filter(|_| !node.stalled) {
                node.link.set_capacity(cold.capacity_at(now));
            }
            for (request, at) in ended {
                let open = node.open.remove(&request);
                if let Some((attempt, answer)) = open.and_then(Open::into_answer) {
                    self.attempts[attempt].ended = Some((at, Ended::Ran));
                    out.push(answer);
                }
            }
            self.admit(now, uid, out);
        }
        while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= now) {
            let timer = entry.remove();
            self.run_timer(now, timer, out);
        }
    }
}
