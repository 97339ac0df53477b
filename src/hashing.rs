//! A hash as a number between 0 and 1. The hashes that all routers share are those of `linnetknot_purges::hashing`.

/// A hash as a share: evenly from 0 to 1.
pub(crate) fn hash_to_unit(x: u64) -> f64 {
    x as f64 / u64::MAX as f64
}
