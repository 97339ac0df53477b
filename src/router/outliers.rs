//! Outlier detection: a server that fails is ejected for a while and comes back by way of a single trial.

use super::state::Endpoint;
use super::Router;
use crate::interface::{Micros, ServerId};

/// First ejection of a server, doubled with each failed trial.
const MIN_EJECTION_US: Micros = 1_500_000;
/// Longest ejection: a server that came back is missed for no longer.
const MAX_EJECTION_US: Micros = 4_000_000;
/// Ejections in a row that double the time at most.
const MAX_DOUBLINGS: u32 = 4;
/// Weight of one outcome in a server's failure rate.
pub(super) const FAILURE_WEIGHT: f64 = 0.3;
/// Above this failure rate a server is ejected: two failures in a row, or a lasting third.
const MAX_FAILURE_RATE: f64 = 0.45;

impl Router {
    /// Not ejected; once an ejection has run out, a single trial at a time.
    pub(super) fn is_healthy(&self, id: ServerId, now: Micros) -> bool {
        self.endpoints.get(&id).is_some_and(|server| {
            server.ejections == 0 || (now >= server.ejected_until && !server.trial_in_flight)
        })
    }

    /// Counts a success of a server.
    pub(super) fn record_success(&mut self, now: Micros, id: ServerId) {
        let Some(server) = self.endpoints.get_mut(&id) else {
            return;
        };
        server.trial_in_flight = false;
        server.last_success = now;
        if std::mem::take(&mut server.connect_failed) {
            server.recovered_at = Some(now);
        }
        server.failure_rate -= FAILURE_WEIGHT * server.failure_rate;
        if now >= server.ejected_until {
            server.ejections = 0;
        }
    }

    /// Counts a failure of a server, by its weight.
    pub(super) fn record_failure(&mut self, now: Micros, id: ServerId, weight: f64) {
        let Some(server) = self.endpoints.get_mut(&id) else {
            return;
        };
        server.trial_in_flight = false;
        server.failure_rate += (FAILURE_WEIGHT * weight * (1.0 - server.failure_rate)).min(1.0);
        if server.failure_rate > MAX_FAILURE_RATE || server.ejections > 0 {
            server.eject(now);
        }
    }
}

impl Endpoint {
    /// Ejects the server, for longer each time in a row; no change while it is ejected.
    pub(super) fn eject(&mut self, now: Micros) {
        if now < self.ejected_until {
            return;
        }
        let doubled_us = MIN_EJECTION_US << self.ejections.min(MAX_DOUBLINGS);
        self.ejected_until = now + doubled_us.min(MAX_EJECTION_US);
        self.ejections += 1;
        self.trial_in_flight = false;
    }
}
