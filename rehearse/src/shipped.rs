//! The scenarios that are built into the program.

use crate::scenario::{Scenario, ScenarioError};

/// The name and the JSON text of each shipped scenario.
pub const SHIPPED: [(&str, &str); 10] = [
    ("calm", include_str!("../scenarios/calm.json")),
    (
        "chuseok-evening",
        include_str!("../scenarios/chuseok-evening.json"),
    ),
    ("stalled-box", include_str!("../scenarios/stalled-box.json")),
    ("slow-origin", include_str!("../scenarios/slow-origin.json")),
    ("bus-broken", include_str!("../scenarios/bus-broken.json")),
    (
        "flapping-box",
        include_str!("../scenarios/flapping-box.json"),
    ),
    ("half-crash", include_str!("../scenarios/half-crash.json")),
    (
        "rolling-restart",
        include_str!("../scenarios/rolling-restart.json"),
    ),
    ("mass-purge", include_str!("../scenarios/mass-purge.json")),
    ("links-lost", include_str!("../scenarios/links-lost.json")),
];

/// Returns the shipped scenario of this name, if there is one.
pub fn find(name: &str) -> Option<Result<Scenario, ScenarioError>> {
    SHIPPED
        .iter()
        .find(|(n, _)| *n == name)
        .map(|(_, text)| Scenario::read(text))
}

/// Replaces `all` with the names of all shipped scenarios. Other names are returned unchanged.
pub fn expand_names(names: &[String]) -> Vec<String> {
    let all = || SHIPPED.iter().map(|(n, _)| (*n).to_owned());
    names
        .iter()
        .flat_map(|a| {
            if a == "all" {
                all().collect()
            } else {
                vec![a.clone()]
            }
        })
        .collect()
}
