//! Control Interface / Triggers (RFC 8007): commands, status resources and their collection.

use super::{content_path, looped, path_of, Effect, Identity, Post, Response};
use serde_json::{json, Map, Value};
use std::collections::BTreeMap;
use std::fmt;

const STATUS: &str = "ci-trigger-status";
const COLLECTION: &str = "ci-trigger-collection";
const COMMAND: &str = "ci-trigger-command";
const COMPLETE: &str = "complete";
const FAILED: &str = "failed";
/// Status resources of triggers that are over may go after so many seconds.
pub const STALE_S: u64 = 3600;
/// How far the wall clock that dated a trigger may be from this process's: each may be an hour off, either way.
const MAX_CLOCK_SKEW_S: u64 = 2 * 3600;

/// A trigger's name in all of an installation: the proxy that was told (0 where nothing is kept), and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Name {
    /// The proxy.
    pub writer: u64,
    /// The number.
    pub number: u64,
}

impl Name {
    fn read(text: &str) -> Option<Self> {
        match text.split_once('-') {
            None => Some(Name {
                writer: 0,
                number: text.parse().ok()?,
            }),
            Some((writer, number)) => {
                let hex = |text| u64::from_str_radix(text, 16).ok();
                // One name has one text.
                Some(Name {
                    writer: hex(writer)?,
                    number: hex(number)?,
                })
                .filter(|n| n.to_string() == text)
            }
        }
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.writer {
            0 => write!(f, "{}", self.number),
            writer => write!(f, "{writer:016x}-{:x}", self.number),
        }
    }
}

struct Trigger {
    spec: Value,
    /// When it was made, by the wall clock of the process that was told.
    made: u64,
    /// When it was first held here, by this process's clock, which never steps.
    held_since: u64,
    status: &'static str,
    error: Option<Value>,
}

impl Trigger {
    /// Whether its time is over: it was held here for all of it, or was made too long ago for any clock to be wrong.
    fn is_stale(&self, now: u64) -> bool {
        self.held_since + STALE_S < now
            || self.made.saturating_add(STALE_S + MAX_CLOCK_SKEW_S) < now
    }

    fn payload(&self) -> Value {
        let mut status = json!({
            "trigger": self.spec, "ctime": self.made, "mtime": self.made, "status": self.status,
        });
        if let Some(error) = &self.error {
            status["errors"] = json!([error]);
        }
        status
    }

    /// Reads a payload; none where it is not all there.
    fn read(now: u64, payload: &str) -> Option<Self> {
        let mut value: Value = serde_json::from_str(payload).ok()?;
        let status = [COMPLETE, FAILED]
            .into_iter()
            .find(|s| value["status"] == **s)?;
        let made = value["ctime"].as_u64()?;
        let error = value.get_mut("errors").map(|errors| errors[0].take());
        Some(Trigger {
            spec: value["trigger"].take(),
            made,
            held_since: now,
            status,
            error,
        })
    }
}

/// The trigger status resources.
pub struct Triggers {
    held: BTreeMap<Name, Trigger>,
    /// The next name that is given here.
    next: Name,
    /// Of those that this proxy was told itself.
    most: usize,
}

/// What of a trigger can be carried out, and what not.
#[derive(Default)]
struct Plan {
    purges: Vec<(Option<String>, u64)>,
    unable: Map<String, Value>,
}

fn plan(spec: &Map<String, Value>) -> Option<Plan> {
    let mut plan = Plan::default();
    for (selector, values) in spec.iter().filter(|(key, _)| *key != "type") {
        let values = values.as_array()?;
        let mut unable = Vec::new();
        for value in values {
            let named = match selector.as_str() {
                "content.urls" => content_path(path_of(value.as_str()?))
                    .map(|(_, key, _)| (Some(key.to_owned()), 0)),
                "content.ccid" => value
                    .as_str()?
                    .parse()
                    .ok()
                    .filter(|group| *group < 256)
                    .map(|group| (None, group)),
                // Metadata is not held here, and objects are known by their keys alone, so that no pattern
                // can be matched against them.
                _ => None,
            };
            match named {
                Some(purge) => plan.purges.push(purge),
                None => unable.push(value.clone()),
            }
        }
        if !unable.is_empty() {
            plan.unable.insert(selector.clone(), unable.into());
        }
    }
    Some(plan)
}

