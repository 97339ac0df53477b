//! Statistics of the sizes and durations of requests.

use super::capacity::{CONGESTED_SLOWDOWN, UNKNOWN_SIZE_MARGIN};
use super::outcomes::AttemptEnd;
use super::state::{Endpoint, OpenRequest};
use super::Router;
use crate::interface::{Class, Micros, Note, Outcome};
use crate::statistics::SlowdownAverage;

/// Half-life of the weight of the slowdown samples of the location's link, in milliseconds. It is short so that
/// regained capacity is detected quickly.
pub(super) const LINK_HALF_LIFE_MS: u64 = 1_000;
/// Half-life of the weight of the slowdown samples of one server, in milliseconds.
pub(super) const SLOWDOWN_HALF_LIFE_MS: u64 = 10_000;
/// Minimum decayed number of samples for a slowdown average to be used.
pub(super) const MIN_SLOWDOWN_SAMPLES: f64 = 2.0;
/// Number of consecutive hits at full rate after which the slower ones before them are forgotten.
const MIN_CONSECUTIVE_FAST_HITS: u32 = 10;
/// Assumed duration of a cache hit in addition to its transfer time, in seconds.
pub(super) const ROUND_TRIP_S: f64 = 0.02;
/// Minimum transfer time derived from a hit.
const MIN_TRANSFER_S: f64 = 0.001;
/// Weight of one request in the typical transfer time of its class.
const TRANSFER_STEP: f64 = 0.01;
/// Weight of one answer in the miss rate.
const MISS_STEP: f64 = 0.01;
/// Half-life of the weight of measured transfer times at low rates, in seconds. At high rates `TRANSFER_STEP` applies.
const MEASURED_TRANSFER_HALF_LIFE_S: f64 = 1.5;
/// Target share of answers that take longer than `tail_factor` allows.
const TAIL_SHARE: f64 = 0.02;
/// Weight of one answer in `tail_factor`.
const TAIL_STEP: f64 = 0.2;
const INITIAL_TAIL_FACTOR: f64 = 4.0;
/// Minimum of `tail_factor`: an answer may always take its expected duration.
pub(super) const MIN_TAIL_FACTOR: f64 = 1.0;
/// Time without slow answers after which an increased `tail_factor` returns to `INITIAL_TAIL_FACTOR`.
const TAIL_HOLD_US: Micros = 3_000_000;
/// Time in which a returning `tail_factor` halves, in seconds.
const TAIL_HALF_LIFE_S: f64 = 1.0;

/// Statistics of a class of requests.
#[derive(Clone, Copy)]
pub(super) struct ClassStatistics {
    /// Typical transfer time at full rate, in seconds.
    pub(super) transfer_s: f64,
    /// Number of requests that `transfer_s` is derived from.
    samples: f64,
    /// Multiple of the expected duration that only a share of `TAIL_SHARE` of the answers exceeds.
    pub(super) tail_factor: f64,
    /// Time of the last answer that exceeded it.
    last_slow_at: Micros,
    /// Time of the last transfer time that was measured on a request of unknown size.
    measured_at: Micros,
}

impl ClassStatistics {
    /// Returns initial values derived from the class's latency objective.
    pub(super) fn new(class: &Class) -> Self {
        ClassStatistics {
            transfer_s: max_unknown_transfer_s(class),
            samples: 0.0,
            tail_factor: INITIAL_TAIL_FACTOR,
            last_slow_at: 0,
            measured_at: 0,
        }
    }

    /// Adds the transfer time of one request.
    pub(super) fn add_transfer(&mut self, transfer_s: f64) {
        self.add_weighted_transfer(transfer_s, TRANSFER_STEP);
    }

    fn add_weighted_transfer(&mut self, transfer_s: f64, min_weight: f64) {
        self.samples += 1.0;
        self.transfer_s += (transfer_s - self.transfer_s) * min_weight.max(1.0 / self.samples);
    }

    /// Adds the measured transfer time of a request of unknown size. What a period of slow hits added is forgotten with
    /// time, also where hits are rare.
    fn add_measured_transfer(&mut self, now: Micros, transfer_s: f64) {
        let elapsed_s = now.saturating_sub(self.measured_at) as f64 / 1e6;
        self.measured_at = now;
        let weight_by_time = 1.0 - (-elapsed_s / MEASURED_TRANSFER_HALF_LIFE_S).exp2();
        self.add_weighted_transfer(transfer_s, TRANSFER_STEP.max(weight_by_time));
    }

    /// Returns whether an attempt that lasted this time took longer than `tail_factor` allows.
    fn is_slow(&self, end: &AttemptEnd, lasted_s: f64) -> bool {
        lasted_s > self.tail_factor * end.expected_s
    }

    /// Adjusts `tail_factor` by an answer.
    fn record_answer(&mut self, end: &AttemptEnd, max_tail_factor: f64) {
        let is_slow = self.is_slow(end, end.took_s());
        self.adjust_tail_factor(end.now, is_slow, max_tail_factor);
    }

