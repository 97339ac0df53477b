//! Placement: which cache a request goes to, by the shared hash order and the number of copies of its object, and the
//! source of its fill.

use super::state::{Endpoint, OpenRequest, Role, Target};
use super::statistics::MIN_SLOWDOWN_SAMPLES;
use super::Router;
use crate::interface::{DedupScope, Micros, ServerId, Siblings};
use linnetknot_purges::hashing::mix;

/// Requests taken as counted by a new table: its first objects are not hot yet.
const MIN_TOTAL_COUNT: f64 = 50.0;
/// Failed fills, those of unknown cause twice, until a request is only looked for in the caches.
const MAX_FAILED_FILLS: u32 = 2;
/// The second parent fills while the first's fills take so many times as long.
const SLOWER_PARENT_FACTOR: f64 = 2.0;

/// The ready servers in the shared hash order of a part.
pub(super) struct RankedServers {
    caches: Vec<ServerId>,
    parents: Vec<ServerId>,
    origin: Option<ServerId>,
}

/// Place in the shared hash order (rendezvous hashing, by weight): lowest first.
fn rendezvous_score(part_key: u64, server: ServerId, weight: f64) -> f64 {
    let hash = mix(part_key ^ mix(server.wrapping_add(0x9e37_79b9_7f4a_7c15)));
    let unit = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -unit.ln() / weight.max(1e-6)
}

impl Router {
    /// The ready servers in the shared hash order of a part.
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

    /// The object's share of the requests gives its number of copies; a uniform pick among those caches at the top of
    /// the shared hash order that are not full, else the next in the order.
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
            !open.tried_servers.contains(id)
                && self.is_healthy(**id, now)
                && self.admits(**id, now, open)
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

    /// A cache as target, unless it is known to need a fill and there is no source.
    fn target_with_fill(
        open: &OpenRequest,
        server: ServerId,
        source: Option<ServerId>,
    ) -> Option<Target> {
        (source.is_some() || !open.known_miss).then_some(Target { server, source })
    }

    /// Where caches may fill each other: a cache that is not the first in the order, or the first just started, is
    /// filled from the one that most likely holds a copy, which spares the location's link.
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

    /// Fills come from the first hashed parent that takes work, the second while that is clearly slower; from the
    /// origin while none does, by no more requests than may have it asked, as it may be slow or stopped; else from a
    /// parent that is ejected but was reached.
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

    /// Whether the first parent's fills take clearly longer than the second's.
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

    /// A write runs at the origin: straight where that is allowed, else by way of a cache.
    pub(super) fn pick_for_write(
        &self,
        now: Micros,
        open: &OpenRequest,
        ranked: &RankedServers,
    ) -> Option<Target> {
        // There is one origin, so its ejection leaves no other way: it is asked all the same.
        let origin = ranked.origin.filter(|_| self.origin_has_capacity(now))?;
        if self.settings.direct_to_upstream && self.deduplicates(open, origin) {
            return Some(Target {
                server: origin,
                source: None,
            });
        }
        let is_eligible = |id: &&ServerId| {
            self.deduplicates(open, **id)
                && self.is_healthy(**id, now)
                && self.admits(**id, now, open)
        };
        Some(Target {
            server: *ranked.caches.iter().find(is_eligible)?,
            source: Some(origin),
        })
    }

    /// Whether a server would drop the repeat of a request that may have run.
    fn deduplicates(&self, open: &OpenRequest, id: ServerId) -> bool {
        let (Some(run), Some(server)) = (open.may_have_run, self.endpoints.get(&id)) else {
            return true;
        };
        match self.settings.classes[open.class].dedup_scope {
            DedupScope::All => true,
            DedupScope::Zone => server.zone == run.zone,
            DedupScope::Cell => server.cell == run.cell,
        }
    }

    /// No healthy cache would be in time. With none healthy, straight to the first hashed parent where that is
    /// allowed; else the first in the order that would be in time, ejected or not: when ejections leave none, they
    /// tell of overload rather than of single servers.
    pub(super) fn pick_fallback(
        &self,
        now: Micros,
        open: &OpenRequest,
        ranked: &RankedServers,
    ) -> Option<Target> {
        let is_free =
            |id: &&ServerId| !open.tried_servers.contains(id) && self.admits(**id, now, open);
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