/// What a trigger asks for.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    /// To purge, or to invalidate: invalidated copies are not shown to be good again here, so they are purged, which is
    /// stricter.
    Purge,
    /// To fetch ahead.
    Preposition,
}

impl Kind {
    fn read(text: &str) -> Option<Self> {
        match text {
            "purge" | "invalidate" => Some(Kind::Purge),
            "preposition" => Some(Kind::Preposition),
            _ => None,
        }
    }

    /// The error that the status of such a trigger tells, where it can't be carried out whole.
    fn error(self, spec: &Map<String, Value>, plan: &Plan) -> Option<Value> {
        match self {
            Kind::Purge if plan.unable.is_empty() => None,
            Kind::Purge => Some(rejected(
                &plan.unable,
                "only content named by its URL or its collection can be purged",
            )),
            Kind::Preposition => {
                let mut all = spec.clone();
                all.retain(|key, _| key != "type");
                Some(rejected(&all, "content is fetched when it is asked for"))
            }
        }
    }
}

/// An error of the code `ereject` on these selectors.
fn rejected(selectors: &Map<String, Value>, why: &str) -> Value {
    let mut error = selectors.clone();
    error.insert("error".to_owned(), "ereject".into());
    error.insert("description".to_owned(), why.into());
    Value::Object(error)
}

/// A command to purge, for every neighbour that has not seen it.
fn posts(id: &Identity, spec: &Value, cdn_path: &[Value]) -> Vec<Post> {
    let mut path = cdn_path.to_vec();
    path.push(json!(id.provider));
    let body = json!({"trigger": spec, "cdn-path": path}).to_string();
    let unseen = id
        .neighbours
        .iter()
        .filter(|n| !cdn_path.iter().any(|p| *p == n.provider));
    let to = |n: &super::Neighbour| Post {
        address: n.address,
        path: n.triggers.clone(),
        ptype: COMMAND,
        body: body.clone(),
    };
    unseen.map(to).collect()
}

/// A purge that was told here by other ways, as commands for every neighbour.
pub(super) fn outgoing(id: &Identity, object: Option<&str>, group: u64) -> Vec<Post> {
    let url = |object: &str, class: &str| format!("{}/content/{class}/{object}", id.base);
    let spec = match object {
        Some(object) => {
            let urls: Vec<_> = id
                .classes
                .iter()
                .take(1)
                .map(|(class, _)| url(object, class))
                .collect();
            json!({"type": "purge", "content.urls": urls})
        }
        None => json!({"type": "purge", "content.ccid": [group.to_string()]}),
    };
    posts(id, &spec, &[])
}

impl Triggers {
    pub(super) fn new(most: usize) -> Self {
        Triggers {
            held: BTreeMap::new(),
            next: Name {
                writer: 0,
                number: 1,
            },
            most,
        }
    }

    fn url(id: &Identity, name: Name) -> String {
        format!("{}/cdni/triggers/{name}", id.base)
    }

    /// Names are given from this one on, or from a later one that was given already.
    pub(super) fn begin(&mut self, first: Name) {
        self.next = first.max(self.next);
    }

    /// Takes in what another proxy, or an earlier process of this one, was told; nothing where it is not all there.
    pub(super) fn admit(&mut self, now: u64, name: Name, payload: &str) {
        // Its pieces come one by one, and a long text is not to be read once for each of them.
        let whole = Some(payload).filter(|payload| payload.ends_with('}'));
        let trigger = whole
            .and_then(|payload| Trigger::read(now, payload))
            .filter(|trigger| !trigger.is_stale(now));
        let Some(mut trigger) = trigger else { return };
        self.held.retain(|_, trigger| !trigger.is_stale(now));
        if let Some(known) = self.held.get(&name) {
            trigger.held_since = known.held_since;
        }
        if name.writer == self.next.writer {
            self.next.number = self.next.number.max(name.number + 1);
        }
        self.held.insert(name, trigger);
    }

