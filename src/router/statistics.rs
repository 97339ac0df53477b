//! What the router learns of the sizes and times of requests.

use super::state::OpenRequest;
use super::Router;

/// Fills tell of the link for so long, by halves: old ones would hide that it has room again.
pub(super) const LINK_HALF_MS: u64 = 1_000;
/// Hits and fills of one server tell of its pace for so long, by halves.
pub(super) const PACE_HALF_MS: u64 = 10_000;
/// Weight of one request in the usual sending time of its class.
const TRANSFER_STEP: f64 = 0.01;
/// Time of a hit besides its sending time.
pub(super) const ROUND_TRIP_S: f64 = 0.02;
/// Aged number of hits or fills from which their pace is told.
pub(super) const MIN_PACE_SAMPLES: f64 = 2.0;

impl Router {
    /// What an answer's time is compared with: its own sending time and its class's.
    pub(super) fn expected_s(&self, open: &OpenRequest) -> f64 {
        open.transfer_s + self.usual_transfer_s[open.class].0 + ROUND_TRIP_S
    }

    pub(super) fn learn_transfer(&mut self, class: usize, transfer_s: f64) {
        let (usual, seen) = &mut self.usual_transfer_s[class];
        *seen += 1.0;
        *usual += (transfer_s - *usual) * TRANSFER_STEP.max(1.0 / *seen);
    }
}
