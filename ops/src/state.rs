//! What the admin listener's calls decide: whether the process is in service, how a drain goes on, and which pop caches are
//! banned. Sans-IO: time is handed in, and the daemon carries out the [`Effect`] of each call.

use crate::admin::{Call, CallError, Reply};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// How often idle client connections are looked for and closed while the process is out of service. The front
/// stops sending new connections 0.2 s after it first hears no, and by 4 s none may be idle or recently used:
/// sweeps every half second close each one within that, however late it fell idle.
pub const SWEEP_US: Micros = 500_000;

/// Where a process stands with its clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Drain {
    /// It takes work.
    Serving,
    /// Out of service since then: ready says no, each client connection closes once its answers are out, and idle
    /// ones are closed at the next sweep. New connections are still taken, and treated so: the front sends some
    /// after its first no, and refusing them would lose their requests.
    Draining(Micros),
}

/// What the daemon has to do after a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing more to this pop cache, as target or as fill source.
    Ban(String),
    /// The pop cache may be used again; it comes back cold.
    Unban(String),
    /// Begin draining.
    Drain,
    /// Back to work.
    Resume,
}

/// What is kept across an upgrade, whole.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// Raised with every change: of two whole copies, the lower stands.
    pub sequence: u64,
    /// Banned pop caches, by id.
    pub bans: BTreeSet<String>,
    /// Whether the process was taken out of service.
    pub out_of_service: bool,
}

/// The operators' state of one process.
#[derive(Clone, Debug)]
pub struct Operations {
    kept: Kept,
    /// When the drain that `kept` tells of began here; of no meaning while in service.
    drained_at: Micros,
}

impl Operations {
    /// The state of a process that starts with what an earlier one kept; a drain that was kept goes on from `now`.
    pub fn new(kept: Kept, now: Micros) -> Self {
        Operations {
            kept,
            drained_at: now,
        }
    }

    /// What is to be kept, after a call that changed it.
    pub fn kept(&self) -> &Kept {
        &self.kept
    }

    /// Whether a pop cache is banned.
    pub fn is_banned(&self, id: &str) -> bool {
        self.kept.bans.contains(id)
    }

    /// The banned pop caches.
    pub fn bans(&self) -> impl Iterator<Item = &str> {
        self.kept.bans.iter().map(String::as_str)
    }

    /// Where the process stands with its clients.
    pub fn drain(&self) -> Drain {
        if self.kept.out_of_service {
            Drain::Draining(self.drained_at)
        } else {
            Drain::Serving
        }
    }

    /// Whether the operators have it in service.
    pub fn in_service(&self) -> bool {
        !self.kept.out_of_service
    }

    /// When idle client connections are next to be closed, where it drains.
    pub fn next_sweep(&self, now: Micros) -> Option<Micros> {
        match self.drain() {
            Drain::Serving => None,
            Drain::Draining(since) => Some(now.max(since) + SWEEP_US),
        }
    }

    /// Takes back a call that can't be promised, or takes in what an earlier process promised: a pop cache is banned or
    /// not, as an entry of this proxy's log has it. Gives what is to be done, where that changes anything.
    pub fn recall_ban(&mut self, id: &str, banned: bool) -> Option<Effect> {
        if self.is_banned(id) == banned {
            return None;
        }
        self.kept.sequence += 1;
        if banned {
            self.kept.bans.insert(id.to_owned());
            Some(Effect::Ban(id.to_owned()))
        } else {
            self.kept.bans.remove(id);
            Some(Effect::Unban(id.to_owned()))
        }
    }

    /// The same of the process being out of service.
    pub fn recall_drain(&mut self, now: Micros, out: bool) -> Option<Effect> {
        if self.kept.out_of_service == out {
            return None;
        }
        self.kept.sequence += 1;
        self.kept.out_of_service = out;
        if out {
            self.drained_at = now;
        }
        Some(if out { Effect::Drain } else { Effect::Resume })
    }

