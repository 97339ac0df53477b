//! When a cache that is gone is forgotten.

use super::EndpointTable;
use linnetknot::Micros;

/// A cache that is gone and whose penalty still matters.
struct Remembered {
    penalty: f64,
    uid: String,
}

impl EndpointTable {
    /// Forgets caches that are gone, once their penalty no longer matters or too many are remembered. A cache that never
    /// flapped is forgotten at once, however many come and go in a day.
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
                // Another cache has its address for now.
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

    /// The remembered caches beyond the limit, those with the lowest penalties.
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
