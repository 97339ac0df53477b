//! Evicts caches that are gone from the table.

use super::EndpointTable;
use linnetknot::Micros;

/// A cache that is gone but has a penalty that is not negligible.
struct Remembered {
    penalty: f64,
    uid: String,
}

impl EndpointTable {
    /// Evicts caches that are gone if their penalty is negligible or if they exceed the limit of remembered caches. A
    /// cache that has never flapped is evicted at once.
    pub(super) fn evict_gone(&mut self, now: Micros) {
        if self.gone.is_empty() {
            return;
        }
        let mut remembered: Vec<Remembered> = Vec::new();
        let mut evicted: Vec<String> = Vec::new();
        for uid in &self.gone {
            let Some(cache) = self.caches.get(uid) else {
                continue;
            };
            if cache.is_listed() {
                // A source still lists the cache. It only counts as gone because another cache has its address.
                continue;
            }
            if cache.penalty.is_negligible(&self.damping, now) {
                evicted.push(uid.clone());
            } else {
                remembered.push(Remembered {
                    penalty: cache.penalty.value(&self.damping, now),
                    uid: uid.clone(),
                });
            }
        }
        evicted.extend(self.excess_remembered(remembered));
        for uid in evicted {
            self.gone.remove(&uid);
            self.damped.remove(&uid);
            self.caches.remove(&uid);
        }
    }

    /// Returns the remembered caches that exceed the limit, which are those with the lowest penalties.
    fn excess_remembered(&self, mut remembered: Vec<Remembered>) -> impl Iterator<Item = String> {
        let count = remembered.len().saturating_sub(self.limits.max_remembered);
        if count > 0 {
            remembered.sort_by(|a, b| {
                let by_penalty = a.penalty.total_cmp(&b.penalty);
                by_penalty.then_with(|| a.uid.cmp(&b.uid))
            });
        }
        remembered.into_iter().take(count).map(|cache| cache.uid)
    }
}