    /// Answers a call and changes the state by it. `known` says whether some source lists a pop cache; `ready`
    /// whether the process could serve apart from the operators (its list of boxes is in, it is not ending).
    pub fn call(
        &mut self,
        now: Micros,
        call: Call,
        known: impl Fn(&str) -> bool,
        ready: bool,
    ) -> (Reply, Option<Effect>) {
        let before = self.kept.clone();
        let (reply, effect) = match call {
            Call::Ready if ready && self.in_service() => (Reply::new(200, "ready"), None),
            Call::Ready if !self.in_service() => (Reply::new(503, "out of service"), None),
            Call::Ready => (Reply::new(503, "not ready"), None),
            Call::Offline(id) if self.kept.bans.contains(&id) => {
                (Reply::new(200, format!("{id} is offline")), None)
            }
            Call::Offline(id) if known(&id) => {
                self.kept.bans.insert(id.clone());
                (
                    Reply::new(200, format!("{id} is offline")),
                    Some(Effect::Ban(id)),
                )
            }
            Call::Online(id) if self.kept.bans.remove(&id) => (
                Reply::new(200, format!("{id} is online")),
                Some(Effect::Unban(id)),
            ),
            Call::Online(id) if known(&id) => (Reply::new(200, format!("{id} is online")), None),
            Call::Offline(id) | Call::Online(id) => (
                Reply::new(404, format!("no pop cache is called {id}")),
                None,
            ),
            Call::OutOfService if self.in_service() => {
                self.drained_at = now;
                self.kept.out_of_service = true;
                (Reply::new(200, "out of service"), Some(Effect::Drain))
            }
            Call::OutOfService => (Reply::new(200, "out of service"), None),
            Call::InService if !self.in_service() => {
                self.kept.out_of_service = false;
                (Reply::new(200, "in service"), Some(Effect::Resume))
            }
            Call::InService => (Reply::new(200, "in service"), None),
            // Whoever has copies tells of them; where there are none, there is no such call.
            Call::Fleet | Call::Budgets => (Reply::refused(CallError::NotFound), None),
        };
        if self.kept != before {
            self.kept.sequence += 1;
        }
        (reply, effect)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn known(id: &str) -> bool {
        id.starts_with("pc")
    }

    #[test]
    fn two_calls_out_need_one_call_back_and_strangers_get_a_no() {
        let mut ops = Operations::new(Kept::default(), 0);
        let (reply, effect) = ops.call(1, Call::Offline("pc1".into()), known, true);
        assert_eq!(
            (reply.status, effect),
            (200, Some(Effect::Ban("pc1".into())))
        );
        let (reply, effect) = ops.call(2, Call::Offline("pc1".into()), known, true);
        assert_eq!(
            (reply.status, effect),
            (200, None),
            "the second call out changes nothing"
        );
        assert!(ops.is_banned("pc1"));
        let (reply, effect) = ops.call(3, Call::Online("pc1".into()), known, true);
        assert_eq!(
            (reply.status, effect),
            (200, Some(Effect::Unban("pc1".into())))
        );
        assert!(!ops.is_banned("pc1"), "one call back lifts it");
        assert_eq!(
            ops.call(4, Call::Offline("box9".into()), known, true)
                .0
                .status,
            404
        );
        assert_eq!(
            ops.call(4, Call::Online("box9".into()), known, true)
                .0
                .status,
            404
        );
        assert_eq!(
            ops.kept().sequence,
            2,
            "each change, and only a change, is counted"
        );
    }

    #[test]
    fn a_ban_outlives_the_pop_cache_leaving_every_list() {
        let mut ops = Operations::new(Kept::default(), 0);
        ops.call(1, Call::Offline("pc1".into()), known, true);
        let nobody = |_: &str| false;
        assert_eq!(
            ops.call(2, Call::Offline("pc1".into()), nobody, true)
                .0
                .status,
            200
        );
        assert_eq!(
            ops.call(3, Call::Online("pc1".into()), nobody, true)
                .0
                .status,
            200,
            "the ban is lifted"
        );
    }

    #[test]
    fn a_drain_says_no_sweeps_and_ends_with_in_service() {
        let mut ops = Operations::new(Kept::default(), 0);
        assert_eq!(
            ops.call(1, Call::Ready, known, false).0.status,
            503,
            "no list yet"
        );
        assert_eq!(ops.call(1, Call::Ready, known, true).0.status, 200);
        assert_eq!(ops.next_sweep(1), None);
        assert_eq!(
            ops.call(10, Call::OutOfService, known, true).1,
            Some(Effect::Drain)
        );
        assert_eq!(ops.call(11, Call::Ready, known, true).0.status, 503);
        assert_eq!(ops.drain(), Drain::Draining(10));
        assert_eq!(ops.next_sweep(10), Some(10 + SWEEP_US));
        assert!(ops.kept().out_of_service);
        assert_eq!(ops.call(12, Call::OutOfService, known, true).1, None);
        assert_eq!(
            ops.call(20, Call::InService, known, true).1,
            Some(Effect::Resume)
        );
        assert_eq!(ops.call(21, Call::Ready, known, true).0.status, 200);
        let kept = Kept {
            out_of_service: true,
            ..Kept::default()
        };
        assert_eq!(
            Operations::new(kept, 5).drain(),
            Drain::Draining(5),
            "a drain carries over an upgrade"
        );
    }
}
