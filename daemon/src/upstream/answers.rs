//! Reading the answers that come in on a connection.

use super::frames::{load_report, result_of};
use super::stream::{made_ms, Stream};
use super::{UpstreamConnection, UpstreamEvent};
use crate::core::{AttemptResult, Core};
use crate::net::TcpConnection;
use crate::wire::{Parser, WireError};
use linnetknot::{Micros, Outcome};

/// An answer as it was read.
pub(super) struct Answer {
    id: String,
    pub(super) status: Vec<u8>,
    pub(super) fields: Vec<u8>,
    pub(super) body: Vec<u8>,
}

impl Answer {
    /// An answer from the items of its frame; none where its id is no text.
    fn new(items: Vec<Vec<u8>>) -> Result<Option<Self>, WireError> {
        let mut items = items.into_iter();
        let (Some(id), Some(status)) = (items.next(), items.next()) else {
            return Err(WireError::Malformed("a cache's answer"));
        };
        let fields = items.next().unwrap_or_default();
        let body = items.next().unwrap_or_default();
        let Ok(id) = String::from_utf8(id) else {
            return Ok(None);
        };
        Ok(Some(Answer {
            id,
            status,
            fields,
            body,
        }))
    }
}

impl UpstreamConnection {
    /// Reads all that has come in.
    ///
    /// # Errors
    /// What came can't be read: the connection must be closed.
    pub fn read(
        &mut self,
        now: Micros,
        conn: &mut TcpConnection,
        core: &Core,
        events: &mut Vec<UpstreamEvent>,
    ) -> Result<(), WireError> {
        while !conn.input.is_empty() {
            let (consumed, items) = self.arrays.parse(conn.input.front())?;
            conn.input.consume(consumed);
            let since = self.partial_since.filter(|_| items.is_none());
            let is_partial = self.arrays.is_partial();
            self.partial_since = is_partial.then_some(since.unwrap_or(now));
            self.last_received = now;
            self.last_used = now;
            self.suspect = false;
            let Some(items) = items else { continue };
            let Some(answer) = Answer::new(items)? else {
                continue;
            };
            self.take_answer(now, conn.written, core, answer, events)?;
        }
        Ok(())
    }

    /// Takes an answer to what is open under its id, when so many bytes have been written to the connection.
    fn take_answer(
        &mut self,
        now: Micros,
        written: u64,
        core: &Core,
        answer: Answer,
        events: &mut Vec<UpstreamEvent>,
    ) -> Result<(), WireError> {
        match self.streams.get(&answer.id) {
            Some(Stream::Attempt(sent)) if sent.end_offset > written => {
                // Nobody can have read what it answers: whatever speaks there, it is not the protocol.
                return Err(WireError::Malformed(
                    "a cache's answer to what has not been sent in full",
                ));
            }
            Some(Stream::Attempt(_)) => self.answer_attempt(now, core, answer, events),
            Some(Stream::Aborted {
                pending: Some(_), ..
            }) => self.answer_aborted(core, answer, events),
            Some(Stream::HealthCheck { sent_at }) => {
                let took_us = now.saturating_sub(*sent_at);
                events.push(health_check_result(&answer, took_us));
                self.streams.remove(&answer.id);
            }
            Some(Stream::Aborted { pending: None, .. } | Stream::Answered { .. }) | None => {
                log::debug!("a cache answered what is not open");
            }
        }
        Ok(())
    }

    /// Takes the answer to an attempt.
    fn answer_attempt(
        &mut self,
        now: Micros,
        core: &Core,
        answer: Answer,
        events: &mut Vec<UpstreamEvent>,
    ) {
        let Some(Stream::Attempt(sent)) = self.streams.get_mut(&answer.id) else {
            return;
        };
        let attempt = sent.attempt;
        let is_too_old = sent.is_too_old(&answer.fields);
        if let Some(made_us) = made_ms(&answer.fields).and_then(|ms| ms.checked_mul(1000)) {
            events.push(UpstreamEvent::OriginDate(made_us));
        }
        // The answer to the attempt before may have crossed its abort: which of the two this one ends is unknown.
        let is_ambiguous = std::mem::take(&mut sent.follows_abort);
        if is_too_old && is_ambiguous {
            log::info!("an answer from before the attempt that it would end was passed over");
            return;
        }
        let id = answer.id.clone();
        let result = if is_too_old {
            log::warn!("a cache gave a copy older than the request allows");
            AttemptResult::from(Outcome::Error)
        } else {
            let request = core.dispatch(attempt).map(|dispatch| dispatch.request);
            result_of(answer, request)
        };
        if result.outcome == Outcome::Ok {
            self.streams.remove(&id);
        } else if is_ambiguous {
            // What is still out must be over before a further attempt begins.
            self.queue_abort(now, id, attempt, result);
            return;
        } else {
            self.streams.insert(id, Stream::Answered { at: now });
        }
        events.push(UpstreamEvent::AttemptFinished(attempt, result));
    }

    /// Takes the answer to an attempt that was given up. It came before the attempt was over: then this is how it ended.
    fn answer_aborted(&mut self, core: &Core, answer: Answer, events: &mut Vec<UpstreamEvent>) {
        let Some(Stream::Aborted { at, pending }) = self.streams.get_mut(&answer.id) else {
            return;
        };
        let at = *at;
        let Some(end) = pending.take() else {
            return;
        };
        let id = answer.id.clone();
        let request = core.dispatch(end.attempt).map(|dispatch| dispatch.request);
        let result = result_of(answer, request);
        events.push(UpstreamEvent::AttemptFinished(end.attempt, result));
        if end.end_offset.is_none() {
            self.aborts.retain(|abort| *abort != id);
            self.streams.insert(id, Stream::Answered { at });
        }
    }
}

/// The end of a health check by its answer.
fn health_check_result(answer: &Answer, took_us: Micros) -> UpstreamEvent {
    let is_alive = matches!(answer.status.as_slice(), b"alive" | b"status" | b"200");
    UpstreamEvent::HealthCheckFinished {
        outcome: if is_alive {
            Outcome::Ok
        } else {
            Outcome::Error
        },
        took_us,
        load: load_report(&answer.fields),
    }
}
