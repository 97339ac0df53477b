//! A client's request as it comes in.

use super::state::Open;
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
        let unit = mix(object.wrapping_add(r.part.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
        let sized = self.settings.flow_kb_per_s > 0.0 && r.size_kb > 0.0;
        let work_s = if sized {
            r.size_kb / self.settings.flow_kb_per_s
        } else {
            self.usual_s[class].0
        };
        // What could never be sent in time is no usual size: a client may claim any.
        if sized && work_s * 1e6 <= self.settings.classes[class].deadline_us as f64 {
            self.learn_usual(class, work_s);
        }
        let c = &self.settings.classes[class];
        let aim_at = now + c.aim_us + (c.aim_stretch * work_s * 1e6) as Micros;
        let write = c.write;
        let count = if write {
            0.0
        } else {
            self.objects.add(object, now)
        };
        let repeats = if write {
            0.0
        } else {
            self.parts.add(unit, now)
        };
        let open = Open {
            class,
            unit,
            object,
            group: r.group,
            work_s,
            sized,
            count,
            repeats,
            aim_at,
            deadline: now + r.remaining_us,
            draw: share_of(mix(self.seed ^ mix(r.id))),
            ..Open::default()
        };
        if let btree_map::Entry::Vacant(place) = self.open.entry(r.id) {
            place.insert(open);
            self.route(now, r.id, actions);
        }
    }
}
