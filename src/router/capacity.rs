//! What a server and the location's link can carry, and whether a request sent there would be in time.

use super::state::{Endpoint, OpenRequest, Role};
use super::statistics::MIN_PACE_SAMPLES;
use super::Router;
use crate::aging::faded;
use crate::interface::{Micros, ServerId, State};

/// Share of the time left that a fill may need: what is late costs others too.
const LINK_MARGIN: f64 = 0.4;
/// Of a link or cache where sizes are not told: what is large has to fit too.
const UNKNOWN_SIZE_MARGIN: f64 = 0.5;
/// Share of the time left that a transfer from a cache may be expected to take: more come while it runs.
const CACHE_MARGIN: f64 = 0.75;
/// Hits that take more, over their sending time, show a link shared by too many.
const CONGESTED_STRETCH: f64 = 1.3;
/// With no fills at all the link is taken to fit twice as much after this.
const LINK_RECOVERY_S: f64 = 1.0;
/// As `MIN_PACE_SAMPLES`, however long ago they were.
const MIN_LINK_SAMPLES: f64 = 1.5;

impl Router {
    /// Whether the rules let a server be given this request, as target or as source of its fill.
    pub(super) fn admits(&self, id: ServerId, now: Micros, open: &OpenRequest) -> bool {
        // The rule weighs each by its class's mean: what is large has the same chance.
        let transfer_s = self.usual_transfer_s[open.class].0;
        self.endpoints.get(&id).is_some_and(|s| {
            s.state == State::Ready && self.admits_in_slow_start(id, s, now, transfer_s)
        })
    }

    /// Whether a request sent so many times slower than at full pace is in time: while it is wanted, or, once
    /// that is past, until the client gives up.
    pub(super) fn fits_in_time(
        &self,
        now: Micros,
        open: &OpenRequest,
        times: f64,
        margin: f64,
    ) -> bool {
        let until = if now < open.objective_at {
            open.objective_at.min(open.deadline)
        } else {
            open.deadline
        };
        open.transfer_s * times * 1e6 <= margin * until.saturating_sub(now) as f64
    }

    /// Whether a cache is not full: by its transfers from here and the capacity that its answers showed.
    pub(super) fn responds_in_time(&self, id: ServerId, now: Micros, open: &OpenRequest) -> bool {
        let Some(s) = self.endpoints.get(&id) else {
            return false;
        };
        let sharing = (self.load(s) + 1.0) / (self.observed_capacity(now, s) * self.warmth(s, now));
        self.fits_in_time(
            now,
            open,
            sharing.max(1.0),
            if open.size_known {
                CACHE_MARGIN
            } else {
                UNKNOWN_SIZE_MARGIN
            },
        )
    }

    /// Transfers that a server holds: this router's own, and the others' guessed. Reported loads foretold
    /// less: they count requests that wait for fills, and are old by the time they are used.
    pub(super) fn load(&self, s: &Endpoint) -> f64 {
        s.in_flight as f64 + s.mean_in_flight * (self.local_routers() - 1.0)
    }

    /// Routers of this location.
    fn local_routers(&self) -> f64 {
        f64::from(self.settings.zones[self.settings.zone].routers.max(1))
    }

    /// Capacity in transfers as recent hits showed it: where each took longer than its size explains, the
    /// link was shared by more transfers than it fits.
    fn observed_capacity(&self, now: Micros, s: &Endpoint) -> f64 {
        match s.hit_pace.told(now, MIN_PACE_SAMPLES) {
            Some((stretch, held)) if stretch >= CONGESTED_STRETCH => (held / stretch).max(0.2),
            Some((_, held)) => self.capacity(s).max(held),
            None => self.capacity(s),
        }
    }

    /// What a server's link fits at full pace, in transfers.
    pub(super) fn capacity(&self, s: &Endpoint) -> f64 {
        if self.settings.weights_told {
            return s.weight;
        }
        // Not told. A location's link carries only the misses of its caches, so its part for one cache is
        // less than that cache's own link; and a parent is built for more than one location.
        let z = &self.settings.zones;
        let links: f64 = z.iter().map(|z| z.link_kb_per_s).sum();
        let places = z.iter().filter(|z| z.link_kb_per_s > 0.0).count().max(1) as f64;
        let link = links / places / self.settings.flow_kb_per_s.max(1.0);
        let caches = self
            .endpoints
            .values()
            .filter(|s| s.role == Role::Cache)
            .count()
            .max(1) as f64;
        let part = if s.role == Role::Cache {
            link / caches
        } else {
            link
        };
        part.max(1.0)
    }

    /// The location's link shares its pace among all fills: one that could not be in time would only make the
    /// others late too, so the cache is just looked into. Where the link's size is not told, what it fits is
    /// what its fills showed: without a bound, fills that come too late are begun anew and keep it jammed.
    pub(super) fn link_is_full(&self, now: Micros, open: &OpenRequest) -> bool {
        let told = self.settings.zones[self.settings.zone].link_kb_per_s;
        let fits = if told > 0.0 {
            told / self.settings.flow_kb_per_s.max(1.0)
        } else {
            let shown = self
                .link_pace
                .shown(MIN_LINK_SAMPLES)
                .filter(|(stretch, _)| *stretch >= CONGESTED_STRETCH);
            let Some((stretch, held)) = shown else {
                return false;
            };
            held / stretch / faded((1.0, self.link_pace.at), now, LINK_RECOVERY_S)
        };
        let margin = if open.size_known {
            LINK_MARGIN
        } else {
            UNKNOWN_SIZE_MARGIN
        };
        !self.fits_in_time(
            now,
            open,
            (self.link_fills() + 1.0) / fits.max(1e-3),
            margin,
        )
    }

    /// Fills by the location's link: this router's own, and the others' guessed.
    pub(super) fn link_fills(&self) -> f64 {
        self.active_fills + self.mean_active_fills * (self.local_routers() - 1.0)
    }
}
