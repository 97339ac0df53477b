//! Tests of scenarios and of the plans drawn from them.

use linnetknot_rehearse::load::{load_factor, plan, Arrival, Plan, GROUP_COUNT};
use linnetknot_rehearse::scenario::{schema, Fault, Scenario, What};
use std::collections::BTreeMap;

const EVENING: &str = include_str!("../scenarios/chuseok-evening.json");

fn evening() -> Scenario {
    Scenario::read(EVENING).unwrap()
}

fn of_class(plan: &Plan, class: usize) -> Vec<&Arrival> {
    plan.arrivals.iter().filter(|a| a.class == class).collect()
}

#[test]
fn same_seed_gives_same_plan_and_classes_are_independent() {
    let scenario = evening();
    let first = plan(&scenario, 7);
    assert_eq!(first, plan(&scenario, 7));
    assert_ne!(first, plan(&scenario, 8));
    let mut other = scenario.clone();
    other.load.classes[1].zipf = 0.3;
    let changed = plan(&other, 7);
    assert_eq!(of_class(&first, 0), of_class(&changed, 0));
    assert_ne!(of_class(&first, 1), of_class(&changed, 1));
    assert!(
        first.arrivals.windows(2).all(|w| w[0].at <= w[1].at),
        "in order of time"
    );
    assert!(first
        .arrivals
        .iter()
        .all(|a| a.at < 60_000_000 && a.proxy < 3 && a.size_kb > 0.0));
}

#[test]
fn load_follows_its_shape_and_parts_follow_in_order() {
    let scenario = evening();
    let shape = &scenario.load.shape;
    assert_eq!(
        (
            load_factor(shape, 0.0),
            load_factor(shape, 10.0),
            load_factor(shape, 30.0)
        ),
        (0.4, 0.7, 1.0)
    );
    assert_eq!(
        (load_factor(shape, 90.0), load_factor(&[], 3.0)),
        (0.6, 1.0)
    );
    let plan = plan(&scenario, 3);
    let count_within = |from: u64, to: u64| {
        plan.arrivals
            .iter()
            .filter(|a| (from * 1_000_000..to * 1_000_000).contains(&a.at))
            .count() as f64
    };
    // The peak is 210 requests per second, including parts of videos that started before the peak.
    let top = count_within(28, 44) / 16.0;
    assert!((170.0..250.0).contains(&top), "{top} a second");
    assert!(count_within(0, 8) / 8.0 < 0.65 * top);
    // Each part of a video follows the previous part after a gap.
    let mut behind: BTreeMap<(u64, u32, u64), Vec<u64>> = BTreeMap::new();
    for a in of_class(&plan, 0) {
        behind
            .entry((a.object, a.proxy, a.part))
            .or_default()
            .push(a.at);
    }
    let second = of_class(&plan, 0).into_iter().filter(|a| a.part > 0);
    for a in second {
        let before = &behind[&(a.object, a.proxy, a.part - 1)];
        let gap = before
            .iter()
            .any(|at| (380_000..=740_001).contains(&a.at.saturating_sub(*at)));
        assert!(
            gap,
            "part {} of {:x} does not follow the previous part",
            a.part, a.object
        );
    }
    // A part has the same size in each request, and only posts carry keys, which are unique.
    let mut sizes = BTreeMap::new();
    for a in &plan.arrivals {
        let first = sizes
            .entry((a.class, a.object, a.part))
            .or_insert(a.size_kb);
        assert_eq!(*first, a.size_kb);
        assert_eq!(a.key.is_some(), a.class == 2);
    }
    let keys: std::collections::BTreeSet<_> = plan.arrivals.iter().filter_map(|a| a.key).collect();
    assert_eq!(keys.len(), of_class(&plan, 2).len());
}

