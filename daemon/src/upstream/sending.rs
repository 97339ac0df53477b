//! Writes the frames of a connection: attempts from its queue, aborts (ahead of queued attempts) and health checks.

use super::connection::{QueuedAttempt, Stall};
use super::frames::{abort_frame, attempt_frame, health_check_frame};
use super::stream::{PendingEnd, SentAttempt, Stream};
use super::{UpstreamConnection, UpstreamEvent};
use crate::core::{AttemptId, AttemptResult, Core};
use crate::limits::Limits;
use crate::net::{Progress, TcpConnection};
use linnetknot::{Micros, Outcome};

impl UpstreamConnection {
    /// Queues an attempt. It stays in the queue until the connection is established and the socket accepts its first
    /// byte. An attempt that is cancelled or withdrawn while queued never reaches the cache.
    pub fn enqueue(&mut self, now: Micros, attempt: AttemptId) {
        self.queue.push_back(QueuedAttempt {
            attempt,
            since: now,
        });
    }

    /// Sends a health check. Returns false if the connection is not established or can't be written at the moment.
    pub fn send_health_check(&mut self, now: Micros, conn: &mut TcpConnection) -> bool {
        let id = format!("probe-{}", self.health_checks);
        let frame = health_check_frame(&id);
        if !conn.up || conn.is_waiting_to_write() || conn.begin(&frame) != Progress::Moved {
            return false;
        }
        self.health_checks += 1;
        self.streams
            .insert(id, Stream::HealthCheck { sent_at: now });
        true
    }

    /// Writes as much as the connection accepts, aborts first. `now` is the time of the step. `clock` returns the current
    /// time: the process may be stopped at any point, and an attempt may only start if it still may at the time of its
    /// write. Reports the cancelled attempts whose aborts have been
    /// written and had time to arrive. Returns false if the connection must be closed.
    pub fn flush(
        &mut self,
        now: Micros,
        clock: &dyn Fn() -> Micros,
        conn: &mut TcpConnection,
        core: &Core,
        limits: &Limits,
        events: &mut Vec<UpstreamEvent>,
    ) -> bool {
        if !conn.up {
            self.end_overdue(now, limits, events);
        }
        if conn.write() == Progress::Broken || !self.start_frames(clock, conn, core, limits, events)
        {
            return false;
        }
        self.report_aborted(now, conn.written, limits, events);
        // After a truncated response, the start of the next response can't be determined, so the connection is unusable
        // for all its streams.
        let deadline = self.partial_response_deadline(limits);
        if deadline.is_some_and(|at| at <= now) {
            return false;
        }
        !self.is_stalled_for_long(now, conn, limits)
    }

    /// Ends the attempts that have been queued for longer than the connect timeout, so that the decision module can
    /// send them to another cache before their deadlines.
    fn end_overdue(&mut self, now: Micros, limits: &Limits, events: &mut Vec<UpstreamEvent>) {
        let is_overdue = |queued: &&QueuedAttempt| queued.since + limits.connect_timeout_us <= now;
        let overdue = self.queue.iter().take_while(is_overdue).count();
        for queued in self.queue.drain(..overdue) {
            let result = Outcome::Unreached.into();
            events.push(UpstreamEvent::AttemptFinished(queued.attempt, result));
        }
    }

    /// Reports the cancelled attempts whose aborts were written at least `abort_transit_us` ago. The delay ensures that
    /// the abort arrives before a further attempt that is sent to a nearer cache.
    fn report_aborted(
        &mut self,
        now: Micros,
        written: u64,
        limits: &Limits,
        events: &mut Vec<UpstreamEvent>,
    ) {
        let is_due = |end: &mut PendingEnd| {
            let is_written = end.end_offset.is_some_and(|offset| offset <= written);
            is_written && *end.written_at.get_or_insert(now) + limits.abort_transit_us <= now
        };
        for stream in self.streams.values_mut() {
            let Stream::Aborted { pending, .. } = stream else {
                continue;
            };
            if let Some(end) = pending.take_if(is_due) {
                events.push(UpstreamEvent::AttemptFinished(end.attempt, end.result));
            }
        }
    }

    /// Returns when the next cancelled attempt is reported.
    pub fn next_report_at(&self, limits: &Limits) -> Option<Micros> {
        let ends = self.streams.values().filter_map(Stream::pending_end);
        let earliest = ends.filter_map(|end| end.written_at).min();
        earliest.map(|at| at + limits.abort_transit_us)
    }

