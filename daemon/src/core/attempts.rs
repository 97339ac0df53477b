//! The life of an attempt: its start, its first byte, its end, and giving it up.

use super::attempt::OutstandingAttempt;
use super::{Answer, Asked, AttemptId, Command, Core, Ended, Sending, Ticket, Wake, TRACE};
use linnetknot::{Event, Fill, Micros, Outcome, ServerId};

impl Core {
    /// A request and how its attempt is to be sent, while that attempt is out.
    pub fn sending(&self, attempt: AttemptId) -> Option<(&Asked, &Sending)> {
        let open = self.requests.get(attempt.ticket)?;
        let out = open
            .outstanding
            .as_ref()
            .filter(|out| out.number == attempt.number)?;
        Some((&open.request, &out.sending))
    }

    /// The same, if the attempt may begin now, with the greatest age of a copy as it is now: an attempt may have waited
    /// for its connection, and is bound by the purges that came meanwhile.
    pub fn beginning(&self, now: Micros, attempt: AttemptId) -> Option<(&Asked, Sending)> {
        let (request, sending) = self.sending(attempt)?;
        let named = [Some(sending.server), sending.fill.map(|fill| fill.source)];
        let max_age_us = self.router.begins(now, attempt.ticket.to_u64())?;
        let fill = sending.fill.map(|fill| Fill { max_age_us, ..fill });
        let may_begin =
            now < sending.until && named.into_iter().flatten().all(|id| self.takes_work(id));
        may_begin.then_some((request, Sending { fill, ..*sending }))
    }

    /// The first byte of an attempt is written.
    pub fn begun(&mut self, attempt: AttemptId) {
        let out = self
            .requests
            .get_mut(attempt.ticket)
            .and_then(|open| open.outstanding.as_mut())
            .filter(|out| out.number == attempt.number);
        if let Some(out) = out {
            out.begun = true;
        }
    }

    /// Starts an attempt that the decision module wants made.
    pub(super) fn start_attempt(
        &mut self,
        now: Micros,
        ticket: Ticket,
        server: ServerId,
        timeout_us: Option<Micros>,
        fill: Option<Fill>,
    ) {
        let open = self.requests.unanswered_mut(ticket);
        let Some(open) = open.filter(|open| open.outstanding.is_none()) else {
            // Two attempts of one request must never be out at once.
            log::error!("the module sent an attempt for a request that can't have one");
            return;
        };
        let deadline = open.deadline;
        let until = timeout_us.map_or(deadline, |timeout_us| (now + timeout_us).min(deadline));
        let number = open.attempts;
        open.attempts += 1;
        open.outstanding = Some(OutstandingAttempt {
            number,
            sent_at: now,
            sending: Sending {
                server,
                fill,
                until,
            },
            begun: false,
            given_up: None,
        });
        self.counts.attempts += 1;
        let attempt = AttemptId { ticket, number };
        self.commands.push(Command::Send(attempt));
        if until < deadline {
            self.commands
                .push(Command::Wake(until, Wake::Attempt(attempt)));
        }
    }

    /// An attempt has ended. One that is not out any more is passed over: late answers change nothing.
    pub fn ended(&mut self, now: Micros, attempt: AttemptId, mut ended: Ended) {
        let Some(open) = self.requests.get_mut(attempt.ticket) else {
            return;
        };
        let is_it = |out: &mut OutstandingAttempt| out.number == attempt.number;
        let Some(out) = open.outstanding.take_if(is_it) else {
            return;
        };
        // An answer that was in transit when its attempt was given up is how the attempt ended, all the same.
        if ended.outcome == Outcome::Cancelled {
            ended.outcome = out.given_up.unwrap_or(ended.outcome);
        }
        self.trace_end(now, attempt, &out, &ended);
        if let Some(content) = ended.content.filter(|_| ended.outcome == Outcome::Ok) {
            self.finish(now, attempt.ticket, Answer::Served(content));
        }
        let event = Event::Outcome {
            request: attempt.ticket.to_u64(),
            attempt: attempt.number,
            server: out.sending.server,
            outcome: ended.outcome,
            took_us: now.saturating_sub(out.sent_at),
            settled: self.requests.unanswered(attempt.ticket).is_none(),
            note: ended.note,
            waited_us: ended.waited_us,
            load: ended.load,
        };
        self.drive(now, event);
        self.commands
            .extend(self.router.found().map(Command::Found));
        self.requests.release_if_finished(attempt.ticket);
    }

    /// Logs the end of an attempt.
    fn trace_end(&self, now: Micros, id: AttemptId, out: &OutstandingAttempt, ended: &Ended) {
        let Some(open) = self.requests.get(id.ticket) else {
            return;
        };
        let source = out.sending.fill.map(|fill| fill.source);
        log::debug!(
            target: TRACE,
            request = open.request.id.as_str(),
            number = id.number,
            "box" = self.uid(out.sending.server),
            source = source.map_or("-", |source| self.uid(source)),
            outcome:? = ended.outcome,
            note:? = ended.note,
            waited_us = ended.waited_us,
            took_us = now.saturating_sub(out.sent_at);
            "an attempt has ended"
        );
    }

    /// Gives an attempt up. One that has not begun is over at once, and never ran.
    pub(super) fn give_up(&mut self, now: Micros, attempt: AttemptId, outcome: Outcome) {
        let open = self.requests.get_mut(attempt.ticket);
        let out = open
            .and_then(|open| open.outstanding.as_mut())
            .filter(|out| out.number == attempt.number && out.given_up.is_none());
        let Some(out) = out else {
            return;
        };
        out.given_up = Some(outcome);
        let begun = out.begun;
        self.commands
            .push(Command::GiveUp(attempt, out.sending.server));
        if !begun {
            self.ended(now, attempt, Outcome::Moot.into());
        }
    }
}
