//! The book of boxes: every source's last word on each, what follows from them, and what was given out of it.

mod ingest;
mod publish;
mod verdict;

use crate::damping::{Damping, Penalty};
use crate::evidence::{
    Change, EndpointStatus, Entry, Evidence, Explanation, Notice, Reason, Source, SourceId,
};
use linnetknot::{ListMode, Micros, State};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Bounds on what is remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Boxes that are listed by any source.
    pub max_caches: usize,
    /// Boxes that are gone, whose flaps are still held against them should they come back.
    pub max_remembered: usize,
}

/// What follows from evidence.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TableUpdate {
    /// List events, to be given to the module in this order.
    pub events: Vec<(ListMode, Vec<Entry>)>,
    /// Changes of standing, for the log.
    pub changes: Vec<Change>,
    /// What the operators should know besides.
    pub notices: Vec<Notice>,
}

impl TableUpdate {
    /// Whether nothing follows.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty() && self.changes.is_empty() && self.notices.is_empty()
    }
}

/// A source's last word on a box; the state stands in the entry.
#[derive(Clone, Debug)]
struct SourceReport {
    entry: Entry,
    reason: Reason,
    at: Micros,
}

/// What was last given out of a box.
#[derive(Clone, Debug)]
struct Published {
    entry: Entry,
    status: EndpointStatus,
    reason: Reason,
    source: SourceId,
    since: Micros,
}

/// Zone and kind: boxes that can stand in for each other.
type Group = (String, String);

#[derive(Clone, Debug)]
struct TrackedCache {
    reports: BTreeMap<SourceId, SourceReport>,
    /// When it was first told at its present address.
    joined: Micros,
    penalty: Penalty,
    /// Came back with too high a penalty, which has not decayed yet.
    damped: bool,
    /// The group under which it is counted as told ready.
    counted: Option<Group>,
    /// When it was last taken in again; the module ramps it up from then, as it does one that has just started.
    returned: Option<Micros>,
    published: Option<Published>,
}

/// The book.
#[derive(Clone, Debug)]
pub struct EndpointTable {
    sources: Vec<Source>,
    damping: Damping,
    limits: Limits,
    caches: BTreeMap<String, TrackedCache>,
    /// Who is told to listen at an address.
    claims: BTreeMap<SocketAddr, BTreeSet<String>>,
    /// Sources that have given a whole list: what they name for the first time from then on has just started.
    initialized: BTreeSet<SourceId>,
    /// Boxes under damping.
    damped: BTreeSet<String>,
    /// Boxes told ready, by group.
    ready: BTreeMap<Group, usize>,
    /// Members that no source lists.
    gone: BTreeSet<String>,
}

impl TrackedCache {
    /// A box that no source has reported yet.
    fn new(now: Micros) -> Self {
        TrackedCache {
            reports: BTreeMap::new(),
            joined: now,
            penalty: Penalty::default(),
            damped: false,
            counted: None,
            returned: None,
            published: None,
        }
    }
}

impl EndpointTable {
    /// An empty book. The order of the sources is that of their precedence: where two differ on anything but the
    /// state of a box, the first holds.
    pub fn new(sources: Vec<Source>, damping: Damping, limits: Limits) -> Self {
        EndpointTable {
            sources,
            damping,
            limits,
            caches: BTreeMap::new(),
            claims: BTreeMap::new(),
            initialized: BTreeSet::new(),
            damped: BTreeSet::new(),
            ready: BTreeMap::new(),
            gone: BTreeSet::new(),
        }
    }

    /// Name of a source.
    pub fn source(&self, id: SourceId) -> &str {
        self.sources.get(id.0).map_or("?", |s| &s.name)
    }

