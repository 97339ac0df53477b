//! The shapes of the health and catalogue answers. Each instance is read by itself: one that can't be read costs
//! itself and nothing else.

use linnetknot_membership::Reason;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use std::fmt;

/// An instance that is passed over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Skipped {
    /// Its id, as far as it can be told.
    pub uid: String,
    /// The key at fault, from the instance down.
    pub key: String,
    /// What is wrong there.
    pub why: String,
}

impl fmt::Display for Skipped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "instance '{}' is passed over: {}: {}", self.uid.escape_default(), self.key, self.why)
    }
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Instance {
    pub node: Node,
    pub service: Service,
    pub checks: Option<Vec<Check>>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Node {
    #[serde(default)]
    pub node: String,
    #[serde(default)]
    pub address: String,
    pub tagged_addresses: Option<BTreeMap<String, String>>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Service {
    #[serde(rename = "ID")]
    pub id: String,
    pub address: Option<String>,
    #[serde(default)]
    pub port: i64,
    pub tagged_addresses: Option<BTreeMap<String, Tagged>>,
    pub meta: Option<BTreeMap<String, String>>,
    pub weights: Option<Weights>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Tagged {
    pub address: String,
    #[serde(default)]
    pub port: i64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Weights {
    #[serde(default = "one")]
    pub passing: f64,
    #[serde(default = "one")]
    pub warning: f64,
}

fn one() -> f64 {
    1.0
}

impl Default for Weights {
    fn default() -> Self {
        Weights { passing: 1.0, warning: 1.0 }
    }
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Check {
    #[serde(rename = "CheckID", default)]
    pub id: String,
    pub status: String,
    #[serde(default)]
    pub notes: String,
}

/// What an instance's checks come to.
pub(crate) struct Checks<'a>(pub &'a [Check]);

impl<'a> Checks<'a> {
    /// Why the instance must get no fresh work, if it must not. What the operators did by hand comes first: it
    /// says most.
    pub fn fault(&self) -> Option<Reason> {
        let failing = || self.0.iter().filter(|c| !matches!(c.status.as_str(), "passing" | "warning"));
        let by = |of: &dyn Fn(&Check) -> Option<Reason>| failing().find_map(of);
        by(&|c| c.id.starts_with("_node_maintenance").then(|| Reason::NodeMaintenance(c.notes.clone())))
            .or_else(|| {
                by(&|c| {
                    c.id.starts_with("_service_maintenance")
                        .then(|| Reason::ServiceMaintenance(c.notes.clone()))
                })
            })
            .or_else(|| by(&|c| (c.id == "serfHealth").then_some(Reason::NodeLost)))
            .or_else(|| by(&|c| Some(Reason::Check(c.id.clone()))))
    }

    /// A check that warns.
    pub fn warning(&self) -> Option<&'a str> {
        self.0.iter().find(|c| c.status == "warning").map(|c| c.id.as_str())
    }
}

/// An answer that can't be used as a whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NotAList(pub String);

/// The parts of a list, unread.
pub(crate) fn parts(body: &[u8]) -> Result<Vec<&RawValue>, NotAList> {
    serde_json::from_slice(body).map_err(|e| NotAList(e.to_string()))
}

/// One part of a health answer.
pub(crate) fn instance(raw: &RawValue) -> Result<Instance, Skipped> {
    let mut de = serde_json::Deserializer::from_str(raw.get());
    serde_path_to_error::deserialize(&mut de).map_err(|e| {
        let key = e.path().to_string();
        Skipped { uid: salvage(raw).unwrap_or_else(|| "?".into()), key, why: e.into_inner().to_string() }
    })
}

/// What can still be told of an instance that can't be read: its id.
fn salvage(raw: &RawValue) -> Option<String> {
    #[derive(Deserialize)]
    struct Id {
        #[serde(rename = "ID")]
        id: String,
    }
    #[derive(Deserialize)]
    #[serde(rename_all = "PascalCase")]
    struct Only {
        service: Id,
    }
    Some(serde_json::from_str::<Only>(raw.get()).ok()?.service.id)
}

/// One part of a catalogue answer: node and id of what is registered.
#[derive(Debug, Deserialize)]
pub(crate) struct Registered {
    #[serde(rename = "Node", default)]
    pub node: String,
    #[serde(rename = "ServiceID")]
    pub id: String,
}

pub(crate) fn registered(raw: &RawValue) -> Option<Registered> {
    serde_json::from_str(raw.get()).ok()
}
