//! Fixtures: instances in the JSON structure of the API, and a watch that receives scripted responses.
#![allow(dead_code, reason = "each test file uses a part of it")]

use linnetknot::{Micros, State};
use linnetknot_consul::{Call, Mapping, Options, Response, Watch, WatchEvent, WatchUpdate};
use linnetknot_discovery::{Evidence, Reason, Report};
use serde_json::{json, Value};
use std::collections::BTreeMap;

pub(crate) const MILLISECOND_US: Micros = 1000;

pub(crate) fn mapping() -> Mapping {
    let names = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
    let zones = names(&["hub", "here"]);
    Mapping {
        zone: "here".into(),
        kind: "box".into(),
        zones,
        ..Mapping::default()
    }
}

/// Returns an instance in the form of the health API.
pub(crate) fn instance(id: &str, port: u16, checks: &[(&str, &str)]) -> Value {
    let checks: Vec<Value> = checks
        .iter()
        .map(|(id, status)| {
            json!({"Node": "n1", "CheckID": id, "Name": "c", "Status": status, "Notes": "by hand",
            "Output": "", "ServiceID": "", "ServiceTags": [], "Type": "ttl", "CreateIndex": 7})
        })
        .collect();
    json!({
        "Node": {"ID": "40e4a748", "Node": "n1", "Address": "10.1.10.12", "Datacenter": "dc1",
            "TaggedAddresses": {"lan": "10.1.10.12", "wan": "192.0.2.12"}, "Meta": {"instance_type": "m"}},
        "Service": {"ID": id, "Service": "pop-cache", "Tags": [], "Address": "", "Meta": {"az": "here"}, "Port": port,
            "TaggedAddresses": {"wan": {"Address": "192.0.2.77", "Port": 9000}},
            "Weights": {"Passing": 8, "Warning": 2}, "EnableTagOverride": false},
        "Checks": checks,
    })
}

pub(crate) fn ready_instances(ids: &[&str]) -> Vec<Value> {
    let one =
        |(name, id): (usize, &&str)| instance(id, 7000 + name as u16, &[("serfHealth", "passing")]);
    ids.iter().enumerate().map(one).collect()
}

pub(crate) fn catalog(ids: &[&str]) -> Vec<Value> {
    ids.iter()
        .map(|id| json!({"Node": "n1", "ServiceID": id, "ServiceName": "pop-cache"}))
        .collect()
}

/// A watch with a test clock, and the endpoint list that results from the evidence that the watch reports.
pub(crate) struct WatchFixture {
    pub(crate) watch: Watch,
    pub(crate) now: Micros,
    pub(crate) list: BTreeMap<String, Report>,
    pub(crate) events: Vec<WatchEvent>,
}

impl WatchFixture {
    pub(crate) fn new(change: impl Fn(&mut Options)) -> WatchFixture {
        let mut options = Options::default();
        change(&mut options);
        WatchFixture {
            watch: Watch::new(options, mapping(), 7),
            now: 1_000_000,
            list: BTreeMap::new(),
            events: vec![],
        }
    }

    /// Advances the clock until the next call is due, and returns the call.
    pub(crate) fn next_call(&mut self) -> Call {
        self.now = self
            .now
            .max(self.watch.due().expect("no call is in flight"));
        self.watch.poll(self.now).expect("a call is due")
    }

    pub(crate) fn apply(&mut self, update: WatchUpdate) -> bool {
        self.events.extend(update.events);
        let changed = update.evidence.is_some();
        let (is_full, reports) = match update.evidence {
            Some(Evidence::Full(reports)) => (true, reports),
            Some(Evidence::Delta(reports)) => (false, reports),
            None => return false,
        };
        if is_full {
            self.list.clear();
        }
        for report in reports {
            self.list.insert(report.entry.uid.clone(), report);
        }
        self.list
            .retain(|_, report| report.entry.server.state != State::Gone);
        changed
    }

    pub(crate) fn respond(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> bool {
        let headers: Vec<_> = headers
            .iter()
            .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
            .collect();
        let update = self.watch.on_response(
            self.now,
            &Response {
                status,
                headers: &headers,
                body,
            },
        );
        self.apply(update)
    }

    /// Sends the next call and responds with a list and this index. Returns the target of the call.
    pub(crate) fn exchange(&mut self, index: u64, list: &[Value]) -> String {
        let call = self.next_call();
        self.respond(
            200,
            &[("x-consul-index", &index.to_string())],
            Value::from(list).to_string().as_bytes(),
        );
        call.target
    }

    pub(crate) fn states(&self) -> Vec<(&str, State)> {
        self.list
            .iter()
            .map(|(uid, report)| (uid.as_str(), report.entry.server.state))
            .collect()
    }

    pub(crate) fn reason(&self, uid: &str) -> &Reason {
        &self.list[uid].reason
    }
}

pub(crate) const HEALTH_PATH: &str = "/v1/health/service/pop-cache";
pub(crate) const CATALOG_PATH: &str = "/v1/catalog/service/pop-cache";
