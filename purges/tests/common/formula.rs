//! The predicted share of cache hits that buckets lose, as derived in `docs/design/purge-state.md`.

use linnetknot_purges::BucketBits;

/// The number of lookups per copy: one for its object and one for its group.
pub(crate) const LOOKUPS: u64 = 2;
/// The number of purges in a bucket before its watermark rises.
const BUCKET_SLOTS: u32 = 7;
/// The probability that two keys of a bucket have the same fingerprint.
const COLLISION: f64 = 1.0 / (1 << 22) as f64;

/// Returns the probability of at least `least` events of a Poisson distribution with this mean.
pub(crate) fn poisson_at_least(least: u32, mean: f64) -> f64 {
    let mut term = (-mean).exp();
    let mut below = 0.0;
    for number in 0..least {
        below += term;
        term *= mean / f64::from(number + 1);
    }
    (1.0 - below).max(0.0)
}

/// Returns the predicted share of hits that buckets lose for copies whose creation was followed by `purges` purges.
pub(crate) fn predicted_by_buckets(bucket_bits: BucketBits, purges: f64) -> f64 {
    let mean = purges.max(0.0) / bucket_bits.buckets() as f64;
    let collided = mean.min(f64::from(BUCKET_SLOTS)) * COLLISION;
    let one = (poisson_at_least(BUCKET_SLOTS + 1, mean) + collided).min(1.0);
    1.0 - (1.0 - one).powi(LOOKUPS as i32)
}
