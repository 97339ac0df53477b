//! The shapes of the health and catalogue answers. Each instance is read by itself: one that can't be read costs
//! itself and nothing else.

use linnetknot_discovery::Reason;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;

/// An instance that is passed over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SkippedInstance {
    /// Its id, as far as it can be told.
    pub uid: String,
    /// The key at fault, from the instance down.
    pub key: String,
    /// What is wrong there.
    pub why: String,
}

impl fmt::Display for SkippedInstance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "instance '{}' is passed over: {}: {}",
            self.uid.escape_default(),
            self.key,
            self.why
        )
    }
}

/// A value that is read only where the mapping in force needs it. Anything may stand in the others: a detail that
/// nobody uses must not hide a box.
#[derive(Clone, Debug, Default)]
pub(crate) enum Field<T> {
    /// Nothing is said, or `null`.
    #[default]
    Absent,
    Present(T),
    /// What stands there is something else, and why it can't be read.
    Unreadable(String),
}

impl<'de, T: DeserializeOwned> Deserialize<'de> for Field<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Ok(match Value::deserialize(deserializer)? {
            Value::Null => Field::Absent,
            value => T::deserialize(value)
                .map_or_else(|e| Field::Unreadable(e.to_string()), Field::Present),
        })
    }
}

impl<T> Field<T> {
    /// Where the value is needed: none where nothing is said, or what is wrong with it.
    pub(crate) fn value(&self) -> Result<Option<&T>, String> {
        match self {
            Field::Absent => Ok(None),
            Field::Present(value) => Ok(Some(value)),
            Field::Unreadable(why) => Err(why.clone()),
        }
    }

