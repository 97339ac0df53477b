//! The purge state of a proxy: recent purges exactly, older ones in a compact table.

use crate::bucket::Bucket;
use crate::compact::{BucketBits, BucketIndex, BucketIndexError, CompactTable};
use crate::hashing::KeyHash;
use crate::time::Micros;
use std::collections::BTreeMap;

/// The latest purge of every key in bounded memory. Purges may be recorded in any order, and the answer for a key never
/// becomes earlier.
///
/// At most twice [`PurgeTable::exact_capacity`] purges are stored exactly. [`PurgeTable::compact`], to be called
/// periodically, moves the older ones to the compact table once there are more than that capacity.
#[derive(Clone, Debug)]
pub struct PurgeTable {
    exact_capacity: usize,
    exact: BTreeMap<KeyHash, Micros>,
    compact: CompactTable,
}

impl PurgeTable {
    /// An empty table.
    pub fn new(exact_capacity: usize, bucket_bits: BucketBits) -> Self {
        PurgeTable {
            exact_capacity,
            exact: BTreeMap::new(),
            compact: CompactTable::new(bucket_bits),
        }
    }

    /// Records a purge. Returns the index of the bucket that the key belongs to.
    pub fn record(&mut self, key: KeyHash, at: Micros) -> BucketIndex {
        let latest = self.exact.entry(key).or_insert(at);
        *latest = at.max(*latest);
        if self.exact.len() > self.exact_capacity.saturating_mul(2) {
            self.move_older_half(Micros::MAX);
        }
        BucketIndex::of(key, self.compact.bucket_bits())
    }

    /// Returns a time no earlier than any recorded purge of the key, or `None` if there is no such purge.
    pub fn latest(&self, key: KeyHash) -> Option<Micros> {
        self.exact.get(&key).copied().max(self.compact.latest(key))
    }

    /// Moves the older half of the exact purges to the compact table if there are more than the exact capacity, but
    /// none that is younger than `keep_us`.
    pub fn compact(&mut self, now: Micros, keep_us: Micros) {
        if self.exact.len() > self.exact_capacity {
            self.move_older_half(now.saturating_sub(keep_us));
        }
    }

    /// Records a purge of every key at once, for a process that can't learn which purges it has missed.
    pub fn purge_all(&mut self, at: Micros) {
        self.compact.purge_all(at);
    }

    /// Merges a bucket of another proxy's compact table; see [`CompactTable::merge_bucket`].
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

    /// Changes the exact capacity and the size of the compact table. No purge is lost.
    pub fn set_capacity(&mut self, exact_capacity: usize, bucket_bits: BucketBits) {
        self.exact_capacity = exact_capacity;
        if bucket_bits != self.compact.bucket_bits() {
            self.compact = self.compact.resized(bucket_bits);
        }
        while self.exact.len() > exact_capacity.saturating_mul(2) {
            self.move_older_half(Micros::MAX);
        }
    }

    /// Returns how many purges are stored exactly before older ones are moved.
    pub fn exact_capacity(&self) -> usize {
        self.exact_capacity
    }

    /// Returns how many purges are stored exactly.
    pub fn exact_len(&self) -> usize {
        self.exact.len()
    }

    /// Returns the purges that are stored exactly, in the order of their keys.
    pub fn exact_purges(&self) -> impl Iterator<Item = (KeyHash, Micros)> + '_ {
        self.exact.iter().map(|(key, at)| (*key, *at))
    }

    /// Returns the table of all older purges.
    pub fn compact_table(&self) -> &CompactTable {
        &self.compact
    }

    /// Moves those of the older half of the exact purges to the compact table that are not later than `until`.
    fn move_older_half(&mut self, until: Micros) {
        let mut times: Vec<Micros> = self.exact.values().copied().collect();
        let middle = times.len() / 2;
        let median = *times.select_nth_unstable(middle).1;
        let until = until.min(median);
        let compact = &mut self.compact;
        self.exact.retain(|key, at| {
            let is_moved = *at <= until;
            if is_moved {
                compact.record(*key, *at);
            }
            !is_moved
        });
    }
}
