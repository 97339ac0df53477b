//! The load of a rehearsal, drawn in advance from a seed. It is an open loop: arrivals do not wait for answers, so a slow
//! answer does not delay the requests after it. The same scenario and seed give the same plan.

use crate::scenario::{ClassLoad, Scenario, What};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal, Zipf};

/// A planned request.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// The time of sending, in microseconds from the start.
    pub at: u64,
    /// The index of its class in the scenario.
    pub class: usize,
    /// The object.
    pub object: u64,
    /// The part of the object.
    pub part: u64,
    /// The size of the part, in KB.
    pub size_kb: f64,
    /// The time that its client waits, in microseconds.
    pub budget: u64,
    /// The index of the proxy that its client connects to.
    pub proxy: u32,
    /// The idempotency key, if the class uses them.
    pub key: Option<u64>,
}

/// A planned purge.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Purge {
    /// The time of the purge, in microseconds from the start.
    pub at: u64,
    /// The object (`Ok`) or the group (`Err`).
    pub target: Result<u64, u64>,
}

/// The requests and purges of a rehearsal.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// The requests, in order of time.
    pub arrivals: Vec<Arrival>,
    /// The purges, in order of time.
    pub purges: Vec<Purge>,
}

/// The number of object groups.
pub const GROUP_COUNT: u64 = 256;

fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Returns the group of an object.
pub fn group(object: u64) -> u64 {
    mix(object) % GROUP_COUNT
}

/// Returns the load factor at a time in seconds, interpolated between the points of the shape.
pub fn load_factor(shape: &[(f64, f64)], at: f64) -> f64 {
    let after = shape.iter().position(|(t, _)| *t > at);
    match (shape, after) {
        ([], _) => 1.0,
        (all, None) => all[all.len() - 1].1,
        (all, Some(0)) => all[0].1,
        (all, Some(n)) => {
            let ((t0, f0), (t1, f1)) = (all[n - 1], all[n]);
            f0 + (f1 - f0) * (at - t0) / (t1 - t0)
        }
    }
}

/// Draws the objects and sizes of a class.
struct ClassGenerator<'a> {
    class: &'a ClassLoad,
    index: usize,
    popularity: Option<Zipf<f64>>,
    sizes: Option<LogNormal<f64>>,
    unique_objects: u64,
}

impl<'a> ClassGenerator<'a> {
    fn new(index: usize, class: &'a ClassLoad) -> Self {
        ClassGenerator {
            class,
            index,
            popularity: Zipf::new(class.objects as f64, class.zipf).ok(),
            sizes: LogNormal::new(class.median_kb.max(0.001).ln(), class.sigma).ok(),
            unique_objects: 0,
        }
    }

    fn object(&mut self, random: &mut ChaCha8Rng, at: f64) -> u64 {
        let (c, tag) = (self.class, (self.index as u64 + 1) << 56);
        if random.random_bool(c.once) {
            self.unique_objects += 1;
            return mix(tag ^ (1 << 55) ^ self.unique_objects);
        }
        let rank = self.popularity.as_ref().map_or(1.0, |z| z.sample(random)) as u64;
        // With drift, the object at a popularity rank changes over time.
        mix(tag ^ (rank + (c.drift * at) as u64))
    }

    /// Returns the size of a part, which is the same for each request.
    fn size_kb(&self, object: u64, part: u64) -> f64 {
        let mut own = ChaCha8Rng::seed_from_u64(mix(object ^ mix(part)));
        self.sizes
            .as_ref()
            .map_or(self.class.median_kb, |s| s.sample(&mut own))
    }
}

/// Returns the hot object for a request of a class at this second, if a fault draws it there.
fn hot_object(
    scenario: &Scenario,
    class: &ClassLoad,
    at: f64,
    random: &mut ChaCha8Rng,
) -> Option<u64> {
    let mut object = None;
    for (n, fault) in scenario.faults.iter().enumerate() {
        if let What::HotObject { class: hot, share } = &fault.what {
            let lasts = fault.at..fault.at + fault.lasts;
            let is_hot = *hot == class.name && lasts.contains(&at);
            if is_hot && random.random_bool(*share) {
                object = Some(mix(0x4007 ^ mix(n as u64)));
            }
        }
    }
    object
}

/// Draws the plan of a scenario.
pub fn plan(scenario: &Scenario, seed: u64) -> Plan {
    let mut plan = Plan::default();
    let end = scenario.seconds;
    for (index, class) in scenario.load.classes.iter().enumerate() {
        // Each class and the purges have their own random stream, so a change of one does not affect the others.
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(index as u64 + 1);
        let mut generator = ClassGenerator::new(index, class);
        let parts = (class.parts.0 + class.parts.1) as f64 / 2.0;
        let Ok(gaps) = Exp::new(scenario.load.rate * class.share / parts) else {
            continue;
        };
        let mut at = gaps.sample(&mut random);
        while at < end {
            // Arrivals at the full rate are thinned by the load factor.
            let is_accepted =
                random.random_bool(load_factor(&scenario.load.shape, at).clamp(0.0, 1.0));
            let mut object = generator.object(&mut random, at);
            if let Some(hot) = hot_object(scenario, class, at, &mut random) {
                object = hot;
            }
            let proxy = random.random_range(0..scenario.proxies.max(1));
            let count = random.random_range(class.parts.0..=class.parts.1);
            let mut part_at = at;
            for part in 0..if is_accepted { count } else { 0 } {
                if part_at >= end {
                    break;
                }
                let key = class.keyed.then(|| random.random());
                plan.arrivals.push(Arrival {
                    at: (part_at * 1e6) as u64,
                    class: index,
                    object,
                    part,
                    size_kb: generator.size_kb(object, part),
                    budget: class.budget_ms * 1000,
                    proxy,
                    key,
                });
                part_at += random.random_range(class.gap.0..=class.gap.1);
            }
            at += gaps.sample(&mut random);
        }
    }
    plan.arrivals
        .sort_by_key(|a| (a.at, a.class, a.object, a.part));
    add_purges(scenario, seed, &mut plan);
    plan
}

fn add_purges(scenario: &Scenario, seed: u64, plan: &mut Plan) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(0);
    if let (Ok(gaps), false) = (Exp::new(scenario.load.purges), plan.arrivals.is_empty()) {
        let mut at = if scenario.load.purges > 0.0 {
            gaps.sample(&mut random)
        } else {
            f64::INFINITY
        };
        while at < scenario.seconds {
            // Drawn from the requested objects, so popular ones are purged more often.
            let object = plan.arrivals[random.random_range(0..plan.arrivals.len())].object;
            plan.purges.push(Purge {
                at: (at * 1e6) as u64,
                target: Ok(object),
            });
            at += gaps.sample(&mut random);
        }
    }
    for f in &scenario.faults {
        if let What::MassPurge { share } = f.what {
            let all = 0..GROUP_COUNT;
            let purged_groups =
                all.filter(|g| (mix(seed ^ mix(*g)) as f64) < share * u64::MAX as f64);
            plan.purges.extend(purged_groups.map(|g| Purge {
                at: (f.at * 1e6) as u64,
                target: Err(g),
            }));
        }
    }
    plan.purges.sort_by_key(|p| p.at);
}
