//! Applies a list to a watch: updates the reported caches, and confirms omissions before caches are removed.

use super::reader::ListContent;
use super::{Query, UnconfirmedShrink, Watch, WatchEvent, WatchUpdate};
use linnetknot::State;
use linnetknot_discovery::{Reason, Report};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Number of consecutive contradictions between the health API and the catalog after which the catalog is assumed to be
/// wrong.
const MAX_CONTRADICTIONS: u32 = 3;

impl Watch {
    /// Applies the index of a health response. The next query blocks until there are changes after it.
    pub(super) fn apply_index(&mut self, to: u64, update: &mut WatchUpdate) {
        let from = self.index;
        self.index = match to {
            // Consul's documentation requires an index of at least 1; with 0 the queries would not block.
            0 => 1,
            to if to < from => 0,
            to => to,
        };
        if to < from {
            update.events.push(WatchEvent::IndexReset { from, to });
        }
    }

    /// Applies a health response, and returns the reports that changed.
    pub(super) fn apply_health(
        &mut self,
        mut content: ListContent,
        update: &mut WatchUpdate,
    ) -> Vec<Report> {
        self.report_faults(&content, update);
        self.reports_by_hash = std::mem::take(&mut content.reports_by_hash);
        let mut reports_by_uid = content.reports_by_uid;
        for (uid, skipped) in &content.skipped {
            // The instance is still registered, but its current properties are unknown.
            if let Some(known) = self
                .endpoints
                .get(uid)
                .filter(|_| !reports_by_uid.contains_key(uid))
            {
                let reason = Reason::InvalidRegistration(skipped.fault.key.clone());
                reports_by_uid.insert(uid.clone(), draining_report(known, reason));
            }
        }
        self.missing = self
            .endpoints
            .keys()
            .filter(|uid| !reports_by_uid.contains_key(*uid))
            .cloned()
            .collect();
        if !self.await_confirmation(update) {
            for uid in &self.missing {
                if let Some(report) = self.endpoints.get(uid) {
                    reports_by_uid.insert(uid.clone(), draining_report(report, Reason::NoHealth));
                }
            }
        }
        self.query = if self.missing.is_empty() {
            Query::Health
        } else {
            Query::Catalog
        };
        self.merge(reports_by_uid)
    }

    /// Merges reports into the endpoint list, and returns those that changed.
    fn merge(&mut self, reports_by_uid: BTreeMap<String, Arc<Report>>) -> Vec<Report> {
        let mut changes = Vec::new();
        for (uid, report) in reports_by_uid {
            let is_same = self
                .endpoints
                .get(&uid)
                .is_some_and(|old| Arc::ptr_eq(old, &report) || *old == report);
            if !is_same {
                changes.push(Report::clone(&report));
                self.endpoints.insert(uid, report);
            }
        }
        changes
    }

    /// Adds events for the invalid parts of a response. A fault that persists is reported once, when it begins.
    fn report_faults(&mut self, content: &ListContent, update: &mut WatchUpdate) {
        let events = &mut update.events;
        let unusable = content.unusable;
        let total = unusable + content.reports_by_uid.len() + content.duplicates.len();
        let mostly_unusable = 2 * unusable > total;
        if let Some(first) = content.skipped.values().next() {
            if mostly_unusable && !self.mostly_unusable {
                events.push(WatchEvent::MostlyUnusable {
                    unusable,
                    total,
                    first: first.clone(),
                });
            }
        }
        self.mostly_unusable = mostly_unusable;
        for (uid, duplicate) in &content.duplicates {
            if !self.duplicates.contains(uid) {
                events.push(WatchEvent::DuplicateId {
                    uid: uid.clone(),
                    accepted: duplicate.accepted,
                    rejected: duplicate.rejected,
                });
            }
        }
        self.duplicates = content.duplicates.keys().cloned().collect();
        let mut skipped = BTreeSet::new();
        for instance in content.skipped.values() {
            let id_and_key = (instance.uid.clone(), instance.fault.key.clone());
            if !self.skipped.contains(&id_and_key) {
                events.push(WatchEvent::InstanceSkipped(instance.clone()));
            }
            skipped.insert(id_and_key);
        }
        self.skipped = skipped;
    }

    /// Returns whether the catalog has to confirm the omissions of a health response because there are too many, and
    /// records that the confirmation is pending.
    fn await_confirmation(&mut self, update: &mut WatchUpdate) -> bool {
        let known = self.endpoints.len();
        let listed = known - self.missing.len();
        let is_shrunk = known > 0 && (listed == 0 || !self.meets_min_share(listed, known));
        if !is_shrunk || self.contradictions >= MAX_CONTRADICTIONS {
            self.contradictions = 0;
            update.confirmed = true;
            return false;
        }
        if self.unconfirmed.is_none() && self.contradictions == 0 {
            let event = WatchEvent::ConfirmationPending { listed, known };
            update.events.push(event);
        }
        self.unconfirmed = Some(UnconfirmedShrink { listed, known });
        self.rotate_agent();
        true
    }

    /// Returns whether `count` caches are at least the minimum share of the known caches.
    fn meets_min_share(&self, count: usize, known: usize) -> bool {
        count as f64 >= self.options.min_share * known as f64
    }

    /// Applies a catalog response to the caches that the last health response omitted, and returns the reports that
    /// changed.
    pub(super) fn apply_catalog(
        &mut self,
        registered: &BTreeSet<String>,
        update: &mut WatchUpdate,
    ) -> Vec<Report> {
        self.query = Query::Health;
        let missing = std::mem::take(&mut self.missing);
        if let Some(UnconfirmedShrink { listed, known }) = self.unconfirmed.take() {
            let still_registered = missing.iter().filter(|uid| registered.contains(*uid));
            let count = listed + still_registered.count();
            if count > 0 && self.meets_min_share(count, known) {
                self.on_contradiction(count, update);
                return Vec::new();
            }
            update.events.push(WatchEvent::Confirmed);
            self.contradictions = 0;
            update.confirmed = true;
        }
        missing
            .into_iter()
            .filter_map(|uid| {
                let is_registered = registered.contains(&uid);
                self.resolve_missing(uid, is_registered)
            })
            .collect()
    }

    /// Handles a contradiction between the health API and the catalog: the omissions are not applied, and the next
    /// health query does not block. The health query is repeated, because applying its result would cost more than
    /// applying that of the catalog.
    fn on_contradiction(&mut self, registered: usize, update: &mut WatchUpdate) {
        self.contradictions += 1;
        self.index = 0;
        if self.contradictions == 1 {
            update.events.push(WatchEvent::Contradicted { registered });
        }
    }

    /// Removes a cache that the last health response omitted, or drains it if it is still registered. Returns its
    /// report if that changed.
    fn resolve_missing(&mut self, uid: String, is_registered: bool) -> Option<Report> {
        let known = self.endpoints.get(&uid)?;
        if !is_registered {
            let mut report = Report::clone(known);
            report.entry.server.state = State::Gone;
            report.reason = Reason::Unlisted;
            self.endpoints.remove(&uid);
            return Some(report);
        }
        // The instance is registered but not listed with its health: its agent is shutting down, or a filter excludes
        // it.
        let report = draining_report(known, Reason::NoHealth);
        if *known == report {
            return None;
        }
        self.endpoints.insert(uid, report.clone());
        Some(Report::clone(&report))
    }
}

/// Returns a copy of a report with the state `Draining` and this reason.
fn draining_report(report: &Report, reason: Reason) -> Arc<Report> {
    let mut report = report.clone();
    report.entry.server.state = State::Draining;
    report.reason = reason;
    Arc::new(report)
}
