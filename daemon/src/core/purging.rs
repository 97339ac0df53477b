//! Purges and the dates by which they hold.

use super::Core;
use linnetknot::purges::PurgeTable;
use linnetknot::Micros;
use linnetknot_purges::KeyHash;

fn purge_key(object: Option<&str>, group: u64) -> KeyHash {
    object.map_or(KeyHash::of_group(group), KeyHash::of_object)
}

impl Core {
    /// A purge of an object, or with none of a whole group, by a date that was told with it. It holds for good.
    pub fn purged(&mut self, now: Micros, object: Option<String>, group: u64, at: Micros) {
        let key = purge_key(object.as_deref(), group);
        let date = self.origin_clock.bound(now, key, at);
        self.router.purges_mut().record(key, date);
    }

    /// A purge that was told here, as of now. Gives the date that peers are to be told.
    pub fn purged_now(&mut self, now: Micros, object: Option<&str>, group: u64) -> Micros {
        let key = purge_key(object, group);
        let date = self.origin_clock.date_own(now, key);
        self.router.purges_mut().record(key, date);
        self.origin_clock.date_for_peers(now)
    }

    /// The origin or the event bus was heard just now, with a date of theirs.
    pub fn heard_date(&mut self, now: Micros, date: Micros) {
        for (key, date) in self.origin_clock.heard(now, date) {
            self.router.purges_mut().record(key, date);
        }
        self.router.set_origin_offset(self.origin_clock.offset_us());
    }

    /// The date by which all copies from before now are told from later ones.
    pub fn date_of_all(&self, now: Micros) -> Micros {
        self.origin_clock.date_for_peers(now)
    }

    /// A time of the origin's clock by the own clock, as far as is known: never before it.
    pub fn own_time(&self, date: Micros) -> Micros {
        self.origin_clock.to_own(date)
    }

    /// What the origin's clock has reached at a time of the own clock, as far as is known.
    pub fn origin_time(&self, now: Micros) -> Micros {
        self.origin_clock.now(now)
    }

    /// The purges that are in force.
    pub fn purges(&self) -> &PurgeTable {
        self.router.purges()
    }

    /// The purges that are in force, to take in what another proxy or an earlier process knows.
    pub fn purges_mut(&mut self) -> &mut PurgeTable {
        self.router.purges_mut()
    }
}
