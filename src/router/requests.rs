//! A client's request as it comes in.

use super::state::OpenRequest;
use super::Router;
use crate::hashing::share_of;
use crate::interface::{Action, Micros, Request};
use linnetknot_purges::hashing::mix;
use linnetknot_purges::KeyHash;
use std::collections::btree_map;

impl Router {
    pub(super) fn request(&mut self, now: Micros, r: Request, actions: &mut Vec<Action>) {
        let Some(class) = self.settings.classes.iter().position(|c| c.name == r.class) else {
            // Nothing is known of what it may do: it was not tried, so it may be refused.
            actions.push(Action::Refuse {
                request: r.id,
                retry_after_us: None,
            });
            return;
        };
        let object = KeyHash::of_object(&r.object).value();
        let part_key = mix(object.wrapping_add(r.part.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
        let size_known = self.settings.flow_kb_per_s > 0.0 && r.size_kb > 0.0;
        let transfer_s = if size_known {
            r.size_kb / self.settings.flow_kb_per_s
        } else {
            self.usual_transfer_s[class].0
        };
        // What could never be sent in time is no usual size: a client may claim any.
        if size_known && transfer_s * 1e6 <= self.settings.classes[class].deadline_us as f64 {
            self.learn_transfer(class, transfer_s);
        }
        let c = &self.settings.classes[class];
        let objective_at = now + c.aim_us + (c.aim_stretch * transfer_s * 1e6) as Micros;
        let write = c.write;
        let object_count = if write {
            0.0
        } else {
            self.object_counts.add(object, now)
        };
        let part_count = if write {
            0.0
        } else {
            self.part_counts.add(part_key, now)
        };
        let open = OpenRequest {
            class,
            part_key,
            object,
            group: r.group,
            transfer_s,
            size_known,
            object_count,
            part_count,
            objective_at,
            deadline: now + r.remaining_us,
            draw: share_of(mix(self.seed ^ mix(r.id))),
            ..OpenRequest::default()
        };
        if let btree_map::Entry::Vacant(place) = self.requests.entry(r.id) {
            place.insert(open);
            self.route(now, r.id, actions);
        }
    }
}
