//! The shapes of the health and catalogue answers. Each instance is read by itself: one that can't be read costs
//! itself and nothing else.

use linnetknot_membership::Reason;
use serde::Deserialize;
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

/// Splits a JSON list into its elements as its bytes come, so that a long answer is read in small steps and never held
/// as a whole. What stands in an element is for whoever reads it to check.
#[derive(Clone, Debug, Default)]
pub(crate) struct Elements {
    place: Place,
    depth: u32,
    quoted: bool,
    escaped: bool,
    /// The beginning of an element that has come in part.
    part: Vec<u8>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Place {
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
const MOST_ELEMENT: usize = 1 << 20;

impl Elements {
    /// Takes bytes in, and gives each element that has become whole.
    pub fn read(
        &mut self,
        bytes: &[u8],
        mut each: impl FnMut(&[u8]) -> Result<(), String>,
    ) -> Result<(), String> {
        let mut from = 0;
        for (at, &b) in bytes.iter().enumerate() {
            if self.place == Place::Inside {
                if self.quoted {
                    match b {
                        _ if self.escaped => self.escaped = false,
                        b'\\' => self.escaped = true,
                        b'"' => self.quoted = false,
                        _ => {}
                    }
                    continue;
                }
                match b {
                    b'"' => self.quoted = true,
                    b'{' | b'[' => self.depth += 1,
                    b'}' | b']' if self.depth > 0 => self.depth -= 1,
                    b',' | b']' if self.depth == 0 => {
                        self.part.extend_from_slice(&bytes[from..at]);
                        each(&self.part)?;
                        self.part.clear();
                        self.place = if b == b',' { Place::Next } else { Place::AfterList };
                    }
                    _ => {}
                }
                continue;
            }
            self.place = match (self.place, b) {
                (place, b' ' | b'\t' | b'\r' | b'\n') => place,
                (Place::BeforeList, b'[') => Place::First,
                (Place::First, b']') => Place::AfterList,
                (Place::First | Place::Next, b',' | b']' | b'}') => return Err("a list is malformed".into()),
                (Place::First | Place::Next, _) => {
                    from = at;
                    self.quoted = b == b'"';
                    self.depth = u32::from(matches!(b, b'{' | b'['));
                    Place::Inside
                }
                _ => return Err("it is no list".into()),
            };
        }
        if self.place == Place::Inside {
            self.part.extend_from_slice(&bytes[from..]);
            if self.part.len() > MOST_ELEMENT {
                return Err("an instance is too long".into());
            }
        }
        Ok(())
    }

    /// Whether the list is whole.
    pub fn is_whole(&self) -> bool {
        self.place == Place::AfterList
    }
}

/// What is wrong with an element: it costs itself, or the whole answer where it is no JSON at all.
pub(crate) enum Bad {
    Instance(Skipped),
    Answer(String),
}

/// One element of a health answer.
pub(crate) fn instance(raw: &[u8]) -> Result<Instance, Bad> {
    let mut de = serde_json::Deserializer::from_slice(raw);
    let read: Result<Instance, _> = serde_path_to_error::deserialize(&mut de);
    match read {
        Ok(instance) => de.end().map(|()| instance).map_err(|e| Bad::Answer(e.to_string())),
        Err(e) if e.inner().is_data() => {
            let key = e.path().to_string();
            // What can still be told of it is its id, if it is JSON at all.
            let value: serde_json::Value =
                serde_json::from_slice(raw).map_err(|e| Bad::Answer(e.to_string()))?;
            let uid = value["Service"]["ID"].as_str().unwrap_or("?").to_owned();
            Err(Bad::Instance(Skipped { uid, key, why: e.into_inner().to_string() }))
        }
        Err(e) => Err(Bad::Answer(e.into_inner().to_string())),
    }
}

/// One element of a catalogue answer: node and id of what is registered.
#[derive(Debug, Deserialize)]
pub(crate) struct Registered {
    #[serde(rename = "Node", default)]
    pub node: String,
    #[serde(rename = "ServiceID")]
    pub id: String,
}

pub(crate) fn registered(raw: &[u8]) -> Result<Registered, String> {
    serde_json::from_slice(raw).map_err(|e| e.to_string())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn split(text: &str, cut: usize) -> Result<Vec<String>, String> {
        let (mut elements, mut out) = (Elements::default(), Vec::new());
        for part in [&text.as_bytes()[..cut], &text.as_bytes()[cut..]] {
            elements.read(part, |raw| {
                out.push(String::from_utf8_lossy(raw).trim().to_owned());
                Ok(())
            })?;
        }
        if elements.is_whole() {
            Ok(out)
        } else {
            Err("cut off".into())
        }
    }

    #[test]
    fn a_list_is_split_into_its_elements_however_it_is_cut() {
        let text = r#" [ {"a":"]},[\"\\\"","b":[1,{"c":2}]} , [] ,17, "x,]" ,{} ] "#;
        let want = [r#"{"a":"]},[\"\\\"","b":[1,{"c":2}]}"#, "[]", "17", r#""x,]""#, "{}"];
        for cut in 0..=text.len() {
            assert_eq!(split(text, cut).unwrap(), want, "cut at {cut}");
        }
        for end in 0..text.trim_end().len() {
            assert!(split(&text[..end], end / 2).is_err(), "ends at {end}");
        }
        assert_eq!(split("[]", 1).unwrap(), Vec::<String>::new());
        for bad in ["", "{}", "[1,]", "[,1]", "[1]]", "[1] x", "null", "[}"] {
            assert!(split(bad, 0).is_err(), "{bad}");
        }
    }
}
