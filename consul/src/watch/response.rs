//! Handles the result of a call: failures, unusable responses, and valid responses, after which queries are
//! rate-limited.

use super::reader::{ListContent, ReaderContext};
use super::{
    Consistency, FailedCall, Query, Watch, WatchEvent, WatchUpdate, MAX_QUERY_GAP_US,
    MIN_QUERY_GAP_US,
};
use crate::error::CallError;
use crate::http::{Response, TransportError};
use linnetknot::Micros;
use linnetknot_discovery::Evidence;

/// Maximum average rate at which responses are parsed. Parsing delays client requests.
const MAX_PARSE_BYTES_PER_US: u64 = 40;
/// Maximum `Retry-After` that is honoured.
const MAX_RETRY_AFTER_US: Micros = 60_000_000;
/// Duration for which queries go to the leader after a stale response exceeded the limit.
const LEADER_READ_PERIOD_US: Micros = 30_000_000;
/// Maximum number of doublings of the gap between queries.
const MAX_GAP_DOUBLINGS: u32 = 6;
const US_PER_S: Micros = 1_000_000;
const US_PER_MS: Micros = 1_000;

/// A response with a valid list.
struct Received<'r, 'b> {
    response: &'r Response<'b>,
    sent_at: Micros,
    /// Length of the response body in bytes.
    bytes: u64,
    content: ListContent,
}

impl Watch {
    /// Handles the failure of the call in flight.
    pub fn on_failure(&mut self, now: Micros, error: TransportError) -> WatchUpdate {
        if error == TransportError::TimedOut {
            self.cut_offs_mut().record();
        }
        self.handle_failure(now, error.into(), 0)
    }

    /// Parses a part of the body of a response with status 200. The parsed list is applied once the response is
    /// complete.
    pub fn on_body(&mut self, bytes: &[u8]) {
        self.reader.bytes += bytes.len() as u64;
        if self.pending_since.is_none() || self.reader.error.is_some() {
            return;
        }
        let context = ReaderContext {
            query: self.query,
            mapping: &self.mapping,
            endpoints: &self.endpoints,
            previous_reports: &self.reports_by_hash,
        };
        self.reader.push(bytes, &context);
    }

    /// Handles the response to the call in flight. Its body is the part that was not passed to
    /// [`on_body`](Self::on_body).
    pub fn on_response(&mut self, now: Micros, response: &Response<'_>) -> WatchUpdate {
        let Some(sent_at) = self.pending_since else {
            return WatchUpdate::default();
        };
        if response.status != 200 {
            return self.on_error_status(now, response);
        }
        let stale_allowed =
            self.options.consistency == Consistency::Stale && now >= self.leader_reads_until;
        if !stale_allowed && response.header("x-consul-knownleader") == Some("false") {
            return self.handle_failure(now, CallError::NoLeader, 0);
        }
        let last_contact_ms = response.header_number("x-consul-lastcontact").unwrap_or(0);
        let staleness_us = last_contact_ms.saturating_mul(US_PER_MS);
        if stale_allowed && staleness_us > self.options.max_stale_us {
            return self.on_stale_response(now, staleness_us);
        }
        self.on_body(response.body);
        self.pending_since = None;
        let reader = std::mem::take(&mut self.reader);
        let bytes = reader.bytes;
        match reader.finish() {
            Ok(content) => self.on_list(
                now,
                Received {
                    response,
                    sent_at,
                    bytes,
                    content,
                },
            ),
            Err(error) => self.handle_failure(now, error.into(), 0),
        }
    }

    fn on_error_status(&mut self, now: Micros, response: &Response<'_>) -> WatchUpdate {
        let (status, summary) = (response.status, response.error_summary());
        if matches!(status, 401 | 403) {
            return self.on_permission_denied(now, status, summary);
        }
        let retry_after_s = response.header_number("retry-after").unwrap_or(0);
        let min_delay = match retry_after_s.saturating_mul(US_PER_S) {
            0 => 0,
            us => us.min(MAX_RETRY_AFTER_US) + self.backoff.jitter(self.options.min_backoff_us),
        };
        self.handle_failure(now, CallError::Status { status, summary }, min_delay)
    }

