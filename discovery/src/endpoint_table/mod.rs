//! The endpoint table: the last report of every source on each cache, what follows from them, and what of that was
//! published.

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

/// Bounds of the table's size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Caches that any source lists.
    pub max_caches: usize,
    /// Caches that are gone, whose penalties are remembered in case they return.
    pub max_remembered: usize,
}

/// A change of the endpoint list, for the decision module.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEvent {
    /// Whether the entries are the full list or what has changed.
    pub mode: ListMode,
    /// The entries, in this order.
    pub entries: Vec<Entry>,
}

/// What follows from evidence, or from the passing of time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TableUpdate {
    /// Events for the decision module, in this order.
    pub events: Vec<ListEvent>,
    /// Changes of status, for the log.
    pub changes: Vec<StatusChange>,
    /// What operators should know besides.
    pub notices: Vec<Notice>,
}

impl TableUpdate {
    /// Whether nothing follows.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty() && self.changes.is_empty() && self.notices.is_empty()
    }
}

/// A source's last report on a cache; the state is part of the entry.
#[derive(Clone, Debug)]
struct SourceReport {
    entry: Entry,
    reason: Reason,
    received_at: Micros,
}

impl SourceReport {
    /// Whether the source lists the cache.
    fn is_listed(&self) -> bool {
        self.entry.server.state != State::Gone
    }
}

/// What was last published of a cache.
#[derive(Clone, Debug)]
struct Published {
    entry: Entry,
    status: EndpointStatus,
    reason: Reason,
    source: SourceId,
    since: Micros,
}

/// Zone and kind: caches that can stand in for each other.
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

/// All that is known of one cache.
#[derive(Clone, Debug)]
struct TrackedCache {
    reports: BTreeMap<SourceId, SourceReport>,
    /// When it was first reported at its present address.
    address_since: Micros,
    penalty: Penalty,
    /// It came back with too high a penalty, which has not decayed yet.
    damped: bool,
    /// The group in which it is counted as reported ready.
    ready_group: Option<Group>,
    /// When it last came back; the decision module starts it slowly from then, as one that has just started.
    returned_at: Option<Micros>,
    published: Option<Published>,
}

impl TrackedCache {
    /// A cache without reports.
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

    /// The status that was last published.
    fn status(&self) -> EndpointStatus {
        self.published
            .as_ref()
            .map_or(EndpointStatus::Gone, |published| published.status)
    }

    /// Whether any source lists it.
    fn is_listed(&self) -> bool {
        self.reports.values().any(SourceReport::is_listed)
    }
}

/// The effects of one call as they accumulate.
struct Batch {
    now: Micros,
    /// Other caches whose verdict may have changed with a report.
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

/// The endpoint table.
#[derive(Clone, Debug)]
pub struct EndpointTable {
    sources: Vec<Source>,
    damping: Damping,
    limits: Limits,
    caches: BTreeMap<String, TrackedCache>,
    /// The caches that are reported to listen at an address.
    address_claims: BTreeMap<SocketAddr, BTreeSet<String>>,
    /// Sources that have given a full list: a cache that they list for the first time from then on has just started.
    initialized: BTreeSet<SourceId>,
    /// Caches under damping.
    damped: BTreeSet<String>,
    /// Number of caches reported ready, by group.
    ready_counts: BTreeMap<Group, usize>,
    /// Caches that no source lists.
    gone: BTreeSet<String>,
}

impl EndpointTable {
    /// An empty table. The sources are in order of precedence: where two differ on anything but the state of a cache,
    /// the first one counts.
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

    /// Name of a source.
    pub fn source_name(&self, id: SourceId) -> &str {
        self.sources.get(id.0).map_or("?", |source| &source.name)
    }

    /// Takes evidence of a source. That of an unknown source is ignored.
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

    /// Takes in a source's reports; gives the entries that follow. What a full list omits is removed first, which frees
    /// capacity and addresses, but published last.
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

    /// Ends the suppression of caches that have been steady for long enough.
    pub fn poll(&mut self, now: Micros) -> TableUpdate {
        let mut batch = Batch::new(now);
        let mut entries = Vec::new();
        self.rebalance_suppression(&mut entries, &mut batch);
        push_changes(&mut batch.update.events, entries);
        self.evict_gone(now);
        batch.update
    }

    /// When [`poll`](Self::poll) has something to do at the latest.
    pub fn next_due(&self, now: Micros) -> Option<Micros> {
        let damping = &self.damping;
        let damped = self.damped.iter().filter_map(|uid| self.caches.get(uid));
        damped
            .map(|cache| cache.penalty.decays_below_at(damping, damping.reuse, now))
            .min()
    }

    /// Caches that some source lists, as they are published.
    pub fn listed(&self) -> impl Iterator<Item = (&Entry, EndpointStatus)> {
        self.caches
            .values()
            .filter_map(|cache| cache.published.as_ref())
            .filter(|published| published.status != EndpointStatus::Gone)
            .map(|published| (&published.entry, published.status))
    }

    /// The caches that a source itself lists, as it reports them.
    pub fn reported_by(&self, source: SourceId) -> impl Iterator<Item = &Entry> {
        self.caches
            .values()
            .filter_map(move |cache| cache.reports.get(&source))
            .filter(|report| report.is_listed())
            .map(|report| &report.entry)
    }

    /// Changes the damping parameters from here on.
    pub fn set_damping(&mut self, damping: Damping) {
        self.damping = damping;
    }

    /// The published status of a cache; `Gone` for an unknown one.
    pub fn status(&self, uid: &str) -> EndpointStatus {
        self.caches
            .get(uid)
            .map_or(EndpointStatus::Gone, TrackedCache::status)
    }

    /// Why a cache has its status; none for an unknown one.
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

    /// Explanations of all known caches, in the order of their ids.
    pub fn explain_all(&self, now: Micros) -> impl Iterator<Item = Explanation> + '_ {
        self.caches
            .keys()
            .filter_map(move |uid| self.explain(uid, now))
    }
}

/// Adds an event of what has changed, if anything. Removals come first: an address may pass from one cache to another
/// within one event.
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
