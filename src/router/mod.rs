//! The decisions of the router. Its interface - settings, events and actions - stands in `crate::interface`.
//!
//! The way of a request: `requests` takes it in, `retries` decides whether an attempt is sent, `placement` picks its
//! target by way of `outliers`, `slow_start`, `capacity`, `leases` and `origin`, `dispatch` sends it, and `outcomes`
//! takes its end in, with `faults` and `statistics`. `timers` looks after what does not end.

mod capacity;
mod dispatch;
mod endpoints;
mod faults;
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
use linnetknot_purges::hashing::mix;
use linnetknot_purges::{BucketBits, PurgeTable};
use origin::OriginAdmission;
use outcomes::AttemptReport;
use state::{Endpoint, OpenRequest};
use statistics::{ClassStatistics, LINK_HALF_LIFE_MS};
use std::collections::BTreeMap;
use timers::TICK_TAG;

/// Half-life of the request counts.
const COUNT_HALF_LIFE_S: f64 = 10.0;
/// Entries of a table of counts; the least counted go first when it is full.
const COUNT_TABLE_SIZE: usize = 20_000;
/// Purges held exactly, also once carried out: a fill across one may leave an older copy.
const EXACT_PURGE_CAPACITY: usize = 16_384;
/// Share of attempts taken to find no copy before anything is learned.
const INITIAL_MISS_RATE: f64 = 0.5;

/// A router: one instance decides for one proxy.
pub struct Router {
    settings: Settings,
    seed: u64,
    /// State of the random picks among copies.
    random_state: u64,
    endpoints: BTreeMap<ServerId, Endpoint>,
    /// The ready servers of each role: all that a request ranks.
    ready_by_role: [Vec<ServerId>; 3],
    requests: BTreeMap<RequestId, OpenRequest>,
    /// Recent requests for each object, and for each part.
    object_counts: RequestCounts,
    part_counts: RequestCounts,
    /// By place of the class in the settings.
    class_statistics: Vec<ClassStatistics>,
    /// Share of attempts that find no copy in the cache.
    miss_rate: f64,
    /// Fills that seem to be under way by the location's link from this router, now and on average.
    active_fills: f64,
    mean_active_fills: f64,
    /// Recent fills by the location's link, whoever gave them: what they took tells its size.
    link_slowdown: SlowdownAverage<LINK_HALF_LIFE_MS>,
    origin_admission: OriginAdmission,
    /// The latest purge of each object and of each group.
    purges: PurgeTable,
    /// What is to be added to this router's clock for the one by which purges are dated.
    origin_offset_us: i64,
    /// What this router may spend of the budgets that all routers share.
    leases: BTreeMap<Budget, Lease>,
    /// The first event has been taken in.
    started: bool,
}

impl Router {
    /// A router for one proxy. Equal settings, seed and events give equal actions.
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
            started: false,
        })
    }

    /// Takes an event in and appends what is to be done, in order.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        if !self.started {
            self.started = true;
            Self::schedule_tick(now, actions);
            actions.extend(self.settings.polls_list.then_some(Action::Watch));
        }
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
                .set_peer_limit(origin_share, now + valid_for_us),
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
