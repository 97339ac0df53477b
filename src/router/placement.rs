//! Placement: selects the cache for a request, by rendezvous hashing and the number of copies of the object, and the
//! source of its fill.

use super::state::{Endpoint, OpenRequest, Role, Target};
use super::statistics::MIN_SLOWDOWN_SAMPLES;
use super::Router;
use crate::interface::{Micros, ServerId, Siblings};
use linnetknot_purges::hashing::mix;

/// Lower bound of the total request count, so that the first objects in an almost empty table do not appear popular.
const MIN_TOTAL_COUNT: f64 = 50.0;
/// Number of failed fills after which a request is no longer filled; fills that failed for an unknown reason count
/// twice.
const MAX_FAILED_FILLS: u32 = 2;
/// Ratio of the first parent's fill duration to the second's above which the second parent is preferred.
const SLOWER_PARENT_FACTOR: f64 = 2.0;

/// Ready servers by role, ranked for a part by rendezvous hashing.
pub(super) struct RankedServers {
    caches: Vec<ServerId>,
    parents: Vec<ServerId>,
    origin: Option<ServerId>,
}

/// Returns the weighted rendezvous hashing score of a server; the lowest score ranks first.
fn rendezvous_score(part_key: u64, server: ServerId, weight: f64) -> f64 {
    let hash = mix(part_key ^ mix(server.wrapping_add(0x9e37_79b9_7f4a_7c15)));
    let unit = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -unit.ln() / weight.max(1e-6)
}

impl Router {
    /// Returns the ready servers ranked for a part. All routers compute the same ranking.
    pub(super) fn rank(&self, part_key: u64) -> RankedServers {
        RankedServers {
            caches: self.rank_role(Role::Cache, part_key),
            parents: self.rank_role(Role::Parent, part_key),
            origin: self.rank_role(Role::Origin, part_key).first().copied(),
        }
    }

    fn rank_role(&self, role: Role, part_key: u64) -> Vec<ServerId> {
        let weight = |server: &Endpoint| {
            if self.settings.weights_known {
                server.weight
            } else {
                1.0
            }
        };
        let ready = self.ready_by_role[role as usize].iter();
        let mut scores: Vec<_> = ready
            .filter_map(|id| self.endpoints.get_key_value(id))
            .map(|(id, server)| (rendezvous_score(part_key, *id, weight(server)), *id))
            .collect();
        scores.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        scores.into_iter().map(|(_, id)| id).collect()
    }

    /// Selects a cache. The object's share of the requests determines its number of copies n. The cache is chosen at
    /// random among the eligible caches of the n top-ranked ones; if none is eligible, the next eligible cache in the
    /// ranking is used.
    pub(super) fn pick_cache(
        &self,
        now: Micros,
        open: &OpenRequest,
        ranked: &RankedServers,
    ) -> Option<Target> {
        let caches = &ranked.caches;
        let share = open.object_count / self.object_counts.total(now).max(MIN_TOTAL_COUNT);
        let copies = (share * caches.len() as f64).ceil().max(1.0) as usize;
        let is_eligible = |id: &&ServerId| {
            self.is_free(**id, now, open)
                && self.is_healthy(**id, now)
                && self.responds_in_time(**id, now, open)
        };
        let first = caches.iter().take(copies);
        let eligible: Vec<ServerId> = first.filter(is_eligible).copied().collect();
        let server = match eligible.len() as u64 {
            0 => *caches.iter().skip(copies).find(is_eligible)?,
            count => eligible[(self.random_state % count) as usize],
        };
        let source = self
            .pick_sibling(now, open, ranked, server)
            .or_else(|| self.pick_source(now, open, ranked));
        Self::target_with_fill(open, server, source)
    }

    /// Returns whether an attempt of a request may be sent to a server, by the request's earlier attempts and by the
    /// limits of the server.
    fn is_free(&self, id: ServerId, now: Micros, open: &OpenRequest) -> bool {
        !open.tried_servers.contains(&id) && self.may_run_at(open, id) && self.admits(id, now, open)
    }

    /// Returns a cache as target, unless the cache is known to need a fill and there is no source.
    fn target_with_fill(
        open: &OpenRequest,
        server: ServerId,
        source: Option<ServerId>,
    ) -> Option<Target> {
        (source.is_some() || !open.known_miss).then_some(Target { server, source })
    }

