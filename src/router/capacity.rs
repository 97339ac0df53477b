//! Capacity and load shedding: what a server and the location's link can carry, and whether a request sent there would
//! be in time.

use super::state::{Endpoint, OpenRequest, Role};
use super::statistics::MIN_SLOWDOWN_SAMPLES;
use super::Router;
use crate::interface::{Micros, ServerId, State};
use crate::statistics::{decayed, SlowdownSample};

/// Share of the time left that a fill may need: what is late costs others too.
const LINK_MARGIN: f64 = 0.4;
/// Of a link or cache where sizes are not known: what is large has to fit too.
const UNKNOWN_SIZE_MARGIN: f64 = 0.5;
/// Share of the time left that a transfer from a cache may be expected to take: more come while it runs.
const CACHE_MARGIN: f64 = 0.75;
/// Transfers that take so many times as long as at full pace show a link shared by too many.
const CONGESTED_SLOWDOWN: f64 = 1.3;
/// With no fills at all the link is taken to fit twice as much after this.
const LINK_RECOVERY_S: f64 = 1.0;
/// Number of fills that tell of the link, however long ago they were.
const MIN_LINK_SAMPLES: f64 = 1.5;
/// Least capacity that congestion may show, in transfers.
const MIN_OBSERVED_CAPACITY: f64 = 0.2;

impl Router {
    /// Whether the rules let a server be given this request, as target or as source of its fill.
    pub(super) fn admits(&self, id: ServerId, now: Micros, open: &OpenRequest) -> bool {
        // The slow-start rule weighs each request by its class's mean: what is large has the same chance.
        let transfer_s = self.class_statistics[open.class].transfer_s;
        self.endpoints.get(&id).is_some_and(|server| {
            server.state == State::Ready && self.admits_in_slow_start(id, server, now, transfer_s)
        })
    }

    /// Whether a transfer that is slowed down so many times is in time: within the latency objective or, once that is
    /// past, until the client gives up.
    fn fits_in_time(&self, now: Micros, open: &OpenRequest, slowdown: f64, margin: f64) -> bool {
        let until = if now < open.objective_at {
            open.objective_at.min(open.deadline)
        } else {
            open.deadline
        };
        open.transfer_s * slowdown * 1e6 <= margin * until.saturating_sub(now) as f64
    }

    /// Whether a cache is not full: by its transfers from here and the capacity that its answers showed.
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

    /// Transfers that a server holds: this router's own, and an estimate of the others'. Reported loads foretold less:
    /// they count requests that wait for fills, and are old by the time they are used.
    pub(super) fn load(&self, server: &Endpoint) -> f64 {
        server.in_flight as f64 + server.mean_in_flight * (self.local_routers() - 1.0)
    }

    /// Routers of this location.
    fn local_routers(&self) -> f64 {
        f64::from(self.settings.zones[self.settings.zone].routers.max(1))
    }

    /// Capacity in transfers as recent hits showed it: where each took longer than its size explains, the link was
    /// shared by more transfers than it fits.
    fn observed_capacity(&self, now: Micros, server: &Endpoint) -> f64 {
        match server
            .hit_slowdown
            .recent_average(now, MIN_SLOWDOWN_SAMPLES)
        {
            Some(average) if average.slowdown >= CONGESTED_SLOWDOWN => {
                (average.load / average.slowdown).max(MIN_OBSERVED_CAPACITY)
            }
            Some(average) => self.capacity(server).max(average.load),
            None => self.capacity(server),
        }
    }

    /// What a server's link fits at full pace, in transfers.
    pub(super) fn capacity(&self, server: &Endpoint) -> f64 {
        if self.settings.weights_known {
            return server.weight;
        }
        // Not told. A location's link carries only the misses of its caches, so its part for one cache is less than
        // that cache's own link; and a parent is built for more than one location.
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

    /// What the links of the locations fit at full pace in the mean, in transfers.
    fn mean_link_capacity(&self) -> f64 {
        let sizes = self.settings.zones.iter().map(|zone| zone.link_kb_per_s);
        let known = sizes.clone().filter(|size| *size > 0.0).count();
        let sum: f64 = sizes.sum();
        sum / known.max(1) as f64 / self.settings.flow_kb_per_s.max(1.0)
    }

    /// The location's link shares its pace among all fills: one that could not be in time would only make the others
    /// late too, so the cache is just looked into.
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

    /// What the location's link fits at full pace, in fills; none: nothing shows that it is too small. Where its size
    /// is not told, it is what its fills showed: without a bound, fills that come too late are begun anew and keep the
    /// link jammed.
    fn link_capacity(&self, now: Micros) -> Option<f64> {
        let link_kb_per_s = self.settings.zones[self.settings.zone].link_kb_per_s;
        if link_kb_per_s > 0.0 {
            return Some(link_kb_per_s / self.settings.flow_kb_per_s.max(1.0));
        }
        let is_congested = |average: &SlowdownSample| average.slowdown >= CONGESTED_SLOWDOWN;
        let average = self
            .link_slowdown
            .last_average(MIN_LINK_SAMPLES)
            .filter(is_congested)?;
        let recovery = decayed(1.0, self.link_slowdown.updated_at, now, LINK_RECOVERY_S);
        Some(average.load / average.slowdown / recovery)
    }

    /// Fills by the location's link: this router's own, and an estimate of the others'.
    pub(super) fn link_fills(&self) -> f64 {
        self.active_fills + self.mean_active_fills * (self.local_routers() - 1.0)
    }
}