    /// Whether the peer has accepted no bytes for `write_stall_timeout_us`. Aborts can't be written then, so the
    /// connection must be closed to end cancelled attempts.
    fn is_stalled_for_long(&mut self, now: Micros, conn: &TcpConnection, limits: &Limits) -> bool {
        if !conn.is_waiting_to_write() {
            self.stall = None;
            return false;
        }
        let last_stall = self.stall.filter(|stall| stall.written == conn.written);
        let stall = last_stall.unwrap_or(Stall {
            written: conn.written,
            since: now,
        });
        self.stall = Some(stall);
        now - stall.since >= limits.write_stall_timeout_us
    }

    /// Writes queued frames until the socket does not accept a frame in full. Returns false if the connection is
    /// broken.
    fn start_frames(
        &mut self,
        clock: &dyn Fn() -> Micros,
        conn: &mut TcpConnection,
        core: &Core,
        limits: &Limits,
        events: &mut Vec<UpstreamEvent>,
    ) -> bool {
        conn.clear_blocked();
        while conn.up && conn.output.is_empty() {
            let progress = if let Some(id) = self.aborts.front().cloned() {
                self.start_abort(conn, &id)
            } else if let Some(attempt) = self.queue.front().map(|queued| queued.attempt) {
                self.start_attempt(clock(), conn, core, limits, attempt, events)
            } else {
                break;
            };
            match progress {
                Progress::Moved => {}
                end => return end != Progress::Broken,
            }
        }
        true
    }

    /// Starts to write the first queued abort, and removes it from the queue if the socket accepts at least its first
    /// byte.
    fn start_abort(&mut self, conn: &mut TcpConnection, id: &str) -> Progress {
        let progress = conn.begin(&abort_frame(id));
        if progress == Progress::Moved {
            let end_offset = end_of_output(conn);
            if let Some(Stream::Aborted {
                pending: Some(end), ..
            }) = self.streams.get_mut(id)
            {
                end.end_offset = Some(end_offset);
            }
            self.aborts.pop_front();
        }
        progress
    }

    /// Starts to write the first queued attempt, and removes it from the queue if the socket accepts at least its first
    /// byte. An attempt that may no longer start is ended instead.
    fn start_attempt(
        &mut self,
        now: Micros,
        conn: &mut TcpConnection,
        core: &Core,
        limits: &Limits,
        attempt: AttemptId,
        events: &mut Vec<UpstreamEvent>,
    ) -> Progress {
        let frame = attempt_frame(core, now, attempt);
        let frame = frame.filter(|frame| frame.bytes.len() <= limits.output_buffer_bytes);
        let Some((frame, dispatch)) = frame.zip(core.dispatch(attempt)) else {
            let result = Outcome::Moot.into();
            events.push(UpstreamEvent::AttemptFinished(attempt, result));
            self.queue.pop_front();
            return Progress::Moved;
        };
        let progress = conn.begin(&frame.bytes);
        if progress == Progress::Moved {
            let id = &dispatch.request.id;
            let sent = SentAttempt {
                attempt,
                at: now,
                origin_at: core.origin_time(now),
                end_offset: end_of_output(conn),
                max_age_us: frame.max_age_us,
                follows_abort: self.has_aborted(id),
            };
            self.streams.insert(id.clone(), Stream::Attempt(sent));
            self.last_used = now;
            events.push(UpstreamEvent::AttemptStarted(attempt));
            self.queue.pop_front();
        }
        progress
    }

    /// Cancels an attempt: removes it from the queue, or queues an abort ahead of all frames that have not started.
    pub fn abort(&mut self, now: Micros, attempt: AttemptId) {
        if let Some(at) = self.queue.iter().position(|q| q.attempt == attempt) {
            self.queue.remove(at);
            return;
        }
        let sent = self.streams.iter().find_map(|(id, stream)| match stream {
            Stream::Attempt(sent) if sent.attempt == attempt => Some((id.clone(), sent.at)),
            _ => None,
        });
        let Some((id, sent_at)) = sent else {
            return;
        };
        self.suspect |= self.last_response < sent_at && self.last_response + self.suspect_us < now;
        self.queue_abort(now, id, attempt, Outcome::Cancelled.into());
    }

    /// Queues the abort of an attempt. After the abort is written, the end of the attempt is reported with this result.
    pub(super) fn queue_abort(
        &mut self,
        now: Micros,
        id: String,
        attempt: AttemptId,
        result: AttemptResult,
    ) {
        let end = PendingEnd {
            attempt,
            result,
            end_offset: None,
            written_at: None,
        };
        self.aborts.push_back(id.clone());
        let stream = Stream::Aborted {
            at: now,
            pending: Some(end),
        };
        self.streams.insert(id, stream);
    }
}

/// Returns the offset on the connection at which the bytes in the output buffer end.
fn end_of_output(conn: &TcpConnection) -> u64 {
    conn.written + conn.output.len() as u64
}
