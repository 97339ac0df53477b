//! Requests, attempts and outcomes, without any I/O: the core drives the decision module and sees to it that every
//! request gets exactly one final answer. It knows no wire: fronts and upstreams translate.
//!
//! The loop around it reports what happens (a request, the end of an attempt, a wake-up) together with the time, and
//! carries out the [`Command`]s that follow.
//!
//! * `request`, `attempt`, `command`, `counters`: the types of this interface;
//! * `request_table`, `cache_table`: its state;
//! * `requests`, `attempts`, `purging`: what it does with them.

mod attempt;
mod attempts;
mod cache_table;
mod command;
mod counters;
mod purging;
mod request;
mod request_table;
mod requests;

pub use attempt::{AttemptId, AttemptResult, AttemptTarget, Dispatch};
pub use command::{Command, Wake};
pub use counters::Counters;
pub use linnetknot_discovery::{server_id, Entry};
pub use request::{Answer, Client, ClientRequest, Content, RequestKey};

use crate::limits::Limits;
use crate::net::Key;
use crate::origin_clock::OriginClock;
use cache_table::CacheTable;
use linnetknot::{
    Action, Event, ListMode, Load, Micros, Outcome, Repeat, Router, ServerId, Settings,
    SettingsError,
};
use request_table::RequestTable;
use std::net::SocketAddr;

/// Log target for the traces at level debug: each attempt, each final answer and each connection to a cache.
pub(crate) const TRACE: &str = "linnetknot::trace";

/// The request table and the decision module.
pub struct Core {
    router: Router,
    origin_clock: OriginClock,
    /// The longest time for which a request may be open, whatever its client gives it.
    pub max_request_us: Micros,
    /// The time at which the process ends: no request is open beyond it.
    shutdown_deadline: Micros,
    requests: RequestTable,
    caches: CacheTable,
    /// Classes whose requests must carry an idempotency key.
    keyed_classes: Vec<String>,
    /// How long before its deadline a request is answered, so that the answer still reaches the client.
    response_margin_us: Micros,
    /// The decision module's actions, empty between two events: kept for its allocation.
    actions: Vec<Action>,
    commands: Vec<Command>,
    /// What was done so far.
    pub counters: Counters,
}

/// The classes whose requests must carry an idempotency key.
fn keyed_classes(settings: &Settings) -> Vec<String> {
    settings
        .classes
        .iter()
        .filter(|class| class.repeat == Repeat::Keyed)
        .map(|class| class.name.clone())
        .collect()
}

impl Core {
    /// A core without caches.
    ///
    /// # Errors
    /// The settings are not sound.
    pub fn new(settings: Settings, seed: u64, limits: &Limits) -> Result<Self, SettingsError> {
        Ok(Core {
            keyed_classes: keyed_classes(&settings),
            router: Router::new(settings, seed)?,
            origin_clock: OriginClock::default(),
            max_request_us: Micros::MAX,
            shutdown_deadline: Micros::MAX,
            requests: RequestTable::new(limits),
            caches: CacheTable::default(),
            response_margin_us: limits.response_margin_us,
            actions: Vec::new(),
            commands: Vec::new(),
            counters: Counters::default(),
        })
    }

    /// Takes the settings of a reload. Open requests keep the class that they were admitted with.
    ///
    /// # Errors
    /// The settings are not sound; nothing has changed then.
    pub fn apply_settings(&mut self, settings: Settings) -> Result<(), SettingsError> {
        let keyed_classes = keyed_classes(&settings);
        self.router.update_settings(settings)?;
        self.keyed_classes = keyed_classes;
        Ok(())
    }

    /// Takes out what is to be done, in order.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// Whether no request is open.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    /// Whether there is a cache to send requests to.
    pub fn is_ready(&self) -> bool {
        self.caches.any_ready()
    }

    /// Whether at least half of the request table is taken.
    pub fn is_half_full(&self) -> bool {
        self.requests.is_half_full()
    }

    /// Whether a cache takes new work, by the endpoint list.
    pub fn is_cache_ready(&self, id: ServerId) -> bool {
        self.caches.is_ready(id)
    }

