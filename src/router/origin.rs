//! How much of its work this router lets reach the origin: less while its answers come too late.

use super::state::OpenRequest;
use super::Router;
use crate::interface::{Micros, Note};

/// Of the share of requests that may have the origin asked, with a late answer.
const ORIGIN_DECREASE: f64 = 0.85;
/// Times that, the later the answer: a long queue is slow to show.
const MAX_ORIGIN_LATENESS: f64 = 3.0;
/// Added to it with one in time.
const ORIGIN_INCREASE: f64 = 0.04;
/// Least: so many find out whether it is well again.
const MIN_ORIGIN_SHARE: f64 = 0.05;
/// An answer speaks for so many more for each second since the one before: a router among many sees few.
const ORIGIN_PER_S: f64 = 10.0;

impl Router {
    /// The share of its requests that this router lets ask the origin, if since the last call an answer was
    /// so late that others should know. It follows from its own answers alone: what is heard is not told on.
    pub fn found(&mut self) -> Option<f64> {
        self.origin_finding.take()
    }

    /// Whether a request may have the origin asked: so many may, and further attempts are no further chances.
    pub(super) fn may_reach_origin(&self, now: Micros, open: &OpenRequest) -> bool {
        let heard = if now < self.origin_limit_heard.1 {
            self.origin_limit_heard.0.max(MIN_ORIGIN_SHARE)
        } else {
            1.0
        };
        open.draw < self.origin_share.min(heard) && self.origin_has_capacity(now)
    }

    /// More fills than the origin can give in time wait for each other there, and what its askers no longer
    /// wait for is worked off all the same: it would be late for all, long after its trouble is over. So the
    /// fewer requests may have it asked, the more of its answers are late; parents still give what they hold.
    /// `late`: the wait for the answer, over its class's aim.
    pub(super) fn learn_origin(&mut self, now: Micros, note: Note, late: f64) {
        let since_s = now.saturating_sub(self.origin_learned_at).min(1_000_000) as f64 / 1e6;
        let weight = 1.0 + ORIGIN_PER_S * since_s;
        self.origin_share = match note {
            Note::FilledByOrigin if late <= 1.0 => {
                (self.origin_share + ORIGIN_INCREASE * weight).min(1.0)
            }
            Note::FilledByOrigin | Note::OriginFailed | Note::SourceLost => {
                let fall = ORIGIN_DECREASE.powf(late.clamp(1.0, MAX_ORIGIN_LATENESS) * weight);
                (self.origin_share * fall).max(MIN_ORIGIN_SHARE)
            }
            _ => return,
        };
        self.origin_learned_at = now;
    }
}
