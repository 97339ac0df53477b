//! Watches a service: schedules the queries, selects the agent of each, and applies the responses.
//!
//! The watch follows Consul's page 'Blocking Queries': an index that goes backwards restarts the watch, an index of 0
//! counts as 1, and queries are rate-limited. The following rules are specific to this client:
//!
//! - A cache that a health response no longer lists gets no new work. It is removed once the catalog does not list it
//!   either.
//! - If a health response omits too many known caches, only the caches that it lists are updated. The omissions are
//!   applied once the catalog confirms them, with a consistent read from another agent if there is one.
//! - A failed call does not change the endpoint list. The next call goes to the next agent.
//! - A list that was cut off twice in a row by a timeout is asked for with longer timeouts.

mod event;
mod options;
mod query;
mod reader;
mod reconcile;
mod response;

pub use event::WatchEvent;
pub use options::{Consistency, Options};

use crate::backoff::Backoff;
use crate::error::CallError;
use crate::mapping::Mapping;
use crate::timeouts::CutOffs;
use linnetknot::Micros;
use linnetknot_discovery::{Entry, Evidence, Reason, Report};
use query::Query;
use reader::ResponseReader;
use std::collections::hash_map::HashMap;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Minimum time between two queries. The time doubles with each consecutive response without a change.
const MIN_QUERY_GAP_US: Micros = 10_000;
/// Maximum time between two queries after responses without a change.
const MAX_QUERY_GAP_US: Micros = 500_000;

/// The results of a response or a failure.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WatchUpdate {
    /// Changes of the endpoint list; `None` if there are none.
    pub evidence: Option<Evidence>,
    /// Events for the log. A condition that persists is reported once, when it begins.
    pub events: Vec<WatchEvent>,
    /// Whether the response has confirmed the complete endpoint list, changed or not.
    pub confirmed: bool,
}

/// A health response that omits too many known caches, so that its omissions have to be confirmed.
#[derive(Clone, Copy, Debug)]
struct UnconfirmedShrink {
    /// Number of known caches that the response lists.
    listed: usize,
    /// Number of caches in the last reported endpoint list.
    known: usize,
}

/// The last reported failure.
#[derive(Clone, Debug, PartialEq, Eq)]
struct FailedCall {
    agent: usize,
    error: CallError,
}

/// Watches the instances of a service.
#[derive(Clone, Debug)]
pub struct Watch {
    options: Options,
    mapping: Mapping,
    /// Index of the agent that is queried.
    agent: usize,
    /// Time at which the first agent is tried again after a failover.
    primary_retry_at: Micros,
    /// Consul's index of the last response. The next query blocks until there are changes after it; with 0 the query
    /// does not block.
    index: u64,
    query: Query,
    /// Time at which the call in flight was sent.
    pending_since: Option<Micros>,
    next_at: Micros,
    /// The last reported endpoint list, without caches that are gone.
    endpoints: BTreeMap<String, Arc<Report>>,
    /// Whether a full list has been reported to the caller.
    initialized: bool,
    /// Caches of `endpoints` that the last health response omitted.
    missing: BTreeSet<String>,
    unconfirmed: Option<UnconfirmedShrink>,
    /// Number of consecutive health responses whose omissions the catalog contradicted.
    contradictions: u32,
    /// Number of consecutive responses without a change.
    unchanged: u32,
    backoff: Backoff,
    /// Responses of the health API that were cut off since its last complete list.
    health_cut_offs: CutOffs,
    /// Responses of the catalog API that were cut off since its last complete list. The health query between two
    /// catalog queries does not reset it.
    catalog_cut_offs: CutOffs,
    last_failure: Option<FailedCall>,
    /// Id and invalid key of each skipped instance that has been reported to the caller.
    skipped: BTreeSet<(String, String)>,
    /// Whether more than half of the instances of the last response were unusable.
    mostly_unusable: bool,
    /// Ids that the last response listed at two addresses.
    duplicates: BTreeSet<String>,
    /// Until this time queries go to the leader, after a response was too stale.
    leader_reads_until: Micros,
    reader: ResponseReader,
    /// The reports of the last response by the hash of their elements' text. Most elements of the next response are
    /// unchanged and need not be parsed again.
    reports_by_hash: HashMap<u64, Arc<Report>>,
}

impl Watch {
    /// Creates a watch without an endpoint list.
    pub fn new(options: Options, mapping: Mapping, seed: u64) -> Self {
        Watch {
            backoff: Backoff::new(options.min_backoff_us, options.max_backoff_us, seed),
            options,
            mapping,
            agent: 0,
            primary_retry_at: 0,
            index: 0,
            query: Query::Health,
            pending_since: None,
            next_at: 0,
            endpoints: BTreeMap::new(),
            initialized: false,
            missing: BTreeSet::new(),
            unconfirmed: None,
            contradictions: 0,
            unchanged: 0,
            health_cut_offs: CutOffs::default(),
            catalog_cut_offs: CutOffs::default(),
            last_failure: None,
            skipped: BTreeSet::new(),
            mostly_unusable: false,
            duplicates: BTreeSet::new(),
            leader_reads_until: 0,
            reader: ResponseReader::default(),
            reports_by_hash: HashMap::new(),
        }
    }

    /// Restores a cached list. The list counts as reported, so that an empty first response can't remove its caches.
    pub fn restore(&mut self, entries: &[Entry]) -> Evidence {
        let report = |entry: &Entry| Report {
            entry: entry.clone(),
            reason: Reason::Cached,
        };
        self.endpoints = entries
            .iter()
            .map(|entry| (entry.uid.clone(), Arc::new(report(entry))))
            .collect();
        self.initialized = true;
        self.full_list()
    }

    /// Replaces the options and the mapping. The endpoint list is kept until a response changes it. The caller must
    /// discard the result of a call in flight.
    pub fn reconfigure(&mut self, options: Options, mapping: Mapping) {
        if self.options.agents != options.agents {
            self.agent = 0;
        }
        self.options = options;
        self.mapping = mapping;
        self.health_cut_offs.reset();
        self.catalog_cut_offs.reset();
        self.restart();
        self.next_at = 0;
        self.pending_since = None;
        self.reports_by_hash.clear();
    }

    /// Returns the time at which the next call is due, or `None` while a call is in flight.
    pub fn due(&self) -> Option<Micros> {
        self.pending_since.is_none().then_some(self.next_at)
    }

    /// Resets the watch, so that the next query requests the full list without blocking.
    fn restart(&mut self) {
        self.index = 0;
        self.query = Query::Health;
        self.unconfirmed = None;
    }

    /// Selects the next agent in the list.
    fn rotate_agent(&mut self) {
        if self.options.agents > 1 {
            self.agent = (self.agent + 1) % self.options.agents;
        }
    }

    fn full_list(&self) -> Evidence {
        let reports = self.endpoints.values();
        Evidence::Full(reports.map(|report| Report::clone(report)).collect())
    }
}
