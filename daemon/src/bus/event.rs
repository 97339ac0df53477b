//! Parses the events of the event bus.
//!
//! A list may have thousands of entries. They are parsed one by one, so that a long list is not held in memory as a tree
//! of JSON values.

use super::{BusEvent, BusUpdate, US_PER_MS};
use crate::core::{server_id, Entry};
use linnetknot::{ListMode, Micros, Server, State};
use linnetknot_discovery::ReceivedList;
use linnetknot_settings::{
    flag, get, int, int_or, number_or, object, text, text_or, wrong_type, Fields, Result,
};
use serde::de::{Deserializer, MapAccess, SeqAccess, Visitor};
use serde::Deserialize;
use serde_json::Value;
use std::fmt;

/// The reason why the text of an event can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum EventError {
    /// The text is not JSON.
    NotJson,
    /// A field is missing or has the wrong type. The message names it.
    Field(String),
}

/// Parses the text of an event.
pub(super) fn parse_event(text: &str) -> std::result::Result<BusEvent, EventError> {
    let message: EventMessage = serde_json::from_str(text).map_err(|e| {
        if e.is_data() {
            EventError::Field(e.to_string())
        } else {
            EventError::NotJson
        }
    })?;
    message.into_event().map_err(EventError::Field)
}

/// Parses an event of the event bus from its JSON value.
pub fn read_event(value: &Value) -> Result<BusEvent> {
    let message = EventMessage::deserialize(value).map_err(|e| e.to_string())?;
    message.into_event()
}

/// Converts the milliseconds in a field. A time that is out of range is an error of the field.
fn micros(key: &str, ms: u64) -> Result<Micros> {
    ms.checked_mul(US_PER_MS).ok_or_else(|| wrong_type(key))
}

/// Parses an entry of the endpoint list.
pub(crate) fn read_entry(m: &Fields) -> Result<Entry> {
    let uid = text(m, "uid")?;
    let endpoint = text(m, "endpoint")?;
    let state = match text(m, "state")?.as_str() {
        "ready" => State::Ready,
        "draining" => State::Draining,
        "gone" => State::Gone,
        _ => return Err(wrong_type("state")),
    };
    let server = Server {
        id: server_id(&uid),
        zone: text_or(m, "az", "")?,
        cell: int_or(m, "pod_group", 0)?,
        kind: text_or(m, "model", "")?,
        weight: number_or(m, "capacity_hint", 1.0)?,
        state,
        started: Some(micros("boot_ms", int_or(m, "boot_ms", 0)?)?).filter(|at| *at > 0),
    };
    Ok(Entry {
        server,
        uid,
        endpoint: endpoint.parse().map_err(|_| wrong_type("endpoint"))?,
    })
}

/// The entries of a list. Errors of entries that can't be parsed are collected, so that the other entries can still be
/// applied.
#[derive(Default)]
struct Targets {
    entries: Vec<Entry>,
    unreadable: Vec<String>,
}

impl Targets {
    fn add(&mut self, target: &Value) {
        let fields = target.as_object().ok_or_else(|| wrong_type("targets"));
        match fields.and_then(read_entry) {
            Ok(entry) => self.entries.push(entry),
            Err(fault) => self.unreadable.push(fault),
        }
    }
}

/// The value of `topology`: its entries, and its other fields.
#[derive(Default)]
struct TopologyMessage {
    fields: Fields,
    targets: Targets,
}

impl TopologyMessage {
    fn into_list(self) -> Result<ReceivedList> {
        let mode = if flag(&self.fields, "all")? {
            ListMode::Full
        } else {
            ListMode::Delta
        };
        let rev = get(&self.fields, "rev")
            .map(|_| int(&self.fields, "rev"))
            .transpose()?;
        Ok(ReceivedList {
            rev,
            mode,
            entries: self.targets.entries,
            unreadable: self.targets.unreadable,
        })
    }
}

/// An event: its list, if it has one, and its other fields.
struct EventMessage {
    fields: Fields,
    topology: Option<TopologyMessage>,
}

impl EventMessage {
    fn into_event(self) -> Result<BusEvent> {
        let offset = int(&self.fields, "offset")?;
        let update = match self.topology {
            Some(topology) => Some(BusUpdate::List(topology.into_list()?)),
            None if get(&self.fields, "ban").is_some() => Some(read_purge(&self.fields)?),
            None => None,
        };
        Ok(BusEvent { offset, update })
    }
}

/// Parses the purge of an event.
fn read_purge(fields: &Fields) -> Result<BusUpdate> {
    let ban = object(fields, "ban")?;
    let object = get(ban, "url").map(|_| text(ban, "url")).transpose()?;
    let group = if object.is_some() {
        0
    } else {
        int(ban, "tag")?
    };
    Ok(BusUpdate::Purge {
        object,
        group,
        at: micros("ts", int(ban, "ts")?)?,
    })
}

impl<'de> Deserialize<'de> for Targets {
    fn deserialize<D: Deserializer<'de>>(from: D) -> std::result::Result<Self, D::Error> {
        from.deserialize_any(TargetsVisitor)
    }
}

struct TargetsVisitor;

impl<'de> Visitor<'de> for TargetsVisitor {
    type Value = Targets;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list in the field 'targets'")
    }

    fn visit_unit<E>(self) -> std::result::Result<Targets, E> {
        Ok(Targets::default())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> std::result::Result<Targets, A::Error> {
        let mut targets = Targets::default();
        while let Some(target) = items.next_element::<Value>()? {
            targets.add(&target);
        }
        Ok(targets)
    }
}

impl<'de> Deserialize<'de> for TopologyMessage {
    fn deserialize<D: Deserializer<'de>>(from: D) -> std::result::Result<Self, D::Error> {
        from.deserialize_map(TopologyVisitor)
    }
}

struct TopologyVisitor;

impl<'de> Visitor<'de> for TopologyVisitor {
    type Value = TopologyMessage;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object in the field 'topology'")
    }

    fn visit_map<A: MapAccess<'de>>(
        self,
        mut map: A,
    ) -> std::result::Result<TopologyMessage, A::Error> {
        let mut topology = TopologyMessage::default();
        while let Some(key) = map.next_key::<String>()? {
            if key == "targets" {
                topology.targets = map.next_value()?;
            } else {
                topology.fields.insert(key, map.next_value()?);
            }
        }
        Ok(topology)
    }
}

impl<'de> Deserialize<'de> for EventMessage {
    fn deserialize<D: Deserializer<'de>>(from: D) -> std::result::Result<Self, D::Error> {
        from.deserialize_map(EventVisitor)
    }
}

struct EventVisitor;

impl<'de> Visitor<'de> for EventVisitor {
    type Value = EventMessage;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an event, which is an object")
    }

    fn visit_map<A: MapAccess<'de>>(
        self,
        mut map: A,
    ) -> std::result::Result<EventMessage, A::Error> {
        let mut event = EventMessage {
            fields: Fields::new(),
            topology: None,
        };
        while let Some(key) = map.next_key::<String>()? {
            if key == "topology" {
                event.topology = map.next_value()?;
            } else {
                event.fields.insert(key, map.next_value()?);
            }
        }
        Ok(event)
    }
}
