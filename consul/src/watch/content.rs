//! What the content of an answer changes in a watch: which boxes are told anew, which are held, and which are gone.

use super::reading::Content;
use super::{number, Asks, HeldAnswer, Note, Told, Watch};
use crate::http::Response;
use linnetknot::State;
use linnetknot_discovery::{Reason, Report};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Answers that contradict the catalogue so many times in a row are believed: the catalogue is the one that errs.
const CONTRADICTIONS: u32 = 3;
impl Watch {
    /// What a health answer comes to.
    pub(super) fn health(
        &mut self,
        response: &Response<'_>,
        mut content: Content,
        changes: &mut Vec<Report>,
        told: &mut Told,
    ) {
        self.take_index(number(response, "x-consul-index").unwrap_or(0), told);
        self.note_faults(&content, told);
        self.read = std::mem::take(&mut content.reports);
        let mut named = content.named;
        for (uid, skipped) in &content.skipped {
            // It is still registered, but nothing is known of it that could be used.
            if let Some(known) = self.last.get(uid).filter(|_| !named.contains_key(uid)) {
                named.insert(
                    uid.clone(),
                    drained(known, Reason::Unusable(skipped.key.clone())),
                );
            }
        }
        self.missing = self
            .last
            .keys()
            .filter(|uid| !named.contains_key(*uid))
            .cloned()
            .collect();
        if !self.hold_if_shrunk(told) {
            for uid in &self.missing {
                if let Some(report) = self.last.get(uid) {
                    named.insert(uid.clone(), drained(report, Reason::NoHealth));
                }
            }
        }
        for (uid, report) in named {
            let same = self
                .last
                .get(&uid)
                .is_some_and(|r| Arc::ptr_eq(r, &report) || *r == report);
            if !same {
                changes.push(Report::clone(&report));
                self.last.insert(uid, report);
            }
        }
        self.asks = if self.missing.is_empty() {
            Asks::Health
        } else {
            Asks::Catalogue
        };
    }

    /// Takes in the index of an answer, from which the next query waits.
    fn take_index(&mut self, to: u64, told: &mut Told) {
        let from = self.index;
        self.index = match to {
            // It is always safe to wait from 1, and a client that does not wait would ask without end.
            0 => 1,
            to if to < from => 0,
            to => to,
        };
        if to < from {
            told.notes.push(Note::IndexReset { from, to });
        }
    }

    /// Notes what can't be used of an answer, each thing once, when it begins.
    fn note_faults(&mut self, content: &Content, told: &mut Told) {
        let Content {
            named,
            duplicates,
            skipped,
            unusable,
            ..
        } = content;
        let of = unusable + named.len() + duplicates.len();
        let mostly = 2 * unusable > of;
        if let (true, false, Some(first)) = (mostly, self.mostly_unusable, skipped.values().next())
        {
            told.notes.push(Note::MostlyUnusable {
                unusable: *unusable,
                of,
                first: first.clone(),
            });
        }
        self.mostly_unusable = mostly;
        for (uid, duplicate) in duplicates
            .iter()
            .filter(|(uid, _)| !self.duplicates.contains(*uid))
        {
            let (kept, refused) = (duplicate.kept, duplicate.refused);
            told.notes.push(Note::SameId {
                uid: uid.clone(),
                kept,
                refused,
            });
        }
        self.duplicates = duplicates.keys().cloned().collect();
        for s in skipped
            .values()
            .filter(|s| !self.skipped.contains(&(s.uid.clone(), s.key.clone())))
        {
            told.notes.push(Note::Skipped(s.clone()));
        }
        self.skipped = skipped
            .values()
            .map(|s| (s.uid.clone(), s.key.clone()))
            .collect();
    }

    /// Holds an answer that leaves out too many of those that ran, until the catalogue confirms it. False: it counts.
    fn hold_if_shrunk(&mut self, told: &mut Told) -> bool {
        let ran = self.last.len();
        let named = ran - self.missing.len();
        let shrunk = ran > 0 && (named == 0 || (named as f64) < self.o.least_share * ran as f64);
        if !shrunk || self.contradictions >= CONTRADICTIONS {
            self.contradictions = 0;
            told.confirmed = true;
            return false;
        }
        if self.held.is_none() && self.contradictions == 0 {
            told.notes.push(Note::Held { named, ran });
        }
        self.held = Some(HeldAnswer { named, ran });
        if self.o.agents > 1 {
            self.agent = (self.agent + 1) % self.o.agents;
        }
        true
    }

    /// What a catalogue's answer comes to, of those that the last health answer left out.
    pub(super) fn catalogue(
        &mut self,
        known: &BTreeSet<String>,
        changes: &mut Vec<Report>,
        told: &mut Told,
    ) {
        self.asks = Asks::Health;
        let missing = std::mem::take(&mut self.missing);
        if let Some(HeldAnswer { named, ran }) = self.held.take() {
            let registered = named + missing.iter().filter(|uid| known.contains(*uid)).count();
            if registered > 0 && (registered as f64) >= self.o.least_share * ran as f64 {
                // The two answers differ, so the one that would cost more is asked again.
                self.contradictions += 1;
                self.index = 0;
                if self.contradictions == 1 {
                    told.notes.push(Note::Contradicted { registered });
                }
                return;
            }
            told.notes.push(Note::Confirmed);
            self.contradictions = 0;
            told.confirmed = true;
        }
        for uid in missing {
            let Some(report) = self.last.get(&uid) else {
                continue;
            };
            if known.contains(&uid) {
                // Registered without health: its agent is on the way out, or a filter leaves it out.
                let report = drained(report, Reason::NoHealth);
                if self.last.get(&uid) != Some(&report) {
                    changes.push(Report::clone(&report));
                    self.last.insert(uid, report);
                }
            } else {
                let mut report = Report::clone(report);
                (report.entry.server.state, report.reason) = (State::Gone, Reason::Unlisted);
                changes.push(report);
                self.last.remove(&uid);
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
