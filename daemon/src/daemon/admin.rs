//! The admin listener: accepts connections and executes the calls of operators.
//!
//! `linnetknot_admin_api` defines the calls and their effects on the operators' state (bans and drains). This module
//! transfers the bytes, closes client connections during a drain, and stores the state under `$TMPDIR`; `bans` applies
//! the bans to the endpoint lists of the sources. The admin listener has its own connection limit, and when it is reached, the
//! oldest connection is evicted. Neither idle connections nor clients can therefore exclude an operator.

use super::commits::OperatorDecision;
use super::{Connection, ConnectionKind, Daemon, Timer};
use crate::fleet;
use crate::net::{FailureKind, Key, TcpConnection};
use linnetknot::Micros;
use linnetknot_admin_api::state::IDLE_SWEEP_INTERVAL_US;
use linnetknot_admin_api::{Call, CallOutcome, DrainState, Effect, Parser, Reply};

/// The state of a connection to the admin listener.
pub(super) struct AdminSession {
    parser: Parser,
    /// Whether the reply is queued. The connection is closed once the reply is written.
    is_answered: bool,
    /// Whether the call is executed and its reply is sent later, once the log entry of the call is committed.
    awaits_commit: bool,
}

impl AdminSession {
    /// Returns whether the call is executed and its reply waits for the commit of its log entry.
    pub(super) fn awaits_commit(&self) -> bool {
        self.awaits_commit
    }

    /// Returns whether the reply is queued.
    pub(super) fn is_answered(&self) -> bool {
        self.is_answered
    }
}

impl Daemon {
    /// Accepts pending connections of the admin listener.
    pub(super) fn accept_admin(&mut self, now: Micros) {
        let mut has_evicted = false;
        // Bounded per step, so that callers that reconnect immediately can't occupy the loop. The listener stays ready.
        let mut remaining = self.limits.max_admin_connections;
        while remaining > 0 {
            let Some(listener) = &mut self.admin_listener else {
                return;
            };
            let socket = match listener.accept() {
                Ok(Some(socket)) => socket,
                Ok(None) => break,
                Err(failure) if failure.kind != FailureKind::NoDescriptors => {
                    return self.pause_admin(now);
                }
                // Out of descriptors: the oldest connection to the admin listener, or else an idle client, is evicted
                // before accepting is tried again.
                Err(_) => {
                    let already_evicted = std::mem::replace(&mut has_evicted, true);
                    if !already_evicted && self.evict_oldest_admin_connection(now) {
                        continue;
                    }
                    match self.eviction_candidate(now) {
                        Ok(key) if !already_evicted => self.close(now, key),
                        // The listener is paused, because it would stay readable and keep the loop busy.
                        _ => return self.pause_admin(now),
                    }
                    continue;
                }
            };
            has_evicted = false;
            remaining -= 1;
            if self.admin_connection_count >= self.limits.max_admin_connections {
                self.evict_oldest_admin_connection(now);
            }
            let Ok(conn) = TcpConnection::new(
                socket,
                true,
                self.limits.admin_input_buffer_bytes,
                self.limits.admin_output_buffer_bytes,
            ) else {
                continue;
            };
            let session = AdminSession {
                parser: Parser::new(),
                is_answered: false,
                awaits_commit: false,
            };
            if let Some(key) =
                self.add_connection(now, conn, ConnectionKind::Admin(Box::new(session)))
            {
                self.admin_connection_count += 1;
                self.deadlines
                    .set(now + self.limits.admin_timeout_us, Timer::AdminTimeout(key));
            }
        }
        self.resume_admin(now);
    }

    fn resume_admin(&mut self, now: Micros) {
        let resumed = self
            .admin_listener
            .as_mut()
            .is_none_or(|listener| listener.resume(&self.poll));
        if !resumed {
            self.schedule_accept_retry(now);
        }
    }

    fn pause_admin(&mut self, now: Micros) {
        if let Some(listener) = &mut self.admin_listener {
            listener.pause(&self.poll);
        }
        self.schedule_accept_retry(now);
    }