    fn adjust_tail_factor(&mut self, now: Micros, is_slow: bool, max_tail_factor: f64) {
        if is_slow {
            self.last_slow_at = now;
        }
        let slow = f64::from(u8::from(is_slow));
        let adjusted = self.tail_factor * (1.0 + TAIL_STEP * (slow - TAIL_SHARE));
        self.tail_factor = adjusted.clamp(MIN_TAIL_FACTOR, max_tail_factor);
    }

    /// Adjusts `tail_factor` by an attempt that was cancelled as stuck. Attempts that were sent together are cancelled
    /// together; those that lasted no longer than `tail_factor` allows by now say nothing about the longer answers.
    fn record_stuck(&mut self, end: &AttemptEnd, max_tail_factor: f64) {
        let waited_s = end.now.saturating_sub(end.attempt.sent_at) as f64 / 1e6;
        if self.is_slow(end, waited_s) {
            self.adjust_tail_factor(end.now, true, max_tail_factor);
        }
    }

    /// Returns an increased `tail_factor` to its initial value once there are no more slow answers.
    fn relax_tail_factor(&mut self, now: Micros, elapsed_s: f64) {
        let is_increased = self.tail_factor > INITIAL_TAIL_FACTOR;
        if is_increased && now.saturating_sub(self.last_slow_at) >= TAIL_HOLD_US {
            let relaxed = self.tail_factor * (-elapsed_s / TAIL_HALF_LIFE_S).exp2();
            self.tail_factor = relaxed.max(INITIAL_TAIL_FACTOR);
        }
    }
}

/// Returns the maximum transfer time that is assumed for a request of unknown size, in seconds: one that an idle cache
/// answers within the latency objective.
pub(super) fn max_unknown_transfer_s(class: &Class) -> f64 {
    class.objective_us as f64 / 1e6 * UNKNOWN_SIZE_MARGIN
}

/// Returns the maximum of a class's `tail_factor`. An attempt ends at the client's deadline, so a higher one would have
/// no effect.
pub(super) fn max_tail_factor(class: &Class) -> f64 {
    (class.deadline_us as f64 / 1e6 / ROUND_TRIP_S).max(INITIAL_TAIL_FACTOR)
}

impl Router {
    /// Returns the expected duration of an answer, from the transfer times of the request and of its class.
    pub(super) fn expected_s(&self, open: &OpenRequest) -> f64 {
        let class_transfer_s = if open.size_known {
            self.class_statistics[open.class].transfer_s
        } else {
            open.transfer_s
        };
        open.transfer_s + class_transfer_s + ROUND_TRIP_S
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
        let transfer_s = (end.took_s() - ROUND_TRIP_S).max(MIN_TRANSFER_S) / sharing;
        let max_s = self.settings.classes[end.class].deadline_us as f64 / 1e6;
        self.class_statistics[end.class].add_measured_transfer(end.now, transfer_s.min(max_s));
    }

    /// Adds a hit to its server's slowdown average. Must be called while the attempt still counts as in flight.
    pub(super) fn record_hit_slowdown(&mut self, end: &AttemptEnd) {
        let server = self.endpoints.get(&end.attempt.server);
        let load_now = server.map_or(0.0, |server| self.load(server));
        let load = (end.attempt.server_load + load_now) / 2.0;
        let sample = self.endpoints.get_mut(&end.attempt.server);
        if let Some(server) = sample.filter(|_| end.is_hit()) {
            let transfer_s = end.transfer_s + ROUND_TRIP_S;
            let is_fast = end.took_s() < CONGESTED_SLOWDOWN * transfer_s;
            server.fast_hits = if is_fast {
                server.fast_hits.saturating_add(1)
            } else {
                0
            };
            if server.fast_hits == MIN_CONSECUTIVE_FAST_HITS {
                server.hit_slowdown = SlowdownAverage::default();
            }
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
        let max_factor = max_tail_factor(&self.settings.classes[end.class]);
        self.class_statistics[end.class].record_answer(end, max_factor);
        let missed = f64::from(u8::from(!end.is_hit()));
        self.miss_rate += MISS_STEP * (missed - self.miss_rate);
    }

    /// Updates the tail factor of the class with an attempt that was cancelled as stuck.
    pub(super) fn record_stuck_statistics(&mut self, end: &AttemptEnd) {
        let max_factor = max_tail_factor(&self.settings.classes[end.class]);
        self.class_statistics[end.class].record_stuck(end, max_factor);
    }

    /// Returns the tail factors of all classes to their initial values where there are no more slow answers.
    pub(super) fn relax_tail_factors(&mut self, now: Micros, elapsed_s: f64) {
        for class in &mut self.class_statistics {
            class.relax_tail_factor(now, elapsed_s);
        }
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
                .retain(|charge| charge.at.saturating_add(window_us) >= now);
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
