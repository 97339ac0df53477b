//! Checks the load that all proxies together send to a server in slow start, in virtual time and for several seeds.
//! Proxies have leases from an allocator, their index, or only the number of proxies. Attempts fail and are
//! retried at other servers, and fills count at their source.

mod common;
use common::*;
use linnetknot::*;
use std::collections::{BTreeMap, VecDeque};

/// Information from which a proxy derives its part of a server's slow-start budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BudgetKnowledge {
    /// A lease states the proxy's part of the budget.
    Lease,
    /// The proxy is configured with its index among all proxies.
    Index,
    /// The proxy is configured only with the number of proxies.
    Count,
}

/// Number of scenarios of each kind, each with its own seed.
const SEEDS: u64 = 4;
/// Server capacities relative to the default. At the server's start the slow-start rule allows 48 requests (cache) or
/// 60 (parent) with the first, 14 or 18 with the second, and 3 or 4 with the third.
const RELATIVE_CAPACITIES: [f64; 3] = [1.0, 0.3, 0.06];
const FLEETS: [u32; 4] = [1, 3, 30, 300];
/// Transfer time of each request at full rate.
const WORK_S: f64 = 0.1;
const CACHE: ServerId = 1;
const PARENT: ServerId = 11;
const DURATION: Micros = 4 * S;
/// Simulation steps between two requests of a proxy.
const STEPS: u64 = 10;

/// A scenario in which the proxies together have more requests than the server in slow start may receive.
struct Scenario {
    proxies: u32,
    knowledge: BudgetKnowledge,
    /// The parent is in slow start; otherwise the cache is.
    is_parent: bool,
    /// Capacity relative to the default, one of `RELATIVE_CAPACITIES`.
    relative_capacity: f64,
    seed: u64,
}

/// A scheduled answer to a proxy.
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

/// The window in which the requests exceed the limit by the most.
#[derive(Clone, Copy, Debug)]
struct Excess {
    /// Requests above the limit; negative if the limit was not reached.
    excess: f64,
    /// Maximum number of requests that the slow-start rule allows in that window.
    limit: f64,
    /// Number of requests sent to the server in that window.
    requests: usize,
}

