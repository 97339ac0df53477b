//! Withdrawal of attempts, removal of finished streams, and the loss of a connection.

use super::connection::QueuedAttempt;
use super::stream::Stream;
use super::{UpstreamConnection, UpstreamEvent};
use crate::core::{AttemptId, Core};
use crate::limits::Limits;
use linnetknot::{Micros, Outcome, ServerId};

impl UpstreamConnection {
    /// Returns when the connection is to be checked next: when an attempt or the connection exceeds a time limit, a
    /// cancelled attempt is reported, or a finished stream is removed.
    pub fn next_check_at(&mut self, now: Micros, is_up: bool, limits: &Limits) -> Option<Micros> {
        let stall = self.stall.as_ref();
        let first_queued = self.queue.front().filter(|_| !is_up);
        [
            self.next_report_at(limits),
            self.partial_response_deadline(limits),
            stall.map(|stall| stall.since + limits.write_stall_timeout_us),
            first_queued.map(|queued| queued.since + limits.connect_timeout_us),
            self.next_removal_at(now, limits).or(self.next_removal),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Returns when the oldest finished stream is to be removed. Returns `None` while the time returned by an earlier
    /// call is in the future, so that a connection has at most one such deadline.
    pub fn next_removal_at(&mut self, now: Micros, limits: &Limits) -> Option<Micros> {
        if self.next_removal.is_some_and(|at| at > now) {
            return None;
        }
        let finished = self.streams.values().filter_map(Stream::finished_at);
        self.next_removal = finished
            .min()
            .map(|at| at + limits.finished_stream_retention_us + 1);
        self.next_removal
    }

    /// Removes the streams that finished more than `finished_stream_retention_us` ago.
    pub fn remove_finished(&mut self, now: Micros, limits: &Limits) {
        self.streams.retain(|_, stream| {
            stream
                .finished_at()
                .is_none_or(|at| at + limits.finished_stream_retention_us >= now)
        });
    }

    /// Withdraws the queued attempts that would be sent to this cache or filled from it.
    pub fn withdraw(&mut self, server: ServerId, core: &Core, events: &mut Vec<UpstreamEvent>) {
        let own_server = self.server;
        let is_affected = |queued: &QueuedAttempt| {
            let source = core
                .dispatch(queued.attempt)
                .and_then(|dispatch| dispatch.target.fill)
                .map(|fill| fill.source);
            own_server == server || source == Some(server)
        };
        self.queue.retain(|queued| {
            let is_withdrawn = is_affected(queued);
            if is_withdrawn {
                let result = Outcome::Moot.into();
                events.push(UpstreamEvent::AttemptFinished(queued.attempt, result));
            }
            !is_withdrawn
        });
    }

    /// Removes and returns the queued attempts, to be sent on another connection.
    pub fn drain_queue(&mut self) -> Vec<AttemptId> {
        self.queue.drain(..).map(|queued| queued.attempt).collect()
    }

    /// Ends all attempts after the connection was lost. `written` is the number of bytes written on the connection.
    /// Attempts that were not written in full can't have been executed and end with the outcome `unsent`; the others
    /// may have been executed and end with `Outcome::Reset`.
    pub fn connection_lost(
        &mut self,
        unsent: Outcome,
        written: u64,
        events: &mut Vec<UpstreamEvent>,
    ) {
        for queued in self.queue.drain(..) {
            events.push(UpstreamEvent::AttemptFinished(
                queued.attempt,
                unsent.into(),
            ));
        }
        let mut streams: Vec<_> = self.streams.drain().collect();
        streams.sort_by(|a, b| a.0.cmp(&b.0));
        for (_, stream) in streams {
            events.extend(lost_stream(stream, unsent, written));
        }
    }
}

/// Returns the event for a stream whose connection was lost; `None` if the end of the stream was already reported.
fn lost_stream(stream: Stream, unsent: Outcome, written: u64) -> Option<UpstreamEvent> {
    match stream {
        Stream::Attempt(sent) => {
            let is_unsent = sent.end_offset > written;
            let outcome = if is_unsent { unsent } else { Outcome::Reset };
            Some(UpstreamEvent::AttemptFinished(sent.attempt, outcome.into()))
        }
        Stream::Aborted { pending, .. } => {
            let end = pending?;
            Some(UpstreamEvent::AttemptFinished(end.attempt, end.result))
        }
        Stream::Answered { .. } => None,
        Stream::HealthCheck { .. } => Some(UpstreamEvent::HealthCheckFinished {
            outcome: Outcome::Reset,
            took_us: 0,
            load: None,
        }),
    }
}
