//! The endpoint list as it is known here: pop caches, parent caches and origins by their ids.

use super::Entry;
use linnetknot::{ListMode, Server, ServerId, State};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A cache of the endpoint list.
struct Cache {
    /// Its id on the wire.
    uid: String,
    endpoint: SocketAddr,
    state: State,
}

/// What a list changes.
pub(super) struct Update {
    /// The caches that it names, for the decision module.
    pub(super) servers: Vec<Server>,
    /// The caches that were ready and are draining or gone now.
    pub(super) withdrawn: Vec<ServerId>,
}

/// The caches that are in the list.
#[derive(Default)]
pub(super) struct CacheTable {
    caches: BTreeMap<ServerId, Cache>,
}

impl CacheTable {
    /// Whether a cache may be given new work.
    pub(super) fn is_ready(&self, id: ServerId) -> bool {
        self.caches
            .get(&id)
            .is_some_and(|cache| cache.state == State::Ready)
    }

    /// Whether any cache may be given new work.
    pub(super) fn any_ready(&self) -> bool {
        self.caches
            .values()
            .any(|cache| cache.state == State::Ready)
    }

    /// The address of a cache.
    pub(super) fn endpoint(&self, id: ServerId) -> Option<SocketAddr> {
        self.caches.get(&id).map(|cache| cache.endpoint)
    }

    /// Id on the wire of a cache.
    pub(super) fn wire_id(&self, id: ServerId) -> Option<&str> {
        self.caches.get(&id).map(|cache| cache.uid.as_str())
    }

    /// Takes a whole list, or changes to it.
    pub(super) fn update(&mut self, mode: ListMode, entries: Vec<Entry>) -> Update {
        let mut withdrawn = Vec::new();
        if mode == ListMode::Full {
            let is_named = |id: &ServerId| entries.iter().any(|entry| entry.server.id == *id);
            let missing: Vec<ServerId> = self
                .caches
                .keys()
                .filter(|id| !is_named(id))
                .copied()
                .collect();
            for id in missing {
                withdrawn.extend(self.set_state(id, State::Gone));
            }
        }
        let mut servers = Vec::new();
        for entry in entries {
            let id = entry.server.id;
            let cache = self.caches.entry(id).or_insert(Cache {
                uid: entry.uid,
                endpoint: entry.endpoint,
                state: State::Ready,
            });
            cache.endpoint = entry.endpoint;
            withdrawn.extend(self.set_state(id, entry.server.state));
            servers.push(entry.server);
        }
        // Caches come back under new ids all day long: what is gone must not stay in the table.
        self.caches.retain(|_, cache| cache.state != State::Gone);
        Update { servers, withdrawn }
    }

    /// Changes the state of a cache; gives its id if it was ready and no longer is.
    fn set_state(&mut self, id: ServerId, state: State) -> Option<ServerId> {
        let cache = self.caches.get_mut(&id)?;
        let was_ready = std::mem::replace(&mut cache.state, state) == State::Ready;
        (was_ready && state != State::Ready).then_some(id)
    }
}
