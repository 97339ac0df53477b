//! Purges: records the latest one of each object and group, and derives the maximum age of usable copies.

use super::state::OpenRequest;
use super::Router;
use crate::interface::Micros;
use linnetknot_purges::{KeyHash, PurgeTable};

impl Router {
    /// Returns the purge table.
    pub fn purges(&self) -> &PurgeTable {
        &self.purges
    }

    /// Returns the purge table for resizing it and for merging buckets of another router's table. The times in both
    /// tables must use the same clock.
    pub fn purges_mut(&mut self) -> &mut PurgeTable {
        &mut self.purges
    }

    /// Sets the offset from this router's clock to the clock by which purges are dated.
    pub fn set_origin_clock_offset(&mut self, offset_us: i64) {
        self.origin_offset_us = offset_us;
    }

    /// Converts a time to the clock by which purges are dated.
    pub(super) fn origin_time(&self, now: Micros) -> Micros {
        now.saturating_add_signed(self.origin_offset_us)
    }

    /// Records a purge of an object, or of a whole group if no object is given.
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

    /// Returns the maximum age of a usable copy; `None` if the class alone limits it.
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
