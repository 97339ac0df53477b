//! All decisions of the router. Its interface - settings, events and actions - stands in `crate::interface`.

mod capacity;
mod dispatch;
mod endpoints;
mod leases;
mod origin;
mod outcomes;
mod outliers;
mod placement;
mod purges;
mod requests;
mod retries;
mod retune;
mod slow_start;
mod state;
mod statistics;
mod timers;

use crate::aging::{Counts, Pace};
use crate::checks::SettingsError;
use crate::interface::{
    Action, Budget, Event, Lease, ListMode, Micros, RequestId, ServerId, Settings,
};
use linnetknot_purges::hashing::mix;
use linnetknot_purges::{BucketBits, KeyHash, PurgeTable};
use state::{Endpoint, OpenRequest};
use statistics::LINK_HALF_MS;
use std::collections::BTreeMap;
use timers::{TICK_TAG, TICK_US};

/// Half-life of the request counts: the design's value.
const COUNT_HALF_LIFE_S: f64 = 10.0;
/// Entries of a table of counts; the least counted go first when it is full.
const COUNT_TABLE_SIZE: usize = 20_000;
/// Purges held exactly, also once carried out: a fill across one may leave an older copy.
const EXACT_PURGE_CAPACITY: usize = 16_384;
/// Wait before the list is asked for again after a failed call.
const WATCH_RETRY_US: Micros = 1_000_000;
/// Tag of the timer to ask for the list again.
const WATCH_TAG: u64 = 1;

/// A router: one instance decides for one proxy.
pub struct Router {
    settings: Settings,
    random: u64,
    endpoints: BTreeMap<ServerId, Endpoint>,
    ready_by_role: [Vec<ServerId>; 3], // The ready ones of each role: all that a request ranks.
    seed: u64,
    requests: BTreeMap<RequestId, OpenRequest>,
    object_counts: Counts,
    part_counts: Counts,
    usual_transfer_s: Vec<(f64, f64)>, // By class: usual sending time in seconds, and how many it was learned from.
    tail_factor: Vec<f64>, // By class: what all but `TAIL_SHARE` of the answers took at most, over `expected_s`.
    miss_rate: f64,        // Share of attempts that find no copy in the cache.
    /// Fills that seem to be under way by the location's link from this router, now and on average.
    active_fills: f64,
    mean_active_fills: f64,
    /// Recent fills by the location's link, whoever gave them: what they took tells its size.
    link_pace: Pace<LINK_HALF_MS>,
    /// Share of the requests that may have the origin asked: it falls while its answers come too late.
    origin_share: f64,
    origin_learned_at: Micros,         // When that was last learned.
    origin_finding: Option<f64>,       // What it fell to by an answer that others should know of.
    origin_limit_heard: (f64, Micros), // What it may be at most by what others found, and until when.
    /// The latest purge of each object and of each group.
    purges: PurgeTable,
    leases: BTreeMap<Budget, Lease>, // Of what all routers share.
    ticking: bool,
}

impl Router {
    /// A router for one proxy. Equal settings, seed and events give equal actions.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let usual_transfer_s: Vec<_> = settings
            .classes
            .iter()
            .map(|c| (c.aim_us as f64 / 1e6 / 2.0, 0.0))
            .collect();
        Ok(Router {
            settings,
            random: mix(seed ^ 0x5bd1_e995),
            endpoints: BTreeMap::new(),
            ready_by_role: Default::default(),
            seed,
            requests: BTreeMap::new(),
            object_counts: Counts::new(COUNT_HALF_LIFE_S, COUNT_TABLE_SIZE),
            part_counts: Counts::new(COUNT_HALF_LIFE_S, COUNT_TABLE_SIZE),
            tail_factor: vec![4.0; usual_transfer_s.len()],
            usual_transfer_s,
            miss_rate: 0.5,
            active_fills: 0.0,
            mean_active_fills: 0.0,
            link_pace: Pace::default(),
            origin_share: 1.0,
            origin_learned_at: Micros::MAX, // The first answer speaks for itself alone.
            origin_finding: None,
            origin_limit_heard: (1.0, 0),
            purges: PurgeTable::new(EXACT_PURGE_CAPACITY, BucketBits::DEFAULT),
            leases: BTreeMap::new(),
            ticking: false,
        })
    }

    /// Takes an event in and appends what is to be done, in order.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        if !self.ticking {
            self.ticking = true;
            actions.push(Action::Timer {
                at: now + TICK_US,
                tag: TICK_TAG,
            });
            actions.extend(self.settings.ask_for_list.then_some(Action::Watch));
        }
        match event {
            Event::List {
                mode: ListMode::Failed,
                ..
            } => {
                actions.push(Action::Timer {
                    at: now + WATCH_RETRY_US,
                    tag: WATCH_TAG,
                });
            }
            Event::List { mode, servers } => self.update_endpoints(mode == ListMode::Full, servers),
            Event::Request(r) => self.request(now, r, actions),
            Event::Begun { request, attempt } => {
                let open = self.requests.get_mut(&request).into_iter();
                open.for_each(|o| {
                    o.streaming |= o.in_flight.as_ref().is_some_and(|a| a.number == attempt);
                });
            }
            Event::Outcome { .. } => self.outcome(now, event, actions),
            Event::Left { request } => self.client_left(request, actions),
            Event::Timer { tag: TICK_TAG } => self.tick(now, actions),
            Event::Timer { tag: WATCH_TAG } => actions.push(Action::Watch),
            Event::Timer { .. } | Event::Probed { .. } => {}
            Event::Heard {
                origin_share,
                for_us,
            } => self.origin_limit_heard = (origin_share, now + for_us),
            Event::Lease(lease) => drop(self.leases.insert(lease.budget, lease)),
            Event::Purged {
                object,
                group,
                age_us,
            } => {
                let key = object.map_or(KeyHash::of_group(group), |object| {
                    KeyHash::of_object(&object)
                });
                self.purges.record(key, now.saturating_sub(age_us));
            }
        }
    }
}
