//! What the admin API's calls decide: whether the process is in service, how it drains, and which pop caches are
//! banned. Sans-IO: times are passed in, and the daemon carries out the [`Effect`] of each call.

use crate::admin::{Call, CallError, Reply};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// How often idle client connections are closed while the process drains. The front sends no new connections from 0.2 s
/// after its first negative health check, and by 4 s none may be idle or recently used: a sweep every half second
/// closes each one within that, however late it became idle.
pub const IDLE_SWEEP_INTERVAL_US: Micros = 500_000;

/// Whether the process drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainState {
    /// It serves.
    Serving,
    /// It has been draining since then: the readiness check is negative, each client connection is closed once its
    /// responses are sent, and idle ones at the next sweep. New connections are accepted and treated the same, as the
    /// front sends some after its first negative check, whose requests would be lost otherwise.
    Draining(Micros),
}

/// What the daemon has to do after a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send nothing more to this pop cache, neither as target nor as fill source.
    Ban(String),
    /// Use the pop cache again, from slow start.
    Unban(String),
    /// Begin to drain.
    Drain,
    /// End draining.
    Resume,
}

/// The result of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallOutcome {
    /// The response.
    pub reply: Reply,
    /// What has to be done; none where the call changed nothing.
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

/// The state that outlives the process. The names of its fields are those of the stored JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorState {
    /// Raised with every change: of two complete copies, the lower one counts.
    pub sequence: u64,
    /// The ids of the banned pop caches.
    pub bans: BTreeSet<String>,
    /// Whether the process was taken out of service.
    pub out_of_service: bool,
}

/// The operators' state in a running process.
#[derive(Clone, Debug)]
pub struct AdminController {
    state: OperatorState,
    /// When the current drain began; without meaning while in service.
    draining_since: Micros,
}

impl AdminController {
    /// Creates the state of a process from what an earlier one stored. A stored drain continues from `now`.
    pub fn new(state: OperatorState, now: Micros) -> Self {
        AdminController {
            state,
            draining_since: now,
        }
    }

    /// Returns the state, which is to be stored after each change.
    pub fn state(&self) -> &OperatorState {
        &self.state
    }

    /// Whether a pop cache is banned.
    pub fn is_banned(&self, id: &str) -> bool {
        self.state.bans.contains(id)
    }

    /// Returns the ids of the banned pop caches.
    pub fn bans(&self) -> impl Iterator<Item = &str> {
        self.state.bans.iter().map(String::as_str)
    }

    /// Returns whether the process drains, and since when.
    pub fn drain_state(&self) -> DrainState {
        if self.state.out_of_service {
            DrainState::Draining(self.draining_since)
        } else {
            DrainState::Serving
        }
    }

    /// Whether the operators have the process in service.
    pub fn in_service(&self) -> bool {
        !self.state.out_of_service
    }

    /// Returns when idle client connections are to be closed next, if the process drains.
    pub fn next_idle_sweep(&self, now: Micros) -> Option<Micros> {
        match self.drain_state() {
            DrainState::Serving => None,
            DrainState::Draining(since) => Some(now.max(since) + IDLE_SWEEP_INTERVAL_US),
        }
    }

    /// Bans a pop cache or lifts its ban, as this proxy's log has it, or to undo a rejected call. Returns what has to
    /// be done; none where that changes nothing.
    pub fn set_banned(&mut self, id: &str, banned: bool) -> Option<Effect> {
        if self.is_banned(id) == banned {
            return None;
        }
        self.state.sequence += 1;
        if banned {
            self.state.bans.insert(id.to_owned());
            Some(Effect::Ban(id.to_owned()))
        } else {
            self.state.bans.remove(id);
            Some(Effect::Unban(id.to_owned()))
        }
    }

    /// Takes the process out of service or back into service, as `set_banned` does with bans.
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

    /// Carries out a call. `known` says whether a source lists a pop cache; `ready` says whether the process could
    /// serve, the operators aside: it has its list of pop caches, and is not stopping.
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
            // The daemon answers these itself where logs are replicated or budgets are shared; elsewhere they don't
            // exist.
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

    /// Bans a pop cache or lifts its ban by a call. A ban stays, and can be lifted, when no source lists the cache any
    /// more.
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
