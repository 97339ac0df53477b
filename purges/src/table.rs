//! The purge state of a proxy: recent purges with exact times, and a compact table of older purges.

use crate::bucket::Bucket;
use crate::compact::{BucketBits, BucketIndex, BucketIndexError, CompactTable};
use crate::hashing::KeyHash;
use crate::time::Micros;
use std::collections::BTreeMap;

/// The latest purge of every key, in bounded memory. Purges may be recorded in any order, and the time returned for a
/// key never decreases.
///
/// At most twice [`PurgeTable::exact_capacity`] purges are stored exactly. [`PurgeTable::compact`] must be called
/// periodically, and moves older purges to the compact table once the capacity is exceeded.
#[derive(Clone, Debug)]
pub struct PurgeTable {
    exact_capacity: usize,
    exact: BTreeMap<KeyHash, Micros>,
    compact: CompactTable,
}

impl PurgeTable {
    /// Creates an empty table.
    pub fn new(exact_capacity: usize, bucket_bits: BucketBits) -> Self {
        PurgeTable {
            exact_capacity,
            exact: BTreeMap::new(),
            compact: CompactTable::new(bucket_bits),
        }
    }

    /// Records a purge. Returns the index of the key's bucket in the compact table.
    pub fn record(&mut self, key: KeyHash, at: Micros) -> BucketIndex {
        let latest = self.exact.entry(key).or_insert(at);
        *latest = at.max(*latest);
        if self.exact.len() > self.exact_capacity.saturating_mul(2) {
            self.move_older_half(Micros::MAX);
        }
        BucketIndex::of(key, self.compact.bucket_bits())
    }

    /// Returns an upper bound of the time of the key's latest purge, or `None` if there is no such purge.
    pub fn latest(&self, key: KeyHash) -> Option<Micros> {
        self.exact.get(&key).copied().max(self.compact.latest(key))
    }

    /// Moves the older half of the exact purges to the compact table if the exact capacity is exceeded. Purges that are
    /// less than `keep_us` old are not moved.
    pub fn compact(&mut self, now: Micros, keep_us: Micros) {
        if self.exact.len() > self.exact_capacity {
            self.move_older_half(now.saturating_sub(keep_us));
        }
    }

    /// Records a purge of every key, for a process that cannot determine which purges it has missed.
    pub fn purge_all(&mut self, at: Micros) {
        self.compact.purge_all(at);
    }

    /// Merges a bucket of another proxy's compact table. See [`CompactTable::merge_bucket`].
    ///
    /// # Errors
    /// Fails if a table of `bucket_bits` has no bucket of this index.
    pub fn merge_bucket(
        &mut self,
        bucket_bits: BucketBits,
        index: BucketIndex,
        bucket: &Bucket,
    ) -> Result<Vec<BucketIndex>, BucketIndexError> {
        self.compact.merge_bucket(bucket_bits, index, bucket)
    }

    /// Changes the exact capacity and the size of the compact table without losing purges.
    pub fn set_capacity(&mut self, exact_capacity: usize, bucket_bits: BucketBits) {
        self.exact_capacity = exact_capacity;
        if bucket_bits != self.compact.bucket_bits() {
            self.compact = self.compact.resized(bucket_bits);
        }
        while self.exact.len() > exact_capacity.saturating_mul(2) {
            self.move_older_half(Micros::MAX);
        }
    }

    /// Returns the maximum number of purges held individually. When it is exceeded, [`PurgeTable::compact`] moves the
    /// older half to the compact table.
    pub fn exact_capacity(&self) -> usize {
        self.exact_capacity
    }

    /// Returns the number of purges held individually.
    pub fn exact_len(&self) -> usize {
        self.exact.len()
    }

    /// Returns the purges held individually, ordered by key.
    pub fn exact_purges(&self) -> impl Iterator<Item = (KeyHash, Micros)> + '_ {
        self.exact.iter().map(|(key, at)| (*key, *at))
    }

    /// Returns the compact table of older purges.
    pub fn compact_table(&self) -> &CompactTable {
        &self.compact
    }

    /// Moves the older half of the exact purges, except those later than `cutoff`, to the compact table.
    fn move_older_half(&mut self, cutoff: Micros) {
        let mut times: Vec<Micros> = self.exact.values().copied().collect();
        let middle = times.len() / 2;
        let median = *times.select_nth_unstable(middle).1;
        let cutoff = cutoff.min(median);
        let compact = &mut self.compact;
        self.exact.retain(|key, at| {
            let is_moved = *at <= cutoff;
            if is_moved {
                compact.record(*key, *at);
            }
            !is_moved
        });
    }
}
