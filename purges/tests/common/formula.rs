//! The share of cache hits that the buckets of the purge state lose, as `docs/design/purge-state.md` derives it.

use linnetknot_purges::BucketBits;

/// A copy is looked up by its object and by its group.
pub(crate) const LOOKUPS: u64 = 2;
/// Purges that a bucket holds before its watermark rises.
const BUCKET_SLOTS: u32 = 7;
/// Chance that two keys of a bucket have one fingerprint.
const COLLISION: f64 = 1.0 / (1 << 22) as f64;

/// Chance of at least `least` events where `mean` are expected, by Poisson's law.
pub(crate) fn poisson_at_least(least: u32, mean: f64) -> f64 {
    let mut term = (-mean).exp();
    let mut below = 0.0;
    for number in 0..least {
        below += term;
        term *= mean / f64::from(number + 1);
    }
    (1.0 - below).max(0.0)
}

/// The share that buckets lose, `purges` after the copy was made.
pub(crate) fn predicted_by_buckets(bucket_bits: BucketBits, purges: f64) -> f64 {
    let mean = purges.max(0.0) / bucket_bits.buckets() as f64;
    let collided = mean.min(f64::from(BUCKET_SLOTS)) * COLLISION;
    let one = (poisson_at_least(BUCKET_SLOTS + 1, mean) + collided).min(1.0);
    1.0 - (1.0 - one).powi(LOOKUPS as i32)
}
