//! What clients ask on the platform's front, and what they are answered.

use crate::core::{Answer, Client, ClientRequest};
use crate::daemon::{Connection, Daemon, Kind};
use crate::front::fastcgi::{Input, Session};
use crate::net::{Key, Progress};
use crate::wire::WireError;
use linnetknot::Micros;
use linnetknot_admin_api::DrainState;

impl Daemon {
    /// The session of a client's connection.
    fn client_session(&mut self, key: Key) -> Option<&mut Session> {
        match &mut self.connections.get_mut(key)?.kind {
            Kind::Client(session) => Some(session),
            _ => None,
        }
    }

    /// Takes in what a client's connection asks. False: its client has gone, and of what it sent before nothing begins.
    pub(in crate::daemon) fn read_client(
        &mut self,
        now: Micros,
        key: Key,
    ) -> Result<bool, WireError> {
        Ok(self.receive_requests(key)? && self.take_inputs(now, key))
    }

    /// Reads what has come. False: the client has gone.
    fn receive_requests(&mut self, key: Key) -> Result<bool, WireError> {
        for _ in 0..self.limits.client_reads {
            let Some(c) = self.connections.get_mut(key) else {
                return Ok(false);
            };
            let Kind::Client(session) = &mut c.kind else {
                return Ok(true);
            };
            match c.conn.read(false) {
                Progress::Moved => match session.read(&mut c.conn.input, &self.limits) {
                    Err(e) if session.has_unanswered_requests() => {
                        log::debug!("a connection is read no further: {e}");
                        session.stop_reading();
                    }
                    read => read?,
                },
                Progress::Blocked => break,
                Progress::Ended | Progress::Broken => return Ok(false),
            }
        }
        Ok(true)
    }

    /// Takes up what was read. False: the connection was closed meanwhile.
    fn take_inputs(&mut self, now: Micros, key: Key) -> bool {
        loop {
            let Some(c) = self.connections.get_mut(key) else {
                return false;
            };
            let Kind::Client(session) = &mut c.kind else {
                return true;
            };
            let Some((input, is_first)) = session.next_input() else {
                return true;
            };
            match input {
                Input::ClientGone(ticket) => self.core.client_gone(now, ticket),
                Input::HealthCheck(stream) => self.answer_health_check(key, stream),
                Input::Request(stream, asked) => {
                    self.take_request(now, key, stream, asked, is_first);
                }
            }
            // Answers given at once belong to requests that are already known as taken.
            self.settle(now);
        }
    }

    fn answer_health_check(&mut self, key: Key, stream: u16) {
        let is_ready = self.core.is_ready() && !self.is_stopping() && self.ops.in_service();
        let status = if is_ready {
            "200 OK"
        } else {
            "503 Service Unavailable"
        };
        if let Some(session) = self.client_session(key) {
            session.answer_status(stream, status);
        }
    }

    /// Has the core take a request, or rejects it.
    fn take_request(
        &mut self,
        now: Micros,
        key: Key,
        stream: u16,
        mut asked: ClientRequest,
        is_first: bool,
    ) {
        // A client counts its time from when it sent the request.
        let unread = self.turn.waited_unread(now);
        asked.remaining_us = asked.remaining_us.saturating_sub(unread);
        let client = Client {
            connection: key,
            stream: u32::from(stream),
        };
        let ticket = if self.is_shed(now, key, is_first) {
            None
        } else {
            self.core.admit(now, client, asked)
        };
        let wait_us = Some(self.limits.back_off_us);
        let Some(session) = self.client_session(key) else {
            return;
        };
        match ticket {
            Some(ticket) => session.admitted(stream, ticket),
            None => session.answer(
                stream,
                &Answer::Rejected {
                    retry_after_us: wait_us,
                },
            ),
        }
    }

    /// Whether a request that was just read is rejected before the core sees it.
    fn is_shed(&self, now: Micros, key: Key, is_first: bool) -> bool {
        let Some(Kind::Client(session)) = self.connections.get(key).map(|c| &c.kind) else {
            return false;
        };
        let is_slow = self.waiting_answers > self.limits.waiting_answers;
        // One client's flood must leave capacity for the requests of the others.
        let is_flood = !self
            .limits
            .admits(session.unanswered(), self.core.is_half_full());
        is_slow || is_flood || self.is_too_late(now, session, is_first)
    }

    /// Whether a connection that is to close takes no further request. It takes none while it is busy, or late in a drain
    /// or an end: it would never come to idle, and what it held would be cut when the process ends or the drain is over.
    /// The front sends what is rejected to another proxy.
    fn is_too_late(&self, now: Micros, session: &Session, is_first: bool) -> bool {
        let last_taken = |since| since + self.limits.drain_last_taken_us;
        let is_late_drain = matches!(self.ops.drain_state(), DrainState::Draining(since) if now > last_taken(since));
        let is_late = self.is_stopping() || is_late_drain;
        // What is owed counts this request.
        let is_busy = session.unanswered() > 1;
        // The first request of a connection was sent before the front could know that this one ends.
        session.is_closing() && (is_busy || is_late && !is_first)
    }

    /// Gives a client the answer to one of its requests.
    pub(in crate::daemon) fn answer(&mut self, now: Micros, client: Client, answer: Answer) {
        let Some(c) = self.connections.get_mut(client.connection) else {
            return;
        };
        // It may rest from now on: its next request may be on its way, so that it must not make room at once.
        c.since = now;
        match &mut c.kind {
            Kind::Client(session) => {
                session.answer(client.stream as u16, &answer);
                self.write_client(client.connection);
            }
            Kind::Cdni(_) => self.answer_cdni(now, client.connection, answer),
            _ => {}
        }
    }

    /// Ends a client's connection that writing has shown to be broken: its client has gone.
    pub(in crate::daemon) fn close_if_broken(&mut self, now: Micros, key: Key) {
        let client = |c: &Connection| c.kind.is_client() && c.conn.is_broken();
        if self.connections.get(key).is_some_and(client) {
            self.close(now, key);
        }
    }

    pub(in crate::daemon) fn write_client(&mut self, key: Key) {
        let Some(c) = self.connections.get_mut(key) else {
            return;
        };
        let Kind::Client(session) = &mut c.kind else {
            return;
        };
        loop {
            session.write(&mut c.conn.output);
            if c.conn.write() != Progress::Moved {
                break;
            }
        }
        let before = std::mem::replace(&mut c.waiting, session.pending_output());
        self.waiting_answers = self.waiting_answers + c.waiting - before;
    }
}
