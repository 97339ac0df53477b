//! The deployment that a scenario describes: the settings of its proxies and the nodes behind them.

use crate::fakes::site::{FakeSite, NodeKind, NodeParameters, SiteParameters};
use crate::record::{Class, ColdStart, Micros, Repeat};
use crate::scenario::{ClassLoad, NodeForm, Scenario};
use crate::timetable::cache_uid;
use serde_json::{json, Value};

/// What the proxies are told of cold boxes, and what the fakes do: a share at the start, warm after a time, and
/// over by a multiple of what they can do for a while.
const COLD_CAPACITY_SHARE: f64 = 0.15;
const WARM_UP_US: Micros = 13_000_000;
const OVERLOAD_MULTIPLE: f64 = 2.5;
const OVERLOAD_WINDOW_US: Micros = 3_000_000;
/// The origin drops repeats of a write's key for so long.
const KEY_WINDOW_US: Micros = 3_000_000;
/// An answer within this multiple of its own sending time is in time.
const OBJECTIVE_STRETCH: f64 = 2.0;
/// Share of its worth that a late answer earns.
const LATE_WEIGHT: f64 = 0.1;

/// The time in which a request of a class should be answered.
fn objective_us(class: &ClassLoad) -> Micros {
    if class.keyed {
        700_000
    } else {
        300_000
    }
}

/// What a request of a class is worth.
fn weight(class: &ClassLoad) -> f64 {
    if class.keyed {
        3.0
    } else {
        1.0
    }
}

/// A class as the proxies' settings have it.
fn category(class: &ClassLoad) -> Value {
    json!({
        "name": class.name, "aim-us": objective_us(class), "aim-stretch": OBJECTIVE_STRETCH,
        "deadline-us": class.budget_ms * 1000, "repeat": if class.keyed { "token" } else { "pure" },
        "dedup-scope": "all", "window-us": KEY_WINDOW_US, "worth": weight(class), "late-worth": LATE_WEIGHT,
    })
}

/// A class as the record has it.
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

/// The settings object that every proxy of the scenario is started with.
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

/// How long a copy of a class may be served; 0 where none is kept.
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

/// The figures of a node of this form.
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

/// A box started anew during the play: cold by the rules that the proxies are given.
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

/// A node as the proxies are told of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Its id.
    pub uid: String,
    /// Its zone.
    pub zone: &'static str,
    /// Its kind, as the event bus names it.
    pub model: &'static str,
    /// Its outgoing link, in transfers at full pace.
    pub capacity: f64,
}

/// The nodes of a rehearsal: as they behave, and as the proxies are told of them.
pub struct Deployment {
    /// How they behave.
    pub site: FakeSite,
    /// How they are listed.
    pub nodes: Vec<Node>,
}

impl Deployment {
    /// The nodes of a scenario as its site has them: boxes for each proxy, hub caches and an origin.
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

/// What the nodes of a scenario share.
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
