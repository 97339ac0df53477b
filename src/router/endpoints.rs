//! The list of servers as it is told.

use super::state::{Known, Role};
use super::Router;
use crate::interface::{Server, ServerId, State};

impl Router {
    pub(super) fn list(&mut self, full: bool, entries: Vec<Server>) {
        if full {
            let named: Vec<ServerId> = entries.iter().map(|e| e.id).collect();
            let left = self
                .servers
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
            let fresh = Known {
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
                ..Known::default()
            };
            match self.servers.get_mut(&e.id) {
                // A new start wipes what was held against the old process; what is out to it still counts.
                Some(known) if known.started != e.started && e.state == State::Ready => {
                    let out = known.out;
                    *known = Known {
                        out,
                        charged: std::mem::take(&mut known.charged),
                        ..fresh
                    };
                }
                Some(known) => (known.state, known.weight) = (e.state, fresh.weight),
                None => drop(self.servers.insert(e.id, fresh)),
            }
        }
        self.servers
            .retain(|_, s| s.state != State::Gone || s.out > 0); // New ones come under new ids.
        self.ready = [Role::Cache, Role::Parent, Role::Origin].map(|role| {
            let ready = self
                .servers
                .iter()
                .filter(|(_, s)| s.role == role && s.state == State::Ready);
            ready.map(|(id, _)| *id).collect()
        });
    }
}
