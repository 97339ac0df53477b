//! The life cycle of an attempt: its start, its first byte, its end and its cancellation.

use super::attempt::OutstandingAttempt;
use super::{
    Answer, AttemptId, AttemptResult, AttemptTarget, Command, Core, Dispatch, RequestKey, Wake,
    TRACE,
};
use linnetknot::{Event, Fill, Micros, Outcome, ServerId};

impl Core {
    /// Returns the request and the target of an attempt while the attempt is outstanding.
    pub fn dispatch(&self, attempt: AttemptId) -> Option<Dispatch<'_>> {
        let open = self.requests.get(attempt.request)?;
        let outstanding = open
            .outstanding
            .as_ref()
            .filter(|outstanding| outstanding.number == attempt.number)?;
        Some(Dispatch {
            request: &open.request,
            target: outstanding.target,
        })
    }

    /// Returns the request and the target of an attempt if the attempt may start now. The maximum age of a copy is
    /// recomputed, because purges may have arrived while the attempt waited for a connection.
    pub fn dispatch_now(&self, now: Micros, attempt: AttemptId) -> Option<Dispatch<'_>> {
        let mut dispatch = self.dispatch(attempt)?;
        let target = &mut dispatch.target;
        let servers = [Some(target.server), target.fill.map(|fill| fill.source)];
        let max_age_us = self
            .router
            .recheck_queued_attempt(now, attempt.request.to_u64())?;
        target.fill = target.fill.map(|fill| Fill { max_age_us, ..fill });
        let all_ready = servers
            .into_iter()
            .flatten()
            .all(|id| self.is_cache_ready(id));
        let may_start = now < target.deadline && all_ready;
        may_start.then_some(dispatch)
    }

    /// Records that the first byte of an attempt has been written.
    pub fn attempt_started(&mut self, attempt: AttemptId) {
        let Some(open) = self.requests.get_mut(attempt.request) else {
            return;
        };
        let outstanding = open
            .outstanding
            .as_mut()
            .filter(|outstanding| outstanding.number == attempt.number);
        if let Some(outstanding) = outstanding {
            outstanding.started = true;
        }
        if !open.is_idempotent && !open.is_shared {
            open.is_shared = true;
            let id = open.request.id.clone();
            self.share_execution(&id, true);
        }
    }

    /// Starts an attempt that the decision module has requested.
    pub(super) fn start_attempt(
        &mut self,
        now: Micros,
        key: RequestKey,
        server: ServerId,
        timeout_us: Option<Micros>,
        fill: Option<Fill>,
    ) {
        let open = self.requests.unanswered_mut(key);
        let Some(open) = open.filter(|open| open.outstanding.is_none()) else {
            // A request never has two outstanding attempts.
            log::error!("the decision module started an attempt of a request that is answered or has one in flight");
            return;
        };
        let deadline = timeout_us.map_or(open.deadline, |timeout_us| {
            (now + timeout_us).min(open.deadline)
        });
        let is_before_request = deadline < open.deadline;
        let number = open.attempts;
        open.attempts += 1;
        open.outstanding = Some(OutstandingAttempt {
            number,
            sent_at: now,
            target: AttemptTarget {
                server,
                fill,
                deadline,
            },
            started: false,
            cancelled: None,
        });
        self.counters.attempts += 1;
        let attempt = AttemptId {
            request: key,
            number,
        };
        self.commands.push(Command::Send(attempt));
        if is_before_request {
            self.commands
                .push(Command::Wake(deadline, Wake::Attempt(attempt)));
        }
    }

    /// Processes the end of an attempt. An attempt that is no longer outstanding is ignored, so late responses have no
    /// effect.
    pub fn attempt_finished(&mut self, now: Micros, attempt: AttemptId, mut result: AttemptResult) {
        let Some(outstanding) = self.take_outstanding(attempt) else {
            let request = attempt.request.to_u64();
            return self.router.expired_attempt_ended(request, attempt.number);
        };
        // If the cache responded before the cancellation reached it, the outcome of that response is used instead.
        if result.outcome == Outcome::Cancelled {
            result.outcome = outstanding.cancelled.unwrap_or(result.outcome);
        }
        if let Some(open) = self.requests.get_mut(attempt.request) {
            open.may_have_run |= result.outcome.may_have_run();
        }
        self.log_end(now, attempt, &outstanding, &result);
        if let Some(content) = result.content.filter(|_| result.outcome == Outcome::Ok) {
            self.finish(now, attempt.request, Answer::Served(content));
        }
        let event = Event::AttemptEnded {
            request: attempt.request.to_u64(),
            attempt: attempt.number,
            server: outstanding.target.server,
            outcome: result.outcome,
            took_us: now.saturating_sub(outstanding.sent_at),
            settled: self.requests.unanswered(attempt.request).is_none(),
            note: result.note,
            first_byte_us: result.waited_us,
            load: result.load,
        };
        self.drive(now, event);
        self.commands.extend(
            self.router
                .take_origin_share_report()
                .map(Command::ShareOriginHealth),
        );
        self.release_if_finished(now, attempt.request);
    }

    /// Removes an attempt from its request; returns `None` if it is not outstanding.
    fn take_outstanding(&mut self, attempt: AttemptId) -> Option<OutstandingAttempt> {
        let open = self.requests.get_mut(attempt.request)?;
        open.outstanding
            .take_if(|outstanding| outstanding.number == attempt.number)
    }

    fn log_end(
        &self,
        now: Micros,
        id: AttemptId,
        outstanding: &OutstandingAttempt,
        result: &AttemptResult,
    ) {
        let Some(open) = self.requests.get(id.request) else {
            return;
        };
        let source = outstanding.target.fill.map(|fill| fill.source);
        log::debug!(
            target: TRACE,
            request = open.request.id.as_str(),
            number = id.number,
            cache = self.wire_id_or_dash(outstanding.target.server),
            source = source.map_or("-", |source| self.wire_id_or_dash(source)),
            outcome:? = result.outcome,
            note:? = result.note,
            waited_us = result.waited_us,
            took_us = now.saturating_sub(outstanding.sent_at);
            "attempt ended"
        );
    }

    /// Cancels an attempt. An attempt that has not started ends immediately and is never sent to a cache.
    pub(super) fn cancel(&mut self, now: Micros, attempt: AttemptId, outcome: Outcome) {
        let open = self.requests.get_mut(attempt.request);
        let outstanding = open
            .and_then(|open| open.outstanding.as_mut())
            .filter(|outstanding| {
                outstanding.number == attempt.number && outstanding.cancelled.is_none()
            });
        let Some(outstanding) = outstanding else {
            return;
        };
        outstanding.cancelled = Some(outcome);
        let started = outstanding.started;
        self.commands
            .push(Command::Cancel(attempt, outstanding.target.server));
        if !started {
            self.attempt_finished(now, attempt, Outcome::Moot.into());
        }
    }
}
