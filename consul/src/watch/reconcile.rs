//! What the content of an answer changes in a watch: which boxes are told anew, which are held, and which are gone.

use super::reader::ListContent;
use super::{header_number, Query, UnconfirmedShrink, Watch, WatchEvent, WatchUpdate};
use crate::http::Response;
use linnetknot::State;
use linnetknot_discovery::{Reason, Report};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Answers that contradict the catalogue so many times in a row are believed: the catalogue is the one that errs.
const MAX_CONTRADICTIONS: u32 = 3;
impl Watch {
    /// What a health answer comes to.
    pub(super) fn apply_health(
        &mut self,
        response: &Response<'_>,
        mut content: ListContent,
        changes: &mut Vec<Report>,
        update: &mut WatchUpdate,
    ) {
        self.take_index(
            header_number(response, "x-consul-index").unwrap_or(0),
            update,
        );
        self.report_faults(&content, update);
        self.reports_by_hash = std::mem::take(&mut content.reports);
        let mut named = content.named;
        for (uid, skipped) in &content.skipped {
            // It is still registered, but nothing is known of it that could be used.
            if let Some(known) = self.endpoints.get(uid).filter(|_| !named.contains_key(uid)) {
                named.insert(
                    uid.clone(),
                    drained(known, Reason::Unusable(skipped.key.clone())),
                );
            }
        }
        self.missing = self
            .endpoints
            .keys()
            .filter(|uid| !named.contains_key(*uid))
            .cloned()
            .collect();
        if !self.confirm_if_shrunk(update) {
            for uid in &self.missing {
                if let Some(report) = self.endpoints.get(uid) {
                    named.insert(uid.clone(), drained(report, Reason::NoHealth));
                }
            }
        }
        for (uid, report) in named {
            let same = self
                .endpoints
                .get(&uid)
                .is_some_and(|r| Arc::ptr_eq(r, &report) || *r == report);
            if !same {
                changes.push(Report::clone(&report));
                self.endpoints.insert(uid, report);
            }
        }
        self.query = if self.missing.is_empty() {
            Query::Health
        } else {
            Query::Catalog
        };
    }

    /// Takes in the index of an answer, from which the next query waits.
    fn take_index(&mut self, to: u64, update: &mut WatchUpdate) {
        let from = self.index;
        self.index = match to {
            // It is always safe to wait from 1, and a client that does not wait would ask without end.
            0 => 1,
            to if to < from => 0,
            to => to,
        };
        if to < from {
            update.events.push(WatchEvent::IndexReset { from, to });
        }
    }

    /// Notes what can't be used of an answer, each thing once, when it begins.
    fn report_faults(&mut self, content: &ListContent, update: &mut WatchUpdate) {
        let ListContent {
            named,
            duplicates,
            skipped,
            unusable,
            ..
        } = content;
        let total = unusable + named.len() + duplicates.len();
        let mostly = 2 * unusable > total;
        if let (true, false, Some(first)) = (mostly, self.mostly_unusable, skipped.values().next())
        {
            update.events.push(WatchEvent::MostlyUnusable {
                unusable: *unusable,
                total,
                first: first.clone(),
            });
        }
        self.mostly_unusable = mostly;
        for (uid, duplicate) in duplicates
            .iter()
            .filter(|(uid, _)| !self.duplicates.contains(*uid))
        {
            let (accepted, rejected) = (duplicate.accepted, duplicate.rejected);
            update.events.push(WatchEvent::DuplicateId {
                uid: uid.clone(),
                accepted,
                rejected,
            });
        }
        self.duplicates = duplicates.keys().cloned().collect();
        for s in skipped
            .values()
            .filter(|s| !self.skipped.contains(&(s.uid.clone(), s.key.clone())))
        {
            update.events.push(WatchEvent::InstanceSkipped(s.clone()));
        }
        self.skipped = skipped
            .values()
            .map(|s| (s.uid.clone(), s.key.clone()))
            .collect();
    }

    /// Holds an answer that leaves out too many of those that ran, until the catalogue confirms it. False: it counts.
    fn confirm_if_shrunk(&mut self, update: &mut WatchUpdate) -> bool {
        let known = self.endpoints.len();
        let named = known - self.missing.len();
        let shrunk =
            known > 0 && (named == 0 || (named as f64) < self.options.min_share * known as f64);
        if !shrunk || self.contradictions >= MAX_CONTRADICTIONS {
            self.contradictions = 0;
            update.confirmed = true;
            return false;
        }
        if self.unconfirmed.is_none() && self.contradictions == 0 {
            update
                .events
                .push(WatchEvent::ConfirmationPending { named, known });
        }
        self.unconfirmed = Some(UnconfirmedShrink { named, known });
        if self.options.agents > 1 {
            self.agent = (self.agent + 1) % self.options.agents;
        }
        true
    }

    /// What a catalogue's answer comes to, of those that the last health answer left out.
    pub(super) fn apply_catalog(
        &mut self,
        catalog_ids: &BTreeSet<String>,
        changes: &mut Vec<Report>,
        update: &mut WatchUpdate,
    ) {
        self.query = Query::Health;
        let missing = std::mem::take(&mut self.missing);
        if let Some(UnconfirmedShrink { named, known }) = self.unconfirmed.take() {
            let registered = named
                + missing
                    .iter()
                    .filter(|uid| catalog_ids.contains(*uid))
                    .count();
            if registered > 0 && (registered as f64) >= self.options.min_share * known as f64 {
                // The two answers differ, so the one that would cost more is asked again.
                self.contradictions += 1;
                self.index = 0;
                if self.contradictions == 1 {
                    update.events.push(WatchEvent::Contradicted { registered });
                }
                return;
            }
            update.events.push(WatchEvent::Confirmed);
            self.contradictions = 0;
            update.confirmed = true;
        }
        for uid in missing {
            let Some(report) = self.endpoints.get(&uid) else {
                continue;
            };
            if catalog_ids.contains(&uid) {
                // Registered without health: its agent is on the way out, or a filter leaves it out.
                let report = drained(report, Reason::NoHealth);
                if self.endpoints.get(&uid) != Some(&report) {
                    changes.push(Report::clone(&report));
                    self.endpoints.insert(uid, report);
                }
            } else {
                let mut report = Report::clone(report);
                (report.entry.server.state, report.reason) = (State::Gone, Reason::Unlisted);
                changes.push(report);
                self.endpoints.remove(&uid);
            }
        }
    }
}

/// The same box, to be given no fresh work for this reason.
fn drained(report: &Report, reason: Reason) -> Arc<Report> {
    let mut report = report.clone();
    (report.entry.server.state, report.reason) = (State::Draining, reason);
    Arc::new(report)
}
