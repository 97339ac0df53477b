//! Following one service: which query is next, where and when, and what its response is worth.
//!
//! The rules of Consul's page 'Blocking Queries' hold: an index that goes backwards restarts the watch, an index of 0
//! counts as 1, and queries are rate-limited. What the documentation leaves to the client is decided here:
//!
//! - A cache that a health response no longer lists gets no new work at once; it is gone once the catalog does not list
//!   it either.
//! - A health response that leaves out too many known caches is not believed at once: what it states of those that it
//!   lists counts, the omissions wait until the catalog confirms them, read through the leader and from another agent
//!   where there is one.
//! - A failed call changes nothing: the last endpoint list stays in force, and the next agent is queried.

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
use linnetknot::Micros;
use linnetknot_discovery::{Entry, Evidence, Reason, Report};
use query::Query;
use reader::ResponseReader;
use std::collections::hash_map::HashMap;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Shortest time between two queries; it doubles with each response in a row that brings no change.
const MIN_QUERY_GAP_US: Micros = 10_000;
/// Longest time between two queries for want of changes.
const MAX_QUERY_GAP_US: Micros = 500_000;

/// What follows from a response or a failure.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WatchUpdate {
    /// What it changes in the endpoint list.
    pub evidence: Option<Evidence>,
    /// What the operators should know; a lasting condition is reported once, when it begins.
    pub events: Vec<WatchEvent>,
    /// Consul has confirmed the endpoint list as it stands, changed or not.
    pub confirmed: bool,
}

/// A health response that leaves out too many known caches to be believed at once.
#[derive(Clone, Copy, Debug)]
struct UnconfirmedShrink {
    /// How many of the known caches it lists.
    listed: usize,
    /// How many were known.
    known: usize,
}

/// A failure as it was last reported.
#[derive(Clone, Debug, PartialEq, Eq)]
struct FailedCall {
    agent: usize,
    error: CallError,
}

/// The watch of one service.
#[derive(Clone, Debug)]
pub struct Watch {
    options: Options,
    mapping: Mapping,
    /// Index of the agent that is queried.
    agent: usize,
    /// After a failover: when the first agent is tried again.
    primary_retry_at: Micros,
    /// Consul's index, behind which the next query blocks; 0: it does not block.
    index: u64,
    query: Query,
    /// When the call in flight was sent.
    pending_since: Option<Micros>,
    next_at: Micros,
    /// The endpoint list as it was last reported, without caches that are gone.
    endpoints: BTreeMap<String, Arc<Report>>,
    /// A full list has been reported.
    initialized: bool,
    /// Caches of `endpoints` that the last health response left out.
    missing: BTreeSet<String>,
    unconfirmed: Option<UnconfirmedShrink>,
    /// Health responses in a row whose omissions the catalog has contradicted.
    contradictions: u32,
    /// Responses in a row that changed nothing.
    unchanged: u32,
    backoff: Backoff,
    last_failure: Option<FailedCall>,
    /// Id and key at fault of each instance that is skipped, as reported.
    skipped: BTreeSet<(String, String)>,
    /// More than half of the instances of the last response were unusable.
    mostly_unusable: bool,
    /// Ids that the last response had twice.
    duplicates: BTreeSet<String>,
    /// Until then no stale reads, since one was too stale.
    leader_reads_until: Micros,
    reader: ResponseReader,
    /// The reports of the last response by the hash of their elements' text: most return unchanged in the next one.
    reports_by_hash: HashMap<u64, Arc<Report>>,
}

impl Watch {
    /// A watch without an endpoint list.
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
            last_failure: None,
            skipped: BTreeSet::new(),
            mostly_unusable: false,
            duplicates: BTreeSet::new(),
            leader_reads_until: 0,
            reader: ResponseReader::default(),
            reports_by_hash: HashMap::new(),
        }
    }

    /// Starts from a cached list. It counts as reported, so an empty first response can't wipe it out.
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

    /// Changes options and mapping. The endpoint list stays until a response changes it. The outcome of a call in
    /// flight is no longer to be reported.
    pub fn reconfigure(&mut self, options: Options, mapping: Mapping) {
        if self.options.agents != options.agents {
            self.agent = 0;
        }
        self.options = options;
        self.mapping = mapping;
        self.restart();
        self.next_at = 0;
        self.pending_since = None;
        self.reports_by_hash.clear();
    }

    /// When the next call is due; none while one is in flight.
    pub fn due(&self) -> Option<Micros> {
        self.pending_since.is_none().then_some(self.next_at)
    }

    /// Makes the next query one for the full list, without blocking.
    fn restart(&mut self) {
        self.index = 0;
        self.query = Query::Health;
        self.unconfirmed = None;
    }

    /// Turns to the next agent in the list.
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
