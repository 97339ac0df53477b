//! Processes the end of an attempt: updates the state of its servers, link and origin, and routes or closes its
//! request.

use super::faults::Fault;
use super::state::{Attempt, FirstRun};
use super::Router;
use crate::interface::{Action, Micros, Note, Outcome, RequestId, ServerId};

/// The proxy's report on the end of an attempt.
pub(super) struct AttemptReport {
    pub(super) request: RequestId,
    /// Number of the attempt within its request, starting at 0.
    pub(super) attempt: u32,
    pub(super) outcome: Outcome,
    pub(super) took_us: Micros,
    /// The client has received its final answer.
    pub(super) settled: bool,
    pub(super) note: Note,
    pub(super) first_byte_us: Micros,
}

/// An ended attempt and the facts derived from the router's state at that time.
pub(super) struct AttemptEnd {
    pub(super) now: Micros,
    pub(super) request: RequestId,
    pub(super) attempt: Attempt,
    pub(super) outcome: Outcome,
    pub(super) note: Note,
    pub(super) took_us: Micros,
    pub(super) first_byte_us: Micros,
    /// Index of the request's class in the settings.
    pub(super) class: usize,
    pub(super) transfer_s: f64,
    pub(super) size_known: bool,
    /// Expected duration of an answer, in seconds.
    pub(super) expected_s: f64,
    /// The attempt was cancelled as stuck although its server answered other requests meanwhile. The server is
    /// therefore assumed to have run the request and cached the copy, and only the answer to be lost.
    pub(super) slow: bool,
    /// This is the request's first stuck attempt, so the same server is tried again.
    pub(super) retry_same_server: bool,
    /// Source of an attempt that was cancelled as stuck, if it has answered no request since the attempt was sent.
    pub(super) silent_source: Option<ServerId>,
    /// The note says something about the state of the origin. The loss of a single parent does not, because the other
    /// parents must continue to fetch from the origin.
    pub(super) reflects_origin: bool,
    /// No answer arrived within the latency objective although cache and source are healthy. This is the earliest sign
    /// of an overloaded origin; a router that sends few requests to the origin may see no other.
    pub(super) origin_unanswered: bool,
    /// First server that answered this request with an error without a reason, unless it is the server of this attempt.
    pub(super) first_failed_server: Option<ServerId>,
}

impl AttemptEnd {
    pub(super) fn took_s(&self) -> f64 {
        self.took_us as f64 / 1e6
    }

    /// Returns whether the cache answered from its own copy.
    pub(super) fn is_hit(&self) -> bool {
        self.outcome == Outcome::Ok && matches!(self.note, Note::Hit | Note::Stale)
    }

    /// Returns whether the note attributes the failure to the source.
    pub(super) fn is_source_failure(&self) -> bool {
        matches!(
            self.note,
            Note::SourceRefused | Note::SourceLost | Note::OriginFailed
        )
    }
}

