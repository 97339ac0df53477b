//! The admin listener in the daemon: its listener and connections, and carrying out what its calls decide.
//!
//! Which calls are taken and what they change is `linnetknot_ops`'s; here bytes are moved, bans are laid over
//! what the sources tell the core, drains close client connections, and the state is stored under `$TMPDIR`.
//! The admin listener has slots of its own, so that callers that hold connections without a complete call, or a flood of
//! clients, never keep an operator out: where its slots are full, the caller that came first is evicted.

use super::commits::OperatorDecision;
use super::{Connection, ConnectionKind, Daemon, Timer};
use crate::fleet;
use crate::net::{Conn, FailureKind, Key};
use linnetknot::{ListMode, Micros, State};
use linnetknot_ops::state::SWEEP_US;
use linnetknot_ops::{Call, Drain, Effect, Outcome, Parser, Reply};

/// One caller's connection.
pub(super) struct AdminSession {
    parser: Parser,
    /// Its one answer is on its way: the connection ends once that is written.
    is_answered: bool,
    /// Its call is carried out, and its answer waits until that is committed.
    awaits_commit: bool,
}

impl AdminSession {
    /// Whether its call is carried out and its answer still owed.
    pub(super) fn awaits_commit(&self) -> bool {
        self.awaits_commit
    }

    /// Whether its answer is given.
    pub(super) fn is_answered(&self) -> bool {
        self.is_answered
    }
}

impl Daemon {
    /// Accepts the callers that wait.
    pub(super) fn accept_admin(&mut self, now: Micros) {
        let mut has_evicted = false;
        loop {
            let Some(listener) = &mut self.admin_listener else {
                return;
            };
            let socket = match listener.accept() {
                Ok(Some(socket)) => socket,
                Ok(None) => {
                    if !listener.resume(&self.poll) {
                        self.schedule_accept_retry(now);
                    }
                    return;
                }
                Err(failure) if failure.kind != FailureKind::NoDescriptors => {
                    return self.pause_admin(now);
                }
                // Out of descriptors: the oldest caller is evicted, or an idle client, and the next one is accepted then.
                Err(_) => {
                    let already_evicted = std::mem::replace(&mut has_evicted, true);
                    if !already_evicted && self.evict_oldest_admin_connection(now) {
                        continue;
                    }
                    match self.eviction_candidate(now) {
                        Ok(key) if !already_evicted => self.close(now, key),
                        // Left readable, it would keep the loop awake.
                        _ => return self.pause_admin(now),
                    }
                    continue;
                }
            };
            has_evicted = false;
            if self.admin_connection_count >= self.limits.admin_callers {
                self.evict_oldest_admin_connection(now);
            }
            let Ok(conn) = Conn::new(
                socket,
                true,
                self.limits.admin_input,
                self.limits.admin_output,
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
                    .set(now + self.limits.admin_call_us, Timer::AdminTimeout(key));
            }
        }
    }

    fn pause_admin(&mut self, now: Micros) {
        if let Some(listener) = &mut self.admin_listener {
            listener.pause(&self.poll);
        }
        self.schedule_accept_retry(now);
    }

    /// Closes the connection of the caller that came first; false where there is none.
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

    /// A caller's time for its call is over.
    pub(super) fn admin_timeout(&mut self, now: Micros, key: Key) {
        // One whose call is carried out has its answer when that is committed or rejected, which has a time of its own.
        if self.connections.get(key).is_some_and(
            |connection| matches!(&connection.kind, ConnectionKind::Admin(session) if !session.awaits_commit),
        ) {
            self.close(now, key);
        }
    }

