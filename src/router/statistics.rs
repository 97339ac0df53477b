//! What the router learns of the sizes and times of requests.

use super::outcomes::AttemptEnd;
use super::state::{Endpoint, OpenRequest};
use super::Router;
use crate::interface::{Class, Micros, Note, Outcome};

/// Half-life of the samples that tell of the location's link: old ones would hide that it has capacity again.
pub(super) const LINK_HALF_LIFE_MS: u64 = 1_000;
/// Half-life of the samples of one server's hits and fills.
pub(super) const SLOWDOWN_HALF_LIFE_MS: u64 = 10_000;
/// Decayed number of samples from which a pace is used.
pub(super) const MIN_SLOWDOWN_SAMPLES: f64 = 2.0;
/// Time of a hit besides its transfer.
pub(super) const ROUND_TRIP_S: f64 = 0.02;
/// Least transfer time learned from a hit.
const MIN_TRANSFER_S: f64 = 0.001;
/// Weight of one request in the usual transfer time of its class.
const TRANSFER_STEP: f64 = 0.01;
/// Weight of one answer in the share of misses.
const MISS_STEP: f64 = 0.01;
/// Share of the answers that may take longer than `tail_factor` says.
const TAIL_SHARE: f64 = 0.02;
/// Weight of one answer in `tail_factor`.
const TAIL_STEP: f64 = 0.2;
/// `tail_factor` before anything is learned.
const INITIAL_TAIL_FACTOR: f64 = 4.0;

/// What is learned of a class of requests.
#[derive(Clone, Copy)]
pub(super) struct ClassStatistics {
    /// Usual transfer time at full pace, in seconds.
    pub(super) transfer_s: f64,
    /// How many requests that was learned from.
    samples: f64,
    /// All but `TAIL_SHARE` of the answers take at most this many times as long as expected.
    pub(super) tail_factor: f64,
}

impl ClassStatistics {
    /// Of a class that nothing is known of but its latency objective.
    pub(super) fn new(class: &Class) -> Self {
        ClassStatistics {
            transfer_s: class.objective_us as f64 / 1e6 / 2.0,
            samples: 0.0,
            tail_factor: INITIAL_TAIL_FACTOR,
        }
    }

    /// Takes in the transfer time of one request.
    pub(super) fn learn_transfer(&mut self, transfer_s: f64) {
        self.samples += 1.0;
        self.transfer_s += (transfer_s - self.transfer_s) * TRANSFER_STEP.max(1.0 / self.samples);
    }

    /// Takes in whether an answer took longer than `tail_factor` says.
    pub(super) fn learn_tail(&mut self, slower: bool) {
        let slower = f64::from(u8::from(slower));
        self.tail_factor *= 1.0 + TAIL_STEP * (slower - TAIL_SHARE);
    }
}

impl Router {
    /// What an answer's time is compared with: its own transfer time and its class's.
    pub(super) fn expected_s(&self, open: &OpenRequest) -> f64 {
        open.transfer_s + self.class_statistics[open.class].transfer_s + ROUND_TRIP_S
    }

    /// Learns from a hit whose size is not known: what it took, less the sharing that the server's capacity explains.
    pub(super) fn learn_unknown_size(&mut self, end: &AttemptEnd) {
        if !end.is_hit() || end.size_known {
            return;
        }
        let server = self.endpoints.get(&end.attempt.server);
        let capacity = server.map_or(0.0, |server| self.capacity(server));
        let sharing = (end.attempt.server_load / capacity.max(0.1)).max(1.0);
        let transfer_s = (end.took_s() - ROUND_TRIP_S).max(MIN_TRANSFER_S);
        self.class_statistics[end.class].learn_transfer(transfer_s / sharing);
    }

    /// Learns the pace of a server's hits. The attempt still counts as in flight.
    pub(super) fn learn_hit_slowdown(&mut self, end: &AttemptEnd) {
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

    /// Learns the pace of fills by the location's link. What was cancelled as slow had its share of the link all the
    /// while. What timed out at the client's deadline may as well have waited for the origin, which says nothing of
    /// the link.
    pub(super) fn learn_link_slowdown(&mut self, end: &AttemptEnd) {
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

    /// Learns from an answer how long answers take, and how many attempts find no copy.
    pub(super) fn learn_answer(&mut self, end: &AttemptEnd) {
        let class = &mut self.class_statistics[end.class];
        class.learn_tail(end.took_s() > class.tail_factor * end.expected_s);
        let missed = f64::from(u8::from(!end.is_hit()));
        self.miss_rate += MISS_STEP * (missed - self.miss_rate);
    }

    /// Learns the pace of a source's fills.
    pub(super) fn learn_fill_slowdown(source: &mut Endpoint, end: &AttemptEnd) {
        let transfer_s = end.transfer_s + ROUND_TRIP_S;
        source
            .fill_slowdown
            .add(end.now, end.took_s(), transfer_s, 0.0);
    }

    /// Moves the averages over time on by a tick, and forgets charges that are older than the slow-start window.
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

    /// Whether a request's attempt takes so long that it seems to be a fill. What is stuck is lost rather than filled.
    fn is_filling(&self, now: Micros, open: &OpenRequest) -> bool {
        open.in_flight.as_ref().is_some_and(|attempt| {
            let elapsed_s = now.saturating_sub(attempt.sent_at) as f64 / 1e6;
            let hit_s = 1.5 * open.transfer_s + ROUND_TRIP_S;
            elapsed_s > hit_s && now <= attempt.stuck_after && self.is_healthy(attempt.server, now)
        })
    }
}
