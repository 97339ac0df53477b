//! Purges: the latest one of each object and group, and the oldest copy that will do because of them.

use super::state::OpenRequest;
use super::Router;
use crate::interface::Micros;
use linnetknot_purges::{KeyHash, PurgeTable};

impl Router {
    /// The purge state.
    pub fn purges(&self) -> &PurgeTable {
        &self.purges
    }

    /// The purge state, to give it a size and to take in buckets of another router's. The times of both must have the
    /// same start.
    pub fn purges_mut(&mut self) -> &mut PurgeTable {
        &mut self.purges
    }

    /// Sets what is to be added to this router's clock for the one by which the purges of its table are dated.
    pub fn set_origin_clock_offset(&mut self, offset_us: i64) {
        self.origin_offset_us = offset_us;
    }

    /// A time on the clock by which purges are dated.
    pub(super) fn origin_time(&self, now: Micros) -> Micros {
        now.saturating_add_signed(self.origin_offset_us)
    }

    /// Takes in a purge of an object, or with no object of a whole group.
    pub(super) fn record_purge(
        &mut self,
        now: Micros,
        age_us: Micros,
        object: Option<&str>,
        group: u64,
    ) {
        let at = self.origin_time(now).saturating_sub(age_us);
        let key = object.map_or(KeyHash::of_group(group), KeyHash::of_object);
        self.purges.record(key, at);
    }

    /// The oldest copy that will do; none: whatever the class allows.
    pub(super) fn max_age_us(&self, now: Micros, open: &OpenRequest) -> Option<Micros> {
        let keys = [KeyHash::from(open.object), KeyHash::of_group(open.group)];
        let purged = keys.into_iter().filter_map(|key| self.purges.latest(key));
        let purged_at = purged.max()?;
        let fresh_us = match self.settings.classes[open.class].fresh_us {
            0 => Micros::MAX,
            us => us,
        };
        Some(
            self.origin_time(now)
                .saturating_sub(purged_at)
                .clamp(1, fresh_us),
        )
    }
}