#[test]
fn object_popularity_hot_objects_and_purges_follow_the_scenario() {
    let mut scenario = evening();
    scenario.load.classes[1].once = 0.5;
    let out = plan(&scenario, 5);
    let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
    of_class(&out, 1)
        .iter()
        .for_each(|a| *counts.entry(a.object).or_default() += 1);
    let once = counts.values().filter(|n| **n == 1).count() as f64 / of_class(&out, 1).len() as f64;
    assert!(
        (0.45..0.75).contains(&once),
        "half, and rare objects of the rest: {once}"
    );
    // Three in ten videos that start during the fault request the hot object.
    let period = 25_000_000..40_000_000;
    let started = |class: usize| {
        of_class(&out, class)
            .into_iter()
            .filter(|a| a.part == 0 && period.contains(&a.at))
    };
    let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
    started(0).for_each(|a| *counts.entry(a.object).or_default() += 1);
    let share = *counts.values().max().unwrap() as f64 / started(0).count() as f64;
    assert!((0.2..0.5).contains(&share), "{share}");
    let groups = out.purges.iter().filter(|p| p.target.is_err()).count() as f64;
    assert!(
        (0.3..0.5).contains(&(groups / GROUP_COUNT as f64)),
        "{groups} of {GROUP_COUNT}"
    );
    assert!(out
        .purges
        .iter()
        .filter(|p| p.target.is_err())
        .all(|p| p.at == 40_000_000));
    let objects: Vec<u64> = out.purges.iter().filter_map(|p| p.target.ok()).collect();
    let asked = |o: &u64| out.arrivals.iter().any(|a| a.object == *o);
    assert!(
        (15..60).contains(&objects.len()) && objects.iter().all(asked),
        "only requested objects are purged"
    );
    scenario.load.purges = 0.0;
    scenario.faults.clear();
    assert_eq!(plan(&scenario, 5).purges, []);
}

/// Invalid changes to a scenario: the original text, its replacement, and the start of the expected error message.
const INVALID_SCENARIOS: [(&str, &str, &str); 16] = [
    (
        "\"seconds\": 60",
        "\"seconds\": 0",
        "seconds: 0 is not from 1 to 3600",
    ),
    ("\"seconds\": 60", "\"second\": 60", "second: unknown field"),
    (
        "\"rate\": 210",
        "\"rate\": 1e5",
        "load.rate times seconds: ",
    ),
    (
        "\"rate\": 210",
        "\"rate\": \"fast\"",
        "load.rate: invalid type",
    ),
    (
        "[20, 1.0]",
        "[0, 1.0]",
        "load.shape[1][0]: 0 does not come after 0",
    ),
    (
        "[20, 1.0]",
        "[20, 2.0]",
        "load.shape[1][1]: 2 is not from 0 to 1",
    ),
    (
        "\"share\": 0.55",
        "\"share\": 0.5",
        "load.classes: sum of 'share'",
    ),
    (
        "\"parts\": [9, 19]",
        "\"parts\": [9, 3]",
        "load.classes[0].parts[1]: 3 is not from 9",
    ),
    (
        "\"median_kb\": 180,",
        "",
        "load.classes[1]: missing field `median_kb`",
    ),
    (
        "\"class\": \"video-part\"",
        "\"class\": \"film\"",
        "faults[0].what.hot-object.class: there is no class",
    ),
    (
        "\"boxes_per_proxy\": 4",
        "\"boxes_per_proxy\": 0",
        "site.boxes_per_proxy: 0 is not from 1",
    ),
    (
        "\"capacity\": 200",
        "\"capacity\": -1",
        "site.hub.capacity: -1 is not from 0.1",
    ),
    ("\"fills\": 64,", "", "site.origin: missing field `fills`"),
    (
        "\"near_ms\": 8",
        "\"near\": 8",
        "site.near: unknown field `near`",
    ),
    (
        "\"mass-purge\"",
        "\"meteor\"",
        "faults[1].what: unknown variant `meteor`",
    ),
    (
        "\"share\": 0.4 }",
        "\"share\": 4 }",
        "faults[1].what.mass-purge.share: 4 is not",
    ),
];

