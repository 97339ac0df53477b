//! What the tests of the endpoint table share: caches, and the list as the decision module comes to see it.
#![allow(dead_code, reason = "each test file uses a part of it")]

use linnetknot::{ListMode, Micros, Server, State};
use linnetknot_discovery::{
    server_id, Damping, EndpointTable, Entry, Evidence, Limits, ListEvent, Reason, Report, Source,
    SourceId, TableUpdate,
};
use std::collections::BTreeMap;

pub(crate) const S: Micros = 1_000_000;
pub(crate) const BUS: SourceId = SourceId(0);
pub(crate) const CONSUL: SourceId = SourceId(1);

pub(crate) fn entry(uid: &str, port: u16, state: State) -> Entry {
    let (zone, kind) = ("here".to_owned(), "box".to_owned());
    let server = Server {
        id: server_id(uid),
        zone,
        cell: 0,
        kind,
        weight: 8.0,
        state,
        started: None,
    };
    Entry {
        server,
        uid: uid.to_owned(),
        endpoint: ([127, 0, 0, 1], port).into(),
    }
}

pub(crate) fn report(uid: &str, port: u16, state: State) -> Report {
    let reason = if state == State::Ready {
        Reason::Reported
    } else {
        Reason::Check("c".into())
    };
    Report {
        entry: entry(uid, port, state),
        reason,
    }
}

pub(crate) fn source(name: &str, relayed: bool) -> Source {
    Source {
        name: name.to_owned(),
        relayed,
        damped: !relayed,
    }
}

/// A table with a relayed bus and a damped Consul.
pub(crate) fn table() -> EndpointTable {
    let sources = vec![source("bus", true), source("consul", false)];
    EndpointTable::new(
        sources,
        Damping::default(),
        Limits {
            max_caches: 100,
            max_remembered: 8,
        },
    )
}

/// The list as the module has it, from the events alone.
#[derive(Clone, Debug, Default)]
pub(crate) struct Mirror(pub BTreeMap<String, Entry>);

impl Mirror {
    pub(crate) fn apply(&mut self, out: &TableUpdate) {
        for ListEvent { mode, entries } in &out.events {
            if *mode == ListMode::Full {
                self.0
                    .retain(|uid, _| entries.iter().any(|e| e.uid == *uid));
            }
            for e in entries {
                self.0.insert(e.uid.clone(), e.clone());
            }
            self.0.retain(|_, e| e.server.state != State::Gone);
        }
    }

    pub(crate) fn state(&self, uid: &str) -> State {
        self.0.get(uid).map_or(State::Gone, |e| e.server.state)
    }
}

pub(crate) fn full(reports: Vec<Report>) -> Evidence {
    Evidence::Full(reports)
}
