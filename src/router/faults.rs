//! Whose fault the end of an attempt was, and what is counted against whom.

use super::outcomes::AttemptEnd;
use super::outliers::FAILURE_WEIGHT;
use super::Router;
use crate::interface::{AnswerDetail, Note, Outcome, ServerId};

/// A server that was not reached is ejected at once: its process is down whatever the list says.
const CONNECT_FAILURE_WEIGHT: f64 = 2.0;
/// A broken connection: if its process has ended, that shows with the next one.
const RESET_WEIGHT: f64 = 0.5;
/// Against the server of a stuck attempt: it may be a large object or a slow source.
const STUCK_WEIGHT: f64 = 0.25;

/// Whose fault a failure is taken to be.
pub(super) enum Fault {
    /// The server's, or the request's own.
    Server,
    /// The source's, or the origin's behind it, as the answer told.
    Source,
    /// The server's or the source's; answers do not tell whose.
    Shared {
        /// The source's part, from 0 to 1; the rest is the server's.
        source_share: f64,
    },
}

impl Fault {
    /// Whether it is the source's rather than the server's.
    pub(super) fn is_source(&self) -> bool {
        match self {
            Fault::Server => false,
            Fault::Source => true,
            Fault::Shared { source_share } => *source_share >= 0.5,
        }
    }
}

impl Router {
    /// Whose fault a failure would be. Where reasons are not told, it is shared by what has failed of each so far, and
    /// the healthy one is cleared by its other answers.
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

    /// Counts the end of an attempt for or against its server and source.
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
                // Whose fault it is, the server's or the request's, shows elsewhere.
                (_, Outcome::Error) => end.first_failed_server = Some(server),
                _ => self.record_failure(now, server, 1.0),
            },
        }
    }

    /// Counts an answer for its server, and for its source if that gave a copy.
    fn record_answer(&mut self, end: &AttemptEnd) {
        if let Some(failed) = end.first_failed_server {
            self.record_failure(end.now, failed, 1.0);
        }
        self.record_success(end.now, end.attempt.server);
        self.learn_answer(end);
        let Some(source) = end.attempt.source else {
            return;
        };
        if end.is_hit() {
            // Found in the cache: the source was never asked.
            if let Some(source) = self.endpoints.get_mut(&source) {
                source
                    .slow_start_charges
                    .retain(|charge| charge.request != end.request);
            }
        } else if !matches!(end.note, Note::None | Note::Joined) {
            self.record_success(end.now, source);
            let source = self.endpoints.get_mut(&source);
            if let Some(source) = source.filter(|_| end.size_known) {
                Self::learn_fill_slowdown(source, end);
            }
        }
    }

    /// Counts an attempt that was cancelled as stuck against those who did not answer.
    fn record_stuck(&mut self, end: &AttemptEnd) {
        // It counts as long as well: were only answers counted, cutting off their tail would lower the bound further,
        // and a slow origin would have all its work cancelled and begun anew.
        if end.slow {
            self.class_statistics[end.class].learn_tail(true);
        }
        let server = Some(end.attempt.server).filter(|_| !end.retry_same_server);
        for id in [server, end.silent_source].into_iter().flatten() {
            self.record_failure(end.now, id, STUCK_WEIGHT);
        }
    }

    /// Counts a connection that did not come up against its server.
    fn record_unreached(&mut self, end: &AttemptEnd) {
        self.record_failure(end.now, end.attempt.server, CONNECT_FAILURE_WEIGHT);
        if let Some(server) = self.endpoints.get_mut(&end.attempt.server) {
            server.connect_failed |= end.outcome == Outcome::ConnectFailed;
        }
    }

    /// Counts a broken connection against its server. One break ends all that is in flight on it: it counts once.
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
