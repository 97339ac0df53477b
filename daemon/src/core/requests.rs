//! The life cycle of a request: its admission, the disconnect of its client, its deadline and its final answer.

use super::executed_ids::number;
use super::request_table::OpenRequest;
use super::{
    AdmissionError, Answer, AttemptId, Client, ClientRequest, Command, Core, RequestKey, Wake,
    TRACE,
};
use linnetknot::{Event, Micros, Outcome, Request};

impl Core {
    /// Admits a request.
    ///
    /// # Errors
    /// Fails if the caller has to answer the request: the table is full, the class requires an idempotency key and the
    /// request has none, an open request has the same id, or one that has ended and must not run again.
    pub fn admit(
        &mut self,
        now: Micros,
        client: Client,
        mut request: ClientRequest,
    ) -> Result<RequestKey, AdmissionError> {
        let lacks_key =
            request.idempotency_key.is_none() && self.keyed_classes.contains(&request.class);
        if lacks_key {
            return Err(AdmissionError::Rejected);
        }
        let is_idempotent = self.idempotent_classes.contains(&request.class);
        self.requests.check(now, &request, is_idempotent)?;
        request.remaining_us = self.time_for(now, &request);
        let deadline = now + request.remaining_us;
        let mut event = decision_request(&request);
        let open = OpenRequest {
            client,
            request,
            deadline,
            attempts: 0,
            outstanding: None,
            answered: false,
            is_idempotent,
            may_have_run: false,
            is_shared: false,
        };
        let key = self.requests.insert(open).ok_or(AdmissionError::Rejected)?;
        self.counters.admitted += 1;
        self.commands
            .push(Command::Wake(deadline, Wake::Request(key)));
        event.id = key.to_u64();
        self.drive(now, Event::Request(event));
        Ok(key)
    }

    /// Returns the client of an open request.
    pub fn client_of(&self, key: RequestKey) -> Option<Client> {
        self.requests.get(key).map(|open| open.client)
    }

    /// Returns the maximum duration for which a request may be open.
    fn time_for(&self, now: Micros, request: &ClientRequest) -> Micros {
        request
            .remaining_us
            .min(self.max_request_us)
            .min(self.shutdown_deadline.saturating_sub(now))
            .saturating_sub(self.response_margin_us)
    }

    /// Sets the time by which all current and future requests must be answered. The process may be killed soon after
    /// this time.
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

    /// Processes the disconnect of a client before the final answer. An unsent attempt is cancelled here; whether a
    /// sent one is cancelled is up to the decision module.
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
            // Unsent attempts are cancelled even if the settings do not allow cancellation.
            self.cancel(
                now,
                AttemptId {
                    request: key,
                    number,
                },
                Outcome::Moot,
            );
        }
        self.notify_client_left(now, key);
    }

    /// Notifies the decision module that the client of a request has disconnected.
    fn notify_client_left(&mut self, now: Micros, key: RequestKey) {
        let request = key.to_u64();
        self.drive(now, Event::ClientLeft { request });
        self.release_if_finished(now, key);
    }

    /// Processes the deadline of a request: the outstanding attempt times out, and the decision module gives the final
    /// answer without a further attempt.
    pub(super) fn expire(&mut self, now: Micros, key: RequestKey) {
        let Some(open) = self.requests.unanswered(key) else {
            return;
        };
        if let Some(outstanding) = &open.outstanding {
            let number = outstanding.number;
            let attempt = AttemptId {
                request: key,
                number,
            };
            if outstanding.cancelled.is_none() {
                let server = outstanding.target.server;
                self.commands.push(Command::Cancel(attempt, server));
            }
            let outcome = if outstanding.started {
                self.router.attempt_expired(key.to_u64(), number);
                Outcome::Timeout
            } else {
                Outcome::Moot
            };
            self.attempt_finished(now, attempt, outcome.into());
        }
        if self.requests.unanswered(key).is_some() {
            // If the decision module gave no final answer, the core gives one, so that every request is answered.
            log::warn!("the decision module gave no answer to a request by its deadline, so the request fails");
            self.finish(now, key, Answer::Failed);
            self.notify_client_left(now, key);
        }
    }

    /// Frees the slot of a request that is answered and has no outstanding attempt.
    pub(super) fn release_if_finished(&mut self, now: Micros, key: RequestKey) {
        let Some(open) = self.requests.release_if_finished(now, key) else {
            return;
        };
        if open.is_shared && !open.may_have_run {
            self.share_execution(&open.request.id, false);
        }
    }

    /// Tells the other process of this proxy whether a request that must not run twice may have run.
    pub(super) fn share_execution(&mut self, id: &str, may_have_run: bool) {
        if let Some(id) = number(id) {
            self.commands
                .push(Command::ShareExecution { id, may_have_run });
        }
    }

    /// Records that another process of this proxy may have run a request that must not run twice, or withdraws this.
    pub fn record_other_execution(&mut self, now: Micros, id: u64, may_have_run: bool) {
        self.requests.record_other_execution(now, id, may_have_run);
    }

    /// Sends the final answer to a request. All final answers are sent by this function, so a request gets at most one.
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
            "request answered"
        );
        match answer {
            Answer::Served(_) => self.counters.served += 1,
            Answer::Rejected { .. } => self.counters.rejected += 1,
            Answer::Failed => self.counters.failed += 1,
        }
        self.commands.push(Command::Answer(open.client, answer));
    }
}

/// Converts a client request to the request type of the decision module. Its id is not set.
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
