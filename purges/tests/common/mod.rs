//! Measures on virtual time which share of cache hits the purge state loses, by the age of the copy. Also contains a
//! plain table for comparison, and the predicted shares for both.

use linnetknot_purges::hashing::mix;
use linnetknot_purges::{BucketBits, CompactTable, KeyHash, Micros, PurgeTable};

mod formula;
pub(crate) use formula::*;

pub(crate) const SECOND_US: Micros = 1_000_000;
/// The salt that makes the keys that are looked up differ from the purged keys.
const LOOKUP_SALT: u64 = 0x5851_f42d_4c95_7f2d;

/// A stream of purges at a constant rate, each of a new key.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stream {
    pub seed: u64,
    pub per_second: f64,
    pub purges: u64,
}

impl Stream {
    /// Returns the time of the purge with this number.
    pub(crate) fn time(&self, number: u64) -> Micros {
        (number as f64 * 1e6 / self.per_second) as Micros
    }

    /// Returns the time of the last purge of the stream.
    pub(crate) fn end(&self) -> Micros {
        self.time(self.purges)
    }

    /// Returns the key of the purge with this number.
    pub(crate) fn key(&self, number: u64) -> KeyHash {
        KeyHash::from(mix(self.seed ^ mix(number + 1)))
    }

    /// Returns the expected number of purges since the creation of a copy of this age.
    pub(crate) fn since(&self, age: Micros) -> f64 {
        self.per_second * age as f64 / 1e6
    }
}

/// A table that returns the time of a key's latest purge.
pub(crate) trait Lookup {
    fn latest(&self, key: KeyHash) -> Option<Micros>;
}

impl Lookup for CompactTable {
    fn latest(&self, key: KeyHash) -> Option<Micros> {
        CompactTable::latest(self, key)
    }
}

impl Lookup for PurgeTable {
    fn latest(&self, key: KeyHash) -> Option<Micros> {
        PurgeTable::latest(self, key)
    }
}

/// The table for comparison. Each row holds one time, which applies to all keys whose hashes have the same top bits.
pub(crate) struct PlainTable {
    rows: Vec<Option<Micros>>,
    shift: u32,
}

impl PlainTable {
    /// Creates a plain table with the memory of a compact table. A row has 8 bytes, the length of a packed time, so
    /// there are eight rows per bucket.
    pub(crate) fn in_memory_of(bucket_bits: BucketBits) -> Self {
        let rows = bucket_bits.buckets() * 8;
        PlainTable {
            rows: vec![None; rows],
            shift: u64::BITS - rows.trailing_zeros(),
        }
    }

    pub(crate) fn record(&mut self, key: KeyHash, at: Micros) {
        let row = &mut self.rows[(key.value() >> self.shift) as usize];
        *row = (*row).max(Some(at));
    }
}

impl Lookup for PlainTable {
    fn latest(&self, key: KeyHash) -> Option<Micros> {
        self.rows[(key.value() >> self.shift) as usize]
    }
}

/// Returns, for each age, the share of copies that the table invalidates although they were never purged. A copy is
/// invalidated if it was created before the time that the table returns for its keys, so one lookup per copy is enough
/// for all ages.
pub(crate) fn lost_shares(
    table: &impl Lookup,
    now: Micros,
    ages: &[Micros],
    copies: u64,
) -> Vec<f64> {
    let mut lost = vec![0u64; ages.len()];
    for copy in 0..copies {
        let keys = (0..LOOKUPS).map(|n| KeyHash::from(mix(LOOKUP_SALT ^ mix(copy * LOOKUPS + n))));
        let Some(purged) = keys.filter_map(|key| table.latest(key)).max() else {
            continue;
        };
        for (age, lost) in ages.iter().zip(&mut lost) {
            *lost += u64::from(now.saturating_sub(*age) < purged);
        }
    }
    lost.into_iter()
        .map(|lost| lost as f64 / copies as f64)
        .collect()
}

/// Returns the predicted share of hits that a plain table of the same memory loses.
pub(crate) fn predicted_by_plain_rows(bucket_bits: BucketBits, purges: f64) -> f64 {
    let mean = purges / (bucket_bits.buckets() * 8) as f64;
    1.0 - (-mean * LOOKUPS as f64).exp()
}
