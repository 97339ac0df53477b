//! Combines the reports of all sources on a cache into a verdict, before damping.

use super::{EndpointTable, SourceReport, TrackedCache};
use crate::evidence::{EndpointStatus, Entry, Reason, SourceId};
use linnetknot::State;
use std::net::SocketAddr;

/// The combined state of a cache according to all sources, before damping.
pub(super) struct Verdict {
    pub(super) entry: Entry,
    pub(super) state: State,
    pub(super) reason: Reason,
    /// The source whose report determines the state.
    pub(super) source: SourceId,
}

impl Verdict {
    /// Returns the resulting status, given whether damping suppresses the cache.
    pub(super) fn status(&self, is_suppressed: bool) -> EndpointStatus {
        match self.state {
            State::Ready if is_suppressed => EndpointStatus::Suppressed,
            State::Ready => EndpointStatus::Ready,
            State::Draining => EndpointStatus::Draining,
            State::Gone => EndpointStatus::Gone,
        }
    }
}

impl EndpointTable {
    /// Combines the reports on a cache. Returns `None` if there are no reports.
    pub(super) fn verdict(&self, uid: &str, cache: &TrackedCache) -> Option<Verdict> {
        let mut reports = cache.reports.iter();
        let Some((base_id, base)) = reports.find(|(_, report)| report.is_listed()) else {
            return cache.verdict_gone();
        };
        let verdict = |state, reason: Reason, source: &SourceId| {
            let mut entry = base.entry.clone();
            entry.server.state = state;
            Some(Verdict {
                entry,
                state,
                reason,
                source: *source,
            })
        };
        let endpoint = base.entry.endpoint;
        if !self.sources[base_id.0].relayed {
            if let Some(other) = self.newer_claimant(endpoint, uid, cache) {
                let reason = Reason::AddressTaken(other.clone());
                return verdict(State::Gone, reason, base_id);
            }
        }
        // A report with another address is about another cache that has the same id.
        let same_cache = || {
            let reports = cache.reports.iter();
            reports.filter(|(_, report)| report.entry.endpoint == endpoint)
        };
        let is_draining = |report: &SourceReport| report.entry.server.state == State::Draining;
        if let Some((id, report)) = same_cache().find(|(_, report)| is_draining(report)) {
            return verdict(State::Draining, report.reason.clone(), id);
        }
        // A removal by one source stays in effect until another source lists the cache again after it.
        let listed_at = same_cache()
            .filter(|(_, report)| report.is_listed())
            .map(|(_, report)| report.received_at)
            .max()
            .unwrap_or(0);
        let is_removed =
            |report: &SourceReport| !report.is_listed() && report.received_at >= listed_at;
        if let Some((id, _)) = same_cache().find(|(_, report)| is_removed(report)) {
            let reason = Reason::RemovedBySource(self.source_name(*id).to_owned());
            return verdict(State::Draining, reason, id);
        }
        verdict(State::Ready, base.reason.clone(), base_id)
    }

    /// Returns another cache that is listed at the address and was first reported there later than this one.
    fn newer_claimant(
        &self,
        endpoint: SocketAddr,
        uid: &str,
        cache: &TrackedCache,
    ) -> Option<&String> {
        let is_newer = |other_uid: &String| {
            let Some(other) = self.caches.get(other_uid).filter(|_| other_uid != uid) else {
                return false;
            };
            let mut reports = other.reports.values();
            (other.address_since, other_uid.as_str()) > (cache.address_since, uid)
                && reports.any(|report| report.is_listed() && report.entry.endpoint == endpoint)
        };
        let claimants = self.address_claims.get(&endpoint)?;
        claimants.iter().find(|other| is_newer(other))
    }
}

impl TrackedCache {
    /// Returns the verdict on a cache that no source lists, according to its last report.
    fn verdict_gone(&self) -> Option<Verdict> {
        let (source, report) = self
            .reports
            .iter()
            .max_by_key(|(_, report)| report.received_at)?;
        Some(Verdict {
            entry: report.entry.clone(),
            state: State::Gone,
            reason: report.reason.clone(),
            source: *source,
        })
    }
}
