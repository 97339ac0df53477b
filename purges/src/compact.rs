//! The compact table, which stores the purges of any number of keys in a fixed number of buckets. When a bucket has no
//! free slot, the times returned for other keys of the bucket become later than necessary. No purge is lost.

use crate::bucket::{Bucket, Fingerprint};
use crate::hashing::{mix, KeyHash};
use crate::time::Micros;
use std::fmt;

/// The size of a table, as the binary logarithm of its number of buckets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BucketBits(u8);

impl BucketBits {
    /// The smallest table: 16 buckets, 1 KiB.
    pub const MIN: BucketBits = BucketBits(4);
    /// The largest table: 16,777,216 buckets, 1 GiB.
    pub const MAX: BucketBits = BucketBits(24);
    /// The default table: 65,536 buckets, 4 MiB.
    pub const DEFAULT: BucketBits = BucketBits(16);

    /// Creates a size from the binary logarithm of the number of buckets.
    ///
    /// # Errors
    /// Fails if `bits` is not between [`BucketBits::MIN`] and [`BucketBits::MAX`].
    pub fn new(bits: u8) -> Result<Self, BucketBitsError> {
        let allowed = Self::MIN.0..=Self::MAX.0;
        allowed
            .contains(&bits)
            .then_some(BucketBits(bits))
            .ok_or(BucketBitsError { bits })
    }

    /// Returns the binary logarithm of the number of buckets.
    pub const fn value(self) -> u8 {
        self.0
    }

    /// Returns the number of buckets of a table of this size.
    pub const fn buckets(self) -> usize {
        1 << self.0
    }
}

impl Default for BucketBits {
    fn default() -> Self {
        Self::DEFAULT
    }
}

/// The error of a table size that is out of range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BucketBitsError {
    /// The binary logarithm of the number of buckets.
    pub bits: u8,
}

impl fmt::Display for BucketBitsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (min, max) = (BucketBits::MIN.0, BucketBits::MAX.0);
        write!(
            f,
            "a purge table of 2^{} buckets is out of range; it must have from 2^{min} to 2^{max}",
            self.bits
        )
    }
}

impl std::error::Error for BucketBitsError {}

/// The index of a bucket in a table. It depends on the table's [`BucketBits`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BucketIndex(u32);

impl BucketIndex {
    /// The first bucket of any table.
    pub const FIRST: BucketIndex = BucketIndex(0);

    /// Returns the index of the bucket of a key, which is the top bits of its hash.
    pub const fn of(key: KeyHash, bits: BucketBits) -> Self {
        BucketIndex((key.value() >> (u64::BITS - bits.0 as u32)) as u32)
    }

    /// Returns the index as a number.
    pub const fn value(self) -> u32 {
        self.0
    }
}

impl From<u32> for BucketIndex {
    /// Converts a number that was returned by [`BucketIndex::value`].
    fn from(value: u32) -> Self {
        BucketIndex(value)
    }
}

/// The error of a bucket index that is out of range for the size of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BucketIndexError {
    /// The size of the table to which the index was applied.
    pub bucket_bits: BucketBits,
    /// The index, which is not less than the table's number of buckets.
    pub index: BucketIndex,
}

impl fmt::Display for BucketIndexError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "bucket {} of a purge table of 2^{} buckets is out of range",
            self.index.0, self.bucket_bits.0
        )
    }
}

impl std::error::Error for BucketIndexError {}

/// A table of `2^bucket_bits` buckets, whose memory is allocated when the first purge is recorded.
///
/// Two tables of the same size are equal if the same purges were recorded, in any order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CompactTable {
    bucket_bits: BucketBits,
    /// Empty until the first purge is recorded.
    buckets: Vec<Bucket>,
    occupied_slots: usize,
    digest: u64,
}

impl CompactTable {
    /// Creates an empty table.
    pub fn new(bucket_bits: BucketBits) -> Self {
        CompactTable {
            bucket_bits,
            buckets: Vec::new(),
            occupied_slots: 0,
            digest: 0,
        }
    }

    /// Records a purge. Returns the index of the key's bucket.
    pub fn record(&mut self, key: KeyHash, at: Micros) -> BucketIndex {
        let index = BucketIndex::of(key, self.bucket_bits);
        self.change(index, |bucket| bucket.record(Fingerprint::of(key), at));
        index
    }

    /// Returns an upper bound of the time of the key's latest purge, or `None` if there is no such purge.
    pub fn latest(&self, key: KeyHash) -> Option<Micros> {
        let bucket = self.bucket(BucketIndex::of(key, self.bucket_bits))?;
        bucket.latest(Fingerprint::of(key))
    }

