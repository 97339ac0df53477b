//! Attributes failed attempts to servers and sources, and records them in their failure rates.

use super::outcomes::AttemptEnd;
use super::outliers::FAILURE_WEIGHT;
use super::Router;
use crate::interface::{AnswerDetail, Note, Outcome, ServerId};

/// Weight of a failure to connect. It ejects a server at once, even if the server list reports the server as ready,
/// because the server's process is assumed to be down.
const CONNECT_FAILURE_WEIGHT: f64 = 2.0;
/// Weight of a connection reset; if the server's process has ended, the next connection fails too.
const RESET_WEIGHT: f64 = 0.5;
/// Weight of a stuck attempt, which a large object or a slow source may explain.
const STUCK_WEIGHT: f64 = 0.25;

/// The endpoint that is blamed for a failed attempt.
pub(super) enum Fault {
    /// The server, or the request itself.
    Server,
    /// The source or the origin behind it, according to the answer.
    Source,
    /// The server or the source; the answer does not say which.
    Shared {
        /// Share attributed to the source, from 0 to 1; the rest is attributed to the server.
        source_share: f64,
    },
}

impl Fault {
    /// Returns whether the failure is attributed mainly to the source.
    pub(super) fn is_source(&self) -> bool {
        match self {
            Fault::Server => false,
            Fault::Source => true,
            Fault::Shared { source_share } => *source_share >= 0.5,
        }
    }
}

impl Router {
    /// Decides whether the server or the source caused a failure. If the response gives no reason, the blame is split
    /// in proportion to their failure rates. A healthy endpoint that is blamed by mistake recovers, because later
    /// successful responses lower its failure rate.
    pub(super) fn assign_fault(&self, end: &AttemptEnd) -> Fault {
        let reason_known = self.settings.answer_detail == AnswerDetail::All
            || !matches!(end.outcome, Outcome::Full | Outcome::Error);
        match end.attempt.source.filter(|_| !reason_known) {
            None if end.is_source_failure() => Fault::Source,
            None => Fault::Server,
            Some(source) => {
                let source = self.fault_likelihood(source);
                let source_share = source / (source + self.fault_likelihood(end.attempt.server));
                Fault::Shared { source_share }
            }
        }
    }

    fn fault_likelihood(&self, id: ServerId) -> f64 {
        let failure_rate = self.endpoints.get(&id).map_or(0.0, |s| s.failure_rate);
        failure_rate + FAILURE_WEIGHT / 4.0
    }

    /// Records the end of an attempt in the failure rates of its server and source.
    pub(super) fn record_outcome(&mut self, end: &mut AttemptEnd, fault: &Fault) {
        let (now, server) = (end.now, end.attempt.server);
        match end.outcome {
            Outcome::Ok => self.record_answer(end),
            Outcome::Cancelled if end.attempt.stuck => self.record_stuck(end),
            Outcome::Miss | Outcome::Moot | Outcome::Cancelled => {}
            _ if end.is_source_failure() => {
                if let Some(source) = end.attempt.source {
                    self.record_failure(now, source, 1.0);
                }
            }
            Outcome::Full if matches!(end.note, Note::NoFillPlace | Note::SourceLacks) => {}
            outcome => match (fault, outcome) {
                (Fault::Shared { source_share }, _) => {
                    self.record_failure(now, server, 1.0 - source_share);
                    if let Some(source) = end.attempt.source {
                        self.record_failure(now, source, *source_share);
                    }
                }
                (_, Outcome::Timeout) if now < end.attempt.overdue_at => {}
                (_, Outcome::ConnectFailed | Outcome::Unreached) => self.record_unreached(end),
                (_, Outcome::Reset) => self.record_reset(end),
                // A later attempt shows whether the server or the request is at fault.
                (_, Outcome::Error) => end.first_failed_server = Some(server),
                _ => self.record_failure(now, server, 1.0),
            },
        }
    }

    /// Records an answer as a success of its server, and of its source if the source supplied the copy.
    fn record_answer(&mut self, end: &AttemptEnd) {
        if let Some(failed) = end.first_failed_server {
            self.record_failure(end.now, failed, 1.0);
        }
        self.record_success(end.now, end.attempt.server);
        self.record_answer_statistics(end);
        let Some(source) = end.attempt.source else {
            return;
        };
        if end.is_hit() {
            // The cache had a copy, so the source received no request.
            if let Some(source) = self.endpoints.get_mut(&source) {
                source
                    .slow_start_charges
                    .retain(|charge| charge.request != end.request);
            }
        } else if !matches!(end.note, Note::None | Note::Joined) {
            self.record_success(end.now, source);
            let source = self.endpoints.get_mut(&source);
            if let Some(source) = source.filter(|_| end.size_known) {
                Self::record_fill_slowdown(source, end);
            }
        }
    }

    /// Records a stuck and cancelled attempt as a failure of the server or source that did not answer.
    fn record_stuck(&mut self, end: &AttemptEnd) {
        // Counts the attempt as a slow answer in the duration statistics. If only completed answers counted, every
        // cancellation would lower the stuck timeout, and a slow origin would have all its requests cancelled and
        // repeated.
        if end.slow {
            self.record_stuck_statistics(end);
        }
        let server = Some(end.attempt.server).filter(|_| !end.retry_same_server);
        for id in [server, end.silent_source].into_iter().flatten() {
            self.record_failure(end.now, id, STUCK_WEIGHT);
        }
    }

    /// Records a failure to connect as a failure of the attempt's server.
    fn record_unreached(&mut self, end: &AttemptEnd) {
        self.record_failure(end.now, end.attempt.server, CONNECT_FAILURE_WEIGHT);
        if let Some(server) = self.endpoints.get_mut(&end.attempt.server) {
            server.connect_failed |= end.outcome == Outcome::ConnectFailed;
        }
    }

    /// Records a connection reset. One reset may end several attempts and is counted once.
    fn record_reset(&mut self, end: &AttemptEnd) {
        let Some(server) = self.endpoints.get_mut(&end.attempt.server) else {
            return;
        };
        let last = std::mem::replace(&mut server.last_reset, end.now);
        if last != end.now {
            self.record_failure(end.now, end.attempt.server, RESET_WEIGHT);
        }
    }
}
