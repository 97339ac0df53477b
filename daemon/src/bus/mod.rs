//! The event bus: purges and changes of the endpoint list, numbered by offsets and received as server-sent events.

use crate::core::{server_id, Entry};
use crate::limits::Limits;
use crate::wire::{http, sse, Parser, WireError};
use linnetknot::{ListMode, Micros, Server, State};
use linnetknot_discovery::ReceivedList;
use linnetknot_settings::{
    flag, get, int, int_or, list, number_or, object, text, text_or, wrong_type, Fields, Result,
};
use serde_json::Value;

/// The update that an event carries.
#[derive(Clone, Debug, PartialEq)]
pub enum BusUpdate {
    /// The endpoint list, or changes to it.
    List(ReceivedList),
    /// A purge of an object, or of a group if there is no object.
    Purge {
        /// The object, if one was purged.
        object: Option<String>,
        /// The group, if no object was purged.
        group: u64,
        /// The time of the purge, in microseconds of Unix time.
        at: Micros,
    },
}

/// A parsed event of the bus.
#[derive(Clone, Debug, PartialEq)]
pub struct BusEvent {
    /// The offset of the event on the bus.
    pub offset: u64,
    /// The update; `None` for an unknown kind of event.
    pub update: Option<BusUpdate>,
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
        started: Some(int_or(m, "boot_ms", 0)? * 1000).filter(|at| *at > 0),
    };
    Ok(Entry {
        server,
        uid,
        endpoint: endpoint.parse().map_err(|_| wrong_type("endpoint"))?,
    })
}

/// Parses an event of the event bus from its JSON value.
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
        // Errors of entries that can't be parsed are collected, so that the other entries can still be applied.
        let mut received = ReceivedList {
            rev,
            mode,
            entries: Vec::new(),
            unreadable: Vec::new(),
        };
        for target in targets {
            match read(target) {
                Ok(entry) => received.entries.push(entry),
                Err(fault) => received.unreadable.push(fault),
            }
        }
        Some(BusUpdate::List(received))
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

/// The response stream of one request to the bus.
pub struct BusStream {
    http: http::MessageParser,
    events: sse::EventParser,
}

/// Returns the request for the events after the offset `last`.
pub fn request(host: &str, last: u64) -> Vec<u8> {
    format!(
        "GET /bus/read HTTP/1.1\r\nHost: {host}\r\nAccept: text/event-stream\r\nCache-Control: no-cache\r\n\
         Last-Event-ID: {last}\r\n\r\n"
    )
    .into_bytes()
}

impl BusStream {
    /// Creates the state of a new response.
    pub fn new(limits: &Limits) -> Self {
        let http = http::MessageParser::responses(limits.max_line_bytes, usize::MAX);
        BusStream {
            http,
            events: sse::EventParser::new(limits.max_line_bytes),
        }
    }

    /// Parses received bytes. Returns the complete events whose offsets are greater than `last`.
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
                    return Err(WireError::Malformed("the response of the event bus"));
                }
                Some(http::Piece::Head(_)) => {}
                Some(http::Piece::Body(bytes)) => self.body(&bytes, last, &mut events)?,
                Some(http::Piece::End) => {
                    return Err(WireError::Malformed("the end of the event stream"))
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
                // Events that are repeated after a reconnect are skipped, so that the list does not return to an
                // earlier state.
                Ok(event) if event.offset > *last => {
                    *last = event.offset;
                    events.push(event);
                }
                Ok(_) => {}
                Err(e) => log::warn!("a malformed event of the event bus is ignored: {e}"),
            }
        }
        Ok(())
    }
}
