//! Requests, attempts and outcomes, without any I/O. The core drives the decision module and ensures that every request
//! gets exactly one final answer. `front` and `upstream` translate between the core and the wire protocols.
//!
//! The event loop reports what happens (a request, the end of an attempt, a wake-up) together with the time, and
//! executes the [`Command`]s that follow.
//!
//! * `request`, `attempt`, `command`, `counters`: the types of this interface;
//! * `request_table`, `cache_table`: the open requests and the servers of the endpoint list;
//! * `executed_ids`: the ids of requests that have ended and must not run again;
//! * `requests`, `attempts`, `purging`: the operations on these tables and on purges.

mod attempt;
mod attempts;
mod cache_table;
mod command;
mod counters;
mod executed_ids;
mod purging;
mod request;
mod request_table;
mod requests;

pub use attempt::{AttemptId, AttemptResult, AttemptTarget, Dispatch};
pub use command::{Command, Wake};
pub use counters::Counters;
pub use linnetknot_discovery::{server_id, Entry};
pub use request::{AdmissionError, Answer, Client, ClientRequest, Content, RequestKey};

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

/// Log target of the traces at level debug: attempts, final answers and connections to caches.
pub(crate) const TRACE: &str = "linnetknot::trace";

/// The request table and the decision module.
pub struct Core {
    router: Router,
    origin_clock: OriginClock,
    /// The maximum time for which a request may be open, regardless of the budget of its client.
    pub max_request_us: Micros,
    /// The time by which all requests must be answered because the process shuts down.
    shutdown_deadline: Micros,
    requests: RequestTable,
    caches: CacheTable,
    /// Classes whose requests must carry an idempotency key.
    keyed_classes: Vec<String>,
    /// Classes whose requests may run any number of times.
    idempotent_classes: Vec<String>,
    /// The time between the latest final answer and the deadline of the client, reserved for the transfer of the
    /// answer.
    response_margin_us: Micros,
    /// A reusable buffer for the actions of the decision module, empty between events.
    actions: Vec<Action>,
    commands: Vec<Command>,
    /// Totals of requests and attempts.
    pub counters: Counters,
}

/// Returns the classes whose requests may be repeated in this way.
fn classes_with(settings: &Settings, repeat: Repeat) -> Vec<String> {
    let classes = settings.classes.iter();
    classes
        .filter(|class| class.repeat == repeat)
        .map(|class| class.name.clone())
        .collect()
}

impl Core {
    /// Creates a core with an empty endpoint list.
    ///
    /// # Errors
    /// Fails if the settings are invalid.
    pub fn new(settings: Settings, seed: u64, limits: &Limits) -> Result<Self, SettingsError> {
        Ok(Core {
            keyed_classes: classes_with(&settings, Repeat::Keyed),
            idempotent_classes: classes_with(&settings, Repeat::Safe),
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

    /// Applies the settings of a reload. Open requests keep the class that they were admitted with.
    ///
    /// # Errors
    /// Fails if the settings are invalid. The previous settings then stay in force.
    pub fn apply_settings(&mut self, settings: Settings) -> Result<(), SettingsError> {
        let keyed_classes = classes_with(&settings, Repeat::Keyed);
        let idempotent_classes = classes_with(&settings, Repeat::Safe);
        self.router.update_settings(settings)?;
        self.keyed_classes = keyed_classes;
        self.idempotent_classes = idempotent_classes;
        Ok(())
    }

    /// Takes the pending commands, in order.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// Whether no request is open.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    /// Whether any cache is ready.
    pub fn is_ready(&self) -> bool {
        self.caches.any_ready()
    }

    /// Whether at least half of the request table is in use.
    pub fn is_half_full(&self) -> bool {
        self.requests.is_half_full()
    }

    /// Whether the endpoint list states that a cache is ready.
    pub fn is_cache_ready(&self, id: ServerId) -> bool {
        self.caches.is_ready(id)
    }

    /// Returns the id of a cache on the wire; `None` if it is gone.
    pub fn wire_id(&self, id: ServerId) -> Option<&str> {
        self.caches.wire_id(id)
    }

    /// Returns the address of a cache; `None` if it is gone.
    pub fn endpoint(&self, id: ServerId) -> Option<SocketAddr> {
        self.caches.endpoint(id)
    }

    /// Whether a connection to a cache that was opened at this time to this address leads to an earlier process.
    pub fn is_connection_outdated(
        &self,
        id: ServerId,
        endpoint: Option<SocketAddr>,
        opened_at: Micros,
    ) -> bool {
        self.caches.is_outdated(id, endpoint, opened_at)
    }

    /// Returns the id of a cache on the wire for the log; `-` if it is gone.
    pub fn wire_id_or_dash(&self, id: ServerId) -> &str {
        self.wire_id(id).unwrap_or("-")
    }

    /// Applies the endpoint list, or changes to it.
    pub fn update_endpoints(&mut self, now: Micros, mode: ListMode, entries: Vec<Entry>) {
        let update = self.caches.update(now, mode, entries);
        let withdrawn = update.withdrawn.into_iter().map(Command::Withdraw);
        self.commands.extend(withdrawn);
        let servers = update.servers;
        self.drive(now, Event::List { mode, servers });
    }

    /// Applies a report of other proxies that the origin is slow: each proxy may send only the fraction `origin_share`
    /// (0 to 1) of its requests to the origin until the time `until`.
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

    /// Applies a lease: the part of a shared budget that this proxy may spend.
    pub fn receive_lease(&mut self, now: Micros, lease: linnetknot::Lease) {
        self.drive(now, Event::Lease(lease));
    }

    /// Returns the maximum number of requests of this proxy that the origin may currently be processing.
    pub fn origin_in_flight(&self) -> usize {
        self.router.origin_requests_in_flight()
    }

    /// Returns the highest recent utilization among the caches in slow start (with `parents`, among the parents), as a
    /// fraction of the capacity; `None` if there are none in slow start.
    pub fn slow_start_use(&self, now: Micros, parents: bool) -> Option<f64> {
        self.router.max_slow_start_usage(now, parents)
    }

    /// Reports the outcome and the duration of a health check to the decision module.
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

    /// Processes a wake-up that was requested by [`Command::Wake`], when its time has come.
    pub fn wake(&mut self, now: Micros, wake: Wake) {
        match wake {
            Wake::Router(tag) => self.drive(now, Event::Timer { tag }),
            Wake::Attempt(attempt) => self.cancel(now, attempt, Outcome::Timeout),
            Wake::Request(key) => self.expire(now, key),
        }
    }

    /// Passes an event to the decision module and executes its actions.
    fn drive(&mut self, now: Micros, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.router.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.execute(now, action);
        }
        self.actions = actions;
    }

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
                self.release_if_finished(now, Key::from_u64(request));
            }
            Action::Fail { request } => {
                self.finish(now, Key::from_u64(request), Answer::Failed);
                self.release_if_finished(now, Key::from_u64(request));
            }
            Action::Timer { at, tag } => self.commands.push(Command::Wake(at, Wake::Router(tag))),
            Action::Probe { server } => self.commands.push(Command::Probe(server)),
            // The sources of the endpoint list push updates, so no subscription is needed.
            Action::Watch => {}
            Action::Report { line } => log::info!("{line}"),
        }
    }
}
