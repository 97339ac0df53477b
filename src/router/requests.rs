//! Processes client requests when they arrive.

use super::state::OpenRequest;
use super::statistics::max_unknown_transfer_s;
use super::Router;
use crate::hashing::hash_to_unit;
use crate::interface::{Action, Micros, Request, RequestId};
use linnetknot_purges::hashing::mix;
use linnetknot_purges::KeyHash;
use std::collections::btree_map;

impl Router {
    /// Accepts a request and sends its first attempt. A request whose id is already open is ignored.
    pub(super) fn handle_request(
        &mut self,
        now: Micros,
        request: &Request,
        actions: &mut Vec<Action>,
    ) {
        let classes = &self.settings.classes;
        let Some(class) = classes.iter().position(|c| c.name == request.class) else {
            // The class is unknown, but no attempt was sent, so the request can be refused safely.
            actions.push(Action::Refuse {
                request: request.id,
                retry_after_us: None,
            });
            return;
        };
        let open = self.open_request(now, class, request);
        if let btree_map::Entry::Vacant(entry) = self.requests.entry(request.id) {
            entry.insert(open);
            self.route(now, request.id, actions);
        }
    }

    /// Counts a request and updates the typical transfer time of its class.
    fn open_request(&mut self, now: Micros, class: usize, request: &Request) -> OpenRequest {
        let object = KeyHash::of_object(&request.object).value();
        let part = request.part.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let part_key = mix(object.wrapping_add(part));
        let size_known = self.settings.flow_kb_per_s > 0.0 && request.size_kb > 0.0;
        let transfer_s = if size_known {
            request.size_kb / self.settings.flow_kb_per_s
        } else {
            // Slow answers must not make a class appear too large to be served even by an idle cache.
            let max_s = max_unknown_transfer_s(&self.settings.classes[class]);
            self.class_statistics[class].transfer_s.min(max_s)
        };
        let settings = &self.settings.classes[class];
        // Sizes that could not be sent before the deadline are ignored, because a client may claim any size.
        if size_known && transfer_s * 1e6 <= settings.deadline_us as f64 {
            self.class_statistics[class].add_transfer(transfer_s);
        }
        let stretch_us = (settings.objective_stretch * transfer_s * 1e6) as Micros;
        let (object_count, part_count) = if settings.write {
            (0.0, 0.0)
        } else {
            let object_count = self.object_counts.add(object, now);
            (object_count, self.part_counts.add(part_key, now))
        };
        OpenRequest {
            class,
            part_key,
            object,
            group: request.group,
            transfer_s,
            size_known,
            object_count,
            part_count,
            objective_at: now
                .saturating_add(settings.objective_us)
                .saturating_add(stretch_us),
            deadline: now.saturating_add(request.remaining_us),
            admission_draw: hash_to_unit(mix(self.seed ^ mix(request.id))),
            ..OpenRequest::default()
        }
    }

    /// Marks a request whose answer has started to stream, so that its attempt is no longer cancelled.
    pub(super) fn stream_started(&mut self, id: RequestId, attempt: u32) {
        if let Some(open) = self.requests.get_mut(&id) {
            let in_flight = open.in_flight.as_ref();
            open.streaming |= in_flight.is_some_and(|a| a.number == attempt);
        }
    }
}