/// Returns the accepted number of requests in a window for which the rule allows `n`, including random variation.
fn limit(n: f64) -> f64 {
    let (roots, requests) = if n < 30.0 { (3.0, 3.0) } else { (2.0, 2.0) };
    n + roots * n.sqrt() + requests
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
            let warming = self.warming_server();
            // Warm servers have capacity for all requests.
            if s.id == warming {
                s.started = Some(START);
                s.weight *= self.relative_capacity;
            } else if s.kind == if self.is_parent { "cache" } else { "parent" } {
                s.weight = 1e6;
            }
        }
        all
    }

    fn proxy(&self, index: u32) -> Router {
        let seed = self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(index);
        let mut router = Router::new(self.settings(index), seed).expect("valid settings");
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

    fn warming_server(&self) -> ServerId {
        if self.is_parent {
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

    /// Returns the number of requests N that the rule allows in a window starting at this age.
    fn allowed(&self, age: Micros) -> f64 {
        let r = self.settings(0).rules;
        let (share, warm_up_us, multiple, capacity) = if self.is_parent {
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
        let warmth = (share + (1.0 - share) * age as f64 / warm_up_us as f64).min(1.0);
        multiple * warmth * capacity * self.relative_capacity * r.overload_window_us as f64
            / 1e6
            / WORK_S
    }

    fn worst_window(&self) -> Excess {
        let requests = Run::new(self).requests();
        let window = settings().rules.overload_window_us;
        let excesses = requests.iter().enumerate().map(|(first, at)| {
            let within = requests[first..].partition_point(|t| *t < at + window);
            let limit = limit(self.allowed(*at));
            Excess {
                excess: within as f64 - limit,
                limit,
                requests: within,
            }
        });
        let none = Excess {
            excess: -limit(self.allowed(0)),
            limit: limit(self.allowed(0)),
            requests: 0,
        };
        excesses.fold(none, |a, b| if b.excess > a.excess { b } else { a })
    }
}

/// A running scenario.
struct Run<'a> {
    scenario: &'a Scenario,
    proxies: Vec<Router>,
    /// Scheduled answers by time.
    scheduled_answers: BTreeMap<Micros, VecDeque<Answer>>,
    /// Number of attempts by request.
    attempts: BTreeMap<RequestId, u32>,
    /// Times of the requests to the server in slow start, measured from the start of the server.
    requests: Vec<Micros>,
}

impl<'a> Run<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        Run {
            scenario,
            proxies: (0..scenario.proxies).map(|n| scenario.proxy(n)).collect(),
            scheduled_answers: BTreeMap::new(),
            attempts: BTreeMap::new(),
            requests: Vec::new(),
        }
    }

    fn requests(mut self) -> Vec<Micros> {
        let request_interval = (10 * MS * u64::from(self.scenario.proxies)).min(100 * MS);
        let mut next_id = 0;
        for step in 0..DURATION / request_interval * STEPS {
            let now = START + step * request_interval / STEPS;
            let remaining = self.scheduled_answers.split_off(&(now + 1));
            for answer in std::mem::replace(&mut self.scheduled_answers, remaining)
                .into_values()
                .flatten()
            {
                self.handle(now, answer.proxy, answer.event());
            }
            for proxy in (0..self.proxies.len()).filter(|n| *n as u64 % STEPS == step % STEPS) {
                next_id += 1;
                self.handle(now, proxy, Event::Request(self.scenario.request(next_id)));
            }
        }
        self.requests
    }

    /// Counts requests to the server in slow start and schedules an answer to every attempt; one in three is rejected.
    fn handle(&mut self, now: Micros, proxy: usize, event: Event) {
        let (mut actions, warming) = (Vec::new(), self.scenario.warming_server());
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
            if server == warming || fill.is_some_and(|fill| fill.source == warming) {
                self.requests.push(now - START);
            }
            let attempts = self.attempts.entry(request).or_insert(0);
            let attempt = std::mem::replace(attempts, *attempts + 1);
            let rejected =
                attempt < 2 && (request + u64::from(attempt) + self.scenario.seed) % 3 == 0;
            let at = now + if rejected { 2 * MS } else { 20 * MS };
            self.scheduled_answers
                .entry(at)
                .or_default()
                .push_back(Answer {
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
        for is_parent in [false, true] {
            for relative_capacity in RELATIVE_CAPACITIES {
                all.extend((0..SEEDS).map(|seed| Scenario {
                    proxies,
                    knowledge,
                    is_parent,
                    relative_capacity,
                    seed: 101 * seed + u64::from(proxies),
                }));
            }
        }
    }
    all
}

/// Asserts that no window exceeds its limit, and prints the largest excess of each scenario.
fn assert_within_limit(knowledge: BudgetKnowledge) {
    let mut violations = Vec::new();
    for scenario in scenarios(knowledge) {
        let worst_window = scenario.worst_window();
        println!(
            "{knowledge:?}, {} proxies, parent: {}, N {:.1} at the start, seed {}: {} requests, limit {:.1}, excess {:.1}",
            scenario.proxies, scenario.is_parent, scenario.allowed(0), scenario.seed, worst_window.requests, worst_window.limit, worst_window.excess
        );
        if worst_window.excess > 0.0 {
            violations.push((
                scenario.proxies,
                scenario.is_parent,
                scenario.relative_capacity,
                scenario.seed,
                worst_window,
            ));
        }
    }
    assert!(
        violations.is_empty(),
        "{knowledge:?}: {} scenarios exceed the limit: {violations:?}",
        violations.len()
    );
}

#[test]
fn proxies_with_leases_stay_within_the_limit() {
    assert_within_limit(BudgetKnowledge::Lease);
}

#[test]
fn proxies_that_know_their_index_stay_within_the_limit() {
    assert_within_limit(BudgetKnowledge::Index);
}

#[test]
fn proxies_that_know_only_the_number_of_proxies_stay_within_the_limit() {
    assert_within_limit(BudgetKnowledge::Count);
}