    /// Takes evidence in.
    pub fn apply(&mut self, now: Micros, source: SourceId, evidence: Evidence) -> TableUpdate {
        let mut out = TableUpdate::default();
        let Some(relayed) = self.sources.get(source.0).map(|s| s.relayed) else {
            return out;
        };
        let (mode, reports) = match evidence {
            Evidence::Full(reports) => (ListMode::Full, reports),
            Evidence::Delta(reports) => (ListMode::Delta, reports),
        };
        let reports = if relayed {
            reports
        } else {
            self.unique_reports(source, reports, &mut out)
        };
        let mut entries = Vec::new();
        let mut affected = BTreeSet::new();
        // Who leaves makes room first, in the table and at its address.
        let removals = if mode == ListMode::Full {
            self.unlist_omitted(now, source, &reports, &mut affected, &mut out)
        } else {
            Vec::new()
        };
        for report in reports {
            self.ingest(now, source, report, &mut entries, &mut affected, &mut out);
        }
        if mode == ListMode::Full {
            self.initialized.insert(source);
        }
        entries.extend(removals);
        let mut follow_ups = Vec::new();
        affected
            .iter()
            .for_each(|uid| self.settle(now, uid, &mut follow_ups, &mut out));
        self.balance(now, &mut follow_ups, &mut out);
        self.push_event(
            if relayed { mode } else { ListMode::Delta },
            entries,
            relayed,
            &mut out,
        );
        self.push_event(ListMode::Delta, follow_ups, false, &mut out);
        self.sweep(now);
        out
    }

    /// Takes in again what has been steady for long enough.
    pub fn poll(&mut self, now: Micros) -> TableUpdate {
        let mut out = TableUpdate::default();
        let mut entries = Vec::new();
        self.balance(now, &mut entries, &mut out);
        self.push_event(ListMode::Delta, entries, false, &mut out);
        self.sweep(now);
        out
    }

    /// When `poll` has something to do at the latest.
    pub fn next_due(&self, now: Micros) -> Option<Micros> {
        let d = &self.damping;
        let due = |uid: &String| Some(self.caches.get(uid)?.penalty.below(d, d.reuse, now));
        self.damped.iter().filter_map(due).min()
    }

    /// Boxes that some source lists, as they are given out.
    pub fn listed(&self) -> impl Iterator<Item = (&Entry, EndpointStatus)> {
        let published = self.caches.values().filter_map(|m| m.published.as_ref());
        published
            .filter(|g| g.status != EndpointStatus::Gone)
            .map(|g| (&g.entry, g.status))
    }

    /// What a source itself says of the boxes that it lists, whatever became of that.
    pub fn reported_by(&self, source: SourceId) -> impl Iterator<Item = &Entry> {
        let reports = self
            .caches
            .values()
            .filter_map(move |m| m.reports.get(&source));
        reports
            .filter(|w| w.entry.server.state != State::Gone)
            .map(|w| &w.entry)
    }

    /// Other figures of damping, from here on.
    pub fn change_damping(&mut self, damping: Damping) {
        self.damping = damping;
    }

    /// Where a box stands; `Gone` for one that is not known.
    pub fn status(&self, uid: &str) -> EndpointStatus {
        self.caches
            .get(uid)
            .and_then(|m| m.published.as_ref())
            .map_or(EndpointStatus::Gone, |g| g.status)
    }

    /// Why a box stands where it does; none for one that is not known.
    pub fn explain(&self, uid: &str, now: Micros) -> Option<Explanation> {
        let (m, d) = (self.caches.get(uid)?, &self.damping);
        let g = m.published.as_ref()?;
        let suppressed = g.status == EndpointStatus::Suppressed;
        Some(Explanation {
            entry: g.entry.clone(),
            status: g.status,
            since: g.since,
            reason: g.reason.clone(),
            source: g.source,
            penalty: m.penalty.figure(d, now),
            until: suppressed.then(|| m.penalty.below(d, d.reuse, now)),
        })
    }

    /// Explanations of all boxes that are known, in the order of their ids.
    pub fn explain_all(&self, now: Micros) -> impl Iterator<Item = Explanation> + '_ {
        self.caches
            .keys()
            .filter_map(move |uid| self.explain(uid, now))
    }
}
