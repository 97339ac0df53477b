//! What goes out on a connection: attempts from its queue, aborts ahead of them, and health checks.

use super::connection::{QueuedAttempt, Stall};
use super::frames::{abort_frame, attempt_frame, health_check_frame};
use super::stream::{PendingEnd, SentAttempt, Stream};
use super::{UpstreamConnection, UpstreamEvent};
use crate::core::{AttemptId, AttemptResult, Core};
use crate::limits::Limits;
use crate::net::{Progress, TcpConnection};
use linnetknot::{Micros, Outcome};

impl UpstreamConnection {
    /// Queues an attempt. Nothing of it is written before the connection is up and takes its first byte, so an attempt
    /// that is given up or withdrawn until then never reaches the cache.
    pub fn enqueue(&mut self, now: Micros, attempt: AttemptId) {
        self.queue.push_back(QueuedAttempt {
            attempt,
            since: now,
        });
    }

    /// Writes a health check. False: the connection is not up or takes nothing now.
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

    /// Writes what the connection takes, aborts first, and reports the attempts that were given up once their aborts are
    /// written. False: the connection takes nothing more and must be closed.
    pub fn flush(
        &mut self,
        now: Micros,
        conn: &mut TcpConnection,
        core: &Core,
        limits: &Limits,
        events: &mut Vec<UpstreamEvent>,
    ) -> bool {
        if !conn.up {
            self.end_overdue(now, limits, events);
        }
        if conn.write() == Progress::Broken || !self.start_frames(now, conn, core, limits, events) {
            return false;
        }
        self.report_aborted(now, conn.written, limits, events);
        // What comes behind an answer that stopped short would be taken for the rest of it: the connection is of no
        // further use, also for all else that is open on it.
        let deadline = self.partial_response_deadline(limits);
        if deadline.is_some_and(|at| at <= now) {
            return false;
        }
        !self.is_stalled_for_long(now, conn, limits)
    }

    /// Ends the attempts that have waited too long for the connection: they go on elsewhere in time, whether or not it
    /// comes up after all.
    fn end_overdue(&mut self, now: Micros, limits: &Limits, events: &mut Vec<UpstreamEvent>) {
        let is_overdue = |queued: &&QueuedAttempt| queued.since + limits.connect_timeout_us <= now;
        let overdue = self.queue.iter().take_while(is_overdue).count();
        for queued in self.queue.drain(..overdue) {
            let result = Outcome::Unreached.into();
            events.push(UpstreamEvent::AttemptFinished(queued.attempt, result));
        }
    }

    /// Reports the attempts that were given up and whose aborts were written long enough ago: an abort has a way to go,
    /// and a further attempt at a nearer cache must not overtake it.
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

    /// When the next attempt that was given up is reported.
    pub fn next_report_at(&self, limits: &Limits) -> Option<Micros> {
        let ends = self.streams.values().filter_map(Stream::pending_end);
        let earliest = ends.filter_map(|end| end.written_at).min();
        earliest.map(|at| at + limits.abort_transit_us)
    }

    /// Whether the other side has taken no bytes for too long: it would keep what is given up here from ever being over.
    fn is_stalled_for_long(&mut self, now: Micros, conn: &TcpConnection, limits: &Limits) -> bool {
        if !conn.is_waiting_to_write() {
            self.stall = None;
            return false;
        }
        let known = self.stall.filter(|stall| stall.written == conn.written);
        let stall = known.unwrap_or(Stall {
            written: conn.written,
            since: now,
        });
        self.stall = Some(stall);
        now - stall.since >= limits.write_stall_timeout_us
    }

    /// Starts one frame after the other while the socket takes all of each. False: the connection is broken.
    fn start_frames(
        &mut self,
        now: Micros,
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
                self.start_attempt(now, conn, core, limits, attempt, events)
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

    /// Starts the abort at the head of its queue, and takes it out there if the socket takes it.
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

    /// Starts the attempt at the head of the queue, and takes it out there if the socket takes it. One that may not
    /// start any more ends.
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

    /// Gives an attempt up: takes it out of the queue, or sends its cache an abort, ahead of all that has not started.
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
        self.suspect |= self.last_received < sent_at && self.last_received + self.suspect_us < now;
        self.queue_abort(now, id, attempt, Outcome::Cancelled.into());
    }

    /// Queues the abort of an attempt, whose end is reported in this way once the abort is on its way.
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

/// How many bytes are written once all of the output is.
fn end_of_output(conn: &TcpConnection) -> u64 {
    conn.written + conn.output.len() as u64
}