    fn on_permission_denied(&mut self, now: Micros, status: u16, message: String) -> WatchUpdate {
        let agent = self.agent;
        let is_first = self.last_failure.is_none();
        let mut update = self.handle_failure(now, CallError::PermissionDenied { status }, 0);
        if is_first {
            let event = WatchEvent::PermissionDenied { agent, message };
            update.events.push(event);
        }
        update
    }

    /// Discards the response of a server that is too far behind the leader, and queries the leader for some time.
    fn on_stale_response(&mut self, now: Micros, staleness_us: Micros) -> WatchUpdate {
        self.pending_since = None;
        self.leader_reads_until = now + LEADER_READ_PERIOD_US;
        self.next_at = now + MIN_QUERY_GAP_US;
        WatchUpdate {
            events: vec![WatchEvent::StaleResponse(staleness_us)],
            ..WatchUpdate::default()
        }
    }

    /// Handles a call without a usable result: keeps the endpoint list, restarts the watch and selects the next agent.
    fn handle_failure(&mut self, now: Micros, error: CallError, min_delay: Micros) -> WatchUpdate {
        let mut update = WatchUpdate::default();
        self.pending_since = None;
        self.restart();
        let agent = self.agent;
        let failure = FailedCall { agent, error };
        if self.last_failure.as_ref() != Some(&failure) {
            let error = failure.error.clone();
            update.events.push(WatchEvent::QueryFailed { agent, error });
            self.last_failure = Some(failure);
        }
        let untried_agents = self.options.agents.saturating_sub(1);
        let is_first_pass = (self.backoff.failures() as usize) < untried_agents;
        let delay = self.backoff.next_delay();
        if self.options.agents > 1 {
            self.rotate_agent();
            self.primary_retry_at = now + self.backoff.jitter(self.options.primary_retry_us);
        }
        // The next agent is queried without backoff until all agents have failed.
        let delay = if is_first_pass {
            self.backoff.jitter(MIN_QUERY_GAP_US)
        } else {
            delay
        };
        self.next_at = now + delay.max(min_delay);
        update
    }

    /// Applies a complete list.
    fn on_list(&mut self, now: Micros, received: Received<'_, '_>) -> WatchUpdate {
        let mut update = WatchUpdate::default();
        if self.backoff.failures() > 0 {
            update.events.push(WatchEvent::Recovered {
                agent: self.agent,
                failures: self.backoff.failures(),
            });
        }
        self.backoff.reset();
        self.cut_offs_mut().reset();
        self.last_failure = None;
        let changes = match self.query {
            Query::Health => {
                let index = received.response.header_number("x-consul-index");
                self.apply_index(index.unwrap_or(0), &mut update);
                self.apply_health(received.content, &mut update)
            }
            Query::Catalog => self.apply_catalog(&received.content.registered, &mut update),
        };
        let changed = !changes.is_empty();
        if !std::mem::replace(&mut self.initialized, true) {
            update.evidence = Some(self.full_list());
        } else if changed {
            update.evidence = Some(Evidence::Delta(changes));
        }
        self.schedule_next(now, received.sent_at, changed, received.bytes);
        update
    }

    /// Schedules the next query after a response whose body had `bytes` bytes.
    fn schedule_next(&mut self, now: Micros, sent_at: Micros, changed: bool, bytes: u64) {
        self.unchanged = match changed {
            true => 0,
            false => self.unchanged.saturating_add(1),
        };
        let doublings = self.unchanged.saturating_sub(1).min(MAX_GAP_DOUBLINGS);
        let gap = (MIN_QUERY_GAP_US << doublings).min(MAX_QUERY_GAP_US);
        let gap = gap.max(bytes / MAX_PARSE_BYTES_PER_US);
        self.next_at = match self.query {
            Query::Catalog => now,
            // The gap is counted from when the query was sent, so that a query may follow a slow response immediately.
            Query::Health => now.max(sent_at + gap),
        };
    }
}
