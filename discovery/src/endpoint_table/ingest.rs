//! How reports are taken in: which sources say what of a box, and who claims which address.

use super::{EndpointTable, SourceReport, TableUpdate, TrackedCache};
use crate::evidence::{EndpointStatus, Entry, Notice, Reason, Report, SourceId};
use linnetknot::{Micros, State};
use std::collections::{btree_map, BTreeMap, BTreeSet};
use std::net::SocketAddr;

impl EndpointTable {
    /// One report for each id: a list that names an id twice, at two nodes, means two boxes, and only one of them
    /// can have it. The one that had it keeps it.
    pub(super) fn unique_reports(
        &self,
        source: SourceId,
        reports: Vec<Report>,
        out: &mut TableUpdate,
    ) -> Vec<Report> {
        let mut accepted: Vec<Report> = Vec::with_capacity(reports.len());
        let mut positions: BTreeMap<String, usize> = BTreeMap::new();
        for mut report in reports {
            let position = match positions.entry(report.entry.uid.clone()) {
                btree_map::Entry::Vacant(e) => {
                    e.insert(accepted.len());
                    accepted.push(report);
                    continue;
                }
                btree_map::Entry::Occupied(e) => *e.get(),
            };
            let before = self
                .caches
                .get(&report.entry.uid)
                .and_then(|m| m.reports.get(&source));
            if before.is_some_and(|w| w.entry.endpoint == report.entry.endpoint) {
                std::mem::swap(&mut accepted[position], &mut report);
            }
            let first = &accepted[position].entry;
            if first.endpoint != report.entry.endpoint {
                out.notices.push(Notice::DuplicateId {
                    uid: first.uid.clone(),
                    accepted: first.endpoint,
                    rejected: report.entry.endpoint,
                    source,
                });
            }
        }
        accepted
    }

    /// Unlists what a source lists and its whole list of reports names no more; gives the entries that tell of it.
    pub(super) fn unlist_omitted(
        &mut self,
        now: Micros,
        source: SourceId,
        reports: &[Report],
        affected: &mut BTreeSet<String>,
        out: &mut TableUpdate,
    ) -> Vec<Entry> {
        let named: BTreeSet<&str> = reports.iter().map(|r| r.entry.uid.as_str()).collect();
        let unlisted = |(uid, m): (&String, &TrackedCache)| {
            let listed = m
                .reports
                .get(&source)
                .is_some_and(|w| w.entry.server.state != State::Gone);
            (listed && !named.contains(uid.as_str())).then(|| uid.clone())
        };
        let unlisted: Vec<String> = self.caches.iter().filter_map(unlisted).collect();
        let mut removals = Vec::new();
        unlisted
            .iter()
            .for_each(|uid| self.unlist(now, source, uid, affected));
        unlisted
            .iter()
            .for_each(|uid| self.settle(now, uid, &mut removals, out));
        if self.sources[source.0].relayed {
            // A whole list says by itself who is gone; what other sources list is added to it.
            let others = self
                .caches
                .iter()
                .filter(|(uid, _)| !named.contains(uid.as_str()));
            let others = others.filter_map(|(_, m)| m.published.as_ref());
            let others = others.filter(|g| g.status != EndpointStatus::Gone);
            removals = others.map(|g| g.entry.clone()).collect();
        }
        removals
    }

    /// Takes a report in and gives out what follows for its box.
    pub(super) fn ingest(
        &mut self,
        now: Micros,
        source: SourceId,
        report: Report,
        entries: &mut Vec<Entry>,
        affected: &mut BTreeSet<String>,
        out: &mut TableUpdate,
    ) {
        let relayed = self.sources[source.0].relayed;
        let reported = report.entry.clone();
        let before = entries.len();
        if self.record(now, source, report, affected, out) {
            self.settle(now, &reported.uid, entries, out);
            // Passed on whether it changed or not, each report of the event in its turn.
            let published = self
                .caches
                .get(&reported.uid)
                .and_then(|m| m.published.as_ref());
            entries.extend(
                published
                    .filter(|_| relayed && entries.len() == before)
                    .map(|g| g.entry.clone()),
            );
        } else if relayed && reported.server.state == State::Gone {
            // Nothing is known of it, but the event is passed on as it came.
            entries.push(reported);
        }
    }