impl Router {
    /// Updates all statistics with the end of an attempt, and routes its request again if it has no final answer.
    pub(super) fn attempt_ended(
        &mut self,
        now: Micros,
        report: &AttemptReport,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut end) = self.take_attempt(now, report) else {
            return;
        };
        self.estimate_unknown_size(&end);
        self.record_hit_slowdown(&end);
        self.release_attempt(&end.attempt);
        self.record_link_slowdown(&end);
        self.update_origin_admission(&end);
        let fault = self.assign_fault(&end);
        self.record_outcome(&mut end, &fault);
        let open = self.requests.get(&report.request);
        if report.settled || open.is_some_and(|open| open.client_left) {
            self.requests.remove(&report.request);
            return;
        }
        self.record_failed_target(&end, &fault);
        self.route(now, report.request, actions);
    }

    /// Removes an attempt from its request; returns `None` if the attempt is not in flight.
    fn take_attempt(&mut self, now: Micros, report: &AttemptReport) -> Option<AttemptEnd> {
        let expected_s = self.expected_s(self.requests.get(&report.request)?);
        let open = self.requests.get_mut(&report.request)?;
        let is_reported = |attempt: &mut Attempt| attempt.number == report.attempt;
        let attempt = open.in_flight.take_if(is_reported)?;
        open.stuck += u32::from(attempt.stuck);
        let open = self.requests.get(&report.request)?;
        let (server, source) = (attempt.server, attempt.source);
        let answered = |id: ServerId| {
            let server = self.endpoints.get(&id);
            server.is_some_and(|server| server.last_success > attempt.sent_at)
        };
        let slow = attempt.stuck && answered(server);
        let objective_us = self.settings.classes[open.class].objective_us;
        let unanswered = matches!(report.outcome, Outcome::Timeout | Outcome::Cancelled)
            && report.took_us > objective_us.max(1);
        let both_healthy =
            answered(server) && source.is_none_or(|id| answered(id) || self.is_healthy(id, now));
        Some(AttemptEnd {
            now,
            request: report.request,
            outcome: report.outcome,
            note: report.note,
            took_us: report.took_us,
            first_byte_us: report.first_byte_us,
            class: open.class,
            transfer_s: open.transfer_s,
            size_known: open.size_known,
            expected_s,
            slow,
            retry_same_server: slow && open.stuck == 1,
            silent_source: source.filter(|id| attempt.stuck && !answered(*id)),
            reflects_origin: source
                .is_some_and(|id| report.note != Note::SourceLost || answered(id)),
            origin_unanswered: attempt.may_reach_origin && unanswered && both_healthy,
            first_failed_server: open.first_failed_server.filter(|id| *id != server),
            attempt,
        })
    }

    /// Removes an attempt from the servers' counts. This also ends a trial whatever the outcome, since an outcome that
    /// is attributed to no server would otherwise leave the trial open and exclude the server.
    fn release_attempt(&mut self, attempt: &Attempt) {
        if let Some(server) = self.endpoints.get_mut(&attempt.server) {
            server.in_flight = server.in_flight.saturating_sub(1);
        }
        for id in [Some(attempt.server), attempt.source].into_iter().flatten() {
            if let Some(server) = self.endpoints.get_mut(&id) {
                server.trial_in_flight = false;
            }
        }
    }

    /// Records on a request which servers and sources must not be tried again.
    fn record_failed_target(&mut self, end: &AttemptEnd, fault: &Fault) {
        let source_ejected = end.outcome == Outcome::Cancelled
            && end
                .attempt
                .source
                .is_some_and(|id| !self.is_healthy(id, end.now));
        let source_failed =
            fault.is_source() || source_ejected && self.is_healthy(end.attempt.server, end.now);
        let run = FirstRun {
            sent_at: end.attempt.sent_at,
            location: end.attempt.location,
        };
        let write = self.settings.classes[end.class].write;
        let Some(open) = self.requests.get_mut(&end.request) else {
            return;
        };
        if end.outcome.may_have_run() {
            open.may_have_run = open.may_have_run.or(Some(run));
        }
        open.excluded_sources.extend(end.silent_source);
        if end.outcome == Outcome::Error && matches!(fault, Fault::Server) {
            open.unexplained_errors += 1;
            open.first_failed_server = open.first_failed_server.or(end.first_failed_server);
        }
        open.failed_fills += match fault {
            // The origin behind the source may have failed, and another fill would only add to the load of the origin.
            Fault::Shared { .. } => 2,
            _ => u32::from(source_failed || end.silent_source.is_some()),
        };
        let lookup_missed = end.outcome == Outcome::Miss;
        if source_failed || lookup_missed || end.note == Note::SourceLacks {
            // A miss in a parent counts as a failed fill, because an object missing in two parents is unlikely to be in
            // another parent. The cache stays eligible for the request.
            open.known_miss |= lookup_missed;
            open.failed_fills += u32::from(lookup_missed && end.attempt.fills_from_upstream);
            open.excluded_sources.extend(end.attempt.source);
        } else if !write && !end.retry_same_server {
            open.tried_servers.push(end.attempt.server);
        }
    }
}
