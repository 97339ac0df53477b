//! The endpoint table: the last report of every source on each cache, and the entries and statuses that are published.

mod claims;
mod eviction;
mod ingest;
mod publish;
mod suppression;
mod verdict;

use crate::damping::{Damping, Penalty};
use crate::evidence::{
    EndpointStatus, Entry, Evidence, Explanation, Notice, Reason, Report, Source, SourceId,
    StatusChange,
};
use linnetknot::{ListMode, Micros, State};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Size limits of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of caches that at least one source lists.
    pub max_caches: usize,
    /// Maximum number of caches that are gone and whose penalties are retained in case they return.
    pub max_remembered: usize,
}

/// An update of the endpoint list, for the decision module.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEvent {
    /// Whether the entries are the full list or a delta.
    pub mode: ListMode,
    /// The entries, in the order in which they are applied.
    pub entries: Vec<Entry>,
}

/// The results of applying evidence, or of a call of [`EndpointTable::poll`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TableUpdate {
    /// Events for the decision module, in the order in which they are applied.
    pub events: Vec<ListEvent>,
    /// Status changes of caches, to be written to the log.
    pub changes: Vec<StatusChange>,
    /// Other conditions that operators should see, to be written to the log.
    pub notices: Vec<Notice>,
}

impl TableUpdate {
    /// Returns whether there are no events, changes or notices.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty() && self.changes.is_empty() && self.notices.is_empty()
    }
}

/// The last report of a source on a cache. The reported state is part of the entry.
#[derive(Clone, Debug)]
struct SourceReport {
    entry: Entry,
    reason: Reason,
    received_at: Micros,
}

impl SourceReport {
    fn is_listed(&self) -> bool {
        self.entry.server.state != State::Gone
    }
}

/// The last published entry and status of a cache.
#[derive(Clone, Debug)]
struct Published {
    entry: Entry,
    status: EndpointStatus,
    reason: Reason,
    source: SourceId,
    since: Micros,
}

/// The zone and kind of a cache. Caches of the same group can replace each other.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Group {
    zone: String,
    kind: String,
}

impl Group {
    fn of(entry: &Entry) -> Self {
        Group {
            zone: entry.server.zone.clone(),
            kind: entry.server.kind.clone(),
        }
    }
}

/// The reports on a cache and its published state.
#[derive(Clone, Debug)]
struct TrackedCache {
    reports: BTreeMap<SourceId, SourceReport>,
    /// Time at which the cache was first reported at its current address.
    address_since: Micros,
    penalty: Penalty,
    /// The cache is under damping: it returned with a penalty at or above the suppression threshold, and the penalty
    /// has not decayed below the reuse threshold since.
    damped: bool,
    /// The group in which the cache is counted as reported ready.
    ready_group: Option<Group>,
    /// Time at which the cache last returned. It is published as the start time, so that the cache gets a slow start.
    returned_at: Option<Micros>,
    published: Option<Published>,
}

impl TrackedCache {
    fn new(now: Micros) -> Self {
        TrackedCache {
            reports: BTreeMap::new(),
            address_since: now,
            penalty: Penalty::default(),
            damped: false,
            ready_group: None,
            returned_at: None,
            published: None,
        }
    }

    /// Returns the status of the cache that was published last.
    fn status(&self) -> EndpointStatus {
        self.published
            .as_ref()
            .map_or(EndpointStatus::Gone, |published| published.status)
    }

    /// Returns whether any source lists the cache.
    fn is_listed(&self) -> bool {
        self.reports.values().any(SourceReport::is_listed)
    }
}

/// The accumulated effects of one call.
struct Batch {
    now: Micros,
    /// Other caches whose verdicts the reports of this call may have changed.
    affected: BTreeSet<String>,
    update: TableUpdate,
}

impl Batch {
    fn new(now: Micros) -> Self {
        Batch {
            now,
            affected: BTreeSet::new(),
            update: TableUpdate::default(),
        }
    }
}

/// Combines the reports of all sources into the published endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointTable {
    sources: Vec<Source>,
    damping: Damping,
    limits: Limits,
    caches: BTreeMap<String, TrackedCache>,
    /// The ids of the caches that are reported at each address.
    address_claims: BTreeMap<SocketAddr, BTreeSet<String>>,
    /// Sources that have reported a full list. A cache that such a source lists for the first time later has just
    /// started.
    initialized: BTreeSet<SourceId>,
    /// Ids of the caches under damping.
    damped: BTreeSet<String>,
    /// Number of caches reported ready, by group.
    ready_counts: BTreeMap<Group, usize>,
    /// Ids of the caches whose verdict is `Gone`.
    gone: BTreeSet<String>,
}

impl EndpointTable {
    /// Creates an empty table. The sources are in order of precedence: if two sources report different values of an
    /// attribute of a cache, the value of the first source is used. The state of a cache is combined from all sources
    /// instead.
    pub fn new(sources: Vec<Source>, damping: Damping, limits: Limits) -> Self {
        EndpointTable {
            sources,
            damping,
            limits,
            caches: BTreeMap::new(),
            address_claims: BTreeMap::new(),
            initialized: BTreeSet::new(),
            damped: BTreeSet::new(),
            ready_counts: BTreeMap::new(),
            gone: BTreeSet::new(),
        }
    }

