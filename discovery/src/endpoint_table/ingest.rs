//! Records reports of the sources in the table.

use super::{Batch, EndpointTable, SourceReport, TrackedCache};
use crate::evidence::{EndpointStatus, Entry, Notice, Reason, Report, SourceId};
use linnetknot::State;
use std::collections::{btree_map, BTreeMap, BTreeSet};
use std::net::SocketAddr;

impl EndpointTable {
    /// Returns one report per id. If a list contains an id at two addresses, the report with the address that the
    /// source reported before is used, or the first report if neither has that address.
    pub(super) fn unique_reports(
        &self,
        source: SourceId,
        reports: Vec<Report>,
        batch: &mut Batch,
    ) -> Vec<Report> {
        let mut accepted: Vec<Report> = Vec::with_capacity(reports.len());
        let mut positions: BTreeMap<String, usize> = BTreeMap::new();
        for mut report in reports {
            let position = match positions.entry(report.entry.uid.clone()) {
                btree_map::Entry::Vacant(position) => {
                    position.insert(accepted.len());
                    accepted.push(report);
                    continue;
                }
                btree_map::Entry::Occupied(position) => *position.get(),
            };
            if self.reported_endpoint(source, &report.entry.uid) == Some(report.entry.endpoint) {
                std::mem::swap(&mut accepted[position], &mut report);
            }
            let first = &accepted[position].entry;
            if first.endpoint != report.entry.endpoint {
                batch.update.notices.push(Notice::DuplicateId {
                    uid: first.uid.clone(),
                    accepted: first.endpoint,
                    rejected: report.entry.endpoint,
                    source,
                });
            }
        }
        accepted
    }

    /// Returns the address at which a source last reported a cache.
    fn reported_endpoint(&self, source: SourceId, uid: &str) -> Option<SocketAddr> {
        let report = self.caches.get(uid)?.reports.get(&source)?;
        Some(report.entry.endpoint)
    }

    /// Records the omission of each cache that a source has listed and that its new full list omits. Returns the
    /// resulting entries.
    pub(super) fn unlist_omitted(
        &mut self,
        source: SourceId,
        reports: &[Report],
        batch: &mut Batch,
    ) -> Vec<Entry> {
        let named: BTreeSet<&str> = reports
            .iter()
            .map(|report| report.entry.uid.as_str())
            .collect();
        let is_omitted = |uid: &str, cache: &TrackedCache| {
            let report = cache.reports.get(&source);
            report.is_some_and(SourceReport::is_listed) && !named.contains(uid)
        };
        let omitted: Vec<String> = self
            .caches
            .iter()
            .filter(|(uid, cache)| is_omitted(uid, cache))
            .map(|(uid, _)| uid.clone())
            .collect();
        for uid in &omitted {
            self.unlist(source, uid, batch);
        }
        let mut removals = Vec::new();
        for uid in &omitted {
            self.update_cache(uid, &mut removals, batch);
        }
        if self.sources[source.0].relayed {
            // A relayed full list implies its removals. It is completed with the caches that only other sources list.
            return self.published_except(&named);
        }
        removals
    }

    /// Returns the published entries of all caches that are not gone, except those in `named`.
    fn published_except(&self, named: &BTreeSet<&str>) -> Vec<Entry> {
        self.caches
            .iter()
            .filter(|(uid, _)| !named.contains(uid.as_str()))
            .filter_map(|(_, cache)| cache.published.as_ref())
            .filter(|published| published.status != EndpointStatus::Gone)
            .map(|published| published.entry.clone())
            .collect()
    }

    /// Records a report and publishes the resulting changes of its cache.
    pub(super) fn ingest(
        &mut self,
        source: SourceId,
        report: Report,
        entries: &mut Vec<Entry>,
        batch: &mut Batch,
    ) {
        let relayed = self.sources[source.0].relayed;
        let reported = report.entry.clone();
        if !self.record(source, report, batch) {
            if relayed && reported.server.state == State::Gone {
                // The cache is unknown, but events of a relayed source are published unchanged.
                entries.push(reported);
            }
            return;
        }
        let count_before = entries.len();
        self.update_cache(&reported.uid, entries, batch);
        if relayed && entries.len() == count_before {
            // Every report of a relayed event is published in order, even if it changes nothing.
            let cache = self.caches.get(&reported.uid);
            let published = cache.and_then(|cache| cache.published.as_ref());
            entries.extend(published.map(|published| published.entry.clone()));
        }
    }

    /// Records a report of a source. Returns false if the report is ignored.
    fn record(&mut self, source: SourceId, report: Report, batch: &mut Batch) -> bool {
        let Report { entry, reason } = report;
        let (uid, endpoint) = (entry.uid.clone(), entry.endpoint);
        let is_gone = entry.server.state == State::Gone;
        if !self.caches.contains_key(&uid) {
            if is_gone {
                return false;
            }
            if self.caches.len() - self.gone.len() >= self.limits.max_caches {
                batch.update.notices.push(Notice::TableFull(uid));
                return false;
            }
        }
        let cache = self
            .caches
            .entry(uid.clone())
            .or_insert_with(|| TrackedCache::new(batch.now));
        let previous = cache.reports.get(&source);
        let previous = previous.map(|report| report.entry.endpoint);
        if previous != Some(endpoint) {
            let duplicate_id_notice = cache.duplicate_id_notice(source, &uid, endpoint);
            batch.update.notices.extend(duplicate_id_notice);
            cache.address_since = batch.now;
        }
        let report = SourceReport {
            entry,
            reason,
            received_at: batch.now,
        };
        cache.reports.insert(source, report);
        if let Some(from) = previous.filter(|previous| *previous != endpoint) {
            batch.update.notices.push(Notice::Moved {
                uid: uid.clone(),
                from,
                to: endpoint,
            });
            self.unclaim(from, &uid, batch);
        }
        if is_gone {
            self.unclaim(endpoint, &uid, batch);
        } else {
            self.claim(endpoint, &uid, batch);
        }
        true
    }

    /// Records that the full list of a source omits a cache.
    fn unlist(&mut self, source: SourceId, uid: &str, batch: &mut Batch) {
        let cache = self.caches.get_mut(uid);
        let Some(report) = cache.and_then(|cache| cache.reports.get_mut(&source)) else {
            return;
        };
        report.entry.server.state = State::Gone;
        report.reason = Reason::Unlisted;
        report.received_at = batch.now;
        let endpoint = report.entry.endpoint;
        self.unclaim(endpoint, uid, batch);
    }
}

impl TrackedCache {
    /// Returns a notice if another source lists this id at an address other than `endpoint`, which `source` reports.
    fn duplicate_id_notice(
        &self,
        source: SourceId,
        uid: &str,
        endpoint: SocketAddr,
    ) -> Option<Notice> {
        let (_, other) = self.reports.iter().find(|(id, report)| {
            **id != source && report.is_listed() && report.entry.endpoint != endpoint
        })?;
        Some(Notice::DuplicateId {
            uid: uid.to_owned(),
            accepted: other.entry.endpoint,
            rejected: endpoint,
            source,
        })
    }
}
