//! How all proxies together split what a server in slow start may be sent, on one virtual time and over seeds: proxies
//! with leases from an allocator, proxies that know their number among the others, and proxies that only know how many
//! there are. Attempts fail and are retried at other servers, and fills count at their source.

mod common;
use common::*;
use linnetknot::*;
use std::collections::{BTreeMap, VecDeque};

/// What a proxy knows of the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BudgetKnowledge {
    /// Its part of the budget by a lease.
    Lease,
    /// Its number among all proxies.
    Index,
    /// How many proxies there are, and nothing else.
    Count,
}

/// Plays of each kind.
const SEEDS: u64 = 4;
/// N is 48 or 60 at the server's start, 14 or 18, and 3 or 4.
const SIZES: [f64; 3] = [1.0, 0.3, 0.06];
const FLEETS: [u32; 4] = [1, 3, 30, 300];
/// Each request's work at full pace.
const WORK_S: f64 = 0.1;
const CACHE: ServerId = 1;
const PARENT: ServerId = 11;
const LENGTH: Micros = 4 * S;
/// A proxy's steps between two of its requests.
const STEPS: u64 = 10;

/// One play: every proxy has more to send than the servers in slow start bear.
struct Scenario {
    proxies: u32,
    knowledge: BudgetKnowledge,
    /// The parent is in slow start, or else the cache.
    parent: bool,
    /// Share of its usual size that it has: N is 48 or 60 at its start with 1.
    size: f64,
    seed: u64,
}

/// An answer on its way to a proxy.
struct Answer {
    proxy: usize,
    request: RequestId,
    attempt: u32,
    server: ServerId,
    rejected: bool,
    filled: bool,
}

impl Answer {
    fn event(&self) -> Event {
        let (outcome, note) = match (self.rejected, self.filled) {
            (true, _) => (Outcome::Full, Note::NoFillPlace),
            (false, true) => (Outcome::Ok, Note::Filled),
            (false, false) => (Outcome::Ok, Note::Hit),
        };
        Event::AttemptEnded {
            request: self.request,
            attempt: self.attempt,
            server: self.server,
            outcome,
            took_us: if self.rejected { 2 * MS } else { 20 * MS },
            settled: !self.rejected,
            note,
            first_byte_us: 0,
            load: None,
        }
    }
}

/// How far the calls of any window went beyond the rule.
#[derive(Clone, Copy, Debug)]
struct Excess {
    /// Calls over the bound; below 0: none.
    over: f64,
    /// The bound of that window.
    bound: f64,
    /// Calls in it.
    calls: usize,
}

/// What a window of N calls may hold.
fn bound(n: f64) -> f64 {
    let (roots, calls) = if n < 30.0 { (3.0, 3.0) } else { (2.0, 2.0) };
    n + roots * n.sqrt() + calls
}

impl Scenario {
    fn settings(&self, router_index: u32) -> Settings {
        let mut s = Settings {
            direct_to_upstream: false,
            ..settings()
        };
        s.zones[1].routers = self.proxies;
        s.zones[2].routers = 0;
        s.zones[1].link_kb_per_s = 1e9;
        s.router_index = (self.knowledge == BudgetKnowledge::Index).then_some(router_index);
        s
    }

    fn servers(&self) -> Vec<Server> {
        let mut all = vec![
            server(CACHE, "town", "cache"),
            server(2, "town", "cache"),
            server(PARENT, "hub", "parent"),
            server(12, "hub", "parent"),
            server(21, "hub", "origin"),
        ];
        for s in &mut all {
            let cold = self.cold();
            // What is warm has room for all.
            if s.id == cold {
                s.started = Some(START);
                s.weight *= self.size;
            } else if s.kind == if self.parent { "cache" } else { "parent" } {
                s.weight = 1e6;
            }
        }
        all
    }

    fn proxy(&self, number: u32) -> Router {
        let seed = self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(number);
        let mut router = Router::new(self.settings(number), seed).expect("usable");
        let list = Event::List {
            mode: ListMode::Full,
            servers: self.servers(),
        };
        router.handle(START, list, &mut Vec::new());
        if self.knowledge == BudgetKnowledge::Lease {
            for budget in [Budget::Caches, Budget::Parents] {
                let amount = 1.0 / f64::from(self.proxies);
                let lease = Lease {
                    budget,
                    amount,
                    until: START + 100 * S,
                    reserved: 0.0,
                };
                router.handle(START, Event::Lease(lease), &mut Vec::new());
            }
        }
        router
    }

    fn cold(&self) -> ServerId {
        if self.parent {
            PARENT
        } else {
            CACHE
        }
    }

    fn request(&self, id: RequestId) -> Request {
        Request {
            id,
            class: "video".into(),
            tenant: None,
            object: format!("/o/{}/{id}", self.seed),
            part: 0,
            group: 1,
            size_kb: WORK_S * 5_000.0,
            remaining_us: 5 * S,
            is_retry: false,
        }
    }

