//! Outlier detection: servers that fail are left out for a while and come back by way of a single trial.

use super::state::Known;
use super::Router;
use crate::interface::{Micros, ServerId};

/// First mark of a server that fails, doubled with each failed trial.
const MARK_US: Micros = 1_500_000;
/// Longest: a server that came back is missed for no longer.
const MARK_MAX_US: Micros = 4_000_000;
/// Weight of one outcome in a server's failure share.
pub(super) const FAIL_STEP: f64 = 0.3;
/// Marked above this failure share: two in a row, or a lasting third.
const FAIL_LIMIT: f64 = 0.45;

impl Router {
    /// Not marked; once a mark has run out, a single trial at a time.
    pub(super) fn is_well(&self, id: ServerId, now: Micros) -> bool {
        self.servers
            .get(&id)
            .is_some_and(|s| s.strikes == 0 || (now >= s.marked_until && !s.on_trial))
    }

    /// Counts a success or failure of a server; failing servers are marked, longer each time, and come back
    /// by way of a single trial.
    pub(super) fn judge(&mut self, now: Micros, id: ServerId, failed: Option<f64>) {
        let Some(s) = self.servers.get_mut(&id) else {
            return;
        };
        s.on_trial = false;
        match failed {
            None => {
                s.last_ok = now;
                if std::mem::take(&mut s.lost) {
                    s.back = Some(now);
                }
                s.failing -= FAIL_STEP * s.failing;
                if now >= s.marked_until {
                    s.strikes = 0;
                }
            }
            Some(weight) => {
                s.failing += (FAIL_STEP * weight * (1.0 - s.failing)).min(1.0);
                if s.failing > FAIL_LIMIT || s.strikes > 0 {
                    Self::mark(s, now);
                }
            }
        }
    }

    pub(super) fn mark(s: &mut Known, now: Micros) {
        if now < s.marked_until {
            return;
        }
        s.marked_until = now + (MARK_US << s.strikes.min(4)).min(MARK_MAX_US);
        s.strikes += 1;
        s.on_trial = false;
    }
}