    /// Closes the oldest connection to the admin listener. Returns false if there is none.
    fn evict_oldest_admin_connection(&mut self, now: Micros) -> bool {
        let keys = self.connections.keys();
        let accepted = |key: &Key| {
            let connection = self.connections.get(*key)?;
            matches!(connection.kind, ConnectionKind::Admin(_))
                .then_some((connection.state_since, *key))
        };
        let Some((_, oldest)) = keys.iter().filter_map(accepted).min() else {
            return false;
        };
        self.close(now, oldest);
        true
    }

    /// Closes a connection whose call was not completed within the time limit.
    pub(super) fn admin_timeout(&mut self, now: Micros, key: Key) {
        // While a call waits for its commit, the timeout of the commit applies instead.
        if self.connections.get(key).is_some_and(
            |connection| matches!(&connection.kind, ConnectionKind::Admin(session) if !session.awaits_commit),
        ) {
            self.close(now, key);
        }
    }

    /// Reads a call, and replies once it is complete or malformed.
    pub(super) fn read_admin(&mut self, now: Micros, key: Key, input_ended: bool) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let ConnectionKind::Admin(session) = &mut connection.kind else {
            return;
        };
        if session.awaits_commit {
            // Input after a call is ignored, and the client may half-close the connection.
            return connection.conn.input.consume(connection.conn.input.len());
        }
        let mut parsed = Ok(None);
        while !connection.conn.input.is_empty() && matches!(parsed, Ok(None)) {
            let front = connection.conn.input.front();
            let n = front.len();
            parsed = session.parser.feed(front);
            connection.conn.input.consume(n);
        }
        // Input after the call is ignored.
        connection.conn.input.consume(connection.conn.input.len());
        let reply = match parsed {
            Ok(Some(call)) => match self.execute_call(now, key, call) {
                Some(reply) => reply,
                None => {
                    if let Some(Connection {
                        kind: ConnectionKind::Admin(session),
                        ..
                    }) = self.connections.get_mut(key)
                    {
                        session.awaits_commit = true;
                    }
                    return;
                }
            },
            Err(e) => Reply::rejected(e),
            Ok(None) if !input_ended => return,
            Ok(None) => match session.parser.end() {
                Some(e) => Reply::rejected(e),
                None => {
                    // The client disconnected without a call, so the connection is closed without a reply.
                    session.is_answered = true;
                    return;
                }
            },
        };
        self.send_admin_reply(key, &reply);
    }

    /// Queues the reply to a call. It is written when the connection is next served.
    pub(super) fn send_admin_reply(&mut self, key: Key, reply: &Reply) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let ConnectionKind::Admin(session) = &mut connection.kind else {
            return;
        };
        session.awaits_commit = false;
        if !std::mem::replace(&mut session.is_answered, true) {
            connection.conn.output.push(&reply.to_bytes());
        }
    }

    /// Returns whether the process can serve requests, ignoring states set by operators such as a drain. All answers on
    /// its readiness are derived from this. Purges and bans that earlier processes accepted must be in effect by then.
    pub(super) fn can_serve(&self) -> bool {
        self.core.is_ready()
            && !self.is_stopping()
            && self.pending_commits.has_recovered()
            && !self.operator_files.delays_readiness(self.clock.now())
    }

    /// Executes a call. Returns `None` if the reply is sent later, after a commit.
    fn execute_call(&mut self, now: Micros, key: Key, call: Call) -> Option<Reply> {
        let status = match &call {
            Call::Fleet => self.fleet_status().map(|status| fleet::to_json(&status)),
            Call::Budgets => self.budgets_status().map(|status| fleet::to_json(&status)),
            _ => None,
        };
        if let Some(status) = status {
            return Some(Reply::new(200, status));
        }
        let is_replicated = self.ledger.is_some() && call.changes_state();
        let call_text = format!("{call:?}");
        // The files stay locked until the call is stored.
        let _lock = if call.changes_state() {
            match self.lock_operator_state(now) {
                Ok(lock) => lock,
                Err(e) => return Some(Reply::unavailable(format!("nothing changed: {e}"))),
            }
        } else {
            None
        };
        let members = &self.endpoint_table;
        let is_listed = |id: &str| members.listed().any(|(entry, _)| entry.uid == id);
        let can_serve = self.can_serve();
        let previous = self.admin_controller.clone();
        let is_ready_call = matches!(call, Call::Ready);
        let CallOutcome { mut reply, effect } = self
            .admin_controller
            .handle_call(now, call, is_listed, can_serve);
        if is_ready_call {
            self.add_readiness_notes(&mut reply);
        }
        if effect.is_some() && (self.lacks_store() || self.operator_files.is_load_pending()) {
            self.admin_controller = previous;
            self.count_rejected();
            return Some(Reply::unavailable(
                "nothing changed: the stored state can't be read yet",
            ));
        }
        if let Some(effect) = effect {
            if !self.save_operator_state() {
                // The call fails, because the next process might not find the new state. One of the two copies may
                // already contain it.
                self.admin_controller = previous;
                self.save_undone_state(now);
                return Some(Reply::unavailable(
                    "nothing changed: the state can't be stored for the next process",
                ));
            }
            log::info!(call = call_text.as_str(), status = reply.status; "call to the admin listener: {}", reply.text);
            let decision = OperatorDecision::new(&effect);
            self.apply_operator_effect(now, effect);
            if is_replicated {
                return self.commit_call(now, key, reply, Some(decision));
            }
        } else if is_replicated && reply.status == 200 {
            // The call changed nothing, but an earlier call with the same effect may not be committed yet. The reply is
            // sent once the earlier decisions are committed.
            return self.commit_call(now, key, reply, None);
        }
        Some(reply)
    }

    /// Adds to the reply of a readiness call which calls are rejected at present, and why.
    fn add_readiness_notes(&self, reply: &mut Reply) {
        if let Some(pending) = &self.pending_store {
            let note = format!(
                "; commands are rejected, as the store can't be opened: {}",
                pending.reason()
            );
            reply.text.push_str(&note);
        }
        if self.operator_files.is_load_pending() {
            let note =
                "; calls that change the state are rejected, as the stored operator state can't be read yet";
            reply.text.push_str(note);
        }
    }

    /// Applies the effect of a call, or of a log entry that was restored.
    pub(super) fn apply_operator_effect(&mut self, now: Micros, effect: Effect) {
        match effect {
            Effect::Ban(id) => self.ban(now, &id),
            Effect::Unban(id) => self.unban(now, &id),
            Effect::Drain => self.start_drain(now),
            Effect::Resume => {}
        }
    }

    /// Starts a drain: client connections are closed once their requests are answered. Idle connections are closed at
    /// periodic checks.
    pub(super) fn start_drain(&mut self, now: Micros) {
        for key in self.connections.keys() {
            self.close_when_answered(key);
        }
        // Idle connections are not closed immediately: clients keep using them until they receive the first rejection,
        // which is sent once the loop continues. The first check is scheduled from the current time, because storing
        // the state may have taken longer than the delay of the check.
        let now = self.clock.now().max(now);
        if let Some(at) = self.admin_controller.next_idle_sweep(now) {
            self.schedule(at, Daemon::close_idle_clients);
        }
    }

    /// Closes idle client connections during a drain, and schedules the next check.
    pub(super) fn close_idle_clients(&mut self, now: Micros) {
        let DrainState::Draining(_) = self.admin_controller.drain_state() else {
            return;
        };
        for key in self.connections.keys() {
            // The first request of a new connection may be in transit, so the connection is kept until the following
            // check.
            let is_idle =
                self.connections
                    .get(key)
                    .is_some_and(|connection| match &connection.kind {
                        ConnectionKind::Client(session) => {
                            Self::is_idle(connection)
                                && (session.has_received_request()
                                    || connection.state_since + IDLE_SWEEP_INTERVAL_US <= now)
                        }
                        _ => false,
                    });
            if is_idle {
                self.half_close(now, key);
            }
        }
        if let Some(at) = self.admin_controller.next_idle_sweep(now) {
            self.schedule(at, Daemon::close_idle_clients);
        }
    }
}
