//! The state that operators set: whether the process is in service or drains, and which pop caches are banned. The
//! daemon executes the [`Effect`] of each call.

use crate::admin::{Call, CallError, Reply};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Interval at which idle client connections are closed while the process drains. All connections must be closed within
/// 4 s after the first negative health check, including connections that become idle shortly before that.
pub const IDLE_SWEEP_INTERVAL_US: Micros = 500_000;

/// Whether the process is in service or drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainState {
    /// The process is in service and does not drain.
    Serving,
    /// The process has been draining since this time: the readiness check fails, each client connection is closed once
    /// its responses are sent, and idle connections are closed at the next sweep. New connections are still accepted,
    /// because the load balancer opens some after its first failed check, and their requests would be lost otherwise.
    Draining(Micros),
}

/// The action that the daemon has to execute after a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Stop using this pop cache, both as a target and as a source of fills.
    Ban(String),
    /// Use this pop cache again, with a slow start.
    Unban(String),
    /// Fail the readiness check and close client connections as they become idle.
    Drain,
    /// End the drain, so that the readiness check can succeed again.
    Resume,
}

/// The response to a call, and the action that the daemon has to execute for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallOutcome {
    /// The response to send to the operator.
    pub reply: Reply,
    /// The action to execute, or `None` if the call changed nothing.
    pub effect: Option<Effect>,
}

impl CallOutcome {
    fn unchanged(reply: Reply) -> Self {
        CallOutcome {
            reply,
            effect: None,
        }
    }
}

/// The state that is stored across restarts. The names of its fields are those of the stored JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorState {
    /// Number of changes so far. If the two stored copies differ, the copy with the lower sequence is loaded.
    pub sequence: u64,
    /// Ids of the banned pop caches.
    pub bans: BTreeSet<String>,
    /// Whether the process was taken out of service.
    pub out_of_service: bool,
    /// Ids of the pop caches that were unbanned recently and are in slow start since.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub in_slow_start: BTreeSet<String>,
}

/// Merges two sets that have a common base. A member that `stored` has added or removed since is taken from there, and
/// any other from `own`.
fn merge_ids(
    own: &BTreeSet<String>,
    base: &BTreeSet<String>,
    stored: &BTreeSet<String>,
) -> BTreeSet<String> {
    let is_member = |id: &&String| {
        let in_stored = stored.contains(*id);
        if in_stored == base.contains(*id) {
            own.contains(*id)
        } else {
            in_stored
        }
    };
    own.union(stored).filter(is_member).cloned().collect()
}

impl OperatorState {
    /// Merges the state in effect with the state that another process has stored. `base` is the state that both had in
    /// common. A decision that the stored state has changed since is taken from there, and any other from this state.
    #[must_use]
    pub fn merge(&self, base: &OperatorState, stored: &OperatorState) -> OperatorState {
        OperatorState {
            sequence: self.sequence.max(stored.sequence),
            bans: merge_ids(&self.bans, &base.bans, &stored.bans),
            in_slow_start: merge_ids(
                &self.in_slow_start,
                &base.in_slow_start,
                &stored.in_slow_start,
            ),
            out_of_service: if stored.out_of_service == base.out_of_service {
                self.out_of_service
            } else {
                stored.out_of_service
            },
        }
    }
}

/// Executes the calls of operators and holds the resulting state.
#[derive(Clone, Debug)]
pub struct AdminController {
    state: OperatorState,
    /// Start of the current drain. Not used while the process is in service.
    draining_since: Micros,
}

impl AdminController {
    /// Creates a controller from the state that an earlier process stored. A stored drain restarts at `now`.
    pub fn new(state: OperatorState, now: Micros) -> Self {
        AdminController {
            state,
            draining_since: now,
        }
    }

    /// Returns the state, which the caller has to store after each change.
    pub fn state(&self) -> &OperatorState {
        &self.state
    }

    /// Returns whether a pop cache is banned.
    pub fn is_banned(&self, id: &str) -> bool {
        self.state.bans.contains(id)
    }

    /// Returns the ids of the banned pop caches.
    pub fn bans(&self) -> impl Iterator<Item = &str> {
        self.state.bans.iter().map(String::as_str)
    }

    /// Returns whether the process drains, and the start of the drain.
    pub fn drain_state(&self) -> DrainState {
        if self.state.out_of_service {
            DrainState::Draining(self.draining_since)
        } else {
            DrainState::Serving
        }
    }

    /// Returns whether the operators have the process in service, that is, no drain is set.
    pub fn in_service(&self) -> bool {
        !self.state.out_of_service
    }

