//! What a trigger asks for, and what of it can be carried out.

use crate::front::cdni::content::{path_of, ContentPath};
use serde_json::{Map, Value};

/// Objects are in one of so many groups.
const GROUPS: u64 = 256;

/// An object, or with none a group, that a trigger names.
#[derive(Clone)]
pub(super) struct PurgeTarget {
    pub(super) object: Option<String>,
    pub(super) group: u64,
}

/// What of a trigger can be carried out, and what not.
#[derive(Default)]
pub(super) struct Plan {
    pub(super) purges: Vec<PurgeTarget>,
    /// Selectors with the values that name nothing here.
    pub(super) rejected: Map<String, Value>,
}

/// What of a trigger can be carried out; none where it is not in the form of the specification.
pub(super) fn plan(spec: &Map<String, Value>) -> Option<Plan> {
    let mut plan = Plan::default();
    for (selector, values) in spec.iter().filter(|(key, _)| *key != "type") {
        let values = values.as_array()?;
        let mut rejected = Vec::new();
        for value in values {
            let target = match selector.as_str() {
                "content.urls" => object_target(value.as_str()?),
                "content.ccid" => group_target(value.as_str()?),
                // Metadata is not cached here, and objects are known by their keys alone, so that no pattern
                // can be matched against them.
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

/// The object of a content URL.
fn object_target(url: &str) -> Option<PurgeTarget> {
    let content = ContentPath::read(path_of(url))?;
    Some(PurgeTarget {
        object: Some(content.object.to_owned()),
        group: 0,
    })
}

/// The group that a collection id names.
fn group_target(ccid: &str) -> Option<PurgeTarget> {
    let group = ccid.parse().ok().filter(|group| *group < GROUPS)?;
    Some(PurgeTarget {
        object: None,
        group,
    })
}

/// What a trigger asks for.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Kind {
    /// To purge, or to invalidate: invalidated copies are not shown to be good again here, so they are purged, which is
    /// stricter.
    Purge,
    /// To fetch ahead.
    Preposition,
}

impl Kind {
    /// The kind of a name in the specification.
    pub(super) fn read(text: &str) -> Option<Self> {
        match text {
            "purge" | "invalidate" => Some(Kind::Purge),
            "preposition" => Some(Kind::Preposition),
            _ => None,
        }
    }

    /// The error in the status of such a trigger, where it can't be carried out in full.
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

/// An error of the code `ereject` on these selectors.
fn error_of(selectors: &Map<String, Value>, why: &str) -> Value {
    let mut error = selectors.clone();
    error.insert("error".to_owned(), "ereject".into());
    error.insert("description".to_owned(), why.into());
    Value::Object(error)
}
