//! Publishes verdicts as list entries and status changes.

use super::verdict::Verdict;
use super::{Batch, EndpointTable, Group, Published, TrackedCache};
use crate::evidence::{EndpointStatus, Entry, StatusChange};
use linnetknot::{Micros, State};
use std::collections::btree_map;

impl EndpointTable {
    /// Updates a cache after a report on it: records a loss or a return, and publishes what has changed. A cache under
    /// damping is published by [`rebalance_suppression`](Self::rebalance_suppression) instead.
    pub(super) fn update_cache(&mut self, uid: &str, entries: &mut Vec<Entry>, batch: &mut Batch) {
        let cache = self.caches.get(uid);
        let Some(verdict) = cache.and_then(|cache| self.verdict(uid, cache)) else {
            return;
        };
        let is_initialized = self.initialized.contains(&verdict.source);
        let counts_flaps = self.sources[verdict.source.0].damped;
        let is_ready = verdict.state == State::Ready;
        let Some(cache) = self.caches.get_mut(uid) else {
            return;
        };
        let group = is_ready.then(|| Group::of(&verdict.entry));
        let previous_group = std::mem::replace(&mut cache.ready_group, group.clone());
        if counts_flaps {
            let was_ready = previous_group.is_some();
            if was_ready && !is_ready {
                cache.penalty.add(&self.damping, batch.now);
            }
            if !was_ready
                && is_ready
                && cache.count_return(batch.now, &self.damping, is_initialized)
            {
                self.damped.insert(uid.to_owned());
            }
        }
        let is_under_damping = cache.damped && is_ready;
        self.move_ready_count(previous_group, group);
        if verdict.state == State::Gone {
            self.gone.insert(uid.to_owned());
        } else {
            self.gone.remove(uid);
        }
        // The number of suppressed caches is limited, so the caches under damping are all decided together at the end
        // of the call.
        if !is_under_damping {
            self.publish(uid, verdict, false, entries, batch);
        }
    }

    /// Moves a cache that is reported ready from the count of one group to that of another.
    fn move_ready_count(&mut self, from: Option<Group>, to: Option<Group>) {
        if from == to {
            return;
        }
        if let Some(btree_map::Entry::Occupied(mut count)) =
            from.map(|group| self.ready_counts.entry(group))
        {
            *count.get_mut() -= 1;
            if *count.get() == 0 {
                count.remove();
            }
        }
        if let Some(group) = to {
            *self.ready_counts.entry(group).or_insert(0) += 1;
        }
    }

    /// Publishes a verdict: appends the entries that differ from the published ones, and records a change of status.
    pub(super) fn publish(
        &mut self,
        uid: &str,
        verdict: Verdict,
        is_suppressed: bool,
        entries: &mut Vec<Entry>,
        batch: &mut Batch,
    ) {
        let relayed = self.sources[verdict.source.0].relayed;
        let previous = self.caches.get(uid).and_then(|c| c.published.as_ref());
        // A source that is not relayed does not tell whether it restarted the cache.
        let may_have_restarted = previous.is_some_and(|previous| {
            previous.status == EndpointStatus::Draining && !self.sources[previous.source.0].relayed
        });
        let Some(cache) = self.caches.get_mut(uid) else {
            return;
        };
        let status = verdict.status(is_suppressed);
        let source = verdict.source;
        let mut entry = verdict.entry;
        let old = cache.status();
        let damping_reason = cache.damping_reason(old, status);
        let reason = damping_reason.unwrap_or(verdict.reason);
        let was_out_of_service = old == EndpointStatus::Suppressed || may_have_restarted;
        if status == EndpointStatus::Ready && was_out_of_service {
            cache.returned_at = Some(batch.now);
        }
        entry.server.state = status.state();
        if !relayed {
            entries.extend(cache.replace_identity(batch.now, status, &entry));
        }
        entry.server.started = entry.server.started.max(cache.returned_at);
        let is_known = cache.published.is_some() || status != EndpointStatus::Gone;
        if is_known && !cache.is_published(&entry) {
            entries.push(entry.clone());
        }
        if status != old {
            batch.update.changes.push(StatusChange {
                uid: uid.to_owned(),
                old,
                new: status,
                reason: reason.clone(),
                source,
                penalty: cache.penalty.value(&self.damping, batch.now),
            });
        }
        let since = cache.status_since(status).unwrap_or(batch.now);
        cache.published = Some(Published {
            entry,
            status,
            reason,
            source,
            since,
        });
    }
}

impl TrackedCache {
    fn is_published(&self, entry: &Entry) -> bool {
        let published = self.published.as_ref();
        published.is_some_and(|published| published.entry == *entry)
    }

    /// Returns the time since which the cache is published with this status, or `None` if it has another status.
    fn status_since(&self, status: EndpointStatus) -> Option<Micros> {
        let published = self.published.as_ref()?;
        (published.status == status).then_some(published.since)
    }

    /// If an entry changes the address, zone, kind or cell of a cache, returns the removal that must precede it, and
    /// records the return of the cache. The decision module does not update these attributes of a known cache, so the
    /// cache has to be removed and added again.
    fn replace_identity(
        &mut self,
        now: Micros,
        status: EndpointStatus,
        entry: &Entry,
    ) -> Option<Entry> {
        let published = self.published.as_ref()?;
        let is_gone = |status| status == EndpointStatus::Gone;
        if is_gone(published.status)
            || is_gone(status)
            || !changes_identity(&published.entry, entry)
        {
            return None;
        }
        let mut removal = published.entry.clone();
        removal.server.state = State::Gone;
        self.returned_at = Some(now);
        Some(removal)
    }
}

/// Returns whether two entries differ in an attribute that the decision module does not update.
fn changes_identity(old: &Entry, new: &Entry) -> bool {
    old.endpoint != new.endpoint
        || old.server.cell != new.server.cell
        || old.server.zone != new.server.zone
        || old.server.kind != new.server.kind
}