    /// Records a purge of every key, for a process that cannot determine which purges it has missed.
    pub fn purge_all(&mut self, at: Micros) {
        for index in 0..self.bucket_bits.buckets() as u32 {
            self.change(BucketIndex(index), |bucket| bucket.raise_watermark(at));
        }
    }

    /// Merges a bucket of another table, which may have another size. Returns the buckets of this table that changed.
    ///
    /// A bucket of a smaller table overlaps several buckets of this table and is merged into each of them, which makes
    /// the times returned for their keys later than necessary. A bucket of a larger table is merged into the bucket of
    /// this table that contains its keys.
    ///
    /// # Errors
    /// Fails if a table of `bucket_bits` has no bucket of this index.
    pub fn merge_bucket(
        &mut self,
        bucket_bits: BucketBits,
        index: BucketIndex,
        bucket: &Bucket,
    ) -> Result<Vec<BucketIndex>, BucketIndexError> {
        if index.0 as usize >= bucket_bits.buckets() {
            return Err(BucketIndexError { bucket_bits, index });
        }
        if bucket.is_empty() {
            return Ok(Vec::new());
        }
        let mut changed = Vec::new();
        for target_index in self.overlapping_buckets(bucket_bits, index) {
            let target_index = BucketIndex(target_index);
            if self.change(target_index, |target| target.merge(bucket)) {
                changed.push(target_index);
            }
        }
        Ok(changed)
    }

    /// Returns the indexes of the buckets of this table that share keys with a bucket of a table of another size.
    fn overlapping_buckets(
        &self,
        bucket_bits: BucketBits,
        index: BucketIndex,
    ) -> std::ops::Range<u32> {
        if bucket_bits >= self.bucket_bits {
            let parent = index.0 >> (bucket_bits.0 - self.bucket_bits.0);
            return parent..parent + 1;
        }
        let ratio_bits = self.bucket_bits.0 - bucket_bits.0;
        index.0 << ratio_bits..(index.0 + 1) << ratio_bits
    }

    /// Returns a table of another size with the same purges.
    pub fn resized(&self, bucket_bits: BucketBits) -> CompactTable {
        if bucket_bits == self.bucket_bits {
            return self.clone();
        }
        let mut table = CompactTable::new(bucket_bits);
        for (index, bucket) in self.occupied(BucketIndex(0)) {
            for target_index in table.overlapping_buckets(self.bucket_bits, index) {
                table.change(BucketIndex(target_index), |target| target.merge(bucket));
            }
        }
        table
    }

    /// Returns a bucket, or `None` if nothing was recorded or the index is out of range.
    pub fn bucket(&self, index: BucketIndex) -> Option<&Bucket> {
        self.buckets.get(index.0 as usize)
    }

    /// Returns all non-empty buckets from an index on, in order.
    pub fn occupied(&self, from: BucketIndex) -> impl Iterator<Item = (BucketIndex, &Bucket)> {
        let buckets = self.buckets.iter().enumerate().skip(from.0 as usize);
        let occupied = buckets.filter(|(_, bucket)| !bucket.is_empty());
        occupied.map(|(index, bucket)| (BucketIndex(index as u32), bucket))
    }

    /// Returns the table's size.
    pub fn bucket_bits(&self) -> BucketBits {
        self.bucket_bits
    }

    /// Returns the number of occupied slots.
    pub fn len(&self) -> usize {
        self.occupied_slots
    }

    /// Returns whether no purge was recorded in the table.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Returns the memory used by the buckets, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.buckets.capacity() * size_of::<Bucket>()
    }

    /// Returns a 64-bit digest of the table. Equal tables of the same size have the same digest, different ones with a
    /// probability of 2^-64. It is updated incrementally, so this call is cheap.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Changes a bucket, and updates the slot count and the digest. Returns whether the bucket changed.
    fn change(&mut self, index: BucketIndex, change: impl FnOnce(&mut Bucket) -> bool) -> bool {
        if self.buckets.is_empty() {
            self.buckets = vec![Bucket::default(); self.bucket_bits.buckets()];
        }
        let bucket = &mut self.buckets[index.0 as usize];
        let before = *bucket;
        if !change(bucket) {
            return false;
        }
        self.occupied_slots = self.occupied_slots - before.len() + bucket.len();
        self.digest ^= bucket_digest(index, &before) ^ bucket_digest(index, bucket);
        true
    }
}

/// Returns the contribution of a bucket to the digest, or 0 if it is empty.
fn bucket_digest(index: BucketIndex, bucket: &Bucket) -> u64 {
    if bucket.is_empty() {
        return 0;
    }
    let start = mix(u64::from(index.0) + 1);
    bucket
        .words()
        .fold(start, |hash, word| mix(hash.rotate_left(5) ^ word))
}