    /// Selects another cache as the source if caches may fill each other. A cache that is not ranked first, or that is
    /// warming up, is filled from the cache most likely to hold a copy, which saves traffic on the location's link.
    fn pick_sibling(
        &self,
        now: Micros,
        open: &OpenRequest,
        ranked: &RankedServers,
        chosen: ServerId,
    ) -> Option<ServerId> {
        let order = &ranked.caches;
        let is_warming = |id: ServerId| {
            let server = self.endpoints.get(&id);
            server.is_none_or(|server| self.warmth(server, now) < 1.0)
        };
        let first = order.iter().copied().find(|id| *id != chosen)?;
        let allowed = self.settings.siblings != Siblings::Off;
        let lacks_copy = order.first() != Some(&chosen) || is_warming(chosen);
        let is_eligible = allowed
            && lacks_copy
            && !open.excluded_sources.contains(&first)
            && self.is_healthy(first, now)
            && !is_warming(first)
            && self.admits(first, now, open)
            && self.responds_in_time(first, now, open);
        is_eligible.then_some(first)
    }

    /// Selects the source of a fill: the first eligible parent in the ranking, or the second while its fills are
    /// clearly faster; the origin if no parent is healthy, within the admitted share of requests, as the origin may be
    /// slow or stopped; otherwise an ejected parent that accepted its last connection.
    fn pick_source(
        &self,
        now: Micros,
        open: &OpenRequest,
        ranked: &RankedServers,
    ) -> Option<ServerId> {
        if open.failed_fills >= MAX_FAILED_FILLS || self.link_is_full(now, open) {
            return None;
        }
        let is_eligible =
            |id: &ServerId| !open.excluded_sources.contains(id) && self.admits(*id, now, open);
        let parents = ranked.parents.iter().copied().filter(is_eligible);
        let mut healthy = parents.clone().filter(|id| self.is_healthy(*id, now));
        let (first, second) = (healthy.next(), healthy.next());
        let origin = || {
            let origin = ranked.origin.filter(is_eligible);
            origin.filter(|_| self.may_reach_origin(now, open))
        };
        let is_reachable = |id: &ServerId| {
            let server = self.endpoints.get(id);
            server.is_some_and(|server| !server.connect_failed)
        };
        first
            .filter(|_| !self.fills_are_slower(now, first, second))
            .or(second)
            .or_else(origin)
            .or_else(|| parents.clone().find(is_reachable))
    }

    /// Returns whether the first parent's fills take clearly longer than the second's.
    fn fills_are_slower(
        &self,
        now: Micros,
        first: Option<ServerId>,
        second: Option<ServerId>,
    ) -> bool {
        let slowdown = |id: Option<ServerId>| {
            let average = &self.endpoints.get(&id?)?.fill_slowdown;
            Some(average.recent_average(now, MIN_SLOWDOWN_SAMPLES)?.slowdown)
        };
        match (slowdown(first), slowdown(second)) {
            (Some(first), Some(second)) => first > SLOWER_PARENT_FACTOR * second,
            _ => false,
        }
    }

    /// Selects the target of a write, which runs at the origin: directly where that is allowed, otherwise through a
    /// cache.
    pub(super) fn pick_for_write(
        &self,
        now: Micros,
        open: &OpenRequest,
        ranked: &RankedServers,
    ) -> Option<Target> {
        // The origin is used even while it is ejected, because there is no other.
        let origin = ranked.origin.filter(|_| self.origin_has_capacity(now))?;
        if self.settings.direct_to_upstream && self.may_run_at(open, origin) {
            return Some(Target {
                server: origin,
                source: None,
            });
        }
        let is_eligible = |id: &&ServerId| {
            self.may_run_at(open, **id)
                && self.is_healthy(**id, now)
                && self.admits(**id, now, open)
        };
        Some(Target {
            server: *ranked.caches.iter().find(is_eligible)?,
            source: Some(origin),
        })
    }

    /// Selects a target when no healthy cache would answer in time. If all caches are ejected and direct attempts are
    /// allowed, it is the first healthy parent in the ranking. Otherwise it is the first cache that would answer in
    /// time, ejected or not, because ejections of all caches indicate overload rather than failures of single servers.
    pub(super) fn pick_fallback(
        &self,
        now: Micros,
        open: &OpenRequest,
        ranked: &RankedServers,
    ) -> Option<Target> {
        let is_free = |id: &&ServerId| self.is_free(**id, now, open);
        let is_healthy = |id: &ServerId| self.is_healthy(*id, now);
        let may_skip_caches = self.settings.direct_to_upstream
            && !ranked.caches.iter().any(is_healthy)
            && !self.link_is_full(now, open);
        if may_skip_caches {
            let mut parents = ranked.parents.iter().filter(is_free);
            if let Some(parent) = parents.find(|id| is_healthy(id)) {
                return Some(Target {
                    server: *parent,
                    source: ranked.origin,
                });
            }
        }
        let responds = |id: &&ServerId| {
            let server = self.endpoints.get(id);
            server.is_some_and(|server| !server.connect_failed)
                && self.responds_in_time(**id, now, open)
        };
        let mut free = ranked.caches.iter().filter(is_free);
        let server = *free.find(responds)?;
        Self::target_with_fill(open, server, self.pick_source(now, open, ranked))
    }
}
