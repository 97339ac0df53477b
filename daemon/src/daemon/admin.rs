//! The admin listener in the daemon: its listener and connections, and carrying out what its calls decide.
//!
//! Which calls are taken and what they change is `linnetknot_admin_api`'s; here bytes are moved, bans are laid over
//! what the sources tell the core, drains close client connections, and the state is stored under `$TMPDIR`.
//! The admin listener has slots of its own, so that callers that hold connections without a complete call, or a flood of
//! clients, never keep an operator out: where its slots are full, the caller that came first is evicted.

use super::commits::OperatorDecision;
use super::{Connection, Daemon, Kind, Timer};
use crate::fleet;
use crate::net::{Conn, FailureKind, Key};
use linnetknot::{ListMode, Micros, State};
use linnetknot_admin_api::state::IDLE_SWEEP_INTERVAL_US;
use linnetknot_admin_api::{Call, CallOutcome, DrainState, Effect, Parser, Reply};

/// One caller's connection.
pub(super) struct Caller {
    parser: Parser,
    /// Its one answer is on its way: the connection ends once that is written.
    is_answered: bool,
    /// Its call is carried out, and its answer waits until that is committed.
    is_waiting: bool,
}

impl Caller {
    /// Whether its call is carried out and its answer still owed.
    pub(super) fn is_waiting(&self) -> bool {
        self.is_waiting
    }

    /// Whether its answer is given.
    pub(super) fn is_over(&self) -> bool {
        self.is_answered
    }
}

impl Daemon {
    /// Accepts the callers that wait.
    pub(super) fn accept_admin(&mut self, now: Micros) {
        let mut has_evicted = false;
        loop {
            let Some(listener) = &mut self.admin else {
                return;
            };
            let socket = match listener.accept() {
                Ok(Some(socket)) => socket,
                Ok(None) => {
                    if !listener.resume(&self.poll) {
                        self.accept_later(now);
                    }
                    return;
                }
                Err(failure) if failure.kind != FailureKind::NoDescriptors => {
                    return self.pause_admin(now);
                }
                // Out of descriptors: the oldest caller is evicted, or an idle client, and the next one is accepted then.
                Err(_) => {
                    let again = std::mem::replace(&mut has_evicted, true);
                    if !again && self.evict_oldest_caller(now) {
                        continue;
                    }
                    match self.eviction_candidate(now) {
                        Ok(key) if !again => self.close(now, key),
                        // Left readable, it would keep the loop awake.
                        _ => return self.pause_admin(now),
                    }
                    continue;
                }
            };
            has_evicted = false;
            if self.callers >= self.limits.admin_callers {
                self.evict_oldest_caller(now);
            }
            let Ok(conn) = Conn::new(
                socket,
                true,
                self.limits.admin_input,
                self.limits.admin_output,
            ) else {
                continue;
            };
            let caller = Caller {
                parser: Parser::new(),
                is_answered: false,
                is_waiting: false,
            };
            if let Some(key) = self.open(now, conn, Kind::Admin(Box::new(caller))) {
                self.callers += 1;
                self.deadlines
                    .set(now + self.limits.admin_call_us, Timer::Admin(key));
            }
        }
    }

    fn pause_admin(&mut self, now: Micros) {
        if let Some(listener) = &mut self.admin {
            listener.pause(&self.poll);
        }
        self.accept_later(now);
    }