    /// Reads what a caller sent, and answers once the call is complete or can't be read.
    pub(super) fn read_admin(&mut self, now: Micros, key: Key, ended: bool) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let ConnectionKind::Admin(session) = &mut connection.kind else {
            return;
        };
        if session.awaits_commit {
            // Bytes after a call are ignored, and a caller may end its half.
            return connection.conn.input.consume(connection.conn.input.len());
        }
        let mut parsed = Ok(None);
        while !connection.conn.input.is_empty() && matches!(parsed, Ok(None)) {
            let front = connection.conn.input.front();
            let n = front.len();
            parsed = session.parser.feed(front);
            connection.conn.input.consume(n);
        }
        // Bytes after the call are ignored.
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
            Ok(None) if !ended => return,
            Ok(None) => match session.parser.end() {
                Some(e) => Reply::rejected(e),
                None => {
                    // It sent nothing and has gone: no answer is due, and the connection ends.
                    session.is_answered = true;
                    return;
                }
            },
        };
        self.send_admin_reply(key, &reply);
    }

    /// Gives a caller its one answer; it is written by whoever serves the connection next.
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

    /// Whether the process could serve, the operators aside.
    pub(super) fn can_serve(&self) -> bool {
        self.core.is_ready() && !self.is_stopping() && self.pending_commits.has_recovered()
    }

    /// Carries out a call. None where its answer waits until replicas have it.
    fn execute_call(&mut self, now: Micros, key: Key, call: Call) -> Option<Reply> {
        let status = match &call {
            Call::Fleet => self.fleet_status().map(|status| fleet::to_json(&status)),
            Call::Budgets => self.budgets_status().map(|status| fleet::to_json(&status)),
            _ => None,
        };
        if let Some(status) = status {
            return Some(Reply::new(200, status));
        }
        let is_replicated =
            self.ledger.is_some() && !matches!(call, Call::Ready | Call::Fleet | Call::Budgets);
        let call_text = format!("{call:?}");
        let members = &self.endpoint_table;
        let is_listed = |id: &str| members.listed().any(|(entry, _)| entry.uid == id);
        let can_serve = self.can_serve();
        let previous = self.operations.clone();
        let is_ready_call = matches!(call, Call::Ready);
        let Outcome { mut reply, effect } = self.operations.call(now, call, is_listed, can_serve);
        if let Some(pending) = self.pending_store.as_ref().filter(|_| is_ready_call) {
            let note = format!(
                "; commands are rejected, as the store can't be opened: {}",
                pending.reason()
            );
            reply.text.push_str(&note);
        }
        if is_ready_call && self.operator_files.is_load_pending() {
            let note =
                "; operators' calls are rejected, as what they decided before can't be read yet";
            reply.text.push_str(note);
        }
        if effect.is_some() && (self.lacks_store() || self.operator_files.is_load_pending()) {
            self.operations = previous;
            self.count_rejected();
            return Some(Reply::unavailable(
                "nothing has changed: what was kept before can't be read yet",
            ));
        }
        if let Some(effect) = effect {
            if !self.save_operator_state() {
                // A yes would promise what the next process does not know of. One copy may have been put in place.
                self.operations = previous;
                self.save_undone_state(now);
                return Some(Reply::unavailable(
                    "it can't be kept for the next process, so nothing has changed",
                ));
            }
            log::info!(call = call_text.as_str(), status = reply.status; "the admin listener: {}", reply.text);
            let decision = OperatorDecision::new(&effect);
            self.apply_operator_effect(now, effect);
            if is_replicated {
                return self.commit_call(now, key, reply, Some(decision));
            }
        } else if is_replicated && reply.status == 200 {
            // Nothing has changed; but what it says again may be on its way still.
            return self.commit_call(now, key, reply, None);
        }
        Some(reply)
    }

    /// Does what a call, or an entry that came back, decides.
    pub(super) fn apply_operator_effect(&mut self, now: Micros, effect: Effect) {
        match effect {
            Effect::Ban(id) => self.ban(now, &id),
            Effect::Unban(id) => self.unban(now, &id),
            Effect::Drain => self.start_drain(now),
            Effect::Resume => {}
        }
    }

    /// Nothing new to a pop cache: to the core it is gone, whatever its sources say, until the call back.
    pub(super) fn ban(&mut self, now: Micros, id: &str) {
        let listed = self
            .endpoint_table
            .listed()
            .find(|(entry, _)| entry.uid == id)
            .map(|(entry, _)| entry.clone());
        if let Some(mut entry) = listed {
            entry.server.state = State::Gone;
            self.core
                .update_endpoints(now, ListMode::Delta, vec![entry]);
        }
    }

    /// The pop cache is back as its sources tell of it; the module takes it for a new one, cold.
    fn unban(&mut self, now: Micros, id: &str) {
        let listed = self
            .endpoint_table
            .listed()
            .find(|(entry, _)| entry.uid == id)
            .map(|(entry, _)| entry.clone());
        if let Some(entry) = listed.filter(|entry| entry.server.state != State::Gone) {
            self.core
                .update_endpoints(now, ListMode::Delta, vec![entry]);
        }
    }

    /// Takes the banned pop caches out of what a source tells the core.
    pub(super) fn without_bans(
        &self,
        mode: ListMode,
        entries: Vec<linnetknot_discovery::Entry>,
    ) -> Vec<linnetknot_discovery::Entry> {
        let is_banned = |entry: &linnetknot_discovery::Entry| self.operations.is_banned(&entry.uid);
        match mode {
            ListMode::Full => entries
                .into_iter()
                .filter(|entry| !is_banned(entry))
                .collect(),
            _ => entries
                .into_iter()
                .map(|mut entry| {
                    if is_banned(&entry) {
                        entry.server.state = State::Gone;
                    }
                    entry
                })
                .collect(),
        }
    }

    /// Out of service: every client connection ends once its answers are out, and idle ones at the sweeps.
    pub(super) fn start_drain(&mut self, now: Micros) {
        for key in self.connections.keys() {
            self.close_when_answered(key);
        }
        // Idle connections are not closed at once: the front sends on them until it has heard the first no. That can't be
        // before the loop goes on, and writing the state to a slow disk may have kept it for longer than the sweep waits.
        let now = self.clock.now().max(now);
        if let Some(at) = self.operations.next_sweep(now) {
            self.schedule(at, Daemon::close_idle_clients);
        }
    }

    /// Closes the client connections that have nothing open, while the process drains, and looks again later.
    pub(super) fn close_idle_clients(&mut self, now: Micros) {
        let Drain::Draining(_) = self.operations.drain() else {
            return;
        };
        for key in self.connections.keys() {
            // A connection that has asked nothing yet is let be for a sweep: its request may be on its way.
            let is_idle =
                self.connections
                    .get(key)
                    .is_some_and(|connection| match &connection.kind {
                        ConnectionKind::Client(session) => {
                            Self::is_idle(connection)
                                && (session.has_received_request()
                                    || connection.state_since + SWEEP_US <= now)
                        }
                        _ => false,
                    });
            if is_idle {
                self.half_close(now, key);
            }
        }
        if let Some(at) = self.operations.next_sweep(now) {
            self.schedule(at, Daemon::close_idle_clients);
        }
    }
}
