//! How much of its work this router lets reach the origin: less while the origin's answers come too late.

use super::outcomes::AttemptEnd;
use super::state::OpenRequest;
use super::Router;
use crate::interface::{Micros, Note};

/// Of the admitted share, with a late answer.
const ORIGIN_SHARE_DECREASE: f64 = 0.85;
/// That many times at most, the later the answer: a long queue is slow to show.
const MAX_ORIGIN_LATENESS: f64 = 3.0;
/// Added to the admitted share with an answer in time.
const ORIGIN_SHARE_INCREASE: f64 = 0.04;
/// Least admitted share: so many find out whether the origin is well again.
const MIN_ORIGIN_SHARE: f64 = 0.05;
/// An answer speaks for so many more for each second since the one before: a router among many sees few.
const ANSWER_WEIGHT_PER_S: f64 = 10.0;
/// An answer so many times its objective late is reported to other routers: less may be chance.
const MIN_REPORTED_LATENESS: f64 = 2.0;
/// Longest time since the last answer that counts.
const MAX_ANSWER_GAP_US: Micros = 1_000_000;

/// How much of a router's work may reach the origin.
pub(super) struct OriginAdmission {
    /// Share of the requests that may have the origin asked.
    share: f64,
    updated_at: Micros,
    /// What the share fell to by an answer that other routers should know of.
    pending_report: Option<f64>,
    /// What the share may be at most by what other routers found, and until when.
    peer_limit: f64,
    peer_limit_until: Micros,
}

impl OriginAdmission {
    pub(super) fn new() -> Self {
        OriginAdmission {
            share: 1.0,
            updated_at: Micros::MAX, // The first answer speaks for itself alone.
            pending_report: None,
            peer_limit: 1.0,
            peer_limit_until: 0,
        }
    }

    /// Takes in what other routers found.
    pub(super) fn set_peer_limit(&mut self, share: f64, until: Micros) {
        self.peer_limit = share;
        self.peer_limit_until = until;
    }

    /// Whether a request of this draw may have the origin asked: further attempts are no further chances.
    fn admits(&self, now: Micros, admission_draw: f64) -> bool {
        let limit = if now < self.peer_limit_until {
            self.peer_limit.max(MIN_ORIGIN_SHARE)
        } else {
            1.0
        };
        admission_draw < self.share.min(limit)
    }

    /// More fills than the origin can give in time wait for each other there, and what its askers no longer wait for
    /// is worked off all the same: it would be late for all, long after its fault is over. So the fewer requests may
    /// have it asked, the more of its answers are late; parents still give what they hold.
    ///
    /// `lateness`: the wait for the answer, over its class's latency objective.
    fn learn(&mut self, now: Micros, note: Note, lateness: f64) {
        let since_us = now.saturating_sub(self.updated_at).min(MAX_ANSWER_GAP_US);
        let weight = 1.0 + ANSWER_WEIGHT_PER_S * (since_us as f64 / 1e6);
        self.share = match note {
            Note::FilledByOrigin if lateness <= 1.0 => {
                (self.share + ORIGIN_SHARE_INCREASE * weight).min(1.0)
            }
            Note::FilledByOrigin | Note::OriginFailed | Note::SourceLost => {
                let exponent = lateness.clamp(1.0, MAX_ORIGIN_LATENESS) * weight;
                (self.share * ORIGIN_SHARE_DECREASE.powf(exponent)).max(MIN_ORIGIN_SHARE)
            }
            _ => return,
        };
        self.updated_at = now;
    }
}

impl Router {
    /// The share of its requests that this router lets ask the origin, if since the last call an answer was so late
    /// that others should know. It follows from the router's own answers alone: what is heard is not passed on.
    pub fn take_origin_share_report(&mut self) -> Option<f64> {
        self.origin_admission.pending_report.take()
    }

    /// Whether the origin may be asked for a request.
    pub(super) fn may_reach_origin(&self, now: Micros, open: &OpenRequest) -> bool {
        self.origin_admission.admits(now, open.admission_draw) && self.origin_has_capacity(now)
    }

    /// Learns how late the origin is from the end of an attempt.
    pub(super) fn learn_of_origin(&mut self, end: &AttemptEnd) {
        let objective_us = self.settings.classes[end.class].objective_us.max(1) as f64;
        let admission = &mut self.origin_admission;
        if end.origin_unanswered {
            let lateness = end.took_us as f64 / objective_us;
            admission.learn(end.now, Note::OriginFailed, lateness);
        } else if end.reflects_origin {
            let lateness = end.first_byte_us as f64 / objective_us;
            admission.learn(end.now, end.note, lateness);
            if end.note == Note::FilledByOrigin && lateness >= MIN_REPORTED_LATENESS {
                admission.pending_report = Some(admission.share);
            }
        }
    }
}
