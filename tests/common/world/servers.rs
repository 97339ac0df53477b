//! Simulated servers: their list entries, load reports and load during slow start.

use super::{FakeServer, FleetSimulation, ORIGIN};
use crate::common::server;
use linnetknot::*;
use std::collections::{BTreeSet, VecDeque};

impl FleetSimulation {
    /// Adds a server without cached objects.
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

    /// Returns the list entry of a server.
    pub(crate) fn entry(&self, id: ServerId, state: State) -> Server {
        let fake = &self.servers[&id];
        let (zone, kind) = match id {
            ORIGIN => ("hub".to_owned(), "origin"),
            _ if fake.zone == 0 => ("hub".to_owned(), "parent"),
            _ => (format!("zone-{}", fake.zone), "cache"),
        };
        Server {
            zone,
            weight: fake.weight,
            started: fake.started,
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

    /// Returns a server's load report: its requests in flight and the utilisation of its location's link.
    pub(super) fn load(&self, server: ServerId) -> Load {
        let fake = &self.servers[&server];
        let utilisation = self
            .transfers_by_link
            .get(fake.zone)
            .map(|l| l / self.link_capacity);
        Load {
            in_flight: Some(fake.active),
            link_utilisation: utilisation,
            ..Load::default()
        }
    }

    pub(super) fn warmth(&self, fake: &FakeServer) -> f64 {
        let r = &self.rules;
        let (share, cold_us) = if fake.zone == 0 {
            (r.parent_slow_start_share, r.parent_slow_start_us)
        } else {
            (r.slow_start_share, r.slow_start_us)
        };
        let age = fake
            .started
            .map_or(Micros::MAX, |s| self.now.saturating_sub(s));
        (share + (1.0 - share) * age as f64 / cold_us as f64).min(1.0)
    }

    /// Records load sent to a server during slow start, relative to what the overload rule allows.
    pub(super) fn record_slow_start_load(&mut self, id: ServerId) {
        let now = self.now;
        let warmth = self.warmth(&self.servers[&id]);
        let r = &self.rules;
        let (multiple, window) = match self.servers[&id].zone {
            0 => (r.parent_overload_multiple, r.overload_window_us),
            _ => (r.overload_multiple, r.overload_window_us),
        };
        let fake = self.servers.get_mut(&id).expect("a listed server");
        if id == ORIGIN || warmth >= 1.0 {
            return;
        }
        fake.recent_work.push_back((now, self.work_s));
        while fake.recent_work.front().is_some_and(|p| p.0 + window < now) {
            fake.recent_work.pop_front();
        }
        let sum: f64 = fake.recent_work.iter().map(|p| p.1).sum();
        fake.max_overload = fake
            .max_overload
            .max(sum / (multiple * warmth * fake.weight * window as f64 / 1e6));
    }
}