    /// Notes a source's report; false where it is not taken in. Those whose own case it may change are touched.
    fn record(
        &mut self,
        now: Micros,
        source: SourceId,
        report: Report,
        affected: &mut BTreeSet<String>,
        out: &mut TableUpdate,
    ) -> bool {
        let Report { entry, reason } = report;
        let (uid, endpoint) = (entry.uid.clone(), entry.endpoint);
        let gone = entry.server.state == State::Gone;
        if !self.caches.contains_key(&uid) {
            if gone {
                return false;
            }
            if self.caches.len() - self.gone.len() >= self.limits.max_caches {
                out.notices.push(Notice::TableFull(uid));
                return false;
            }
        }
        let member = self
            .caches
            .entry(uid.clone())
            .or_insert_with(|| TrackedCache::new(now));
        let old = member.reports.get(&source).map(|w| w.entry.endpoint);
        if old != Some(endpoint) {
            out.notices.extend(member.conflict(source, &uid, endpoint));
            member.joined = now;
            if let Some(from) = old {
                out.notices.push(Notice::Moved {
                    uid: uid.clone(),
                    from,
                    to: endpoint,
                });
            }
        }
        member.reports.insert(
            source,
            SourceReport {
                entry,
                reason,
                at: now,
            },
        );
        if let Some(old) = old.filter(|old| *old != endpoint) {
            self.unclaim(old, &uid, affected);
        }
        if gone {
            self.unclaim(endpoint, &uid, affected);
        } else {
            self.claim(endpoint, &uid, affected, out);
        }
        true
    }

    /// Notes that a box is told to listen at an address.
    fn claim(
        &mut self,
        endpoint: SocketAddr,
        uid: &str,
        affected: &mut BTreeSet<String>,
        out: &mut TableUpdate,
    ) {
        let claims = self.claims.entry(endpoint).or_default();
        let is_new = claims.insert(uid.to_owned());
        for other in claims.iter().filter(|other| *other != uid) {
            affected.insert(other.clone());
            if is_new {
                let (uid, other) = (uid.to_owned(), other.clone());
                out.notices.push(Notice::DuplicateAddress {
                    uid,
                    other,
                    endpoint,
                });
            }
        }
    }

    fn unclaim(&mut self, endpoint: SocketAddr, uid: &str, affected: &mut BTreeSet<String>) {
        let still = self.caches.get(uid).is_some_and(|m| {
            m.reports
                .values()
                .any(|w| w.entry.endpoint == endpoint && w.entry.server.state != State::Gone)
        });
        let btree_map::Entry::Occupied(mut claims) = self.claims.entry(endpoint) else {
            return;
        };
        if !still {
            claims.get_mut().remove(uid);
            affected.extend(claims.get().iter().cloned());
        }
        if claims.get().is_empty() {
            claims.remove();
        }
    }

    /// A source's whole list names a box no more.
    fn unlist(
        &mut self,
        now: Micros,
        source: SourceId,
        uid: &str,
        affected: &mut BTreeSet<String>,
    ) {
        let Some(report) = self
            .caches
            .get_mut(uid)
            .and_then(|m| m.reports.get_mut(&source))
        else {
            return;
        };
        (report.entry.server.state, report.reason, report.at) =
            (State::Gone, Reason::Unlisted, now);
        let endpoint = report.entry.endpoint;
        self.unclaim(endpoint, uid, affected);
    }
}

impl TrackedCache {
    /// The notice that another source lists this box at another address than the one that `source` tells.
    fn conflict(&self, source: SourceId, uid: &str, endpoint: SocketAddr) -> Option<Notice> {
        let (_, other) = self.reports.iter().find(|(id, w)| {
            **id != source && w.entry.server.state != State::Gone && w.entry.endpoint != endpoint
        })?;
        let (accepted, rejected) = (other.entry.endpoint, endpoint);
        Some(Notice::DuplicateId {
            uid: uid.to_owned(),
            accepted,
            rejected,
            source,
        })
    }
}