    /// Id on the wire of a cache; none where it is gone.
    pub fn wire_id(&self, id: ServerId) -> Option<&str> {
        self.caches.wire_id(id)
    }

    /// The address of a cache; none where it is gone.
    pub fn endpoint(&self, id: ServerId) -> Option<SocketAddr> {
        self.caches.endpoint(id)
    }

    /// Id on the wire of a cache, for the log; `-` where it is gone.
    pub fn wire_id_or_dash(&self, id: ServerId) -> &str {
        self.wire_id(id).unwrap_or("-")
    }

    /// Takes the endpoint list, or changes to it.
    pub fn update_endpoints(&mut self, now: Micros, mode: ListMode, entries: Vec<Entry>) {
        let update = self.caches.update(mode, entries);
        let withdrawn = update.withdrawn.into_iter().map(Command::Withdraw);
        self.commands.extend(withdrawn);
        let servers = update.servers;
        self.drive(now, Event::List { mode, servers });
    }

    /// Takes what other proxies found: the origin is slow, and each may ask it for this share of its requests until
    /// this time.
    pub fn receive_origin_health(&mut self, now: Micros, origin_share: f64, until: Micros) {
        let valid_for_us = until.saturating_sub(now);
        self.drive(
            now,
            Event::OriginShareLimit {
                origin_share,
                valid_for_us,
            },
        );
    }

    /// Takes a lease: this proxy's part of what all proxies may spend together.
    pub fn receive_lease(&mut self, now: Micros, lease: linnetknot::Lease) {
        self.drive(now, Event::Lease(lease));
    }

    /// How many requests of this proxy the origin has, or may have, in flight.
    pub fn origin_in_flight(&self) -> usize {
        self.router.origin_requests_in_flight()
    }

    /// The greatest recent use of the capacity that a cache (or parent cache) has while in slow start, as a share of it;
    /// none: no cache is in slow start.
    pub fn slow_start_use(&self, now: Micros, parents: bool) -> Option<f64> {
        self.router.max_slow_start_usage(now, parents)
    }

    /// Takes the end of a health check.
    pub fn health_check_finished(
        &mut self,
        now: Micros,
        server: ServerId,
        outcome: Outcome,
        took_us: Micros,
        load: Option<Load>,
    ) {
        self.drive(
            now,
            Event::ProbeEnded {
                server,
                outcome,
                took_us,
                load,
            },
        );
    }

    /// Takes a wake-up that was asked for by [`Command::Wake`] and has come due.
    pub fn wake(&mut self, now: Micros, wake: Wake) {
        match wake {
            Wake::Router(tag) => self.drive(now, Event::Timer { tag }),
            Wake::Attempt(attempt) => self.cancel(now, attempt, Outcome::Timeout),
            Wake::Request(key) => self.expire(now, key),
        }
    }

    /// Hands an event to the decision module and carries out what it decides.
    fn drive(&mut self, now: Micros, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.router.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.execute(now, action);
        }
        self.actions = actions;
    }

    /// Carries out an action of the decision module.
    fn execute(&mut self, now: Micros, action: Action) {
        match action {
            Action::Attempt {
                request,
                server,
                timeout_us,
                fill,
            } => self.start_attempt(now, Key::from_u64(request), server, timeout_us, fill),
            Action::Cancel { request, attempt } => {
                let attempt = AttemptId {
                    request: Key::from_u64(request),
                    number: attempt,
                };
                self.cancel(now, attempt, Outcome::Cancelled);
            }
            Action::Refuse {
                request,
                retry_after_us,
            } => {
                let answer = Answer::Rejected { retry_after_us };
                self.finish(now, Key::from_u64(request), answer);
                self.requests.release_if_finished(Key::from_u64(request));
            }
            Action::Fail { request } => {
                self.finish(now, Key::from_u64(request), Answer::Failed);
                self.requests.release_if_finished(Key::from_u64(request));
            }
            Action::Timer { at, tag } => self.commands.push(Command::Wake(at, Wake::Router(tag))),
            Action::Probe { server } => self.commands.push(Command::Probe(server)),
            // The sources of the endpoint list push it without being asked.
            Action::Watch => {}
            Action::Report { line } => log::info!("{line}"),
        }
    }
}
