//! Purges, and the estimate of the origin clock that dates them.

use super::Core;
use linnetknot::purges::PurgeTable;
use linnetknot::Micros;
use linnetknot_purges::KeyHash;

/// Returns the key of a purge of an object, or of a group if there is no object.
fn purge_key(object: Option<&str>, group: u64) -> KeyHash {
    object.map_or(KeyHash::of_group(group), KeyHash::of_object)
}

impl Core {
    /// Records a purge of an object, or of a group if there is no object, that another process has dated.
    pub fn record_purge(&mut self, now: Micros, object: Option<String>, group: u64, at: Micros) {
        let key = purge_key(object.as_deref(), group);
        let date = self.origin_clock.record_dated(now, key, at);
        self.router.purges_mut().record(key, date);
    }

    /// Records a purge that was requested from this proxy, dated now. Returns that date, to be sent to the other
    /// proxies.
    pub fn record_local_purge(&mut self, now: Micros, object: Option<&str>, group: u64) -> Micros {
        let key = purge_key(object, group);
        let date = self.origin_clock.record_local(now, key);
        self.router.purges_mut().record(key, date);
        self.origin_clock.date_for_peers(now)
    }

    /// Updates the estimate of the origin clock with the date of a copy or of the start of a pop cache that was just
    /// received. The origin clock is at or after this date, unless the date is corrupt.
    pub fn observe_origin_date(&mut self, now: Micros, date: Micros) {
        let redated = self.origin_clock.observe(now, date);
        self.apply_origin_clock(redated);
    }

    /// Updates the estimate of the origin clock with the date of an event that was just received.
    pub fn observe_event_date(&mut self, now: Micros, date: Micros) {
        let redated = self.origin_clock.observe_event(now, date);
        self.apply_origin_clock(redated);
    }

    /// Applies a changed estimate of the origin clock to the purges.
    fn apply_origin_clock(&mut self, redated: Vec<(KeyHash, Micros)>) {
        for (key, date) in redated {
            self.router.purges_mut().record(key, date);
        }
        self.router
            .set_origin_clock_offset(self.origin_clock.offset_us());
    }

    /// Returns the date for a purge of everything as of now. All existing copies have an earlier date.
    pub fn purge_all_date(&self, now: Micros) -> Micros {
        self.origin_clock.date_for_peers(now)
    }

    /// Converts a time of the origin clock to the local clock with the estimated offset. The result may be later than
    /// the exact time, but not earlier.
    pub fn local_time(&self, date: Micros) -> Micros {
        self.origin_clock.to_local(date)
    }

    /// Converts a time of the local clock to a lower bound of the origin clock.
    pub fn origin_time(&self, now: Micros) -> Micros {
        self.origin_clock.now(now)
    }

    /// Returns the purges in force.
    pub fn purges(&self) -> &PurgeTable {
        self.router.purges()
    }

    /// Returns the purges in force, mutably, so that purges of another proxy or an earlier process can be merged.
    pub fn purges_mut(&mut self) -> &mut PurgeTable {
        self.router.purges_mut()
    }
}
