//! Outlier detection: ejects failing servers for a time and readmits them after a single successful trial.

use super::state::Endpoint;
use super::Router;
use crate::interface::{Micros, ServerId};

/// Duration of the first ejection, doubled with each failed trial.
const MIN_EJECTION_US: Micros = 1_500_000;
/// Maximum duration of an ejection, and so the longest time for which a recovered server is left unused.
const MAX_EJECTION_US: Micros = 4_000_000;
/// Maximum number of times that the duration of a server's ejection is doubled.
const MAX_DOUBLINGS: u32 = 4;
/// Weight of one outcome in a server's failure rate.
pub(super) const FAILURE_WEIGHT: f64 = 0.3;
/// Failure rate above which a server is ejected. Two consecutive failures exceed it, and so do failures of about a
/// third of the server's requests in the long run.
const MAX_FAILURE_RATE: f64 = 0.45;

impl Router {
    /// Returns whether a server may be used: it is not ejected, or its ejection has expired and no trial is in flight.
    pub(super) fn is_healthy(&self, id: ServerId, now: Micros) -> bool {
        self.endpoints.get(&id).is_some_and(|server| {
            server.ejections == 0 || (now >= server.ejected_until && !server.trial_in_flight)
        })
    }

    /// Records a success of a server.
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

    /// Records a failure of a server with a weight.
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
    /// Ejects the server, with a duration that grows with consecutive ejections. Has no effect while the server is
    /// ejected.
    pub(super) fn eject(&mut self, now: Micros) {
        if now < self.ejected_until {
            return;
        }
        let doubled_us = MIN_EJECTION_US << self.ejections.min(MAX_DOUBLINGS);
        self.ejected_until = now.saturating_add(doubled_us.min(MAX_EJECTION_US));
        self.ejections = self.ejections.saturating_add(1);
        self.trial_in_flight = false;
    }
}
