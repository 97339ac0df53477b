//! Statistics of the sizes and durations of requests.

use super::outcomes::AttemptEnd;
use super::state::{Endpoint, OpenRequest};
use super::Router;
use crate::interface::{Class, Micros, Note, Outcome};

/// Half-life of the weight of the slowdown samples of the location's link, in milliseconds. It is short so that
/// regained capacity is detected quickly.
pub(super) const LINK_HALF_LIFE_MS: u64 = 1_000;
/// Half-life of the weight of the slowdown samples of one server, in milliseconds.
pub(super) const SLOWDOWN_HALF_LIFE_MS: u64 = 10_000;
/// Minimum decayed number of samples for a slowdown average to be used.
pub(super) const MIN_SLOWDOWN_SAMPLES: f64 = 2.0;
/// Assumed duration of a cache hit in addition to its transfer time, in seconds.
pub(super) const ROUND_TRIP_S: f64 = 0.02;
/// Minimum transfer time derived from a hit.
const MIN_TRANSFER_S: f64 = 0.001;
/// Weight of one request in the typical transfer time of its class.
const TRANSFER_STEP: f64 = 0.01;
/// Weight of one answer in the miss rate.
const MISS_STEP: f64 = 0.01;
/// Target share of answers that take longer than `tail_factor` allows.
const TAIL_SHARE: f64 = 0.02;
/// Weight of one answer in `tail_factor`.
const TAIL_STEP: f64 = 0.2;
const INITIAL_TAIL_FACTOR: f64 = 4.0;

/// Statistics of a class of requests.
#[derive(Clone, Copy)]
pub(super) struct ClassStatistics {
    /// Typical transfer time at full rate, in seconds.
    pub(super) transfer_s: f64,
    /// Number of requests that `transfer_s` is derived from.
    samples: f64,
    /// Multiple of the expected duration that only a share of `TAIL_SHARE` of the answers exceeds.
    pub(super) tail_factor: f64,
}

impl ClassStatistics {
    /// Returns initial values derived from the class's latency objective.
    pub(super) fn new(class: &Class) -> Self {
        ClassStatistics {
            transfer_s: class.objective_us as f64 / 1e6 / 2.0,
            samples: 0.0,
            tail_factor: INITIAL_TAIL_FACTOR,
        }
    }

    /// Adds the transfer time of one request.
    pub(super) fn add_transfer(&mut self, transfer_s: f64) {
        self.samples += 1.0;
        self.transfer_s += (transfer_s - self.transfer_s) * TRANSFER_STEP.max(1.0 / self.samples);
    }

    /// Adjusts `tail_factor` by one answer. `slower` is set if the answer took longer than `tail_factor` allows.
    pub(super) fn adjust_tail_factor(&mut self, slower: bool) {
        let slower = f64::from(u8::from(slower));
        self.tail_factor *= 1.0 + TAIL_STEP * (slower - TAIL_SHARE);
    }
}

impl Router {
    /// Returns the expected duration of an answer, from the transfer times of the request and of its class.
    pub(super) fn expected_s(&self, open: &OpenRequest) -> f64 {
        open.transfer_s + self.class_statistics[open.class].transfer_s + ROUND_TRIP_S
    }

    /// Estimates the transfer time of a hit of unknown size: its duration, less the slowdown explained by the server's
    /// load.
    pub(super) fn estimate_unknown_size(&mut self, end: &AttemptEnd) {
        if !end.is_hit() || end.size_known {
            return;
        }
        let server = self.endpoints.get(&end.attempt.server);
        let capacity = server.map_or(0.0, |server| self.capacity(server));
        let sharing = (end.attempt.server_load / capacity.max(0.1)).max(1.0);
        let transfer_s = (end.took_s() - ROUND_TRIP_S).max(MIN_TRANSFER_S);
        self.class_statistics[end.class].add_transfer(transfer_s / sharing);
    }

    /// Adds a hit to its server's slowdown average. Must be called while the attempt still counts as in flight.
    pub(super) fn record_hit_slowdown(&mut self, end: &AttemptEnd) {
        let server = self.endpoints.get(&end.attempt.server);
        let load_now = server.map_or(0.0, |server| self.load(server));
        let load = (end.attempt.server_load + load_now) / 2.0;
        let sample = self.endpoints.get_mut(&end.attempt.server);
        if let Some(server) = sample.filter(|_| end.is_hit()) {
            let transfer_s = end.transfer_s + ROUND_TRIP_S;
            server
                .hit_slowdown
                .add(end.now, end.took_s(), transfer_s, load);
        }
    }

    /// Adds a fill to the slowdown average of the location's link. Attempts cancelled as slow count because they used
    /// the link throughout. Attempts that timed out at the client's deadline do not count, because they may have waited
    /// for the origin.
    pub(super) fn record_link_slowdown(&mut self, end: &AttemptEnd) {
        let filled =
            end.outcome == Outcome::Ok && matches!(end.note, Note::Filled | Note::FilledByOrigin);
        if !end.size_known || end.attempt.source.is_none() || !(filled || end.slow) {
            return;
        }
        let body_s = end.took_us.saturating_sub(end.first_byte_us) as f64 / 1e6;
        let fills = (end.attempt.link_fills + self.link_fills()) / 2.0;
        let transfer_s = end.transfer_s + ROUND_TRIP_S;
        self.link_slowdown.add(end.now, body_s, transfer_s, fills);
    }

    /// Updates the tail factor of the class and the miss rate with an answer.
    pub(super) fn record_answer_statistics(&mut self, end: &AttemptEnd) {
        let class = &mut self.class_statistics[end.class];
        class.adjust_tail_factor(end.took_s() > class.tail_factor * end.expected_s);
        let missed = f64::from(u8::from(!end.is_hit()));
        self.miss_rate += MISS_STEP * (missed - self.miss_rate);
    }

    /// Adds a fill to the slowdown average of its source.
    pub(super) fn record_fill_slowdown(source: &mut Endpoint, end: &AttemptEnd) {
        let transfer_s = end.transfer_s + ROUND_TRIP_S;
        source
            .fill_slowdown
            .add(end.now, end.took_s(), transfer_s, 0.0);
    }

    /// Advances the time averages by one tick and drops charges older than the slow-start window.
    pub(super) fn update_averages(&mut self, now: Micros, step: f64) {
        let window_us = self.settings.rules.overload_window_us;
        for server in self.endpoints.values_mut() {
            server.mean_in_flight += step * (server.in_flight as f64 - server.mean_in_flight);
            server
                .slow_start_charges
                .retain(|charge| charge.at + window_us >= now);
        }
        let is_filling_request = |open: &&OpenRequest| self.is_filling(now, open);
        self.active_fills = self.requests.values().filter(is_filling_request).count() as f64;
        self.mean_active_fills += step * (self.active_fills - self.mean_active_fills);
    }

    /// Returns whether a request's attempt has lasted longer than a cache hit would, so that it must be a fill. Stuck
    /// attempts are assumed to be lost.
    fn is_filling(&self, now: Micros, open: &OpenRequest) -> bool {
        open.in_flight.as_ref().is_some_and(|attempt| {
            let elapsed_s = now.saturating_sub(attempt.sent_at) as f64 / 1e6;
            let hit_s = 1.5 * open.transfer_s + ROUND_TRIP_S;
            elapsed_s > hit_s && now <= attempt.stuck_after && self.is_healthy(attempt.server, now)
        })
    }
}
