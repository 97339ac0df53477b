//! Selects the caches that flap damping suppresses.

use super::{Batch, EndpointTable, Group, TrackedCache};
use crate::damping::Damping;
use crate::evidence::{EndpointStatus, Entry, Reason};
use linnetknot::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// A cache under damping that may be suppressed.
struct Candidate<'a> {
    penalty: f64,
    uid: &'a str,
}

impl EndpointTable {
    /// Ends the damping of caches whose penalty has decayed, selects which of the others are suppressed, and publishes
    /// the resulting statuses.
    pub(super) fn rebalance_suppression(&mut self, entries: &mut Vec<Entry>, batch: &mut Batch) {
        if self.damped.is_empty() {
            return;
        }
        let steady = self.end_damping(batch.now);
        let suppressed = self.select_suppressed(batch.now);
        for uid in steady.iter().chain(&self.damped.clone()) {
            let cache = self.caches.get(uid);
            let Some(verdict) = cache.and_then(|cache| self.verdict(uid, cache)) else {
                continue;
            };
            self.publish(uid, verdict, suppressed.contains(uid), entries, batch);
        }
    }

    /// Ends the damping of caches whose penalty has decayed, and returns their ids.
    fn end_damping(&mut self, now: Micros) -> Vec<String> {
        let damping = self.damping;
        let caches = &mut self.caches;
        let mut steady = Vec::new();
        self.damped.retain(|uid| {
            let Some(cache) = caches.get_mut(uid) else {
                return false;
            };
            cache.damped = cache.penalty.value(&damping, now) >= damping.reuse;
            if !cache.damped {
                steady.push(uid.clone());
            }
            cache.damped
        });
        steady
    }

    /// Selects the caches to suppress: in each group those with the highest penalties, up to the maximum share of the
    /// group.
    fn select_suppressed(&self, now: Micros) -> BTreeSet<String> {
        let mut groups: BTreeMap<&Group, Vec<Candidate<'_>>> = BTreeMap::new();
        for uid in &self.damped {
            let Some(cache) = self.caches.get(uid) else {
                continue;
            };
            if let Some(group) = &cache.ready_group {
                let penalty = cache.penalty.value(&self.damping, now);
                let candidates = groups.entry(group).or_default();
                candidates.push(Candidate { penalty, uid });
            }
        }
        let mut suppressed = BTreeSet::new();
        for (group, mut candidates) in groups {
            let ready_count = self.ready_counts.get(group).copied().unwrap_or(0);
            let quota = (self.damping.max_suppressed_share * ready_count as f64) as usize;
            candidates.sort_by(|a, b| {
                let by_penalty = b.penalty.total_cmp(&a.penalty);
                by_penalty.then_with(|| a.uid.cmp(b.uid))
            });
            candidates.truncate(quota);
            suppressed.extend(candidates.iter().map(|candidate| candidate.uid.to_owned()));
        }
        suppressed
    }
}

impl TrackedCache {
    /// Records that the cache returned, and returns whether this puts it under damping. `is_initialized` states whether
    /// its source has reported a full list before.
    pub(super) fn count_return(
        &mut self,
        now: Micros,
        damping: &Damping,
        is_initialized: bool,
    ) -> bool {
        let exceeds = self.penalty.value(damping, now) >= damping.suppress;
        let begins_damping = exceeds && !self.damped;
        self.damped |= exceeds;
        // A cache that appears after the first full list of its source counts as just started.
        if self.published.is_some() || is_initialized {
            self.returned_at = Some(now);
        }
        begins_damping
    }

    /// Returns the reason for a new status if damping causes or affects it.
    pub(super) fn damping_reason(
        &self,
        old: EndpointStatus,
        new: EndpointStatus,
    ) -> Option<Reason> {
        match (old, new) {
            (_, EndpointStatus::Suppressed) => Some(Reason::Flapping),
            (_, EndpointStatus::Ready) if self.damped => Some(Reason::DampingLimit),
            (EndpointStatus::Suppressed, EndpointStatus::Ready) => Some(Reason::PenaltyDecayed),
            _ => None,
        }
    }
}
