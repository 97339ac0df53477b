//! Disturbances of a random fleet: faults, changes to the list, purges, leases, limits from other routers and new
//! settings.

use crate::answers::Fault;
use crate::common::{server, MS, S};
use crate::random_fleet::RandomFleet;
use linnetknot::*;

impl RandomFleet {
    /// Applies one random disturbance.
    pub(crate) fn apply_disturbance(&mut self) {
        match self.below(18) {
            0..=3 => self.change_fault(),
            4 => self
                .servers
                .values_mut()
                .for_each(|s| s.fault = Fault::None),
            5 | 6 => self.change_server_state(),
            7 => self.replace_server(),
            8 => self.change_list(),
            9 | 10 => self.send_purge(),
            11 => self.send_lease(),
            12 => self.limit_origin_share(),
            13 => self.end_probe(),
            14 => self.change_settings(),
            15 => self.toggle_slow_origin(),
            _ => {
                let id = self.random_server();
                self.break_connections(id);
            }
        }
    }

    fn change_fault(&mut self) {
        let (id, fault) = (self.random_server(), self.random_fault());
        self.servers.get_mut(&id).expect("a known server").fault = fault;
    }

    fn toggle_slow_origin(&mut self) {
        let origin = self
            .servers
            .get_mut(&21)
            .expect("the origin, which is never removed");
        origin.fault = match origin.fault {
            Fault::None => Fault::Slow,
            _ => Fault::None,
        };
    }

    /// Drains, removes, restores or restarts a random server, and reports the change to the router immediately.
    fn change_server_state(&mut self) {
        let id = self.random_server();
        let started = self.now - self.below(4 * S);
        let change = self.below(5);
        let server = self.servers.get_mut(&id).expect("a known server");
        match change {
            0 => server.entry.state = State::Draining,
            1 if id != 21 => server.entry.state = State::Gone,
            2 => {
                server.entry.state = State::Ready;
                server.entry.started = Some(started);
                server.fault = Fault::None;
                server.cached_parts.clear();
            }
            _ => server.entry.state = State::Ready,
        }
        let servers = vec![server.entry.clone()];
        let mode = ListMode::Delta;
        self.feed(Event::List { mode, servers });
    }

    /// Replaces a cache or parent with a new one under a new id.
    fn replace_server(&mut self) {
        let id = self.random_server();
        if id == 21 {
            return;
        }
        let old = self.servers.remove(&id).expect("a known server").entry;
        let mut new = server(id % 100 + 100 * (1 + self.below(50)), &old.zone, &old.kind);
        new.started = Some(self.now - self.below(S));
        new.weight = old.weight * (0.5 + self.random_share());
        self.add_server(new);
        self.send_list(ListMode::Full);
    }

    fn change_list(&mut self) {
        match self.below(3) {
            0 => self.send_list(ListMode::Failed),
            1 => self.send_list(ListMode::Full),
            _ => {
                let id = self.random_server();
                let weight = [0.0, f64::NAN, 4.0, 9.5][self.below(4) as usize];
                self.servers
                    .get_mut(&id)
                    .expect("a known server")
                    .entry
                    .weight = weight;
                self.send_list(ListMode::Delta);
            }
        }
    }

    fn send_purge(&mut self) {
        let (object, group) = self.random_key();
        let age_us = self.below(800 * MS);
        self.feed(Event::Purged {
            object,
            group,
            age_us,
        });
    }

    fn send_lease(&mut self) {
        let (budget, limit) = match self.below(3) {
            0 => (Budget::Origin, 60.0),
            1 => (Budget::Caches, 0.7),
            _ => (Budget::Parents, 0.7),
        };
        let (amount, reserved) = (
            limit * self.random_share(),
            limit * self.random_share() / 4.0,
        );
        let until = self.now + self.below(3 * S);
        self.feed(Event::Lease(Lease {
            budget,
            amount,
            until,
            reserved,
        }));
    }

    fn limit_origin_share(&mut self) {
        let origin_share = self.random_share();
        let valid_for_us = self.below(2 * S);
        self.feed(Event::OriginShareLimit {
            origin_share,
            valid_for_us,
        });
    }

    fn end_probe(&mut self) {
        let server = self.random_server();
        self.feed(Event::ProbeEnded {
            server,
            outcome: Outcome::Ok,
            took_us: MS,
            load: None,
        });
    }

    /// Reloads settings with reordered, removed or changed classes or fewer attempts. An eighth is invalid.
    fn change_settings(&mut self) {
        let mut new = self.settings.clone();
        let offset = self.below(new.classes.len() as u64) as usize;
        new.classes.rotate_left(offset);
        match self.below(8) {
            0 => new.classes.clear(),
            1 => drop(new.classes.pop()),
            2 => new.classes[0].objective_us = 200 * MS + self.below(S),
            3 => new.classes[0].repeat = Repeat::Unsafe,
            4 => new.max_attempts = 1 + self.below(6) as u32,
            _ => {}
        }
        self.update_settings(new);
    }
}
