//! Capacity and load shedding: estimates what a server and the location's link can carry, and whether a request would
//! be answered in time.

use super::state::{Endpoint, OpenRequest, Role};
use super::statistics::MIN_SLOWDOWN_SAMPLES;
use super::Router;
use crate::interface::{Micros, ServerId, State};
use crate::statistics::{decayed, SlowdownEstimate};

/// Maximum expected duration of a fill, as a fraction of the remaining time. The rest is a reserve, because a late fill
/// also delays others.
const LINK_MARGIN: f64 = 0.4;
/// Like `LINK_MARGIN` and `CACHE_MARGIN`, for transfers of unknown size. The rest allows for sizes above the typical
/// one, because large transfers must fit too.
pub(super) const UNKNOWN_SIZE_MARGIN: f64 = 0.5;
/// Maximum expected duration of a transfer from a cache, as a fraction of the remaining time. The rest allows for
/// transfers that start later and share the link.
const CACHE_MARGIN: f64 = 0.75;
/// Slowdown from which a link counts as congested.
pub(super) const CONGESTED_SLOWDOWN: f64 = 1.3;
/// Time without fills after which the estimated capacity of the link doubles.
const LINK_RECOVERY_S: f64 = 1.0;
/// Minimum number of fills, however long ago, for an estimate of the link's capacity.
const MIN_LINK_SAMPLES: f64 = 1.5;
/// Minimum estimated capacity of a congested server, in transfers.
const MIN_OBSERVED_CAPACITY: f64 = 0.2;
/// Time without hits after which the capacity observed in them no longer applies. Otherwise a server whose requests are
/// all rejected for its low capacity would not be tried again.
const MAX_OBSERVATION_AGE_US: Micros = 8_000_000;

impl Router {
    /// Returns whether a server may receive a request, as target or as source of its fill.
    pub(super) fn admits(&self, id: ServerId, now: Micros, open: &OpenRequest) -> bool {
        // Charges the mean transfer time of the class instead of the request's own, so that large requests are not
        // rejected more often than small ones.
        let transfer_s = self.class_statistics[open.class].transfer_s;
        self.endpoints.get(&id).is_some_and(|server| {
            server.state == State::Ready && self.admits_in_slow_start(id, server, now, transfer_s)
        })
    }

    /// Returns whether a slowed-down transfer would finish within the latency objective or, if that has passed, before
    /// the client's deadline.
    fn fits_in_time(&self, now: Micros, open: &OpenRequest, slowdown: f64, margin: f64) -> bool {
        let until = if now < open.objective_at {
            open.objective_at.min(open.deadline)
        } else {
            open.deadline
        };
        open.transfer_s * slowdown * 1e6 <= margin * until.saturating_sub(now) as f64
    }

    /// Returns whether a cache has enough capacity to answer a request in time, given its load and the capacity
    /// observed in its answers.
    pub(super) fn responds_in_time(&self, id: ServerId, now: Micros, open: &OpenRequest) -> bool {
        let Some(server) = self.endpoints.get(&id) else {
            return false;
        };
        let capacity = self.observed_capacity(now, server) * self.warmth(server, now);
        let sharing = (self.load(server) + 1.0) / capacity;
        let margin = if open.size_known {
            CACHE_MARGIN
        } else {
            UNKNOWN_SIZE_MARGIN
        };
        self.fits_in_time(now, open, sharing.max(1.0), margin)
    }

    /// Estimates the transfers in progress at a server, of this router and of others. Reported loads are not used. They
    /// predict the load less well, because they include requests that wait for fills and are outdated when they are
    /// used.
    pub(super) fn load(&self, server: &Endpoint) -> f64 {
        server.in_flight as f64 + server.mean_in_flight * (self.local_routers() - 1.0)
    }

    /// Returns the number of routers in this location.
    fn local_routers(&self) -> f64 {
        f64::from(self.settings.zones[self.settings.zone].routers.max(1))
    }

    /// Returns a server's capacity in transfers as observed in recent hits: if hits took longer than their size
    /// explains, more transfers shared the link than it carries at full rate.
    fn observed_capacity(&self, now: Micros, server: &Endpoint) -> f64 {
        let hits = &server.hit_slowdown;
        let is_recent = now.saturating_sub(hits.updated_at) < MAX_OBSERVATION_AGE_US;
        let average = hits.recent_average(now, MIN_SLOWDOWN_SAMPLES);
        match average.filter(|_| is_recent) {
            Some(average) if average.slowdown >= CONGESTED_SLOWDOWN => {
                (average.load / average.slowdown).max(MIN_OBSERVED_CAPACITY)
            }
            Some(average) => self.capacity(server).max(average.load),
            None => self.capacity(server),
        }
    }

    /// Returns the capacity of a server's link at full rate, in transfers.
    pub(super) fn capacity(&self, server: &Endpoint) -> f64 {
        if self.settings.weights_known {
            return server.weight;
        }
        // Weights are unknown, so the capacity is estimated from below: a location's link carries only the misses of
        // its caches, so its share per cache is less than the cache's own link, and a parent serves several locations.
        let link = self.mean_link_capacity();
        let cache_share = if server.role == Role::Cache {
            let is_cache = |server: &&Endpoint| server.role == Role::Cache;
            let caches = self.endpoints.values().filter(is_cache).count();
            link / caches.max(1) as f64
        } else {
            link
        };
        cache_share.max(1.0)
    }

    /// Returns the mean capacity of the locations' links at full rate, in transfers.
    fn mean_link_capacity(&self) -> f64 {
        let sizes = self.settings.zones.iter().map(|zone| zone.link_kb_per_s);
        let known = sizes.clone().filter(|size| *size > 0.0).count();
        let sum: f64 = sizes.sum();
        sum / known.max(1) as f64 / self.settings.flow_kb_per_s.max(1.0)
    }

    /// Returns whether another fill would not finish in time on the location's link. Such a fill would only delay the
    /// others, so the cache is asked to answer only from its own copy.
    pub(super) fn link_is_full(&self, now: Micros, open: &OpenRequest) -> bool {
        let Some(capacity) = self.link_capacity(now) else {
            return false;
        };
        let margin = if open.size_known {
            LINK_MARGIN
        } else {
            UNKNOWN_SIZE_MARGIN
        };
        let slowdown = (self.link_fills() + 1.0) / capacity.max(1e-3);
        !self.fits_in_time(now, open, slowdown, margin)
    }

    /// Returns the capacity of the location's link at full rate, in fills; `None` if nothing indicates congestion. A
    /// capacity missing from the settings is estimated from recent fills. If the number of fills were not limited,
    /// fills that miss their deadline would be retried and keep the link congested.
    fn link_capacity(&self, now: Micros) -> Option<f64> {
        let link_kb_per_s = self.settings.zones[self.settings.zone].link_kb_per_s;
        if link_kb_per_s > 0.0 {
            return Some(link_kb_per_s / self.settings.flow_kb_per_s.max(1.0));
        }
        let is_congested = |average: &SlowdownEstimate| average.slowdown >= CONGESTED_SLOWDOWN;
        let average = self
            .link_slowdown
            .last_average(MIN_LINK_SAMPLES)
            .filter(is_congested)?;
        let recovery = decayed(1.0, self.link_slowdown.updated_at, now, LINK_RECOVERY_S);
        Some(average.load / average.slowdown / recovery)
    }

    /// Estimates the fills in progress on the location's link, of this router and of others.
    pub(super) fn link_fills(&self) -> f64 {
        self.active_fills + self.mean_active_fills * (self.local_routers() - 1.0)
    }
}