    /// What the rule calls N in a window that begins at this age.
    fn allowed(&self, age: Micros) -> f64 {
        let r = self.settings(0).rules;
        let (share, cold, multiple, capacity) = if self.parent {
            (
                r.parent_slow_start_share,
                r.parent_slow_start_us,
                r.parent_overload_multiple,
                30.0,
            )
        } else {
            (
                r.slow_start_share,
                r.slow_start_us,
                r.overload_multiple,
                8.0,
            )
        };
        let warmth = (share + (1.0 - share) * age as f64 / cold as f64).min(1.0);
        multiple * warmth * capacity * self.size * r.overload_window_us as f64 / 1e6 / WORK_S
    }

    fn worst(&self) -> Excess {
        let calls = Run::new(self).calls();
        let window = settings().rules.overload_window_us;
        let excesses = calls.iter().enumerate().map(|(first, at)| {
            let within = calls[first..].partition_point(|t| *t < at + window);
            let bound = bound(self.allowed(*at));
            Excess {
                over: within as f64 - bound,
                bound,
                calls: within,
            }
        });
        let none = Excess {
            over: -bound(self.allowed(0)),
            bound: bound(self.allowed(0)),
            calls: 0,
        };
        excesses.fold(none, |a, b| if b.over > a.over { b } else { a })
    }
}

/// A play under way.
struct Run<'a> {
    scenario: &'a Scenario,
    proxies: Vec<Router>,
    /// Answers on their way, by when they come.
    due: BTreeMap<Micros, VecDeque<Answer>>,
    /// Attempts made of each request.
    attempts: BTreeMap<RequestId, u32>,
    /// Times of the calls that the server in slow start got, since its start.
    calls: Vec<Micros>,
}

impl<'a> Run<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        Run {
            scenario,
            proxies: (0..scenario.proxies).map(|n| scenario.proxy(n)).collect(),
            due: BTreeMap::new(),
            attempts: BTreeMap::new(),
            calls: Vec::new(),
        }
    }

    fn calls(mut self) -> Vec<Micros> {
        let each = (10 * MS * u64::from(self.scenario.proxies)).min(100 * MS);
        let mut next = 0;
        for step in 0..LENGTH / each * STEPS {
            let now = START + step * each / STEPS;
            let later = self.due.split_off(&(now + 1));
            for answer in std::mem::replace(&mut self.due, later)
                .into_values()
                .flatten()
            {
                self.handle(now, answer.proxy, answer.event());
            }
            for proxy in (0..self.proxies.len()).filter(|n| *n as u64 % STEPS == step % STEPS) {
                next += 1;
                self.handle(now, proxy, Event::Request(self.scenario.request(next)));
            }
        }
        self.calls
    }

    /// Counts the calls of the server in slow start, and has every attempt answered; one in three is rejected.
    fn handle(&mut self, now: Micros, proxy: usize, event: Event) {
        let (mut actions, cold) = (Vec::new(), self.scenario.cold());
        self.proxies[proxy].handle(now, event, &mut actions);
        for action in actions {
            let Action::Attempt {
                request,
                server,
                fill,
                ..
            } = action
            else {
                continue;
            };
            if server == cold || fill.is_some_and(|fill| fill.source == cold) {
                self.calls.push(now - START);
            }
            let attempts = self.attempts.entry(request).or_insert(0);
            let attempt = std::mem::replace(attempts, *attempts + 1);
            let rejected =
                attempt < 2 && (request + u64::from(attempt) + self.scenario.seed) % 3 == 0;
            let at = now + if rejected { 2 * MS } else { 20 * MS };
            self.due.entry(at).or_default().push_back(Answer {
                proxy,
                request,
                attempt,
                server,
                rejected,
                filled: fill.is_some(),
            });
        }
    }
}

fn scenarios(knowledge: BudgetKnowledge) -> Vec<Scenario> {
    let mut all = Vec::new();
    for proxies in FLEETS {
        for parent in [false, true] {
            for size in SIZES {
                all.extend((0..SEEDS).map(|seed| Scenario {
                    proxies,
                    knowledge,
                    parent,
                    size,
                    seed: 101 * seed + u64::from(proxies),
                }));
            }
        }
    }
    all
}

/// No window of the rule holds more calls than it allows; prints the largest excess of each fleet.
fn assert_within_bound(knowledge: BudgetKnowledge) {
    let mut over = Vec::new();
    for scenario in scenarios(knowledge) {
        let worst = scenario.worst();
        println!(
            "{knowledge:?}, {} proxies, parent: {}, N {:.1} at the start, seed {}: {} calls, bound {:.1}, excess {:.1}",
            scenario.proxies, scenario.parent, scenario.allowed(0), scenario.seed, worst.calls, worst.bound, worst.over
        );
        if worst.over > 0.0 {
            over.push((
                scenario.proxies,
                scenario.parent,
                scenario.size,
                scenario.seed,
                worst,
            ));
        }
    }
    assert!(
        over.is_empty(),
        "{knowledge:?}: {} scenarios: {over:?}",
        over.len()
    );
}

#[test]
fn proxies_with_leases_stay_within_the_bound() {
    assert_within_bound(BudgetKnowledge::Lease);
}

#[test]
fn proxies_that_know_their_index_stay_within_the_bound() {
    assert_within_bound(BudgetKnowledge::Index);
}

#[test]
fn proxies_that_know_only_the_number_of_proxies_stay_within_the_bound() {
    assert_within_bound(BudgetKnowledge::Count);
}
