//! Origin admission: limits the share of requests that may reach the origin while its answers are late.

use super::outcomes::AttemptEnd;
use super::state::OpenRequest;
use super::Router;
use crate::interface::{Micros, Note};

/// Factor applied to the admitted share for a late answer.
const ORIGIN_SHARE_DECREASE: f64 = 0.85;
/// Maximum lateness that is taken into account. A later answer lowers the admitted share more, because a long queue at
/// the origin delays the answers that show it.
const MAX_ORIGIN_LATENESS: f64 = 3.0;
/// Increase of the admitted share for an answer within the latency objective.
const ORIGIN_SHARE_INCREASE: f64 = 0.04;
/// Minimum admitted share, so that a recovery of the origin is detected.
pub(super) const MIN_ORIGIN_SHARE: f64 = 0.05;
/// Additional weight of an answer per second since the previous answer. A router that receives few answers thus adjusts
/// its share as fast as one that receives many.
const ANSWER_WEIGHT_PER_S: f64 = 10.0;
/// Lateness, as a multiple of the latency objective, from which an answer is reported to other routers. A smaller one
/// may be chance.
const MIN_REPORTED_LATENESS: f64 = 2.0;
/// Maximum time since the previous answer for which weight is added.
const MAX_ANSWER_GAP_US: Micros = 1_000_000;

/// Share of a router's requests that may reach the origin.
pub(super) struct OriginAdmission {
    /// Admitted share according to this router's own answers.
    share: f64,
    updated_at: Micros,
    /// Admitted share after an answer that was late enough to be reported to other routers.
    pending_report: Option<f64>,
    /// Upper limit of the share reported by other routers, and its expiry time.
    peer_limit: f64,
    peer_limit_until: Micros,
}

impl OriginAdmission {
    pub(super) fn new() -> Self {
        OriginAdmission {
            share: 1.0,
            updated_at: Micros::MAX, // The first answer has no additional weight.
            pending_report: None,
            peer_limit: 1.0,
            peer_limit_until: 0,
        }
    }

    /// Returns the admitted share according to this router's own answers.
    pub(super) fn share(&self) -> f64 {
        self.share
    }

    /// Sets the limit reported by other routers.
    pub(super) fn set_peer_limit(&mut self, share: f64, until: Micros) {
        self.peer_limit = share;
        self.peer_limit_until = until;
    }

    /// Returns whether a request may reach the origin. `admission_draw` is the same for all attempts of a request, so a
    /// retry has no additional chance of being admitted.
    fn admits(&self, now: Micros, admission_draw: f64) -> bool {
        let limit = if now < self.peer_limit_until {
            self.peer_limit.max(MIN_ORIGIN_SHARE)
        } else {
            1.0
        };
        admission_draw < self.share.min(limit)
    }

    /// Updates the share with an answer. `lateness` is the time to its first byte as a multiple of its class's latency
    /// objective.
    ///
    /// Fills beyond the origin's capacity queue there, and the origin also processes those whose clients no longer
    /// wait, so all answers would be late long after the overload ends. Admitting fewer requests drains the queue;
    /// parents continue to serve what they hold.
    fn update(&mut self, now: Micros, note: Note, lateness: f64) {
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
    /// Returns the admitted share if an answer since the last call was late enough to be reported to other routers. The
    /// share reflects this router's own answers alone, so reports received from others are not forwarded.
    pub fn take_origin_share_report(&mut self) -> Option<f64> {
        self.origin_admission.pending_report.take()
    }

    /// Returns whether a request may reach the origin.
    pub(super) fn may_reach_origin(&self, now: Micros, open: &OpenRequest) -> bool {
        self.origin_admission.admits(now, open.admission_draw) && self.origin_has_capacity(now)
    }

    /// Updates the admitted share with the end of an attempt.
    pub(super) fn update_origin_admission(&mut self, end: &AttemptEnd) {
        let objective_us = self.settings.classes[end.class].objective_us.max(1) as f64;
        let admission = &mut self.origin_admission;
        if end.origin_unanswered {
            let lateness = end.took_us as f64 / objective_us;
            admission.update(end.now, Note::OriginFailed, lateness);
        } else if end.reflects_origin {
            let lateness = end.first_byte_us as f64 / objective_us;
            admission.update(end.now, end.note, lateness);
            if end.note == Note::FilledByOrigin && lateness >= MIN_REPORTED_LATENESS {
                admission.pending_report = Some(admission.share);
            }
        }
    }
}
