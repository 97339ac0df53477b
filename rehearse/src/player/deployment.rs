//! The deployment of a scenario: the settings of its proxies and the nodes behind them.

use crate::fakes::site::{FakeSite, NodeKind, NodeParameters, SiteParameters};
use crate::record::{Class, ColdStart, Micros, Repeat};
use crate::scenario::{ClassLoad, NodeForm, Scenario};
use crate::timetable::cache_uid;
use serde_json::{json, Value};

// The behaviour of cold caches, used both in the settings of the proxies and by the fakes.

/// The share of its full capacity that a cache has when it starts cold.
const COLD_CAPACITY_SHARE: f64 = 0.15;
const WARM_UP_US: Micros = 13_000_000;
const OVERLOAD_MULTIPLE: f64 = 2.5;
const OVERLOAD_WINDOW_US: Micros = 3_000_000;
/// The time for which the origin drops writes that repeat an idempotency key.
const KEY_WINDOW_US: Micros = 3_000_000;
/// The multiple of an answer's transfer time that is added to the response time objective.
const OBJECTIVE_STRETCH: f64 = 2.0;
/// The share of a request's weight that a late answer adds to the score.
const LATE_WEIGHT: f64 = 0.1;

/// Returns the response time objective of a class.
fn objective_us(class: &ClassLoad) -> Micros {
    if class.keyed {
        700_000
    } else {
        300_000
    }
}

/// Returns the weight of a request of a class in the score.
fn weight(class: &ClassLoad) -> f64 {
    if class.keyed {
        3.0
    } else {
        1.0
    }
}

/// Returns the entry of a class in the proxies' settings.
fn category(class: &ClassLoad) -> Value {
    json!({
        "name": class.name, "aim-us": objective_us(class), "aim-stretch": OBJECTIVE_STRETCH,
        "deadline-us": class.budget_ms * 1000, "repeat": if class.keyed { "token" } else { "pure" },
        "dedup-scope": "all", "window-us": KEY_WINDOW_US, "worth": weight(class), "late-worth": LATE_WEIGHT,
    })
}

/// Returns the class for the record.
pub(super) fn recorded_class(class: &ClassLoad) -> Class {
    Class {
        name: class.name.clone(),
        repeat: if class.keyed {
            Repeat::Keyed(KEY_WINDOW_US)
        } else {
            Repeat::Safe
        },
        objective_us: objective_us(class),
        stretch: OBJECTIVE_STRETCH,
        weight: weight(class),
        late_weight: LATE_WEIGHT,
    }
}

/// Returns the settings of each proxy of the scenario.
pub(super) fn settings(scenario: &Scenario) -> Value {
    let classes = &scenario.load.classes;
    let each = |of: &dyn Fn(&ClassLoad) -> Value| classes.iter().map(of).collect::<Value>();
    json!({
        "categories": each(&category),
        "family-info": {
            "in-pieces": each(&|c| (c.parts.1 > 1).into()), "never-kept": each(&|c| c.keyed.into()),
            "good-for-us": each(&|c| freshness_us(scenario, c).into()), "may-pass-by": true, "can-join": true,
            "mid-kind": 2, "source-kind": 1, "seats-by-zone": [0, scenario.proxies], "attached-to": [0, 0],
            "one-flow-kb-per-s": scenario.site.flow_kb_per_s,
            "purge-takes-us": micros(scenario.site.purge_takes_ms), "purge-slack-us": 300_000,
            "note-level": "all",
        },
        "kinds": ["box", "origin", "hub"], "localities": ["hub", "here"], "zone": "here", "weights": "rough",
        "limits": {"try-limit": 6, "cancel": true, "retry-after": true, "max-retry-after-us": 2_000_000},
        "rules": {"drain-grace-us": 1_000_000, "cold-share": COLD_CAPACITY_SHARE, "ramp-time-us": WARM_UP_US,
            "fall-multiple": OVERLOAD_MULTIPLE, "tip-after-us": OVERLOAD_WINDOW_US},
    })
}

/// Returns the time for which a copy of a class may be served, or 0 if the class is not cached.
pub(super) fn freshness_us(scenario: &Scenario, class: &ClassLoad) -> Micros {
    if class.keyed || class.parts.1 > 1 {
        0
    } else {
        micros(scenario.site.photo_fresh_ms)
    }
}

fn micros(ms: f64) -> Micros {
    (ms * 1e3) as Micros
}

/// Returns the parameters of a node for the fake site.
pub(super) fn parameters(node: &NodeForm) -> NodeParameters {
    NodeParameters {
        slots: node.slots as usize,
        waiting: node.waiting as usize,
        capacity: node.capacity,
        memory_kb: node.memory_kb,
        fills: node.fills as usize,
        fill_timeout_us: node.fill_timeout_ms * 1000,
    }
}

/// Returns the cold start of a cache, with the same figures as in the proxies' settings.
pub(super) fn cold_start(uid: &str, at: Micros, capacity: f64) -> ColdStart {
    ColdStart {
        uid: uid.to_owned(),
        at,
        capacity,
        share: COLD_CAPACITY_SHARE,
        warm_us: WARM_UP_US,
        overload_multiple: OVERLOAD_MULTIPLE,
        overload_window_us: OVERLOAD_WINDOW_US,
    }
}

/// A node as it is listed to the proxies.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// The uid of the node.
    pub uid: String,
    /// The zone of the node.
    pub zone: &'static str,
    /// The kind of the node, as written on the event bus.
    pub model: &'static str,
    /// The capacity of the node's outgoing link, in concurrent transfers at full rate.
    pub capacity: f64,
}

/// The nodes of a test run, both as fakes and as listed to the proxies.
pub struct Deployment {
    /// The fake site.
    pub site: FakeSite,
    /// The nodes, as the start configuration and the event bus list them to the proxies.
    pub nodes: Vec<Node>,
}

impl Deployment {
    /// Returns the nodes of a scenario: edge caches for each proxy, parent caches and an origin.
    pub fn of(scenario: &Scenario) -> Self {
        let form = &scenario.site;
        let caches = form.boxes(scenario.proxies);
        let mut deployment = Deployment {
            site: FakeSite::new(site(scenario, caches)),
            nodes: Vec::new(),
        };
        for n in 0..caches as u32 {
            deployment.add(
                NodeKind::EdgeCache,
                cache_uid(n),
                "here",
                "box",
                &form.edge_box,
            );
        }
        for n in 0..form.hubs {
            deployment.add(
                NodeKind::ParentCache,
                format!("h-{n:08x}"),
                "hub",
                "hub",
                &form.hub,
            );
        }
        deployment.add(
            NodeKind::Origin,
            "o-00000000".to_owned(),
            "hub",
            "origin",
            &form.origin,
        );
        deployment
    }

    fn add(
        &mut self,
        kind: NodeKind,
        uid: String,
        zone: &'static str,
        model: &'static str,
        form: &NodeForm,
    ) {
        self.site.start(&uid, kind, parameters(form), None);
        self.nodes.push(Node {
            uid,
            zone,
            model,
            capacity: form.capacity,
        });
    }
}

/// Returns the parameters that the nodes of a scenario share.
fn site(scenario: &Scenario, caches: usize) -> SiteParameters {
    let form = &scenario.site;
    SiteParameters {
        link: form.link_per_box * caches as f64,
        fill_pace: form.fill_pace,
        near_us: micros(form.near_ms),
        far_us: micros(form.far_ms),
        origin_us: micros(form.origin_ms),
        key_us: micros(form.key_ms),
        purge_takes_us: micros(form.purge_takes_ms),
        late_fills: form.late_fills,
    }
}
