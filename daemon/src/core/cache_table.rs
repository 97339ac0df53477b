//! The endpoint list: pop caches, parents and origins by their ids.

use super::Entry;
use linnetknot::{ListMode, Micros, Server, ServerId, State};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A server of the endpoint list: a pop cache, a parent or an origin.
struct Cache {
    /// The id of the server on the wire.
    uid: String,
    endpoint: SocketAddr,
    state: State,
    /// The start of its process, if the list names it.
    started: Option<Micros>,
    /// Connections that were opened earlier lead to an earlier process.
    valid_from: Micros,
}

impl Cache {
    /// Whether a new process has taken the place of the cache that the list named before.
    fn is_replaced_by(&self, entry: &Entry) -> bool {
        self.endpoint != entry.endpoint || self.started < entry.server.started
    }
}

/// The changes that result from applying an endpoint list.
pub(super) struct Update {
    /// The servers named in the list, in the format of the decision module.
    pub(super) servers: Vec<Server>,
    /// The servers that were ready before the update, and are draining, gone or replaced by a new process after it.
    pub(super) withdrawn: Vec<ServerId>,
}

/// The servers of the endpoint list, by their ids.
#[derive(Default)]
pub(super) struct CacheTable {
    caches: BTreeMap<ServerId, Cache>,
}

impl CacheTable {
    /// Whether new attempts may be sent to a cache.
    pub(super) fn is_ready(&self, id: ServerId) -> bool {
        self.caches
            .get(&id)
            .is_some_and(|cache| cache.state == State::Ready)
    }

    /// Whether new attempts may be sent to any cache.
    pub(super) fn any_ready(&self) -> bool {
        self.caches
            .values()
            .any(|cache| cache.state == State::Ready)
    }

    /// Returns the address of a cache.
    pub(super) fn endpoint(&self, id: ServerId) -> Option<SocketAddr> {
        self.caches.get(&id).map(|cache| cache.endpoint)
    }

    /// Returns the id of a cache on the wire.
    pub(super) fn wire_id(&self, id: ServerId) -> Option<&str> {
        self.caches.get(&id).map(|cache| cache.uid.as_str())
    }

    /// Whether a connection leads to an earlier process of a cache: it was made to another address, or opened before the
    /// start of the current process. True for a cache that is gone.
    pub(super) fn is_outdated(
        &self,
        id: ServerId,
        endpoint: Option<SocketAddr>,
        opened_at: Micros,
    ) -> bool {
        self.caches
            .get(&id)
            .is_none_or(|cache| endpoint != Some(cache.endpoint) || opened_at < cache.valid_from)
    }

    /// Applies a full endpoint list, or changes to the current one.
    pub(super) fn update(&mut self, now: Micros, mode: ListMode, entries: Vec<Entry>) -> Update {
        let mut withdrawn = Vec::new();
        if mode == ListMode::Full {
            let is_listed = |id: &ServerId| entries.iter().any(|entry| entry.server.id == *id);
            let missing: Vec<ServerId> = self
                .caches
                .keys()
                .filter(|id| !is_listed(id))
                .copied()
                .collect();
            for id in missing {
                withdrawn.extend(self.set_state(id, State::Gone));
            }
        }
        let mut servers = Vec::new();
        for entry in entries {
            let id = entry.server.id;
            let started = entry.server.started;
            let known = self.caches.get(&id);
            let is_replaced = known.is_some_and(|cache| cache.is_replaced_by(&entry));
            let cache = self.caches.entry(id).or_insert(Cache {
                uid: entry.uid,
                endpoint: entry.endpoint,
                state: State::Ready,
                started,
                valid_from: 0,
            });
            cache.endpoint = entry.endpoint;
            cache.started = started;
            if is_replaced {
                // A start that is listed too late must not make later connections outdated.
                cache.valid_from = started.map_or(0, |started| started.min(now));
            }
            let was_withdrawn = self.set_state(id, entry.server.state);
            withdrawn.extend(was_withdrawn.or(is_replaced.then_some(id)));
            servers.push(entry.server);
        }
        // Restarted caches register under new ids, so entries in the state `Gone` are removed to bound the table.
        self.caches.retain(|_, cache| cache.state != State::Gone);
        Update { servers, withdrawn }
    }

    /// Changes the state of a cache. Returns the id of the cache if it was ready before and is not ready now.
    fn set_state(&mut self, id: ServerId, state: State) -> Option<ServerId> {
        let cache = self.caches.get_mut(&id)?;
        let was_ready = std::mem::replace(&mut cache.state, state) == State::Ready;
        (was_ready && state != State::Ready).then_some(id)
    }
}
