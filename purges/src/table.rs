//! The purge state of a proxy: recent purges exactly, all older ones in a compact table.

use crate::bucket::Bucket;
use crate::compact::{BucketBits, BucketIndex, BucketIndexError, CompactTable};
use crate::hashing::KeyHash;
use crate::time::Micros;
use std::collections::BTreeMap;

/// Holds the latest purge of every key in bounded memory. It takes any purge at any time, and never gives an earlier
/// time for a key than before.
///
/// At most twice [`PurgeTable::exact_capacity`] purges are held exactly. [`PurgeTable::compact`], to be called from
/// time to time, moves the older ones of them to the compact table once there are more than that capacity.
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

    /// Records a purge. Returns the bucket that the key belongs to.
    pub fn record(&mut self, key: KeyHash, at: Micros) -> BucketIndex {
        let latest = self.exact.entry(key).or_insert(at);
        *latest = at.max(*latest);
        if self.exact.len() > self.exact_capacity.saturating_mul(2) {
            self.move_older_half(Micros::MAX);
        }
        BucketIndex::of(key, self.compact.bucket_bits())
    }

    /// A time no earlier than any purge of the key that was recorded; none: it was never purged.
    pub fn latest(&self, key: KeyHash) -> Option<Micros> {
        self.exact.get(&key).copied().max(self.compact.latest(key))
    }

    /// Moves the older half of the exact purges to the compact table where there are more than their capacity, but
    /// none that is younger than `keep_us`.
    pub fn compact(&mut self, now: Micros, keep_us: Micros) {
        if self.exact.len() > self.exact_capacity {
            self.move_older_half(now.saturating_sub(keep_us));
        }
    }

    /// Takes every key as purged at a time: for a process that can't learn which purges it has missed.
    pub fn raise_all(&mut self, at: Micros) {
        self.compact.raise_all(at);
    }

    /// Takes in a bucket of another proxy's compact table; see [`CompactTable::merge_bucket`].
    pub fn merge_bucket(
        &mut self,
        bucket_bits: BucketBits,
        index: BucketIndex,
        bucket: &Bucket,
    ) -> Result<Vec<BucketIndex>, BucketIndexError> {
        self.compact.merge_bucket(bucket_bits, index, bucket)
    }

    /// Changes how much is held exactly, and the size of the compact table. No purge is forgotten.
    pub fn set_capacity(&mut self, exact_capacity: usize, bucket_bits: BucketBits) {
        self.exact_capacity = exact_capacity;
        if bucket_bits != self.compact.bucket_bits() {
            self.compact = self.compact.resized(bucket_bits);
        }
        while self.exact.len() > exact_capacity.saturating_mul(2) {
            self.move_older_half(Micros::MAX);
        }
    }

    /// How many purges may be held exactly before older ones are moved.
    pub fn exact_capacity(&self) -> usize {
        self.exact_capacity
    }

    /// How many purges are held exactly.
    pub fn exact_len(&self) -> usize {
        self.exact.len()
    }

    /// The purges that are held exactly, in the order of their keys.
    pub fn exact_purges(&self) -> impl Iterator<Item = (KeyHash, Micros)> + '_ {
        self.exact.iter().map(|(key, at)| (*key, *at))
    }

    /// The table that holds all older purges.
    pub fn compact_table(&self) -> &CompactTable {
        &self.compact
    }

    /// Moves the older half of the exact purges to the compact table, as far as they are not later than `until`.
    fn move_older_half(&mut self, until: Micros) {
        let mut times: Vec<Micros> = self.exact.values().copied().collect();
        let middle = times.len() / 2;
        let median = *times.select_nth_unstable(middle).1;
        let until = until.min(median);
        let compact = &mut self.compact;
        self.exact.retain(|key, at| {
            let moves = *at <= until;
            if moves {
                compact.record(*key, *at);
            }
            !moves
        });
    }
}