    /// Returns the name of a source, or `?` for an unknown one.
    pub fn source_name(&self, id: SourceId) -> &str {
        self.sources.get(id.0).map_or("?", |source| &source.name)
    }

    /// Applies evidence of a source. Evidence of an unknown source is ignored.
    pub fn apply(&mut self, now: Micros, source: SourceId, evidence: Evidence) -> TableUpdate {
        let mut batch = Batch::new(now);
        let Some(relayed) = self.sources.get(source.0).map(|source| source.relayed) else {
            return batch.update;
        };
        let (mode, reports) = match evidence {
            Evidence::Full(reports) => (ListMode::Full, reports),
            Evidence::Delta(reports) => (ListMode::Delta, reports),
        };
        let entries = if relayed {
            self.ingest_list(source, mode, reports, &mut batch)
        } else {
            let reports = self.unique_reports(source, reports, &mut batch);
            self.ingest_list(source, mode, reports, &mut batch)
        };
        let mut follow_ups = Vec::new();
        for uid in std::mem::take(&mut batch.affected) {
            self.update_cache(&uid, &mut follow_ups, &mut batch);
        }
        self.rebalance_suppression(&mut follow_ups, &mut batch);
        let events = &mut batch.update.events;
        if relayed {
            events.push(ListEvent { mode, entries });
        } else {
            push_changes(events, entries);
        }
        push_changes(events, follow_ups);
        self.evict_gone(now);
        batch.update
    }

    /// Applies the reports of a source and returns the resulting entries. Caches that a full list omits are removed
    /// first, which frees capacity and addresses, but their entries come last.
    fn ingest_list(
        &mut self,
        source: SourceId,
        mode: ListMode,
        reports: Vec<Report>,
        batch: &mut Batch,
    ) -> Vec<Entry> {
        let is_full = mode == ListMode::Full;
        let removals = if is_full {
            self.unlist_omitted(source, &reports, batch)
        } else {
            Vec::new()
        };
        let mut entries = Vec::new();
        for report in reports {
            self.ingest(source, report, &mut entries, batch);
        }
        if is_full {
            self.initialized.insert(source);
        }
        entries.extend(removals);
        entries
    }

    /// Ends the suppression of caches whose penalty has decayed.
    pub fn poll(&mut self, now: Micros) -> TableUpdate {
        let mut batch = Batch::new(now);
        let mut entries = Vec::new();
        self.rebalance_suppression(&mut entries, &mut batch);
        push_changes(&mut batch.update.events, entries);
        self.evict_gone(now);
        batch.update
    }

    /// Returns the time at which [`poll`](Self::poll) has to be called next, if any cache is under damping.
    pub fn next_due(&self, now: Micros) -> Option<Micros> {
        let damping = &self.damping;
        let damped = self.damped.iter().filter_map(|uid| self.caches.get(uid));
        damped
            .map(|cache| cache.penalty.decays_below_at(damping, damping.reuse, now))
            .min()
    }

    /// Returns the published entry and status of each cache that is not gone.
    pub fn listed(&self) -> impl Iterator<Item = (&Entry, EndpointStatus)> {
        self.caches
            .values()
            .filter_map(|cache| cache.published.as_ref())
            .filter(|published| published.status != EndpointStatus::Gone)
            .map(|published| (&published.entry, published.status))
    }

    /// Returns the entries of the caches that a source lists, as the source reports them.
    pub fn reported_by(&self, source: SourceId) -> impl Iterator<Item = &Entry> {
        self.caches
            .values()
            .filter_map(move |cache| cache.reports.get(&source))
            .filter(|report| report.is_listed())
            .map(|report| &report.entry)
    }

    /// Replaces the damping parameters.
    pub fn set_damping(&mut self, damping: Damping) {
        self.damping = damping;
    }

    /// Returns the published status of a cache, or `Gone` for an unknown one.
    pub fn status(&self, uid: &str) -> EndpointStatus {
        self.caches
            .get(uid)
            .map_or(EndpointStatus::Gone, TrackedCache::status)
    }

    /// Explains the status of a cache. Returns `None` for an unknown cache.
    pub fn explain(&self, uid: &str, now: Micros) -> Option<Explanation> {
        let damping = &self.damping;
        let cache = self.caches.get(uid)?;
        let published = cache.published.as_ref()?;
        let is_suppressed = published.status == EndpointStatus::Suppressed;
        Some(Explanation {
            entry: published.entry.clone(),
            status: published.status,
            since: published.since,
            reason: published.reason.clone(),
            source: published.source,
            penalty: cache.penalty.value(damping, now),
            suppressed_until: is_suppressed
                .then(|| cache.penalty.decays_below_at(damping, damping.reuse, now)),
        })
    }

    /// Explains the status of all known caches, in the order of their ids.
    pub fn explain_all(&self, now: Micros) -> impl Iterator<Item = Explanation> + '_ {
        self.caches
            .keys()
            .filter_map(move |uid| self.explain(uid, now))
    }
}

/// Appends a delta event with the entries, if there are any. Removals come first, because an address may move from a
/// removed cache to another cache within an event.
fn push_changes(events: &mut Vec<ListEvent>, mut entries: Vec<Entry>) {
    if entries.is_empty() {
        return;
    }
    entries.sort_by_key(|entry| match entry.server.state {
        State::Gone => 0,
        State::Draining => 1,
        State::Ready => 2,
    });
    events.push(ListEvent {
        mode: ListMode::Delta,
        entries,
    });
}
