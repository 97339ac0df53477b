//! What the router learns of the sizes and times of requests.

use super::state::Open;
use super::Router;

/// Fills tell of the link for so long, by halves: old ones would hide that it has room again.
pub(super) const LINK_HALF_MS: u64 = 1_000;
/// Hits and fills of one server tell of its pace for so long, by halves.
pub(super) const PACE_HALF_MS: u64 = 10_000;
/// Weight of one request in the usual sending time of its class.
const USUAL_STEP: f64 = 0.01;
/// Time of a hit besides its sending time.
pub(super) const WAY_S: f64 = 0.02;
/// Aged number of hits or fills from which their pace is told.
pub(super) const PACE_TOLD: f64 = 2.0;

impl Router {
    /// What an answer's time is compared with: its own sending time and its class's.
    pub(super) fn base_s(&self, open: &Open) -> f64 {
        open.work_s + self.usual_s[open.class].0 + WAY_S
    }

    pub(super) fn learn_usual(&mut self, class: usize, work_s: f64) {
        let (usual, seen) = &mut self.usual_s[class];
        *seen += 1.0;
        *usual += (work_s - *usual) * USUAL_STEP.max(1.0 / *seen);
    }
}
