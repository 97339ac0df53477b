//! The life of a request: its admission, the client that goes, its deadline and its final answer.

use super::request_table::OpenRequest;
use super::{Answer, AttemptId, Client, ClientRequest, Command, Core, RequestKey, Wake, TRACE};
use linnetknot::{Event, Micros, Outcome, Request};

impl Core {
    /// Admits a request. None where the front has to reject it: the table is full, the request has the id of an open
    /// one, which a cache would take for the same, or its class needs an idempotency key and it has none.
    pub fn admit(
        &mut self,
        now: Micros,
        client: Client,
        mut request: ClientRequest,
    ) -> Option<RequestKey> {
        let lacks_key =
            request.idempotency_key.is_none() && self.keyed_classes.contains(&request.class);
        if lacks_key || !self.requests.admits(&request) {
            return None;
        }
        request.remaining_us = self.time_for(now, &request);
        let deadline = now + request.remaining_us;
        let mut event = decision_request(&request);
        let key = self.requests.insert(OpenRequest {
            client,
            request,
            deadline,
            attempts: 0,
            outstanding: None,
            answered: false,
        })?;
        self.counters.admitted += 1;
        self.commands
            .push(Command::Wake(deadline, Wake::Request(key)));
        event.id = key.to_u64();
        self.drive(now, Event::Request(event));
        Some(key)
    }

    /// How long a request may be open.
    fn time_for(&self, now: Micros, request: &ClientRequest) -> Micros {
        request
            .remaining_us
            .min(self.max_request_us)
            .min(self.shutdown_deadline.saturating_sub(now))
            .saturating_sub(self.response_margin_us)
    }

    /// Sets the time by which all requests are answered, those that are open and those to come: the process may be
    /// killed a little later.
    pub fn set_shutdown_deadline(&mut self, at: Micros) {
        self.shutdown_deadline = at;
        for key in self.requests.keys() {
            let Some(open) = self.requests.get_mut(key) else {
                continue;
            };
            if open.deadline > at {
                open.deadline = at;
                self.commands.push(Command::Wake(at, Wake::Request(key)));
            }
        }
    }

    /// The client has gone: no answer is owed to it any more.
    pub fn client_gone(&mut self, now: Micros, key: RequestKey) {
        let Some(open) = self.requests.unanswered_mut(key) else {
            return;
        };
        open.answered = true;
        self.counters.abandoned += 1;
        let unsent = open
            .outstanding
            .as_ref()
            .filter(|attempt| !attempt.started)
            .map(|attempt| attempt.number);
        if let Some(number) = unsent {
            // Whether or not the settings let attempts be cancelled: this one can still be kept from being made.
            self.cancel(
                now,
                AttemptId {
                    request: key,
                    number,
                },
                Outcome::Moot,
            );
        }
        self.forget_client(now, key);
    }

    /// Tells the decision module that no answer is owed to a request any more.
    fn forget_client(&mut self, now: Micros, key: RequestKey) {
        let request = key.to_u64();
        self.drive(now, Event::ClientLeft { request });
        self.requests.release_if_finished(key);
    }

    /// A request has reached its deadline: the attempt that is out has timed out, and the decision module has the last
    /// word, which can't be a further attempt.
    pub(super) fn expire(&mut self, now: Micros, key: RequestKey) {
        let Some(open) = self.requests.unanswered(key) else {
            return;
        };
        if let Some(out) = &open.outstanding {
            let number = out.number;
            let attempt = AttemptId {
                request: key,
                number,
            };
            if out.cancelled.is_none() {
                let server = out.target.server;
                self.commands.push(Command::Cancel(attempt, server));
            }
            let outcome = if out.started {
                Outcome::Timeout
            } else {
                Outcome::Moot
            };
            self.attempt_finished(now, attempt, outcome.into());
        }
        if self.requests.unanswered(key).is_some() {
            // Guards the invariant of one answer against a decision module that holds a request past its end.
            log::warn!("a request was still unanswered at its deadline");
            self.finish(now, key, Answer::Failed);
            self.forget_client(now, key);
        }
    }

    /// Gives the final answer. No other place does: a request that has its answer gets no second one.
    pub(super) fn finish(&mut self, now: Micros, key: RequestKey, answer: Answer) {
        let Some(open) = self.requests.unanswered_mut(key) else {
            return;
        };
        open.answered = true;
        log::debug!(
            target: TRACE,
            request = open.request.id.as_str(),
            class = open.request.class.as_str(),
            kb = open.request.size_kb,
            attempts = open.attempts,
            left_us = open.deadline.saturating_sub(now),
            of_us = open.request.remaining_us,
            answer = answer.name();
            "a request is answered"
        );
        match answer {
            Answer::Served(_) => self.counters.served += 1,
            Answer::Rejected { .. } => self.counters.rejected += 1,
            Answer::Failed => self.counters.failed += 1,
        }
        self.commands.push(Command::Answer(open.client, answer));
    }
}

/// A request as the decision module takes it, its id still to be given.
fn decision_request(request: &ClientRequest) -> Request {
    Request {
        id: 0,
        class: request.class.clone(),
        tenant: None,
        object: request.object.clone(),
        part: request.part,
        group: request.group,
        size_kb: request.size_kb,
        remaining_us: request.remaining_us,
        is_retry: false,
    }
}
