//! Reads the responses that arrive on a connection.

use super::frames::{load_report, result_of};
use super::stream::{made_ms, Stream};
use super::{UpstreamConnection, UpstreamEvent};
use crate::core::{AttemptResult, Core};
use crate::net::TcpConnection;
use crate::wire::{Parser, WireError};
use linnetknot::{Micros, Outcome};

/// A parsed response of a cache server. Its id states to which stream of the connection it belongs.
pub(super) struct CacheResponse {
    id: String,
    pub(super) status: Vec<u8>,
    pub(super) fields: Vec<u8>,
    pub(super) body: Vec<u8>,
}

impl CacheResponse {
    /// Parses a response from the items of its RESP array; `None` if the id of the response is not UTF-8.
    fn new(items: Vec<Vec<u8>>) -> Result<Option<Self>, WireError> {
        let mut items = items.into_iter();
        let (Some(id), Some(status)) = (items.next(), items.next()) else {
            return Err(WireError::Malformed("the response of a cache"));
        };
        let fields = items.next().unwrap_or_default();
        let body = items.next().unwrap_or_default();
        let Ok(id) = String::from_utf8(id) else {
            return Ok(None);
        };
        Ok(Some(CacheResponse {
            id,
            status,
            fields,
            body,
        }))
    }
}

impl UpstreamConnection {
    /// Parses and processes all responses in the received bytes.
    ///
    /// # Errors
    /// Fails on malformed input, after which the connection must be closed.
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
            let Some(items) = items else { continue };
            self.last_response = now;
            self.suspect = false;
            let Some(response) = CacheResponse::new(items)? else {
                continue;
            };
            self.process_response(now, conn.written, core, response, events)?;
        }
        Ok(())
    }

    /// Processes a response: the stream with the same id is answered. `written` is the number of bytes written to the
    /// connection so far.
    fn process_response(
        &mut self,
        now: Micros,
        written: u64,
        core: &Core,
        response: CacheResponse,
        events: &mut Vec<UpstreamEvent>,
    ) -> Result<(), WireError> {
        match self.streams.get(&response.id) {
            Some(Stream::Attempt(sent)) if sent.end_offset > written => {
                // The request is not written completely yet, so the response violates the protocol.
                return Err(WireError::Malformed("a response to an incomplete request"));
            }
            Some(Stream::Attempt(_)) => self.process_attempt_response(now, core, response, events),
            Some(Stream::Aborted {
                pending: Some(_), ..
            }) => self.process_aborted_response(core, response, events),
            Some(Stream::HealthCheck { sent_at }) => {
                let took_us = now.saturating_sub(*sent_at);
                events.push(health_check_result(&response, took_us));
                self.streams.remove(&response.id);
            }
            Some(Stream::Aborted { pending: None, .. } | Stream::Answered { .. }) | None => {
                log::debug!("a cache responded to an unknown id");
            }
        }
        Ok(())
    }

    /// Processes the response to an attempt.
    fn process_attempt_response(
        &mut self,
        now: Micros,
        core: &Core,
        response: CacheResponse,
        events: &mut Vec<UpstreamEvent>,
    ) {
        let Some(Stream::Attempt(sent)) = self.streams.get_mut(&response.id) else {
            return;
        };
        let attempt = sent.attempt;
        let is_too_old = sent.is_too_old(&response.fields);
        if let Some(made_us) = made_ms(&response.fields).and_then(|ms| ms.checked_mul(1000)) {
            events.push(UpstreamEvent::OriginDate(made_us));
        }
        // An earlier attempt with this id was aborted on this connection, and the response may belong to that attempt.
        let is_ambiguous = std::mem::take(&mut sent.follows_abort);
        if is_too_old && is_ambiguous {
            log::info!("response to an aborted attempt ignored");
            return;
        }
        let id = response.id.clone();
        let result = if is_too_old {
            log::warn!("a cache served a copy older than the request allows, so the attempt fails");
            AttemptResult::from(Outcome::Error)
        } else {
            let request = core.dispatch(attempt).map(|dispatch| dispatch.request);
            result_of(response, request)
        };
        if result.outcome == Outcome::Ok {
            self.streams.remove(&id);
        } else if is_ambiguous {
            // The current attempt is aborted, so that it has ended before another attempt of the request starts.
            self.queue_abort(now, id, attempt, result);
            return;
        } else {
            self.streams.insert(id, Stream::Answered { at: now });
        }
        events.push(UpstreamEvent::AttemptFinished(attempt, result));
    }

    /// Processes the response to an aborted attempt. The cache responded before the abort took effect, so the response
    /// is reported as the result of the attempt.
    fn process_aborted_response(
        &mut self,
        core: &Core,
        response: CacheResponse,
        events: &mut Vec<UpstreamEvent>,
    ) {
        let Some(Stream::Aborted { at, pending }) = self.streams.get_mut(&response.id) else {
            return;
        };
        let at = *at;
        let Some(end) = pending.take() else {
            return;
        };
        let id = response.id.clone();
        let request = core.dispatch(end.attempt).map(|dispatch| dispatch.request);
        let result = result_of(response, request);
        events.push(UpstreamEvent::AttemptFinished(end.attempt, result));
        if end.end_offset.is_none() {
            self.aborts.retain(|abort| *abort != id);
            self.streams.insert(id, Stream::Answered { at });
        }
    }
}

/// Returns the result of a health check.
fn health_check_result(response: &CacheResponse, took_us: Micros) -> UpstreamEvent {
    let is_alive = matches!(response.status.as_slice(), b"alive" | b"status" | b"200");
    UpstreamEvent::HealthCheckFinished {
        outcome: if is_alive {
            Outcome::Ok
        } else {
            Outcome::Error
        },
        took_us,
        load: load_report(&response.fields),
    }
}
