//! Conversion of hashes to fractions. The hash functions that all routers share are in `linnetknot_purges::hashing`.

/// Maps a hash uniformly to the interval from 0 to 1.
pub(crate) fn hash_to_unit(x: u64) -> f64 {
    x as f64 / u64::MAX as f64
}