    /// Where it is of use but not needed.
    pub(crate) fn if_readable(&self) -> Option<&T> {
        if let Field::Present(value) = self {
            Some(value)
        } else {
            None
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct Instance {
    pub node: Field<Node>,
    pub service: Field<Service>,
    pub checks: Field<Vec<Field<Check>>>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct Node {
    pub node: Field<String>,
    pub address: Field<String>,
    pub tagged_addresses: Field<BTreeMap<String, Field<String>>>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct Service {
    #[serde(rename = "ID")]
    pub id: Field<String>,
    pub address: Field<String>,
    pub port: Field<i64>,
    pub tagged_addresses: Field<BTreeMap<String, Field<Tagged>>>,
    pub meta: Field<BTreeMap<String, Field<String>>>,
    pub weights: Field<Weights>,
}

/// A service's tagged address. The API's pages write its keys in both ways.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct Tagged {
    #[serde(alias = "address")]
    pub address: Field<String>,
    #[serde(alias = "port")]
    pub port: Field<i64>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct Weights {
    pub passing: Field<f64>,
    pub warning: Field<f64>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct Check {
    #[serde(rename = "CheckID")]
    pub id: Field<String>,
    pub status: Field<String>,
    pub notes: Field<String>,
}

/// A check, as far as it counts.
pub(crate) struct CheckStatus<'a> {
    id: &'a str,
    status: &'a str,
    notes: &'a str,
}

impl Instance {
    /// Its checks. What each of them says is needed; what it is called and its notes only make a better reason.
    pub(crate) fn checks(&self) -> Result<Vec<CheckStatus<'_>>, (String, String)> {
        let all = self
            .checks
            .value()
            .map_err(|why| ("Checks".to_owned(), why))?;
        all.into_iter()
            .flatten()
            .enumerate()
            .map(|(n, check)| {
                let at = |key: &str, why: String| (format!("Checks[{n}]{key}"), why);
                let check = check
                    .value()
                    .map_err(|why| at("", why))?
                    .ok_or(at("", MISSING.to_owned()))?;
                let status = check.status.value().map_err(|why| at(".Status", why))?;
                Ok(CheckStatus {
                    id: check.id.if_readable().map_or("", String::as_str),
                    status: status.ok_or(at(".Status", MISSING.to_owned()))?,
                    notes: check.notes.if_readable().map_or("", String::as_str),
                })
            })
            .collect()
    }
}

/// Why a key that is needed can't be used where nothing stands there.
pub(crate) const MISSING: &str = "it is missing";

/// What an instance's checks come to.
pub(crate) struct Checks<'a>(pub &'a [CheckStatus<'a>]);

impl<'a> Checks<'a> {
    /// Why the instance must get no fresh work, if it must not. What the operators did by hand comes first: it
    /// says most.
    pub(crate) fn fault(&self) -> Option<Reason> {
        let failing = || {
            self.0
                .iter()
                .filter(|c| !matches!(c.status, "passing" | "warning"))
        };
        let by = |of: &dyn Fn(&CheckStatus) -> Option<Reason>| failing().find_map(of);
        by(&|c| {
            c.id.starts_with("_node_maintenance")
                .then(|| Reason::NodeMaintenance(c.notes.to_owned()))
        })
        .or_else(|| {
            by(&|c| {
                c.id.starts_with("_service_maintenance")
                    .then(|| Reason::ServiceMaintenance(c.notes.to_owned()))
            })
        })
        .or_else(|| by(&|c| (c.id == "serfHealth").then_some(Reason::NodeLost)))
        .or_else(|| by(&|c| Some(Reason::Check(c.id.to_owned()))))
    }

    /// A check that warns.
    pub(crate) fn warning(&self) -> Option<&'a str> {
        self.0.iter().find(|c| c.status == "warning").map(|c| c.id)
    }
}

/// Splits a JSON list into its elements as its bytes come, so that a long answer is read in small steps and never held
/// as a whole. What stands in an element is for whoever reads it to check.
#[derive(Clone, Debug, Default)]
pub(crate) struct ListSplitter {
    position: Position,
    depth: u32,
    quoted: bool,
    escaped: bool,
    /// The beginning of an element that has come in part.
    part: Vec<u8>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Position {
    #[default]
    BeforeList,
    /// Behind `[`, where the list may also end.
    First,
    /// Behind a comma.
    Next,
    Inside,
    AfterList,
}

/// The longest element: an instance with its checks takes some KB.
const MAX_ELEMENT: usize = 1 << 20;

impl ListSplitter {
    /// Takes bytes in, and gives each element that has become whole.
    pub(crate) fn push(
        &mut self,
        bytes: &[u8],
        mut each: impl FnMut(&[u8]) -> Result<(), String>,
    ) -> Result<(), String> {
        let mut from = 0;
        for (at, &b) in bytes.iter().enumerate() {
            if self.position == Position::Inside {
                if self.is_end(b) {
                    self.part.extend_from_slice(&bytes[from..at]);
                    each(&self.part)?;
                    self.part.clear();
                    self.position = if b == b',' {
                        Position::Next
                    } else {
                        Position::AfterList
                    };
                }
                continue;
            }
            self.position = self.between(b)?;
            if self.position == Position::Inside {
                from = at;
            }
        }
        if self.position == Position::Inside {
            self.part.extend_from_slice(&bytes[from..]);
            if self.part.len() > MAX_ELEMENT {
                return Err("an instance is too long".into());
            }
        }
        Ok(())
    }

    /// Takes a byte in an element; true if it is the first one behind it.
    fn is_end(&mut self, b: u8) -> bool {
        if self.quoted {
            match b {
                _ if self.escaped => self.escaped = false,
                b'\\' => self.escaped = true,
                b'"' => self.quoted = false,
                _ => {}
            }
            return false;
        }
        match b {
            b'"' => self.quoted = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' if self.depth > 0 => self.depth -= 1,
            b',' | b']' if self.depth == 0 => return true,
            _ => {}
        }
        false
    }

    /// Takes a byte outside of elements: the place behind it.
    fn between(&mut self, b: u8) -> Result<Position, String> {
        match (self.position, b) {
            (position, b' ' | b'\t' | b'\r' | b'\n') => Ok(position),
            (Position::BeforeList, b'[') => Ok(Position::First),
            (Position::First, b']') => Ok(Position::AfterList),
            (Position::First | Position::Next, b',' | b']' | b'}') => {
                Err("a list is malformed".into())
            }
            (Position::First | Position::Next, _) => {
                self.quoted = b == b'"';
                self.depth = u32::from(matches!(b, b'{' | b'['));
                Ok(Position::Inside)
            }
            _ => Err("it is no list".into()),
        }
    }

    /// Whether the list is whole.
    pub(crate) fn is_complete(&self) -> bool {
        self.position == Position::AfterList
    }
}

/// What is wrong with an element: it costs itself, or the whole answer where it is no JSON at all.
pub(crate) enum ElementError {
    Instance(SkippedInstance),
    Answer(String),
}

/// One element of a health answer.
pub(crate) fn instance(raw: &[u8]) -> Result<Instance, ElementError> {
    match serde_json::from_slice(raw) {
        Ok(instance) => Ok(instance),
        Err(e) if e.is_data() => {
            let (uid, key) = ("?".to_owned(), ".".to_owned());
            Err(ElementError::Instance(SkippedInstance {
                uid,
                key,
                why: e.to_string(),
            }))
        }
        Err(e) => Err(ElementError::Answer(e.to_string())),
    }
}

/// One element of a catalogue answer: node and id of what is registered.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Registered {
    #[serde(rename = "Node")]
    pub node: Field<String>,
    #[serde(rename = "ServiceID")]
    pub id: Field<String>,
}

pub(crate) fn registered(raw: &[u8]) -> Result<Registered, String> {
    serde_json::from_slice(raw).map_err(|e| e.to_string())
}

#[cfg(test)]
mod tests;
