//! The life of an attempt: its start, its first byte, its end, and giving it up.

use super::attempt::OutstandingAttempt;
use super::{
    Answer, AttemptId, AttemptResult, AttemptTarget, Command, Core, Dispatch, RequestKey, Wake,
    TRACE,
};
use linnetknot::{Event, Fill, Micros, Outcome, ServerId};

impl Core {
    /// A request and where its attempt goes, while that attempt is out.
    pub fn dispatch(&self, attempt: AttemptId) -> Option<Dispatch<'_>> {
        let open = self.requests.get(attempt.request)?;
        let out = open
            .outstanding
            .as_ref()
            .filter(|out| out.number == attempt.number)?;
        Some(Dispatch {
            request: &open.request,
            target: out.target,
        })
    }

    /// The same, if the attempt may begin now, with the greatest age of a copy as it is now: an attempt may have waited
    /// for its connection, and is bound by the purges that came meanwhile.
    pub fn dispatch_now(&self, now: Micros, attempt: AttemptId) -> Option<Dispatch<'_>> {
        let mut dispatch = self.dispatch(attempt)?;
        let target = &mut dispatch.target;
        let named = [Some(target.server), target.fill.map(|fill| fill.source)];
        let max_age_us = self
            .router
            .recheck_queued_attempt(now, attempt.request.to_u64())?;
        target.fill = target.fill.map(|fill| Fill { max_age_us, ..fill });
        let all_ready = named
            .into_iter()
            .flatten()
            .all(|id| self.is_cache_ready(id));
        let is_due = now < target.deadline && all_ready;
        is_due.then_some(dispatch)
    }

    /// The first byte of an attempt is written.
    pub fn attempt_started(&mut self, attempt: AttemptId) {
        let out = self
            .requests
            .get_mut(attempt.request)
            .and_then(|open| open.outstanding.as_mut())
            .filter(|out| out.number == attempt.number);
        if let Some(out) = out {
            out.started = true;
        }
    }

    /// Starts an attempt that the decision module wants made.
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
            // Two attempts of one request must never be out at once.
            log::error!("the module sent an attempt for a request that can't have one");
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

    /// An attempt has ended. One that is not out any more is passed over: late answers change nothing.
    pub fn attempt_finished(&mut self, now: Micros, attempt: AttemptId, mut ended: AttemptResult) {
        let Some(open) = self.requests.get_mut(attempt.request) else {
            return;
        };
        let is_it = |out: &mut OutstandingAttempt| out.number == attempt.number;
        let Some(out) = open.outstanding.take_if(is_it) else {
            return;
        };
        // An answer that was in transit when its attempt was given up is how the attempt ended, all the same.
        if ended.outcome == Outcome::Cancelled {
            ended.outcome = out.cancelled.unwrap_or(ended.outcome);
        }
        self.trace_end(now, attempt, &out, &ended);
        if let Some(content) = ended.content.filter(|_| ended.outcome == Outcome::Ok) {
            self.finish(now, attempt.request, Answer::Served(content));
        }
        let event = Event::AttemptEnded {
            request: attempt.request.to_u64(),
            attempt: attempt.number,
            server: out.target.server,
            outcome: ended.outcome,
            took_us: now.saturating_sub(out.sent_at),
            settled: self.requests.unanswered(attempt.request).is_none(),
            note: ended.note,
            first_byte_us: ended.waited_us,
            load: ended.load,
        };
        self.drive(now, event);
        self.commands.extend(
            self.router
                .take_origin_share_report()
                .map(Command::ShareOriginHealth),
        );
        self.requests.release_if_finished(attempt.request);
    }

    /// Logs the end of an attempt.
    fn trace_end(
        &self,
        now: Micros,
        id: AttemptId,
        out: &OutstandingAttempt,
        ended: &AttemptResult,
    ) {
        let Some(open) = self.requests.get(id.request) else {
            return;
        };
        let source = out.target.fill.map(|fill| fill.source);
        log::debug!(
            target: TRACE,
            request = open.request.id.as_str(),
            number = id.number,
            cache = self.wire_id_or_dash(out.target.server),
            source = source.map_or("-", |source| self.wire_id_or_dash(source)),
            outcome:? = ended.outcome,
            note:? = ended.note,
            waited_us = ended.waited_us,
            took_us = now.saturating_sub(out.sent_at);
            "an attempt has ended"
        );
    }

    /// Gives an attempt up. One that has not begun is over at once, and never ran.
    pub(super) fn cancel(&mut self, now: Micros, attempt: AttemptId, outcome: Outcome) {
        let open = self.requests.get_mut(attempt.request);
        let out = open
            .and_then(|open| open.outstanding.as_mut())
            .filter(|out| out.number == attempt.number && out.cancelled.is_none());
        let Some(out) = out else {
            return;
        };
        out.cancelled = Some(outcome);
        let started = out.started;
        self.commands
            .push(Command::Cancel(attempt, out.target.server));
        if !started {
            self.attempt_finished(now, attempt, Outcome::Moot.into());
        }
    }
}
