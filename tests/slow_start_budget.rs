//! Simulates a warming server and all routers that send to it: in any window they stay within the slow-start rule plus
//! random variation, and they use a reasonable part of the budget.

mod common;
use common::*;
use linnetknot::*;

/// A fleet of routers that send to one warming server.
struct Scenario {
    routers: u32,
    /// Spacing of the router indices in the warming server's location.
    index_step: u32,
    /// Interval between the requests of one router.
    request_interval: Micros,
    is_parent: bool,
    id: ServerId,
    seed: u64,
    /// Time since the server's start at which all routers restart without their state.
    restart: Option<Micros>,
}

/// Transfer time of each request at full rate.
const WORK_S: f64 = 0.1;

impl Scenario {
    fn settings(&self) -> Settings {
        let mut s = Settings {
            direct_to_upstream: false,
            ..settings()
        };
        s.zones[1].routers = self.routers;
        s.zones[2].routers = 0;
        s.zones[1].link_kb_per_s = 1e9;
        s
    }

    /// Returns the times of requests sent to the server, measured from the start of the server.
    fn sends(&self, duration: Micros) -> Vec<Micros> {
        let mut servers = vec![
            server(1, "town", "cache"),
            server(11, "hub", "parent"),
            server(21, "hub", "origin"),
        ];
        let warming = usize::from(self.is_parent);
        servers[1 - warming].weight = 1e6;
        (servers[warming].id, servers[warming].started) = (self.id, Some(START));
        let start = |n: u32, now: Micros, incarnation: u64| {
            let router_index = Some(n * self.index_step);
            let seed = self.seed ^ u64::from(n).wrapping_mul(0x9e37_79b9) ^ incarnation << 40;
            let mut router = Router::new(
                Settings {
                    router_index,
                    ..self.settings()
                },
                seed,
            )
            .expect("valid settings");
            router.handle(
                now,
                Event::List {
                    mode: ListMode::Full,
                    servers: servers.clone(),
                },
                &mut Vec::new(),
            );
            router
        };
        let mut routers: Vec<Router> = (0..self.routers).map(|n| start(n, START, 0)).collect();
        let (mut sends, mut last_id, mut actions) = (Vec::new(), 0, Vec::new());
        let mut restart = self.restart;
        let steps = 10;
        for step in 0..duration / self.request_interval * steps {
            let now = START + step * self.request_interval / steps;
            if restart.take_if(|at| START + *at <= now).is_some() {
                routers = (0..self.routers).map(|n| start(n, now, 1)).collect();
            }
            let due = routers
                .iter_mut()
                .enumerate()
                .filter(|(n, _)| *n as u64 % steps == step % steps);
            for (_, router) in due {
                last_id += 1;
                let request = Request {
                    id: last_id,
                    class: "video".into(),
                    tenant: None,
                    object: format!("/o/{last_id}"),
                    part: 0,
                    group: 1,
                    size_kb: WORK_S * 5_000.0,
                    remaining_us: 5 * S,
                    is_retry: false,
                };
                actions.clear();
                router.handle(now, Event::Request(request), &mut actions);
                let Some(sent) = sent(&actions) else { continue };
                if [sent.server, sent.fill.source].contains(&self.id) {
                    sends.push(now - START);
                }
                // Each request is answered immediately, so that only the budget delays further requests.
                let note = if self.is_parent {
                    Note::Filled
                } else {
                    Note::Hit
                };
                let outcome = Event::AttemptEnded {
                    request: last_id,
                    attempt: 0,
                    server: sent.server,
                    outcome: Outcome::Ok,
                    took_us: 100 * MS,
                    settled: true,
                    note,
                    first_byte_us: 0,
                    load: None,
                };
                router.handle(now, outcome, &mut actions);
            }
        }
        sends
    }

    /// Returns the number of requests that the rule allows in a window starting at this age.
    fn allowed(&self, age: Micros) -> f64 {
        let r = self.settings().rules;
        let (share, warm_up_us, multiple, capacity) = match self.is_parent {
            true => (
                r.parent_slow_start_share,
                r.parent_slow_start_us,
                r.parent_overload_multiple,
                30.0,
            ),
            false => (
                r.slow_start_share,
                r.slow_start_us,
                r.overload_multiple,
                8.0,
            ),
        };
        let warmth = (share + (1.0 - share) * age as f64 / warm_up_us as f64).min(1.0);
        multiple * warmth * capacity * r.overload_window_us as f64 / 1e6 / WORK_S
    }

    /// Returns the largest excess of any window over the allowed requests plus random variation, and the used fraction
    /// of the allowed requests.
    fn run(&self) -> (f64, f64) {
        let (window, duration) = (self.settings().rules.overload_window_us, 6 * S);
        let sends = self.sends(duration);
        let worst = sends.iter().enumerate().map(|(first, at)| {
            let within = sends[first..]
                .iter()
                .take_while(|t| **t < at + window)
                .count();
            let allowed = self.allowed(*at);
            within as f64 - (allowed + 2.0 * allowed.sqrt() + 2.0)
        });
        let all: f64 = (0..duration / window)
            .map(|w| self.allowed(w * window))
            .sum();
        (worst.fold(f64::MIN, f64::max), sends.len() as f64 / all)
    }
}

/// Scenarios in which the routers together have more requests than the server may receive.
fn scenarios() -> impl Iterator<Item = Scenario> {
    let sizes = [1, 2, 3, 5, 12, 20, 30, 48, 100, 300];
    let kinds = [(false, 1), (false, 3), (false, 8), (true, 1)];
    sizes.into_iter().flat_map(move |routers| {
        kinds.into_iter().flat_map(move |(is_parent, index_step)| {
            (0..2).map(move |seed| {
                let id = 1000 + 7 * seed + u64::from(routers);
                let request_interval = (10 * MS * u64::from(routers)).min(100 * MS);
                Scenario {
                    routers,
                    index_step,
                    request_interval,
                    is_parent,
                    id,
                    seed,
                    restart: None,
                }
            })
        })
    })
}

#[test]
fn any_window_stays_within_the_rule_and_random_variation_for_1_to_300_routers() {
    for scenario in scenarios() {
        let (excess, used_share) = scenario.run();
        let name = format!(
            "{} routers, index step {}, parent: {}",
            scenario.routers, scenario.index_step, scenario.is_parent
        );
        assert!(excess <= 0.0, "{name}: {excess} requests above the limit");
        assert!(
            used_share >= 0.2,
            "{name}: only {used_share} of the budget is used"
        );
        assert!(
            used_share <= 0.8,
            "{name}: {used_share} of the budget is used"
        );
    }
}

/// Guards against restarted routers, which have no record of sent requests, exceeding the budget.
#[test]
fn a_simultaneous_restart_of_all_routers_overloads_no_warming_server() {
    for scenario in scenarios() {
        let scenario = Scenario {
            restart: Some(1_500 * MS),
            ..scenario
        };
        let (excess, _) = scenario.run();
        assert!(
            excess <= 0.0,
            "{} routers, index step {}: {excess} requests above the limit",
            scenario.routers,
            scenario.index_step
        );
    }
}

/// Guards against a burst after an idle period, as when an object becomes popular.
#[test]
fn unused_send_slots_do_not_accumulate() {
    for routers in [20, 30, 100, 300] {
        let scenario = Scenario {
            routers,
            index_step: 1,
            request_interval: 3 * S,
            is_parent: false,
            id: 77,
            seed: 1,
            restart: None,
        };
        let (excess, _) = scenario.run();
        assert!(
            excess <= 0.0,
            "{routers} routers: {excess} requests above the limit"
        );
    }
}