    /// Carries a command out: a purge takes effect before its response is written. Gives the response and the number of
    /// the trigger that was made, if one was.
    pub(super) fn command(
        &mut self,
        id: &Identity,
        now: u64,
        command: &Value,
        effects: &mut Vec<Effect>,
    ) -> (Response, Option<Name>) {
        let Some(cdn_path) = command["cdn-path"].as_array() else {
            return (Response::bare(400), None);
        };
        if looped(&command["cdn-path"], &id.provider) {
            return (Response::bare(403), None);
        }
        match (command["trigger"].as_object(), command["cancel"].as_array()) {
            // All triggers are over before a cancellation can come: there is nothing to stop, which is no error.
            (None, Some(urls)) if urls.iter().all(Value::is_string) => (Response::bare(200), None),
            (Some(spec), None) => self.trigger(id, now, (spec, cdn_path), effects),
            _ => (Response::bare(400), None),
        }
    }

    fn trigger(
        &mut self,
        id: &Identity,
        now: u64,
        (spec, cdn_path): (&Map<String, Value>, &[Value]),
        effects: &mut Vec<Effect>,
    ) -> (Response, Option<Name>) {
        let (Some(kind), Some(plan)) = (spec.get("type").and_then(Value::as_str), plan(spec))
        else {
            return (Response::bare(400), None);
        };
        if plan.purges.is_empty() && plan.unable.is_empty() {
            return (Response::bare(400), None);
        }
        self.held.retain(|_, trigger| !trigger.is_stale(now));
        if self
            .held
            .keys()
            .filter(|name| name.writer == self.next.writer)
            .count()
            >= self.most
        {
            return (Response::bare(503), None);
        }
        let Some(kind) = Kind::read(kind) else {
            return (Response::bare(501), None);
        };
        let error = kind.error(spec, &plan);
        if kind == Kind::Purge {
            effects.extend(
                plan.purges
                    .iter()
                    .map(|(object, group)| Effect::Purge(object.clone(), *group)),
            );
            effects.extend(
                posts(id, &Value::Object(spec.clone()), cdn_path)
                    .into_iter()
                    .map(Effect::Post),
            );
        }
        let status = if error.is_some() { FAILED } else { COMPLETE };
        let trigger = Trigger {
            spec: Value::Object(spec.clone()),
            made: now,
            held_since: now,
            status,
            error,
        };
        let payload = trigger.payload();
        let response = Response::payload(201, STATUS, &payload);
        let name = self.next;
        self.next.number += 1;
        self.held.insert(name, trigger);
        // Behind the purges, so that who has all of the status has them, too.
        effects.push(Effect::Status(name, payload.to_string()));
        (response.with("Location", Self::url(id, name)), Some(name))
    }

    /// Forgets a trigger.
    pub(super) fn remove(&mut self, name: Name) {
        self.held.remove(&name);
    }

    pub(super) fn collection(&self, id: &Identity, status: Option<&str>) -> Response {
        let listed = self
            .held
            .iter()
            .filter(|(_, t)| status.is_none_or(|s| s == t.status));
        let urls: Vec<_> = listed.map(|(name, _)| Self::url(id, *name)).collect();
        let mut value =
            json!({"triggers": urls, "staleresourcetime": STALE_S, "cdn-id": id.provider});
        for (key, name) in [
            ("coll-all", ""),
            ("coll-complete", "/complete"),
            ("coll-failed", "/failed"),
        ] {
            value[key] = format!("{}/cdni/triggers{name}", id.base).into();
        }
        Response::payload(200, COLLECTION, &value)
    }

    pub(super) fn resource(
        &mut self,
        id: &Identity,
        method: &str,
        name: &str,
        effects: &mut Vec<Effect>,
    ) -> Response {
        if let (Some(status), "GET") = ([COMPLETE, FAILED].iter().find(|s| **s == name), method) {
            return self.collection(id, Some(status));
        }
        let name = Name::read(name).filter(|name| self.held.contains_key(name));
        match (name, method) {
            (Some(name), "GET") => Response::payload(200, STATUS, &self.held[&name].payload()),
            (Some(name), _) => {
                self.held.remove(&name);
                effects.push(Effect::Gone(name));
                Response::bare(204)
            }
            (None, _) => Response::bare(404),
        }
    }
}
