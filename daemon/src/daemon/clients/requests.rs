//! Requests of clients on the FastCGI listener and their responses.

use crate::core::{AdmissionError, Answer, Client, ClientRequest};
use crate::daemon::turn::Turn;
use crate::daemon::{Connection, ConnectionKind, Daemon};
use crate::front::fastcgi::{Input, Session};
use crate::net::{Key, Progress};
use crate::wire::WireError;
use linnetknot::Micros;
use linnetknot_admin_api::DrainState;

impl Daemon {
    fn client_session(&mut self, key: Key) -> Option<&mut Session> {
        match &mut self.connections.get_mut(key)?.kind {
            ConnectionKind::Client(session) => Some(session),
            _ => None,
        }
    }

    /// Reads and processes the input of a client connection. Returns false if the client has disconnected; its
    /// buffered requests are dropped then.
    pub(in crate::daemon) fn read_client(
        &mut self,
        now: Micros,
        key: Key,
    ) -> Result<bool, WireError> {
        Ok(self.receive_requests(now, key)? && self.process_inputs(now, key))
    }

    /// Reads the available input. Returns false if the client has disconnected.
    fn receive_requests(&mut self, now: Micros, key: Key) -> Result<bool, WireError> {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.last_read_at = now;
            let arrived_since = self.turn.input_arrived_since(connection.unhandled_input);
            if let ConnectionKind::Client(session) = &mut connection.kind {
                session.set_bytes_arrived_since(arrived_since);
            }
        }
        let began = self.clock.now();
        for _ in 0..self.limits.max_reads_per_client {
            if self.clock.now() > began.saturating_add(self.limits.max_read_time_us) {
                // The input was costly. The rest stays in the socket until the other clients had their turn.
                break;
            }
            let Some(connection) = self.connections.get_mut(key) else {
                return Ok(false);
            };
            let ConnectionKind::Client(session) = &mut connection.kind else {
                return Ok(true);
            };
            match connection.conn.read(false) {
                Progress::Moved => match session.read(&mut connection.conn.input, &self.limits) {
                    Err(e) if session.has_unanswered_requests() => {
                        log::debug!("no longer reading a client connection: {e}");
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

    /// Reads the clients of the attempts that wait on a connection to a cache server, if they may have sent an abort that
    /// this turn has not read yet.
    pub(in crate::daemon) fn read_clients_of_queued_attempts(&mut self, now: Micros, key: Key) {
        for attempt in self.queued_attempts(key) {
            let Some(client) = self.core.client_of(attempt.request) else {
                continue;
            };
            if self.may_have_unread_abort(now, client.connection) {
                self.read_aborts(now, client.connection);
            }
        }
    }

    fn may_have_unread_abort(&self, now: Micros, key: Key) -> bool {
        self.connections.get(key).is_some_and(|connection| {
            let max_age_us = self.limits.max_unread_input_age_us;
            // Input that arrived during a long turn is not reported yet.
            let may_have_input = self.turn.current(connection.unhandled_input).is_some()
                || self.turn.age(now) > max_age_us;
            may_have_input && connection.last_read_at + max_age_us < now
        })
    }

    /// Reads the available input of a client and cancels the requests that the client has aborted. New requests remain
    /// queued.
    fn read_aborts(&mut self, now: Micros, key: Key) {
        if !matches!(self.receive_requests(now, key), Ok(true)) {
            return self.close(now, key);
        }
        while let Some(request) = self.client_session(key).and_then(Session::next_aborted) {
            self.core.client_gone(now, request);
        }
        // The event loop resumes the client, as epoll no longer reports what was read.
        self.update_unhandled_input(key);
        self.update_client_state(now, key);
    }

    /// Records that the input of a client was read. If received requests wait for a later step, the next turn resumes the
    /// client.
    pub(in crate::daemon) fn update_unhandled_input(&mut self, key: Key) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        connection.unhandled_input = None;
        if matches!(&connection.kind, ConnectionKind::Client(session) if session.has_inputs()) {
            self.unfinished_clients.push(key);
        }
    }

    /// Processes the parsed input, up to the limit of a step. Returns false if the connection was closed meanwhile.
    fn process_inputs(&mut self, now: Micros, key: Key) -> bool {
        for _ in 0..self.limits.max_requests_per_step {
            let Some(connection) = self.connections.get_mut(key) else {
                return false;
            };
            let ConnectionKind::Client(session) = &mut connection.kind else {
                return true;
            };
            let arrived_since = session.next_input_arrived_since().unwrap_or(now);
            let Some((input, is_first)) = session.next_input() else {
                return true;
            };
            match input {
                Input::ClientGone(request_key) => self.core.client_gone(now, request_key),
                Input::HealthCheck(stream) => self.answer_health_check(key, stream),
                Input::Request(stream, mut request) => {
                    // The client measures its time budget from when it sent the request.
                    let waited_us = Turn::delay_since(now, arrived_since);
                    request.remaining_us = request.remaining_us.saturating_sub(waited_us);
                    self.admit_request(now, key, stream, request, is_first);
                }
            }
            // The commands are executed after each input, so that the session has registered a request before its
            // response is queued.
            self.execute_commands(now);
        }
        self.connections.get(key).is_some()
    }

    fn answer_health_check(&mut self, key: Key, stream: u16) {
        let is_ready = self.can_serve() && self.admin_controller.in_service();
        let status = if is_ready {
            "200 OK"
        } else {
            "503 Service Unavailable"
        };
        if let Some(session) = self.client_session(key) {
            session.answer_status(stream, status);
        }
    }

    /// Admits a request to the core, or rejects it.
    fn admit_request(
        &mut self,
        now: Micros,
        key: Key,
        stream: u16,
        request: ClientRequest,
        is_first: bool,
    ) {
        let client = Client {
            connection: key,
            stream: u32::from(stream),
        };
        let admitted = if self.is_shed(now, key, is_first) {
            Err(AdmissionError::Rejected)
        } else {
            self.core.admit(now, client, request)
        };
        let retry_after_us = Some(self.limits.overload_retry_after_us);
        let Some(session) = self.client_session(key) else {
            return;
        };
        match admitted {
            Ok(request_key) => session.admitted(stream, request_key),
            Err(error) => session.answer(stream, &error.answer(retry_after_us)),
        }
    }

    /// Returns how long the input of a client may have waited before it is processed now; 0 if the delay is normal.
    pub(in crate::daemon) fn input_delay(&self, now: Micros, key: Key) -> Micros {
        let connection = self.connections.get(key);
        let earlier = connection.and_then(|connection| connection.unhandled_input);
        Turn::delay_since(now, self.turn.input_arrived_since(earlier))
    }

    /// Returns whether a request is rejected before it reaches the core.
    fn is_shed(&self, now: Micros, key: Key, is_first: bool) -> bool {
        let Some(ConnectionKind::Client(session)) =
            self.connections.get(key).map(|connection| &connection.kind)
        else {
            return false;
        };
        let is_output_full = self.total_unsent_bytes > self.limits.max_pending_response_bytes;
        // One client must not use up the request table at the expense of the others.
        let is_over_limit = !self
            .limits
            .admits(session.unanswered(), self.core.is_half_full());
        is_output_full || is_over_limit || self.refuses_while_closing(now, session, is_first)
    }

    /// Returns whether a connection that is closing rejects a new request. It does if it has other open requests, and
    /// late in a drain or shutdown: the connection would otherwise not become idle before it is closed, and its
    /// requests would be lost. Clients retry rejected requests at another proxy.
    fn refuses_while_closing(&self, now: Micros, session: &Session, is_first: bool) -> bool {
        let last_accepted = |since| since + self.limits.drain_accept_us;
        let is_late_drain = matches!(self.admin_controller.drain_state(), DrainState::Draining(since) if now > last_accepted(since));
        let is_late = self.is_stopping() || is_late_drain;
        // The number of open requests includes this request.
        let is_busy = session.unanswered() > 1;
        // The first request of a connection may have been sent before the client was notified that the proxy is closing
        // the connection.
        session.is_closing() && (is_busy || is_late && !is_first)
    }

    /// Sends the response to a request of a client.
    pub(in crate::daemon) fn respond(&mut self, now: Micros, client: Client, answer: Answer) {
        let Some(connection) = self.connections.get_mut(client.connection) else {
            return;
        };
        // The next request of the client may be in transit, so the connection must not be evicted immediately.
        connection.state_since = now;
        match &mut connection.kind {
            ConnectionKind::Client(session) => {
                session.answer(client.stream as u16, &answer);
                self.write_client(client.connection);
            }
            ConnectionKind::Cdni(_) => self.answer_cdni(now, client.connection, answer),
            _ => {}
        }
    }

    /// Closes a client connection whose output has failed.
    pub(in crate::daemon) fn close_if_broken(&mut self, now: Micros, key: Key) {
        let is_broken_client =
            |connection: &Connection| connection.kind.is_client() && connection.conn.is_broken();
        if self.connections.get(key).is_some_and(is_broken_client) {
            self.close(now, key);
        }
    }

    pub(in crate::daemon) fn write_client(&mut self, key: Key) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let ConnectionKind::Client(session) = &mut connection.kind else {
            return;
        };
        loop {
            session.write(&mut connection.conn.output);
            if connection.conn.write() != Progress::Moved {
                break;
            }
        }
        let before = std::mem::replace(&mut connection.unsent_bytes, session.pending_output());
        self.total_unsent_bytes = self.total_unsent_bytes + connection.unsent_bytes - before;
    }
}
