//! The event bus: numbered purges and changes of the list of boxes, read as server-sent events.

use crate::core::{server_id, Entry};
use crate::limits::Limits;
use crate::wire::{http, sse, Parser, WireError};
use linnetknot::{ListMode, Micros, Server, State};
use linnetknot_discovery::ReceivedList;
use linnetknot_settings::{
    flag, get, int, int_or, list, number_or, object, text, text_or, wrong_type, Fields, Result,
};
use serde_json::Value;

/// What an event tells.
#[derive(Clone, Debug, PartialEq)]
pub enum BusUpdate {
    /// The list of boxes, or changes to it.
    List(ReceivedList),
    /// An object, or with none a whole group, was purged at this Unix time.
    Purge {
        /// The object.
        object: Option<String>,
        /// The group.
        group: u64,
        /// When.
        at: Micros,
    },
}

/// An event of the bus.
#[derive(Clone, Debug, PartialEq)]
pub struct BusEvent {
    /// Its number.
    pub offset: u64,
    /// What it tells; none: a kind that is not known here.
    pub update: Option<BusUpdate>,
}

/// Reads an entry of the list of boxes.
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
        started: Some(int_or(m, "boot_ms", 0)? * 1000).filter(|at| *at > 0),
    };
    Ok(Entry {
        server,
        uid,
        endpoint: endpoint.parse().map_err(|_| wrong_type("endpoint"))?,
    })
}

/// Reads an event.
pub fn read_event(value: &Value) -> Result<BusEvent> {
    let m = value.as_object().ok_or("an event is not an object")?;
    let update = if get(m, "topology").is_some() {
        let topology = object(m, "topology")?;
        let mode = if flag(topology, "all")? {
            ListMode::Full
        } else {
            ListMode::Delta
        };
        let rev = get(topology, "rev")
            .map(|_| int(topology, "rev"))
            .transpose()?;
        let targets = list(topology, "targets")?;
        let read = |v: &Value| read_entry(v.as_object().ok_or_else(|| wrong_type("targets"))?);
        // One that can't be read must not hide what the others say.
        let mut answer = ReceivedList {
            rev,
            mode,
            entries: Vec::new(),
            unreadable: Vec::new(),
        };
        for target in targets {
            match read(target) {
                Ok(entry) => answer.entries.push(entry),
                Err(fault) => answer.unreadable.push(fault),
            }
        }
        Some(BusUpdate::List(answer))
    } else if get(m, "ban").is_some() {
        let ban = object(m, "ban")?;
        let object = get(ban, "url").map(|_| text(ban, "url")).transpose()?;
        let group = if object.is_some() {
            0
        } else {
            int(ban, "tag")?
        };
        Some(BusUpdate::Purge {
            object,
            group,
            at: int(ban, "ts")? * 1000,
        })
    } else {
        None
    };
    Ok(BusEvent {
        offset: int(m, "offset")?,
        update,
    })
}

/// One call to the bus.
pub struct BusStream {
    http: http::MessageParser,
    events: sse::EventParser,
}

/// The request that reads on behind an event.
pub fn request(host: &str, last: u64) -> Vec<u8> {
    format!(
        "GET /bus/read HTTP/1.1\r\nHost: {host}\r\nAccept: text/event-stream\r\nCache-Control: no-cache\r\n\
         Last-Event-ID: {last}\r\n\r\n"
    )
    .into_bytes()
}

impl BusStream {
    /// A call just begun.
    pub fn new(limits: &Limits) -> Self {
        let http = http::MessageParser::responses(limits.max_line_bytes, usize::MAX);
        BusStream {
            http,
            events: sse::EventParser::new(limits.max_line_bytes),
        }
    }

    /// Takes bytes in: how many, and the events that became whole, those after `last` only.
    pub fn read(
        &mut self,
        mut input: &[u8],
        last: &mut u64,
    ) -> std::result::Result<Vec<BusEvent>, WireError> {
        let mut events = Vec::new();
        loop {
            let (taken, piece) = self.http.parse(input)?;
            input = &input[taken..];
            match piece {
                None => return Ok(events),
                Some(http::Piece::Head(head)) if head.status() != Some(200) => {
                    return Err(WireError::Malformed("the event bus's answer"));
                }
                Some(http::Piece::Head(_)) => {}
                Some(http::Piece::Body(bytes)) => self.body(&bytes, last, &mut events)?,
                Some(http::Piece::End) => {
                    return Err(WireError::Malformed("the end of the event bus's stream"))
                }
            }
        }
    }

    fn body(
        &mut self,
        mut bytes: &[u8],
        last: &mut u64,
        events: &mut Vec<BusEvent>,
    ) -> std::result::Result<(), WireError> {
        while !bytes.is_empty() {
            let (taken, event) = self.events.parse(bytes)?;
            bytes = &bytes[taken..];
            let Some(event) = event else { continue };
            let value =
                serde_json::from_str(&event.data).map_err(|_| WireError::Malformed("an event"))?;
            match read_event(&value) {
                // A repeat after a reconnection is old news: the list must not step back.
                Ok(event) if event.offset > *last => {
                    *last = event.offset;
                    events.push(event);
                }
                Ok(_) => {}
                Err(e) => log::warn!("an event of the bus was passed over: {e}"),
            }
        }
        Ok(())
    }
}
