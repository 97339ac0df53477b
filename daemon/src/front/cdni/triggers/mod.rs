//! Control Interface / Triggers (RFC 8007): commands, status resources and their collection.

mod command;
mod forwarding;
mod id;
mod trigger;

pub(super) use forwarding::purge_commands;
pub use id::TriggerId;
pub use trigger::STALE_S;

use super::{is_loop, Effect, Identity, Response};
use command::{plan, Kind};
use forwarding::commands_to_peers;
use serde_json::{json, Map, Value};
use std::collections::BTreeMap;
use trigger::{Trigger, COMPLETE, FAILED};

const STATUS: &str = "ci-trigger-status";
const COLLECTION: &str = "ci-trigger-collection";

/// The triggers whose status can be queried.
pub(super) struct TriggerTable {
    triggers: BTreeMap<TriggerId, Trigger>,
    /// The id of the next trigger of this proxy.
    next: TriggerId,
    /// The maximum number of triggers of this proxy.
    max_own: usize,
}

/// The result of a command: the response, and the trigger that the command created.
pub(super) struct CommandResult {
    pub(super) response: Response,
    /// The trigger that was created, if any.
    pub(super) trigger: Option<TriggerId>,
}

impl From<Response> for CommandResult {
    fn from(response: Response) -> Self {
        CommandResult {
            response,
            trigger: None,
        }
    }
}

impl TriggerTable {
    /// Creates an empty table for up to `max_own` triggers of this proxy.
    pub(super) fn new(max_own: usize) -> Self {
        TriggerTable {
            triggers: BTreeMap::new(),
            next: TriggerId {
                writer: 0,
                number: 1,
            },
            max_own,
        }
    }

    /// Returns the URL of the status of a trigger.
    fn url(id: &Identity, name: TriggerId) -> String {
        format!("{}/cdni/triggers/{name}", id.base)
    }

    /// Sets the id of the next trigger, unless the current one is greater.
    pub(super) fn start_ids_at(&mut self, first: TriggerId) {
        self.next = first.max(self.next);
    }

    /// Adds the status of a trigger of another proxy, or of an earlier process of this proxy. An incomplete status is
    /// ignored.
    pub(super) fn insert(&mut self, now: u64, name: TriggerId, payload: &str) {
        // A long status is received in several log entries. A text without the final brace is incomplete and is not
        // parsed.
        let complete = Some(payload).filter(|payload| payload.ends_with('}'));
        let trigger = complete
            .and_then(|payload| Trigger::read(now, payload))
            .filter(|trigger| !trigger.is_stale(now));
        let Some(mut trigger) = trigger else { return };
        self.triggers.retain(|_, trigger| !trigger.is_stale(now));
        if let Some(known) = self.triggers.get(&name) {
            trigger.known_since = known.known_since;
        }
        if name.writer == self.next.writer {
            self.next.number = self.next.number.max(name.number + 1);
        }
        self.triggers.insert(name, trigger);
    }

    /// Executes a command. The purges of a trigger take effect before the response is sent.
    pub(super) fn command(
        &mut self,
        id: &Identity,
        now: u64,
        command: &Value,
        effects: &mut Vec<Effect>,
    ) -> CommandResult {
        let Some(cdn_path) = command["cdn-path"].as_array() else {
            return Response::bare(400).into();
        };
        if is_loop(&command["cdn-path"], &id.provider) {
            return Response::bare(403).into();
        }
        match (command["trigger"].as_object(), command["cancel"].as_array()) {
            // Triggers are executed immediately, so a cancellation comes too late. That is not an error.
            (None, Some(urls)) if urls.iter().all(Value::is_string) => Response::bare(200).into(),
            (Some(spec), None) => self.make_trigger(id, now, spec, cdn_path, effects),
            _ => Response::bare(400).into(),
        }
    }

    /// Creates a trigger, and executes the supported parts of it.
    fn make_trigger(
        &mut self,
        id: &Identity,
        now: u64,
        spec: &Map<String, Value>,
        cdn_path: &[Value],
        effects: &mut Vec<Effect>,
    ) -> CommandResult {
        let (Some(kind), Some(plan)) = (spec.get("type").and_then(Value::as_str), plan(spec))
        else {
            return Response::bare(400).into();
        };
        if plan.purges.is_empty() && plan.rejected.is_empty() {
            return Response::bare(400).into();
        }
        self.triggers.retain(|_, trigger| !trigger.is_stale(now));
        if self.own_triggers() >= self.max_own {
            return Response::bare(503).into();
        }
        let Some(kind) = Kind::read(kind) else {
            return Response::bare(501).into();
        };
        let error = kind.error(spec, &plan);
        if kind == Kind::Purge {
            let purges = plan.purges.into_iter();
            effects.extend(purges.map(|target| Effect::Purge(target.object, target.group)));
            let commands = commands_to_peers(id, &Value::Object(spec.clone()), cdn_path);
            effects.extend(commands.into_iter().map(Effect::Post));
        }
        let status = if error.is_some() { FAILED } else { COMPLETE };
        let trigger = Trigger {
            spec: Value::Object(spec.clone()),
            made: now,
            known_since: now,
            status,
            error,
        };
        let payload = trigger.payload();
        let response = Response::payload(201, STATUS, &payload);
        let name = self.next;
        self.next.number += 1;
        self.triggers.insert(name, trigger);
        // The status is appended after the purges, so that a proxy that has received the complete status also has the
        // purges.
        effects.push(Effect::Status(name, payload.to_string()));
        CommandResult {
            response: response.with("Location", Self::url(id, name)),
            trigger: Some(name),
        }
    }

    /// Returns the number of triggers of this proxy.
    fn own_triggers(&self) -> usize {
        let own = self
            .triggers
            .keys()
            .filter(|id| id.writer == self.next.writer);
        own.count()
    }

    /// Removes a trigger and its status resource.
    pub(super) fn remove(&mut self, name: TriggerId) {
        self.triggers.remove(&name);
    }

    /// Returns the collection of all triggers, or of those with this status.
    pub(super) fn collection(&self, id: &Identity, status: Option<&str>) -> Response {
        let listed = self
            .triggers
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

    /// Returns or deletes the status of a trigger. The name may also be that of a collection of triggers with one
    /// status.
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
        let name = TriggerId::read(name).filter(|name| self.triggers.contains_key(name));
        match (name, method) {
            (Some(name), "GET") => Response::payload(200, STATUS, &self.triggers[&name].payload()),
            (Some(name), _) => {
                self.triggers.remove(&name);
                effects.push(Effect::Gone(name));
                Response::bare(204)
            }
            (None, _) => Response::bare(404),
        }
    }
}
