//! How much of its work this router lets reach the origin: less while its answers come too late.

use super::state::Open;
use super::Router;
use crate::interface::{Micros, Note};

/// Of the share of requests that may have the origin asked, with a late answer.
const ORIGIN_FALL: f64 = 0.85;
/// Times that, the later the answer: a long queue is slow to show.
const ORIGIN_FALL_MOST: f64 = 3.0;
/// Added to it with one in time.
const ORIGIN_STEP: f64 = 0.04;
/// Least: so many find out whether it is well again.
const ORIGIN_LEAST: f64 = 0.05;
/// An answer speaks for so many more for each second since the one before: a router among many sees few.
const ORIGIN_PER_S: f64 = 10.0;

impl Router {
    /// The share of its requests that this router lets ask the origin, if since the last call an answer was
    /// so late that others should know. It follows from its own answers alone: what is heard is not told on.
    pub fn found(&mut self) -> Option<f64> {
        self.found.take()
    }

    /// Whether a request may have the origin asked: so many may, and further attempts are no further chances.
    pub(super) fn may_ask(&self, now: Micros, open: &Open) -> bool {
        let heard = if now < self.heard.1 {
            self.heard.0.max(ORIGIN_LEAST)
        } else {
            1.0
        };
        open.draw < self.origin_share.min(heard) && self.has_place(now)
    }

    /// More fills than the origin can give in time wait for each other there, and what its askers no longer
    /// wait for is worked off all the same: it would be late for all, long after its trouble is over. So the
    /// fewer requests may have it asked, the more of its answers are late; parents still give what they hold.
    /// `late`: the wait for the answer, over its class's aim.
    pub(super) fn learn_origin(&mut self, now: Micros, note: Note, late: f64) {
        let since_s = now.saturating_sub(self.origin_at).min(1_000_000) as f64 / 1e6;
        let weight = 1.0 + ORIGIN_PER_S * since_s;
        self.origin_share = match note {
            Note::FilledByOrigin if late <= 1.0 => {
                (self.origin_share + ORIGIN_STEP * weight).min(1.0)
            }
            Note::FilledByOrigin | Note::OriginFailed | Note::SourceLost => {
                let fall = ORIGIN_FALL.powf(late.clamp(1.0, ORIGIN_FALL_MOST) * weight);
                (self.origin_share * fall).max(ORIGIN_LEAST)
            }
            _ => return,
        };
        self.origin_at = now;
    }
}
