//! The server list: the roles of servers and which of them accept requests.

use super::state::{Endpoint, Role};
use super::Router;
use crate::interface::{Action, ListMode, Micros, Server, ServerId, State};

/// Delay before the server list is polled again after a failure.
const WATCH_RETRY_US: Micros = 1_000_000;
/// Tag of the timer that polls the server list again.
pub(super) const WATCH_TAG: u64 = 1;
/// Weight of a server whose entry has no valid weight.
const DEFAULT_WEIGHT: f64 = 1.0;

impl Router {
    /// Applies a server list or changes to it.
    pub(super) fn update_endpoints(
        &mut self,
        now: Micros,
        mode: ListMode,
        entries: Vec<Server>,
        actions: &mut Vec<Action>,
    ) {
        if mode == ListMode::Failed {
            actions.push(Action::Timer {
                at: now.saturating_add(WATCH_RETRY_US),
                tag: WATCH_TAG,
            });
            return;
        }
        if mode == ListMode::Full {
            self.remove_unlisted(&entries);
        }
        for entry in entries {
            self.update_endpoint(&entry);
        }
        // A removed server is kept while it has attempts in flight; servers that are added later have new ids.
        self.endpoints
            .retain(|_, server| server.state != State::Gone || server.in_flight > 0);
        let roles = [Role::Cache, Role::Parent, Role::Origin];
        self.ready_by_role = roles.map(|role| self.ready_in(role));
    }

    /// Marks the servers that a complete list does not contain as gone.
    fn remove_unlisted(&mut self, entries: &[Server]) {
        let listed: Vec<ServerId> = entries.iter().map(|entry| entry.id).collect();
        for (id, server) in &mut self.endpoints {
            if !listed.contains(id) {
                server.state = State::Gone;
            }
        }
    }

    fn update_endpoint(&mut self, entry: &Server) {
        let zones = &self.settings.zones;
        let zone = zones.iter().position(|zone| zone.name == entry.zone);
        let Some(role) = self.role_of(entry, zone) else {
            return;
        };
        let is_usable = entry.weight.is_finite() && entry.weight > 0.0;
        let listed = Endpoint {
            role,
            zone: zone.unwrap_or(usize::MAX),
            cell: entry.cell,
            weight: if is_usable {
                entry.weight
            } else {
                DEFAULT_WEIGHT
            },
            state: entry.state,
            started: entry.started,
            ..Endpoint::default()
        };
        let Some(known) = self.endpoints.get_mut(&entry.id) else {
            self.endpoints.insert(entry.id, listed);
            return;
        };
        if known.started != entry.started && entry.state == State::Ready {
            // A restart clears the statistics of the previous process; requests in flight still count.
            *known = Endpoint {
                in_flight: known.in_flight,
                slow_start_charges: std::mem::take(&mut known.slow_start_charges),
                ..listed
            };
        } else {
            known.state = entry.state;
            known.weight = listed.weight;
        }
    }

    /// Returns the role of a server; `None` for a cache of another location, which is never used.
    fn role_of(&self, entry: &Server, zone: Option<usize>) -> Option<Role> {
        if self.settings.parent_kind.as_ref() == Some(&entry.kind) {
            Some(Role::Parent)
        } else if self.settings.origin_kind == entry.kind {
            Some(Role::Origin)
        } else if zone == Some(self.settings.zone) {
            Some(Role::Cache)
        } else {
            None
        }
    }

    fn ready_in(&self, role: Role) -> Vec<ServerId> {
        let is_ready = |server: &Endpoint| server.role == role && server.state == State::Ready;
        let servers = self.endpoints.iter();
        servers
            .filter(|(_, server)| is_ready(server))
            .map(|(id, _)| *id)
            .collect()
    }
}
