//! Fairness under overload: the largest objects of a class and smaller tenants must not lose most of their answers. The
//! figures come from five deployments, and the decision module gets them only from its settings.

mod common;
use common::world::*;
use common::*;
use linnetknot::*;

/// The most common class of large objects in a deployment, and the settings of its proxies.
#[derive(Clone, Copy)]
struct Site {
    name: &'static str,
    work_s: f64,
    sigma: f64,
    objective: (Micros, f64),
    deadline_us: Micros,
    siblings: Siblings,
    answer_detail: AnswerDetail,
    sizes_known: bool,
    link_known: bool,
    tenants: &'static [f64],
}

const SITES: [Site; 5] = [
    Site {
        name: "family-albums",
        work_s: 0.31,
        sigma: 1.2,
        objective: (500 * MS, 1.6),
        deadline_us: 6 * S,
        siblings: Siblings::Any,
        answer_detail: AnswerDetail::All,
        sizes_known: true,
        link_known: false,
        tenants: &[],
    },
    Site {
        name: "sim-registration",
        work_s: 0.41,
        sigma: 1.2,
        objective: (600 * MS, 2.0),
        deadline_us: 5 * S,
        siblings: Siblings::Location,
        answer_detail: AnswerDetail::All,
        sizes_known: true,
        link_known: true,
        tenants: &[],
    },
    Site {
        name: "bengal-lots",
        work_s: 0.39,
        sigma: 1.1,
        objective: (600 * MS, 2.0),
        deadline_us: 6 * S,
        siblings: Siblings::Off,
        answer_detail: AnswerDetail::All,
        sizes_known: true,
        link_known: false,
        tenants: &[],
    },
    Site {
        name: "ledger-desk",
        work_s: 0.27,
        sigma: 1.2,
        objective: (500 * MS, 1.6),
        deadline_us: 5 * S,
        siblings: Siblings::Location,
        answer_detail: AnswerDetail::Hit,
        sizes_known: false,
        link_known: false,
        tenants: &[],
    },
    Site {
        name: "quick-lots",
        work_s: 0.045,
        sigma: 0.9,
        objective: (180 * MS, 2.0),
        deadline_us: 700 * MS,
        siblings: Siblings::Off,
        answer_detail: AnswerDetail::All,
        sizes_known: true,
        link_known: true,
        tenants: &[0.7, 0.2, 0.1],
    },
];

/// Capacity of a location's fill link, in transfers.
const LINK_CAPACITY: f64 = 12.0;

impl Site {
    /// Returns a fleet of two locations with three proxies and four caches each, with `load` as a fraction of the
    /// caches' capacity.
    fn world(&self, load: f64, seed: u64) -> FleetSimulation {
        let site = *self;
        // Four caches of eight transfers each, divided by three proxies.
        let rate = load * 32.0 / site.work_s / 3.0;
        let mut w = FleetSimulation::shaped(2, 3, 4, rate, seed, |s| {
            s.classes[0].objective_us = site.objective.0;
            s.classes[0].objective_stretch = site.objective.1;
            s.classes[0].deadline_us = site.deadline_us;
            s.siblings = site.siblings;
            s.answer_detail = site.answer_detail;
            s.direct_to_upstream = true;
            let link = if site.link_known {
                LINK_CAPACITY * s.flow_kb_per_s
            } else {
                0.0
            };
            s.zones
                .iter_mut()
                .skip(1)
                .for_each(|z| z.link_kb_per_s = link);
            s.tenants = site
                .tenants
                .iter()
                .map(|share| Tenant {
                    name: share.to_string(),
                    quota_rps: 1e3,
                })
                .collect();
        });
        (w.work_s, w.sigma, w.sizes_known) = (site.work_s, site.sigma, site.sizes_known);
        (w.deadline_us, w.link_capacity, w.origin_requests_per_s) =
            (site.deadline_us, LINK_CAPACITY, 400.0);
        w.tenant_shares = site.tenants.to_vec();
        w
    }
}

fn assert_fair(name: &str, w: &FleetSimulation, min_ratio: f64) {
    let (all, largest) = w.answered_shares();
    assert!(
        all > 0.3,
        "{name}: only {all} answered, too few for a comparison"
    );
    assert!(
        largest >= min_ratio * all,
        "{name}: {largest} of the largest tenth answered, {all} of all"
    );
    let share = |tenant: usize| {
        let own: Vec<bool> = w
            .answers
            .iter()
            .filter(|a| a.1 == tenant)
            .map(|a| a.2)
            .collect();
        own.iter().filter(|served| **served).count() as f64 / own.len().max(1) as f64
    };
    for tenant in 0..w.tenant_shares.len() {
        assert!(
            share(tenant) >= 0.9 * all,
            "{name}: {} of tenant {tenant} answered, {all} of all",
            share(tenant)
        );
    }
}

#[test]
fn large_objects_and_small_tenants_get_their_share_of_answers_under_moderate_load() {
    for site in SITES {
        for seed in [5, 6] {
            let mut w = site.world(0.45, seed);
            w.run(25 * S, |_, _| ());
            assert_fair(site.name, &w, 2.0 / 3.0);
        }
    }
}

/// Half of the caches of each location, and the parents, are replaced by servers without copies at 8 s under higher
/// load.
#[test]
fn large_objects_and_small_tenants_get_their_share_while_servers_are_replaced() {
    for site in SITES {
        for (seed, load) in [(7, 0.6), (8, 0.6), (9, 0.6)] {
            let mut w = site.world(load, seed);
            w.schedule_callback(8 * S, 1);
            w.run(25 * S, |w, notice| {
                let Notice::Call(_) = notice else { return };
                let now = w.now;
                let replaced: Vec<ServerId> = [10, 11, 20, 21]
                    .into_iter()
                    .chain(PARENTS)
                    .filter(|id| w.servers.contains_key(id))
                    .collect();
                for id in replaced {
                    let zone = w.servers[&id].zone;
                    w.add_server(id, zone, if zone == 0 { 30.0 } else { 8.0 }, Some(now));
                    w.publish(0, ListMode::Delta, &[w.entry(id, State::Ready)]);
                }
            });
            assert_fair(&format!("{} at {load}", site.name), &w, 0.5);
        }
    }
}
