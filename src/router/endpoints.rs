//! The list of servers as it is told.

use super::state::{Endpoint, Role};
use super::Router;
use crate::interface::{Server, ServerId, State};

impl Router {
    pub(super) fn update_endpoints(&mut self, full: bool, entries: Vec<Server>) {
        if full {
            let named: Vec<ServerId> = entries.iter().map(|e| e.id).collect();
            let left = self
                .endpoints
                .iter_mut()
                .filter(|(id, _)| !named.contains(id));
            left.for_each(|(_, known)| known.state = State::Gone);
        }
        for e in entries {
            let zone = self
                .settings
                .zones
                .iter()
                .position(|z| z.name == e.zone)
                .unwrap_or(usize::MAX);
            let role = if self.settings.parent_kind.as_ref() == Some(&e.kind) {
                Role::Parent
            } else if self.settings.origin_kind == e.kind {
                Role::Origin
            } else if zone == self.settings.zone {
                Role::Cache
            } else {
                continue; // A cache of another location: never used.
            };
            let fresh = Endpoint {
                role,
                zone,
                cell: e.cell,
                weight: if e.weight.is_finite() && e.weight > 0.0 {
                    e.weight
                } else {
                    1.0
                },
                state: e.state,
                started: e.started,
                ..Endpoint::default()
            };
            match self.endpoints.get_mut(&e.id) {
                // A new start wipes what was held against the old process; what is out to it still counts.
                Some(known) if known.started != e.started && e.state == State::Ready => {
                    let in_flight = known.in_flight;
                    *known = Endpoint {
                        in_flight,
                        slow_start_charges: std::mem::take(&mut known.slow_start_charges),
                        ..fresh
                    };
                }
                Some(known) => (known.state, known.weight) = (e.state, fresh.weight),
                None => drop(self.endpoints.insert(e.id, fresh)),
            }
        }
        self.endpoints
            .retain(|_, s| s.state != State::Gone || s.in_flight > 0); // New ones come under new ids.
        self.ready_by_role = [Role::Cache, Role::Parent, Role::Origin].map(|role| {
            let ready = self
                .endpoints
                .iter()
                .filter(|(_, s)| s.role == role && s.state == State::Ready);
            ready.map(|(id, _)| *id).collect()
        });
    }
}
