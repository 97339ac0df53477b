//! Outlier detection: servers that fail are left out for a while and come back by way of a single trial.

use super::state::Endpoint;
use super::Router;
use crate::interface::{Micros, ServerId};

/// First mark of a server that fails, doubled with each failed trial.
const MIN_EJECTION_US: Micros = 1_500_000;
/// Longest: a server that came back is missed for no longer.
const MAX_EJECTION_US: Micros = 4_000_000;
/// Weight of one outcome in a server's failure share.
pub(super) const FAILURE_WEIGHT: f64 = 0.3;
/// Marked above this failure share: two in a row, or a lasting third.
const MAX_FAILURE_RATE: f64 = 0.45;

impl Router {
    /// Not marked; once a mark has run out, a single trial at a time.
    pub(super) fn is_healthy(&self, id: ServerId, now: Micros) -> bool {
        self.endpoints
            .get(&id)
            .is_some_and(|s| s.ejections == 0 || (now >= s.ejected_until && !s.trial_in_flight))
    }

    /// Counts a success or failure of a server; failing servers are marked, longer each time, and come back
    /// by way of a single trial.
    pub(super) fn record_result(&mut self, now: Micros, id: ServerId, failed: Option<f64>) {
        let Some(s) = self.endpoints.get_mut(&id) else {
            return;
        };
        s.trial_in_flight = false;
        match failed {
            None => {
                s.last_success = now;
                if std::mem::take(&mut s.connect_failed) {
                    s.recovered_at = Some(now);
                }
                s.failure_rate -= FAILURE_WEIGHT * s.failure_rate;
                if now >= s.ejected_until {
                    s.ejections = 0;
                }
            }
            Some(weight) => {
                s.failure_rate += (FAILURE_WEIGHT * weight * (1.0 - s.failure_rate)).min(1.0);
                if s.failure_rate > MAX_FAILURE_RATE || s.ejections > 0 {
                    Self::eject(s, now);
                }
            }
        }
    }

    pub(super) fn eject(s: &mut Endpoint, now: Micros) {
        if now < s.ejected_until {
            return;
        }
        s.ejected_until = now + (MIN_EJECTION_US << s.ejections.min(4)).min(MAX_EJECTION_US);
        s.ejections += 1;
        s.trial_in_flight = false;
    }
}
