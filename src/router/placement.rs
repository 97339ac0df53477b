//! Which servers a request goes to: the shared hash order, the number of copies of an object, and the source of a
//! fill.

use super::state::{Endpoint, OpenRequest, Target};
use super::statistics::MIN_PACE_SAMPLES;
use super::Router;
use crate::interface::{DedupScope, Micros, ServerId, Siblings};
use linnetknot_purges::hashing::mix;

/// Taken as seen by a new table: its first objects are not hot yet.
const MIN_TOTAL_COUNT: f64 = 50.0;
/// Failed fills, untold ones twice, until it is only looked for in the caches.
const MAX_FAILED_FILLS: u32 = 2;
/// The second parent fills while the first's fills take so many times as long.
const SLOWER_PARENT_FACTOR: f64 = 2.0;

/// The ready servers in the shared hash order of a unit.
pub(super) struct Ranked {
    pub(super) caches: Vec<ServerId>,
    pub(super) parents: Vec<ServerId>,
    pub(super) origin: Option<ServerId>,
}

/// Place in the shared hash order (rendezvous hashing, by weight): lowest first.
fn rendezvous_score(part_key: u64, server: ServerId, weight: f64) -> f64 {
    let h = mix(part_key ^ mix(server.wrapping_add(0x9e37_79b9_7f4a_7c15)));
    let u = ((h >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -u.ln() / weight.max(1e-6)
}

impl Router {
    /// The design: the object's share gives its number of copies; a uniform pick among those caches at the
    /// top of the shared hash order that are not full, else the next in the order.
    pub(super) fn pick_cache(
        &self,
        now: Micros,
        open: &OpenRequest,
        ranked: &Ranked,
    ) -> Option<Target> {
        let all = &ranked.caches;
        let share = open.object_count / self.object_counts.total(now).max(MIN_TOTAL_COUNT);
        let copies = (share * all.len() as f64).ceil().max(1.0) as usize;
        let able = |id: &&ServerId| {
            let fits = !open.tried_servers.contains(id)
                && self.is_healthy(**id, now)
                && self.admits(**id, now, open);
            fits && self.responds_in_time(**id, now, open)
        };
        let free: Vec<ServerId> = all.iter().take(copies).filter(able).copied().collect();
        let chosen = match free.len() as u64 {
            0 => *all.iter().skip(copies).find(able)?,
            n => free[(self.random % n) as usize],
        };
        let source = self
            .pick_sibling(now, open, ranked, chosen)
            .or_else(|| self.pick_source(now, open, ranked));
        (source.is_some() || !open.known_miss).then_some((chosen, source))
    }

    /// Where caches may fill each other: a cache that is not the first in the order, or the first just
    /// started, is filled from the one that most likely holds a copy, which spares the location's link.
    fn pick_sibling(
        &self,
        now: Micros,
        open: &OpenRequest,
        ranked: &Ranked,
        chosen: ServerId,
    ) -> Option<ServerId> {
        let order = &ranked.caches;
        let cold = |id: &ServerId| {
            self.endpoints
                .get(id)
                .is_none_or(|s| self.warmth(s, now) < 1.0)
        };
        let first = order.iter().copied().find(|id| *id != chosen)?;
        let likely = order.first() != Some(&chosen) || cold(&chosen);
        let fits = self.settings.siblings != Siblings::Off
            && likely
            && !open.excluded_sources.contains(&first);
        let able = self.is_healthy(first, now) && !cold(&first) && self.admits(first, now, open);
        (fits && able && self.responds_in_time(first, now, open)).then_some(first)
    }

    /// Fills come from the first hashed parent that takes work, the second while that is clearly slower; from
    /// the origin while none does, by no more requests than may have it asked, as it may be slow or stopped.
    fn pick_source(&self, now: Micros, open: &OpenRequest, ranked: &Ranked) -> Option<ServerId> {
        if open.failed_fills >= MAX_FAILED_FILLS || self.link_is_full(now, open) {
            return None;
        }
        let fits =
            |id: &&ServerId| !open.excluded_sources.contains(id) && self.admits(**id, now, open);
        let mut well = ranked
            .parents
            .iter()
            .filter(fits)
            .filter(|id| self.is_healthy(**id, now));
        let (first, second) = (well.next(), well.next());
        let pace = |id: Option<&ServerId>| {
            self.endpoints
                .get(id?)?
                .fill_pace
                .told(now, MIN_PACE_SAMPLES)
        };
        let slower = pace(first)
            .zip(pace(second))
            .is_some_and(|(a, b)| a.0 > SLOWER_PARENT_FACTOR * b.0);
        let origin = || {
            ranked
                .origin
                .iter()
                .find(|id| fits(id) && self.may_reach_origin(now, open))
        };
        let marked = || {
            ranked
                .parents
                .iter()
                .find(|id| fits(id) && self.endpoints.get(id).is_some_and(|s| !s.connect_failed))
        };
        first
            .filter(|_| !slower)
            .or(second)
            .or_else(origin)
            .or_else(marked)
            .copied()
    }

    pub(super) fn rank(&self, part_key: u64) -> Ranked {
        let order = |role: usize| {
            let weight = |s: &Endpoint| {
                if self.settings.weights_told {
                    s.weight
                } else {
                    1.0
                }
            };
            let placed = self.ready_by_role[role]
                .iter()
                .filter_map(|id| self.endpoints.get_key_value(id));
            let mut order: Vec<_> = placed
                .map(|(id, s)| (rendezvous_score(part_key, *id, weight(s)), *id))
                .collect();
            order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            order
                .into_iter()
                .map(|(_, id)| id)
                .collect::<Vec<ServerId>>()
        };
        Ranked {
            caches: order(0),
            parents: order(1),
            origin: order(2).first().copied(),
        }
    }

    /// A write runs at the origin: straight where that is allowed, else by way of a cache.
    pub(super) fn pick_for_write(
        &self,
        now: Micros,
        open: &OpenRequest,
        ranked: &Ranked,
    ) -> Option<Target> {
        let scope = self.settings.classes[open.class].scope;
        let same_group = |id: &ServerId| match (open.may_have_run, self.endpoints.get(id)) {
            (Some((_, zone, _)), Some(s)) if scope == DedupScope::Zone => s.zone == zone,
            (Some((.., cell)), Some(s)) if scope == DedupScope::Cell => s.cell == cell,
            _ => true,
        };
        // There is one origin, so a mark on it leaves no other way: it is asked all the same.
        let origin = ranked.origin.filter(|_| self.origin_has_capacity(now))?;
        if self.settings.direct && same_group(&origin) {
            return Some((origin, None));
        }
        let fits = |id: &&ServerId| {
            same_group(id) && self.is_healthy(**id, now) && self.admits(**id, now, open)
        };
        Some((*ranked.caches.iter().find(fits)?, Some(origin)))
    }

    /// No cache that is well would be in time. With none well, straight to the first hashed parent where that
    /// is allowed; else the first in the order that would be in time, marked or not: when marks leave none,
    /// they tell of overload rather than of single servers.
    pub(super) fn pick_fallback(
        &self,
        now: Micros,
        open: &OpenRequest,
        ranked: &Ranked,
    ) -> Option<Target> {
        let free =
            |id: &&ServerId| !open.tried_servers.contains(id) && self.admits(**id, now, open);
        let none_well = !ranked.caches.iter().any(|id| self.is_healthy(*id, now));
        if none_well && self.settings.direct && !self.link_is_full(now, open) {
            if let Some(parent) = ranked
                .parents
                .iter()
                .filter(free)
                .find(|id| self.is_healthy(**id, now))
            {
                return Some((*parent, ranked.origin));
            }
        }
        let responds_in_time = |id: &&ServerId| {
            self.endpoints.get(id).is_some_and(|s| !s.connect_failed)
                && self.responds_in_time(**id, now, open)
        };
        let chosen = *ranked.caches.iter().filter(free).find(responds_in_time)?;
        let source = self.pick_source(now, open, ranked);
        (source.is_some() || !open.known_miss).then_some((chosen, source))
    }
}
