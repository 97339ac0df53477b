//! The servers of the world: what the list says of them, what they report, and what they are sent while cold.

use super::{FakeServer, FleetSimulation, ORIGIN};
use crate::common::server;
use linnetknot::*;
use std::collections::{BTreeSet, VecDeque};

impl FleetSimulation {
    /// A cache with nothing in it.
    pub(crate) fn add_server(
        &mut self,
        id: ServerId,
        zone: usize,
        weight: f64,
        started: Option<Micros>,
    ) {
        let new = FakeServer {
            zone,
            weight,
            started,
            up: true,
            vanished: false,
            cached: BTreeSet::new(),
            active: 0.0,
            recent_work: VecDeque::new(),
            max_overload: 0.0,
        };
        self.servers.insert(id, new);
    }

    /// An entry of the list for a cache.
    pub(crate) fn entry(&self, id: ServerId, state: State) -> Server {
        let b = &self.servers[&id];
        let (zone, kind) = match id {
            ORIGIN => ("hub".to_owned(), "origin"),
            _ if b.zone == 0 => ("hub".to_owned(), "parent"),
            _ => (format!("zone-{}", b.zone), "cache"),
        };
        Server {
            zone,
            weight: b.weight,
            started: b.started,
            state,
            ..server(id, "", kind)
        }
    }

    pub(super) fn server_list(&self) -> Vec<Server> {
        self.servers
            .keys()
            .map(|id| self.entry(*id, State::Ready))
            .collect()
    }

    /// What a server reports of itself: what it holds, and how full its location's link is.
    pub(super) fn load(&self, server: ServerId) -> Load {
        let b = &self.servers[&server];
        let utilisation = self
            .transfers_by_link
            .get(b.zone)
            .map(|l| l / self.link_capacity);
        Load {
            in_flight: Some(b.active),
            link_utilisation: utilisation,
            ..Load::default()
        }
    }

    pub(super) fn warmth(&self, b: &FakeServer) -> f64 {
        let r = &self.rules;
        let (share, cold_us) = if b.zone == 0 {
            (r.parent_slow_start_share, r.parent_slow_start_us)
        } else {
            (r.slow_start_share, r.slow_start_us)
        };
        let age = b
            .started
            .map_or(Micros::MAX, |s| self.now.saturating_sub(s));
        (share + (1.0 - share) * age as f64 / cold_us as f64).min(1.0)
    }

    /// Notes work sent to a server while it is cold, against what it bears.
    pub(super) fn record_slow_start_load(&mut self, id: ServerId) {
        let now = self.now;
        let warmth = self.warmth(&self.servers[&id]);
        let r = &self.rules;
        let (multiple, window) = match self.servers[&id].zone {
            0 => (r.parent_overload_multiple, r.overload_window_us),
            _ => (r.overload_multiple, r.overload_window_us),
        };
        let b = self.servers.get_mut(&id).expect("a server of the list");
        if id == ORIGIN || warmth >= 1.0 {
            return;
        }
        b.recent_work.push_back((now, self.work_s));
        while b.recent_work.front().is_some_and(|p| p.0 + window < now) {
            b.recent_work.pop_front();
        }
        let sum: f64 = b.recent_work.iter().map(|p| p.1).sum();
        b.max_overload = b
            .max_overload
            .max(sum / (multiple * warmth * b.weight * window as f64 / 1e6));
    }
}
