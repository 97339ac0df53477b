//! A cold server and all the routers that send to it, on one virtual time: what they send in any window of the rule is
//! what the rule allows and what is chance beside it, however many they are, and it is not next to nothing.

mod common;
use common::*;
use linnetknot::*;

/// What the routers of a fleet send to a cold server, in order of time.
struct Scenario {
    routers: u32,
    /// The routers of the cold server's location are those with every so many-th number.
    every: u32,
    /// Each has a request so often.
    each: Micros,
    parent: bool,
    id: ServerId,
    seed: u64,
    /// All routers start again at this time since the server's start, and have forgotten all.
    restart: Option<Micros>,
}

/// Each request's work at full pace.
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

    /// Times of the sends since the server's start.
    fn sends(&self, length: Micros) -> Vec<Micros> {
        let mut servers = vec![
            server(1, "town", "cache"),
            server(11, "hub", "parent"),
            server(21, "hub", "origin"),
        ];
        let cold = usize::from(self.parent);
        servers[1 - cold].weight = 1e6;
        (servers[cold].id, servers[cold].started) = (self.id, Some(START));
        let start = |n: u32, now: Micros, life: u64| {
            let router_index = Some(n * self.every);
            let seed = self.seed ^ u64::from(n).wrapping_mul(0x9e37_79b9) ^ life << 40;
            let mut router = Router::new(
                Settings {
                    router_index,
                    ..self.settings()
                },
                seed,
            )
            .expect("usable");
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
        let (mut sends, mut number, mut actions) = (Vec::new(), 0, Vec::new());
        let mut restart = self.restart;
        let steps = 10;
        for step in 0..length / self.each * steps {
            let now = START + step * self.each / steps;
            if restart.take_if(|at| START + *at <= now).is_some() {
                routers = (0..self.routers).map(|n| start(n, now, 1)).collect();
            }
            let due = routers
                .iter_mut()
                .enumerate()
                .filter(|(n, _)| *n as u64 % steps == step % steps);
            for (_, router) in due {
                number += 1;
                let request = Request {
                    id: number,
                    class: "video".into(),
                    tenant: None,
                    object: format!("/o/{number}"),
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
                // Answered at once, so that nothing but the budget holds the next one back.
                let note = if self.parent { Note::Filled } else { Note::Hit };
                let outcome = Event::AttemptEnded {
                    request: number,
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

    /// What the rule allows in a window that begins at this age, in requests.
    fn allowed(&self, age: Micros) -> f64 {
        let r = self.settings().rules;
        let (share, cold, multiple, capacity) = match self.parent {
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
        let warmth = (share + (1.0 - share) * age as f64 / cold as f64).min(1.0);
        multiple * warmth * capacity * r.overload_window_us as f64 / 1e6 / WORK_S
    }

    /// Plays it: the greatest excess of a window over what is allowed and chance, and the share of what is allowed that is
    /// used in all.
    fn run(&self) -> (f64, f64) {
        let (window, length) = (self.settings().rules.overload_window_us, 6 * S);
        let sends = self.sends(length);
        let worst = sends.iter().enumerate().map(|(first, at)| {
            let within = sends[first..]
                .iter()
                .take_while(|t| **t < at + window)
                .count();
            let n = self.allowed(*at);
            within as f64 - (n + 2.0 * n.sqrt() + 2.0)
        });
        let all: f64 = (0..length / window).map(|w| self.allowed(w * window)).sum();
        (worst.fold(f64::MIN, f64::max), sends.len() as f64 / all)
    }
}

/// Each with more to send than the server bears, all together.
fn scenarios() -> impl Iterator<Item = Scenario> {
    let sizes = [1, 2, 3, 5, 12, 20, 30, 48, 100, 300];
    let kinds = [(false, 1), (false, 3), (false, 8), (true, 1)];
    sizes.into_iter().flat_map(move |routers| {
        kinds.into_iter().flat_map(move |(parent, every)| {
            (0..2).map(move |seed| {
                let id = 1000 + 7 * seed + u64::from(routers);
                let each = (10 * MS * u64::from(routers)).min(100 * MS);
                Scenario {
                    routers,
                    every,
                    each,
                    parent,
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
        let (over, used) = scenario.run();
        let name = format!(
            "{} routers, every {}, parent: {}",
            scenario.routers, scenario.every, scenario.parent
        );
        assert!(
            over <= 0.0,
            "{name}: {over} beyond what is allowed and chance"
        );
        assert!(
            used >= 0.2,
            "{name}: only {used} of what is allowed is sent"
        );
        assert!(used <= 0.8, "{name}: {used}");
    }
}

/// Routers that start again have forgotten what they sent; their turns are where they were.
#[test]
fn a_simultaneous_restart_of_all_routers_overloads_no_warming_server() {
    for scenario in scenarios() {
        let scenario = Scenario {
            restart: Some(1_500 * MS),
            ..scenario
        };
        let (over, _) = scenario.run();
        assert!(
            over <= 0.0,
            "{} routers, every {}: {over}",
            scenario.routers,
            scenario.every
        );
    }
}

/// Where nothing was sent for long and then all have something at once, as when an object becomes hot.
#[test]
fn unused_send_slots_do_not_accumulate() {
    for routers in [20, 30, 100, 300] {
        let scenario = Scenario {
            routers,
            every: 1,
            each: 3 * S,
            parent: false,
            id: 77,
            seed: 1,
            restart: None,
        };
        let (over, _) = scenario.run();
        assert!(over <= 0.0, "{routers} routers: {over}");
    }
}
