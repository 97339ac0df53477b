//! A table of buckets: the purges of any number of keys in memory of fixed size. Purges that do not fit make the answers
//! for other keys later than need be; no purge is ever lost.

use crate::bucket::{Bucket, Fingerprint};
use crate::hashing::{mix, KeyHash};
use crate::time::Micros;
use std::fmt;

/// The size of a table: the binary logarithm of its number of buckets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BucketBits(u8);

impl BucketBits {
    /// The smallest table: 16 buckets, 1 KiB.
    pub const MIN: BucketBits = BucketBits(4);
    /// The largest table: 16,777,216 buckets, 1 GiB.
    pub const MAX: BucketBits = BucketBits(24);
    /// The usual table: 65,536 buckets, 4 MiB.
    pub const DEFAULT: BucketBits = BucketBits(16);

    /// The size of a number of bits.
    ///
    /// # Errors
    /// Fails if the number is not between [`BucketBits::MIN`] and [`BucketBits::MAX`].
    pub fn new(bits: u8) -> Result<Self, BucketBitsError> {
        let allowed = Self::MIN.0..=Self::MAX.0;
        allowed
            .contains(&bits)
            .then_some(BucketBits(bits))
            .ok_or(BucketBitsError { bits })
    }

    /// Returns the number of bits.
    pub const fn value(self) -> u8 {
        self.0
    }

    /// Returns the number of buckets of such a table.
    pub const fn buckets(self) -> usize {
        1 << self.0
    }
}

impl Default for BucketBits {
    fn default() -> Self {
        Self::DEFAULT
    }
}

/// The error of a number of bits that no table can have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BucketBitsError {
    /// The number of bits.
    pub bits: u8,
}

impl fmt::Display for BucketBitsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (min, max) = (BucketBits::MIN.0, BucketBits::MAX.0);
        write!(
            f,
            "a purge table of 2^{} buckets; from 2^{min} to 2^{max} are possible",
            self.bits
        )
    }
}

impl std::error::Error for BucketBitsError {}

/// The index of a bucket in its table. It has a meaning only with the table's [`BucketBits`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BucketIndex(u32);

impl BucketIndex {
    /// The first bucket of any table.
    pub const FIRST: BucketIndex = BucketIndex(0);

    /// The bucket of a key: the top bits of its hash.
    pub const fn of(key: KeyHash, bits: BucketBits) -> Self {
        BucketIndex((key.value() >> (u64::BITS - bits.0 as u32)) as u32)
    }

    /// Returns the index as a number.
    pub const fn value(self) -> u32 {
        self.0
    }
}

impl From<u32> for BucketIndex {
    /// The index of a number that [`BucketIndex::value`] returned.
    fn from(value: u32) -> Self {
        BucketIndex(value)
    }
}

/// The error of a bucket index that is out of range for a table's size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BucketIndexError {
    /// The table's size.
    pub bucket_bits: BucketBits,
    /// The bucket's index.
    pub index: BucketIndex,
}

impl fmt::Display for BucketIndexError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "bucket {} of a purge table of 2^{} buckets",
            self.index.0, self.bucket_bits.0
        )
    }
}

impl std::error::Error for BucketIndexError {}

/// A table of `2^bucket_bits` buckets, for which memory is allocated with the first purge.
///
/// Two tables of one size into which the same purges were recorded, in any order, are equal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CompactTable {
    bucket_bits: BucketBits,
    /// All buckets, or none before the first purge.
    buckets: Vec<Bucket>,
    occupied_slots: usize,
    digest: u64,
}

impl CompactTable {
    /// An empty table.
    pub fn new(bucket_bits: BucketBits) -> Self {
        CompactTable {
            bucket_bits,
            buckets: Vec::new(),
            occupied_slots: 0,
            digest: 0,
        }
    }

    /// Records a purge. Returns the index of the bucket that the key belongs to.
    pub fn record(&mut self, key: KeyHash, at: Micros) -> BucketIndex {
        let index = BucketIndex::of(key, self.bucket_bits);
        self.change(index, |bucket| bucket.record(Fingerprint::of(key), at));
        index
    }

    /// Returns a time no earlier than any recorded purge of the key, or `None` if there is no such purge.
    pub fn latest(&self, key: KeyHash) -> Option<Micros> {
        let bucket = self.bucket(BucketIndex::of(key, self.bucket_bits))?;
        bucket.latest(Fingerprint::of(key))
    }

    /// Records a purge of every key at once, for a process that can't learn which purges it has missed.
    pub fn purge_all(&mut self, at: Micros) {
        for index in 0..self.bucket_bits.buckets() as u32 {
            self.change(BucketIndex(index), |bucket| bucket.raise_watermark(at));
        }
    }

    /// Merges a bucket of another table, which may be of another size. Returns the buckets of this table that changed.
    ///
    /// A bucket of a smaller table covers several buckets of this one and is merged into each of them, which makes their
    /// answers later than need be. A bucket of a larger table is merged into the one that covers it.
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
        for own in self.covered(bucket_bits, index) {
            let own = BucketIndex(own);
            if self.change(own, |mine| mine.merge(bucket)) {
                changed.push(own);
            }
        }
        Ok(changed)
    }

    /// Returns the buckets of this table that share keys with a bucket of a table of another size.
    fn covered(&self, bucket_bits: BucketBits, index: BucketIndex) -> std::ops::Range<u32> {
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
            for own in table.covered(self.bucket_bits, index) {
                table.change(BucketIndex(own), |mine| mine.merge(bucket));
            }
        }
        table
    }

    /// Returns a bucket, or `None` if nothing was recorded yet or the index is out of range.
    pub fn bucket(&self, index: BucketIndex) -> Option<&Bucket> {
        self.buckets.get(index.0 as usize)
    }

    /// Returns all buckets from an index on that are not empty, in order.
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

    /// Returns whether nothing was recorded yet.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Returns the memory that the buckets take, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.buckets.capacity() * size_of::<Bucket>()
    }

    /// Returns a digest: equal tables of one size have the same one, others with a chance of 2^-64. It is maintained
    /// with each change, so that reading it costs nothing.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Changes a bucket, and updates the number of slots and the digest. Returns whether the bucket changed.
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
        self.digest ^= digest_of(index, &before) ^ digest_of(index, bucket);
        true
    }
}

/// Returns a bucket's part of the digest; 0 if it is empty.
fn digest_of(index: BucketIndex, bucket: &Bucket) -> u64 {
    if bucket.is_empty() {
        return 0;
    }
    let start = mix(u64::from(index.0) + 1);
    bucket
        .words()
        .fold(start, |hash, word| mix(hash.rotate_left(5) ^ word))
}
