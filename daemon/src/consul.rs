//! Consul as a source of the list of boxes: its health API by blocking queries, its catalogue for what is gone.

use crate::bus::entry;
use crate::core::Entry;
use crate::limits::Limits;
use crate::wire::http::{Head, Messages, Piece};
use crate::wire::{Parser, WireError};
use linnetknot::State;
use linnetknot_settings::{get, int, list, object, text, wrong, Fields, Result};
use serde_json::Value;

/// What the next query asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asks {
    /// The instances with their checks; waits for a change.
    Health,
    /// What is registered at all.
    Catalogue,
}

/// The state of one deployment's list as Consul tells it.
pub struct Consul {
    service: String,
    wait_s: u64,
    index: u64,
    asks: Asks,
    healthy: Vec<Entry>,
    told: Vec<Entry>,
}

/// One call.
pub struct Call {
    messages: Messages,
    head: Option<Head>,
    body: Vec<u8>,
}

impl Call {
    /// A call just begun.
    pub fn new(limits: &Limits) -> Self {
        Call { messages: Messages::responses(limits.line, limits.list), head: None, body: Vec::new() }
    }

    /// Takes bytes in; gives the response once it is whole.
    pub fn read(&mut self, mut input: &[u8]) -> std::result::Result<Option<(Head, Vec<u8>)>, WireError> {
        loop {
            let (taken, piece) = self.messages.parse(input)?;
            input = &input[taken..];
            match piece {
                None => return Ok(None),
                Some(Piece::Head(head)) => self.head = Some(head),
                Some(Piece::Body(bytes)) => self.body.extend(bytes),
                Some(Piece::End) => {
                    let body = std::mem::take(&mut self.body);
                    return Ok(self.head.take().map(|head| (head, body)));
                }
            }
        }
    }
}

/// An instance of the service as an entry of the list, in the words of the event bus.
fn instance(v: &Value) -> Result<Entry> {
    let m = v.as_object().ok_or_else(|| wrong("instance"))?;
    let (node, service) = (object(m, "Node")?, object(m, "Service")?);
    let meta = if get(service, "Meta").is_some() { object(service, "Meta")? } else { &Fields::new() };
    let mut words = Fields::new();
    for (key, value) in meta {
        // Consul holds texts only.
        let text = value.as_str().ok_or_else(|| wrong("Meta"))?;
        let number = matches!(key.as_str(), "pod_group" | "capacity_hint" | "boot_ms");
        let number = text.parse::<f64>().ok().filter(|_| number).map(Value::from);
        words.insert(key.clone(), number.unwrap_or_else(|| text.into()));
    }
    let address = text(service, "Address").ok().filter(|a| !a.is_empty());
    let address = address.map_or_else(|| text(node, "Address"), Ok)?;
    let critical = |check: &Value| check["Status"] == "critical" || check["Status"] == "maintenance";
    let draining = list(m, "Checks")?.iter().any(critical);
    words.insert("uid".to_owned(), text(service, "ID")?.into());
    words.insert("endpoint".to_owned(), format!("{address}:{}", int(service, "Port")?).into());
    words.insert("state".to_owned(), if draining { "draining" } else { "ready" }.into());
    entry(&words)
}

impl Consul {
    /// A list not told yet; queries wait for so many seconds at most.
    pub fn new(service: String, wait_s: u64) -> Self {
        Consul { service, wait_s, index: 0, asks: Asks::Health, healthy: Vec::new(), told: Vec::new() }
    }

    /// The next query.
    pub fn request(&self, host: &str) -> Vec<u8> {
        let service = &self.service;
        let target = match (self.asks, self.index) {
            (Asks::Catalogue, _) => format!("/v1/catalog/service/{service}"),
            (Asks::Health, 0) => format!("/v1/health/service/{service}"),
            (Asks::Health, index) => {
                format!("/v1/health/service/{service}?index={index}&wait={}s", self.wait_s)
            }
        };
        format!("GET {target} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n").into_bytes()
    }

    /// A query failed: what was told stays, and the next one asks for all of it.
    pub fn failed(&mut self) {
        self.index = 0;
        self.asks = Asks::Health;
    }

    /// Takes a response in; gives the whole list once it has changed.
    pub fn response(&mut self, head: &Head, body: &[u8]) -> Result<Option<Vec<Entry>>> {
        if head.status() != Some(200) {
            return Err(format!("Consul answered '{}'", head.start));
        }
        let value: Value =
            serde_json::from_slice(body).map_err(|e| format!("Consul's answer is not JSON: {e}"))?;
        let items = value.as_array().ok_or("Consul's answer is not a list")?;
        if self.asks == Asks::Health {
            let index = head.header("x-consul-index").and_then(|v| v.parse().ok()).unwrap_or(0);
            // An index that went back is of a restored or new server: all of it must be read again.
            self.index = if index < self.index { 0 } else { index };
            self.healthy = items.iter().map(instance).collect::<Result<_>>()?;
            self.asks = Asks::Catalogue;
            return Ok(None);
        }
        self.asks = Asks::Health;
        let registered = |e: &Entry| items.iter().any(|i| i["ServiceID"] == e.uid.as_str());
        let mut entries: Vec<Entry> = self.healthy.iter().filter(|e| registered(e)).cloned().collect();
        // Still registered, yet without health: its agent is on the way out.
        let unhealthy = self.told.iter().filter(|e| registered(e) && !entries.iter().any(|h| h.uid == e.uid));
        let mut unhealthy: Vec<Entry> = unhealthy.cloned().collect();
        unhealthy.iter_mut().for_each(|e| e.server.state = State::Draining);
        entries.extend(unhealthy);
        entries.sort_by(|a, b| a.uid.cmp(&b.uid));
        let changed = entries != self.told;
        self.told.clone_from(&entries);
        Ok(changed.then_some(entries))
    }
}