    /// Closes the connection of the caller that came first; false where there is none.
    fn evict_oldest_caller(&mut self, now: Micros) -> bool {
        let keys = self.connections.keys();
        let accepted = |key: &Key| {
            let connection = self.connections.get(*key)?;
            matches!(connection.kind, Kind::Admin(_)).then_some((connection.since, *key))
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
        if self
            .connections
            .get(key)
            .is_some_and(|c| matches!(&c.kind, Kind::Admin(caller) if !caller.is_waiting))
        {
            self.close(now, key);
        }
    }

    /// Reads what a caller sent, and answers once the call is complete or can't be read.
    pub(super) fn read_admin(&mut self, now: Micros, key: Key, ended: bool) {
        let Some(c) = self.connections.get_mut(key) else {
            return;
        };
        let Kind::Admin(caller) = &mut c.kind else {
            return;
        };
        if caller.is_waiting {
            // Bytes after a call are ignored, and a caller may end its half.
            return c.conn.input.consume(c.conn.input.len());
        }
        let mut got = Ok(None);
        while !c.conn.input.is_empty() && matches!(got, Ok(None)) {
            let front = c.conn.input.front();
            let n = front.len();
            got = caller.parser.feed(front);
            c.conn.input.consume(n);
        }
        // Bytes after the call are ignored.
        c.conn.input.consume(c.conn.input.len());
        let reply = match got {
            Ok(Some(call)) => match self.carry_out(now, key, call) {
                Some(reply) => reply,
                None => {
                    if let Some(Connection {
                        kind: Kind::Admin(caller),
                        ..
                    }) = self.connections.get_mut(key)
                    {
                        caller.is_waiting = true;
                    }
                    return;
                }
            },
            Err(e) => Reply::rejected(e),
            Ok(None) if !ended => return,
            Ok(None) => match caller.parser.end() {
                Some(e) => Reply::rejected(e),
                None => {
                    // It sent nothing and has gone: no answer is due, and the connection ends.
                    caller.is_answered = true;
                    return;
                }
            },
        };
        self.answer_admin(key, &reply);
    }

    /// Gives a caller its one answer; it is written by whoever serves the connection next.
    pub(super) fn answer_admin(&mut self, key: Key, reply: &Reply) {
        let Some(c) = self.connections.get_mut(key) else {
            return;
        };
        let Kind::Admin(caller) = &mut c.kind else {
            return;
        };
        caller.is_waiting = false;
        if !std::mem::replace(&mut caller.is_answered, true) {
            c.conn.output.push(&reply.to_bytes());
        }
    }

    /// Whether the process could serve, the operators aside.
    pub(super) fn can_serve(&self) -> bool {
        self.core.is_ready() && !self.is_stopping() && self.pending_commits.has_recovered()
    }

    /// Carries out a call. None where its answer waits until replicas have it.
    fn carry_out(&mut self, now: Micros, key: Key, call: Call) -> Option<Reply> {
        let told = match &call {
            Call::Fleet => self.fleet_status().map(|status| fleet::to_json(&status)),
            Call::Budgets => self.budgets_status().map(|status| fleet::to_json(&status)),
            _ => None,
        };
        if let Some(told) = told {
            return Some(Reply::new(200, told));
        }
        let kept =
            self.ledger.is_some() && !matches!(call, Call::Ready | Call::Fleet | Call::Budgets);
        let shown = format!("{call:?}");
        let members = &self.members;
        let known = |id: &str| members.listed().any(|(e, _)| e.uid == id);
        let ready = self.can_serve();
        let before = self.ops.clone();
        let is_ready_call = matches!(call, Call::Ready);
        let CallOutcome { mut reply, effect } = self.ops.handle_call(now, call, known, ready);
        if let Some(pending) = self.pending_store.as_ref().filter(|_| is_ready_call) {
            let lacks = format!(
                "; commands are rejected, as the store can't be opened: {}",
                pending.reason()
            );
            reply.text.push_str(&lacks);
        }
        if is_ready_call && self.operator_state.is_unread() {
            let lacks =
                "; operators' calls are rejected, as what they decided before can't be read yet";
            reply.text.push_str(lacks);
        }
        if effect.is_some() && (self.lacks_store() || self.operator_state.is_unread()) {
            self.ops = before;
            self.count_rejected();
            return Some(Reply::unavailable(
                "nothing has changed: what was kept before can't be read yet",
            ));
        }
        if let Some(effect) = effect {
            if !self.save_operator_state() {
                // A yes would promise what the next process does not know of. One copy may have been put in place.
                self.ops = before;
                self.save_undone_state(now);
                return Some(Reply::unavailable(
                    "it can't be kept for the next process, so nothing has changed",
                ));
            }
            log::info!(call = shown.as_str(), status = reply.status; "the admin listener: {}", reply.text);
            let decided = OperatorDecision::new(&effect);
            self.take_effect(now, effect);
            if kept {
                return self.commit_call(now, key, reply, Some(decided));
            }
        } else if kept && reply.status == 200 {
            // Nothing has changed; but what it says again may be on its way still.
            return self.commit_call(now, key, reply, None);
        }
        Some(reply)
    }

    /// Does what a call, or an entry that came back, decides.
    pub(super) fn take_effect(&mut self, now: Micros, effect: Effect) {
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
            .members
            .listed()
            .find(|(e, _)| e.uid == id)
            .map(|(e, _)| e.clone());
        if let Some(mut entry) = listed {
            entry.server.state = State::Gone;
            self.core
                .update_endpoints(now, ListMode::Delta, vec![entry]);
        }
    }

    /// The pop cache is back as its sources tell of it; the module takes it for a new one, cold.
    fn unban(&mut self, now: Micros, id: &str) {
        let listed = self
            .members
            .listed()
            .find(|(e, _)| e.uid == id)
            .map(|(e, _)| e.clone());
        if let Some(entry) = listed.filter(|e| e.server.state != State::Gone) {
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
        let banned = |e: &linnetknot_discovery::Entry| self.ops.is_banned(&e.uid);
        match mode {
            ListMode::Full => entries.into_iter().filter(|e| !banned(e)).collect(),
            _ => entries
                .into_iter()
                .map(|mut e| {
                    if banned(&e) {
                        e.server.state = State::Gone;
                    }
                    e
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
        if let Some(at) = self.ops.next_idle_sweep(now) {
            self.later(at, Daemon::sweep);
        }
    }

    /// Closes the client connections that have nothing open, while the process drains, and looks again later.
    pub(super) fn sweep(&mut self, now: Micros) {
        let DrainState::Draining(_) = self.ops.drain_state() else {
            return;
        };
        for key in self.connections.keys() {
            // A connection that has asked nothing yet is let be for a sweep: its request may be on its way.
            let idle = self.connections.get(key).is_some_and(|c| match &c.kind {
                Kind::Client(s) => {
                    Self::is_quiet(c)
                        && (s.has_received_request() || c.since + IDLE_SWEEP_INTERVAL_US <= now)
                }
                _ => false,
            });
            if idle {
                self.half_close(now, key);
            }
        }
        if let Some(at) = self.ops.next_idle_sweep(now) {
            self.later(at, Daemon::sweep);
        }
    }
}
