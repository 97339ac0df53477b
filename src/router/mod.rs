//! The routing decisions. The interface (settings, events and actions) is in `crate::interface`.
//!
//! `requests` accepts a request, `retries` decides whether to send an attempt, and `placement` selects its target with
//! the help of `outliers`, `slow_start`, `capacity`, `leases` and `origin`. `dispatch` sends the attempt, and
//! `outcomes` processes its end with `faults` and `statistics`. `timers` handles attempts that do not end in time.

mod capacity;
mod dispatch;
mod endpoints;
mod faults;
mod learned;
mod leases;
mod origin;
mod outcomes;
mod outliers;
mod placement;
mod purges;
mod reload;
mod requests;
mod retries;
mod slow_start;
mod state;
mod statistics;
mod timers;

use crate::interface::{
    Action, Budget, Event, Lease, Micros, RequestId, ServerId, Settings, SettingsError,
};
use crate::statistics::{RequestCounts, SlowdownAverage};
use endpoints::WATCH_TAG;
pub use learned::LearnedValue;
use leases::ExpiredAttempt;
use linnetknot_purges::hashing::mix;
use linnetknot_purges::{BucketBits, PurgeTable};
use origin::OriginAdmission;
use outcomes::AttemptReport;
use state::{Endpoint, OpenRequest};
use statistics::{ClassStatistics, LINK_HALF_LIFE_MS};
use std::collections::{BTreeMap, BTreeSet};
use timers::TICK_TAG;

const COUNT_HALF_LIFE_S: f64 = 10.0;
/// Maximum number of entries of the tables that count requests by object and by part.
const COUNT_TABLE_SIZE: usize = 20_000;
/// Number of purges kept exactly. Completed purges are kept too, because a fill that overlaps a purge may store an
/// older copy.
const EXACT_PURGE_CAPACITY: usize = 16_384;
/// Assumed cache miss rate before any answer has been received.
const INITIAL_MISS_RATE: f64 = 0.5;

/// An instance of the decision module, which makes the routing decisions of one proxy.
pub struct Router {
    settings: Settings,
    seed: u64,
    /// State of the random number generator that selects among copies.
    random_state: u64,
    endpoints: BTreeMap<ServerId, Endpoint>,
    /// Ids of the servers that accept requests, by role.
    ready_by_role: [Vec<ServerId>; 3],
    requests: BTreeMap<RequestId, OpenRequest>,
    /// Recent requests by object and by part.
    object_counts: RequestCounts,
    part_counts: RequestCounts,
    /// Statistics of each class of requests, in the order of the classes in the settings.
    class_statistics: Vec<ClassStatistics>,
    /// Cache miss rate of attempts.
    miss_rate: f64,
    /// Estimated fills of this router in progress on the location's link, currently and on average.
    active_fills: f64,
    mean_active_fills: f64,
    /// Slowdown of recent fills on the location's link, from all sources, from which its capacity is estimated.
    link_slowdown: SlowdownAverage<LINK_HALF_LIFE_MS>,
    origin_admission: OriginAdmission,
    /// The latest purge of each object and of each group.
    purges: PurgeTable,
    /// Offset from this router's clock to the clock by which purges are dated.
    origin_offset_us: i64,
    /// This router's leases on shared budgets.
    leases: BTreeMap<Budget, Lease>,
    /// The expired attempts that may still be in flight at the origin.
    expired_origin_attempts: BTreeSet<ExpiredAttempt>,
    /// The first event has been handled.
    started: bool,
}

impl Router {
    /// Returns a router for one proxy. Its actions depend only on the settings, the seed and the events.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let class_statistics = settings.classes.iter().map(ClassStatistics::new).collect();
        Ok(Router {
            settings,
            seed,
            random_state: mix(seed ^ 0x5bd1_e995),
            endpoints: BTreeMap::new(),
            ready_by_role: Default::default(),
            requests: BTreeMap::new(),
            object_counts: RequestCounts::new(COUNT_HALF_LIFE_S, COUNT_TABLE_SIZE),
            part_counts: RequestCounts::new(COUNT_HALF_LIFE_S, COUNT_TABLE_SIZE),
            class_statistics,
            miss_rate: INITIAL_MISS_RATE,
            active_fills: 0.0,
            mean_active_fills: 0.0,
            link_slowdown: SlowdownAverage::default(),
            origin_admission: OriginAdmission::new(),
            purges: PurgeTable::new(EXACT_PURGE_CAPACITY, BucketBits::DEFAULT),
            origin_offset_us: 0,
            leases: BTreeMap::new(),
            expired_origin_attempts: BTreeSet::new(),
            started: false,
        })
    }

    /// Starts the periodic work and the polling of the server list at the first event.
    fn start_once(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.started {
            return;
        }
        self.started = true;
        Self::schedule_tick(now, actions);
        actions.extend(self.settings.polls_list.then_some(Action::Watch));
    }

    /// Handles an event and appends the resulting actions in order.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.start_once(now, actions);
        match event {
            Event::List { mode, servers } => self.update_endpoints(now, mode, servers, actions),
            Event::Request(request) => self.handle_request(now, &request, actions),
            Event::StreamStarted { request, attempt } => self.stream_started(request, attempt),
            Event::AttemptEnded {
                request,
                attempt,
                server: _,
                outcome,
                took_us,
                settled,
                note,
                first_byte_us,
                load: _,
            } => {
                let report = AttemptReport {
                    request,
                    attempt,
                    outcome,
                    took_us,
                    settled,
                    note,
                    first_byte_us,
                };
                self.attempt_ended(now, &report, actions);
            }
            Event::ClientLeft { request } => self.client_left(request, actions),
            Event::Timer { tag: TICK_TAG } => self.tick(now, actions),
            Event::Timer { tag: WATCH_TAG } => actions.push(Action::Watch),
            Event::Timer { .. } | Event::ProbeEnded { .. } => {}
            Event::OriginShareLimit {
                origin_share,
                valid_for_us,
            } => self
                .origin_admission
                .set_peer_limit(origin_share, now.saturating_add(valid_for_us)),
            Event::Lease(lease) => {
                self.leases.insert(lease.budget, lease);
            }
            Event::Purged {
                object,
                group,
                age_us,
            } => self.record_purge(now, age_us, object.as_deref(), group),
        }
    }
}
