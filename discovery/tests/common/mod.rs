//! Fixtures for the tests of the endpoint table: caches, sources, and the published list.
#![allow(dead_code, reason = "each test file uses a part of it")]

use linnetknot::{ListMode, Micros, Server, State};
use linnetknot_discovery::{
    server_id, Damping, EndpointTable, Entry, Evidence, Limits, ListEvent, Reason, Report, Source,
    SourceId, TableUpdate,
};
use std::collections::BTreeMap;

pub(crate) const SECOND_US: Micros = 1_000_000;
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

/// Returns a table with a relayed bus and a damped Consul source.
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

/// The endpoint list that the decision module derives from the published events.
#[derive(Clone, Debug, Default)]
pub(crate) struct PublishedList(pub BTreeMap<String, Entry>);

impl PublishedList {
    pub(crate) fn apply(&mut self, update: &TableUpdate) {
        for ListEvent { mode, entries } in &update.events {
            if *mode == ListMode::Full {
                self.0
                    .retain(|uid, _| entries.iter().any(|entry| entry.uid == *uid));
            }
            for entry in entries {
                self.0.insert(entry.uid.clone(), entry.clone());
            }
            self.0.retain(|_, entry| entry.server.state != State::Gone);
        }
    }

    pub(crate) fn state(&self, uid: &str) -> State {
        self.0
            .get(uid)
            .map_or(State::Gone, |entry| entry.server.state)
    }

    pub(crate) fn started(&self, uid: &str) -> Option<Micros> {
        self.0.get(uid)?.server.started
    }
}

pub(crate) fn full_list(reports: Vec<Report>) -> Evidence {
    Evidence::Full(reports)
}
