//! The commands of triggers, and the parts of them that can be executed.

use crate::front::cdni::content::{path_of, ContentPath};
use serde_json::{Map, Value};

/// The number of groups of objects. Groups are numbered from 0.
const GROUPS: u64 = 256;

/// An object, or a group if there is no object, that a trigger requests to purge.
#[derive(Clone)]
pub(super) struct PurgeTarget {
    pub(super) object: Option<String>,
    pub(super) group: u64,
}

/// The parts of a trigger that can be executed, and those that are rejected.
#[derive(Default)]
pub(super) struct Plan {
    pub(super) purges: Vec<PurgeTarget>,
    /// The selectors of the trigger that are not supported, with their values.
    pub(super) rejected: Map<String, Value>,
}

/// Returns the plan of a trigger; `None` if the trigger is malformed.
pub(super) fn plan(spec: &Map<String, Value>) -> Option<Plan> {
    let mut plan = Plan::default();
    for (selector, values) in spec.iter().filter(|(key, _)| *key != "type") {
        let values = values.as_array()?;
        let mut rejected = Vec::new();
        for value in values {
            let target = match selector.as_str() {
                "content.urls" => object_target(value.as_str()?),
                "content.ccid" => group_target(value.as_str()?),
                // Metadata is not cached. Patterns of URLs can't be matched, because objects are known only by their
                // keys.
                _ => None,
            };
            match target {
                Some(target) => plan.purges.push(target),
                None => rejected.push(value.clone()),
            }
        }
        if !rejected.is_empty() {
            plan.rejected.insert(selector.clone(), rejected.into());
        }
    }
    Some(plan)
}

/// Returns the object of a content URL.
fn object_target(url: &str) -> Option<PurgeTarget> {
    let content = ContentPath::read(path_of(url))?;
    Some(PurgeTarget {
        object: Some(content.object.to_owned()),
        group: 0,
    })
}

/// Returns the group that a collection id names.
fn group_target(ccid: &str) -> Option<PurgeTarget> {
    let group = ccid.parse().ok().filter(|group| *group < GROUPS)?;
    Some(PurgeTarget {
        object: None,
        group,
    })
}

/// The kind of a trigger, by its `type` in the specification.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Kind {
    /// Purge or invalidate. Invalidation is executed as a purge, which is stricter, because copies are not revalidated.
    Purge,
    /// Prefetch content.
    Preposition,
}

impl Kind {
    /// Parses the name of a kind in the specification.
    pub(super) fn read(text: &str) -> Option<Self> {
        match text {
            "purge" | "invalidate" => Some(Kind::Purge),
            "preposition" => Some(Kind::Preposition),
            _ => None,
        }
    }

    /// Returns the error for the status of a trigger that can't be executed in full.
    pub(super) fn error(self, spec: &Map<String, Value>, plan: &Plan) -> Option<Value> {
        match self {
            Kind::Purge if plan.rejected.is_empty() => None,
            Kind::Purge => Some(error_of(
                &plan.rejected,
                "only content named by its URL or its collection can be purged",
            )),
            Kind::Preposition => {
                let mut all = spec.clone();
                all.retain(|key, _| key != "type");
                Some(error_of(&all, "content is fetched when it is asked for"))
            }
        }
    }
}

/// Returns an error with the code `ereject` that lists these selectors.
fn error_of(selectors: &Map<String, Value>, why: &str) -> Value {
    let mut error = selectors.clone();
    error.insert("error".to_owned(), "ereject".into());
    error.insert("description".to_owned(), why.into());
    Value::Object(error)
}