#[test]
fn invalid_scenarios_are_rejected_with_the_path_of_the_key() {
    for (from, to, path) in INVALID_SCENARIOS {
        let text = EVENING.replacen(from, to, 1);
        assert_ne!(text, EVENING, "{from}");
        let message = Scenario::read(&text).unwrap_err().to_string();
        assert!(message.starts_with(path), "{path} | {message}");
    }
    assert!(Scenario::read(&EVENING[..EVENING.len() / 2]).is_err());
}

#[test]
fn scenario_round_trips_through_json() {
    let mut scenario = evening();
    scenario.faults.push(Fault {
        at: 1.0,
        lasts: 0.0,
        what: What::MassPurge { share: 0.1 },
    });
    assert_eq!(
        Scenario::read(&serde_json::to_string(&scenario).unwrap()).unwrap(),
        scenario
    );
}

/// Update the file with `linnetknot-rehearse schema > docs/scenario.schema.json`.
#[test]
fn published_schema_matches_the_types() {
    assert!(
        schema() == include_str!("../../docs/scenario.schema.json"),
        "docs/scenario.schema.json is not up to date"
    );
}

#[test]
fn site_defaults_apply_where_the_scenario_omits_them() {
    let scenario = evening();
    let nodes = linnetknot_rehearse::player::Deployment::of(&scenario).nodes;
    let count = |model: &str| nodes.iter().filter(|n| n.model == model).count();
    assert_eq!((count("box"), count("hub"), count("origin")), (12, 2, 1));
    let mut bigger = scenario.clone();
    bigger.site.boxes_per_proxy = 6;
    bigger.site.hubs = 0;
    bigger.site.edge_box.capacity = 20.0;
    let nodes = linnetknot_rehearse::player::Deployment::of(&bigger).nodes;
    assert_eq!(nodes.len(), 18 + 1);
    assert!(nodes
        .iter()
        .filter(|n| n.model == "box")
        .all(|n| n.capacity == 20.0 && n.zone == "here"));
    // The defaults equal the values in the shipped scenario.
    let mut text: serde_json::Value = serde_json::from_str(EVENING).unwrap();
    text.as_object_mut().unwrap().remove("site");
    assert_eq!(Scenario::read(&text.to_string()).unwrap(), scenario);
}

#[test]
fn shipped_scenarios_are_valid_and_named_after_their_files() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let mut names = Vec::new();
    for file in std::fs::read_dir(&folder)
        .unwrap()
        .map(|f| f.unwrap().path())
    {
        let scenario = Scenario::read(&std::fs::read_to_string(&file).unwrap())
            .unwrap_or_else(|e| panic!("{e}"));
        assert_eq!(
            Some(scenario.name.as_str()),
            file.file_stem().and_then(|s| s.to_str())
        );
        names.push(scenario.name);
    }
    names.sort();
    let mut shipped: Vec<_> = linnetknot_rehearse::shipped::SHIPPED
        .iter()
        .map(|s| s.0)
        .collect();
    shipped.sort();
    assert_eq!(names, shipped);
}

#[test]
fn scaling_keeps_shape_and_rates() {
    let evening = evening();
    let quarter = evening.scaled(0.25).unwrap();
    assert_eq!(
        (quarter.seconds, quarter.load.shape[1], quarter.load.rate),
        (15.0, (5.0, 1.0), 210.0)
    );
    assert_eq!(
        (quarter.faults[0].at, quarter.faults[0].lasts),
        (6.25, 3.75)
    );
    let (whole, short) = (plan(&evening, 3), plan(&quarter, 3));
    let rate = |p: &Plan, seconds: f64| p.arrivals.len() as f64 / seconds;
    let ratio = rate(&short, 15.0) / rate(&whole, 60.0);
    assert!(
        (0.8..1.25).contains(&ratio),
        "requests per second change by the factor {ratio}"
    );
    assert!(evening
        .scaled(0.001)
        .unwrap_err()
        .to_string()
        .starts_with("--time-scale 0.001: seconds: 0.06 is not from 1"));
}