    /// Returns the time of the next sweep of idle client connections, or `None` if the process does not drain.
    pub fn next_idle_sweep(&self, now: Micros) -> Option<Micros> {
        match self.drain_state() {
            DrainState::Serving => None,
            DrainState::Draining(since) => Some(now.max(since) + IDLE_SWEEP_INTERVAL_US),
        }
    }

    /// Bans a pop cache or lifts its ban, without a call. This applies an entry of the replicated log, or undoes the
    /// change of a rejected call. Returns the action to execute, or `None` if nothing changes.
    pub fn set_banned(&mut self, id: &str, banned: bool) -> Option<Effect> {
        if self.is_banned(id) == banned {
            return None;
        }
        self.state.sequence += 1;
        if banned {
            self.state.bans.insert(id.to_owned());
            self.state.in_slow_start.remove(id);
            Some(Effect::Ban(id.to_owned()))
        } else {
            self.state.bans.remove(id);
            self.state.in_slow_start.insert(id.to_owned());
            Some(Effect::Unban(id.to_owned()))
        }
    }

    /// Records that the slow start of an unbanned pop cache is over. Returns whether this changes the state.
    pub fn end_slow_start(&mut self, id: &str) -> bool {
        let was_in_slow_start = self.state.in_slow_start.remove(id);
        self.state.sequence += u64::from(was_in_slow_start);
        was_in_slow_start
    }

    /// Takes the process out of service or back into service, without a call. Used like
    /// [`set_banned`](Self::set_banned), with the same kind of result.
    pub fn set_out_of_service(&mut self, now: Micros, out_of_service: bool) -> Option<Effect> {
        if self.state.out_of_service == out_of_service {
            return None;
        }
        self.state.sequence += 1;
        self.state.out_of_service = out_of_service;
        if out_of_service {
            self.draining_since = now;
            Some(Effect::Drain)
        } else {
            Some(Effect::Resume)
        }
    }

    /// Replaces the state by one that includes the calls of another process. Returns the actions to execute.
    pub fn adopt(&mut self, now: Micros, state: OperatorState) -> Vec<Effect> {
        let added = state.bans.difference(&self.state.bans);
        let revoked = self.state.bans.difference(&state.bans);
        // A ban that the other process has set and revoked since the last call of this method was never seen here.
        let returned = state.in_slow_start.difference(&self.state.in_slow_start);
        let unbanned: BTreeSet<String> = revoked.chain(returned).cloned().collect();
        let mut effects: Vec<Effect> = added.cloned().map(Effect::Ban).collect();
        effects.extend(unbanned.into_iter().map(Effect::Unban));
        effects.extend(self.set_out_of_service(now, state.out_of_service));
        self.state = state;
        effects
    }

    /// Executes a call. `is_known` returns whether a source lists a pop cache. `ready` states whether the process can
    /// serve requests, ignoring the state set by operators: it has a list of pop caches and is not stopping.
    pub fn handle_call(
        &mut self,
        now: Micros,
        call: Call,
        is_known: impl Fn(&str) -> bool,
        ready: bool,
    ) -> CallOutcome {
        match call {
            Call::Ready => CallOutcome::unchanged(self.readiness_reply(ready)),
            Call::Offline(id) => self.set_pop_cache_state(&id, true, is_known),
            Call::Online(id) => self.set_pop_cache_state(&id, false, is_known),
            Call::OutOfService => CallOutcome {
                reply: Reply::new(200, "out of service"),
                effect: self.set_out_of_service(now, true),
            },
            Call::InService => CallOutcome {
                reply: Reply::new(200, "in service"),
                effect: self.set_out_of_service(now, false),
            },
            // The daemon handles these calls itself if logs are replicated or budgets are shared. Otherwise the calls
            // do not exist.
            Call::Fleet | Call::Budgets => {
                CallOutcome::unchanged(Reply::rejected(CallError::NotFound))
            }
        }
    }

    fn readiness_reply(&self, ready: bool) -> Reply {
        match (self.in_service(), ready) {
            (false, _) => Reply::new(503, "out of service"),
            (true, true) => Reply::new(200, "ready"),
            (true, false) => Reply::new(503, "not ready"),
        }
    }

    /// Executes a call that bans a pop cache or lifts its ban. A ban persists after all sources have stopped listing
    /// the pop cache, and can then still be lifted.
    fn set_pop_cache_state(
        &mut self,
        id: &str,
        banned: bool,
        is_known: impl Fn(&str) -> bool,
    ) -> CallOutcome {
        if !self.is_banned(id) && !is_known(id) {
            return CallOutcome::unchanged(Reply::new(404, format!("no pop cache is called {id}")));
        }
        let state = if banned { "offline" } else { "online" };
        CallOutcome {
            reply: Reply::new(200, format!("{id} is {state}")),
            effect: self.set_banned(id, banned),
        }
    }
}
